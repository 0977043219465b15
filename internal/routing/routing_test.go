package routing_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
	"siskinvale.dev/siskinvale/internal/naive"
	"siskinvale.dev/siskinvale/internal/routing"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

var now = time.Unix(1_800_000_000, 0)

// targets returns n targets past their slow start, spread over four data
// centres, with one target per node.
func targets(service string, n int) []fleet.Target {
	var out []fleet.Target
	for i := range n {
		out = append(out, fleet.Target{ID: fleet.TargetID(fmt.Sprintf("%s-%02d", service, i)), Service: service,
			Node: fleet.NodeID(fmt.Sprintf("node-%d", i)), DataCentre: fmt.Sprintf("dc%d", i%4), Slots: 4, Started: now.Add(-time.Hour)})
	}
	return out
}

type verdicts map[fleet.TargetID]health.Verdict

func (v verdicts) of(id fleet.TargetID) health.Verdict {
	if got, ok := v[id]; ok {
		return got
	}
	return health.Verdict{Share: 1}
}

func ingress(id string) fleet.Node { return fleet.Node{ID: fleet.NodeID(id), DataCentre: "dc0"} }

func build(list []fleet.Target, v verdicts) *routing.Picker {
	return routing.NewTable(ingress("i"), routing.Config{}).Rebuild("booking", list, v.of, now)
}

// draw picks n times without beginning attempts and counts the chosen targets
// and the reasons.
func draw(p *routing.Picker, req routing.Request, n int, at time.Time) (map[fleet.TargetID]int, map[routing.Reason]int) {
	r, ids, reasons := rand.New(rand.NewPCG(1, 2)), map[fleet.TargetID]int{}, map[routing.Reason]int{}
	for range n {
		c, ok := p.Pick(req, r.Uint64(), at)
		Expect(ok).To(BeTrue())
		ids[c.Target.Target().ID]++
		reasons[c.Reason]++
	}
	return ids, reasons
}

// endpoints returns the Endpoints of the targets in list that p can pick.
func endpoints(p *routing.Picker, list []fleet.Target) map[fleet.TargetID]*routing.Endpoint {
	found, r := map[fleet.TargetID]*routing.Endpoint{}, rand.New(rand.NewPCG(3, 4))
	for _, want := range list {
		var exclude []fleet.TargetID
		for _, other := range list {
			if other.ID != want.ID {
				exclude = append(exclude, other.ID)
			}
		}
		if c, ok := p.Pick(routing.Request{Exclude: exclude}, r.Uint64(), now); ok {
			found[want.ID] = c.Target
		}
	}
	return found
}

