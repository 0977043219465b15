package platform

import "time"

// Backoff computes growing delays between attempts. The jitter spreads the
// nodes of a fleet whose calls failed at the same moment.
type Backoff struct {
	// Base is the bound of the first delay, Max of all delays.
	Base, Max time.Duration
	attempts  int
}

// NewBackoff returns the back-off used for platform calls: 50 ms to 10 s.
func NewBackoff() *Backoff { return &Backoff{Base: 50 * time.Millisecond, Max: 10 * time.Second} }

// Next returns the delay before the next attempt, between half the bound and
// the bound; the bound doubles each time. The random number is uniform over all
// 64-bit values.
func (b *Backoff) Next(random uint64) time.Duration {
	bound := b.Max
	if b.attempts < 30 {
		bound = min(b.Base<<b.attempts, b.Max)
	}
	b.attempts++
	half := bound / 2
	return half + time.Duration(random%uint64(half+1))
}

// Reset starts again from Base after a success.
func (b *Backoff) Reset() { b.attempts = 0 }
