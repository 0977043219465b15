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
	// Self is the node that runs the Monitor. Its own path failures lead to
	// Avoid.
	Self fleet.NodeID
	// Detectors judge the work; default Age and SuccessRate.
	Detectors []Detector
}

const (
	// backoffBase is the first time out of traffic. It doubles with each further
	// ejection up to backoffCap.
	backoffBase = 2 * time.Second
	backoffCap  = time.Minute
	// quietAfter is how long a service stays under observation after its last
	// evidence. It exceeds every memory of evidence.
	quietAfter = time.Minute
	// strikeMemory is how long a target must stay healthy until its next
	// ejection starts with backoffBase again.
	strikeMemory = 5 * time.Minute
	// probationTime is the shortest time at one share; probationWork is the
	// number of completions that it needs. Without work, probationPatience ends
	// the step, because a service may have no idempotent work at all.
	probationTime     = time.Second
	probationWork     = 3
	probationPatience = 10 * time.Second
	// probationSeverity condemns a target on probation.
	probationSeverity = 0.5
	// clearSeverity ends the hold of a target that the floor kept serving.
	clearSeverity = 0.5
	// maxSeverity bounds the sum of evidence, so that a recovered target can
	// clear itself.
	maxSeverity = 3.0
	// swapMargin is how much more of its work than an ejected target a serving
	// one must lose to take its place at the floor. Without a margin, equally
	// sick targets would change places all the time.
	swapMargin = 0.25
	// avoidedBadness puts targets that cannot be reached behind all others.
	avoidedBadness = 10
	// warmUp is how long slowness is expected after a start.
	warmUp = 10 * time.Second
	// suspicion multiplies evidence while the target's own health endpoint
	// reports trouble.
	suspicion     = 1.25
	suspicionTime = 2 * time.Second
	// distrustTargets is how many targets a source must report on before the
	// part that it reports as failing says something about the source.
	distrustTargets = 3
)

var probationShares = [...]float64{0.05, 0.25}

// Monitor decides which targets receive traffic. It is owned by one goroutine.
type Monitor struct {
	cfg      Config
	targets  map[fleet.TargetID]*target
	services map[string]*service
	// active holds the services that Tick looks at; the others have had no
	// evidence lately and nothing to decide.
	active     map[string]*service
	distrusted map[fleet.NodeID]bool
}

type service struct {
	name            string
	floor, expected int
	targets         []*target // ordered by identifier
	// progress is since when each class makes progress.
	progress map[string]time.Time
	// observed is when evidence about a target arrived last.
	observed time.Time
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
	// severity (1 condemns), reason and lost (the part of the work) are those of
	// the latest Tick.
	severity, lost float64
	reason         string
	path           bool // the reason is the path from this node
	avoided        bool // the target was avoided and is not yet back in full traffic
	strikes        int
	// since is when the present state began, until when the back-off ends.
	since, until time.Time
	step         int     // of probationShares
	work         float64 // completions in this step
	suspect      time.Time
}

// New returns a Monitor that knows no targets.
func New(cfg Config) *Monitor {
	if cfg.Detectors == nil {
		cfg.Detectors = []Detector{Age{}, SuccessRate{}}
	}
	return &Monitor{cfg: cfg, targets: map[fleet.TargetID]*target{}, services: map[string]*service{}, active: map[string]*service{}, distrusted: map[fleet.NodeID]bool{}}
}

// Verdict returns the judgement on a target. Unknown targets are healthy,
// because there is no evidence against them.
func (m *Monitor) Verdict(id fleet.TargetID) Verdict {
	if t := m.targets[id]; t != nil {
		return t.verdict
	}
	return Verdict{State: Healthy, Share: 1}
}

