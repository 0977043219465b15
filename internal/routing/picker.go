package routing

import (
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
	"siskinvale.dev/siskinvale/internal/standing"
)

// candidate is one target of a service in one Picker.
type candidate struct {
	endpoint *Endpoint
	id       fleet.TargetID
	slots    int64
	started  int64 // Unix nanoseconds
	// roundTrip is the round-trip time to the target's data centre in
	// nanoseconds.
	roundTrip int64
	verdict   health.Verdict
	local     bool // in the ingress's own data centre
	// useRisk is set if costs depend on the risk of failures at the target.
	useRisk bool
}

// Picker chooses among the targets of one service. It is immutable.
type Picker struct {
	// local and remote are the usable targets of the subset, in the ingress's own
	// data centre and in others.
	local, remote []candidate
	// probation are targets that get a share of idempotent requests.
	// probationBound[i] is the upper end of the interval of random numbers for
	// which probation[i] is picked; the interval starts at the end of the previous
	// one.
	probation      []candidate
	probationBound []uint64
	// fallback are targets on probation, ejected or avoided. They are picked if no
	// usable target is left.
	fallback []candidate
	// excluded are targets that this Picker never picks, with the reason.
	excluded []excludedCandidate
}

// excludedCandidate is a candidate that is never picked, with the reason.
type excludedCandidate struct {
	candidate
	reason Reason
}

// sampled is the number of candidates that are compared in the ingress's own
// data centre, and also in the other data centres together. For non-idempotent
// requests it is sampledNonIdempotent, because for them a low risk of failure
// is more important than an even load.
const (
	sampled              = 2
	sampledNonIdempotent = 6
)

// Pick chooses the target of one attempt; random must be a uniformly
// distributed random number. It returns false if no target is left.
func (p *Picker) Pick(req Request, random uint64, now time.Time) (Choice, bool) {
	t := now.UnixNano()
	if req.Idempotent && len(p.probation) > 0 {
		if c := p.pickProbation(req.Exclude, splitMix64(random+1)); c != nil {
			return Choice{c.endpoint, ReasonProbation}, true
		}
	}
	if req.Idempotent && unitInterval(splitMix64(random+2)) < ExploreShare {
		if c := p.explore(&req, splitMix64(random+3), t); c != nil {
			return Choice{c.endpoint, ReasonExplore}, true
		}
	}
	best, bestCost := sample(p.local, &req, random, t, nil, 0)
	best, _ = sample(p.remote, &req, splitMix64(random), t, best, bestCost)
	if best == nil {
		best, bestCost = scan(p.local, &req, t, nil, 0)
		best, _ = scan(p.remote, &req, t, best, bestCost)
	}
	if best != nil {
		if best.local {
			return Choice{best.endpoint, ReasonLocal}, true
		}
		return Choice{best.endpoint, ReasonRemote}, true
	}
	if best = cheapestFallback(p.fallback, req.Exclude, t); best != nil {
		return Choice{best.endpoint, ReasonFallback}, true
	}
	return Choice{}, false
}

func (p *Picker) pickProbation(exclude []fleet.TargetID, random uint64) *candidate {
	for i := range p.probation {
		if random < p.probationBound[i] {
			if p.probation[i].mayNotGet(exclude) {
				return nil
			}
			return &p.probation[i]
		}
	}
	return nil
}

