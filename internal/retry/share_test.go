package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"siskinvale.dev/siskinvale/internal/retry"
)

var _ = Describe("FleetBudgetShare", func() {
	const window = 10 * time.Second

	// Guards against retries that exceed the fleet's budget in any sliding
	// window: every request fails, in bursts and pauses, and as many retries as
	// possible are withdrawn.
	It("stays within ratio and allowance in every window", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
			allowance := rapid.Float64Range(0, 10).Draw(t, "allowance")
			s := retry.NewFleetBudgetShare(ratio, allowance, window, start.Add(-window))
			type record struct {
				at                time.Time
				requests, retries int
			}
			var records []record
			now := start
			for range rapid.IntRange(1, 120).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
				m := record{at: now, requests: rapid.IntRange(0, 20).Draw(t, "requests")}
				for range m.requests {
					s.Deposit(now)
					for range 2 {
						if s.Withdraw(now) {
							m.retries++
						}
					}
				}
				records = append(records, m)
			}
			for i, first := range records {
				requests, retries := 0, 0
				for _, m := range records[i:] {
					// The resolution of a FleetBudgetShare is a twentieth of
					// its window.
					if m.at.Sub(first.at) > window-window/20 {
						break
					}
					requests, retries = requests+m.requests, retries+m.retries
				}
				// Requests in the preceding window may pay for retries in this
				// one.
				for _, m := range records[:i] {
					if first.at.Sub(m.at) <= window {
						requests += m.requests
					}
				}
				if float64(retries) > ratio*float64(requests)+allowance {
					t.Fatalf("%d retries for %d requests from %v", retries, requests, first.at.Sub(start))
				}
			}
		})
	})

	// Guards against nodes that spend their allowance twice in one window
	// because all processes were restarted within it.
	It("limits the allowance after a restart", func() {
		const allowance = 20.0
		for _, restart := range []time.Duration{0, window / 4, window / 2, 3 * window / 4} {
			spent := 0
			before := retry.NewFleetBudgetShare(0, allowance, window, start.Add(-window))
			for before.Withdraw(start) {
				spent++
			}
			after := retry.NewFleetBudgetShare(0, allowance, window, start.Add(restart))
			for at := restart; at < window; at += window / 100 {
				for after.Withdraw(start.Add(at)) {
					spent++
				}
			}
			Expect(float64(spent)).To(BeNumerically("<=", allowance*(2-restart.Seconds()/window.Seconds())))
		}
	})

	// Guards against calls of retried runs that exceed the budget because they
	// are not counted.
	It("counts charged retries and returns refunded ones", func() {
		s := retry.NewFleetBudgetShare(0, 2, window, start.Add(-window))
		Expect(s.Withdraw(start)).To(BeTrue())
		s.Refund(start)
		s.Charge(start, 1.5)
		Expect(s.Withdraw(start)).To(BeFalse())
		s.SetAllowance(3)
		Expect(s.Withdraw(start)).To(BeTrue())
		Expect(s.Withdraw(start.Add(window + time.Second))).To(BeTrue())
	})
})
