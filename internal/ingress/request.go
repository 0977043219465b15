package ingress

import (
	"bytes"
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
	// retainedBody is the largest request body that is kept for another
	// attempt. Larger bodies are streamed once.
	retainedBody = 64 << 10
	// maxKeyLength bounds an Idempotency-Key in bytes.
	maxKeyLength = 255
	// maxTenantLength bounds a tenant's name in bytes.
	maxTenantLength = 128
	// minTimeout is the shortest timeout that leaves time for an attempt.
	minTimeout = time.Millisecond
)

// request is one classified request of a caller.
type request struct {
	id      string
	service string
	tenant  string
	key     string
	class   *bundle.Class
	method  string
	// host is the Host header to forward; empty for none.
	host     string
	path     string
	header   http.Header
	received time.Time
	deadline time.Time
	// firstAttempt is the caller's statement that it sent no earlier request
	// with this key.
	firstAttempt bool
	// nested marks a call that a local target makes while it runs a request.
	nested bool

	body          []byte    // retained body
	stream        io.Reader // body that can be read once; nil when retained
	contentLength int64
}

func (r *request) serviceLabel() string {
	if r.class == nil {
		return "none"
	}
	return r.service
}

func (r *request) classLabel() string {
	if r.class == nil {
		return "none"
	}
	return r.class.Name
}

// Keyed reports whether requests of a class can be named operations, which
// their owner runs at most once.
func Keyed(c bundle.Class) bool { return !c.Idempotent && c.IdempotencyKey != bundle.KeyNone }

// keyed reports whether the request is a named operation.
func (r *request) keyed() bool {
	return r.key != "" && r.class != nil && Keyed(*r.class)
}

// classify finds the service and class of r and checks its headers. The
// request is never nil; with a problem, it is only good for reporting.
func (d ownDoor) classify(r *http.Request, now time.Time) (*request, *problem) {
	view := d.in.view.Load()
	req := &request{
		id: newID(), service: serviceOf(r), tenant: r.Header.Get(link.HeaderTenant),
		key: r.Header.Get(link.HeaderIdempotencyKey), method: r.Method, path: r.URL.RequestURI(),
		header: r.Header, received: now,
		firstAttempt: r.Header.Get(link.HeaderAttempt) == "1",
	}
	if view.Bundle == nil {
		return req, req.notRun(http.StatusServiceUnavailable, "no bundle is in force on this node yet")
	}
	service, class, ok := view.Bundle.Match(req.service, r.Method, r.URL.EscapedPath())
	if !ok {
		return req, req.unmatched(view.Bundle)
	}
	req.service, req.class = service.Name, class
	if problem := req.checkHeaders(r); problem != nil {
		return req, problem
	}
	if view.Leaving {
		problem := req.notRun(http.StatusServiceUnavailable, "the node is leaving; use another node")
		problem.closeConnection = true
		return req, problem
	}
	return req, nil
}

// serviceOf returns the addressed service: the header, else the first label of
// Host.
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

func (r *request) unmatched(b *bundle.Bundle) *problem {
	if b.Service(r.service) == nil {
		return r.notRun(http.StatusNotFound, fmt.Sprintf("unknown service %q: set %s or use the service's name as the first label of Host", r.service, link.HeaderService))
	}
	return r.notRun(http.StatusNotFound, fmt.Sprintf("service %q has no route for %s %s", r.service, r.method, r.path))
}

