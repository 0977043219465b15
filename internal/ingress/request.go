package ingress

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/operation"
)

const (
	// maxRetainedBody is the size in bytes of the largest request body that is
	// kept in memory for further attempts. Larger bodies are streamed once.
	maxRetainedBody = 64 << 10
	// maxKeyLength is the maximum length of an Idempotency-Key in bytes.
	maxKeyLength = 255
	// maxTenantLength is the maximum length of a tenant name in bytes.
	maxTenantLength = 128
	// minTimeout is the shortest timeout that leaves time for an attempt.
	minTimeout = time.Millisecond
)

// request is one classified request from a caller.
type request struct {
	id      string
	service string
	// tenant is the name of the caller's organisation, empty if it is not known.
	tenant string
	// apiKey identifies the organisation. It is a secret: it is neither forwarded
	// nor logged.
	apiKey string
	// organisation is set if the request was identified by its API key, and quota
	// if it was taken from the organisation's quota.
	organisation *bundle.NamedLimit
	quota        QuotaDecision
	// view is the view by which the request was classified.
	view   *View
	key    string
	class  *bundle.Class
	method string
	// host is the Host header to forward, or empty for none.
	host     string
	path     string
	header   http.Header
	received time.Time
	deadline time.Time
	// firstAttempt is set if the caller states that it sent no earlier request
	// with this key.
	firstAttempt bool
	// nested is set for a call that a local target makes while it runs a
	// request.
	nested bool

	body          []byte    // retained body
	holding       holding   // reservation of body
	stream        io.Reader // body that can be read only once; nil if the body is retained
	contentLength int64
}

func (r *request) serviceLabel() string {
	if r.class == nil {
		return "none"
	}
	return r.service
}

// organisationName returns the name of the organisation that was identified by
// its API key; empty if there is none.
func (r *request) organisationName() string {
	if r.organisation == nil {
		return ""
	}
	return r.organisation.Name
}

func (r *request) tenantLabel() string { return cmp.Or(r.tenant, "none") }

func (r *request) classLabel() string {
	if r.class == nil {
		return "none"
	}
	return r.class.Name
}

// IsKeyedOperation reports whether requests of class c that carry an
// idempotency key are keyed operations, which the owner of the key runs at most
// once.
func IsKeyedOperation(c bundle.Class) bool {
	return !c.Idempotent && c.IdempotencyKey != bundle.KeyNone
}

// isKeyedOperation reports whether the request is a keyed operation.
func (r *request) isKeyedOperation() bool {
	return r.key != "" && r.class != nil && IsKeyedOperation(*r.class)
}

// classify finds the service and class of r and checks its headers. The
// returned request is never nil; together with a problem, it serves only for
// reporting.
func (n nativeProtocol) classify(r *http.Request, now time.Time) (*request, *problem) {
	view := n.in.view.Load()
	req := &request{
		id: newID(), service: serviceOf(r), tenant: r.Header.Get(link.HeaderTenant),
		key: r.Header.Get(link.HeaderIdempotencyKey), method: r.Method, path: r.URL.RequestURI(),
		header: r.Header, received: now,
		firstAttempt: r.Header.Get(link.HeaderAttempt) == "1", apiKey: r.Header.Get(link.HeaderAPIKey), view: view,
	}
	r.Header.Del(link.HeaderAPIKey)
	if view.Bundle == nil {
		return req, req.problemBeforeAttempt(http.StatusServiceUnavailable, "no bundle is in force on this node yet")
	}
	service, class, ok := view.Bundle.Match(req.service, r.Method, r.URL.EscapedPath())
	if !ok {
		return req, req.noRouteProblem(view.Bundle)
	}
	req.service, req.class = service.Name, class
	if problem := req.checkHeaders(r); problem != nil {
		return req, problem
	}
	if view.Leaving {
		problem := req.problemBeforeAttempt(http.StatusServiceUnavailable, "the node is leaving; use another node")
		problem.closeConnection = true
		return req, problem
	}
	return req, nil
}

