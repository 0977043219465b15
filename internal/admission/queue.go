package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Discipline selects the algorithm that orders and refuses items.
type Discipline uint8

const (
	// Fair queues short and long work separately, orders it by rank and
	// shares slots between tenants. It is the default.
	Fair Discipline = iota
	// FIFO starts items in order of arrival and sheds load only by deadline and
	// queue length. It serves as a baseline in benchmarks.
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

// Bound is a tenant's lower and upper bound in slots, used by Bounded.
type Bound struct{ Lower, Upper float64 }

const (
	// DefaultSlots is the number of slots that targets have in both deployments.
	DefaultSlots = 4
	// DefaultMaxQueue bounds the memory of one queue.
	DefaultMaxQueue = 1024
	// DefaultBackgroundEvery is the number of starts of short or of long items
	// among which at least one is of a less urgent item, if one is queued.
	DefaultBackgroundEvery = 8
	// DefaultWaitShare is the largest fraction of the time to the deadline that
	// an item may be expected to wait. The remaining time allows for run times
	// that exceed the expected one: the slot time of an item that finishes after
	// its deadline is wasted.
	DefaultWaitShare = 0.5
	// runTimeWeight is the weight of a new run time in the exponentially weighted
	// moving average of its class.
	runTimeWeight = 1.0 / 32
	// demandWindow is the time constant of the slot demand of short work.
	demandWindow = 2 * time.Second
	// demandMemory is the time constant of the peak of this demand. Without the
	// peak, a burst of long work could start while short work pauses for a
	// second, and take the slots that the following short work needs.
	demandMemory = 60 * time.Second
	// startMargin is the time that must be left when an item starts, as a multiple
	// of its expected run time.
	startMargin = 1.5
)

// Config holds the settings of a Queue. The zero value of a field selects its
// default.
type Config struct {
	// Slots is the largest number of items that run at the same time; default
	// DefaultSlots.
	Slots int
	// MaxLong is the largest number of slots for long work; default half of the
	// slots. It is never more than Slots-1, except with a single slot.
	MaxLong int
	// MaxQueue is the largest number of queued items; default DefaultMaxQueue.
	MaxQueue int
	// BackgroundEvery bounds the starvation of less urgent work: if items of lower
	// ranks are queued, at least one of so many starts of their length is of a
	// lower rank. The default is DefaultBackgroundEvery, the minimum is 2.
	BackgroundEvery int
	// WaitShare is the largest fraction of the time to the deadline that an item
	// may wait; default DefaultWaitShare.
	WaitShare  float64
	Discipline Discipline
	// NewestFirst makes a tenant's newest item start first while its oldest item
	// has waited for more than half of WaitShare of the time from its arrival to
	// its deadline.
	NewestFirst bool
	// NoShortReserve lets long work take MaxLong slots whatever the demand of
	// short work is. Benchmarks use it for comparison.
	NoShortReserve bool
	Sharing        Sharing
	// Bounds are the bounds of tenants, by name, for Bounded. Other tenants get a
	// lower bound of half a slot per unit of weight, and the number of slots as
	// upper bound.
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

// Queue decides for one target which items start and which are refused. It is
// not safe for concurrent use.
type Queue struct {
	cfg         Config
	lanes       [2]lanes          // indexed by length
	nested      backlog           // calls that running requests wait for
	overdue     backlog           // items that can no longer meet their latency objective
	items       map[uint64]*entry // queued and running items, by ID
	running     int
	runningLong int // running long items
	draining    bool
	runTimes    map[string]*runTimeEstimate // by class
	demand      demand
	rate        rateLimit
	lastSeq     uint64
}

// entry is a queued or running item.
type entry struct {
	Item
	// waitsSince is the arrival, or earlier for an item that has already waited
	// at another target.
	arrived, waitsSince, started time.Time

	running  bool
	backlog  *backlog // nil while in a lane
	seq      uint64
	expected time.Duration // expected run time as estimated at arrival
}

// before reports whether e has waited longer than other.
func (e *entry) before(other *entry) bool {
	return e.waitsSince.Before(other.waitsSince) || e.waitsSince.Equal(other.waitsSince) && e.seq < other.seq
}

// runTimeEstimate is the moving average of the run times of a class.
type runTimeEstimate struct{ mean float64 } // nanoseconds

// New returns an empty Queue.
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg.withDefaults(), items: map[uint64]*entry{}, runTimes: map[string]*runTimeEstimate{}}
}

// lane returns the lane for items of this length and rank.
func (q *Queue) lane(i Item) *lane { return q.lanes[i.Length].ofRank(i.Priority) }

// Step applies ev at the time now and returns the resulting decisions.
func (q *Queue) Step(now time.Time, ev Event) []Action {
	actions := q.updateOverdue(now)
	switch ev := ev.(type) {
	case Arrive:
		if refusal, ok := q.refusalOf(now, ev.Item); ok {
			return append(actions, refusal)
		}
		q.enqueue(now, ev.Item)
	case Finish:
		q.finish(ev)
	case Cancel:
		q.cancel(ev.ID)
	case Drain:
		q.draining = true
		actions = append(actions, q.expire(now)...)
		actions = append(actions, q.refuseQueued(ReasonDraining, func(*entry) bool { return true })...)
	case Tick:
		actions = append(actions, q.expire(now)...)
	case SetRateLimit:
		q.rate.set(now, ev.PerSecond)
		actions = append(actions, q.refuseUnreachable(now)...)
	}
	return append(actions, q.start(now)...)
}

