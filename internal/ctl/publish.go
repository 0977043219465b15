package ctl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/platform"
)

// Keys of the platform objects that hold bundles.
const (
	activeKey     = "bundle/active"
	versionPrefix = "bundle/version/"
	piecePrefix   = "bundle/piece/"
)

const (
	// maxPlatformAttempts is the number of attempts of one platform call before
	// the platform counts as not reachable.
	maxPlatformAttempts = 6
	// firstPlatformDelay is the delay before the second attempt. The delay
	// doubles before each further attempt; the delays add up to about 3 s.
	firstPlatformDelay = 100 * time.Millisecond
)

func versionKey(version uint64) string {
	return versionPrefix + strconv.FormatUint(version, 10)
}

// RolloutConflictError reports that another rollout won: its bundle is active,
// or its bundle is stored under the same version number.
type RolloutConflictError struct {
	// Version, Author and Approver describe the winning bundle; Author and
	// Approver are key identifiers.
	Version          uint64
	Author, Approver string
	// VersionTaken is set when the winner is stored under the same version
	// number and is not known to be active.
	VersionTaken bool
}

func (e *RolloutConflictError) Error() string {
	state := "is active"
	if e.VersionTaken {
		state = "is already taken"
	}
	return fmt.Sprintf("another rollout won: version %d %s, signed by author %s and approver %s; base the change on it, use a higher version and sign again",
		e.Version, state, e.Author, e.Approver)
}

// newRolloutConflictError returns the RolloutConflictError for the stored
// envelope of the winner.
func newRolloutConflictError(stored []byte, versionTaken bool) error {
	winner, err := bundle.DecodeEnvelope(stored)
	if err != nil {
		return refusedErrorf("another rollout won, but its envelope cannot be read: %w", err)
	}
	return &RolloutConflictError{Version: winner.Manifest.Version, Author: winner.Signer(bundle.RoleAuthor),
		Approver: winner.Signer(bundle.RoleApprover), VersionTaken: versionTaken}
}

// publisher writes bundles to the platform. Each step is idempotent, so running
// an interrupted rollout again completes it.
type publisher struct {
	store       Store
	sleep       func(ctx context.Context, d time.Duration) error
	callTimeout time.Duration
}

// publish stores the pieces and the envelope and then makes the version active.
// It returns a *RolloutConflictError when another rollout won.
func (p *publisher) publish(ctx context.Context, e *bundle.Envelope, pieces map[string][]byte) error {
	encoded, err := e.Encode()
	if err != nil {
		return err
	}
	active, err := p.get(ctx, activeKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if bytes.Equal(active.Value, encoded) {
		return nil
	}
	if err := checkNewer(e, active); err != nil {
		return err
	}
	for _, name := range e.Manifest.Pieces {
		if err := p.putPiece(ctx, name, pieces[name]); err != nil {
			return err
		}
	}
	if err := p.create(ctx, versionKey(e.Manifest.Version), encoded); err != nil {
		return err
	}
	return p.activate(ctx, encoded, active.Version)
}

// checkNewer returns an error if the version of e is not above the active one.
func checkNewer(e *bundle.Envelope, active platform.Object) error {
	if active.Version == 0 {
		return nil
	}
	current, err := bundle.DecodeEnvelope(active.Value)
	if err != nil {
		return refusedErrorf("%s: %w", activeKey, err)
	}
	if current.Manifest.Version >= e.Manifest.Version {
		return newRolloutConflictError(active.Value, false)
	}
	return nil
}

// putPiece stores a piece unless it is stored already, as after an interrupted
// rollout or as part of an earlier version.
func (p *publisher) putPiece(ctx context.Context, name string, piece []byte) error {
	stored, err := p.get(ctx, piecePrefix+name)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return p.create(ctx, piecePrefix+name, piece)
	case err != nil:
		return err
	case !bytes.Equal(stored.Value, piece):
		return refusedErrorf("piece %s on the platform is damaged: its content differs from the piece in the bundle", name)
	}
	return nil
}

// create writes an object that must not exist yet. An existing object with the
// same value counts as success, which covers a retry after a lost answer.
func (p *publisher) create(ctx context.Context, key string, value []byte) error {
	return p.retry(ctx, key, func(ctx context.Context) error {
		_, err := p.store.Put(ctx, key, value, 0)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
		stored, err := p.store.Get(ctx, key)
		if err != nil {
			return err
		}
		if !bytes.Equal(stored.Value, value) {
			return newRolloutConflictError(stored.Value, true)
		}
		return nil
	})
}

