package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/admission"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// surge offers 0.5 times the capacity during the first second. The load then
// rises to 3 times the capacity within one second and stays there. The measured
// window starts at the end of the rise.
func surge(seed uint64) simulation {
	return simulation{targets: 10, seed: seed, from: 2 * time.Second, until: 10 * time.Second, heavyShare: 0.1, callerDelays: [2]time.Duration{3 * ms, 10 * ms},
		demand: func(at time.Duration) float64 { return 0.5 + 2.5*min(max(at.Seconds()-1, 0), 1) },
		classes: []requestClass{
			{"reveal", fleet.Interactive, fleet.Short, 40 * ms, time.Second, 0.6},
			{"lookup", fleet.Background, fleet.Short, 30 * ms, 5 * time.Second, 0.3},
			{"pack", fleet.Background, fleet.Long, 2 * time.Second, time.Minute, 0.1},
		}}
}

// headOfLine offers short work for 35% of the capacity. With long, it also
// offers long work for 15% of the capacity, in bursts of two for each target;
// factor is the ratio of the mean run times of long and short work.
func headOfLine(seed uint64, factor int, long bool) simulation {
	sim := simulation{targets: 10, seed: seed, from: 20 * time.Second, until: 80 * time.Second, callerDelays: [2]time.Duration{3 * ms, 10 * ms}, heavyShare: 0.1,
		demand:  func(time.Duration) float64 { return 0.35 },
		classes: []requestClass{{"hint", fleet.Interactive, fleet.Short, 20 * ms, 2 * time.Second, 1}}}
	if long {
		sim.classes[0].work, sim.burst = 0.7, 20
		sim.classes = append(sim.classes, requestClass{"pack", fleet.Background, fleet.Long, time.Duration(factor) * 20 * ms, 2 * time.Minute, 0.3})
		sim.demand = func(time.Duration) float64 { return 0.35 / 0.7 }
	}
	return sim
}

const goodputBound, headOfLineBound = 0.95, 1.5

func BenchmarkSurge(b *testing.B) {
	var full, baseline simResult
	for b.Loop() {
		full = surge(1).run()
		naiveSim := surge(1)
		naiveSim.naive = true
		baseline = naiveSim.run()
	}
	b.ReportMetric(full.goodput, "goodput-ratio")
	b.ReportMetric(baseline.goodput, "naive-goodput-ratio")
	b.ReportMetric(full.p99("reveal"), "interactive-p99-ms")
	b.ReportMetric(baseline.p99("reveal"), "naive-interactive-p99-ms")
	b.ReportMetric(float64(full.answered["lookup"])/float64(full.offered["lookup"]), "background-answered-ratio")
	if full.goodput < goodputBound {
		b.Logf("missed: goodput ratio %.3f, bound %.2f", full.goodput, goodputBound)
	}
	if deadline := 1000.0; full.p99("reveal") > deadline {
		b.Logf("missed: interactive p99 %.0f ms, bound %.0f ms", full.p99("reveal"), deadline)
	}
}

func BenchmarkHeadOfLine(b *testing.B) {
	for name, factor := range map[string]int{"long=50x": 50, "long=100x": 100} {
		b.Run(name, func(b *testing.B) {
			var alone, full, baseline simResult
			for b.Loop() {
				alone, full = headOfLine(1, factor, false).run(), headOfLine(1, factor, true).run()
				naiveSim := headOfLine(1, factor, true)
				naiveSim.naive = true
				baseline = naiveSim.run()
			}
			b.ReportMetric(full.p99("hint"), "short-p99-ms")
			b.ReportMetric(alone.p99("hint"), "short-alone-p99-ms")
			b.ReportMetric(full.p99("hint")/alone.p99("hint"), "short-ratio")
			b.ReportMetric(baseline.p99("hint"), "naive-short-p99-ms")
			b.ReportMetric(float64(full.answered["pack"])/float64(full.offered["pack"]), "long-answered-ratio")
			if ratio := full.p99("hint") / alone.p99("hint"); ratio > headOfLineBound {
				b.Logf("missed: short p99 %.2f times the p99 alone, bound %.1f", ratio, headOfLineBound)
			}
		})
	}
}

// BenchmarkAdmissionWays compares admission configurations. In the surge, one
// tenant sends half of the requests.
func BenchmarkAdmissionWays(b *testing.B) {
	bounds := map[string]admission.Bound{"heavy": {Lower: 0.4, Upper: 1}}
	for _, variant := range []struct {
		name string
		cfg  admission.Config
	}{
		{"full", admission.Config{}},
		{"fifo-deadline-shedding", admission.Config{Discipline: admission.FIFO}},
		{"full-newest-first", admission.Config{NewestFirst: true}},
		{"full-wait-TL/N-only", admission.Config{WaitShare: 1}},
		{"full-bounded-sharing", admission.Config{Sharing: admission.Bounded, Bounds: bounds}},
		{"full-no-guard", admission.Config{NoShortReserve: true}},
		{"full-max-long-3-no-guard", admission.Config{NoShortReserve: true, MaxLong: 3}},
	} {
		b.Run(variant.name, func(b *testing.B) {
			var surgeResult, headOfLineResult simResult
			for b.Loop() {
				surgeSim := surge(2)
				surgeSim.cfg, surgeSim.heavyShare = variant.cfg, 0.5
				surgeResult = surgeSim.run()
				headOfLineSim := headOfLine(2, 75, true)
				headOfLineSim.cfg = variant.cfg
				headOfLineResult = headOfLineSim.run()
			}
			b.ReportMetric(surgeResult.goodput, "goodput-ratio")
			b.ReportMetric(surgeResult.p99("reveal"), "interactive-p99-ms")
			b.ReportMetric(float64(surgeResult.answered["reveal"])/float64(surgeResult.offered["reveal"]), "interactive-answered-ratio")
			b.ReportMetric(float64(surgeResult.answered["tenant light"])/float64(surgeResult.offered["tenant light"]), "light-answered-ratio")
			b.ReportMetric(float64(surgeResult.answered["tenant heavy"])/float64(surgeResult.offered["tenant heavy"]), "heavy-answered-ratio")
			b.ReportMetric(headOfLineResult.p99("hint"), "short-beside-long-p99-ms")
		})
	}
}

var _ = Describe("Admission under load", func() {
	// Guards against congestion collapse, and against interactive work that is
	// admitted but answered after its deadline.
	It("keeps its goodput in a surge, more than twice that of the naive queue", func() {
		full, naiveSim := surge(3).run(), surge(3)
		naiveSim.naive = true
		Expect(full.goodput).To(BeNumerically(">=", goodputBound))
		Expect(full.p99("reveal")).To(BeNumerically("<=", 1000))
		Expect(full.answered["lookup"]).To(BeNumerically(">", 0))
		Expect(full.answered["pack"]).To(BeNumerically(">", 0))
		Expect(full.goodput).To(BeNumerically(">", 2*naiveSim.run().goodput))
	})

	// Guards against short work that waits while long work holds the slots.
	It("keeps the latency of short work low beside long work", func() {
		alone, full := headOfLine(3, 75, false).run(), headOfLine(3, 75, true).run()
		Expect(full.p99("hint")).To(BeNumerically("<=", headOfLineBound*alone.p99("hint")))
		Expect(float64(full.answered["pack"])).To(BeNumerically(">", 0.8*float64(full.offered["pack"])))
	})
})
