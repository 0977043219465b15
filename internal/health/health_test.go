package health_test

import (
	"bytes"
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
)

func TestHealth(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500"} { // the same schedules on every run
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "health")
}

// behaviour is what a target's sidecar reports while it has work.
type behaviour uint8

const (
	well behaviour = iota
	stalled
	slow
	failing    // half of the answers are errors
	quiteSick  // a tenth of them
	idle       // no work, no evidence
	behaviours = idle + 1
)

// world feeds a Monitor with samples of a few targets, one tick at a time.
type world struct {
	m       *health.Monitor
	now     time.Time
	floor   int
	targets []fleet.Target
	acts    []behaviour
	stuck   []time.Duration
	out     *bytes.Buffer
	ticks   int
}

func newWorld(n, floor int) *world {
	w := &world{m: health.New(health.Config{Self: "self"}), now: epoch, floor: floor, acts: make([]behaviour, n), stuck: make([]time.Duration, n), out: &bytes.Buffer{}}
	for i := range n {
		w.targets = append(w.targets, fleet.Target{ID: fleet.TargetID(fmt.Sprintf("t%d", i)), Service: "booking", Node: fleet.NodeID(fmt.Sprintf("n%d", i)), Slots: 4, Started: epoch.Add(-time.Hour)})
		w.add(i)
	}
	return w
}

func (w *world) log(actions []health.Action) []health.Action {
	for _, a := range actions {
		e, fields := health.Describe(a)
		fmt.Fprintf(w.out, "%6s %d %s %v\n", w.now.Sub(epoch), e.Number, e.Name, fields)
	}
	return actions
}

func (w *world) add(i int) []health.Action {
	return w.log(w.m.Step(w.now, health.TargetAdded{Target: w.targets[i], Floor: w.floor, Expected: len(w.targets)}))
}

func (w *world) drain(i int) []health.Action {
	w.targets[i].State = fleet.TargetDraining
	return w.add(i)
}

// tick lets 100 ms pass. Targets that receive no traffic report no work.
func (w *world) tick() (actions []health.Action) {
	w.now = w.now.Add(tickEvery)
	w.ticks++
	for i, t := range w.targets {
		v := w.m.Verdict(t.ID)
		w.stuck[i] += tickEvery
		s := health.Sample{Target: t.ID, Source: t.Node, Class: "lookup", Completed: 2, OldestInFlight: 30 * time.Millisecond, Typical: 30 * time.Millisecond}
		behaves := w.acts[i]
		if v.State == health.Ejected || v.State == health.Avoided {
			behaves = idle
		}
		switch behaves {
		case stalled:
			s.Completed, s.OldestInFlight = 0, w.stuck[i]
		case slow:
			s.Completed, s.Typical, s.OldestInFlight = 1, 200*time.Millisecond, 200*time.Millisecond
		case failing:
			s.Completed, s.Errors = 1, 1
		case quiteSick:
			s.Errors = uint32(w.ticks % 5 / 4)
		}
		if behaves != stalled {
			w.stuck[i] = 0
		}
		if behaves != idle && t.State != fleet.TargetGone {
			w.m.Step(w.now, health.Observed{Sample: s})
		}
	}
	return w.log(w.m.Step(w.now, health.Tick{}))
}

func (w *world) run(d time.Duration) (actions []health.Action) {
	for range d / tickEvery {
		actions = append(actions, w.tick()...)
	}
	return actions
}

// path reports attempts of another source.
func (w *world) path(source fleet.NodeID, target int, answers, failures uint32) {
	w.m.Step(w.now, health.Observed{Sample: health.Sample{Target: w.targets[target].ID, Source: source, Completed: answers, PathFailures: failures}})
}

// serving returns how many serving targets receive all kinds of traffic, and
// how many serving targets there are.
func (w *world) serving() (receiving, all int) {
	for _, t := range w.targets {
		if t.State == fleet.TargetServing {
			all++
			if w.m.Verdict(t.ID).State == health.Healthy {
				receiving++
			}
		}
	}
	return receiving, all
}

func (w *world) states() (s []health.State) {
	for _, t := range w.targets {
		s = append(s, w.m.Verdict(t.ID).State)
	}
	return s
}

