package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/operation"
)

// maxKeyedAnswerBytes bounds the answer of a keyed operation, which is buffered
// completely before its first byte is passed on. Answers of up to 64 KiB are
// kept for retries of the request.
const maxKeyedAnswerBytes = 4 << 20

// keyedOperations connects the sidecar to the operation manager, which records
// keyed operations. It implements sidecar.Operations.
type keyedOperations struct {
	manager *operation.Manager
}

// Do runs a keyed call at most once. The execution continues when the ingress
// or its caller disconnects, so that a retry can still get the answer; only the
// call's timeout ends it.
func (k keyedOperations) Do(ctx context.Context, call *link.Call, run func(ctx context.Context, mayDispatch func() bool) *link.Reply) *link.Reply {
	body, err := io.ReadAll(call.Body)
	if err != nil {
		return link.Refused(call, "the request body could not be read to its end")
	}
	request := operation.Request{
		Key:         operation.Key{Service: call.Service, Tenant: call.Tenant, Value: call.Key},
		Fingerprint: fingerprint(call, body),
		ReceivedAt:  call.ReceivedAt,
	}
	call.Body, call.ContentLength = bytes.NewReader(body), int64(len(body))

	var last *link.Reply
	answer, verdict := k.manager.Do(ctx, request, func(ctx context.Context, mayDispatch func() bool) (operation.Answer, operation.ExecutionResult) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), call.Timeout)
		defer cancel()
		last = run(ctx, mayDispatch)
		defer last.Body.Close()
		return readAnswer(last)
	})
	reply := replyFromVerdict(call, answer, verdict)
	if last != nil {
		reply.Load = last.Load
		if reply.Outcome != fleet.Answered && last.Reason != "" {
			reply.Reason = last.Reason
		}
	}
	return reply
}

// fingerprint hashes the method, path and body of a request, so that the use of
// one key for two different operations is detected.
func fingerprint(call *link.Call, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [][]byte{[]byte(call.Method), []byte(call.Path), body} {
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// readAnswer reads a reply to its end, because only a complete answer may be
// stored and returned to retries. If the body is cut short or too large, it
// sets the reply's reason and returns operation.Failed.
func readAnswer(reply *link.Reply) (operation.Answer, operation.ExecutionResult) {
	switch reply.Outcome {
	case fleet.NotRun:
		return operation.Answer{}, operation.NotDispatched
	case fleet.Unknown:
		return operation.Answer{}, operation.Failed
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxKeyedAnswerBytes+1))
	if err != nil {
		reply.Reason = "the target's answer was cut short"
		return operation.Answer{}, operation.Failed
	}
	if len(body) > maxKeyedAnswerBytes {
		reply.Reason = fmt.Sprintf("the target's answer is larger than the %d bytes that a keyed operation may have", maxKeyedAnswerBytes)
		return operation.Answer{}, operation.Failed
	}
	header := make(map[string]string, len(reply.Header))
	for name := range reply.Header {
		header[name] = reply.Header.Get(name)
	}
	return operation.Answer{Status: reply.Status, Header: header, Body: body}, operation.Answered
}

// replyFromVerdict converts the owner's verdict to a reply.
func replyFromVerdict(call *link.Call, answer operation.Answer, verdict operation.Verdict) *link.Reply {
	reply := &link.Reply{
		AttemptID: call.AttemptID, Outcome: verdict.Outcome(), Reason: verdict.Reason.String(), Sent: true,
		RetryAfter: verdict.RetryAfter, Body: http.NoBody,
	}
	switch verdict.Kind {
	case operation.NotOwner:
		reply.Misrouted = true
	case operation.NotRun, operation.Unknown:
		reply.FromOwner, reply.NotRunUntil = true, verdict.NotRunUntil
		reply.Undispatched = verdict.Reason == operation.ReasonFenced
	case operation.Mismatch:
		reply.FromOwner, reply.KeyMismatch = true, true
	default:
		setAnswer(reply, answer)
	}
	return reply
}

func setAnswer(reply *link.Reply, answer operation.Answer) {
	reply.FromOwner, reply.Reason = true, ""
	reply.Status = answer.Status
	reply.Header = make(http.Header, len(answer.Header))
	for name, value := range answer.Header {
		reply.Header.Set(name, value)
	}
	reply.ContentLength = int64(len(answer.Body))
	reply.Body = io.NopCloser(bytes.NewReader(answer.Body))
}
