package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
)

// requestOutcome is how one request at a target ended, for health evidence.
type requestOutcome uint8

const (
	completed requestOutcome = iota
	failed
	truncated
	// cancelled: the caller ended the request, which says nothing about the
	// target.
	cancelled
	// shed: the target stated that it did not run the request. It does not
	// count as a failure: the request can be sent elsewhere without loss, and
	// the target's peers may shed load as well.
	shed
	// expired: the target answered that the request's timeout expired. The
	// target is alive; whether it is slow shows in the comparison with its
	// peers.
	expired
)

// lateFactor is the multiple of the average run time of its class after which
// the cancellation of a request counts as a failure of the target: an ingress
// cancels requests at a stalled target and sends them to another one.
const lateFactor = 10

// runTimeWeight is the weight of one new run time in the exponential moving
// average.
const runTimeWeight = 0.1

// evidence counts the requests of one target by class and outcome.
type evidence struct {
	mu      sync.Mutex
	classes map[string]*classEvidence
	// lastCompleted is when a request was last completed.
	lastCompleted time.Time
}

type classEvidence struct {
	completed, failed, truncated uint32
	averageRunTime               time.Duration
	running                      map[*activeRequest]struct{}
}

// activeRequest is one request in flight at the target. Only the time spent
// waiting for the target counts: a caller that reads a long answer slowly must
// not make its target look stalled.
type activeRequest struct {
	class     string
	startedAt time.Time
	// waitingSince is zero while the caller is reading the answer and nothing
	// is expected from the target.
	waitingSince time.Time
	waited       time.Duration
}

func newEvidence() *evidence { return &evidence{classes: make(map[string]*classEvidence)} }

func (e *evidence) begin(class string, now time.Time) *activeRequest {
	r := &activeRequest{class: class, startedAt: now, waitingSince: now}
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.classes[class]
	if !ok {
		c = &classEvidence{running: make(map[*activeRequest]struct{})}
		e.classes[class] = c
	}
	c.running[r] = struct{}{}
	return r
}

// startWaiting marks the start of a wait for the target.
func (e *evidence) startWaiting(r *activeRequest, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.waitingSince = now
}

// recordProgress ends a wait for the target, which has sent a part of its
// answer.
func (e *evidence) recordProgress(r *activeRequest, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.stopWaiting(now)
}

func (r *activeRequest) stopWaiting(now time.Time) {
	if !r.waitingSince.IsZero() {
		r.waited += now.Sub(r.waitingSince)
		r.waitingSince = time.Time{}
	}
}

// end records how a request ended. It reports whether the request was given up
// at a target that hung.
func (e *evidence) end(r *activeRequest, now time.Time, outcome requestOutcome) (hung bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.stopWaiting(now)
	c := e.classes[r.class]
	delete(c.running, r)
	hung = (outcome == cancelled || outcome == expired) && c.overdue(r.waited) && !e.lastCompleted.After(r.startedAt)
	if outcome == cancelled && c.averageRunTime > 0 && r.waited > lateFactor*c.averageRunTime {
		outcome = failed
	}
	switch outcome {
	case completed:
		c.completed++
		c.observe(r.waited)
		e.lastCompleted = now
	case failed, expired:
		c.failed++
	case truncated:
		c.truncated++
	}
	return hung
}

func (c *classEvidence) observe(runTime time.Duration) {
	if c.averageRunTime == 0 {
		c.averageRunTime = runTime
		return
	}
	c.averageRunTime += time.Duration(runTimeWeight * float64(runTime-c.averageRunTime))
}

// collectSamples returns the counts since the previous call and resets them.
// Classes without a finished or running request are left out.
func (e *evidence) collectSamples(now time.Time) []health.Sample {
	e.mu.Lock()
	defer e.mu.Unlock()
	var samples []health.Sample
	for class, c := range e.classes {
		sample := health.Sample{
			Class: class, Completed: c.completed, Errors: c.failed, Truncated: c.truncated, TypicalRunTime: c.averageRunTime,
		}
		for r := range c.running {
			if !r.waitingSince.IsZero() {
				sample.OldestInFlight = max(sample.OldestInFlight, now.Sub(r.waitingSince))
			}
		}
		if c.completed+c.failed+c.truncated == 0 && len(c.running) == 0 {
			continue
		}
		c.completed, c.failed, c.truncated = 0, 0, 0
		samples = append(samples, sample)
	}
	return samples
}

// outcomeOfError classifies a request that got no answer.
func outcomeOfError(ctx context.Context, err error) requestOutcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return cancelled
	}
	return failed
}

// outcomeOfAnswer classifies an answer by its status and by the error that
// ended its body. A 503 counts as a failure although it means that the target
// sheds load: its peers may do so as well, and package health compares them.
func outcomeOfAnswer(ctx context.Context, status int, err error) requestOutcome {
	switch {
	case errors.Is(err, errClosedEarly) || errors.Is(ctx.Err(), context.Canceled):
		return cancelled
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failed
	case err != nil:
		return truncated
	case fleet.FailedStatus(status):
		return failed
	default:
		return completed
	}
}
