package link

import (
	"context"
	"io"
	"net/http"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Call is one attempt of a request on its way to a sidecar.
type Call struct {
	// AttemptID is unique per attempt; the reply repeats it.
	AttemptID string
	// RequestID is the caller's request; all its attempts share it.
	RequestID string
	Service   string
	Class     string
	Tenant    string
	// Target is the chosen target. It is empty for keyed operations, where the
	// owner chooses among its own targets.
	Target fleet.TargetID
	// Key is the Idempotency-Key of a keyed operation, empty otherwise.
	Key string
	// Epoch is the assignment epoch by which the owner was found.
	Epoch fleet.Epoch
	// ReceivedAt is when the ingress received the request, by its wall clock.
	ReceivedAt time.Time
	// Timeout is the time left when the call was sent.
	Timeout time.Duration
	// Aim is the time that was left until the answer loses most of its value; 0
	// when the class has no objective.
	Aim time.Duration

	// Terms are the rules of the request's class; nil when the sidecar is to
	// look them up in its own bundle.
	Terms *Terms
	// Repeat marks a call of a request that may have run at another target.
	Repeat bool
	// Prompt asks the sidecar to refuse the call unless a slot is free now.
	Prompt bool
	// Nested marks a call of a target that runs a request meanwhile. It goes
	// before other work, because that request holds a slot and fails with it.
	Nested bool
	// Final marks a call whose failure could not be followed by a repeat, so that
	// only a target in good standing should run it.
	Final bool
	// Insist asks the sidecar to run the call although the target is in bad
	// standing, because the ingress found nothing better.
	Insist bool

	Method string
	// Host is the caller's Host header; empty when it is not forwarded.
	Host string
	// Path is the path and query as the caller sent them.
	Path          string
	Header        http.Header
	Body          io.Reader
	ContentLength int64
}

// Terms are what a sidecar needs to know of a request's class. The ingress
// sends them along, because the two nodes may have different versions of the
// configuration in force.
type Terms struct {
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
	// Reason says why the outcome is not Answered, in a few words.
	Reason string
	// Sent reports whether the call may have reached the sidecar.
	Sent bool
	// Dispatched reports whether the request may have reached a target. It is
	// always true for outcomes other than NotRun.
	Dispatched bool
	// BadStanding reports that the sidecar refused because its target failed
	// lately.
	BadStanding bool
	// Busy reports that the sidecar refused a prompt call because no slot was
	// free; the call could still wait for one there.
	Busy bool
	// PathFailed reports that the connection failed, not the target.
	PathFailed bool
	// Misrouted reports that the sidecar does not have the target or does not
	// own the key; the ingress refreshes its view and tries again.
	Misrouted bool
	// FromOwner reports that the owner of a keyed operation decided the
	// outcome. Its NotRun covers earlier and delayed requests with the same key.
	FromOwner bool
	// NotRunUntil is the wall time until which an owner's NotRun may be told to
	// the caller; zero means always. After it, the outcome is unknown: the
	// caller may have sent another request meanwhile.
	NotRunUntil time.Time
	// Undispatched reports that this call was not dispatched although the
	// outcome of its operation is unknown.
	Undispatched bool
	// Mismatch reports that the key was used before for other content.
	Mismatch bool
	// RetryAfter is when a refused call may succeed; 0 if not known.
	RetryAfter time.Duration
	// Target is the target that the ingress chose.
	Target fleet.TargetID
	// Calls are the calls that one run at the target makes on average, by
	// service. A repeat of the run repeats them.
	Calls map[string]float64
	// Load is the target's load; Slots is 0 if none was reported.
	Load fleet.Load

	// Status, Header, Body and ContentLength are the target's answer. They are
	// set if Outcome is Answered.
	Status        int
	Header        http.Header
	Body          io.ReadCloser
	ContentLength int64
}

// Forwarder delivers calls. Forward never returns nil; failures are replies
// with an outcome and a reason.
type Forwarder interface {
	Forward(ctx context.Context, call *Call) *Reply
}

// Refused returns a reply for a call that was provably not dispatched.
func Refused(call *Call, reason string) *Reply {
	return &Reply{AttemptID: call.AttemptID, Outcome: fleet.NotRun, Reason: reason, Body: http.NoBody}
}

// Doubtful returns a reply for a call that may have run.
func Doubtful(call *Call, reason string) *Reply {
	return &Reply{AttemptID: call.AttemptID, Outcome: fleet.Unknown, Reason: reason, Sent: true, Dispatched: true, Body: http.NoBody}
}
