package retry

import (
	"sync"
	"time"
)

// shareBuckets is the resolution of a Share's window.
const shareBuckets = 20

// Share is one node's part of a budget of repeats that holds for the whole
// fleet over any window of time: a ratio of the requests plus an allowance.
// Every node may use the ratio of its own requests and its part of the
// allowance. It is safe for concurrent use.
type Share struct {
	ratio  float64
	window time.Duration
	began  time.Time

	mu        sync.Mutex
	allowance float64
	slots     [shareBuckets]shareSlot
}

// shareSlot counts one part of the window; epoch is its number since 1970.
type shareSlot struct {
	epoch    int64
	requests int
	repeats  float64
}

// NewShare returns a share of ratio repeats for each request and allowance
// repeats on top, in each window. The allowance grows to its full size within
// the first window after began, the start of the process: what its predecessor
// used up before a restart is not known.
func NewShare(ratio, allowance float64, window time.Duration, began time.Time) *Share {
	return &Share{ratio: ratio, allowance: allowance, window: window, began: began}
}

// SetAllowance replaces the allowance, for example when the number of nodes
// that divide it changes.
func (s *Share) SetAllowance(allowance float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allowance = allowance
}

// Deposit counts one request that is not a repeat.
func (s *Share) Deposit(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slot(now).requests++
}

// Withdraw takes one repeat and reports whether the share allows it.
func (s *Share) Withdraw(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.slot(now)
	if !s.allows(current, now) {
		return false
	}
	current.repeats++
	return true
}

// Available reports whether the share allows one more repeat.
func (s *Share) Available(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allows(s.slot(now), now)
}

// allows reports whether one more repeat fits into the window that ends with
// current.
func (s *Share) allows(current *shareSlot, now time.Time) bool {
	requests, repeats := 0, 0.0
	for i := range s.slots {
		if current.epoch-s.slots[i].epoch < shareBuckets {
			requests += s.slots[i].requests
			repeats += s.slots[i].repeats
		}
	}
	grown := min(max(now.Sub(s.began).Seconds()/s.window.Seconds(), 0), 1)
	return repeats+1 <= s.ratio*float64(requests)+s.allowance*grown
}

// Refund returns a repeat that was not made.
func (s *Share) Refund(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slot := s.slot(now); slot.repeats >= 1 {
		slot.repeats--
	}
}

// Charge counts repeats that were not asked for, for example those that a
// target makes while it runs a repeat itself. n may be a fraction; a negative
// one takes a charge back.
func (s *Share) Charge(now time.Time, n float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slot(now).repeats += n
}

func (s *Share) slot(now time.Time) *shareSlot {
	epoch := now.UnixNano() / int64(s.window/shareBuckets)
	slot := &s.slots[epoch%shareBuckets]
	if slot.epoch != epoch {
		*slot = shareSlot{epoch: epoch}
	}
	return slot
}
