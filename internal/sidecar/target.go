package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"siskinvale.dev/siskinvale/internal/admission"
	"siskinvale.dev/siskinvale/internal/answer"
	"siskinvale.dev/siskinvale/internal/conn"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/standing"
)

// Reasons of replies to calls that did not run at a target or may not have run
// there.
const (
	reasonBadStanding  = "the target failed lately"
	reasonShed         = "the target did not run the request"
	reasonOtherTarget  = "another target has the address"
	reasonOtherRequest = "the answer belonged to another request"
	reasonUnproven     = "the target refused without stating that the request did not run"
)

const (
	// targetDialTimeout bounds a connection to a target on the same VM, which
	// takes about 1 ms.
	targetDialTimeout = 500 * time.Millisecond
	// spareConnections is the number of idle connections kept beyond one per
	// slot, so that a call that gets a free slot does not wait for a new
	// connection.
	spareConnections = 4
	// targetIdleTimeout is the time after which an idle connection is closed,
	// because the target may already have closed its own side.
	targetIdleTimeout = 30 * time.Second
	// maxAnswerHeadBytes bounds the head of an answer, together with the interim
	// answers before it. A target in trouble may send bytes without end, and
	// net/http would hold up to 10 MB of them for each request.
	maxAnswerHeadBytes = 64 << 10
)

// target is one target of this VM with its admission gate.
type target struct {
	info     atomic.Pointer[fleet.Target]
	gate     *admission.Gate
	client   *http.Client
	evidence *evidence
	clock    func() time.Time
	dialect  Dialect // nil: plain HTTP with the fleet's own headers
	log      *event.Logger
	// echoes is set while the target, which has no dialect, returns the request
	// ID in its answers. Only then are its connections kept: a second copy of an
	// answer may arrive after the connection is in use again, and only the ID
	// tells it from the answer that is expected.
	echoes atomic.Bool

	mu              sync.Mutex
	standing        *standing.Tracker
	standingChanged func()
	// leaving is called once when the target states that it is about to stop.
	leaving func(fleet.Target)
	// trackRun counts a call as running until untrack is called.
	trackRun func(*link.Call) (untrack func())
	// beginWait makes the wait of a call for a slot end when it is withdrawn.
	beginWait func(ctx context.Context, attemptID string) (waitCtx context.Context, end func())
	// loggedTrusted is whether the target was in good standing at the last
	// logged change.
	loggedTrusted bool
	// loggedHanging is whether the target hung at the last check.
	loggedHanging bool

	rates rateState
	// saidLeaving is set once an answer stated that the target is leaving.
	saidLeaving atomic.Bool
}

