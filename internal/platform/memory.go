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

// Memory is an in-memory platform for tests in which faults can be injected.
// Its zero value is ready for use.
type Memory struct {
	counters
	mu            sync.Mutex
	revision      uint64
	objects       map[string]Object // including deleted ones
	changed       chan struct{}     // closed by wakeWatches
	outage        bool
	delay         time.Duration
	answersToLose int
	stale         *snapshot
	limiter       *rate.Limiter
	watchWait     time.Duration
}

type snapshot struct {
	revision uint64
	objects  map[string]Object
}

// NewMemory returns a Memory without objects.
func NewMemory() *Memory { return &Memory{} }

// SetOutage switches an outage on or off. During an outage, every call fails
// with ErrUnavailable.
func (m *Memory) SetOutage(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outage = on
	m.wakeWatches()
}

// SetDelay sets the delay of each call; 0 removes it.
func (m *Memory) SetDelay(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = d
}

// LoseAnswers makes the next n successful writes return ErrWriteUncertain
// although they took effect.
func (m *Memory) LoseAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answersToLose = n
}

// SetStale switches stale reads on or off. While they are on, reads and watches
// see the store as it was when they were switched on; writes see the current
// store.
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
	m.wakeWatches()
}

// SetRateLimit limits the calls per second. Calls above the limit fail with a
// RateLimitedError. A rate of 0 removes the limit.
func (m *Memory) SetRateLimit(perSecond float64, burst int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limiter = nil
	if perSecond > 0 {
		m.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
	}
}

// SetWatchWait replaces DefaultWatchWait for this Memory; 0 restores it.
func (m *Memory) SetWatchWait(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchWait = d
}

// beginCall counts a call, applies the injected delay, and returns the error of
// an injected fault. If it returns nil, the caller holds m.mu.
func (m *Memory) beginCall(ctx context.Context, k callKind) error {
	m.countSent(k)
	m.mu.Lock()
	delay := m.delay
	limited := m.limiter != nil && !m.limiter.Allow()
	m.mu.Unlock()
	if limited {
		return m.countResult(&RateLimitedError{RetryAfter: time.Second})
	}
	if err := sleep(ctx, delay); err != nil {
		return m.countResult(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	m.mu.Lock()
	if m.outage {
		m.mu.Unlock()
		return m.countResult(ErrUnavailable)
	}
	return nil
}

// readView returns the objects and the revision that reads and watches see. The
// caller holds m.mu.
func (m *Memory) readView() (map[string]Object, uint64) {
	if m.stale != nil {
		return m.stale.objects, m.stale.revision
	}
	return m.objects, m.revision
}

// wakeWatches makes all pending watches check for changes and faults. The
// caller holds m.mu.
func (m *Memory) wakeWatches() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// Get implements Client.
func (m *Memory) Get(ctx context.Context, key string) (Object, error) {
	if err := m.beginCall(ctx, readCall); err != nil {
		return Object{}, err
	}
	defer m.mu.Unlock()
	objects, _ := m.readView()
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
	if len(value) > MaxValueBytes {
		return Object{}, ErrTooLarge
	}
	if err := m.beginCall(ctx, writeCall); err != nil {
		return Object{}, err
	}
	defer m.mu.Unlock()
	if m.objects[key].liveVersion() != ifVersion {
		return Object{}, m.countResult(ErrConflict)
	}
	o := m.commit(Object{Key: key, Value: append([]byte{}, value...)})
	if m.loseAnswer() {
		return Object{}, m.countResult(ErrWriteUncertain)
	}
	return o.clone(), nil
}

// Delete implements Client.
func (m *Memory) Delete(ctx context.Context, key string, ifVersion uint64) error {
	if err := m.beginCall(ctx, writeCall); err != nil {
		return err
	}
	defer m.mu.Unlock()
	switch m.objects[key].liveVersion() {
	case 0:
		return ErrNotFound
	case ifVersion:
	default:
		return m.countResult(ErrConflict)
	}
	m.commit(Object{Key: key, Deleted: true})
	if m.loseAnswer() {
		return m.countResult(ErrWriteUncertain)
	}
	return nil
}

// List implements Client.
func (m *Memory) List(ctx context.Context, prefix string) ([]Object, Position, error) {
	if err := m.beginCall(ctx, readCall); err != nil {
		return nil, Position{}, err
	}
	defer m.mu.Unlock()
	objects, revision := m.readView()
	found := selectObjects(objects, func(o Object) bool { return strings.HasPrefix(o.Key, prefix) && !o.Deleted })
	return found, Position{Revision: revision}, nil
}

// Watch implements Client.
func (m *Memory) Watch(ctx context.Context, prefix string, since Position) ([]Object, Position, error) {
	if err := m.beginCall(ctx, watchCall); err != nil {
		return nil, Position{}, err
	}
	wait := DefaultWatchWait
	if m.watchWait > 0 {
		wait = m.watchWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		objects, revision := m.readView()
		found := selectObjects(objects, func(o Object) bool {
			return strings.HasPrefix(o.Key, prefix) && o.Version > since.Revision
		})
		if m.changed == nil {
			m.changed = make(chan struct{})
		}
		changed, outage := m.changed, m.outage
		m.mu.Unlock()
		if outage {
			return nil, Position{}, m.countResult(ErrUnavailable)
		}
		if len(found) > 0 {
			return found, Position{Revision: revision}, nil
		}
		select {
		case <-ctx.Done():
			return nil, Position{}, ctx.Err()
		case <-timer.C:
			return nil, Position{Revision: max(revision, since.Revision)}, nil
		case <-changed:
		}
		m.mu.Lock()
	}
}

// commit stores o at the next revision and returns it with its version. The
// caller holds m.mu.
func (m *Memory) commit(o Object) Object {
	if m.objects == nil {
		m.objects = make(map[string]Object)
	}
	m.revision++
	o.Version = m.revision
	m.objects[o.Key] = o
	m.wakeWatches()
	return o
}

// loseAnswer reports whether the answer to this write is lost, and counts it
// down. The caller holds m.mu.
func (m *Memory) loseAnswer() bool {
	if m.answersToLose == 0 {
		return false
	}
	m.answersToLose--
	return true
}

// liveVersion is the version with which ifVersion is compared: 0 for an absent
// or deleted object.
func (o Object) liveVersion() uint64 {
	if o.Deleted {
		return 0
	}
	return o.Version
}

func (o Object) clone() Object {
	o.Value = append([]byte{}, o.Value...)
	return o
}

func selectObjects(objects map[string]Object, match func(Object) bool) []Object {
	var found []Object
	for _, o := range objects {
		if match(o) {
			found = append(found, o.clone())
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}
