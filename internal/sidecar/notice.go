package sidecar

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/link"
)

// Notice is what a target states about itself in an answer.
type Notice struct {
	// RateLimit is the number of requests per second that the target accepts
	// from all nodes together, as returned by ParseRateLimit.
	RateLimit float64
	// Leaving is set by a target that is about to stop.
	Leaving bool
}

// lowestRateLimit stands for a stated limit of zero: 0 means no limit.
const lowestRateLimit = 1e-3

// ParseRateLimit parses a stated limit in requests per second. The result is 0
// for an empty string, which means that there is no limit, and positive
// otherwise. Negative and non-finite numbers are errors.
func ParseRateLimit(s string) (float64, error) {
	if s == "" {
		return 0, nil
	}
	limit, err := strconv.ParseFloat(s, 64)
	if err != nil || limit < 0 || math.IsInf(limit, 0) || math.IsNaN(limit) {
		return 0, fmt.Errorf("rate limit %q is not a decimal number of requests per second", s)
	}
	return max(limit, lowestRateLimit), nil
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

// rateState is the rate limit of one target as its sidecar knows it, with the
// requests that were sent to the target while it was in force. It is safe for
// concurrent use.
type rateState struct {
	// apply puts a limit into force. It is called with mu held, so that no
	// request passes between the change and its effect.
	apply func(limit float64)

	mu    sync.Mutex
	known bool
	// limit is the number of requests per second; 0 for none.
	limit float64
	// since is the time of the last change, and statedAt that of the last
	// answer that stated a limit.
	since, statedAt time.Time
	// arrivals are the requests sent within arrivalWindow while a limit is in
	// force, oldest first.
	arrivals   []arrival
	reportedAt time.Time
}

type arrival struct {
	at   time.Time
	kind arrivalKind
}

// get returns the limit and whether it is known.
func (r *rateState) get() (limit float64, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limit, r.known
}

// update records the limit that an answer states to a request that was sent at
// the time sent. It returns the previous limit and whether the limit changed.
//
// An answer without a limit ends the limit only if its request was sent after
// the last answer that stated one: answers may be read in another order than
// the target wrote them.
func (r *rateState) update(limit float64, sent, now time.Time) (previous float64, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if limit == 0 && r.limit > 0 && !sent.After(r.statedAt) {
		return r.limit, false
	}
	if limit > 0 {
		r.statedAt = now
	}
	previous, changed = r.limit, r.limit != limit
	r.known, r.limit = true, limit
	if changed {
		r.since, r.arrivals = now, nil
		r.apply(limit)
	}
	return previous, changed
}

// learn adopts the limit that a node knows of the target, unless the limit is
// known here already. It reports whether it did.
func (r *rateState) learn(limit float64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known || limit <= 0 {
		return false
	}
	r.known, r.limit, r.since, r.statedAt = true, limit, now, now
	r.apply(limit)
	return true
}

// sent records a request to the target. It returns the fields of the event to
// log if the requests of the last arrivalWindow exceed the limit, else nil.
func (r *rateState) sent(kind arrivalKind, now time.Time) event.Fields {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit == 0 {
		return nil
	}
	for len(r.arrivals) > 0 && now.Sub(r.arrivals[0].at) >= arrivalWindow {
		r.arrivals = r.arrivals[1:]
	}
	r.arrivals = append(r.arrivals, arrival{now, kind})
	allowed := overLimitTolerance*r.limit*arrivalWindow.Seconds() + overLimitSlack
	if float64(len(r.arrivals)) <= allowed || now.Sub(r.since) < arrivalWindow || now.Sub(r.reportedAt) < arrivalWindow {
		return nil
	}
	r.reportedAt = now
	var counts [arrivalKinds]int
	for _, a := range r.arrivals {
		counts[a.kind]++
	}
	return event.Fields{
		"perSecond": r.limit, "seconds": arrivalWindow.Seconds(), "requests": len(r.arrivals),
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

// observeNotice applies what an answer of the target states about the target.
// sent is the time at which the request of the answer was sent.
func (t *target) observeNotice(h http.Header, sent time.Time) {
	read := nativeNotice
	if t.dialect != nil {
		read = t.dialect.Notice
	}
	notice, err := read(h)
	if err != nil {
		t.report(event.NoticeMalformed, event.Fields{"error": err.Error()})
	} else if previous, changed := t.rates.update(notice.RateLimit, sent, t.clock()); changed {
		t.report(event.RateLimitChanged, event.Fields{"perSecond": notice.RateLimit, "before": previous, "source": "answer"})
	}
	if notice.Leaving && !t.saidLeaving.Swap(true) {
		t.report(event.TargetSaysLeaving, event.Fields{"state": t.record().State.String()})
		t.gate.Drain()
		t.leaving(*t.record())
	}
}

// learnRateLimit applies the rate limit that the sender of a call knows of the
// target. After a restart, a sidecar knows no limit until the first answer,
// and the requests before it would exceed a low one.
func (t *target) learnRateLimit(limit float64) {
	if t.rates.learn(limit, t.clock()) {
		t.report(event.RateLimitChanged, event.Fields{"perSecond": limit, "before": 0, "source": "call"})
	}
}
