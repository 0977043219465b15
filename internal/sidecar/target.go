package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"siskinvale.dev/siskinvale/internal/admission"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
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
}

func newTarget(info fleet.Target, clock func() time.Time) *target {
	dialer := &net.Dialer{Timeout: targetDialTimeout}
	t := &target{
		gate:     admission.NewGate(admission.Config{Slots: info.Slots}, clock),
		evidence: newEvidence(),
		clock:    clock,
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
	release, err := t.gate.Enter(ctx, item)
	if err != nil {
		return refusedReply(call, err, t.gate.Load())
	}
	reply := t.run(ctx, call, item, mayDispatch, release)
	reply.Load = t.gate.Load()
	return reply
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
	resp, err := t.client.Do(req)
	if err != nil {
		t.evidence.end(work, t.clock(), outcomeOf(ctx, err))
		release()
		return failedReply(ctx, call, err, sent.Sent())
	}
	if !framed(resp, req.Method) {
		resp.Body.Close()
		t.evidence.end(work, t.clock(), truncated)
		release()
		return link.Doubtful(call, "the target's answer has no length and no chunks, so its end cannot be recognised")
	}
	t.evidence.progress(work, t.clock())
	return &link.Reply{
		AttemptID: call.AttemptID, Outcome: fleet.Answered, Sent: true,
		Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength,
		Body: &endBody{ReadCloser: &workBody{ReadCloser: resp.Body, target: t, work: work}, end: func(err error) {
			t.evidence.end(work, t.clock(), outcomeOfBody(ctx, resp.StatusCode, err))
			release()
		}},
	}
}

func (t *target) request(ctx context.Context, call *link.Call, item admission.Item) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+t.record().Addr+call.Path, call.Body)
	if err != nil {
		return nil, fmt.Errorf("build request for target: %w", err)
	}
	req.ContentLength = call.ContentLength
	link.CopyEndToEnd(req.Header, call.Header)
	req.Header.Set(link.HeaderRequestID, call.RequestID)
	req.Header.Set(link.HeaderTenant, call.Tenant)
	left := item.Deadline.Sub(t.clock()).Milliseconds()
	req.Header.Set(link.HeaderTimeout, strconv.FormatInt(left, 10)+"ms")
	link.PreventReplay(req)
	return req, nil
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
