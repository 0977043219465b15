package ingress

import (
	"net/http"
	"time"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
)

// FrontEnd decodes the requests of one caller protocol and encodes refusals in
// that protocol. All other handling is the same for every protocol.
type FrontEnd interface {
	// Classify finds the service and class of a request in the bundle in force.
	// b is nil until the node has its first bundle.
	Classify(r *http.Request, b *bundle.Bundle) (ClassifiedRequest, *Refusal)
	// Refuse writes the final response to a request that has no answer from a
	// target.
	Refuse(w http.ResponseWriter, refusal Refusal)
}

// ClassifiedRequest is what a FrontEnd reads from a request. If Classify also
// returns a Refusal, only ID is used.
type ClassifiedRequest struct {
	// ID identifies the request in logs.
	ID      string
	Service string
	Class   *bundle.Class
	// Host and Path are forwarded unchanged. Path includes the query.
	Host, Path string
	// Header holds the headers to forward. It does not contain the caller's API
	// key.
	Header http.Header
	// APIKey is the key that identifies the caller's organisation; empty if the
	// request carries none.
	APIKey string
	// CallerTimeout is how long the caller waits. Zero means the deadline of
	// the class; a longer time is reduced to that deadline.
	CallerTimeout time.Duration
}

// Refusal is the final response to a request that has no answer from a target.
type Refusal struct {
	// Status is a 4xx status if the request itself is at fault, otherwise 0.
	Status  int
	Outcome fleet.Outcome
	Detail  string
	// RetryAfter is how long the caller should wait before it tries again; 0 if
	// nothing is known.
	RetryAfter time.Duration
	// DeadlinePassed reports that the request's deadline has passed.
	DeadlinePassed bool
}

// callerProtocol is the interface through which the ingress uses siskinvale's
// own caller protocol or a configured FrontEnd.
type callerProtocol interface {
	classify(r *http.Request, now time.Time) (*request, *problem)
	refuse(w http.ResponseWriter, req *request, p *problem)
	// setCommonHeaders sets the headers of every response.
	setCommonHeaders(h http.Header, req *request)
	// setAnswerHeaders sets further headers of a target's answer.
	setAnswerHeaders(h http.Header)
}

// nativeProtocol implements callerProtocol for siskinvale's own caller protocol
// (docs/callers.md).
type nativeProtocol struct{ in *Ingress }

func (nativeProtocol) refuse(w http.ResponseWriter, req *request, p *problem) {
	writeProblem(w, req, p)
}

func (nativeProtocol) setCommonHeaders(h http.Header, req *request) {
	h.Set(link.HeaderRequestID, req.id)
}

func (nativeProtocol) setAnswerHeaders(h http.Header) {
	h.Set(link.HeaderOutcome, fleet.Answered.String())
}

// frontEndAdapter implements callerProtocol for a FrontEnd. A node that is
// leaving still serves requests through the FrontEnd, because its callers learn
// from the readiness probe that the node is stopping. Every response of a
// leaving node closes its connection.
type frontEndAdapter struct {
	FrontEnd
	in *Ingress
}

func (a *frontEndAdapter) classify(r *http.Request, now time.Time) (*request, *problem) {
	view := a.in.view.Load()
	c, refusal := a.Classify(r, view.Bundle)
	req := &request{
		id: c.ID, service: c.Service, apiKey: c.APIKey, class: c.Class, method: r.Method,
		host: c.Host, path: c.Path, header: c.Header, received: now, view: view,
	}
	if refusal != nil {
		return req, &problem{status: refusal.Status, outcome: refusal.Outcome, detail: refusal.Detail, retryAfter: refusal.RetryAfter}
	}
	if a.in.closed.Load() {
		return req, req.problemBeforeAttempt(http.StatusServiceUnavailable, "the node is about to end")
	}
	left := c.Class.Deadline.AsDuration()
	if c.CallerTimeout > 0 {
		left = min(left, c.CallerTimeout)
	}
	req.deadline = now.Add(left)
	if r.ContentLength > c.Class.MaxBody {
		return req, req.problemBeforeAttempt(http.StatusRequestEntityTooLarge, "the body is larger than the configuration allows")
	}
	return req, nil
}

func (a *frontEndAdapter) refuse(w http.ResponseWriter, _ *request, p *problem) {
	refusal := Refusal{
		Outcome: p.outcome, Detail: p.detail, RetryAfter: p.retryAfter, DeadlinePassed: p.deadlinePassed,
	}
	if p.status < http.StatusInternalServerError {
		refusal.Status = p.status
	}
	if a.in.view.Load().Leaving {
		w.Header().Set("Connection", "close")
	}
	a.Refuse(w, refusal)
}

func (*frontEndAdapter) setCommonHeaders(http.Header, *request) {}

func (a *frontEndAdapter) setAnswerHeaders(h http.Header) {
	if a.in.view.Load().Leaving {
		h.Set("Connection", "close")
	}
}

// logRefusal logs why a request got no answer from a target.
func (in *Ingress) logRefusal(req *request, p *problem) {
	in.cfg.Log.Log(event.RequestRefused, event.Fields{
		"request": req.id, "service": req.service, "class": req.classLabel(), "tenant": req.tenantLabel(), "outcome": p.outcome.String(),
		"status": p.status, "reason": p.detail, "after_ms": in.cfg.Clock().Sub(req.received).Milliseconds(),
		"version": in.bundleVersion(),
	})
}

// logAnswered logs that a request ended with an answer from a target, which may
// have a failure status.
func (in *Ingress) logAnswered(req *request, reply *link.Reply) {
	e := event.RequestServed
	if fleet.FailedStatus(reply.Status) {
		e = event.RequestFailed
	}
	in.cfg.Log.Log(e, event.Fields{
		"request": req.id, "service": req.service, "class": req.classLabel(), "tenant": req.tenantLabel(), "target": reply.Target, "status": reply.Status,
		"idempotent": req.class.Idempotent, "nested": req.nested, "after_ms": in.cfg.Clock().Sub(req.received).Milliseconds(), "version": in.bundleVersion(),
	})
}

func (in *Ingress) bundleVersion() uint64 {
	if b := in.view.Load().Bundle; b != nil {
		return b.Version
	}
	return 0
}
