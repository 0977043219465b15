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
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/sidecar"
)

func TestSidecar(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sidecar")
}

const testBundle = `
name: test
version: 1
signers: {authors: [a], approvers: [b]}
dataCentres: [{name: dc1, region: r}]
services:
  - name: booking
    slots: 4
    expectedTargets: 1
    floor: 1
    operations: {ranges: 64, retryWindow: 10m}
    classes:
      - {name: lookup, idempotent: true, idempotencyKey: none, priority: interactive, length: short, deadline: 500ms, expected: 5ms, attempts: 3, maxBody: 1024}
      - {name: hold, idempotent: false, idempotencyKey: required, priority: interactive, length: short, deadline: 300ms, expected: 5ms, attempts: 1, maxBody: 1024}
    routes:
      - {method: GET, path: /kits/:id, class: lookup}
      - {method: POST, path: /holds, class: hold}
tenants:
  default: {requestsPerSecond: 1000, burst: 1000, weight: 1}
`

// fakeOperations runs every keyed call; mayDispatch is the answer to the check
// before dispatch.
type fakeOperations struct {
	mayDispatch bool
}

func (r *fakeOperations) Do(ctx context.Context, _ *link.Call, run func(context.Context, func() bool) *link.Reply) *link.Reply {
	return run(ctx, func() bool { return r.mayDispatch })
}

// newSidecar returns a sidecar with one target of service booking at addr.
func newSidecar(addr string, operations sidecar.Operations) *sidecar.Sidecar {
	b, findings := bundle.Parse("test", []byte(testBundle))
	Expect(findings).To(BeEmpty())
	s := sidecar.New("n1", operations, time.Now)
	s.SetBundle(b)
	s.SetTarget(fleet.Target{ID: "t1", Service: "booking", Node: "n1", Addr: addr, Slots: 4})
	return s
}

func lookup(timeout time.Duration) *link.Call {
	return &link.Call{
		AttemptID: "a", RequestID: "r", Service: "booking", Class: "lookup", Target: "t1", Timeout: timeout,
		Method: http.MethodGet, Path: "/kits/1", Header: http.Header{}, Body: http.NoBody,
	}
}