var _ = Describe("Pick", func() {
	// Guards against needless traffic between data centres, and against requests
	// that wait in a local queue although remote targets are idle.
	It("picks a remote target only when the local queue costs more than the distance", func() {
		list := targets("booking", 8)
		p := build(list, nil)
		_, reasons := draw(p, routing.Request{}, 1000, now)
		Expect(reasons).To(Equal(map[routing.Reason]int{routing.ReasonLocal: 1000}))
		full := fleet.Load{InFlight: 4, Queued: 4, Slots: 4, QueuedWork: 800 * time.Millisecond}
		for id, e := range endpoints(p, list) {
			if id == "booking-00" || id == "booking-04" {
				e.Begin()
				e.End(full, true, now)
			}
		}
		_, reasons = draw(p, routing.Request{}, 1000, now)
		Expect(reasons).To(Equal(map[routing.Reason]int{routing.ReasonRemote: 1000}))
		By("ignoring the report after LoadMaxAge")
		_, reasons = draw(p, routing.Request{}, 1000, now.Add(routing.LoadMaxAge))
		Expect(reasons).To(HaveKeyWithValue(routing.ReasonLocal, 1000))
	})

	// Guards against an ingress that considers only reported loads and overloads
	// one target between two reports.
	It("counts its own outstanding attempts exactly once", func() {
		list := targets("booking", 8)
		p := build(list, nil)
		for range 64 {
			c, _ := p.Pick(routing.Request{}, rand.Uint64(), now)
			c.Target.Begin()
		}
		for _, e := range endpoints(p, list) {
			Expect(e.Outstanding()).To(BeNumerically("~", 8, 5))
		}
		e := endpoints(p, list)["booking-00"]
		for e.Outstanding() > 2 {
			e.End(fleet.Load{InFlight: 3, Slots: 4, QueuedWork: 30 * time.Millisecond}, true, now)
		}
		before := p.Explain(now)[0]
		e.Begin()
		e.End(fleet.Load{InFlight: 3, Slots: 4, QueuedWork: 30 * time.Millisecond}, true, now)
		Expect(p.Explain(now)[0]).To(Equal(before))
	})

	It("sends a new target a share that grows for ten seconds", func() {
		list := targets("booking", 8)
		list[0].Started = now // the only other local target is booking-04
		p := build(list, nil)
		shares := []int{}
		for _, age := range []time.Duration{0, 5 * time.Second, 10 * time.Second} {
			ids, _ := draw(p, routing.Request{}, 4000, now.Add(age))
			shares = append(shares, ids["booking-00"])
		}
		Expect(shares[0]).To(BeNumerically("<", 400))
		Expect(shares[1]).To(And(BeNumerically(">", 600), BeNumerically("<", 1400)))
		Expect(shares[2]).To(BeNumerically("~", 2000, 150))
	})

	// Guards against non-idempotent requests at a target that may stall again.
	It("gives a target on probation its share of idempotent requests only", func() {
		list := targets("booking", 10)
		p := build(list, verdicts{"booking-00": {State: health.Probation, Share: 0.05}})
		ids, reasons := draw(p, routing.Request{Idempotent: true}, 100_000, now)
		Expect(ids["booking-00"]).To(BeNumerically("~", 500, 100)) // a share of 5% of one tenth of the requests
		Expect(reasons[routing.ReasonProbation]).To(Equal(ids["booking-00"]))
		ids, _ = draw(p, routing.Request{}, 10_000, now)
		Expect(ids).NotTo(HaveKey(fleet.TargetID("booking-00")))
	})

	It("passes over excluded, draining, ejected and avoided targets", func() {
		list := targets("booking", 6)
		list[1].State = fleet.TargetDraining
		p := build(list, verdicts{"booking-02": {State: health.Ejected}, "booking-03": {State: health.Avoided}})
		ids, _ := draw(p, routing.Request{Exclude: []fleet.TargetID{"booking-00"}}, 500, now)
		Expect(ids).To(Equal(map[fleet.TargetID]int{"booking-04": 500})) // the only local target left
		ids, _ = draw(p, routing.Request{Exclude: []fleet.TargetID{"booking-00", "booking-04"}}, 500, now)
		Expect(ids).To(Equal(map[fleet.TargetID]int{"booking-05": 500}))
	})

	It("falls back to the least bad target and never to a draining one", func() {
		list := targets("booking", 4)
		list[3].State = fleet.TargetDraining
		p := build(list, verdicts{"booking-00": {State: health.Ejected, LostFraction: 5},
			"booking-01": {State: health.Ejected, LostFraction: 2}, "booking-02": {State: health.Avoided, LostFraction: 2}})
		ids, reasons := draw(p, routing.Request{}, 100, now)
		Expect(ids).To(Equal(map[fleet.TargetID]int{"booking-01": 100}))
		Expect(reasons).To(HaveKeyWithValue(routing.ReasonFallback, 100))
		_, ok := p.Pick(routing.Request{Exclude: []fleet.TargetID{"booking-00", "booking-01", "booking-02"}}, 1, now)
		Expect(ok).To(BeFalse())
	})

	// Guards against held targets that count for the floor but get no traffic.
	It("sends held targets less traffic than the others, but some", func() {
		ids, _ := draw(build(targets("booking", 8), verdicts{"booking-00": {Share: 1, HeldByFloor: true}}), routing.Request{}, 4000, now)
		Expect(ids["booking-00"]).To(And(BeNumerically(">", 400), BeNumerically("<", 1600)))
	})

	It("does not allocate", func() {
		p, r := build(targets("booking", 24), nil), rand.New(rand.NewPCG(1, 1))
		req := routing.Request{Idempotent: true, Exclude: []fleet.TargetID{"booking-00"}}
		Expect(testing.AllocsPerRun(1000, func() { p.Pick(req, r.Uint64(), now) })).To(BeZero())
	})

	// Guards against a target that attracts traffic because it fails quickly and
	// therefore looks idle.
	It("avoids a target for FailureCostDuration after a failed attempt", func() {
		list := targets("booking", 8)
		p := build(list, nil)
		e := endpoints(p, list)["booking-00"]
		e.Begin()
		e.End(fleet.Load{}, false, now)
		ids, _ := draw(p, routing.Request{}, 500, now)
		Expect(ids).NotTo(HaveKey(fleet.TargetID("booking-00")))
		ids, _ = draw(p, routing.Request{}, 500, now.Add(routing.FailureCostDuration))
		Expect(ids).To(HaveKey(fleet.TargetID("booking-00")))
	})

	// Differential test: compares the longest queue with that of round robin for
	// the same arrivals, with one target four times slower than the others.
	It("keeps the longest queue shorter than round robin does", func() {
		longest := func(pick func() int, done func(i int)) int {
			queue, worst := make([]int, 8), 0
			for step := range 4000 {
				i := pick()
				queue[i]++
				worst = max(worst, queue[i])
				for j := range queue { // each target finishes one request in 8 steps, the first target one in 32
					if queue[j] > 0 && (j > 0 && step%8 == j || step%32 == 0) {
						queue[j]--
						done(j)
					}
				}
			}
			return worst
		}
		list := targets("booking", 8)
		ids, index := []fleet.TargetID{}, map[fleet.TargetID]int{}
		for i, target := range list {
			ids, index[target.ID] = append(ids, target.ID), i
		}
		roundRobin := &naive.RoundRobin{}
		naiveWorst := longest(func() int {
			id, _ := roundRobin.Pick(ids, func(fleet.TargetID) bool { return true })
			return index[id]
		}, func(int) {})
		p, r := build(list, nil), rand.New(rand.NewPCG(5, 6))
		eps := endpoints(p, list)
		worst := longest(func() int {
			c, _ := p.Pick(routing.Request{}, r.Uint64(), now)
			c.Target.Begin()
			return index[c.Target.Target().ID]
		}, func(i int) { eps[ids[i]].End(fleet.Load{}, true, now.Add(-time.Hour)) })
		Expect(worst * 3).To(BeNumerically("<", naiveWorst))
	})
})

