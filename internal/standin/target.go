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
	// DefaultSlots is how much work a server of either deployment runs at
	// once.
	DefaultSlots = 4
	// streamFrom is the body size in bytes from which an answer is sent in
	// chunks over its work time instead of with a Content-Length at the end.
	streamFrom = 64 << 10
	chunkSize  = 32 << 10
)

// Errors that end work without an answer.
var (
	errStalled = errors.New("stalled")
	errCut     = errors.New("answer cut")
)

// PathValue gives a value to paths with a prefix.
type PathValue[T any] struct {
	Prefix string
	Value  T
}

// longestPrefix returns the value of the longest matching prefix.
func longestPrefix[T any](values []PathValue[T], path string, otherwise T) T {
	best := -1
	for _, v := range values {
		if strings.HasPrefix(path, v.Prefix) && len(v.Prefix) > best {
			best, otherwise = len(v.Prefix), v.Value
		}
	}
	return otherwise
}

// TargetConfig is the fixed configuration of a target stand-in.
type TargetConfig struct {
	ID      string
	Service string
	Slots   int
	// Work is the run time of work; WorkPaths has exceptions by path prefix.
	Work      time.Duration
	WorkPaths []PathValue[time.Duration]
	// Body is the size of an answer in bytes, 0 for one line; BodyPaths has
	// exceptions by path prefix.
	Body      int
	BodyPaths []PathValue[int]
	Seed      uint64
	Log       logrus.FieldLogger
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
}

// Target is the stand-in for a target. It runs pretend work for any path.
type Target struct {
	cfg        TargetConfig
	faults     switches[TargetFaults]
	dice       *dice
	slots      chan struct{}
	operations operationLog
	listener   atomic.Pointer[silentListener]
	draining   atomic.Bool
	inFlight   atomic.Int64

	mu         sync.Mutex
	switchedAt time.Time // when the switches were last set, or the start
	calls      TargetCalls
	httpRouter *echo.Echo
}

// NewTarget returns a target stand-in.
func NewTarget(cfg TargetConfig) *Target {
	if cfg.Slots <= 0 {
		cfg.Slots = DefaultSlots
	}
	t := &Target{cfg: cfg, dice: newDice(cfg.Seed), slots: make(chan struct{}, cfg.Slots), switchedAt: time.Now()}
	t.faults.changed = t.faultsChanged
	e := newRouter()
	t.faults.register(e, func() any { return t.Calls() })
	e.GET("/control/operations", func(c echo.Context) error { return c.JSON(http.StatusOK, t.operations.list()) })
	e.GET("/healthz", t.healthz)
	e.GET("/load", t.load)
	e.Any("/*", t.work)
	t.httpRouter = e
	return t
}

// ServeHTTP serves work, /healthz, /load and the control calls.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.httpRouter.ServeHTTP(w, r) }

// SetFaults replaces the fault switches.
func (t *Target) SetFaults(f TargetFaults) error { return t.faults.set(nil, f) }

// SetFaultsJSON replaces the fault switches from their JSON form.
func (t *Target) SetFaultsJSON(raw string) error { return t.faults.setJSON(nil, []byte(raw)) }

// Operations returns the log of the work that was started.
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

func (t *Target) faultsChanged(c echo.Context, old, current TargetFaults) {
	t.mu.Lock()
	t.switchedAt = time.Now()
	t.mu.Unlock()
	log := t.cfg.Log.WithFields(logrus.Fields{"old": fmt.Sprintf("%+v", old), "new": fmt.Sprintf("%+v", current)})
	if l := t.listener.Load(); l != nil && current.SilentConnections {
		var except net.Conn
		if c != nil {
			except = connOf(c.Request().Context())
		}
		log = log.WithField("silenced", l.silence(except))
	}
	log.Info("fault switches changed")
}

