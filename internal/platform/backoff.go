package platform

import "time"

// Backoff computes exponentially growing delays with jitter. The jitter spreads
// the retries of nodes whose calls failed at the same moment.
type Backoff struct {
	// Base is the upper bound of the first delay, Max that of all delays.
	Base, Max time.Duration
	attempts  int
}

// NewBackoff returns the back-off for platform calls, from 50 ms to 10 s.
func NewBackoff() *Backoff { return &Backoff{Base: 50 * time.Millisecond, Max: 10 * time.Second} }

// Next returns the delay before the next attempt: a value between half the
// bound and the bound, which doubles with each call up to Max. random must be
// uniform over all 64-bit values.
func (b *Backoff) Next(random uint64) time.Duration {
	bound := b.Max
	if b.attempts < 30 {
		bound = min(b.Base<<b.attempts, b.Max)
	}
	b.attempts++
	half := bound / 2
	return half + time.Duration(random%uint64(half+1))
}

// Reset restarts the delays from Base. It is called after a success.
func (b *Backoff) Reset() { b.attempts = 0 }
