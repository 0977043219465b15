package standin

import (
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// DefaultReadsPerSecond and DefaultWritesPerSecond are what the platform
	// handles for the whole fleet.
	DefaultReadsPerSecond  = 2000
	DefaultWritesPerSecond = 300
	// longestWatch bounds the wait parameter of a watch.
	longestWatch = 5 * time.Minute
	// staleWatchPoll is how often a watch looks again while reads are stale,
	// because the snapshot then moves without a write.
	staleWatchPoll = 20 * time.Millisecond
)

// PlatformConfig is the fixed configuration of a platform stand-in.
type PlatformConfig struct {
	// Token is required as a bearer token when it is not empty.
	Token string
	// ReadsPerSecond and WritesPerSecond are rate limits; 0 means none.
	ReadsPerSecond, WritesPerSecond float64
	// Seed decides which calls a fault with a fraction hits.
	Seed uint64
	Log  logrus.FieldLogger
}

// PlatformFaults are the fault switches of the platform stand-in.
type PlatformFaults struct {
	// Down answers every call with 503 and ends waiting watches.
	Down bool `json:"down"`
	// Delay is added to every call, one half before and one half after a
	// write takes effect.
	Delay Duration `json:"delay"`
	// LoseAnswers is the fraction of successful writes that take effect and
	// then break the connection.
	LoseAnswers float64 `json:"loseAnswers"`
	// StaleReads serves reads and watches from a snapshot that old.
	StaleReads Duration `json:"staleReads"`
	// ReadsPerSecond and WritesPerSecond replace the configured rate limits;
	// 0 keeps them.
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	WritesPerSecond float64 `json:"writesPerSecond"`
	// WatchesSilent keeps watches waiting without any answer.
	WatchesSilent bool `json:"watchesSilent"`
}

// Validate checks the values.
func (f PlatformFaults) Validate() error {
	return errors.Join(
		fraction("loseAnswers", f.LoseAnswers),
		notNegative("readsPerSecond", f.ReadsPerSecond),
		notNegative("writesPerSecond", f.WritesPerSecond))
}

// PlatformCalls are the counters of the platform stand-in.
type PlatformCalls struct {
	Reads           int64  `json:"reads"`
	Writes          int64  `json:"writes"`
	Watches         int64  `json:"watches"`
	WatchesWaiting  int64  `json:"watchesWaiting"`
	Conflicts       int64  `json:"conflicts"`
	RateLimited     int64  `json:"rateLimited"`
	Unavailable     int64  `json:"unavailable"`
	Unauthenticated int64  `json:"unauthenticated"`
	AnswersLost     int64  `json:"answersLost"`
	Objects         int    `json:"objects"`
	Revision        uint64 `json:"revision"`
}

// Platform is the stand-in for the platform's object API.
type Platform struct {
	cfg    PlatformConfig
	store  *store
	faults switches[PlatformFaults]
	dice   *dice
	reads  *rate.Limiter
	writes *rate.Limiter

	mu         sync.Mutex
	switched   chan struct{} // closed and replaced when the switches change
	calls      PlatformCalls
	waiting    atomic.Int64
	httpRouter *echo.Echo
}

// NewPlatform returns a platform stand-in with an empty store.
func NewPlatform(cfg PlatformConfig) *Platform {
	p := &Platform{
		cfg:      cfg,
		store:    newStore(),
		dice:     newDice(cfg.Seed),
		reads:    newLimiter(cfg.ReadsPerSecond),
		writes:   newLimiter(cfg.WritesPerSecond),
		switched: make(chan struct{}),
	}
	p.faults.changed = p.faultsChanged
	e := newRouter()
	p.faults.register(e, func() any { return p.Calls() })
	v1 := e.Group("/v1", p.authenticate)
	v1.GET("/objects", p.read(p.list))
	v1.GET("/objects/*", p.read(p.get))
	v1.PUT("/objects/*", p.write(p.put))
	v1.DELETE("/objects/*", p.write(p.remove))
	v1.GET("/watch", p.read(p.watch))
	p.httpRouter = e
	return p
}

func newRouter() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Logger.SetOutput(io.Discard)
	return e
}

// ServeHTTP serves the object API and the control calls.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.httpRouter.ServeHTTP(w, r) }

// SetFaults replaces the fault switches.
func (p *Platform) SetFaults(f PlatformFaults) error { return p.faults.set(nil, f) }

