package standin

import (
	"errors"
	"fmt"
)

// TargetFaults are the fault switches of a target stand-in.
type TargetFaults struct {
	// StallFraction is the fraction of requests that are accepted, hold their
	// slots and are never answered. The switch does not affect /healthz.
	StallFraction float64 `json:"stallFraction"`
	// SlowFactor multiplies run times; 0 means 1.
	SlowFactor float64 `json:"slowFactor"`
	// ErrorFraction is the fraction of requests that run and are answered with
	// 500.
	ErrorFraction float64 `json:"errorFraction"`
	// ShedFraction is the fraction of requests that are refused with 503 at
	// once and do not run.
	ShedFraction float64 `json:"shedFraction"`
	// CutFraction is the fraction of requests whose answer is cut off in the
	// middle of its body, by closing the connection or resetting the stream.
	CutFraction float64 `json:"cutFraction"`
	// FlapPeriod makes the target alternate between stalling and serving all
	// new requests, each for this long, starting with stalling.
	FlapPeriod Duration `json:"flapPeriod"`
	// ColdFor makes requests run longer for this long after the switches were
	// set or the target started: ten times the usual run time at first, falling
	// linearly to the usual run time.
	ColdFor Duration `json:"coldFor"`
	// Healthz replaces the answer of GET /healthz: "ok" or "failing".
	Healthz string `json:"healthz"`
	// Load replaces the answer of GET /load: "idle" or "full".
	Load string `json:"load"`
	// SilentConnections stops serving the connections that are open when the
	// switch is set, without closing them. New connections work.
	SilentConnections bool `json:"silentConnections"`
	// RateLimit makes the target state in all answers that it accepts this many
	// requests per second from all nodes together; 0 states no limit. It serves
	// requests beyond the limit as well.
	RateLimit float64 `json:"rateLimit"`
	// Leaving makes the target state in all answers that it is about to stop.
	Leaving bool `json:"leaving"`
}

// coldStartFactor is the run time right after a cold start as a multiple of the
// usual run time.
const coldStartFactor = 10

// Validate returns an error that names each switch with an invalid value.
func (f TargetFaults) Validate() error {
	return errors.Join(
		checkFraction("stallFraction", f.StallFraction),
		checkNotNegative("slowFactor", f.SlowFactor),
		checkFraction("errorFraction", f.ErrorFraction),
		checkFraction("shedFraction", f.ShedFraction),
		checkFraction("cutFraction", f.CutFraction),
		checkOneOf("healthz", f.Healthz, "ok", "failing"),
		checkOneOf("load", f.Load, "idle", "full"))
}

// checkOneOf returns an error if the value is neither empty nor allowed.
func checkOneOf(name, value string, allowed ...string) error {
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
