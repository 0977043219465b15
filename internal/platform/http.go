package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"siskinvale.dev/siskinvale/internal/answer"
)

const (
	// callTimeout bounds every call except Watch. The platform normally
	// answers within milliseconds.
	callTimeout = 2 * time.Second
	// watchGrace is added to the wait of a watch so that its answer has time to
	// arrive.
	watchGrace = time.Second
	// keepAliveInterval and keepAliveCount detect a silent connection within
	// three seconds.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// maxListBody bounds the answer to a list or watch, in bytes.
	maxListBody = 64 << 20
	// maxObjectBody bounds the answer with one object, in bytes: a value in
	// base64 and its framing.
	maxObjectBody = 2 * MaxValueBytes
	// maxPages bounds the pages of one list.
	maxPages = 1000
	// defaultRetryAfter applies to a 429 without a valid Retry-After.
	defaultRetryAfter = time.Second
	// maxRetryAfter keeps an excessive Retry-After from blocking a node's
	// calls for hours.
	maxRetryAfter = 30 * time.Second
)

// ErrHistoryGone is returned by Protocol.StatusError when the platform no
// longer has the changes since the requested revision. Client.Watch then
// returns the current objects instead.
var ErrHistoryGone = errors.New("platform: the history of changes is gone")

// Options configures an HTTP client.
type Options struct {
	// Address is an ip:port or an HTTP URL.
	Address string
	// Token is sent as a bearer token with each call. An empty token is not
	// sent.
	Token  string
	Budget Budget
	// Protocol is the variant of the API; nil selects the one described in
	// docs/platform.md.
	Protocol Protocol
	// WatchWait is how long the platform holds a watch without changes; 0
	// selects DefaultWatchWait.
	WatchWait time.Duration
}

type httpClient struct {
	counters
	base      string
	token     string
	protocol  Protocol
	watchWait time.Duration
	limits    *callLimits
	client    *http.Client
	// rateLimitedUntil is the end of the latest Retry-After, in Unix
	// nanoseconds.
	rateLimitedUntil atomic.Int64
}

// NewHTTP returns a client of the platform at address, which is an ip:port or
// an HTTP URL, with the protocol described in docs/platform.md. The token is
// sent with each call; the budget bounds the calls.
func NewHTTP(address string, token string, budget Budget) Client {
	return New(Options{Address: address, Token: token, Budget: budget})
}

// New returns an HTTP client of the platform.
func New(o Options) Client {
	if !strings.Contains(o.Address, "://") {
		o.Address = "http://" + o.Address
	}
	if o.Protocol == nil {
		o.Protocol = defaultProtocol{}
	}
	if o.WatchWait == 0 {
		o.WatchWait = DefaultWatchWait
	}
	dialer := &net.Dialer{
		Timeout:         callTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	return &httpClient{
		base:      strings.TrimSuffix(o.Address, "/"),
		token:     o.Token,
		protocol:  o.Protocol,
		watchWait: o.WatchWait,
		limits:    newLimits(o.Budget),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     90 * time.Second,
			// The answers of the store have a few short headers.
			MaxResponseHeaderBytes: 64 << 10,
		}},
	}
}

