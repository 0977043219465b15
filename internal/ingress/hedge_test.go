package ingress_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gleak"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/hedge"
	"siskinvale.dev/siskinvale/internal/ingress"
	"siskinvale.dev/siskinvale/internal/link"
)

// concurrentRemote answers calls by its function, in the callers' goroutines,
// and records them.
type concurrentRemote struct {
	reply func(ctx context.Context, call *link.Call) *link.Reply

	mu        sync.Mutex
	calls     []*link.Call
	withdrawn []string
	opened    atomic.Int64 // answer bodies that are not closed
}

func (r *concurrentRemote) Forward(ctx context.Context, _ fleet.Node, _ fleet.Length, call *link.Call) *link.Reply {
	r.mu.Lock()
	r.calls = append(r.calls, call)
	r.mu.Unlock()
	reply := r.reply(ctx, call)
	if reply.Outcome == fleet.Answered {
		r.opened.Add(1)
		reply.Body = &countedBody{ReadCloser: reply.Body, opened: &r.opened}
	}
	return reply
}

func (r *concurrentRemote) Withdraw(_ context.Context, _ fleet.Node, _ fleet.Length, attemptID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawn = append(r.withdrawn, attemptID)
}

func (r *concurrentRemote) sent() []*link.Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*link.Call(nil), r.calls...)
}

type countedBody struct {
	io.ReadCloser
	once   sync.Once
	opened *atomic.Int64
}

func (b *countedBody) Close() error {
	b.once.Do(func() { b.opened.Add(-1) })
	return b.ReadCloser.Close()
}

// afterwards replies after a time, or with an unknown outcome when the call is
// cancelled before.
func afterwards(d time.Duration, reply func(*link.Call) *link.Reply) func(context.Context, *link.Call) *link.Reply {
	return func(ctx context.Context, call *link.Call) *link.Reply {
		select {
		case <-time.After(d):
			return reply(call)
		case <-ctx.Done():
			return link.MayHaveRun(call, "the call was cancelled")
		}
	}
}

// firstAndCopy replies to first attempts and to copies.
func firstAndCopy(first, second func(context.Context, *link.Call) *link.Reply) *concurrentRemote {
	return &concurrentRemote{reply: func(ctx context.Context, call *link.Call) *link.Reply {
		if call.Retry {
			return second(ctx, call)
		}
		return first(ctx, call)
	}}
}

// Copies are due after usualRun*1.5, and slowRun is far beyond.
const (
	usualRun = 10 * time.Millisecond
	slowRun  = 150 * time.Millisecond
)

// newHedgingIngress returns an ingress that has seen run times of usualRun and
// allows one copy per request.
func newHedgingIngress(remote *concurrentRemote, changes ...func(*ingress.Config)) *testIngress {
	hedger := hedge.New(1)
	for range 100 {
		for _, class := range []string{"lookup", "hold", "note", "search"} {
			hedger.Observe("booking", class, usualRun, time.Now())
		}
	}
	return newTestIngressWith(func(c *ingress.Config) {
		c.Remote, c.Hedger, c.InFlight = remote, hedger, 1000
		c.UncountedRefusals, c.FleetRetryBudget = true, ingress.FleetRetryBudget{Ratio: 5, Window: 10 * time.Second}
		for _, change := range changes {
			change(c)
		}
	})
}

