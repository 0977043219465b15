// Package health decides which targets receive traffic. It judges targets by
// real work, always against peers of the same class, and never takes a service
// below its floor. The Monitor is a pure state machine: the time is an
// argument, and there is no I/O, clock or goroutine inside.
package health

import (
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// State is the judgement on one target.
type State uint8

const (
	// Healthy targets receive all kinds of work.
	Healthy State = iota
	// Ejected targets receive no work.
	Ejected
	// Probation targets receive a small share of idempotent work.
	Probation
	// Avoided targets cannot be reached from this node although others get
	// answers from them. They receive no work from this node alone and keep
	// everything that depends on their health, such as owned ranges.
	Avoided
)

func (s State) String() string {
	switch s {
	case Healthy:
		return "healthy"
	case Ejected:
		return "ejected"
	case Probation:
		return "probation"
	default:
		return "avoided"
	}
}

// Verdict is the current judgement on one target.
type Verdict struct {
	State State
	// Share is the part of its usual traffic that the target may receive: 1
	// when healthy, 0 when ejected or avoided.
	Share float64
	// Held is set on a Healthy target that would be ejected or avoided if the
	// floor allowed it. Routing prefers targets that are not held.
	Held bool
	// Severity orders unhealthy targets by the part of the work that they lose:
	// 0 for none, 1 for all.
	Severity float64
	// Reason explains every state but plain health. Logs carry the same text.
	Reason string
}

// Event is an input of the Monitor: TargetAdded, TargetRemoved, Observed or
// Tick.
type Event interface{ event() }

// TargetAdded adds a target or replaces its record, for example when it starts
// to drain. A target that is not serving counts as lost for the floor.
type TargetAdded struct {
	Target fleet.Target
	// Floor is the number of targets of the service that always receive
	// traffic. With 0, half of Expected (rounded up) is used.
	Floor int
	// Expected is the number of targets that the bundle expects.
	Expected int
}

// TargetRemoved forgets a target.
type TargetRemoved struct{ ID fleet.TargetID }

// Observed delivers one sample of evidence.
type Observed struct{ Sample Sample }

// Tick makes the Monitor weigh the evidence that arrived since the last Tick.
// It is expected every 100 ms.
type Tick struct{}

func (TargetAdded) event()   {}
func (TargetRemoved) event() {}
func (Observed) event()      {}
func (Tick) event()          {}

// Sample is what one node saw of one class of work at one target since its
// previous sample. The target's own sidecar counts the work itself. Other
// sources count the answers and path failures of their own attempts.
type Sample struct {
	Target fleet.TargetID
	Source fleet.NodeID
	Class  string
	// Completed counts answers that were not errors.
	Completed uint32
	// Errors counts answers that say that the target failed.
	Errors uint32
	// Truncated counts incomplete answers.
	Truncated uint32
	// PathFailures counts attempts that failed between Source and the target's
	// node: refused or silent connections, no answer of any kind.
	PathFailures uint32
	// OldestInFlight is the age of the oldest work of the class that runs at
	// the target, 0 when there is none. Only the target's sidecar knows it.
	OldestInFlight time.Duration
	// Typical is the usual run time of the class at the target, 0 when
	// unknown. Only the target's sidecar knows it.
	Typical time.Duration
	// SelfReported marks figures of the target's own health or load endpoint.
	// They may add to other evidence and never decide alone.
	SelfReported bool
}

// Action is an output of the Monitor: Eject, Readmit, Avoid,
// FloorReached or SourceDistrusted.
type Action interface{ action() }

// Eject takes the target out of traffic.
type Eject struct {
	Target fleet.TargetID
	Reason string
}

// Readmit gives the target a share of its usual traffic; 1 ends the probation.
type Readmit struct {
	Target fleet.TargetID
	Share  float64
	Reason string
}

// Avoid takes the target out of the traffic of this node alone, because of the
// path to it.
type Avoid struct {
	Target fleet.TargetID
	Reason string
}

// FloorReached says that unhealthy targets go on serving because of the floor.
// It is emitted when this state begins.
type FloorReached struct {
	Service string
	Reason  string
}

// SourceDistrusted says that the reports of a source are not used because it
// reports most targets as unhealthy while others disagree.
type SourceDistrusted struct {
	Source fleet.NodeID
	Reason string
}

func (Eject) action()            {}
func (Readmit) action()          {}
func (Avoid) action()            {}
func (FloorReached) action()     {}
func (SourceDistrusted) action() {}
