package membership

import (
	"time"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
)

func (m *Machine) packet(e Packet) {
	d := e.Message
	if d.GetFrom() == "" || fleet.NodeID(d.From) == m.self.node.ID {
		m.stats.Ignored++
		return
	}
	m.lastHeard = m.now
	for _, n := range d.Nodes {
		m.apply(n, false)
	}
	m.correctSender(d)
	for _, t := range d.Targets {
		if t.GetId() == "" || t.GetNode() == "" {
			m.stats.Ignored++
			continue
		}
		m.emit(TargetHeard{TargetFromProto(t)})
	}
	sender := m.peers[fleet.NodeID(d.From)]
	m.noteSender(sender, e.From)
	switch body := d.Body.(type) {
	case *controlv1.Datagram_Ping:
		m.answer(e.From, sender, body.Ping)
	case *controlv1.Datagram_Ack:
		m.acked(sender, body.Ack.GetSequence())
	case *controlv1.Datagram_PingRequest:
		m.pingForOther(e.From, body.PingRequest)
	default:
		// A node that is dead here but sends news has to learn of it.
		if sender != nil && !sender.usable() && d.Incarnation <= sender.node.Incarnation {
			m.sendWithNews(sender.node.PeerAddr, sender, m.datagram(), bulk)
		}
	}
}

// correctSender makes sure that a sender with an outdated record of this node
// gets the present one, in case the packet that carried it was lost.
func (m *Machine) correctSender(d *controlv1.Datagram) {
	sender := m.peers[fleet.NodeID(d.From)]
	if sender == nil {
		return
	}
	for _, n := range d.Nodes {
		if fleet.NodeID(n.GetId()) == m.self.node.ID && n.GetIncarnation() < m.self.node.Incarnation {
			sender.told = false
		}
	}
}

// noteSender remembers who was heard. A sender without a record is asked for
// its state, because its own record was lost on the way.
func (m *Machine) noteSender(sender *peer, addr string) {
	if sender == nil || !m.joined {
		m.syncOnDemand(addr)
	}
	if sender == nil {
		return
	}
	if len(m.recent) > 0 && m.recent[0] == sender {
		return
	}
	m.recent = append([]*peer{sender}, drop(m.recent, sender)...)
	if len(m.recent) > recentSenders {
		m.recent = m.recent[:recentSenders]
	}
}

// syncOnDemand asks for a full-state exchange unless one was asked for lately.
func (m *Machine) syncOnDemand(addr string) {
	if m.lastOnDemand.IsZero() || m.now.Sub(m.lastOnDemand) >= syncOnDemandInterval {
		m.lastOnDemand = m.now
		m.emit(SyncWith{addr})
	}
}

func (m *Machine) answer(addr string, sender *peer, ping *controlv1.Ping) {
	if ping.GetTo() != "" && fleet.NodeID(ping.To) != m.self.node.ID {
		m.stats.Ignored++
		return
	}
	d := m.datagram()
	d.Body = &controlv1.Datagram_Ack{Ack: &controlv1.Ack{Sequence: ping.GetSequence()}}
	m.sendWithNews(addr, sender, d, answering)
}

func (m *Machine) acked(sender *peer, sequence uint64) {
	for i, pr := range m.probes {
		if pr.sequence != sequence {
			continue
		}
		m.probes = append(m.probes[:i], m.probes[i+1:]...)
		m.answered = sender
		if sender != pr.target {
			m.impaired = min(m.impaired+1, maxImpaired)
			m.helper, pr.target.helper, pr.target.indirectAt = sender, sender, m.now
		} else {
			pr.target.indirectAt = time.Time{}
			m.impaired = max(m.impaired-1, 0)
		}
		if pr.target.suspected {
			// The answer proves that the node lives; its refutation follows.
			pr.target.deadline = m.now.Add(m.cfg.SuspectTimeout)
			pr.target.verifyAt = m.now.Add(m.cfg.SuspectTimeout / 2)
		}
		return
	}
	for i, f := range m.forwards {
		if f.sequence != sequence || f.target != sender {
			continue
		}
		m.forwards = append(m.forwards[:i], m.forwards[i+1:]...)
		d := m.datagram()
		d.Body = &controlv1.Datagram_Ack{Ack: &controlv1.Ack{Sequence: f.answer}}
		// The origin may hold a suspicion that the target has refuted.
		d.Nodes = []*controlv1.Node{rumour(f.target)}
		m.sendWithNews(f.origin, m.byAddr(f.origin), d, answering)
		return
	}
}

