package admission

import (
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// backlog holds queued items outside the lanes, in the order in which they came.
//
// Items that running requests wait for start before all others. Items that can
// no longer meet their aim start when nothing else waits: in the order of
// arrival, a backlog of them would make everything behind it late as well, for
// as long as the load stays near the capacity.
type backlog struct {
	items []*entry
	work  time.Duration
}

func (o *backlog) push(e *entry) {
	e.in = o
	o.items = append(o.items, e)
	o.work += e.expected
}

func (o *backlog) remove(e *entry) {
	if at := slices.Index(o.items, e); at >= 0 {
		o.items = slices.Delete(o.items, at, at+1)
		o.work -= e.expected
	}
}

// take removes the oldest item, long ones only if they may start.
func (o *backlog) take(long bool) *entry {
	for _, e := range o.items {
		if long || e.Length != fleet.Long {
			o.remove(e)
			return e
		}
	}
	return nil
}

// misses reports whether the item would miss its aim if it started now.
func (q *Queue) misses(now time.Time, item Item) bool {
	if item.Aim.IsZero() || item.Nested || q.cfg.Discipline == FIFO {
		return false
	}
	return now.Add(time.Duration(startMargin * float64(q.expected(item)))).After(item.Aim)
}

// sortOut moves queued items that miss their aim behind all others, and refuses
// those that waited there for their part of the time to the deadline.
func (q *Queue) sortOut(now time.Time) []Action {
	for i := range q.lanes {
		for _, t := range q.lanes[i].tenants {
			for _, e := range slices.Clone(t.items) {
				if q.misses(now, e.Item) {
					q.lanes[i].remove(e)
					q.overdue.push(e)
				}
			}
		}
	}
	var actions []Action
	for _, e := range slices.Clone(q.overdue.items) {
		if patience := q.cfg.WaitShare * float64(e.Deadline.Sub(e.arrived)); !e.Deadline.IsZero() && float64(now.Sub(e.arrived)) > patience {
			q.drop(e)
			actions = append(actions, Refuse{ID: e.ID, Reason: ReasonOverdue})
		}
	}
	return actions
}

// drop removes a queued item.
func (q *Queue) drop(e *entry) {
	if e.in != nil {
		e.in.remove(e)
	} else {
		q.lane(e.Item).remove(e)
	}
	delete(q.items, e.ID)
}

// soonest is the remaining run time of the running items that ends first, times
// the slots.
func (q *Queue) soonest(now time.Time) time.Duration {
	first := time.Duration(-1)
	for _, e := range q.items {
		if left := max(0, e.expected-now.Sub(e.started)); e.running && (first < 0 || left < first) {
			first = left
		}
	}
	return max(first, 0) * time.Duration(q.cfg.Slots)
}
