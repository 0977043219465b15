package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Gate blocks requests until they get a slot of one target or are refused. It
// is safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	clock    func() time.Time
	queue    *Queue
	lastID   uint64
	waiting  map[uint64]chan *RefusedError
	running  int
	draining bool
	idle     chan struct{}
	// wakeAt is when the next timer starts queued items that wait for the rate
	// limit; zero if there is none.
	wakeAt time.Time
}

// NewGate returns a Gate with a new Queue that reads the time from clock.
func NewGate(cfg Config, clock func() time.Time) *Gate {
	return &Gate{clock: clock, queue: New(cfg), waiting: map[uint64]chan *RefusedError{}, idle: make(chan struct{})}
}

// Acquire waits for a slot. The caller must call release when the work has
// ended; repeated calls of release have no effect. An error is always a
// *RefusedError.
func (g *Gate) Acquire(ctx context.Context, item Item) (release func(), err error) {
	if err := ctx.Err(); err != nil {
		return nil, &RefusedError{Reason: ReasonCancelled, Cause: err}
	}
	g.mu.Lock()
	g.lastID++
	item.ID = g.lastID
	decision := make(chan *RefusedError, 1)
	g.waiting[item.ID] = decision
	g.step(Arrive{item})
	g.mu.Unlock()

	var expired <-chan time.Time
	if !item.Deadline.IsZero() {
		timer := time.NewTimer(item.Deadline.Sub(g.clock()))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case refused := <-decision:
		if refused != nil {
			return nil, refused
		}
		return g.releaseFunc(item.ID), nil
	case <-ctx.Done():
		return nil, g.withdraw(item.ID, decision, ctx.Err())
	case <-expired:
		return nil, g.withdraw(item.ID, decision, context.DeadlineExceeded)
	}
}

// TryAcquire gives the item a slot if one is free and no other item is queued.
// It never waits; ok is false if the item got no slot.
func (g *Gate) TryAcquire(item Item) (release func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.HasFreeSlot(g.clock()) {
		return nil, false
	}
	g.lastID++
	item.ID = g.lastID
	decision := make(chan *RefusedError, 1)
	g.waiting[item.ID] = decision
	g.step(Arrive{item})
	select {
	case refused := <-decision:
		if refused == nil {
			return g.releaseFunc(item.ID), true
		}
	default:
		// The Queue queued the item, because the free slots are reserved for
		// other work.
		delete(g.waiting, item.ID)
		g.step(Cancel{item.ID})
	}
	return nil, false
}

// withdraw cancels an item whose caller no longer waits. If the Queue has
// started the item in the meantime, withdraw frees its slot; the work is still
// not run, because Acquire reports the item as refused.
func (g *Gate) withdraw(id uint64, decision chan *RefusedError, cause error) *RefusedError {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case refused := <-decision:
		if refused != nil {
			return refused
		}
		g.running--
	default:
		delete(g.waiting, id)
	}
	g.step(Cancel{id})
	if errors.Is(cause, context.DeadlineExceeded) {
		return &RefusedError{Reason: ReasonExpired, Cause: cause}
	}
	return &RefusedError{Reason: ReasonCancelled, Cause: cause}
}

// releaseFunc returns the function that frees the slot of a started item.
func (g *Gate) releaseFunc(id uint64) func() {
	started := g.clock()
	var once sync.Once
	return func() {
		once.Do(func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.running--
			g.step(Finish{id, g.clock().Sub(started)})
		})
	}
}

// step applies ev and passes the decisions to the waiting requests. The caller
// holds the lock.
func (g *Gate) step(ev Event) {
	for _, a := range g.queue.Step(g.clock(), ev) {
		switch a := a.(type) {
		case Start:
			g.running++
			g.notify(a.ID, nil)
		case Refuse:
			g.notify(a.ID, &RefusedError{Reason: a.Reason, RetryAfter: a.RetryAfter})
		}
	}
	g.armWake()
	if g.draining && g.running == 0 && len(g.waiting) == 0 {
		select {
		case <-g.idle:
		default:
			close(g.idle)
		}
	}
}

// armWake starts a timer for the next item that waits for the rate limit alone,
// unless one is running that ends as early: no other event may come before it.
// The caller holds the lock.
func (g *Gate) armWake() {
	now := g.clock()
	delay, ok := g.queue.NextStart(now)
	at := now.Add(delay)
	if !ok || !g.wakeAt.IsZero() && !at.Before(g.wakeAt) {
		return
	}
	g.wakeAt = at
	time.AfterFunc(delay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.wakeAt.Equal(at) {
			g.wakeAt = time.Time{}
		}
		g.step(Tick{})
	})
}

// SetRateLimit limits how many items start per second; 0 removes the limit.
func (g *Gate) SetRateLimit(perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.step(SetRateLimit{perSecond})
}

// notify passes the decision about an item to its request. A nil refused means
// that the item was started.
func (g *Gate) notify(id uint64, refused *RefusedError) {
	if c := g.waiting[id]; c != nil {
		delete(g.waiting, id)
		c <- refused // does not block: buffered, and each item gets one decision
	}
}

// Drain refuses all queued items and all later arrivals. Started items are not
// affected.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.step(Drain{})
}

// Draining reports whether Drain was called.
func (g *Gate) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// Idle returns a channel that is closed once the Gate is draining and no item
// is queued or running.
func (g *Gate) Idle() <-chan struct{} { return g.idle }

// Load returns the target's load, which the sidecar reports to ingresses with
// its answers.
func (g *Gate) Load() fleet.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load(g.clock())
}
