package fleet

import "time"

// TargetState is the state of a target as published by its sidecar.
type TargetState uint8

const (
	// TargetServing accepts new work.
	TargetServing TargetState = iota
	// TargetDraining finishes its work and accepts no new work.
	TargetDraining
	// TargetGone was removed or its announcement expired.
	TargetGone
)

func (s TargetState) String() string {
	switch s {
	case TargetServing:
		return "serving"
	case TargetDraining:
		return "draining"
	default:
		return "gone"
	}
}

// Target is one server process that does the work of a service.
type Target struct {
	ID         TargetID
	Service    string
	Node       NodeID // the node on the target's VM
	DataCentre string
	// Addr is the host:port at which the target's own node reaches the target.
	Addr  string
	Slots int
	State TargetState
	// Started is the time of the target's first announcement by the clock of its
	// node. Slow start begins at this time.
	Started time.Time
	// Incarnation is the incarnation of the node that published this record.
	Incarnation uint64
	// Version orders the records of one target within one incarnation.
	Version uint64
}

// Newer reports whether t supersedes old.
func (t Target) Newer(old Target) bool {
	if t.Incarnation != old.Incarnation {
		return t.Incarnation > old.Incarnation
	}
	return t.Version > old.Version
}

// Load is a target's load as measured by its sidecar.
type Load struct {
	InFlight int
	Queued   int
	Slots    int
	// QueuedWork is the sum of the expected run times, over all slots, of the
	// work that a new short request would wait for. Queued long work is left out,
	// because it does not delay short work.
	QueuedWork time.Duration
	// EpisodeProbability is the probability, estimated by the sidecar, that the
	// target is in a failure episode.
	EpisodeProbability float64
	// RateLimit is the number of requests per second that the target accepts
	// from all nodes together; 0 if it states no limit.
	RateLimit float64
	// RateUnknown is set until the sidecar has got an answer of the target or
	// was told of its limit; RateLimit then says nothing.
	RateUnknown bool
	// StartDelay is the time until the rate limit lets a new request start.
	StartDelay time.Duration
}
