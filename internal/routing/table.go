package routing

import (
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
)

// Config holds the settings of a Table. The zero value of a field selects its
// default.
type Config struct{}

// Table holds the endpoints of all services. The control goroutine owns it.
type Table struct{}

// NewTable returns an empty table for the ingress of self.
func NewTable(self fleet.Node, cfg Config) *Table { return &Table{} }

// Rebuild returns the picker of a service for its current targets and
// verdicts. Load figures of targets that stay are kept.
func (t *Table) Rebuild(service string, targets []fleet.Target, verdict func(fleet.TargetID) health.Verdict, now time.Time) *Picker {
	return &Picker{}
}

// Picker chooses among the targets of one service. It is immutable.
type Picker struct{}

// Pick chooses the target of one attempt. It returns false when no target is
// left.
func (p *Picker) Pick(req Request, random uint64, now time.Time) (Choice, bool) {
	return Choice{}, false
}

// Explain returns one line for each target of the service.
func (p *Picker) Explain(now time.Time) []Line { return nil }

// Endpoint holds the load figures of one target. It is safe for concurrent
// use.
type Endpoint struct{ target fleet.Target }

// Target returns the target's current record.
func (e *Endpoint) Target() fleet.Target { return e.target }

// Begin counts an attempt that is about to be sent to the target.
func (e *Endpoint) Begin() {}

// End ends an attempt. ok says that the target's node answered, with load as
// the figures carried back on the answer.
func (e *Endpoint) End(load fleet.Load, ok bool, now time.Time) {}
