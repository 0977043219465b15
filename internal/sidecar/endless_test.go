package sidecar_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/sidecar"
)

// startEndlessTarget answers each request with a prefix and then repeats a part
// until the connection is closed. It returns its address, the bytes that it
// could send on all connections, and the number of open connections.
func startEndlessTarget(prefix, part string) (addr string, sent, open *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	sent, open = new(atomic.Int64), new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			go func() {
				defer open.Add(-1)
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				// Small buffers, so that what was sent was also read.
				_ = conn.(*net.TCPConn).SetWriteBuffer(16 << 10)
				if _, err := io.WriteString(conn, prefix); err != nil {
					return
				}
				for {
					n, err := io.WriteString(conn, part)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), sent, open
}

// maxUnusedBytes is far above any head that a target sends and far below what
// the requests in flight could hold in the memory of a small VM.
const maxUnusedBytes = 1 << 20

// Guards against a target in trouble that sends bytes without end: neither
// memory nor a slot may be taken beyond the deadline, and no caller may get a
// success.
var _ = Describe("A target that sends without end", func() {
	forward := func(s *sidecar.Sidecar, timeout time.Duration) (outcome fleet.Outcome, status int, read int64, readErr error) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		reply := s.Forward(ctx, lookup(timeout))
		read, readErr = io.Copy(io.Discard, reply.Body)
		reply.Body.Close()
		return reply.Outcome, reply.Status, read, readErr
	}
	line := "X-Junk: " + strings.Repeat("x", 1<<10) + "\r\n"

	DescribeTable("in what is no complete head is cut off early and gets no answer through",
		func(prefix, part string) {
			addr, sent, open := startEndlessTarget(prefix, part)
			s := newSidecar(addr, nil)
			start := time.Now()
			outcome, _, _, _ := forward(s, 400*time.Millisecond)
			Expect(outcome).To(Equal(fleet.Unknown))
			Expect(time.Since(start)).To(BeNumerically("<", time.Second))
			Eventually(open.Load, "2s").Should(BeZero(), "the connection stays open")
			Expect(sent.Load()).To(BeNumerically("<", maxUnusedBytes))
			Expect(s.InFlight()).To(BeZero())
		},
		Entry("header lines", "HTTP/1.1 200 OK\r\n", line),
		Entry("one header line", "HTTP/1.1 200 OK\r\nX-Junk: ", strings.Repeat("x", 1<<10)),
		Entry("a status line", "HTTP/1.1 200 ", strings.Repeat("O", 1<<10)),
		Entry("bytes of no protocol", "", strings.Repeat("\x00\xff", 1<<9)),
		Entry("interim answers", "", "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n"),
		Entry("interim answers without headers", "", "HTTP/1.1 100 Continue\r\n\r\n"),
	)

	DescribeTable("in a body ends at the deadline with an error",
		func(prefix, part string) {
			addr, _, open := startEndlessTarget(prefix, part)
			s := newSidecar(addr, nil)
			start := time.Now()
			outcome, _, _, err := forward(s, 400*time.Millisecond)
			Expect(outcome).To(Equal(fleet.Answered))
			Expect(err).To(HaveOccurred(), "the answer looks complete")
			Expect(time.Since(start)).To(BeNumerically("<", time.Second))
			Eventually(open.Load, "2s").Should(BeZero(), "the connection stays open")
			Expect(s.InFlight()).To(BeZero())
			samples := s.Samples()
			Expect(samples).To(HaveLen(1))
			Expect(samples[0].Errors + samples[0].Truncated).To(BeEquivalentTo(1))
		},
		Entry("of chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1<<10)+"\r\n"),
		Entry("of one long chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\n", strings.Repeat("x", 1<<10)),
		Entry("of chunk extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1", ";"+strings.Repeat("x", 1<<10)),
		Entry("of tiny chunks with extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;"+strings.Repeat("x", 1<<10)+"\r\nx\r\n"),
		Entry("of trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", line),
		Entry("of a declared length that never comes to its end", "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n", strings.Repeat("x", 1<<10)),
	)

	It("after a complete answer does not reach the next caller", func() {
		addr, _, _ := startEndlessTarget("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
		s := newSidecar(addr, nil)
		for range 20 {
			outcome, _, read, err := forward(s, 400*time.Millisecond)
			if outcome == fleet.Answered && err == nil {
				Expect(read).To(BeEquivalentTo(2))
			}
		}
	})
})

// startRepeatingTarget answers each request with its path. On a connection that
// is in use again it first sends a second copy of the previous answer. echo makes
// it return the request ID.
func startRepeatingTarget(echo bool) (addr string, connections *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	connections = new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer conn.Close()
				previous := ""
				for requests := bufio.NewReader(conn); ; {
					r, err := http.ReadRequest(requests)
					if err != nil {
						return
					}
					id := ""
					if echo {
						id = "Siskinvale-Request-Id: " + r.Header.Get("Siskinvale-Request-Id") + "\r\n"
					}
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(r.URL.Path), r.URL.Path)
					_, _ = io.WriteString(conn, previous+answer)
					if previous = answer; r.Close {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), connections
}

// Guards against an answer that reaches the caller of another request: a target
// sent a second copy late, when its connection was in use again.
var _ = DescribeTable("A target that sends answers twice never answers another caller's request",
	func(echo bool) {
		addr, connections := startRepeatingTarget(echo)
		s := newSidecar(addr, nil)
		answered := 0
		for i := range 20 {
			call := lookup(time.Second)
			call.RequestID, call.Path = fmt.Sprintf("r%d", i), fmt.Sprintf("/kits/%d", i)
			reply := s.Forward(context.Background(), call)
			body, err := io.ReadAll(reply.Body)
			reply.Body.Close()
			if reply.Outcome == fleet.Answered && err == nil {
				answered++
				Expect(string(body)).To(Equal(call.Path))
				Expect(reply.Header).NotTo(HaveKey("Siskinvale-Request-Id"))
			}
		}
		Expect(answered).To(BeNumerically(">=", 10))
		Expect(connections.Load()).To(BeNumerically(">=", 10))
	},
	Entry("with the request ID in its answers", true),
	Entry("without", false),
)

var _ = Describe("Connections to targets without a dialect", func() {
	It("are kept if the answers return the request ID", func() {
		var connections atomic.Int64
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Siskinvale-Request-Id", r.Header.Get("Siskinvale-Request-Id"))
			_, _ = io.WriteString(w, "ok")
		}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				connections.Add(1)
			}
		}
		server.Start()
		DeferCleanup(server.Close)
		s := newSidecar(server.Listener.Addr().String(), nil)
		for range 20 {
			reply := s.Forward(context.Background(), lookup(time.Second))
			Expect(io.ReadAll(reply.Body)).To(Equal([]byte("ok")))
			reply.Body.Close()
		}
		Expect(connections.Load()).To(BeNumerically("<=", 2))
	})
})
