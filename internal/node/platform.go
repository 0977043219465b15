package node

import (
	"context"
	"errors"
	"sync/atomic"

	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/platform"
)

// observedPlatform remembers whether the last call got an answer, for the
// node's status.
type observedPlatform struct {
	platform.Client
	log       *event.Logger
	reachable atomic.Bool
	// faulty is the number of the event that was logged last, 0 when the
	// platform is well.
	faulty atomic.Int64
}

// observe logs a fault when it begins and its end, not each failed call.
func (p *observedPlatform) observe(err error) {
	var limited *platform.RateLimitedError
	switch {
	case errors.Is(err, context.Canceled):
		return
	case errors.Is(err, platform.ErrBudget):
		p.fault(event.PlatformOverBudget, err)
	case errors.As(err, &limited):
		p.fault(event.PlatformLimited, err)
	case errors.Is(err, platform.ErrRefused):
		p.fault(event.PlatformRefused, err)
	case errors.Is(err, platform.ErrUncertain):
		p.reachable.Store(false)
		p.fault(event.PlatformUncertain, err)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		p.reachable.Store(false)
		p.fault(event.PlatformUnavailable, err)
	default:
		p.reachable.Store(true)
		if p.faulty.Swap(0) != 0 {
			p.log.Log(event.PlatformBack, nil)
		}
	}
}

func (p *observedPlatform) fault(e event.Event, err error) {
	if p.faulty.Swap(int64(e.Number)) != int64(e.Number) {
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

func (p *observedPlatform) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	objects, revision, err := p.Client.List(ctx, prefix)
	p.observe(err)
	return objects, revision, err
}

func (p *observedPlatform) Watch(ctx context.Context, prefix string, since uint64) ([]platform.Object, uint64, error) {
	objects, revision, err := p.Client.Watch(ctx, prefix, since)
	p.observe(err)
	return objects, revision, err
}
