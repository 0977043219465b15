package link

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Headers between callers and the fleet.
const (
	HeaderService        = "Siskinvale-Service"
	HeaderTenant         = "Siskinvale-Tenant"
	HeaderTimeout        = "Siskinvale-Timeout"
	HeaderAttempt        = "Siskinvale-Attempt"
	HeaderAPIKey         = "Siskinvale-Api-Key"
	HeaderOutcome        = "Siskinvale-Outcome"
	HeaderRequestID      = "Siskinvale-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTraceparent    = "Traceparent"
	// HeaderRateLimit and HeaderLeaving are headers of targets' answers: the
	// requests per second that the target accepts from all nodes together, and
	// that it is about to stop. Sidecars pass HeaderLeaving on to ingresses.
	HeaderRateLimit = "Siskinvale-Rate-Limit"
	HeaderLeaving   = "Siskinvale-Leaving"
)

// Headers between nodes. They carry the fields of Call and Reply.
const (
	ForwardPath  = "/forward"
	WithdrawPath = "/withdraw"

	prefixFleet        = "Siskinvale-"
	headerAttemptID    = "Siskinvale-Attempt-Id"
	headerClass        = "Siskinvale-Class"
	headerTarget       = "Siskinvale-Target"
	headerEpoch        = "Siskinvale-Epoch"
	headerReceivedAt   = "Siskinvale-Received-At"
	headerTimeLeft     = "Siskinvale-Time-Left"
	headerObjective    = "Siskinvale-Aim"
	headerMethod       = "Siskinvale-Method"
	headerPath         = "Siskinvale-Path"
	headerOperationKey = "Siskinvale-Operation-Key"
	headerClassParams  = "Siskinvale-Terms"
	headerForced       = "Siskinvale-Insist"
	headerRetry        = "Siskinvale-Repeat"
	headerNoWait       = "Siskinvale-Prompt"
	headerFinal        = "Siskinvale-Final"
	headerNested       = "Siskinvale-Nested"
	headerHost         = "Siskinvale-Host"
	headerWaited       = "Siskinvale-Waited"

	headerReason       = "Siskinvale-Reason"
	headerMisrouted    = "Siskinvale-Misrouted"
	headerFromOwner    = "Siskinvale-From-Owner"
	headerKeyMismatch  = "Siskinvale-Key-Mismatch"
	headerUndispatched = "Siskinvale-Undispatched"
	headerDispatched   = "Siskinvale-Dispatched"
	headerBusy         = "Siskinvale-Busy"
	headerWithdrawn    = "Siskinvale-Withdrawn"
	headerCalls        = "Siskinvale-Calls"
	headerBadStanding  = "Siskinvale-Bad-Standing"
	headerNotRunUntil  = "Siskinvale-Not-Run-Until"
	headerRetryAfter   = "Siskinvale-Retry-After"
	headerLoad         = "Siskinvale-Load"
	headerTargetRate   = "Siskinvale-Target-Rate"
)

// hopByHop are the headers that concern one connection only, by RFC 9110
// section 7.6.1.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// CopyEndToEnd copies the end-to-end headers of src to dst: all except
// hop-by-hop headers and the fleet's own.
func CopyEndToEnd(dst, src http.Header) {
	named := connectionHeaders(src)
	for name, values := range src {
		if strings.HasPrefix(name, prefixFleet) || hopByHop[name] || named[name] {
			continue
		}
		dst[name] = values
	}
}

// RemoveHopByHop removes the headers that concern one connection only. A node
// calls it on what it receives before it reads or sets headers of its own: the
// sender must not be able to have these removed by naming them in Connection.
func RemoveHopByHop(h http.Header) {
	for name := range connectionHeaders(h) {
		delete(h, name)
	}
	for name := range hopByHop {
		delete(h, name)
	}
}

