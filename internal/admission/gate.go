package admission

import (
	"context"
	"sync"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Gate lets requests wait for a slot of one target. It is safe for concurrent
// use.
type Gate struct {
	mu    sync.Mutex
	clock func() time.Time
	queue *Queue
	idle  chan struct{}
}

// NewGate returns a Gate around a new Queue.
func NewGate(cfg Config, clock func() time.Time) *Gate {
	return &Gate{clock: clock, queue: New(cfg), idle: make(chan struct{})}
}

// Enter waits for a slot. The caller must call release exactly when the work
// has ended; further calls have no effect. The error is a *RefusedError.
func (g *Gate) Enter(ctx context.Context, item Item) (release func(), err error) {
	return func() {}, nil
}

// Drain refuses all later arrivals; queued and started items go on.
func (g *Gate) Drain() {}

// Idle returns a channel that is closed when the Gate drains and nothing is
// queued or running.
func (g *Gate) Idle() <-chan struct{} { return g.idle }

// Load returns the target's load for the answer to an ingress.
func (g *Gate) Load() fleet.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load(g.clock())
}