// serviceOf returns the requested service: the value of the Siskinvale-Service
// header or, without this header, the first label of Host.
func serviceOf(r *http.Request) string {
	if s := r.Header.Get(link.HeaderService); s != "" {
		return s
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	label, _, _ := strings.Cut(host, ".")
	return label
}

// noRouteProblem returns the problem of a request that matches no service or no
// route in b.
func (r *request) noRouteProblem(b *bundle.Bundle) *problem {
	if b.Service(r.service) == nil {
		return r.problemBeforeAttempt(http.StatusNotFound, fmt.Sprintf("unknown service %q: set %s or use the service's name as the first label of Host", r.service, link.HeaderService))
	}
	return r.problemBeforeAttempt(http.StatusNotFound, fmt.Sprintf("service %q has no route for %s %s", r.service, r.method, r.path))
}

// checkHeaders validates the headers of a classified request and sets its
// deadline.
func (r *request) checkHeaders(httpReq *http.Request) *problem {
	if r.tenant == "" {
		r.tenant = "none"
	}
	if len(r.tenant) > maxTenantLength {
		return r.problemBeforeAttempt(http.StatusBadRequest, fmt.Sprintf("%s is longer than %d bytes", link.HeaderTenant, maxTenantLength))
	}
	if len(r.key) > maxKeyLength {
		return r.problemBeforeAttempt(http.StatusBadRequest, fmt.Sprintf("%s is longer than %d bytes", link.HeaderIdempotencyKey, maxKeyLength))
	}
	if r.key == "" && r.class.IdempotencyKey == bundle.KeyRequired {
		return r.problemBeforeAttempt(http.StatusBadRequest, fmt.Sprintf("class %q needs an %s, a UUIDv7 (RFC 9562)", r.class.Name, link.HeaderIdempotencyKey))
	}
	if _, ok := (operation.Key{Value: r.key}).Created(); !ok && r.isKeyedOperation() {
		return r.problemBeforeAttempt(http.StatusBadRequest, fmt.Sprintf("%s is not a UUIDv7 (RFC 9562)", link.HeaderIdempotencyKey))
	}
	if httpReq.ContentLength > r.class.MaxBody {
		return r.problemBeforeAttempt(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than the %d bytes of class %q", r.class.MaxBody, r.class.Name))
	}
	return r.setDeadline(httpReq.Header.Get(link.HeaderTimeout))
}

// setDeadline sets the deadline from the class and the caller's timeout,
// whichever is earlier.
func (r *request) setDeadline(timeout string) *problem {
	left := r.class.Deadline.AsDuration()
	if timeout != "" {
		d, err := time.ParseDuration(timeout)
		if err != nil || d < minTimeout {
			return r.problemBeforeAttempt(http.StatusBadRequest, fmt.Sprintf("%s %q is not a duration of at least %v, such as 1500ms", link.HeaderTimeout, timeout, minTimeout))
		}
		left = min(left, d)
	}
	r.deadline = r.received.Add(left)
	return nil
}

// errBodyTooLarge means that a body without a stated length exceeded the
// maximum of its class.
var errBodyTooLarge = errors.New("body too large")

// readBody retains a small body so that it can be sent again, and leaves a
// larger one to be streamed. The body of a keyed operation is always retained,
// up to the maximum of its class, because its content is part of the operation.
func (r *request) readBody(httpReq *http.Request) error {
	if httpReq.ContentLength == 0 || httpReq.Body == nil {
		return nil
	}
	retain := int64(maxRetainedBody)
	if r.isKeyedOperation() {
		retain = max(retain, r.class.MaxBody)
	}
	limited := &limitReader{reader: httpReq.Body, remaining: r.class.MaxBody}
	if httpReq.ContentLength > retain {
		r.stream, r.contentLength = limited, httpReq.ContentLength
		return nil
	}
	expected := httpReq.ContentLength
	if expected < 0 {
		expected = retain
	}
	if !r.holding.grow(expected) {
		return errHeldBytes
	}
	prefix, err := io.ReadAll(io.LimitReader(limited, retain+1))
	if err != nil {
		return err
	}
	if int64(len(prefix)) > retain {
		r.stream, r.contentLength = io.MultiReader(bytes.NewReader(prefix), limited), -1
		return nil
	}
	r.body, r.contentLength = prefix, int64(len(prefix))
	return nil
}

// attemptBody returns a reader of the body for one attempt.
func (r *request) attemptBody() io.Reader {
	if r.stream != nil {
		return r.stream
	}
	if len(r.body) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(r.body)
}

// limitReader returns errBodyTooLarge when the limit is exceeded, unlike
// io.LimitedReader, which returns io.EOF.
type limitReader struct {
	reader    io.Reader
	remaining int64
}

func (l *limitReader) Read(p []byte) (int, error) {
	if int64(len(p)) > l.remaining+1 {
		p = p[:l.remaining+1]
	}
	n, err := l.reader.Read(p)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// call returns the call that is forwarded for one attempt.
func (r *request) call(now time.Time) *link.Call {
	return &link.Call{
		AttemptID: newID(), RequestID: r.id, Service: r.service, Class: r.class.Name, Tenant: r.tenant,
		ReceivedAt: r.received, Timeout: r.deadline.Sub(now), Objective: r.timeToObjective(now),
		Method: r.method, Host: r.host, Path: r.path, Header: r.header,
		ClassParams: &link.ClassParams{
			Priority: r.view.Bundle.Priority(r.organisation, r.class), Length: r.class.Length, Idempotent: r.class.Idempotent, Expected: r.class.Expected.AsDuration(),
		},
		Body: r.attemptBody(), ContentLength: r.contentLength,
	}
}

// timeToObjective returns the time left until the class's latency objective: at
// least 1 µs, the shortest time that can be sent, or 0 if the class has no
// objective.
func (r *request) timeToObjective(now time.Time) time.Duration {
	if r.class.Objective <= 0 {
		return 0
	}
	return max(r.received.Add(r.class.Objective.AsDuration()).Sub(now), time.Microsecond)
}

// refusalOutcome returns the outcome that a refusal by this ingress proves. For
// a keyed operation, a refusal proves nothing about earlier requests with the
// same key, unless the caller states that there were none.
func (r *request) refusalOutcome() fleet.Outcome {
	if r.key != "" && !r.firstAttempt && (r.class == nil || r.isKeyedOperation()) {
		return fleet.Unknown
	}
	return fleet.NotRun
}
