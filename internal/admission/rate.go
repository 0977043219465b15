package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// After a pause, the requests of rateBurst may start at once, or minBurst if
	// these are more. In any span d, at most rate × (d + rateBurst) + minBurst
	// items start. A target serves a few requests at a time anyway, so that the
	// burst spares callers a wait and does not change the load for long.
	rateBurst = 2 * time.Second
	minBurst  = 3
	// minRate is the lowest rate in items per second. A target that states a
	// lower limit still gets a request from time to time, because only the
	// answer to one can state that the limit is over.
	minRate = 0.25
)

// rateLimit is a token bucket that bounds how many items start per second. Each
// start takes one token. The zero value does not limit.
type rateLimit struct {
	perSecond float64 // 0: no limit
	tokens    float64
	updated   time.Time
}

// set changes the rate; 0 removes the limit. The bucket of a new or lower limit
// is empty, because more items may have started shortly before than it allows.
func (r *rateLimit) set(now time.Time, perSecond float64) {
	if perSecond <= 0 {
		*r = rateLimit{}
		return
	}
	r.refill(now)
	if perSecond < r.perSecond {
		r.tokens = min(r.tokens, 0)
	}
	r.perSecond, r.updated = max(perSecond, minRate), now
}

func (r *rateLimit) capacity() float64 { return max(minBurst, r.perSecond*rateBurst.Seconds()) }

func (r *rateLimit) refill(now time.Time) {
	if elapsed := now.Sub(r.updated); r.perSecond > 0 && elapsed > 0 {
		r.tokens = min(r.tokens+r.perSecond*elapsed.Seconds(), r.capacity())
		r.updated = now
	}
}

// delay returns the time until the bucket holds n tokens: 0 if it holds them
// already.
func (r *rateLimit) delay(now time.Time, n int) time.Duration {
	if r.perSecond <= 0 {
		return 0
	}
	r.refill(now)
	missing := float64(n) - r.tokens
	// Rounding must not make an item wait for a millionth of a token.
	if missing <= 1e-6 {
		return 0
	}
	return time.Duration(missing / r.perSecond * float64(time.Second))
}

// take removes the token of an item that starts.
func (r *rateLimit) take(now time.Time) {
	if r.perSecond > 0 {
		r.refill(now)
		r.tokens--
	}
}

// giveBack returns the token of an item that was started but not run.
func (r *rateLimit) giveBack() {
	if r.perSecond > 0 {
		r.tokens = min(r.tokens+1, r.capacity())
	}
}

// rateDelay estimates how long the rate limit alone makes the item wait.
func (q *Queue) rateDelay(now time.Time, item Item) time.Duration {
	if q.rate.perSecond <= 0 {
		return 0
	}
	ahead := 0
	for _, e := range q.items {
		if !e.running && q.startsBefore(now, e, item) {
			ahead++
		}
	}
	return q.rate.delay(now, ahead+1)
}

// missesObjectiveByRate reports whether the item would miss its latency
// objective only because of the rate limit. delay is the time after which the
// limit lets it start. Unlike the wait for a slot this one is certain, so that
// the item is better placed elsewhere at once.
func (q *Queue) missesObjectiveByRate(now time.Time, item Item) (delay time.Duration, late bool) {
	delay = q.rateDelay(now, item)
	return delay, delay > 0 && !q.missesObjective(now, item) && q.missesObjective(now.Add(delay), item)
}

// startsBefore reports whether a queued entry starts before an arriving item.
func (q *Queue) startsBefore(now time.Time, e *entry, item Item) bool {
	switch {
	case e.Nested || q.cfg.Discipline == FIFO:
		return true
	case item.Nested:
		return false
	case e.backlog == &q.overdue:
		return q.missesObjective(now, item)
	default:
		return e.Priority >= item.Priority || q.missesObjective(now, item)
	}
}

// startOrder orders queued entries by what starts first, without the starts that
// are left to lower ranks.
func (q *Queue) startOrder(e *entry) int {
	switch {
	case q.cfg.Discipline == FIFO:
		return 0
	case e.Nested:
		return math.MinInt
	case e.backlog == &q.overdue:
		return math.MaxInt
	default:
		return -int(e.Priority)
	}
}

// NextStart returns the time until the rate limit lets a queued item start. ok
// is false if no queued item waits for the rate limit alone.
func (q *Queue) NextStart(now time.Time) (delay time.Duration, ok bool) {
	if len(q.items) == q.running || q.running >= q.cfg.Slots {
		return 0, false
	}
	delay = q.rate.delay(now, 1)
	return delay, delay > 0
}

// refuseUnreachable refuses the queued items that the rate limit starts too late
// for their deadlines. They were admitted when the limit was higher or not
// known.
func (q *Queue) refuseUnreachable(now time.Time) []Action {
	var queued []*entry
	for _, e := range q.items {
		if !e.running {
			queued = append(queued, e)
		}
	}
	slices.SortFunc(queued, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(q.startOrder(a), q.startOrder(b)), cmp.Compare(a.seq, b.seq))
	})
	var actions []Action
	kept := 0
	for _, e := range queued {
		delay := q.rate.delay(now, kept+1)
		if !e.Deadline.IsZero() && now.Add(delay+e.expected).After(e.Deadline) {
			q.removeQueued(e)
			actions = append(actions, Refuse{ID: e.ID, Reason: ReasonDeadline, RetryAfter: delay})
			continue
		}
		kept++
	}
	return actions
}
