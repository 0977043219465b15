package membership

import (
	"google.golang.org/protobuf/proto"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
)

// sendClass is the class of a packet. It determines how early the packet is
// dropped when the byte budget runs short, see Machine.reserve. Acks are
// dropped last, because a missing ack makes a live node look dead.
type sendClass uint8

const (
	// classBulk is for updates and rechecks that may be delayed by minutes.
	classBulk sendClass = iota
	// classStateChange is for changes of a node's state.
	classStateChange
	// classProbe is for regular probes and pings of seed addresses. When this
	// node has no tokens for a probe, other nodes still probe the same peer.
	classProbe
	// classCheck is for packets that decide whether an unresponsive or suspected
	// node is alive: second pings, ping requests to helpers, probes that verify a
	// suspicion, and pings of dead nodes.
	classCheck
	// classIndirectPing is for a ping on behalf of another node, which may have
	// no other helper.
	classIndirectPing
	// classAck is for direct and forwarded acks.
	classAck
)

// statePiggybackBytes is the number of bytes of state changes that a packet may
// carry whatever the budget.
const statePiggybackBytes = 240

// burstSeconds is the capacity of the token bucket, in seconds of the byte
// budget. Unused budget is saved up to this limit for the traffic of a fault.
const burstSeconds = 4

// reserve returns the number of tokens (bytes) that must remain in the bucket
// after a packet of the class is sent. Bulk updates leave half of the bucket
// for the traffic of a possible fault. Indirect pings and acks may overdraw the
// bucket.
func (m *Machine) reserve(class sendClass) int {
	seconds := [...]float64{classBulk: 2, classStateChange: 0, classCheck: 0, classProbe: 0.5, classIndirectPing: -1, classAck: -2}
	return int(seconds[class] * float64(m.cfg.BytesPerSecond))
}

// refill adds the tokens for the time since the last refill.
func (m *Machine) refill() {
	perSecond := float64(m.cfg.BytesPerSecond)
	if !m.refilled.IsZero() {
		m.tokens = min(burstSeconds*perSecond, m.tokens+perSecond*m.now.Sub(m.refilled).Seconds())
	}
	m.refilled = m.now
}

func (m *Machine) datagram() *controlv1.Datagram {
	return &controlv1.Datagram{From: string(m.self.node.ID), Incarnation: m.self.node.Incarnation, BundleVersion: m.self.node.BundleVersion}
}

// sendWithUpdates sends d with piggybacked updates. A failure report about the
// receiver comes first, then this node's record unless it was sent to the
// receiver before. The result reports whether the budget allowed the packet.
func (m *Machine) sendWithUpdates(addr string, p *peer, d *controlv1.Datagram, class sendClass) bool {
	if p != nil && (p.suspected || !p.live()) && !hasNodeRecord(d, p) {
		d.Nodes = append(d.Nodes, stateRecord(p))
	}
	if p == nil || !p.ownRecordSent {
		d.Nodes = append(d.Nodes, NodeToProto(m.self.node))
	}
	if !m.withinBudget(packetSize(d), class) {
		return false
	}
	if p != nil {
		p.ownRecordSent = true
	}
	if p != nil && p.live() {
		q := m.local
		if !m.cfg.ProbeAll && p.node.DataCentre != m.self.node.DataCentre {
			q = m.remote
		}
		size := packetSize(d)
		space, tokens := MaxDatagram+28-size, int(m.tokens)-size
		// State changes are small and urgent enough to overdraw the bucket.
		stateRoom := max(min(space, statePiggybackBytes), min(space, tokens-m.reserve(classStateChange)))
		bulkRoom := min(space, tokens-m.reserve(classBulk))
		q.fill(d, stateRoom, bulkRoom, string(p.node.ID))
	}
	m.transmit(addr, d)
	return true
}

func hasNodeRecord(d *controlv1.Datagram, p *peer) bool {
	for _, n := range d.Nodes {
		if n.Id == string(p.node.ID) {
			return true
		}
	}
	return false
}

func (m *Machine) withinBudget(size int, class sendClass) bool {
	if int(m.tokens)-size < m.reserve(class) {
		m.stats.OverBudget++
		return false
	}
	return true
}

func (m *Machine) transmit(addr string, d *controlv1.Datagram) {
	size := packetSize(d)
	m.tokens -= float64(size)
	m.stats.SentPackets++
	m.stats.SentBytes += uint64(size)
	m.emit(Send{To: addr, Message: d})
}

// packetSize returns the size of a datagram on the wire in bytes, including its
// headers and authentication tag.
func packetSize(d *controlv1.Datagram) int { return proto.Size(d) + packetOverhead }
