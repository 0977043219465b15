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
	// platformTries is how often one platform call is made before the platform
	// counts as not reachable.
	platformTries = 6
	// platformBackoff is the wait before the second try; it doubles with each
	// further one, which gives about 3 s in all.
	platformBackoff = 100 * time.Millisecond
)

func versionKey(version uint64) string {
	return versionPrefix + strconv.FormatUint(version, 10)
}

// LostError reports that another operator's bundle holds the version or is
// active.
type LostError struct {
	// Version, Author and Approver describe the winner.
	Version          uint64
	Author, Approver string
	// Taken is set when the winner holds the same version number without being
	// known to be active.
	Taken bool
}

func (e *LostError) Error() string {
	state := "is active"
	if e.Taken {
		state = "is already taken"
	}
	return fmt.Sprintf("another rollout won: version %d %s, signed by author %s and approver %s; base the change on it, use a higher version and sign again",
		e.Version, state, e.Author, e.Approver)
}

func lostTo(stored []byte, taken bool) error {
	winner, err := bundle.DecodeEnvelope(stored)
	if err != nil {
		return refused("another rollout won, but its envelope cannot be read: %w", err)
	}
	return &LostError{Version: winner.Manifest.Version, Author: winner.Signer(bundle.RoleAuthor),
		Approver: winner.Signer(bundle.RoleApprover), Taken: taken}
}

// publisher writes bundles to the platform. Each step can be repeated, so that
// a rollout that was interrupted is completed by running it again.
type publisher struct {
	store   Store
	sleep   func(ctx context.Context, d time.Duration) error
	timeout time.Duration
}

// publish stores the pieces and the envelope and makes the version active. It
// returns *LostError when another rollout won.
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
	if err := newer(e, active); err != nil {
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

// newer refuses a version that is not above the active one.
func newer(e *bundle.Envelope, active platform.Object) error {
	if active.Version == 0 {
		return nil
	}
	current, err := bundle.DecodeEnvelope(active.Value)
	if err != nil {
		return refused("%s: %w", activeKey, err)
	}
	if current.Manifest.Version >= e.Manifest.Version {
		return lostTo(active.Value, false)
	}
	return nil
}

func (p *publisher) putPiece(ctx context.Context, name string, piece []byte) error {
	stored, err := p.get(ctx, piecePrefix+name)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return p.create(ctx, piecePrefix+name, piece)
	case err != nil:
		return err
	case !bytes.Equal(stored.Value, piece):
		return refused("the platform holds a damaged piece %s", name)
	}
	return nil
}

// create writes an object that must not exist yet. An object with the same
// value counts as written, which also settles lost answers.
func (p *publisher) create(ctx context.Context, key string, value []byte) error {
	return p.try(ctx, key, func(ctx context.Context) error {
		_, err := p.store.Put(ctx, key, value, 0)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
		stored, err := p.store.Get(ctx, key)
		if err != nil {
			return err
		}
		if !bytes.Equal(stored.Value, value) {
			return lostTo(stored.Value, true)
		}
		return nil
	})
}

// activate replaces the active envelope if it still has version ifVersion.
// After a lost answer it reads back before it tries again.
func (p *publisher) activate(ctx context.Context, value []byte, ifVersion uint64) error {
	uncertain := false
	err := p.try(ctx, activeKey, func(ctx context.Context) error {
		if uncertain {
			done, err := p.settle(ctx, value, ifVersion)
			if done || err != nil {
				return err
			}
		}
		_, err := p.store.Put(ctx, activeKey, value, ifVersion)
		// Any other error, such as an ended context, proves nothing either.
		uncertain = uncertain || err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnavailable)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
		_, err = p.settle(ctx, value, ifVersion)
		return err
	})
	var lost *LostError
	if uncertain && errors.As(err, &lost) {
		return fmt.Errorf("the answer to the update was lost, so this version may have been active before: %w", err)
	}
	if uncertain && err != nil && exitCode(err) == ExitUnreachable {
		return fmt.Errorf("it is unknown whether the version became active; run the same command again, which is safe: %w", err)
	}
	return err
}

// settle reads back whether the active envelope is value. It returns false
// when nothing was written since ifVersion, and *LostError when another
// envelope is active.
func (p *publisher) settle(ctx context.Context, value []byte, ifVersion uint64) (done bool, err error) {
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
	return false, lostTo(stored.Value, false)
}

func (p *publisher) get(ctx context.Context, key string) (object platform.Object, err error) {
	err = p.try(ctx, key, func(ctx context.Context) error {
		object, err = p.store.Get(ctx, key)
		return err
	})
	return object, err
}

// try repeats a call while the platform does not answer.
func (p *publisher) try(ctx context.Context, key string, call func(context.Context) error) error {
	wait := platformBackoff
	for n := 1; ; n++ {
		err := p.once(ctx, call)
		if !errors.Is(err, platform.ErrUncertain) && !errors.Is(err, platform.ErrUnavailable) {
			return err
		}
		if n == platformTries {
			return fmt.Errorf("%s: %w", key, err)
		}
		if sleepErr := p.sleep(ctx, wait); sleepErr != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		wait *= 2
	}
}

func (p *publisher) once(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	err := call(ctx)
	if errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, platform.ErrUncertain) {
		return fmt.Errorf("%w: %w", platform.ErrUncertain, err)
	}
	return err
}

// fetch returns the content of a version that was rolled out.
func (p *publisher) fetch(ctx context.Context, version uint64) ([]byte, error) {
	stored, err := p.get(ctx, versionKey(version))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, refused("the platform has no version %d", version)
	}
	if err != nil {
		return nil, err
	}
	e, err := bundle.DecodeEnvelope(stored.Value)
	if err != nil {
		return nil, refused("version %d: %w", version, err)
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

// nextVersion returns the lowest version above the active one that no envelope
// holds.
func (p *publisher) nextVersion(ctx context.Context) (uint64, error) {
	active, err := p.get(ctx, activeKey)
	if err != nil {
		return 0, err
	}
	e, err := bundle.DecodeEnvelope(active.Value)
	if err != nil {
		return 0, refused("%s: %w", activeKey, err)
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
