package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/platform"
)

// observedPlatform wraps a platform client. It records whether the platform is
// reachable and logs when a fault begins and ends.
type observedPlatform struct {
	platform.Client
	log       *event.Logger
	reachable atomic.Bool
	// lastFault is the number of the event logged last, 0 while calls succeed.
	lastFault atomic.Int64

	// era is the highest era of the store that this node or a peer has seen.
	era atomic.Uint64
	// eraRisen wakes discovery after a rise of era.
	eraRisen chan struct{}

	mu sync.Mutex
	// at is the newest position that an answer had.
	at platform.Position
}

// observePosition records the position of an answer and logs when the store has
// come back from an older copy.
func (p *observedPlatform) observePosition(at platform.Position) {
	p.mu.Lock()
	before, restored := p.at, p.at.Era > 0 && at.Era > p.at.Era
	if at.Era > p.at.Era || at.Era == p.at.Era && at.Revision > p.at.Revision {
		p.at = at
	}
	p.mu.Unlock()
	p.eraSeen(at.Era)
	if restored {
		p.log.Log(event.PlatformRestored, event.Fields{
			"era": at.Era, "revision": at.Revision, "beforeEra": before.Era, "beforeRevision": before.Revision,
		})
	}
}

// eraSeen records an era of the store that an answer or a peer stated.
func (p *observedPlatform) eraSeen(era uint64) {
	for {
		known := p.era.Load()
		if era <= known {
			return
		}
		if p.era.CompareAndSwap(known, era) {
			break
		}
	}
	select {
	case p.eraRisen <- struct{}{}:
	default: // discovery has not yet seen the last rise
	}
}

// observe logs the beginning of a fault, a change of its kind and its end
// instead of each failed call.
func (p *observedPlatform) observe(err error) {
	var limited *platform.RateLimitedError
	switch {
	case errors.Is(err, context.Canceled):
		return
	case errors.Is(err, platform.ErrBudgetExceeded):
		p.logFault(event.PlatformOverBudget, err)
	case errors.As(err, &limited):
		p.logFault(event.PlatformRateLimited, err)
	case errors.Is(err, platform.ErrRefused):
		p.logFault(event.PlatformRefused, err)
	case errors.Is(err, platform.ErrWriteUncertain):
		p.reachable.Store(false)
		p.logFault(event.PlatformWriteUncertain, err)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		p.reachable.Store(false)
		p.logFault(event.PlatformUnavailable, err)
	default:
		p.reachable.Store(true)
		if p.lastFault.Swap(0) != 0 {
			p.log.Log(event.PlatformBack, nil)
		}
	}
}

func (p *observedPlatform) logFault(e event.Event, err error) {
	if p.lastFault.Swap(int64(e.Number)) != int64(e.Number) {
		p.log.Log(e, event.Fields{"error": err.Error()})
	}
}

func (p *observedPlatform) Get(ctx context.Context, key string) (platform.Object, error) {
	o, err := p.Client.Get(ctx, key)
	p.observe(err)
	return o, err
}

func (p *observedPlatform) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (platform.Object, error) {
	o, err := p.Client.Put(ctx, key, value, ifVersion)
	p.observe(err)
	return o, err
}

func (p *observedPlatform) List(ctx context.Context, prefix string) ([]platform.Object, platform.Position, error) {
	objects, at, err := p.Client.List(ctx, prefix)
	p.observe(err)
	if err == nil {
		p.observePosition(at)
	}
	return objects, at, err
}

func (p *observedPlatform) Watch(ctx context.Context, prefix string, since platform.Position) ([]platform.Object, platform.Position, error) {
	objects, at, err := p.Client.Watch(ctx, prefix, since)
	p.observe(err)
	if err == nil {
		p.observePosition(at)
	}
	return objects, at, err
}
