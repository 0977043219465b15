package admission_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"siskinvale.dev/siskinvale/internal/admission"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/naive"
)

func TestAdmission(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500"} { // fixed, so that every run checks the same schedules
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

var epoch = time.Unix(1_800_000_000, 0)

const ms = time.Millisecond

func item(id uint64, tenant string, p fleet.Priority, l fleet.Length) admission.Item {
	expected := 10 * ms
	if l == fleet.Long {
		expected = time.Second
	}
	return admission.Item{ID: id, Class: l.String(), Tenant: tenant, Priority: p, Length: l, Expected: expected}
}

// started returns the IDs of the items that actions start.
func started(actions []admission.Action) (ids []uint64) {
	for _, a := range actions {
		if s, ok := a.(admission.Start); ok {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

var _ = Describe("Queue", func() {
	// Guards against unintended changes of any decision.
	It("makes the decisions of the golden trace", func() {
		q, now := admission.New(admission.Config{}), epoch
		var out bytes.Buffer
		step := func(after time.Duration, ev admission.Event) {
			now = now.Add(after)
			actions := q.Step(now, ev)
			fmt.Fprintf(&out, "%6s %T%+v\n", now.Sub(epoch), ev, ev)
			for _, a := range actions {
				fmt.Fprintf(&out, "         -> %T%+v\n", a, a)
			}
		}
		arrive := func(id uint64, p fleet.Priority, l fleet.Length, deadline time.Duration) {
			i := item(id, "a", p, l)
			i.Deadline = epoch.Add(deadline)
			step(0, admission.Arrive{Item: i})
		}
		arrive(1, fleet.Background, fleet.Long, time.Minute)
		arrive(2, fleet.Background, fleet.Long, time.Minute)
		arrive(3, fleet.Background, fleet.Long, time.Minute) // waits: long work gets at most two slots
		arrive(4, fleet.Interactive, fleet.Short, time.Second)
		arrive(5, fleet.Interactive, fleet.Short, time.Second)
		arrive(6, fleet.Background, fleet.Short, time.Second)
		arrive(7, fleet.Interactive, fleet.Short, time.Second)
		arrive(8, fleet.Interactive, fleet.Short, 12*ms) // refused: the expected wait leaves too little time
		step(10*ms, admission.Finish{ID: 4, RunTime: 10 * ms})
		step(0, admission.Finish{ID: 5, RunTime: 10 * ms})
		step(0, admission.Cancel{ID: 3})
		step(2*time.Second, admission.Tick{})
		arrive(9, fleet.Interactive, fleet.Short, 5*time.Second)
		arrive(10, fleet.Interactive, fleet.Short, 2030*ms)
		step(25*ms, admission.Finish{ID: 7, RunTime: 2 * time.Second}) // 10 expires in the queue
		step(0, admission.Drain{})
		arrive(11, fleet.Interactive, fleet.Short, time.Minute)
		step(0, admission.Finish{ID: 9, RunTime: 10 * ms})
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "queue", out.Bytes())
	})

	// Guards against requests that start at a target long after it has begun to
	// leave, because they waited for a slot at that time.
	It("refuses what is queued when it drains, in order of arrival", func() {
		q := admission.New(admission.Config{Slots: 1})
		nested, overdue := item(4, "b", fleet.Interactive, fleet.Short), item(5, "b", fleet.Interactive, fleet.Short)
		nested.Nested, overdue.Objective = true, epoch.Add(ms)
		Expect(started(q.Step(epoch, admission.Arrive{Item: item(1, "a", fleet.Interactive, fleet.Short)}))).To(HaveLen(1))
		for _, i := range []admission.Item{item(2, "a", fleet.Interactive, fleet.Short), item(3, "a", fleet.Background, fleet.Long), nested, overdue} {
			Expect(q.Step(epoch, admission.Arrive{Item: i})).To(BeEmpty())
		}
		var refused []admission.Action
		for id := uint64(2); id <= 5; id++ {
			refused = append(refused, admission.Refuse{ID: id, Reason: admission.ReasonDraining})
		}
		Expect(q.Step(epoch, admission.Drain{})).To(Equal(refused))
		Expect(q.Load(epoch)).To(And(HaveField("InFlight", 1), HaveField("Queued", 0)))
		Expect(q.Step(epoch, admission.Finish{ID: 1, RunTime: ms})).To(BeEmpty())
	})

	// Guards against requests that lose their place when they were withdrawn
	// from the queue of another target.
	It("starts an item that has waited elsewhere before those that wait for less time", func() {
		for _, discipline := range []admission.Discipline{admission.Fair, admission.FIFO} {
			q := admission.New(admission.Config{Slots: 1, Discipline: discipline})
			now := epoch
			q.Step(now, admission.Arrive{Item: item(1, "a", fleet.Interactive, fleet.Short)})
			for id := uint64(2); id <= 3; id++ {
				now = now.Add(100 * ms)
				q.Step(now, admission.Arrive{Item: item(id, "a", fleet.Interactive, fleet.Short)})
			}
			moved := item(4, "a", fleet.Interactive, fleet.Short)
			moved.Waited = 50 * ms
			q.Step(now, admission.Arrive{Item: moved})
			var order []uint64
			for _, id := range []uint64{1, 2, 4, 3} {
				order = append(order, started(q.Step(now, admission.Finish{ID: id, RunTime: ms}))...)
			}
			Expect(order).To(Equal([]uint64{2, 4, 3}))
		}
	})

	// Checks with random schedules that the running items never exceed the slots,
	// that long work never holds all slots, that no item is lost or decided twice,
	// and that every queued item is eventually started or refused.
	It("keeps its invariants on random schedules", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			slots := rapid.IntRange(1, 6).Draw(t, "slots")
			q := admission.New(admission.Config{Slots: slots, MaxLong: rapid.IntRange(0, 8).Draw(t, "maxLong"), MaxQueue: 20,
				NewestFirst: rapid.Bool().Draw(t, "newest"), Sharing: admission.Sharing(rapid.IntRange(0, 1).Draw(t, "sharing"))})
			now, state, long := epoch, map[uint64]string{}, map[uint64]bool{}
			apply := func(ev admission.Event) {
				for _, a := range q.Step(now, ev) {
					switch a := a.(type) {
					case admission.Start:
						if state[a.ID] != "waiting" {
							t.Fatalf("%d started while %q", a.ID, state[a.ID])
						}
						state[a.ID] = "running"
					case admission.Refuse:
						if state[a.ID] != "waiting" {
							t.Fatalf("%d refused while %q", a.ID, state[a.ID])
						}
						delete(state, a.ID)
					}
				}
				running, runningLong, waitingShort := 0, 0, 0
				for id, s := range state {
					if s == "running" {
						running++
						if long[id] {
							runningLong++
						}
					} else if !long[id] {
						waitingShort++
					}
				}
				if running > slots || slots > 1 && runningLong >= slots {
					t.Fatalf("%d running, %d of them long, on %d slots", running, runningLong, slots)
				}
				if waitingShort > 0 && running < slots {
					t.Fatalf("short work waits beside %d free slots", slots-running)
				}
				if l := q.Load(now); l.InFlight != running || l.Queued != len(state)-running {
					t.Fatalf("load %+v, want %d running of %d", l, running, len(state))
				}
			}
			pick := func(inState string) (uint64, bool) {
				for id := uint64(1); id < 1000; id++ {
					if state[id] == inState && rapid.Bool().Draw(t, "this") {
						return id, true
					}
				}
				return 0, false
			}
			for id := uint64(1); id <= uint64(rapid.IntRange(1, 60).Draw(t, "events")); id++ {
				now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * ms)
				switch rapid.IntRange(0, 5).Draw(t, "kind") {
				case 0, 1, 2:
					i := item(id, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "tenant"), fleet.Priority(rapid.IntRange(0, 1).Draw(t, "priority")), fleet.Length(rapid.IntRange(0, 1).Draw(t, "length")))
					if d := rapid.IntRange(0, 500).Draw(t, "deadline"); d > 0 {
						i.Deadline = now.Add(time.Duration(d) * ms)
					}
					state[id], long[id] = "waiting", i.Length == fleet.Long
					apply(admission.Arrive{Item: i})
				case 3:
					if r, ok := pick("running"); ok {
						delete(state, r)
						apply(admission.Finish{ID: r, RunTime: 10 * ms})
					}
				case 4:
					if w, ok := pick("waiting"); ok {
						delete(state, w)
						apply(admission.Cancel{ID: w})
					}
				case 5:
					apply(admission.Tick{})
				}
			}
			if rapid.Bool().Draw(t, "drain") {
				apply(admission.Drain{})
				for id, s := range state {
					if s == "waiting" {
						t.Fatalf("%d waits for a slot of a draining target", id)
					}
				}
			}
			for len(state) > 0 { // ends only when every item starts and finishes
				before := len(state)
				for id, s := range state {
					if s == "running" {
						delete(state, id)
						apply(admission.Finish{ID: id, RunTime: 10 * ms})
						break
					}
				}
				if len(state) == before {
					t.Fatalf("%d items wait for ever", before)
				}
			}
		})
	})

	// Guards against starvation of background work and of long work under
	// continuous interactive short work.
	It("starves neither background nor long work", func() {
		q, id := admission.New(admission.Config{}), uint64(100)
		waiting, running := map[uint64]bool{}, []uint64{}
		arrive := func(i admission.Item) {
			waiting[i.ID] = true
			for _, s := range started(q.Step(epoch, admission.Arrive{Item: i})) {
				running = append(running, s)
				delete(waiting, s)
			}
		}
		for i := range uint64(6) {
			arrive(item(10+i, "a", fleet.Background, fleet.Short))
			arrive(item(20+i, "a", fleet.Background, fleet.Long))
		}
		Expect(len(waiting)).To(Equal(8))
		for range 400 {
			for range 4 {
				id++
				q.Step(epoch, admission.Arrive{Item: item(id, "b", fleet.Interactive, fleet.Short)})
			}
			next := started(q.Step(epoch, admission.Finish{ID: running[0], RunTime: 10 * ms}))
			running = append(running[1:], next...)
			for _, s := range next {
				delete(waiting, s)
			}
		}
		Expect(waiting).To(BeEmpty())
	})

	// Guards against one tenant whose queued requests keep all slots from the
	// others.
	DescribeTable("shares the slots between tenants", func(cfg admission.Config, weight int, want float64) {
		q, id, got := admission.New(cfg), uint64(0), map[string]float64{}
		tenants := map[uint64]string{}
		arrive := func(tenant string, weight int) []uint64 {
			id++
			tenants[id] = tenant
			i := item(id, tenant, fleet.Interactive, fleet.Short)
			i.Weight = weight
			return started(q.Step(epoch, admission.Arrive{Item: i}))
		}
		var running []uint64
		for range 500 { // "heavy" queues ten times the requests of "light", and queues them first
			running = append(running, arrive("heavy", 1)...)
		}
		for range 50 {
			running = append(running, arrive("light", weight)...)
		}
		for range 60 {
			next := started(q.Step(epoch, admission.Finish{ID: running[0], RunTime: 10 * ms}))
			running = append(running[1:], next...)
			for _, s := range next {
				got[tenants[s]]++
			}
		}
		Expect(got["light"] / 60).To(BeNumerically("~", want, 0.05))
	},
		Entry("equally", admission.Config{}, 1, 0.5),
		Entry("by weight", admission.Config{}, 3, 0.75),
		Entry("by bounds", admission.Config{Sharing: admission.Bounded, Bounds: map[string]admission.Bound{"heavy": {Lower: 0.5, Upper: 1}, "light": {Lower: 1, Upper: 4}}}, 1, 0.75),
		Entry("not at all with FIFO", admission.Config{Discipline: admission.FIFO}, 1, 0.0))

	It("divides capacity between lower and upper bounds", func() {
		b := func(l, u float64) admission.Bound { return admission.Bound{Lower: l, Upper: u} }
		Expect(admission.Shares(4, []admission.Bound{b(1, 4), b(0.5, 1), b(0.5, 4)})).To(HaveExactElements(BeNumerically("~", 1.75), BeNumerically("~", 1), BeNumerically("~", 1.25)))
		Expect(admission.Shares(4, []admission.Bound{b(6, 6), b(2, 4)})).To(HaveExactElements(BeNumerically("~", 3), BeNumerically("~", 1)))
		Expect(admission.Shares(4, []admission.Bound{b(1, 1), b(1, 2)})).To(HaveExactElements(BeNumerically("~", 1), BeNumerically("~", 2)))
	})

	// Differential test: when no item is refused, the FIFO discipline starts the
	// same items in the same order as the naive queue.
	It("starts the same items as the naive queue when nothing is shed", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			q, n := admission.New(admission.Config{Discipline: admission.FIFO}), naive.NewFIFO(4)
			var running []uint64
			for id := range uint64(40) {
				var ev admission.Event = admission.Arrive{Item: item(id, "a", fleet.Interactive, fleet.Short)}
				if len(running) > 0 && rapid.Bool().Draw(t, "finish") {
					ev = admission.Finish{ID: running[0], RunTime: 10 * ms}
					running = running[1:]
				}
				want, got := started(n.Step(epoch, ev)), started(q.Step(epoch, ev))
				if fmt.Sprint(want) != fmt.Sprint(got) {
					t.Fatalf("started %v, naive queue %v", got, want)
				}
				running = append(running, got...)
			}
		})
	})
})

