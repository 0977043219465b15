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
	{"stall", func(s *scenario) { s.stallFraction = 1 }},
	{"stall-30%", func(s *scenario) { s.stallFraction = 0.3 }},
	{"slow-5x", func(s *scenario) { s.slowFactor = 5 }},
	{"flap-1s", func(s *scenario) { s.stallFraction, s.flapPeriod = 1, time.Second }},
	{"flap-3s", func(s *scenario) { s.stallFraction, s.flapPeriod = 1, 3*time.Second }},
	{"flap-10s", func(s *scenario) { s.stallFraction, s.flapPeriod = 1, 10*time.Second }},
	{"errors-5%", func(s *scenario) { s.errorFraction = 0.05 }},
	{"errors-20%", func(s *scenario) { s.errorFraction = 0.2 }},
	{"errors-100%", func(s *scenario) { s.errorFraction = 1 }},
	{"cut", func(s *scenario) { s.pathCut = true }},
}

// healthy returns scenario number i of a service without a faulty target.
func healthy(i int) scenario {
	s := scenario{targets: 10 + 10*(i%2), seed: uint64(i), rate: 20}
	switch i / 2 % 10 {
	case 0: // steady
	case 1, 2:
		s.surge = true
	case 3:
		s.allSlowFactor = 5
	case 4:
		s.allSlowFactor, s.surge = 3, true
	case 5:
		s.allErrorFraction = 0.3
	case 6:
		s.allStallTime = 1500 * time.Millisecond
	case 7:
		s.unevenSpeed, s.surge = true, true
	case 8:
		s.longRequests, s.rate = true, 12
	case 9:
		s.rate = 2
	}
	return s
}

// runAll runs n scenarios on a few goroutines and returns their results in
// order.
func runAll(n int, scenarioOf func(i int) scenario) []result {
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
	undetected int     // runs that did not detect the fault
	false      int
}

// detect runs the fault f with the given number of seeds. change adapts each
// scenario.
func detect(f fault, targets, seeds int, surge bool, change func(*scenario)) detection {
	h, d := hdrhistogram.New(1, 60_000, 3), detection{}
	for _, r := range runAll(seeds, func(i int) scenario {
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

// falseEjections runs healthy scenarios, adapted by change, and returns the
// number of ejections in them and their reasons.
func falseEjections(runs int, change func(*scenario)) (n int, reasons []string) {
	for i, r := range runAll(runs, func(i int) scenario {
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

// detectionBound is the bound on the detection time of a stall, in ms.
const detectionBound, healthyRuns = 1500, 1000

// BenchmarkDetection reports the time from the start of a fault to the ejection
// or avoidance of the target, as percentiles over 30 seeds, and the number of
// false ejections in 1,000 healthy runs. It reports the same for the naive
// baseline.
func BenchmarkDetection(b *testing.B) {
	unchanged := func(*scenario) {}
	useNaive := func(s *scenario) { s.naive = true }
	for _, f := range faults {
		for _, targets := range []int{10, 20} {
			for _, surge := range []bool{false, true} {
				b.Run(fmt.Sprintf("%s/targets=%d/surge=%t", f.name, targets, surge), func(b *testing.B) {
					var monitored, baseline detection
					for b.Loop() {
						monitored, baseline = detect(f, targets, 30, surge, unchanged), detect(f, targets, 30, surge, useNaive)
					}
					b.ReportMetric(monitored.p50, "detect-p50-ms")
					b.ReportMetric(monitored.p99, "detect-ms")
					b.ReportMetric(baseline.p99, "naive-detect-ms")
					b.ReportMetric(float64(monitored.undetected), "undetected")
					b.ReportMetric(float64(baseline.undetected), "naive-undetected")
					b.ReportMetric(float64(monitored.false), "false-ejections")
					b.ReportMetric(float64(baseline.false), "naive-false-ejections")
					if f.name == "stall" && (monitored.p99 > detectionBound || monitored.undetected > 0) {
						b.Logf("missed: detection within %d ms", detectionBound)
					}
				})
			}
		}
	}
	b.Run("healthy", func(b *testing.B) {
		var monitored, baseline int
		var reasons []string
		for b.Loop() {
			monitored, reasons = falseEjections(healthyRuns, unchanged)
			baseline, _ = falseEjections(healthyRuns, useNaive)
		}
		b.ReportMetric(float64(monitored), "false-ejections")
		b.ReportMetric(float64(baseline), "naive-false-ejections")
		if monitored > 0 {
			b.Logf("missed: no false ejection; first ones: %s", strings.Join(reasons[:min(len(reasons), 20)], "\n"))
		}
	})
}

// BenchmarkDetectors compares each detector on its own with both together,
// which are the default.
func BenchmarkDetectors(b *testing.B) {
	for name, detectors := range map[string][]health.Detector{"age": {health.StallDetector{}}, "success-rate": {health.ErrorRateDetector{}}, "both": {health.StallDetector{}, health.ErrorRateDetector{}}} {
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
