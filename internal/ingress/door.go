package ingress

import (
	"net/http"
	"time"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
)

// Door decodes the requests of one callers' protocol and encodes refusals in
// it. What happens in between is the same for all protocols.
type Door interface {
	// Classify finds what a request asks for by the bundle in force, which is
	// nil before there is one.
	Classify(r *http.Request, b *bundle.Bundle) (Classified, *Refusal)
	// Refuse writes the final answer of a request without a target's answer.
	Refuse(w http.ResponseWriter, refusal Refusal)
}

// Classified is what a Door reads from a request. With a Refusal, ID alone is
// used.
type Classified struct {
	// ID identifies the request in logs.
	ID      string
	Service string
	Class   *bundle.Class
	// Host and Path are forwarded as they are; Path includes the query.
	Host, Path string
	// Header holds the headers to forward.
	Header http.Header
	// Patience is how long the caller waits; 0 leaves the class's deadline.
	Patience time.Duration
}

// Refusal is the final answer to a request without an answer of a target.
type Refusal struct {
	// Status is a 4xx status for a request that is wrong in itself, else 0.
	Status  int
	Outcome fleet.Outcome
	Detail  string
	// RetryAfter is when the caller may come back; 0 when it says nothing.
	RetryAfter time.Duration
	// Late reports that the request's time is over.
	Late bool
}

// door is a Door as the ingress uses it.
type door interface {
	classify(r *http.Request, now time.Time) (*request, *problem)
	refuse(w http.ResponseWriter, req *request, p *problem)
	// answerHeader sets the headers that every answer carries.
	answerHeader(h http.Header, req *request)
	// answered sets the headers of a target's answer.
	answered(h http.Header)
}

// ownDoor is the product's own interface (docs/callers.md).
type ownDoor struct{ in *Ingress }

func (ownDoor) refuse(w http.ResponseWriter, req *request, p *problem) { writeProblem(w, req, p) }

func (ownDoor) answerHeader(h http.Header, req *request) { h.Set(link.HeaderRequestID, req.id) }

func (ownDoor) answered(h http.Header) { h.Set(link.HeaderOutcome, fleet.Answered.String()) }

// foreignDoor adapts a Door. A stopping node goes on serving there, because
// callers learn of the stop from its readiness; each answer closes its
// connection.
type foreignDoor struct {
	Door
	in *Ingress
}

func (d *foreignDoor) classify(r *http.Request, now time.Time) (*request, *problem) {
	c, refusal := d.Classify(r, d.in.view.Load().Bundle)
	req := &request{
		id: c.ID, service: c.Service, tenant: "none", class: c.Class, method: r.Method,
		host: c.Host, path: c.Path, header: c.Header, received: now,
	}
	if refusal != nil {
		return req, &problem{status: refusal.Status, outcome: refusal.Outcome, detail: refusal.Detail, retryAfter: refusal.RetryAfter}
	}
	if d.in.closed.Load() {
		return req, req.notRun(http.StatusServiceUnavailable, "the node is about to end")
	}
	left := c.Class.Deadline.Std()
	if c.Patience > 0 {
		left = min(left, c.Patience)
	}
	req.deadline = now.Add(left)
	if r.ContentLength > c.Class.MaxBody {
		return req, req.notRun(http.StatusRequestEntityTooLarge, "the body is larger than the configuration allows")
	}
	return req, nil
}

func (d *foreignDoor) refuse(w http.ResponseWriter, _ *request, p *problem) {
	refusal := Refusal{
		Outcome: p.outcome, Detail: p.detail, RetryAfter: p.retryAfter, Late: p.late,
	}
	if p.status < http.StatusInternalServerError {
		refusal.Status = p.status
	}
	if d.in.view.Load().Leaving {
		w.Header().Set("Connection", "close")
	}
	d.Refuse(w, refusal)
}

func (*foreignDoor) answerHeader(http.Header, *request) {}

func (d *foreignDoor) answered(h http.Header) {
	if d.in.view.Load().Leaving {
		h.Set("Connection", "close")
	}
}

// logRefusal logs why a request got no answer of a target.
func (in *Ingress) logRefusal(req *request, p *problem) {
	in.cfg.Log.Log(event.RequestRefused, event.Fields{
		"request": req.id, "service": req.service, "class": req.classLabel(), "outcome": p.outcome.String(),
		"status": p.status, "reason": p.detail, "after_ms": in.cfg.Clock().Sub(req.received).Milliseconds(),
		"version": in.bundleVersion(),
	})
}

// logAnswered logs that a request ended with the answer of a target, which may
// be its failure.
func (in *Ingress) logAnswered(req *request, reply *link.Reply) {
	e := event.RequestServed
	if fleet.FailedStatus(reply.Status) {
		e = event.RequestFailed
	}
	in.cfg.Log.Log(e, event.Fields{
		"request": req.id, "service": req.service, "class": req.classLabel(), "target": reply.Target, "status": reply.Status,
		"idempotent": req.class.Idempotent, "nested": req.nested, "after_ms": in.cfg.Clock().Sub(req.received).Milliseconds(), "version": in.bundleVersion(),
	})
}

func (in *Ingress) bundleVersion() uint64 {
	if b := in.view.Load().Bundle; b != nil {
		return b.Version
	}
	return 0
}
