package membership

import (
	"google.golang.org/protobuf/proto"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
)

// sendClass says what happens to a packet when the budget is used up.
type sendClass uint8

const (
	// optional packets are left out; their news is piggybacked later.
	optional sendClass = iota
	// essential packets (probes, answers) may take up to one second's budget
	// in advance.
	essential
)

// refill adds the tokens of the time that passed. The bucket holds one second's
// budget.
func (m *Machine) refill() {
	if !m.refilled.IsZero() {
		perSecond := float64(m.cfg.BytesPerSecond)
		m.tokens = min(perSecond, m.tokens+perSecond*m.now.Sub(m.refilled).Seconds())
	}
	m.refilled = m.now
}

func (m *Machine) datagram() *controlv1.Datagram {
	return &controlv1.Datagram{From: string(m.self.node.ID), Incarnation: m.self.node.Incarnation}
}

// sendWithNews sends d with piggybacked updates. The receiver is told first of
// a rumour about itself and of the own record if it does not have it.
func (m *Machine) sendWithNews(addr string, p *peer, d *controlv1.Datagram, class sendClass) {
	if p != nil && (p.suspected || !p.usable()) && !mentions(d, p) {
		d.Nodes = append(d.Nodes, rumour(p))
	}
	if p == nil || !p.told {
		d.Nodes = append(d.Nodes, NodeToProto(m.self.node))
	}
	if !m.affords(packetSize(d), class) {
		m.stats.OverBudget++
		return
	}
	if p != nil {
		p.told = true
	}
	if p != nil && p.usable() {
		q := m.local
		if !m.cfg.ProbeAll && p.node.DataCentre != m.self.node.DataCentre {
			q = m.remote
		}
		size := packetSize(d)
		// Piggybacked bytes are paid from tokens that are there. A quarter of
		// a second's budget stays for urgent updates.
		room := min(MaxDatagram+28-size, int(m.tokens)-size-m.cfg.BytesPerSecond/4)
		if room > 0 {
			q.fill(d, room, string(p.node.ID))
		}
	}
	m.spend(addr, d)
}

func mentions(d *controlv1.Datagram, p *peer) bool {
	for _, n := range d.Nodes {
		if n.Id == string(p.node.ID) {
			return true
		}
	}
	return false
}

// send sends d as it is.
func (m *Machine) send(addr string, p *peer, d *controlv1.Datagram, class sendClass) {
	if !m.affords(packetSize(d), class) {
		m.stats.OverBudget++
		return
	}
	m.spend(addr, d)
}

func (m *Machine) affords(size int, class sendClass) bool {
	if class == essential {
		return m.tokens-float64(size) >= -float64(m.cfg.BytesPerSecond)
	}
	return m.tokens >= float64(size)
}

func (m *Machine) spend(addr string, d *controlv1.Datagram) {
	size := packetSize(d)
	m.tokens -= float64(size)
	m.stats.SentPackets++
	m.stats.SentBytes += uint64(size)
	m.emit(Send{To: addr, Message: d})
}

// packetSize is what a datagram costs on the wire with its headers and tag.
func packetSize(d *controlv1.Datagram) int { return proto.Size(d) + packetOverhead }
