package health

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Config holds the settings of a Monitor. The zero value of a field selects
// its default.
type Config struct {
	// Self is the node that runs the Monitor. Path failures of its own attempts
	// lead to Avoid.
	Self fleet.NodeID
	// Detectors evaluate the evidence. The default is StallDetector and
	// ErrorRateDetector.
	Detectors []Detector
}

const (
	// backoffBase is how long a target stays out of traffic after its first
	// ejection. The time doubles with each further ejection up to backoffCap.
	backoffBase = 2 * time.Second
	backoffCap  = time.Minute
	// observationTime is how long Tick evaluates a service after the latest
	// evidence about it. It is longer than any evidence is kept.
	observationTime = time.Minute
	// backoffResetTime is how long a target must stay healthy before the
	// back-off of its next ejection starts at backoffBase again.
	backoffResetTime = 5 * time.Minute
	// A target on probation stays at one share for at least
	// minProbationStepTime and until minProbationCompletions requests have
	// completed. Without these completions the step ends after
	// maxProbationStepTime, because a service may have no idempotent requests
	// at all.
	minProbationStepTime    = time.Second
	minProbationCompletions = 3
	maxProbationStepTime    = 10 * time.Second
	// probationSeverity is the severity at which a target on probation is
	// ejected again.
	probationSeverity = 0.5
	// clearSeverity is the severity below which a target that only the floor
	// keeps in traffic counts as healthy again.
	clearSeverity = 0.5
	// maxSeverity limits the scores, so that the score of a recovered target
	// falls below the ejection threshold within a reasonable time.
	maxSeverity = 3.0
	// swapMargin is the least difference in lost work at which a serving target
	// is ejected and an ejected one readmitted in its place while the floor
	// allows no further ejection. Without a margin, equally faulty targets
	// would replace each other all the time.
	swapMargin = 0.25
	// avoidedLoss is the effective loss of an avoided target. It is larger than
	// that of any other target, so that avoided targets are readmitted last.
	avoidedLoss = 10
	// warmUp is how long a target is expected to be slow after its start.
	warmUp = 10 * time.Second
	// selfReportFactor multiplies evidence against a target for
	// selfReportMaxAge after its own health endpoint reported errors.
	selfReportFactor = 1.25
	selfReportMaxAge = 2 * time.Second
	// minDistrustTargets is the number of targets that a source must report on
	// before a majority of failing ones is evidence against the source.
	minDistrustTargets = 3
)

// probationShares are the shares of the usual traffic in the steps of a
// probation.
var probationShares = [...]float64{0.05, 0.25}

// Monitor decides which targets receive traffic. It must be used by one
// goroutine at a time.
type Monitor struct {
	cfg      Config
	targets  map[fleet.TargetID]*target
	services map[string]*service
	// active holds the services that Tick evaluates. The others have no recent
	// evidence and no pending decision.
	active     map[string]*service
	distrusted map[fleet.NodeID]bool
}

type service struct {
	name            string
	floor, expected int
	targets         []*target // ordered by identifier
	// progressSince is the time since which each class has made progress.
	// Classes without progress have no entry.
	progressSince map[string]time.Time
	// lastObserved is the time of the latest sample about a target.
	lastObserved time.Time
	// holding is set while the floor keeps unhealthy targets in traffic.
	holding bool
}

type target struct {
	record  fleet.Target
	service *service
	verdict Verdict
	classes map[string]*Evidence
	sources map[fleet.NodeID]*sourceEvidence
	answers answerRate
	// severity is the highest score, of which 1 or more makes the target a
	// candidate for ejection; lostFraction is the part of its requests that the
	// target loses. Both, like reason, are those of the latest Tick.
	severity, lostFraction float64
	reason                 string
	pathFault              bool // the reason is the path from this node
	avoided                bool // the target was avoided and is not yet back in full traffic
	// ejections counts ejections and avoidances for the back-off.
	ejections int
	// stateSince is when the current state began, backoffUntil when the back-off
	// ends.
	stateSince, backoffUntil time.Time
	probationStep            int     // index in probationShares
	stepCompletions          float64 // completions in the current probation step
	// selfReportedAt is when the target's own endpoint last reported errors.
	selfReportedAt time.Time
}

