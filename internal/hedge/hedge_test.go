package hedge_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"siskinvale.dev/siskinvale/internal/hedge"
)

func TestHedge(t *testing.T) {
	// A fixed seed makes rapid generate the same cases on every run; a soak plays
	// many more, from a new seed.
	name, value := "rapid.seed", "20261206"
	if os.Getenv("SISKINVALE_SOAK") != "" {
		name, value = "rapid.checks", "5000"
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "hedge")
}

var start = time.Unix(1_800_000_000, 0)

// budget grants a number of retries.
type budget struct{ left int }

func (b *budget) Withdraw(time.Time) bool {
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

func (b *budget) Available(time.Time) bool { return b.left > 0 }
func (b *budget) Refund(time.Time)         { b.left++ }

// due returns a copy that nothing but the limit and the budget stand against.
func due(b *budget) hedge.Copy {
	return hedge.Copy{Service: "s", Timing: hedge.Timing{MinRemaining: time.Second}, AttemptsLeft: 1, Remaining: time.Minute, Budget: b}
}

// observed returns a hedger that knows run times of 1 to 100 ms.
func observed(ratio float64) *hedge.Hedger {
	h := hedge.New(ratio)
	for i := range 1000 {
		h.Observe("s", "c", time.Duration(i%100+1)*time.Millisecond, start)
		h.Request("s", true, start)
	}
	return h
}

var _ = Describe("Hedger", func() {
	// Guards against copies by the quantiles of a few run times, and against a
	// class with few requests at a node that never gets copies.
	It("uses the expected run time of a class of which it knows little", func() {
		h := hedge.New(0.1)
		for range 9 {
			h.Observe("s", "c", time.Millisecond, start)
		}
		_, ok := h.Timing(hedge.Attempt{Service: "s", Class: "c"}, start)
		Expect(ok).To(BeFalse())
		timing, ok := h.Timing(hedge.Attempt{Service: "s", Class: "c", Expected: time.Second}, start)
		Expect(ok).To(BeTrue())
		Expect(timing.Delay).To(Equal(3 * time.Second))
	})

	// Guards against copies that are too late for the latency objective, and
	// against ones before the usual run time for an objective that is out of
	// reach.
	DescribeTable("sends copies early enough for the latency objective", func(objective, delay time.Duration) {
		timing, _ := observed(0.1).Timing(hedge.Attempt{Service: "s", Class: "c", ToObjective: objective}, start)
		Expect(timing.Delay).To(BeNumerically("~", delay, 6*time.Millisecond))
	},
		Entry("far away", time.Second, 90*time.Millisecond),
		Entry("near", 160*time.Millisecond, 85*time.Millisecond),
		Entry("out of reach", 80*time.Millisecond, 75*time.Millisecond),
	)

	It("delays copies until as many requests are slower as the limit allows", func() {
		timing, ok := observed(0.1).Timing(hedge.Attempt{Service: "s", Class: "c"}, start)
		Expect(ok).To(BeTrue())
		Expect(timing.Delay).To(BeNumerically("~", 90*time.Millisecond, 6*time.Millisecond))
	})

	// Guards against a limit that is left unused because most requests of the
	// service may not be copied.
	It("delays copies less if only a part of the requests may be copied", func() {
		h := observed(0.1)
		for range 1000 {
			h.Request("s", false, start)
		}
		timing, _ := h.Timing(hedge.Attempt{Service: "s", Class: "c"}, start)
		Expect(timing.Delay).To(BeNumerically("<", 85*time.Millisecond))
	})

	// Guards against copies of requests that take their usual time, in a class
	// whose run times hardly differ.
	It("delays copies by more than the usual run time", func() {
		h := hedge.New(0.5)
		for range 100 {
			h.Observe("s", "c", 20*time.Millisecond, start)
			h.Request("s", true, start)
		}
		timing, _ := h.Timing(hedge.Attempt{Service: "s", Class: "c"}, start)
		Expect(timing.Delay).To(BeNumerically("~", 30*time.Millisecond, 2*time.Millisecond))
	})

	// Guards against a delay that stays at the run times of an earlier load.
	It("follows a change of the run times", func() {
		h, now := observed(0.1), start
		for range 400 {
			now = now.Add(100 * time.Millisecond)
			h.Observe("s", "c", time.Second, now)
		}
		timing, _ := h.Timing(hedge.Attempt{Service: "s", Class: "c"}, now)
		Expect(timing.Delay).To(BeNumerically(">=", time.Second))
	})

	// Guards against memory that grows with the routes of all bundles since the
	// start.
	It("keeps run times of a limited number of classes", func() {
		h := hedge.New(0.1)
		observe := func(class int, at time.Time) {
			for range 10 {
				h.Observe("s", fmt.Sprint(class), time.Millisecond, at)
			}
		}
		known := func(class int, at time.Time) bool {
			_, ok := h.Timing(hedge.Attempt{Service: "s", Class: fmt.Sprint(class)}, at)
			return ok
		}
		for class := range 2001 {
			observe(class, start)
		}
		Expect(known(1999, start)).To(BeTrue())
		Expect(known(2000, start)).To(BeFalse())
		later := start.Add(11 * time.Minute)
		observe(0, later)
		observe(2000, later)
		Expect(known(0, later)).To(BeTrue(), "it is in use")
		Expect(known(1, later)).To(BeFalse())
		Expect(known(2000, later)).To(BeTrue())
	})

	DescribeTable("withholds a copy", func(change func(*hedge.Hedger, *hedge.Copy), reason hedge.Reason) {
		h := observed(0.1)
		c := due(&budget{left: 2})
		change(h, &c)
		send, got := h.Decide(c, start)
		Expect(send).To(BeFalse())
		Expect(got).To(Equal(reason))
	},
		Entry("without an attempt left", func(_ *hedge.Hedger, c *hedge.Copy) { c.AttemptsLeft = 0 }, hedge.ReasonAttempts),
		Entry("with too little time left", func(_ *hedge.Hedger, c *hedge.Copy) { c.Remaining = time.Millisecond }, hedge.ReasonDeadline),
		Entry("after a copy of the service found a target full", func(h *hedge.Hedger, _ *hedge.Copy) { h.FoundFull("s", start) }, hedge.ReasonFull),
		Entry("beyond the limit", func(h *hedge.Hedger, c *hedge.Copy) { c.Service = "quiet" }, hedge.ReasonLimit),
		Entry("that would take the last retry, which a failed request may need", func(_ *hedge.Hedger, c *hedge.Copy) { c.Budget = &budget{left: 1} }, hedge.ReasonBudget),
		Entry("beyond the retry budget", func(_ *hedge.Hedger, c *hedge.Copy) { c.Budget = &budget{} }, hedge.ReasonBudget),
	)

	// Guards against a limit that is used up by copies that the retry budget
	// refused or that were not run.
	It("returns what a copy did not use to the limit", func() {
		h := hedge.New(1)
		h.Request("s", true, start)
		for range 3 {
			for left := range 2 {
				b := &budget{left: left}
				_, reason := h.Decide(due(b), start)
				Expect(reason).To(Equal(hedge.ReasonBudget))
				Expect(b.left).To(Equal(left))
			}
			send, _ := h.Decide(due(&budget{left: 2}), start)
			Expect(send).To(BeTrue())
			_, reason := h.Decide(due(&budget{left: 2}), start)
			Expect(reason).To(Equal(hedge.ReasonLimit))
			h.Refund("s", start)
		}
	})

	// Guards against bursts of copies after quiet or busy times: in every window
	// the copies stay within the ratio of the requests of the window that ends
	// with the last copy.
	It("never exceeds the limit in any window", func() {
		const window = time.Minute
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
			h, now := hedge.New(ratio), start
			var requests, copies []time.Time
			for range rapid.IntRange(1, 400).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause_ms")) * time.Millisecond)
				if rapid.Bool().Draw(t, "request") {
					h.Request("s", true, now)
					requests = append(requests, now)
					continue
				}
				if send, _ := h.Decide(due(&budget{left: 2}), now); !send {
					continue
				}
				copies = append(copies, now)
				if inWindow, allowed := since(copies, now.Add(-window*19/20)), ratio*float64(since(requests, now.Add(-window))); float64(inWindow) > allowed {
					t.Fatalf("%d copies in a window that allows %.2f", inWindow, allowed)
				}
			}
		})
	})
})

// since returns how many times are after from.
func since(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) {
			n++
		}
	}
	return n
}