var _ = Describe("Table", func() {
	It("keeps load figures across rebuilds and drops those of removed targets", func() {
		table, list := routing.NewTable(ingress("i"), routing.Config{}), targets("booking", 4)
		e := endpoints(table.Rebuild("booking", list, verdicts{}.of, now), list)["booking-01"]
		e.Begin()
		again := table.Rebuild("booking", list, verdicts{}.of, now)
		Expect(endpoints(again, list)["booking-01"]).To(BeIdenticalTo(e))
		table.Rebuild("booking", list[:1], verdicts{}.of, now)
		fresh := endpoints(table.Rebuild("booking", list, verdicts{}.of, now), list)["booking-01"]
		Expect(fresh.Outstanding()).To(BeZero())
	})

	// Guards against targets that get far more connections than others, and
	// against subsets that change widely when one target is removed.
	It("spreads subsets evenly, lets them overlap and keeps them stable", func() {
		const ingresses, size = 1000, 200
		list, uses, shared := targets("booking", size), map[fleet.TargetID]int{}, 0
		var first map[fleet.TargetID]bool
		for i := range ingresses {
			node := fleet.Node{ID: fleet.NodeID(fmt.Sprintf("ingress-%d", i)), DataCentre: fmt.Sprintf("dc%d", i%4)}
			subset := subsetOf(routing.NewTable(node, routing.Config{}), list)
			Expect(subset).To(HaveLen(routing.SubsetSize))
			for id := range subset {
				uses[id]++
				if first[id] {
					shared++
				}
			}
			if first == nil {
				first = subset
			}
		}
		mean := float64(ingresses*routing.SubsetSize) / size
		for _, n := range uses {
			Expect(float64(n)).To(And(BeNumerically(">", mean*0.65), BeNumerically("<", mean*1.35)))
		}
		Expect(uses).To(HaveLen(size))
		Expect(shared).To(BeNumerically(">", ingresses)) // two ingresses share more than one target on average

		table := routing.NewTable(fleet.Node{ID: "ingress-0", DataCentre: "dc0"}, routing.Config{})
		before, kept := subsetOf(table, list), 0
		for id := range subsetOf(table, list[1:]) {
			if before[id] {
				kept++
			}
		}
		Expect(kept).To(BeNumerically(">=", routing.SubsetSize-1))
	})

	// Guards against connections from every ingress to every node, which arise if
	// an ingress prefers different nodes for each service.
	It("uses the same nodes for different services", func() {
		table, nodes := routing.NewTable(ingress("i"), routing.Config{}), map[fleet.NodeID]bool{}
		for s := range 8 { // eight targets beside each of 200 nodes
			list := targets(fmt.Sprintf("s%d", s), 200)
			byID := map[fleet.TargetID]fleet.NodeID{}
			for _, target := range list {
				byID[target.ID] = target.Node
			}
			for id := range subsetOf(table, list) {
				nodes[byID[id]] = true
			}
		}
		Expect(len(nodes)).To(Equal(routing.SubsetSize))
	})

	It("fills the subset with usable targets when many are ejected", func() {
		list, v := targets("booking", 60), verdicts{}
		for i := range 30 {
			v[list[i].ID] = health.Verdict{State: health.Ejected, Reason: "stalled"}
		}
		ids, _ := draw(build(list, v), routing.Request{}, 20_000, now)
		for id := range ids {
			Expect(v).NotTo(HaveKey(id))
		}
	})

	It("explains every target with its reason", func() {
		list := targets("booking", 9)
		list[4].State, list[8].Started = fleet.TargetDraining, now.Add(-2*time.Second)
		p := build(list, verdicts{
			"booking-01": {State: health.Ejected, LostFraction: 1.5, Reason: "reveal: oldest work 1.2s against 0.1s at peers"},
			"booking-02": {State: health.Avoided, Reason: "path: 4 failures from this node, answers to 3 others"},
			"booking-03": {State: health.Probation, Share: 0.05, Reason: "share 5% after 2s"},
			"booking-05": {Share: 1, HeldByFloor: true, Reason: "floor 6: errors 40% against 1% at peers"}})
		var out bytes.Buffer
		for _, l := range p.Explain(now) {
			fmt.Fprintln(&out, l)
		}
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "explain", out.Bytes())
	})
})