// New returns a Monitor that knows no targets.
func New(cfg Config) *Monitor {
	if cfg.Detectors == nil {
		cfg.Detectors = []Detector{StallDetector{}, ErrorRateDetector{}}
	}
	return &Monitor{cfg: cfg, targets: map[fleet.TargetID]*target{}, services: map[string]*service{}, active: map[string]*service{}, distrusted: map[fleet.NodeID]bool{}}
}

// Verdict returns the state of a target. An unknown target is healthy, because
// there is no evidence against it.
func (m *Monitor) Verdict(id fleet.TargetID) Verdict {
	if t := m.targets[id]; t != nil {
		return t.verdict
	}
	return Verdict{State: Healthy, Share: 1}
}

// Step processes the event ev, which happened at now, and returns the resulting
// actions.
func (m *Monitor) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case TargetAdded:
		return m.add(now, ev)
	case TargetRemoved:
		return m.remove(now, ev.ID)
	case SampleReceived:
		m.observe(now, ev.Sample)
	case Tick:
		return m.tick(now)
	}
	return nil
}

func (m *Monitor) add(now time.Time, ev TargetAdded) []Action {
	var actions []Action
	t := m.targets[ev.Target.ID]
	if t != nil && (t.record.Service != ev.Target.Service || t.record.Node != ev.Target.Node) {
		actions = m.remove(now, ev.Target.ID) // its evidence is about another process
		t = nil
	}
	s := m.services[ev.Target.Service]
	if s == nil {
		s = &service{name: ev.Target.Service, progressSince: map[string]time.Time{}}
		m.services[s.name] = s
	}
	s.floor, s.expected = ev.Floor, ev.Expected
	if t == nil {
		t = &target{service: s, verdict: Verdict{State: Healthy, Share: 1}, stateSince: now,
			classes: map[string]*Evidence{}, sources: map[fleet.NodeID]*sourceEvidence{}}
		m.targets[ev.Target.ID] = t
		at, _ := slices.BinarySearchFunc(s.targets, ev.Target.ID, func(t *target, id fleet.TargetID) int { return cmp.Compare(t.record.ID, id) })
		s.targets = slices.Insert(s.targets, at, t)
	}
	t.record = ev.Target
	return append(actions, s.enforceFloor(now)...)
}

func (m *Monitor) remove(now time.Time, id fleet.TargetID) []Action {
	t := m.targets[id]
	if t == nil {
		return nil
	}
	delete(m.targets, id)
	s := t.service
	s.targets = slices.DeleteFunc(s.targets, func(x *target) bool { return x == t })
	if len(s.targets) == 0 {
		delete(m.services, s.name)
		delete(m.active, s.name)
	}
	return s.enforceFloor(now)
}

func (m *Monitor) observe(now time.Time, sample Sample) {
	t := m.targets[sample.Target]
	if t == nil {
		return
	}
	t.service.lastObserved = now
	m.active[t.service.name] = t.service
	if sample.SelfReported {
		if sample.Errors > 0 {
			t.selfReportedAt = now
		}
		return
	}
	if sample.Source != t.record.Node {
		s := t.sources[sample.Source]
		if s == nil {
			s = &sourceEvidence{}
			t.sources[sample.Source] = s
		}
		s.observe(now, sample)
		return
	}
	e := t.classes[sample.Class]
	if e == nil {
		e = &Evidence{scores: make([]float64, len(m.cfg.Detectors)), reasons: make([]string, len(m.cfg.Detectors))}
		t.classes[sample.Class] = e
	}
	e.observe(now, sample)
	t.answers.update(now, float64(sample.Completed+sample.Errors))
	t.stepCompletions += float64(sample.Completed)
}

