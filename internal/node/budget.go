package node

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/metric"
	"siskinvale.dev/siskinvale/internal/retry"
)

// retryLoans moves retries of the fleet's budget between nodes: it asks other
// nodes for retries when this node's share is used up, and lends them. A nil
// *retryLoans does nothing. Borrow is safe for concurrent use; the control
// goroutine owns all fields except the counters.
type retryLoans struct {
	node       *Node
	borrower   *retry.Borrower
	peersStale bool
	waiting    map[string][]*loanWait // by service

	lentMilli, borrowedMilli, refused atomic.Uint64
}

// loanWait is one request that waits for a loan. done receives whether a loan
// has arrived.
type loanWait struct {
	retries float64
	done    chan bool
}

func newRetryLoans(n *Node, window time.Duration) *retryLoans {
	return &retryLoans{
		node: n, borrower: retry.NewBorrower(window, n.self.Incarnation), peersStale: true, waiting: make(map[string][]*loanWait),
	}
}

// Borrow implements ingress.RetryLoans.
func (l *retryLoans) Borrow(ctx context.Context, service string, retries float64) bool {
	w := &loanWait{retries, make(chan bool, 1)}
	if !l.node.control.post(func() { l.addWait(service, w) }) {
		return false
	}
	select {
	case borrowed := <-w.done:
		return borrowed
	case <-ctx.Done():
		l.node.control.post(func() { l.removeWait(service, w) })
		return false
	}
}

func (l *retryLoans) addWait(service string, w *loanWait) {
	l.waiting[service] = append(l.waiting[service], w)
	l.ask(service)
}

func (l *retryLoans) removeWait(service string, w *loanWait) {
	waits := l.waiting[service]
	for i := range waits {
		if waits[i] == w {
			l.waiting[service] = append(waits[:i], waits[i+1:]...)
			break
		}
	}
	l.ask(service)
}

// ask sends the next query for the requests that wait for retries of a service.
// If there is none and no query is unanswered, it ends their wait.
func (l *retryLoans) ask(service string) {
	if len(l.waiting[service]) == 0 {
		return
	}
	l.refreshPeers()
	now, wanted := time.Now(), 0.0
	for _, w := range l.waiting[service] {
		wanted += w.retries
	}
	if q, ok := l.borrower.Want(now, service, wanted); ok {
		l.send(l.node.control.nodes[q.To].PeerAddr, &controlv1.Datagram{Body: &controlv1.Datagram_BudgetQuery{BudgetQuery: &controlv1.BudgetQuery{
			Sequence: q.Sequence, Service: q.Service, WantedMilli: uint32(math.Ceil(q.Wanted * milli)),
		}}})
	} else if !l.borrower.Asking(now, service) {
		l.endWaits(service, false)
	}
}

func (l *retryLoans) endWaits(service string, borrowed bool) {
	for _, w := range l.waiting[service] {
		w.done <- borrowed
	}
	delete(l.waiting, service)
}

// tick asks further nodes in place of those that did not answer.
func (l *retryLoans) tick() {
	if l == nil {
		return
	}
	for service := range l.waiting {
		l.ask(service)
	}
}

// nodesChanged makes the next query take the changed nodes into account.
func (l *retryLoans) nodesChanged() {
	if l != nil {
		l.peersStale = true
	}
}

func (l *retryLoans) refreshPeers() {
	if !l.peersStale {
		return
	}
	l.peersStale = false
	var centre, region, others []fleet.NodeID
	for _, n := range l.node.control.usablePeers() {
		switch self := l.node.self; {
		case n.DataCentre == self.DataCentre:
			centre = append(centre, n.ID)
		case n.Region == self.Region:
			region = append(region, n.ID)
		default:
			others = append(others, n.ID)
		}
	}
	l.borrower.SetPeers(centre, region, others)
}

// receive handles a datagram that concerns loans. It reports false for others.
func (l *retryLoans) receive(from string, d *controlv1.Datagram) bool {
	switch body := d.Body.(type) {
	case *controlv1.Datagram_BudgetQuery:
		if l != nil {
			l.lend(from, body.BudgetQuery)
		}
		return true
	case *controlv1.Datagram_BudgetAnswer:
		if l != nil {
			l.answered(fleet.NodeID(d.GetFrom()), body.BudgetAnswer)
		}
		return true
	default:
		return false
	}
}

// lend answers a query of another node.
func (l *retryLoans) lend(to string, q *controlv1.BudgetQuery) {
	granted := uint32(math.Round(l.node.ingress.LendRetries(q.GetService(), float64(q.GetWantedMilli())/milli) * milli))
	l.lentMilli.Add(uint64(granted))
	if granted == 0 {
		l.refused.Add(1)
	}
	l.send(to, &controlv1.Datagram{Body: &controlv1.Datagram_BudgetAnswer{BudgetAnswer: &controlv1.BudgetAnswer{
		Sequence: q.GetSequence(), Service: q.GetService(), GrantedMilli: granted,
	}}})
}

// answered adds the loan of another node to this node's share, or asks the next
// node if there is none.
func (l *retryLoans) answered(from fleet.NodeID, a *controlv1.BudgetAnswer) {
	loan, ok := l.borrower.Answered(time.Now(), from, a.GetSequence(), float64(a.GetGrantedMilli())/milli)
	if !ok {
		l.ask(a.GetService())
		return
	}
	l.borrowedMilli.Add(uint64(a.GetGrantedMilli()))
	l.node.ingress.AddRetryLoan(loan.Service, loan.Retries, loan.Until)
	l.endWaits(loan.Service, true)
}

func (l *retryLoans) send(to string, d *controlv1.Datagram) {
	c := l.node.control
	d.From, d.Incarnation, d.BundleVersion = string(l.node.self.ID), c.members.Self().Incarnation, c.version.Load()
	c.send(d, to)
}

func (l *retryLoans) register(m *metric.Set) {
	if l == nil {
		return
	}
	m.RegisterGauge("siskinvale_retries_lent", func() float64 { return float64(l.lentMilli.Load()) / milli })
	m.RegisterGauge("siskinvale_retries_borrowed", func() float64 { return float64(l.borrowedMilli.Load()) / milli })
	m.RegisterGauge("siskinvale_retries_borrowed_expired", l.node.ingress.ExpiredRetryLoans)
	m.RegisterGauge("siskinvale_retry_loans_refused", func() float64 { return float64(l.refused.Load()) })
}
