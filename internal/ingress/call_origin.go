package ingress

import (
	"sync"

	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/retry"
)

// LocalRuns describes what the targets on this VM run at one moment.
type LocalRuns struct {
	// Active is the number of requests running now. IdempotentStarted is the
	// number of idempotent requests that began to run since the process
	// started.
	Active, IdempotentStarted int64
	// RetryShare is the fraction of the running idempotent requests that are
	// retries. The calls that targets make meanwhile are assumed to contain the
	// same fraction of calls made by retried runs.
	RetryShare float64
}

// minIdleArrivals is the number of requests of a class that must arrive while
// no local target runs anything before the class is attributed to callers. A
// single request is not enough: it may be a call of a run whose caller has just
// disconnected.
const minIdleArrivals = 2

const (
	// maxCallerChance is the accepted probability of attributing a class of
	// callers to targets. The error lasts until the next request of the class
	// arrives while no local target runs anything.
	maxCallerChance = 1.0 / 250
	// busyShareWeight is the weight of one request in the moving average
	// busyShare.
	busyShareWeight = 1.0 / 32
	// initialBusyShare is the value of busyShare before the first request. It
	// is high enough that no class is attributed to targets on a VM whose
	// targets are busy from the first request on.
	initialBusyShare = 0.85
)

// originClassifier distinguishes classes requested by callers from classes
// whose requests are calls that a local target makes while it runs a request.
// Both arrive from the same VM and look alike, but a call from a target never
// arrives while nothing runs there. It is safe for concurrent use.
type originClassifier struct {
	mu      sync.Mutex
	classes map[classKey]*classObservations
	// busyShare is the fraction of the requests of all classes that arrive
	// while a local target runs something, as a moving average.
	busyShare float64
	// callsByService counts, by called service, the requests identified as
	// calls of local targets since runsAtStart idempotent runs had started. The
	// counts and the number of runs are halved from time to time, so that their
	// ratio follows changes.
	callsByService map[string]float64
	runsAtStart    int64
}

// classObservations is what was observed of the requests of one class.
type classObservations struct {
	// idleArrivals counts requests that arrived while no local target ran
	// anything.
	idleArrivals int
	// callerChance is the probability that all these requests would have
	// arrived while a local target ran something if they came from callers. If
	// the targets are always busy, it stays near one and the origin stays
	// unknown.
	callerChance float64
	// loggedOrigin is the origin that was last logged.
	loggedOrigin origin
}

// origin is what is known about the source of a class's requests.
type origin uint8

const (
	// originUnknown means that the requests observed so far do not show their
	// source.
	originUnknown origin = iota
	originCallers
	// originTargets means that the requests are calls made by local targets.
	originTargets
)

var originNames = [...]string{"unknown", "callers", "targets"}

func (o origin) String() string { return originNames[o] }

// observe records a request that arrived while local targets ran the given
// number of requests. It returns the origin of the request's class and whether
// that origin has changed.
func (n *originClassifier) observe(service, class string, running int64) (from origin, changed bool) {
	key := classKey{service, class}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.classes == nil {
		n.classes, n.busyShare = make(map[classKey]*classObservations), initialBusyShare
	}
	s := n.classes[key]
	if s == nil {
		s = &classObservations{callerChance: 1}
		n.classes[key] = s
	}
	busySample := 0.0
	if running > 0 {
		busySample = 1
		s.callerChance = max(s.callerChance*n.busyShare, maxCallerChance/2)
	} else {
		s.idleArrivals++
	}
	n.busyShare += busyShareWeight * (busySample - n.busyShare)
	switch {
	case s.idleArrivals >= minIdleArrivals:
		from = originCallers
	case s.idleArrivals == 0 && s.callerChance <= maxCallerChance:
		from = originTargets
	}
	changed, s.loggedOrigin = from != s.loggedOrigin, from
	return from, changed
}

// callsWindowRuns is the number of runs after which the weight of older calls
// is halved.
const callsWindowRuns = 200

// countCall counts a call to service. idempotentStarted is the number of
// idempotent runs that have started at local targets so far.
func (n *originClassifier) countCall(service string, idempotentStarted int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.callsByService == nil {
		n.callsByService, n.runsAtStart = make(map[string]float64), idempotentStarted
	}
	n.callsByService[service]++
	if runs := idempotentStarted - n.runsAtStart; runs > callsWindowRuns {
		for s := range n.callsByService {
			n.callsByService[s] /= 2
		}
		n.runsAtStart += runs / 2
	}
}

// callsPerRun returns the average number of calls that one idempotent run makes
// to each service, or nil if no calls were observed. idempotentStarted is as
// for countCall.
func (n *originClassifier) callsPerRun(idempotentStarted int64) map[string]float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.callsByService) == 0 {
		return nil
	}
	ratios := make(map[string]float64, len(n.callsByService))
	for service, calls := range n.callsByService {
		ratios[service] = min(calls/float64(max(idempotentStarted-n.runsAtStart, 1)), maxCallsPerRun)
	}
	return ratios
}

// maxCallsPerRun bounds the estimate while few runs have been observed.
const maxCallsPerRun = 2

// CallsPerRun returns the average number of calls that one idempotent run at a
// local target makes to each service. It returns nil if no calls were observed
// or Config.LocalRuns is nil.
func (in *Ingress) CallsPerRun() map[string]float64 {
	if in.cfg.LocalRuns == nil {
		return nil
	}
	return in.origins.callsPerRun(in.cfg.LocalRuns().IdempotentStarted)
}

// classifyOrigin determines whether the request is a call of a local target.
// While the origin is unknown, it charges the budget for the possibility that
// the request is a call made by a retried run. Once the origin is known, the
// retry of the run has already paid for its calls.
func (in *Ingress) classifyOrigin(req *request, budget budget) {
	if in.cfg.LocalRuns == nil {
		return
	}
	runs := in.cfg.LocalRuns()
	from, changed := in.origins.observe(req.service, req.class.Name, runs.Active)
	if changed {
		in.cfg.Log.Log(event.ClassOriginLearned, event.Fields{
			"request": req.id, "service": req.service, "class": req.class.Name, "origin": from.String(), "running": runs.Active,
		})
	}
	switch from {
	case originTargets:
		req.nested = true
		in.origins.countCall(req.service, runs.IdempotentStarted)
	case originUnknown:
		if share, ok := budget.(*retry.FleetBudgetShare); ok && runs.RetryShare > 0 {
			share.Charge(in.cfg.Clock(), runs.RetryShare)
		}
	case originCallers:
	}
}

// recordCallsPerRun stores what a reply states about the calls that a run of
// service makes at its target.
func (in *Ingress) recordCallsPerRun(service string, reply *link.Reply) {
	if reply.CallsPerRun != nil {
		in.callsPerRun.Store(service, reply.CallsPerRun)
	}
}
