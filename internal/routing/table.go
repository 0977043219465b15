package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
)

const (
	// LoadMaxAge is how long a reported load is used. Within a second, the demand
	// can change severalfold.
	LoadMaxAge = time.Second
	// DefaultRunTime is the assumed run time of one request when the last
	// report is too old or contains no work.
	DefaultRunTime = 10 * time.Millisecond
	// DefaultDistance is the one-way time between two data centres of a region
	// in both deployments.
	DefaultDistance = time.Millisecond
	// SlowStart is how long a new target gets less than its usual traffic.
	SlowStart = 10 * time.Second
	// SlowStartFloor is the share of its usual traffic that a target gets at the
	// beginning of slow start.
	SlowStartFloor = 0.1
	// SubsetSize is the default number of usable targets of one service that an
	// ingress uses.
	SubsetSize = 24
	// LocalSubset is how many targets of the subset are in the ingress's own data
	// centre, or more if the other data centres have too few. The remaining
	// targets serve requests when those of the own data centre fail.
	LocalSubset = SubsetSize * 2 / 3
	// FailureCostDuration and FailureCost steer traffic away from a target
	// after a failed attempt: the cost starts at FailureCost and falls to zero
	// within FailureCostDuration.
	FailureCostDuration = time.Second
	FailureCost         = 50 * time.Millisecond
	// BodyTransferCostPerKB is the cost of sending one kilobyte of a request's
	// body to another data centre.
	BodyTransferCostPerKB = 10 * time.Millisecond
	// PathFailureCostDuration and PathFailureCost steer traffic away from a
	// target whose node did not answer this node: the cost starts at
	// PathFailureCost and falls to zero within PathFailureCostDuration. Such
	// network paths stay interrupted for seconds, and a non-idempotent request
	// is lost with an attempt that gets no answer.
	PathFailureCostDuration = 5 * time.Second
	PathFailureCost         = 2 * time.Second
	// SlowStartCost, HeldCost and RateLimitedCost are added to the cost of a
	// target in slow start, of a held target, or of one that states a rate
	// limit, for the part of the traffic that it should not get while other
	// targets have short queues.
	SlowStartCost   = 500 * time.Millisecond
	HeldCost        = 50 * time.Millisecond
	RateLimitedCost = 50 * time.Millisecond
	// NonIdempotentFailureCost is the cost of a failed non-idempotent request,
	// and RetriedFailureCost that of a failed attempt that is followed by a
	// retry. Both are given as the wait that is accepted to avoid the failure.
	// RetriedFailureCost includes that the retry is paid from a retry budget
	// that all nodes share.
	NonIdempotentFailureCost = 4 * time.Second
	RetriedFailureCost       = 700 * time.Millisecond
	// ExploreShare is the fraction of idempotent requests that are sent to a
	// target to find out whether its failure episode has ended. With a few such
	// requests per second and service, a recovered target is used again within
	// about a second.
	ExploreShare = 0.08
	// LargeAnswerTransferCost is the cost of the transfer of a large answer
	// between data centres, given as the wait that is accepted to avoid it.
	LargeAnswerTransferCost = 400 * time.Millisecond
	// SeverityCost orders the targets of a fallback: it is the cost of one unit
	// of the verdict's LostFraction, and of an ejection. For an avoided target,
	// it is added twice.
	SeverityCost = time.Second
)

// Config holds the settings of a Table. The zero value of a field selects its
// default.
type Config struct {
	// Distances are the one-way times from this ingress to other data centres, by
	// name; DefaultDistance is used for data centres that are not listed.
	Distances map[string]time.Duration
	// Subset is the number of usable targets of one service that this ingress
	// uses; default SubsetSize.
	Subset int
	// Standing makes costs depend on the episode probability that sidecars
	// publish.
	Standing bool
}

