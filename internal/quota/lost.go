package quota

import (
	"time"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
)

// A node that starts while others are cut off learns of them from the nodes that
// were there before. Membership tells it only about live nodes.

const (
	// lostAsked is the number of nodes that a node asks in each call of Sweep
	// while it has just joined.
	lostAsked = 3
	// maxLost bounds the lost nodes in one answer, which has to fit a datagram.
	maxLost = 180
)

// askLost returns queries for lost nodes to a few nodes that did not start at
// the same time, if the node has just joined.
func (m *Machine) askLost(now time.Duration) []Send {
	m.sends = m.sends[:0]
	k := m.members
	if !k.joined || now >= k.joinedAt+handover {
		return m.sends
	}
	for i := 0; i < len(k.others) && len(m.sends) < lostAsked; i++ {
		m.nextAsked = (m.nextAsked + 1) % len(k.others)
		if o := k.others[m.nextAsked]; o.usable {
			m.sends = append(m.sends, Send{Addr: o.addr, Query: &controlv1.QuotaQuery{}})
		}
	}
	return m.sends
}

// answerLost adds the nodes that failed and did not leave.
func (k *members) answerLost(now time.Duration, a *controlv1.QuotaAnswer) {
	add := func(hash uint32, at time.Duration) {
		if len(a.LostNodes) < maxLost {
			a.LostNodes = append(a.LostNodes, hash)
			a.LostSeconds = append(a.LostSeconds, uint32((now - at).Seconds()))
		}
	}
	for _, o := range k.others {
		if !o.usable && !o.left {
			add(uint32(o.hash), o.lostAt)
		}
	}
	for hash, at := range k.lost {
		add(hash, at)
	}
}

// learnLost takes the answer of a node that was there before into account.
func (k *members) learnLost(now time.Duration, a *controlv1.QuotaAnswer) {
	if len(a.GetLostNodes()) != len(a.GetLostSeconds()) || len(k.lost) >= maxLost {
		return
	}
	known := make(map[uint32]bool, len(k.others)+1)
	known[uint32(k.hash)] = true
	for _, o := range k.others {
		known[uint32(o.hash)] = true
	}
	for i, hash := range a.GetLostNodes() {
		if !known[hash] {
			k.lost[hash] = now - time.Duration(a.GetLostSeconds()[i])*time.Second
			k.recountAt = now
		}
	}
}
