package fleet

import (
	"fmt"
	"math"
)

// Rank orders requests that compete for room; 0 is the most urgent.
type Rank uint8

// Priority is a rank on a scale that ascends with urgency. Its zero value is
// Background, so that a class without a stated rank is not the most urgent.
type Priority int16

const (
	// Background work may wait for interactive work, but is never starved.
	Background Priority = iota
	// Interactive work has a person waiting for it.
	Interactive
)

// backgroundRank is the rank of Background.
const backgroundRank = 2

// Priority returns the priority of the rank.
func (r Rank) Priority() Priority { return backgroundRank - Priority(r) }

// Rank returns the rank of the priority.
func (p Priority) Rank() Rank { return Rank(min(max(backgroundRank-p, 0), math.MaxUint8)) }

// Length separates requests that hold a slot for the usual time from those that
// hold a slot many times longer.
type Length uint8

const (
	// Short requests hold a slot for the usual time.
	Short Length = iota
	// Long requests, such as full packs or serial histories, hold a slot 50 to
	// 100 times as long as a short request.
	Long
)

func (p Priority) String() string {
	switch p {
	case Background:
		return "background"
	case Interactive:
		return "interactive"
	default:
		return fmt.Sprintf("rank %d", p.Rank())
	}
}

func (l Length) String() string {
	if l == Long {
		return "long"
	}
	return "short"
}

// MarshalText returns the name used in bundles, and an error for a rank without
// a name.
func (p Priority) MarshalText() ([]byte, error) {
	if p != Interactive && p != Background {
		return nil, fmt.Errorf("%s has no name in bundles", p)
	}
	return []byte(p.String()), nil
}

// MarshalText returns the name used in bundles.
func (l Length) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText accepts "interactive" and "background", and returns an error
// for any other text.
func (p *Priority) UnmarshalText(text []byte) error {
	switch string(text) {
	case "interactive":
		*p = Interactive
	case "background":
		*p = Background
	default:
		return fmt.Errorf("unknown priority %q: want interactive or background", text)
	}
	return nil
}

// UnmarshalText accepts "short" and "long", and returns an error for any other
// text.
func (l *Length) UnmarshalText(text []byte) error {
	switch string(text) {
	case "short":
		*l = Short
	case "long":
		*l = Long
	default:
		return fmt.Errorf("unknown length %q: want short or long", text)
	}
	return nil
}
