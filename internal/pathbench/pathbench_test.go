package pathbench

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"siskinvale.dev/siskinvale/internal/load"
	"siskinvale.dev/siskinvale/internal/processtest"
)

const (
	// callsPerSecond is the rate through one node for which the design page
	// states the latency bound. Direct calls have the same rate.
	callsPerSecond = 300
	// measureTime is long enough for 3,000 calls of each kind, of which 30 are
	// above the 99th percentile.
	measureTime = 10 * time.Second
	// warmUpTime is the length of the warm-up, in which connections are opened,
	// caches are filled and the slow start of the target makes progress.
	warmUpTime = 2 * time.Second
	// shortRunTime is the run time of a call at the target. It is small, so
	// that its jitter does not hide the added latency.
	shortRunTime = time.Microsecond
	// mallocsMetric is the name of the node's metric that counts heap
	// allocations.
	mallocsMetric = "go_memstats_mallocs_total"
)

func TestMain(m *testing.M) {
	code := m.Run()
	processtest.RemoveBinaries()
	os.Exit(code)
}

// BenchmarkPathOverhead compares direct calls to a target with calls to the
// same target through the fleet. Both kinds alternate within one run. In
// "forwarded", calls pass the ingress of one node and the sidecar of another;
// in "local", they pass one node.
func BenchmarkPathOverhead(b *testing.B) {
	for _, binary := range []string{processtest.NodeBinary, processtest.ControlBinary} {
		if !processtest.CommandExists(binary) {
			b.Skipf("cmd/%s does not exist", binary)
		}
	}
	b.Run("forwarded", func(b *testing.B) { overhead(b, 2) })
	b.Run("local", func(b *testing.B) { overhead(b, 1) })
}

func overhead(b *testing.B, nodes int) {
	f := processtest.Start(b, processtest.Config{
		NodesPerDataCentre: nodes, Bundle: "examples/magnolia.yaml", TargetsOnLastNodeOnly: true, ShortRunTime: shortRunTime, LogLevel: "warn",
	})
	kind, ok := f.FindKind(func(k processtest.Kind) bool { return !k.Keyed && !k.Long })
	if !ok {
		b.Fatal("the bundle has no short idempotent class without idempotency keys")
	}
	var target *processtest.Target
	for _, t := range f.Targets {
		if t.Service == kind.Service {
			target = t
		}
	}
	direct, through := load.NewCaller("counter-app", 2*time.Second), load.NewCaller("counter-app", 2*time.Second)
	direct.Direct = true
	defer direct.Close()
	defer through.Close()
	call := func(_ context.Context, n int) load.Sample {
		caller, url, name := direct, target.URL, "direct"
		if n%2 == 1 {
			caller, url, name = through, f.Nodes[0].URL, "through"
		}
		request := kind.Request(n)
		request.Kind = name
		return caller.Do(context.Background(), request, 0, url).Sample()
	}
	load.OpenPrecise(context.Background(), 2*callsPerSecond, warmUpTime, call)
	before := allocations(f.Nodes)
	b.ResetTimer()
	for range b.N {
		report := load.OpenPrecise(context.Background(), 2*callsPerSecond, measureTime, call)
		d, t := report.Kind("direct"), report.Kind("through")
		if unanswered := d.Calls - d.Answered + t.Calls - t.Answered; unanswered > 0 {
			b.Errorf("%d calls were not answered; first errors: %v, %v", unanswered, d.FirstError, t.FirstError)
		}
		ms := func(k *load.Kind, p float64) float64 { return float64(k.Percentile(p).Microseconds()) / 1000 }
		b.ReportMetric(ms(d, 50), "direct-p50-ms")
		b.ReportMetric(ms(d, 99), "direct-p99-ms")
		b.ReportMetric(ms(t, 50)-ms(d, 50), "added-p50-ms")
		b.ReportMetric(ms(t, 99)-ms(d, 99), "added-p99-ms")
	}
	b.StopTimer()
	if before > 0 {
		calls := float64(b.N) * callsPerSecond * measureTime.Seconds()
		b.ReportMetric((allocations(f.Nodes)-before)/calls, "allocs/request")
	}
}

// allocations returns the sum of the heap allocations of all nodes, including
// those of background tasks, or 0 if the nodes do not report the counter.
func allocations(nodes []*processtest.Node) (sum float64) {
	for _, n := range nodes {
		answer, err := http.Get("http://" + n.OperatorsAddress + "/metrics")
		if err != nil {
			return 0
		}
		for lines := bufio.NewScanner(answer.Body); lines.Scan(); {
			if value, ok := strings.CutPrefix(lines.Text(), mallocsMetric+" "); ok {
				count, _ := strconv.ParseFloat(value, 64)
				sum += count
			}
		}
		answer.Body.Close()
	}
	return sum
}
