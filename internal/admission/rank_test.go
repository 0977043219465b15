package admission_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/admission"
	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// simulateRanks offers the given work of each rank, relative to the capacity of
// ten targets, in requests with a deadline of one second.
func simulateRanks(seed uint64, ranks []fleet.Rank, work []float64) simResult {
	sim := simulation{targets: 10, seed: seed, from: time.Second, until: 6 * time.Second, heavyShare: 0.1, callerDelays: [2]time.Duration{3 * ms, 10 * ms},
		demand: func(time.Duration) float64 { return 1 }}
	for i, r := range ranks {
		sim.classes = append(sim.classes, requestClass{fmt.Sprint(r), r.Priority(), fleet.Short, 50 * ms, time.Second, work[i]})
	}
	return sim.run()
}

var _ = Describe("Ranks", func() {
	lowRank := fleet.Rank(3)
	b := bundle.NewHostRouted("test", 1, nil, nil, []bundle.NamedLimit{{Name: "busy", Rank: &lowRank}, {Name: "other"}})
	class := &bundle.Class{Priority: fleet.Rank(1).Priority()}
	rankOf := func(organisation string) fleet.Rank { return b.Priority(b.Named(organisation), class).Rank() }

	// Guards against a surge of less urgent requests that makes the urgent ones
	// late or gets them refused.
	DescribeTable("answers urgent requests during a surge of a lower rank", func(steady, surge fleet.Rank, surgeWork float64) {
		for seed := range uint64(3) {
			r := simulateRanks(seed, []fleet.Rank{steady, surge}, []float64{0.7, surgeWork})
			answered := func(rank fleet.Rank) float64 {
				return float64(r.answered[fmt.Sprint(rank)]) / float64(r.offered[fmt.Sprint(rank)])
			}
			Expect(answered(steady)).To(BeNumerically(">=", 0.99), "seed %d", seed)
			Expect(answered(surge)*surgeWork).To(BeNumerically(">", 0.2), "the rest of the capacity is used, seed %d", seed)
		}
	},
		Entry("of rank 2 beside rank 0", fleet.Rank(0), fleet.Rank(2), 4.0),
		Entry("of rank 1 beside rank 0", fleet.Rank(0), fleet.Rank(1), 4.0),
		Entry("of an organisation at seven times its usual work, whose rank is lower than its class's", rankOf("other"), rankOf("busy"), 7*0.2))

	// Guards against a rank that starves, and against a lower rank that takes
	// the starts that are left to a higher one, while every rank alone would
	// fill the targets.
	It("leaves every rank a part of the starts, the more urgent the larger", func() {
		for seed := range uint64(3) {
			r := simulateRanks(seed, []fleet.Rank{0, 1, 2, 7}, []float64{2, 2, 2, 2})
			total := r.answered["0"] + r.answered["1"] + r.answered["2"] + r.answered["7"]
			Expect(float64(r.answered["0"])/float64(total)).To(BeNumerically(">=", 0.8), "seed %d", seed)
			Expect(r.answered["1"]).To(BeNumerically(">", 2*r.answered["2"]), "seed %d", seed)
			Expect(r.answered["2"]).To(BeNumerically(">", 0), "seed %d", seed)
		}
	})

	// Guards against a queue that refuses urgent requests while less urgent ones
	// wait, and that admits the less urgent ones only to let them expire.
	It("refuses the lower ranks first when the expected wait is too long", func() {
		q := admission.New(admission.Config{Slots: 1})
		id := uint64(0)
		arrive := func(rank fleet.Rank) []admission.Action {
			id++
			return q.Step(epoch, admission.Arrive{Item: admission.Item{ID: id, Class: "c", Tenant: "a", Priority: rank.Priority(), Expected: 100 * ms, Deadline: epoch.Add(2 * time.Second)}})
		}
		for range 7 { // one runs and six wait
			Expect(arrive(1)).To(Or(BeEmpty(), HaveLen(1)))
		}
		for range 4 {
			Expect(arrive(3)).To(BeEmpty())
		}
		Expect(arrive(3)).To(ContainElement(HaveField("Reason", admission.ReasonDeadline)))
		for range 5 {
			Expect(arrive(0)).To(BeEmpty())
		}
		Expect(arrive(2)).To(ContainElement(HaveField("Reason", admission.ReasonDeadline)))
		Expect(started(q.Step(epoch.Add(100*ms), admission.Finish{ID: 1, RunTime: 100 * ms}))).To(Equal([]uint64{13}))
	})

	// Guards against calls of running requests that wait behind a surge of new
	// urgent work, while those requests hold slots at other targets.
	It("starts nested calls of any rank before new work", func() {
		q := admission.New(admission.Config{Slots: 1})
		q.Step(epoch, admission.Arrive{Item: item(1, "a", fleet.Rank(0).Priority(), fleet.Short)})
		for id := uint64(2); id <= 20; id++ {
			q.Step(epoch, admission.Arrive{Item: item(id, "a", fleet.Rank(0).Priority(), fleet.Short)})
		}
		call := item(21, "", fleet.Background, fleet.Short)
		call.Nested, call.Deadline = true, epoch.Add(time.Second)
		Expect(q.Step(epoch, admission.Arrive{Item: call})).To(BeEmpty())
		Expect(started(q.Step(epoch.Add(10*ms), admission.Finish{ID: 1, RunTime: 10 * ms}))).To(Equal([]uint64{21}))
	})
})
