package bundle

import (
	"bytes"
	"fmt"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("IncrementalParser", func() {
	// Guards against a document that has another meaning when it is split into
	// services than as a whole. Nodes whose parsers had parsed different earlier
	// versions would then have different configurations in force.
	It("gives the result of parsing the whole document for any sequence of versions", func() {
		sources := [][]byte{readFile(examples[0]), readFile(examples[1]), generateBundle(5, 3)}
		oddLine := rapid.SampledFrom([]string{
			"", "# it's a comment", "  # [", "services:", "services: []", "  - name: x", "- name: x", "    floor: 1", "    name: \"a", "  b\"",
			"      - {name: x,", "      }", "    name: |", "  - {", "---", "...", "    routes: [", "    ]", "  x", "\tx", "    name: 'it''s'", " - a",
			"name: other", "      # - name: y", "    name: a # b\"", "    name: >-", "? x", "    name: &a x", "    name: *a", "tenants:", "  name: a: b", "  -", "-",
		})
		splitVersions := 0
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			lines := slices.Clone(bytes.SplitAfter(rapid.SampledFrom(sources).Draw(t, "source"), []byte("\n")))
			p := new(IncrementalParser)
			for range rapid.IntRange(1, 4).Draw(t, "versions") {
				at := rapid.IntRange(0, len(lines)-1).Draw(t, "line")
				switch rapid.IntRange(0, 4).Draw(t, "edit") {
				case 0:
					lines[at] = bytes.Replace(lines[at], []byte("deadline: 5s"), []byte("deadline: 6s"), 1)
				case 1:
					lines = slices.Insert(lines, at, []byte(oddLine.Draw(t, "odd")+"\n"))
				case 2:
					lines = slices.Delete(lines, at, at+1)
					lines = append(lines, nil)
				case 3:
					end := min(len(lines), at+rapid.IntRange(1, 40).Draw(t, "moved"))
					moved := slices.Clone(lines[at:end])
					lines = slices.Insert(slices.Delete(lines, at, end), rapid.IntRange(0, at).Draw(t, "to"), moved...)
				}
				content := bytes.Join(lines, nil)
				want, wantFindings := parseDocument("f", content)
				got, findings := p.Parse("f", content)
				if !reflect.DeepEqual(findings, wantFindings) {
					t.Fatalf("findings %v, want %v\n%s", findings, wantFindings, content)
				}
				if !reflect.DeepEqual(got, want) {
					t.Fatalf("%v\n%s", Diff(want, got), content)
				}
				if got != nil && len(p.services) > 0 {
					splitVersions++
				}
			}
		})
		Expect(splitVersions).To(BeNumerically(">", 20), "versions that were split into services")
	})

	// Guards against examples that can be parsed only as a whole: operators copy
	// them, and their bundles would then be parsed slowly.
	It("splits the examples into services", func() {
		for _, file := range examples {
			p := new(IncrementalParser)
			p.Parse(file, readFile(file))
			Expect(p.services).To(HaveLen(2))
		}
	})

	It("splits a large bundle into services and parses only changed services again", func() {
		content := generateBundle(100, 15)
		p := new(IncrementalParser)
		before, _ := p.Parse("f", content)
		Expect(p.services).To(HaveLen(100))
		after, findings := p.Parse("f", bytes.Replace(content, []byte("floor: 12"), []byte("floor: 13"), 1))
		Expect(findings).To(BeEmpty())
		Expect(Diff(before, after)).To(Equal([]Change{{Path: "services[service-0].floor", Old: "12", New: "13"}}))
		Expect(after.Service("service-1")).To(BeIdenticalTo(before.Service("service-1")))
	})
})

// withChangedService returns a bundle with 1,200 services and 18,000 routes in
// which the number of slots of service n%1200 differs.
func withChangedService(n int) []byte {
	text := string(generateBundle(1200, 15))
	name := fmt.Sprintf("name: service-%d\n    slots: 4", n%1200)
	return []byte(strings.Replace(text, name, fmt.Sprintf("name: service-%d\n    slots: %d", n%1200, 5+n/1200), 1))
}

// BenchmarkReader measures parsing a version in which two of 1,200 services
// differ from the previous version: the service whose slots changed, and the
// service whose slots changed back. The first iteration parses only the former.
func BenchmarkReader(b *testing.B) {
	p := new(IncrementalParser)
	if bundle, findings := p.Parse("f", generateBundle(1200, 15)); bundle == nil {
		b.Fatal(findings)
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		b.StopTimer()
		n++
		content := withChangedService(n % 1200)
		b.StartTimer()
		if bundle, findings := p.Parse("f", content); bundle == nil {
			b.Fatal(findings)
		}
	}
}

// BenchmarkRetained reports the memory that an IncrementalParser and its bundle
// with 18,000 routes retain.
func BenchmarkRetained(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		p := new(IncrementalParser)
		bundle, _ := p.Parse("f", generateBundle(1200, 15))
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(bundle)
		runtime.KeepAlive(p)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB-retained")
}
