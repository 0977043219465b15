package platform

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"
)

// Rate configures one token bucket. The zero value selects the rate of
// DefaultBudget.
type Rate struct {
	PerSecond float64
	Burst     int
}

// Budget bounds the calls of one node. The platform serves about 2,000 reads
// and several hundred writes per second for the whole fleet, so each node must
// stay within a small share of these even when a fault makes it retry.
type Budget struct {
	Reads, Writes, Watches Rate
	// MaxWait is how long a call may wait for a token. A call that would wait
	// longer fails with ErrBudgetExceeded; with 0, every call that would wait
	// fails at once.
	MaxWait time.Duration
}

// DefaultBudget returns a budget with bursts that cover a node's start and its
// takeovers, and with low sustained rates.
func DefaultBudget() Budget {
	return Budget{
		Reads:   Rate{PerSecond: 5, Burst: 50},
		Writes:  Rate{PerSecond: 2, Burst: 20},
		Watches: Rate{PerSecond: 2, Burst: 10},
		MaxWait: time.Second,
	}
}

type callKind uint8

const (
	readCall callKind = iota
	writeCall
	watchCall
)

func (k callKind) String() string { return [...]string{"reads", "writes", "watches"}[k] }

type callLimits struct {
	buckets [3]*rate.Limiter
	maxWait time.Duration
}

func newLimits(b Budget) *callLimits {
	defaults := DefaultBudget()
	bucket := func(r, fallback Rate) *rate.Limiter {
		if r == (Rate{}) {
			r = fallback
		}
		return rate.NewLimiter(rate.Limit(r.PerSecond), max(r.Burst, 1))
	}
	return &callLimits{
		buckets: [3]*rate.Limiter{bucket(b.Reads, defaults.Reads), bucket(b.Writes, defaults.Writes), bucket(b.Watches, defaults.Watches)},
		maxWait: b.MaxWait,
	}
}

// acquire waits for a token for a call of kind k. It fails with
// ErrBudgetExceeded if the wait would exceed the budget's MaxWait or the
// context's deadline.
func (l *callLimits) acquire(ctx context.Context, k callKind) error {
	reservation := l.buckets[k].Reserve()
	delay := reservation.Delay()
	deadline, bounded := ctx.Deadline()
	if !reservation.OK() || delay > l.maxWait || (bounded && time.Until(deadline) < delay) {
		reservation.Cancel()
		return fmt.Errorf("%w for %v", ErrBudgetExceeded, k)
	}
	if err := sleep(ctx, delay); err != nil {
		reservation.Cancel()
		return err
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
