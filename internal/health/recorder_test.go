package health

import (
	"math"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Recorder counts the requests that run at one target, as its sidecar does, and
// returns the counts as samples. It must be used by one goroutine at a time.
type Recorder struct {
	target  fleet.TargetID
	source  fleet.NodeID
	running map[uint64]runningRequest
	classes map[string]*classRecord
}

type runningRequest struct {
	class string
	since time.Time
}

type classRecord struct {
	completed, errors, truncated uint32
	logRunTime                   float64 // decayed mean of ln(run time in seconds)
	count                        int     // run times in logRunTime
}

// runTimeWeight is the weight of one run time in the decayed mean. The mean is
// that of the logarithms, which a single long run time hardly changes.
const runTimeWeight = 1.0 / 12

// Result is how a request ended at the target.
type Result uint8

const (
	// ResultAnswered is a complete answer that reports no failure of the target.
	ResultAnswered Result = iota
	// ResultError is a complete answer that reports a failure of the target.
	ResultError
	// ResultTruncated is an incomplete or missing answer.
	ResultTruncated
	// ResultCancelled is a request that was cancelled before its end. It is
	// neither evidence for nor against the target, apart from its run time.
	ResultCancelled
)

// NewRecorder returns a Recorder without requests.
func NewRecorder(target fleet.TargetID, source fleet.NodeID) *Recorder {
	return &Recorder{target: target, source: source, running: map[uint64]runningRequest{}, classes: map[string]*classRecord{}}
}

// Begin records that request id was dispatched to the target.
func (r *Recorder) Begin(id uint64, class string, now time.Time) {
	r.running[id] = runningRequest{class, now}
	if r.classes[class] == nil {
		r.classes[class] = &classRecord{}
	}
}

// End records the end of request id.
func (r *Recorder) End(id uint64, result Result, now time.Time) {
	run, ok := r.running[id]
	if !ok {
		return
	}
	delete(r.running, id)
	c := r.classes[run.class]
	switch result {
	case ResultAnswered:
		c.completed++
		c.addRunTime(now.Sub(run.since))
	case ResultError:
		c.errors++
	case ResultTruncated:
		c.truncated++
	case ResultCancelled:
		// The request would have run at least this long. Without counting it, a
		// slow target would look fast if its long requests are cancelled at
		// their deadline.
		if took := now.Sub(run.since); c.count > 0 && took > c.typicalRunTime() {
			c.addRunTime(took)
		}
	}
}

func (c *classRecord) addRunTime(took time.Duration) {
	c.count++
	x := math.Log(max(took.Seconds(), 1e-6))
	c.logRunTime += max(runTimeWeight, 1/float64(c.count)) * (x - c.logRunTime)
}

func (c *classRecord) typicalRunTime() time.Duration {
	return time.Duration(math.Exp(c.logRunTime) * float64(time.Second))
}

// Samples returns one sample for each class that has requests in flight or had
// answers since the previous call, and resets the counts.
func (r *Recorder) Samples(now time.Time) []Sample {
	var samples []Sample
	for _, class := range sortedKeys(r.classes) {
		c := r.classes[class]
		s := Sample{Target: r.target, Source: r.source, Class: class, Completed: c.completed, Errors: c.errors, Truncated: c.truncated}
		for _, run := range r.running {
			if run.class == class {
				s.OldestInFlight = max(s.OldestInFlight, now.Sub(run.since))
			}
		}
		if c.count > 0 {
			s.TypicalRunTime = c.typicalRunTime()
		}
		c.completed, c.errors, c.truncated = 0, 0, 0
		if s.Completed+s.Errors+s.Truncated > 0 || s.OldestInFlight > 0 {
			samples = append(samples, s)
		}
	}
	return samples
}
