package membership

import (
	"time"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
)

func (m *Machine) handlePacket(e Packet) {
	d := e.Message
	if d.GetFrom() == "" || fleet.NodeID(d.From) == m.self.node.ID {
		m.stats.Ignored++
		return
	}
	m.lastReceived = m.now
	for _, n := range d.Nodes {
		m.apply(n, false)
	}
	m.detectOutdatedRecord(d)
	for _, t := range d.Targets {
		if t.GetId() == "" || t.GetNode() == "" {
			m.stats.Ignored++
			continue
		}
		m.emit(TargetReceived{TargetFromProto(t)})
	}
	sender := m.peers[fleet.NodeID(d.From)]
	m.recordSender(sender, e.From)
	switch body := d.Body.(type) {
	case *controlv1.Datagram_Ping:
		m.handlePing(e.From, sender, body.Ping)
	case *controlv1.Datagram_Ack:
		m.handleAck(sender, body.Ack.GetSequence())
	case *controlv1.Datagram_PingRequest:
		m.handlePingRequest(e.From, body.PingRequest)
	default:
		// A sender that is dead in this node's records is sent that failure
		// report, so that it can refute it.
		if sender != nil && !sender.live() && d.Incarnation <= sender.node.Incarnation {
			m.sendWithUpdates(sender.node.PeerAddr, sender, m.datagram(), classBulk)
		}
	}
}

// detectOutdatedRecord checks whether the sender's record of this node is
// outdated, because the packet that carried the current one may have been lost.
// If so, the next packet to the sender carries it again.
func (m *Machine) detectOutdatedRecord(d *controlv1.Datagram) {
	sender := m.peers[fleet.NodeID(d.From)]
	if sender == nil {
		return
	}
	for _, n := range d.Nodes {
		if fleet.NodeID(n.GetId()) == m.self.node.ID && n.GetIncarnation() < m.self.node.Incarnation {
			sender.ownRecordSent = false
		}
	}
}

// recordSender adds the sender to the latest senders. If the sender is unknown,
// a full-state exchange with it is requested, because the packet with its
// record was lost. The same happens while this node has not joined yet.
func (m *Machine) recordSender(sender *peer, addr string) {
	if sender == nil || !m.joined {
		m.syncOnDemand(addr)
	}
	if sender == nil {
		return
	}
	if len(m.recentSenders) > 0 && m.recentSenders[0] == sender {
		return
	}
	m.recentSenders = append([]*peer{sender}, removePeer(m.recentSenders, sender)...)
	if len(m.recentSenders) > maxRecentSenders {
		m.recentSenders = m.recentSenders[:maxRecentSenders]
	}
}

// syncOnDemand requests a full-state exchange unless it requested another one
// within syncOnDemandInterval.
func (m *Machine) syncOnDemand(addr string) {
	if m.lastOnDemandSync.IsZero() || m.now.Sub(m.lastOnDemandSync) >= syncOnDemandInterval {
		m.lastOnDemandSync = m.now
		m.emit(SyncWith{addr})
	}
}

func (m *Machine) handlePing(addr string, sender *peer, ping *controlv1.Ping) {
	if ping.GetTo() != "" && fleet.NodeID(ping.To) != m.self.node.ID {
		m.stats.Ignored++
		return
	}
	d := m.datagram()
	d.Body = &controlv1.Datagram_Ack{Ack: &controlv1.Ack{Sequence: ping.GetSequence()}}
	m.sendWithUpdates(addr, sender, d, classAck)
}