// scrape returns the metrics of hedging.
func scrape(s *testIngress) string {
	var out bytes.Buffer
	s.config.Metrics.WritePrometheus(&out)
	var lines []string
	for _, line := range strings.Split(out.String(), "\n") {
		if strings.HasPrefix(line, "siskinvale_hedges") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\n")
}

var _ = Describe("Second copies", func() {
	// Guards against a slow answer although a copy was fast, and against work of
	// the first target that is broken off.
	It("returns the copy's answer and lets the first attempt go on", func() {
		var cancelled, ended atomic.Bool
		remote := firstAndCopy(func(ctx context.Context, call *link.Call) *link.Reply {
			reply := afterwards(slowRun, answered("first"))(ctx, call)
			cancelled.Store(ctx.Err() != nil)
			ended.Store(true)
			return reply
		}, afterwards(0, answered("copy")))
		s := newHedgingIngress(remote)
		start := time.Now()
		w := s.send("GET", "/kits/1", "")
		Expect(w.Body.String()).To(Equal("copy"))
		Expect(time.Since(start)).To(BeNumerically("<", slowRun))
		calls := remote.sent()
		Expect(calls).To(HaveLen(2))
		Expect(calls[1].Target).NotTo(Equal(calls[0].Target))
		Expect(calls[1].AttemptID).NotTo(Equal(calls[0].AttemptID))
		Expect(calls[1].NoWait).To(BeTrue())
		Expect(calls[1].Final).To(BeTrue(), "a copy does not test a target in bad standing")
		Eventually(ended.Load).Should(BeTrue())
		Expect(cancelled.Load()).To(BeFalse())
		Eventually(remote.opened.Load).Should(BeZero())
		Expect(scrape(s)).To(Equal(`siskinvale_hedges_total{result="won"} 1`))
	})

	// Guards against a lost success: each of the two attempts may fail while the
	// other one still runs.
	DescribeTable("returns the first success", func(first, second func(context.Context, *link.Call) *link.Reply, body, metric string) {
		remote := firstAndCopy(first, second)
		s := newHedgingIngress(remote)
		w := s.send("GET", "/kits/1", "")
		Expect(w.Code).To(Equal(200))
		Expect(w.Body.String()).To(Equal(body))
		Expect(remote.sent()).To(HaveLen(2))
		Eventually(remote.opened.Load).Should(BeZero())
		Eventually(func() string { return scrape(s) }).Should(Equal(metric))
	},
		Entry("of the first attempt", afterwards(3*usualRun, answered("first")), afterwards(slowRun, answered("copy")), "first", `siskinvale_hedges_total{result="lost"} 1`),
		Entry("of the first attempt after the copy failed", afterwards(slowRun, answered("first")), afterwards(0, mayHaveRun("broken")), "first", `siskinvale_hedges_total{result="failed"} 1`),
		Entry("of the copy after the first attempt failed", afterwards(3*usualRun, mayHaveRun("broken")), afterwards(slowRun, answered("copy")), "copy", `siskinvale_hedges_total{result="won"} 1`),
	)

	// Guards against a request that stays at a hung target because the first
	// copy found its target full.
	It("sends a copy again after one that found no slot", func() {
		var copies atomic.Int64
		remote := firstAndCopy(afterwards(2*slowRun, answered("first")), func(_ context.Context, call *link.Call) *link.Reply {
			if copies.Add(1) == 1 {
				return noFreeSlot(call)
			}
			return answered("copy")(call)
		})
		s := newHedgingIngress(remote)
		Expect(s.send("GET", "/kits/1", "").Body.String()).To(Equal("copy"))
		calls := remote.sent()
		Expect(calls).To(HaveLen(3))
		Expect(calls[0].Target).NotTo(BeElementOf(calls[1].Target, calls[2].Target))
		Expect(scrape(s)).To(Equal("siskinvale_hedges_total{result=\"refused\"} 1\nsiskinvale_hedges_total{result=\"won\"} 1"))
	})

	// Guards against a request that runs twice although it must run once, and
	// against a body that is read by two attempts.
	DescribeTable("sends no copy of a request that may not be repeated or whose body is streamed", func(path, body string, header ...string) {
		remote := &concurrentRemote{reply: afterwards(10*usualRun, fromOwner(answered("ok")))}
		s := newHedgingIngress(remote)
		Expect(s.send("POST", path, body, header...).Code).To(Equal(200))
		Expect(remote.sent()).To(HaveLen(1))
		Expect(scrape(s)).To(BeEmpty())
	},
		Entry("non-idempotent", "/notes", "x"),
		Entry("keyed operation", "/holds", "x", "Idempotency-Key", key()),
		Entry("idempotent with a key", "/searches", "x", "Idempotency-Key", key()),
		Entry("streamed", "/searches", strings.Repeat("x", 90_000)),
	)

	// Guards against requests that reach more targets than the class has
	// attempts, in both ways of counting refusals.
	DescribeTable("counts a copy as an attempt", func(uncounted bool) {
		remote := &concurrentRemote{reply: afterwards(3*usualRun, mayHaveRun("broken"))}
		s := newHedgingIngress(remote, func(c *ingress.Config) { c.UncountedRefusals = uncounted })
		for i := range 20 {
			before := len(remote.sent())
			s.send("GET", fmt.Sprintf("/kits/%d", i), "")
			Expect(len(remote.sent()) - before).To(BeNumerically("<=", 3))
		}
		Expect(scrape(s)).To(ContainSubstring(`siskinvale_hedges_total{result="failed"}`))
	}, Entry("uncounted refusals", true), Entry("counted refusals", false))

	// Guards against a copy that hangs together with the first attempt because
	// their VM is in trouble.
	It("prefers a target on another VM", func() {
		remote := firstAndCopy(afterwards(slowRun, answered("first")), afterwards(0, answered("copy")))
		s := newHedgingIngress(remote)
		s.setTargetsOnNodes(s.in.View().Bundle, 4, 3)
		for range 10 {
			before := len(remote.sent())
			s.send("GET", "/kits/1", "")
			calls := remote.sent()[before:]
			Expect(calls).To(HaveLen(2))
			Expect(calls).To(ContainElement(HaveField("Target", fleet.TargetID("t4"))))
		}
	})

	// Guards against additional attempts in place of copies that were not run.
	It("does not count a copy that a leaving target refused", func() {
		var attempts atomic.Int64
		remote := &concurrentRemote{reply: func(ctx context.Context, call *link.Call) *link.Reply {
			if call.NoWait { // with counted refusals, only copies are no-wait calls
				return withdrawnAfter(0)(call)
			}
			attempts.Add(1)
			return afterwards(3*usualRun, mayHaveRun("broken"))(ctx, call)
		}}
		s := newHedgingIngress(remote, func(c *ingress.Config) { c.UncountedRefusals = false })
		s.setTargets(s.in.View().Bundle, 8)
		s.send("GET", "/kits/1", "")
		Expect(attempts.Load()).To(Equal(int64(3)))
		Expect(scrape(s)).To(ContainSubstring(`result="refused"`))
	})

	// Guards against copies that the retry budget of the fleet does not cover.
	It("sends no copy without a retry in the budget", func() {
		remote := firstAndCopy(afterwards(3*usualRun, answered("first")), afterwards(0, answered("copy")))
		s := newHedgingIngress(remote, func(c *ingress.Config) { c.FleetRetryBudget.Ratio = 0 })
		Expect(s.send("GET", "/kits/1", "").Body.String()).To(Equal("first"))
		Expect(remote.sent()).To(HaveLen(1))
		Expect(scrape(s)).To(Equal(`siskinvale_hedges_withheld_total{reason="retry-budget"} 1`))
	})

	// Guards against a loser that keeps its place in a queue and runs later for
	// nobody.
	It("withdraws a first attempt that waits in a queue", func() {
		remote := firstAndCopy(afterwards(slowRun, refused("not admitted: cancelled")), afterwards(0, answered("copy")))
		s := newHedgingIngress(remote, func(c *ingress.Config) { c.UncountedRefusals = false })
		Expect(s.send("GET", "/kits/1", "").Body.String()).To(Equal("copy"))
		Eventually(func() []string {
			remote.mu.Lock()
			defer remote.mu.Unlock()
			return remote.withdrawn
		}).Should(Equal([]string{remote.sent()[0].AttemptID}))
	})

	// Guards against attempts that go on for a caller that has left.
	It("cancels both attempts when the caller leaves", func() {
		var cancelled atomic.Int64
		remote := &concurrentRemote{reply: func(ctx context.Context, call *link.Call) *link.Reply {
			<-ctx.Done()
			cancelled.Add(1)
			return link.MayHaveRun(call, "the call was cancelled")
		}}
		s := newHedgingIngress(remote)
		ctx, leave := context.WithCancel(context.Background())
		r := httptest.NewRequest("GET", "/kits/1", nil).WithContext(ctx)
		r.Header.Set("Siskinvale-Service", "booking")
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.in.ServeHTTP(httptest.NewRecorder(), r)
		}()
		Eventually(remote.sent).Should(HaveLen(2))
		leave()
		Eventually(done).Should(BeClosed())
		Expect(cancelled.Load()).To(Equal(int64(2)))
	})

	// Guards against goroutines and answer bodies that are left over, and
	// against a caller that gets parts of two answers.
	It("leaves nothing over after many requests", func() {
		before := gleak.Goroutines()
		var n atomic.Int64
		remote := &concurrentRemote{reply: func(ctx context.Context, call *link.Call) *link.Reply {
			// The two attempts of many requests end at almost the same time.
			switch i := n.Add(1); {
			case i%7 == 0:
				return afterwards(2*usualRun, mayHaveRun("broken"))(ctx, call)
			case call.Retry:
				return afterwards(time.Duration(i%5)*time.Millisecond, answered(call.Path))(ctx, call)
			default:
				return afterwards(usualRun*3/2+time.Duration(i%9)*time.Millisecond, answered(call.Path))(ctx, call)
			}
		}}
		s := newHedgingIngress(remote)
		var callers sync.WaitGroup
		for i := range 500 {
			callers.Go(func() {
				defer GinkgoRecover()
				path := fmt.Sprintf("/kits/%d", i)
				if w := s.send("GET", path, ""); w.Code == 200 {
					Expect(w.Body.String()).To(Equal(path))
				}
			})
			time.Sleep(time.Millisecond)
		}
		callers.Wait()
		Expect(scrape(s)).To(SatisfyAll(ContainSubstring(`result="won"`), ContainSubstring(`result="lost"`)))
		Eventually(remote.opened.Load).Should(BeZero())
		Eventually(gleak.Goroutines).WithTimeout(2 * time.Second).ShouldNot(gleak.HaveLeaked(before))
	})
})
