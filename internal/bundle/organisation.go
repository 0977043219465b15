package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// KeyHash is the SHA-256 of an API key. Bundles hold hashes only, so that
// neither a bundle nor a dump of a node's memory gives a key away. The lookup by
// hash leaks nothing about keys through its duration.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// shortHashBytes is the number of bytes by which operators tell keys apart.
const shortHashBytes = 4

// String returns the first bytes of the hash in hexadecimal, which identify the
// key in logs and in the output of siskinvalectl.
func (h KeyHash) String() string { return hex.EncodeToString(h[:shortHashBytes]) }

// MarshalText returns the whole hash in hexadecimal.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText accepts a SHA-256 in hexadecimal. The error does not repeat the
// text, which may be a key that was written instead of its hash.
func (h *KeyHash) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(h) {
		return fmt.Errorf("an API key is given by its SHA-256, %d hexadecimal digits", 2*len(h))
	}
	copy(h[:], decoded)
	return nil
}

// keyIndex finds organisations by the first half of the hashes of their keys;
// the other half would double the memory of a million keys and adds no
// protection.
type keyIndex map[[sha256.Size / 2]byte]int32

func (h KeyHash) indexed() [sha256.Size / 2]byte { return [sha256.Size / 2]byte(h[:]) }

func newKeyIndex(named []NamedLimit) keyIndex {
	keys := 0
	for i := range named {
		keys += len(named[i].Keys)
	}
	index := make(keyIndex, keys)
	for i := range named {
		for _, h := range named[i].Keys {
			index[h.indexed()] = int32(i)
		}
	}
	return index
}

// Organisation returns the organisation that holds the given API key, or nil if
// there is none. It must be called only on a bundle that Parse or NewHostRouted
// returned.
func (b *Bundle) Organisation(key string) *NamedLimit {
	if i, ok := b.index.keys[HashKey(key).indexed()]; ok {
		return &b.Tenants.Named[i]
	}
	return nil
}

// Ranks that are told apart where organisations have ranks. Together they fill
// the range of fleet.Rank.
const (
	classRanks        = 8
	organisationRanks = 256 / classRanks
)

// Priority returns the priority of an organisation's requests of a class.
// organisation is nil for requests that belong to none. If the bundle ranks
// organisations, their rank takes precedence, and the rank of the class orders
// requests of equally ranked ones; the class also stands in for the rank of a
// missing organisation. Priority must be called only on a bundle that Parse or
// NewHostRouted returned.
func (b *Bundle) Priority(organisation *NamedLimit, class *Class) fleet.Priority {
	if !b.index.ranked {
		return class.Priority
	}
	classRank := min(class.Priority.Rank(), classRanks-1)
	rank := classRank
	if organisation != nil && organisation.Rank != nil {
		rank = min(*organisation.Rank, organisationRanks-1)
	}
	return (rank*classRanks + classRank).Priority()
}

// Named returns the organisation with the given name, or nil if the bundle does
// not name it. It must be called only on a bundle that Parse or NewHostRouted
// returned.
func (b *Bundle) Named(organisation string) *NamedLimit {
	if i, ok := b.index.organisations[organisation]; ok {
		return &b.Tenants.Named[i]
	}
	return nil
}

// Quota returns the quota of an organisation, the zero Quota if it has none. It
// must be called only on a bundle that Parse or NewHostRouted returned.
func (b *Bundle) Quota(organisation string) Quota {
	if i, ok := b.index.organisations[organisation]; ok {
		return b.Tenants.Named[i].Quota
	}
	return Quota{}
}
