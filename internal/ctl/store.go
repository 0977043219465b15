package ctl

import (
	"context"
	"time"

	"siskinvale.dev/siskinvale/internal/platform"
)

// Store is the part of platform.Client that rollouts use. Its methods return
// the errors of package platform.
type Store interface {
	Get(ctx context.Context, key string) (platform.Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (platform.Object, error)
}

// OpenStore returns a client for the platform's object API. The call budget is
// sized for one operator who writes the pieces of one bundle.
func OpenStore(address, token string) (Store, error) {
	return platform.NewHTTP(address, token, platform.Budget{
		Reads:   platform.Rate{PerSecond: 50, Burst: 200},
		Writes:  platform.Rate{PerSecond: 20, Burst: 100},
		MaxWait: time.Minute,
	}), nil
}
