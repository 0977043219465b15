package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	headerAttempt   = "X-Siskinvale-Attempt-Id"
	headerDeadline  = "X-Siskinvale-Deadline-Ms"
	headerExpected  = "X-Siskinvale-Expected-Instance"
	headerSignature = "X-Siskinvale-Server-Signature"
	headerNotRun    = "X-Siskinvale-Not-Executed"
	headerInstance  = "X-Siskinvale-Instance-Id"
	headerLoad      = "X-Siskinvale-Instance-Load"
	headerCaller    = "X-Siskinvale-Caller-Service"
)

const (
	serverSlots = 4
	serverQueue = 36
)

// server is a stand-in for an application server. It runs a request for as long
// as its work says, at most serverSlots at a time, and queues a few more.
type server struct {
	machine *machine
	id      string
	service string
	addr    string
	born    int64

	listener net.Listener
	slots    chan struct{}
	conns    sync.Map // open connections

	mu       sync.Mutex
	waiting  int
	sequence int
	draining bool
	beating  bool
	stop     chan struct{}
	runs     []run
	// work returns how long a request runs.
	work func(r *http.Request) time.Duration
	// answer, if not nil, writes the answer of a request that has run in place
	// of the usual one. It returns false if the connection ends.
	answer func(conn net.Conn, r *http.Request, body []byte, reused bool) (keep, done bool)
}

// run is one request at which a server began to work.
type run struct {
	at               time.Time
	server, id       string
	method, path     string
	host, caller     string
	callerPresent    bool
	body             []byte
	deadline         string
	ended            time.Time
	expectedInstance string
}

func newServer(m *machine, id, service string) (*server, error) {
	l, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{
		machine: m, id: id, service: service, addr: l.Addr().String(), born: time.Now().UnixMilli(), listener: l,
		slots: make(chan struct{}, serverSlots), stop: make(chan struct{}),
		work: func(*http.Request) time.Duration { return 20 * time.Millisecond },
	}
	go s.accept()
	return s, nil
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *server) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
}

// end ends the server's process: its connections close.
func (s *server) end() {
	s.close()
	s.conns.Range(func(conn, _ any) bool {
		conn.(net.Conn).Close()
		return true
	})
}

