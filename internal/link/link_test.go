package link_test

import (
	"bufio"
	"context"
	"errors"
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

	"siskinvale.dev/siskinvale/internal/auth"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "link")
}

type forwarderFunc func(ctx context.Context, call *link.Call) *link.Reply

func (f forwarderFunc) Forward(ctx context.Context, call *link.Call) *link.Reply { return f(ctx, call) }

func newKeys() *auth.Keys {
	keys, err := auth.NewKeys(auth.AudiencePeer, []auth.Key{{ID: "k", Secret: auth.Secret(strings.Repeat("s", 32))}})
	Expect(err).NotTo(HaveOccurred())
	return keys
}

func startPeer(h http.Handler) fleet.Node {
	server := httptest.NewUnstartedServer(h)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols.SetHTTP1(true)
	server.Start()
	DeferCleanup(server.CloseClientConnections)
	return fleet.Node{ID: "peer", PeerAddr: server.Listener.Addr().String(), Incarnation: 1}
}

// countingReader counts the bytes that are read from it.
type countingReader struct {
	io.Reader
	read atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.read.Add(int64(n))
	return n, err
}

func newCall() *link.Call {
	return &link.Call{
		AttemptID: "a1", RequestID: "r1", Service: "booking", Class: "lookup", Tenant: "t",
		Target: "b1", ReceivedAt: time.UnixMilli(1_800_000_000_123), Timeout: 2 * time.Second,
		Method: http.MethodGet, Path: "/kits?id=1", Header: http.Header{"X-Own": {"1"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
		Body: http.NoBody,
	}
}

var _ = Describe("Remote and Handler", func() {
	var remote *link.Remote
	noAuthFailures := func(string, error) { Fail("refused credentials") }

	BeforeEach(func() {
		remote = &link.Remote{Self: "n1", Pool: link.NewPool(link.DefaultConfig()), Keys: newKeys()}
		DeferCleanup(remote.Pool.Close)
	})

	It("carries withdrawals", func() {
		withdrawn := make(chan string, 1)
		node := startPeer(link.NewWithdrawHandler(newKeys(), func(attemptID string) { withdrawn <- attemptID }, noAuthFailures))
		remote.Withdraw(context.Background(), node, fleet.Short, "a1")
		Expect(withdrawn).To(Receive(Equal("a1")))
	})

	It("carries every field of a call and of its reply", func() {
		var got *link.Call
		var body []byte
		load := fleet.Load{InFlight: 2, Queued: 1, Slots: 4, QueuedWork: 3 * time.Millisecond, RateLimit: 2.5, StartDelay: 400 * time.Millisecond}
		node := startPeer(link.NewHandler(newKeys(), forwarderFunc(func(_ context.Context, c *link.Call) *link.Reply {
			got = c
			body, _ = io.ReadAll(c.Body)
			return &link.Reply{
				AttemptID: c.AttemptID, Outcome: fleet.Answered, Status: http.StatusCreated,
				Header: http.Header{"X-Answer": {"yes"}}, ContentLength: 4,
				Body: io.NopCloser(strings.NewReader("done")),
				Load: load,
			}
		}), noAuthFailures))
		call := newCall()
		call.Key, call.Epoch, call.RateLimit, call.Waited = "key", 7, 1.25, 250*time.Millisecond
		call.Header.Set("Authorization", "Basic caller")
		call.Body, call.ContentLength = strings.NewReader("ask"), 3
		reply := remote.Forward(context.Background(), node, fleet.Short, call)
		answer, err := io.ReadAll(reply.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(Equal("done"))
		Expect(string(body)).To(Equal("ask"))
		Expect(reply.Status).To(Equal(http.StatusCreated))
		Expect(reply.Header.Get("X-Answer")).To(Equal("yes"))
		Expect(reply.Load).To(Equal(load))
		Expect(got.Path).To(Equal("/kits?id=1"))
		Expect(got.Method).To(Equal(http.MethodGet))
		Expect(got.Epoch).To(Equal(fleet.Epoch(7)))
		Expect(got.Key).To(Equal("key"))
		Expect(got.RateLimit).To(Equal(1.25))
		Expect(got.Waited).To(Equal(250 * time.Millisecond))
		Expect(got.ReceivedAt).To(BeTemporally("==", call.ReceivedAt))
		Expect(got.Header.Get("Authorization")).To(Equal("Basic caller"))
		Expect(got.Header).NotTo(HaveKey("X-Hop"))
		Expect(got.Header.Get("X-Own")).To(Equal("1"))

		load = fleet.Load{Slots: 4, RateUnknown: true}
		reply = remote.Forward(context.Background(), node, fleet.Short, newCall())
		reply.Body.Close()
		Expect(reply.Load).To(Equal(load))
		Expect(got.RateLimit).To(BeZero())
	})

	// Guards against a rank that is lost between the ingress and the sidecar, and
	// against a mixed fleet in which calls of one version are refused by the
	// other.
	It("carries the rank of a call, also from nodes that know only two", func() {
		var got *link.Call
		handler := link.NewHandler(newKeys(), forwarderFunc(func(_ context.Context, c *link.Call) *link.Reply {
			got = c
			return link.Refused(c, "noted")
		}), noAuthFailures)
		const terms = "Siskinvale-Terms"
		var sent, replaced string
		node := startPeer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			sent = r.Header.Get(terms)
			if replaced != "" {
				r.Header.Set(terms, replaced)
			}
			handler.ServeHTTP(w, r)
		}))
		forward := func(p fleet.Priority) *link.ClassParams {
			call := newCall()
			call.ClassParams = &link.ClassParams{Priority: p, Idempotent: true, Expected: time.Millisecond}
			got = nil
			remote.Forward(context.Background(), node, fleet.Short, call).Body.Close()
			Expect(got).NotTo(BeNil())
			return got.ClassParams
		}
		for rank, header := range map[fleet.Rank]string{0: "1,0,1,1000,0", 1: "1,0,1,1000", 2: "0,0,1,1000", 3: "0,0,1,1000,3", 255: "0,0,1,1000,255"} {
			Expect(forward(rank.Priority()).Priority.Rank()).To(Equal(rank))
			Expect(sent).To(Equal(header))
		}
		replaced = "1,0,1,1000"
		Expect(forward(fleet.Background)).To(HaveField("Priority", fleet.Interactive))
	})

	// Guards against sending the body with every sidecar attempt, including the
	// refused ones.
	It("holds a large body back until the sidecar admits the call", func() {
		admit := false
		node := startPeer(link.NewHandler(newKeys(), forwarderFunc(func(_ context.Context, c *link.Call) *link.Reply {
			if !admit {
				return link.Refused(c, "no slot is free")
			}
			body, err := io.ReadAll(c.Body)
			Expect(err).NotTo(HaveOccurred())
			return &link.Reply{AttemptID: c.AttemptID, Outcome: fleet.Answered, Status: 200,
				ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(string(body)))}
		}), noAuthFailures))
		send := func() (*link.Reply, *countingReader) {
			body := &countingReader{Reader: strings.NewReader(strings.Repeat("x", 4000))}
			call := newCall()
			call.Method, call.Body, call.ContentLength = http.MethodPost, body, 4000
			return remote.Forward(context.Background(), node, fleet.Short, call), body
		}
		reply, body := send()
		Expect(reply.Outcome).To(Equal(fleet.NotRun))
		Expect(body.read.Load()).To(BeZero())
		admit = true
		reply, body = send()
		Expect(reply.Outcome).To(Equal(fleet.Answered))
		answer, err := io.ReadAll(reply.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(HaveLen(4000))
		Expect(body.read.Load()).To(Equal(int64(4000)))
	})

	// Guards against a truncated answer that is passed on as complete.
	It("reports a truncated answer as a read error", func() {
		node := startPeer(link.NewHandler(newKeys(), forwarderFunc(func(_ context.Context, c *link.Call) *link.Reply {
			body := io.MultiReader(strings.NewReader("half"), failingReader{})
			return &link.Reply{AttemptID: c.AttemptID, Outcome: fleet.Answered, Status: 200, ContentLength: -1, Body: io.NopCloser(body)}
		}), noAuthFailures))
		reply := remote.Forward(context.Background(), node, fleet.Short, newCall())
		_, err := io.ReadAll(reply.Body)
		Expect(err).To(HaveOccurred())
	})

	// Guards against passing the answer to another attempt on to the caller.
	It("discards and counts an answer to another attempt", func() {
		node := startPeer(link.NewHandler(newKeys(), forwarderFunc(func(_ context.Context, c *link.Call) *link.Reply {
			return &link.Reply{AttemptID: "other", Outcome: fleet.Answered, Status: 200, Body: http.NoBody}
		}), noAuthFailures))
		reply := remote.Forward(context.Background(), node, fleet.Short, newCall())
		Expect(reply.Outcome).To(Equal(fleet.Unknown))
		Expect(remote.Mismatched.Load()).To(BeEquivalentTo(1))
	})

	It("reports not-run and a failed path when no connection could be made", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		addr := listener.Addr().String()
		listener.Close()
		reply := remote.Forward(context.Background(), fleet.Node{ID: "gone", PeerAddr: addr}, fleet.Short, newCall())
		Expect(reply.Outcome).To(Equal(fleet.NotRun))
		Expect(reply.PathFailed).To(BeTrue())
	})

	// Guards against a reply of not-run although the call reached the sidecar.
	It("reports unknown when the deadline passes after sending", func() {
		node := startPeer(link.NewHandler(newKeys(), forwarderFunc(func(ctx context.Context, c *link.Call) *link.Reply {
			<-ctx.Done()
			return link.MayHaveRun(c, "late")
		}), noAuthFailures))
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		reply := remote.Forward(ctx, node, fleet.Short, newCall())
		Expect(reply.Outcome).To(Equal(fleet.Unknown))
	})

	It("refuses a call that is signed with another key", func() {
		var refused atomic.Int32
		node := startPeer(link.NewHandler(newKeys(), forwarderFunc(func(context.Context, *link.Call) *link.Reply {
			panic("not reached")
		}), func(string, error) { refused.Add(1) }))
		other, err := auth.NewKeys(auth.AudiencePeer, []auth.Key{{ID: "k", Secret: auth.Secret(strings.Repeat("x", 32))}})
		Expect(err).NotTo(HaveOccurred())
		remote.Keys = other
		reply := remote.Forward(context.Background(), node, fleet.Short, newCall())
		Expect(reply.Outcome).To(Equal(fleet.NotRun))
		Expect(refused.Load()).To(BeEquivalentTo(1))
	})

	// Guards against calls that hang on a connection whose other end no longer
	// answers: the pings must close the connection well before the deadline.
	It("closes a silent connection within about one second", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(io.Discard, conn) }()
			}
		}()
		start := time.Now()
		reply := remote.Forward(context.Background(), fleet.Node{ID: "silent", PeerAddr: listener.Addr().String()}, fleet.Short, newCall())
		Expect(reply.Outcome).To(Equal(fleet.Unknown))
		Expect(reply.PathFailed).To(BeTrue())
		Expect(time.Since(start)).To(BeNumerically("<", 1500*time.Millisecond))
	})

	// Guards against retries by net/http of keyed requests: it retries any
	// request with an Idempotency-Key header and no body.
	It("keeps net/http from retrying a request with an Idempotency-Key", func() {
		var received atomic.Int32
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			for n := 0; ; n++ {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go answerOnceThenClose(conn, &received)
			}
		}()
		client := &http.Client{Transport: &http.Transport{}}
		for range 2 {
			req, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+"/holds", http.NoBody)
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Idempotency-Key", "k")
			link.PreventReplay(req)
			if resp, err := client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		}
		Consistently(received.Load, 200*time.Millisecond).Should(BeEquivalentTo(2))
	})
})

// answerOnceThenClose answers the first request on conn and closes the
// connection when the second request has arrived.
func answerOnceThenClose(conn net.Conn, received *atomic.Int32) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		received.Add(1)
		if !first {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("truncated") }
