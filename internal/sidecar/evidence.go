package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
)

// workOutcome is how one piece of work ended, for health evidence.
type workOutcome uint8

const (
	completed workOutcome = iota
	failed
	truncated
	// cancelled work says nothing about the target.
	cancelled
	// shed work was not run. Its target says so, so that nothing is lost by
	// sending it there, and its peers may shed as well.
	shed
	// expired work took longer than it was given. The target is alive and says
	// so; whether it is slow shows in the comparison with its peers.
	expired
)

// lateFactor is how many times its usual run time work may take before its
// cancellation counts against the target: an ingress gives up on a stalled
// target and goes elsewhere.
const lateFactor = 10

// typicalWeight is the weight of one new run time in the moving average.
const typicalWeight = 0.1

// evidence counts the work of one target by class.
type evidence struct {
	mu      sync.Mutex
	classes map[string]*classEvidence
}

type classEvidence struct {
	completed, failed, truncated uint32
	typical                      time.Duration
	running                      map[*work]struct{}
}

// work is one piece of running work. Only the time spent waiting for the
// target counts: a caller that reads a long answer slowly must not make its
// target look stalled.
type work struct {
	class string
	// waitingSince is zero while the caller, not the target, is awaited.
	waitingSince time.Time
	waited       time.Duration
}

func newEvidence() *evidence { return &evidence{classes: make(map[string]*classEvidence)} }

func (e *evidence) begin(class string, now time.Time) *work {
	w := &work{class: class, waitingSince: now}
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.classes[class]
	if !ok {
		c = &classEvidence{running: make(map[*work]struct{})}
		e.classes[class] = c
	}
	c.running[w] = struct{}{}
	return w
}

// wait starts or resumes waiting for the target.
func (e *evidence) wait(w *work, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.waitingSince = now
}

// progress ends waiting because the target sent something.
func (e *evidence) progress(w *work, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.stopWaiting(now)
}

func (w *work) stopWaiting(now time.Time) {
	if !w.waitingSince.IsZero() {
		w.waited += now.Sub(w.waitingSince)
		w.waitingSince = time.Time{}
	}
}

func (e *evidence) end(w *work, now time.Time, outcome workOutcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.stopWaiting(now)
	c := e.classes[w.class]
	delete(c.running, w)
	if outcome == cancelled && c.typical > 0 && w.waited > lateFactor*c.typical {
		outcome = failed
	}
	switch outcome {
	case completed:
		c.completed++
		c.observe(w.waited)
	case failed, expired:
		c.failed++
	case truncated:
		c.truncated++
	}
}

func (c *classEvidence) observe(took time.Duration) {
	if c.typical == 0 {
		c.typical = took
		return
	}
	c.typical += time.Duration(typicalWeight * float64(took-c.typical))
}

// take returns the counts since the last call and resets them. Classes without
// work since then are left out.
func (e *evidence) take(now time.Time) []health.Sample {
	e.mu.Lock()
	defer e.mu.Unlock()
	var samples []health.Sample
	for class, c := range e.classes {
		sample := health.Sample{
			Class: class, Completed: c.completed, Errors: c.failed, Truncated: c.truncated, Typical: c.typical,
		}
		for w := range c.running {
			if !w.waitingSince.IsZero() {
				sample.OldestInFlight = max(sample.OldestInFlight, now.Sub(w.waitingSince))
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

// outcomeOf judges a request that got no answer.
func outcomeOf(ctx context.Context, err error) workOutcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return cancelled
	}
	return failed
}

// outcomeOfBody judges an answer by its status and the end of its body. A 503
// is a target that sheds load, which its peers may do as well; health compares
// them.
func outcomeOfBody(ctx context.Context, status int, err error) workOutcome {
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