// refusalOf returns the refusal of an arriving item; ok is false if the item is
// accepted.
func (q *Queue) refusalOf(now time.Time, item Item) (Refuse, bool) {
	switch {
	case q.draining:
		return Refuse{ID: item.ID, Reason: ReasonDraining}, true
	case len(q.items)-q.running >= q.cfg.MaxQueue:
		return Refuse{item.ID, ReasonFull, q.expectedWait(now, item)}, true
	case item.Deadline.IsZero():
		return Refuse{}, false
	}
	if delay, late := q.missesObjectiveByRate(now, item); late {
		return Refuse{item.ID, ReasonDeadline, delay}, true
	}
	left, wait, run := item.Deadline.Sub(now), q.expectedWait(now, item), q.expected(item)
	if wait+run > left || wait > time.Duration(q.cfg.WaitShare*float64(left)) {
		return Refuse{item.ID, ReasonDeadline, max(0, wait-time.Duration(q.cfg.WaitShare*float64(left)))}, true
	}
	return Refuse{}, false
}

// expected returns the estimated run time of the item's class, or the item's
// Expected until the first item of the class has finished.
func (q *Queue) expected(item Item) time.Duration {
	if c := q.runTimes[item.Class]; c != nil {
		return time.Duration(c.mean)
	}
	return item.Expected
}

// expectedWait estimates how long the item would wait for a slot or for the
// rate limit, whichever takes longer.
func (q *Queue) expectedWait(now time.Time, item Item) time.Duration {
	return max(q.slotWait(now, item), q.rateDelay(now, item))
}

// slotWait estimates how long the item would wait for a slot: the work that is
// served before the item, divided by the slots that serve this work. The
// estimate follows T*L/N in the HTDcr paper (doi 10.1007/s11432-022-3657-3; mean
// run time T, queue length L, slots N), with the sum of the expected run times
// in place of T*L.
func (q *Queue) slotWait(now time.Time, item Item) time.Duration {
	if q.cfg.Discipline == FIFO {
		return q.slotWaitFIFO(now)
	}
	slots := float64(q.cfg.Slots)
	var occupied time.Duration
	free := q.cfg.Slots - q.running
	if item.Nested {
		if free > 0 {
			return 0
		}
		return (q.nested.work + q.workUntilFreeSlot(now)) / time.Duration(slots)
	}
	if item.Length == fleet.Long {
		limit := q.longLimit(now)
		slots, free = float64(limit), min(free, limit-q.runningLong)
	} else {
		slots -= float64(q.runningLong)
	}
	slots = max(slots, 1)
	ownLane := q.lane(item)
	ahead := ownLane.workAhead(item, q.laneFraction(ownLane, item))
	if free > 0 && ahead == 0 {
		return 0
	}
	for _, e := range q.items {
		if e.running && e.Length == item.Length {
			occupied += max(0, e.expected-now.Sub(e.started))
		}
	}
	work := float64(occupied) + float64(ahead) + float64(q.nested.work)
	if q.missesObjective(now, item) {
		work += float64(q.overdue.work)
	}
	work += q.lanes[item.Length].workOfOtherRanks(item.Priority, ahead, q.expected(item), q.cfg.BackgroundEvery)
	return time.Duration(work / slots)
}

// HasFreeSlot reports whether the Queue is not draining, a slot is free, no
// item is queued and the rate limit lets an item start.
func (q *Queue) HasFreeSlot(now time.Time) bool {
	return !q.draining && q.running < q.cfg.Slots && len(q.items) == q.running && q.rate.delay(now, 1) == 0
}

