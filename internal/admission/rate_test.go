package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"siskinvale.dev/siskinvale/internal/admission"
	"siskinvale.dev/siskinvale/internal/fleet"
)

var _ = Describe("Rate limit", func() {
	var (
		q   *admission.Queue
		now time.Time
		id  uint64
	)
	BeforeEach(func() {
		q, now, id = admission.New(admission.Config{}), epoch, 0
	})
	arrive := func(change func(*admission.Item)) []admission.Action {
		id++
		i := item(id, "a", fleet.Interactive, fleet.Short)
		i.Deadline = now.Add(4 * time.Second)
		if change != nil {
			change(&i)
		}
		return q.Step(now, admission.Arrive{Item: i})
	}

	// Guards against a target that gets more requests than the limit that it
	// states, whatever the arrivals, cancellations and changes of the limit.
	It("holds in every window of four seconds", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			limit := rapid.Float64Range(0.3, 20).Draw(t, "limit")
			q := admission.New(admission.Config{Slots: rapid.IntRange(1, 16).Draw(t, "slots")})
			now, id := epoch, uint64(0)
			var starts []time.Time
			running := []uint64{}
			apply := func(ev admission.Event) {
				for _, a := range q.Step(now, ev) {
					if s, ok := a.(admission.Start); ok {
						starts, running = append(starts, now), append(running, s.ID)
					}
				}
			}
			apply(admission.SetRateLimit{PerSecond: limit})
			for range rapid.IntRange(1, 300).Draw(t, "events") {
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * ms)
				switch rapid.IntRange(0, 3).Draw(t, "kind") {
				case 0, 1:
					id++
					i := item(id, "a", fleet.Interactive, fleet.Short)
					i.Deadline, i.Nested = now.Add(3*time.Second), rapid.Bool().Draw(t, "nested")
					apply(admission.Arrive{Item: i})
				case 2:
					if len(running) > 0 {
						apply(admission.Finish{ID: running[0], RunTime: 10 * ms})
						running = running[1:]
					}
				case 3:
					if delay, ok := q.NextStart(now); ok {
						now = now.Add(delay)
					}
					apply(admission.Tick{})
				}
			}
			for i, first := range starts {
				n := 0
				for _, s := range starts[i:] {
					if s.Sub(first) < 4*time.Second {
						n++
					}
				}
				if float64(n) > 1.5*limit*4+5 {
					t.Fatalf("%d starts in four seconds at a limit of %v per second", n, limit)
				}
			}
		})
	})

	// Guards against a burst after the limit is first stated: what the target
	// got shortly before is not known.
	It("starts with an empty bucket and reports when the next request may start", func() {
		q.Step(now, admission.SetRateLimit{PerSecond: 2})
		Expect(q.HasFreeSlot(now)).To(BeFalse())
		Expect(q.Load(now)).To(And(HaveField("RateLimit", 2.0), HaveField("StartDelay", 500*ms)))
		Expect(started(arrive(nil))).To(BeEmpty())
		delay, waits := q.NextStart(now)
		Expect(waits).To(BeTrue())
		Expect(delay).To(Equal(500 * ms))
		now = now.Add(delay)
		Expect(started(q.Step(now, admission.Tick{}))).To(HaveLen(1))
	})

	// Guards against requests that wait although the limit is known to make
	// them late.
	It("refuses at once what the limit makes late, with the time to come back", func() {
		q.Step(now, admission.SetRateLimit{PerSecond: 1})
		for range 2 {
			arrive(func(i *admission.Item) { i.Objective = now.Add(2500 * ms) })
		}
		actions := arrive(func(i *admission.Item) { i.Objective = now.Add(2500 * ms) })
		Expect(actions).To(ConsistOf(admission.Refuse{ID: id, Reason: admission.ReasonDeadline, RetryAfter: 3 * time.Second}))
		Expect(q.Load(now).Queued).To(Equal(2))
	})

	It("refuses queued requests that a new limit makes unreachable", func() {
		for range 4 {
			Expect(started(arrive(nil))).To(HaveLen(1))
		}
		for range 6 {
			arrive(nil)
		}
		refused := 0
		for _, a := range q.Step(now, admission.SetRateLimit{PerSecond: 1}) {
			Expect(a).To(BeAssignableToTypeOf(admission.Refuse{}))
			refused++
		}
		Expect(refused).To(Equal(3), "the others start after 1 s, 2 s and 3 s, before their deadline")
	})

	// Guards against a refusal that depends on the order of a map: overdue
	// requests, and nested ones, start in order of arrival, whatever their rank.
	It("refuses the same requests each time a new limit makes some unreachable", func() {
		for range 30 {
			q = admission.New(admission.Config{Slots: 1})
			id = 0
			arrive(nil)
			for i := range 6 {
				arrive(func(item *admission.Item) {
					item.Priority, item.Nested = fleet.Priority(i%2), i >= 4
					if i < 4 {
						item.Objective = now.Add(ms)
					}
				})
			}
			Expect(q.Step(now, admission.SetRateLimit{PerSecond: 1})).To(HaveExactElements(
				HaveField("ID", uint64(3)), HaveField("ID", uint64(4)), HaveField("ID", uint64(5))))
		}
	})

	// Guards against less urgent requests that use up the limit of a target.
	It("serves nested calls and urgent requests first", func() {
		q.Step(now, admission.SetRateLimit{PerSecond: 1})
		arrive(func(i *admission.Item) { i.Priority = fleet.Background })
		arrive(nil)
		arrive(func(i *admission.Item) { i.Nested = true })
		var order []uint64
		for range 3 {
			now = now.Add(time.Second)
			for _, s := range started(q.Step(now, admission.Tick{})) {
				order = append(order, s)
				q.Step(now, admission.Finish{ID: s, RunTime: ms})
			}
		}
		Expect(order).To(Equal([]uint64{3, 2, 1}))
	})

	It("does not count a request that was withdrawn before it ran", func() {
		q.Step(now, admission.SetRateLimit{PerSecond: 1})
		now = now.Add(3 * time.Second)
		for range 3 {
			Expect(started(arrive(nil))).To(HaveLen(1))
		}
		q.Step(now, admission.Cancel{ID: 1})
		Expect(q.HasFreeSlot(now)).To(BeTrue())
	})

	It("ends with a limit of 0, and asks a target that accepts nothing every four seconds", func() {
		q.Step(now, admission.SetRateLimit{PerSecond: 1e-3})
		Expect(q.Load(now).StartDelay).To(Equal(4 * time.Second))
		q.Step(now, admission.SetRateLimit{})
		Expect(q.Load(now)).To(Equal(fleet.Load{Slots: 4}))
		Expect(q.HasFreeSlot(now)).To(BeTrue())
	})
})

var _ = Describe("Gate with a rate limit", func() {
	// Guards against requests that wait as long as an earlier, lower limit would
	// have made them wait.
	It("starts a queued request earlier when the limit rises", func() {
		g := admission.NewGate(admission.Config{}, time.Now)
		g.SetRateLimit(0.5)
		time.AfterFunc(50*time.Millisecond, func() { g.SetRateLimit(20) })
		begun := time.Now()
		release, err := g.Acquire(GinkgoT().Context(), admission.Item{Class: "c", Deadline: time.Now().Add(5 * time.Second)})
		Expect(err).NotTo(HaveOccurred())
		release()
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
	})

	// Guards against requests that wait for the limit although no other event
	// comes that would start them.
	It("starts a queued request when the limit allows it", func() {
		g := admission.NewGate(admission.Config{}, time.Now)
		g.SetRateLimit(20)
		begun := time.Now()
		release, err := g.Acquire(GinkgoT().Context(), admission.Item{Class: "c", Deadline: time.Now().Add(2 * time.Second)})
		Expect(err).NotTo(HaveOccurred())
		release()
		Expect(time.Since(begun)).To(BeNumerically(">=", 45*time.Millisecond))
	})
})