func (m *Monitor) tick(now time.Time) []Action {
	actions := m.updateDistrust(now)
	for _, name := range sortedKeys(m.active) {
		s := m.active[name]
		s.updateScores(now, m.cfg.Detectors)
		for _, t := range s.targets {
			m.updateSeverity(now, t)
			actions = append(actions, t.updateState(now, t.sources[m.cfg.Self])...)
		}
		actions = append(actions, s.enforceFloor(now)...)
		if s.quiescent(now) {
			delete(m.active, name)
		}
	}
	return actions
}

// quiescent reports whether nothing can change in the service before new
// evidence arrives. At the planned size, a node knows 28,000 targets but uses or
// serves few of the services. If Tick evaluated all services, it would take
// 12 ms, which is 12% of a core.
func (s *service) quiescent(now time.Time) bool {
	if s.holding || now.Sub(s.lastObserved) < observationTime {
		return false
	}
	for _, t := range s.targets {
		if t.verdict.State != Healthy || t.verdict.HeldByFloor || t.severity > 0 || len(t.sources) > 0 {
			return false
		}
	}
	return true
}

// updateScores applies the detectors to each class at each target of the
// service that has new evidence, and decays the scores of classes without
// current evidence.
func (s *service) updateScores(now time.Time, detectors []Detector) {
	byClass := map[string][]*Evidence{} // evidence of targets that count as peers
	var rates []float64
	for _, t := range s.targets {
		t.answers.update(now, 0)
		if t.record.State == fleet.TargetServing && t.verdict.State == Healthy {
			rates = append(rates, t.answers.fast.answers/currentWindow.Seconds())
		}
		for class, e := range t.classes {
			e.Answers, e.UsualAnswerRate, e.SinceLastAnswer = t.answers.sinceTick, t.answers.usualRate(now), now.Sub(t.answers.lastAnswer)
			e.LongRequestInFlight = t.longRequestInFlight(now)
			e.WarmingUp = now.Sub(t.record.Started) < warmUp
			if t.record.State == fleet.TargetServing && t.verdict.State != Ejected {
				byClass[class] = append(byClass[class], e)
			}
		}
	}
	slices.Sort(rates)
	median := 0.0
	if len(rates) > 0 {
		median = rates[len(rates)/2]
	}
	for class, evidence := range byClass {
		if !progressing(now, evidence) {
			delete(s.progressSince, class)
		} else if _, ok := s.progressSince[class]; !ok {
			s.progressSince[class] = now
		}
	}
	for _, t := range s.targets {
		for class, e := range t.classes {
			if e.Fresh {
				peers := summarizePeers(now, e, byClass[class], s.progressSince[class])
				peers.AnswerRate = median
				t.updateScores(now, class, e, peers, detectors)
			} else if !e.recent(now) {
				e.decayScores()
			}
		}
	}
	for _, t := range s.targets {
		t.answers.sinceTick = 0
		for _, e := range t.classes {
			e.resetTick()
		}
	}
}

// longRequestInFlight reports whether a request is in flight whose class usually
// runs more than ten times as long as another class, or has an unknown run time.
func (t *target) longRequestInFlight(now time.Time) bool {
	var shortest, longest time.Duration
	for _, e := range t.classes {
		if e.TypicalRunTime > 0 && (shortest == 0 || e.TypicalRunTime < shortest) {
			shortest = e.TypicalRunTime
		}
		if e.recent(now) && e.OldestInFlight > 0 {
			if e.TypicalRunTime == 0 {
				return true // the usual run time of this class is not known yet
			}
			longest = max(longest, e.TypicalRunTime)
		}
	}
	return longest > 10*shortest
}

