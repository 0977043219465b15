// Package ingress accepts requests from callers, chooses a target for each
// attempt, and returns either one complete answer or a statement of what is
// known about the request.
package ingress

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
	"siskinvale.dev/siskinvale/internal/hedge"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/metric"
	"siskinvale.dev/siskinvale/internal/routing"
)

// View is the state of the fleet that request goroutines use. It is immutable;
// the control goroutine publishes a new View for each change.
type View struct {
	Bundle  *bundle.Bundle
	Pickers map[string]*routing.Picker
	Nodes   map[fleet.NodeID]fleet.Node
	Leaving bool
	// Version is the ordered version of Bundle, 0 without one.
	Version uint64
}

// Owners finds the owner of a keyed operation.
type Owners interface {
	// Locate returns the node that owns the key according to the newest
	// assignment that this node knows. ok is false if no owner is known.
	Locate(service, tenant, key string) (owner fleet.NodeID, epoch fleet.Epoch, ok bool)
	// Refresh requests an assignment of service that is newer than epoch,
	// because a sidecar refused a call that was sent to it as the owner.
	Refresh(service string, epoch fleet.Epoch)
}

// Remote forwards calls to other nodes.
type Remote interface {
	Forward(ctx context.Context, node fleet.Node, length fleet.Length, call *link.Call) *link.Reply
	// Withdraw asks the node to refuse a forwarded call that still waits for a
	// slot. It has no effect on a call that has started.
	Withdraw(ctx context.Context, node fleet.Node, length fleet.Length, attemptID string)
}

// Config holds the dependencies and settings of an Ingress.
type Config struct {
	Self     fleet.NodeID
	Local    link.Forwarder
	Remote   Remote
	Owners   Owners
	Log      *event.Logger
	Metrics  *metric.Set
	Clock    func() time.Time
	InFlight int64 // maximum number of requests in flight
	// HeldBytes is the maximum number of bytes of bodies that are held for
	// callers; 0 means that there is none.
	HeldBytes int64
	// FrontEnd decodes the requests of callers; nil selects siskinvale's own
	// caller protocol.
	FrontEnd FrontEnd
	// UncountedRefusals lets a request send no-wait calls to several sidecars.
	// Their refusals count neither as attempts nor against the retry budget. If
	// UncountedRefusals is false, a refusal counts as an attempt.
	UncountedRefusals bool
	// LocalRuns returns what the targets on this VM are running. It is nil if
	// calls made by these targets need not be distinguished from requests of
	// callers.
	LocalRuns func() LocalRuns
	// FleetRetryBudget is the retry budget of the whole fleet. The zero value
	// selects a separate budget for each class on this node.
	FleetRetryBudget FleetRetryBudget
	// RetryLoans borrows retries of FleetRetryBudget from other nodes when this
	// node's share is used up; nil if nodes do not lend.
	RetryLoans RetryLoans
	// KeyLease bounds for how long the API keys of a bundle are used. It has no
	// effect on bundles that do not require keys.
	KeyLease KeyLease
	// Quotas grants requests within the quotas of organisations; nil if quotas
	// are not enforced.
	Quotas Quotas
	// Hedger decides about second copies of slow requests; nil if none are sent.
	Hedger *hedge.Hedger
	// StartWait is how long after New requests wait for the first bundle instead
	// of being refused. Callers keep sending while a process is replaced.
	StartWait time.Duration
}

// Ingress serves the requests of callers on one node. It is safe for concurrent
// use.
type Ingress struct {
	cfg      Config
	view     atomic.Pointer[View]
	inFlight atomic.Int64
	tenants  *tenantLimiter
	budgets  *budgets
	paths    *pathEvidence
	origins  originClassifier
	// callsPerRun maps a service to a map[string]float64 taken from replies:
	// the average number of calls that one run of the service makes, by called
	// service.
	callsPerRun sync.Map
	// callerProbes maps a service to the time at which a caller last sent an
	// idempotent request for it.
	callerProbes sync.Map
	// loanRefusals maps a service to the time at which other nodes last lent too
	// few retries for it.
	loanRefusals sync.Map
	protocol     callerProtocol
	// firstBundle is closed when the first view with a bundle is set.
	firstBundle     chan struct{}
	firstBundleOnce sync.Once
	// startWaitEnd is closed when Config.StartWait is over.
	startWaitEnd chan struct{}
	// closed makes a configured FrontEnd refuse new requests because the
	// process is about to exit.
	closed atomic.Bool
	ending ending
	held   *heldBytes
}

// Close makes the ingress refuse all requests that arrive later through
// Config.FrontEnd. Requests in flight are completed. siskinvale's own caller
// protocol is not affected: it refuses requests while View.Leaving is set.
func (in *Ingress) Close() { in.closed.Store(true) }

// New returns an ingress that refuses all requests until SetView is called.
func New(cfg Config) *Ingress {
	in := &Ingress{cfg: cfg, tenants: newTenantLimiter(), budgets: newBudgets(cfg.FleetRetryBudget, cfg.Clock), paths: newPathEvidence(),
		firstBundle: make(chan struct{}), startWaitEnd: make(chan struct{})}
	in.held = newHeldBytes(cfg.HeldBytes)
	in.ending.init()
	time.AfterFunc(cfg.StartWait, func() { close(in.startWaitEnd) })
	in.view.Store(&View{})
	in.protocol = nativeProtocol{in}
	if cfg.FrontEnd != nil {
		in.protocol = &frontEndAdapter{in: in, FrontEnd: cfg.FrontEnd}
	}
	return in
}

// SetView publishes a new view.
func (in *Ingress) SetView(v *View) {
	in.budgets.setNodeCount(len(v.Nodes))
	in.view.Store(v)
	if v.Bundle != nil {
		in.firstBundleOnce.Do(func() { close(in.firstBundle) })
	}
}