// Get implements Client.
func (c *httpClient) Get(ctx context.Context, key string) (Object, error) {
	if err := CheckKey(key); err != nil {
		return Object{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header, body, err := c.do(ctx, readCall, c.protocol.Get(key), maxObjectBody)
	if err != nil {
		return Object{}, err
	}
	o, err := c.protocol.DecodeObject(key, header, body)
	if err != nil {
		return Object{}, c.countResult(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	return o, nil
}

// Put implements Client.
func (c *httpClient) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, ErrTooLarge
	}
	if err := CheckKey(key); err != nil {
		return Object{}, err
	}
	req, err := c.protocol.Put(key, value, ifVersion)
	if err != nil {
		return Object{}, fmt.Errorf("platform: encode value: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header, body, err := c.do(ctx, writeCall, req, maxObjectBody)
	if err != nil {
		return Object{}, err
	}
	o, err := c.protocol.DecodeObject(key, header, body)
	if err != nil {
		return Object{}, c.countResult(fmt.Errorf("%w: %w", ErrWriteUncertain, err))
	}
	return Object{Key: key, Version: o.Version, Value: append([]byte{}, value...)}, nil
}

// Delete implements Client.
func (c *httpClient) Delete(ctx context.Context, key string, ifVersion uint64) error {
	if err := CheckKey(key); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _, err := c.do(ctx, writeCall, c.protocol.Delete(key, ifVersion), maxObjectBody)
	return err
}

// List implements Client.
func (c *httpClient) List(ctx context.Context, prefix string) ([]Object, Position, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var objects []Object
	var era uint64
	after := ""
	for range maxPages {
		header, body, err := c.do(ctx, readCall, c.protocol.List(prefix, after), maxListBody)
		if err != nil {
			return nil, Position{}, err
		}
		page, err := c.protocol.DecodePage(prefix, body)
		if err != nil {
			return nil, Position{}, c.countResult(fmt.Errorf("%w: %w", ErrUnavailable, err))
		}
		if after == "" {
			era = c.protocol.Era(header)
		} else if era != c.protocol.Era(header) {
			return nil, Position{}, c.countResult(fmt.Errorf("%w: the store was restored between two pages of a list", ErrUnavailable))
		}
		objects = append(objects, page.Objects...)
		c.malformed.Add(uint64(page.Malformed))
		// A page that does not get further, because the names of its objects cannot
		// be read, ends the list as well.
		if page.NextAfter == "" || page.NextAfter == after {
			return objects, Position{era, page.Revision}, nil
		}
		after = page.NextAfter
	}
	return nil, Position{}, fmt.Errorf("%w: list has more than %d pages", ErrUnavailable, maxPages)
}

// Watch implements Client.
func (c *httpClient) Watch(ctx context.Context, prefix string, since Position) ([]Object, Position, error) {
	watchCtx, cancel := context.WithTimeout(ctx, c.watchWait+watchGrace)
	defer cancel()
	header, body, err := c.do(watchCtx, watchCall, c.protocol.Watch(prefix, since.Revision, c.watchWait), maxListBody)
	if errors.Is(err, ErrHistoryGone) {
		return c.List(ctx, prefix)
	}
	if err == nil && c.protocol.Era(header) != since.Era {
		// The revision since belongs to another life of the store. The changes
		// after it are not those that the caller has missed.
		return c.List(ctx, prefix)
	}
	if err != nil {
		return nil, Position{}, err
	}
	page, err := c.protocol.DecodeChanges(prefix, body)
	if err != nil {
		return nil, Position{}, c.countResult(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	c.malformed.Add(uint64(page.Malformed))
	return page.Objects, Position{c.protocol.Era(header), max(page.Revision, since.Revision)}, nil
}

// do sends one request within the budget and reads its whole answer of at most
// limit bytes. Every status outside 2xx is returned as an error.
func (c *httpClient) do(ctx context.Context, k callKind, call Request, limit int64) (http.Header, []byte, error) {
	if remaining := time.Until(time.Unix(0, c.rateLimitedUntil.Load())); remaining > 0 {
		return nil, nil, c.countResult(&RateLimitedError{RetryAfter: remaining})
	}
	if err := c.limits.acquire(ctx, k); err != nil {
		if errors.Is(err, ErrBudgetExceeded) {
			c.overBudget.Add(1)
		}
		return nil, nil, err
	}
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return nil, nil, fmt.Errorf("platform: %w", err)
	}
	c.countSent(k)
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, nil, c.countResult(transportError(k, err))
	}
	if err := checkAnswer(resp); err != nil {
		resp.Body.Close()
		return nil, nil, c.countResult(transportError(k, err))
	}
	defer drainAndClose(resp)
	if err := c.statusError(k, resp); err != nil {
		return nil, nil, c.countResult(err)
	}
	body, err := readAll(resp.Body, limit)
	if err != nil && k == writeCall {
		err = fmt.Errorf("%w: %w", ErrWriteUncertain, err)
	}
	if err != nil {
		return nil, nil, c.countResult(err)
	}
	return resp.Header, body, nil
}

func (c *httpClient) newRequest(ctx context.Context, call Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.URI, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // keeps net/http from retrying a write
	for name, values := range call.Header {
		req.Header[name] = values
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	return req, nil
}

// checkAnswer returns an error if resp is no answer or if the end of its body
// could not be recognised.
func checkAnswer(resp *http.Response) error {
	if err := answer.Check(resp); err != nil {
		return err
	}
	if !answer.Framed(resp) {
		return errors.New("the answer has no length and no chunks")
	}
	return nil
}

// transportError classifies a call that got no answer. A write is known to have
// had no effect only if its connection was never established.
func transportError(k callKind, err error) error {
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	if k == writeCall && !dialFailed {
		return fmt.Errorf("%w: %w", ErrWriteUncertain, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

func (c *httpClient) statusError(k callKind, resp *http.Response) error {
	if err := c.protocol.StatusError(resp.StatusCode); err != nil {
		return err
	}
	switch status := resp.StatusCode; {
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status == http.StatusTooManyRequests:
		wait := retryAfter(resp)
		c.rateLimitedUntil.Store(time.Now().Add(wait).UnixNano())
		return &RateLimitedError{RetryAfter: wait}
	case status == http.StatusServiceUnavailable:
		return ErrUnavailable
	case status >= 500 && k == writeCall:
		// Of the 5xx statuses, only 503 guarantees that nothing was written.
		return fmt.Errorf("%w: status %d", ErrWriteUncertain, status)
	case status >= 500:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	default:
		return fmt.Errorf("%w: status %d", ErrRefused, status)
	}
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 {
		return defaultRetryAfter
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// readAll reads a whole body of at most limit bytes. A truncated or longer body
// is an error that matches ErrUnavailable.
func readAll(body io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("%w: incomplete answer: %w", ErrUnavailable, err)
	}
	if int64(len(content)) > limit {
		return nil, fmt.Errorf("%w: answer is larger than %d bytes", ErrUnavailable, limit)
	}
	return content, nil
}

// drainAndClose reads the rest of a short body, so that the connection can be
// reused, and closes it.
func drainAndClose(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
	_ = resp.Body.Close()
}
