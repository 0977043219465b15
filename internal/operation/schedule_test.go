package operation

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// suite is the test that runs all specs. Golden files need it.
var suite *testing.T

func TestOperation(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "operation")
}

// Seeds of the ordinary tests and of a soak run.
const (
	ordinarySeeds = 2000
	soakSeeds     = 100_000
)

// seedsOf returns the number of schedules of a test.
func seedsOf(ordinary, soak uint64) uint64 {
	if os.Getenv("SISKINVALE_SOAK") == "1" {
		return soak
	}
	return ordinary / seedShare
}

// schedule returns the options of a random schedule: any mix of failures.
func schedule(seed uint64, m mutation) simOptions {
	opt := simOptions{seed: seed, mutation: m, length: 30 * time.Second, callers: 60}
	for i, f := range allFaults {
		if (seed*0x9e3779b97f4a7c15>>(20+2*i))&3 == 0 {
			opt.faults = append(opt.faults, f)
		}
	}
	return opt
}

// forSeeds runs the schedules on several goroutines and returns the finished
// ones to visit in any order.
func forSeeds(seeds uint64, options func(seed uint64) simOptions, visit func(seed uint64, s *sim)) {
	// A schedule makes much garbage and keeps little.
	defer debug.SetGCPercent(debug.SetGCPercent(800))
	next := make(chan uint64)
	var mu sync.Mutex
	var group sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), 6) {
		group.Go(func() {
			for seed := range next {
				s := newSim(options(seed))
				s.run()
				mu.Lock()
				visit(seed, s)
				mu.Unlock()
			}
		})
	}
	for seed := range seeds {
		next <- seed + 1
	}
	close(next)
	group.Wait()
}

var _ = Describe("random schedules", func() {
	// Guards against every way in which an operation can run twice, or run
	// after its caller was told that it did not.
	It("runs each key at most once", func() {
		seeds := seedsOf(ordinarySeeds, soakSeeds)
		var bad []string
		answered, total, runs := 0, 0, 0
		forSeeds(seeds, func(seed uint64) simOptions { return schedule(seed, correct) }, func(seed uint64, s *sim) {
			for _, v := range s.violations() {
				bad = append(bad, fmt.Sprintf("seed %d %v: %s", seed, s.opt.faults, v))
			}
			runs += len(s.runs)
			for _, t := range s.told {
				total++
				if t.outcome == fleet.Answered {
					answered++
				}
			}
		})
		fmt.Fprintf(GinkgoWriter, "%d schedules, %d operations ran, %d of %d statements answered\n", seeds, runs, answered, total)
		Expect(bad).To(BeEmpty())
		// Schedules in which nothing runs would prove nothing.
		Expect(float64(answered) / float64(total)).To(BeNumerically(">", 0.4))
	})
})

// Guards against a protocol that is safe because it stands still: some time
// after the last failure every range has exactly one holder again.
var _ = Describe("recovery", func() {
	It("gives every range one holder after the failures", func() {
		var bad []string
		forSeeds(seedsOf(400, 10_000), func(seed uint64) simOptions {
			opt := schedule(2_000_000+seed, correct)
			opt.length, opt.quiet, opt.callers = 70*time.Second, 40*time.Second, 5
			// These go on to the end.
			opt.faults = slices.DeleteFunc(opt.faults, func(f fault) bool { return f == faultSlow || f == faultPause })
			return opt
		}, func(seed uint64, s *sim) {
			// A handover for even shares may be under way at the end.
			for range 4 {
				if slices.Contains(s.holders(), "") {
					s.opt.length += 500 * time.Millisecond
					s.run()
				}
			}
			for i, holder := range s.holders() {
				if holder == "" || strings.Contains(holder, "+") {
					bad = append(bad, fmt.Sprintf("seed %d %v: range %d is held by %q: %s", seed, s.opt.faults, i, holder, s.platform.value))
				}
			}
		})
		Expect(bad).To(BeEmpty())
	})
})

// Guards rule 5: a graceful handover must fence nothing, so that only keys
// that were still running become unknown.
var _ = Describe("graceful handovers", func() {
	It("fence no key", func() {
		var bad []string
		replayed, stopped := 0, 0
		forSeeds(400/seedShare, func(seed uint64) simOptions {
			return simOptions{seed: 3_000_000 + seed, faults: []fault{faultDrain, faultSick}, length: 30 * time.Second, callers: 60, plain: true, calm: true}
		}, func(seed uint64, s *sim) {
			if s.released {
				stopped++ // every node drained, so that no one could take the records
				return
			}
			for _, t := range s.told {
				if t.verdict.Reason == ReasonFenced {
					bad = append(bad, fmt.Sprintf("seed %d: key %s at %v by %s", 3_000_000+seed, t.key, t.at, t.fromNode))
				}
				if t.verdict.Kind == Replay {
					replayed++
				}
			}
		})
		Expect(bad).To(BeEmpty())
		Expect(replayed).To(BeNumerically(">", 0))
		Expect(stopped).To(BeNumerically("<", 400/seedShare/10))
	})
})

// firstViolation returns the first seed of at most n whose schedule violates
// the properties under the mutation, and what was found.
func firstViolation(n uint64, m mutation) (uint64, string) {
	for seed := uint64(1); seed <= n; seed++ {
		s := newSim(schedule(seed, m))
		s.run()
		if found := s.violations(); len(found) > 0 {
			return seed, found[0]
		}
	}
	return 0, ""
}

// Guards against a harness that cannot see the faults it is there for.
var _ = DescribeTable("a mutation is found",
	func(m mutation, within int) {
		seed, found := firstViolation(uint64(within), m)
		fmt.Fprintf(GinkgoWriter, "found with seed %d: %s\n", seed, found)
		Expect(seed).NotTo(BeZero())
	},
	Entry("owner skips its epoch and lease check", skipChecks, 500),
	Entry("ingress retries on unknown", retryUnknown, 200),
	Entry("no ownership", noOwnership, 20),
)
