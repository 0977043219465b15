package ingress

import (
	"time"

	"siskinvale.dev/siskinvale/internal/retry"
)

// repeatBudget is the budget of a service together with those of the services
// that its runs call: a repeated run makes its calls again.
type repeatBudget struct {
	budget
	called []calledBudget
}

type calledBudget struct {
	share  *retry.Share
	perRun float64
}

// budgetOf returns the budget for repeats of the request.
func (in *Ingress) budgetOf(req *request) budget {
	own := in.budgets.of(req.service, req.class.Name)
	calls, ok := in.callsOf.Load(req.service)
	if !ok || !req.class.Idempotent {
		return own
	}
	b := repeatBudget{budget: own}
	for service, perRun := range calls.(map[string]float64) {
		if share, ok := in.budgets.of(service, "").(*retry.Share); ok {
			b.called = append(b.called, calledBudget{share, perRun})
		}
	}
	return b
}

// Available implements budget.
func (b repeatBudget) Available(now time.Time) bool {
	for _, c := range b.called {
		if !c.share.Available(now) {
			return false
		}
	}
	return b.budget.Available(now)
}

// Withdraw implements budget.
func (b repeatBudget) Withdraw(now time.Time) bool {
	if !b.Available(now) || !b.budget.Withdraw(now) {
		return false
	}
	for _, c := range b.called {
		c.share.Charge(now, c.perRun)
	}
	return true
}

// Refund implements budget.
func (b repeatBudget) Refund(now time.Time) {
	b.budget.Refund(now)
	for _, c := range b.called {
		c.share.Charge(now, -c.perRun)
	}
}
