package replay_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/hedge/replay"
)

func TestReplay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hedge replay")
}

var _ = Describe("Replay", func() {
	// Guards against copies that do not shorten the slowest answers, that exceed
	// the limit, or that slow a service at its capacity; and against a design
	// note whose figures are not those of the code.
	It("gives the table of the design note", func() {
		var table strings.Builder
		for _, load := range []float64{0.5, 0.8, 0.95, 1.1} {
			results := make(map[replay.Policy]*replay.Result)
			for _, p := range []replay.Policy{replay.Off, replay.Fixed, replay.Quantile} {
				results[p] = replay.Play(p, load)
				table.WriteString(results[p].Row(load, p))
			}
			off, quantile := results[replay.Off], results[replay.Quantile]
			Expect(float64(quantile.Copies)).To(BeNumerically("<=", replay.Ratio*replay.Requests*replay.Traces))
			Expect(quantile.Percentile(0.99)).To(BeNumerically("<=", off.Percentile(0.99)*101/100), "load %v", load)
			Expect(float64(quantile.InTime)).To(BeNumerically(">=", 0.999*float64(off.InTime)), "load %v", load)
			if load <= 0.8 {
				Expect(quantile.Percentile(0.999)).To(BeNumerically("<", off.Percentile(0.999)), "load %v", load)
			}
		}
		GinkgoWriter.Print(table.String())
		note, err := os.ReadFile("../../../docs/design/hedging.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(note)).To(ContainSubstring(table.String()))
	})
})
