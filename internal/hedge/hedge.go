// Package hedge decides when a second copy of a slow request is sent to another
// target. A copy is extra work, so the number of copies is limited to a ratio of
// the requests of a service.
//
// The package never reads the clock: the time is an argument.
package hedge

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"siskinvale.dev/siskinvale/internal/retry"
)

const (
	// limitWindow is the time span in which the limit holds. In a shorter one, a
	// node with few requests could never send a copy.
	limitWindow = time.Minute
	// floorFactor is the multiple of the median run time before which no copy is
	// sent. A copy takes a usual run time itself, so that an earlier one seldom
	// overtakes the first attempt.
	floorFactor = 1.5
	// minTimeFactor is the multiple of the median run time that must be left
	// before the deadline.
	minTimeFactor = 1.5
	// fullPause is how long no copies are sent for a service after one found no
	// free slot.
	fullPause = 20 * time.Millisecond
	// unknownUpperFactor is the multiple of the expected run time that replaces
	// the quantile while few run times are known.
	unknownUpperFactor = 3
	// maxClasses is the number of classes of which run times are kept, about 5 KB
	// each. When it is reached, classes without a request for classIdleTime are
	// removed, at most every evictInterval.
	maxClasses    = 2000
	classIdleTime = 10 * time.Minute
	evictInterval = time.Minute
	// maxEligibleRequests is the number of requests after which older ones count
	// half in the share of eligible requests.
	maxEligibleRequests = 1000
)

// Reason says why a copy was sent or withheld.
type Reason string

// The reasons.
const (
	ReasonSlow     Reason = "slow"
	ReasonAttempts Reason = "no-attempt-left"
	ReasonDeadline Reason = "too-little-time"
	ReasonFull     Reason = "no-room"
	ReasonLimit    Reason = "limit"
	ReasonBudget   Reason = "retry-budget"
	ReasonTarget   Reason = "no-other-target"
)

// Hedger holds the run times of the classes and the limits of the services. It
// is safe for concurrent use.
type Hedger struct {
	ratio    float64
	services sync.Map // string -> *service

	// mu guards the addition and removal of classes; reads take no lock.
	mu      sync.Mutex
	classes int
	evicted time.Time // when idle classes were last removed
}

// service is the state of one service.
type service struct {
	limit   *retry.FleetBudgetShare
	classes sync.Map // string -> *runTimes
	// fullUntil is the time in Unix nanoseconds until which no copies are sent.
	fullUntil atomic.Int64

	mu sync.Mutex
	// requests counts recent requests, and eligible those of them that may be
	// copied.
	requests, eligible float64
}

// New returns a Hedger that allows ratio copies per request of a service.
func New(ratio float64) *Hedger { return &Hedger{ratio: ratio} }

func (h *Hedger) service(name string, now time.Time) *service {
	if s, ok := h.services.Load(name); ok {
		return s.(*service)
	}
	s, _ := h.services.LoadOrStore(name, &service{limit: retry.NewFleetBudgetShare(h.ratio, 0, limitWindow, now)})
	return s.(*service)
}

