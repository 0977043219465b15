package admission_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/admission"
	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// rankedLoad is the load that requests of one rank put on a target.
type rankedLoad struct {
	rank   fleet.Rank
	tenant string
	// load is relative to the capacity of the target, from the given time on.
	load float64
	from time.Duration
}

type rankedResult struct{ offered, onTime, started int }

// simulateRanks runs ten seconds of arrivals at a target with eight slots and
// runs of 50 to 150 ms, and returns the results by load. Requests have a latency
// objective of one second and a deadline of two.
func simulateRanks(seed uint64, loads ...rankedLoad) []rankedResult {
	const slots, mean, objective, deadline, until = 8, 100 * ms, time.Second, 2 * time.Second, 10 * time.Second
	random := rand.New(rand.NewPCG(seed, 5))
	type request struct {
		id      uint64
		load    int
		at, run time.Duration
	}
	var requests []*request
	for i, l := range loads {
		for at := l.from; at < until; at += time.Duration(random.ExpFloat64() * float64(mean) / slots / l.load) {
			requests = append(requests, &request{load: i, at: at, run: time.Duration((0.5 + random.Float64()) * float64(mean))})
		}
	}
	slices.SortStableFunc(requests, func(a, b *request) int { return cmp.Compare(a.at, b.at) })
	q, results, running := admission.New(admission.Config{Slots: slots}), make([]rankedResult, len(loads)), map[*request]time.Duration{}
	apply := func(now time.Duration, ev admission.Event) {
		for _, a := range q.Step(epoch.Add(now), ev) {
			if start, ok := a.(admission.Start); ok {
				r := requests[start.ID]
				results[r.load].started++
				running[r] = now + r.run
			}
		}
	}
	finishUntil := func(limit time.Duration) {
		for len(running) > 0 {
			var next *request
			for r, end := range running {
				if next == nil || end < running[next] || end == running[next] && r.id < next.id {
					next = r
				}
			}
			end := running[next]
			if end > limit {
				return
			}
			delete(running, next)
			if end-next.at <= objective {
				results[next.load].onTime++
			}
			apply(end, admission.Finish{ID: next.id, RunTime: next.run})
		}
	}
	for id, r := range requests {
		r.id = uint64(id)
		finishUntil(r.at)
		results[r.load].offered++
		l := loads[r.load]
		apply(r.at, admission.Arrive{Item: admission.Item{ID: r.id, Class: "c", Tenant: l.tenant, Priority: l.rank.Priority(), Expected: mean,
			Objective: epoch.Add(r.at + objective), Deadline: epoch.Add(r.at + deadline)}})
	}
	finishUntil(until + deadline)
	return results
}

var _ = Describe("Ranks", func() {
	lowRank := fleet.Rank(3)
	b := bundle.NewHostRouted("test", 1, nil, nil, []bundle.NamedLimit{{Name: "busy", Rank: &lowRank}, {Name: "other"}})
	class := &bundle.Class{Priority: fleet.Rank(1).Priority()}
	rankOf := func(organisation string) fleet.Rank { return b.Priority(b.Named(organisation), class).Rank() }

	// Guards against a surge of less urgent requests that makes the urgent ones
	// late or gets them refused.
	DescribeTable("keeps urgent requests on time during a surge of a lower rank", func(steady fleet.Rank, surge rankedLoad) {
		for seed := range uint64(5) {
			results := simulateRanks(seed, rankedLoad{rank: steady, tenant: "a", load: 0.8}, surge)
			Expect(float64(results[0].onTime)).To(BeNumerically(">=", 0.99*float64(results[0].offered)), "seed %d", seed)
			Expect(results[1].started).To(BeNumerically("<", results[1].offered))
			Expect(float64(results[1].started)).To(BeNumerically(">", 0.1*float64(results[0].started)), "the rest of the capacity is used")
		}
	},
		Entry("of rank 2 beside rank 0", fleet.Rank(0), rankedLoad{rank: 2, tenant: "a", load: 4, from: 3 * time.Second}),
		Entry("of rank 1 beside rank 0", fleet.Rank(0), rankedLoad{rank: 1, tenant: "a", load: 4, from: 3 * time.Second}),
		Entry("of an organisation at seven times its usual rate, whose rank is lower than its class's", rankOf("other"),
			rankedLoad{rank: rankOf("busy"), tenant: "busy", load: 7 * 0.2}))

	// Guards against a rank that starves, and against a lower rank that takes
	// the starts that are left to a higher one, while every rank alone would
	// fill the target.
	It("leaves every rank a part of the starts, the more urgent the larger", func() {
		for seed := range uint64(5) {
			results := simulateRanks(seed, rankedLoad{rank: 0, load: 2}, rankedLoad{rank: 1, load: 2}, rankedLoad{rank: 2, load: 2}, rankedLoad{rank: 7, load: 2})
			total := 0
			for _, r := range results {
				total += r.started
			}
			Expect(float64(results[0].started)/float64(total)).To(BeNumerically(">=", 0.8), "seed %d", seed)
			Expect(results[1].started).To(BeNumerically(">", 2*results[2].started), "seed %d", seed)
			Expect(results[2].started).To(BeNumerically(">", 0), "seed %d", seed)
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
