package retry

import (
	"math"
	"time"
)

const (
	// maxLoanValidity is the longest time for which retries are lent. The lender
	// cannot use them for a window longer than that.
	maxLoanValidity = 1500 * time.Millisecond
	// loanUnit is the smallest part of a retry that is lent.
	loanUnit = 0.001
	// minLoan is the smallest loan, unless fewer retries are wanted. Smaller ones
	// are not worth a message.
	minLoan = 0.1
)

// LoanValidity returns how long retries of a share with the given window may be
// used by the node that borrowed them. It is shorter than loanBuckets buckets.
func LoanValidity(window time.Duration) time.Duration { return min(window/8, maxLoanValidity) }

// loan is an amount of borrowed retries.
type loan struct {
	retries float64
	until   time.Time
}

// Lend gives up to wanted retries to another node, which may use them until
// LoanValidity after now. They count as used in every window that contains a
// part of that time, so that the retries of both nodes together stay within
// their parts in every window. The share keeps what the node itself needed on
// average in that time.
func (s *FleetBudgetShare) Lend(now time.Time, wanted float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	validity := LoanValidity(s.window)
	unused, used := s.unused(now)
	n := min(wanted, unused-used*validity.Seconds()/s.window.Seconds())
	n = math.Floor(n/loanUnit+roundingError) * loanUnit
	if n < min(wanted, minLoan) || n <= 0 {
		return 0
	}
	s.bucket(now.Add(validity)).lent += n
	return n
}

// AddLoan adds retries that another node has lent. They can be withdrawn until
// the given time.
func (s *FleetBudgetShare) AddLoan(retries float64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loans = append(s.loans, loan{retries, until})
}

// ExpiredLoans returns how many borrowed retries have expired unused.
func (s *FleetBudgetShare) ExpiredLoans(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.borrowed(now)
	return s.expired
}

// borrowed drops expired loans and returns the retries that are left of the
// others.
func (s *FleetBudgetShare) borrowed(now time.Time) float64 {
	valid, total := s.loans[:0], 0.0
	for _, l := range s.loans {
		if now.Before(l.until) {
			valid = append(valid, l)
			total += l.retries
		} else {
			s.expired += l.retries
		}
	}
	s.loans = valid
	return total
}

// takeBorrowed uses up to n borrowed retries, the oldest first, and returns how
// many it has used.
func (s *FleetBudgetShare) takeBorrowed(n float64) float64 {
	rest := n
	for len(s.loans) > 0 && rest > 0 {
		part := min(s.loans[0].retries, rest)
		s.loans[0].retries -= part
		rest -= part
		if s.loans[0].retries > 0 {
			break
		}
		s.loans = s.loans[1:]
	}
	return n - rest
}
