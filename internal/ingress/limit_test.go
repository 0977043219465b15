package ingress

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/link"
)

var _ = Describe("Budgets of all nodes", func() {
	// Guards against repeats that exceed the fleet's budget of a service because
	// runs of another service are repeated and make their calls again: the
	// pattern "both services fail, and one calls the other". Counted after they
	// were made, such calls exceeded it by a fifth.
	It("keeps the budget of a called service", func() {
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
			all := make([]*Ingress, nodes)
			for i := range all {
				all[i] = New(Config{
					Clock:   func() time.Time { return start.Add(-window) },
					Repeats: Repeats{Ratio: ratio, Allowance: allowance, Window: window},
				})
				all[i].budgets.divide(nodes)
				all[i].learnCalls("booking", &link.Reply{Calls: map[string]float64{"catalog": callsPerRun}})
			}
			repeats := 0
			request := func(service string, now time.Time, repeated func()) {
				b := all[r.IntN(nodes)].budgetOf(&request{service: service, class: class})
				b.Deposit(now)
				if b.Withdraw(now) {
					repeated()
				}
			}
			const steps = callingRequests + calledRequests
			for i := range steps {
				now := start.Add(time.Duration(i) * (window - window/10) / steps)
				if r.IntN(steps) < calledRequests {
					request("catalog", now, func() { repeats++ })
					continue
				}
				request("booking", now, func() {
					if r.Float64() < callsPerRun {
						repeats++
					}
				})
			}
			Expect(float64(repeats)).To(BeNumerically("<=", ratio*calledRequests+allowance), "seed %d", seed)
		}
	})
})
