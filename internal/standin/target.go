package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"
)

const (
	// DefaultSlots is the number of requests that a target runs at once unless
	// TargetConfig.Slots is set. Targets have this number of slots in both
	// deployments.
	DefaultSlots = 4
	// minStreamedBytes is the body size from which an answer is sent in chunks
	// over the second half of its run time. A smaller answer is sent at the end
	// of the run time, with a Content-Length.
	minStreamedBytes = 64 << 10
	chunkBytes       = 32 << 10
	// arrivalWindow is the span in which arriving requests are counted for
	// TargetCalls.MostInWindow.
	arrivalWindow = 4 * time.Second
)

// Errors of requests that end without a complete answer.
var (
	errStalled   = errors.New("stalled")
	errAnswerCut = errors.New("answer cut")
)

// PrefixValue is a value for the paths with a prefix.
type PrefixValue[T any] struct {
	Prefix string
	Value  T
}

// longestPrefixValue returns the value of the longest prefix that path has, or
// fallback if it has none.
func longestPrefixValue[T any](values []PrefixValue[T], path string, fallback T) T {
	bestLength := -1
	for _, v := range values {
		if strings.HasPrefix(path, v.Prefix) && len(v.Prefix) > bestLength {
			bestLength, fallback = len(v.Prefix), v.Value
		}
	}
	return fallback
}

// TargetConfig configures a target stand-in. Unlike the fault switches it does
// not change while the stand-in runs.
type TargetConfig struct {
	ID      string
	Service string
	Slots   int
	// RunTime is the run time of a request. RunTimeByPrefix replaces it for
	// paths with a prefix; the longest prefix applies.
	RunTime         time.Duration
	RunTimeByPrefix []PrefixValue[time.Duration]
	// BodyBytes is the size of an answer's body in bytes, 0 for one line.
	// BodyBytesByPrefix replaces it for paths with a prefix; the longest prefix
	// applies.
	BodyBytes         int
	BodyBytesByPrefix []PrefixValue[int]
	Seed              uint64
	Log               logrus.FieldLogger
}

// TargetCalls are the counters of the target stand-in.
type TargetCalls struct {
	Requests   int64 `json:"requests"`
	Started    int64 `json:"started"`
	Completed  int64 `json:"completed"`
	Cancelled  int64 `json:"cancelled"`
	Shed       int64 `json:"shed"`
	Stalled    int64 `json:"stalled"`
	Cut        int64 `json:"cut"`
	InFlight   int64 `json:"inFlight"`
	Probes     int64 `json:"probes"`
	RunsNow    int   `json:"runsNow"`
	MostAtOnce int64 `json:"mostAtOnce"`
	// MostInWindow is the largest number of requests that arrived within
	// arrivalWindow since the fault switches were last set.
	MostInWindow int `json:"mostInWindow"`
}

// Target is the stand-in for a target. It simulates the run of requests to any
// path.
type Target struct {
	cfg        TargetConfig
	faults     faultSwitches[TargetFaults]
	sampler    *faultSampler
	slots      chan struct{}
	operations operationLog
	listener   atomic.Pointer[silentListener]
	draining   atomic.Bool
	inFlight   atomic.Int64

	mu          sync.Mutex
	faultsSetAt time.Time // when the fault switches were last set, or the start
	calls       TargetCalls
	// arrivals are the times of the requests within the last arrivalWindow,
	// oldest first.
	arrivals   []time.Time
	httpRouter *echo.Echo
}

// NewTarget returns a target stand-in.
func NewTarget(cfg TargetConfig) *Target {
	if cfg.Slots <= 0 {
		cfg.Slots = DefaultSlots
	}
	t := &Target{cfg: cfg, sampler: newFaultSampler(cfg.Seed), slots: make(chan struct{}, cfg.Slots), faultsSetAt: time.Now()}
	t.faults.onChange = t.faultsChanged
	e := newRouter()
	t.faults.register(e, func() any { return t.Calls() })
	e.GET("/control/operations", func(c echo.Context) error { return c.JSON(http.StatusOK, t.operations.list()) })
	e.GET("/healthz", t.healthz)
	e.GET("/load", t.load)
	e.Any("/*", t.handleRequest)
	t.httpRouter = e
	return t
}

