package health_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskinvale.dev/siskinvale/internal/health"
)

type fault struct {
	name string
	set  func(*scenario)
}

var faults = []fault{
	{"stall", func(s *scenario) { s.stall = 1 }},
	{"stall-30%", func(s *scenario) { s.stall = 0.3 }},
	{"slow-5x", func(s *scenario) { s.slow = 5 }},
	{"flap-1s", func(s *scenario) { s.stall, s.flap = 1, time.Second }},
	{"flap-3s", func(s *scenario) { s.stall, s.flap = 1, 3*time.Second }},
	{"flap-10s", func(s *scenario) { s.stall, s.flap = 1, 10*time.Second }},
	{"errors-5%", func(s *scenario) { s.errors = 0.05 }},
	{"errors-20%", func(s *scenario) { s.errors = 0.2 }},
	{"errors-100%", func(s *scenario) { s.errors = 1 }},
	{"cut", func(s *scenario) { s.cut = true }},
}

// healthy returns the seeded run number i of a service without a sick target.
func healthy(i int) scenario {
	s := scenario{targets: 10 + 10*(i%2), seed: uint64(i), rate: 20}
	switch i / 2 % 10 {
	case 0: // steady
	case 1, 2:
		s.surge = true
	case 3:
		s.allSlow = 5
	case 4:
		s.allSlow, s.surge = 3, true
	case 5:
		s.allErrors = 0.3
	case 6:
		s.allStall = 1500 * time.Millisecond
	case 7:
		s.uneven, s.surge = true, true
	case 8:
		s.long, s.rate = true, 12
	case 9:
		s.rate = 2
	}
	return s
}

// each runs n scenarios on a few goroutines; results keep their order.
func each(n int, scenarioOf func(i int) scenario) []result {
	out, next, wg := make([]result, n), make(chan int), sync.WaitGroup{}
	for range 5 {
		wg.Go(func() {
			for i := range next {
				out[i] = scenarioOf(i).run()
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
	return out
}

type detection struct {
	p50, p99   float64 // ms, of the runs that detected the fault
	undetected int
	false      int
}

func detect(f fault, targets, seeds int, surge bool, change func(*scenario)) detection {
	h, d := hdrhistogram.New(1, 60_000, 3), detection{}
	for _, r := range each(seeds, func(i int) scenario {
		s := scenario{targets: targets, seed: uint64(1000 + i), rate: 20, surge: surge}
		f.set(&s)
		change(&s)
		return s
	}) {
		d.false += r.false
		if r.detected == 0 {
			d.undetected++
			continue
		}
		_ = h.RecordValue(r.detected.Milliseconds())
	}
	d.p50, d.p99 = float64(h.ValueAtQuantile(50)), float64(h.ValueAtQuantile(99))
	return d
}

func falseEjections(runs int, change func(*scenario)) (n int, reasons []string) {
	for i, r := range each(runs, func(i int) scenario {
		s := healthy(i)
		change(&s)
		return s
	}) {
		n += r.false
		for _, reason := range r.reasons {
			reasons = append(reasons, fmt.Sprintf("run %d: %s", i, reason))
		}
	}
	return n, reasons
}

const detectionBound, healthyRuns = 1500, 1000

// BenchmarkDetection reports the time from the start of a fault to the ejection
// (or avoidance) of the target, at the 99th percentile of 30 seeds, and the
// false ejections in 1,000 healthy runs, beside the naive rule.
func BenchmarkDetection(b *testing.B) {
	keep := func(*scenario) {}
	simple := func(s *scenario) { s.naive = true }
	for _, f := range faults {
		for _, targets := range []int{10, 20} {
			for _, surge := range []bool{false, true} {
				b.Run(fmt.Sprintf("%s/targets=%d/surge=%t", f.name, targets, surge), func(b *testing.B) {
					var mine, base detection
					for b.Loop() {
						mine, base = detect(f, targets, 30, surge, keep), detect(f, targets, 30, surge, simple)
					}
					b.ReportMetric(mine.p50, "detect-p50-ms")
					b.ReportMetric(mine.p99, "detect-ms")
					b.ReportMetric(base.p99, "naive-detect-ms")
					b.ReportMetric(float64(mine.undetected), "undetected")
					b.ReportMetric(float64(base.undetected), "naive-undetected")
					b.ReportMetric(float64(mine.false), "false-ejections")
					b.ReportMetric(float64(base.false), "naive-false-ejections")
					if f.name == "stall" && (mine.p99 > detectionBound || mine.undetected > 0) {
						b.Logf("missed: detection within %d ms", detectionBound)
					}
				})
			}
		}
	}
	b.Run("healthy", func(b *testing.B) {
		var mine, base int
		var reasons []string
		for b.Loop() {
			mine, reasons = falseEjections(healthyRuns, keep)
			base, _ = falseEjections(healthyRuns, simple)
		}
		b.ReportMetric(float64(mine), "false-ejections")
		b.ReportMetric(float64(base), "naive-false-ejections")
		if mine > 0 {
			b.Logf("missed: no false ejection; first ones: %s", strings.Join(reasons[:min(len(reasons), 20)], "\n"))
		}
	})
}

// BenchmarkDetectors compares the detectors alone with each other; the figures
// chose the default.
func BenchmarkDetectors(b *testing.B) {
	for name, detectors := range map[string][]health.Detector{"age": {health.Age{}}, "success-rate": {health.SuccessRate{}}, "both": {health.Age{}, health.SuccessRate{}}} {
		use := func(s *scenario) { s.detectors = detectors }
		for _, f := range faults[:len(faults)-1] {
			b.Run(name+"/"+f.name, func(b *testing.B) {
				var d detection
				for b.Loop() {
					d = detect(f, 20, 10, false, use)
				}
				b.ReportMetric(d.p99, "detect-ms")
				b.ReportMetric(float64(d.undetected), "undetected")
				b.ReportMetric(float64(d.false), "false-ejections")
			})
		}
	}
}
