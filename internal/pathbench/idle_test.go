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

// idleTime is the length of the measurement, and of the wait before it.
const idleTime = 10 * time.Second

// BenchmarkIdleFleet measures the cost of the control traffic on nodes that
// serve no calls: processor time, resident memory, and UDP traffic including
// its headers, each as the average over all nodes. Several fleet sizes show how
// the cost grows with the number of nodes.
func BenchmarkIdleFleet(b *testing.B) {
	for _, size := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			f := processtest.Start(b, processtest.Config{
				DataCentres: 4, NodesPerDataCentre: size / 4, Bundle: "examples/magnolia.yaml", LogLevel: "error",
			})
			// In the first seconds, the ranges of the services are rebalanced
			// to even shares.
			time.Sleep(idleTime)
			for range b.N {
				before := totals(b, f.Nodes)
				start := time.Now()
				time.Sleep(idleTime)
				after := totals(b, f.Nodes)
				perNodeRate := func(name string) float64 {
					return (after[name] - before[name]) / float64(size) / time.Since(start).Seconds()
				}
				b.ReportMetric(100*perNodeRate("process_cpu_seconds_total"), "cpu-percent")
				b.ReportMetric(after["process_resident_memory_bytes"]/float64(size)/(1<<20), "resident-MB")
				b.ReportMetric(perNodeRate("siskinvale_udp_sent_bytes"), "udp-sent-bytes-per-second")
				b.ReportMetric(perNodeRate("siskinvale_udp_received_bytes"), "udp-received-bytes-per-second")
			}
		})
	}
}

// totals returns the sum over all nodes of each metric that has no labels.
func totals(b *testing.B, nodes []*processtest.Node) map[string]float64 {
	sums := make(map[string]float64)
	for _, n := range nodes {
		answer, err := http.Get("http://" + n.OperatorsAddress + "/metrics")
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
