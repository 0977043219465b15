package routing

import (
	"math"
	"sync/atomic"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/standing"
)

// Endpoint holds the load figures of one target. All successive Pickers of a
// service share the target's Endpoint. It is safe for concurrent use.
type Endpoint struct {
	target atomic.Pointer[fleet.Target]
	// outstanding is the number of this ingress's attempts that have started
	// and not ended.
	outstanding atomic.Int64
	// load is the last reported load, encoded by packLoad.
	load atomic.Uint64
	// reportedAt is the time of the last report and failedAt that of the last
	// failed attempt, in Unix nanoseconds.
	reportedAt, failedAt atomic.Int64
	// pathFailedAt is the time when the target's node last could not be reached
	// or gave no answer, in Unix nanoseconds.
	pathFailedAt atomic.Int64
	// episodeBits is the last reported episode probability of the target, as the
	// bits of a float64. episodeAt is the time of this report, in Unix
	// nanoseconds.
	episodeBits atomic.Uint64
	episodeAt   atomic.Int64
	// statement is what the target stated about itself; nil until it is listed.
	statement atomic.Pointer[statement]
	// startAt is the time from which the target's rate limit lets a new request
	// start, as of the last report, in Unix nanoseconds.
	startAt atomic.Int64
}

// RateLimit returns the rate limit that the target states, in requests per
// second; 0 if none is known.
func (e *Endpoint) RateLimit() float64 {
	if s := e.statement.Load(); s != nil {
		return s.limit()
	}
	return 0
}

// rateDelay estimates how long the target's rate limit would make a new request
// wait, in nanoseconds. Attempts of this ingress since the last report each
// postpone it by the time between two requests.
func (e *Endpoint) rateDelay(now int64) int64 {
	limit := e.RateLimit()
	if limit <= 0 {
		return 0
	}
	later := max(0, e.outstanding.Load()-int64(e.load.Load()>>32&max16))
	return max(0, e.startAt.Load()-now) + int64(float64(later)/limit*float64(time.Second))
}

// reportRate records the rate limit of a load that was reported at the time at.
func (e *Endpoint) reportRate(load fleet.Load, at time.Time) {
	if s := e.statement.Load(); s != nil {
		s.report(load)
	}
	e.startAt.Store(at.Add(load.StartDelay).UnixNano())
}

// Report stores the load that the target's sidecar published at the given time,
// including the episode probability. Reports older than the last one are
// ignored.
func (e *Endpoint) Report(load fleet.Load, at time.Time) {
	if at.UnixNano() < e.episodeAt.Load() {
		return
	}
	e.episodeBits.Store(math.Float64bits(load.EpisodeProbability))
	e.episodeAt.Store(at.UnixNano())
	e.load.Store(packLoad(load, e.outstanding.Load()))
	e.reportedAt.Store(at.UnixNano())
	e.reportRate(load, at)
}

// failureProbability estimates the probability that a request fails at the
// target, from the last reported episode probability and its age.
func (e *Endpoint) failureProbability(now int64) float64 {
	at := e.episodeAt.Load()
	if at == 0 {
		return standing.FailureProbability(standing.Prior)
	}
	probability := math.Float64frombits(e.episodeBits.Load())
	return standing.FailureProbability(standing.Decay(probability, time.Duration(now-at)))
}

// Target returns the target's current record.
func (e *Endpoint) Target() fleet.Target { return *e.target.Load() }

// Outstanding returns the number of this ingress's attempts that have started
// and not ended.
func (e *Endpoint) Outstanding() int { return int(e.outstanding.Load()) }

// Begin counts an attempt that is about to be sent to the target.
func (e *Endpoint) Begin() { e.outstanding.Add(1) }

// PathFailed records that the target's node could not be reached or gave no
// answer at the time now.
func (e *Endpoint) PathFailed(now time.Time) { e.pathFailedAt.Store(now.UnixNano()) }

// End records that an attempt has ended. ok reports whether the target's node
// answered; load is then the load that the answer carried, or zero if it
// carried none. A failed attempt raises the target's cost for
// FailureCostDuration, because a target that fails quickly would otherwise look
// idle and attract traffic until it is ejected.
func (e *Endpoint) End(load fleet.Load, ok bool, now time.Time) {
	own := e.outstanding.Add(-1)
	if !ok {
		e.failedAt.Store(now.UnixNano())
		return
	}
	if load.Slots == 0 {
		return // the answer carried no report
	}
	e.load.Store(packLoad(load, own))
	e.reportedAt.Store(now.UnixNano())
	e.episodeBits.Store(math.Float64bits(load.EpisodeProbability))
	e.episodeAt.Store(now.UnixNano())
	e.reportRate(load, now)
}

// A packed load consists of, from the highest bit: the requests in flight at
// the target (16 bits), this ingress's outstanding attempts at the time of the
// report (16 bits) and the queued work in microseconds (32 bits). Larger values
// are replaced by the largest one that fits.
const max16, max32 = 1<<16 - 1, 1<<32 - 1

func packLoad(l fleet.Load, own int64) uint64 {
	work := min(uint64(max(l.QueuedWork.Microseconds(), 0)), max32)
	return min(uint64(max(l.InFlight, 0)), max16)<<48 | min(uint64(max(own, 0)), max16)<<32 | work
}

// estimate returns the estimated number of requests that hold or want a slot of
// the target, and the estimated work there in nanoseconds. The last report
// contains the attempts that were outstanding at its time, so only later
// attempts are added to it. Queued requests of the report are not counted:
// while a slot is free, only long work is queued, and otherwise the work tells
// how long the queue is.
func (e *Endpoint) estimate(now int64) (requests, work int64) {
	own := e.outstanding.Load()
	if now-e.reportedAt.Load() >= int64(LoadMaxAge) {
		return own, own * int64(DefaultRunTime)
	}
	w := e.load.Load()
	inFlight, later, work := int64(w>>48), max(0, own-int64(w>>32&max16)), int64(w&max32)*1000
	perRequest := int64(DefaultRunTime)
	if inFlight > 0 && work > 0 {
		perRequest = work / inFlight
	}
	return inFlight + later, work + later*perRequest
}
