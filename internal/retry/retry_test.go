package retry_test

import (
	"flag"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/retry"
)

func TestRetry(t *testing.T) {
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
	RunSpecs(t, "retry")
}

var start = time.Unix(1_800_000_000, 0)

var _ = Describe("Decide", func() {
	allowed := retry.Attempt{Number: 1, Max: 3, Idempotent: true, Outcome: fleet.Unknown, Remaining: time.Second}
	change := func(f func(*retry.Attempt)) retry.Attempt {
		a := allowed
		f(&a)
		return a
	}
	// Guards against retries of requests that must run at most once, and
	// against retries after the caller has stopped waiting.
	DescribeTable("decides by outcome, idempotency, attempts and deadline",
		func(a retry.Attempt, wantRetry bool, reason string) {
			Expect(retry.Decide(a, retry.NewBudget(0.1, 10), start)).To(Equal(retry.Decision{Retry: wantRetry, Reason: reason}))
		},
		Entry("idempotent and unknown", allowed, true, retry.ReasonIdempotent),
		Entry("not run and not idempotent", change(func(a *retry.Attempt) { a.Idempotent, a.Outcome = false, fleet.NotRun }), true, retry.ReasonNotRun),
		Entry("unknown and not idempotent", change(func(a *retry.Attempt) { a.Idempotent = false }), false, retry.ReasonMayHaveRun),
		Entry("answered", change(func(a *retry.Attempt) { a.Outcome = fleet.Answered }), false, retry.ReasonAnswered),
		Entry("streamed", change(func(a *retry.Attempt) { a.Streamed = true }), false, retry.ReasonStreamed),
		Entry("last attempt", change(func(a *retry.Attempt) { a.Number = 3 }), false, retry.ReasonAttempts),
		Entry("after the deadline", change(func(a *retry.Attempt) { a.Remaining = 0 }), false, retry.ReasonDeadline),
	)

	// Guards against a decision that withdraws from the budget although no
	// retry follows.
	It("withdraws only for a retry", func() {
		b := retry.NewBudget(0, 1)
		Expect(retry.Decide(change(func(a *retry.Attempt) { a.Number = 3 }), b, start).Retry).To(BeFalse())
		Expect(retry.Decide(allowed, b, start).Retry).To(BeTrue())
		Expect(retry.Decide(allowed, b, start).Reason).To(Equal(retry.ReasonBudget))
	})
})

var _ = Describe("Budget", func() {
	// Guards against retries that amplify a surge of failures: every request
	// fails, and as many retries as possible are withdrawn for it.
	It("never allows more than the ratio of requests plus the minimum", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
			minimum := rapid.Float64Range(0, 20).Draw(t, "minimum")
			b := retry.NewBudget(ratio, minimum)
			now, requests, retries := start, 0, 0
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(-5, 500).Draw(t, "ms")) * time.Millisecond)
				for range rapid.IntRange(0, 50).Draw(t, "requests") {
					b.Deposit(now)
					requests++
					for range 3 {
						if b.Withdraw(now) {
							retries++
						}
					}
				}
			}
			elapsed := max(now.Sub(start), 0).Seconds() + 1 // the clock goes back by at most 200 steps of 5 ms
			Expect(float64(retries)).To(BeNumerically("<=", ratio*float64(requests)+minimum*(elapsed+1)+1))
		})
	})

	// Guards against a class with few requests that can never retry.
	It("allows the minimum per second without requests", func() {
		b := retry.NewBudget(0.1, 2)
		allowed := 0
		for i := range 100 {
			if b.Withdraw(start.Add(time.Duration(i) * 100 * time.Millisecond)) {
				allowed++
			}
		}
		Expect(allowed).To(BeNumerically("~", 2+2*9.9, 1))
	})

	// Guards against lost updates that would let concurrent retries exceed the
	// budget.
	It("limits concurrent retries", func() {
		b := retry.NewBudget(0.1, 0)
		var allowed atomic.Int64
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				for range 5000 {
					b.Deposit(start)
					if b.Withdraw(start) {
						allowed.Add(1)
					}
				}
			})
		}
		group.Wait()
		Expect(allowed.Load()).To(BeNumerically("<=", 4000))
		Expect(allowed.Load()).To(BeNumerically(">", 3900))
	})
})

func BenchmarkBudget(b *testing.B) {
	budget := retry.NewBudget(0.1, 10)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			budget.Deposit(start)
			budget.Withdraw(start)
		}
	})
}
