// Package platform is the client of the platform's object API: versioned
// objects, conditional writes and watches. The HTTP contract is in
// docs/platform.md.
package platform

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// MaxValueBytes is the largest value of one object, in bytes.
	MaxValueBytes = 1 << 20
	// MaxKeyBytes is the length of the longest key, in bytes.
	MaxKeyBytes = 512
	// DefaultWatchWait is how long the platform holds a watch without changes.
	DefaultWatchWait = 30 * time.Second
)

var (
	// ErrNotFound means that no object has the key.
	ErrNotFound = errors.New("platform: object not found")
	// ErrConflict means that the object's version differs from the expected
	// one; nothing was written.
	ErrConflict = errors.New("platform: version conflict")
	// ErrUnavailable means that the call failed and, if it was a write, had
	// no effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrWriteUncertain means that the outcome of a write is unknown, usually
	// because no answer arrived: the write may have taken effect, or may still
	// do so.
	ErrWriteUncertain = errors.New("platform: result of the write is uncertain")
	// ErrTooLarge means that a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("platform: value is larger than 1 MiB")
	// ErrBudgetExceeded means that the call was not sent because the node's
	// call budget is used up.
	ErrBudgetExceeded = errors.New("platform: call budget is used up")
	// ErrInvalidKey means that CheckKey rejects the key.
	ErrInvalidKey = errors.New("platform: invalid key")
	// ErrRefused means that the platform rejected the token or the request.
	ErrRefused = errors.New("platform: request refused")
)

// RateLimitedError means that the platform rejected a call because of a rate
// limit. It matches ErrUnavailable, because the call had no effect.
type RateLimitedError struct {
	// RetryAfter is how long the platform asks the caller to wait.
	RetryAfter time.Duration
}

func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("platform: rate limited, retry after %v", e.RetryAfter)
}

// Is makes the error match ErrUnavailable.
func (e *RateLimitedError) Is(target error) bool { return target == ErrUnavailable }

// Object is one object of the platform.
type Object struct {
	Key string
	// Version is the store-wide revision of the object's last write.
	Version uint64
	Value   []byte
	// Deleted marks a deletion in the result of Watch.
	Deleted bool
}

// Position is a point in the history of the store, from which a watch continues.
type Position struct {
	// Era rises each time the store comes back from an older copy, which gives
	// revisions out again. Revisions of different eras cannot be compared. It is
	// 0 if the platform does not tell, otherwise one more than what it states.
	Era uint64
	// Revision increases with each change within one era.
	Revision uint64
}

// Client is the object API. Every method may return ErrUnavailable,
// ErrBudgetExceeded, ErrRefused or the error of its context. Implementations
// are safe for concurrent use.
type Client interface {
	// Get returns the object or ErrNotFound. The object may be out of date.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version is ifVersion, or creates the
	// object if ifVersion is 0. It returns ErrConflict if the condition does
	// not hold, ErrTooLarge if value exceeds MaxValueBytes, and
	// ErrWriteUncertain if the outcome is unknown.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (Object, error)
	// Delete removes the object if its version is ifVersion. It returns
	// ErrNotFound if there is no object, ErrConflict if its version differs,
	// and ErrWriteUncertain if the outcome is unknown.
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// List returns the objects whose keys start with prefix, ordered by key,
	// and the position of the store.
	List(ctx context.Context, prefix string) (objects []Object, at Position, err error)
	// Watch waits, by default at most DefaultWatchWait, until an object whose
	// key starts with prefix changes after the position since. It returns the
	// changed objects (none when the wait timed out) and the position to
	// continue from.
	Watch(ctx context.Context, prefix string, since Position) (objects []Object, at Position, err error)
}

// Counts are the numbers of calls of one client since its creation.
type Counts struct {
	// Reads, Writes and Watches count the calls sent to the platform.
	Reads, Writes, Watches uint64
	// Unavailable, Conflicts and Uncertain count the sent calls that failed
	// with the error of that name.
	Unavailable, Conflicts, Uncertain uint64
	// RateLimited counts the calls that were answered with 429, and those
	// that were not sent because an earlier Retry-After had not passed.
	RateLimited uint64
	// OverBudget counts the calls that were not sent because of the budget.
	OverBudget uint64
	// Malformed counts the objects that could not be decoded and were left
	// out of lists.
	Malformed uint64
}

// CallCounter is implemented by all clients of this package.
type CallCounter interface {
	Counts() Counts
}

type counters struct {
	reads, writes, watches            atomic.Uint64
	unavailable, conflicts, uncertain atomic.Uint64
	rateLimited, overBudget           atomic.Uint64
	malformed                         atomic.Uint64
}

// Counts returns the numbers of calls since the client's creation.
func (c *counters) Counts() Counts {
	return Counts{
		Reads: c.reads.Load(), Writes: c.writes.Load(), Watches: c.watches.Load(),
		Unavailable: c.unavailable.Load(), Conflicts: c.conflicts.Load(), Uncertain: c.uncertain.Load(),
		RateLimited: c.rateLimited.Load(), OverBudget: c.overBudget.Load(), Malformed: c.malformed.Load(),
	}
}

// countSent counts a call that is sent to the platform.
func (c *counters) countSent(k callKind) {
	switch k {
	case readCall:
		c.reads.Add(1)
	case writeCall:
		c.writes.Add(1)
	case watchCall:
		c.watches.Add(1)
	}
}

// countResult counts the outcome of a call and returns err unchanged.
func (c *counters) countResult(err error) error {
	var limited *RateLimitedError
	switch {
	case err == nil:
	case errors.As(err, &limited):
		c.rateLimited.Add(1)
	case errors.Is(err, ErrWriteUncertain):
		c.uncertain.Add(1)
	case errors.Is(err, ErrConflict):
		c.conflicts.Add(1)
	case errors.Is(err, ErrUnavailable):
		c.unavailable.Add(1)
	}
	return err
}

// CheckKey returns ErrInvalidKey for a key that is empty, longer than
// MaxKeyBytes, or has an empty, "." or ".." segment; path cleaning in HTTP
// servers would change such a segment.
func CheckKey(key string) error {
	if key == "" || len(key) > MaxKeyBytes {
		return fmt.Errorf("%w: %d bytes long", ErrInvalidKey, len(key))
	}
	for segment := range strings.SplitSeq(key, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return fmt.Errorf("%w: %q has the segment %q", ErrInvalidKey, key, segment)
		}
	}
	return nil
}
