package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"siskinvale.dev/siskinvale/internal/standin"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second)
	RunSpecs(t, "standin")
}

func newTestLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	return log
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// call makes a request on a new connection, so that no call depends on the
// connection of an earlier one.
func call(method, url, body string, header ...string) answer {
	request, err := http.NewRequest(method, url, io.NopCloser(strings.NewReader(body)))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(raw), err: err}
}

// counter returns a function that reads one counter from /control/calls.
func counter(base, name string) func() int {
	return func() int {
		var counters map[string]int
		Expect(json.Unmarshal([]byte(call("GET", base+"/control/calls", "").body), &counters)).To(Succeed())
		return counters[name]
	}
}

var _ = Describe("Platform", func() {
	var base string
	var platform *standin.Platform

	serve := func(cfg standin.PlatformConfig) {
		cfg.Log = newTestLogger()
		platform = standin.NewPlatform(cfg)
		server := httptest.NewServer(platform)
		DeferCleanup(server.Close)
		base = server.URL
	}
	BeforeEach(func() { serve(standin.PlatformConfig{Seed: 1}) })

	// Guards against a store that accepts two writes for the same version, or
	// that uses a version again after a delete.
	It("updates conditionally and never reuses a version", func() {
		key := base + "/v1/objects/bundle/active"
		created := call("PUT", key, "one", "If-None-Match", "*")
		Expect(created.status).To(Equal(200))
		Expect(created.header.Get("ETag")).To(Equal(`"1"`))
		Expect(call("PUT", key, "two", "If-None-Match", "*").status).To(Equal(412))
		Expect(call("PUT", key, "two", "If-Match", `"1"`).header.Get("ETag")).To(Equal(`"2"`))
		Expect(call("PUT", key, "three", "If-Match", `"1"`).status).To(Equal(412))
		Expect(call("PUT", key, "three").status).To(Equal(428))
		Expect(call("DELETE", key, "", "If-Match", `"1"`).status).To(Equal(412))
		Expect(call("DELETE", key, "", "If-Match", `"2"`).status).To(Equal(204))
		Expect(call("DELETE", key, "", "If-Match", `"2"`).status).To(Equal(404))
		Expect(call("GET", key, "").status).To(Equal(404))
		Expect(call("PUT", key, "four", "If-None-Match", "*").header.Get("ETag")).To(Equal(`"4"`))
		Expect(call("PUT", base+"/v1/objects/big", strings.Repeat("x", 1<<20+1), "If-None-Match", "*").status).To(Equal(413))
	})

	// Guards against watches that miss a write or a delete, or that report keys
	// with other prefixes.
	It("lists and watches a prefix from a revision", func() {
		call("PUT", base+"/v1/objects/a/1", "x", "If-None-Match", "*")
		call("PUT", base+"/v1/objects/b/1", "y", "If-None-Match", "*")
		Expect(call("GET", base+"/v1/objects?prefix=a/", "").body).To(MatchJSON(
			`{"revision":2,"objects":[{"key":"a/1","version":1,"value":"eA=="}]}`))
		Expect(call("GET", base+"/v1/watch?prefix=a/&since=2&wait=1ms", "").body).To(MatchJSON(`{"revision":2,"objects":[]}`))
		watched := make(chan answer, 1)
		go func() { watched <- call("GET", base+"/v1/watch?prefix=a/&since=2&wait=9s", "") }()
		Eventually(counter(base, "watchesWaiting")).Should(Equal(1))
		call("PUT", base+"/v1/objects/b/2", "z", "If-None-Match", "*")
		call("DELETE", base+"/v1/objects/a/1", "", "If-Match", `"1"`)
		var got answer
		Eventually(watched).Should(Receive(&got))
		Expect(got.body).To(MatchJSON(`{"revision":4,"objects":[{"key":"a/1","version":4,"deleted":true}]}`))
	})

	// Guards against fault switches that are silently ignored because their
	// name is misspelt or their value is invalid.
	It("refuses unknown switches and invalid values, and names them", func() {
		unknown := call("PUT", base+"/control/faults", `{"dwon":true}`)
		Expect(unknown.status).To(Equal(400))
		Expect(unknown.body).To(ContainSubstring(`unknown field \"dwon\"`))
		Expect(call("PUT", base+"/control/faults", `{"loseAnswers":1.5}`).body).To(ContainSubstring("loseAnswers is 1.5"))
		Expect(call("PUT", base+"/control/faults", `{"delay":"soon"}`).body).To(ContainSubstring("soon"))
		Expect(call("PUT", base+"/control/faults", `{} {}`).status).To(Equal(400))
		Expect(call("PUT", base+"/control/faults", `{"delay":"250ms"}`).status).To(Equal(200))
		Expect(call("GET", base+"/control/faults", "").body).To(ContainSubstring(`"delay":"250ms"`))
	})

	// Guards against a lost answer whose write did not take effect: a client
	// that retries the write would then never write twice.
	It("applies a write whose answer is lost", func() {
		Expect(platform.SetFaults(standin.PlatformFaults{LoseAnswers: 1})).To(Succeed())
		Expect(call("PUT", base+"/v1/objects/k", "v", "If-None-Match", "*").err).To(HaveOccurred())
		Expect(call("GET", base+"/v1/objects/k", "").body).To(Equal("v"))
		Expect(counter(base, "answersLost")()).To(Equal(1))
	})

	It("answers calls and waiting watches with 503 while down", func() {
		watched := make(chan answer, 1)
		go func() { watched <- call("GET", base+"/v1/watch?prefix=a&wait=9s", "") }()
		Eventually(counter(base, "watchesWaiting")).Should(Equal(1))
		Expect(platform.SetFaults(standin.PlatformFaults{Down: true})).To(Succeed())
		var got answer
		Eventually(watched).Should(Receive(&got))
		Expect(got.status).To(Equal(503))
		Expect(call("GET", base+"/v1/objects/k", "").status).To(Equal(503))
	})

	It("serves stale reads, leaves silent watches unanswered and limits rates", func() {
		call("PUT", base+"/v1/objects/k", "v", "If-None-Match", "*")
		Expect(platform.SetFaults(standin.PlatformFaults{StaleReads: standin.Duration(time.Hour), WatchesSilent: true})).To(Succeed())
		Expect(call("GET", base+"/v1/objects/k", "").status).To(Equal(404))
		Expect(call("GET", base+"/v1/objects?prefix=", "").body).To(MatchJSON(`{"revision":0,"objects":[]}`))
		watched := make(chan answer, 1)
		go func() { watched <- call("GET", base+"/v1/watch?prefix=k&wait=1ms", "") }()
		Consistently(watched, "50ms").ShouldNot(Receive())
		Expect(platform.SetFaults(standin.PlatformFaults{ReadsPerSecond: 0.001})).To(Succeed())
		Eventually(watched).Should(Receive())
		call("GET", base+"/v1/objects/k", "")
		limited := call("GET", base+"/v1/objects/k", "")
		Expect(limited.status).To(Equal(429))
		Expect(limited.header.Get("Retry-After")).To(Equal("1"))
	})

	It("comes back from an older copy, with another era", func() {
		key := base + "/v1/objects/bundle/active"
		call("PUT", key, "one", "If-None-Match", "*")
		Expect(call("GET", key, "").header.Get("Platform-Era")).To(Equal("0"))
		time.Sleep(20 * time.Millisecond)
		call("PUT", key, "two", "If-Match", `"1"`)
		call("PUT", base+"/v1/objects/other", "x", "If-None-Match", "*")
		Expect(platform.SetFaultsJSON(`{"restoreFrom":"10ms"}`)).To(Succeed())
		restored := call("GET", key, "")
		Expect(restored.body).To(Equal("one"))
		Expect(restored.header.Get("Platform-Era")).To(Equal("1"))
		Expect(call("GET", base+"/v1/objects/other", "").status).To(Equal(404))
		Expect(call("PUT", key, "again", "If-Match", `"1"`).header.Get("ETag")).To(Equal(`"2"`))
	})

	It("requires the bearer token for the object API", func() {
		serve(standin.PlatformConfig{Token: "secret"})
		Expect(call("GET", base+"/v1/objects/k", "").status).To(Equal(401))
		Expect(call("GET", base+"/v1/objects/k", "", "Authorization", "Bearer secret").status).To(Equal(404))
	})
})

