package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Discipline selects one of the measured ways of admission.
type Discipline uint8

const (
	// Full keeps short and long work apart, orders by priority and shares
	// between tenants. It is the default.
	Full Discipline = iota
	// FIFO runs work in order of arrival and sheds by deadline only. It is kept
	// for comparison.
	FIFO
)

// Sharing selects how tenants share the slots.
type Sharing uint8

const (
	// Weighted gives waiting tenants run time in proportion to their weights.
	Weighted Sharing = iota
	// Bounded gives each waiting tenant its lower bound of slots and shares the
	// rest equally up to the upper bounds (HTDcr, doi 10.1007/s11432-022-3657-3).
	Bounded
)

// Bound is a tenant's lower and upper bound in slots, for Bounded.
type Bound struct{ Lower, Upper float64 }

const (
	// DefaultSlots is the number of slots of the targets of both deployments.
	DefaultSlots = 4
	// DefaultMaxQueue bounds the memory of one queue.
	DefaultMaxQueue = 1024
	// DefaultBackgroundEvery lets waiting background work start at least once in
	// so many starts of its length.
	DefaultBackgroundEvery = 8
	// DefaultWaitShare is the part of the time to the deadline that work may be
	// expected to wait. The rest is left to the variation of run times: work that
	// starts too late is run for nothing.
	DefaultWaitShare = 0.5
	// runTimeWeight is the weight of one run time in the decayed mean of its
	// class.
	runTimeWeight = 1.0 / 32
	// demandWindow is the time constant of the demand for short work, and
	// demandMemory that of its peak. A burst of long work that starts in a lull
	// of a second would otherwise take the slots of the short work after it.
	demandWindow = 2 * time.Second
	demandMemory = 60 * time.Second
	// startMargin is how many expected run times must be left at the start.
	startMargin = 1.5
)

// Config holds the settings of a Queue. The zero value of a field selects its
// default.
type Config struct {
	// Slots is how many items run at the same time; default 4.
	Slots int
	// MaxLong is the largest number of slots for long work; default half of the
	// slots. It is never more than Slots-1, except with a single slot.
	MaxLong int
	// MaxQueue is the largest number of queued items.
	MaxQueue int
	// BackgroundEvery bounds the starvation of background work.
	BackgroundEvery int
	// WaitShare is the part of the time to the deadline that work may wait.
	WaitShare  float64
	Discipline Discipline
	// NewestFirst makes a tenant's newest work start first while its oldest work
	// has waited for half of WaitShare of its time.
	NewestFirst bool
	// NoGuard lets long work take MaxLong slots whatever the demand for short
	// work is. It is for measurements.
	NoGuard bool
	Sharing Sharing
	// Bounds are the bounds of tenants for Bounded; others get a lower bound of
	// their weight's part of half of the slots and no upper bound.
	Bounds map[string]Bound
}

func (c Config) withDefaults() Config {
	c.Slots = cmp.Or(max(c.Slots, 0), DefaultSlots)
	c.MaxLong = max(1, min(cmp.Or(c.MaxLong, c.Slots/2), c.Slots-1))
	c.MaxQueue = cmp.Or(c.MaxQueue, DefaultMaxQueue)
	c.BackgroundEvery = max(2, cmp.Or(c.BackgroundEvery, DefaultBackgroundEvery))
	c.WaitShare = cmp.Or(c.WaitShare, DefaultWaitShare)
	return c
}

// Queue decides for one target which items start and which are refused. It
// must be used by one goroutine at a time.
type Queue struct {
	cfg      Config
	lanes    [4]lane // by length and priority
	nested   backlog // items that running requests wait for
	overdue  backlog // items that can no longer meet their aim
	items    map[uint64]*entry
	running  int
	long     int // running long items
	draining bool
	classes  map[string]*classTime
	// starts counts starts of a length since background work of that length
	// started last.
	starts [2]int
	demand demand
	order  uint64
}

// entry is a queued or running item.
type entry struct {
	Item
	arrived, started time.Time
	running          bool
	in               *backlog // nil while in a lane
	order            uint64
	expected         time.Duration // at arrival
}

type classTime struct{ mean float64 }

// New returns an empty Queue.
func New(cfg Config) *Queue {
	q := &Queue{cfg: cfg.withDefaults(), items: map[uint64]*entry{}, classes: map[string]*classTime{}}
	for i := range q.lanes {
		q.lanes[i].tenants = map[string]*tenant{}
	}
	return q
}

func (q *Queue) lane(i Item) *lane { return &q.lanes[int(i.Length)*2+int(i.Priority)] }

// Step applies ev at now and returns the decisions that follow from it.
func (q *Queue) Step(now time.Time, ev Event) []Action {
	actions := q.sortOut(now)
	switch ev := ev.(type) {
	case Arrive:
		if refusal, ok := q.refuse(now, ev.Item); ok {
			return append(actions, refusal)
		}
		q.enqueue(now, ev.Item)
	case Finish:
		q.finish(ev)
	case Cancel:
		q.cancel(ev.ID)
	case Drain:
		q.draining = true
	case Tick:
		actions = append(actions, q.expire(now)...)
	}
	return append(actions, q.start(now)...)
}

