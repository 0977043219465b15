package health

import (
	"fmt"
	"math"
	"time"
)

// Detector is a sequential test of one class at one target. Update takes the
// score of the test and the evidence of one Tick, and returns the new score and
// the reason for it. A score of 1 or more makes the target a candidate for
// ejection; the Monitor limits scores to between 0 and maxSeverity. An
// unchanged score means that there was no evidence.
type Detector interface {
	Update(e *Evidence, peers PeerStats, score float64) (next float64, reason string)
}

// StallDetector compares the age of the oldest request in flight and the usual
// run time with those of the peers. It detects a stall before any stalled
// request ends.
type StallDetector struct{}

// The thresholds are the smallest ones without a false ejection in the 1,000
// healthy runs of BenchmarkDetection. Lower thresholds caused 2 to 6 false
// ejections. See docs/traffic-decisions.md.
const (
	// stallThreshold is the threshold for a full stall: the negative natural
	// logarithm of the probability that a healthy target shows the same
	// evidence.
	stallThreshold = 18.0
	// partialStallThreshold is the threshold for a stall of part of the
	// requests: the log-likelihood ratio of the answer rate.
	partialStallThreshold = 20.0
	// slowThreshold is the threshold for slowness: the sum, with one term for
	// each completion, of the logarithm of the ratio of the usual run time to
	// the largest normal one.
	slowThreshold = 8.0
	// slowFactor is the largest normal ratio of a target's usual run time to
	// that of its peers. VMs of one service differ by a factor of up to 2.
	slowFactor = 3.0
	// normalRateFloor is the part of the median answer rate to which a healthy
	// target may fall when the whole service becomes slow.
	normalRateFloor = 0.7
	// stallFactor is the largest normal ratio of the age of the oldest request
	// to the peers' TypicalAge.
	stallFactor = 4.0
	// maxAgeEvidence limits the contribution of the age alone to
	// stallThreshold.
	maxAgeEvidence = 8.0
	// partialStallRate is the part of its usual answers that a partly stalled
	// target still gives. The sequential test compares this rate with the usual
	// one.
	partialStallRate = 1.0 / 8
	// longRequestRateFactor is the part of its usual answer rate that is expected
	// of a target while long requests occupy some of its slots.
	longRequestRateFactor = 0.5
	// minStallAge is the shortest age that counts as a stall. Without it, a
	// pause of the VM would look like a stall when run times are short.
	minStallAge = 250 * time.Millisecond
	// minSlowCompletions is the number of completions that are needed before
	// the usual run time counts as slow.
	minSlowCompletions = 10
	// maxSlowStep limits the contribution of one completion to slowThreshold.
	maxSlowStep = 1.5
)

// Update implements Detector.
func (StallDetector) Update(e *Evidence, peers PeerStats, score float64) (float64, string) {
	if peers.Count < minPeers {
		return score, ""
	}
	next, reason := stallScore(e, peers, score)
	if slowNext, slowReason := slownessScore(e, peers, score); next == score || slowNext > next {
		next, reason = slowNext, slowReason
	}
	return next, reason
}

// stallScore returns the new score after missing answers while the oldest
// request is too old. A single long request beside others adds nothing to the
// score, because the target goes on answering the others.
func stallScore(e *Evidence, peers PeerStats, score float64) (float64, string) {
	if e.OldestInFlight == 0 || peers.TypicalAge == 0 {
		return score, ""
	}
	// While the service as a whole makes no progress, the age of a request is no
	// evidence about this target.
	age := min(e.OldestInFlight, peers.ProgressTime)
	excess := float64(age) / float64(peers.TypicalAge)
	if age < minStallAge || excess < stallFactor {
		return score, ""
	}
	rate := min(e.UsualAnswerRate, peers.AnswerRate)
	if e.LongRequestInFlight {
		rate *= longRequestRateFactor
	}
	// Both terms of fullScore are negative natural logarithms of probabilities:
	// missing for a gap of this length between the answers of a steady stream
	// of requests, the other for a request so much older than usual, with
	// log-normal run times.
	missing := rate * min(e.SinceLastAnswer, e.OldestInFlight, peers.ProgressTime).Seconds()
	fullScore := (missing + min(math.Pow(math.Log(excess), 2)/2, maxAgeEvidence)) / stallThreshold
	partialScore := score + ((1-partialStallRate)*normalRateFloor*rate*e.Elapsed*tickTime.Seconds()-math.Log(1/partialStallRate)*e.Answers)/partialStallThreshold
	return max(fullScore, partialScore), fmt.Sprintf("oldest work %s against %s at %d peers, %.0f answers missing",
		roundForLog(e.OldestInFlight), roundForLog(peers.TypicalAge), peers.Count, missing)
}

