package admission

import (
	"cmp"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// lanes holds the queued items of one length, by rank. Each rank starts before
// the ranks below it, but leaves them one of Config.BackgroundEvery starts, so
// that none of them starves.
type lanes struct {
	byRank []*lane // most urgent first; a lane stays when it becomes empty
}

// ofRank returns the lane of the rank and adds it if it is missing.
func (ls *lanes) ofRank(p fleet.Priority) *lane {
	at, found := slices.BinarySearchFunc(ls.byRank, p, func(l *lane, p fleet.Priority) int { return cmp.Compare(p, l.priority) })
	if !found {
		ls.byRank = slices.Insert(ls.byRank, at, &lane{priority: p, tenants: map[string]*tenant{}})
	}
	return ls.byRank[at]
}

// queuedAfter reports whether an item is queued in a lane after the i-th.
func (ls *lanes) queuedAfter(i int) bool {
	return slices.ContainsFunc(ls.byRank[i+1:], func(l *lane) bool { return l.count > 0 })
}

// popNext removes and returns the item that starts next, or nil if none is
// queued: one of the most urgent rank that need not leave this start to the
// ranks below it.
func (ls *lanes) popNext(now time.Time, q *Queue) *entry {
	for i, l := range ls.byRank {
		if l.count == 0 || l.starts >= q.cfg.BackgroundEvery-1 && ls.queuedAfter(i) {
			continue
		}
		return l.popNext(now, q)
	}
	return nil
}

// countStart updates the counts of starts after an item has left the queue to
// start.
func (ls *lanes) countStart(p fleet.Priority) {
	for i, l := range ls.byRank {
		switch {
		case l.priority < p:
			return
		case l.priority == p && ls.queuedAfter(i):
			l.starts++
		default:
			l.starts = 0
		}
	}
}

// workOfOtherRanks estimates the work of other ranks that starts before a new
// item of the given priority and expected run time. ahead is the work of the item's
// own rank that starts before it.
func (ls *lanes) workOfOtherRanks(p fleet.Priority, ahead, expected time.Duration, every int) float64 {
	share := 1 / float64(every)
	above, below := 0.0, 0.0
	aboveLimit := float64(ahead + expected)
	for _, l := range ls.byRank {
		switch {
		case l.priority > p && l.count > 0:
			above += float64(l.work)
			aboveLimit /= share // each rank leaves one start in every to the ranks below it
		case l.priority < p:
			below += float64(l.work)
		}
	}
	return min(above, aboveLimit) + min(below, float64(ahead)*share)
}
