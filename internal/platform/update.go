package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// updateAttempts bounds the rounds of one Update, so that writers competing for
// one object cannot exhaust the budget.
const updateAttempts = 10

// Update reads the object, lets change compute a new value, and writes that
// value on the condition that the object has not changed since the read. After
// a conflict it starts again with the current object. change receives an absent
// object with Version 0. When change returns a nil value and no error, the
// object stays unchanged.
//
// After an uncertain write, Update reads the object back: if it holds exactly
// the value written, the write took effect. Concurrent writers must therefore
// write different values, for example by including an identifier of the writer.
// If a later writer has replaced the object in the meantime, change is called
// again with the current object; an error it then returns also matches
// ErrWriteUncertain.
func Update(ctx context.Context, c Client, key string, change func(old Object) (value []byte, err error)) (Object, error) {
	return UpdateOwned(ctx, c, key, change, bytes.Equal)
}

// UpdateOwned is Update with a different test for an own write that took
// effect: isOwn reports whether the object's current value is, or is derived
// from, the value written earlier, for example because it contains the writer's
// identifier.
func UpdateOwned(ctx context.Context, c Client, key string,
	change func(old Object) (value []byte, err error), isOwn func(current, written []byte) bool,
) (Object, error) {
	u := objectUpdate{client: c, key: key, change: change, isOwn: isOwn,
		backoff: Backoff{Base: 20 * time.Millisecond, Max: 2 * time.Second}}
	var err error
	for attempt := range updateAttempts {
		if attempt > 0 {
			if sleepErr := sleep(ctx, u.retryDelay(err)); sleepErr != nil {
				return Object{}, u.finalError(errors.Join(err, sleepErr))
			}
		}
		var object Object
		var done bool
		object, done, err = u.tryOnce(ctx)
		if done {
			return object, err
		}
	}
	return Object{}, u.finalError(fmt.Errorf("gave up after %d attempts: %w", updateAttempts, err))
}

type objectUpdate struct {
	client  Client
	key     string
	change  func(Object) ([]byte, error)
	isOwn   func(current, written []byte) bool
	backoff Backoff
	// uncertainWrites are the writes whose outcome is unknown, each with the
	// version that it was conditional on. Any of them may still take effect,
	// because a request can be delayed in transit.
	uncertainWrites []Object
}

// tryOnce does one round of read, change and write. done reports that the
// update has ended and that object and err are final.
func (u *objectUpdate) tryOnce(ctx context.Context) (object Object, done bool, err error) {
	old, err := u.client.Get(ctx, u.key)
	switch {
	case errors.Is(err, ErrNotFound):
		old = Object{Key: u.key}
	case err != nil:
		return Object{}, !retryable(err), u.finalError(err)
	}
	for _, w := range u.uncertainWrites {
		if old.Version > w.Version && u.isOwn(old.Value, w.Value) {
			return old, true, nil
		}
	}
	value, err := u.change(old)
	if err != nil {
		return Object{}, true, u.finalError(err)
	}
	if value == nil {
		return old, true, nil
	}
	written, err := u.client.Put(ctx, u.key, value, old.Version)
	switch {
	case err == nil:
		return written, true, nil
	case errors.Is(err, ErrWriteUncertain):
		u.uncertainWrites = append(u.uncertainWrites, Object{Key: u.key, Version: old.Version, Value: value})
		return Object{}, false, err
	case errors.Is(err, ErrConflict) || retryable(err):
		return Object{}, false, err
	}
	return Object{}, true, u.finalError(err)
}

// retryDelay returns the delay before the next round, at least the Retry-After
// of a RateLimitedError.
func (u *objectUpdate) retryDelay(err error) time.Duration {
	delay := u.backoff.Next(rand.Uint64())
	var limited *RateLimitedError
	if errors.As(err, &limited) {
		delay = max(delay, limited.RetryAfter)
	}
	return delay
}

// finalError wraps the error that ends the update. The result matches
// ErrWriteUncertain if an own write may have taken effect or may still do so.
func (u *objectUpdate) finalError(err error) error {
	if len(u.uncertainWrites) > 0 && !errors.Is(err, ErrWriteUncertain) {
		return fmt.Errorf("update %s: %w: %w", u.key, ErrWriteUncertain, err)
	}
	return fmt.Errorf("update %s: %w", u.key, err)
}

func retryable(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrBudgetExceeded)
}
