package admission

import (
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Config holds the settings of a Queue. The zero value of a field selects its
// default.
type Config struct {
	// Slots is how many items run at the same time; default 4.
	Slots int
}

// Queue decides for one target which items start and which are refused. It
// must be used by one goroutine at a time.
type Queue struct{}

// New returns an empty Queue.
func New(cfg Config) *Queue { return &Queue{} }

// Step applies ev at now and returns the decisions that follow from it.
func (q *Queue) Step(now time.Time, ev Event) []Action { return nil }

// Load returns the target's load for the answer to an ingress.
func (q *Queue) Load(now time.Time) fleet.Load { return fleet.Load{} }
