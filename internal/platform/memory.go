package platform

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Memory is an in-memory platform for tests, with switches for its faults. Its
// zero value is ready for use.
type Memory struct {
	counters
	mu       sync.Mutex
	revision uint64
	objects  map[string]Object // including deleted ones
	changed  chan struct{}     // closed at the next write
	outage   bool
	delay    time.Duration
	lose     int
	stale    *snapshot
	limiter  *rate.Limiter
	wait     time.Duration
}

type snapshot struct {
	revision uint64
	objects  map[string]Object
}

// NewMemory returns an empty platform.
func NewMemory() *Memory { return &Memory{} }

// SetOutage makes every call fail with ErrUnavailable while it is on.
func (m *Memory) SetOutage(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outage = on
	m.wake()
}

// SetDelay delays each call.
func (m *Memory) SetDelay(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = d
}

// LoseAnswers makes the next n successful writes return ErrUncertain although
// they took effect.
func (m *Memory) LoseAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lose = n
}

// SetStale makes reads and watches see the store as it is now until it is
// switched off; writes see the current store.
func (m *Memory) SetStale(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stale = nil
	if on {
		m.stale = &snapshot{revision: m.revision, objects: make(map[string]Object, len(m.objects))}
		for key, o := range m.objects {
			m.stale.objects[key] = o
		}
	}
	m.wake()
}

// SetRateLimit limits the calls per second; calls over it fail with a
// RateLimitedError. A rate of 0 removes the limit.
func (m *Memory) SetRateLimit(perSecond float64, burst int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limiter = nil
	if perSecond > 0 {
		m.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
	}
}

// SetWatchWait replaces WatchWait.
func (m *Memory) SetWatchWait(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wait = d
}

// enter counts a call, delays it and fails it when a fault says so. It returns
// with the lock held when there is no error.
func (m *Memory) enter(ctx context.Context, k kind) error {
	m.sent(k)
	m.mu.Lock()
	delay := m.delay
	limited := m.limiter != nil && !m.limiter.Allow()
	m.mu.Unlock()
	if limited {
		return m.result(&RateLimitedError{RetryAfter: time.Second})
	}
	if err := sleep(ctx, delay); err != nil {
		return m.result(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	m.mu.Lock()
	if m.outage {
		m.mu.Unlock()
		return m.result(ErrUnavailable)
	}
	return nil
}

// view returns what reads see. The caller holds the lock.
func (m *Memory) view() (map[string]Object, uint64) {
	if m.stale != nil {
		return m.stale.objects, m.stale.revision
	}
	return m.objects, m.revision
}

// wake ends the wait of all watches. The caller holds the lock.
func (m *Memory) wake() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// Get implements Client.
func (m *Memory) Get(ctx context.Context, key string) (Object, error) {
	if err := m.enter(ctx, read); err != nil {
		return Object{}, err
	}
	defer m.mu.Unlock()
	objects, _ := m.view()
	o, ok := objects[key]
	if !ok || o.Deleted {
		return Object{}, ErrNotFound
	}
	return o.clone(), nil
}

// Put implements Client.
func (m *Memory) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (Object, error) {
	if err := CheckKey(key); err != nil {
		return Object{}, err
	}
	if len(value) > MaxValue {
		return Object{}, ErrTooLarge
	}
	if err := m.enter(ctx, write); err != nil {
		return Object{}, err
	}
	defer m.mu.Unlock()
	if m.objects[key].current() != ifVersion {
		return Object{}, m.result(ErrConflict)
	}
	o := m.store(Object{Key: key, Value: append([]byte{}, value...)})
	if m.loses() {
		return Object{}, m.result(ErrUncertain)
	}
	return o.clone(), nil
}

// Delete implements Client.
func (m *Memory) Delete(ctx context.Context, key string, ifVersion uint64) error {
	if err := m.enter(ctx, write); err != nil {
		return err
	}
	defer m.mu.Unlock()
	switch m.objects[key].current() {
	case 0:
		return ErrNotFound
	case ifVersion:
	default:
		return m.result(ErrConflict)
	}
	m.store(Object{Key: key, Deleted: true})
	if m.loses() {
		return m.result(ErrUncertain)
	}
	return nil
}

// List implements Client.
func (m *Memory) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	if err := m.enter(ctx, read); err != nil {
		return nil, 0, err
	}
	defer m.mu.Unlock()
	objects, revision := m.view()
	found := selectObjects(objects, func(o Object) bool { return strings.HasPrefix(o.Key, prefix) && !o.Deleted })
	return found, revision, nil
}

// Watch implements Client.
func (m *Memory) Watch(ctx context.Context, prefix string, since uint64) ([]Object, uint64, error) {
	if err := m.enter(ctx, watch); err != nil {
		return nil, 0, err
	}
	wait := WatchWait
	if m.wait > 0 {
		wait = m.wait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		objects, revision := m.view()
		found := selectObjects(objects, func(o Object) bool {
			return strings.HasPrefix(o.Key, prefix) && o.Version > since
		})
		if m.changed == nil {
			m.changed = make(chan struct{})
		}
		changed, outage := m.changed, m.outage
		m.mu.Unlock()
		if outage {
			return nil, 0, m.result(ErrUnavailable)
		}
		if len(found) > 0 {
			return found, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timer.C:
			return nil, max(revision, since), nil
		case <-changed:
		}
		m.mu.Lock()
	}
}

// store writes o at the next revision. The caller holds the lock.
func (m *Memory) store(o Object) Object {
	if m.objects == nil {
		m.objects = make(map[string]Object)
	}
	m.revision++
	o.Version = m.revision
	m.objects[o.Key] = o
	m.wake()
	return o
}

// loses reports whether the answer of this write is lost. The caller holds the
// lock.
func (m *Memory) loses() bool {
	if m.lose == 0 {
		return false
	}
	m.lose--
	return true
}

// current is the version that a condition is compared with: 0 when absent.
func (o Object) current() uint64 {
	if o.Deleted {
		return 0
	}
	return o.Version
}

func (o Object) clone() Object {
	o.Value = append([]byte{}, o.Value...)
	return o
}

func selectObjects(objects map[string]Object, wanted func(Object) bool) []Object {
	var found []Object
	for _, o := range objects {
		if wanted(o) {
			found = append(found, o.clone())
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}
