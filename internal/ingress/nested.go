package ingress

import (
	"sync"

	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/retry"
)

// LocalRuns is what the targets of this VM run at a moment.
type LocalRuns struct {
	// Running is the number of requests that they run, Begun that of the
	// idempotent ones that they began since the start.
	Running, Begun int64
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
	// calls counts the requests that were known to be calls, by service, since
	// begunAt idempotent runs had begun. Both are halved now and then, so that
	// the ratio follows changes.
	calls   map[string]float64
	begunAt int64
}

// sightings is what was seen of one class.
type sightings struct {
	// idle counts requests that arrived while no local target ran anything.
	idle int
	// chance is the chance that so many requests of callers would have arrived
	// while a local target ran something. At a target that is always busy, it
	// stays near one and tells nothing.
	chance float64
	// told is the origin that was last logged.
	told origin
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

var originNames = [...]string{"unknown", "callers", "targets"}

func (o origin) String() string { return originNames[o] }

// observe counts a request that arrived while running requests ran at local
// targets, and tells where its class comes from and whether this is news.
func (n *nestedClasses) observe(service, class string, running int64) (from origin, news bool) {
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
		from = originCallers
	case s.idle == 0 && s.chance <= chanceOfTargets:
		from = originTargets
	}
	news, s.told = from != s.told, from
	return from, news
}

// callsWindow is the number of runs after which older calls lose half of their
// weight.
const callsWindow = 200

// called counts a call to service at a moment when begun idempotent runs had
// begun at local targets.
func (n *nestedClasses) called(service string, begun int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.calls == nil {
		n.calls, n.begunAt = make(map[string]float64), begun
	}
	n.calls[service]++
	if runs := begun - n.begunAt; runs > callsWindow {
		for s := range n.calls {
			n.calls[s] /= 2
		}
		n.begunAt += runs / 2
	}
}

// perRun returns the calls that one idempotent run makes on average, by service;
// nil when none were seen.
func (n *nestedClasses) perRun(begun int64) map[string]float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.calls) == 0 {
		return nil
	}
	ratios := make(map[string]float64, len(n.calls))
	for service, calls := range n.calls {
		ratios[service] = min(calls/float64(max(begun-n.begunAt, 1)), maxCallsPerRun)
	}
	return ratios
}

// maxCallsPerRun bounds the estimate while few runs were seen.
const maxCallsPerRun = 2

// CallsPerRun returns the calls that one idempotent run at a local target makes
// on average, by service.
func (in *Ingress) CallsPerRun() map[string]float64 {
	if in.cfg.LocalRuns == nil {
		return nil
	}
	return in.nested.perRun(in.cfg.LocalRuns().Begun)
}

// classifyOrigin finds out whether the request is a call of a local target. As
// long as that is not known, it charges the budget for the case that the request
// is a call of a run which is a repeat; later, the repeat itself has paid.
func (in *Ingress) classifyOrigin(req *request, budget budget) {
	if in.cfg.LocalRuns == nil {
		return
	}
	runs := in.cfg.LocalRuns()
	from, news := in.nested.observe(req.service, req.class.Name, runs.Running)
	if news {
		in.cfg.Log.Log(event.ClassOriginLearned, event.Fields{
			"request": req.id, "service": req.service, "class": req.class.Name, "origin": from.String(), "running": runs.Running,
		})
	}
	switch from {
	case originTargets:
		req.nested = true
		in.nested.called(req.service, runs.Begun)
	case originUnknown:
		if share, ok := budget.(*retry.Share); ok && runs.Repeated > 0 {
			share.Charge(in.cfg.Clock(), runs.Repeated)
		}
	case originCallers:
	}
}

// learnCalls takes what a reply says about the calls of a run at its target.
func (in *Ingress) learnCalls(service string, reply *link.Reply) {
	if reply.Calls != nil {
		in.callsOf.Store(service, reply.Calls)
	}
}