// SetFaultsJSON replaces the fault switches from their JSON form.
func (p *Platform) SetFaultsJSON(raw string) error { return p.faults.setJSON(nil, []byte(raw)) }

// Calls returns the counters.
func (p *Platform) Calls() PlatformCalls {
	p.mu.Lock()
	calls := p.calls
	p.mu.Unlock()
	calls.WatchesWaiting = p.waiting.Load()
	calls.Objects, calls.Revision = p.store.size()
	return calls
}

func (p *Platform) count(add func(*PlatformCalls)) {
	p.mu.Lock()
	add(&p.calls)
	p.mu.Unlock()
}

func (p *Platform) faultsChanged(_ echo.Context, old, current PlatformFaults) {
	setLimit(p.reads, p.cfg.ReadsPerSecond, current.ReadsPerSecond)
	setLimit(p.writes, p.cfg.WritesPerSecond, current.WritesPerSecond)
	p.mu.Lock()
	close(p.switched)
	p.switched = make(chan struct{})
	p.mu.Unlock()
	p.cfg.Log.WithFields(logrus.Fields{"old": fmt.Sprintf("%+v", old), "new": fmt.Sprintf("%+v", current)}).
		Info("fault switches changed")
}

// newLimiter allows bursts of a tenth of a second.
func newLimiter(perSecond float64) *rate.Limiter {
	l := rate.NewLimiter(rate.Inf, 1)
	setLimit(l, perSecond, 0)
	return l
}

func setLimit(l *rate.Limiter, configured, fault float64) {
	limit := configured
	if fault > 0 {
		limit = fault
	}
	if limit <= 0 {
		l.SetLimit(rate.Inf)
		return
	}
	l.SetBurst(max(1, int(limit/10)))
	l.SetLimit(rate.Limit(limit))
}

func (p *Platform) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	want := []byte("Bearer " + p.cfg.Token)
	return func(c echo.Context) error {
		got := []byte(c.Request().Header.Get("Authorization"))
		if p.cfg.Token != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			p.count(func(n *PlatformCalls) { n.Unauthenticated++ })
			return echo.NewHTTPError(http.StatusUnauthorized, "missing or wrong bearer token")
		}
		return next(c)
	}
}

// read counts a read and applies the faults of a call.
func (p *Platform) read(next echo.HandlerFunc) echo.HandlerFunc {
	return p.call(p.reads, func(n *PlatformCalls) { n.Reads++ }, next)
}

func (p *Platform) write(next echo.HandlerFunc) echo.HandlerFunc {
	return p.call(p.writes, func(n *PlatformCalls) { n.Writes++ }, next)
}

func (p *Platform) call(limiter *rate.Limiter, add func(*PlatformCalls), next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		p.count(add)
		if p.faults.get().Down {
			return p.unavailable()
		}
		if !limiter.Allow() {
			p.count(func(n *PlatformCalls) { n.RateLimited++ })
			c.Response().Header().Set("Retry-After", "1")
			return echo.NewHTTPError(http.StatusTooManyRequests, "over the rate limit")
		}
		half := time.Duration(p.faults.get().Delay) / 2
		// A write takes effect even when its client has stopped waiting.
		time.Sleep(half)
		return next(c)
	}
}

func (p *Platform) unavailable() error {
	p.count(func(n *PlatformCalls) { n.Unavailable++ })
	return echo.NewHTTPError(http.StatusServiceUnavailable, "the platform is unavailable")
}

func objectKey(c echo.Context) string {
	return strings.TrimPrefix(c.Request().URL.Path, "/v1/objects/")
}

// readTime is the time whose state reads return.
func (p *Platform) readTime() time.Time {
	return time.Now().Add(-time.Duration(p.faults.get().StaleReads))
}

func (p *Platform) secondHalf(c echo.Context) {
	sleep(c.Request().Context(), time.Duration(p.faults.get().Delay)/2)
}

func (p *Platform) get(c echo.Context) error {
	e, err := p.store.get(p.readTime(), objectKey(c))
	p.secondHalf(c)
	if err != nil {
		return echo.NewHTTPError(http.StatusNotFound, err.Error())
	}
	c.Response().Header().Set("ETag", etag(e.version))
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, e.value)
}

