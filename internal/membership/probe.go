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
	direct   time.Time // when helpers are asked
	final    time.Time // when the probe has failed
	asked    bool
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
	// rechecksPerTick paces the pings after a full-state exchange.
	rechecksPerTick = 4
)

// probeNext probes one peer: in turns the next one on the ring, so that each
// live node is probed within two intervals at any size of the fleet, and a
// random one, which covers neighbours that died together. A relay uses the
// random turns for the relays of other data centres.
func (m *Machine) probeNext() {
	m.turn++
	if m.turn%2 == 0 {
		m.probe(m.successor(m.reach()), false)
		return
	}
	if !m.cfg.ProbeAll && m.isRelay(m.self) {
		relays := m.remoteRelays()
		target := m.successor(relays)
		if m.turn%4 == 1 {
			target = m.randomPeer(relays, (*peer).trusted)
		}
		if target != nil {
			m.probe(target, false)
			return
		}
	}
	m.probe(m.randomPeer(m.reach(), func(p *peer) bool { return p != m.self && p.trusted() }), false)
}

// successor returns the next peer on the ring that is not in doubt.
func (m *Machine) successor(list []*peer) *peer {
	first := position(list, m.self.hash, m.self.node.ID)
	for i := range list {
		p := list[(first+i)%len(list)]
		if p != m.self && p.trusted() && !m.waiting(p) {
			return p
		}
	}
	return nil
}

// waiting reports whether a probe of p has missed its direct answer.
func (m *Machine) waiting(p *peer) bool {
	for _, pr := range m.probes {
		if pr.target == p && pr.asked {
			return true
		}
	}
	return false
}

func (m *Machine) probe(p *peer, verify bool) {
	if p == nil {
		return
	}
	for _, pr := range m.probes {
		if pr.target == p {
			return
		}
	}
	m.sequence++
	m.probes = append(m.probes, &probe{
		sequence: m.sequence, target: p, verify: verify,
		direct: m.now.Add(m.cfg.DirectTimeout), final: m.now.Add(m.cfg.ProbeTimeout),
	})
	class := essential
	if verify {
		class = optional
	}
	m.ping(p, m.sequence, class)
}

func (m *Machine) ping(p *peer, sequence uint64, class sendClass) {
	d := m.datagram()
	d.Body = &controlv1.Datagram_Ping{Ping: &controlv1.Ping{Sequence: sequence, To: string(p.node.ID)}}
	m.sendWithNews(p.node.PeerAddr, p, d, class)
}

func (m *Machine) expireProbes() {
	kept := m.probes[:0]
	var failed, unanswered []*probe
	for _, pr := range m.probes {
		if !pr.target.usable() && !pr.verify {
			continue
		}
		if !pr.asked && !m.now.Before(pr.direct) {
			pr.asked = true
			unanswered = append(unanswered, pr)
		}
		if m.now.Before(pr.final) {
			kept = append(kept, pr)
			continue
		}
		failed = append(failed, pr)
	}
	clear(m.probes[len(kept):])
	m.probes = kept
	for _, pr := range unanswered {
		m.askHelpers(pr)
	}
	for _, pr := range failed {
		if !pr.verify {
			m.stats.Suspicions++
			m.suspect(pr.target, true)
		}
	}
}

// askHelpers asks other nodes to ping the target of a probe, because the direct
// path may be cut in one direction only. The best helpers are the one that
// reached the target before and those that were heard last, since their packets
// arrive here.
func (m *Machine) askHelpers(pr *probe) {
	count := m.cfg.IndirectProbes
	if pr.verify {
		count = max(1, count-1)
	}
	suitable := func(p *peer) bool { return m.exceptSelf(p) && p != pr.target }
	var helpers []*peer
	for _, p := range append([]*peer{pr.target.helper}, m.recent...) {
		// One place is kept for a random helper.
		if p != nil && suitable(p) && !contains(helpers, p) && len(helpers) < max(1, count-1) {
			helpers = append(helpers, p)
		}
	}
	for len(helpers) < count {
		p := m.randomPeer(m.reach(), func(p *peer) bool { return suitable(p) && !contains(helpers, p) })
		if p == nil {
			break
		}
		helpers = append(helpers, p)
	}
	for _, p := range helpers {
		d := m.datagram()
		d.Body = &controlv1.Datagram_PingRequest{PingRequest: &controlv1.PingRequest{
			Sequence: pr.sequence, To: string(pr.target.node.ID), ToAddr: pr.target.node.PeerAddr,
		}}
		m.sendWithNews(p.node.PeerAddr, p, d, essential)
	}
	// The next node on the ring may have failed together with this one.
	if !pr.verify {
		m.probe(m.successor(m.reach()), false)
	}
}

// suspect starts a suspicion against p at its present incarnation. found tells
// whether an own probe failed; otherwise the node is checked here as well, so
// that a peer that still reaches it can tell it and pass on its refutation.
func (m *Machine) suspect(p *peer, found bool) {
	if p == m.self || p.suspected || !p.usable() {
		return
	}
	p.suspected = true
	if m.verifies(p) {
		if !contains(m.suspects, p) {
			m.suspects = append(m.suspects, p)
		}
		p.deadline = m.now.Add(m.cfg.SuspectTimeout)
		p.verifyAt = m.now.Add(m.cfg.SuspectTimeout / 2)
		if !found {
			p.verifyAt = m.now.Add(time.Duration(m.random.Int64N(int64(m.cfg.DirectTimeout))))
		}
	}
	if p.node.State == fleet.NodeAlive {
		p.node.State = fleet.NodeSuspect
		m.emit(NodeChanged{p.node})
	}
	m.spread(p, rumour(p), urgent|push)
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
		if !m.now.Before(p.deadline) && !m.isolated(p) {
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
			p.verifyAt = time.Time{}
			m.probe(p, true)
		}
	}
}

// isolated reports whether this node heard nothing at all since the suspicion
// against p began. Then its own inbound path is the likely fault, and it puts
// off the verdict up to IsolationHold.
func (m *Machine) isolated(p *peer) bool {
	began := p.deadline.Add(-m.cfg.SuspectTimeout)
	if m.lastHeard.After(began) || m.now.After(began.Add(m.cfg.IsolationHold)) {
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
	m.spread(p, rumour(p), urgent|push)
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
		m.ping(p, m.sequence, essential)
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
	m.send(addr, nil, d, essential)
}

func (m *Machine) sendRechecks() {
	for range rechecksPerTick {
		if len(m.rechecks) == 0 {
			m.rechecks = nil
			return
		}
		r := m.rechecks[0]
		m.rechecks = m.rechecks[1:]
		m.sequence++
		d := m.datagram()
		d.Body = &controlv1.Datagram_Ping{Ping: &controlv1.Ping{Sequence: m.sequence, To: string(r.target.node.ID)}}
		d.Nodes = append(d.Nodes, &controlv1.Node{
			Id: string(r.target.node.ID), Incarnation: r.incarnation, State: controlv1.NodeState_NODE_STATE_DEAD,
		})
		m.sendWithNews(r.target.node.PeerAddr, r.target, d, essential)
	}
}
