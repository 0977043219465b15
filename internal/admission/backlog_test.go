package admission_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/admission"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// outage simulates the backlog that an outage leaves at one target: for two
// seconds, the offered work is twice the capacity of the target, and afterwards
// nine tenths of it.
type outage struct {
	// objective is the time from arrival within which an answer counts as on
	// time. stated says whether the items carry it as their Objective.
	objective time.Duration
	stated    bool
}

type outageResult struct{ offered, onTime, answered, refused int }

// run simulates eight seconds of arrivals and counts the requests that arrive
// after the first two.
func (o outage) run(seed uint64) (r outageResult) {
	const slots, mean, deadline = 4, 300 * ms, 4 * time.Second
	q := admission.New(admission.Config{Slots: slots})
	random := rand.New(rand.NewPCG(seed, 3))
	type arrival struct {
		at  time.Duration
		run time.Duration
	}
	type end struct {
		at time.Duration
		id uint64
	}
	var arrivals []arrival
	for at := time.Duration(0); at < 8*time.Second; {
		load := 0.9
		if at < 2*time.Second {
			load = 2
		}
		at += time.Duration(random.ExpFloat64() * float64(mean) / slots / load)
		arrivals = append(arrivals, arrival{at, time.Duration((0.5 + random.Float64()) * float64(mean))})
	}
	counted := func(id uint64) bool { return arrivals[id].at >= 2*time.Second }
	var ends []end
	apply := func(now time.Duration, ev admission.Event) {
		for _, a := range q.Step(epoch.Add(now), ev) {
			switch a := a.(type) {
			case admission.Start:
				ends = append(ends, end{now + arrivals[a.ID].run, a.ID})
			case admission.Refuse:
				if counted(a.ID) {
					r.refused++
				}
			}
		}
	}
	for next := 0; next < len(arrivals) || len(ends) > 0; {
		slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
		if len(ends) > 0 && (next == len(arrivals) || ends[0].at <= arrivals[next].at) {
			e := ends[0]
			ends = ends[1:]
			if took := e.at - arrivals[e.id].at; counted(e.id) && took <= deadline {
				r.answered++
				if took <= o.objective {
					r.onTime++
				}
			}
			apply(e.at, admission.Finish{ID: e.id, RunTime: arrivals[e.id].run})
			continue
		}
		a := arrivals[next]
		item := admission.Item{ID: uint64(next), Class: "spend", Tenant: "a", Priority: fleet.Interactive,
			Expected: mean, Deadline: epoch.Add(a.at + deadline)}
		if o.stated {
			item.Objective = epoch.Add(a.at + o.objective)
		}
		if counted(uint64(next)) {
			r.offered++
		}
		next++
		apply(a.at, admission.Arrive{Item: item})
	}
	return r
}

var _ = Describe("Overdue work", func() {
	// Guards against a backlog after which all later items miss their latency
	// objective. The bound is the users' requirement for days of high load: even
	// in the worst seconds, half of the value that on-time answers to all
	// requests would have.
	It("lets new work meet its latency objective after a backlog", func() {
		for seed := range uint64(10) {
			with := outage{objective: time.Second, stated: true}.run(seed)
			without := outage{objective: time.Second}.run(seed)
			Expect(float64(with.onTime)).To(BeNumerically(">=", 0.5*float64(with.offered)), "seed %d", seed)
			Expect(with.onTime).To(BeNumerically(">", without.onTime), "seed %d", seed)
		}
	})

	// Guards against nested calls that wait behind new work during a surge, while
	// the request that makes them holds a slot at another target.
	It("starts nested calls before all other work", func() {
		q := admission.New(admission.Config{Slots: 1})
		arrive := func(id uint64, nested bool) []admission.Action {
			return q.Step(epoch, admission.Arrive{Item: admission.Item{ID: id, Class: "c", Tenant: "a", Nested: nested,
				Priority: fleet.Interactive, Expected: 100 * ms, Objective: epoch.Add(200 * ms), Deadline: epoch.Add(600 * ms)}})
		}
		Expect(started(arrive(1, false))).To(Equal([]uint64{1}))
		Expect(arrive(2, false)).To(BeEmpty())
		Expect(arrive(3, true)).To(BeEmpty())
		Expect(arrive(4, true)).To(BeEmpty())
		var order []uint64
		for _, id := range []uint64{1, 3, 4} {
			order = append(order, started(q.Step(epoch, admission.Finish{ID: id, RunTime: 100 * ms}))...)
		}
		Expect(order).To(Equal([]uint64{3, 4, 2}))
	})

	// Guards against overdue work that stays queued until its deadline or is
	// never decided.
	It("starts overdue work when nothing else waits and refuses it after half of its time", func() {
		q := admission.New(admission.Config{Slots: 1})
		arrive := func(id uint64, at, objective time.Duration) []admission.Action {
			return q.Step(epoch.Add(at), admission.Arrive{Item: admission.Item{ID: id, Class: "c", Tenant: "a",
				Expected: 100 * ms, Objective: epoch.Add(at + objective), Deadline: epoch.Add(at + 4*time.Second)}})
		}
		Expect(started(arrive(1, 0, time.Second))).To(Equal([]uint64{1}))
		Expect(arrive(2, 0, 120*ms)).To(BeEmpty()) // overdue at once
		Expect(arrive(3, 0, time.Second)).To(BeEmpty())
		Expect(arrive(4, 10*ms, 120*ms)).To(BeEmpty())
		Expect(started(q.Step(epoch.Add(100*ms), admission.Finish{ID: 1, RunTime: 100 * ms}))).To(Equal([]uint64{3}))
		Expect(started(q.Step(epoch.Add(200*ms), admission.Finish{ID: 3, RunTime: 100 * ms}))).To(Equal([]uint64{2}))
		Expect(q.Step(epoch.Add(2100*ms), admission.Tick{})).To(Equal([]admission.Action{
			admission.Refuse{ID: 4, Reason: admission.ReasonOverdue},
		}))
		Expect(q.Step(epoch.Add(2200*ms), admission.Finish{ID: 2, RunTime: 100 * ms})).To(BeEmpty())
	})
})
