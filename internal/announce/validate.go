package announce

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Limits of the slots and the TTL of an announcement.
const (
	MaxSlots = 1024
	MinTTL   = time.Second
	MaxTTL   = 60 * time.Second
)

var (
	// ErrUnknownTarget means that the node has no announcement of the target.
	ErrUnknownTarget = errors.New("target is not announced at this node")
	// ErrStale means that an announcement is older than the known state of the
	// target, or that the target has left.
	ErrStale = errors.New("the announcement is older than what is known of the target")
	// ErrTooMany means that MaxLocal or MaxTargets is reached.
	ErrTooMany = errors.New("too many targets")
	// ErrDuplicate means that another node announces a target with the same
	// identifier.
	ErrDuplicate = errors.New("target identifier is announced by two nodes")
)

// FieldError reports an invalid field of an announcement or record.
type FieldError struct {
	Field, Message string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Message }

// serviceName matches the name of a service. It must be a DNS label because the
// service can be the first label of the Host header.
var serviceName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// identifier matches target and node identifiers. All of its characters may be
// used in paths and keys.
var identifier = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Validate checks the announcement of a target. It returns all invalid fields
// as joined errors of type *FieldError.
func Validate(t fleet.Target, ttl time.Duration) error {
	var errs []error
	if ttl < MinTTL || ttl > MaxTTL {
		errs = append(errs, &FieldError{"ttl", fmt.Sprintf("%v is outside %v to %v", ttl, MinTTL, MaxTTL)})
	}
	return errors.Join(append([]error{validateTarget(t)}, errs...)...)
}

func validateTarget(t fleet.Target) error {
	var errs []error
	report := func(field, format string, args ...any) {
		errs = append(errs, &FieldError{field, fmt.Sprintf(format, args...)})
	}
	if !identifier.MatchString(string(t.ID)) {
		report("id", "%q is not 1 to 128 letters, digits, dots, underscores or hyphens", truncate(string(t.ID)))
	}
	if !serviceName.MatchString(t.Service) {
		report("service", "%q is not a DNS label (lower-case letters, digits and hyphens, at most 63)", truncate(t.Service))
	}
	if addr, err := netip.ParseAddrPort(t.Addr); err != nil || addr.Port() == 0 {
		report("address", "%q is not a numeric ip:port", truncate(t.Addr))
	}
	if t.Slots < 1 || t.Slots > MaxSlots {
		report("slots", "%d is outside 1 to %d", t.Slots, MaxSlots)
	}
	return errors.Join(errs...)
}

// validateRecord checks a record from another node.
func validateRecord(t fleet.Target) error {
	if !identifier.MatchString(string(t.Node)) {
		return &FieldError{"node", fmt.Sprintf("%q is not an identifier", truncate(string(t.Node)))}
	}
	if len(t.DataCentre) > 128 {
		return &FieldError{"data_centre", "is longer than 128 bytes"}
	}
	return validateTarget(t)
}

// truncate shortens a value to 80 bytes for an error message.
func truncate(s string) string {
	if len(s) > 80 {
		return s[:80] + "..."
	}
	return s
}
