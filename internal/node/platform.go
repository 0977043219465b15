package node

import (
	"context"
	"errors"
	"sync/atomic"

	"siskinvale.dev/siskinvale/internal/platform"
)

// observedPlatform remembers whether the last call got an answer, for the
// node's status.
type observedPlatform struct {
	platform.Client
	reachable atomic.Bool
}

func (p *observedPlatform) observe(err error) {
	if errors.Is(err, platform.ErrBudget) || errors.Is(err, context.Canceled) {
		return
	}
	failed := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUncertain) || errors.Is(err, context.DeadlineExceeded)
	p.reachable.Store(!failed)
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
