package operation

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Key identifies one operation of one tenant.
type Key struct {
	Service, Tenant, Value string
}

// Created returns the creation time that the key carries as a UUIDv7 (RFC
// 9562), in milliseconds. It reports false for a key that is not a UUIDv7.
func (k Key) Created() (time.Time, bool) {
	// uuid.Parse also accepts other notations; each operation must have exactly
	// one spelling of its key.
	if len(k.Value) != 36 {
		return time.Time{}, false
	}
	id, err := uuid.Parse(k.Value)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// Range returns the index of the key's range, 0 to ranges-1.
func (k Key) Range(ranges int) int {
	if ranges <= 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	// A zero byte after each part separates keys whose parts form the same
	// string when they are joined.
	for _, part := range [...]string{k.Service, k.Tenant, k.Value} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return int(d.Sum64() % uint64(ranges))
}