func (q *Queue) refuse(now time.Time, item Item) (Refuse, bool) {
	switch {
	case q.draining:
		return Refuse{ID: item.ID, Reason: ReasonDraining}, true
	case len(q.items)-q.running >= q.cfg.MaxQueue:
		return Refuse{item.ID, ReasonFull, q.wait(now, item)}, true
	case item.Deadline.IsZero():
		return Refuse{}, false
	}
	left, wait, run := item.Deadline.Sub(now), q.wait(now, item), q.expected(item)
	if wait+run > left || wait > time.Duration(q.cfg.WaitShare*float64(left)) {
		return Refuse{item.ID, ReasonDeadline, max(0, wait-time.Duration(q.cfg.WaitShare*float64(left)))}, true
	}
	return Refuse{}, false
}

// expected returns the run time of the item's class as observed, or as stated
// by the item until the first run ended.
func (q *Queue) expected(item Item) time.Duration {
	if c := q.classes[item.Class]; c != nil {
		return time.Duration(c.mean)
	}
	return item.Expected
}

// wait estimates how long the item would wait: the work that is served before
// it, divided by the slots that serve it. This is the T*L/N of the HTDcr paper
// (doi 10.1007/s11432-022-3657-3; mean run time T, queue length L, slots N) with
// the sum of the expected run times in place of T*L.
func (q *Queue) wait(now time.Time, item Item) time.Duration {
	if q.cfg.Discipline == FIFO {
		return q.waitFIFO(now)
	}
	slots := float64(q.cfg.Slots)
	var occupied time.Duration
	free := q.cfg.Slots - q.running
	if item.Nested {
		if free > 0 {
			return 0
		}
		return (q.nested.work + q.soonest(now)) / time.Duration(slots)
	}
	if item.Length == fleet.Long {
		limit := q.longLimit(now)
		slots, free = float64(limit), min(free, limit-q.long)
	} else {
		slots -= float64(q.long)
	}
	slots = max(slots, 1)
	same := q.lane(item)
	ahead := same.ahead(item, q.part(same, item))
	if free > 0 && ahead == 0 {
		return 0
	}
	for _, e := range q.items {
		if e.running && e.Length == item.Length {
			occupied += max(0, e.expected-now.Sub(e.started))
		}
	}
	work := float64(occupied) + float64(ahead) + float64(q.nested.work)
	if q.misses(now, item) {
		work += float64(q.overdue.work)
	}
	other := &q.lanes[int(item.Length)*2+1-int(item.Priority)]
	part := 1 / float64(q.cfg.BackgroundEvery)
	if item.Priority == fleet.Interactive {
		// Background work takes at most its part of the starts.
		work += min(float64(other.work), float64(ahead)*part)
	} else if other.work > 0 {
		work += min(float64(other.work), float64(ahead+q.expected(item))/part)
	}
	return time.Duration(work / slots)
}

// Free reports whether a slot is free and nothing waits for one.
func (q *Queue) Free() bool {
	return !q.draining && q.running < q.cfg.Slots && len(q.items) == q.running
}

func (q *Queue) waitFIFO(now time.Time) time.Duration {
	if q.running < q.cfg.Slots {
		return 0
	}
	var work time.Duration
	for _, e := range q.items {
		if e.running {
			work += max(0, e.expected-now.Sub(e.started))
		} else {
			work += e.expected
		}
	}
	return work / time.Duration(q.cfg.Slots)
}

func (q *Queue) enqueue(now time.Time, item Item) {
	q.order++
	e := &entry{Item: item, arrived: now, order: q.order, expected: q.expected(item)}
	q.items[item.ID] = e
	switch {
	case item.Nested && q.cfg.Discipline != FIFO:
		q.nested.push(e)
	case q.misses(now, item):
		q.overdue.push(e)
	default:
		q.lane(item).push(e)
	}
	if item.Length == fleet.Short {
		q.demand.add(now, e.expected)
	}
}

func (q *Queue) finish(ev Finish) {
	e := q.items[ev.ID]
	if e == nil || !e.running {
		return
	}
	q.release(e)
	if ev.Took <= 0 {
		return
	}
	if c := q.classes[e.Class]; c != nil {
		c.mean += runTimeWeight * (float64(ev.Took) - c.mean)
	} else {
		q.classes[e.Class] = &classTime{float64(cmp.Or(e.Expected, ev.Took))*(1-runTimeWeight) + float64(ev.Took)*runTimeWeight}
	}
}

func (q *Queue) release(e *entry) {
	delete(q.items, e.ID)
	q.running--
	if e.Length == fleet.Long {
		q.long--
	}
}

func (q *Queue) cancel(id uint64) {
	e := q.items[id]
	switch {
	case e == nil:
	case e.running:
		q.release(e)
	default:
		q.drop(e)
	}
}

