package standin

import (
	"errors"
	"fmt"
)

// TargetFaults are the fault switches of a target stand-in.
type TargetFaults struct {
	// StallFraction is the share of work that is accepted, holds its slot and
	// is never answered, while /healthz stays fine.
	StallFraction float64 `json:"stallFraction"`
	// SlowFactor multiplies work times; 0 means 1.
	SlowFactor float64 `json:"slowFactor"`
	// ErrorFraction is the share of work that runs and is answered with 500.
	ErrorFraction float64 `json:"errorFraction"`
	// ShedFraction is the share of work that is refused with 503 at once,
	// before it runs.
	ShedFraction float64 `json:"shedFraction"`
	// CutFraction is the share of work whose answer breaks in the middle of
	// its body.
	CutFraction float64 `json:"cutFraction"`
	// FlapPeriod alternates between serving and stalling all new work, each
	// for this long, starting with stalling.
	FlapPeriod Duration `json:"flapPeriod"`
	// ColdFor makes work slower for this long after the switch was set or the
	// target started: ten times slower at first, falling to the usual time.
	ColdFor Duration `json:"coldFor"`
	// Healthz replaces what GET /healthz says: "ok" or "failing".
	Healthz string `json:"healthz"`
	// Load replaces what GET /load says: "idle" or "full".
	Load string `json:"load"`
	// SilentConnections stops serving the connections that are open when the
	// switch is set, without closing them; new ones work.
	SilentConnections bool `json:"silentConnections"`
}

// coldFactor is how many times slower a target is right after a cold start.
const coldFactor = 10

// Validate checks the values.
func (f TargetFaults) Validate() error {
	return errors.Join(
		fraction("stallFraction", f.StallFraction),
		notNegative("slowFactor", f.SlowFactor),
		fraction("errorFraction", f.ErrorFraction),
		fraction("shedFraction", f.ShedFraction),
		fraction("cutFraction", f.CutFraction),
		oneOf("healthz", f.Healthz, "ok", "failing"),
		oneOf("load", f.Load, "idle", "full"))
}

func oneOf(name, value string, allowed ...string) error {
	if value == "" {
		return nil
	}
	for _, a := range allowed {
		if value == a {
			return nil
		}
	}
	return fmt.Errorf("%s is %q; want one of %q or nothing", name, value, allowed)
}
