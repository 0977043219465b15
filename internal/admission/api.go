// Package admission decides which work runs at one target, in which order, and
// which work is refused. Queue is a pure state machine; Gate is the shell that
// requests wait at. A refusal is proof that the work was not run.
package admission

import (
	"fmt"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Item is one request that wants a slot.
type Item struct {
	// ID is unique among the items of one Queue. Gate assigns it.
	ID       uint64
	Class    string
	Tenant   string
	Priority fleet.Priority
	Length   fleet.Length
	// Nested marks work that a running request waits for. It starts before all
	// other work.
	Nested bool
	// Aim is when the answer loses most of its value; zero means never.
	Aim time.Time
	// Deadline is when the answer becomes useless; zero means never.
	Deadline time.Time
	// Expected is the usual run time of the class; run times that the Queue
	// observes replace it.
	Expected time.Duration
	// Weight is the tenant's share relative to other tenants; 0 means 1.
	Weight int
}

// Event is an input of the Queue: Arrive, Finish, Cancel, Drain or Tick.
type Event interface{ event() }

// Arrive asks for a slot.
type Arrive struct{ Item Item }

// Finish frees the slot of a started item.
type Finish struct {
	ID uint64
	// Took is the item's run time; 0 means that it tells nothing about the
	// class, for example because the work was cancelled.
	Took time.Duration
}

// Cancel withdraws an item. A started item frees its slot.
type Cancel struct{ ID uint64 }

// Drain refuses all later arrivals. Queued and started items go on.
type Drain struct{}

// Tick refuses queued items whose deadline can no longer be met.
type Tick struct{}

func (Arrive) event() {}
func (Finish) event() {}
func (Cancel) event() {}
func (Drain) event()  {}
func (Tick) event()   {}

// Action is an output of the Queue: Start or Refuse.
type Action interface{ action() }

// Start gives the item a slot.
type Start struct{ ID uint64 }

// Refuse turns the item away; it was not run.
type Refuse struct {
	ID     uint64
	Reason Reason
	// RetryAfter is when the item would probably be admitted here, 0 when
	// another target should be used at once.
	RetryAfter time.Duration
}

func (Start) action()  {}
func (Refuse) action() {}

// Reason says why an item was refused.
type Reason uint8

const (
	// ReasonDeadline: the expected wait leaves too little time to answer.
	ReasonDeadline Reason = iota
	// ReasonExpired: the deadline came too near while the item waited.
	ReasonExpired
	// ReasonFull: the queue holds its maximum number of items.
	ReasonFull
	// ReasonDraining: the target accepts no new work.
	ReasonDraining
	// ReasonCancelled: the caller went away before the item was started.
	ReasonCancelled
	// ReasonOverdue: the item missed its aim and waited for a lull in vain.
	ReasonOverdue
)

var reasonNames = [...]string{"deadline", "expired", "full", "draining", "cancelled", "overdue"}

func (r Reason) String() string { return reasonNames[r] }

// RefusedError is returned by Gate.Enter. It proves that the work was not run.
type RefusedError struct {
	Reason     Reason
	RetryAfter time.Duration
	// Cause is the context's error when the caller went away, else nil.
	Cause error
}

func (e *RefusedError) Error() string { return fmt.Sprintf("not admitted: %s", e.Reason) }

// Unwrap returns Cause.
func (e *RefusedError) Unwrap() error { return e.Cause }