var _ = Describe("Target", func() {
	var base string
	var target *standin.Target

	serve := func(cfg standin.TargetConfig) {
		cfg.ID, cfg.Service, cfg.Log, cfg.Seed = "t1", "booking", newTestLogger(), 1
		target = standin.NewTarget(cfg)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- target.Serve(ctx, listener, nil, time.Second) }()
		DeferCleanup(func() {
			cancel()
			Eventually(done, "5s").Should(Receive(BeNil()))
		})
		base = "http://" + listener.Addr().String()
	}
	operations := func() []standin.Operation { return target.Operations() }

	// Guards against a CheckBody that accepts the body of another request, a
	// short body or a broken one.
	It("answers with a body that identifies the request", func() {
		serve(standin.TargetConfig{BodyBytesByPrefix: []standin.PrefixValue[int]{{Prefix: "/packs/", Value: 100_000}}})
		got := call("POST", base+"/holds?n=1", "lens", "Idempotency-Key", "k")
		Expect(standin.CheckBody(strings.NewReader(got.body), "POST", "/holds?n=1", "k", []byte("lens"), 0)).To(Succeed())
		Expect(standin.CheckBody(strings.NewReader(got.body), "POST", "/holds?n=2", "k", []byte("lens"), 0)).NotTo(Succeed())
		Expect(standin.CheckBody(strings.NewReader(got.body), "POST", "/holds?n=1", "k", []byte("lent"), 0)).NotTo(Succeed())
		pack := call("GET", base+"/packs/7", "").body
		Expect(standin.CheckBody(strings.NewReader(pack), "GET", "/packs/7", "", nil, 100_000)).To(Succeed())
		for _, short := range []int{0, 32 << 10, 99_999} {
			check := func(answer io.Reader) error { return standin.CheckBody(answer, "GET", "/packs/7", "", nil, 100_000) }
			Expect(check(strings.NewReader(pack[:short]))).To(MatchError(standin.ErrWrongBody), "ended early at %d", short)
			broken := check(io.MultiReader(strings.NewReader(pack[:short]), iotest.ErrReader(io.ErrUnexpectedEOF)))
			Expect(broken).To(And(MatchError(io.ErrUnexpectedEOF), Not(MatchError(standin.ErrWrongBody))), "broke at %d", short)
		}
		Expect(operations()).To(HaveLen(2))
		Expect(operations()[0]).To(And(HaveField("Key", "k"), HaveField("Path", "/holds"), HaveField("Completed", true)))
	})

	// Guards against a stall that is visible in /healthz, or that ends before
	// the client cancels the request.
	It("stalls requests while /healthz answers 200", func() {
		serve(standin.TargetConfig{})
		Expect(call("PUT", base+"/control/faults", `{"stallFraction":1}`).status).To(Equal(200))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		request, _ := http.NewRequestWithContext(ctx, "GET", base+"/kits", nil)
		request.Header.Set("Siskinvale-Timeout", "1ms")
		failed := make(chan error, 1)
		go func() { _, err := http.DefaultClient.Do(request); failed <- err }()
		Eventually(counter(base, "stalled")).Should(Equal(1))
		Expect(call("GET", base+"/healthz", "").status).To(Equal(200))
		Consistently(failed, "50ms").ShouldNot(Receive())
		cancel()
		Eventually(func() time.Time { return operations()[0].FinishedAt }).ShouldNot(BeZero())
		Expect(operations()[0].Completed).To(BeFalse())
	})

	It("applies the error, shed, cut, health and load switches", func() {
		serve(standin.TargetConfig{BodyBytes: 1000})
		Expect(target.SetFaults(standin.TargetFaults{ErrorFraction: 1})).To(Succeed())
		Expect(call("GET", base+"/kits", "").status).To(Equal(500))
		Expect(target.SetFaults(standin.TargetFaults{ShedFraction: 1, Healthz: "failing", Load: "full"})).To(Succeed())
		Expect(call("GET", base+"/kits", "").status).To(Equal(503))
		Expect(operations()).To(HaveLen(1), "a shed request must not run")
		Expect(call("GET", base+"/healthz", "").status).To(Equal(503))
		Expect(call("GET", base+"/load", "").body).To(MatchJSON(`{"slots":4,"running":4,"waiting":40}`))
		Expect(target.SetFaults(standin.TargetFaults{CutFraction: 1})).To(Succeed())
		cut := call("GET", base+"/kits", "")
		Expect(cut.err).To(HaveOccurred())
		Expect(cut.body).To(HaveLen(500))
		Expect(target.SetFaults(standin.TargetFaults{Load: "busy"})).To(MatchError(ContainSubstring(`load is "busy"`)))
	})

	// Guards against simulated requests that run past their deadline or use
	// more slots than configured.
	It("keeps to the deadline and the number of slots", func() {
		serve(standin.TargetConfig{Slots: 1, RunTime: time.Hour})
		answers := make(chan answer, 2)
		for range 2 {
			go func() { answers <- call("GET", base+"/kits", "", "Siskinvale-Timeout", "500ms") }()
		}
		for range 2 {
			Expect((<-answers).status).To(Equal(504))
		}
		Expect(target.Calls().MostAtOnce).To(BeEquivalentTo(1))
		Expect(operations()[0].Completed).To(BeFalse())
	})

	// Guards against a switch that also silences new connections.
	It("silences open connections only", func() {
		serve(standin.TargetConfig{})
		client := &http.Client{Timeout: time.Second}
		get := func() error {
			got, err := client.Get(base + "/kits")
			if err == nil {
				io.Copy(io.Discard, got.Body)
				got.Body.Close()
			}
			return err
		}
		Expect(get()).To(Succeed())
		Expect(call("PUT", base+"/control/faults", `{"silentConnections":true}`).status).To(Equal(200))
		Expect(get()).To(MatchError(ContainSubstring("Timeout")))
		client.CloseIdleConnections()
		Expect(get()).To(Succeed())
	})

	// Guards against a stop that cuts off running requests, or that does not
	// notify the node that the target accepts no more requests.
	It("announces itself, drains and removes its announcement when it stops", func() {
		calls := make(chan string, 100)
		node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			raw, _ := io.ReadAll(r.Body)
			calls <- fmt.Sprint(r.Method, " ", r.URL.Path, " ", string(raw))
		}))
		defer node.Close()
		target = standin.NewTarget(standin.TargetConfig{RunTime: 100 * time.Millisecond, Log: newTestLogger()})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			done <- target.Serve(ctx, listener, &standin.Announcer{Node: node.URL, ID: "t1", Log: newTestLogger(),
				Announcement: standin.Announcement{Service: "booking", Address: "127.0.0.1:1", Slots: 4, TTL: standin.Duration(time.Hour)}}, 10*time.Second)
		}()
		Eventually(calls).Should(Receive(Equal(`PUT /v1/targets/t1 {"service":"booking","address":"127.0.0.1:1","slots":4,"ttl":"1h0m0s"}`)))
		answers := make(chan answer, 1)
		go func() { answers <- call("GET", "http://"+listener.Addr().String()+"/kits", "") }()
		Eventually(func() int64 { return target.Calls().Started }).Should(BeEquivalentTo(1))
		cancel()
		Eventually(calls).Should(Receive(Equal("POST /v1/targets/t1/drain ")))
		Expect((<-answers).status).To(Equal(200))
		Eventually(calls).Should(Receive(Equal("DELETE /v1/targets/t1 ")))
		Eventually(done).Should(Receive(BeNil()))
	})
})