// serve serves one connection, one request at a time.
func (s *server) serve(conn net.Conn) {
	s.conns.Store(conn, nil)
	defer s.conns.Delete(conn)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for reused := false; ; reused = true {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.Header.Get("Expect") != "" {
			fmt.Fprint(conn, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !s.handle(conn, r, body, reused) {
			return
		}
	}
}

func (s *server) head(status int, r *http.Request, length int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := r.Header.Get(headerAttempt); id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", headerAttempt, id)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&b, "%s: %d,%d,%d\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n", headerLoad, len(s.slots), s.waiting, serverSlots, length)
	if s.draining {
		b.WriteString("Server-Leaving: 1\r\n")
	}
	return b.String()
}

// handle answers one request. It reports whether the connection is kept.
func (s *server) handle(conn net.Conn, r *http.Request, body []byte, reused bool) bool {
	health := r.URL.Path == "/healthz"
	if expected := r.Header.Get(headerExpected); expected != "" && expected != s.id {
		fmt.Fprintf(conn, "%s%s: %s\r\n\r\n", s.head(http.StatusMisdirectedRequest, r, 0), headerInstance, s.id)
		return true
	}
	if !health && r.Header.Get(headerAttempt) == "" {
		fmt.Fprintf(conn, "%s%s: 1\r\n\r\n", s.head(http.StatusBadRequest, r, 0), headerNotRun)
		return true
	}
	deadline := time.Now().Add(time.Minute)
	if ms, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	s.mu.Lock()
	full := s.waiting >= serverQueue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	got := false
	if !full {
		select {
		case s.slots <- struct{}{}:
			got = true
		case <-time.After(time.Until(deadline)):
		}
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}
	if !got {
		fmt.Fprintf(conn, "%s%s: 1\r\n\r\n", s.head(http.StatusServiceUnavailable, r, 0), headerNotRun)
		return true
	}
	defer func() { <-s.slots }()
	if health {
		time.Sleep(25 * time.Millisecond)
		s.mu.Lock()
		status := http.StatusOK
		if s.draining {
			status = http.StatusServiceUnavailable
		}
		s.mu.Unlock()
		fmt.Fprintf(conn, "%s%s: %s\r\n\r\n", s.head(status, r, 0), headerInstance, s.id)
		return true
	}
	_, present := r.Header[headerCaller]
	s.mu.Lock()
	n := len(s.runs)
	if s.machine.fleet.record.quiet {
		s.runs, n = s.runs[:0], 0
	}
	s.runs = append(s.runs, run{
		at: time.Now(), server: s.id, id: r.Header.Get(headerAttempt), method: r.Method, path: r.RequestURI, host: r.Host,
		caller: r.Header.Get(headerCaller), callerPresent: present, body: body, deadline: r.Header.Get(headerDeadline),
		expectedInstance: r.Header.Get(headerExpected),
	})
	work, answer := s.work, s.answer
	s.mu.Unlock()
	s.machine.fleet.record.event("run", "server", s.id, "id", r.Header.Get(headerAttempt), "method", r.Method, "path", r.RequestURI,
		"host", r.Host, "caller", fmt.Sprintf("%q", r.Header.Get(headerCaller)), "deadline_ms", r.Header.Get(headerDeadline), "bytes", len(body))
	duration := work(r)
	timedOut := duration > time.Until(deadline)
	if timedOut {
		duration = time.Until(deadline)
	}
	time.Sleep(duration)
	s.endRun(n)
	if answer != nil {
		if keep, done := answer(conn, r, body, reused); done {
			return keep
		}
	}
	status, text := http.StatusOK, s.text(r, body)
	if timedOut {
		status, text = http.StatusGatewayTimeout, "the deadline has passed\n"
	}
	_, err := fmt.Fprintf(conn, "%s%s: %s\r\n\r\n%s", s.head(status, r, len(text)), headerSignature, s.signature(r, text), text)
	return err == nil
}

func (s *server) endRun(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n < len(s.runs) {
		s.runs[n].ended = time.Now()
	}
}

// text is the body of a server's answer to a request that has run.
func (s *server) text(r *http.Request, body []byte) string {
	return fmt.Sprintf("server %s ran %s %s for %s with %d bytes\n", s.id, r.Method, r.RequestURI, r.Header.Get(headerAttempt), len(body))
}

func (s *server) signature(r *http.Request, text string) string {
	return fmt.Sprintf("%s.%s.%d", s.id, r.Header.Get(headerAttempt), len(text))
}

// setWork replaces the time that requests run.
func (s *server) setWork(work func(*http.Request) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = work
}

// allRuns returns the runs of all servers.
func (f *fleet) allRuns() []run {
	var all []run
	for _, m := range f.machines {
		m.server.mu.Lock()
		all = append(all, m.server.runs...)
		m.server.mu.Unlock()
	}
	return all
}

// heartbeat sends one heartbeat and reports whether the node acknowledged it.
func (s *server) heartbeat() bool {
	s.mu.Lock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	body := s.beat(state, s.sequence)
	s.mu.Unlock()
	return s.send("heartbeat", body)
}

func (s *server) beat(state string, sequence int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"sequence":%d,"born":%d}`,
		s.service, s.addr, s.machine.zone, serverSlots, state, sequence, s.born)
}

// send makes a call of the server to its node and reports whether it was
// acknowledged within a second.
func (s *server) send(call, body string) bool {
	resp, err := plainClient.Post("http://"+s.machine.addr("control_plane")+"/instances/"+s.id+"/"+call, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// beginHeartbeats sends heartbeats until the server closes or stopHeartbeats is
// called.
func (s *server) beginHeartbeats() {
	s.mu.Lock()
	s.beating = true
	s.mu.Unlock()
	go func() {
		for {
			s.mu.Lock()
			beating := s.beating
			s.mu.Unlock()
			if !beating {
				return
			}
			pause := beatPeriod
			if !s.heartbeat() {
				pause = 200 * time.Millisecond
			}
			select {
			case <-s.stop:
				return
			case <-time.After(pause):
			}
		}
	}()
}
