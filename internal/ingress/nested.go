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

const (
	// chanceOfTargets is the chance with which a class of callers may be taken
	// for one of calls, until its next request that comes alone.
	chanceOfTargets = 1.0 / 250
	// busyWeight is the weight of one request in the share of requests that
	// arrive while a local target runs something.
	busyWeight = 1.0 / 32
	// initiallyBusy is that share before the first request. With it, no class is
	// judged at a target that is busy from the first request on.
	initiallyBusy = 0.85
)

// nestedClasses tells classes of callers from those whose requests may be calls
// that a local target makes while it runs a request. Both arrive from the same
// VM and look alike, but a call never arrives while nothing runs. It is safe for
// concurrent use.
type nestedClasses struct {
	mu   sync.Mutex
	seen map[budgetKey]*sightings
	// busy is the share of the requests of all classes that arrive while a local
	// target runs something.
	busy float64
}

// sightings is what was seen of one class.
type sightings struct {
	// idle counts requests that arrived while no local target ran anything.
	idle int
	// chance is the chance that so many requests of callers would have arrived
	// while a local target ran something. At a target that is always busy, it
	// stays near one and tells nothing.
	chance float64
}

// origin is what is known about where the requests of a class come from.
type origin uint8

const (
	// originUnknown: too few requests were seen.
	originUnknown origin = iota
	originCallers
	// originTargets: the requests are calls that local targets make.
	originTargets
)

// observe counts a request that arrived while running requests ran at local
// targets, and tells where its class comes from.
func (n *nestedClasses) observe(service, class string, running int64) origin {
	key := budgetKey{service, class}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.seen == nil {
		n.seen, n.busy = make(map[budgetKey]*sightings), initiallyBusy
	}
	s := n.seen[key]
	if s == nil {
		s = &sightings{chance: 1}
		n.seen[key] = s
	}
	now := 0.0
	if running > 0 {
		now = 1
		s.chance = max(s.chance*n.busy, chanceOfTargets/2)
	} else {
		s.idle++
	}
	n.busy += busyWeight * (now - n.busy)
	switch {
	case s.idle >= sightingsOfCallers:
		return originCallers
	case s.idle == 0 && s.chance <= chanceOfTargets:
		return originTargets
	default:
		return originUnknown
	}
}

// classifyOrigin finds out whether the request is a call of a local target, and
// charges the budget if it may be a call of a run which is a repeat.
func (in *Ingress) classifyOrigin(req *request, budget budget) {
	if in.cfg.LocalRuns == nil {
		return
	}
	runs := in.cfg.LocalRuns()
	from := in.nested.observe(req.service, req.class.Name, runs.Running)
	req.nested = from == originTargets
	if share, ok := budget.(*retry.Share); ok && from != originCallers && runs.Repeated > 0 {
		share.Charge(in.cfg.Clock(), runs.Repeated)
	}
}
