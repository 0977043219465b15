package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/standin"
)

// maxProblem is the most that is read of an answer that is not the target's.
const maxProblem = 64 << 10

// ErrNoOutcome means that an answer did not state its outcome.
var ErrNoOutcome = errors.New("answer without Siskinvale-Outcome")

// Request is one call as its caller means it, however often it is sent.
type Request struct {
	Kind    string
	Service string
	Method  string
	// URI is the path with its query.
	URI  string
	Body []byte
	// Key is the idempotency key, empty for calls that may be repeated.
	Key string
	// Size is the expected size of the target's answer, 0 for one line.
	Size int
}

// NewKey returns a fresh idempotency key (UUIDv7, RFC 9562).
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

// Attempt is one sending of a request and what its caller was told.
type Attempt struct {
	Node    string
	Sent    time.Time
	Told    time.Time
	Status  int
	Outcome fleet.Outcome
	// Err is set when no well-formed answer arrived, or one that is not the
	// complete answer to the request. Nothing is known then.
	Err error
}

// Told is the history of one request, oldest attempt first.
type Told struct {
	Request  Request
	Attempts []Attempt
}

// Last is the last attempt.
func (t Told) Last() Attempt { return t.Attempts[len(t.Attempts)-1] }

// Sample is what the caller knows in the end.
func (t Told) Sample() Sample {
	last := t.Last()
	return Sample{Kind: t.Request.Kind, Outcome: last.Outcome, Err: last.Err, Failed: last.Status >= 500 && last.Outcome == fleet.Answered}
}

// Caller calls a service through the nodes of a fleet. It is safe for
// concurrent use.
type Caller struct {
	Tenant string
	// Timeout bounds one attempt and is stated in Siskinvale-Timeout; 0 for
	// none.
	Timeout time.Duration
	// Direct is set for calls straight to a target, whose answers state no
	// outcome.
	Direct bool
	client *http.Client

	mu      sync.Mutex
	history []Told
}

// NewCaller returns a caller for one tenant.
func NewCaller(tenant string, timeout time.Duration) *Caller {
	return &Caller{
		Tenant: tenant, Timeout: timeout,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 256,
			DisableCompression:  true,
		}},
	}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends a request to the nodes in turn until one answers it, at most once
// each, with a pause between attempts. Keyed requests are sent with the same
// key. It records what was told for Check.
func (c *Caller) Do(ctx context.Context, r Request, pause time.Duration, nodes ...string) Told {
	told := Told{Request: r}
	for i, node := range nodes {
		if i > 0 && !wait(ctx, pause) {
			break
		}
		attempt := c.attempt(ctx, r, node, i == 0)
		told.Attempts = append(told.Attempts, attempt)
		if attempt.Err == nil && attempt.Outcome == fleet.Answered {
			break
		}
	}
	if r.Key != "" {
		c.mu.Lock()
		c.history = append(c.history, told)
		c.mu.Unlock()
	}
	return told
}

// History returns what was told about keyed requests so far.
func (c *Caller) History() []Told {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Told(nil), c.history...)
}

func (c *Caller) attempt(ctx context.Context, r Request, node string, first bool) Attempt {
	a := Attempt{Node: node, Sent: time.Now()}
	if c.Timeout > 0 {
		// The node reports a timeout itself; this is for one that does not.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout+c.Timeout/4+100*time.Millisecond)
		defer cancel()
	}
	a.Status, a.Outcome, a.Err = c.send(ctx, r, node, first)
	if a.Err != nil {
		a.Outcome = fleet.Unknown
	}
	a.Told = time.Now()
	return a
}

func (c *Caller) send(ctx context.Context, r Request, node string, first bool) (int, fleet.Outcome, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, node+r.URI, nil)
	if err != nil {
		return 0, fleet.Unknown, err
	}
	if r.Key != "" {
		// The transport repeats requests with an Idempotency-Key by itself
		// after a connection broke, unless they have a body that it cannot
		// rewind. A repeated Siskinvale-Attempt: 1 would be a false statement.
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
		request.ContentLength = int64(len(r.Body))
		request.Header.Set("Idempotency-Key", r.Key)
		if first {
			request.Header.Set("Siskinvale-Attempt", "1")
		}
	} else if len(r.Body) > 0 {
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(r.Body)), int64(len(r.Body))
	}
	request.Header.Set("Siskinvale-Service", r.Service)
	request.Header.Set("Siskinvale-Tenant", c.Tenant)
	if c.Timeout > 0 {
		request.Header.Set("Siskinvale-Timeout", strconv.FormatInt(c.Timeout.Milliseconds(), 10)+"ms")
	}
	answer, err := c.client.Do(request)
	if err != nil {
		return 0, fleet.Unknown, err
	}
	defer answer.Body.Close()
	raw := answer.Header.Get("Siskinvale-Outcome")
	if c.Direct {
		raw = fleet.Answered.String()
	}
	if raw == "" {
		return answer.StatusCode, fleet.Unknown, fmt.Errorf("%w: %s %s: %s", ErrNoOutcome, r.Method, r.URI, answer.Status)
	}
	outcome := fleet.ParseOutcome(raw)
	if outcome == fleet.Answered && answer.StatusCode == http.StatusOK {
		return answer.StatusCode, outcome, standin.CheckBody(answer.Body, r.Method, r.URI, r.Key, r.Body, r.Size)
	}
	_, err = io.Copy(io.Discard, io.LimitReader(answer.Body, maxProblem))
	return answer.StatusCode, outcome, err
}
