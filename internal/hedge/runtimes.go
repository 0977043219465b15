package hedge

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// resolution is the unit of the histograms. With one significant figure, a
	// histogram takes about 2 KB.
	resolution         = 100 * time.Microsecond
	maxRunTime         = 2 * time.Minute
	significantFigures = 1
	// A histogram is replaced when it holds at least minRotated run times and is
	// rotationInterval old, or when it holds maxSamples. The quantiles cover the
	// current histogram and the previous one.
	rotationInterval = 15 * time.Second
	minRotated       = 40
	maxSamples       = 2000
	// minSamples is the number of run times below which the expected run time of
	// the class is used instead of quantiles.
	minSamples = 10
)

// runTimes holds the recent run times of one class. It is safe for concurrent
// use.
type runTimes struct {
	mu                sync.Mutex
	current, previous *hdrhistogram.Histogram
	startedAt         time.Time // of current
	lastObserved      time.Time
	// recorded counts the run times since quantiles were last computed.
	recorded int
	cached   quantiles
	cachedAt float64 // the quantile for which cached was computed
}

// quantiles summarises the run times of a class.
type quantiles struct {
	median, upper time.Duration
	known         bool
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxRunTime/resolution), significantFigures)
}

func newRunTimes(now time.Time) *runTimes {
	return &runTimes{current: newHistogram(), previous: newHistogram(), startedAt: now}
}

func (r *runTimes) observe(run time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.current.TotalCount()
	if n >= maxSamples || n >= minRotated && now.Sub(r.startedAt) >= rotationInterval {
		r.current, r.previous = r.previous, r.current
		r.current.Reset()
		r.startedAt = now
	}
	// The value is clamped to the histogram's range, so that no error is
	// possible.
	_ = r.current.RecordValue(int64(min(max(run, resolution), maxRunTime) / resolution))
	r.recorded++
	r.lastObserved = now
}

func (r *runTimes) observedSince(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lastObserved.Before(at)
}

// refreshAfter is the number of new run times after which the quantiles are
// computed again.
const refreshAfter = 16

// at returns the median and the quantile q, from 0 to 1, of the recent run
// times.
func (r *runTimes) at(q float64) quantiles {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cached.known && r.recorded < refreshAfter && r.cachedAt == q {
		return r.cached
	}
	if r.current.TotalCount()+r.previous.TotalCount() < minSamples {
		return quantiles{}
	}
	all := r.current
	if r.previous.TotalCount() > 0 {
		all = newHistogram()
		all.Merge(r.current)
		all.Merge(r.previous)
	}
	r.cached = quantiles{
		median: time.Duration(all.ValueAtQuantile(50)) * resolution,
		upper:  time.Duration(all.ValueAtQuantile(q*100)) * resolution,
		known:  true,
	}
	r.recorded, r.cachedAt = 0, q
	return r.cached
}
