package health

import (
	"math"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

const (
	// evidenceMaxAge is how long figures of a sidecar describe the present.
	evidenceMaxAge = time.Second
	// fastWindow and slowWindow are the time constants of the decayed answer
	// counts. The fast one follows a service-wide jump of errors within a few
	// ticks, the slow one keeps a base rate over quiet times.
	fastWindow = 500 * time.Millisecond
	slowWindow = 5 * time.Second
	// tickTime is the time that one unit of evidence stands for.
	tickTime = 100 * time.Millisecond
	// maxSampleTime bounds the weight of one sample after a gap.
	maxSampleTime = 500 * time.Millisecond
)

// Evidence is what is known of one class of work at one target. Only samples
// of the target's own sidecar enter.
type Evidence struct {
	// Fresh is set when a sample arrived since the last Tick.
	Fresh bool
	// Completed and Failed count answers since the last Tick.
	Completed, Failed float64
	// Elapsed is the time since the sample before, in units of tickTime.
	Elapsed float64
	// Oldest and Typical are the newest figures of the sidecar.
	Oldest, Typical time.Duration
	// Total counts all completions since the target appeared.
	Total float64
	// Cold is set while the target may be slow because it has just started.
	Cold bool
	// LastCompletion is when a sample last counted a completion.
	LastCompletion time.Time
	// Answers is how many requests of any class the target ended since the last
	// Tick, Rate how many a second it usually ends, and Gap the time since the
	// last one.
	Answers, Rate float64
	Gap           time.Duration
	// LongWork is set while work of a class that runs much longer than others
	// is in flight; it explains missing answers.
	LongWork bool

	fast, slow rate
	sampled    time.Time
	// excess is how many times longer than at its peers work takes here.
	excess  float64
	scores  []float64
	reasons []string
}

// rate holds exponentially decayed counts of answers.
type rate struct{ answers, failures float64 }

func (r *rate) decay(elapsed, window time.Duration) {
	f := math.Exp(-float64(elapsed) / float64(window))
	r.answers, r.failures = r.answers*f, r.failures*f
}

func (r *rate) add(completed, failed float64) {
	r.answers += completed + failed
	r.failures += failed
}

// observe adds one sample.
func (e *Evidence) observe(now time.Time, s Sample) {
	failed := float64(s.Errors) + float64(s.Truncated)
	elapsed := tickTime
	if !e.sampled.IsZero() {
		elapsed = min(now.Sub(e.sampled), maxSampleTime)
		e.fast.decay(now.Sub(e.sampled), fastWindow)
		e.slow.decay(now.Sub(e.sampled), slowWindow)
	}
	e.fast.add(float64(s.Completed), failed)
	e.slow.add(float64(s.Completed), failed)
	e.Completed += float64(s.Completed)
	e.Failed += failed
	e.Total += float64(s.Completed)
	e.Elapsed += float64(elapsed) / float64(tickTime)
	if s.Completed > 0 {
		e.LastCompletion = now
	}
	e.Oldest, e.sampled, e.Fresh = s.OldestInFlight, now, true
	if s.Typical > 0 {
		e.Typical = s.Typical
	}
}

// lost estimates the part of the work that is lost: failed answers, or time
// spent beyond what the peers need.
func (e *Evidence) lost() float64 {
	lost := e.slow.failures / max(e.slow.answers, 1)
	if e.excess > 1 {
		lost = max(lost, 1-1/e.excess)
	}
	return min(lost, 1)
}

// known reports whether the figures describe the present.
func (e *Evidence) known(now time.Time) bool {
	return !e.sampled.IsZero() && now.Sub(e.sampled) < evidenceMaxAge
}

// pace is the longer of the oldest age and the usual run time. It varies only
// upward, so that a low quantile of it over peers is a steady reference.
func (e *Evidence) pace() time.Duration { return max(e.Oldest, e.Typical) }

// fade lets old evidence lose its weight while there is no work, by half of the
// threshold in 5 s.
func (e *Evidence) fade() {
	for i := range e.scores {
		e.scores[i] = max(0, e.scores[i]-0.01)
	}
}

// answerRate counts the ends of a target's requests of all classes.
type answerRate struct {
	fast, slow rate
	started    time.Time
	updated    time.Time
	last       time.Time
	tick       float64 // since the last Tick
}

// update decays the counts to now and adds n answers.
func (a *answerRate) update(now time.Time, n float64) {
	if a.updated.IsZero() {
		a.started = now
	} else {
		a.fast.decay(now.Sub(a.updated), currentWindow)
		a.slow.decay(now.Sub(a.updated), usualWindow)
	}
	a.updated = now
	a.fast.answers += n
	a.slow.answers += n
	a.tick += n
	if n > 0 {
		a.last = now
	}
}

// usual returns the usual number of answers a second. It is not biased by the
// time before the first one.
func (a *answerRate) usual(now time.Time) float64 {
	seen := 1 - math.Exp(-now.Sub(a.started).Seconds()/usualWindow.Seconds())
	return a.slow.answers / usualWindow.Seconds() / max(seen, 0.1)
}

const (
	currentWindow = time.Second
	usualWindow   = 10 * time.Second
)

// clearTick forgets the counts that the detectors have weighed.
func (e *Evidence) clearTick() { e.Fresh, e.Completed, e.Failed, e.Elapsed = false, 0, 0, 0 }

// Peers is the same class at the other serving targets of the service.
type Peers struct {
	Count int
	// Pace and Typical are lower quartiles, so that they describe healthy
	// targets even when up to three quarters are sick.
	Pace, Typical time.Duration
	// ErrorRate is pooled over the better half of the peers, as the larger of
	// the fast and the slow rate.
	ErrorRate float64
	// Rate is how many requests of any class a second the median target of the
	// service ends at present.
	Rate float64
	// Progress is how long enough peers have been completing work. While the
	// whole service stands still it is 0 and no target can be told apart.
	Progress time.Duration
}

// progressTime is how long without completions the service may be before it
// stands still. It is short because the age of work at one target looks like a
// stall until the standstill of the others is noticed.
const progressTime = 300 * time.Millisecond

// minPeers is the smallest number of peers that a comparison needs.
const minPeers = 2

// compare summarizes the peers of self. since is the time since which the class
// makes progress in the service.
func compare(now time.Time, self *Evidence, all []*Evidence, since time.Time) Peers {
	var paces, typicals []time.Duration
	var peers []*Evidence
	for _, e := range all {
		if e == self || !e.known(now) {
			continue
		}
		peers = append(peers, e)
		if e.Typical > 0 {
			paces = append(paces, e.pace())
			typicals = append(typicals, e.Typical)
		}
	}
	p := Peers{Count: len(peers), Pace: quartile(paces), Typical: quartile(typicals), ErrorRate: errorRate(now, peers)}
	if !since.IsZero() {
		p.Progress = now.Sub(since)
	}
	return p
}

func quartile(values []time.Duration) time.Duration {
	if len(values) < minPeers {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/4]
}

func errorRate(now time.Time, peers []*Evidence) float64 {
	slices.SortFunc(peers, func(a, b *Evidence) int {
		switch x, y := a.slow.failures*(b.slow.answers+1), b.slow.failures*(a.slow.answers+1); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	var fast, slow rate
	for _, e := range peers[:(len(peers)+1)/2] {
		fast.answers, fast.failures = fast.answers+e.fast.answers, fast.failures+e.fast.failures
		slow.answers, slow.failures = slow.answers+e.slow.answers, slow.failures+e.slow.failures
	}
	return max(fast.failures/(fast.answers+5), slow.failures/(slow.answers+5))
}

// progressing reports whether at least a quarter of the targets with evidence
// (and two of them) completed work of the class lately.
func progressing(now time.Time, all []*Evidence) bool {
	known, moving := 0, 0
	for _, e := range all {
		if !e.known(now) {
			continue
		}
		known++
		if now.Sub(e.LastCompletion) < max(progressTime, 3*e.Typical) {
			moving++
		}
	}
	return moving >= max(minPeers, (known+3)/4)
}

// sourceEvidence is what one other node sees of one target.
type sourceEvidence struct {
	failures              float64 // since its last answer
	firstFailure, lastTry time.Time
	lastFailure           time.Time
	lastAnswer            time.Time
}

const (
	// pathFailuresNeeded and pathFailureTime are the evidence that a path is
	// bad: one lost packet or one closed connection is not.
	pathFailuresNeeded = 3
	pathFailureTime    = 200 * time.Millisecond
	// pathMemory is how long failures and answers of other sources count.
	pathMemory = 3 * time.Second
)

func (s *sourceEvidence) observe(now time.Time, sample Sample) {
	answers, failures := sample.Completed+sample.Errors, sample.PathFailures+sample.Truncated
	if answers+failures == 0 {
		return
	}
	s.lastTry = now
	if answers > 0 && answers >= failures {
		s.lastAnswer, s.failures = now, 0
		return
	}
	if s.failures == 0 {
		s.firstFailure = now
	}
	s.failures += float64(failures)
	s.lastFailure = now
}

// failing reports whether the path from the source to the target is bad.
func (s *sourceEvidence) failing(now time.Time) bool {
	return s.failures >= pathFailuresNeeded && now.Sub(s.lastFailure) < pathMemory &&
		s.lastFailure.Sub(s.firstFailure) >= pathFailureTime
}

// answered reports whether the source got an answer after t and lately.
func (s *sourceEvidence) answered(now, t time.Time) bool {
	return s.lastAnswer.After(t) && now.Sub(s.lastAnswer) < pathMemory
}

// failingSources counts the trusted sources whose path to the target fails, and
// who else got answers from it since the first of these failures.
func (t *target) failingSources(now time.Time, distrusted map[fleet.NodeID]bool) (failing int, first time.Time, answered int) {
	for id, s := range t.sources {
		if s.failing(now) && !distrusted[id] {
			failing++
			if first.IsZero() || s.firstFailure.Before(first) {
				first = s.firstFailure
			}
		}
	}
	for _, s := range t.sources {
		if s.answered(now, first) {
			answered++
		}
	}
	for _, e := range t.classes {
		if e.known(now) && e.LastCompletion.After(first) {
			answered++
			break
		}
	}
	return failing, first, answered
}
