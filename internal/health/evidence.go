package health

import (
	"math"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

const (
	// evidenceMaxAge is how long the latest sample of a sidecar is considered
	// current.
	evidenceMaxAge = time.Second
	// fastWindow and slowWindow are the time constants of the decayed answer
	// counts. The fast count follows a service-wide jump of errors within a few
	// Ticks. The slow count keeps a base rate while there is little traffic.
	fastWindow = 500 * time.Millisecond
	slowWindow = 5 * time.Second
	// tickTime is the usual time between two Ticks and the unit of
	// Evidence.Elapsed.
	tickTime = 100 * time.Millisecond
	// maxSampleTime limits the time that one sample represents after a gap.
	maxSampleTime = 500 * time.Millisecond
)

// Evidence is what is known of one request class at one target. It comes only
// from samples of the target's own sidecar.
type Evidence struct {
	// Fresh is set if a sample arrived since the previous Tick.
	Fresh bool
	// Completed and Failed count answers since the previous Tick.
	Completed, Failed float64
	// Elapsed is the time that the samples since the previous Tick represent,
	// in units of tickTime.
	Elapsed float64
	// OldestInFlight is the age of the oldest request in flight according to
	// the latest sample, TypicalRunTime the latest known usual run time.
	OldestInFlight, TypicalRunTime time.Duration
	// Total counts all completions since the target was added or last went on
	// probation.
	Total float64
	// WarmingUp is set while the target may be slow because it has just
	// started.
	WarmingUp bool
	// LastCompletion is the time of the latest sample with a completion.
	LastCompletion time.Time
	// Answers is the number of requests of any class that the target answered
	// since the previous Tick, UsualAnswerRate the usual number per second, and
	// SinceLastAnswer the time since the latest answer.
	Answers, UsualAnswerRate float64
	SinceLastAnswer          time.Duration
	// LongRequestInFlight is set while a request is in flight whose class runs
	// much longer than others. Such a request explains missing answers.
	LongRequestInFlight bool

	fast, slow answerCounts
	lastSample time.Time
	// slowdown is the factor by which requests take longer than normal compared
	// with the peers.
	slowdown float64
	scores   []float64
	reasons  []string
}

// answerCounts holds exponentially decayed counts of answers.
type answerCounts struct{ answers, failures float64 }

func (r *answerCounts) decay(elapsed, window time.Duration) {
	f := math.Exp(-float64(elapsed) / float64(window))
	r.answers, r.failures = r.answers*f, r.failures*f
}

func (r *answerCounts) add(completed, failed float64) {
	r.answers += completed + failed
	r.failures += failed
}

// observe adds the evidence of one sample.
func (e *Evidence) observe(now time.Time, s Sample) {
	failed := float64(s.Errors) + float64(s.Truncated)
	elapsed := tickTime
	if !e.lastSample.IsZero() {
		elapsed = min(now.Sub(e.lastSample), maxSampleTime)
		e.fast.decay(now.Sub(e.lastSample), fastWindow)
		e.slow.decay(now.Sub(e.lastSample), slowWindow)
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
	e.OldestInFlight, e.lastSample, e.Fresh = s.OldestInFlight, now, true
	if s.TypicalRunTime > 0 {
		e.TypicalRunTime = s.TypicalRunTime
	}
}

// lostFraction estimates the part of the target's capacity that is lost, either
// to failed answers or to run time beyond that of the peers.
func (e *Evidence) lostFraction() float64 {
	lost := e.slow.failures / max(e.slow.answers, 1)
	if e.slowdown > 1 {
		lost = max(lost, 1-1/e.slowdown)
	}
	return min(lost, 1)
}

// recent reports whether the latest sample is still considered current.
func (e *Evidence) recent(now time.Time) bool {
	return !e.lastSample.IsZero() && now.Sub(e.lastSample) < evidenceMaxAge
}

// requestAge returns the age of the oldest request or the usual run time,
// whichever is longer. It is never less than the usual run time, so that a low
// quantile of it over the peers is a stable reference.
func (e *Evidence) requestAge() time.Duration { return max(e.OldestInFlight, e.TypicalRunTime) }

// decayScores lowers the scores while there is no new evidence, by half of the
// ejection threshold in 5 s.
func (e *Evidence) decayScores() {
	for i := range e.scores {
		e.scores[i] = max(0, e.scores[i]-0.01)
	}
}

// answerRate measures the rate at which a target answers requests of all
// classes.
type answerRate struct {
	fast, slow answerCounts
	started    time.Time
	updated    time.Time
	lastAnswer time.Time
	sinceTick  float64 // answers since the previous Tick
}

// update decays the counts up to now and adds n answers.
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
	a.sinceTick += n
	if n > 0 {
		a.lastAnswer = now
	}
}

// usualRate returns the usual number of answers per second. It corrects, by a
// factor of up to 10, for the part of the window before the first update.
func (a *answerRate) usualRate(now time.Time) float64 {
	observedPart := 1 - math.Exp(-now.Sub(a.started).Seconds()/usualWindow.Seconds())
	return a.slow.answers / usualWindow.Seconds() / max(observedPart, 0.1)
}

const (
	// currentWindow and usualWindow are the time constants of the current and of
	// the usual answer rate.
	currentWindow = time.Second
	usualWindow   = 10 * time.Second
)

// resetTick resets the counts of one Tick after the detectors have used them.
func (e *Evidence) resetTick() { e.Fresh, e.Completed, e.Failed, e.Elapsed = false, 0, 0, 0 }

// PeerStats summarizes the evidence of one class at the other serving targets
// of the service.
type PeerStats struct {
	// Count is the number of peers with current evidence.
	Count int
	// TypicalAge is the longer of the age of the oldest request and the usual
	// run time, TypicalRunTime the usual run time. Both are lower quartiles
	// over the peers, so that they describe healthy targets even if up to three
	// quarters of the targets are faulty.
	TypicalAge, TypicalRunTime time.Duration
	// ErrorRate is the error rate over the better half of the peers. It is the
	// fast or the slow decayed rate, whichever is higher.
	ErrorRate float64
	// AnswerRate is the median, over the targets of the service, of the current
	// number of answers per second to requests of any class.
	AnswerRate float64
	// ProgressTime is how long enough targets have been completing requests of
	// the class. It is 0 while the whole service makes no progress and a faulty
	// target cannot be distinguished from the others.
	ProgressTime time.Duration
}

// progressTime is the shortest time without completions after which a target
// counts as making no progress. It is short, because until a standstill of the
// whole service is detected, the age of the requests at one target looks like a
// stall of that target.
const progressTime = 300 * time.Millisecond

// minPeers is the smallest number of peers that a comparison needs.
const minPeers = 2

// summarizePeers summarizes the evidence of all targets but self. progressSince
// is the time since which the class has made progress in the service, or the
// zero time if it makes none.
func summarizePeers(now time.Time, self *Evidence, all []*Evidence, progressSince time.Time) PeerStats {
	var requestAges, typicals []time.Duration
	var peers []*Evidence
	for _, e := range all {
		if e == self || !e.recent(now) {
			continue
		}
		peers = append(peers, e)
		if e.TypicalRunTime > 0 {
			requestAges = append(requestAges, e.requestAge())
			typicals = append(typicals, e.TypicalRunTime)
		}
	}
	p := PeerStats{Count: len(peers), TypicalAge: lowerQuartile(requestAges), TypicalRunTime: lowerQuartile(typicals), ErrorRate: pooledErrorRate(now, peers)}
	if !progressSince.IsZero() {
		p.ProgressTime = now.Sub(progressSince)
	}
	return p
}

func lowerQuartile(values []time.Duration) time.Duration {
	if len(values) < minPeers {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/4]
}

func pooledErrorRate(now time.Time, peers []*Evidence) float64 {
	slices.SortFunc(peers, func(a, b *Evidence) int {
		switch x, y := a.slow.failures*(b.slow.answers+1), b.slow.failures*(a.slow.answers+1); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	var fast, slow answerCounts
	for _, e := range peers[:(len(peers)+1)/2] {
		fast.answers, fast.failures = fast.answers+e.fast.answers, fast.failures+e.fast.failures
		slow.answers, slow.failures = slow.answers+e.slow.answers, slow.failures+e.slow.failures
	}
	return max(fast.failures/(fast.answers+5), slow.failures/(slow.answers+5))
}

// progressing reports whether at least a quarter of the targets with current
// evidence, and at least minPeers of them, recently completed requests of the
// class.
func progressing(now time.Time, all []*Evidence) bool {
	recent, completing := 0, 0
	for _, e := range all {
		if !e.recent(now) {
			continue
		}
		recent++
		if now.Sub(e.LastCompletion) < max(progressTime, 3*e.TypicalRunTime) {
			completing++
		}
	}
	return completing >= max(minPeers, (recent+3)/4)
}

// sourceEvidence is what one node observed of its own attempts at one target.
type sourceEvidence struct {
	failures              float64 // since the last answer
	firstFailure, lastTry time.Time
	lastFailure           time.Time
	lastAnswer            time.Time
}

const (
	// A path counts as failing after minPathFailures failures over at least
	// minPathFailureTime, so that one lost packet or one closed connection is
	// not enough.
	minPathFailures    = 3
	minPathFailureTime = 200 * time.Millisecond
	// pathEvidenceMaxAge is how long failures and answers that a source reports
	// are considered current.
	pathEvidenceMaxAge = 3 * time.Second
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

// failing reports whether the path from the source to the target currently
// fails.
func (s *sourceEvidence) failing(now time.Time) bool {
	return s.failures >= minPathFailures && now.Sub(s.lastFailure) < pathEvidenceMaxAge &&
		s.lastFailure.Sub(s.firstFailure) >= minPathFailureTime
}

// answered reports whether the source got an answer after t and within
// pathEvidenceMaxAge.
func (s *sourceEvidence) answered(now, t time.Time) bool {
	return s.lastAnswer.After(t) && now.Sub(s.lastAnswer) < pathEvidenceMaxAge
}

// failingSources returns the number of trusted sources whose path to the target
// fails, the time of their first failure, and the number of sources, with the
// target's sidecar as one, that got answers from the target after that time.
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
		if e.recent(now) && e.LastCompletion.After(first) {
			answered++
			break
		}
	}
	return failing, first, answered
}
