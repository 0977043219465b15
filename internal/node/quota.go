package node

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/config"
	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/freshness"
	"siskinvale.dev/siskinvale/internal/ingress"
	"siskinvale.dev/siskinvale/internal/membership"
	"siskinvale.dev/siskinvale/internal/metric"
	"siskinvale.dev/siskinvale/internal/quota"
)

// quotas is the shell of the quota machine. Requests wait for its answers, so
// datagrams reach it without the control goroutine.
type quotas struct {
	node   *Node
	bundle atomic.Pointer[bundle.Bundle]
	// transport is set when the node runs. Datagrams arrive from then on, and
	// before Listen has returned.
	transport atomic.Pointer[membership.Transport]
	// heardAt is the boot time at which the machine was last told of a datagram.
	heardAt atomic.Int64

	mu      sync.Mutex
	machine *quota.Machine
	// remoteAddrs holds the addresses of the nodes in other data centres.
	remoteAddrs map[string]bool
}

// heardInterval is the shortest time between two datagrams of which the machine
// is told. Its limits are over a second.
const heardInterval = 100 * time.Millisecond

// newQuotas returns nil if the settings do not enable quotas.
func newQuotas(n *Node, o config.Organisations) *quotas {
	if o.QuotaWindow <= 0 {
		return nil
	}
	q := &quotas{node: n, remoteAddrs: make(map[string]bool)}
	limits := quota.Config{Window: o.QuotaWindow, Excess: o.QuotaExcess, Slack: o.QuotaSlack}
	// With an adapter, discovery finds out whether there are other nodes.
	alone := n.adapter == nil && len(n.seeds()) == 0
	q.machine = quota.New(n.self.ID, alone, limits, q.lookup, freshness.BootTime())
	return q
}

func (q *quotas) lookup(organisation string) (bundle.Quota, bool) {
	b := q.bundle.Load()
	if b == nil {
		return bundle.Quota{}, false
	}
	return b.Quota(organisation), true
}

// Take implements ingress.Quotas.
func (q *quotas) Take(ctx context.Context, organisation string, limit bundle.Quota) ingress.QuotaDecision {
	q.mu.Lock()
	decision, waiter, sends := q.machine.Take(freshness.BootTime(), organisation, limit)
	sends = slices.Clone(sends)
	q.mu.Unlock()
	if waiter == nil {
		return ingress.QuotaDecision(decision)
	}
	q.send(sends)
	select {
	case decision = <-waiter.Decided:
		return ingress.QuotaDecision(decision)
	case <-ctx.Done():
	}
	q.mu.Lock()
	q.machine.Abandon(waiter)
	q.mu.Unlock()
	select {
	case decision = <-waiter.Decided:
		return ingress.QuotaDecision(decision)
	default:
		return ingress.QuotaDecision{Unknown: true}
	}
}

// Return implements ingress.Quotas.
func (q *quotas) Return(organisation string, d ingress.QuotaDecision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.machine.Return(freshness.BootTime(), organisation, quota.Decision(d))
}

// receive handles a datagram. It reports whether the datagram was for the quota
// machine alone.
func (q *quotas) receive(from string, d *controlv1.Datagram) bool {
	query, answer := d.GetQuotaQuery(), d.GetQuotaAnswer()
	if q == nil {
		return query != nil || answer != nil
	}
	now := freshness.BootTime()
	if now-time.Duration(q.heardAt.Load()) >= heardInterval || query != nil {
		q.heardAt.Store(int64(now))
		q.mu.Lock()
		q.machine.Heard(now)
		q.mu.Unlock()
	}
	switch {
	case query != nil:
		q.mu.Lock()
		sends := slices.Clone(q.machine.Query(now, fleet.NodeID(d.GetFrom()), from, query))
		q.mu.Unlock()
		q.send(sends)
		return true
	case answer != nil:
		q.mu.Lock()
		sends := slices.Clone(q.machine.Answer(now, answer))
		q.mu.Unlock()
		q.send(sends)
		return true
	}
	return false
}

// tick handles queries that were not answered in time.
func (q *quotas) tick() {
	if q == nil {
		return
	}
	q.mu.Lock()
	sends := slices.Clone(q.machine.Tick(freshness.BootTime()))
	q.mu.Unlock()
	q.send(sends)
}

