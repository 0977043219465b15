package announce

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// maxBody is the maximum size of an announcement's body in bytes.
const maxBody = 4 << 10

// LocalTargets passes events of this node's targets to the Registry. Each
// method returns when the registry has handled the event. Errors are those of
// this package or of the context.
type LocalTargets interface {
	Announce(ctx context.Context, t fleet.Target, ttl time.Duration) error
	Drain(ctx context.Context, id fleet.TargetID) error
	Remove(ctx context.Context, id fleet.TargetID) error
	// AnnounceNumbered handles an announcement of a target that reports its
	// start time and numbers its announcements.
	AnnounceNumbered(ctx context.Context, ev LocalAnnounced) error
	// Leave handles the report of a target that it has left.
	Leave(ctx context.Context, ev LocalLeft) error
}

// announcement is the JSON body of PUT /v1/targets/{id}.
type announcement struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	TTL     string `json:"ttl"` // Go duration, for example "10s"
}

// problem is an RFC 9457 problem document. Errors has an entry for each invalid
// field.
type problem struct {
	Type   string         `json:"type"`
	Title  string         `json:"title"`
	Status int            `json:"status"`
	Detail string         `json:"detail,omitempty"`
	Errors []fieldProblem `json:"errors,omitempty"`
}

type fieldProblem struct {
	Field  string `json:"field"`
	Detail string `json:"detail"`
}

// Routes adds the HTTP interface for targets to e.
func Routes(e *echo.Echo, local LocalTargets) {
	h := handler{local}
	e.PUT("/v1/targets/:id", h.announce)
	e.POST("/v1/targets/:id/drain", h.drain)
	e.DELETE("/v1/targets/:id", h.remove)
}

type handler struct{ local LocalTargets }

func (h handler) announce(c echo.Context) error {
	target, ttl, err := parse(c)
	if err == nil {
		err = Validate(target, ttl)
	}
	if err == nil {
		err = h.local.Announce(c.Request().Context(), target, ttl)
	}
	return reply(c, err)
}

func (h handler) drain(c echo.Context) error {
	return reply(c, h.local.Drain(c.Request().Context(), fleet.TargetID(c.Param("id"))))
}

func (h handler) remove(c echo.Context) error {
	return reply(c, h.local.Remove(c.Request().Context(), fleet.TargetID(c.Param("id"))))
}

// parse reads an announcement from the request. Unknown JSON members are
// ignored so that targets may be newer than the node.
func parse(c echo.Context) (fleet.Target, time.Duration, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
	if err != nil {
		return fleet.Target{}, 0, &FieldError{"body", err.Error()}
	}
	var a announcement
	if err := json.Unmarshal(body, &a); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) && typeError.Field != "" {
			return fleet.Target{}, 0, &FieldError{typeError.Field, "wrong JSON type: " + typeError.Value}
		}
		return fleet.Target{}, 0, &FieldError{"body", err.Error()}
	}
	ttl, err := time.ParseDuration(a.TTL)
	if err != nil {
		return fleet.Target{}, 0, &FieldError{"ttl", err.Error()}
	}
	return fleet.Target{
		ID: fleet.TargetID(c.Param("id")), Service: a.Service, Addr: a.Address, Slots: a.Slots,
	}, ttl, nil
}

func reply(c echo.Context, err error) error {
	p := problem{Type: "about:blank", Status: http.StatusInternalServerError}
	switch {
	case err == nil:
		return c.NoContent(http.StatusNoContent)
	case len(fieldErrors(err)) > 0:
		p.Status = http.StatusBadRequest
		for _, f := range fieldErrors(err) {
			p.Errors = append(p.Errors, fieldProblem{f.Field, f.Message})
		}
	case errors.Is(err, ErrUnknownTarget):
		p.Status = http.StatusNotFound
	case errors.Is(err, ErrTooMany):
		p.Status = http.StatusTooManyRequests
	case errors.Is(err, ErrDuplicate):
		p.Status = http.StatusConflict
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		p.Status = http.StatusServiceUnavailable
	}
	p.Title, p.Detail = http.StatusText(p.Status), err.Error()
	c.Response().Header().Set(echo.HeaderContentType, "application/problem+json")
	c.Response().WriteHeader(p.Status)
	return json.NewEncoder(c.Response()).Encode(p)
}

// fieldErrors collects the field errors in a tree of joined errors.
func fieldErrors(err error) []*FieldError {
	switch e := err.(type) {
	case *FieldError:
		return []*FieldError{e}
	case interface{ Unwrap() []error }:
		var found []*FieldError
		for _, part := range e.Unwrap() {
			found = append(found, fieldErrors(part)...)
		}
		return found
	}
	return nil
}