// ServeHTTP serves /healthz, /load, the control calls and simulated requests to
// all other paths.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.httpRouter.ServeHTTP(w, r) }

// SetFaults replaces the fault switches.
func (t *Target) SetFaults(f TargetFaults) error { return t.faults.set(nil, f) }

// SetFaultsJSON replaces the fault switches from their JSON form.
func (t *Target) SetFaultsJSON(raw string) error { return t.faults.setJSON(nil, []byte(raw)) }

// Operations returns the log of the operations that were started, oldest first.
func (t *Target) Operations() []Operation { return t.operations.list() }

// Calls returns the counters.
func (t *Target) Calls() TargetCalls {
	t.mu.Lock()
	calls := t.calls
	t.mu.Unlock()
	calls.InFlight, calls.RunsNow = t.inFlight.Load(), len(t.slots)
	return calls
}

func (t *Target) count(add func(*TargetCalls)) {
	t.mu.Lock()
	add(&t.calls)
	t.mu.Unlock()
}

// recordArrival updates TargetCalls.MostInWindow.
func (t *Target) recordArrival(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.arrivals) > 0 && now.Sub(t.arrivals[0]) >= arrivalWindow {
		t.arrivals = t.arrivals[1:]
	}
	t.arrivals = append(t.arrivals, now)
	t.calls.MostInWindow = max(t.calls.MostInWindow, len(t.arrivals))
}

func (t *Target) faultsChanged(c echo.Context, old, current TargetFaults) {
	t.mu.Lock()
	t.faultsSetAt = time.Now()
	t.arrivals, t.calls.MostInWindow = nil, 0
	t.mu.Unlock()
	log := t.cfg.Log.WithFields(logrus.Fields{"old": fmt.Sprintf("%+v", old), "new": fmt.Sprintf("%+v", current)})
	if l := t.listener.Load(); l != nil && current.SilentConnections {
		var except net.Conn
		if c != nil {
			except = connFromContext(c.Request().Context())
		}
		log = log.WithField("silenced", l.silence(except))
	}
	log.Info("fault switches changed")
}

