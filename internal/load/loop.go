package load

import (
	"context"
	"sync"
	"time"
)

// maxOutstanding bounds the calls of an open loop that are in flight at once.
// A call that has to wait for this bound still counts its latency from its
// scheduled start.
const maxOutstanding = 8192

// Call makes the n-th call and returns what its caller saw.
type Call func(ctx context.Context, n int) Sample

// Open starts calls on a fixed schedule of perSecond calls, whether or not
// earlier calls have been answered, and returns when all have ended. Latency
// is counted from the scheduled start, so that a slow fleet cannot hide its
// delay by slowing its callers down.
func Open(ctx context.Context, perSecond float64, duration time.Duration, call Call) *Report {
	return open(ctx, perSecond, duration, call, wait)
}

// OpenPrecise is Open with start times that are exact to about 0.1 ms, for
// benchmarks of latencies below a millisecond. It does not work with virtual
// time.
func OpenPrecise(ctx context.Context, perSecond float64, duration time.Duration, call Call) *Report {
	return open(ctx, perSecond, duration, call, preciseWait)
}

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
	report.Took = time.Since(start)
	return report
}

// Closed keeps a number of callers busy, each of which starts its next call
// when the previous one has ended.
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
				began := time.Now()
				sample := call(ctx, n)
				report.Add(sample, time.Since(began))
			}
		}()
	}
	running.Wait()
	report.Took = time.Since(start)
	return report
}

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