// Request counts a request of a service. eligible reports whether it may be
// copied.
func (h *Hedger) Request(name string, eligible bool, now time.Time) {
	s := h.service(name, now)
	s.limit.Deposit(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if eligible {
		s.eligible++
	}
	if s.requests > maxEligibleRequests {
		s.requests, s.eligible = s.requests/2, s.eligible/2
	}
}

// Observe records how long an attempt of an eligible request ran.
func (h *Hedger) Observe(name, class string, run time.Duration, now time.Time) {
	s := h.service(name, now)
	r, ok := s.classes.Load(class)
	if !ok {
		if r, ok = h.addClass(s, class, now); !ok {
			return
		}
	}
	r.(*runTimes).observe(run, now)
}

// addClass adds a class without run times. It returns false if there is no room
// for it.
func (h *Hedger) addClass(s *service, class string, now time.Time) (any, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.classes >= maxClasses && now.Sub(h.evicted) >= evictInterval {
		h.evict(now)
	}
	if h.classes >= maxClasses {
		return nil, false
	}
	r, loaded := s.classes.LoadOrStore(class, newRunTimes(now))
	if !loaded {
		h.classes++
	}
	return r, true
}

// evict removes the idle classes. h.mu must be held.
func (h *Hedger) evict(now time.Time) {
	h.evicted = now
	h.services.Range(func(_, s any) bool {
		classes := &s.(*service).classes
		classes.Range(func(class, r any) bool {
			if !r.(*runTimes).observedSince(now.Add(-classIdleTime)) {
				classes.Delete(class)
				h.classes--
			}
			return true
		})
		return true
	})
}

// quantile returns the quantile of the run times that as many eligible requests
// exceed as the limit allows copies.
func (s *service) quantile(ratio float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.eligible == 0 {
		return 1
	}
	// Rounding keeps the cached quantiles in use while the share changes little.
	return max(0, 1-math.Round(1000*ratio*s.requests/s.eligible)/1000)
}

// Timing says when a copy of a request may be sent.
type Timing struct {
	// Delay is the time from the first attempt to the copy.
	Delay time.Duration
	// MinRemaining is the time that must be left until the deadline.
	MinRemaining time.Duration
}

// Attempt describes an attempt that is about to be sent.
type Attempt struct {
	Service, Class string
	// Expected is the configured run time of the class, 0 if there is none.
	Expected time.Duration
	// ToObjective is the time left until the latency objective; 0 without one.
	ToObjective time.Duration
}

// Timing returns when a copy may follow an attempt, or false if nothing is known
// about the run times of the class. A copy is sent earlier if it could otherwise
// not meet the latency objective.
func (h *Hedger) Timing(a Attempt, now time.Time) (Timing, bool) {
	s := h.service(a.Service, now)
	q := quantiles{median: a.Expected, upper: unknownUpperFactor * a.Expected, known: a.Expected > 0}
	if r, ok := s.classes.Load(a.Class); ok {
		if observed := r.(*runTimes).at(s.quantile(h.ratio)); observed.known {
			q = observed
		}
	}
	if !q.known {
		return Timing{}, false
	}
	delay, needed := q.upper, time.Duration(minTimeFactor*float64(q.median))
	if a.ToObjective > needed {
		delay = min(delay, a.ToObjective-needed)
	}
	return Timing{Delay: max(delay, time.Duration(floorFactor*float64(q.median))), MinRemaining: needed}, true
}

// Copy describes a copy that is due.
type Copy struct {
	Service string
	Timing  Timing
	// AttemptsLeft is how many more attempts the request may make.
	AttemptsLeft int
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Budget is the retry budget that pays for the copy besides the limit.
	Budget Budget
}

// Budget is a retry budget.
type Budget interface {
	retry.Withdrawer
	// Available reports whether Withdraw would succeed.
	Available(now time.Time) bool
	// Refund returns a withdrawn retry that was not made.
	Refund(now time.Time)
}

// Decide reports whether a copy is sent, and why. If so, it takes the copy from
// the limit of the service and from the retry budget.
func (h *Hedger) Decide(c Copy, now time.Time) (bool, Reason) {
	s := h.service(c.Service, now)
	switch {
	case c.AttemptsLeft < 1:
		return false, ReasonAttempts
	case c.Remaining < c.Timing.MinRemaining:
		return false, ReasonDeadline
	case now.UnixNano() < s.fullUntil.Load():
		return false, ReasonFull
	case !s.limit.Withdraw(now):
		return false, ReasonLimit
	case !c.Budget.Withdraw(now):
		s.limit.Refund(now)
		return false, ReasonBudget
	case !c.Budget.Available(now):
		// The last retry is left to a request that fails: a slow one may still be
		// answered without a copy.
		c.Budget.Refund(now)
		s.limit.Refund(now)
		return false, ReasonBudget
	default:
		return true, ReasonSlow
	}
}

// Refund returns a copy to the limit of the service because it did not reach a
// target.
func (h *Hedger) Refund(name string, now time.Time) { h.service(name, now).limit.Refund(now) }

// FoundFull records that a copy found no room at its target.
func (h *Hedger) FoundFull(name string, now time.Time) {
	h.service(name, now).fullUntil.Store(now.Add(fullPause).UnixNano())
}
