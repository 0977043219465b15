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

var _ = Describe("Target that says that it leaves", func() {
	// Guards against requests to a target that leaves, through a node that has
	// passed on its statement while nobody else knows it.
	It("is not chosen again, until it has another start or an operator returns it", func() {
		table := routing.NewTable(ingress("i"), routing.Config{})
		list := targets("booking", 2)
		rebuild := func(list []fleet.Target) *routing.Picker {
			return table.Rebuild("booking", list, verdicts{}.of, now)
		}
		picks := func(p *routing.Picker, exclude ...fleet.TargetID) (fleet.TargetID, bool) {
			choice, ok := p.Pick(routing.Request{Idempotent: true, Exclude: exclude}, 7, now)
			if !ok {
				return "", false
			}
			return choice.Target.Target().ID, true
		}
		p := rebuild(list)
		choice, ok := p.Pick(routing.Request{Exclude: []fleet.TargetID{list[1].ID}}, 7, now)
		Expect(ok).To(BeTrue())
		choice.Target.SaysLeaving(list[0])
		_, ok = picks(p, list[1].ID)
		Expect(ok).To(BeFalse())
		id, _ := picks(p)
		Expect(id).To(Equal(list[1].ID))
		Expect(p.Explain(now)).To(ContainElement(And(HaveField("Target", list[0].ID), HaveField("Reason", routing.ReasonDraining))))

		By("being listed again after its node was gone, from a late announcement")
		rebuild(list[1:])
		_, ok = picks(rebuild(list), list[1].ID)
		Expect(ok).To(BeFalse())

		By("starting again under its identifier")
		restarted := []fleet.Target{list[0], list[1]}
		restarted[0].Started = now
		_, ok = picks(rebuild(restarted), list[1].ID)
		Expect(ok).To(BeTrue())

		By("draining and being returned to use")
		choice.Target.SaysLeaving(restarted[0])
		draining := []fleet.Target{restarted[0], list[1]}
		draining[0].State = fleet.TargetDraining
		rebuild(draining)
		returned := []fleet.Target{restarted[0], list[1]}
		returned[0].Version++ // as with each change that the target's node makes
		_, ok = picks(rebuild(returned), list[1].ID)
		Expect(ok).To(BeTrue())
	})

	// Guards against a target that leaves and is in use again because its record
	// goes from draining to serving without an operator: by a late announcement to
	// a new process of its node, or because its node only seemed to leave.
	DescribeTable("is not chosen again while its record returns to serving",
		func(change func(*fleet.Target)) {
			table := routing.NewTable(ingress("i"), routing.Config{})
			list := targets("booking", 2)
			list[0].Incarnation, list[0].Version = 7, 3
			rebuild := func(first fleet.Target) *routing.Picker {
				return table.Rebuild("booking", []fleet.Target{first, list[1]}, verdicts{}.of, now)
			}
			choice, ok := rebuild(list[0]).Pick(routing.Request{Exclude: []fleet.TargetID{list[1].ID}}, 7, now)
			Expect(ok).To(BeTrue())
			choice.Target.SaysLeaving(list[0])
			draining := list[0]
			draining.State = fleet.TargetDraining
			rebuild(draining)
			change(&draining)
			draining.State = fleet.TargetServing
			_, ok = rebuild(draining).Pick(routing.Request{Exclude: []fleet.TargetID{list[1].ID}}, 7, now)
			Expect(ok).To(BeFalse())
		},
		Entry("in a new process of its node", func(t *fleet.Target) { t.Incarnation, t.Version = 8, 4 }),
		Entry("with the record that it had", func(*fleet.Target) {}),
	)

	// Guards against a statement that is lost because it comes while the target's
	// node counts as dead.
	It("is not chosen again if it says so while it is not listed", func() {
		table := routing.NewTable(ingress("i"), routing.Config{})
		list := targets("booking", 2)
		rebuild := func(list []fleet.Target) *routing.Picker {
			return table.Rebuild("booking", list, verdicts{}.of, now)
		}
		choice, ok := rebuild(list).Pick(routing.Request{Exclude: []fleet.TargetID{list[1].ID}}, 7, now)
		Expect(ok).To(BeTrue())
		choice.Target.Begin()
		rebuild(list[1:])
		choice.Target.SaysLeaving(list[0])
		choice.Target.End(fleet.Load{}, true, now)
		_, ok = rebuild(list).Pick(routing.Request{Exclude: []fleet.TargetID{list[1].ID}}, 7, now)
		Expect(ok).To(BeFalse())
	})
})