func (t *Target) healthz(c echo.Context) error {
	t.count(func(n *TargetCalls) { n.Probes++ })
	ok := !t.draining.Load()
	if said := t.faults.get().Healthz; said != "" {
		ok = said == "ok"
	}
	if !ok {
		return c.String(http.StatusServiceUnavailable, "failing\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

// LoadReport is the answer of GET /load.
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

// work runs one piece of pretend work and answers it.
func (t *Target) work(c echo.Context) error {
	t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	t.count(func(n *TargetCalls) { n.Requests++ })
	faults := t.faults.get()
	if t.dice.hit(faults.ShedFraction) {
		t.count(func(n *TargetCalls) { n.Shed++ })
		c.Response().Header().Set("Retry-After", "1")
		return c.String(http.StatusServiceUnavailable, "shed\n")
	}
	request := c.Request()
	hash := xxhash.New()
	if _, err := io.Copy(hash, request.Body); err != nil {
		return c.String(http.StatusBadRequest, "the request's body broke\n")
	}
	ctx, cancel, err := withTimeout(request)
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
	return t.run(c, ctx, faults, hash.Sum64())
}

// run holds a slot.
func (t *Target) run(c echo.Context, ctx context.Context, faults TargetFaults, hash uint64) error {
	request := c.Request()
	key := request.Header.Get("Idempotency-Key")
	op := t.operations.start(Operation{
		Key: key, RequestID: request.Header.Get("Siskinvale-Request-Id"),
		Method: request.Method, Path: request.URL.Path, StartedAt: time.Now(),
	})
	t.count(func(n *TargetCalls) { n.Started++; n.MostAtOnce = max(n.MostAtOnce, int64(len(t.slots))) })
	answer := newPatternReader(bodyPattern(request.Method, request.URL.RequestURI(), key, hash),
		longestPrefix(t.cfg.BodyPaths, request.URL.Path, t.cfg.Body))
	err := t.answer(c, ctx, faults, answer)
	t.operations.finish(op, time.Now(), err == nil || errors.Is(err, errCut))
	switch {
	case err == nil:
		t.count(func(n *TargetCalls) { n.Completed++ })
		return nil
	case errors.Is(err, errCut):
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

// answer does the work and sends the answer.
func (t *Target) answer(c echo.Context, ctx context.Context, faults TargetFaults, body *patternReader) error {
	if t.stalls(faults, time.Now()) {
		t.count(func(n *TargetCalls) { n.Stalled++ })
		<-c.Request().Context().Done() // a stalled target ignores its deadline
		return errStalled
	}
	work := t.workTime(faults, c.Request().URL.Path, time.Now())
	if t.dice.hit(faults.ErrorFraction) {
		if !sleep(ctx, work) {
			return ctx.Err()
		}
		return c.String(http.StatusInternalServerError, "error by fault switch\n")
	}
	header := c.Response().Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Siskinvale-Standin-Target", t.cfg.ID)
	cutAt := -1
	if t.dice.hit(faults.CutFraction) {
		cutAt = body.size / 2
	}
	streamed := body.size >= streamFrom
	first, perChunk := work, time.Duration(0)
	if streamed {
		first, perChunk = work/2, work/2/time.Duration(body.size/chunkSize)
	} else {
		header.Set("Content-Length", strconv.Itoa(body.size))
	}
	if !sleep(ctx, first) {
		return ctx.Err()
	}
	return send(ctx, c.Response(), body, cutAt, perChunk)
}

func send(ctx context.Context, w *echo.Response, body *patternReader, cutAt int, perChunk time.Duration) error {
	w.WriteHeader(http.StatusOK)
	chunk := make([]byte, min(chunkSize, body.size))
	for {
		at := body.offset
		n, err := body.Read(chunk)
		if err != nil {
			return nil
		}
		if cutAt >= 0 && at+n > cutAt {
			w.Write(chunk[:cutAt-at])
			w.Flush()
			return errCut
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return fmt.Errorf("send answer: %w", err)
		}
		if perChunk > 0 && !sleep(ctx, perChunk) {
			return ctx.Err()
		}
	}
}

// stalls reports whether work that starts now is never answered.
func (t *Target) stalls(faults TargetFaults, now time.Time) bool {
	if period := time.Duration(faults.FlapPeriod); period > 0 {
		t.mu.Lock()
		since := now.Sub(t.switchedAt)
		t.mu.Unlock()
		if (since/period)%2 == 0 {
			return true
		}
	}
	return t.dice.hit(faults.StallFraction)
}

func (t *Target) workTime(faults TargetFaults, path string, now time.Time) time.Duration {
	factor := 1.0
	if faults.SlowFactor > 0 {
		factor = faults.SlowFactor
	}
	t.mu.Lock()
	since := now.Sub(t.switchedAt)
	t.mu.Unlock()
	if cold := time.Duration(faults.ColdFor); since < cold {
		factor *= 1 + (coldFactor-1)*(1-float64(since)/float64(cold))
	}
	return time.Duration(factor * float64(longestPrefix(t.cfg.WorkPaths, path, t.cfg.Work)))
}

// withTimeout applies the Siskinvale-Timeout header.
func withTimeout(r *http.Request) (context.Context, context.CancelFunc, error) {
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

// Serve serves on l until ctx ends, announces the target to its node, and then
// drains: it tells the node, waits for its work and ends.
func (t *Target) Serve(ctx context.Context, l net.Listener, a *Announcer, longestDrain time.Duration) error {
	silent := newSilentListener(l)
	t.listener.Store(silent)
	server := newServer(t)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(silent) }()
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
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), longestDrain)
	defer cancel()
	t.waitIdle(end)
	if a != nil {
		a.Stop()
	}
	return stopServer(server)
}

// waitIdle waits until no work has been in flight for a moment.
func (t *Target) waitIdle(ctx context.Context) {
	const (
		step  = 10 * time.Millisecond
		quiet = 10 // steps without work; covers requests on their way when draining began
	)
	for idle := 0; idle < quiet; {
		if !sleep(ctx, step) {
			t.cfg.Log.WithField("inFlight", t.inFlight.Load()).Error("work still in flight after the longest drain wait is cut off")
			return
		}
		if idle++; t.inFlight.Load() > 0 {
			idle = 0
		}
	}
}