var _ = Describe("Detection", func() {
	// Guards against the detectors losing either bound: both are held by
	// BenchmarkDetection over more seeds.
	It("finds stalls in time and ejects no healthy target", func() {
		for _, targets := range []int{10, 20} {
			d := detect(faults[0], targets, 10, targets == 20, func(*scenario) {})
			Expect(d.p99).To(BeNumerically("<=", detectionBound))
			Expect(d.undetected + d.false).To(BeZero())
		}
		n, reasons := falseEjections(80, func(*scenario) {})
		Expect(n).To(BeZero(), "%v", reasons)
		base, _ := falseEjections(20, func(s *scenario) { s.naive = true })
		Expect(base).To(BeNumerically(">", 0)) // the same runs are not trivially quiet
	})

	DescribeTable("ejects a sick target among healthy ones", func(b behaviour, within time.Duration) {
		w := newWorld(8, 4)
		w.run(5 * time.Second)
		w.acts[3] = b
		actions := w.run(within)
		Expect(actions).NotTo(BeEmpty())
		Expect(actions[0]).To(HaveField("Target", fleet.TargetID("t3")))
		Expect(actions[0]).To(BeAssignableToTypeOf(health.Eject{}))
		for i, v := range w.states() {
			Expect(v == health.Healthy).To(Equal(i != 3))
		}
	},
		Entry("stalled", stalled, 1500*time.Millisecond),
		Entry("slow", slow, 3*time.Second),
		Entry("failing", failing, 2*time.Second),
		Entry("with a tenth of errors", quiteSick, 7*time.Second))

	// Guards against judging a target against itself or against its past.
	DescribeTable("ejects nobody when all are alike", func(b behaviour) {
		w := newWorld(8, 2)
		w.run(5 * time.Second)
		for i := range w.acts {
			w.acts[i] = b
		}
		Expect(w.run(20 * time.Second)).To(BeEmpty())
	}, Entry("all slow", slow), Entry("all stalled", stalled), Entry("all failing", failing), Entry("all idle", idle))

	// Guards against a health endpoint that misleads.
	It("lets the target's own endpoint add to evidence and never decide", func() {
		first := func(selfReport bool, sick behaviour) time.Duration {
			w := newWorld(8, 4)
			w.run(5 * time.Second)
			w.acts[0] = sick
			for range 100 {
				if selfReport {
					w.m.Step(w.now, health.Observed{Sample: health.Sample{Target: "t0", Source: "n0", SelfReported: true, Errors: 9, OldestInFlight: time.Hour}})
				}
				if len(w.tick()) > 0 {
					return w.now.Sub(epoch)
				}
			}
			return 0
		}
		Expect(first(true, well)).To(BeZero())
		Expect(first(true, quiteSick)).To(And(BeNumerically(">", 0), BeNumerically("<", first(false, quiteSick))))
	})
})

var _ = Describe("Paths", func() {
	// Guards against a one-way cut at one ingress that ejects a target for all.
	It("avoids a target that only this node cannot reach, and tries again", func() {
		w := newWorld(6, 3)
		for range 10 {
			w.path("self", 2, 0, 1)
			w.path("other", 2, 3, 0)
			w.tick()
		}
		Expect(w.states()[2]).To(Equal(health.Avoided))
		Expect(w.out.String()).To(And(ContainSubstring("path-avoided"), Not(ContainSubstring("target-ejected"))))
		w.run(5 * time.Second)
		Expect(w.states()[2]).To(Equal(health.Probation)) // answers to others do not clear the path
		for range 30 {
			w.path("self", 2, 1, 0)
			w.tick()
		}
		Expect(w.states()[2]).To(Equal(health.Healthy))
	})

	It("ignores the path failures of one other node", func() {
		w := newWorld(6, 3)
		for range 30 {
			w.path("other", 2, 0, 3)
			w.tick()
		}
		Expect(w.out.String()).To(BeEmpty())
	})

	It("ejects a target that nobody reaches", func() {
		w := newWorld(6, 3)
		w.acts[2] = idle
		for range 10 {
			w.path("a", 2, 0, 1)
			w.path("b", 2, 0, 1)
			w.tick()
		}
		Expect(w.states()[2]).To(Equal(health.Ejected))
	})

	// Guards against a peer that reports everything as sick.
	It("distrusts a source that alone reports most targets as failing", func() {
		w := newWorld(6, 1)
		for i := range w.targets {
			w.acts[i] = idle
		}
		for range 30 {
			for i := range w.targets {
				w.path("liar", i, 0, 5)
				w.path("witness", i, uint32(i%2), uint32(1-i%2)) // its own paths to half of them are bad
			}
			w.tick()
		}
		Expect(w.out.String()).To(ContainSubstring("source-distrusted"))
		Expect(w.out.String()).NotTo(ContainSubstring("target-ejected"))
	})
})

