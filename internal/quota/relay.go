package quota

import (
	"slices"
	"time"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// A node may fail to reach the owner of a quota although other nodes do, and
// membership then keeps the owner. The next node in order asks the owner for it.

const (
	// silentSpan is how long a node that did not answer is not asked first.
	silentSpan = time.Second
	// maxRelayed bounds the requests of one relayed query.
	maxRelayed = 256
)

// relay is a query of another node that this node passes on.
type relay struct {
	addr         string
	sequence     uint64
	organisation string
	undecided    int
	granted      int
	retryAfter   time.Duration
	unknown      bool
}

// relay asks the owner for the requests of another node beyond those that were
// granted from the reserve. It reports false if it cannot.
func (m *Machine) relay(now time.Duration, from fleet.NodeID, addr string, sequence uint64, r *controlv1.QuotaRequest, granted int) bool {
	organisation, rest := r.GetOrganisation(), int(r.GetWanted())-granted
	quota, ok := m.quota(organisation)
	if !ok || quota.RequestsPerSecond <= 0 || rest > maxRelayed {
		return false
	}
	var order [maxAsked]*member
	m.members.order(orgHash(organisation), &order)
	if order[0] == nil || order[0].id == from || now < order[0].silentUntil {
		return false
	}
	passed := &relay{addr: addr, sequence: sequence, organisation: organisation, undecided: rest, granted: granted}
	waiters := make([]*Waiter, rest)
	for i := range waiters {
		waiters[i] = &Waiter{organisation: organisation, relay: passed}
	}
	m.wait(now, m.demand(now, organisation, quota), waiters...)
	return true
}

func (r *relay) decide(m *Machine, decision Decision) {
	switch {
	case decision.Granted:
		r.granted++
	case decision.Unknown:
		r.unknown = true
	case r.retryAfter == 0:
		r.retryAfter = decision.RetryAfter
	}
	if r.undecided--; r.undecided == 0 {
		m.finished = append(m.finished, r)
	}
}

// finish adds the answers to relayed queries that were decided to the datagrams
// to send.
func (m *Machine) finish() []Send {
	for _, r := range m.finished {
		m.sends = append(m.sends, Send{Addr: r.addr, Answer: &controlv1.QuotaAnswer{
			Sequence: r.sequence,
			Grants: []*controlv1.QuotaGrant{{
				Organisation: r.organisation, Granted: uint32(r.granted), RetryAfterMs: milliseconds(r.retryAfter), NotOwner: r.unknown,
			}},
		}})
	}
	clear(m.finished)
	m.finished = m.finished[:0]
	return m.sends
}

func (d *demand) hasRelayed() bool {
	return slices.ContainsFunc(d.waiting, func(w *Waiter) bool { return w.relay != nil })
}

// dropRelayed gives up the requests of other nodes, which ask further nodes
// themselves.
func (d *demand) dropRelayed() {
	d.waiting = slices.DeleteFunc(d.waiting, func(w *Waiter) bool {
		if w.relay != nil {
			w.relay.decide(d.machine, unknown)
		}
		return w.relay != nil
	})
}
