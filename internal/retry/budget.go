package retry

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// scale is the number of budget units of one retry. Fractions of a retry
	// down to a millionth are kept.
	scale = 1_000_000
	// window bounds the credit that the minimum collects. Quiet times do not
	// pay for a later surge of failures.
	window = 10 * time.Second
	// maxRequests is the number of requests that credit can be saved from:
	// 100 retries at the usual ratio of 10%.
	maxRequests = 1000
)

// Budget limits the retries of one class to a share of its requests plus a
// small minimum per second. It is safe for concurrent use and takes no lock.
type Budget struct {
	perRequest int64   // units per deposited request
	perSecond  float64 // units per second
	// credit is in units.
	credit atomic.Int64
	limit  int64
	// paid is the Unix time in nanoseconds up to which the minimum has been
	// credited, 0 before the first call.
	paid atomic.Int64
}

// NewBudget returns a budget that allows ratio retries per request plus
// minPerSecond retries per second. It starts with one second's minimum.
func NewBudget(ratio, minPerSecond float64) *Budget {
	b := &Budget{perRequest: units(ratio), perSecond: math.Max(minPerSecond, 0) * scale}
	b.limit = max(units(ratio*maxRequests), units(minPerSecond*window.Seconds()))
	b.credit.Store(units(minPerSecond))
	return b
}

func units(retries float64) int64 { return int64(math.Max(retries, 0) * scale) }

// Deposit counts one request of the class, not a retry.
func (b *Budget) Deposit(now time.Time) {
	b.payMinimum(now)
	b.add(b.perRequest)
}

// Withdraw takes one retry and reports whether the budget allows it.
func (b *Budget) Withdraw(now time.Time) bool {
	b.payMinimum(now)
	for {
		old := b.credit.Load()
		if old < scale {
			return false
		}
		if b.credit.CompareAndSwap(old, old-scale) {
			return true
		}
	}
}

// Available reports whether the budget allows one more retry.
func (b *Budget) Available(now time.Time) bool {
	b.payMinimum(now)
	return b.credit.Load() >= scale
}

// Refund returns a retry that was not made.
func (b *Budget) Refund(time.Time) { b.add(scale) }

// payMinimum credits the minimum since the last payment. A clock that goes
// back pays nothing until it has caught up.
func (b *Budget) payMinimum(now time.Time) {
	t := now.UnixNano()
	old := b.paid.Load()
	if old == 0 {
		b.paid.CompareAndSwap(0, t)
		return
	}
	// Payments of at least a millisecond keep the rounding error small.
	if t-old < int64(time.Millisecond) || !b.paid.CompareAndSwap(old, t) {
		return
	}
	elapsed := min(time.Duration(t-old), window)
	b.add(int64(b.perSecond * elapsed.Seconds()))
}

func (b *Budget) add(n int64) {
	for {
		old := b.credit.Load()
		next := min(old+n, b.limit)
		if next == old || b.credit.CompareAndSwap(old, next) {
			return
		}
	}
}
