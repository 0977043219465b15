package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets into which the window of a
// FleetBudgetShare is divided.
const windowBuckets = 20

// FleetBudgetShare is one node's part of a retry budget that holds for the
// whole fleet over any window of time: a ratio of the requests plus an
// allowance. Every node may use the ratio of its own requests and its part of
// the allowance. FleetBudgetShare is safe for concurrent use.
type FleetBudgetShare struct {
	ratio     float64
	window    time.Duration
	startedAt time.Time

	mu        sync.Mutex
	allowance float64
	buckets   [windowBuckets]windowBucket
}

// windowBucket counts the requests and retries in one part of the window. Its
// number is the number of such parts since 1970.
type windowBucket struct {
	number   int64
	requests int
	retries  float64
}

// NewFleetBudgetShare returns a share of ratio retries per request plus
// allowance retries in each window. The allowance grows linearly from 0 to its
// full size in the first window after startedAt, the start of the process,
// because the retries made before a restart are not known.
func NewFleetBudgetShare(ratio, allowance float64, window time.Duration, startedAt time.Time) *FleetBudgetShare {
	return &FleetBudgetShare{ratio: ratio, allowance: allowance, window: window, startedAt: startedAt}
}

// SetAllowance replaces the allowance, for example when the number of nodes
// that share it changes.
func (s *FleetBudgetShare) SetAllowance(allowance float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allowance = allowance
}

// Deposit counts one request that is not a retry.
func (s *FleetBudgetShare) Deposit(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bucket(now).requests++
}

// Withdraw takes one retry from the share. It reports false if the share does
// not allow one.
func (s *FleetBudgetShare) Withdraw(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.bucket(now)
	if !s.allows(current, now) {
		return false
	}
	current.retries++
	return true
}

// Available reports whether the share allows another retry, without taking it.
func (s *FleetBudgetShare) Available(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allows(s.bucket(now), now)
}

// allows reports whether another retry fits into the window that ends with the
// bucket current.
func (s *FleetBudgetShare) allows(current *windowBucket, now time.Time) bool {
	requests, retries := 0, 0.0
	for i := range s.buckets {
		if current.number-s.buckets[i].number < windowBuckets {
			requests += s.buckets[i].requests
			retries += s.buckets[i].retries
		}
	}
	allowanceFraction := min(max(now.Sub(s.startedAt).Seconds()/s.window.Seconds(), 0), 1)
	return retries+1 <= s.ratio*float64(requests)+s.allowance*allowanceFraction
}

// Refund returns a withdrawn retry that was not made.
func (s *FleetBudgetShare) Refund(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.bucket(now); current.retries >= 1 {
		current.retries--
	}
}

// Charge counts retries that were made without Withdraw, for example calls that
// a target makes again while it runs a retry. n may be a fraction; a negative n
// reverses an earlier charge.
func (s *FleetBudgetShare) Charge(now time.Time, n float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bucket(now).retries += n
}

// bucket returns the bucket for now, reset if it still holds the counts of an
// earlier part of the time.
func (s *FleetBudgetShare) bucket(now time.Time) *windowBucket {
	number := now.UnixNano() / int64(s.window/windowBuckets)
	bucket := &s.buckets[number%windowBuckets]
	if bucket.number != number {
		*bucket = windowBucket{number: number}
	}
	return bucket
}
