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

var _ = Describe("Reader", func() {
	// Guards against a document that means something else when it is cut into
	// services than as a whole. Nodes that read different versions before would
	// then disagree.
	It("gives the result of parsing the whole document for any sequence of versions", func() {
		sources := [][]byte{read(examples[0]), read(examples[1]), planned(5, 3)}
		odd := rapid.SampledFrom([]string{
			"", "# it's a comment", "  # [", "services:", "services: []", "  - name: x", "- name: x", "    floor: 1", "    name: \"a", "  b\"",
			"      - {name: x,", "      }", "    name: |", "  - {", "---", "...", "    routes: [", "    ]", "  x", "\tx", "    name: 'it''s'", " - a",
			"name: other", "      # - name: y", "    name: a # b\"", "    name: >-", "? x", "    name: &a x", "    name: *a", "tenants:", "  name: a: b", "  -", "-",
		})
		cut := 0
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			lines := slices.Clone(bytes.SplitAfter(rapid.SampledFrom(sources).Draw(t, "source"), []byte("\n")))
			r := new(Reader)
			for range rapid.IntRange(1, 4).Draw(t, "versions") {
				at := rapid.IntRange(0, len(lines)-1).Draw(t, "line")
				switch rapid.IntRange(0, 4).Draw(t, "edit") {
				case 0:
					lines[at] = bytes.Replace(lines[at], []byte("deadline: 5s"), []byte("deadline: 6s"), 1)
				case 1:
					lines = slices.Insert(lines, at, []byte(odd.Draw(t, "odd")+"\n"))
				case 2:
					lines = slices.Delete(lines, at, at+1)
					lines = append(lines, nil)
				case 3:
					end := min(len(lines), at+rapid.IntRange(1, 40).Draw(t, "moved"))
					moved := slices.Clone(lines[at:end])
					lines = slices.Insert(slices.Delete(lines, at, end), rapid.IntRange(0, at).Draw(t, "to"), moved...)
				}
				content := bytes.Join(lines, nil)
				want, wantFindings := parseWhole("f", content)
				got, findings := r.Parse("f", content)
				if !reflect.DeepEqual(findings, wantFindings) {
					t.Fatalf("findings %v, want %v\n%s", findings, wantFindings, content)
				}
				if !reflect.DeepEqual(got, want) {
					t.Fatalf("%v\n%s", Diff(want, got), content)
				}
				if got != nil && len(r.services) > 0 {
					cut++
				}
			}
		})
		Expect(cut).To(BeNumerically(">", 20), "versions that were cut")
	})

	// Guards against examples that operators copy and that are parsed slowly.
	It("cuts the examples", func() {
		for _, file := range examples {
			r := new(Reader)
			r.Parse(file, read(file))
			Expect(r.services).To(HaveLen(2))
		}
	})

	It("cuts bundles of the planned size, and parses only changed services again", func() {
		content := planned(100, 15)
		r := new(Reader)
		before, _ := r.Parse("f", content)
		Expect(r.services).To(HaveLen(100))
		after, findings := r.Parse("f", bytes.Replace(content, []byte("floor: 12"), []byte("floor: 13"), 1))
		Expect(findings).To(BeEmpty())
		Expect(Diff(before, after)).To(Equal([]Change{{Path: "services[service-0].floor", Old: "12", New: "13"}}))
		Expect(after.Service("service-1")).To(BeIdenticalTo(before.Service("service-1")))
	})
})

// changed returns a bundle of the planned size whose service number n differs.
func changed(n int) []byte {
	text := string(planned(1200, 15))
	name := fmt.Sprintf("name: service-%d\n    slots: 4", n%1200)
	return []byte(strings.Replace(text, name, fmt.Sprintf("name: service-%d\n    slots: %d", n%1200, 5+n/1200), 1))
}

// BenchmarkReader parses a version that changes one of 1,200 services.
func BenchmarkReader(b *testing.B) {
	r := new(Reader)
	if bundle, findings := r.Parse("f", planned(1200, 15)); bundle == nil {
		b.Fatal(findings)
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		b.StopTimer()
		n++
		content := changed(n % 1200)
		b.StartTimer()
		if bundle, findings := r.Parse("f", content); bundle == nil {
			b.Fatal(findings)
		}
	}
}

// BenchmarkRetained reports the memory that a Reader and its bundle of the
// planned size keep.
func BenchmarkRetained(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := new(Reader)
		bundle, _ := r.Parse("f", planned(1200, 15))
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(bundle)
		runtime.KeepAlive(r)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB-retained")
}
