package membership_test

import (
	"fmt"
	"runtime"
	"sort"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/membership"
)

// BenchmarkMembership measures a fleet without failures and the detection of
// single dead nodes. bytes-per-second and cpu-percent are per node. detect-ms
// and detect-worst-ms are the median and the maximum, over the stopped nodes,
// of the time until the last node declares the stopped one dead.
func BenchmarkMembership(b *testing.B) {
	for _, size := range []int{10, 40, 160, 640, 1600} {
		b.Run(fmt.Sprintf("all/nodes=%d", size), func(b *testing.B) { benchmarkFleet(b, size, 4, true) })
	}
	for _, size := range []int{40, 160, 640, 1600} {
		// Fleets of 640 nodes or more have data centres of 160 nodes, about the
		// planned size.
		b.Run(fmt.Sprintf("relays/nodes=%d", size), func(b *testing.B) { benchmarkFleet(b, size, max(4, size/160), false) })
	}
	for _, size := range []int{10, 40, 160, 640} {
		b.Run(fmt.Sprintf("naive/nodes=%d", size), func(b *testing.B) { benchmarkNaive(b, size) })
	}
}

func benchmarkFleet(b *testing.B, size, centres int, all bool) {
	const quiet = 10 * time.Second
	for b.Loop() {
		cfg := membership.DefaultConfig()
		cfg.ProbeAll = all
		n := newFleet(1, size, centres, cfg)
		n.run(10 * time.Second)
		sent := func() (bytes uint64) {
			for _, m := range n.order {
				bytes += m.machine.Stats().SentBytes
			}
			return bytes
		}
		before := sent()
		n.timed, n.busy = true, 0
		n.run(quiet)
		n.timed = false
		nodeSeconds := float64(size) * quiet.Seconds()
		b.ReportMetric(float64(sent()-before)/nodeSeconds, "bytes-per-second")
		b.ReportMetric(100*n.busy.Seconds()/nodeSeconds, "cpu-percent")

		// version-ms is the time until every node knows the bundle version of one
		// node.
		began := n.now
		n.step(n.order[size/2], membership.BundleActivated{Version: 9})
		if !n.runUntil(time.Minute, func() bool {
			for _, m := range n.order {
				// With relays, the bundle versions of nodes that are not relays are
				// disseminated only within their data centre.
				if known, _ := m.machine.Node(n.order[size/2].self.ID); known.BundleVersion != 9 &&
					(all || m.self.DataCentre == n.order[size/2].self.DataCentre) {
					return false
				}
			}
			return true
		}) {
			b.Error("the bundle version did not reach all nodes within 1 min")
		}
		b.ReportMetric(float64(n.now.Sub(began).Milliseconds()), "version-ms")

		var took []time.Duration
		kills := 7
		if size > 640 {
			kills = 3
		}
		for k := range kills {
			took = append(took, detect(b, n, n.order[(k*size)/kills]))
		}
		sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
		b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "detect-ms")
		b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "detect-worst-ms")
		bytes, exchange := heapPerNode(size)
		b.ReportMetric(bytes, "heap-bytes-per-node")
		b.ReportMetric(exchange, "sync-bytes-per-node")
	}
}

// detect stops a node, returns the time until all running nodes declare it
// dead, and starts it again.
func detect(b *testing.B, n *network, victim *member) time.Duration {
	began := n.now
	pending := make(map[*member]bool)
	for _, m := range n.order {
		if m != victim {
			pending[m] = true
		}
	}
	n.changed = func(at *member, changed fleet.Node) {
		if changed.ID != victim.self.ID {
			b.Errorf("%s changed the state of %s to %s", at.self.ID, changed.ID, changed.State)
		} else if changed.State == fleet.NodeDead {
			delete(pending, at)
		}
	}
	n.stop(victim)
	if !n.runUntil(time.Minute, func() bool { return len(pending) == 0 }) {
		b.Fatalf("%d nodes did not declare the stopped node dead within 1 min", len(pending))
	}
	took := n.now.Sub(began)
	n.changed = nil
	n.start(victim.self, n.order[0].self.PeerAddr, n.order[1].self.PeerAddr)
	n.run(20 * time.Second)
	return took
}

// heapPerNode returns the heap bytes that one machine needs for each known
// node, including copies of all strings, and the bytes of a node's record in a
// full-state exchange.
func heapPerNode(size int) (heap, exchange float64) {
	records := make([]*controlv1.Node, size)
	encoded := 0
	for i := range records {
		records[i] = membership.NodeToProto(node(i, 4))
		records[i].Incarnation = uint64(time.Unix(1_700_000_000, 0).UnixNano())
		for _, s := range []*string{&records[i].Id, &records[i].Region, &records[i].DataCentre, &records[i].PeerAddr, &records[i].CallerAddr, &records[i].OperatorAddr} {
			*s = strings.Clone(*s)
		}
		encoded += proto.Size(records[i])
	}
	m := membership.New(node(size, 4), membership.DefaultConfig(), 1)
	now := time.Unix(1_700_000_000, 0)
	m.Step(now, membership.Start{})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m.Step(now, membership.Merge{Nodes: records})
	m.Step(now, membership.Tick{}) // releases the actions of the merge
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(records)
	// The strings were allocated with the records, before the first
	// measurement, so their bytes are added here.
	content := 0
	for _, n := range m.Nodes() {
		content += len(n.ID) + len(n.Region) + len(n.DataCentre) + len(n.PeerAddr) + len(n.CallerAddr) + len(n.OperatorAddr)
	}
	return float64(int(after.HeapAlloc)-int(before.HeapAlloc)+content) / float64(size), float64(encoded) / float64(size)
}

// benchmarkNaive measures the baseline: every node pings every other node each
// second and declares it dead after one second without an ack.
func benchmarkNaive(b *testing.B, size int) {
	type view struct{ lastAck time.Time }
	const quiet = 5 * time.Second
	for b.Loop() {
		views := make([][]view, size)
		now := time.Unix(1_700_000_000, 0)
		for i := range views {
			views[i] = make([]view, size)
			for j := range views[i] {
				views[i][j].lastAck = now
			}
		}
		ping := &controlv1.Datagram{From: "node-0001", Incarnation: uint64(now.UnixNano()),
			Body: &controlv1.Datagram_Ping{Ping: &controlv1.Ping{Sequence: 1000, To: "node-0002"}}}
		ack := &controlv1.Datagram{From: "node-0001", Incarnation: uint64(now.UnixNano()),
			Body: &controlv1.Datagram_Ack{Ack: &controlv1.Ack{Sequence: 1000}}}
		var bytes uint64
		began := time.Now()
		for range int(quiet.Seconds()) {
			now = now.Add(time.Second)
			for i := range views {
				for j := range views[i] {
					if i != j {
						bytes += uint64(proto.Size(ping) + proto.Size(ack) + 2*60)
						views[i][j].lastAck = now
					}
				}
			}
		}
		nodeSeconds := float64(size) * quiet.Seconds()
		b.ReportMetric(float64(bytes)/nodeSeconds, "bytes-per-second")
		b.ReportMetric(100*time.Since(began).Seconds()/nodeSeconds, "cpu-percent")
		// Pings are sent each second. The last ack may precede the failure by up
		// to one second, and the node is declared dead one second after the next
		// ping.
		b.ReportMetric(2000, "detect-worst-ms")
	}
}