func (m *Machine) handleAck(sender *peer, sequence uint64) {
	for i, pr := range m.probes {
		if pr.sequence != sequence {
			continue
		}
		m.probes = append(m.probes[:i], m.probes[i+1:]...)
		m.lastResponder = sender
		if sender != pr.target {
			m.probeSlowdown = min(m.probeSlowdown+1, maxProbeSlowdown)
			m.lastHelper, pr.target.helper, pr.target.indirectAckAt = sender, sender, m.now
		} else {
			pr.target.indirectAckAt = time.Time{}
			m.probeSlowdown = max(m.probeSlowdown-1, 0)
		}
		if pr.target.suspected {
			// The ack proves that the node is alive. Its refutation follows.
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
		d.Body = &controlv1.Datagram_Ack{Ack: &controlv1.Ack{Sequence: f.originSequence}}
		// The origin may still hold a suspicion that the target has refuted.
		d.Nodes = []*controlv1.Node{stateRecord(f.target)}
		m.sendWithUpdates(f.origin, m.byAddr(f.origin), d, classAck)
		return
	}
}

// byAddr returns the peer among the latest senders that has the address, or
// nil.
func (m *Machine) byAddr(addr string) *peer {
	for _, p := range m.recentSenders {
		if p.node.PeerAddr == addr {
			return p
		}
	}
	return nil
}

func (m *Machine) handlePingRequest(origin string, r *controlv1.PingRequest) {
	target := m.peers[fleet.NodeID(r.GetTo())]
	if target == m.self {
		return
	}
	if target == nil || len(m.forwards) >= maxForwards {
		m.expireForwards()
		m.stats.Ignored++
		return
	}
	m.expireForwards()
	m.sequence++
	m.forwards = append(m.forwards, forward{
		sequence: m.sequence, target: target, origin: origin, originSequence: r.GetSequence(),
		expires: m.now.Add(m.cfg.ProbeTimeout),
	})
	m.ping(target, m.sequence, classIndirectPing)
}

func (m *Machine) expireForwards() {
	kept := m.forwards[:0]
	for _, f := range m.forwards {
		if m.now.Before(f.expires) {
			kept = append(kept, f)
		}
	}
	m.forwards = kept
}

// merge applies the records of a full-state exchange. Failure reports among
// them start no suspicion about a healthy node: after a long network partition,
// the other side has declared all nodes dead, and suspecting all of them at
// once would exceed the byte budget. The nodes concerned are sent the reports
// instead, see recheck.
func (m *Machine) merge(e Merge) {
	m.scheduleEarlySyncs()
	for _, n := range e.Nodes {
		p := m.peers[fleet.NodeID(n.GetId())]
		if p != nil && p != m.self && contradicts(p, n) {
			if !m.verifies(p) {
				// The relays verify which record is right.
				m.disseminate(p, stateRecord(p), stateRank, push)
				continue
			}
			if n.GetIncarnation() >= p.node.Incarnation {
				m.rechecks = append(m.rechecks, recheck{p, n.GetIncarnation()})
				continue
			}
		}
		m.apply(n, p == nil && m.now.Sub(m.startedAt) < noGossipAfterStart)
	}
}

// contradicts reports whether the record n and the record of p disagree on
// whether the node is alive. A live record of a higher incarnation than that of
// a dead p is newer and does not contradict it.
func contradicts(p *peer, n *controlv1.Node) bool {
	state := stateFromProto(n.GetState())
	recordIsAlive := state == fleet.NodeAlive || state == fleet.NodeLeaving
	if p.live() {
		return !p.suspected && !recordIsAlive
	}
	return recordIsAlive && n.GetIncarnation() <= p.node.Incarnation
}

// apply applies one record received from another node. noGossip prevents a
// newly learned node from being disseminated.
func (m *Machine) apply(record *controlv1.Node, noGossip bool) {
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
		m.applyUnknown(n, noGossip)
	case n.State == fleet.NodeDead || n.State == fleet.NodeSuspect:
		m.applyFailureReport(p, n)
	default:
		m.applyAlive(p, n)
	}
}

// applySelf refutes a wrong record about this node by raising its incarnation.
func (m *Machine) applySelf(n fleet.Node) {
	self := &m.self.node
	if n.Incarnation < self.Incarnation {
		return
	}
	if n.Incarnation > self.Incarnation && n.PeerAddr != "" && n.PeerAddr != self.PeerAddr {
		m.emit(DuplicateID{n})
	}
	wrong := n.Incarnation > self.Incarnation || n.State == fleet.NodeDead || n.State == fleet.NodeSuspect
	if !wrong || (!m.lastRefutation.IsZero() && m.now.Sub(m.lastRefutation) < refuteInterval) {
		return
	}
	m.lastRefutation = m.now
	m.stats.Refutations++
	self.Incarnation = n.Incarnation + 1
	m.ownRecordChanged()
}

