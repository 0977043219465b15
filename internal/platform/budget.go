package platform

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"
)

// Rate is one token bucket. The zero value stands for the default.
type Rate struct {
	PerSecond float64
	Burst     int
}

// Budget bounds the calls of one node. The platform serves about 2,000 reads
// and several hundred writes per second for the whole fleet, so a node's share
// must stay small even when a fault makes it retry.
type Budget struct {
	Reads, Writes, Watches Rate
	// MaxWait is how long a call waits for its token before it fails with
	// ErrBudget; 0 fails at once.
	MaxWait time.Duration
}

// DefaultBudget allows what a node needs at start and at takeovers in its
// bursts and little in the long run.
func DefaultBudget() Budget {
	return Budget{
		Reads:   Rate{PerSecond: 5, Burst: 50},
		Writes:  Rate{PerSecond: 2, Burst: 20},
		Watches: Rate{PerSecond: 2, Burst: 10},
		MaxWait: time.Second,
	}
}

type kind uint8

const (
	read kind = iota
	write
	watch
)

func (k kind) String() string { return [...]string{"reads", "writes", "watches"}[k] }

type limits struct {
	buckets [3]*rate.Limiter
	maxWait time.Duration
}

func newLimits(b Budget) *limits {
	d := DefaultBudget()
	bucket := func(r, fallback Rate) *rate.Limiter {
		if r == (Rate{}) {
			r = fallback
		}
		return rate.NewLimiter(rate.Limit(r.PerSecond), max(r.Burst, 1))
	}
	return &limits{
		buckets: [3]*rate.Limiter{bucket(b.Reads, d.Reads), bucket(b.Writes, d.Writes), bucket(b.Watches, d.Watches)},
		maxWait: b.MaxWait,
	}
}

// take waits for a token of kind k. It fails with ErrBudget when the wait would
// exceed the budget's MaxWait or the context's deadline.
func (l *limits) take(ctx context.Context, k kind) error {
	reservation := l.buckets[k].Reserve()
	delay := reservation.Delay()
	deadline, bounded := ctx.Deadline()
	if !reservation.OK() || delay > l.maxWait || (bounded && time.Until(deadline) < delay) {
		reservation.Cancel()
		return fmt.Errorf("%w for %v", ErrBudget, k)
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
