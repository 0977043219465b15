package health

import (
	"fmt"
	"math"
	"time"
)

// Detector is a sequential test of one class at one target. Weigh returns the
// new value of the test, whose value was score, after the evidence of one Tick.
// The Monitor keeps values within 0 and maxSeverity and condemns the target at
// 1. An unchanged score means that there was no evidence.
type Detector interface {
	Weigh(e *Evidence, peers Peers, score float64) (next float64, reason string)
}

// Age judges the age of the oldest work in flight and the usual run time
// against the peers. It finds stalls before any request ends.
type Age struct{}

// The thresholds are the smallest ones that led to no false ejection in the
// 1,000 healthy runs of BenchmarkDetection; lower ones led to 2 to 6. See
// docs/traffic-decisions.md.
const (
	// stallThreshold condemns a full stall: natural logarithm of the chance that
	// a healthy target shows the same.
	stallThreshold = 18.0
	// partThreshold condemns a stall of a part of the work: log-likelihood ratio
	// of the rate of answers.
	partThreshold = 20.0
	// slowThreshold condemns slowness: sum of the logarithms of the excess run
	// time, one a completion.
	slowThreshold = 8.0
	// slowFactor is how many times the peers' usual run time is normal; VMs of
	// one service differ by up to 2 times.
	slowFactor = 3.0
	// partNormal is the part of the median rate of answers that a healthy target
	// may fall to when the whole service becomes slow.
	partNormal = 0.7
	// stallFactor is how many times the peers' pace is normal for the oldest
	// work.
	stallFactor = 4.0
	// maxAgeEvidence bounds what age alone contributes to stallThreshold.
	maxAgeEvidence = 8.0
	// partRate is the part of the usual answers that a partly stalled target
	// still gives; the sequential test is between this rate and the usual one.
	partRate = 1.0 / 8
	// longWorkFactor is the part of a target's usual rate that is expected while
	// long work takes some of its slots.
	longWorkFactor = 0.5
	// minStall is the shortest age that counts as a stall, so that pauses of a
	// VM do not look like one when run times are short.
	minStall = 250 * time.Millisecond
	// slowCompletions is how many completions the usual run time needs.
	slowCompletions = 10
	// maxSlowStep bounds what one completion adds.
	maxSlowStep = 1.5
)

// Weigh implements Detector.
func (Age) Weigh(e *Evidence, peers Peers, score float64) (float64, string) {
	if peers.Count < minPeers {
		return score, ""
	}
	next, reason := stall(e, peers, score)
	if slow, why := slowness(e, peers, score); next == score || slow > next {
		next, reason = slow, why
	}
	return next, reason
}

// stall weighs missing answers while the oldest work is too old. A long outlier
// beside other work adds nothing, because the answers go on.
func stall(e *Evidence, peers Peers, score float64) (float64, string) {
	if e.Oldest == 0 || peers.Pace == 0 {
		return score, ""
	}
	// While the whole service stood still, age says nothing about this target.
	age := min(e.Oldest, peers.Progress)
	excess := float64(age) / float64(peers.Pace)
	if age < minStall || excess < stallFactor {
		return score, ""
	}
	rate := min(e.Rate, peers.Rate)
	if e.LongWork {
		rate *= longWorkFactor
	}
	// The chance of a gap without answers in steady work, and of an age that is
	// so much longer than usual (log-normal run times), as natural logarithms.
	gap := rate * min(e.Gap, e.Oldest, peers.Progress).Seconds()
	full := (gap + min(math.Pow(math.Log(excess), 2)/2, maxAgeEvidence)) / stallThreshold
	part := score + ((1-partRate)*partNormal*rate*e.Elapsed*tickTime.Seconds()-math.Log(1/partRate)*e.Answers)/partThreshold
	return max(full, part), fmt.Sprintf("oldest work %s against %s at %d peers, %.0f answers missing",
		round(e.Oldest), round(peers.Pace), peers.Count, gap)
}

// slowness also takes the value down again: every completion at the usual speed
// is evidence for health.
func slowness(e *Evidence, peers Peers, score float64) (float64, string) {
	if e.Completed == 0 || peers.Typical == 0 {
		return score, ""
	}
	step := math.Log(float64(e.Typical) / float64(peers.Typical) / slowFactor)
	if step > 0 && (e.Total < slowCompletions || e.Cold) {
		return score, ""
	}
	return score + max(-1, min(step, maxSlowStep))*min(e.Completed, 3*max(1, e.Elapsed))/slowThreshold,
		fmt.Sprintf("usual run time %s against %s at %d peers", round(e.Typical), round(peers.Typical), peers.Count)
}

func round(d time.Duration) time.Duration {
	if d < 10*time.Millisecond {
		return d.Round(100 * time.Microsecond)
	}
	return d.Round(10 * time.Millisecond)
}

// SuccessRate judges failed answers against the error rate of the peers with a
// sequential probability ratio test.
type SuccessRate struct{}

const (
	// rateThreshold is the log-likelihood ratio that condemns. At 20 requests/s
	// and 20 targets, a run of an hour has about 1.4 million requests; e^-14
	// keeps the chance of a false ejection in it below a few percent even if
	// every request started a test of its own.
	rateThreshold = 14.0
	// baseErrorRate is tolerated even when the peers have no errors.
	baseErrorRate = 0.005
	// rateFactor is how many times the peers' error rate is normal.
	rateFactor = 3.0
	// maxErrorRate of the peers: above it no target can be told apart.
	maxErrorRate = 0.5
	// maxRateStep bounds what one tick adds: a single burst does not condemn.
	maxRateStep = 2.0
	// recoveryStep is what one tick without errors takes from a value above the
	// threshold. A target that the floor kept in traffic could otherwise be
	// ejected long after it recovered.
	recoveryStep = 1.0
)

// Weigh implements Detector.
func (SuccessRate) Weigh(e *Evidence, peers Peers, score float64) (float64, string) {
	answers := e.Completed + e.Failed
	normal := max(baseErrorRate, rateFactor*peers.ErrorRate)
	if peers.Count < minPeers || answers == 0 || normal > maxErrorRate {
		return score, ""
	}
	sick := min(max(normal+0.04, 3*normal), 0.95)
	step := e.Failed*math.Log(sick/normal) + e.Completed*math.Log((1-sick)/(1-normal))
	step = max(-maxRateStep, min(step, maxRateStep*max(1, e.Elapsed)))
	if score > 1 && e.fast.failures < normal*e.fast.answers {
		step = min(step, -recoveryStep*e.Elapsed)
	}
	return score + step/rateThreshold, fmt.Sprintf("errors %.0f%% against %.1f%% at %d peers",
		100*e.slow.failures/max(e.slow.answers, 1), 100*peers.ErrorRate, peers.Count)
}