// Step applies ev at now and returns the decisions that follow from it.
func (m *Monitor) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case TargetAdded:
		return m.add(now, ev)
	case TargetRemoved:
		return m.remove(now, ev.ID)
	case Observed:
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
		actions = m.remove(now, ev.Target.ID) // evidence about another process
		t = nil
	}
	s := m.services[ev.Target.Service]
	if s == nil {
		s = &service{name: ev.Target.Service, progress: map[string]time.Time{}}
		m.services[s.name] = s
	}
	s.floor, s.expected = ev.Floor, ev.Expected
	if t == nil {
		t = &target{service: s, verdict: Verdict{State: Healthy, Share: 1}, since: now,
			classes: map[string]*Evidence{}, sources: map[fleet.NodeID]*sourceEvidence{}}
		m.targets[ev.Target.ID] = t
		at, _ := slices.BinarySearchFunc(s.targets, ev.Target.ID, func(t *target, id fleet.TargetID) int { return cmp.Compare(t.record.ID, id) })
		s.targets = slices.Insert(s.targets, at, t)
	}
	t.record = ev.Target
	return append(actions, s.enforce(now)...)
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
	return s.enforce(now)
}

func (m *Monitor) observe(now time.Time, sample Sample) {
	t := m.targets[sample.Target]
	if t == nil {
		return
	}
	t.service.observed = now
	m.active[t.service.name] = t.service
	if sample.SelfReported {
		if sample.Errors > 0 {
			t.suspect = now
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
	t.work += float64(sample.Completed)
}

func (m *Monitor) tick(now time.Time) []Action {
	actions := m.judgeSources(now)
	for _, name := range sortedKeys(m.active) {
		s := m.active[name]
		s.weigh(now, m.cfg.Detectors)
		for _, t := range s.targets {
			m.judge(now, t)
			actions = append(actions, t.advance(now, t.sources[m.cfg.Self])...)
		}
		actions = append(actions, s.enforce(now)...)
		if s.quiet(now) {
			delete(m.active, name)
		}
	}
	return actions
}

// quiet reports whether nothing can change in the service before new evidence
// arrives. A node knows 28,000 targets at the planned size and uses or serves
// few of the services; without this, a Tick over all of them takes 12 ms, which
// is 12% of a core.
func (s *service) quiet(now time.Time) bool {
	if s.holding || now.Sub(s.observed) < quietAfter {
		return false
	}
	for _, t := range s.targets {
		if t.verdict.State != Healthy || t.verdict.Held || t.severity > 0 || len(t.sources) > 0 {
			return false
		}
	}
	return true
}

// weigh lets the detectors judge each class of the service.
func (s *service) weigh(now time.Time, detectors []Detector) {
	byClass := map[string][]*Evidence{} // of targets that may serve as peers
	var rates []float64
	for _, t := range s.targets {
		t.answers.update(now, 0)
		if t.record.State == fleet.TargetServing && t.verdict.State == Healthy {
			rates = append(rates, t.answers.fast.answers/currentWindow.Seconds())
		}
		for class, e := range t.classes {
			e.Answers, e.Rate, e.Gap = t.answers.tick, t.answers.usual(now), now.Sub(t.answers.last)
			e.LongWork = t.longWork(now)
			e.Cold = now.Sub(t.record.Started) < warmUp
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
	for class, all := range byClass {
		if !progressing(now, all) {
			delete(s.progress, class)
		} else if _, ok := s.progress[class]; !ok {
			s.progress[class] = now
		}
	}
	for _, t := range s.targets {
		for class, e := range t.classes {
			if e.Fresh {
				peers := compare(now, e, byClass[class], s.progress[class])
				peers.Rate = median
				t.weigh(now, class, e, peers, detectors)
			} else if !e.known(now) {
				e.fade()
			}
		}
	}
	for _, t := range s.targets {
		t.answers.tick = 0
		for _, e := range t.classes {
			e.clearTick()
		}
	}
}

// longWork reports whether work of a class is in flight that usually runs more
// than ten times as long as that of another class, or may do so.
func (t *target) longWork(now time.Time) bool {
	var shortest, longest time.Duration
	for _, e := range t.classes {
		if e.Typical > 0 && (shortest == 0 || e.Typical < shortest) {
			shortest = e.Typical
		}
		if e.known(now) && e.Oldest > 0 {
			if e.Typical == 0 {
				return true // nothing is known of this class yet
			}
			longest = max(longest, e.Typical)
		}
	}
	return longest > 10*shortest
}

func (t *target) weigh(now time.Time, class string, e *Evidence, peers Peers, detectors []Detector) {
	if peers.Pace > 0 {
		e.excess = max(float64(min(e.Oldest, peers.Progress))/float64(peers.Pace)/stallFactor, float64(e.Typical)/float64(peers.Typical))
	}
	for i, d := range detectors {
		old := e.scores[i]
		next, reason := d.Weigh(e, peers, old)
		if next > old && now.Sub(t.suspect) < suspicionTime {
			next = old + (next-old)*suspicion
		}
		e.scores[i] = min(max(next, 0), maxSeverity)
		if next > old {
			e.reasons[i] = class + ": " + reason
		}
	}
}

// judge computes the severity of one target from its classes and its paths.
func (m *Monitor) judge(now time.Time, t *target) {
	t.severity, t.lost, t.reason, t.path = 0, 0, "", false
	for _, class := range sortedKeys(t.classes) {
		e := t.classes[class]
		for i, score := range e.scores {
			if score > t.severity {
				t.severity, t.lost, t.reason = score, e.lost(), e.reasons[i]
			}
		}
	}
	failing, _, answered := t.failingSources(now, m.distrusted)
	if failing >= 2 && answered == 0 {
		t.severity, t.lost = maxSeverity, 1
		t.reason = fmt.Sprintf("unreachable: path failures from %d nodes, no answer to any", failing)
		return
	}
	if own := t.sources[m.cfg.Self]; own != nil && own.failing(now) && t.severity < 1 {
		t.severity, t.lost, t.path = 1, 1, true
		t.reason = fmt.Sprintf("path: %.0f failures from this node, answers to %d other sources", own.failures, answered)
	}
}

// judgeSources distrusts sources that report most targets as failing although
// others get answers from them.
func (m *Monitor) judgeSources(now time.Time) []Action {
	type tally struct{ tried, failing, denied int }
	tallies := map[fleet.NodeID]*tally{}
	for _, t := range m.observedTargets() {
		for id, s := range t.sources {
			if now.Sub(s.lastTry) >= pathMemory {
				if now.Sub(s.lastTry) > 10*pathMemory {
					delete(t.sources, id)
				}
				continue
			}
			c := tallies[id]
			if c == nil {
				c = &tally{}
				tallies[id] = c
			}
			c.tried++
			if s.failing(now) {
				c.failing++
				if t.answeredOther(now, id, s.firstFailure) {
					c.denied++
				}
			}
		}
	}
	var actions []Action
	for _, id := range sortedKeys(tallies) {
		c := tallies[id]
		bad := c.tried >= distrustTargets && 2*c.failing > c.tried && c.denied > 0
		if bad && !m.distrusted[id] {
			actions = append(actions, SourceDistrusted{id, fmt.Sprintf("reports %d of %d targets as failing; %d of them answer others", c.failing, c.tried, c.denied)})
		}
		m.distrusted[id] = bad
	}
	for id := range m.distrusted {
		if tallies[id] == nil {
			delete(m.distrusted, id)
		}
	}
	return actions
}

// observedTargets returns the targets of all active services.
func (m *Monitor) observedTargets() []*target {
	var targets []*target
	for _, s := range m.active {
		targets = append(targets, s.targets...)
	}
	return targets
}

// answeredOther reports whether another source than id got an answer after t.
func (t *target) answeredOther(now time.Time, id fleet.NodeID, after time.Time) bool {
	for other, s := range t.sources {
		if other != id && s.answered(now, after) {
			return true
		}
	}
	for _, e := range t.classes {
		if e.known(now) && e.LastCompletion.After(after) {
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
