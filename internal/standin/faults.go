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

// Duration is a time.Duration that JSON writes as a string such as "250ms".
type Duration time.Duration

// MarshalText writes the form that time.ParseDuration reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText accepts what time.ParseDuration accepts, but no negative value.
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

// switches holds the fault switches of one stand-in. It is safe for concurrent
// use.
type switches[T validator] struct {
	mu    sync.RWMutex
	value T
	// changed is called without the lock after each change; c is nil when the
	// change did not come over HTTP.
	changed func(c echo.Context, old, current T)
}

func (s *switches[T]) get() T {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.value
}

func (s *switches[T]) set(c echo.Context, value T) error {
	if err := value.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	old := s.value
	s.value = value
	s.mu.Unlock()
	if s.changed != nil {
		s.changed(c, old, value)
	}
	return nil
}

// decode reads a complete set of switches. Switches that are left out are off.
func (s *switches[T]) decode(raw []byte) (T, error) {
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

// setJSON sets the switches from the form that PUT /control/faults takes.
func (s *switches[T]) setJSON(c echo.Context, raw []byte) error {
	value, err := s.decode(raw)
	if err != nil {
		return err
	}
	return s.set(c, value)
}

// register adds the control calls: the switches and the counters.
func (s *switches[T]) register(e *echo.Echo, counters func() any) {
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

// fraction checks that a switch is a share between 0 and 1.
func fraction(name string, value float64) error {
	if !(value >= 0 && value <= 1) {
		return fmt.Errorf("%s is %v; want a fraction between 0 and 1", name, value)
	}
	return nil
}

func notNegative(name string, value float64) error {
	if !(value >= 0) {
		return fmt.Errorf("%s is %v; want 0 or more", name, value)
	}
	return nil
}
