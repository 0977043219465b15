package retry

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// unitsPerRetry is the number of budget units of one retry, so that
	// fractions down to a millionth of a retry are kept.
	unitsPerRetry = 1_000_000
	// maxAccrualTime bounds the time for which the minimum per second accrues
	// credit, so that a quiet period does not pay for many retries in a later
	// surge of failures.
	maxAccrualTime = 10 * time.Second
	// maxCreditRequests is the number of requests whose credit can accumulate:
	// 100 retries at a ratio of 10%.
	maxCreditRequests = 1000
)

// Budget limits the retries of one class to a fraction of its requests plus a
// small minimum per second. It is safe for concurrent use and lock-free.
type Budget struct {
	perRequest int64   // units per deposited request
	perSecond  float64 // units per second
	// credit and maxCredit are in units.
	credit    atomic.Int64
	maxCredit int64
	// accruedUntil is the Unix time in nanoseconds up to which the minimum has
	// been credited, or 0 before the first call.
	accruedUntil atomic.Int64
}

// NewBudget returns a budget that allows ratio retries per request plus
// minPerSecond retries per second. Its initial credit is the minimum of one
// second.
func NewBudget(ratio, minPerSecond float64) *Budget {
	b := &Budget{perRequest: units(ratio), perSecond: math.Max(minPerSecond, 0) * unitsPerRetry}
	b.maxCredit = max(units(ratio*maxCreditRequests), units(minPerSecond*maxAccrualTime.Seconds()))
	b.credit.Store(units(minPerSecond))
	return b
}

// units converts a number of retries to budget units; negative numbers count as
// 0.
func units(retries float64) int64 { return int64(math.Max(retries, 0) * unitsPerRetry) }

// Deposit counts one request of the class that is not a retry.
func (b *Budget) Deposit(now time.Time) {
	b.accrueMinimum(now)
	b.addCredit(b.perRequest)
}

// Withdraw takes one retry from the budget. It reports false if the credit is
// too small.
func (b *Budget) Withdraw(now time.Time) bool {
	b.accrueMinimum(now)
	for {
		old := b.credit.Load()
		if old < unitsPerRetry {
			return false
		}
		if b.credit.CompareAndSwap(old, old-unitsPerRetry) {
			return true
		}
	}
}

// Available reports whether the budget allows another retry, without taking it.
func (b *Budget) Available(now time.Time) bool {
	b.accrueMinimum(now)
	return b.credit.Load() >= unitsPerRetry
}

// Refund returns a withdrawn retry that was not made.
func (b *Budget) Refund(time.Time) { b.addCredit(unitsPerRetry) }

// accrueMinimum adds the minimum per second for the time since the last
// accrual. After the clock has gone back, nothing accrues until it has caught
// up.
func (b *Budget) accrueMinimum(now time.Time) {
	t := now.UnixNano()
	old := b.accruedUntil.Load()
	if old == 0 {
		b.accruedUntil.CompareAndSwap(0, t)
		return
	}
	// Accruing at most once a millisecond keeps the rounding error small.
	if t-old < int64(time.Millisecond) || !b.accruedUntil.CompareAndSwap(old, t) {
		return
	}
	elapsed := min(time.Duration(t-old), maxAccrualTime)
	b.addCredit(int64(b.perSecond * elapsed.Seconds()))
}

func (b *Budget) addCredit(n int64) {
	for {
		old := b.credit.Load()
		next := min(old+n, b.maxCredit)
		if next == old || b.credit.CompareAndSwap(old, next) {
			return
		}
	}
}