// connectionHeaders returns the names that the Connection header lists as
// hop-by-hop; nil if there are none.
func connectionHeaders(h http.Header) map[string]bool {
	var named map[string]bool
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// writeHeader writes the call's fields and the caller's headers to h.
func (c *Call) writeHeader(h http.Header) {
	CopyEndToEnd(h, c.Header)
	h.Set(headerAttemptID, c.AttemptID)
	h.Set(HeaderRequestID, c.RequestID)
	h.Set(HeaderService, c.Service)
	h.Set(headerClass, c.Class)
	h.Set(HeaderTenant, c.Tenant)
	h.Set(headerMethod, c.Method)
	h.Set(headerPath, c.Path)
	h.Set(headerTimeLeft, strconv.FormatInt(c.Timeout.Microseconds(), 10))
	h.Set(headerReceivedAt, strconv.FormatInt(c.ReceivedAt.UnixMilli(), 10))
	if c.Objective != 0 {
		h.Set(headerObjective, strconv.FormatInt(c.Objective.Microseconds(), 10))
	}
	if c.Waited != 0 {
		h.Set(headerWaited, strconv.FormatInt(c.Waited.Microseconds(), 10))
	}
	if c.Host != "" {
		h.Set(headerHost, c.Host)
	}
	if c.ClassParams != nil {
		h.Set(headerClassParams, c.ClassParams.format())
	}
	if c.Retry {
		h.Set(headerRetry, "1")
	}
	if c.NoWait {
		h.Set(headerNoWait, "1")
	}
	if c.Nested {
		h.Set(headerNested, "1")
	}
	if c.Final {
		h.Set(headerFinal, "1")
	}
	if c.Forced {
		h.Set(headerForced, "1")
	}
	if c.RateLimit > 0 {
		h.Set(headerTargetRate, formatRate(c.RateLimit))
	}
	if c.Target != "" {
		h.Set(headerTarget, string(c.Target))
	}
	if c.Key != "" {
		h.Set(headerOperationKey, c.Key)
		h.Set(headerEpoch, strconv.FormatUint(uint64(c.Epoch), 10))
	}
}

// readCall is the inverse of Call.writeHeader.
func readCall(r *http.Request) (*Call, error) {
	h := r.Header
	c := &Call{
		AttemptID:     h.Get(headerAttemptID),
		RequestID:     h.Get(HeaderRequestID),
		Service:       h.Get(HeaderService),
		Class:         h.Get(headerClass),
		Tenant:        h.Get(HeaderTenant),
		Target:        fleet.TargetID(h.Get(headerTarget)),
		Key:           h.Get(headerOperationKey),
		Method:        h.Get(headerMethod),
		Path:          h.Get(headerPath),
		Host:          h.Get(headerHost),
		Retry:         h.Get(headerRetry) != "",
		NoWait:        h.Get(headerNoWait) != "",
		Final:         h.Get(headerFinal) != "",
		Nested:        h.Get(headerNested) != "",
		Forced:        h.Get(headerForced) != "",
		RateLimit:     parseRate(h.Get(headerTargetRate)),
		Header:        make(http.Header, len(h)),
		Body:          r.Body,
		ContentLength: r.ContentLength,
	}
	if c.AttemptID == "" || c.Service == "" || c.Method == "" || !strings.HasPrefix(c.Path, "/") {
		return nil, fmt.Errorf("forwarded call without attempt, service, method or path")
	}
	if text := h.Get(headerClassParams); text != "" {
		params, err := parseClassParams(text)
		if err != nil {
			return nil, err
		}
		c.ClassParams = params
	}
	timeLeft, err := strconv.ParseInt(h.Get(headerTimeLeft), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", headerTimeLeft, err)
	}
	c.Timeout = time.Duration(timeLeft) * time.Microsecond
	if text := h.Get(headerObjective); text != "" {
		objective, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", headerObjective, err)
		}
		c.Objective = time.Duration(objective) * time.Microsecond
	}
	if text := h.Get(headerWaited); text != "" {
		waited, err := strconv.ParseInt(text, 10, 64)
		if err != nil || waited < 0 {
			return nil, fmt.Errorf("%s %q is not a number of microseconds", headerWaited, text)
		}
		c.Waited = time.Duration(waited) * time.Microsecond
	}
	received, err := strconv.ParseInt(h.Get(headerReceivedAt), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", headerReceivedAt, err)
	}
	c.ReceivedAt = time.UnixMilli(received)
	if c.Key != "" {
		epoch, err := strconv.ParseUint(h.Get(headerEpoch), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", headerEpoch, err)
		}
		c.Epoch = fleet.Epoch(epoch)
	}
	CopyEndToEnd(c.Header, h)
	c.Header.Del("Authorization")
	if v, ok := h[headerCallerAuthorization]; ok {
		c.Header["Authorization"] = v
	}
	return c, nil
}

