package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// callTimeout bounds every call but Watch. The platform answers in
	// milliseconds; a call that takes this long counts as failed.
	callTimeout = 2 * time.Second
	// watchGrace is added to WatchWait for the answer's way back.
	watchGrace = 5 * time.Second
	// maxListBody bounds the body of a list or watch in bytes.
	maxListBody = 64 << 20
	// defaultRetryAfter applies to a 429 without a readable Retry-After.
	defaultRetryAfter = time.Second
	// maxRetryAfter keeps a wrong Retry-After from stopping a node for hours.
	maxRetryAfter = 30 * time.Second
)

type httpClient struct {
	counters
	base   string
	token  string
	limits *limits
	client *http.Client
	// heldUntil is the end of the last Retry-After in Unix nanoseconds.
	heldUntil atomic.Int64
}

// NewHTTP returns a client of the platform at address, which is ip:port or an
// http URL. The token is sent with each call; the budget bounds the calls.
func NewHTTP(address string, token string, budget Budget) Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &httpClient{
		base:   strings.TrimSuffix(address, "/"),
		token:  token,
		limits: newLimits(budget),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     90 * time.Second,
		}},
	}
}

// listing is the JSON body of a list or watch.
type listing struct {
	Revision uint64         `json:"revision"`
	Objects  []listedObject `json:"objects"`
}

type listedObject struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	Deleted bool   `json:"deleted"`
}

// Get implements Client.
func (c *httpClient) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.call(ctx, read, http.MethodGet, key, nil, nil)
	if err != nil {
		return Object{}, err
	}
	defer drain(resp)
	version, err := etagVersion(resp)
	if err != nil {
		return Object{}, c.result(err)
	}
	value, err := readAll(resp.Body, MaxValue)
	if err != nil {
		return Object{}, c.result(err)
	}
	return Object{Key: key, Version: version, Value: value}, nil
}

// Put implements Client.
func (c *httpClient) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (Object, error) {
	if len(value) > MaxValue {
		return Object{}, ErrTooLarge
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	condition := http.Header{"If-None-Match": {"*"}}
	if ifVersion != 0 {
		condition = ifMatch(ifVersion)
	}
	resp, err := c.call(ctx, write, http.MethodPut, key, condition, value)
	if err != nil {
		return Object{}, err
	}
	defer drain(resp)
	version, err := etagVersion(resp)
	if err != nil {
		return Object{}, c.result(fmt.Errorf("%w: %w", ErrUncertain, err))
	}
	return Object{Key: key, Version: version, Value: append([]byte{}, value...)}, nil
}

// Delete implements Client.
func (c *httpClient) Delete(ctx context.Context, key string, ifVersion uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.call(ctx, write, http.MethodDelete, key, ifMatch(ifVersion), nil)
	if err == nil {
		drain(resp)
	}
	return err
}

// List implements Client.
func (c *httpClient) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.listing(ctx, read, "/v1/objects?"+url.Values{"prefix": {prefix}}.Encode())
}

// Watch implements Client.
func (c *httpClient) Watch(ctx context.Context, prefix string, since uint64) ([]Object, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchWait+watchGrace)
	defer cancel()
	query := url.Values{"prefix": {prefix}, "since": {strconv.FormatUint(since, 10)}, "wait": {WatchWait.String()}}
	return c.listing(ctx, watch, "/v1/watch?"+query.Encode())
}

func (c *httpClient) listing(ctx context.Context, k kind, target string) ([]Object, uint64, error) {
	resp, err := c.do(ctx, k, http.MethodGet, target, nil, nil)
	if err != nil {
		return nil, 0, err
	}
	defer drain(resp)
	body, err := readAll(resp.Body, maxListBody)
	if err != nil {
		return nil, 0, c.result(err)
	}
	var l listing
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, 0, c.result(fmt.Errorf("%w: malformed answer: %w", ErrUnavailable, err))
	}
	objects := make([]Object, 0, len(l.Objects))
	for _, o := range l.Objects {
		objects = append(objects, Object(o))
	}
	return objects, l.Revision, nil
}

// call does a request for one object.
func (c *httpClient) call(ctx context.Context, k kind, method, key string, condition http.Header, body []byte) (*http.Response, error) {
	if err := CheckKey(key); err != nil {
		return nil, err
	}
	target := (&url.URL{Path: "/v1/objects/" + key}).EscapedPath()
	return c.do(ctx, k, method, target, condition, body)
}

// do sends one request within the budget. On success the caller closes the
// body; any other status is an error.
func (c *httpClient) do(ctx context.Context, k kind, method, target string, header http.Header, body []byte) (*http.Response, error) {
	if held := time.Until(time.Unix(0, c.heldUntil.Load())); held > 0 {
		return nil, c.result(&RateLimitedError{RetryAfter: held})
	}
	if err := c.limits.take(ctx, k); err != nil {
		if errors.Is(err, ErrBudget) {
			c.overBudget.Add(1)
		}
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+target, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	c.sent(k)
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, c.result(transportError(k, err))
	}
	if err := c.statusError(k, resp); err != nil {
		drain(resp)
		return nil, c.result(err)
	}
	return resp, nil
}

// transportError classifies a call without an answer. Only a write whose
// connection was never established is known to have had no effect.
func transportError(k kind, err error) error {
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	if k == write && !dialFailed {
		return fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

func (c *httpClient) statusError(k kind, resp *http.Response) error {
	switch status := resp.StatusCode; {
	case status == http.StatusOK || status == http.StatusNoContent:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status == http.StatusTooManyRequests:
		wait := retryAfter(resp)
		c.heldUntil.Store(time.Now().Add(wait).UnixNano())
		return &RateLimitedError{RetryAfter: wait}
	case status == http.StatusServiceUnavailable:
		return ErrUnavailable
	case status >= 500 && k == write:
		// Only 503 promises that nothing was written.
		return fmt.Errorf("%w: status %d", ErrUncertain, status)
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

func ifMatch(version uint64) http.Header {
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(version, 10))}}
}

func etagVersion(resp *http.Response) (uint64, error) {
	tag := strings.Trim(resp.Header.Get("ETag"), `"`)
	version, err := strconv.ParseUint(tag, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: malformed ETag %q", ErrUnavailable, tag)
	}
	return version, nil
}

// readAll reads a whole body of at most limit bytes. A body that breaks off is
// an error because the answer is incomplete.
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

// drain reads the rest of a short body, so that the connection is used again.
func drain(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
	_ = resp.Body.Close()
}
