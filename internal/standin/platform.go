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
	// DefaultReadsPerSecond and DefaultWritesPerSecond are the platform's rate
	// limits for the whole fleet.
	DefaultReadsPerSecond  = 2000
	DefaultWritesPerSecond = 300
	// maxWatchWait is the upper bound of a watch's wait parameter.
	maxWatchWait = 5 * time.Minute
	// staleWatchPollInterval is how often a watch checks for changes while
	// reads are stale: a change then becomes visible some time after its write.
	staleWatchPollInterval = 20 * time.Millisecond
)

// PlatformConfig configures a platform stand-in. Unlike the fault switches it
// does not change while the stand-in runs.
type PlatformConfig struct {
	// Token is the bearer token that calls of the object API must carry; empty
	// means that no token is required.
	Token string
	// ReadsPerSecond and WritesPerSecond are rate limits; 0 means no limit.
	// Watches count as reads.
	ReadsPerSecond, WritesPerSecond float64
	// Seed decides which calls a fault with a fraction affects.
	Seed uint64
	Log  logrus.FieldLogger
}

// PlatformFaults are the fault switches of the platform stand-in.
type PlatformFaults struct {
	// Down makes the platform answer every call of the object API, waiting
	// watches included, with 503.
	Down bool `json:"down"`
	// Delay is added to every call, one half before and one half after the read
	// or the write takes place.
	Delay Duration `json:"delay"`
	// LoseAnswers is the fraction of successful writes that take effect but are
	// not answered: the connection is closed instead.
	LoseAnswers float64 `json:"loseAnswers"`
	// StaleReads is the age of the snapshot from which reads and watches are
	// answered.
	StaleReads Duration `json:"staleReads"`
	// ReadsPerSecond and WritesPerSecond replace the configured rate limits;
	// 0 keeps them.
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	WritesPerSecond float64 `json:"writesPerSecond"`
	// WatchesSilent leaves watches without an answer, even after their wait
	// time.
	WatchesSilent bool `json:"watchesSilent"`
	// RestoreFrom replaces the objects, when the switch is set, by those of this
	// long ago: what was written since is gone, versions are given out again,
	// and the era in all answers rises by one.
	RestoreFrom Duration `json:"restoreFrom"`
}

// Validate returns an error that names each switch with an invalid value.
func (f PlatformFaults) Validate() error {
	return errors.Join(
		checkFraction("loseAnswers", f.LoseAnswers),
		checkNotNegative("readsPerSecond", f.ReadsPerSecond),
		checkNotNegative("writesPerSecond", f.WritesPerSecond))
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
	cfg     PlatformConfig
	store   *store
	faults  faultSwitches[PlatformFaults]
	sampler *faultSampler
	reads   *rate.Limiter
	writes  *rate.Limiter

	mu             sync.Mutex
	faultsUpdated  chan struct{} // closed and replaced when the fault switches are set
	calls          PlatformCalls
	waitingWatches atomic.Int64
	httpRouter     *echo.Echo
}

// NewPlatform returns a platform stand-in with an empty store.
func NewPlatform(cfg PlatformConfig) *Platform {
	p := &Platform{
		cfg:           cfg,
		store:         newStore(),
		sampler:       newFaultSampler(cfg.Seed),
		reads:         newLimiter(cfg.ReadsPerSecond),
		writes:        newLimiter(cfg.WritesPerSecond),
		faultsUpdated: make(chan struct{}),
	}
	p.faults.onChange = p.faultsChanged
	e := newRouter()
	p.faults.register(e, func() any { return p.Calls() })
	v1 := e.Group("/v1", p.stateEra, p.authenticate)
	v1.GET("/objects", p.readHandler(p.list))
	v1.GET("/objects/*", p.readHandler(p.get))
	v1.PUT("/objects/*", p.writeHandler(p.put))
	v1.DELETE("/objects/*", p.writeHandler(p.remove))
	v1.GET("/watch", p.readHandler(p.watch))
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
	calls.WatchesWaiting = p.waitingWatches.Load()
	calls.Objects, calls.Revision = p.store.stats()
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
	if age := time.Duration(current.RestoreFrom); age > 0 {
		p.store.restore(time.Now().Add(-age))
	}
	p.mu.Lock()
	close(p.faultsUpdated)
	p.faultsUpdated = make(chan struct{})
	p.mu.Unlock()
	p.cfg.Log.WithFields(logrus.Fields{"old": fmt.Sprintf("%+v", old), "new": fmt.Sprintf("%+v", current)}).
		Info("fault switches changed")
}

// newLimiter returns a limiter with the given rate; 0 means no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	l := rate.NewLimiter(rate.Inf, 1)
	setLimit(l, perSecond, 0)
	return l
}

// setLimit applies the fault switch's rate limit, or the configured one if the
// switch is 0. The burst is what the limit allows in a tenth of a second.
func setLimit(l *rate.Limiter, configured, override float64) {
	limit := configured
	if override > 0 {
		limit = override
	}
	if limit <= 0 {
		l.SetLimit(rate.Inf)
		return
	}
	l.SetBurst(max(1, int(limit/10)))
	l.SetLimit(rate.Limit(limit))
}

// stateEra adds the era of the store to every answer.
func (p *Platform) stateEra(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			c.Response().Header().Set("Platform-Era", strconv.FormatUint(p.store.currentEra(), 10))
		})
		return next(c)
	}
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