// byAddr finds the peer of a recent packet by its address.
func (m *Machine) byAddr(addr string) *peer {
	for _, p := range m.recent {
		if p.node.PeerAddr == addr {
			return p
		}
	}
	return nil
}

func (m *Machine) pingForOther(origin string, r *controlv1.PingRequest) {
	target := m.peers[fleet.NodeID(r.GetTo())]
	if target == m.self {
		return
	}
	if target == nil || len(m.forwards) >= maxForwards {
		m.dropForwards()
		m.stats.Ignored++
		return
	}
	m.dropForwards()
	m.sequence++
	m.forwards = append(m.forwards, forward{
		sequence: m.sequence, target: target, origin: origin, answer: r.GetSequence(),
		expires: m.now.Add(m.cfg.ProbeTimeout),
	})
	m.ping(target, m.sequence, helping)
}

func (m *Machine) dropForwards() {
	kept := m.forwards[:0]
	for _, f := range m.forwards {
		if m.now.Before(f.expires) {
			kept = append(kept, f)
		}
	}
	m.forwards = kept
}

// merge takes the records of a full-state exchange. Rumours of it start no
// suspicion: after a long cut the other side holds everyone for dead, and a
// suspicion against all nodes at once would exceed the budget. The nodes
// concerned are told instead.
func (m *Machine) merge(e Merge) {
	m.noteJoined()
	for _, n := range e.Nodes {
		p := m.peers[fleet.NodeID(n.GetId())]
		if p != nil && p != m.self && contradicts(p, n) {
			if !m.verifies(p) {
				// The relays settle it.
				m.spread(p, rumour(p), stateRank, push)
				continue
			}
			if n.GetIncarnation() >= p.node.Incarnation {
				m.rechecks = append(m.rechecks, recheck{p, n.GetIncarnation()})
				continue
			}
		}
		m.apply(n, p == nil && m.now.Sub(m.startedAt) < quietAfterStart)
	}
}

// contradicts reports whether a record and p differ on whether the node lives
// although neither is plainly newer.
func contradicts(p *peer, n *controlv1.Node) bool {
	state := stateFromProto(n.GetState())
	livesThere := state == fleet.NodeAlive || state == fleet.NodeLeaving
	if p.usable() {
		return !p.suspected && !livesThere
	}
	return livesThere && n.GetIncarnation() <= p.node.Incarnation
}

// apply takes one record of another node. quiet keeps it from being passed on.
func (m *Machine) apply(record *controlv1.Node, quiet bool) {
	if record.GetId() == "" {
		m.stats.Ignored++
		return
	}
	n := NodeFromProto(record)
	p := m.peers[n.ID]
	switch {
	case p == m.self:
		m.applySelf(n)
	case p == nil:
		m.applyUnknown(n, quiet)
	case n.State == fleet.NodeDead || n.State == fleet.NodeSuspect:
		m.applyRumour(p, n)
	default:
		m.applyAlive(p, n)
	}
}

