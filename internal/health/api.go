// Package health decides which targets receive traffic. It evaluates a target
// by the results of real requests, always compared with the same class at other
// targets of the service, and never ejects so many targets that a service falls
// below its floor. The Monitor is a pure state machine: the time is an argument
// of each step, and the Monitor has no I/O, clock or goroutine of its own.
package health

import (
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// State is the traffic state of one target.
type State uint8

const (
	// Healthy targets receive all kinds of requests.
	Healthy State = iota
	// Ejected targets receive no requests.
	Ejected
	// Probation targets receive a small share of the idempotent requests.
	Probation
	// Avoided targets cannot be reached from this node, although other nodes
	// get answers from them. Only this node sends them no requests. They keep
	// everything else that depends on their health, such as owned ranges.
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

// Verdict is the current state of one target and the reason for it.
type Verdict struct {
	State State
	// Share is the part of its usual traffic that the target may receive: 1
	// when healthy, 0 when ejected or avoided.
	Share float64
	// HeldByFloor is set on a Healthy target that would be ejected or avoided
	// if the floor allowed it. Routing prefers targets that are not held.
	HeldByFloor bool
	// LostFraction is the part of its requests that an unhealthy target loses,
	// from 0 (none) to 1 (all).
	LostFraction float64
	// Reason explains the state. It is empty for a Healthy target that is not
	// held. Log events contain the same text.
	Reason string
}

// Event is an input of the Monitor: TargetAdded, TargetRemoved, SampleReceived
// or Tick.
type Event interface{ event() }

// TargetAdded adds a target or replaces its record, for example when the target
// starts to drain. Targets that are not serving do not count towards the floor.
type TargetAdded struct {
	Target fleet.Target
	// Floor is the number of targets of the service that always receive
	// traffic. If it is 0, the floor is half of Expected or of the serving
	// targets, whichever is more, rounded up.
	Floor int
	// Expected is the number of targets of the service according to the bundle.
	Expected int
}

// TargetRemoved removes a target and all evidence about it.
type TargetRemoved struct{ ID fleet.TargetID }

// SampleReceived delivers one sample of evidence.
type SampleReceived struct{ Sample Sample }

// Tick makes the Monitor evaluate the evidence that arrived since the previous
// Tick and decide on all targets. The caller sends one every 100 ms.
type Tick struct{}

func (TargetAdded) event()    {}
func (TargetRemoved) event()  {}
func (SampleReceived) event() {}
func (Tick) event()           {}

// Sample is what one node observed of one request class at one target since its
// previous sample. The target's own sidecar counts all requests that run at the
// target. Other sources count the answers and path failures of their own
// attempts.
type Sample struct {
	Target fleet.TargetID
	Source fleet.NodeID
	Class  string
	// Completed counts answers that were not errors.
	Completed uint32
	// Errors counts complete answers that report a failure of the target.
	Errors uint32
	// Truncated counts incomplete answers.
	Truncated uint32
	// PathFailures counts attempts that failed between Source and the target's
	// node, because the connection was refused or silent, without an answer of
	// any kind.
	PathFailures uint32
	// OldestInFlight is the age of the oldest request of the class that runs at
	// the target, 0 if there is none. Only the target's sidecar sets it.
	OldestInFlight time.Duration
	// TypicalRunTime is the usual run time of the class at the target, 0 if
	// unknown. Only the target's sidecar sets it.
	TypicalRunTime time.Duration
	// SelfReported marks values of the target's own health or load endpoint.
	// They can strengthen other evidence, but are never sufficient on their
	// own.
	SelfReported bool
}

// Action is an output of the Monitor: Eject, Readmit, Avoid, FloorReached or
// SourceDistrusted.
type Action interface{ action() }

// Eject takes the target out of traffic.
type Eject struct {
	Target fleet.TargetID
	Reason string
}

// Readmit gives the target a share of its usual traffic. A share of 1 ends its
// probation.
type Readmit struct {
	Target fleet.TargetID
	Share  float64
	Reason string
}

// Avoid takes the target out of the traffic of this node only, because the path
// from this node to the target fails.
type Avoid struct {
	Target fleet.TargetID
	Reason string
}

// FloorReached reports that unhealthy targets of a service stay in traffic
// because of the floor. It is emitted when this state begins and not again while
// the state lasts.
type FloorReached struct {
	Service string
	Reason  string
}

// SourceDistrusted reports that the path failures of a source no longer count
// towards the ejection of a target, because the source reports most targets as
// failing although others get answers from them.
type SourceDistrusted struct {
	Source fleet.NodeID
	Reason string
}

func (Eject) action()            {}
func (Readmit) action()          {}
func (Avoid) action()            {}
func (FloorReached) action()     {}
func (SourceDistrusted) action() {}
