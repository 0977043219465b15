// Package admission decides which requests run at one target, in which order,
// and which are refused. Queue is a pure state machine; Gate wraps a Queue and
// blocks each request until the Queue has decided about it. A refusal proves
// that the request was not run.
package admission

import (
	"fmt"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Item is one request for a slot.
type Item struct {
	// ID is unique among the items of one Queue. Gate assigns it.
	ID       uint64
	Class    string
	Tenant   string
	Priority fleet.Priority
	Length   fleet.Length
	// Nested marks a call that a running request waits for. Nested items start
	// before all others.
	Nested bool
	// Objective is the latency objective: the time when the answer loses most
	// of its value. The zero time means that there is none.
	Objective time.Time
	// Deadline is when the answer becomes useless. The zero time means that there
	// is none.
	Deadline time.Time
	// Expected is the usual run time of the class. The Queue uses it until the
	// first item of the class has finished, and its own estimate afterwards.
	Expected time.Duration
	// Waited is how long the request has already waited at targets that withdrew
	// their promise of a slot, see ReasonDraining. It keeps its place by age.
	Waited time.Duration
	// Weight is the tenant's share relative to other tenants; 0 means 1.
	Weight int
}

// Event is an input of the Queue: Arrive, Finish, Cancel, Drain, Tick or
// SetRateLimit.
type Event interface{ event() }

// Arrive asks for a slot.
type Arrive struct{ Item Item }

// Finish frees the slot of a started item.
type Finish struct {
	ID uint64
	// RunTime is the item's run time. With 0, the estimate of the class stays
	// as it is, for example because the work was cancelled.
	RunTime time.Duration
}

// Cancel removes an item that is not run. If the item was started, its slot
// becomes free and its start does not count towards the rate limit.
type Cancel struct{ ID uint64 }

// Drain refuses all queued items and all later arrivals. Started items are not
// affected.
type Drain struct{}

// Tick refuses queued items whose deadline can no longer be met, and starts
// items that the rate limit lets start by now.
type Tick struct{}

// SetRateLimit limits how many items start per second. With 0 there is no
// limit.
type SetRateLimit struct{ PerSecond float64 }

func (Arrive) event()       {}
func (Finish) event()       {}
func (Cancel) event()       {}
func (Drain) event()        {}
func (Tick) event()         {}
func (SetRateLimit) event() {}

// Action is an output of the Queue: Start or Refuse.
type Action interface{ action() }

// Start gives the item a slot.
type Start struct{ ID uint64 }

// Refuse rejects an item that was not run.
type Refuse struct {
	ID     uint64
	Reason Reason
	// RetryAfter is the time after which this target would probably admit the
	// item; 0 means that another target should be tried at once.
	RetryAfter time.Duration
}

func (Start) action()  {}
func (Refuse) action() {}

// Reason says why an item was refused.
type Reason uint8

const (
	// ReasonDeadline means that the expected wait leaves too little time before
	// the deadline.
	ReasonDeadline Reason = iota
	// ReasonExpired means that, while the item waited, the time to the deadline
	// became too short to run it.
	ReasonExpired
	// ReasonFull means that the queue holds its maximum number of items.
	ReasonFull
	// ReasonDraining means that the target starts no more work. An item that was
	// queued at that time may wait at another target.
	ReasonDraining
	// ReasonCancelled means that the caller went away before the item was
	// started.
	ReasonCancelled
	// ReasonOverdue means that the item could no longer meet its latency
	// objective and that no slot became free for it within the longest wait that
	// Config.WaitShare allows.
	ReasonOverdue
)

var reasonNames = [...]string{"deadline", "expired", "full", "draining", "cancelled", "overdue"}

func (r Reason) String() string { return reasonNames[r] }

// RefusedError is returned by Gate.Acquire. It proves that the work was not
// run.
type RefusedError struct {
	Reason     Reason
	RetryAfter time.Duration
	// Cause is the context's error if the caller went away,
	// context.DeadlineExceeded if the item's deadline passed while it waited,
	// and nil otherwise.
	Cause error
}

func (e *RefusedError) Error() string { return fmt.Sprintf("not admitted: %s", e.Reason) }

// Unwrap returns Cause.
func (e *RefusedError) Unwrap() error { return e.Cause }
