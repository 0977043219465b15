package quota

import (
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/bundle"
)

// Decision is the result for one request.
type Decision struct {
	Granted bool
	// Unknown is set if no node decided in time.
	Unknown bool
	// RetryAfter is the time after which the request should be repeated if it
	// was not granted.
	RetryAfter time.Duration
	// Expires is the time until which a granted request that did not run may be
	// given back, 0 if it may not.
	Expires time.Duration
}

// Waiter is a request that waits for a decision.
type Waiter struct {
	// Decided receives the decision.
	Decided chan Decision

	organisation string
	id           uint64
	since        time.Duration
	// relay is set if the request waits at another node, and Decided is not.
	relay *relay
}

// demand is what the callers of this node ask for one organisation.
type demand struct {
	machine *Machine
	hash    uint64
	quota   bundle.Quota
	share   share
	waiting []*Waiter
	// asked is the number of nodes that were asked for the waiting requests, and
	// order holds these and the next ones. A nil member is the node itself.
	asked, ordered int
	orderedAt      uint64 // generation of the members by which order was computed
	// rounds is the number of times that the nodes were asked from the first on.
	rounds int
	// skipped is set if a node was left out because it did not answer before.
	skipped bool
	order   [maxAsked]*member
	// inFlight is the sequence of the query that the next node in order waits
	// for, 0 if there is none. attempts holds the unanswered queries.
	inFlight uint64
	attempts []attempt
	// unused holds grants that may still be used.
	unused [3]grant
	usedAt time.Duration
}

// attempt is one query to another node.
type attempt struct {
	sequence uint64
	sentAt   time.Duration
	wanted   int
	last     uint64 // the last waiting request that the query counts
}

// grant is a number of requests that may run until they expire.
type grant struct {
	n       int
	expires time.Duration
	// returnable is set for grants that were not made in advance.
	returnable bool
}

// use takes one unused grant, the one that expires first. It returns until when
// the grant may be given back, 0 if it may not.
func (d *demand) use(now time.Duration) (returnableUntil time.Duration, ok bool) {
	var first *grant
	for i := range d.unused {
		g := &d.unused[i]
		if g.n > 0 && now < g.expires && (first == nil || g.expires < first.expires) {
			first = g
		}
	}
	if first == nil {
		return 0, false
	}
	first.n--
	if !first.returnable {
		return 0, true
	}
	return first.expires, true
}

// keep adds unused grants. Those that expire first are dropped if there is no
// room.
func (d *demand) keep(now time.Duration, n int, expires time.Duration, returnable bool) {
	if n <= 0 || now >= expires {
		return
	}
	worst := &d.unused[0]
	for i := range d.unused {
		g := &d.unused[i]
		if g.n == 0 || now >= g.expires {
			*g = grant{n, expires, returnable}
			return
		}
		if g.expires == expires && g.returnable == returnable {
			g.n += n
			return
		}
		if g.expires < worst.expires {
			worst = g
		}
	}
	if worst.expires < expires {
		*worst = grant{n, expires, returnable}
	}
}

func (d *demand) hasUnused(now time.Duration) bool {
	return slices.ContainsFunc(d.unused[:], func(g grant) bool { return g.n > 0 && now < g.expires })
}

// idle reports whether nothing of the demand has to be kept.
func (d *demand) idle(now time.Duration) bool {
	return len(d.waiting) == 0 && now-d.usedAt >= prefetchValidity && !d.hasUnused(now)
}

// decideFirst removes the first waiting request and decides it.
func (d *demand) decideFirst(decision Decision) {
	w := d.waiting[0]
	d.waiting[0] = nil
	d.waiting = d.waiting[1:]
	if w.relay != nil {
		w.relay.decide(d.machine, decision)
		return
	}
	switch stats := &d.machine.stats; {
	case decision.Granted:
		stats.Granted++
	case decision.Unknown:
		stats.Unknown++
	default:
		stats.Rejected++
	}
	w.Decided <- decision
}

// serve decides waiting requests by unused grants.
func (d *demand) serve(now time.Duration) {
	for len(d.waiting) > 0 {
		expires, ok := d.use(now)
		if !ok {
			return
		}
		d.decideFirst(Decision{Granted: true, Expires: expires})
	}
}

// reject rejects the waiting requests up to last. after is the time after which
// the first of them should be repeated.
func (d *demand) reject(last uint64, after time.Duration) {
	step := time.Duration(float64(time.Second) / d.quota.RequestsPerSecond)
	for len(d.waiting) > 0 && d.waiting[0].id <= last {
		d.decideFirst(Decision{RetryAfter: min(after, maxRetryAfter)})
		after += step
	}
}

// expire decides the requests that have waited for waitLimit.
func (d *demand) expire(now time.Duration) {
	for len(d.waiting) > 0 && now-d.waiting[0].since >= waitLimit {
		d.decideFirst(unknown)
	}
}

// maxRounds bounds how often nodes are asked again while one does not answer.
const maxRounds = 4

// unanswered reports whether a query may still be answered.
func (d *demand) unanswered(now time.Duration) bool {
	return slices.ContainsFunc(d.attempts, func(a attempt) bool { return now-a.sentAt < waitLimit })
}

// giveUp decides all waiting requests.
func (d *demand) giveUp() {
	for len(d.waiting) > 0 {
		d.decideFirst(unknown)
	}
}

var unknown = Decision{Unknown: true, RetryAfter: unknownRetryAfter}
