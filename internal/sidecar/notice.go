package sidecar

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
)

// Notice is what a target states about itself in an answer.
type Notice struct {
	// RateLimit is the number of requests per second that the target accepts
	// from all nodes together; fleet.Unlimited if it states no limit.
	RateLimit float64
	// Leaving is set by a target that is about to stop.
	Leaving bool
}

// ParseRateLimit parses a stated limit in requests per second. An empty string
// means fleet.Unlimited. Negative and non-finite numbers are errors.
func ParseRateLimit(s string) (float64, error) {
	if s == "" {
		return fleet.Unlimited, nil
	}
	limit, err := strconv.ParseFloat(s, 64)
	if err != nil || limit < 0 || math.IsInf(limit, 0) || math.IsNaN(limit) {
		return 0, fmt.Errorf("rate limit %q is not a decimal number of requests per second", s)
	}
	return limit, nil
}

// nativeNotice reads the notice of a target that speaks plain HTTP with the
// fleet's own headers.
func nativeNotice(h http.Header) (Notice, error) {
	limit, err := ParseRateLimit(h.Get(link.HeaderRateLimit))
	return Notice{RateLimit: limit, Leaving: h.Get(link.HeaderLeaving) != ""}, err
}

const (
	// arrivalWindow is the span over which the requests sent to a target are
	// compared with its rate limit.
	arrivalWindow = 4 * time.Second
	// overLimitTolerance and overLimitSlack are the factor and the number of
	// requests by which a window may exceed the limit.
	overLimitTolerance = 1.5
	overLimitSlack     = 5
)

// arrivalKind tells why a request was sent to a target.
type arrivalKind uint8

const (
	firstAttempt arrivalKind = iota
	retryAttempt
	nestedCall
	arrivalKinds
)

// rateMonitor compares the requests that are sent to one target with the rate
// limit that the target states. It decides nothing: its events are evidence
// that the limit is kept or not. It is safe for concurrent use.
type rateMonitor struct {
	mu    sync.Mutex
	limit float64 // requests per second; 0 until the first answer
	since time.Time
	// arrivals are the requests sent within arrivalWindow while a limit is
	// stated, oldest first.
	arrivals   []arrival
	reportedAt time.Time
}

type arrival struct {
	at   time.Time
	kind arrivalKind
}

// noticed records the limit that an answer states and returns the previous one.
func (m *rateMonitor) noticed(limit float64, now time.Time) (previous float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous, m.limit = m.limit, limit
	if limit == fleet.Unlimited {
		m.arrivals = nil
	} else if previous != limit {
		m.since = now
	}
	return previous
}

// sent records a request to the target. It returns the fields of the event to
// log if the requests of the last arrivalWindow exceed the limit, else nil.
func (m *rateMonitor) sent(kind arrivalKind, now time.Time) event.Fields {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limit <= 0 || m.limit == fleet.Unlimited {
		return nil
	}
	for len(m.arrivals) > 0 && now.Sub(m.arrivals[0].at) >= arrivalWindow {
		m.arrivals = m.arrivals[1:]
	}
	m.arrivals = append(m.arrivals, arrival{now, kind})
	allowed := overLimitTolerance*m.limit*arrivalWindow.Seconds() + overLimitSlack
	if float64(len(m.arrivals)) <= allowed || now.Sub(m.since) < arrivalWindow || now.Sub(m.reportedAt) < arrivalWindow {
		return nil
	}
	m.reportedAt = now
	var counts [arrivalKinds]int
	for _, a := range m.arrivals {
		counts[a.kind]++
	}
	return event.Fields{
		"perSecond": m.limit, "seconds": arrivalWindow.Seconds(), "requests": len(m.arrivals),
		"first": counts[firstAttempt], "retries": counts[retryAttempt], "nested": counts[nestedCall],
	}
}

func kindOfArrival(call *link.Call) arrivalKind {
	switch {
	case call.Retry:
		return retryAttempt
	case call.Nested:
		return nestedCall
	default:
		return firstAttempt
	}
}

// observeNotice records what an answer of the target states about the target
// and logs changes.
func (t *target) observeNotice(h http.Header) {
	read := nativeNotice
	if t.dialect != nil {
		read = t.dialect.Notice
	}
	notice, err := read(h)
	if err != nil {
		t.report(event.NoticeMalformed, event.Fields{"error": err.Error()})
		return
	}
	if previous := t.rates.noticed(notice.RateLimit, t.clock()); previous != notice.RateLimit && (previous != 0 || notice.RateLimit != fleet.Unlimited) {
		t.report(event.RateLimitChanged, event.Fields{"perSecond": limitField(notice.RateLimit), "before": limitField(previous)})
	}
	if notice.Leaving && !t.saidLeaving.Swap(true) {
		t.report(event.TargetSaysLeaving, event.Fields{"state": t.record().State.String()})
	}
}

// limitField returns a limit as a log field; "none" for no limit.
func limitField(limit float64) any {
	if limit == fleet.Unlimited || limit == 0 {
		return "none"
	}
	return limit
}
