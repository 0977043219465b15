package sidecar_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/sidecar"
)

// Guards against requests that reach a target long after it began to leave,
// because they waited for a slot at that time.
var _ = Describe("A target that begins to leave", func() {
	DescribeTable("withdraws the calls that wait beside it at once", func(leave func(s *sidecar.Sidecar, addr string, answerLeaving *atomic.Bool)) {
		var (
			arrived atomic.Int32
			leaving atomic.Bool
		)
		finish := make(chan struct{}, 4)
		finishAll := sync.OnceFunc(func() { close(finish) })
		addr := startTarget(func(w http.ResponseWriter, r *http.Request) {
			arrived.Add(1)
			w.Header().Set("Siskinvale-Request-Id", r.Header.Get("Siskinvale-Request-Id"))
			<-finish
			if leaving.Load() {
				w.Header().Set("Siskinvale-Leaving", "1")
			}
		})
		DeferCleanup(finishAll)
		s := newSidecar(addr, nil)
		replies := make(chan *link.Reply, 6)
		for range 6 {
			go func() {
				call := lookup(5 * time.Second)
				ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
				defer cancel()
				reply := s.Forward(ctx, call)
				reply.Body.Close()
				replies <- reply
			}()
		}
		Eventually(func() fleet.Load { load, _ := s.Load("t1"); return load }, "2s").Should(And(HaveField("InFlight", 4), HaveField("Queued", 2)))
		leave(s, addr, &leaving)
		withdrawn := And(HaveField("Outcome", fleet.NotRun), HaveField("Withdrawn", true), HaveField("Dispatched", false))
		expected := []any{withdrawn, withdrawn}
		if leaving.Load() {
			finish <- struct{}{}
			expected = append(expected, HaveField("Outcome", fleet.Answered))
		}
		// The replies come in any order.
		got := make([]*link.Reply, len(expected))
		for i := range got {
			Eventually(replies, "500ms").Should(Receive(&got[i]))
		}
		Expect(got).To(ConsistOf(expected...))
		finishAll()
		Eventually(s.InFlight, "2s").Should(BeZero())
		Expect(arrived.Load()).To(BeEquivalentTo(4))
	},
		Entry("when it announces that it is draining", func(s *sidecar.Sidecar, addr string, _ *atomic.Bool) {
			s.SetTarget(fleet.Target{ID: "t1", Service: "booking", Node: "n1", Addr: addr, Slots: 4, State: fleet.TargetDraining})
		}),
		Entry("when it is deregistered", func(s *sidecar.Sidecar, addr string, _ *atomic.Bool) {
			s.SetTarget(fleet.Target{ID: "t1", Service: "booking", Node: "n1", Addr: addr, Slots: 4, State: fleet.TargetGone})
		}),
		Entry("when another process takes its place", func(s *sidecar.Sidecar, _ string, _ *atomic.Bool) {
			s.SetTarget(fleet.Target{ID: "t1", Service: "booking", Node: "n1", Addr: "127.0.0.1:1", Slots: 4})
		}),
		Entry("when an answer says so", func(_ *sidecar.Sidecar, _ string, answerLeaving *atomic.Bool) {
			answerLeaving.Store(true)
		}),
		Entry("when its node leaves", func(s *sidecar.Sidecar, _ string, _ *atomic.Bool) { s.Drain() }),
	)
})

// Guards against a refusal as not run while the call still waits at a sidecar
// and runs later, and against a withdrawal that ends a call that runs.
var _ = Describe("A withdrawn call", func() {
	It("is refused as not run if it waits, and goes on if it runs", func() {
		var arrived atomic.Int32
		finish := make(chan struct{})
		addr := startTarget(func(w http.ResponseWriter, r *http.Request) {
			arrived.Add(1)
			w.Header().Set("Siskinvale-Request-Id", r.Header.Get("Siskinvale-Request-Id"))
			<-finish
		})
		finishAll := sync.OnceFunc(func() { close(finish) })
		DeferCleanup(finishAll)
		s := newSidecar(addr, nil)
		replies := make(chan *link.Reply, 5)
		forward := func(attemptID string) {
			call := lookup(5 * time.Second)
			call.AttemptID = attemptID
			ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
			defer cancel()
			reply := s.Forward(ctx, call)
			reply.Body.Close()
			replies <- reply
		}
		for range 4 {
			go forward("running")
		}
		Eventually(func() fleet.Load { load, _ := s.Load("t1"); return load }, "2s").Should(HaveField("InFlight", 4))
		go forward("waiting")
		Eventually(func() fleet.Load { load, _ := s.Load("t1"); return load }, "2s").Should(HaveField("Queued", 1))
		s.Withdraw("running")
		s.Withdraw("unknown")
		Consistently(replies, "100ms").ShouldNot(Receive())
		s.Withdraw("waiting")
		Eventually(replies, "500ms").Should(Receive(And(HaveField("AttemptID", "waiting"), HaveField("Outcome", fleet.NotRun), HaveField("Dispatched", false))))
		finishAll()
		for range 4 {
			Eventually(replies, "2s").Should(Receive(HaveField("Outcome", fleet.Answered)))
		}
		Expect(arrived.Load()).To(BeEquivalentTo(4))
	})
})
