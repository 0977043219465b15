package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/admission"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// surge offers 0.5 times the capacity, rises to 3 times within the second
// second and stays there; the window starts at the peak.
func surge(seed uint64) load {
	return load{targets: 10, seed: seed, from: 2 * time.Second, until: 10 * time.Second, heavy: 0.1, callers: [2]time.Duration{3 * ms, 10 * ms},
		demand: func(at time.Duration) float64 { return 0.5 + 2.5*min(max(at.Seconds()-1, 0), 1) },
		kinds: []kind{
			{"reveal", fleet.Interactive, fleet.Short, 40 * ms, time.Second, 0.6},
			{"lookup", fleet.Background, fleet.Short, 30 * ms, 5 * time.Second, 0.3},
			{"pack", fleet.Background, fleet.Long, 2 * time.Second, time.Minute, 0.1},
		}}
}

// headOfLine offers short work for 35% of the capacity and, beside it, long work
// for 15% in bursts of two for each target.
func headOfLine(seed uint64, factor int, long bool) load {
	l := load{targets: 10, seed: seed, from: 20 * time.Second, until: 80 * time.Second, callers: [2]time.Duration{3 * ms, 10 * ms}, heavy: 0.1,
		demand: func(time.Duration) float64 { return 0.35 },
		kinds:  []kind{{"hint", fleet.Interactive, fleet.Short, 20 * ms, 2 * time.Second, 1}}}
	if long {
		l.kinds[0].work, l.burst = 0.7, 20
		l.kinds = append(l.kinds, kind{"pack", fleet.Background, fleet.Long, time.Duration(factor) * 20 * ms, 2 * time.Minute, 0.3})
		l.demand = func(time.Duration) float64 { return 0.35 / 0.7 }
	}
	return l
}

const goodputBound, headOfLineBound = 0.95, 1.5

func BenchmarkSurge(b *testing.B) {
	var mine, base outcome
	for b.Loop() {
		mine = surge(1).run()
		simple := surge(1)
		simple.naive = true
		base = simple.run()
	}
	b.ReportMetric(mine.goodput, "goodput-ratio")
	b.ReportMetric(base.goodput, "naive-goodput-ratio")
	b.ReportMetric(mine.p99("reveal"), "interactive-p99-ms")
	b.ReportMetric(base.p99("reveal"), "naive-interactive-p99-ms")
	b.ReportMetric(float64(mine.answered["lookup"])/float64(mine.offered["lookup"]), "background-answered-ratio")
	if mine.goodput < goodputBound {
		b.Logf("missed: goodput ratio %.3f, bound %.2f", mine.goodput, goodputBound)
	}
	if deadline := 1000.0; mine.p99("reveal") > deadline {
		b.Logf("missed: interactive p99 %.0f ms, bound %.0f ms", mine.p99("reveal"), deadline)
	}
}

func BenchmarkHeadOfLine(b *testing.B) {
	for name, factor := range map[string]int{"long=50x": 50, "long=100x": 100} {
		b.Run(name, func(b *testing.B) {
			var alone, mine, base outcome
			for b.Loop() {
				alone, mine = headOfLine(1, factor, false).run(), headOfLine(1, factor, true).run()
				simple := headOfLine(1, factor, true)
				simple.naive = true
				base = simple.run()
			}
			b.ReportMetric(mine.p99("hint"), "short-p99-ms")
			b.ReportMetric(alone.p99("hint"), "short-alone-p99-ms")
			b.ReportMetric(mine.p99("hint")/alone.p99("hint"), "short-ratio")
			b.ReportMetric(base.p99("hint"), "naive-short-p99-ms")
			b.ReportMetric(float64(mine.answered["pack"])/float64(mine.offered["pack"]), "long-answered-ratio")
			if ratio := mine.p99("hint") / alone.p99("hint"); ratio > headOfLineBound {
				b.Logf("missed: short p99 %.2f times the p99 alone, bound %.1f", ratio, headOfLineBound)
			}
		})
	}
}

// BenchmarkAdmissionWays compares the ways of admission that were built, with
// one tenant that sends half of the requests.
func BenchmarkAdmissionWays(b *testing.B) {
	bounds := map[string]admission.Bound{"heavy": {Lower: 0.4, Upper: 1}}
	for _, way := range []struct {
		name string
		cfg  admission.Config
	}{
		{"full", admission.Config{}},
		{"fifo-deadline-shedding", admission.Config{Discipline: admission.FIFO}},
		{"full-newest-first", admission.Config{NewestFirst: true}},
		{"full-wait-TL/N-only", admission.Config{WaitShare: 1}},
		{"full-bounded-sharing", admission.Config{Sharing: admission.Bounded, Bounds: bounds}},
		{"full-no-guard", admission.Config{NoGuard: true}},
		{"full-max-long-3-no-guard", admission.Config{NoGuard: true, MaxLong: 3}},
	} {
		b.Run(way.name, func(b *testing.B) {
			var o, h outcome
			for b.Loop() {
				l := surge(2)
				l.cfg, l.heavy = way.cfg, 0.5
				o = l.run()
				hol := headOfLine(2, 75, true)
				hol.cfg = way.cfg
				h = hol.run()
			}
			b.ReportMetric(o.goodput, "goodput-ratio")
			b.ReportMetric(o.p99("reveal"), "interactive-p99-ms")
			b.ReportMetric(float64(o.answered["reveal"])/float64(o.offered["reveal"]), "interactive-answered-ratio")
			b.ReportMetric(float64(o.answered["tenant light"])/float64(o.offered["tenant light"]), "light-answered-ratio")
			b.ReportMetric(float64(o.answered["tenant heavy"])/float64(o.offered["tenant heavy"]), "heavy-answered-ratio")
			b.ReportMetric(h.p99("hint"), "short-beside-long-p99-ms")
		})
	}
}

var _ = Describe("Admission under load", func() {
	// Guards against congestion collapse and against interactive work that is
	// admitted and then answered too late.
	It("keeps its goodput in a surge, unlike the naive queue", func() {
		mine, simple := surge(3).run(), surge(3)
		simple.naive = true
		Expect(mine.goodput).To(BeNumerically(">=", goodputBound))
		Expect(mine.p99("reveal")).To(BeNumerically("<=", 1000))
		Expect(mine.answered["lookup"]).To(BeNumerically(">", 0))
		Expect(mine.answered["pack"]).To(BeNumerically(">", 0))
		Expect(mine.goodput).To(BeNumerically(">", 2*simple.run().goodput))
	})

	// Guards against short work that waits for slots held by long work.
	It("keeps short work fast beside long work", func() {
		alone, mine := headOfLine(3, 75, false).run(), headOfLine(3, 75, true).run()
		Expect(mine.p99("hint")).To(BeNumerically("<=", headOfLineBound*alone.p99("hint")))
		Expect(float64(mine.answered["pack"])).To(BeNumerically(">", 0.8*float64(mine.offered["pack"])))
	})
})
