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

// suite is the test that runs all specs. Golden files and synctest need it.
var suite *testing.T

func TestOperation(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "operation")
}

// Numbers of seeds in the default tests and in a soak run.
const (
	defaultSeeds = 2000
	soakSeeds    = 100_000
)

// seedCount returns the number of schedules of a test.
func seedCount(defaultCount, soakCount uint64) uint64 {
	if os.Getenv("SISKINVALE_SOAK") == "1" {
		return soakCount
	}
	return defaultCount / seedDivisor
}

// schedule returns the options of a random schedule with any combination of
// failures.
func schedule(seed uint64, m mutation) simOptions {
	opt := simOptions{seed: seed, mutation: m, length: 30 * time.Second, callers: 60}
	for i, f := range allFaults {
		if (seed*0x9e3779b97f4a7c15>>(20+2*i))&3 == 0 {
			opt.faults = append(opt.faults, f)
		}
	}
	return opt
}

// forSeeds runs the schedules on several goroutines and calls visit for each
// finished schedule, in any order and never concurrently.
func forSeeds(seeds uint64, options func(seed uint64) simOptions, visit func(seed uint64, s *sim)) {
	// A schedule allocates much memory and retains little.
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
	// Guards against operations that run twice, or that run after their caller
	// received the answer that they did not.
	It("runs each key at most once", func() {
		seeds := seedCount(defaultSeeds, soakSeeds)
		var violations []string
		answered, total, runs := 0, 0, 0
		forSeeds(seeds, func(seed uint64) simOptions { return schedule(seed, correct) }, func(seed uint64, s *sim) {
			for _, v := range s.violations() {
				violations = append(violations, fmt.Sprintf("seed %d %v: %s", seed, s.opt.faults, v))
			}
			runs += len(s.runs)
			for _, t := range s.reportedOutcomes {
				total++
				if t.outcome == fleet.Answered {
					answered++
				}
			}
		})
		fmt.Fprintf(GinkgoWriter, "%d schedules, %d operations ran, %d of %d reported outcomes were answered\n", seeds, runs, answered, total)
		Expect(violations).To(BeEmpty())
		// Schedules in which almost nothing runs cannot show a violation.
		Expect(float64(answered) / float64(total)).To(BeNumerically(">", 0.4))
	})
})

// Guards against a protocol that is safe only because it makes no progress:
// some time after the last failure, every range must have exactly one holder
// again.
var _ = Describe("recovery", func() {
	It("gives every range one holder after the failures", func() {
		var violations []string
		forSeeds(seedCount(400, 10_000), func(seed uint64) simOptions {
			opt := schedule(2_000_000+seed, correct)
			opt.length, opt.recoveryTime, opt.callers = 70*time.Second, 40*time.Second, 5
			// These faults last until the end of the schedule.
			opt.faults = slices.DeleteFunc(opt.faults, func(f fault) bool { return f == faultSlow || f == faultPause })
			return opt
		}, func(seed uint64, s *sim) {
			// A handover for even shares may be in progress at the end.
			for range 4 {
				if slices.Contains(s.holders(), "") {
					s.opt.length += 500 * time.Millisecond
					s.run()
				}
			}
			for i, holder := range s.holders() {
				if holder == "" || strings.Contains(holder, "+") {
					violations = append(violations, fmt.Sprintf("seed %d %v: range %d is held by %q: %s", seed, s.opt.faults, i, holder, s.platform.value))
				}
			}
		})
		Expect(violations).To(BeEmpty())
	})
})

// Guards rule 5: a graceful handover must fence no key, so that only operations
// that were still running become unknown.
var _ = Describe("graceful handovers", func() {
	It("fence no key", func() {
		var violations []string
		replayed, skipped := 0, 0
		forSeeds(400/seedDivisor, func(seed uint64) simOptions {
			return simOptions{seed: 3_000_000 + seed, faults: []fault{faultDrain, faultUnhealthy}, length: 30 * time.Second, callers: 60, plain: true, fastMessages: true}
		}, func(seed uint64, s *sim) {
			if s.released {
				skipped++ // every node drained, so that no node could receive the records
				return
			}
			for _, t := range s.reportedOutcomes {
				if t.verdict.Reason == ReasonFenced {
					violations = append(violations, fmt.Sprintf("seed %d: key %s at %v by %s", 3_000_000+seed, t.key, t.at, t.fromNode))
				}
				if t.verdict.Kind == Replay {
					replayed++
				}
			}
		})
		Expect(violations).To(BeEmpty())
		Expect(replayed).To(BeNumerically(">", 0))
		Expect(skipped).To(BeNumerically("<", 400/seedDivisor/10))
	})
})

// firstViolation returns the first seed of at most maxSeeds whose schedule
// violates the properties under the mutation, and the violation.
func firstViolation(maxSeeds uint64, m mutation) (uint64, string) {
	for seed := uint64(1); seed <= maxSeeds; seed++ {
		s := newSim(schedule(seed, m))
		s.run()
		if found := s.violations(); len(found) > 0 {
			return seed, found[0]
		}
	}
	return 0, ""
}

// Guards against a simulation that does not detect the faults that it is meant
// to detect.
var _ = DescribeTable("a mutation is found",
	func(m mutation, within int) {
		seed, found := firstViolation(uint64(within), m)
		fmt.Fprintf(GinkgoWriter, "found with seed %d: %s\n", seed, found)
		Expect(seed).NotTo(BeZero())
	},
	Entry("the owner skips its epoch and lease check", skipLeaseCheck, 500),
	Entry("the ingress retries after an unknown outcome", retryUnknown, 200),
	Entry("no node owns a range", noOwnership, 20),
)