// applyUnknown adds a node that was not known. Short records and records of
// dead nodes are ignored, because without an address or a live process there is
// nothing to contact.
func (m *Machine) applyUnknown(n fleet.Node, noGossip bool) {
	if n.PeerAddr == "" || n.State == fleet.NodeDead {
		return
	}
	suspect := n.State == fleet.NodeSuspect
	if suspect {
		n.State = fleet.NodeAlive
	}
	p := m.add(n)
	m.highestVersion = max(m.highestVersion, n.BundleVersion)
	m.emit(NodeChanged{p.node})
	if !noGossip {
		m.disseminate(p, NodeToProto(p.node), recordRank, push)
	}
	if suspect {
		m.suspect(p, false)
	}
}

func (m *Machine) applyFailureReport(p *peer, n fleet.Node) {
	if n.Incarnation < p.node.Incarnation || !p.live() {
		return
	}
	if n.Incarnation > p.node.Incarnation {
		// The node refuted an earlier suspicion, but the refutation did not
		// arrive here. It is now suspected again.
		p.node.Incarnation = n.Incarnation
		p.suspected = false
	}
	if n.State == fleet.NodeDead && !m.verifies(p) {
		m.declareDead(p)
		return
	}
	m.suspect(p, false)
	if n.State == fleet.NodeDead {
		// The other node verified p, and p had time to refute. Half of the
		// suspect timeout is therefore enough, and no probe of this node is
		// needed if the budget does not allow one.
		p.checked = true
		if earlier := m.now.Add(m.cfg.SuspectTimeout / 2); p.deadline.After(earlier) {
			p.deadline = earlier
		}
	}
}

// applyAlive applies a record of an alive or leaving node.
func (m *Machine) applyAlive(p *peer, n fleet.Node) {
	startsLeaving := n.Incarnation == p.node.Incarnation && n.State == fleet.NodeLeaving && p.node.State != fleet.NodeLeaving && p.live()
	if n.Incarnation <= p.node.Incarnation && !startsLeaving {
		if n.Incarnation == p.node.Incarnation && n.BundleVersion > p.node.BundleVersion {
			p.node.BundleVersion = n.BundleVersion
			m.emit(NodeChanged{p.node})
			m.disseminateVersion(p)
		}
		return
	}
	if n.PeerAddr == "" {
		// A short record holds only the incarnation, state and bundle version.
		n = mergeShort(p.node, n)
	} else if n.BundleVersion == 0 && n.Incarnation-p.node.Incarnation < minRestartStep {
		n.BundleVersion = p.node.BundleVersion
	}
	if n.DataCentre != p.node.DataCentre {
		m.centres[p.node.DataCentre] = removePeer(m.centres[p.node.DataCentre], p)
		m.centres[n.DataCentre] = insert(m.centres[n.DataCentre], p)
	}
	if !p.live() {
		// A node that is alive again may have been on the other side of a
		// network partition that has healed.
		m.syncOnDemand(n.PeerAddr)
	}
	revived := !p.live()
	p.node = n
	p.suspected, p.ownRecordSent = false, false
	m.highestVersion = max(m.highestVersion, n.BundleVersion)
	m.emit(NodeChanged{p.node})
	m.disseminate(p, NodeToProto(p.node), stateRank, push)
	if revived && m.verifies(p) {
		// The record may be older than the node's death.
		m.probe(p, false)
	}
}

// minRestartStep is the smallest increment of the incarnation that counts as a
// restart. A refutation raises the incarnation by one. A restarted node uses
// its start time in nanoseconds.
const minRestartStep = 1_000_000

func mergeShort(old, n fleet.Node) fleet.Node {
	old.Incarnation, old.State = n.Incarnation, n.State
	old.BundleVersion = max(old.BundleVersion, n.BundleVersion)
	return old
}