// awaitFirstBundle returns when a bundle is in force, when Config.StartWait is
// over, or when the caller has left.
func (in *Ingress) awaitFirstBundle(ctx context.Context) {
	select {
	case <-in.firstBundle:
	case <-in.startWaitEnd:
	case <-ctx.Done():
	}
}

// View returns the current view.
func (in *Ingress) View() *View { return in.view.Load() }

// HeldBytes returns how many bytes of bodies are held for callers. It is 0
// without a limit.
func (in *Ingress) HeldBytes() int64 { return in.held.total() }

// InFlight returns how many requests are being served.
func (in *Ingress) InFlight() int64 { return in.inFlight.Load() }

// TakePathSamples returns the path evidence collected since the previous call.
func (in *Ingress) TakePathSamples() []health.Sample { return in.paths.takeSamples(in.cfg.Self) }

// ServeHTTP serves one request of a caller.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	inFlight := in.inFlight.Add(1)
	defer in.inFlight.Add(-1)
	start := in.cfg.Clock()
	in.awaitFirstBundle(r.Context())
	req, problem := in.protocol.classify(r, start)
	if problem == nil && inFlight > in.cfg.InFlight {
		problem = req.problemBeforeAttempt(http.StatusServiceUnavailable, "the node holds its largest number of requests")
	}
	if problem == nil {
		problem = in.identify(req)
	}
	if problem == nil {
		problem = in.checkRateLimit(req)
	}
	if problem == nil {
		problem = in.checkQuota(r.Context(), req)
	}
	in.protocol.setCommonHeaders(w.Header(), req)
	outcome := fleet.Answered
	if problem != nil {
		outcome = problem.outcome
		setDeadlines(w, r, start)
		in.refuse(w, req, problem)
	} else {
		outcome = in.serve(w, r, req)
		if outcome == fleet.NotRun {
			in.returnQuota(req)
		}
	}
	in.cfg.Metrics.ObserveRequest(req.serviceLabel(), req.classLabel(), req.tenantLabel(), outcome.String(), in.cfg.Clock().Sub(start))
}

// serve sends a classified request to targets and writes the answer.
func (in *Ingress) serve(w http.ResponseWriter, r *http.Request, req *request) fleet.Outcome {
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	defer context.AfterFunc(in.ending.cutOff, cancel)()
	setDeadlines(w, r, req.deadline)
	req.holding = holding{held: in.held, organisation: req.organisationName()}
	defer func() { req.holding.release() }()
	if problem := in.receiveBody(w, r, req); problem != nil {
		in.refuse(w, req, problem)
		return problem.outcome
	}
	reply := in.sendWithRetries(ctx, req)
	defer reply.Body.Close()
	if reply.Outcome != fleet.Answered {
		problem := req.problemOf(reply, in.cfg.Clock())
		in.refuse(w, req, problem)
		return problem.outcome
	}
	in.logAnswered(req, reply)
	in.protocol.setAnswerHeaders(w.Header())
	if err := writeAnswer(w, req, reply); err != nil {
		in.abortTruncatedAnswer(req, err)
	}
	return fleet.Answered
}

// receiveBody reads the body of a request, see request.readBody.
func (in *Ingress) receiveBody(w http.ResponseWriter, r *http.Request, req *request) *problem {
	if r.ContentLength == 0 || r.Body == nil {
		return nil
	}
	stop := in.stopReadingAtEnd(w, req.class)
	defer stop()
	err := req.readBody(r)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded) && in.tooLateToStart(req.class):
		problem := req.problemBeforeAttempt(http.StatusServiceUnavailable, "the node ends before the body has arrived")
		problem.closeConnection = true
		return problem
	default:
		return bodyProblem(req, err)
	}
}

// refuse responds to a request that got no answer from a target, and logs the
// reason.
func (in *Ingress) refuse(w http.ResponseWriter, req *request, p *problem) {
	in.logRefusal(req, p)
	in.protocol.refuse(w, req, p)
}

// writeGrace is how long after the deadline a caller may take to read the rest
// of its answer. Without a limit, a caller that stops reading would hold a slot
// of the target indefinitely.
const writeGrace = 5 * time.Second

// setDeadlines limits how long the caller may take to send its body and to read
// its answer.
//
// net/http keeps a write deadline for later requests on the same connection, so
// every request sets its own. A request without a body gets no read deadline:
// net/http is already reading the connection for the next request, and a read
// deadline that expires there cancels the contexts of all later requests.
func setDeadlines(w http.ResponseWriter, r *http.Request, deadline time.Time) {
	controller := http.NewResponseController(w)
	// Errors are ignored: a writer that does not support deadlines, such as one
	// in a test, has no slow caller.
	if r.Body != nil && r.Body != http.NoBody {
		_ = controller.SetReadDeadline(deadline)
	}
	_ = controller.SetWriteDeadline(deadline.Add(writeGrace))
}

// abortTruncatedAnswer aborts the caller's connection, so that the caller can
// tell a truncated answer from a complete one. The status and the first bytes
// have already been sent.
func (in *Ingress) abortTruncatedAnswer(req *request, err error) {
	in.cfg.Metrics.Counter("siskinvale_answers_cut_total").Inc()
	in.cfg.Log.Log(event.AnswerCut, event.Fields{"request": req.id, "service": req.service, "error": err})
	panic(http.ErrAbortHandler)
}

// random returns a random number for choices that need no reproducible
// sequence.
func random() uint64 { return rand.Uint64() }

// newID returns a request or attempt ID (UUIDv7), which sorts by time.
func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		// The system's random source failed; uuid.NewString panics in this case
		// as well.
		panic(err)
	}
	return id.String()
}
