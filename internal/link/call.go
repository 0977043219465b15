package link

import (
	"context"
	"io"
	"net/http"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Call is one attempt of a request, as an ingress forwards it to a sidecar.
type Call struct {
	// AttemptID is unique per attempt; the reply repeats it.
	AttemptID string
	// RequestID identifies the caller's request; all attempts of the request
	// share it.
	RequestID string
	Service   string
	Class     string
	Tenant    string
	// Target is the chosen target. It is empty for keyed operations, where the
	// owner chooses among its own targets.
	Target fleet.TargetID
	// Key is the Idempotency-Key of a keyed operation, empty otherwise.
	Key string
	// Epoch is the assignment epoch in which the ingress found the owner of
	// Key.
	Epoch fleet.Epoch
	// ReceivedAt is when the ingress received the request, by its wall clock.
	ReceivedAt time.Time
	// Timeout is the time left until the caller's deadline when the call was
	// sent.
	Timeout time.Duration
	// Objective is the time left until the latency objective of the class when
	// the call was sent; 0 when the class has no objective.
	Objective time.Duration

	// ClassParams are the class parameters of the request; nil when the sidecar
	// is to look them up in its own bundle.
	ClassParams *ClassParams
	// Retry marks a retry of a request that may have run at another target.
	Retry bool
	// NoWait marks a no-wait call: the sidecar refuses it unless a slot is
	// free.
	NoWait bool
	// Nested marks a call that a target makes while it runs a request. A nested
	// call is admitted before other calls, because the outer request occupies a
	// slot until the nested call ends and fails if the nested call fails.
	Nested bool
	// Final marks a call that cannot be retried after a failure, so that only a
	// target in good standing should run it.
	Final bool
	// Waited is how long the request has waited at targets that then withdrew it
	// from their queues, see Reply.Withdrawn.
	Waited time.Duration
	// RateLimit is the rate limit of the target, in requests per second, that
	// the ingress knows from earlier replies; 0 if it knows none.
	RateLimit float64
	// Forced marks a forced call: the sidecar runs it although the target is in
	// bad standing, because the ingress found no better target.
	Forced bool

	Method string
	// Host is the caller's Host header; empty when it is not forwarded.
	Host string
	// Path is the path and query as the caller sent them.
	Path          string
	Header        http.Header
	Body          io.Reader
	ContentLength int64
}

// ClassParams are the class parameters that a sidecar needs to admit a call.
// The ingress sends them with the call, because the two nodes may have
// different versions of the configuration in force.
type ClassParams struct {
	Priority   fleet.Priority
	Length     fleet.Length
	Idempotent bool
	Expected   time.Duration
}

// Reply is the answer to one Call. The receiver closes Body, which is never
// nil. A read error other than io.EOF means that the answer was cut short.
type Reply struct {
	AttemptID string
	Outcome   fleet.Outcome
	// Reason is a short text that says why the outcome is not Answered.
	Reason string
	// Sent reports whether the call may have reached the sidecar.
	Sent bool
	// Dispatched reports whether a request with the outcome NotRun may have
	// reached a target. MayHaveRun sets Dispatched as well; an answered reply
	// does not.
	Dispatched bool
	// BadStanding reports that the sidecar refused the call because its target
	// failed recently.
	BadStanding bool
	// Busy reports that the sidecar refused a no-wait call because no slot was
	// free. A call that is not a no-wait call could still queue there.
	Busy bool
	// Withdrawn reports that the sidecar refused the call because its target or
	// its node is leaving, however long the call had waited there. It may wait
	// elsewhere.
	Withdrawn bool
	// PathFailed reports that the call failed between the two nodes, not at the
	// target.
	PathFailed bool
	// Misrouted reports that the sidecar does not have the target or does not
	// own the key; the ingress refreshes its routing data and tries again.
	Misrouted bool
	// FromOwner reports that the owner of a keyed operation decided the
	// outcome. Its NotRun covers earlier and delayed requests with the same
	// key.
	FromOwner bool
	// NotRunUntil is the wall time until which an owner's NotRun may be
	// reported to the caller; zero means without limit. After NotRunUntil, the
	// outcome is unknown, because the caller may have sent another request with
	// the key.
	NotRunUntil time.Time
	// Undispatched reports that this call was not dispatched although the
	// outcome of its operation is unknown.
	Undispatched bool
	// KeyMismatch reports that the key was used before with different content.
	KeyMismatch bool
	// Leaving reports that the target states that it is about to stop, and that
	// its sidecar admits no new calls.
	Leaving bool
	// RetryAfter is the time after which a refused call may succeed; 0 if not
	// known.
	RetryAfter time.Duration
	// Target is the target that the ingress chose.
	Target fleet.TargetID
	// CallsPerRun is the average number of calls that the target makes during
	// one run, by called service. A retry of the run makes these calls again.
	CallsPerRun map[string]float64
	// Load is the target's load; Slots is 0 if none was reported.
	Load fleet.Load

	// Status, Header, Body and ContentLength are the target's answer. They are
	// set if Outcome is Answered.
	Status        int
	Header        http.Header
	Body          io.ReadCloser
	ContentLength int64
}

// Forwarder runs calls at targets. Forward never returns nil; a failure is a
// Reply with an outcome and a reason.
type Forwarder interface {
	Forward(ctx context.Context, call *Call) *Reply
}

// Refused returns a reply for a call that was provably not dispatched.
func Refused(call *Call, reason string) *Reply {
	return &Reply{AttemptID: call.AttemptID, Outcome: fleet.NotRun, Reason: reason, Body: http.NoBody}
}

// MayHaveRun returns a reply for a call that may have run; its outcome is
// Unknown.
func MayHaveRun(call *Call, reason string) *Reply {
	return &Reply{AttemptID: call.AttemptID, Outcome: fleet.Unknown, Reason: reason, Sent: true, Dispatched: true, Body: http.NoBody}
}
