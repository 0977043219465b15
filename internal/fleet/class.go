package fleet

import "fmt"

// Priority orders the requests of different classes at a target.
type Priority uint8

const (
	// Background work may wait for interactive work, but is never starved.
	Background Priority = iota
	// Interactive work has a person waiting for it.
	Interactive
)

// Rank orders requests that compete for room; 0 is the most urgent.
type Rank uint8

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
	if p == Interactive {
		return "interactive"
	}
	return "background"
}

func (l Length) String() string {
	if l == Long {
		return "long"
	}
	return "short"
}

// MarshalText returns the name used in bundles.
func (p Priority) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

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
