// Package quota decides which requests of an organisation run, so that a quota
// holds for all nodes together. Machine is a deterministic state machine without
// I/O: the time since boot is an argument. docs/design/quota.md holds the
// protocol and the argument for its bound.
package quota

import (
	"time"

	"siskinvale.dev/siskinvale/internal/bundle"
)

// Config bounds by how much a quota may be exceeded: in each span of Window, by
// Excess (a fraction) and Slack (a number of requests).
type Config struct {
	Window        time.Duration
	Excess, Slack float64
}

const (
	// answerTimeout is how long a node waits for an answer before it asks the
	// next node in order.
	answerTimeout = 100 * time.Millisecond
	// waitLimit is the longest time that a request waits for a decision.
	waitLimit = 400 * time.Millisecond
	// maxAsked is the number of nodes that are asked for the same requests.
	maxAsked = 4
	// prefetchValidity is how long requests that were granted in advance may be
	// used.
	prefetchValidity = 2 * time.Second
	// maxAnswerAge and minAnswerAge bound the validity of a grant for a request
	// that waits, counted from when the query was sent.
	maxAnswerAge, minAnswerAge = 200 * time.Millisecond, 20 * time.Millisecond
	// handover is how long a node that has joined leaves its organisations to
	// the next in order, so that all nodes know of it before it grants.
	handover = 1500 * time.Millisecond
	// joinSpread is how much later the last node may learn of a node that has
	// joined. The node begins to grant that much after handover, so that the one
	// that stands in has stopped.
	joinSpread = 500 * time.Millisecond
	// contactLimit is the longest time without a datagram after which an owner
	// stops granting. It is shorter than the time in which membership declares
	// a silent node dead and another node takes its place.
	contactLimit = 1200 * time.Millisecond
	// contactSettling is the time after lost contact returned in which an owner
	// accrues nothing, while other nodes learn that it is alive.
	contactSettling = 500 * time.Millisecond
	// aliveDelay is how long a node must be alive before it counts towards the
	// rate of an owner. A part of a divided fleet thereby raises its rate only
	// after the owners of other parts have stopped.
	aliveDelay = time.Second
	// seenRetention is how long a node that failed counts towards the size of
	// the fleet. It equals membership's retention of dead nodes.
	seenRetention = time.Hour
	// minRestartStep is the smallest increment of an incarnation that counts as
	// a restart; a refutation raises it by one.
	minRestartStep = 1_000_000
	// maxRetryAfter bounds the virtual queue of rejected requests.
	maxRetryAfter = 10 * time.Second
	// unknownRetryAfter is the Retry-After of requests for which no node
	// decided.
	unknownRetryAfter = 500 * time.Millisecond
)

// Parts of the tolerance: the largest for answers under way, that for grants in
// advance (half of it for tokens above the burst, from which they are taken, and
// half for those that are not used yet), and that for differences between the
// nodes' views while an owner changes. The rest is the reserve.
const (
	answerPart   = 0.25
	prefetchPart = 0.2
	viewPart     = 0.15
)

// share is how a quota's tolerance is used.
type share struct {
	// A bucket holds size tokens, which is burst and what may be granted in
	// advance.
	rate, burst, size float64
	// answerAge is how long a grant for a waiting request may be used.
	answerAge time.Duration
	// prefetch is the largest number of unexpired grants in advance, and reserve
	// the number of requests that nodes which do not own the quota, or have only
	// begun to, may grant in a window.
	prefetch, reserve float64
}

func (c Config) share(q bundle.Quota) share {
	tolerance := c.Excess*(q.RequestsPerSecond*c.Window.Seconds()+q.Burst) + c.Slack
	seconds := min(max(answerPart*tolerance/q.RequestsPerSecond, minAnswerAge.Seconds()), maxAnswerAge.Seconds())
	return share{
		rate: q.RequestsPerSecond, burst: q.Burst, size: q.Burst + prefetchPart/2*tolerance,
		answerAge: time.Duration(seconds * float64(time.Second)),
		prefetch:  prefetchPart / 2 * tolerance,
		reserve:   max((1-prefetchPart-viewPart)*tolerance-q.RequestsPerSecond*seconds, 0),
	}
}

// slidingCount counts events in two adjoining periods. Their sum is at least
// the number of events in the latest period of that length.
type slidingCount struct {
	since             time.Duration
	current, previous uint32
}

func (s *slidingCount) total(now, period time.Duration) float64 {
	switch age := now - s.since; {
	case age >= 2*period:
		*s = slidingCount{since: now}
	case age >= period:
		*s = slidingCount{since: s.since + period, previous: s.current}
	}
	return float64(s.current) + float64(s.previous)
}

func (s *slidingCount) add(n int) { s.current += uint32(n) }
