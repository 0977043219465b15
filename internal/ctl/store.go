package ctl

import (
	"context"
	"errors"
)

// Object is one versioned value of the platform.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// Store is the part of the platform's object API that rollouts use.
type Store interface {
	// Get returns ErrNotFound or ErrUnavailable when it fails.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes the value if the stored version is ifVersion; 0 creates. It
	// returns ErrConflict when the version differs, ErrUncertain when no
	// answer came and the write may have taken effect, and ErrUnavailable when
	// nothing was written.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (Object, error)
}

// Errors of a Store.
var (
	ErrNotFound    = errors.New("object not found")
	ErrConflict    = errors.New("object has another version")
	ErrUncertain   = errors.New("no answer from the platform; the write may have taken effect")
	ErrUnavailable = errors.New("platform is not available")
)
