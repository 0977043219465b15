package admission

import (
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// backlog is a list of queued items outside the lanes. A Queue has one for
// nested items and one for overdue items.
//
// Nested items start before all others. Overdue items, which can no longer meet
// their latency objective, start only when no other item can start. If they
// started in order of arrival, every later item would miss its objective too,
// for as long as the load stays near the capacity.
type backlog struct {
	items []*entry      // longest wait first
	work  time.Duration // sum of the expected run times
}

func (b *backlog) push(e *entry) {
	e.backlog = b
	b.items = insertByAge(b.items, e)
	b.work += e.expected
}

func (b *backlog) remove(e *entry) {
	if at := slices.Index(b.items, e); at >= 0 {
		b.items = slices.Delete(b.items, at, at+1)
		b.work -= e.expected
	}
}

// popOldest removes and returns the oldest item, or nil if there is none. Long
// items are passed over unless allowLong is set.
func (b *backlog) popOldest(allowLong bool) *entry {
	for _, e := range b.items {
		if allowLong || e.Length != fleet.Long {
			b.remove(e)
			return e
		}
	}
	return nil
}

// missesObjective reports whether the item is expected to miss its latency
// objective even if it started now.
func (q *Queue) missesObjective(now time.Time, item Item) bool {
	if item.Objective.IsZero() || item.Nested || q.cfg.Discipline == FIFO {
		return false
	}
	return now.Add(time.Duration(startMargin * float64(q.expected(item)))).After(item.Objective)
}

// updateOverdue moves queued items that miss their latency objective from the
// lanes to the overdue backlog. It refuses overdue items whose wait exceeds
// WaitShare of the time from its beginning to their deadline.
func (q *Queue) updateOverdue(now time.Time) []Action {
	for i := range q.lanes {
		for _, l := range slices.Backward(q.lanes[i].byRank) {
			for _, t := range l.tenants {
				for _, e := range slices.Clone(t.items) {
					if q.missesObjective(now, e.Item) {
						l.remove(e)
						q.overdue.push(e)
					}
				}
			}
		}
	}
	var actions []Action
	for _, e := range slices.Clone(q.overdue.items) {
		if maxWait := q.cfg.WaitShare * float64(e.Deadline.Sub(e.waitsSince)); !e.Deadline.IsZero() && float64(now.Sub(e.waitsSince)) > maxWait {
			q.removeQueued(e)
			actions = append(actions, Refuse{ID: e.ID, Reason: ReasonOverdue})
		}
	}
	return actions
}

// removeQueued removes a queued item from the Queue.
func (q *Queue) removeQueued(e *entry) {
	if e.backlog != nil {
		e.backlog.remove(e)
	} else {
		q.lane(e.Item).remove(e)
	}
	delete(q.items, e.ID)
}

// workUntilFreeSlot returns the shortest expected remaining run time of a
// running item, multiplied by the number of slots, because expectedWait divides
// all work by the number of slots.
func (q *Queue) workUntilFreeSlot(now time.Time) time.Duration {
	shortest := time.Duration(-1)
	for _, e := range q.items {
		if left := max(0, e.expected-now.Sub(e.started)); e.running && (shortest < 0 || left < shortest) {
			shortest = left
		}
	}
	return max(shortest, 0) * time.Duration(q.cfg.Slots)
}
