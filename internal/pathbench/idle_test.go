package pathbench

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"siskinvale.dev/siskinvale/internal/processtest"
)

// idleFor is how long an idle fleet is observed. The figures are averages over
// all nodes.
const idleFor = 10 * time.Second

// BenchmarkIdleFleet measures what control costs a node that serves nobody, at
// several sizes, so that a slope can be read: processor time, resident memory
// and UDP traffic with its headers.
func BenchmarkIdleFleet(b *testing.B) {
	for _, size := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			f := processtest.Start(b, processtest.Config{
				DataCentres: 4, NodesPerDataCentre: size / 4, Bundle: "examples/magnolia.yaml", LogLevel: "error",
			})
			// The ranges of the services move to even shares in the first seconds.
			time.Sleep(idleFor)
			for range b.N {
				before := totals(b, f.Nodes)
				start := time.Now()
				time.Sleep(idleFor)
				after := totals(b, f.Nodes)
				perNode := func(name string) float64 {
					return (after[name] - before[name]) / float64(size) / time.Since(start).Seconds()
				}
				b.ReportMetric(100*perNode("process_cpu_seconds_total"), "cpu-percent")
				b.ReportMetric(after["process_resident_memory_bytes"]/float64(size)/(1<<20), "resident-MB")
				b.ReportMetric(perNode("siskinvale_udp_sent_bytes"), "udp-sent-bytes-per-second")
				b.ReportMetric(perNode("siskinvale_udp_received_bytes"), "udp-received-bytes-per-second")
			}
		})
	}
}

// totals sums each metric without labels over all nodes.
func totals(b *testing.B, nodes []*processtest.Node) map[string]float64 {
	sums := make(map[string]float64)
	for _, n := range nodes {
		answer, err := http.Get("http://" + n.Operators + "/metrics")
		if err != nil {
			b.Fatal(err)
		}
		for lines := bufio.NewScanner(answer.Body); lines.Scan(); {
			name, text, ok := strings.Cut(lines.Text(), " ")
			if value, err := strconv.ParseFloat(text, 64); ok && err == nil {
				sums[name] += value
			}
		}
		answer.Body.Close()
	}
	return sums
}
