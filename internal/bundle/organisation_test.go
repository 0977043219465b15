package bundle

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/fleet"
)

var _ = Describe("Organisations", func() {
	rank := fleet.Rank(2)
	b := NewHostRouted("test", 1, nil, nil, []NamedLimit{
		{Name: "clinic", Keys: []KeyHash{HashKey("one"), HashKey("two")}, Quota: Quota{RequestsPerSecond: 5, Burst: 10}, Rank: &rank},
		{Name: "shop"},
	})

	// Guards against a key that is taken for that of another organisation, and
	// against an organisation that all requests without a key belong to.
	It("are found by each of their keys and by no other", func() {
		Expect(b.Organisation("one").Name).To(Equal("clinic"))
		Expect(b.Organisation("two").Name).To(Equal("clinic"))
		for _, key := range []string{"", "on", "one ", "ONE", "clinic", "shop"} {
			Expect(b.Organisation(key)).To(BeNil(), "%q", key)
		}
		Expect(b.Quota("clinic")).To(Equal(Quota{RequestsPerSecond: 5, Burst: 10}))
		Expect(b.Quota("shop")).To(BeZero())
		Expect(b.Quota("nobody")).To(BeZero())
	})

	// Guards against keys that can be read from logs or from error messages.
	It("do not show a key that was written instead of its hash", func() {
		var h KeyHash
		err := h.UnmarshalText([]byte("secret-key"))
		Expect(err).To(HaveOccurred())
		Expect(err.Error()).NotTo(ContainSubstring("secret"))
		Expect(HashKey("secret-key").String()).To(HaveLen(8))
	})

	example := func(organisations string) (*Bundle, []Finding) {
		content := string(readFile(examples[0]))
		at := strings.Index(content, "\n  named:")
		Expect(at).To(BeNumerically(">", 0))
		return Parse("bundle.yaml", []byte(content[:at]+"\n  requireKeys: true\n  named:\n"+organisations))
	}
	const limit = "      requestsPerSecond: 10\n      burst: 20\n      weight: 1\n"

	// Guards against bundles in which it depends on chance whose request it is,
	// and against quotas that reject all requests.
	DescribeTable("are checked", func(organisations, message string) {
		_, findings := example(organisations)
		Expect(findings).To(HaveLen(1))
		Expect(findings[0].Message).To(ContainSubstring(message))
		Expect(findings[0].Line).To(BeNumerically(">", 0))
	},
		Entry("one key twice", fmt.Sprintf("    - name: a\n%s      keys: [%064x]\n    - name: b\n%s      keys: [%064x]\n", limit, 7, limit, 7), `of tenant "a"`),
		Entry("a key in place of its hash", "    - name: a\n"+limit+"      keys: [secret]\n", "64 hexadecimal digits"),
		Entry("negative rate", "    - name: a\n"+limit+"      quota:\n        requestsPerSecond: -1\n        burst: 2\n", "must be above 0"),
		Entry("burst below one", "    - name: a\n"+limit+"      quota:\n        requestsPerSecond: 1\n        burst: 0.5\n", "at least 1"),
	)
})

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkOrganisation measures the lookup of an organisation among 250,000
// with 1,000,000 keys, and reports the memory of the index.
func BenchmarkOrganisation(b *testing.B) {
	const organisations, keysEach = 250_000, 4
	named := make([]NamedLimit, organisations)
	for i := range named {
		named[i].Name = fmt.Sprintf("organisation-%d", i)
		for k := range keysEach {
			named[i].Keys = append(named[i].Keys, HashKey(fmt.Sprintf("key-%d-%d", i, k)))
		}
	}
	before := heapBytes()
	bundle := NewHostRouted("bench", 1, nil, nil, named)
	indexBytes := heapBytes() - before
	b.ReportAllocs()
	for b.Loop() {
		if bundle.Organisation("key-123456-2") == nil {
			b.Fatal("not found")
		}
	}
	b.ReportMetric(float64(indexBytes)/(organisations*keysEach), "index-bytes/key")
}
