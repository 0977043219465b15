package routing_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/routing"
)

var _ = Describe("Rate limit that a target states", func() {
	var (
		table *routing.Table
		list  []fleet.Target
	)
	BeforeEach(func() {
		table = routing.NewTable(ingress("i"), routing.Config{})
		list = targets("booking", 4)
		for i := range list {
			list[i].DataCentre = "dc0"
		}
	})
	rebuild := func(list []fleet.Target, at time.Time) *routing.Picker {
		return table.Rebuild("booking", list, verdicts{}.of, at)
	}
	limitOf := func(p *routing.Picker, id fleet.TargetID) float64 {
		var exclude []fleet.TargetID
		for _, t := range list {
			if t.ID != id {
				exclude = append(exclude, t.ID)
			}
		}
		choice, ok := p.Pick(routing.Request{Exclude: exclude}, 1, now)
		Expect(ok).To(BeTrue())
		return choice.Target.RateLimit()
	}

	// Guards against a restarted sidecar that nobody tells the limit: while its
	// node is gone, its target is not listed, and its first reports do not know
	// the limit.
	It("is remembered while the target is not listed, for the same start of the target", func() {
		rebuild(list, now)
		table.Report("booking", list[0].ID, fleet.Load{Slots: 4, RateLimit: 2.5}, now)
		rebuild(list[1:], now.Add(time.Second))
		p := rebuild(list, now.Add(8*time.Second))
		Expect(limitOf(p, list[0].ID)).To(Equal(2.5))
		table.Report("booking", list[0].ID, fleet.Load{Slots: 4, RateUnknown: true}, now.Add(9*time.Second))
		Expect(limitOf(p, list[0].ID)).To(Equal(2.5))
		table.Report("booking", list[0].ID, fleet.Load{Slots: 4}, now.Add(10*time.Second))
		Expect(limitOf(p, list[0].ID)).To(BeZero())
	})

	It("does not outlive the target's process, or ten minutes without the target", func() {
		rebuild(list, now)
		for i := range 2 {
			table.Report("booking", list[i].ID, fleet.Load{Slots: 4, RateLimit: 2.5}, now)
		}
		restarted := append([]fleet.Target{}, list...)
		restarted[0].Started = now
		Expect(limitOf(rebuild(restarted, now), list[0].ID)).To(BeZero())
		rebuild(list[2:], now)
		rebuild(list[2:], now.Add(10*time.Minute))
		Expect(limitOf(rebuild(list, now.Add(11*time.Minute)), list[1].ID)).To(BeZero())
	})

	// Guards against requests that are offered to targets that must refuse
	// them, while others have room: eight targets of eleven state limits.
	It("gives a target the part of the requests that its limit lets it serve", func() {
		p := rebuild(list, now)
		for i, t := range list {
			load := fleet.Load{Slots: 4}
			if i == 0 {
				load.RateLimit = 2 // of the 16 a second that four slots serve
			}
			table.Report("booking", t.ID, load, now)
		}
		picked, _ := draw(p, routing.Request{Expected: 250 * time.Millisecond}, 8000, now)
		fmt.Fprintln(GinkgoWriter, picked)
		Expect(picked[list[0].ID]).To(BeNumerically("<", 8000/4/2))
		Expect(picked[list[0].ID]).To(BeNumerically(">", 0))
	})

	It("makes a target cost the wait until its next request", func() {
		p := rebuild(list, now)
		for i, t := range list {
			load := fleet.Load{Slots: 4, RateLimit: 5, StartDelay: time.Second}
			if i == 3 {
				load.StartDelay = 100 * time.Millisecond
			}
			table.Report("booking", t.ID, load, now)
		}
		for _, e := range p.Explain(now) {
			want := time.Second
			if e.Target == list[3].ID {
				want = 100 * time.Millisecond
			}
			Expect(e.Cost).To(BeNumerically("~", want, 5*time.Millisecond))
		}
		Expect(p.Explain(now.Add(time.Second))[0].Cost).To(BeNumerically("<", 5*time.Millisecond))
	})
})