var _ = Describe("Floor", func() {
	// Random schedules of sick, draining, removed and returning targets, of
	// lying sources and of disagreeing peers.
	It("holds against every combination", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			n := rapid.IntRange(1, 12).Draw(t, "targets")
			w := newWorld(n, rapid.IntRange(0, n+1).Draw(t, "floor"))
			check := func() {
				receiving, all := w.serving()
				floor := w.floor
				if floor == 0 {
					floor = (n + 1) / 2
				}
				if receiving < min(floor, all) {
					t.Fatalf("%d of %d serving targets receive traffic, floor %d\n%s", receiving, all, floor, w.out)
				}
			}
			for range rapid.IntRange(1, 25).Draw(t, "steps") {
				i := rapid.IntRange(0, n-1).Draw(t, "target")
				switch rapid.IntRange(0, 5).Draw(t, "kind") {
				case 0, 1:
					w.acts[i] = behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(t, "behaviour"))
				case 2:
					w.targets[i].State = fleet.TargetState(rapid.IntRange(0, 2).Draw(t, "state"))
					w.add(i)
				case 3:
					w.log(w.m.Step(w.now, health.TargetRemoved{ID: w.targets[i].ID}))
					check0 := w.targets[i].State
					w.targets[i].State = fleet.TargetGone
					check()
					w.targets[i].State = check0
					w.add(i)
				case 4: // this node, or two others, reach nobody
					for j := range w.targets {
						for range 3 {
							w.path("self", j, 0, 2)
							w.path("liar", j, 0, 2)
							w.path("friend", j, uint32(j%2), 2)
						}
					}
				case 5:
					for j := range w.acts {
						w.acts[j] = behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(t, "all"))
					}
				}
				for range rapid.IntRange(1, 30).Draw(t, "ticks") {
					w.tick()
					check()
				}
			}
		})
	})

	// Golden trace: more sick targets than the floor allows to eject, worst
	// first, then two healthy ones drain, then the sick ones recover.
	It("ejects the worst, keeps the least unhealthy and says so", func() {
		w := newWorld(10, 6)
		w.run(5 * time.Second)
		for i := range 5 {
			w.acts[i] = failing
		}
		w.acts[5] = quiteSick
		w.run(10 * time.Second)
		fmt.Fprintln(w.out, "t7 stalls")
		w.acts[7] = stalled
		w.run(3 * time.Second)
		fmt.Fprintln(w.out, "t8 and t9 drain")
		w.drain(8)
		w.drain(9)
		w.run(time.Second)
		fmt.Fprintln(w.out, "all recover")
		for i := range w.acts {
			w.acts[i] = well
		}
		w.run(30 * time.Second)
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "floor", w.out.Bytes())
		receiving, all := w.serving()
		Expect(receiving).To(Equal(all))
	})

	// Golden trace: readmission by shares and the growing back-off.
	It("lets a flapping target wait longer each time", func() {
		w := newWorld(6, 3)
		w.run(5 * time.Second)
		for range 6 {
			w.acts[1] = failing
			for w.states()[1] != health.Ejected {
				w.tick()
			}
			w.acts[1] = well
			for w.states()[1] != health.Healthy {
				w.tick()
			}
		}
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "flapping", w.out.Bytes())
	})
})

// Guards against an alarm without a page for the operator and against numbers
// outside the range of this slice.
var _ = Describe("Events", func() {
	It("numbers every action", func() {
		for _, a := range []health.Action{health.Eject{}, health.Readmit{}, health.Avoid{}, health.FloorReached{}, health.SourceDistrusted{}} {
			e, fields := health.Describe(a)
			Expect(e.Number).To(And(BeNumerically(">=", 4000), BeNumerically("<", 5000)))
			Expect(fields).To(HaveKey("reason"))
		}
		Expect(event.FloorReached.Alarm).To(BeTrue())
	})
})
