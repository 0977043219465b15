package ingress

import (
	"sync"

	"siskinvale.dev/siskinvale/internal/retry"
)

// LocalRuns is what the targets of this VM run at a moment.
type LocalRuns struct {
	// Running is the number of requests that they run.
	Running int64
	// Repeated is the part of the idempotent ones that are repeats. The calls
	// that targets make meanwhile are repeats in the same proportion.
	Repeated float64
}

// sightingsOfCallers is how many requests of a class must arrive while no local
// target runs anything until the class counts as one of callers. A single one
// may be a call of a run whose caller had just left.
const sightingsOfCallers = 2

// nestedClasses tells classes of callers from those whose requests may be calls
// that a local target makes while it runs a request. Both arrive from the same
// VM and look alike, but a call never arrives while nothing runs. It is safe for
// concurrent use.
type nestedClasses struct {
	mu   sync.Mutex
	seen map[budgetKey]int
}

// mayBeNested counts a request that arrived while running requests ran at local
// targets, and reports whether its class may be one of calls.
func (n *nestedClasses) mayBeNested(service, class string, running int64) bool {
	key := budgetKey{service, class}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.seen == nil {
		n.seen = make(map[budgetKey]int)
	}
	if running == 0 && n.seen[key] < sightingsOfCallers {
		n.seen[key]++
	}
	return n.seen[key] < sightingsOfCallers
}

// chargeNested charges the budget for a request that may be a call of a run
// which is a repeat.
func (in *Ingress) chargeNested(req *request, budget budget) {
	share, ok := budget.(*retry.Share)
	if !ok || in.cfg.LocalRuns == nil {
		return
	}
	runs := in.cfg.LocalRuns()
	if in.nested.mayBeNested(req.service, req.class.Name, runs.Running) && runs.Repeated > 0 {
		share.Charge(in.cfg.Clock(), runs.Repeated)
	}
}