// readHandler wraps next with the counter and the rate limit of reads, and with
// the faults that apply to every call.
func (p *Platform) readHandler(next echo.HandlerFunc) echo.HandlerFunc {
	return p.handler(p.reads, func(n *PlatformCalls) { n.Reads++ }, next)
}

// writeHandler is readHandler for writes.
func (p *Platform) writeHandler(next echo.HandlerFunc) echo.HandlerFunc {
	return p.handler(p.writes, func(n *PlatformCalls) { n.Writes++ }, next)
}

func (p *Platform) handler(limiter *rate.Limiter, count func(*PlatformCalls), next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		p.count(count)
		if p.faults.get().Down {
			return p.unavailable()
		}
		if !limiter.Allow() {
			p.count(func(n *PlatformCalls) { n.RateLimited++ })
			c.Response().Header().Set("Retry-After", "1")
			return echo.NewHTTPError(http.StatusTooManyRequests, "over the rate limit")
		}
		half := time.Duration(p.faults.get().Delay) / 2
		// The wait does not end when the client disconnects, because a write
		// must take effect even then.
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

// snapshotTime returns the time as of which reads are answered.
func (p *Platform) snapshotTime() time.Time {
	return time.Now().Add(-time.Duration(p.faults.get().StaleReads))
}

// delayAnswer waits for the second half of the Delay fault.
func (p *Platform) delayAnswer(c echo.Context) {
	sleep(c.Request().Context(), time.Duration(p.faults.get().Delay)/2)
}

func (p *Platform) get(c echo.Context) error {
	e, err := p.store.get(p.snapshotTime(), objectKey(c))
	p.delayAnswer(c)
	if err != nil {
		return echo.NewHTTPError(http.StatusNotFound, err.Error())
	}
	c.Response().Header().Set("ETag", etag(e.version))
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, e.value)
}

func (p *Platform) list(c echo.Context) error {
	objects := p.store.list(p.snapshotTime(), c.QueryParam("prefix"))
	p.delayAnswer(c)
	return c.JSON(http.StatusOK, objects)
}

func (p *Platform) put(c echo.Context) error {
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, maxValueBytes+1))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if len(value) > maxValueBytes {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, fmt.Sprintf("a value is at most %d bytes long", maxValueBytes))
	}
	ifVersion, err := requiredVersion(c.Request().Header)
	if err != nil {
		return err
	}
	if objectKey(c) == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "the key is empty")
	}
	version, err := p.store.put(time.Now(), objectKey(c), value, ifVersion)
	if err != nil {
		return p.refuseWrite(c, err)
	}
	p.finishWrite(c)
	c.Response().Header().Set("ETag", etag(version))
	return c.NoContent(http.StatusOK)
}

func (p *Platform) remove(c echo.Context) error {
	ifVersion, err := requiredVersion(c.Request().Header)
	if err != nil {
		return err
	}
	if err := p.store.remove(time.Now(), objectKey(c), ifVersion); err != nil {
		return p.refuseWrite(c, err)
	}
	p.finishWrite(c)
	return c.NoContent(http.StatusNoContent)
}

// refuseWrite returns the HTTP error for a write that the store has refused:
// 404 if the object does not exist, otherwise 412, which counts as a conflict.
func (p *Platform) refuseWrite(c echo.Context, err error) error {
	p.delayAnswer(c)
	if errors.Is(err, errNotFound) {
		return echo.NewHTTPError(http.StatusNotFound, err.Error())
	}
	p.count(func(n *PlatformCalls) { n.Conflicts++ })
	return echo.NewHTTPError(http.StatusPreconditionFailed, err.Error())
}

// finishWrite applies the faults that follow a write which has taken effect.
// The LoseAnswers fault aborts the handler, which closes the connection without
// an answer.
func (p *Platform) finishWrite(c echo.Context) {
	p.delayAnswer(c)
	if p.sampler.selects(p.faults.get().LoseAnswers) {
		p.count(func(n *PlatformCalls) { n.AnswersLost++ })
		panic(http.ErrAbortHandler)
	}
}

// watch answers as soon as an object with the prefix has changed after the
// given revision, or without objects when the wait time is over.
func (p *Platform) watch(c echo.Context) error {
	p.count(func(n *PlatformCalls) { n.Watches++ })
	since, wait, err := watchParameters(c)
	if err != nil {
		return err
	}
	p.waitingWatches.Add(1)
	defer p.waitingWatches.Add(-1)
	waitTimer := time.NewTimer(wait)
	defer waitTimer.Stop()
	waitOver := false
	for {
		p.mu.Lock()
		faultsUpdated := p.faultsUpdated
		p.mu.Unlock()
		faults := p.faults.get()
		if faults.Down {
			return p.unavailable()
		}
		changes, changed := p.store.changedSince(p.snapshotTime(), c.QueryParam("prefix"), since)
		if !faults.WatchesSilent && (waitOver || len(changes.Objects) > 0) {
			p.delayAnswer(c)
			return c.JSON(http.StatusOK, changes)
		}
		var poll <-chan time.Time
		if faults.StaleReads > 0 {
			poll = time.After(staleWatchPollInterval)
		}
		select {
		case <-changed:
		case <-faultsUpdated:
		case <-poll:
		case <-waitTimer.C:
			waitOver = true
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// watchParameters returns the since and wait parameters of a watch, or an error
// with status 400.
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
	return since, min(wait, maxWatchWait), nil
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// requiredVersion returns the object version that a write's headers require, or
// 0 if the object must not exist. Without a condition the error has status 428.
func requiredVersion(h http.Header) (uint64, error) {
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
