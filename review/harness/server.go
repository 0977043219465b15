package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// slots is the number of requests that a server runs at the same time.
const slots = 4

// beatInterval is heartbeat_ms of the site.
const beatInterval = 1500 * time.Millisecond

// arrival is one request that reached a server.
type arrival struct {
	at                       time.Time
	id, method, target, body string
	caller                   string
	ran                      bool
	// rejected is set if the request expected another instance (421).
	rejected bool
}

// server is a stand-in of one application server.
type server struct {
	m       *machine
	id      string
	born    int64
	stopped chan struct{}

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	sequence int
	state    string    // of the heartbeats
	silent   bool      // sends no heartbeats any more
	leftAt   time.Time // acknowledgement of the leaving
	arrivals []*arrival
	running  int
	freed    chan struct{}
	// work returns how long a request runs.
	work func(r *http.Request) time.Duration
}

func newServer(m *machine, id string) *server {
	return &server{m: m, id: id, born: time.Now().UnixMilli(), stopped: make(chan struct{}), conns: make(map[net.Conn]bool),
		state: "ready", freed: make(chan struct{}),
		work: func(*http.Request) time.Duration { return 50 * time.Millisecond }}
}

func (s *server) listen() error {
	l, err := net.Listen("tcp", s.m.addr(s.m.fleet.ports.app))
	if err != nil {
		return err
	}
	s.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return nil
}

// close ends the server: its address refuses connections from now on.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stopped:
		return
	default:
	}
	close(s.stopped)
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		c.Close()
	}
}

// serve answers the requests of one connection, one at a time.
func (s *server) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		gone := make(chan struct{})
		go func() {
			defer close(gone)
			if _, err := br.Peek(1); err != nil {
				cancel()
			}
		}()
		answer, ok := s.answer(ctx, r, string(body))
		if ok {
			var buf bytes.Buffer
			answer.Write(&buf)
			_, err = c.Write(buf.Bytes())
		}
		if !ok || err != nil {
			cancel()
			return
		}
		<-gone
		cancel()
	}
}

// answer runs a request or rejects it. ok is false if the caller has left.
func (s *server) answer(ctx context.Context, r *http.Request, body string) (resp *http.Response, ok bool) {
	if r.URL.Path == "/healthz" {
		return s.response(r, http.StatusOK, "", http.Header{"X-Siskinvale-Instance-Id": {s.id}}), true
	}
	a := &arrival{at: time.Now(), id: r.Header.Get(headerAttempt), method: r.Method, target: r.RequestURI, body: body,
		caller: r.Header.Get("X-Siskinvale-Caller-Service")}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	if r.Header.Get("X-Siskinvale-Expected-Instance") != s.id {
		s.m.fleet.rec.log("server %s rejects %s: another instance is expected", s.id, a.id)
		s.mu.Lock()
		a.rejected = true
		s.mu.Unlock()
		return s.response(r, http.StatusMisdirectedRequest, "", nil), true
	}
	left, err := strconv.Atoi(r.Header.Get("X-Siskinvale-Deadline-Ms"))
	if err != nil {
		left = 10_000
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(left)*time.Millisecond)
	defer cancel()
	if !s.acquire(ctx) {
		return s.response(r, http.StatusServiceUnavailable, "", http.Header{"X-Siskinvale-Not-Executed": {"1"}}), true
	}
	defer s.release()
	s.mu.Lock()
	a.ran = true
	s.mu.Unlock()
	s.m.fleet.rec.log("server %s runs %s %s %s", s.id, a.id, r.Method, r.RequestURI)
	select {
	case <-time.After(s.work(r)):
		return s.response(r, http.StatusOK, "answer of "+s.id+" to "+a.id, s.signed(a.id)), true
	case <-ctx.Done():
		s.m.fleet.rec.log("server %s ends work on %s early: %v", s.id, a.id, ctx.Err())
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return s.response(r, http.StatusGatewayTimeout, "", s.signed(a.id)), true
		}
		return nil, false
	}
}

func (s *server) signed(id string) http.Header {
	return http.Header{headerAttempt: {id}, headerSignature: {s.id + "." + id}}
}

func (s *server) response(r *http.Request, status int, body string, h http.Header) *http.Response {
	if h == nil {
		h = http.Header{}
	}
	if id := r.Header.Get(headerAttempt); id != "" {
		h.Set(headerAttempt, id)
	}
	s.mu.Lock()
	if s.silent || s.state == "draining" {
		h.Set("Server-Leaving", "1")
	}
	s.mu.Unlock()
	return &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Request: r, Header: h,
		ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}
}

func (s *server) acquire(ctx context.Context) bool {
	for {
		s.mu.Lock()
		if s.running < slots {
			s.running++
			s.mu.Unlock()
			return true
		}
		freed := s.freed
		s.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	close(s.freed)
	s.freed = make(chan struct{})
}

// beat is the body of one heartbeat.
func (s *server) beat(sequence int, state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"quimper-a","version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"sequence":%d,"born":%d}`,
		s.m.service, s.m.addr(s.m.fleet.ports.app), slots, state, sequence, s.born)
}

// nextBeat returns the body of the next heartbeat and its number.
func (s *server) nextBeat() (body string, sequence int, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return s.beat(s.sequence, s.state), s.sequence, s.state
}

// tell sends a call about this server to the node on its machine and reports
// whether the node acknowledged it within a second.
func (s *server) tell(call, body string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + s.m.addr(s.m.fleet.ports.targets) + "/instances/" + s.id + "/" + call
	resp, err := client.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// heartbeat sends the next heartbeat.
func (s *server) heartbeat() bool {
	body, sequence, state := s.nextBeat()
	ok := s.tell("heartbeat", body)
	s.m.fleet.rec.log("server %s: heartbeat %d (%s), acknowledged: %t", s.id, sequence, state, ok)
	return ok
}

// deregister sends the server's last call.
func (s *server) deregister() bool {
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	ok := s.tell("deregister", fmt.Sprintf(`{"born":%d}`, s.born))
	s.m.fleet.rec.log("server %s: deregister, acknowledged: %t", s.id, ok)
	return ok
}

// beatUntilStopped sends a heartbeat every beatInterval.
func (s *server) beatUntilStopped() {
	for {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if !silent {
			s.heartbeat()
		}
		select {
		case <-s.stopped:
			return
		case <-time.After(beatInterval):
		}
	}
}

// setState changes the state that the heartbeats carry.
func (s *server) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// seen returns the requests that have reached the server.
func (s *server) seen() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]arrival, 0, len(s.arrivals))
	for _, a := range s.arrivals {
		out = append(out, *a)
	}
	return out
}
