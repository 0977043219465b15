package load

import (
	"context"
	"sync"
	"time"
)

// maxOutstanding bounds the calls of an open loop that are in flight at once.
// The latency of a call that has to wait for this limit is still measured from
// its scheduled start.
const maxOutstanding = 8192

// Call makes the n-th call, counted from 0, and returns its result as its
// caller sees it.
type Call func(ctx context.Context, n int) Sample

// Open starts perSecond calls per second on a fixed schedule for the given
// duration, whether or not earlier calls have ended, and returns when all calls
// have ended. Latency is measured from the scheduled start, so that a slow
// fleet cannot hide its delay by slowing down its callers.
func Open(ctx context.Context, perSecond float64, duration time.Duration, call Call) *Report {
	return open(ctx, perSecond, duration, call, wait)
}

// OpenPrecise is like Open, but starts calls within about 0.1 ms of their
// schedule. It is intended for benchmarks of latencies below a millisecond and
// does not work with virtual time.
func OpenPrecise(ctx context.Context, perSecond float64, duration time.Duration, call Call) *Report {
	return open(ctx, perSecond, duration, call, preciseWait)
}

// open implements Open and OpenPrecise, which differ in how they wait for the
// scheduled start of a call.
func open(ctx context.Context, perSecond float64, duration time.Duration, call Call, wait func(context.Context, time.Duration) bool) *Report {
	report := NewReport()
	interval := time.Duration(float64(time.Second) / perSecond)
	tokens := make(chan struct{}, maxOutstanding)
	var running sync.WaitGroup
	start := time.Now()
	for n := range int(duration / interval) {
		scheduled := start.Add(time.Duration(n) * interval)
		if !wait(ctx, time.Until(scheduled)) {
			break
		}
		tokens <- struct{}{}
		running.Add(1)
		go func() {
			defer func() { <-tokens; running.Done() }()
			sample := call(ctx, n)
			report.Add(sample, time.Since(scheduled))
		}()
	}
	running.Wait()
	report.Duration = time.Since(start)
	return report
}

// Closed runs the given number of callers for the given duration. Each caller
// starts its next call when its previous one has ended.
func Closed(ctx context.Context, callers int, duration time.Duration, call Call) *Report {
	report := NewReport()
	start := time.Now()
	var mu sync.Mutex
	next := 0
	var running sync.WaitGroup
	for range callers {
		running.Add(1)
		go func() {
			defer running.Done()
			for ctx.Err() == nil && time.Since(start) < duration {
				mu.Lock()
				n := next
				next++
				mu.Unlock()
				callStart := time.Now()
				sample := call(ctx, n)
				report.Add(sample, time.Since(callStart))
			}
		}()
	}
	running.Wait()
	report.Duration = time.Since(start)
	return report
}

// wait waits for d. It reports false if ctx ended first.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
