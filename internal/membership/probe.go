package membership

import (
	"time"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// probe is a check of one peer that waits for an ack.
type probe struct {
	sequence     uint64
	target       *peer
	nextRoundAt  time.Time // when the next round begins; zero after the last round
	deadline     time.Time // when the probe fails
	askedHelpers []*peer   // helpers that were sent a ping request
	round        int
	overBudget   bool // too few helpers were asked for lack of budget; a failure starts no suspicion
	verify       bool // verifies a suspicion; a failure starts no new one
}

// forward is a ping sent on behalf of another node.
type forward struct {
	sequence       uint64
	target         *peer
	origin         string // address (ip:port) of the node that requested the ping
	originSequence uint64 // sequence number of the origin's ping request
	expires        time.Time
}

// recheck is a record from a full-state exchange that contradicts this node's
// record on whether the target is alive. The target is sent a failure report
// about itself, which it refutes if it is alive.
type recheck struct {
	target      *peer
	incarnation uint64
}

const (
	// maxForwards bounds the pings in flight on behalf of other nodes.
	maxForwards = 256
	// maxProbeSlowdown bounds how much a node that reaches others only through
	// helpers slows down its probes: to an eighth of the rate. At the full rate,
	// the probes of a node with a one-way connection loss would use up the byte
	// budget of its few helpers.
	maxProbeSlowdown = 7
	// ringBackoff and randomBackoff are the times for which a peer is not probed
	// in ring order and at random after an indirect ack, to save the budget of
	// the helpers. The random backoff is longer because all nodes probe a peer
	// at random, but only its predecessor on the ring probes it in ring order.
	ringBackoff   = 2 * time.Second
	randomBackoff = 10 * time.Second
	// helperReusePeriod is how long the helper that reached a peer is asked first
	// and alone. All nodes probe a peer with a one-way connection loss, and the
	// acks to many helpers would use up the peer's byte budget.
	helperReusePeriod = time.Minute
	// rechecksPerTick bounds the pings that each tick sends for rechecks after a
	// full-state exchange.
	rechecksPerTick = 4
)

// probeNext probes one peer. It alternates between the next peer on the ring,
// so that each live node is probed within two intervals at any size of the
// fleet, and a random peer, which covers ring neighbours that failed together.
// A relay uses three of four random turns for the relays of other data centres.
func (m *Machine) probeNext() {
	m.probeTurn++
	if m.probeTurn%2 == 0 {
		m.probe(m.successor(m.gossipGroup()), false)
		return
	}
	if !m.cfg.ProbeAll && m.probeTurn%8 != 7 && m.isRelay(m.self) {
		relays := m.remoteCandidates()
		target := m.successor(relays)
		if m.probeTurn%8 == 3 {
			target = m.randomPeer(relays, m.dueAtRandom)
		}
		if target != nil {
			m.probe(target, false)
			return
		}
	}
	m.probe(m.randomPeer(m.gossipGroup(), m.dueAtRandom), false)
}

// due reports whether p may be probed, given the backoff after an indirect ack.
func (m *Machine) due(p *peer, backoff time.Duration) bool {
	return p != m.self && p.healthy() && m.now.Sub(p.indirectAckAt) >= backoff
}

func (m *Machine) dueAtRandom(p *peer) bool { return m.due(p, randomBackoff) }

// successor returns the next peer after this node in a list ordered by hash
// that is due for a probe and has missed no direct ack, or nil.
func (m *Machine) successor(list []*peer) *peer {
	first := position(list, m.self.hash, m.self.node.ID)
	for i := range list {
		p := list[(first+i)%len(list)]
		if m.due(p, ringBackoff) && !m.missedDirectAck(p) {
			return p
		}
	}
	return nil
}

// missedDirectAck reports whether a pending probe of p has not been acked
// within its first round.
func (m *Machine) missedDirectAck(p *peer) bool {
	for _, pr := range m.probes {
		if pr.target == p && pr.round > 0 {
			return true
		}
	}
	return false
}

// probe starts a probe of p unless one is pending. It reports whether a probe
// of p is pending on return.
func (m *Machine) probe(p *peer, verify bool) bool {
	if p == nil {
		return false
	}
	for _, pr := range m.probes {
		if pr.target == p {
			return true
		}
	}
	class := classProbe
	if verify {
		class = classCheck
	}
	m.sequence++
	if !m.ping(p, m.sequence, class) {
		return false
	}
	m.awaitAck(p, verify)
	return true
}

// awaitAck adds a probe that waits for the ack of the ping sent last.
func (m *Machine) awaitAck(p *peer, verify bool) {
	m.probes = append(m.probes, &probe{
		sequence: m.sequence, target: p, verify: verify,
		nextRoundAt: m.now.Add(m.cfg.RoundTimeout), deadline: m.now.Add(m.cfg.ProbeTimeout),
	})
}

func (m *Machine) ping(p *peer, sequence uint64, class sendClass) bool {
	d := m.datagram()
	d.Body = &controlv1.Datagram_Ping{Ping: &controlv1.Ping{Sequence: sequence, To: string(p.node.ID)}}
	return m.sendWithUpdates(p.node.PeerAddr, p, d, class)
}

func (m *Machine) expireProbes() {
	kept := m.probes[:0]
	var failed, unanswered []*probe
	for _, pr := range m.probes {
		switch {
		case !pr.target.live():
		case !m.now.Before(pr.deadline):
			failed = append(failed, pr)
		default:
			kept = append(kept, pr)
			if !pr.nextRoundAt.IsZero() && !m.now.Before(pr.nextRoundAt) {
				unanswered = append(unanswered, pr)
			}
		}
	}
	clear(m.probes[len(kept):])
	m.probes = kept
	for _, pr := range unanswered {
		m.nextRound(pr)
	}
	for _, pr := range failed {
		if !pr.verify && !pr.overBudget {
			m.stats.Suspicions++
			m.suspect(pr.target, true)
		}
	}
}

// nextRound starts the next round of an unacked probe: first a second ping,
// because packets get lost; then ping requests to a few helpers, because the
// direct path may be interrupted in one direction; then ping requests to many
// helpers, because a suspicion costs the whole fleet more than searching for
// the one node that still reaches the target. A helper that reached the target
// within helperReusePeriod is asked in place of the second ping. A probe that
// verifies a suspicion asks one helper only, because all nodes send such
// probes.
func (m *Machine) nextRound(pr *probe) {
	pr.round++
	pr.nextRoundAt = m.now.Add(m.cfg.RoundTimeout)
	switch {
	case pr.verify:
		m.askHelpers(pr, 1)
		pr.nextRoundAt = time.Time{}
	case pr.target.suspected:
		// Another node has reported the target in the meantime, and all nodes
		// verify that suspicion.
		pr.nextRoundAt = time.Time{}
	case pr.round == 1:
		if h := pr.target.helper; h != nil && h.live() && m.now.Sub(pr.target.indirectAckAt) < helperReusePeriod {
			m.askHelpers(pr, 1)
		} else {
			m.ping(pr.target, pr.sequence, classCheck)
		}
		if m.probeSlowdown == 0 {
			// The next node on the ring may have failed together with the target.
			list := m.gossipGroup()
			if !contains(list, pr.target) {
				list = m.candidates(pr.target.node.DataCentre)
			}
			m.probe(m.successor(list), false)
		}
	case pr.round == 2:
		m.askHelpers(pr, m.cfg.IndirectProbes)
	default:
		m.askHelpers(pr, m.cfg.WideIndirectProbes)
		pr.nextRoundAt = time.Time{}
	}
}

func (m *Machine) askHelpers(pr *probe, count int) {
	for _, p := range m.helpers(pr, count) {
		d := m.datagram()
		d.Body = &controlv1.Datagram_PingRequest{PingRequest: &controlv1.PingRequest{
			Sequence: pr.sequence, To: string(pr.target.node.ID), ToAddr: pr.target.node.PeerAddr,
		}}
		if !m.sendWithUpdates(p.node.PeerAddr, p, d, classCheck) {
			pr.overBudget = !pr.verify && len(pr.askedHelpers) < 2*m.cfg.IndirectProbes
			return
		}
		pr.askedHelpers = append(pr.askedHelpers, p)
	}
}

// helpers chooses up to count nodes to be sent a ping request for the target of
// a probe. In order of preference: the node that last forwarded an ack of this
// target, the one that last forwarded an ack of any target, the one that last
// acked a probe of this node, the sender of the last packet, and random nodes.
func (m *Machine) helpers(pr *probe, count int) []*peer {
	var chosen []*peer
	suitable := func(p *peer) bool {
		return p != nil && p != pr.target && m.isLiveOther(p) && !contains(chosen, p) && !contains(pr.askedHelpers, p)
	}
	preferred := []*peer{pr.target.helper, m.lastHelper, m.lastResponder}
	if len(m.recentSenders) > 0 {
		preferred = append(preferred, m.recentSenders[0])
	}
	for _, p := range preferred {
		// At least one helper is random, unless only one is chosen.
		if suitable(p) && len(chosen) < max(1, count-1) {
			chosen = append(chosen, p)
		}
	}
	for len(chosen) < count {
		p := m.randomPeer(m.gossipGroup(), suitable)
		if p == nil {
			break
		}
		chosen = append(chosen, p)
	}
	return chosen
}

// suspect starts a suspicion against p at its current incarnation. probeFailed
// tells whether a probe of this node started the suspicion. If not, this node
// soon probes p as well, because a node that still reaches p can inform it of
// the suspicion and pass on its refutation.
func (m *Machine) suspect(p *peer, probeFailed bool) {
	if p == m.self || p.suspected || !p.live() {
		return
	}
	p.suspected, p.checked = true, probeFailed
	if m.verifies(p) {
		if !contains(m.suspects, p) {
			m.suspects = append(m.suspects, p)
		}
		p.deadline = m.now.Add(m.cfg.SuspectTimeout)
		p.verifyAt = m.now.Add(m.cfg.SuspectTimeout / 2)
		if !probeFailed {
			p.verifyAt = m.now.Add(time.Duration(m.random.Int64N(int64(m.cfg.RoundTimeout))))
		}
	}
	if p.node.State == fleet.NodeAlive {
		p.node.State = fleet.NodeSuspect
		m.emit(NodeChanged{p.node})
	}
	m.disseminate(p, stateRecord(p), stateRank, push)
}

// stateRecord returns a short record with the incarnation and state of p. For a
// suspected or dead peer, this is a failure report.
func stateRecord(p *peer) *controlv1.Node {
	state := p.node.State
	if p.suspected && state != fleet.NodeDead {
		state = fleet.NodeSuspect
	}
	return &controlv1.Node{Id: string(p.node.ID), Incarnation: p.node.Incarnation, State: stateToProto(state)}
}

func (m *Machine) checkSuspects() {
	kept := m.suspects[:0]
	var expired []*peer
	for _, p := range m.suspects {
		if !p.suspected || !p.live() {
			continue
		}
		if !m.now.Before(p.deadline) && !m.verdictPostponed(p) {
			expired = append(expired, p)
			continue
		}
		kept = append(kept, p)
	}
	clear(m.suspects[len(kept):])
	m.suspects = kept
	for _, p := range expired {
		m.stats.DeclaredDead++
		m.declareDead(p)
	}
	for _, p := range m.suspects {
		if !p.verifyAt.IsZero() && !m.now.Before(p.verifyAt) {
			if m.probe(p, true) {
				p.checked, p.verifyAt = true, time.Time{}
			}
		}
	}
}

// verdictPostponed reports whether p is not declared dead yet although its
// deadline has passed. The verdict is postponed, at most until IsolationDelay
// after the suspicion began, in two cases: the budget has not allowed a probe
// of p, or this node has received no packet at all since the suspicion began
// although at least isolationPeers other nodes are live, so that a fault of its
// own inbound path is likely.
func (m *Machine) verdictPostponed(p *peer) bool {
	began := p.deadline.Add(-m.cfg.SuspectTimeout)
	if m.now.After(began.Add(m.cfg.IsolationDelay)) {
		return false
	}
	if !p.checked {
		return true
	}
	if m.lastReceived.After(began) {
		return false
	}
	live := 0
	for _, q := range m.gossipGroup() {
		if m.isLiveOther(q) {
			if live++; live >= isolationPeers {
				return true
			}
		}
	}
	return false
}

func (m *Machine) declareDead(p *peer) {
	p.suspected = false
	p.node.State = fleet.NodeDead
	p.deadSince = m.now
	m.emit(NodeChanged{p.node})
	var flags gossipFlags
	if !m.cfg.ProbeAll && p.node.DataCentre != m.self.node.DataCentre {
		flags = push
	}
	// Nodes that verify p themselves reach the same verdict. The others depend
	// on this record.
	m.disseminate(p, stateRecord(p), stateRank, flags)
}

// reconnect pings one dead node and one seed that belongs to no live node, so
// that the two sides of a healed network partition find each other. It also
// removes the nodes that have been dead for longer than DeadRetention.
func (m *Machine) reconnect() {
	for i := 0; i < len(m.ring); i++ {
		if p := m.ring[i]; !p.live() && m.now.Sub(p.deadSince) > m.cfg.DeadRetention {
			m.removeNode(p)
			i--
		}
	}
	if p := m.randomPeer(m.ring, func(p *peer) bool { return !p.live() && m.verifies(p) }); p != nil {
		m.sequence++
		m.ping(p, m.sequence, classCheck)
	}
	if len(m.seeds) == 0 {
		return
	}
	seed := m.seeds[m.random.IntN(len(m.seeds))]
	for _, p := range m.ring {
		if p.live() && p.node.PeerAddr == seed {
			return
		}
	}
	m.pingSeed(seed)
}

// pingSeeds pings up to aloneSeeds random seeds.
func (m *Machine) pingSeeds() {
	for _, i := range m.random.Perm(len(m.seeds))[:min(len(m.seeds), aloneSeeds)] {
		if m.seeds[i] != m.self.node.PeerAddr {
			m.pingSeed(m.seeds[i])
		}
	}
}

// pingSeed pings an address whose node identifier is not known.
func (m *Machine) pingSeed(addr string) {
	m.sequence++
	d := m.datagram()
	d.Nodes = append(d.Nodes, NodeToProto(m.self.node))
	d.Body = &controlv1.Datagram_Ping{Ping: &controlv1.Ping{Sequence: m.sequence}}
	if m.withinBudget(packetSize(d), classProbe) {
		m.transmit(addr, d)
	}
}

func (m *Machine) sendRechecks() {
	for range rechecksPerTick {
		if len(m.rechecks) == 0 {
			m.rechecks = nil
			return
		}
		r := m.rechecks[0]
		m.sequence++
		d := m.datagram()
		d.Body = &controlv1.Datagram_Ping{Ping: &controlv1.Ping{Sequence: m.sequence, To: string(r.target.node.ID)}}
		d.Nodes = append(d.Nodes, &controlv1.Node{
			Id: string(r.target.node.ID), Incarnation: r.incarnation, State: controlv1.NodeState_NODE_STATE_DEAD,
		})
		if !m.sendWithUpdates(r.target.node.PeerAddr, r.target, d, classBulk) {
			return
		}
		m.rechecks = m.rechecks[1:]
		if r.target.live() {
			// The record may be right, so the ping counts as a probe.
			m.awaitAck(r.target, false)
		}
	}
}