// headerCallerAuthorization carries the caller's own Authorization header,
// because Authorization itself holds the node's token between nodes.
const headerCallerAuthorization = "Siskinvale-Caller-Authorization"

// writeHeader writes the reply's fields and the target's headers to h.
func (r *Reply) writeHeader(h http.Header) {
	if r.Header != nil {
		CopyEndToEnd(h, r.Header)
	}
	h.Set(headerAttemptID, r.AttemptID)
	h.Set(HeaderOutcome, r.Outcome.String())
	if r.Reason != "" {
		h.Set(headerReason, r.Reason)
	}
	if r.Misrouted {
		h.Set(headerMisrouted, "1")
	}
	if !r.NotRunUntil.IsZero() {
		h.Set(headerNotRunUntil, strconv.FormatInt(r.NotRunUntil.UnixMilli(), 10))
	}
	if r.Dispatched {
		h.Set(headerDispatched, "1")
	}
	if r.BadStanding {
		h.Set(headerBadStanding, "1")
	}
	if r.Busy {
		h.Set(headerBusy, "1")
	}
	if r.Withdrawn {
		h.Set(headerWithdrawn, "1")
	}
	if r.Leaving {
		h.Set(HeaderLeaving, "1")
	}
	if r.Undispatched {
		h.Set(headerUndispatched, "1")
	}
	if r.KeyMismatch {
		h.Set(headerKeyMismatch, "1")
	}
	if r.FromOwner {
		h.Set(headerFromOwner, "1")
	}
	if r.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	for service, calls := range r.CallsPerRun {
		h.Add(headerCalls, service+"="+strconv.FormatFloat(calls, 'f', 2, 64))
	}
	if r.Load.Slots > 0 {
		h.Set(headerLoad, formatLoad(r.Load))
		if rate := formatTargetRate(r.Load); rate != "" {
			h.Set(headerTargetRate, rate)
		}
	}
}

// readReply is the inverse of Reply.writeHeader. It does not check to which
// attempt the reply belongs.
func readReply(resp *http.Response) *Reply {
	h := resp.Header
	retryAfterMS, _ := strconv.ParseInt(h.Get(headerRetryAfter), 10, 64)
	r := &Reply{
		AttemptID:     h.Get(headerAttemptID),
		Outcome:       fleet.ParseOutcome(h.Get(HeaderOutcome)),
		Reason:        h.Get(headerReason),
		Misrouted:     h.Get(headerMisrouted) != "",
		FromOwner:     h.Get(headerFromOwner) != "",
		KeyMismatch:   h.Get(headerKeyMismatch) != "",
		Undispatched:  h.Get(headerUndispatched) != "",
		Dispatched:    h.Get(headerDispatched) != "",
		BadStanding:   h.Get(headerBadStanding) != "",
		Busy:          h.Get(headerBusy) != "",
		Withdrawn:     h.Get(headerWithdrawn) != "",
		Leaving:       h.Get(HeaderLeaving) != "",
		RetryAfter:    time.Duration(retryAfterMS) * time.Millisecond,
		CallsPerRun:   parseCalls(h.Values(headerCalls)),
		Load:          parseTargetRate(parseLoad(h.Get(headerLoad)), h.Get(headerTargetRate)),
		Sent:          true,
		Status:        resp.StatusCode,
		Header:        make(http.Header, len(h)),
		Body:          resp.Body,
		ContentLength: resp.ContentLength,
	}
	if until, err := strconv.ParseInt(h.Get(headerNotRunUntil), 10, 64); err == nil {
		r.NotRunUntil = time.UnixMilli(until)
	}
	CopyEndToEnd(r.Header, h)
	return r
}

// format returns priority, length, idempotence (0 or 1) and the expected run
// time in microseconds, separated by commas. A rank other than the two named
// ones follows as the fifth value; nodes that do not know it use the nearest
// named one, the first value.
func (p *ClassParams) format() string {
	idempotent := 0
	if p.Idempotent {
		idempotent = 1
	}
	named := min(max(p.Priority, fleet.Background), fleet.Interactive)
	params := fmt.Sprintf("%d,%d,%d,%d", named, p.Length, idempotent, p.Expected.Microseconds())
	if p.Priority != named {
		params += fmt.Sprintf(",%d", p.Priority.Rank())
	}
	return params
}