// activate replaces the active envelope if the object still has the version
// ifVersion. After a lost answer it reads the object back before it retries the
// write.
func (p *publisher) activate(ctx context.Context, value []byte, ifVersion uint64) error {
	uncertain := false
	err := p.retry(ctx, activeKey, func(ctx context.Context) error {
		if uncertain {
			done, err := p.readBackActive(ctx, value, ifVersion)
			if done || err != nil {
				return err
			}
		}
		_, err := p.store.Put(ctx, activeKey, value, ifVersion)
		// After any error other than these two, such as an ended context, the
		// write is treated as one that may have taken effect.
		uncertain = uncertain || err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnavailable)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
		_, err = p.readBackActive(ctx, value, ifVersion)
		return err
	})
	var conflict *RolloutConflictError
	if uncertain && errors.As(err, &conflict) {
		return fmt.Errorf("the answer to the update was lost, so this version may have been active for some time: %w", err)
	}
	if uncertain && err != nil && exitCode(err) == ExitUnreachable {
		return fmt.Errorf("it is unknown whether the version became active; run the same command again, which is safe: %w", err)
	}
	return err
}

// readBackActive reports whether the active envelope equals value. It returns
// false when the object still has the version ifVersion, and a
// *RolloutConflictError when another envelope has become active.
func (p *publisher) readBackActive(ctx context.Context, value []byte, ifVersion uint64) (done bool, err error) {
	stored, err := p.store.Get(ctx, activeKey)
	switch {
	case errors.Is(err, platform.ErrNotFound) && ifVersion == 0:
		return false, nil
	case err != nil:
		return false, err
	case bytes.Equal(stored.Value, value):
		return true, nil
	case stored.Version == ifVersion:
		return false, nil
	}
	return false, newRolloutConflictError(stored.Value, false)
}

func (p *publisher) get(ctx context.Context, key string) (object platform.Object, err error) {
	err = p.retry(ctx, key, func(ctx context.Context) error {
		object, err = p.store.Get(ctx, key)
		return err
	})
	return object, err
}

// retry makes a call and retries it with growing delays while the platform does
// not answer or is unavailable.
func (p *publisher) retry(ctx context.Context, key string, call func(context.Context) error) error {
	delay := firstPlatformDelay
	for n := 1; ; n++ {
		err := p.callWithTimeout(ctx, call)
		if !errors.Is(err, platform.ErrWriteUncertain) && !errors.Is(err, platform.ErrUnavailable) {
			return err
		}
		if n == maxPlatformAttempts {
			return fmt.Errorf("%s: %w", key, err)
		}
		if sleepErr := p.sleep(ctx, delay); sleepErr != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		delay *= 2
	}
}

// callWithTimeout makes one attempt of a call. A time-out is returned as
// platform.ErrWriteUncertain, because a write may have taken effect.
func (p *publisher) callWithTimeout(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	err := call(ctx)
	if errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, platform.ErrWriteUncertain) {
		return fmt.Errorf("%w: %w", platform.ErrWriteUncertain, err)
	}
	return err
}

// fetch returns the content of the bundle stored under a version number.
func (p *publisher) fetch(ctx context.Context, version uint64) ([]byte, error) {
	stored, err := p.get(ctx, versionKey(version))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, refusedErrorf("the platform has no version %d", version)
	}
	if err != nil {
		return nil, err
	}
	e, err := bundle.DecodeEnvelope(stored.Value)
	if err != nil {
		return nil, refusedErrorf("version %d: %w", version, err)
	}
	pieces := make(map[string][]byte, len(e.Manifest.Pieces))
	for _, name := range e.Manifest.Pieces {
		piece, err := p.get(ctx, piecePrefix+name)
		if err != nil {
			return nil, fmt.Errorf("piece %s: %w", name, err)
		}
		pieces[name] = piece.Value
	}
	return e.Manifest.Join(pieces)
}

// nextVersion returns the lowest version number above the active one under
// which no envelope is stored.
func (p *publisher) nextVersion(ctx context.Context) (uint64, error) {
	active, err := p.get(ctx, activeKey)
	if err != nil {
		return 0, err
	}
	e, err := bundle.DecodeEnvelope(active.Value)
	if err != nil {
		return 0, refusedErrorf("%s: %w", activeKey, err)
	}
	for version := e.Manifest.Version + 1; ; version++ {
		_, err := p.get(ctx, versionKey(version))
		if errors.Is(err, platform.ErrNotFound) {
			return version, nil
		}
		if err != nil {
			return 0, err
		}
	}
}
