package membership

import (
	"google.golang.org/protobuf/proto"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
)

// sendClass orders packets by what is left out first when the budget gets
// short. An answer that is left out makes a live node look dead, so answers go
// last.
type sendClass uint8

const (
	// bulk news may wait for minutes if need be.
	bulk sendClass = iota
	// state news are changes of a node's state.
	state
	// probing is a regular probe. When this node has no tokens for it, others
	// still probe.
	probing
	// check is what an open doubt about a node needs: requests to helpers and
	// the check of a rumour.
	check
	// helping is a ping on behalf of another node, which may have no other
	// helper.
	helping
	// answering is the answer to a probe.
	answering
)

// statePiggyback is how many bytes of state changes a packet may always carry.
const statePiggyback = 240

// burstSeconds is how many seconds' budget can be saved up for a fault.
const burstSeconds = 4

// reserve returns the tokens that a packet of the class must leave. Bulk news
// leave half of the bucket for the faults that may come next; probes and answers
// may be paid for in advance.
func (m *Machine) reserve(class sendClass) int {
	seconds := [...]float64{bulk: 2, state: 0, check: 0, probing: 0.5, helping: -1, answering: -2}
	return int(seconds[class] * float64(m.cfg.BytesPerSecond))
}

// refill adds the tokens of the time that passed.
func (m *Machine) refill() {
	perSecond := float64(m.cfg.BytesPerSecond)
	if !m.refilled.IsZero() {
		m.tokens = min(burstSeconds*perSecond, m.tokens+perSecond*m.now.Sub(m.refilled).Seconds())
	}
	m.refilled = m.now
}

func (m *Machine) datagram() *controlv1.Datagram {
	return &controlv1.Datagram{From: string(m.self.node.ID), Incarnation: m.self.node.Incarnation}
}

// sendWithNews sends d with piggybacked updates. The receiver is told first of
// a rumour about itself and of the own record if it does not have it. It reports
// whether the budget allowed the packet.
func (m *Machine) sendWithNews(addr string, p *peer, d *controlv1.Datagram, class sendClass) bool {
	if p != nil && (p.suspected || !p.usable()) && !mentions(d, p) {
		d.Nodes = append(d.Nodes, rumour(p))
	}
	if p == nil || !p.told {
		d.Nodes = append(d.Nodes, NodeToProto(m.self.node))
	}
	if !m.affords(packetSize(d), class) {
		return false
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
		space, tokens := MaxDatagram+28-size, int(m.tokens)-size
		// The few bytes of a state change are worth a debt.
		room := max(min(space, statePiggyback), min(space, tokens-m.reserve(state)))
		rest := min(space, tokens-m.reserve(bulk))
		q.fill(d, room, rest, string(p.node.ID))
	}
	m.spend(addr, d)
	return true
}

func mentions(d *controlv1.Datagram, p *peer) bool {
	for _, n := range d.Nodes {
		if n.Id == string(p.node.ID) {
			return true
		}
	}
	return false
}

func (m *Machine) affords(size int, class sendClass) bool {
	if int(m.tokens)-size < m.reserve(class) {
		m.stats.OverBudget++
		return false
	}
	return true
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
