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
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500"} { // makes every run use the same schedules
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "health")
}

// behaviour is how a target behaves while it receives requests, as reported by
// its sidecar.
type behaviour uint8

const (
	normal behaviour = iota
	stalled
	slow
	failing        // half of the answers are errors
	tenthErrors    // a tenth of the answers are errors
	idle           // no requests and therefore no samples
	behaviourCount = idle + 1
)

// harness sends a Monitor the samples of a few targets, one Tick at a time.
type harness struct {
	m          *health.Monitor
	now        time.Time
	floor      int
	targets    []fleet.Target
	behaviours []behaviour
	stalledFor []time.Duration
	out        *bytes.Buffer
	ticks      int
}

func newHarness(n, floor int) *harness {
	h := &harness{m: health.New(health.Config{Self: "self"}), now: epoch, floor: floor, behaviours: make([]behaviour, n), stalledFor: make([]time.Duration, n), out: &bytes.Buffer{}}
	for i := range n {
		h.targets = append(h.targets, fleet.Target{ID: fleet.TargetID(fmt.Sprintf("t%d", i)), Service: "booking", Node: fleet.NodeID(fmt.Sprintf("n%d", i)), Slots: 4, Started: epoch.Add(-time.Hour)})
		h.add(i)
	}
	return h
}

func (h *harness) log(actions []health.Action) []health.Action {
	for _, a := range actions {
		e, fields := health.Describe(a)
		fmt.Fprintf(h.out, "%6s %d %s %v\n", h.now.Sub(epoch), e.Number, e.Name, fields)
	}
	return actions
}

func (h *harness) add(i int) []health.Action {
	return h.log(h.m.Step(h.now, health.TargetAdded{Target: h.targets[i], Floor: h.floor, Expected: len(h.targets)}))
}

func (h *harness) drain(i int) []health.Action {
	h.targets[i].State = fleet.TargetDraining
	return h.add(i)
}

// tick advances the time by 100 ms and returns the resulting actions. Targets
// that receive no traffic send no samples.
func (h *harness) tick() (actions []health.Action) {
	h.now = h.now.Add(tickEvery)
	h.ticks++
	for i, t := range h.targets {
		v := h.m.Verdict(t.ID)
		h.stalledFor[i] += tickEvery
		s := health.Sample{Target: t.ID, Source: t.Node, Class: "lookup", Completed: 2, OldestInFlight: 30 * time.Millisecond, TypicalRunTime: 30 * time.Millisecond}
		current := h.behaviours[i]
		if v.State == health.Ejected || v.State == health.Avoided {
			current = idle
		}
		switch current {
		case stalled:
			s.Completed, s.OldestInFlight = 0, h.stalledFor[i]
		case slow:
			s.Completed, s.TypicalRunTime, s.OldestInFlight = 1, 200*time.Millisecond, 200*time.Millisecond
		case failing:
			s.Completed, s.Errors = 1, 1
		case tenthErrors:
			s.Errors = uint32(h.ticks % 5 / 4)
		}
		if current != stalled {
			h.stalledFor[i] = 0
		}
		if current != idle && t.State != fleet.TargetGone {
			h.m.Step(h.now, health.SampleReceived{Sample: s})
		}
	}
	return h.log(h.m.Step(h.now, health.Tick{}))
}

func (h *harness) run(d time.Duration) (actions []health.Action) {
	for range d / tickEvery {
		actions = append(actions, h.tick()...)
	}
	return actions
}

// observeAttempts sends a sample of the attempts of another source.
func (h *harness) observeAttempts(source fleet.NodeID, target int, answers, failures uint32) {
	h.m.Step(h.now, health.SampleReceived{Sample: health.Sample{Target: h.targets[target].ID, Source: source, Completed: answers, PathFailures: failures}})
}

// servingCounts returns the number of healthy serving targets and the number of
// all serving targets.
func (h *harness) servingCounts() (receiving, all int) {
	for _, t := range h.targets {
		if t.State == fleet.TargetServing {
			all++
			if h.m.Verdict(t.ID).State == health.Healthy {
				receiving++
			}
		}
	}
	return receiving, all
}

func (h *harness) states() (s []health.State) {
	for _, t := range h.targets {
		s = append(s, h.m.Verdict(t.ID).State)
	}
	return s
}

