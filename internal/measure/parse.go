package main

import (
	"fmt"
	"strconv"
	"strings"
)

// result is the outcome of one benchmark or sub-benchmark: a line of benchmark
// output or a failure.
type result struct {
	pkg       string
	benchmark string // name of the top-level benchmark
	name      string // sub-benchmark, empty for the top-level benchmark
	benchtime string
	metrics   []metric
	failed    bool
}

// metric is one value and its unit as reported by testing.B.
type metric struct {
	unit  string
	value float64
}

// parse returns the results in the output of go test -bench. procs is the value
// of GOMAXPROCS of the run, which the testing package appends to benchmark
// names unless it is 1.
func parse(output string, procs int) []result {
	var results []result
	pkg := ""
	suffix := ""
	if procs != 1 {
		suffix = fmt.Sprintf("-%d", procs)
	}
	for line := range strings.Lines(output) {
		fields := strings.Fields(line)
		switch {
		case len(fields) == 2 && fields[0] == "pkg:":
			pkg = fields[1]
		case len(fields) >= 3 && (fields[0] == "ok" || fields[0] == "FAIL"):
			// A failed benchmark can be printed before the "pkg:" line of its
			// package.
			for i := range results {
				if results[i].pkg == "" {
					results[i].pkg = fields[1]
				}
			}
			pkg = ""
		case len(fields) >= 3 && fields[0] == "---" && fields[1] == "FAIL:":
			name, sub, _ := strings.Cut(strings.TrimSuffix(fields[2], suffix), "/")
			results = append(results, result{pkg: pkg, benchmark: name, name: sub, failed: true})
		case len(fields) >= 4 && strings.HasPrefix(fields[0], "Benchmark"):
			if _, err := strconv.Atoi(fields[1]); err != nil {
				continue
			}
			name, sub, _ := strings.Cut(strings.TrimSuffix(fields[0], suffix), "/")
			results = append(results, result{pkg: pkg, benchmark: name, name: sub, metrics: parseMetrics(fields[2:])})
		}
	}
	return results
}

func parseMetrics(fields []string) []metric {
	var metrics []metric
	for i := 0; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			break
		}
		metrics = append(metrics, metric{unit: fields[i+1], value: value})
	}
	return metrics
}
