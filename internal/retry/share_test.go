package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"siskinvale.dev/siskinvale/internal/retry"
)

var _ = Describe("Share", func() {
	const window = 10 * time.Second

	// Guards against repeats beyond the fleet's budget in any sliding window:
	// every request fails and asks for repeats, in bursts and lulls.
	It("keeps every window within ratio and allowance", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
			allowance := rapid.Float64Range(0, 10).Draw(t, "allowance")
			s := retry.NewShare(ratio, allowance, window, start.Add(-window))
			type mark struct {
				at                time.Time
				requests, repeats int
			}
			var marks []mark
			now := start
			for range rapid.IntRange(1, 120).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
				m := mark{at: now, requests: rapid.IntRange(0, 20).Draw(t, "requests")}
				for range m.requests {
					s.Deposit(now)
					for range 2 {
						if s.Withdraw(now) {
							m.repeats++
						}
					}
				}
				marks = append(marks, m)
			}
			for i, first := range marks {
				requests, repeats := 0, 0
				for _, m := range marks[i:] {
					// A twentieth of the window is the resolution.
					if m.at.Sub(first.at) > window-window/20 {
						break
					}
					requests, repeats = requests+m.requests, repeats+m.repeats
				}
				// Requests before the window may pay for repeats in it.
				for _, m := range marks[:i] {
					if first.at.Sub(m.at) <= window {
						requests += m.requests
					}
				}
				if float64(repeats) > ratio*float64(requests)+allowance {
					t.Fatalf("%d repeats for %d requests from %v", repeats, requests, first.at.Sub(start))
				}
			}
		})
	})

	// Guards against nodes that spend their allowance twice in a window because
	// all of them were restarted in it: the pattern "all processes killed".
	It("keeps the allowance over a restart", func() {
		const allowance = 20.0
		for _, restart := range []time.Duration{0, window / 4, window / 2, 3 * window / 4} {
			spent := 0
			before := retry.NewShare(0, allowance, window, start.Add(-window))
			for before.Withdraw(start) {
				spent++
			}
			after := retry.NewShare(0, allowance, window, start.Add(restart))
			for at := restart; at < window; at += window / 100 {
				for after.Withdraw(start.Add(at)) {
					spent++
				}
			}
			Expect(float64(spent)).To(BeNumerically("<=", allowance*(2-restart.Seconds()/window.Seconds())))
		}
	})

	// Guards against calls of repeated runs that exceed the budget unseen.
	It("counts charged repeats and returns refunded ones", func() {
		s := retry.NewShare(0, 2, window, start.Add(-window))
		Expect(s.Withdraw(start)).To(BeTrue())
		s.Refund(start)
		s.Charge(start, 1.5)
		Expect(s.Withdraw(start)).To(BeFalse())
		s.SetAllowance(3)
		Expect(s.Withdraw(start)).To(BeTrue())
		Expect(s.Withdraw(start.Add(window + time.Second))).To(BeTrue())
	})
})