var _ = Describe("Detection", func() {
	// Guards against a change of the detectors that makes them exceed the
	// detection time or eject healthy targets. BenchmarkDetection checks the
	// same bounds with more seeds.
	It("detects stalls within the bound and ejects no healthy target", func() {
		for _, targets := range []int{10, 20} {
			d := detect(faults[0], targets, 10, targets == 20, func(*scenario) {})
			Expect(d.p99).To(BeNumerically("<=", detectionBound))
			Expect(d.undetected + d.false).To(BeZero())
		}
		n, reasons := falseEjections(80, func(*scenario) {})
		Expect(n).To(BeZero(), "%v", reasons)
		baseline, _ := falseEjections(20, func(s *scenario) { s.naive = true })
		Expect(baseline).To(BeNumerically(">", 0)) // the naive baseline does eject healthy targets in these runs
	})

	DescribeTable("ejects one faulty target among healthy ones", func(b behaviour, within time.Duration) {
		h := newHarness(8, 4)
		h.run(5 * time.Second)
		h.behaviours[3] = b
		actions := h.run(within)
		Expect(actions).NotTo(BeEmpty())
		Expect(actions[0]).To(HaveField("Target", fleet.TargetID("t3")))
		Expect(actions[0]).To(BeAssignableToTypeOf(health.Eject{}))
		for i, v := range h.states() {
			Expect(v == health.Healthy).To(Equal(i != 3))
		}
	},
		Entry("stalled", stalled, 1500*time.Millisecond),
		Entry("slow", slow, 3*time.Second),
		Entry("failing", failing, 2*time.Second),
		Entry("with 10% errors", tenthErrors, 7*time.Second))

	// Guards against comparing a target with itself or with its own past instead
	// of with its peers.
	DescribeTable("ejects no target when all behave alike", func(b behaviour) {
		h := newHarness(8, 2)
		h.run(5 * time.Second)
		for i := range h.behaviours {
			h.behaviours[i] = b
		}
		Expect(h.run(20 * time.Second)).To(BeEmpty())
	}, Entry("all slow", slow), Entry("all stalled", stalled), Entry("all failing", failing), Entry("all idle", idle))

	// Guards against ejecting a target because its own health endpoint reports
	// wrong values.
	It("uses reports of the target's own endpoint only to strengthen other evidence", func() {
		firstAction := func(selfReport bool, faulty behaviour) time.Duration {
			h := newHarness(8, 4)
			h.run(5 * time.Second)
			h.behaviours[0] = faulty
			for range 100 {
				if selfReport {
					h.m.Step(h.now, health.SampleReceived{Sample: health.Sample{Target: "t0", Source: "n0", SelfReported: true, Errors: 9, OldestInFlight: time.Hour}})
				}
				if len(h.tick()) > 0 {
					return h.now.Sub(epoch)
				}
			}
			return 0
		}
		Expect(firstAction(true, normal)).To(BeZero())
		Expect(firstAction(true, tenthErrors)).To(And(BeNumerically(">", 0), BeNumerically("<", firstAction(false, tenthErrors))))
	})
})

var _ = Describe("Paths", func() {
	// Guards against ejecting a target for all callers because one ingress
	// cannot reach it.
	It("avoids a target that only this node cannot reach, and readmits it later", func() {
		h := newHarness(6, 3)
		for range 10 {
			h.observeAttempts("self", 2, 0, 1)
			h.observeAttempts("other", 2, 3, 0)
			h.tick()
		}
		Expect(h.states()[2]).To(Equal(health.Avoided))
		Expect(h.out.String()).To(And(ContainSubstring("path-avoided"), Not(ContainSubstring("target-ejected"))))
		h.run(5 * time.Second)
		Expect(h.states()[2]).To(Equal(health.Probation)) // answers to other nodes do not show that this node's path works
		for range 30 {
			h.observeAttempts("self", 2, 1, 0)
			h.tick()
		}
		Expect(h.states()[2]).To(Equal(health.Healthy))
	})

	It("ignores the path failures of one other node", func() {
		h := newHarness(6, 3)
		for range 30 {
			h.observeAttempts("other", 2, 0, 3)
			h.tick()
		}
		Expect(h.out.String()).To(BeEmpty())
	})

	It("ejects a target that no node can reach", func() {
		h := newHarness(6, 3)
		h.behaviours[2] = idle
		for range 10 {
			h.observeAttempts("a", 2, 0, 1)
			h.observeAttempts("b", 2, 0, 1)
			h.tick()
		}
		Expect(h.states()[2]).To(Equal(health.Ejected))
	})

	// Guards against ejections because of one node whose paths to most targets
	// fail or that reports wrong values.
	It("distrusts a source that alone reports most targets as failing", func() {
		h := newHarness(6, 1)
		for i := range h.targets {
			h.behaviours[i] = idle
		}
		for range 30 {
			for i := range h.targets {
				h.observeAttempts("faulty-source", i, 0, 5)
				h.observeAttempts("other-source", i, uint32(i%2), uint32(1-i%2)) // its own paths to half of the targets fail
			}
			h.tick()
		}
		Expect(h.out.String()).To(ContainSubstring("source-distrusted"))
		Expect(h.out.String()).NotTo(ContainSubstring("target-ejected"))
	})
})

