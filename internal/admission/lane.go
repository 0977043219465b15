package admission

import (
	"cmp"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// lane holds the queued items of one length and rank. It shares the run
// time between tenants by start-time fair queueing: with each started item, the
// tenant's virtual time advances by the item's expected run time divided by the
// tenant's share, and the tenant with the lowest virtual time is served next.
type lane struct {
	priority fleet.Priority
	// starts counts the starts of items of this rank since an item of a lower
	// rank last started or none was queued.
	starts  int
	tenants map[string]*tenant // tenants with queued items, by name
	virtual float64            // virtual time of the latest start, 0 after a reset by charge
	// idleVirtual keeps the virtual times of tenants without queued items, as
	// far as they exceed virtual.
	idleVirtual map[string]float64
	count       int           // queued items
	work        time.Duration // sum of their expected run times
}

type tenant struct {
	name    string
	weight  float64
	virtual float64
	items   []*entry
	work    time.Duration
}

func (l *lane) push(e *entry) {
	t := l.tenants[e.Tenant]
	if t == nil {
		t = &tenant{name: e.Tenant, virtual: max(l.virtual, l.idleVirtual[e.Tenant])}
		delete(l.idleVirtual, e.Tenant)
		l.tenants[e.Tenant] = t
	}
	t.weight = float64(max(e.Weight, 1))
	t.items = insertByAge(t.items, e)
	t.work += e.expected
	l.count++
	l.work += e.expected
}

func (l *lane) remove(e *entry) {
	t := l.tenants[e.Tenant]
	if t == nil {
		return
	}
	at := slices.Index(t.items, e)
	if at < 0 {
		return
	}
	t.items = slices.Delete(t.items, at, at+1)
	t.work -= e.expected
	l.count--
	l.work -= e.expected
	if len(t.items) == 0 {
		delete(l.tenants, t.name)
		l.keepVirtualTime(t)
	}
}

// keepVirtualTime stores the virtual time of a tenant without queued items, so
// that a tenant gains nothing by sending its requests one at a time. It also
// deletes stored times that no longer exceed the lane's.
func (l *lane) keepVirtualTime(t *tenant) {
	if l.idleVirtual == nil {
		l.idleVirtual = map[string]float64{}
	}
	for name, v := range l.idleVirtual {
		if v <= l.virtual {
			delete(l.idleVirtual, name)
		}
	}
	if t.virtual > l.virtual {
		l.idleVirtual[t.name] = t.virtual
	}
}

// popNext removes and returns the item that starts next, or nil if the lane is
// empty.
func (l *lane) popNext(now time.Time, q *Queue) *entry {
	var next *tenant
	for _, t := range l.tenants {
		if next == nil || t.virtual < next.virtual || t.virtual == next.virtual && t.items[0].before(next.items[0]) {
			next = t
		}
	}
	if next == nil {
		return nil
	}
	e := next.items[0]
	if q.cfg.NewestFirst && overloaded(now, e, q.cfg.WaitShare) {
		e = next.items[len(next.items)-1]
	}
	l.remove(e)
	return e
}

// charge advances the tenant's virtual time for an item that starts. Items that
// expired in the queue are not charged; otherwise their tenant would get less
// run time than its share.
func (l *lane) charge(e *entry, share float64) {
	if l.count == 0 { // no queued items: reset, which also bounds the memory
		l.virtual = 0
		clear(l.idleVirtual)
		return
	}
	cost := e.expected.Seconds() / share
	if t := l.tenants[e.Tenant]; t != nil {
		l.virtual = max(l.virtual, t.virtual)
		t.virtual += cost
		return
	}
	start := max(l.virtual, l.idleVirtual[e.Tenant])
	l.virtual = start
	if l.idleVirtual == nil {
		l.idleVirtual = map[string]float64{}
	}
	l.idleVirtual[e.Tenant] = start + cost
}

// insertByAge inserts e behind all items that have waited as long or longer.
func insertByAge(items []*entry, e *entry) []*entry {
	at := len(items)
	for at > 0 && items[at-1].waitsSince.After(e.waitsSince) {
		at--
	}
	return slices.Insert(items, at, e)
}

// overloaded reports whether e has waited for more than half of waitShare of
// the time from the beginning of its wait to its deadline.
func overloaded(now time.Time, e *entry, waitShare float64) bool {
	total := e.Deadline.Sub(e.waitsSince)
	return !e.Deadline.IsZero() && float64(now.Sub(e.waitsSince)) > waitShare/2*float64(total)
}

// oldest returns the item that has waited longest, without removing it.
func (l *lane) oldest() *entry {
	var oldest *entry
	for _, t := range l.tenants {
		if oldest == nil || t.items[0].before(oldest) {
			oldest = t.items[0]
		}
	}
	return oldest
}

// workAhead returns the work that is served before a new item of a tenant whose
// fraction of the lane's run time is given: the tenant's own queued work, and
// the work of other tenants that is served in the same time.
func (l *lane) workAhead(item Item, fraction float64) time.Duration {
	own, others := time.Duration(0), l.work
	if t := l.tenants[item.Tenant]; t != nil {
		own, others = t.work, l.work-t.work
	}
	return own + time.Duration(min(float64(others), float64(own)*(1/fraction-1)))
}

// laneFraction returns the fraction of the lane's run time that the item's
// tenant gets while the present tenants have queued items.
func (q *Queue) laneFraction(l *lane, item Item) float64 {
	share := q.share(l, item)
	if q.cfg.Sharing == Bounded {
		return min(share/float64(q.cfg.Slots), 1)
	}
	total := share
	for name, t := range l.tenants {
		if name != item.Tenant {
			total += t.weight
		}
	}
	return share / total
}

// share returns the share of the item's tenant that charge and laneFraction
// use: its weight with Weighted, its part of the slots with Bounded.
func (q *Queue) share(l *lane, item Item) float64 {
	weight := float64(max(item.Weight, 1))
	if q.cfg.Sharing == Weighted {
		return weight
	}
	names, bounds := []string{item.Tenant}, []Bound{q.bound(item.Tenant, weight)}
	for name := range l.tenants {
		if name != item.Tenant {
			names = append(names, name)
		}
	}
	slices.SortFunc(names[1:], cmp.Compare[string])
	for _, name := range names[1:] {
		bounds = append(bounds, q.bound(name, l.tenants[name].weight))
	}
	return max(Shares(float64(q.cfg.Slots), bounds)[0], 1e-3)
}

// bound returns the configured bound of the tenant, or the default bound.
func (q *Queue) bound(name string, weight float64) Bound {
	if b, ok := q.cfg.Bounds[name]; ok {
		return b
	}
	return Bound{Lower: weight / 2, Upper: float64(q.cfg.Slots)}
}

// Shares divides capacity, in slots, between tenants and returns the share of
// each. Each tenant gets its lower bound, and the rest is shared equally up to
// the upper bounds. If the sum of the lower bounds exceeds the capacity, the
// capacity is shared in proportion to the lower bounds. This is the rule for
// jobs in the HTDcr paper (doi 10.1007/s11432-022-3657-3).
func Shares(capacity float64, bounds []Bound) []float64 {
	shares, sum := make([]float64, len(bounds)), 0.0
	for i, b := range bounds {
		shares[i] = b.Lower
		sum += b.Lower
	}
	if sum > capacity {
		for i := range shares {
			shares[i] *= capacity / sum
		}
		return shares
	}
	for rest := capacity - sum; rest > 1e-9; {
		belowUpper := 0
		for i, b := range bounds {
			if shares[i] < b.Upper {
				belowUpper++
			}
		}
		if belowUpper == 0 {
			break
		}
		each, given := rest/float64(belowUpper), 0.0
		for i, b := range bounds {
			if added := min(each, b.Upper-shares[i]); added > 0 {
				shares[i] += added
				given += added
			}
		}
		rest -= given
	}
	return shares
}
