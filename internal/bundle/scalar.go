package bundle

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as text such as "1.5s".
type Duration time.Duration

// AsDuration returns d as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// String returns the form that UnmarshalText accepts.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText returns the text form used in bundles.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText accepts the forms of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("invalid duration %q: want a number with a unit, such as 1.5s or 200ms", text)
	}
	*d = Duration(parsed)
	return nil
}

// KeyRule states whether requests of a class carry an Idempotency-Key.
type KeyRule uint8

const (
	// KeyNone means that a key is ignored.
	KeyNone KeyRule = iota
	// KeyOptional means that a key is honoured if the request has one.
	KeyOptional
	// KeyRequired means that a request without a key is refused.
	KeyRequired
)

var keyRuleNames = [...]string{KeyNone: "none", KeyOptional: "optional", KeyRequired: "required"}

func (r KeyRule) String() string {
	if int(r) < len(keyRuleNames) {
		return keyRuleNames[r]
	}
	return fmt.Sprintf("keyRule(%d)", uint8(r))
}

// MarshalText returns the name used in bundles.
func (r KeyRule) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText accepts "required", "optional" and "none".
func (r *KeyRule) UnmarshalText(text []byte) error {
	for rule, name := range keyRuleNames {
		if name == string(text) {
			*r = KeyRule(rule)
			return nil
		}
	}
	return fmt.Errorf("unknown idempotencyKey rule %q: want required, optional or none", text)
}