var _ = Describe("Floor", func() {
	// Guards against an ejection below the floor. The schedules combine faulty,
	// draining, removed and returning targets, and sources whose reports are
	// wrong or contradict each other.
	It("keeps the floor in random schedules of faults, drains and removals", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			n := rapid.IntRange(1, 12).Draw(t, "targets")
			h := newHarness(n, rapid.IntRange(0, n+1).Draw(t, "floor"))
			check := func() {
				receiving, all := h.servingCounts()
				floor := h.floor
				if floor == 0 {
					floor = (n + 1) / 2
				}
				if receiving < min(floor, all) {
					t.Fatalf("%d of %d serving targets receive traffic, floor %d\n%s", receiving, all, floor, h.out)
				}
			}
			for range rapid.IntRange(1, 25).Draw(t, "steps") {
				i := rapid.IntRange(0, n-1).Draw(t, "target")
				switch rapid.IntRange(0, 5).Draw(t, "kind") {
				case 0, 1:
					h.behaviours[i] = behaviour(rapid.IntRange(0, int(behaviourCount)-1).Draw(t, "behaviour"))
				case 2:
					h.targets[i].State = fleet.TargetState(rapid.IntRange(0, 2).Draw(t, "state"))
					h.add(i)
				case 3:
					h.log(h.m.Step(h.now, health.TargetRemoved{ID: h.targets[i].ID}))
					savedState := h.targets[i].State
					h.targets[i].State = fleet.TargetGone
					check()
					h.targets[i].State = savedState
					h.add(i)
				case 4: // path failures from this node and two others
					for j := range h.targets {
						for range 3 {
							h.observeAttempts("self", j, 0, 2)
							h.observeAttempts("faulty-source", j, 0, 2)
							h.observeAttempts("third-source", j, uint32(j%2), 2)
						}
					}
				case 5:
					for j := range h.behaviours {
						h.behaviours[j] = behaviour(rapid.IntRange(0, int(behaviourCount)-1).Draw(t, "all"))
					}
				}
				for range rapid.IntRange(1, 30).Draw(t, "ticks") {
					h.tick()
					check()
				}
			}
		})
	})

	// The golden file is the log of a run in which more targets are faulty than
	// the floor allows to eject; then two healthy targets drain, and at last
	// the faulty ones recover.
	It("ejects the worst targets, keeps the least unhealthy ones and reports the floor", func() {
		h := newHarness(10, 6)
		h.run(5 * time.Second)
		for i := range 5 {
			h.behaviours[i] = failing
		}
		h.behaviours[5] = tenthErrors
		h.run(10 * time.Second)
		fmt.Fprintln(h.out, "t7 stalls")
		h.behaviours[7] = stalled
		h.run(3 * time.Second)
		fmt.Fprintln(h.out, "t8 and t9 drain")
		h.drain(8)
		h.drain(9)
		h.run(time.Second)
		fmt.Fprintln(h.out, "all recover")
		for i := range h.behaviours {
			h.behaviours[i] = normal
		}
		h.run(30 * time.Second)
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "floor", h.out.Bytes())
		receiving, all := h.servingCounts()
		Expect(receiving).To(Equal(all))
	})

	// The golden file is the log of readmissions with growing shares and of the
	// growing back-off.
	It("increases the back-off of a flapping target with each ejection", func() {
		h := newHarness(6, 3)
		h.run(5 * time.Second)
		for range 6 {
			h.behaviours[1] = failing
			for h.states()[1] != health.Ejected {
				h.tick()
			}
			h.behaviours[1] = normal
			for h.states()[1] != health.Healthy {
				h.tick()
			}
		}
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "flapping", h.out.Bytes())
	})
})

// Guards against a floor that is reached without an alarm and against event
// numbers outside the range of this package.
var _ = Describe("Events", func() {
	It("have a number in the range of this package and a reason", func() {
		for _, a := range []health.Action{health.Eject{}, health.Readmit{}, health.Avoid{}, health.FloorReached{}, health.SourceDistrusted{}} {
			e, fields := health.Describe(a)
			Expect(e.Number).To(And(BeNumerically(">=", 4000), BeNumerically("<", 5000)))
			Expect(fields).To(HaveKey("reason"))
		}
		Expect(event.FloorReached.Alarm).To(BeTrue())
	})
})
