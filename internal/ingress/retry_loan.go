package ingress

import (
	"context"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/retry"
)

const (
	// maxLoanWait bounds how long a request waits for retries lent by other
	// nodes. It covers a round trip between regions and a second query within
	// one.
	maxLoanWait = 80 * time.Millisecond
	// loanPause is how long no loans are requested for a service after other
	// nodes lent too little for it.
	loanPause = 250 * time.Millisecond
)

// RetryLoans borrows retries of the fleet's budget from other nodes. It is safe
// for concurrent use.
type RetryLoans interface {
	// Borrow asks other nodes to lend retries of a service. It returns true when
	// it has added a loan with AddRetryLoan, and false when no node is left to
	// ask or ctx ends.
	Borrow(ctx context.Context, service string, retries float64) bool
}

// shortfall is what the share of a service lacks for a retry.
type shortfall struct {
	service string
	retries float64
	// refusedAt is when other nodes last lent too little for the service.
	refusedAt time.Time
}

// shortfalls returns what the shares that pay for a retry of req lack, the
// service whose loans were refused last first. A loan for another service would
// be wasted if that one is still refused.
func (in *Ingress) shortfalls(req *request, b budget, now time.Time) []shortfall {
	var all []shortfall
	add := func(service string, missing float64) {
		if missing > 0 {
			refusedAt, _ := in.loanRefusals.Load(service)
			at, _ := refusedAt.(time.Time)
			all = append(all, shortfall{service, missing, at})
		}
	}
	if combined, ok := b.(combinedBudget); ok {
		for _, c := range combined.calledServices {
			add(c.service, c.share.Missing(now, c.perRun))
		}
		b = combined.budget
	}
	if share, ok := b.(*retry.FleetBudgetShare); ok {
		add(req.service, share.Missing(now, 1))
	}
	slices.SortFunc(all, func(a, b shortfall) int { return b.refusedAt.Compare(a.refusedAt) })
	return all
}

// borrowRetry waits until the shares that pay for a retry of req allow it with
// retries lent by other nodes. It reports false if they do not allow it in time.
func (in *Ingress) borrowRetry(ctx context.Context, req *request, b budget) bool {
	if in.cfg.RetryLoans == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, maxLoanWait)
	defer cancel()
	for {
		now := in.cfg.Clock()
		missing := in.shortfalls(req, b, now)
		if len(missing) == 0 {
			return true
		}
		first := missing[0]
		if now.Sub(first.refusedAt) < loanPause {
			return false
		}
		if !in.cfg.RetryLoans.Borrow(ctx, first.service, first.retries) {
			if ctx.Err() == nil {
				in.loanRefusals.Store(first.service, in.cfg.Clock())
			}
			return false
		}
	}
}

// LendRetries takes up to wanted retries of a service from this node's share for
// another node.
func (in *Ingress) LendRetries(service string, wanted float64) float64 {
	if share, ok := in.budgets.existing(service); ok {
		return share.Lend(in.cfg.Clock(), wanted)
	}
	return 0
}

// AddRetryLoan adds retries of a service that another node has lent until the
// given time to this node's share.
func (in *Ingress) AddRetryLoan(service string, retries float64, until time.Time) {
	if share, ok := in.budgets.existing(service); ok {
		share.AddLoan(retries, until)
	}
}

// ExpiredRetryLoans returns how many borrowed retries have expired unused.
func (in *Ingress) ExpiredRetryLoans() float64 {
	total, now := 0.0, in.cfg.Clock()
	in.budgets.byClass.Range(func(_, value any) bool {
		if share, ok := value.(*retry.FleetBudgetShare); ok {
			total += share.ExpiredLoans(now)
		}
		return true
	})
	return total
}

// existing returns this node's share of the fleet's budget of a service, if it
// has served requests for it.
func (b *budgets) existing(service string) (share *retry.FleetBudgetShare, ok bool) {
	stored, ok := b.byClass.Load(classKey{service: service})
	if !ok {
		return nil, false
	}
	share, ok = stored.(*retry.FleetBudgetShare)
	return share, ok
}
