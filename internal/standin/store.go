package standin

import (
	"errors"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// historyKept is how far back a stale read can go.
	historyKept = 10 * time.Minute
	// maxValue is the largest value of one object in bytes.
	maxValue = 1 << 20
)

var (
	errNotFound = errors.New("no such object")
	errConflict = errors.New("the object has another version")
)

// entry is one version of one object.
type entry struct {
	version uint64
	at      time.Time
	value   []byte
	deleted bool
}

// object is one object as a list or a watch returns it.
type object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// listing is the answer to a list or a watch.
type listing struct {
	Revision uint64   `json:"revision"`
	Objects  []object `json:"objects"`
}

// store keeps the objects and enough of their history for stale reads. The
// version of an object is the store-wide revision of its last write. It is
// safe for concurrent use.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string][]entry // oldest first; tombstones stay for watches
	changed  chan struct{}      // closed and replaced by each write
}

func newStore() *store {
	return &store{objects: map[string][]entry{}, changed: make(chan struct{})}
}

// put writes value if the object has version ifVersion; 0 means that it must
// not exist.
func (s *store) put(now time.Time, key string, value []byte, ifVersion uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := latest(s.objects[key])
	if last.deleted {
		last.version = 0
	}
	if last.version != ifVersion {
		return last.version, errConflict
	}
	return s.write(now, key, entry{value: value}), nil
}

// remove deletes the object if it has version ifVersion.
func (s *store) remove(now time.Time, key string, ifVersion uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := latest(s.objects[key])
	switch {
	case last.version == 0 || last.deleted:
		return errNotFound
	case last.version != ifVersion:
		return errConflict
	}
	s.write(now, key, entry{deleted: true})
	return nil
}

// write appends a version. The caller holds s.mu.
func (s *store) write(now time.Time, key string, e entry) uint64 {
	s.revision++
	e.version, e.at = s.revision, now
	old := s.objects[key]
	for len(old) > 1 && now.Sub(old[1].at) > historyKept {
		old = old[1:]
	}
	s.objects[key] = append(old, e)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// get returns the object as it was at the given time.
func (s *store) get(at time.Time, key string) (entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := asOf(s.objects[key], at)
	if e.version == 0 || e.deleted {
		return entry{}, errNotFound
	}
	return e, nil
}

// list returns the objects under prefix as they were at the given time.
func (s *store) list(at time.Time, prefix string) listing {
	return s.collect(at, prefix, 0, false)
}

// since returns the objects under prefix that changed after revision, and a
// channel that is closed by the next write.
func (s *store) since(at time.Time, prefix string, revision uint64) (listing, <-chan struct{}) {
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	return s.collect(at, prefix, revision, true), changed
}

func (s *store) collect(at time.Time, prefix string, after uint64, deleted bool) listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := listing{Objects: []object{}}
	for key, entries := range s.objects {
		e := asOf(entries, at)
		found.Revision = max(found.Revision, e.version)
		if e.version <= after || !strings.HasPrefix(key, prefix) || (e.deleted && !deleted) {
			continue
		}
		found.Objects = append(found.Objects, object{Key: key, Version: e.version, Value: e.value, Deleted: e.deleted})
	}
	sort.Slice(found.Objects, func(i, j int) bool { return found.Objects[i].Key < found.Objects[j].Key })
	return found
}

func (s *store) size() (objects int, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entries := range s.objects {
		if !latest(entries).deleted {
			objects++
		}
	}
	return objects, s.revision
}

func latest(entries []entry) entry {
	if len(entries) == 0 {
		return entry{}
	}
	return entries[len(entries)-1]
}

// asOf returns the last version written at or before the given time.
func asOf(entries []entry, at time.Time) entry {
	for i := len(entries) - 1; i >= 0; i-- {
		if !entries[i].at.After(at) {
			return entries[i]
		}
	}
	return entry{}
}
