// Package ingress accepts requests from callers, chooses a target for each
// attempt, and returns one whole answer or a statement of what is known.
package ingress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/metric"
	"siskinvale.dev/siskinvale/internal/routing"
)

// View is what traffic goroutines know of the fleet. It is immutable; the
// control goroutine publishes a new one for each change.
type View struct {
	Bundle  *bundle.Bundle
	Pickers map[string]*routing.Picker
	Nodes   map[fleet.NodeID]fleet.Node
	Leaving bool
}

// Owners finds the owner of a keyed operation.
type Owners interface {
	// Locate returns the node that owns the key by the newest assignment that
	// this node knows. It reports false when none is known.
	Locate(service, tenant, key string) (owner fleet.NodeID, epoch fleet.Epoch, ok bool)
	// Refresh asks for a newer assignment of service than epoch, because a
	// sidecar did not accept a call as its owner.
	Refresh(service string, epoch fleet.Epoch)
}

// Remote forwards calls to other nodes.
type Remote interface {
	Forward(ctx context.Context, node fleet.Node, length fleet.Length, call *link.Call) *link.Reply
}

// Config holds the parts that an ingress needs.
type Config struct {
	Self     fleet.NodeID
	Local    link.Forwarder
	Remote   Remote
	Owners   Owners
	Log      *event.Logger
	Metrics  *metric.Set
	Clock    func() time.Time
	InFlight int64 // largest number of requests held at once
	// Door decodes callers' requests; nil selects the product's own interface.
	Door Door
	// FreeRefusals lets a request ask several sidecars for a free slot. Their
	// refusals count neither as attempts nor against the budget of repeats.
	// Without it, a refusal counts like an attempt.
	FreeRefusals bool
	// LocalRuns tells what the targets of this VM run; nil when their calls need
	// not be told from requests of callers.
	LocalRuns func() LocalRuns
	// Repeats bounds the repeats of the whole fleet; the zero value selects a
	// budget for each class of this node.
	Repeats Repeats
}

// Ingress is the callers' side of a node. It is safe for concurrent use.
type Ingress struct {
	cfg      Config
	view     atomic.Pointer[View]
	inFlight atomic.Int64
	tenants  *tenantLimiter
	budgets  *budgets
	paths    *pathEvidence
	nested   nestedClasses
	callsOf  sync.Map // service -> map[string]float64, from replies
	door     door
	// closed refuses new requests, because the node is about to end.
	closed atomic.Bool
}

// Close refuses all requests that arrive from now on. Those in flight go on.
func (in *Ingress) Close() { in.closed.Store(true) }

// New returns an ingress that refuses all requests until SetView is called.
func New(cfg Config) *Ingress {
	in := &Ingress{cfg: cfg, tenants: newTenantLimiter(), budgets: newBudgets(cfg.Repeats, cfg.Clock), paths: newPathEvidence()}
	in.view.Store(&View{})
	in.door = ownDoor{in}
	if cfg.Door != nil {
		in.door = &foreignDoor{in: in, Door: cfg.Door}
	}
	return in
}

// SetView publishes a new view.
func (in *Ingress) SetView(v *View) {
	in.budgets.divide(len(v.Nodes))
	in.view.Store(v)
}

// View returns the current view.
func (in *Ingress) View() *View { return in.view.Load() }

// InFlight returns how many requests are being served.
func (in *Ingress) InFlight() int64 { return in.inFlight.Load() }

// Samples returns the path evidence since the last call.
func (in *Ingress) Samples() []health.Sample { return in.paths.take(in.cfg.Self) }

// ServeHTTP serves one request of a caller.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	held := in.inFlight.Add(1)
	defer in.inFlight.Add(-1)
	start := in.cfg.Clock()
	req, problem := in.door.classify(r, start)
	if problem == nil && held > in.cfg.InFlight {
		problem = req.notRun(http.StatusServiceUnavailable, "the node holds its largest number of requests")
	}
	if problem == nil {
		problem = in.limit(req)
	}
	in.door.answerHeader(w.Header(), req)
	outcome := fleet.Answered
	if problem != nil {
		outcome = problem.outcome
		setDeadlines(w, r, start)
		in.refuse(w, req, problem)
	} else {
		outcome = in.serve(w, r, req)
	}
	in.cfg.Metrics.Request(req.serviceLabel(), req.classLabel(), req.tenant, outcome.String(), in.cfg.Clock().Sub(start))
}

// serve runs the attempts of a classified request and writes its answer.
func (in *Ingress) serve(w http.ResponseWriter, r *http.Request, req *request) fleet.Outcome {
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	setDeadlines(w, r, req.deadline)
	if err := req.readBody(r); err != nil {
		problem := bodyProblem(req, err)
		in.refuse(w, req, problem)
		return problem.outcome
	}
	reply := in.attempts(ctx, req)
	defer reply.Body.Close()
	if reply.Outcome != fleet.Answered {
		problem := req.problemOf(reply, in.cfg.Clock())
		in.refuse(w, req, problem)
		return problem.outcome
	}
	in.logAnswered(req, reply)
	in.door.answered(w.Header())
	if err := writeAnswer(w, req, reply); err != nil {
		in.answerCut(req, err)
	}
	return fleet.Answered
}

// refuse answers a request that got no answer from a target, and logs why.
func (in *Ingress) refuse(w http.ResponseWriter, req *request, p *problem) {
	in.logRefusal(req, p)
	in.door.refuse(w, req, p)
}

// writeGrace is how long after the deadline a caller may take to read the end
// of its answer. A caller that stops reading would otherwise hold a slot of the
// target for ever.
const writeGrace = 5 * time.Second

// setDeadlines bounds how long the caller may take to send its body and to
// read its answer.
//
// net/http keeps a write deadline for the later requests of a connection, so
// every request sets its own. A request without a body gets no read deadline:
// net/http already waits on its connection for the next request, and a
// deadline that ends this wait cancels the context of all later requests.
func setDeadlines(w http.ResponseWriter, r *http.Request, deadline time.Time) {
	controller := http.NewResponseController(w)
	// A writer without deadlines, as in tests, has no slow caller behind it.
	if r.Body != nil && r.Body != http.NoBody {
		_ = controller.SetReadDeadline(deadline)
	}
	_ = controller.SetWriteDeadline(deadline.Add(writeGrace))
}

// answerCut breaks the caller's connection visibly, because an answer that was
// cut short after its first byte can no longer be taken back.
func (in *Ingress) answerCut(req *request, err error) {
	in.cfg.Metrics.Counter("siskinvale_answers_cut_total").Inc()
	in.cfg.Log.Log(event.AnswerCut, event.Fields{"request": req.id, "service": req.service, "error": err})
	panic(http.ErrAbortHandler)
}

// random is the source for choices that need no reproducible sequence.
func random() uint64 { return rand.Uint64() }

// newID returns a request or attempt identifier that sorts by time.
func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		// The system's source of randomness failed; uuid.NewString panics for
		// the same reason.
		panic(err)
	}
	return id.String()
}
