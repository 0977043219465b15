package load

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskinvale.dev/siskinvale/internal/fleet"
)

const (
	// lowest and highest recorded latency in microseconds, with three
	// significant digits.
	lowestLatency     = 1
	highestLatency    = 10 * 60 * 1e6
	significantDigits = 3
)

// Sample is what a caller saw of one call.
type Sample struct {
	// Kind groups calls, usually by service and class.
	Kind    string
	Outcome fleet.Outcome
	// Err is set when no well-formed answer arrived, or one that is not the
	// complete answer to the call.
	Err error
	// Failed marks an answer whose status is 500 or above.
	Failed bool
}

// Kind is the record of one kind of call.
type Kind struct {
	Name                             string
	Calls, Answered, NotRun, Unknown int
	// Errors are calls without a correct answer; they count in no outcome.
	Errors int
	// Failed are answered calls with a status of 500 or above.
	Failed int
	// FirstError is kept as an example.
	FirstError error
	latency    *hdrhistogram.Histogram
}

// Percentile returns the latency at a percentile between 0 and 100, over all
// calls whatever their outcome.
func (k *Kind) Percentile(p float64) time.Duration {
	return time.Duration(k.latency.ValueAtPercentile(p)) * time.Microsecond
}

// Report is the record of a load run. It is safe for concurrent use.
type Report struct {
	// Took is how long the run took, with the wait for its last call.
	Took time.Duration

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
	// A latency beyond the histogram's range counts as its highest value.
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

// Kinds returns the kinds ordered by name. They must not be used while calls
// are still being recorded.
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

// Kind returns one kind, empty when no call of it was recorded.
func (r *Report) Kind(name string) *Kind {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k, ok := r.kinds[name]; ok {
		return k
	}
	return &Kind{Name: name, latency: hdrhistogram.New(lowestLatency, highestLatency, significantDigits)}
}