// Table holds the endpoints of all services. The control goroutine owns it.
type Table struct {
	self     fleet.Node
	selfHash uint64
	cfg      Config
	services map[string]*serviceEntries
	unlisted map[fleet.TargetID]unlistedStatement
}

// serviceEntries holds the targets of one service. They stay in order of rank
// between rebuilds, so that a rebuild does not sort them.
type serviceEntries struct {
	byID   map[fleet.TargetID]*entry
	ranked []*entry
}

// entry is one target of a service.
type entry struct {
	id       fleet.TargetID
	endpoint *Endpoint
	rank     uint64 // see Table.rank
	// verdict and listed belong to the Rebuild in progress. An entry that is
	// not listed is dropped at its end.
	verdict health.Verdict
	listed  bool
}

func compareRanks(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id))
}

func (s *serviceEntries) insert(e *entry) {
	at, _ := slices.BinarySearchFunc(s.ranked, e, compareRanks)
	s.ranked = slices.Insert(s.ranked, at, e)
}

func (s *serviceEntries) remove(e *entry) {
	if at, listed := slices.BinarySearchFunc(s.ranked, e, compareRanks); listed {
		s.ranked = slices.Delete(s.ranked, at, at+1)
	}
}

// NewTable returns an empty Table for the ingress of the node self.
func NewTable(self fleet.Node, cfg Config) *Table {
	if cfg.Subset <= 0 {
		cfg.Subset = SubsetSize
	}
	return &Table{self: self, selfHash: xxhash.Sum64String(string(self.ID)), cfg: cfg,
		services: map[string]*serviceEntries{}, unlisted: map[fleet.TargetID]unlistedStatement{}}
}

// Rebuild returns a Picker for the current targets of a service and their
// health verdicts. Targets that were listed before keep their Endpoint and its
// load figures; Endpoints of unlisted targets are dropped.
func (t *Table) Rebuild(service string, targets []fleet.Target, verdict func(fleet.TargetID) health.Verdict, now time.Time) *Picker {
	entries := t.services[service]
	if entries == nil {
		entries = &serviceEntries{byID: make(map[fleet.TargetID]*entry, len(targets))}
		t.services[service] = entries
	}
	p := &Picker{}
	for _, target := range targets {
		e := t.entry(entries, target)
		e.verdict = verdict(target.ID)
		if target.State != fleet.TargetServing {
			p.excluded = append(p.excluded, excludedCandidate{t.candidate(e), ReasonDraining})
		}
	}
	serving := make([]candidate, 0, len(targets))
	kept := entries.ranked[:0]
	for _, e := range entries.ranked {
		if !e.listed {
			delete(entries.byID, e.id)
			t.keepStatement(e, now)
			continue
		}
		e.listed = false
		kept = append(kept, e)
		if e.endpoint.target.Load().State == fleet.TargetServing {
			serving = append(serving, t.candidate(e))
		}
	}
	t.dropStatements(now)
	clear(entries.ranked[len(kept):])
	entries.ranked = kept
	if len(kept) == 0 {
		delete(t.services, service)
	}
	p.fillLists(serving, t.cfg.Subset)
	return p
}

// Report stores the load that the target's sidecar published at the given time
// in the target's Endpoint. Reports about unknown targets are ignored.
func (t *Table) Report(service string, id fleet.TargetID, load fleet.Load, at time.Time) {
	if s := t.services[service]; s != nil {
		if e := s.byID[id]; e != nil {
			e.endpoint.Report(load, at)
		}
	}
}

func (t *Table) entry(entries *serviceEntries, target fleet.Target) *entry {
	e := entries.byID[target.ID]
	if e == nil {
		e = &entry{id: target.ID, endpoint: &Endpoint{}, rank: t.rank(target)}
		entries.byID[target.ID] = e
		entries.insert(e)
	}
	if old := e.endpoint.target.Load(); old == nil || *old != target {
		if old != nil && old.Node != target.Node {
			entries.remove(e)
			e.rank = t.rank(target)
			entries.insert(e)
		}
		// A target that an operator returns to use has another statement, too.
		if old == nil || returnedByOperator(*old, target) || !old.Started.Equal(target.Started) {
			e.endpoint.statement.Store(t.statementOf(target))
		}
		e.endpoint.target.Store(&target)
	}
	e.listed = true
	return e
}

