package ingress

import (
	"time"

	"siskinvale.dev/siskinvale/internal/retry"
)

// combinedBudget is the retry budget of a service combined with those of the
// services that its runs call, because a retried run makes its calls again.
type combinedBudget struct {
	budget
	calledServices []calledServiceBudget
}

// calledServiceBudget is the budget of a called service with the average number
// of calls that one run makes to it.
type calledServiceBudget struct {
	service string
	share   *retry.FleetBudgetShare
	perRun  float64
}

// retryBudget returns the budget from which the retries of req are paid.
func (in *Ingress) retryBudget(req *request) budget {
	ownBudget := in.budgets.forClass(req.service, req.class.Name)
	calls, ok := in.callsPerRun.Load(req.service)
	if !ok || !req.class.Idempotent {
		return ownBudget
	}
	b := combinedBudget{budget: ownBudget}
	for service, perRun := range calls.(map[string]float64) {
		if share, ok := in.budgets.forClass(service, "").(*retry.FleetBudgetShare); ok {
			b.calledServices = append(b.calledServices, calledServiceBudget{service, share, perRun})
		}
	}
	return b
}

// Available implements budget.
func (b combinedBudget) Available(now time.Time) bool {
	for _, c := range b.calledServices {
		if c.share.Missing(now, c.perRun) > 0 {
			return false
		}
	}
	return b.budget.Available(now)
}

// Withdraw implements budget.
func (b combinedBudget) Withdraw(now time.Time) bool {
	if !b.Available(now) || !b.budget.Withdraw(now) {
		return false
	}
	for i, c := range b.calledServices {
		if !c.share.WithdrawPart(now, c.perRun) {
			// Another request has used the share since Available.
			combinedBudget{b.budget, b.calledServices[:i]}.Refund(now)
			return false
		}
	}
	return true
}

// Refund implements budget.
func (b combinedBudget) Refund(now time.Time) {
	b.budget.Refund(now)
	for _, c := range b.calledServices {
		c.share.Charge(now, -c.perRun)
	}
}
