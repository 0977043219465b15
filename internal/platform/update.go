package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// updateAttempts bounds the writes of one Update, so that writers that race
// for one object cannot use up the budget.
const updateAttempts = 10

// Update reads the object, lets change compute a new value and writes it on the
// condition that the object did not change meanwhile. After a conflict it
// starts again with the current object. An absent object is passed with
// Version 0. A nil value without an error leaves the object as it is.
//
// An uncertain write is settled by reading back: when the object holds exactly
// the value that was written, the write took effect. Values of racing writers
// must therefore differ, for example by an identifier of the writer. When a
// later writer has replaced the object meanwhile, change decides again with the
// current object; an error it returns then also matches ErrUncertain.
func Update(ctx context.Context, c Client, key string, change func(old Object) (value []byte, err error)) (Object, error) {
	return UpdateOwned(ctx, c, key, change, bytes.Equal)
}

// UpdateOwned is Update with another way to recognise an own write: mine
// reports whether the value that is in the object now is, or follows from, the
// value written earlier, for example because it holds the writer's identifier.
func UpdateOwned(ctx context.Context, c Client, key string,
	change func(old Object) (value []byte, err error), mine func(current, written []byte) bool,
) (Object, error) {
	u := update{client: c, key: key, change: change, mine: mine,
		backoff: Backoff{Base: 20 * time.Millisecond, Max: 2 * time.Second}}
	var err error
	for attempt := range updateAttempts {
		if attempt > 0 {
			if sleepErr := sleep(ctx, u.wait(err)); sleepErr != nil {
				return Object{}, u.failed(errors.Join(err, sleepErr))
			}
		}
		var object Object
		var done bool
		object, done, err = u.once(ctx)
		if done {
			return object, err
		}
	}
	return Object{}, u.failed(fmt.Errorf("gave up after %d attempts: %w", updateAttempts, err))
}

type update struct {
	client  Client
	key     string
	change  func(Object) ([]byte, error)
	mine    func(current, written []byte) bool
	backoff Backoff
	// uncertain holds the writes without an answer; any of them may still
	// take effect, because a request can be delayed on its way.
	uncertain []Object
}

// once does one round of read, change and write. It is done when the object
// and error are final.
func (u *update) once(ctx context.Context) (object Object, done bool, err error) {
	old, err := u.client.Get(ctx, u.key)
	switch {
	case errors.Is(err, ErrNotFound):
		old = Object{Key: u.key}
	case err != nil:
		return Object{}, !retryable(err), u.failed(err)
	}
	for _, w := range u.uncertain {
		if old.Version > w.Version && u.mine(old.Value, w.Value) {
			return old, true, nil
		}
	}
	value, err := u.change(old)
	if err != nil {
		return Object{}, true, u.failed(err)
	}
	if value == nil {
		return old, true, nil
	}
	written, err := u.client.Put(ctx, u.key, value, old.Version)
	switch {
	case err == nil:
		return written, true, nil
	case errors.Is(err, ErrUncertain):
		u.uncertain = append(u.uncertain, Object{Key: u.key, Version: old.Version, Value: value})
		return Object{}, false, err
	case errors.Is(err, ErrConflict) || retryable(err):
		return Object{}, false, err
	}
	return Object{}, true, u.failed(err)
}

// wait returns the delay before the next round.
func (u *update) wait(err error) time.Duration {
	delay := u.backoff.Next(rand.Uint64())
	var limited *RateLimitedError
	if errors.As(err, &limited) {
		delay = max(delay, limited.RetryAfter)
	}
	return delay
}

// failed adds ErrUncertain to an error that ends the update while an own write
// may be, or may have been, in force.
func (u *update) failed(err error) error {
	if len(u.uncertain) > 0 && !errors.Is(err, ErrUncertain) {
		return fmt.Errorf("update %s: %w: %w", u.key, ErrUncertain, err)
	}
	return fmt.Errorf("update %s: %w", u.key, err)
}

func retryable(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrBudget)
}
