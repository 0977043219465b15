package membership

import (
	"time"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// probe is one check of a peer that waits for its answer.
type probe struct {
	sequence uint64
	target   *peer
	next     time.Time // when the next round begins
	final    time.Time // when the probe has failed
	asked    []*peer   // helpers
	round    int
	starved  bool // the budget did not allow to ask; the result means nothing
	verify   bool // checks a suspicion; its failure changes nothing
}

// forward is a ping sent on behalf of another node.
type forward struct {
	sequence uint64
	target   *peer
	origin   string // address
	answer   uint64 // the origin's sequence number
	expires  time.Time
}

// recheck is a rumour that a full-state exchange brought about a node that is
// alive here. The node is told, so that it can refute.
type recheck struct {
	target      *peer
	incarnation uint64
}

const (
	// maxForwards bounds the pings in flight on behalf of others.
	maxForwards = 256
	// maxImpaired bounds how much a node that reaches others by helpers only
	// slows down its probes: by a factor of eight. Otherwise the probes of a
	// node behind a cut would use up the budget of its few helpers.
	maxImpaired = 7
	// ringRest and randomRest are how long a peer is not probed in ring turns
	// and in random turns after a helper reached it, for the same reason. All
	// nodes probe at random, but only its neighbour probes it in ring turns.
	ringRest   = 2 * time.Second
	randomRest = 10 * time.Second
	// helperTrust is how long the helper that reached a peer is asked first and
	// alone. All nodes probe a node behind a cut, and the answers to many
	// helpers would use up its budget.
	helperTrust = time.Minute
	// rechecksPerTick paces the pings after a full-state exchange.
	rechecksPerTick = 4
)

// probeNext probes one peer: in turns the next one on the ring, so that each
// live node is probed within two intervals at any size of the fleet, and a
// random one, which covers neighbours that died together. A relay uses three of
// four random turns for the relays of other data centres.
func (m *Machine) probeNext() {
	m.turn++
	if m.turn%2 == 0 {
		m.probe(m.successor(m.reach()), false)
		return
	}
	if !m.cfg.ProbeAll && m.turn%8 != 7 && m.isRelay(m.self) {
		relays := m.remoteCandidates()
		target := m.successor(relays)
		if m.turn%8 == 3 {
			target = m.randomPeer(relays, m.dueAtRandom)
		}
		if target != nil {
			m.probe(target, false)
			return
		}
	}
	m.probe(m.randomPeer(m.reach(), m.dueAtRandom), false)
}

// due reports whether p may be probed, given the rest after an indirect answer.
func (m *Machine) due(p *peer, rest time.Duration) bool {
	return p != m.self && p.trusted() && m.now.Sub(p.indirectAt) >= rest
}

func (m *Machine) dueAtRandom(p *peer) bool { return m.due(p, randomRest) }

// successor returns the next peer on the ring that is not in doubt.
func (m *Machine) successor(list []*peer) *peer {
	first := position(list, m.self.hash, m.self.node.ID)
	for i := range list {
		p := list[(first+i)%len(list)]
		if m.due(p, ringRest) && !m.waiting(p) {
			return p
		}
	}
	return nil
}

// waiting reports whether a probe of p has missed its direct answer.
func (m *Machine) waiting(p *peer) bool {
	for _, pr := range m.probes {
		if pr.target == p && pr.round > 0 {
			return true
		}
	}
	return false
}

// probe sends a probe unless one of the same peer is under way. It reports
// whether one is under way now.
func (m *Machine) probe(p *peer, verify bool) bool {
	if p == nil {
		return false
	}
	for _, pr := range m.probes {
		if pr.target == p {
			return true
		}
	}
	class := probing
	if verify {
		class = check
	}
	m.sequence++
	if !m.ping(p, m.sequence, class) {
		return false
	}
	m.await(p, verify)
	return true
}

// await expects the answer to the ping that was sent last.
func (m *Machine) await(p *peer, verify bool) {
	m.probes = append(m.probes, &probe{
		sequence: m.sequence, target: p, verify: verify,
		next: m.now.Add(m.cfg.RoundTimeout), final: m.now.Add(m.cfg.ProbeTimeout),
	})
}

func (m *Machine) ping(p *peer, sequence uint64, class sendClass) bool {
	d := m.datagram()
	d.Body = &controlv1.Datagram_Ping{Ping: &controlv1.Ping{Sequence: sequence, To: string(p.node.ID)}}
	return m.sendWithNews(p.node.PeerAddr, p, d, class)
}

func (m *Machine) expireProbes() {
	kept := m.probes[:0]
	var failed, unanswered []*probe
	for _, pr := range m.probes {
		switch {
		case !pr.target.usable():
		case !m.now.Before(pr.final):
			failed = append(failed, pr)
		default:
			kept = append(kept, pr)
			if !pr.next.IsZero() && !m.now.Before(pr.next) {
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
		if !pr.verify && !pr.starved {
			m.stats.Suspicions++
			m.suspect(pr.target, true)
		}
	}
}

// nextRound goes on with a probe that had no answer yet: a second ping, because
// packets get lost; then a few helpers, because the direct path may be cut in
// one direction; then many, because a suspicion costs the whole fleet more than
// the search for the one node that still reaches the target. The check of a
// rumour asks one helper only, since all nodes do it.
func (m *Machine) nextRound(pr *probe) {
	pr.round++
	pr.next = m.now.Add(m.cfg.RoundTimeout)
	switch {
	case pr.verify:
		m.askHelpers(pr, 1)
		pr.next = time.Time{}
	case pr.target.suspected:
		// Others found the same meanwhile, and all nodes check it.
		pr.next = time.Time{}
	case pr.round == 1:
		if h := pr.target.helper; h != nil && h.usable() && m.now.Sub(pr.target.indirectAt) < helperTrust {
			m.askHelpers(pr, 1)
		} else {
			m.ping(pr.target, pr.sequence, check)
		}
		if m.impaired == 0 {
			// The next node on the ring may have failed together with this one.
			list := m.reach()
			if !contains(list, pr.target) {
				list = m.candidates(pr.target.node.DataCentre)
			}
			m.probe(m.successor(list), false)
		}
	case pr.round == 2:
		m.askHelpers(pr, m.cfg.IndirectProbes)
	default:
		m.askHelpers(pr, m.cfg.WideProbes)
		pr.next = time.Time{}
	}
}

func (m *Machine) askHelpers(pr *probe, count int) {
	for _, p := range m.helpers(pr, count) {
		d := m.datagram()
		d.Body = &controlv1.Datagram_PingRequest{PingRequest: &controlv1.PingRequest{
			Sequence: pr.sequence, To: string(pr.target.node.ID), ToAddr: pr.target.node.PeerAddr,
		}}
		if !m.sendWithNews(p.node.PeerAddr, p, d, check) {
			pr.starved = !pr.verify && len(pr.asked) < 2*m.cfg.IndirectProbes
			return
		}
		pr.asked = append(pr.asked, p)
	}
}

// helpers chooses nodes to be asked about the target of a probe: the one that
// reached it before, the one that helped last with any target, the one that
// answered this node last, the one heard last, and random ones.
func (m *Machine) helpers(pr *probe, count int) []*peer {
	var chosen []*peer
	suitable := func(p *peer) bool {
		return p != nil && p != pr.target && m.exceptSelf(p) && !contains(chosen, p) && !contains(pr.asked, p)
	}
	preferred := []*peer{pr.target.helper, m.helper, m.answered}
	if len(m.recent) > 0 {
		preferred = append(preferred, m.recent[0])
	}
	for _, p := range preferred {
		// One place is kept for a random helper.
		if suitable(p) && len(chosen) < max(1, count-1) {
			chosen = append(chosen, p)
		}
	}
	for len(chosen) < count {
		p := m.randomPeer(m.reach(), suitable)
		if p == nil {
			break
		}
		chosen = append(chosen, p)
	}
	return chosen
}

// suspect starts a suspicion against p at its present incarnation. found tells
// whether an own probe failed; otherwise the node is checked here as well, so
// that a peer that still reaches it can tell it and pass on its refutation.
func (m *Machine) suspect(p *peer, found bool) {
	if p == m.self || p.suspected || !p.usable() {
		return
	}
	p.suspected, p.checked = true, found
	if m.verifies(p) {
		if !contains(m.suspects, p) {
			m.suspects = append(m.suspects, p)
		}
		p.deadline = m.now.Add(m.cfg.SuspectTimeout)
		p.verifyAt = m.now.Add(m.cfg.SuspectTimeout / 2)
		if !found {
			p.verifyAt = m.now.Add(time.Duration(m.random.Int64N(int64(m.cfg.RoundTimeout))))
		}
	}
	if p.node.State == fleet.NodeAlive {
		p.node.State = fleet.NodeSuspect
		m.emit(NodeChanged{p.node})
	}
	m.spread(p, rumour(p), stateRank, push)
}

// rumour is the short record that tells of a suspicion or death.
func rumour(p *peer) *controlv1.Node {
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
		if !p.suspected || !p.usable() {
			continue
		}
		if !m.now.Before(p.deadline) && !m.undecided(p) {
			expired = append(expired, p)
			continue
		}
		kept = append(kept, p)
	}
	clear(m.suspects[len(kept):])
	m.suspects = kept
	for _, p := range expired {
		m.stats.Deaths++
		m.dead(p)
	}
	for _, p := range m.suspects {
		if !p.verifyAt.IsZero() && !m.now.Before(p.verifyAt) {
			if m.probe(p, true) {
				p.checked, p.verifyAt = true, time.Time{}
			}
		}
	}
}

// undecided reports whether the verdict on p is put off, at most for
// IsolationHold: while the budget did not allow a check, and while this node
// hears nothing at all since the suspicion began, so that its own inbound path
// is the likely fault.
func (m *Machine) undecided(p *peer) bool {
	began := p.deadline.Add(-m.cfg.SuspectTimeout)
	if m.now.After(began.Add(m.cfg.IsolationHold)) {
		return false
	}
	if !p.checked {
		return true
	}
	if m.lastHeard.After(began) {
		return false
	}
	live := 0
	for _, q := range m.reach() {
		if m.exceptSelf(q) {
			if live++; live >= isolationPeers {
				return true
			}
		}
	}
	return false
}

func (m *Machine) dead(p *peer) {
	p.suspected = false
	p.node.State = fleet.NodeDead
	p.deadSince = m.now
	m.emit(NodeChanged{p.node})
	var how spreadFlags
	if !m.cfg.ProbeAll && p.node.DataCentre != m.self.node.DataCentre {
		how = push
	}
	// Nodes that check p themselves come to the same verdict; the others wait
	// for this news.
	m.spread(p, rumour(p), stateRank, how)
}

// reconnect pings one dead node and one unknown seed, so that the two sides of
// a healed cut find each other, and forgets nodes that are dead for too long.
func (m *Machine) reconnect() {
	for i := 0; i < len(m.ring); i++ {
		if p := m.ring[i]; !p.usable() && m.now.Sub(p.deadSince) > m.cfg.DeadRetention {
			m.forget(p)
			i--
		}
	}
	if p := m.randomPeer(m.ring, func(p *peer) bool { return !p.usable() && m.verifies(p) }); p != nil {
		m.sequence++
		m.ping(p, m.sequence, check)
	}
	if len(m.seeds) == 0 {
		return
	}
	seed := m.seeds[m.random.IntN(len(m.seeds))]
	for _, p := range m.ring {
		if p.usable() && p.node.PeerAddr == seed {
			return
		}
	}
	m.pingSeed(seed)
}

// pingSeed pings an address whose node is not known.
func (m *Machine) pingSeed(addr string) {
	m.sequence++
	d := m.datagram()
	d.Nodes = append(d.Nodes, NodeToProto(m.self.node))
	d.Body = &controlv1.Datagram_Ping{Ping: &controlv1.Ping{Sequence: m.sequence}}
	if m.affords(packetSize(d), probing) {
		m.spend(addr, d)
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
		if !m.sendWithNews(r.target.node.PeerAddr, r.target, d, bulk) {
			return
		}
		m.rechecks = m.rechecks[1:]
		if r.target.usable() {
			// The rumour may be right.
			m.await(r.target, false)
		}
	}
}