var _ = Describe("Link", func() {
	var link *standin.Link
	var linkAddr string

	// Starts a link to a server that echoes TCP data and UDP packets.
	BeforeEach(func() {
		echoTCP, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		echoUDP, err := net.ListenPacket("udp", echoTCP.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		go func() {
			for {
				c, err := echoTCP.Accept()
				if err != nil {
					return
				}
				go io.Copy(c, c)
			}
		}()
		go func() {
			p := make([]byte, 1500)
			for {
				n, from, err := echoUDP.ReadFrom(p)
				if err != nil {
					return
				}
				echoUDP.WriteTo(p[:n], from)
			}
		}()
		tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		udpConn, err := net.ListenPacket("udp", tcpListener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		linkAddr = tcpListener.Addr().String()
		link = standin.NewLink(echoTCP.Addr().String(), 1, newTestLogger())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- link.Serve(ctx, tcpListener, udpConn) }()
		DeferCleanup(func() {
			cancel()
			Eventually(done).Should(Receive(BeNil()))
			echoTCP.Close()
			echoUDP.Close()
		})
	})
	dial := func(network string) net.Conn {
		c, err := net.Dial(network, linkAddr)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c
	}
	echoes := func(c net.Conn, within time.Duration) bool {
		_, err := c.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		c.SetReadDeadline(time.Now().Add(within))
		_, err = c.Read(make([]byte, 1))
		return err == nil
	}

	// Guards against a one-way partition that also affects the other direction,
	// and against the loss of TCP data that the link holds.
	It("drops one direction and delivers held TCP data after the fault", func() {
		stream, packets := dial("tcp"), dial("udp")
		Expect(echoes(stream, 5*time.Second)).To(BeTrue())
		Expect(echoes(packets, 5*time.Second)).To(BeTrue())
		Expect(link.SetFaults(standin.LinkFaults{Backward: standin.DirectionFaults{Drop: 1}})).To(Succeed())
		sent := link.Calls()
		Expect(echoes(stream, 50*time.Millisecond)).To(BeFalse())
		Expect(echoes(packets, 50*time.Millisecond)).To(BeFalse())
		Expect(link.Calls().ForwardBytes).To(Equal(sent.ForwardBytes + 1))
		Expect(link.Calls().ForwardPackets).To(Equal(sent.ForwardPackets + 1))
		Expect(link.SetFaults(standin.LinkFaults{})).To(Succeed())
		stream.SetReadDeadline(time.Now().Add(5 * time.Second))
		Expect(stream.Read(make([]byte, 1))).To(Equal(1))
		Expect(echoes(packets, 5*time.Second)).To(BeTrue())
	})

	It("freezes open connections for good while new ones work", func() {
		old := dial("tcp")
		Expect(echoes(old, 5*time.Second)).To(BeTrue())
		frozen := standin.DirectionFaults{Freeze: true}
		Expect(link.SetFaults(standin.LinkFaults{Forward: frozen, Backward: frozen})).To(Succeed())
		Expect(echoes(old, 50*time.Millisecond)).To(BeFalse())
		Expect(echoes(dial("tcp"), 5*time.Second)).To(BeTrue())
		Expect(link.SetFaults(standin.LinkFaults{})).To(Succeed())
		Expect(echoes(old, 50*time.Millisecond)).To(BeFalse())
	})

	It("delays TCP data and UDP packets", func() {
		Expect(link.SetFaults(standin.LinkFaults{Forward: standin.DirectionFaults{Delay: standin.Duration(80 * time.Millisecond)}})).To(Succeed())
		for _, network := range []string{"tcp", "udp"} {
			start := time.Now()
			Expect(echoes(dial(network), 5*time.Second)).To(BeTrue())
			Expect(time.Since(start)).To(BeNumerically(">=", 80*time.Millisecond))
		}
	})
})
