package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// Duration is a time.Duration that is encoded as a string such as "250ms".
type Duration time.Duration

// MarshalText encodes d in the form that time.ParseDuration accepts.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText decodes the form that time.ParseDuration accepts. It returns an
// error for a negative duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: want a value such as 250ms", text)
	}
	if parsed < 0 {
		return fmt.Errorf("duration %q is negative", text)
	}
	*d = Duration(parsed)
	return nil
}

// validator is a set of fault switches that can check its own values.
type validator interface{ Validate() error }

// faultSwitches holds the fault switches of one stand-in. It is safe for
// concurrent use.
type faultSwitches[T validator] struct {
	mu    sync.RWMutex
	value T
	// onChange, if not nil, is called after each change, without holding mu. c
	// is nil when the change was not made over HTTP.
	onChange func(c echo.Context, old, current T)
}

func (s *faultSwitches[T]) get() T {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.value
}

func (s *faultSwitches[T]) set(c echo.Context, value T) error {
	if err := value.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	old := s.value
	s.value = value
	s.mu.Unlock()
	if s.onChange != nil {
		s.onChange(c, old, value)
	}
	return nil
}

// decode decodes the JSON form of all switches. Switches that are left out are
// off. Unknown names and data after the object are errors.
func (s *faultSwitches[T]) decode(raw []byte) (T, error) {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return value, fmt.Errorf("fault switches: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return value, errors.New("fault switches: more data after the JSON object")
	}
	return value, nil
}

// setJSON replaces all switches. raw has the form that PUT /control/faults
// accepts.
func (s *faultSwitches[T]) setJSON(c echo.Context, raw []byte) error {
	value, err := s.decode(raw)
	if err != nil {
		return err
	}
	return s.set(c, value)
}

// register adds the routes of the control calls, which read and replace the
// switches and read the counters.
func (s *faultSwitches[T]) register(e *echo.Echo, counters func() any) {
	e.GET("/control/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, s.get()) })
	e.GET("/control/calls", func(c echo.Context) error { return c.JSON(http.StatusOK, counters()) })
	e.PUT("/control/faults", func(c echo.Context) error {
		raw, err := io.ReadAll(io.LimitReader(c.Request().Body, 64<<10))
		if err != nil {
			return err
		}
		if err := s.setJSON(c, raw); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		return c.JSON(http.StatusOK, s.get())
	})
}

// checkFraction returns an error if the value is not between 0 and 1, or is
// NaN.
func checkFraction(name string, value float64) error {
	if !(value >= 0 && value <= 1) {
		return fmt.Errorf("%s is %v; want a fraction between 0 and 1", name, value)
	}
	return nil
}

// checkNotNegative returns an error if the value is below 0 or NaN.
func checkNotNegative(name string, value float64) error {
	if !(value >= 0) {
		return fmt.Errorf("%s is %v; want 0 or more", name, value)
	}
	return nil
}
