package ingress

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/retry"
)

var _ = Describe("Retry budgets of all nodes", func() {
	// Guards against retries that exceed the fleet's budget of a service when
	// both services fail and one calls the other: a retried run of the calling
	// service makes its calls again. When such calls were counted only after
	// they had been made, they exceeded the budget by a fifth.
	It("stays within the budget of a called service when calling runs are retried", func() {
		const (
			nodes            = 25
			ratio, allowance = 0.2, 62.0
			window           = 10 * time.Second
			callingRequests  = 1000
			calledRequests   = 713
			callsPerRun      = 0.8
		)
		start := time.Unix(1_800_000_000, 0)
		class := &bundle.Class{Name: "c", Idempotent: true}
		for seed := range uint64(20) {
			r := rand.New(rand.NewPCG(seed, 9))
			ingresses := make([]*Ingress, nodes)
			for i := range ingresses {
				ingresses[i] = New(Config{
					Clock:            func() time.Time { return start.Add(-window) },
					FleetRetryBudget: FleetRetryBudget{Ratio: ratio, Allowance: allowance, Window: window},
				})
				ingresses[i].budgets.setNodeCount(nodes)
				ingresses[i].recordCallsPerRun("booking", &link.Reply{CallsPerRun: map[string]float64{"catalog": callsPerRun}})
			}
			retries := 0
			request := func(service string, now time.Time, onRetry func()) {
				b := ingresses[r.IntN(nodes)].retryBudget(&request{service: service, class: class})
				b.Deposit(now)
				if b.Withdraw(now) {
					onRetry()
				}
			}
			const steps = callingRequests + calledRequests
			for i := range steps {
				now := start.Add(time.Duration(i) * (window - window/10) / steps)
				if r.IntN(steps) < calledRequests {
					request("catalog", now, func() { retries++ })
					continue
				}
				request("booking", now, func() {
					if r.Float64() < callsPerRun {
						retries++
					}
				})
			}
			Expect(float64(retries)).To(BeNumerically("<=", ratio*calledRequests+allowance), "seed %d", seed)
		}
	})

	// Guards against failed runs that are not repeated although the called
	// service's budget has room for the calls that a run makes on average. With
	// few requests at each node, as in a fleet of 24 nodes with 10 to 40 requests
	// a window, most shares are within one retry of their limit.
	It("needs only the average calls of a run from a called service's budget", func() {
		const window = 10 * time.Second
		now := time.Unix(1_800_000_000, 0)
		in := New(Config{
			Clock:            func() time.Time { return now.Add(-window) },
			FleetRetryBudget: FleetRetryBudget{Ratio: 1 / fleetBudgetFraction, Window: window},
		})
		in.recordCallsPerRun("booking", &link.Reply{CallsPerRun: map[string]float64{"catalog": 0.25}})
		called := in.budgets.forClass("catalog", "")
		called.Deposit(now)
		in.budgets.forClass("catalog", "").(*retry.FleetBudgetShare).Charge(now, 0.5)
		b := in.retryBudget(&request{service: "booking", class: &bundle.Class{Idempotent: true}})
		for range 10 {
			b.Deposit(now)
		}
		Expect(called.Available(now)).To(BeFalse())
		Expect(b.Withdraw(now)).To(BeTrue())
		Expect(b.Withdraw(now)).To(BeTrue())
		Expect(b.Withdraw(now)).To(BeFalse())
		b.Refund(now)
		Expect(b.Withdraw(now)).To(BeTrue())
	})
})