// applySelf refutes wrong records about the own node by a higher incarnation.
func (m *Machine) applySelf(n fleet.Node) {
	self := &m.self.node
	if n.Incarnation < self.Incarnation {
		return
	}
	if n.Incarnation > self.Incarnation && n.PeerAddr != "" && n.PeerAddr != self.PeerAddr {
		m.emit(DuplicateID{n})
	}
	wrong := n.Incarnation > self.Incarnation || n.State == fleet.NodeDead || n.State == fleet.NodeSuspect
	if !wrong || (!m.lastRefuted.IsZero() && m.now.Sub(m.lastRefuted) < refuteInterval) {
		return
	}
	m.lastRefuted = m.now
	m.stats.Refutations++
	self.Incarnation = n.Incarnation + 1
	m.ownRecordChanged()
}

// applyUnknown adds a node. A rumour or short record about an unknown node is
// no news that anyone here could use.
func (m *Machine) applyUnknown(n fleet.Node, quiet bool) {
	if n.PeerAddr == "" || n.State == fleet.NodeDead {
		return
	}
	suspect := n.State == fleet.NodeSuspect
	if suspect {
		n.State = fleet.NodeAlive
	}
	p := m.add(n)
	m.highest = max(m.highest, n.BundleVersion)
	m.emit(NodeChanged{p.node})
	if !quiet {
		m.spread(p, NodeToProto(p.node), recordRank, push)
	}
	if suspect {
		m.suspect(p, false)
	}
}

func (m *Machine) applyRumour(p *peer, n fleet.Node) {
	if n.Incarnation < p.node.Incarnation || !p.usable() {
		return
	}
	if n.Incarnation > p.node.Incarnation {
		// The node refuted an earlier suspicion that was not heard here, and
		// is suspected again.
		p.node.Incarnation = n.Incarnation
		p.suspected = false
	}
	if n.State == fleet.NodeDead && !m.verifies(p) {
		m.dead(p)
		return
	}
	m.suspect(p, false)
	if n.State == fleet.NodeDead {
		// The other node checked it and the fleet had time to refute, so that
		// half of the time and, with a short budget, no own check will do.
		p.checked = true
		if sooner := m.now.Add(m.cfg.SuspectTimeout / 2); p.deadline.After(sooner) {
			p.deadline = sooner
		}
	}
}

// applyAlive takes a record of a live or leaving node.
func (m *Machine) applyAlive(p *peer, n fleet.Node) {
	leaves := n.Incarnation == p.node.Incarnation && n.State == fleet.NodeLeaving && p.node.State != fleet.NodeLeaving && p.usable()
	if n.Incarnation <= p.node.Incarnation && !leaves {
		if n.Incarnation == p.node.Incarnation && n.BundleVersion > p.node.BundleVersion {
			p.node.BundleVersion = n.BundleVersion
			m.emit(NodeChanged{p.node})
			m.spreadVersion(p)
		}
		return
	}
	if n.PeerAddr == "" {
		// A short record changes the incarnation and state alone.
		n = mergeShort(p.node, n)
	} else if n.BundleVersion == 0 && n.Incarnation-p.node.Incarnation < restartStep {
		n.BundleVersion = p.node.BundleVersion
	}
	if n.DataCentre != p.node.DataCentre {
		m.centres[p.node.DataCentre] = drop(m.centres[p.node.DataCentre], p)
		m.centres[n.DataCentre] = insert(m.centres[n.DataCentre], p)
	}
	if !p.usable() {
		// A node that comes back may be one side of a healed cut.
		m.syncOnDemand(n.PeerAddr)
	}
	revived := !p.usable()
	p.node = n
	p.suspected, p.told = false, false
	m.highest = max(m.highest, n.BundleVersion)
	m.emit(NodeChanged{p.node})
	m.spread(p, NodeToProto(p.node), stateRank, push)
	if revived && m.verifies(p) {
		// The news may be older than the node's death.
		m.probe(p, false)
	}
}

// restartStep separates a refutation, which raises the incarnation by one, from
// a restart, whose incarnation is its start time in nanoseconds.
const restartStep = 1_000_000

func mergeShort(old, n fleet.Node) fleet.Node {
	old.Incarnation, old.State = n.Incarnation, n.State
	old.BundleVersion = max(old.BundleVersion, n.BundleVersion)
	return old
}
