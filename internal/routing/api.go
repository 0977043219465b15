// Package routing chooses the target of each attempt. The control goroutine
// owns the Table and publishes an immutable Picker for each service. Request
// goroutines call Pick concurrently; it takes no lock and does not allocate.
package routing

import (
	"fmt"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Request describes the attempt for which a Picker chooses a target.
type Request struct {
	// Idempotent marks an attempt that may be followed by a retry. Only such
	// attempts go to targets on probation or explore a target.
	Idempotent bool
	// Bytes is the size of the request's body, 0 when it is not known.
	Bytes int64
	// LargeAnswer marks a request whose answer is expected to be large. Other
	// data centres then cost LargeAnswerTransferCost more.
	LargeAnswer bool
	// Expected is the usual run time of the request's class.
	Expected time.Duration
	// Exclude lists the targets of earlier attempts of the same request. Pick
	// does not choose them.
	Exclude []fleet.TargetID
}

// Choice is the target of one attempt.
type Choice struct {
	Target *Endpoint
	Reason Reason
}

// Explanation explains how a Picker treats one target of its service. Operators
// and logs get the same reason.
type Explanation struct {
	Target     fleet.TargetID
	Node       fleet.NodeID
	DataCentre string
	// Cost is the estimated cost of any request at this target. Pick adds the
	// costs that depend on the request, and chooses the cheapest candidate of a
	// sample.
	Cost   time.Duration
	Reason Reason
	// Detail is the reason given by the health verdict, or empty.
	Detail string
}

// Reason says why a target was chosen or passed over. In an Explanation,
// ReasonLocal and ReasonRemote mark all targets that Pick compares by cost, not
// only the cheapest one.
type Reason uint8

const (
	// ReasonLocal means that the target has the lowest cost and is in the
	// ingress's own data centre.
	ReasonLocal Reason = iota
	// ReasonRemote means that the target has the lowest cost although it is in
	// another data centre: the queues of the local targets cost more than the
	// round trip.
	ReasonRemote
	// ReasonProbation means that the target is on probation and the attempt is
	// part of its share of the traffic.
	ReasonProbation
	// ReasonFallback means that no healthy target is left and that this unhealthy
	// one has the lowest cost.
	ReasonFallback
	// ReasonSlowStart means that the target has started recently and receives
	// less traffic.
	ReasonSlowStart
	// ReasonHeld means that the target is unhealthy, but stays in traffic because
	// of the floor.
	ReasonHeld
	// ReasonEjected means that the health verdict is Ejected.
	ReasonEjected
	// ReasonAvoided means that the health verdict is Avoided: this node cannot
	// reach the target.
	ReasonAvoided
	// ReasonSubset means that the target is outside this ingress's subset of the
	// service's targets.
	ReasonSubset
	// ReasonExplore means that an idempotent attempt is sent to the target to
	// find out whether its failure episode has ended.
	ReasonExplore
	// ReasonDraining means that the target accepts no new work.
	ReasonDraining
)

var reasonNames = [...]string{"local", "remote", "probation", "fallback", "slow-start", "held", "ejected", "avoided", "outside-subset", "explore", "draining"}

func (r Reason) String() string { return reasonNames[r] }

// String returns the line as it is printed for operators and in logs.
func (e Explanation) String() string {
	s := fmt.Sprintf("%s node=%s data-centre=%s cost=%s %s", e.Target, e.Node, e.DataCentre, e.Cost, e.Reason)
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	return s
}
