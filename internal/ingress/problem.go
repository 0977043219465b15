package ingress

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
)

// problemContentType is the media type of RFC 9457 problem documents.
const problemContentType = "application/problem+json"

// Problem types. docs/callers.md explains them.
const (
	typeNotRun  = "urn:siskinvale:problem:not-run"
	typeUnknown = "urn:siskinvale:problem:unknown"
	typeRefused = "urn:siskinvale:problem:refused"
)

// heldBytesRetryAfter is the Retry-After of requests whose body a node cannot
// hold. Bodies are held for about as long as a request takes.
const heldBytesRetryAfter = 500 * time.Millisecond

// problem describes why a request got no answer from a target.
type problem struct {
	status          int
	outcome         fleet.Outcome
	detail          string
	retryAfter      time.Duration
	closeConnection bool
	deadlinePassed  bool
}

// problemDocument is the response body for a problem: RFC 9457 section 3 with
// the extension members outcome and requestId.
type problemDocument struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"requestId"`
}

// problemBeforeAttempt returns the problem of a request that is refused before
// any attempt.
func (r *request) problemBeforeAttempt(status int, detail string) *problem {
	return &problem{status: status, outcome: r.refusalOutcome(), detail: detail}
}

// problemOf returns the problem for the final reply of a request that was not
// answered.
func (r *request) problemOf(reply *link.Reply, now time.Time) *problem {
	p := &problem{outcome: reply.Outcome, detail: reply.Reason, retryAfter: reply.RetryAfter, deadlinePassed: !now.Before(r.deadline)}
	switch reply.Outcome {
	case fleet.NotRun:
		p.status = http.StatusServiceUnavailable
	default:
		p.status = http.StatusGatewayTimeout
	}
	if reply.KeyMismatch {
		p.status = http.StatusUnprocessableEntity
	}
	return p
}

// bodyProblem returns the problem for an error of readBody.
func bodyProblem(r *request, err error) *problem {
	if errors.Is(err, errBodyTooLarge) {
		return r.problemBeforeAttempt(http.StatusRequestEntityTooLarge, "the body is larger than its class allows")
	}
	if errors.Is(err, errHeldBytes) {
		p := r.problemBeforeAttempt(http.StatusServiceUnavailable, err.Error())
		p.retryAfter = heldBytesRetryAfter
		return p
	}
	return r.problemBeforeAttempt(http.StatusBadRequest, "the request body could not be read to its end")
}

func (p *problem) document(id string) problemDocument {
	doc := problemDocument{Status: p.status, Detail: p.detail, Outcome: p.outcome.String(), RequestID: id}
	switch {
	case p.status < http.StatusInternalServerError:
		doc.Type, doc.Title = typeRefused, "The request was refused"
	case p.outcome == fleet.NotRun:
		doc.Type, doc.Title = typeNotRun, "The request was not run"
	default:
		doc.Type, doc.Title = typeUnknown, "It is not known whether the request ran"
	}
	return doc
}

func writeProblem(w http.ResponseWriter, r *request, p *problem) {
	h := w.Header()
	h.Set("Content-Type", problemContentType)
	h.Set(link.HeaderOutcome, p.outcome.String())
	if p.retryAfter > 0 {
		// Retry-After counts whole seconds (RFC 9110 section 10.2.3).
		seconds := int64((p.retryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if p.closeConnection {
		h.Set("Connection", "close")
	}
	w.WriteHeader(p.status)
	// An error means that the caller has disconnected, so it is ignored.
	_ = json.NewEncoder(w).Encode(p.document(r.id))
}