// hopeless reports whether too little time is left to run the item.
func (q *Queue) hopeless(now time.Time, e *entry) bool {
	margin := 1.0
	if q.cfg.Discipline == Full {
		margin = startMargin
	}
	return !e.Deadline.IsZero() && now.Add(time.Duration(margin*float64(q.expected(e.Item)))).After(e.Deadline) && now.After(e.arrived)
}

func (q *Queue) expire(now time.Time) []Action {
	var late []*entry
	for _, e := range q.items {
		if !e.running && q.hopeless(now, e) {
			late = append(late, e)
		}
	}
	slices.SortFunc(late, func(a, b *entry) int { return cmp.Compare(a.order, b.order) })
	var actions []Action
	for _, e := range late {
		q.cancel(e.ID)
		actions = append(actions, Refuse{ID: e.ID, Reason: ReasonExpired})
	}
	return actions
}

// start fills the free slots.
func (q *Queue) start(now time.Time) []Action {
	var actions []Action
	for q.running < q.cfg.Slots {
		e := q.next(now)
		if e == nil {
			break
		}
		if q.hopeless(now, e) {
			delete(q.items, e.ID)
			actions = append(actions, Refuse{ID: e.ID, Reason: ReasonExpired})
			continue
		}
		e.running, e.started = true, now
		q.running++
		if e.Length == fleet.Long {
			q.long++
		}
		q.countStart(e)
		if q.cfg.Discipline == Full {
			l := q.lane(e.Item)
			l.charge(e, q.share(l, e.Item))
		}
		actions = append(actions, Start{e.ID})
	}
	return actions
}

func (q *Queue) countStart(e *entry) {
	if e.Priority == fleet.Background || q.lanes[int(e.Length)*2].count == 0 {
		q.starts[e.Length] = 0
	} else {
		q.starts[e.Length]++
	}
}

// next takes the item that starts next out of its lane.
func (q *Queue) next(now time.Time) *entry {
	if q.cfg.Discipline == FIFO {
		return q.oldest()
	}
	if e := q.nested.take(true); e != nil {
		return e
	}
	// Long work has slots of its own up to its limit, so it goes first there;
	// otherwise steady short work would starve it.
	mayBeLong := q.long < q.longLimit(now)
	if mayBeLong {
		if e := q.byPriority(now, fleet.Long); e != nil {
			return e
		}
	}
	if e := q.byPriority(now, fleet.Short); e != nil {
		return e
	}
	return q.overdue.take(mayBeLong)
}

func (q *Queue) byPriority(now time.Time, length fleet.Length) *entry {
	background, interactive := &q.lanes[int(length)*2], &q.lanes[int(length)*2+1]
	if background.count > 0 && (interactive.count == 0 || q.starts[length] >= q.cfg.BackgroundEvery-1) {
		return background.take(now, q)
	}
	return interactive.take(now, q)
}

func (q *Queue) oldest() *entry {
	var first *entry
	for i := range q.lanes {
		if e := q.lanes[i].first(); e != nil && (first == nil || e.order < first.order) {
			first = e
		}
	}
	if first != nil {
		q.lane(first.Item).remove(first)
	}
	return first
}

// longLimit is the number of slots that long work may hold at present. The
// guard keeps the slots that short work has needed lately, plus one for
// bursts; long work always gets one slot.
func (q *Queue) longLimit(now time.Time) int {
	limit := q.cfg.MaxLong
	if !q.cfg.NoGuard {
		reserved := int(math.Ceil(q.demand.peakSlots(now) * 1.25))
		limit = min(limit, q.cfg.Slots-reserved)
	}
	return max(1, limit)
}

// Load returns the target's load for the answer to an ingress. QueuedWork
// divided by Slots is what short work would wait: long work counts through the
// slots that it holds. With its run times in the sum, the ingresses would keep
// short work away from every target that has long work queued and crowd it at
// the others.
func (q *Queue) Load(time.Time) fleet.Load {
	l := fleet.Load{InFlight: q.running, Queued: len(q.items) - q.running, Slots: q.cfg.Slots}
	for _, e := range q.items {
		if e.in == &q.overdue && !e.running {
			continue // new work goes before it
		}
		if e.Length == fleet.Short || q.cfg.Discipline == FIFO {
			l.QueuedWork += e.expected
		}
	}
	if q.cfg.Discipline == Full {
		l.QueuedWork = l.QueuedWork * time.Duration(q.cfg.Slots) / time.Duration(max(1, q.cfg.Slots-q.long))
	}
	return l
}

// demand estimates how many slots short work needs.
type demand struct {
	current, peak float64 // slots
	updated       time.Time
}

func (d *demand) decay(now time.Time) {
	if !d.updated.IsZero() {
		elapsed := float64(now.Sub(d.updated))
		d.current *= math.Exp(-elapsed / float64(demandWindow))
		d.peak *= math.Exp(-elapsed / float64(demandMemory))
	}
	d.updated = now
}

func (d *demand) add(now time.Time, work time.Duration) {
	d.decay(now)
	d.current += float64(work) / float64(demandWindow)
	d.peak = max(d.peak, d.current)
}

func (d *demand) peakSlots(now time.Time) float64 {
	d.decay(now)
	return d.peak
}
