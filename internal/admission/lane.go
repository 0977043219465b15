package admission

import (
	"cmp"
	"slices"
	"time"
)

// lane holds the queued items of one length and priority and shares its starts
// between tenants by start-time fair queueing: each tenant has a virtual time
// that advances by the run time it was given divided by its share, and the
// tenant with the lowest one goes next.
type lane struct {
	tenants map[string]*tenant // with queued items
	virtual float64            // virtual time of the latest start
	// finished keeps the virtual times of tenants without queued items that are
	// ahead of virtual.
	finished map[string]float64
	count    int
	work     time.Duration
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
		t = &tenant{name: e.Tenant, virtual: max(l.virtual, l.finished[e.Tenant])}
		delete(l.finished, e.Tenant)
		l.tenants[e.Tenant] = t
	}
	t.weight = float64(max(e.Weight, 1))
	t.items = append(t.items, e)
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
		l.remember(t)
	}
}

// remember keeps the virtual time of a tenant that leaves the lane, so that it
// gains nothing by sending its requests one at a time.
func (l *lane) remember(t *tenant) {
	if l.finished == nil {
		l.finished = map[string]float64{}
	}
	for name, v := range l.finished {
		if v <= l.virtual {
			delete(l.finished, name)
		}
	}
	if t.virtual > l.virtual {
		l.finished[t.name] = t.virtual
	}
}

// take removes the item that starts next, or returns nil.
func (l *lane) take(now time.Time, q *Queue) *entry {
	var next *tenant
	for _, t := range l.tenants {
		if next == nil || t.virtual < next.virtual || t.virtual == next.virtual && t.items[0].order < next.items[0].order {
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
// expired in the queue are not charged: a tenant that lost its turn to them
// would get less than its share.
func (l *lane) charge(e *entry, share float64) {
	if l.count == 0 { // nobody waits: forget the past, which also bounds the memory
		l.virtual = 0
		clear(l.finished)
		return
	}
	cost := e.expected.Seconds() / share
	if t := l.tenants[e.Tenant]; t != nil {
		l.virtual = max(l.virtual, t.virtual)
		t.virtual += cost
		return
	}
	start := max(l.virtual, l.finished[e.Tenant])
	l.virtual = start
	if l.finished == nil {
		l.finished = map[string]float64{}
	}
	l.finished[e.Tenant] = start + cost
}

func overloaded(now time.Time, e *entry, waitShare float64) bool {
	total := e.Deadline.Sub(e.arrived)
	return !e.Deadline.IsZero() && float64(now.Sub(e.arrived)) > waitShare/2*float64(total)
}

// first returns the oldest item.
func (l *lane) first() *entry {
	var first *entry
	for _, t := range l.tenants {
		if first == nil || t.items[0].order < first.order {
			first = t.items[0]
		}
	}
	return first
}

// ahead returns the work that is served before a new item of the tenant: its
// own queued work, and what the others get meanwhile when the tenant has the
// given part of the lane.
func (l *lane) ahead(item Item, part float64) time.Duration {
	own, others := time.Duration(0), l.work
	if t := l.tenants[item.Tenant]; t != nil {
		own, others = t.work, l.work-t.work
	}
	return own + time.Duration(min(float64(others), float64(own)*(1/part-1)))
}

// part returns the tenant's part of the lane among the waiting tenants.
func (q *Queue) part(l *lane, item Item) float64 {
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

// share returns the tenant's part relative to the other waiting tenants.
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

func (q *Queue) bound(name string, weight float64) Bound {
	if b, ok := q.cfg.Bounds[name]; ok {
		return b
	}
	return Bound{Lower: weight / 2, Upper: float64(q.cfg.Slots)}
}

// Shares divides capacity between tenants: each gets its lower bound, and the
// rest is shared equally up to the upper bounds. When the lower bounds exceed
// the capacity, it is shared in proportion to them. This is the rule for jobs in
// the HTDcr paper (doi 10.1007/s11432-022-3657-3).
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
		open := 0
		for i, b := range bounds {
			if shares[i] < b.Upper {
				open++
			}
		}
		if open == 0 {
			break
		}
		each, given := rest/float64(open), 0.0
		for i, b := range bounds {
			if more := min(each, b.Upper-shares[i]); more > 0 {
				shares[i] += more
				given += more
			}
		}
		rest -= given
	}
	return shares
}
