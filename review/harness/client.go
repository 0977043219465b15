package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerAttempt   = "X-Siskinvale-Attempt-Id"
	headerSignature = "X-Siskinvale-Server-Signature"
	host            = "wuny96.example"
)

// request is one client attempt and its answer. Status 0 means that the
// connection ended without an answer.
type request struct {
	id, method, path string
	machine          *machine
	sentAt, endedAt  time.Time
	status           int
	body             string
	// connected is set if the request was written to a connection.
	connected bool
}

// clients sends requests to the nodes and keeps what was answered.
type clients struct {
	rec  *recorder
	last atomic.Int64
	turn int // of the machines from which requests come

	mu       sync.Mutex
	requests []*request
	waiting  sync.WaitGroup
}

// send makes one attempt on a connection of its own and waits for the answer.
func (c *clients) send(m *machine, method, path, body string, deadline time.Duration) *request {
	id := fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(c.last.Add(1)))
	q := &request{id: id, method: method, path: path, machine: m, sentAt: time.Now()}
	c.mu.Lock()
	c.requests = append(c.requests, q)
	c.mu.Unlock()
	r, err := http.NewRequest(method, "http://"+m.addr(m.fleet.ports.callers)+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set(headerAttempt, id)
	r.Header.Set("X-Siskinvale-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	c.rec.log("client sends %s %s %s to %s", id, method, path, m.name)
	var written atomic.Bool
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { written.Store(info.Err == nil) },
	}))
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := client.Do(r); err == nil {
		b, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		if readErr == nil {
			q.status, q.body = resp.StatusCode, string(b)
		}
	}
	q.endedAt, q.connected = time.Now(), written.Load()
	c.rec.log("client gets %d for %s after %d ms", q.status, id, q.endedAt.Sub(q.sentAt).Milliseconds())
	return q
}

// goSend is send without waiting for the answer.
func (c *clients) goSend(m *machine, method, path, body string, deadline time.Duration) {
	c.waiting.Add(1)
	go func() {
		defer c.waiting.Done()
		c.send(m, method, path, body, deadline)
	}()
}
