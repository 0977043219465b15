package main

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
)

func TestMeasure(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "measure")
}

const output = `goos: linux
pkg: siskinvale.dev/siskinvale/internal/pathbench
BenchmarkPathOverhead/forwarded-10         	       1	10000000000 ns/op	         0.350 added-p50-ms	         2.5 added-p99-ms
BenchmarkPathOverhead/local-10             	       1	10000000000 ns/op	         0.200 added-p50-ms
PASS
ok  	siskinvale.dev/siskinvale/internal/pathbench	12.1s
--- FAIL: BenchmarkDetection/flapping-10
pkg: siskinvale.dev/siskinvale/internal/health
FAIL
exit status 1
FAIL	siskinvale.dev/siskinvale/internal/health	1.2s
pkg: siskinvale.dev/siskinvale/internal/routing
BenchmarkPick-10          	  200000	       123 ns/op	       0 B/op	       1 allocs/op
`

var now = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// Guards against a metric that is written without its bound, sub-benchmark or
// unit.
func TestDocument(t *testing.T) {
	results := parse(output, 10)
	for i := range results {
		results[i].benchtime = "1x"
	}
	goldie.New(t).Assert(t, "measurements", []byte(merge("", "Measured on 10 cores.\n", tables(results, now))))
}

var _ = Describe("merge", func() {
	// Guards against a run that deletes hand-written notes or the tables of
	// benchmarks that were not part of the run.
	It("replaces the tables of the run and keeps notes and all other tables", func() {
		first := merge("", "a\n", tables(parse(output, 10), now))
		noted := first + "\nA note with $1.\n"
		again := merge(noted, "b\n", tables([]result{{benchmark: "BenchmarkPick", metrics: []metric{{"ns/op", 5}}}}, now))
		Expect(again).To(ContainSubstring("A note with $1."))
		Expect(again).To(ContainSubstring("<!-- begin machine -->\nb\n<!-- end machine -->"))
		Expect(again).To(ContainSubstring("| forwarded | added-p99-ms | 2.5 | at most 2 | missed |"))
		Expect(again).To(ContainSubstring("| - | ns/op | 5 | at most 1000 | met |"))
		Expect(again).NotTo(ContainSubstring("| - | ns/op | 123 |"))
	})
})
