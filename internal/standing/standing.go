// Package standing estimates whether a target is in a failure episode.
//
// In a failure episode, a target fails part of its requests for some seconds
// while its health endpoint still reports it as healthy. Such a failure loses a
// non-idempotent request, which cannot be retried. A single failure therefore
// lowers the standing of the target at once, and idempotent requests probe
// whether the episode has ended.
//
// A Tracker is a hidden Markov model with two states (good, bad) that is
// observed through the outcomes of requests. It never reads the clock: the time
// is an argument.
package standing

import (
	"math"
	"time"
)

const (
	// goodFailureRate, badFailureRate, meanGoodTime and meanBadTime are the
	// maximum-likelihood estimates over the outcomes of about 11,000 requests
	// at 71 targets of two deployments.

	// goodFailureRate is the share of requests that fail at a target in the
	// good state.
	goodFailureRate = 0.03
	// badFailureRate is the share of requests that fail at a target in a
	// failure episode.
	badFailureRate = 0.75
	// meanGoodTime is the mean time until a target in the good state enters a
	// failure episode, and meanBadTime the mean length of an episode.
	meanGoodTime = 16 * time.Second
	meanBadTime  = 5 * time.Second
	// initialProbability is the episode probability before the first outcome.
	initialProbability = 0.15
	// minProbability and maxProbability bound the episode probability, so that
	// a few outcomes suffice to move it when the state of the target changes.
	minProbability, maxProbability = 0.005, 0.97

	// TrustLimit is the episode probability above which non-idempotent requests
	// are not admitted. Above it, a failure episode is more likely than a
	// single failure.
	TrustLimit = 0.5
	// ProbeLimit is the episode probability above which idempotent requests are
	// admitted only as probes.
	ProbeLimit = 0.6
	// hangingProbability is the least episode probability of a target that
	// hangs.
	hangingProbability = 0.9
	// probeInterval is the minimum time between two probes. Most probes in a
	// failure episode fail, and each failure costs a retry from the retry
	// budget; an episode of 3 s costs at most five.
	probeInterval = 600 * time.Millisecond
	// hangingProbeInterval is the minimum time between two probes of a target
	// that hangs. The requests that it holds show when it goes on; probes are
	// needed only if these are unusually long ones.
	hangingProbeInterval = 2 * time.Second
)

// Prior is the episode probability of a target without recent outcomes.
const Prior = float64(meanBadTime) / float64(meanGoodTime+meanBadTime)

// Decay returns the episode probability after elapsed has passed without
// outcomes. It moves towards Prior.
func Decay(probability float64, elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return probability
	}
	rate := 1/meanGoodTime.Seconds() + 1/meanBadTime.Seconds()
	return Prior + (probability-Prior)*math.Exp(-rate*elapsed.Seconds())
}

// FailureProbability returns the probability that a request fails at a target
// whose episode probability is given.
func FailureProbability(probability float64) float64 {
	return probability*badFailureRate + (1-probability)*goodFailureRate
}

// Tracker holds the episode probability of one target. It is not safe for
// concurrent use.
type Tracker struct {
	probability float64
	observedAt  time.Time
	lastProbe   time.Time
	hanging     bool
}

// NewTracker returns a tracker for a target that has no outcomes yet.
func NewTracker(now time.Time) *Tracker {
	return &Tracker{probability: initialProbability, observedAt: now}
}

// EpisodeProbability returns the probability that the target is in a failure
// episode.
func (t *Tracker) EpisodeProbability(now time.Time) float64 {
	probability := Decay(t.probability, now.Sub(t.observedAt))
	if t.hanging {
		return max(probability, hangingProbability)
	}
	return probability
}

// SetHanging states whether the target hangs: it holds requests far beyond their
// usual run time and completes none.
func (t *Tracker) SetHanging(now time.Time, hanging bool) {
	if hanging && !t.hanging {
		t.lastProbe = now
	}
	t.hanging = hanging
}

// Observe updates the episode probability with the outcome of one request.
func (t *Tracker) Observe(now time.Time, failed bool) {
	probability := Decay(t.probability, now.Sub(t.observedAt))
	likelihoodBad, likelihoodGood := 1-badFailureRate, 1-goodFailureRate
	if failed {
		likelihoodBad, likelihoodGood = badFailureRate, goodFailureRate
	}
	probability = probability * likelihoodBad / (probability*likelihoodBad + (1-probability)*likelihoodGood)
	t.probability, t.observedAt = min(max(probability, minProbability), maxProbability), now
}

// Admit reports whether a request may be sent to the target. An idempotent
// request that is admitted above ProbeLimit is a probe; no further one is
// admitted within the probe interval, which is longer while the target hangs.
func (t *Tracker) Admit(now time.Time, idempotent bool) bool {
	probability := t.EpisodeProbability(now)
	switch {
	case t.hanging && now.Sub(t.lastProbe) < hangingProbeInterval:
		return false
	case !idempotent:
		return probability <= TrustLimit
	case probability <= ProbeLimit:
		return true
	case now.Sub(t.lastProbe) < probeInterval:
		return false
	default:
		t.lastProbe = now
		return true
	}
}