// returnedByOperator reports whether an operator has returned a draining target
// to use. The process of its node that took the target out of use then makes a
// new version of the record. A record that returns to serving in another way
// says nothing about the target: a new process of the node may not know that the
// target leaves, and the node may only have seemed to leave.
func returnedByOperator(old, target fleet.Target) bool {
	return old.State == fleet.TargetDraining && target.State == fleet.TargetServing &&
		old.Incarnation == target.Incarnation && target.Version > old.Version
}

// rank is the rendezvous hash of this ingress and the target; targets with
// lower ranks are preferred for the subset. All but the lowest 8 bits depend on
// the target's node only, so that an ingress prefers the same nodes for all
// services and needs fewer connections. The lowest 8 bits order the targets of
// one node.
func (t *Table) rank(target fleet.Target) uint64 {
	node := splitMix64(t.selfHash ^ xxhash.Sum64String(string(target.Node)))
	return node&^0xff | splitMix64(t.selfHash^xxhash.Sum64String(string(target.ID)))&0xff
}

func (t *Table) candidate(e *entry) candidate {
	target := e.endpoint.target.Load()
	c := candidate{endpoint: e.endpoint, id: target.ID, slots: int64(max(target.Slots, 1)), verdict: e.verdict,
		local: target.DataCentre == t.self.DataCentre, useRisk: t.cfg.Standing}
	if !target.Started.IsZero() { // an unknown start time counts as long ago
		c.started = target.Started.UnixNano()
	}
	if !c.local {
		oneWay, ok := t.cfg.Distances[target.DataCentre]
		if !ok {
			oneWay = DefaultDistance
		}
		c.roundTrip = 2 * int64(oneWay)
	}
	return c
}

// fillLists distributes the serving targets, which are in order of rank, to the
// lists of the Picker. Only usable targets count for the size of the subset.
// Ejections therefore do not make the subset smaller: it holds size targets, or
// all usable targets if there are fewer. This covers the floor's share of the
// subset.
func (p *Picker) fillLists(all []candidate, size int) {
	localQuota := max(size*LocalSubset/SubsetSize, size-count(all, func(c *candidate) bool { return usable(c) && !c.local }))
	inSubset := make([]bool, len(all))
	for i := range all {
		c := &all[i]
		if usable(c) && c.local && len(p.local) < localQuota {
			p.local, inSubset[i] = append(p.local, *c), true
		}
	}
	for i := range all {
		c := &all[i]
		if usable(c) && !c.local && len(p.local)+len(p.remote) < size {
			p.remote, inSubset[i] = append(p.remote, *c), true
		}
	}
	total := 0.0
	for i := range all {
		c := &all[i]
		if usable(c) {
			if !inSubset[i] {
				p.excluded = append(p.excluded, excludedCandidate{*c, ReasonSubset})
			}
			continue
		}
		if len(p.fallback) >= size {
			p.excluded = append(p.excluded, excludedCandidate{*c, c.reason(0)})
			continue
		}
		p.fallback = append(p.fallback, *c)
		if c.verdict.State == health.Probation {
			total += c.verdict.Share / float64(len(p.local)+len(p.remote)+1)
			p.probation = append(p.probation, *c)
			p.probationBound = append(p.probationBound, uint64(min(total, 0.5)*max64))
		}
	}
}

// usable reports whether the candidate takes part in the choice by cost.
func usable(c *candidate) bool { return c.verdict.State == health.Healthy }

func count(all []candidate, which func(*candidate) bool) int {
	n := 0
	for i := range all {
		if which(&all[i]) {
			n++
		}
	}
	return n
}
