package health

import (
	"fmt"
	"math"
	"time"
)

// Detector turns the evidence of one Tick about one class at one target into a
// step of a sequential test. The Monitor adds the steps up, never below 0, and
// condemns the target when the sum reaches 1. A negative step is evidence for
// health; 0 is no evidence.
type Detector interface {
	Weigh(now time.Time, e *Evidence, peers Peers) (step float64, reason string)
}

// Age judges the age of the oldest work in flight and the usual run time
// against the peers. It finds stalls before any request ends.
type Age struct{}

const (
	// stallThreshold is the sum of the logarithms of the excess age, one a tick,
	// that condemns. It takes about 0.9 s of a full stall at 20 requests/s.
	stallThreshold = 3.0
	// stallFactor is how many times the peers' pace is normal for the oldest
	// work.
	stallFactor = 4.0
	// dryAnswers is how many answers a target must have failed to give, at the
	// rate of its own past and of its peers' present, before the age of its
	// oldest work counts. One long outlier beside other work is no stall; the
	// chance of a gap of 6 answers in steady work is e^-6 and shrinks further
	// while the sum grows.
	dryAnswers = 6.0
	// minStall is the shortest age that counts as a stall, so that pauses of a
	// VM do not look like one when run times are short.
	minStall = 250 * time.Millisecond
	// maxStep bounds what one tick adds.
	maxStep = 1.5
	// slowThreshold is the sum of the logarithms of the excess run time, one a
	// completion, that condemns.
	slowThreshold = 12.0
	// slowFactor is how many times the peers' usual run time is normal; VMs of
	// one service differ by up to 2 times.
	slowFactor = 2.5
	// slowCompletions is how many completions the usual run time needs.
	slowCompletions = 10
)

// Weigh implements Detector.
func (Age) Weigh(_ time.Time, e *Evidence, peers Peers) (float64, string) {
	if peers.Count < minPeers {
		return 0, ""
	}
	step, reason := stall(e, peers)
	if slow, why := slowness(e, peers); slow > 0 && slow > step || step == 0 {
		step, reason = slow, why
	}
	return step, reason
}

func stall(e *Evidence, peers Peers) (float64, string) {
	if e.Oldest == 0 || peers.Pace == 0 {
		return 0, ""
	}
	// While the whole service stood still, age says nothing about this target.
	age := min(e.Oldest, peers.Progress)
	missing := min(e.Rate, peers.Rate) * e.Gap.Seconds()
	if age < minStall || missing < dryAnswers {
		return 0, ""
	}
	step := math.Log(float64(age) / float64(peers.Pace) / stallFactor)
	return max(0, min(step, maxStep)) * e.Elapsed / stallThreshold,
		fmt.Sprintf("oldest work %s against %s at %d peers, %.0f answers missing", round(e.Oldest), round(peers.Pace), peers.Count, missing)
}

// slowness also takes the sum down again: every completion at the usual speed
// is evidence for health.
func slowness(e *Evidence, peers Peers) (float64, string) {
	if e.Completed == 0 || peers.Typical == 0 {
		return 0, ""
	}
	step := math.Log(float64(e.Typical) / float64(peers.Typical) / slowFactor)
	if step > 0 && (e.Total < slowCompletions || e.Cold) {
		return 0, ""
	}
	return max(-1, min(step, maxStep)) * min(e.Completed, 3*max(1, e.Elapsed)) / slowThreshold,
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
	// and 20 targets, a run of an hour has about 1.4 million requests; e^-12
	// keeps the chance of a false ejection in it below a few percent even if
	// every request started a test of its own.
	rateThreshold = 12.0
	// baseErrorRate is tolerated even when the peers have no errors.
	baseErrorRate = 0.005
	// rateFactor is how many times the peers' error rate is normal.
	rateFactor = 3.0
	// maxErrorRate of the peers: above it no target can be told apart.
	maxErrorRate = 0.5
	// maxRateStep bounds what one tick adds: a single burst does not condemn.
	maxRateStep = 3.0
)

// Weigh implements Detector.
func (SuccessRate) Weigh(_ time.Time, e *Evidence, peers Peers) (float64, string) {
	answers := e.Completed + e.Failed
	if peers.Count < minPeers || answers == 0 {
		return 0, ""
	}
	normal := max(baseErrorRate, rateFactor*peers.ErrorRate)
	if normal > maxErrorRate {
		return 0, ""
	}
	sick := min(max(normal+0.04, 3*normal), 0.95)
	step := e.Failed*math.Log(sick/normal) + e.Completed*math.Log((1-sick)/(1-normal))
	step = max(-maxRateStep, min(step, maxRateStep*max(1, e.Elapsed)))
	return step / rateThreshold, fmt.Sprintf("errors %.0f%% against %.1f%% at %d peers",
		100*e.slow.failures/max(e.slow.answers, 1), 100*peers.ErrorRate, peers.Count)
}
