package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// client is one connection of a client to the node of its machine.
type client struct {
	fleet  *fleet
	conn   net.Conn
	reader *bufio.Reader
}

// request is one attempt of a client.
type request struct {
	method, host, path string
	header             []string // further header lines
	body               string
	chunked            bool
	deadline           time.Duration
	id                 string
}

// answer is what a client got. err tells that there was no complete answer.
type answer struct {
	status    int
	header    http.Header
	body      string
	signature string
	err       error
	closes    bool // the connection ends with this answer
	took      time.Duration
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("a%06d", lastID.Add(1)) }

func (f *fleet) dial(m *machine) (*client, error) {
	conn, err := net.DialTimeout("tcp", m.addr("outbound"), time.Second)
	if err != nil {
		return nil, err
	}
	return &client{fleet: f, conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *client) close() { c.conn.Close() }

func (r request) bytes() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.path, r.host, headerAttempt, r.id, headerDeadline, r.deadline.Milliseconds())
	for _, line := range r.header {
		b.WriteString(line + "\r\n")
	}
	if r.chunked {
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(r.body), r.body)
		return b.String()
	}
	if r.body != "" || r.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	return b.String()
}

// send sends a request and reads its answer. The client leaves at its deadline.
func (c *client) send(r request) answer {
	start := time.Now()
	c.fleet.record.event("sent", "id", r.id, "method", r.method, "host", r.host, "path", r.path, "bytes", len(r.body), "header", fmt.Sprintf("%q", r.header))
	_ = c.conn.SetDeadline(start.Add(r.deadline + 100*time.Millisecond))
	a := c.exchange(r)
	a.took = time.Since(start)
	if a.err != nil {
		c.fleet.record.event("broken", "id", r.id, "status", a.status, "error", fmt.Sprintf("%q", a.err.Error()), "after_ms", a.took.Milliseconds())
	} else {
		c.fleet.record.event("answered", "id", r.id, "status", a.status, "signature", fmt.Sprintf("%q", a.signature), "retry_after", fmt.Sprintf("%q", a.header.Get("Retry-After")),
			"body", fmt.Sprintf("%.120q", a.body), "after_ms", a.took.Milliseconds())
	}
	return a
}

func (c *client) exchange(r request) answer {
	if _, err := io.WriteString(c.conn, r.bytes()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		err = errors.New("the answer has no length")
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), signature: resp.Header.Get(headerSignature), err: err, closes: resp.Close}
}

// sendOnce sends a request on a connection of its own.
func (f *fleet) sendOnce(m *machine, r request) answer {
	c, err := f.dial(m)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	return c.send(r)
}