// send sends datagrams. One that cannot be sent is treated like one that was
// lost; the transport counts it.
func (q *quotas) send(sends []quota.Send) {
	transport := q.transport.Load()
	if transport == nil {
		return
	}
	for _, s := range sends {
		d := &controlv1.Datagram{From: string(q.node.self.ID), Incarnation: q.node.self.Incarnation}
		if s.Query != nil {
			d.Body = &controlv1.Datagram_QuotaQuery{QuotaQuery: s.Query}
			time.AfterFunc(quota.AnswerTimeout, q.tick)
		} else {
			d.Body = &controlv1.Datagram_QuotaAnswer{QuotaAnswer: s.Answer}
		}
		q.mu.Lock()
		remote := q.remoteAddrs[s.Addr]
		q.mu.Unlock()
		q.node.control.traffic.add(dutyQuotas, remote, proto.Size(d))
		_ = transport.Send(s.Addr, d)
	}
}

// nodeChanged takes a new or changed record of a node into account, also that of
// this node.
func (q *quotas) nodeChanged(n fleet.Node) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if n.DataCentre != q.node.self.DataCentre && n.State != fleet.NodeDead {
		q.remoteAddrs[n.PeerAddr] = true
	} else {
		delete(q.remoteAddrs, n.PeerAddr)
	}
	q.machine.NodeChanged(freshness.BootTime(), n)
}

// setBundle takes the bundle in force into account.
func (q *quotas) setBundle(b *bundle.Bundle) {
	if q != nil {
		q.bundle.Store(b)
	}
}

// alone tells the machine that this is the only node.
func (q *quotas) alone() {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.machine.Alone()
}

// describe returns lines for operators about the quota of an organisation.
func (q *quotas) describe(organisation string, limit bundle.Quota) []string {
	if limit == (bundle.Quota{}) {
		return nil
	}
	lines := []string{fmt.Sprintf("quota of organisation %s: %g requests/s, burst %g, through all nodes together",
		organisation, limit.RequestsPerSecond, limit.Burst)}
	if q == nil {
		return append(lines, "this node does not enforce quotas: organisations.quotaWindow is not set")
	}
	q.mu.Lock()
	d := q.machine.Describe(freshness.BootTime(), organisation)
	q.mu.Unlock()
	lines = append(lines, fmt.Sprintf("nodes that decide on the quota, the owner first: %s", joinIDs(d.Order)))
	if d.Scale < 1 {
		lines = append(lines, fmt.Sprintf("other nodes failed and may be cut off: only %.2f of the quota is granted", d.Scale))
	}
	if d.Owner {
		lines = append(lines, fmt.Sprintf("this node owns the quota and could grant %d requests at once", int(d.Tokens)))
	}
	return lines
}

func joinIDs(ids []fleet.NodeID) string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return strings.Join(names, ", ")
}

// start lets the machine send datagrams.
func (q *quotas) start(t *membership.Transport) {
	if q != nil {
		q.transport.Store(t)
	}
}

// sweep drops the state of organisations that are not in use.
func (q *quotas) sweep() {
	if q == nil {
		return
	}
	q.mu.Lock()
	sends := slices.Clone(q.machine.Sweep(freshness.BootTime()))
	q.mu.Unlock()
	q.send(sends)
}

func (q *quotas) register(m *metric.Set) {
	if q == nil {
		return
	}
	for name, read := range map[string]func(quota.Stats) uint64{
		`siskinvale_quota_requests{result="granted"}`:  func(s quota.Stats) uint64 { return s.Granted },
		`siskinvale_quota_requests{result="rejected"}`: func(s quota.Stats) uint64 { return s.Rejected },
		`siskinvale_quota_requests{result="unknown"}`:  func(s quota.Stats) uint64 { return s.Unknown },
		`siskinvale_quota_queries_sent`:                func(s quota.Stats) uint64 { return s.Queries },
		`siskinvale_quota_queries_answered`:            func(s quota.Stats) uint64 { return s.Answered },
	} {
		m.RegisterGauge(name, func() float64 {
			q.mu.Lock()
			defer q.mu.Unlock()
			return float64(read(q.machine.Stats()))
		})
	}
}