// sample compares up to sampled or sampledNonIdempotent random candidates of
// from with best and returns the cheapest one and its cost.
func sample(from []candidate, req *Request, random uint64, now int64, best *candidate, bestCost int64) (*candidate, int64) {
	n := uint64(len(from))
	if n == 0 {
		return best, bestCost
	}
	first := random >> 32 % n
	compared := uint64(sampled)
	if from[0].useRisk && !req.Idempotent {
		compared = sampledNonIdempotent
	}
	for i := range min(compared, n) {
		at := first
		if i > 0 {
			at = (first + 1 + (random&max32%(n-1)+i-1)%(n-1)) % n
		}
		c := &from[at]
		if c.mayNotGet(req.Exclude) {
			continue
		}
		if cost := c.cost(now) + c.requestCost(req, now) + c.throttlingCost(req, now, splitMix64(random+i)); best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best, bestCost
}

// scan compares all candidates of from with best and returns the cheapest one
// and its cost. Pick uses it when the sampled candidates are all excluded.
func scan(from []candidate, req *Request, now int64, best *candidate, bestCost int64) (*candidate, int64) {
	for i := range from {
		c := &from[i]
		if c.mayNotGet(req.Exclude) {
			continue
		}
		if cost := c.cost(now) + c.requestCost(req, now) + c.throttlingCost(req, now, max64); best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best, bestCost
}

// cheapestFallback returns the cheapest candidate of from, which are unhealthy
// or unreachable, or nil if all are excluded.
func cheapestFallback(from []candidate, exclude []fleet.TargetID, now int64) *candidate {
	var best *candidate
	var bestCost int64
	for i := range from {
		c := &from[i]
		if c.mayNotGet(exclude) {
			continue
		}
		cost := c.cost(now) + int64(c.verdict.LostFraction*float64(SeverityCost))
		switch c.verdict.State {
		case health.Ejected:
			cost += int64(SeverityCost)
		case health.Avoided: // an unreachable target is worse than a slow one
			cost += 2 * int64(SeverityCost)
		}
		if best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// mayNotGet reports whether a request must not be sent to the candidate: it is
// excluded, or it stated that it is about to stop.
func (c *candidate) mayNotGet(exclude []fleet.TargetID) bool {
	return contains(exclude, c.id) || c.endpoint.leaving()
}

func contains(ids []fleet.TargetID, id fleet.TargetID) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}

// cost estimates the cost in nanoseconds of one more request at the target: the
// round trip, the wait for a slot or for the target's rate limit, and a part of
// DefaultDistance in proportion to the slots in use. This part prefers idle
// targets, but is at most half of the default round trip, so that it does not
// move requests to other data centres. A failed attempt adds a cost that falls
// to zero within FailureCostDuration.
func (c *candidate) cost(now int64) int64 {
	requests, work := c.endpoint.estimate(now)
	cost := c.roundTrip + int64(DefaultDistance)*min(requests, c.slots)/c.slots
	wait := c.endpoint.rateDelay(now)
	if requests >= c.slots {
		wait = max(wait, work/c.slots)
	}
	cost += wait
	if since := now - c.endpoint.failedAt.Load(); since < int64(FailureCostDuration) {
		cost += int64(FailureCost) * (int64(FailureCostDuration) - since) / int64(FailureCostDuration)
	}
	return cost
}

// requestCost returns the additional cost in nanoseconds of this request at the
// target: the risk of a failure, the transfer of its body or of a large answer
// between data centres, and a recent failure to reach the target's node.
func (c *candidate) requestCost(req *Request, now int64) int64 {
	cost := int64(0)
	if c.useRisk {
		loss := RetriedFailureCost
		if !req.Idempotent {
			loss = NonIdempotentFailureCost
		}
		cost = int64(c.endpoint.failureProbability(now) * float64(loss))
	}
	if !c.local {
		cost += req.Bytes * int64(BodyTransferCostPerKB) / 1024
		if req.LargeAnswer {
			cost += int64(LargeAnswerTransferCost)
		}
	}
	if since := now - c.endpoint.pathFailedAt.Load(); since < int64(PathFailureCostDuration) {
		// The product of both durations in nanoseconds would overflow int64.
		cost += int64(float64(PathFailureCost) * (1 - float64(since)/float64(PathFailureCostDuration)))
	}
	return cost
}

// explore returns a random target among those whose failure episode may have
// ended or that have no outcomes yet, or nil if there is none. Other requests
// avoid such a target, so that without exploration its recovery would go
// unnoticed. The choice is random because all ingresses explore the same
// targets. Targets in other data centres are left to the ingresses there while
// the own data centre has targets to explore.
func (p *Picker) explore(req *Request, random uint64, now int64) *candidate {
	for _, list := range [][]candidate{p.local, p.remote} {
		var found []*candidate
		for i := range list {
			c := &list[i]
			if !c.useRisk || c.mayNotGet(req.Exclude) || req.LargeAnswer && !c.local {
				continue
			}
			if risk := c.endpoint.failureProbability(now); risk > exploreMinRisk && risk < exploreMaxRisk {
				found = append(found, c)
			}
		}
		if len(found) > 0 {
			return found[random%uint64(len(found))]
		}
	}
	return nil
}

// A target is explored if its risk is between exploreMinRisk and
// exploreMaxRisk. Below, it gets other requests anyway; above, its sidecar
// refuses almost all requests.
var exploreMinRisk, exploreMaxRisk = standing.FailureProbability(0.2), standing.FailureProbability(standing.ProbeLimit)

// unitInterval maps a random number to [0, 1).
func unitInterval(random uint64) float64 { return float64(random>>11) / (1 << 53) }

// throttlingCost returns an additional cost that applies to a random part of
// the requests. Through it, a target in slow start gets a growing share of its
// traffic, a held target half of its traffic, and one that states a rate limit
// the part that the limit lets it serve, unless the other targets have longer
// queues.
func (c *candidate) throttlingCost(req *Request, now int64, random uint64) int64 {
	var extra int64
	if c.rateShare(req.Expected) < unitInterval(splitMix64(random+1)) {
		extra += int64(RateLimitedCost)
	}
	if c.slowStartShare(now) < unitInterval(random) {
		extra += int64(SlowStartCost)
	}
	if c.verdict.HeldByFloor && random&1 == 0 {
		extra += int64(HeldCost)
	}
	return extra
}

// slowStartShare returns the share of its usual traffic that a target gets
// during slow start, and 1 afterwards. The start time comes from another node's
// clock; a start time in the future counts as now.
func (c *candidate) slowStartShare(now int64) float64 {
	age := now - c.started
	if age >= int64(SlowStart) {
		return 1
	}
	return max(SlowStartFloor, float64(age)/float64(SlowStart))
}

// rateShare returns the share of the requests that the target's slots could
// serve, with the given run time, that its rate limit lets it serve; 1 without
// a limit.
func (c *candidate) rateShare(run time.Duration) float64 {
	limit := c.endpoint.RateLimit()
	if limit <= 0 || run <= 0 {
		return 1
	}
	return min(1, limit*run.Seconds()/float64(c.slots))
}

const max64 = 1<<64 - 1

// splitMix64 is one step of SplitMix64. Pick uses it to derive further random
// numbers from its argument, and rank as a hash.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Explain returns one Explanation for each target of the service: first the
// usable targets of the subset, then those that are passed over.
func (p *Picker) Explain(now time.Time) []Explanation {
	var explanations []Explanation
	t := now.UnixNano()
	add := func(c *candidate, r Reason) {
		target := c.endpoint.Target()
		explanations = append(explanations, Explanation{Target: c.id, Node: target.Node, DataCentre: target.DataCentre,
			Cost: time.Duration(c.cost(t)), Reason: r, Detail: c.verdict.Reason})
	}
	for _, list := range [][]candidate{p.local, p.remote} {
		for i := range list {
			add(&list[i], list[i].reason(t))
		}
	}
	for i := range p.fallback {
		add(&p.fallback[i], p.fallback[i].reason(t))
	}
	for i := range p.excluded {
		add(&p.excluded[i].candidate, p.excluded[i].reason)
	}
	return explanations
}

// reason returns the reason that Explain gives for a candidate.
func (c *candidate) reason(now int64) Reason {
	switch {
	case c.endpoint.leaving():
		return ReasonDraining
	case c.verdict.State == health.Probation:
		return ReasonProbation
	case c.verdict.State == health.Ejected:
		return ReasonEjected
	case c.verdict.State == health.Avoided:
		return ReasonAvoided
	case c.verdict.HeldByFloor:
		return ReasonHeld
	case c.slowStartShare(now) < 1:
		return ReasonSlowStart
	case c.local:
		return ReasonLocal
	default:
		return ReasonRemote
	}
}
