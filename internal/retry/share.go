package retry

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets into which the window of a
	// FleetBudgetShare is divided.
	windowBuckets = 20
	// loanBuckets is the number of further buckets that hold retries lent until
	// a later time.
	loanBuckets = 4
	// roundingError is the difference that counts as equal after additions of
	// fractions.
	roundingError = 1e-9
)

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
	buckets   [windowBuckets + loanBuckets]windowBucket
	loans     []loan // borrowed retries, see AddLoan
	expired   float64
}

// windowBucket counts the requests and retries in one part of the window. Its
// number is the number of such parts since 1970.
type windowBucket struct {
	number   int64
	requests int
	retries  float64
	// lent is the number of retries that other nodes may use until then.
	lent float64
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
func (s *FleetBudgetShare) Withdraw(now time.Time) bool { return s.WithdrawPart(now, 1) }

// WithdrawPart is like Withdraw for n retries; n may be a fraction, such as the
// average number of calls that a retried run makes. Borrowed retries are used
// first because they expire soon.
func (s *FleetBudgetShare) WithdrawPart(now time.Time, n float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.missing(now, n) > 0 {
		return false
	}
	s.bucket(now).retries += n - s.takeBorrowed(n)
	return true
}

// Available reports whether the share allows another retry, without taking it.
func (s *FleetBudgetShare) Available(now time.Time) bool { return s.Missing(now, 1) == 0 }

// Missing returns how many retries the share lacks to allow n retries, 0 if it
// allows them.
func (s *FleetBudgetShare) Missing(now time.Time, n float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.missing(now, n)
}

func (s *FleetBudgetShare) missing(now time.Time, n float64) float64 {
	own, _ := s.unused(now)
	if missing := n - s.borrowed(now) - own; missing > roundingError {
		return missing
	}
	return 0
}

// unused returns how many retries of this node's part fit into the window that
// ends now, and how many it has used in that window without those lent. unused
// is negative if charges have exceeded the part.
func (s *FleetBudgetShare) unused(now time.Time) (unused, used float64) {
	current := s.bucket(now)
	requests, lent := 0, 0.0
	for i := range s.buckets {
		if b := &s.buckets[i]; current.number-b.number < windowBuckets {
			requests += b.requests
			used += b.retries
			lent += b.lent
		}
	}
	allowanceFraction := min(max(now.Sub(s.startedAt).Seconds()/s.window.Seconds(), 0), 1)
	return s.ratio*float64(requests) + s.allowance*allowanceFraction - used - lent, used
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
	bucket := &s.buckets[number%int64(len(s.buckets))]
	if bucket.number != number {
		*bucket = windowBucket{number: number}
	}
	return bucket
}