func (t *Target) healthz(c echo.Context) error {
	t.count(func(n *TargetCalls) { n.Probes++ })
	ok := !t.draining.Load()
	if override := t.faults.get().Healthz; override != "" {
		ok = override == "ok"
	}
	if !ok {
		return c.String(http.StatusServiceUnavailable, "failing\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

// LoadReport is the answer to GET /load.
type LoadReport struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

func (t *Target) load(c echo.Context) error {
	report := LoadReport{Slots: t.cfg.Slots, Running: len(t.slots)}
	report.Waiting = max(0, int(t.inFlight.Load())-report.Running)
	switch t.faults.get().Load {
	case "idle":
		report.Running, report.Waiting = 0, 0
	case "full":
		report.Running, report.Waiting = t.cfg.Slots, 10*t.cfg.Slots
	}
	return c.JSON(http.StatusOK, report)
}

// handleRequest waits for a slot, simulates the run of one request and answers
// the request.
func (t *Target) handleRequest(c echo.Context) error {
	c.Response().Header().Set("Siskinvale-Request-Id", c.Request().Header.Get("Siskinvale-Request-Id"))
	t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	t.count(func(n *TargetCalls) { n.Requests++ })
	t.recordArrival(time.Now())
	faults := t.faults.get()
	if faults.RateLimit > 0 {
		c.Response().Header().Set("Siskinvale-Rate-Limit", strconv.FormatFloat(faults.RateLimit, 'g', -1, 64))
	}
	if faults.Leaving {
		c.Response().Header().Set("Siskinvale-Leaving", "1")
	}
	if t.sampler.selects(faults.ShedFraction) {
		t.count(func(n *TargetCalls) { n.Shed++ })
		c.Response().Header().Set("Retry-After", "1")
		return c.String(http.StatusServiceUnavailable, "shed\n")
	}
	request := c.Request()
	hash := xxhash.New()
	if _, err := io.Copy(hash, request.Body); err != nil {
		return c.String(http.StatusBadRequest, "the request's body broke\n")
	}
	ctx, cancel, err := contextWithTimeout(request)
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	defer cancel()
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-ctx.Done():
		t.count(func(n *TargetCalls) { n.Cancelled++ })
		return c.String(http.StatusGatewayTimeout, "cancelled before it ran\n")
	}
	return t.runInSlot(c, ctx, faults, hash.Sum64())
}

// runInSlot records the operation, runs it and answers the request. The caller
// holds a slot.
func (t *Target) runInSlot(c echo.Context, ctx context.Context, faults TargetFaults, hash uint64) error {
	request := c.Request()
	key := request.Header.Get("Idempotency-Key")
	op := t.operations.start(Operation{
		Key: key, RequestID: request.Header.Get("Siskinvale-Request-Id"),
		Method: request.Method, Path: request.URL.Path, StartedAt: time.Now(),
	})
	t.count(func(n *TargetCalls) { n.Started++; n.MostAtOnce = max(n.MostAtOnce, int64(len(t.slots))) })
	answer := newPatternReader(bodyPattern(request.Method, request.URL.RequestURI(), key, hash),
		longestPrefixValue(t.cfg.BodyBytesByPrefix, request.URL.Path, t.cfg.BodyBytes))
	err := t.runAndAnswer(c, ctx, faults, answer)
	t.operations.finish(op, time.Now(), err == nil || errors.Is(err, errAnswerCut))
	switch {
	case err == nil:
		t.count(func(n *TargetCalls) { n.Completed++ })
		return nil
	case errors.Is(err, errAnswerCut):
		t.count(func(n *TargetCalls) { n.Cut++ })
		panic(http.ErrAbortHandler)
	default:
		t.count(func(n *TargetCalls) { n.Cancelled++ })
		if c.Response().Committed || errors.Is(err, errStalled) {
			panic(http.ErrAbortHandler)
		}
		return c.String(http.StatusGatewayTimeout, "cancelled while it ran\n")
	}
}

// runAndAnswer simulates the run of a request with its faults and sends the
// answer.
func (t *Target) runAndAnswer(c echo.Context, ctx context.Context, faults TargetFaults, body *patternReader) error {
	if t.shouldStall(faults, time.Now()) {
		t.count(func(n *TargetCalls) { n.Stalled++ })
		<-c.Request().Context().Done() // a stalled target ignores the request's deadline
		return errStalled
	}
	runTime := t.runTime(faults, c.Request().URL.Path, time.Now())
	if t.sampler.selects(faults.ErrorFraction) {
		if !sleep(ctx, runTime) {
			return ctx.Err()
		}
		return c.String(http.StatusInternalServerError, "error by fault switch\n")
	}
	header := c.Response().Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Siskinvale-Standin-Target", t.cfg.ID)
	cutAt := -1
	if t.sampler.selects(faults.CutFraction) {
		cutAt = body.size / 2
	}
	streaming := body.size >= minStreamedBytes
	beforeHeader, perChunk := runTime, time.Duration(0)
	if streaming {
		beforeHeader, perChunk = runTime/2, runTime/2/time.Duration(body.size/chunkBytes)
	} else {
		header.Set("Content-Length", strconv.Itoa(body.size))
	}
	if !sleep(ctx, beforeHeader) {
		return ctx.Err()
	}
	return sendBody(ctx, c.Response(), body, cutAt, perChunk)
}

// sendBody sends the answer, or only its first cutAt bytes if cutAt is not
// negative. It waits for perChunk after each chunk.
func sendBody(ctx context.Context, w *echo.Response, body *patternReader, cutAt int, perChunk time.Duration) error {
	w.WriteHeader(http.StatusOK)
	chunk := make([]byte, min(chunkBytes, body.size))
	for {
		at := body.offset
		n, err := body.Read(chunk)
		if err != nil {
			return nil
		}
		if cutAt >= 0 && at+n > cutAt {
			w.Write(chunk[:cutAt-at])
			w.Flush()
			return errAnswerCut
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return fmt.Errorf("send answer: %w", err)
		}
		if perChunk > 0 && !sleep(ctx, perChunk) {
			return ctx.Err()
		}
	}
}

// shouldStall reports whether a request that starts to run now is to be left
// without an answer.
func (t *Target) shouldStall(faults TargetFaults, now time.Time) bool {
	if period := time.Duration(faults.FlapPeriod); period > 0 {
		t.mu.Lock()
		sinceSet := now.Sub(t.faultsSetAt)
		t.mu.Unlock()
		if (sinceSet/period)%2 == 0 {
			return true
		}
	}
	return t.sampler.selects(faults.StallFraction)
}

// runTime returns the run time of a request with the given path, with the
// SlowFactor and ColdFor faults applied.
func (t *Target) runTime(faults TargetFaults, path string, now time.Time) time.Duration {
	factor := 1.0
	if faults.SlowFactor > 0 {
		factor = faults.SlowFactor
	}
	t.mu.Lock()
	sinceSet := now.Sub(t.faultsSetAt)
	t.mu.Unlock()
	if coldPeriod := time.Duration(faults.ColdFor); sinceSet < coldPeriod {
		factor *= 1 + (coldStartFactor-1)*(1-float64(sinceSet)/float64(coldPeriod))
	}
	return time.Duration(factor * float64(longestPrefixValue(t.cfg.RunTimeByPrefix, path, t.cfg.RunTime)))
}

// contextWithTimeout returns the request's context, limited by the
// Siskinvale-Timeout header if the request has one.
func contextWithTimeout(r *http.Request) (context.Context, context.CancelFunc, error) {
	raw := r.Header.Get("Siskinvale-Timeout")
	if raw == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	timeout, err := time.ParseDuration(raw)
	if err != nil {
		return nil, nil, fmt.Errorf("Siskinvale-Timeout %q: want a duration such as 1500ms", raw)
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	return ctx, cancel, nil
}

// Serve announces the target with a, if a is not nil, and serves on l until ctx
// ends. It then drains: it notifies the node, waits for at most longestDrain
// until no request is in flight, removes the target from the node and stops the
// server.
func (t *Target) Serve(ctx context.Context, l net.Listener, a *Announcer, longestDrain time.Duration) error {
	listener := newSilentListener(l)
	t.listener.Store(listener)
	server := newServer(t)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	if a != nil {
		a.Start()
	}
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	t.draining.Store(true)
	if a != nil {
		a.Drain()
	}
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), longestDrain)
	defer cancel()
	t.waitUntilIdle(drainCtx)
	if a != nil {
		a.Stop()
	}
	return stopServer(server)
}

// waitUntilIdle waits until no request has been in flight for idlePolls polls
// in a row, or until ctx ends.
func (t *Target) waitUntilIdle(ctx context.Context) {
	const (
		pollInterval = 10 * time.Millisecond
		idlePolls    = 10 // covers requests that were under way when draining began
	)
	for idle := 0; idle < idlePolls; {
		if !sleep(ctx, pollInterval) {
			t.cfg.Log.WithField("inFlight", t.inFlight.Load()).Error("longest drain wait is over; requests still in flight are cut off")
			return
		}
		if idle++; t.inFlight.Load() > 0 {
			idle = 0
		}
	}
}