// newTarget returns a target with an empty queue. A target without a dialect
// has no standing; only package health decides about it.
func newTarget(info fleet.Target, clock func() time.Time, dialect Dialect, log *event.Logger) *target {
	dialer := &net.Dialer{Timeout: targetDialTimeout}
	t := &target{
		gate:          admission.NewGate(admission.Config{Slots: info.Slots}, clock),
		evidence:      newEvidence(),
		clock:         clock,
		dialect:       dialect,
		log:           log,
		standing:      standing.NewTracker(clock()),
		loggedTrusted: true,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:            conn.DetectResets(dialer.DialContext),
				DisableCompression:     true,
				MaxIdleConnsPerHost:    info.Slots + spareConnections,
				IdleConnTimeout:        targetIdleTimeout,
				MaxResponseHeaderBytes: maxAnswerHeadBytes,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	t.rates.apply = t.gate.SetRateLimit
	t.update(info)
	return t
}

func (t *target) record() *fleet.Target { return t.info.Load() }

// replacedBy reports whether next is another process under the same target
// identifier. The new process starts with an empty queue.
func (t *target) replacedBy(next fleet.Target) bool {
	old := t.record()
	return old.Addr != next.Addr || old.Slots != next.Slots || old.Service != next.Service ||
		(old.State == fleet.TargetDraining && next.State == fleet.TargetServing)
}

func (t *target) update(info fleet.Target) {
	t.info.Store(&info)
	if info.State != fleet.TargetServing {
		t.gate.Drain()
	}
}

// admit waits for a slot and runs the call. mayDispatch, if not nil, is called
// immediately before the request is sent and must permit it.
func (t *target) admit(ctx context.Context, call *link.Call, item admission.Item, mayDispatch func() bool) *link.Reply {
	t.learnRateLimit(call.RateLimit)
	if !t.standingAdmits(call) {
		return t.refuseBadStanding(call)
	}
	release, err := t.acquireSlot(ctx, call, item)
	if err != nil {
		reply := refusedReply(call, err, t.load())
		reply.Leaving = t.saidLeaving.Load()
		reply.Busy = errors.Is(err, errNoFreeSlot)
		reply.RetryAfter = max(reply.RetryAfter, reply.Load.StartDelay)
		t.logRefused(call, reply)
		return reply
	}
	// The target may have failed while the call was queued. A call that can be
	// retried was already counted if it is a probe, and is not checked again.
	if !canRetry(call) && !t.standingAdmits(call) {
		release()
		return t.refuseBadStanding(call)
	}
	if t.gate.Draining() {
		// The target began to leave after the call got its slot.
		release()
		reply := refusedReply(call, &admission.RefusedError{Reason: admission.ReasonDraining}, t.load())
		reply.Leaving = t.saidLeaving.Load()
		t.logRefused(call, reply)
		return reply
	}
	reply := t.run(ctx, call, item, mayDispatch, release)
	reply.Load, reply.Leaving = t.load(), t.saidLeaving.Load()
	return reply
}

// refuseBadStanding refuses a call because the target failed recently.
func (t *target) refuseBadStanding(call *link.Call) *link.Reply {
	reply := link.Refused(call, reasonBadStanding)
	reply.BadStanding, reply.Load = true, t.load()
	t.logRefused(call, reply)
	return reply
}

// errNoFreeSlot is the refusal of a no-wait call when no slot is free.
var errNoFreeSlot = errors.New("no slot is free")

// acquireSlot waits for a slot. A no-wait call gets errNoFreeSlot instead of
// waiting.
func (t *target) acquireSlot(ctx context.Context, call *link.Call, item admission.Item) (release func(), err error) {
	if !call.NoWait {
		waitCtx, end := t.beginWait(ctx, call.AttemptID)
		defer end()
		return t.gate.Acquire(waitCtx, item)
	}
	release, ok := t.gate.TryAcquire(item)
	if !ok {
		return nil, errNoFreeSlot
	}
	return release, nil
}

// load returns the target's load, with the target's episode probability in
// Load.EpisodeProbability.
func (t *target) load() fleet.Load {
	load := t.gate.Load()
	limit, known := t.rates.get()
	load.RateLimit, load.RateUnknown = limit, !known
	if t.dialect != nil {
		t.mu.Lock()
		load.EpisodeProbability = t.episodeProbability(t.clock())
		t.mu.Unlock()
	}
	return load
}

// standingAdmits reports whether the target's standing permits the call. Forced
// calls are always permitted.
func (t *target) standingAdmits(call *link.Call) bool {
	if t.dialect == nil || call.ClassParams == nil || call.Forced {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	t.standing.SetHanging(now, t.evidence.hanging(now))
	return t.standing.Admit(now, canRetry(call))
}

// canRetry reports whether the call can be retried after a failure.
func canRetry(call *link.Call) bool {
	return call.ClassParams != nil && call.ClassParams.Idempotent && !call.Final
}

// recordOutcome updates the target's standing with the outcome of a call and
// logs failures and changes of the standing.
func (t *target) recordOutcome(call *link.Call, outcome requestOutcome, detail string) {
	if t.dialect == nil || outcome == cancelled || outcome == shed || outcome == expired {
		return
	}
	t.mu.Lock()
	before := t.episodeProbability(t.clock())
	t.standing.Observe(t.clock(), outcome != completed)
	probability := t.episodeProbability(t.clock())
	changed := t.logStanding(probability)
	t.mu.Unlock()
	if outcome != completed {
		t.log.Log(event.CallFailed, event.Fields{
			"request": call.RequestID, "target": t.record().ID, "class": call.Class, "detail": detail,
			"idempotent": call.ClassParams != nil && call.ClassParams.Idempotent, "insist": call.Forced, "bad": probability, "badBefore": before,
		})
	}
	if changed {
		t.standingChanged()
	}
}

// report logs an event about the target. Targets without a dialect have no
// logger.
func (t *target) report(e event.Event, fields event.Fields) {
	if t.log == nil {
		return
	}
	fields["target"] = t.record().ID
	t.log.Log(e, fields)
}

func (t *target) logRefused(call *link.Call, reply *link.Reply) {
	if t.log == nil {
		return
	}
	t.log.Log(event.CallRefused, event.Fields{
		"request": call.RequestID, "target": t.record().ID, "class": call.Class, "reason": reply.Reason,
		"inFlight": reply.Load.InFlight, "queued": reply.Load.Queued, "bad": reply.Load.EpisodeProbability, "left_ms": call.Timeout.Milliseconds(),
	})
}

// run sends the call to the target. release is called when the call has ended,
// at the latest when the reply's body is closed.
func (t *target) run(ctx context.Context, call *link.Call, item admission.Item, mayDispatch func() bool, release func()) *link.Reply {
	var sent link.SentTrace
	req, err := t.newRequest(sent.Context(ctx), call, item)
	if err != nil {
		release()
		return link.Refused(call, err.Error())
	}
	if mayDispatch != nil && !mayDispatch() {
		release()
		reply := link.Refused(call, "the lease on the key's range expired before dispatch")
		reply.Misrouted = true
		return reply
	}
	active := t.evidence.begin(call.Class, t.clock())
	untrack := t.trackRun(call)
	end := func(outcome requestOutcome, detail string) {
		untrack()
		if hung := t.evidence.end(active, t.clock(), outcome); hung && t.dialect != nil {
			outcome, detail = failed, "the target hung"
		}
		t.recordOutcome(call, outcome, detail)
		release()
	}
	sentAt := t.clock()
	if fields := t.rates.sent(kindOfArrival(call), sentAt); fields != nil {
		t.report(event.TargetOverLimit, fields)
	}
	resp, err := t.client.Do(req)
	if err != nil {
		end(outcomeOfError(ctx, err), err.Error())
		return transportErrorReply(ctx, call, err, sent.Sent())
	}
	if err := answer.Check(resp); err != nil {
		sent.CloseConn()
		resp.Body.Close()
		end(truncated, err.Error())
		return link.MayHaveRun(call, err.Error())
	}
	resp.Body = answer.Body(resp)
	link.RemoveHopByHop(resp.Header)
	kind := Executed
	if t.dialect != nil {
		kind = t.dialect.Classify(resp, *t.record(), call, sent.Reused())
		if kind == Executed || kind == TimedOut || kind == Shed {
			t.observeNotice(resp.Header, sentAt)
		}
		if reply := t.notExecutedReply(call, kind, resp, &sent, end); reply != nil {
			return reply
		}
	} else if !t.ownAnswer(resp, call, sent.Reused()) {
		sent.CloseConn()
		resp.Body.Close()
		end(truncated, "foreign answer")
		return link.MayHaveRun(call, reasonOtherRequest)
	} else if !answer.Framed(resp) {
		resp.Body.Close()
		end(truncated, "unframed")
		return link.MayHaveRun(call, "the target's answer has no length and no chunks, so its end cannot be recognised")
	}
	if t.dialect == nil {
		t.observeNotice(resp.Header, sentAt)
	}
	t.evidence.recordProgress(active, t.clock())
	return &link.Reply{
		AttemptID: call.AttemptID, Outcome: fleet.Answered, Sent: true,
		Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength,
		Body: &completionBody{ReadCloser: &timedBody{ReadCloser: resp.Body, target: t, request: active}, onEnd: func(err error) {
			outcome := outcomeOfAnswer(ctx, resp.StatusCode, err)
			if outcome == failed && kind == TimedOut {
				outcome = expired
			}
			end(outcome, "status "+strconv.Itoa(resp.StatusCode))
		}},
	}
}

// ownAnswer reports whether an answer of a target without a dialect belongs to
// the call, and learns whether the target returns the request ID. The ID is
// removed from the answer.
func (t *target) ownAnswer(resp *http.Response, call *link.Call, reusedConn bool) bool {
	id := resp.Header.Get(link.HeaderRequestID)
	resp.Header.Del(link.HeaderRequestID)
	t.echoes.Store(id == call.RequestID)
	return id == call.RequestID || id == "" && !reusedConn
}

// notExecutedReply returns the reply to a call if, by the header of the answer,
// the target shed the request, or the answer came from another target or
// belongs to another request. It returns nil if the answer belongs to the
// request.
func (t *target) notExecutedReply(call *link.Call, kind AnswerKind, resp *http.Response, sent *link.SentTrace, end func(requestOutcome, string)) *link.Reply {
	refused := func(reason string) *link.Reply {
		resp.Body.Close()
		reply := link.Refused(call, reason)
		reply.Dispatched = true
		return reply
	}
	switch kind {
	case Shed:
		end(shed, "")
		return refused(reasonShed)
	case OtherTarget:
		end(failed, "another target has the address")
		reply := refused(reasonOtherTarget)
		reply.Misrouted = true
		return reply
	case Unproven:
		resp.Body.Close()
		end(failed, "status "+strconv.Itoa(resp.StatusCode)+" without a statement that the request did not run")
		return link.MayHaveRun(call, reasonUnproven)
	case OtherRequest:
		// Any further data on the connection cannot be matched to a request.
		sent.CloseConn()
		resp.Body.Close()
		end(truncated, "foreign answer")
		return link.MayHaveRun(call, reasonOtherRequest)
	default:
		return nil
	}
}

func (t *target) newRequest(ctx context.Context, call *link.Call, item admission.Item) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+t.record().Addr+call.Path, call.Body)
	if err != nil {
		return nil, fmt.Errorf("build request for target: %w", err)
	}
	req.ContentLength = call.ContentLength
	link.CopyEndToEnd(req.Header, call.Header)
	if t.dialect != nil {
		req.Host = call.Host
		if err := link.SetRequestTarget(req.URL, call.Path); err != nil {
			return nil, err
		}
		t.dialect.Prepare(req.Header, *t.record(), call, item.Deadline.Sub(t.clock()))
		link.PreventReplay(req)
		return req, nil
	}
	req.Header.Set(link.HeaderRequestID, call.RequestID)
	req.Close = !t.echoes.Load()
	req.Header.Set(link.HeaderTenant, call.Tenant)
	left := item.Deadline.Sub(t.clock()).Milliseconds()
	req.Header.Set(link.HeaderTimeout, strconv.FormatInt(left, 10)+"ms")
	link.PreventReplay(req)
	return req, nil
}

func transportErrorReply(ctx context.Context, call *link.Call, err error, sent bool) *link.Reply {
	switch {
	case !sent && ctx.Err() != nil:
		return link.Refused(call, "the deadline passed before the target was reached")
	case !sent:
		return link.Refused(call, "the target refused the connection")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return link.MayHaveRun(call, "no answer from the target before the deadline")
	case ctx.Err() != nil:
		return link.MayHaveRun(call, "the call was cancelled")
	default:
		return link.MayHaveRun(call, "the target broke the connection: "+err.Error())
	}
}
