// Package metric holds the counters, gauges and histograms of a node. The
// number of time series for tenants, whose names callers choose, is bounded.
package metric

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// MaxTenants is the number of tenants that get their own time series on one
// node. All further tenants share the label value "other". At about 2 KB a
// series, this keeps the memory for tenants below 2 MB even if 250,000
// organisations send requests.
const MaxTenants = 256

// Set is the metrics of one node.
type Set struct {
	set          *metrics.Set
	mu           sync.Mutex
	tenants      sync.Map     // tenant -> *metrics.Histogram
	tenantCount  atomic.Int64 // tenants with their own time series
	otherTenants *metrics.Histogram
	classes      sync.Map // classKey -> *metrics.Histogram
}

type classKey struct {
	service, class, outcome string
}

// NewSet returns an empty set.
func NewSet() *Set {
	s := &Set{set: metrics.NewSet()}
	s.otherTenants = s.set.NewHistogram(`siskinvale_tenant_request_seconds{tenant="other"}`)
	return s
}

// ObserveRequest records the duration of one request as seen by its caller.
func (s *Set) ObserveRequest(service, class, tenant, outcome string, duration time.Duration) {
	s.class(classKey{service, class, outcome}).Update(duration.Seconds())
	s.tenant(tenant).Update(duration.Seconds())
}

func (s *Set) class(k classKey) *metrics.Histogram {
	if h, ok := s.classes.Load(k); ok {
		return h.(*metrics.Histogram)
	}
	name := fmt.Sprintf("siskinvale_request_seconds{service=%q,class=%q,outcome=%q}", k.service, k.class, k.outcome)
	h, _ := s.classes.LoadOrStore(k, s.set.GetOrCreateHistogram(name))
	return h.(*metrics.Histogram)
}

func (s *Set) tenant(name string) *metrics.Histogram {
	if h, ok := s.tenants.Load(name); ok {
		return h.(*metrics.Histogram)
	}
	if s.tenantCount.Load() >= MaxTenants {
		return s.otherTenants
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.tenants.Load(name); ok {
		return h.(*metrics.Histogram)
	}
	if s.tenantCount.Load() >= MaxTenants {
		return s.otherTenants
	}
	h := s.set.GetOrCreateHistogram(fmt.Sprintf("siskinvale_tenant_request_seconds{tenant=%q}", name))
	s.tenants.Store(name, h)
	s.tenantCount.Add(1)
	return h
}

// Counter returns the counter with the given name, which may carry labels.
func (s *Set) Counter(name string) *metrics.Counter { return s.set.GetOrCreateCounter(name) }

// RegisterGauge registers a gauge whose value is read from f at each scrape.
func (s *Set) RegisterGauge(name string, f func() float64) { s.set.GetOrCreateGauge(name, f) }

// WritePrometheus writes all metrics of the set and of the process in the
// Prometheus text format.
func (s *Set) WritePrometheus(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