// slotWaitFIFO is slotWait for the FIFO discipline.
func (q *Queue) slotWaitFIFO(now time.Time) time.Duration {
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
	q.lastSeq++
	e := &entry{Item: item, arrived: now, waitsSince: now.Add(-item.Waited), seq: q.lastSeq, expected: q.expected(item)}
	q.items[item.ID] = e
	switch {
	case item.Nested && q.cfg.Discipline != FIFO:
		q.nested.push(e)
	case q.missesObjective(now, item):
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
	q.freeSlot(e)
	if ev.RunTime <= 0 {
		return
	}
	if c := q.runTimes[e.Class]; c != nil {
		c.mean += runTimeWeight * (float64(ev.RunTime) - c.mean)
	} else {
		q.runTimes[e.Class] = &runTimeEstimate{float64(cmp.Or(e.Expected, ev.RunTime))*(1-runTimeWeight) + float64(ev.RunTime)*runTimeWeight}
	}
}

func (q *Queue) freeSlot(e *entry) {
	delete(q.items, e.ID)
	q.running--
	if e.Length == fleet.Long {
		q.runningLong--
	}
}

func (q *Queue) cancel(id uint64) {
	e := q.items[id]
	switch {
	case e == nil:
	case e.running:
		q.freeSlot(e)
		q.rate.giveBack()
	default:
		q.removeQueued(e)
	}
}

// tooLateToStart reports whether too little time is left before the deadline to
// run the item. It is false at the time of arrival, when expectedWait decides.
func (q *Queue) tooLateToStart(now time.Time, e *entry) bool {
	margin := 1.0
	if q.cfg.Discipline == Fair {
		margin = startMargin
	}
	return !e.Deadline.IsZero() && now.Add(time.Duration(margin*float64(q.expected(e.Item)))).After(e.Deadline) && now.After(e.arrived)
}

// expire refuses queued items that are too late to start.
func (q *Queue) expire(now time.Time) []Action {
	return q.refuseQueued(ReasonExpired, func(e *entry) bool { return q.tooLateToStart(now, e) })
}

// refuseQueued refuses the queued items that are selected, in order of arrival.
func (q *Queue) refuseQueued(reason Reason, selected func(*entry) bool) []Action {
	var refused []*entry
	for _, e := range q.items {
		if !e.running && selected(e) {
			refused = append(refused, e)
		}
	}
	slices.SortFunc(refused, func(a, b *entry) int { return cmp.Compare(a.seq, b.seq) })
	var actions []Action
	for _, e := range refused {
		q.removeQueued(e)
		actions = append(actions, Refuse{ID: e.ID, Reason: reason})
	}
	return actions
}

// start starts queued items while slots are free and the rate limit allows it,
// and refuses items that it finds too late to start.
func (q *Queue) start(now time.Time) []Action {
	var actions []Action
	for q.running < q.cfg.Slots && q.rate.delay(now, 1) == 0 {
		e := q.popNext(now)
		if e == nil {
			break
		}
		if q.tooLateToStart(now, e) {
			delete(q.items, e.ID)
			actions = append(actions, Refuse{ID: e.ID, Reason: ReasonExpired})
			continue
		}
		e.running, e.started = true, now
		q.running++
		q.rate.take(now)
		if e.Length == fleet.Long {
			q.runningLong++
		}
		q.lanes[e.Length].countStart(e.Priority)
		if q.cfg.Discipline == Fair {
			l := q.lane(e.Item)
			l.charge(e, q.share(l, e.Item))
		}
		actions = append(actions, Start{e.ID})
	}
	return actions
}

// popNext removes the item that starts next from its lane or backlog and
// returns it, or nil if no item can start.
func (q *Queue) popNext(now time.Time) *entry {
	if q.cfg.Discipline == FIFO {
		return q.popOldest()
	}
	if e := q.nested.popOldest(true); e != nil {
		return e
	}
	// Up to its limit of slots, long work starts before short work; otherwise
	// steady short work would starve it.
	allowLong := q.runningLong < q.longLimit(now)
	if allowLong {
		if e := q.lanes[fleet.Long].popNext(now, q); e != nil {
			return e
		}
	}
	if e := q.lanes[fleet.Short].popNext(now, q); e != nil {
		return e
	}
	return q.overdue.popOldest(allowLong)
}

// popOldest removes and returns the item that has waited longest, for FIFO.
func (q *Queue) popOldest() *entry {
	var oldest *entry
	for i := range q.lanes {
		for _, l := range q.lanes[i].byRank {
			if e := l.oldest(); e != nil && (oldest == nil || e.before(oldest)) {
				oldest = e
			}
		}
	}
	if oldest != nil {
		q.lane(oldest.Item).remove(oldest)
	}
	return oldest
}

// longLimit returns the number of slots that long work may hold at present.
// Unless NoShortReserve is set, the recent peak of the slot demand of short
// work, plus a quarter for bursts and rounded up, is reserved for short work.
// Long work always gets at least one slot.
func (q *Queue) longLimit(now time.Time) int {
	limit := q.cfg.MaxLong
	if !q.cfg.NoShortReserve {
		reserved := int(math.Ceil(q.demand.peakSlots(now) * 1.25))
		limit = min(limit, q.cfg.Slots-reserved)
	}
	return max(1, limit)
}

// Load returns the target's load, which the sidecar reports to ingresses with
// its answers. QueuedWork divided by Slots is the expected wait of short work.
// Long work counts only through the slots that it holds: if QueuedWork
// contained its run times, ingresses would send no short work to targets with
// queued long work and overload the other targets.
func (q *Queue) Load(now time.Time) fleet.Load {
	l := fleet.Load{InFlight: q.running, Queued: len(q.items) - q.running, Slots: q.cfg.Slots, RateLimit: q.rate.perSecond}
	l.StartDelay = q.rate.delay(now, l.Queued+1)
	for _, e := range q.items {
		if e.backlog == &q.overdue && !e.running {
			continue // new items start before overdue ones
		}
		if e.Length == fleet.Short || q.cfg.Discipline == FIFO {
			l.QueuedWork += e.expected
		}
	}
	if q.cfg.Discipline == Fair {
		l.QueuedWork = l.QueuedWork * time.Duration(q.cfg.Slots) / time.Duration(max(1, q.cfg.Slots-q.runningLong))
	}
	return l
}