var _ = Describe("Gate", func() {
	refusal := func(err error) admission.Reason {
		var refused *admission.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		return refused.Reason
	}

	// Guards against races between start, cancellation, release and drain.
	It("never exceeds the slots with many concurrent callers", func() {
		g, running, most := admission.NewGate(admission.Config{}, time.Now), atomic.Int64{}, atomic.Int64{}
		var wg sync.WaitGroup
		for i := range 400 {
			wg.Go(func() {
				ctx, cancel := context.WithCancel(context.Background())
				if i%3 == 0 {
					go cancel()
				}
				defer cancel()
				release, err := g.Acquire(ctx, item(0, fmt.Sprint(i%5), fleet.Priority(i%2), fleet.Length(i/2%2)))
				if err != nil {
					return
				}
				n := running.Add(1)
				for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
				}
				running.Add(-1)
				release()
				release() // a second call has no effect
			})
		}
		wg.Wait()
		Expect(most.Load()).To(BeNumerically("<=", 4))
		Expect(g.Load()).To(Equal(fleet.Load{Slots: 4}))
		g.Drain()
		Eventually(g.Idle()).Should(BeClosed())
	})

	It("refuses at the deadline, when the caller goes away and while it drains", func() {
		g := admission.NewGate(admission.Config{Slots: 1}, time.Now)
		release, err := g.Acquire(context.Background(), item(0, "a", fleet.Interactive, fleet.Short))
		Expect(err).NotTo(HaveOccurred())
		late := item(0, "a", fleet.Interactive, fleet.Short)
		late.Expected, late.Deadline = ms/100, time.Now().Add(40*ms)
		_, err = g.Acquire(context.Background(), late)
		Expect(refusal(err)).To(BeElementOf(admission.ReasonExpired, admission.ReasonDeadline))
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(ms, cancel)
		_, err = g.Acquire(ctx, item(0, "a", fleet.Interactive, fleet.Short))
		Expect(refusal(err)).To(Equal(admission.ReasonCancelled))
		Expect(err).To(MatchError(context.Canceled))

		queued := make(chan error, 1)
		go func() {
			again, err := g.Acquire(context.Background(), item(0, "a", fleet.Interactive, fleet.Short))
			if err == nil {
				again()
			}
			queued <- err
		}()
		Eventually(func() int { return g.Load().Queued }).Should(Equal(1))
		g.Drain()
		_, err = g.Acquire(context.Background(), item(0, "a", fleet.Interactive, fleet.Short))
		Expect(refusal(err)).To(Equal(admission.ReasonDraining))
		Expect(g.Idle()).NotTo(BeClosed())
		var withdrawn error
		Eventually(queued, "1s").Should(Receive(&withdrawn), "it need not wait for the slot to become free")
		Expect(refusal(withdrawn)).To(Equal(admission.ReasonDraining))
		Expect(g.Idle()).NotTo(BeClosed())
		release()
		Eventually(g.Idle()).Should(BeClosed())
	})
})

// Guards against virtual times that are kept while no items are queued: they
// would delay tenants that used idle slots, and take memory without bound.
var _ = Describe("Fair queueing", func() {
	It("does not delay a tenant for work that it ran while no other tenant waited", func() {
		q, id := admission.New(admission.Config{Slots: 1}), uint64(0)
		arrive := func(tenant string) []uint64 {
			id++
			return started(q.Step(epoch, admission.Arrive{Item: item(id, tenant, fleet.Interactive, fleet.Short)}))
		}
		for range 100 {
			Expect(arrive("early")).To(HaveLen(1))
			q.Step(epoch, admission.Finish{ID: id, RunTime: 10 * ms})
		}
		arrive("other")
		arrive("early")
		arrive("late")
		Expect(started(q.Step(epoch, admission.Finish{ID: 101, RunTime: 10 * ms}))).To(Equal([]uint64{102}))
	})
})