func subsetOf(table *routing.Table, list []fleet.Target) map[fleet.TargetID]bool {
	subset := map[fleet.TargetID]bool{}
	for _, l := range table.Rebuild(list[0].Service, list, verdicts{}.of, now).Explain(now) {
		if l.Reason == routing.ReasonLocal || l.Reason == routing.ReasonRemote {
			subset[l.Target] = true
		}
	}
	return subset
}

// BenchmarkPick measures Pick at the planned size of the fleet: 1,200 services
// and 28,000 targets known to one ingress.
func BenchmarkPick(b *testing.B) {
	const services, known = 1200, 28_000
	table, pickers := routing.NewTable(ingress("i"), routing.Config{}), make([]*routing.Picker, services)
	for s := range pickers {
		size := known / services
		if s < known%services {
			size++
		}
		list := targets(fmt.Sprintf("s%d", s), size)
		pickers[s] = table.Rebuild(list[0].Service, list, verdicts{list[0].ID: {State: health.Probation, Share: 0.05}}.of, now)
	}
	req := routing.Request{Idempotent: true, Exclude: []fleet.TargetID{"s0-01"}}
	b.Run("serial", func(b *testing.B) {
		b.ReportAllocs()
		r := rand.New(rand.NewPCG(1, 1))
		for b.Loop() {
			x := r.Uint64()
			pickers[x%services].Pick(req, x, now)
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			r := rand.New(rand.NewPCG(rand.Uint64(), 1))
			for pb.Next() {
				x := r.Uint64()
				c, _ := pickers[x%services].Pick(req, x, now)
				c.Target.Begin()
				c.Target.End(fleet.Load{InFlight: 2, QueuedWork: time.Millisecond}, true, now)
			}
		})
	})
}
