package sidecar

import (
	"time"

	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/standing"
)

const (
	// A target hangs if it has held minHungRequests requests for hangFactor times
	// the average run time of their class and has completed no request in that
	// time. A single long request is not enough: some take many times the average.
	hangFactor      = 3
	minHungRequests = 2
)

// overdue reports whether a request that has waited for the target is beyond its
// usual run time.
func (c *classEvidence) overdue(waited time.Duration) bool {
	return c.averageRunTime > 0 && waited > hangFactor*c.averageRunTime
}

// hanging reports whether the target hangs.
func (e *evidence) hanging(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	overdue := 0
	for _, c := range e.classes {
		if now.Sub(e.lastCompleted) <= hangFactor*c.averageRunTime {
			continue
		}
		for r := range c.running {
			if !r.waitingSince.IsZero() && c.overdue(now.Sub(r.waitingSince)) {
				overdue++
			}
		}
	}
	return overdue >= minHungRequests
}

// episodeProbability returns the episode probability of the target, which counts
// as hanging while it completes no requests. t.mu must be held.
func (t *target) episodeProbability(now time.Time) float64 {
	t.standing.SetHanging(now, t.evidence.hanging(now))
	return t.standing.EpisodeProbability(now)
}

// checkHanging logs when the target has begun to hang or goes on. It reports
// whether the target lost or regained its standing thereby.
func (t *target) checkHanging() (changed bool) {
	if t.dialect == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	hanging := t.evidence.hanging(now)
	if hanging == t.loggedHanging {
		return false
	}
	t.loggedHanging = hanging
	return t.logStanding(t.episodeProbability(now))
}

// logStanding logs a change of the standing. t.mu must be held.
func (t *target) logStanding(probability float64) (changed bool) {
	trusted := probability <= standing.TrustLimit
	if trusted == t.loggedTrusted {
		return false
	}
	t.loggedTrusted = trusted
	e := event.StandingLost
	if trusted {
		e = event.StandingRegained
	}
	t.log.Log(e, event.Fields{"target": t.record().ID, "bad": probability, "hanging": t.loggedHanging})
	return true
}