// updateScores applies the detectors to the new evidence of one class.
func (t *target) updateScores(now time.Time, class string, e *Evidence, peers PeerStats, detectors []Detector) {
	if peers.TypicalAge > 0 {
		e.slowdown = max(float64(min(e.OldestInFlight, peers.ProgressTime))/float64(peers.TypicalAge)/stallFactor, float64(e.TypicalRunTime)/float64(peers.TypicalRunTime))
	}
	for i, d := range detectors {
		old := e.scores[i]
		next, reason := d.Update(e, peers, old)
		if next > old && now.Sub(t.selfReportedAt) < selfReportMaxAge {
			next = old + (next-old)*selfReportFactor
		}
		e.scores[i] = min(max(next, 0), maxSeverity)
		if next > old {
			e.reasons[i] = class + ": " + reason
		}
	}
}

// updateSeverity computes the severity of a target from the scores of its
// classes and from the path failures of attempts at the target.
func (m *Monitor) updateSeverity(now time.Time, t *target) {
	t.severity, t.lostFraction, t.reason, t.pathFault = 0, 0, "", false
	if len(t.classes)+len(t.sources) == 0 {
		return
	}
	for _, class := range sortedKeys(t.classes) {
		e := t.classes[class]
		for i, score := range e.scores {
			if score > t.severity {
				t.severity, t.lostFraction, t.reason = score, e.lostFraction(), e.reasons[i]
			}
		}
	}
	failing, _, answered := t.failingSources(now, m.distrusted)
	if failing >= 2 && answered == 0 {
		t.severity, t.lostFraction = maxSeverity, 1
		t.reason = fmt.Sprintf("unreachable: path failures from %d nodes, no answer to any", failing)
		return
	}
	if ownPath := t.sources[m.cfg.Self]; ownPath != nil && ownPath.failing(now) && t.severity < 1 {
		t.severity, t.lostFraction, t.pathFault = 1, 1, true
		t.reason = fmt.Sprintf("path: %.0f failures from this node, answers to %d other sources", ownPath.failures, answered)
	}
}

// updateDistrust marks sources as distrusted that report most targets as failing
// although others get answers from these targets. It also drops sources without
// recent attempts.
func (m *Monitor) updateDistrust(now time.Time) []Action {
	type sourceCounts struct{ tried, failing, contradicted int }
	countsBySource := map[fleet.NodeID]*sourceCounts{}
	for _, t := range m.triedTargets() {
		for id, s := range t.sources {
			if now.Sub(s.lastTry) >= pathEvidenceMaxAge {
				if now.Sub(s.lastTry) > 10*pathEvidenceMaxAge {
					delete(t.sources, id)
				}
				continue
			}
			c := countsBySource[id]
			if c == nil {
				c = &sourceCounts{}
				countsBySource[id] = c
			}
			c.tried++
			if s.failing(now) {
				c.failing++
				if t.answeredOtherSource(now, id, s.firstFailure) {
					c.contradicted++
				}
			}
		}
	}
	var actions []Action
	for _, id := range sortedKeys(countsBySource) {
		c := countsBySource[id]
		distrust := c.tried >= minDistrustTargets && 2*c.failing > c.tried && c.contradicted > 0
		if distrust && !m.distrusted[id] {
			actions = append(actions, SourceDistrusted{id, fmt.Sprintf("reports %d of %d targets as failing; %d of them answer others", c.failing, c.tried, c.contradicted)})
		}
		m.distrusted[id] = distrust
	}
	for id := range m.distrusted {
		if countsBySource[id] == nil {
			delete(m.distrusted, id)
		}
	}
	return actions
}

// triedTargets returns the targets of all active services that nodes other than
// their own have tried.
func (m *Monitor) triedTargets() []*target {
	var targets []*target
	for _, s := range m.active {
		for _, t := range s.targets {
			if len(t.sources) > 0 {
				targets = append(targets, t)
			}
		}
	}
	return targets
}

// answeredOtherSource reports whether a source other than id, such as the
// target's sidecar, got an answer from the target after the given time.
func (t *target) answeredOtherSource(now time.Time, id fleet.NodeID, after time.Time) bool {
	for other, s := range t.sources {
		if other != id && s.answered(now, after) {
			return true
		}
	}
	for _, e := range t.classes {
		if e.recent(now) && e.LastCompletion.After(after) {
			return true
		}
	}
	return false
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