func (r *request) checkHeaders(hr *http.Request) *problem {
	if r.tenant == "" {
		r.tenant = "none"
	}
	if len(r.tenant) > maxTenantLength {
		return r.notRun(http.StatusBadRequest, fmt.Sprintf("%s is longer than %d bytes", link.HeaderTenant, maxTenantLength))
	}
	if len(r.key) > maxKeyLength {
		return r.notRun(http.StatusBadRequest, fmt.Sprintf("%s is longer than %d bytes", link.HeaderIdempotencyKey, maxKeyLength))
	}
	if r.key == "" && r.class.IdempotencyKey == bundle.KeyRequired {
		return r.notRun(http.StatusBadRequest, fmt.Sprintf("class %q needs an %s, a UUIDv7 (RFC 9562)", r.class.Name, link.HeaderIdempotencyKey))
	}
	if _, ok := (operation.Key{Value: r.key}).Created(); !ok && r.keyed() {
		return r.notRun(http.StatusBadRequest, fmt.Sprintf("%s is not a UUIDv7 (RFC 9562)", link.HeaderIdempotencyKey))
	}
	if hr.ContentLength > r.class.MaxBody {
		return r.notRun(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than the %d bytes of class %q", r.class.MaxBody, r.class.Name))
	}
	return r.setDeadline(hr.Header.Get(link.HeaderTimeout))
}

func (r *request) setDeadline(timeout string) *problem {
	left := r.class.Deadline.Std()
	if timeout != "" {
		d, err := time.ParseDuration(timeout)
		if err != nil || d < minTimeout {
			return r.notRun(http.StatusBadRequest, fmt.Sprintf("%s %q is not a duration of at least %v, such as 1500ms", link.HeaderTimeout, timeout, minTimeout))
		}
		left = min(left, d)
	}
	r.deadline = r.received.Add(left)
	return nil
}

// errBodyTooLarge means that a body without a stated length was larger than
// its class allows.
var errBodyTooLarge = errors.New("body too large")

// readBody retains a small body, so that it can be sent again, and leaves a
// larger one to be streamed. Bodies of keyed operations are always retained up
// to the class's limit, because their content is part of the operation.
func (r *request) readBody(hr *http.Request) error {
	if hr.ContentLength == 0 || hr.Body == nil {
		return nil
	}
	retain := int64(retainedBody)
	if r.keyed() {
		retain = max(retain, r.class.MaxBody)
	}
	limited := &limitReader{reader: hr.Body, left: r.class.MaxBody}
	if hr.ContentLength > retain {
		r.stream, r.contentLength = limited, hr.ContentLength
		return nil
	}
	head, err := io.ReadAll(io.LimitReader(limited, retain+1))
	if err != nil {
		return err
	}
	if int64(len(head)) > retain {
		r.stream, r.contentLength = io.MultiReader(bytes.NewReader(head), limited), -1
		return nil
	}
	r.body, r.contentLength = head, int64(len(head))
	return nil
}

// attemptBody returns the body for one attempt.
func (r *request) attemptBody() io.Reader {
	if r.stream != nil {
		return r.stream
	}
	if len(r.body) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(r.body)
}

// limitReader fails with errBodyTooLarge instead of ending early.
type limitReader struct {
	reader io.Reader
	left   int64
}

func (l *limitReader) Read(p []byte) (int, error) {
	if int64(len(p)) > l.left+1 {
		p = p[:l.left+1]
	}
	n, err := l.reader.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// call returns the forwarded form of one attempt.
func (r *request) call(now time.Time) *link.Call {
	return &link.Call{
		AttemptID: newID(), RequestID: r.id, Service: r.service, Class: r.class.Name, Tenant: r.tenant,
		ReceivedAt: r.received, Timeout: r.deadline.Sub(now), Aim: r.aim(now),
		Method: r.method, Host: r.host, Path: r.path, Header: r.header,
		Terms: &link.Terms{
			Priority: r.class.Priority, Length: r.class.Length, Idempotent: r.class.Idempotent, Expected: r.class.Expected.Std(),
		},
		Body: r.attemptBody(), ContentLength: r.contentLength,
	}
}

// aim is the time left until the class's objective, at least the shortest time
// that can be sent; 0 without an objective.
func (r *request) aim(now time.Time) time.Duration {
	if r.class.Objective <= 0 {
		return 0
	}
	return max(r.received.Add(r.class.Objective.Std()).Sub(now), time.Microsecond)
}

// outcomeOfRefusal is what a refusal by this ingress proves. For a keyed
// operation it says nothing about earlier requests with the same key, unless
// the caller states that there were none.
func (r *request) outcomeOfRefusal() fleet.Outcome {
	if r.key != "" && !r.firstAttempt && (r.class == nil || r.keyed()) {
		return fleet.Unknown
	}
	return fleet.NotRun
}