// startRawTarget answers every request on every connection with raw bytes and
// closes the connection.
func startRawTarget(raw string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					fmt.Fprint(conn, raw)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func startTarget(h http.HandlerFunc) string {
	server := httptest.NewServer(h)
	DeferCleanup(server.Close)
	return server.Listener.Addr().String()
}

var _ = Describe("Sidecar", func() {
	forward := func(s *sidecar.Sidecar, call *link.Call) *link.Reply {
		ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
		DeferCleanup(cancel)
		return s.Forward(ctx, call)
	}

	It("runs a call and reports load and evidence", func() {
		var got http.Header
		s := newSidecar(startTarget(func(w http.ResponseWriter, r *http.Request) { got = r.Header; fmt.Fprint(w, "ok") }), nil)
		call := lookup(time.Second)
		call.Header.Set("Traceparent", "00-1-2-01")
		reply := forward(s, call)
		Expect(io.ReadAll(reply.Body)).To(Equal([]byte("ok")))
		reply.Body.Close()
		Expect(reply.Outcome).To(Equal(fleet.Answered))
		Expect(got.Get("Traceparent")).To(Equal("00-1-2-01"))
		Expect(got.Get("Siskinvale-Request-Id")).To(Equal("r"))
		Expect(got.Get("Siskinvale-Timeout")).To(MatchRegexp(`^\d+ms$`))
		samples := s.Samples()
		Expect(samples).To(HaveLen(1))
		Expect(samples[0].Completed).To(BeEquivalentTo(1))
		Expect(s.InFlight()).To(BeZero())
	})

	// Guards against truncated answers that are passed on as complete.
	DescribeTable("never reports an answer as complete that may have been truncated", func(raw string, unknownAtOnce bool) {
		s := newSidecar(startRawTarget(raw), nil)
		reply := forward(s, lookup(time.Second))
		if unknownAtOnce {
			Expect(reply.Outcome).To(Equal(fleet.Unknown))
			return
		}
		Expect(reply.Outcome).To(Equal(fleet.Answered))
		_, err := io.ReadAll(reply.Body)
		Expect(err).To(HaveOccurred())
		reply.Body.Close()
		Expect(s.Samples()[0].Truncated).To(BeEquivalentTo(1))
	},
		Entry("fewer bytes than stated", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", false),
		Entry("no final chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false),
		Entry("a body that ends with the connection", "HTTP/1.1 200 OK\r\n\r\nhalf", true),
		Entry("no answer at all", "", true),
	)

	// Guards against a reply of not-run after the request was written.
	It("reports not-run only when the target could not be reached", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		closed := listener.Addr().String()
		listener.Close()
		unreachable := newSidecar(closed, nil)
		Expect(forward(unreachable, lookup(time.Second)).Outcome).To(Equal(fleet.NotRun))
		// Guards against refused calls that stay counted as in flight, so that
		// a stopping node waits for them.
		Expect(unreachable.InFlight()).To(BeZero())

		stalled := startTarget(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		s := newSidecar(stalled, nil)
		Expect(forward(s, lookup(100*time.Millisecond)).Outcome).To(Equal(fleet.Unknown))
		Expect(s.Samples()[0].Errors).To(BeEquivalentTo(1))
	})

	It("refuses calls for unknown targets and classes", func() {
		s := newSidecar(startTarget(func(http.ResponseWriter, *http.Request) {}), nil)
		other := lookup(time.Second)
		other.Target = "t9"
		reply := forward(s, other)
		Expect(reply.Outcome).To(Equal(fleet.NotRun))
		Expect(reply.Misrouted).To(BeTrue())
		unknown := lookup(time.Second)
		unknown.Class = "nothing"
		Expect(forward(s, unknown).Outcome).To(Equal(fleet.NotRun))
	})

	// Guards against new calls at a draining target from ingresses that have
	// not yet learned of its state.
	It("refuses new calls as soon as the target or the node drains", func() {
		var runs atomic.Int32
		addr := startTarget(func(http.ResponseWriter, *http.Request) { runs.Add(1) })
		s := newSidecar(addr, nil)
		s.SetTarget(fleet.Target{ID: "t1", Service: "booking", Node: "n1", Addr: addr, Slots: 4, State: fleet.TargetDraining})
		Expect(forward(s, lookup(time.Second)).Outcome).To(Equal(fleet.NotRun))
		s = newSidecar(addr, nil)
		s.Drain()
		Expect(forward(s, lookup(time.Second)).Outcome).To(Equal(fleet.NotRun))
		Expect(runs.Load()).To(BeZero())
	})

	// Guards against a dispatch when the lease expired while the call was
	// queued.
	It("checks the lease immediately before it sends a keyed call", func() {
		var runs atomic.Int32
		addr := startTarget(func(w http.ResponseWriter, _ *http.Request) { runs.Add(1); fmt.Fprint(w, "ok") })
		operations := &fakeOperations{}
		s := newSidecar(addr, operations)
		call := lookup(time.Second)
		call.Class, call.Method, call.Path, call.Key = "hold", http.MethodPost, "/holds", "k"
		Expect(forward(s, call).Outcome).To(Equal(fleet.NotRun))
		Expect(runs.Load()).To(BeZero())
		operations.mayDispatch = true
		Expect(forward(s, call).Outcome).To(Equal(fleet.Answered))
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a caller that reads slowly and so makes the target look
	// stalled.
	It("does not count the time the caller takes to read as time at the target", func() {
		s := newSidecar(startTarget(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "8")
			fmt.Fprint(w, "ok, fine")
		}), nil)
		reply := forward(s, lookup(2*time.Second))
		Expect(reply.Outcome).To(Equal(fleet.Answered))
		buf := make([]byte, 1)
		_, err := reply.Body.Read(buf)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(150 * time.Millisecond)
		Expect(s.Samples()).To(HaveLen(1))
		Expect(s.Samples()[0].OldestInFlight).To(BeZero())
		rest, err := io.ReadAll(reply.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.TrimSpace(string(rest))).To(HaveLen(7))
		reply.Body.Close()
	})
})
