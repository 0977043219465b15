package main

import (
	"fmt"
	"path"
	"strconv"
)

// bound is a performance bound from the table in section 1 of the design page.
// Metrics for which that table states no bound, such as those of the naive
// baseline, have none.
type bound struct {
	benchmark string
	name      string // path.Match pattern for the sub-benchmark; empty matches all
	unit      string
	limit     float64
	atLeast   bool // limit is a minimum instead of a maximum
}

// bounds lists all bounds. The first one that matches a metric applies.
var bounds = []bound{
	{benchmark: "BenchmarkPathOverhead", unit: "added-p50-ms", limit: 0.4},
	{benchmark: "BenchmarkPathOverhead", unit: "added-p99-ms", limit: 2},
	{benchmark: "BenchmarkDetection", unit: "false-ejections", limit: 0},
	// The design page bounds the detection time of a stalled target only, not
	// that of other faults.
	{benchmark: "BenchmarkDetection", name: "stall/*/*", unit: "detect-ms", limit: 1500},
	{benchmark: "BenchmarkSurge", unit: "goodput-ratio", limit: 0.95, atLeast: true},
	// 1 s is the deadline of the interactive class in this benchmark.
	{benchmark: "BenchmarkSurge", unit: "interactive-p99-ms", limit: 1000},
	{benchmark: "BenchmarkHeadOfLine", unit: "short-ratio", limit: 1.5},
	{benchmark: "BenchmarkRollout", name: "nodes=*", unit: "in-force-ms", limit: 2000},
	{benchmark: "BenchmarkMembership", name: "all/*", unit: "detect-worst-ms", limit: 2000},
	{benchmark: "BenchmarkPick", unit: "ns/op", limit: 1000},
	{benchmark: "BenchmarkPick", unit: "allocs/op", limit: 0},
}

func (b bound) matches(r result, m metric) bool {
	nameMatches := b.name == ""
	if !nameMatches {
		nameMatches, _ = path.Match(b.name, r.name)
	}
	return nameMatches && b.benchmark == r.benchmark && b.unit == m.unit
}

// compareWithBound returns the bound of a metric and "met" or "missed", or "-"
// for both if the metric has no bound.
func compareWithBound(r result, m metric) (limit, verdict string) {
	for _, b := range bounds {
		if !b.matches(r, m) {
			continue
		}
		comparison, met := "at most", m.value <= b.limit
		if b.atLeast {
			comparison, met = "at least", m.value >= b.limit
		}
		verdict = "missed"
		if met {
			verdict = "met"
		}
		return fmt.Sprintf("%s %s", comparison, formatNumber(b.limit)), verdict
	}
	return "-", "-"
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }
