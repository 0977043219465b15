package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"siskinvale.dev/siskinvale/internal/admission"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/standing"
)

// Reasons of calls that did not run at a target, or may not have.
const (
	reasonStanding = "the target failed lately"
	reasonShed     = "the target did not run the request"
	reasonOther    = "another target has the address"
	reasonForeign  = "the answer belonged to another request"
)

const (
	// targetDialTimeout bounds a connection to a target on the same VM, which
	// takes about 1 ms.
	targetDialTimeout = 500 * time.Millisecond
	// spareConnections are kept open beyond one per slot, so that a slot that
	// becomes free does not wait for a new connection.
	spareConnections = 4
	// targetIdleTimeout closes connections that a target may have closed on
	// its own side already.
	targetIdleTimeout = 30 * time.Second
)

// target is one target of this VM with its admission gate.
type target struct {
	info     atomic.Pointer[fleet.Target]
	gate     *admission.Gate
	client   *http.Client
	evidence *evidence
	clock    func() time.Time
	dialect  Dialect // nil for the product's own
	log      *event.Logger

	mu              sync.Mutex
	standing        *standing.Tracker
	standingChanged func()
	// count follows a run until the returned function is called.
	count func(*link.Call) (ended func())
	// trusted is the last standing that was logged.
	trusted bool
}

// newTarget returns a target with an empty queue. A target without a dialect
// has no standing: the decisions about it are those of health alone.
func newTarget(info fleet.Target, clock func() time.Time, dialect Dialect, log *event.Logger) *target {
	dialer := &net.Dialer{Timeout: targetDialTimeout}
	t := &target{
		gate:     admission.NewGate(admission.Config{Slots: info.Slots}, clock),
		evidence: newEvidence(),
		clock:    clock,
		dialect:  dialect,
		log:      log,
		standing: standing.NewTracker(clock()),
		trusted:  true,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				DisableCompression:  true,
				MaxIdleConnsPerHost: info.Slots + spareConnections,
				IdleConnTimeout:     targetIdleTimeout,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	t.update(info)
	return t
}

func (t *target) record() *fleet.Target { return t.info.Load() }

// replacedBy reports whether next is another process behind the same
// identifier, which starts with an empty queue.
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

// admit waits for a slot and runs the call. mayDispatch, if not nil, is asked
// immediately before the request is sent.
func (t *target) admit(ctx context.Context, call *link.Call, item admission.Item, mayDispatch func() bool) *link.Reply {
	if !t.mayRun(call) {
		return t.refuseForStanding(call)
	}
	release, err := t.enter(ctx, call, item)
	if err != nil {
		reply := refusedReply(call, err, t.load())
		reply.Busy = errors.Is(err, errBusy)
		t.logRefused(call, reply)
		return reply
	}
	// The target may have failed while the call waited. A call that may fail was
	// counted as a probe already and goes on.
	if !mayFail(call) && !t.mayRun(call) {
		release()
		return t.refuseForStanding(call)
	}
	reply := t.run(ctx, call, item, mayDispatch, release)
	reply.Load = t.load()
	return reply
}

// refuseForStanding turns a call away because the target failed lately.
func (t *target) refuseForStanding(call *link.Call) *link.Reply {
	reply := link.Refused(call, reasonStanding)
	reply.BadStanding, reply.Load = true, t.load()
	t.logRefused(call, reply)
	return reply
}

// errBusy refuses a call that wanted a free slot at once.
var errBusy = errors.New("no slot is free")

// enter waits for a slot, unless the call wants one at once.
func (t *target) enter(ctx context.Context, call *link.Call, item admission.Item) (release func(), err error) {
	if !call.Prompt {
		return t.gate.Enter(ctx, item)
	}
	release, ok := t.gate.TryEnter(item)
	if !ok {
		return nil, errBusy
	}
	return release, nil
}

// load is the target's load with its standing.
func (t *target) load() fleet.Load {
	load := t.gate.Load()
	if t.dialect != nil {
		t.mu.Lock()
		load.Bad = t.standing.Bad(t.clock())
		t.mu.Unlock()
	}
	return load
}

// mayRun decides by the target's standing.
func (t *target) mayRun(call *link.Call) bool {
	if t.dialect == nil || call.Terms == nil || call.Insist {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.standing.Admit(t.clock(), mayFail(call))
}

// mayFail reports whether a failure of the call can be followed by a repeat.
func mayFail(call *link.Call) bool {
	return call.Terms != nil && call.Terms.Idempotent && !call.Final
}

// judge counts an outcome for the target's standing and logs a change of it.
func (t *target) judge(call *link.Call, outcome workOutcome, detail string) {
	if t.dialect == nil || outcome == cancelled || outcome == shed || outcome == expired {
		return
	}
	t.mu.Lock()
	before := t.standing.Bad(t.clock())
	t.standing.Observe(t.clock(), outcome != completed)
	bad := t.standing.Bad(t.clock())
	trusted := bad <= standing.TrustLimit
	changed := trusted != t.trusted
	t.trusted = trusted
	t.mu.Unlock()
	if outcome != completed {
		t.log.Log(event.CallFailed, event.Fields{
			"request": call.RequestID, "target": t.record().ID, "class": call.Class, "detail": detail,
			"idempotent": call.Terms != nil && call.Terms.Idempotent, "insist": call.Insist, "bad": bad, "badBefore": before,
		})
	}
	if changed {
		t.standingChanged()
		e := event.StandingLost
		if trusted {
			e = event.StandingRegained
		}
		t.log.Log(e, event.Fields{"target": t.record().ID, "bad": bad})
	}
}

func (t *target) logRefused(call *link.Call, reply *link.Reply) {
	if t.log == nil {
		return
	}
	t.log.Log(event.CallRefused, event.Fields{
		"request": call.RequestID, "target": t.record().ID, "class": call.Class, "reason": reply.Reason,
		"inFlight": reply.Load.InFlight, "queued": reply.Load.Queued, "bad": reply.Load.Bad, "left_ms": call.Timeout.Milliseconds(),
	})
}

// run sends the call to the target. release is called when the work has ended,
// at the latest when the reply's body is closed.
func (t *target) run(ctx context.Context, call *link.Call, item admission.Item, mayDispatch func() bool, release func()) *link.Reply {
	var sent link.SentTrace
	req, err := t.request(sent.Context(ctx), call, item)
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
	work := t.evidence.begin(call.Class, t.clock())
	ended := t.count(call)
	end := func(outcome workOutcome, detail string) {
		ended()
		t.evidence.end(work, t.clock(), outcome)
		t.judge(call, outcome, detail)
		release()
	}
	resp, err := t.client.Do(req)
	if err != nil {
		end(outcomeOf(ctx, err), err.Error())
		return failedReply(ctx, call, err, sent.Sent())
	}
	judgement := Executed
	if t.dialect != nil {
		judgement = t.dialect.Judge(resp, *t.record(), call)
		if reply := t.unexecuted(call, judgement, resp, &sent, end); reply != nil {
			return reply
		}
	} else if !framed(resp, req.Method) {
		resp.Body.Close()
		end(truncated, "unframed")
		return link.Doubtful(call, "the target's answer has no length and no chunks, so its end cannot be recognised")
	}
	t.evidence.progress(work, t.clock())
	return &link.Reply{
		AttemptID: call.AttemptID, Outcome: fleet.Answered, Sent: true,
		Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength,
		Body: &endBody{ReadCloser: &workBody{ReadCloser: resp.Body, target: t, work: work}, end: func(err error) {
			outcome := outcomeOfBody(ctx, resp.StatusCode, err)
			if outcome == failed && judgement == OutOfTime {
				outcome = expired
			}
			end(outcome, "status "+strconv.Itoa(resp.StatusCode))
		}},
	}
}

// unexecuted returns the reply to a call whose answer's header says that it is
// not the answer to the request, else nil.
func (t *target) unexecuted(call *link.Call, judgement Judgement, resp *http.Response, sent *link.SentTrace, end func(workOutcome, string)) *link.Reply {
	refused := func(reason string) *link.Reply {
		resp.Body.Close()
		reply := link.Refused(call, reason)
		reply.Dispatched = true
		return reply
	}
	switch judgement {
	case Shed:
		end(shed, "")
		return refused(reasonShed)
	case OtherTarget:
		end(failed, "another target has the address")
		reply := refused(reasonOther)
		reply.Misrouted = true
		return reply
	case Foreign:
		// Whatever else is on the connection belongs to nobody.
		sent.Break()
		resp.Body.Close()
		end(truncated, "foreign answer")
		return link.Doubtful(call, reasonForeign)
	default:
		return nil
	}
}

func (t *target) request(ctx context.Context, call *link.Call, item admission.Item) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+t.record().Addr+call.Path, call.Body)
	if err != nil {
		return nil, fmt.Errorf("build request for target: %w", err)
	}
	req.ContentLength = call.ContentLength
	link.CopyEndToEnd(req.Header, call.Header)
	if t.dialect != nil {
		req.Host = call.Host
		req.URL.Opaque, req.URL.RawQuery = opaque(call.Path)
		t.dialect.Prepare(req.Header, *t.record(), call, item.Deadline.Sub(t.clock()))
		link.PreventReplay(req)
		return req, nil
	}
	req.Header.Set(link.HeaderRequestID, call.RequestID)
	req.Header.Set(link.HeaderTenant, call.Tenant)
	left := item.Deadline.Sub(t.clock()).Milliseconds()
	req.Header.Set(link.HeaderTimeout, strconv.FormatInt(left, 10)+"ms")
	link.PreventReplay(req)
	return req, nil
}

// opaque splits a request target so that net/http sends it as it is.
func opaque(path string) (opaque, query string) {
	opaque, query, _ = strings.Cut(path, "?")
	return opaque, query
}

// framed reports whether the end of the answer can be recognised. A body that
// ends with the connection looks the same when it was cut short.
func framed(resp *http.Response, method string) bool {
	if resp.ContentLength >= 0 || method == http.MethodHead || resp.ProtoMajor >= 2 {
		return true
	}
	return len(resp.TransferEncoding) > 0
}

func failedReply(ctx context.Context, call *link.Call, err error, sent bool) *link.Reply {
	switch {
	case !sent && ctx.Err() != nil:
		return link.Refused(call, "the deadline passed before the target was reached")
	case !sent:
		return link.Refused(call, "the target refused the connection")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return link.Doubtful(call, "no answer from the target before the deadline")
	case ctx.Err() != nil:
		return link.Doubtful(call, "the call was cancelled")
	default:
		return link.Doubtful(call, "the target broke the connection: "+err.Error())
	}
}
