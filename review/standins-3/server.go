package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the platform's protocol.
const (
	headerAttempt     = "X-Siskinvale-Attempt-Id"
	headerDeadline    = "X-Siskinvale-Deadline-Ms"
	headerSignature   = "X-Siskinvale-Server-Signature"
	headerExpected    = "X-Siskinvale-Expected-Instance"
	headerInstance    = "X-Siskinvale-Instance-Id"
	headerNotExecuted = "X-Siskinvale-Not-Executed"
	headerLoad        = "X-Siskinvale-Instance-Load"
	headerLeaving     = "Server-Leaving"
)

// server is an application server as the pages describe it. It speaks HTTP/1.1.
type server struct {
	id, service, addr string
	born              int64
	slots             int
	// serve handles a request that is for this server. It returns false if the
	// connection is to be closed.
	serve func(s *server, c net.Conn, buffered *bufio.Reader, r *http.Request) bool
	// silent stops the periodic heartbeats.
	silent   bool
	machine  *machine
	rec      *record
	listener net.Listener
	leaving  atomic.Bool

	mu       sync.Mutex
	sequence int
	stopped  chan struct{}
	once     sync.Once
}

func (s *server) listen() error {
	if s.slots == 0 {
		s.slots = 4
	}
	s.stopped = make(chan struct{})
	var err error
	if s.listener, err = net.Listen("tcp", s.addr); err != nil {
		return err
	}
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serveConn(c)
		}
	}()
	go s.heartbeats()
	return nil
}

func (s *server) stop() {
	s.once.Do(func() {
		close(s.stopped)
		s.listener.Close()
	})
}

// heartbeats announces the server to its node.
func (s *server) heartbeats() {
	for !s.silent {
		wait := heartbeatInterval
		if !s.post("heartbeat", s.heartbeat()) {
			wait = heartbeatInterval / 5
		}
		select {
		case <-s.stopped:
			return
		case <-time.After(wait):
		}
	}
}

// heartbeat returns the body of the next heartbeat.
func (s *server) heartbeat() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	body, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.addr, "zone": s.machine.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	})
	if err != nil {
		panic(err)
	}
	return string(body)
}

// post sends what the server says of itself to its node and reports whether the
// node acknowledged it within a second.
func (s *server) post(call, body string) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+s.machine.addr(portControl)+"/instances/"+s.id+"/"+call, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// statement is the header by which a server that leaves says so.
func (s *server) statement() string {
	if s.leaving.Load() {
		return headerLeaving + ": 1\r\n"
	}
	return ""
}

func (s *server) serveConn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		switch {
		case r.URL.Path == "/healthz":
			status := "200 OK"
			if s.leaving.Load() {
				status = "503 Service Unavailable"
			}
			_, err = io.WriteString(c, "HTTP/1.1 "+status+"\r\n"+headerInstance+": "+s.id+"\r\n"+s.statement()+"Content-Length: 0\r\n\r\n")
			if err != nil {
				return
			}
		case r.Header.Get(headerExpected) != s.id:
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+headerInstance+": "+s.id+"\r\nContent-Length: 0\r\n\r\n")
			return
		default:
			if !s.serve(s, c, reader, r) {
				return
			}
		}
	}
}

// answer writes a whole answer of the server to a request that it has run.
func (s *server) answer(c net.Conn, r *http.Request, status int, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: signed-by-%s\r\n%s: 1,0,%d\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), headerAttempt, r.Header.Get(headerAttempt), headerSignature, s.id, headerLoad, s.slots, s.statement(), len(body), body)
	return err == nil
}