func (p *Platform) list(c echo.Context) error {
	found := p.store.list(p.readTime(), c.QueryParam("prefix"))
	p.secondHalf(c)
	return c.JSON(http.StatusOK, found)
}

func (p *Platform) put(c echo.Context) error {
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, maxValue+1))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if len(value) > maxValue {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, fmt.Sprintf("a value is at most %d bytes long", maxValue))
	}
	ifVersion, err := condition(c.Request().Header)
	if err != nil {
		return err
	}
	if objectKey(c) == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "the key is empty")
	}
	version, err := p.store.put(time.Now(), objectKey(c), value, ifVersion)
	if err != nil {
		return p.refused(c, err)
	}
	p.finishWrite(c)
	c.Response().Header().Set("ETag", etag(version))
	return c.NoContent(http.StatusOK)
}

func (p *Platform) remove(c echo.Context) error {
	ifVersion, err := condition(c.Request().Header)
	if err != nil {
		return err
	}
	if err := p.store.remove(time.Now(), objectKey(c), ifVersion); err != nil {
		return p.refused(c, err)
	}
	p.finishWrite(c)
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) refused(c echo.Context, err error) error {
	p.secondHalf(c)
	if errors.Is(err, errNotFound) {
		return echo.NewHTTPError(http.StatusNotFound, err.Error())
	}
	p.count(func(n *PlatformCalls) { n.Conflicts++ })
	return echo.NewHTTPError(http.StatusPreconditionFailed, err.Error())
}

// finishWrite runs after a write took effect. It may break the connection
// instead of answering.
func (p *Platform) finishWrite(c echo.Context) {
	p.secondHalf(c)
	if p.dice.hit(p.faults.get().LoseAnswers) {
		p.count(func(n *PlatformCalls) { n.AnswersLost++ })
		panic(http.ErrAbortHandler)
	}
}

// watch answers as soon as an object under the prefix changes after the given
// revision, or with no object when the wait ends.
func (p *Platform) watch(c echo.Context) error {
	p.count(func(n *PlatformCalls) { n.Watches++ })
	since, wait, err := watchParameters(c)
	if err != nil {
		return err
	}
	p.waiting.Add(1)
	defer p.waiting.Add(-1)
	end := time.NewTimer(wait)
	defer end.Stop()
	ended := false
	for {
		p.mu.Lock()
		switched := p.switched
		p.mu.Unlock()
		faults := p.faults.get()
		if faults.Down {
			return p.unavailable()
		}
		found, changed := p.store.since(p.readTime(), c.QueryParam("prefix"), since)
		if !faults.WatchesSilent && (ended || len(found.Objects) > 0) {
			p.secondHalf(c)
			return c.JSON(http.StatusOK, found)
		}
		var poll <-chan time.Time
		if faults.StaleReads > 0 {
			poll = time.After(staleWatchPoll)
		}
		select {
		case <-changed:
		case <-switched:
		case <-poll:
		case <-end.C:
			ended = true
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func watchParameters(c echo.Context) (since uint64, wait time.Duration, err error) {
	wait = 30 * time.Second
	if raw := c.QueryParam("since"); raw != "" {
		if since, err = strconv.ParseUint(raw, 10, 64); err != nil {
			return 0, 0, echo.NewHTTPError(http.StatusBadRequest, fmt.Sprintf("since %q: want a revision", raw))
		}
	}
	if raw := c.QueryParam("wait"); raw != "" {
		if wait, err = time.ParseDuration(raw); err != nil || wait < 0 {
			return 0, 0, echo.NewHTTPError(http.StatusBadRequest, fmt.Sprintf("wait %q: want a duration such as 30s", raw))
		}
	}
	return since, min(wait, longestWatch), nil
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// condition returns the version that a write requires, 0 for "must not exist".
func condition(h http.Header) (uint64, error) {
	if h.Get("If-None-Match") == "*" {
		return 0, nil
	}
	raw := h.Get("If-Match")
	if raw == "" {
		return 0, echo.NewHTTPError(http.StatusPreconditionRequired, "a write needs If-Match or If-None-Match: *")
	}
	version, err := strconv.ParseUint(strings.Trim(raw, `"`), 10, 64)
	if err != nil || version == 0 {
		return 0, echo.NewHTTPError(http.StatusBadRequest, fmt.Sprintf("If-Match %s: want a quoted version", raw))
	}
	return version, nil
}
