package main

import (
	"fmt"
	"path"
	"strconv"
)

// bound is one of the project's own bounds, from the table in section 1 of the
// design page.
type bound struct {
	benchmark string
	unit      string // pattern of path.Match
	limit     float64
	least     bool // the figure must be at least the limit instead of at most
}

// The first bound that matches a figure applies.
var bounds = []bound{
	{benchmark: "BenchmarkPathOverhead", unit: "added-p50-ms", limit: 0.4},
	{benchmark: "BenchmarkPathOverhead", unit: "added-p99-ms", limit: 2},
	{benchmark: "BenchmarkDetection", unit: "*false*", limit: 0},
	{benchmark: "BenchmarkDetection", unit: "*-ms", limit: 1500},
	{benchmark: "BenchmarkDetection", unit: "*-s", limit: 1.5},
	{benchmark: "BenchmarkSurge", unit: "useful*%*", limit: 95, least: true},
	{benchmark: "BenchmarkSurge", unit: "useful*", limit: 0.95, least: true},
	{benchmark: "BenchmarkHeadOfLine", unit: "*ratio*", limit: 1.5},
	{benchmark: "BenchmarkRollout", unit: "*unreachable*-ms", limit: 5000},
	{benchmark: "BenchmarkRollout", unit: "*-ms", limit: 2000},
	{benchmark: "BenchmarkRollout", unit: "*-s", limit: 2},
	{benchmark: "BenchmarkMembership", unit: "*dead*-ms", limit: 2000},
	{benchmark: "BenchmarkMembership", unit: "*dead*-s", limit: 2},
	{benchmark: "BenchmarkPick", unit: "ns/op", limit: 1000},
	{benchmark: "BenchmarkPick", unit: "allocs/op", limit: 0},
}

// judge returns the bound of a figure and whether it is met, or two dashes.
func judge(benchmark string, m metric) (limit, verdict string) {
	for _, b := range bounds {
		if matched, _ := path.Match(b.unit, m.unit); !matched || b.benchmark != benchmark {
			continue
		}
		word, met := "at most", m.value <= b.limit
		if b.least {
			word, met = "at least", m.value >= b.limit
		}
		verdict = "missed"
		if met {
			verdict = "met"
		}
		return fmt.Sprintf("%s %s", word, number(b.limit)), verdict
	}
	return "-", "-"
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }
