package node

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// lineageSettle is how long the store must hold a lower version in a new era
	// before it replaces the one in force. An operator who writes again what the
	// store has lost may pass through versions that this node has skipped.
	lineageSettle = 2 * time.Second
	// maxSeenConfigurations is the number of configurations that are recognised
	// as former ones. Their hashes are exchanged with peers and take 8 bytes
	// each.
	maxSeenConfigurations = 64
)

// lineage orders the configurations that the store holds. Nodes follow the
// highest ordered version, which is the version that the operator states plus an
// offset.
//
// A store that comes back from an older copy holds a lower version than the one
// in force. If that configuration was in force before, the store is behind: the
// one in force stays, and the operator will write it again. If it is a new one,
// the operator goes on from the older copy; the offset is then raised, so that
// the new configuration and those after it are ordered above the one in force.
// The offset needs no agreement: it follows from the configuration in force,
// which carries both of its versions, and peers hand that on.
type lineage struct {
	mu sync.Mutex
	// ordered, stated and digest belong to the configuration in force.
	ordered, stated uint64
	digest          string
	// seen are the hashes of configurations that are or were in force, here or on
	// another node, newest last.
	seen []uint64
	// era is the highest era in which the store was seen to hold the
	// configuration in force or a newer one; 0 if none.
	era       uint64
	candidate candidate
}

// candidate is a new configuration with a lower version, from an era in which
// the store has not held the one in force.
type candidate struct {
	digest string
	era    uint64
	since  time.Time
}

// activated records that a configuration is in force. It reports whether the
// offset between ordered and stated versions has changed.
func (l *lineage) activated(ordered, stated uint64, digest string) (offsetChanged bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offsetChanged = l.ordered > 0 && ordered-stated != l.offset()
	l.ordered, l.stated, l.digest = ordered, stated, digest
	if hash := configurationHash(digest); !slices.Contains(l.seen, hash) {
		l.seen = append(l.seen, hash)
		l.seen = l.seen[max(0, len(l.seen)-maxSeenConfigurations):]
	}
	if l.candidate.digest == digest {
		l.era = max(l.era, l.candidate.era)
	}
	l.candidate = candidate{}
	return offsetChanged
}

func configurationHash(digest string) uint64 { return xxhash.Sum64String(digest) }

// former returns the hashes of the configurations that are or were in force.
func (l *lineage) former() []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.seen)
}

// learn adds configurations that a peer has or had in force. They count as
// older than the own ones: a process that started later than the peer has not
// seen them.
func (l *lineage) learn(former []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var unknown []uint64
	for _, hash := range former[max(0, len(former)-maxSeenConfigurations):] {
		if !slices.Contains(l.seen, hash) && !slices.Contains(unknown, hash) {
			unknown = append(unknown, hash)
		}
	}
	room := max(0, maxSeenConfigurations-len(l.seen))
	l.seen = append(unknown[max(0, len(unknown)-room):], l.seen...)
}

func (l *lineage) offset() uint64 { return l.ordered - l.stated }

// order returns the ordered version of a configuration that the store holds in
// the given era. ok is false while it is not decided: the version is that of the
// configuration in force, but the content is not.
func (l *lineage) order(stated uint64, digest string, era uint64, now time.Time) (ordered uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if stated > l.stated || digest == l.digest {
		l.era, l.candidate = max(l.era, era), candidate{}
		return stated + l.offset(), true
	}
	if l.era == 0 || era <= l.era || slices.Contains(l.seen, configurationHash(digest)) {
		l.candidate = candidate{}
		return stated + l.offset(), true
	}
	if l.candidate.digest != digest || l.candidate.era != era {
		l.candidate = candidate{digest: digest, era: era, since: now}
	}
	if now.Sub(l.candidate.since) >= lineageSettle {
		return l.ordered + 1, true
	}
	return stated + l.offset(), stated != l.stated
}

// decided reports whether the place of a configuration that the store holds
// among those that were in force is known: it is newer than the one in force, or
// it is or was in force itself. Any other may be newer although its version is
// lower, see lineage.
func (l *lineage) decided(ordered uint64, digest string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ordered > l.ordered || slices.Contains(l.seen, configurationHash(digest))
}

// due reports whether the store must be read again to decide about a
// configuration with a lower version.
func (l *lineage) due(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidate.digest != "" && now.Sub(l.candidate.since) >= lineageSettle
}
