package standin

import (
	"errors"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// historyRetention is the age up to which stale reads find old versions.
	historyRetention = 10 * time.Minute
	// maxValueBytes is the largest size of an object's value.
	maxValueBytes = 1 << 20
)

var (
	errNotFound = errors.New("no such object")
	errConflict = errors.New("the object has another version")
)

// entry is one version of one object.
type entry struct {
	version   uint64
	writtenAt time.Time
	value     []byte
	deleted   bool
}

// object is one object in the answer to a list or a watch.
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

// store holds the objects and, for stale reads, their versions of the last
// historyRetention. The version of an object is the store-wide revision of its
// last write. store is safe for concurrent use.
type store struct {
	mu       sync.Mutex
	revision uint64
	era      uint64             // number of restores
	objects  map[string][]entry // by key, oldest version first; tombstones are kept so that watches report deletes
	changed  chan struct{}      // closed and replaced by each write
}

func newStore() *store {
	return &store{objects: map[string][]entry{}, changed: make(chan struct{})}
}

// put writes value if the object has version ifVersion; 0 means that the object
// must not exist. It returns the new version, or errConflict with the current
// version (0 for an object that does not exist).
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

// write appends a version to the object's history, drops versions that no read
// within historyRetention needs, and returns the new revision. The caller holds
// s.mu.
func (s *store) write(now time.Time, key string, e entry) uint64 {
	s.revision++
	e.version, e.writtenAt = s.revision, now
	history := s.objects[key]
	for len(history) > 1 && now.Sub(history[1].writtenAt) > historyRetention {
		history = history[1:]
	}
	s.objects[key] = append(history, e)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// restore drops what was written after the given time. Later writes get the same
// revisions again.
func (s *store) restore(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = 0
	for key, entries := range s.objects {
		kept := slices.DeleteFunc(entries, func(e entry) bool { return e.writtenAt.After(at) })
		if len(kept) == 0 {
			delete(s.objects, key)
			continue
		}
		s.objects[key] = kept
		s.revision = max(s.revision, latest(kept).version)
	}
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// get returns the object's version at the given time.
func (s *store) get(at time.Time, key string) (entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := asOf(s.objects[key], at)
	if e.version == 0 || e.deleted {
		return entry{}, errNotFound
	}
	return e, nil
}

// list returns the objects whose keys have the prefix, as of the given time.
func (s *store) list(at time.Time, prefix string) listing {
	return s.collect(at, prefix, 0, false)
}

// changedSince returns the objects with the prefix that changed after revision,
// deleted ones included, as of the given time, and a channel that the next
// write closes. The channel is read before the objects, so that no write
// between the two is missed.
func (s *store) changedSince(at time.Time, prefix string, revision uint64) (listing, <-chan struct{}) {
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	return s.collect(at, prefix, revision, true), changed
}

func (s *store) collect(at time.Time, prefix string, after uint64, includeDeleted bool) listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := listing{Objects: []object{}}
	for key, entries := range s.objects {
		e := asOf(entries, at)
		result.Revision = max(result.Revision, e.version)
		if e.version <= after || !strings.HasPrefix(key, prefix) || (e.deleted && !includeDeleted) {
			continue
		}
		result.Objects = append(result.Objects, object{Key: key, Version: e.version, Value: e.value, Deleted: e.deleted})
	}
	sort.Slice(result.Objects, func(i, j int) bool { return result.Objects[i].Key < result.Objects[j].Key })
	return result
}

// stats returns the number of existing objects and the current revision.
func (s *store) stats() (objects int, revision uint64) {
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

// asOf returns the last version that was written at or before the given time,
// or a zero entry.
func asOf(entries []entry, at time.Time) entry {
	for i := len(entries) - 1; i >= 0; i-- {
		if !entries[i].writtenAt.After(at) {
			return entries[i]
		}
	}
	return entry{}
}