// slownessScore returns the new score after completions. Completions at normal
// speed lower the score, because they are evidence of a healthy target.
func slownessScore(e *Evidence, peers PeerStats, score float64) (float64, string) {
	if e.Completed == 0 || peers.TypicalRunTime == 0 {
		return score, ""
	}
	step := math.Log(float64(e.TypicalRunTime) / float64(peers.TypicalRunTime) / slowFactor)
	if step > 0 && (e.Total < minSlowCompletions || e.WarmingUp) {
		return score, ""
	}
	return score + max(-1, min(step, maxSlowStep))*min(e.Completed, 3*max(1, e.Elapsed))/slowThreshold,
		fmt.Sprintf("usual run time %s against %s at %d peers", roundForLog(e.TypicalRunTime), roundForLog(peers.TypicalRunTime), peers.Count)
}

func roundForLog(d time.Duration) time.Duration {
	if d < 10*time.Millisecond {
		return d.Round(100 * time.Microsecond)
	}
	return d.Round(10 * time.Millisecond)
}

// ErrorRateDetector compares the error rate of a target with that of its peers
// by a sequential probability ratio test.
type ErrorRateDetector struct{}

const (
	// errorRateThreshold is the log-likelihood ratio at which a target is to be
	// ejected. At 20 requests/s and 20 targets, an hour has about 1.4 million
	// requests. A threshold of 14 keeps the probability of a false ejection
	// within that hour below a few percent, even if every request started a
	// test of its own: for one test it is about e^-14.
	errorRateThreshold = 14.0
	// baseErrorRate is the error rate that is normal even if the peers have no
	// errors.
	baseErrorRate = 0.005
	// errorRateFactor is the largest normal ratio of a target's error rate to
	// that of its peers.
	errorRateFactor = 3.0
	// maxErrorRate is the normal error rate above which a faulty target cannot
	// be distinguished from its peers.
	maxErrorRate = 0.5
	// maxErrorRateStep limits the contribution of one Tick to
	// errorRateThreshold, so that a single burst of errors ejects no target.
	maxErrorRateStep = 2.0
	// recoveryStep is the amount by which the log-likelihood ratio falls for
	// each Tick at a normal error rate while it is above the threshold. Without
	// it, a target that the floor kept in traffic could be ejected long after
	// it recovered.
	recoveryStep = 1.0
)

// Update implements Detector.
func (ErrorRateDetector) Update(e *Evidence, peers PeerStats, score float64) (float64, string) {
	answers := e.Completed + e.Failed
	normal := max(baseErrorRate, errorRateFactor*peers.ErrorRate)
	if peers.Count < minPeers || answers == 0 || normal > maxErrorRate {
		return score, ""
	}
	faulty := min(max(normal+0.04, 3*normal), 0.95)
	step := e.Failed*math.Log(faulty/normal) + e.Completed*math.Log((1-faulty)/(1-normal))
	step = max(-maxErrorRateStep, min(step, maxErrorRateStep*max(1, e.Elapsed)))
	if score > 1 && e.fast.failures < normal*e.fast.answers {
		step = min(step, -recoveryStep*e.Elapsed)
	}
	return score + step/errorRateThreshold, fmt.Sprintf("errors %.0f%% against %.1f%% at %d peers",
		100*e.slow.failures/max(e.slow.answers, 1), 100*peers.ErrorRate, peers.Count)
}
