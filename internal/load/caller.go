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

// maxDiscardedBytes bounds how much of a response is read and discarded if it
// is not a target's answer with status 200.
const maxDiscardedBytes = 64 << 10

// ErrNoOutcome means that a response has no Siskinvale-Outcome header.
var ErrNoOutcome = errors.New("answer without Siskinvale-Outcome")

// Request is one call as its caller intends it, however many attempts are made.
type Request struct {
	Kind    string
	Service string
	Method  string
	// URI is the path and query.
	URI  string
	Body []byte
	// Key is the idempotency key, empty for calls that are not keyed
	// operations.
	Key string
	// Size is the expected size of the target's answer in bytes; 0 means one
	// line.
	Size int
}

// NewKey returns a new idempotency key (UUIDv7, RFC 9562).
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

// Attempt is one attempt of a request with the response that its caller
// received.
type Attempt struct {
	Node       string
	SentAt     time.Time
	ResponseAt time.Time
	Status     int
	Outcome    fleet.Outcome
	// Err is set if no well-formed response arrived, or if the response was not
	// the complete answer to the request. The outcome is then unknown.
	Err error
}

// History lists the attempts of one request, oldest first.
type History struct {
	Request  Request
	Attempts []Attempt
}

// Last returns the last attempt. It panics if there is none.
func (t History) Last() Attempt { return t.Attempts[len(t.Attempts)-1] }

// Sample returns the final result of the request as its caller sees it.
func (t History) Sample() Sample {
	last := t.Last()
	return Sample{Kind: t.Request.Kind, Outcome: last.Outcome, Err: last.Err, Failed: last.Status >= 500 && last.Outcome == fleet.Answered}
}

// Caller sends the requests of one tenant to the nodes of a fleet. It is safe
// for concurrent use.
type Caller struct {
	Tenant string
	// Timeout bounds one attempt and is sent in the Siskinvale-Timeout header;
	// 0 means no timeout.
	Timeout time.Duration
	// Direct is set for calls that go directly to a target, whose answers have
	// no Siskinvale-Outcome header.
	Direct bool
	client *http.Client

	mu      sync.Mutex
	history []History
}

// NewCaller returns a caller for one tenant; timeout is Caller.Timeout.
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

// Do sends a request to the nodes in turn, at most once to each, until one of
// them answers it, with a pause between attempts. All attempts of a keyed
// request have the same key. Do records the history of a keyed request for
// Check.
func (c *Caller) Do(ctx context.Context, r Request, pause time.Duration, nodes ...string) History {
	record := History{Request: r}
	for i, node := range nodes {
		if i > 0 && !wait(ctx, pause) {
			break
		}
		attempt := c.attempt(ctx, r, node, i == 0)
		record.Attempts = append(record.Attempts, attempt)
		if attempt.Err == nil && attempt.Outcome == fleet.Answered {
			break
		}
	}
	if r.Key != "" {
		c.mu.Lock()
		c.history = append(c.history, record)
		c.mu.Unlock()
	}
	return record
}

// History returns the histories of all keyed requests so far.
func (c *Caller) History() []History {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]History(nil), c.history...)
}

func (c *Caller) attempt(ctx context.Context, r Request, node string, first bool) Attempt {
	a := Attempt{Node: node, SentAt: time.Now()}
	if c.Timeout > 0 {
		// A node reports the timeout itself. The longer timeout here is for
		// nodes that do not respond.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout+c.Timeout/4+100*time.Millisecond)
		defer cancel()
	}
	a.Status, a.Outcome, a.Err = c.send(ctx, r, node, first)
	if a.Err != nil {
		a.Outcome = fleet.Unknown
	}
	a.ResponseAt = time.Now()
	return a
}

func (c *Caller) send(ctx context.Context, r Request, node string, first bool) (int, fleet.Outcome, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, node+r.URI, nil)
	if err != nil {
		return 0, fleet.Unknown, err
	}
	if r.Key != "" {
		// After a connection failure, http.Transport retries requests that
		// have an Idempotency-Key, unless it cannot rewind their body. The
		// second of two attempts with Siskinvale-Attempt: 1 would claim wrongly
		// that there was no earlier one.
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
	outcomeHeader := answer.Header.Get("Siskinvale-Outcome")
	if c.Direct {
		outcomeHeader = fleet.Answered.String()
	}
	if outcomeHeader == "" {
		return answer.StatusCode, fleet.Unknown, fmt.Errorf("%w: %s %s: %s", ErrNoOutcome, r.Method, r.URI, answer.Status)
	}
	outcome := fleet.ParseOutcome(outcomeHeader)
	if outcome == fleet.Answered && answer.StatusCode == http.StatusOK {
		return answer.StatusCode, outcome, standin.CheckBody(answer.Body, r.Method, r.URI, r.Key, r.Body, r.Size)
	}
	_, err = io.Copy(io.Discard, io.LimitReader(answer.Body, maxDiscardedBytes))
	return answer.StatusCode, outcome, err
}