func parseClassParams(s string) (*ClassParams, error) {
	var named, length, idempotent, rank uint8
	var expected int64
	format, values := "%d,%d,%d,%d", []any{&named, &length, &idempotent, &expected}
	ranked := strings.Count(s, ",") >= len(values)
	if ranked {
		format, values = format+",%d", append(values, &rank)
	}
	if _, err := fmt.Sscanf(s, format, values...); err != nil {
		return nil, fmt.Errorf("%s %q: %w", headerClassParams, s, err)
	}
	if fleet.Priority(named) > fleet.Interactive || fleet.Length(length) > fleet.Long || expected < 0 {
		return nil, fmt.Errorf("%s %q is out of range", headerClassParams, s)
	}
	priority := fleet.Priority(named)
	if ranked {
		priority = fleet.Rank(rank).Priority()
	}
	return &ClassParams{
		Priority: priority, Length: fleet.Length(length), Idempotent: idempotent == 1,
		Expected: time.Duration(expected) * time.Microsecond,
	}, nil
}

// parseCalls parses values of the form service=calls. It skips malformed ones;
// the margin of the retry budget covers the calls that are then not counted.
func parseCalls(values []string) map[string]float64 {
	var calls map[string]float64
	for _, v := range values {
		service, text, _ := strings.Cut(v, "=")
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || service == "" || n <= 0 {
			continue
		}
		if calls == nil {
			calls = make(map[string]float64, len(values))
		}
		calls[service] = n
	}
	return calls
}

// episodeProbabilityScale is the factor between Load.EpisodeProbability, from 0
// to 1, and the integer that is sent for it.
const episodeProbabilityScale = 1000

func formatLoad(l fleet.Load) string {
	b := make([]byte, 0, 32)
	b = strconv.AppendInt(b, int64(l.InFlight), 10)
	b = strconv.AppendInt(append(b, ','), int64(l.Queued), 10)
	b = strconv.AppendInt(append(b, ','), int64(l.Slots), 10)
	b = strconv.AppendInt(append(b, ','), l.QueuedWork.Microseconds(), 10)
	b = strconv.AppendInt(append(b, ','), int64(l.EpisodeProbability*episodeProbabilityScale), 10)
	return string(b)
}

// parseLoad returns the zero Load, which stands for a load that was not
// reported, if s is malformed.
func parseLoad(s string) fleet.Load {
	var n [5]int64
	fields := strings.Split(s, ",")
	if len(fields) != len(n) {
		return fleet.Load{}
	}
	for i, f := range fields {
		v, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return fleet.Load{}
		}
		n[i] = v
	}
	return fleet.Load{
		InFlight:           int(n[0]),
		Queued:             int(n[1]),
		Slots:              int(n[2]),
		QueuedWork:         time.Duration(n[3]) * time.Microsecond,
		EpisodeProbability: float64(n[4]) / episodeProbabilityScale,
	}
}

func formatRate(perSecond float64) string { return strconv.FormatFloat(perSecond, 'g', 6, 64) }

// parseRate returns 0, which stands for no known limit, if s is malformed.
func parseRate(s string) float64 {
	rate, err := strconv.ParseFloat(s, 64)
	if err != nil || !(rate > 0) || math.IsInf(rate, 0) {
		return 0
	}
	return rate
}

// rateUnknown is the value of headerTargetRate while Load.RateUnknown is set.
const rateUnknown = "unknown"

// formatTargetRate encodes the rate limit of a load: empty without a limit, else
// the limit and the time in microseconds until a new request may start. It is
// separate from formatLoad, because nodes of earlier versions reject loads with
// more fields.
func formatTargetRate(l fleet.Load) string {
	switch {
	case l.RateUnknown:
		return rateUnknown
	case l.RateLimit > 0:
		return formatRate(l.RateLimit) + "," + strconv.FormatInt(l.StartDelay.Microseconds(), 10)
	default:
		return ""
	}
}

// parseTargetRate adds the rate limit encoded in s to l.
func parseTargetRate(l fleet.Load, s string) fleet.Load {
	if s == rateUnknown {
		l.RateUnknown = true
		return l
	}
	rate, delay, _ := strings.Cut(s, ",")
	l.RateLimit = parseRate(rate)
	if us, err := strconv.ParseInt(delay, 10, 64); err == nil && us > 0 {
		l.StartDelay = time.Duration(us) * time.Microsecond
	}
	return l
}
