package sidecar_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/sidecar"
	"siskinvale.dev/siskinvale/internal/standin"
)

// startStandin returns a stand-in for a target and a sidecar that serves it.
func startStandin(faults standin.TargetFaults) (*standin.Target, *sidecar.Sidecar) {
	logger := logrus.New()
	logger.SetOutput(GinkgoWriter)
	t := standin.NewTarget(standin.TargetConfig{ID: "t1", Service: "booking", RunTime: 5 * time.Millisecond, Log: logger})
	Expect(t.SetFaults(faults)).To(Succeed())
	server := httptest.NewServer(t)
	DeferCleanup(server.Close)
	s := newSidecar(strings.TrimPrefix(server.URL, "http://"), nil)
	return t, s
}

// forwardFor sends calls to the sidecar from several callers, each as fast as
// it is answered, and returns the replies by outcome.
func forwardFor(s *sidecar.Sidecar, duration time.Duration, callers int, change func(*link.Call)) map[fleet.Outcome]int {
	var (
		mu       sync.Mutex
		outcomes = make(map[fleet.Outcome]int)
		wg       sync.WaitGroup
	)
	end := time.Now().Add(duration)
	for range callers {
		wg.Go(func() {
			defer GinkgoRecover()
			for time.Now().Before(end) {
				call := lookup(300 * time.Millisecond)
				if change != nil {
					change(call)
				}
				ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
				reply := s.Forward(ctx, call)
				_, _ = io.Copy(io.Discard, reply.Body)
				reply.Body.Close()
				cancel()
				mu.Lock()
				outcomes[reply.Outcome]++
				mu.Unlock()
				if reply.Outcome != fleet.Answered {
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	return outcomes
}

var _ = Describe("Rate limit of a target", func() {
	const limit, window = 5, 4

	// Guards against a target that gets as many requests as its slots take
	// although it states that it accepts fewer.
	It("is kept by the sidecar in every window of four seconds", func() {
		t, s := startStandin(standin.TargetFaults{RateLimit: limit})
		outcomes := forwardFor(s, 6*time.Second, 8, nil)
		Expect(t.Calls().MostInWindow).To(BeNumerically("<=", 1.5*limit*window+5))
		Expect(outcomes[fleet.Answered]).To(BeNumerically(">=", limit*5), "the limit is used")
		Expect(outcomes[fleet.Unknown]).To(BeZero())
	})

	// Guards against a restarted sidecar that sends its target more than the
	// limit until the first answer states it again.
	It("is taken from a call that knows it, before the call is forwarded", func() {
		t, s := startStandin(standin.TargetFaults{RateLimit: 1, SlowFactor: 200})
		replies := forwardFor(s, 900*time.Millisecond, 8, func(call *link.Call) {
			call.RateLimit, call.NoWait, call.Timeout = 1, true, 2*time.Second
		})
		Expect(t.Calls().Requests).To(BeZero(), "the bucket is empty for the first second")
		Expect(replies).To(HaveKey(fleet.NotRun))
	})

	// Guards against calls that pass between the moment at which the limit is
	// known and the one at which it holds.
	It("holds for all calls that arrive together with the one that makes it known", func() {
		s := newSidecar("127.0.0.1:1", nil)
		var admitted atomic.Int64
		for i := range 2000 {
			// Another number of slots makes it another process, of which nothing
			// is known.
			s.SetTarget(fleet.Target{ID: "t1", Service: "booking", Node: "n1", Addr: "127.0.0.1:1", Slots: 5 + i%2})
			var together sync.WaitGroup
			for range 4 {
				together.Go(func() {
					call := lookup(time.Second)
					call.RateLimit, call.NoWait = 1, true
					if reply := s.Forward(context.Background(), call); !reply.Busy {
						admitted.Add(1)
					}
				})
			}
			together.Wait()
		}
		Expect(admitted.Load()).To(BeZero())
	})

	It("ends with the first answer without one, to a request that was sent after the last answer with one", func() {
		t, s := startStandin(standin.TargetFaults{RateLimit: 2})
		forwardFor(s, 100*time.Millisecond, 1, nil)
		load, _ := s.Load("t1")
		Expect(load).To(And(HaveField("RateLimit", 2.0), HaveField("RateUnknown", false)))
		Expect(t.SetFaults(standin.TargetFaults{})).To(Succeed())
		forwardFor(s, 700*time.Millisecond, 1, func(call *link.Call) { call.Timeout, call.RateLimit = 2*time.Second, 2 })
		load, _ = s.Load("t1")
		Expect(load.RateLimit).To(BeZero())
		Expect(t.Calls().MostInWindow).To(BeNumerically(">", 10))
	})

	It("is unknown until the first answer", func() {
		_, s := startStandin(standin.TargetFaults{})
		load, _ := s.Load("t1")
		Expect(load.RateUnknown).To(BeTrue())
		forwardFor(s, 20*time.Millisecond, 1, nil)
		load, _ = s.Load("t1")
		Expect(load).To(And(HaveField("RateUnknown", false), HaveField("RateLimit", 0.0)))
	})

	DescribeTable("is parsed as a decimal number", func(text string, limit float64, malformed bool) {
		got, err := sidecar.ParseRateLimit(text)
		Expect(err != nil).To(Equal(malformed))
		if !malformed {
			Expect(got).To(Equal(limit))
		}
	},
		Entry("none", "", 0.0, false), Entry("fraction", "2.5", 2.5, false), Entry("zero still limits", "0", 1e-3, false),
		Entry("negative", "-1", 0.0, true), Entry("text", "many", 0.0, true), Entry("infinite", "Inf", 0.0, true), Entry("not a number", "NaN", 0.0, true))
})

var _ = Describe("Target that says that it leaves", func() {
	// Guards against calls to a target that has said that it is about to stop,
	// also if the rest of what it states cannot be read.
	It("gets no new call after its answer, and its owner is told once", func() {
		s := newSidecar(startTarget(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(link.HeaderRequestID, r.Header.Get(link.HeaderRequestID))
			w.Header().Set(link.HeaderRateLimit, "many")
			w.Header().Set(link.HeaderLeaving, "1")
		}), nil)
		told := 0
		s.SetLeaving(func(t fleet.Target) {
			Expect(t.ID).To(Equal(fleet.TargetID("t1")))
			told++
		})
		first := s.Forward(context.Background(), lookup(time.Second))
		first.Body.Close()
		Expect(first.Status).To(Equal(http.StatusOK))
		Expect(first.Leaving).To(BeTrue())
		second := s.Forward(context.Background(), lookup(time.Second))
		Expect(second).To(And(HaveField("Outcome", fleet.NotRun), HaveField("Dispatched", false), HaveField("Leaving", true)))
		Expect(told).To(Equal(1))
		load, _ := s.Load("t1")
		Expect(load.RateUnknown).To(BeTrue())
	})
})
