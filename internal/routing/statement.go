package routing

import (
	"math"
	"sync/atomic"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// statementRetention is how long the statement of a target that is no longer
// listed is kept. It covers the restart of the node beside the target: the new
// process does not know the statement, and the target is unlisted meanwhile.
const statementRetention = 10 * time.Minute

// statement is what this ingress knows that a target stated about itself in its
// answers. It belongs to one start of the target. It is safe for concurrent use.
type statement struct {
	started time.Time // Target.Started
	// rateLimit is the bits of a float64 in requests per second; 0 for none.
	rateLimit atomic.Uint64
	leaving   atomic.Bool
}

// limit returns the rate limit in requests per second; 0 for none.
func (s *statement) limit() float64 { return math.Float64frombits(s.rateLimit.Load()) }

// report updates the statement from a load. A sidecar that has got no answer of
// the target yet does not change it.
func (s *statement) report(load fleet.Load) {
	if !load.RateUnknown {
		s.rateLimit.Store(math.Float64bits(load.RateLimit))
	}
}

// SaysLeaving records that the target stated that it is about to stop, in an
// answer to a request that was sent to t. No further request is sent to this
// start of the target, whatever late announcements say of it.
func (e *Endpoint) SaysLeaving(t fleet.Target) {
	if s := e.statement.Load(); s != nil && s.started.Equal(t.Started) {
		s.leaving.Store(true)
	}
}

// leaving reports whether the target stated that it is about to stop.
func (e *Endpoint) leaving() bool {
	s := e.statement.Load()
	return s != nil && s.leaving.Load()
}

// unlistedStatement is the statement of a target that is no longer listed.
type unlistedStatement struct {
	*statement
	since time.Time
}

// keepStatement keeps the statement of a target that is not listed any more, if
// it says anything or if an attempt that has not ended may still report one.
func (t *Table) keepStatement(e *entry, now time.Time) {
	if s := e.endpoint.statement.Load(); s != nil && (s.limit() > 0 || s.leaving.Load() || e.endpoint.Outstanding() > 0) {
		t.unlisted[e.id] = unlistedStatement{s, now}
	}
}

// statementOf returns the statement of a target that is listed again, or a new
// one.
func (t *Table) statementOf(target fleet.Target) *statement {
	if kept, ok := t.unlisted[target.ID]; ok {
		delete(t.unlisted, target.ID)
		if kept.started.Equal(target.Started) {
			return kept.statement
		}
	}
	return &statement{started: target.Started}
}

// dropStatements drops the statements of targets that have not been listed for
// statementRetention.
func (t *Table) dropStatements(now time.Time) {
	for id, s := range t.unlisted {
		if now.Sub(s.since) >= statementRetention {
			delete(t.unlisted, id)
		}
	}
}
