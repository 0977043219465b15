package sidecar_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"context"

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
