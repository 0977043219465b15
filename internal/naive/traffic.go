// Package naive implements the simple baselines that the fleet's decisions are
// compared with: round robin, ejection after three consecutive failures, one
// FIFO queue, and polling of the active bundle. Only tests and benchmarks use
// it.
package naive

import (
	"time"

	"siskinvale.dev/siskinvale/internal/admission"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// RoundRobin selects targets in cyclic order.
type RoundRobin struct{ next int }

// Pick returns the next target for which usable returns true, and false if
// there is none.
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
	// FailuresToEject is the number of consecutive failures after which a
	// target is ejected.
	FailuresToEject = 3
	// EjectionTime is how long a target stays ejected.
	EjectionTime = 10 * time.Second
)

// Ejector ejects a target after FailuresToEject consecutive failures. It does
// not compare the target with its peers and enforces no floor.
type Ejector struct {
	failures map[fleet.TargetID]int
	until    map[fleet.TargetID]time.Time
}

// NewEjector returns an Ejector without ejected targets.
func NewEjector() *Ejector {
	return &Ejector{failures: map[fleet.TargetID]int{}, until: map[fleet.TargetID]time.Time{}}
}

// Result records the outcome of one request and reports whether the target is
// ejected because of it.
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

// Usable reports whether the target may receive traffic.
func (e *Ejector) Usable(id fleet.TargetID, now time.Time) bool { return !now.Before(e.until[id]) }

// FIFO is an unbounded queue that starts requests in order of arrival. It
// rejects no request and ignores deadlines and cancellations.
type FIFO struct {
	slots, running int
	waiting        []uint64
}

// NewFIFO returns an empty queue for a target with slots slots.
func NewFIFO(slots int) *FIFO { return &FIFO{slots: slots} }

// Step processes one admission event and returns the requests to start. Its
// signature is that of admission.Queue.Step.
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
