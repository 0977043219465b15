// Package retry decides whether an attempt may be followed by another one.
//
// A request is sent again only if the attempt provably did not run or the
// request is idempotent, and only within the caller's deadline and the retry
// budget (design page, section 4).
package retry

import (
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Attempt describes an attempt that has ended without an answer for the caller.
type Attempt struct {
	// Number is the number of this attempt, starting at 1. Max is the maximum
	// number of attempts of the class.
	Number, Max int
	Idempotent  bool
	// Streamed is true if the first byte of an answer was sent to the caller.
	Streamed bool
	// BudgetExempt is true if the budget does not apply: the next attempt would
	// be the first to reach a target, has already been paid for, or follows an
	// attempt that could not be sent.
	BudgetExempt bool
	Outcome      fleet.Outcome
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
}

// Decision states whether to send the request again, and why.
type Decision struct {
	Retry  bool
	Reason string
}

// Reasons for a Decision.
const (
	ReasonAnswered        = "the attempt was answered"
	ReasonStreamed        = "part of the answer was sent to the caller"
	ReasonMayHaveRun      = "the request may have run and is not idempotent"
	ReasonAttempts        = "no attempts left"
	ReasonDeadline        = "the deadline has passed"
	ReasonBudget          = "the retry budget of the class is used up"
	ReasonNotRun          = "the attempt did not run"
	ReasonIdempotent      = "the request is idempotent"
	ReasonSidecarAttempts = "enough sidecars were asked"
)

// Withdrawer is a retry budget.
type Withdrawer interface {
	// Withdraw takes one retry from the budget. It reports false if the budget
	// does not allow one.
	Withdraw(now time.Time) bool
}

// Decide returns whether the request may be sent again after attempt a. It
// withdraws a retry from b only if everything else allows one.
func Decide(a Attempt, b Withdrawer, now time.Time) Decision {
	switch {
	case a.Outcome == fleet.Answered:
		return Decision{Reason: ReasonAnswered}
	case a.Streamed:
		return Decision{Reason: ReasonStreamed}
	case a.Outcome != fleet.NotRun && !a.Idempotent:
		return Decision{Reason: ReasonMayHaveRun}
	case a.Number >= a.Max:
		return Decision{Reason: ReasonAttempts}
	case a.Remaining <= 0:
		return Decision{Reason: ReasonDeadline}
	case !a.BudgetExempt && !b.Withdraw(now):
		return Decision{Reason: ReasonBudget}
	case a.Outcome == fleet.NotRun:
		return Decision{Retry: true, Reason: ReasonNotRun}
	default:
		return Decision{Retry: true, Reason: ReasonIdempotent}
	}
}
