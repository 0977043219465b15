package load

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskinvale.dev/siskinvale/internal/fleet"
)

const (
	// Latencies are recorded in microseconds from lowestLatency to
	// highestLatency, with significantDigits decimal digits.
	lowestLatency     = 1
	highestLatency    = 10 * 60 * 1e6
	significantDigits = 3
)

// Sample is the result of one call as its caller sees it.
type Sample struct {
	// Kind groups calls, usually by service and class.
	Kind    string
	Outcome fleet.Outcome
	// Err is set if no well-formed response arrived, or if the response was not
	// the complete answer to the call.
	Err error
	// Failed is set for an answer with a status of 500 or above.
	Failed bool
}

// Kind holds the statistics of one kind of call.
type Kind struct {
	Name                             string
	Calls, Answered, NotRun, Unknown int
	// Errors is the number of calls with Sample.Err set. They are not counted
	// under any outcome.
	Errors int
	// Failed is the number of answered calls with a status of 500 or above.
	Failed int
	// FirstError is the first Sample.Err, as an example.
	FirstError error
	latency    *hdrhistogram.Histogram
}

// Percentile returns the latency at percentile p, between 0 and 100, over all
// calls regardless of their outcome.
func (k *Kind) Percentile(p float64) time.Duration {
	return time.Duration(k.latency.ValueAtPercentile(p)) * time.Microsecond
}

// Report holds the statistics of a load run. It is safe for concurrent use.
type Report struct {
	// Duration is the duration of the run, including the wait for the last call
	// to end.
	Duration time.Duration

	mu    sync.Mutex
	kinds map[string]*Kind
}

// NewReport returns an empty report.
func NewReport() *Report { return &Report{kinds: map[string]*Kind{}} }

// Add records one call.
func (r *Report) Add(s Sample, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, ok := r.kinds[s.Kind]
	if !ok {
		k = &Kind{Name: s.Kind, latency: hdrhistogram.New(lowestLatency, highestLatency, significantDigits)}
		r.kinds[s.Kind] = k
	}
	k.Calls++
	// A latency outside the histogram's range is recorded as its lowest or
	// highest value.
	_ = k.latency.RecordValue(min(max(latency.Microseconds(), lowestLatency), highestLatency))
	if s.Failed {
		k.Failed++
	}
	switch {
	case s.Err != nil:
		k.Errors++
		if k.FirstError == nil {
			k.FirstError = s.Err
		}
	case s.Outcome == fleet.Answered:
		k.Answered++
	case s.Outcome == fleet.NotRun:
		k.NotRun++
	default:
		k.Unknown++
	}
}

// Kinds returns the statistics of all kinds, ordered by name. The result must
// not be used while calls are still being recorded.
func (r *Report) Kinds() []*Kind {
	r.mu.Lock()
	defer r.mu.Unlock()
	kinds := make([]*Kind, 0, len(r.kinds))
	for _, k := range r.kinds {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(i, j int) bool { return kinds[i].Name < kinds[j].Name })
	return kinds
}

// Kind returns the statistics of one kind, which are empty if no call of that
// kind was recorded.
func (r *Report) Kind(name string) *Kind {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k, ok := r.kinds[name]; ok {
		return k
	}
	return &Kind{Name: name, latency: hdrhistogram.New(lowestLatency, highestLatency, significantDigits)}
}
