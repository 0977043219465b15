package link

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"siskinvale.dev/siskinvale/internal/auth"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// maxImmediateBody is the size in bytes up to which a body is sent together
// with the header of its call. A larger body is sent when the sidecar has
// admitted the call, which costs one round trip: most sidecar attempts are
// refused, and traffic between data centres is paid for.
const maxImmediateBody = 1 << 10

// withdrawTimeout bounds one withdrawal.
const withdrawTimeout = 500 * time.Millisecond

// Remote forwards calls to other nodes over the connections of Pool.
type Remote struct {
	Self fleet.NodeID
	Pool *Pool
	Keys *auth.Keys
	// Mismatched counts the answers that were discarded because they belonged
	// to another attempt.
	Mismatched atomic.Uint64
}

// Forward sends call to node. A failure is Unknown unless it is certain that
// the call was not run.
func (r *Remote) Forward(ctx context.Context, node fleet.Node, length fleet.Length, call *Call) *Reply {
	var sent SentTrace
	req, err := r.newRequest(sent.Context(ctx), node, call)
	if err != nil {
		return Refused(call, err.Error())
	}
	resp, err := r.Pool.Client(node, length).Do(req)
	if err != nil {
		return transportErrorReply(ctx, call, sent.Sent())
	}
	if rejectedByPeer(resp) {
		resp.Body.Close()
		reply := Refused(call, "the node beside the target rejected the forwarded call: "+resp.Status)
		reply.PathFailed = true
		return reply
	}
	reply := readReply(resp)
	if reply.AttemptID != call.AttemptID {
		resp.Body.Close()
		r.Mismatched.Add(1)
		unknown := MayHaveRun(call, "the answer belonged to another attempt")
		unknown.PathFailed = true
		return unknown
	}
	if reply.Outcome != fleet.Answered {
		resp.Body.Close()
		reply.Body = http.NoBody
	}
	return reply
}

// Withdraw asks node to refuse a forwarded call that still waits for a slot. The
// reply to the call tells whether it had an effect.
func (r *Remote) Withdraw(ctx context.Context, node fleet.Node, length fleet.Length, attemptID string) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.PeerAddr+WithdrawPath, nil)
	if err != nil {
		return
	}
	req.Header.Set(headerAttemptID, attemptID)
	if err := r.Keys.Sign(req.Header, string(r.Self), time.Now()); err != nil {
		return
	}
	resp, err := r.Pool.Client(node, length).Do(req)
	if err != nil {
		return // the caller repeats the withdrawal
	}
	resp.Body.Close()
}

func (r *Remote) newRequest(ctx context.Context, node fleet.Node, call *Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.PeerAddr+ForwardPath, call.Body)
	if err != nil {
		return nil, fmt.Errorf("build forwarded call: %w", err)
	}
	req.ContentLength = call.ContentLength
	PreventReplay(req)
	call.writeHeader(req.Header)
	if call.ContentLength > maxImmediateBody || call.ContentLength < 0 {
		req.Header.Set("Expect", "100-continue")
	}
	if v, ok := call.Header["Authorization"]; ok {
		req.Header[headerCallerAuthorization] = v
	}
	if err := r.Keys.Sign(req.Header, string(r.Self), time.Now()); err != nil {
		return nil, err
	}
	return req, nil
}

// rejectedByPeer reports whether the peer's handler refused the request before
// it forwarded the call, for example because the fleet keys differ.
func rejectedByPeer(resp *http.Response) bool {
	return resp.Header.Get(headerAttemptID) == "" &&
		(resp.StatusCode == http.StatusUnauthorized || resp.StatusCode == http.StatusBadRequest)
}

func transportErrorReply(ctx context.Context, call *Call, sent bool) *Reply {
	if !sent {
		reply := Refused(call, "the node beside the target could not be reached")
		reply.PathFailed = ctx.Err() == nil
		return reply
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return MayHaveRun(call, "no answer before the deadline")
	}
	if ctx.Err() != nil {
		return MayHaveRun(call, "the call was cancelled")
	}
	reply := MayHaveRun(call, "the connection to the node beside the target failed")
	reply.PathFailed = true
	return reply
}
