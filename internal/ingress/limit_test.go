package ingress

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/link"
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
})
