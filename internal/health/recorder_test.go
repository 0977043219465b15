package health

import (
	"math"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Recorder counts the work of one target for its sidecar and turns it into
// samples. It must be used by one goroutine at a time.
type Recorder struct {
	target  fleet.TargetID
	source  fleet.NodeID
	running map[uint64]running
	classes map[string]*recorded
}

type running struct {
	class string
	since time.Time
}

type recorded struct {
	completed, errors, truncated uint32
	logRunTime                   float64 // decayed mean of ln(seconds)
	count                        int
}

// typicalWeight is the weight of one run time in the decayed mean. The mean of
// logarithms is used because single long run times hardly move it.
const typicalWeight = 1.0 / 12

// Result is how a request ended at the target.
type Result uint8

const (
	// ResultAnswered is a complete answer that is no failure of the target.
	ResultAnswered Result = iota
	// ResultError is a complete answer that says that the target failed.
	ResultError
	// ResultTruncated is an incomplete answer, or none.
	ResultTruncated
	// ResultCancelled says nothing about the target.
	ResultCancelled
)

// NewRecorder returns a Recorder without work.
func NewRecorder(target fleet.TargetID, source fleet.NodeID) *Recorder {
	return &Recorder{target: target, source: source, running: map[uint64]running{}, classes: map[string]*recorded{}}
}

// Begin records that request id was dispatched to the target.
func (r *Recorder) Begin(id uint64, class string, now time.Time) {
	r.running[id] = running{class, now}
	if r.classes[class] == nil {
		r.classes[class] = &recorded{}
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
		c.learn(now.Sub(run.since))
	case ResultError:
		c.errors++
	case ResultTruncated:
		c.truncated++
	case ResultCancelled:
		// The run would have taken at least as long. Without this, a slow target
		// whose long runs are cancelled at their deadline looks fast.
		if took := now.Sub(run.since); c.count > 0 && took > c.typical() {
			c.learn(took)
		}
	}
}

func (c *recorded) learn(took time.Duration) {
	c.count++
	x := math.Log(max(took.Seconds(), 1e-6))
	c.logRunTime += max(typicalWeight, 1/float64(c.count)) * (x - c.logRunTime)
}

func (c *recorded) typical() time.Duration {
	return time.Duration(math.Exp(c.logRunTime) * float64(time.Second))
}

// Samples returns one sample for each class that has work in flight or had some
// since the last call, and starts new counts.
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
			s.Typical = c.typical()
		}
		c.completed, c.errors, c.truncated = 0, 0, 0
		if s.Completed+s.Errors+s.Truncated > 0 || s.OldestInFlight > 0 {
			samples = append(samples, s)
		}
	}
	return samples
}
