// Package naive is the simple baseline that tests and benchmarks compare the
// fleet's decisions with: round robin, ejection on three consecutive failures
// and one FIFO queue.
package naive

import (
	"time"

	"siskinvale.dev/siskinvale/internal/admission"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// RoundRobin chooses targets in turn.
type RoundRobin struct{ next int }

// Pick returns the next target for which usable is true.
func (r *RoundRobin) Pick(targets []fleet.TargetID, usable func(fleet.TargetID) bool) (fleet.TargetID, bool) {
	for range targets {
		id := targets[r.next%len(targets)]
		r.next++
		if usable(id) {
			return id, true
		}
	}
	return "", false
}

const (
	// FailuresToEject is the number of consecutive failures that ejects.
	FailuresToEject = 3
	// EjectionTime is how long a target stays ejected.
	EjectionTime = 10 * time.Second
)

// Ejector ejects a target on three consecutive failures, whatever its peers
// do, and without a floor.
type Ejector struct {
	failures map[fleet.TargetID]int
	until    map[fleet.TargetID]time.Time
}

// NewEjector returns an Ejector that has ejected nothing.
func NewEjector() *Ejector {
	return &Ejector{failures: map[fleet.TargetID]int{}, until: map[fleet.TargetID]time.Time{}}
}

// Result records the end of one request and reports whether it ejects the
// target.
func (e *Ejector) Result(id fleet.TargetID, ok bool, now time.Time) bool {
	if ok {
		e.failures[id] = 0
		return false
	}
	e.failures[id]++
	if e.failures[id] < FailuresToEject {
		return false
	}
	e.failures[id] = 0
	e.until[id] = now.Add(EjectionTime)
	return true
}

// Usable reports whether the target receives traffic.
func (e *Ejector) Usable(id fleet.TargetID, now time.Time) bool { return !now.Before(e.until[id]) }

// FIFO is one unbounded queue in order of arrival. It refuses nothing, looks
// at no deadline and understands no cancellation.
type FIFO struct {
	slots, running int
	waiting        []uint64
}

// NewFIFO returns an empty queue for a target with slots slots.
func NewFIFO(slots int) *FIFO { return &FIFO{slots: slots} }

// Step has the form of admission.Queue.Step.
func (q *FIFO) Step(_ time.Time, ev admission.Event) []admission.Action {
	switch ev := ev.(type) {
	case admission.Arrive:
		q.waiting = append(q.waiting, ev.Item.ID)
	case admission.Finish:
		q.running--
	}
	var actions []admission.Action
	for q.running < q.slots && len(q.waiting) > 0 {
		actions = append(actions, admission.Start{ID: q.waiting[0]})
		q.waiting = q.waiting[1:]
		q.running++
	}
	return actions
}
