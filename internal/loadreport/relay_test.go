package loadreport_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/loadreport"
	"siskinvale.dev/siskinvale/internal/routing"
)

func TestLoadReport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Load reports")
}

const (
	tick = 50 * time.Millisecond
	// reportInterval is the time between two reports of a sidecar.
	reportInterval = 500 * time.Millisecond
	// freshness is the age beyond which routing does not use a reported load.
	freshness = routing.LoadMaxAge
)

// simNode is one node of a simulated fleet. Its sidecar has one target of the
// same name.
type simNode struct {
	node  fleet.Node
	relay *loadreport.Relay
	phase time.Duration
	down  bool
	// heard is the time of the newest report known about each target.
	heard map[fleet.TargetID]time.Time
	// sent and received count datagrams, one for each receiver and batch.
	sent, received int
}

// simFleet is a fleet in virtual time. A message arrives one tick after it was
// sent.
type simFleet struct {
	now     time.Time
	random  *rand.Rand
	nodes   []*simNode
	byID    map[fleet.NodeID]*simNode
	transit []simMessage
	// spread replaces the relays if set.
	spread func(f *simFleet, from *simNode)
}

type simMessage struct {
	to    *simNode
	stage loadreport.Stage
	batch []loadreport.Report
}

func newSimFleet(size, centres int) *simFleet {
	f := &simFleet{now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(1, uint64(size))), byID: make(map[fleet.NodeID]*simNode)}
	for i := range size {
		n := fleet.Node{ID: fleet.NodeID(fmt.Sprintf("node-%d", i)), DataCentre: fmt.Sprintf("dc-%d", i%centres)}
		s := &simNode{node: n, relay: loadreport.New(n, loadreport.DefaultConfig()), heard: make(map[fleet.TargetID]time.Time),
			phase: time.Duration(f.random.Int64N(int64(reportInterval/tick))) * tick}
		f.nodes, f.byID[n.ID] = append(f.nodes, s), s
	}
	for _, s := range f.nodes {
		for _, other := range f.nodes {
			s.relay.NodeChanged(other.node)
		}
	}
	return f
}

// run lets the fleet run for d.
func (f *simFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		transit := f.transit
		f.transit = nil
		for _, m := range transit {
			if m.to.down {
				continue
			}
			m.to.received++
			for _, r := range m.batch {
				if r.At.After(m.to.heard[r.Target]) {
					m.to.heard[r.Target] = r.At
				}
			}
			m.to.relay.Receive(m.stage, m.batch)
		}
		for _, s := range f.nodes {
			if s.down {
				continue
			}
			if due := f.now.Add(s.phase).Truncate(reportInterval).Equal(f.now.Add(s.phase)); due {
				f.report(s, false)
			}
			f.send(s, s.relay.Tick(f.now))
		}
	}
}

func (f *simFleet) report(s *simNode, urgent bool) {
	if f.spread != nil {
		f.spread(f, s)
		return
	}
	f.send(s, s.relay.Publish([]loadreport.Report{{Target: fleet.TargetID(s.node.ID), At: f.now, Urgent: urgent}}))
}

func (f *simFleet) send(from *simNode, sends []loadreport.Send) {
	for _, s := range sends {
		for _, to := range s.To {
			from.sent++
			f.transit = append(f.transit, simMessage{f.byID[to.ID], s.Stage, s.Reports})
		}
	}
}

// ages returns the ages of what all nodes know about targets in their own data
// centre and in others, in ascending order, over the next two seconds.
func (f *simFleet) ages() (own, other []time.Duration) {
	const samples = 8
	for range samples {
		f.run(2 * time.Second / samples)
		ownNow, otherNow := f.agesNow()
		own, other = append(own, ownNow...), append(other, otherNow...)
	}
	slices.Sort(own)
	slices.Sort(other)
	return own, other
}

func (f *simFleet) agesNow() (own, other []time.Duration) {
	for _, s := range f.nodes {
		for _, target := range f.nodes {
			if s == target || s.down || target.down {
				continue
			}
			age := f.now.Sub(s.heard[fleet.TargetID(target.node.ID)])
			if s.node.DataCentre == target.node.DataCentre {
				own = append(own, age)
			} else {
				other = append(other, age)
			}
		}
	}
	return own, other
}

// datagrams returns the mean and the highest number of datagrams that a node
// has sent and received.
func (f *simFleet) datagrams() (mean float64, most int) {
	for _, s := range f.nodes {
		mean += float64(s.sent+s.received) / float64(len(f.nodes))
		most = max(most, s.sent+s.received)
	}
	return mean, most
}

// randomReceivers is the earlier way of spreading loads: each report goes to at
// most 32 random nodes of the data centre, and every third one to at most 32
// random nodes of the fleet.
func randomReceivers() func(*simFleet, *simNode) {
	reports := make(map[fleet.NodeID]int)
	return func(f *simFleet, from *simNode) {
		reports[from.node.ID]++
		all := reports[from.node.ID]%3 == 0
		var to []fleet.Node
		for _, i := range f.random.Perm(len(f.nodes)) {
			n := f.nodes[i].node
			if n.ID != from.node.ID && (all || n.DataCentre == from.node.DataCentre) && len(to) < 32 {
				to = append(to, n)
			}
		}
		f.send(from, []loadreport.Send{{To: to, Stage: loadreport.Distributed,
			Reports: []loadreport.Report{{Target: fleet.TargetID(from.node.ID), At: f.now}}}})
	}
}

var _ = Describe("Load reports", func() {
	// Guards against knowledge that ages with the size of the fleet: with a
	// bounded number of random receivers, a node of a fleet of 232 hears of a
	// target in another data centre once in ten seconds.
	DescribeTable("keep the age of what a node knows independent of the size of the fleet",
		func(size, centres int) {
			f := newSimFleet(size, centres)
			f.run(10 * time.Second)
			own, other := f.ages()
			Expect(own[len(own)-1]).To(BeNumerically("<=", freshness))
			Expect(other[len(other)/2]).To(BeNumerically("<=", freshness))
			Expect(other[len(other)-1]).To(BeNumerically("<=", 2*freshness))
		},
		Entry("19 nodes", 19, 4),
		Entry("30 nodes", 30, 3),
		Entry("232 nodes", 232, 6),
		Entry("300 nodes", 300, 6),
	)

	It("need a quarter of the datagrams of random receivers in a fleet of 232, and age less", func() {
		f := newSimFleet(232, 6)
		f.run(10 * time.Second)
		mean, _ := f.datagrams()
		own, other := f.ages()
		older := newSimFleet(232, 6)
		older.spread = randomReceivers()
		older.run(10 * time.Second)
		olderMean, _ := older.datagrams()
		Expect(mean).To(BeNumerically("<", olderMean/4))
		olderOwn, olderOther := older.ages()
		Expect(own[len(own)*99/100]).To(BeNumerically("<=", olderOwn[len(olderOwn)*99/100]))
		Expect(other[len(other)/2]).To(BeNumerically("<", olderOther[len(olderOther)/2]))
	})

	It("tell the data centre of a changed standing sooner than of a load", func() {
		f := newSimFleet(60, 3)
		f.run(5 * time.Second)
		f.report(f.nodes[0], true)
		at := f.now
		f.run(loadreport.DefaultConfig().UrgentInterval + 3*tick)
		for _, s := range f.nodes {
			if s.node.DataCentre == f.nodes[0].node.DataCentre && s != f.nodes[0] {
				Expect(s.heard["node-0"]).To(BeTemporally(">=", at), string(s.node.ID))
			}
		}
	})

	It("still reach all nodes when one relay of each data centre stops without notice", func() {
		f := newSimFleet(60, 3)
		f.run(5 * time.Second)
		for centre := range 3 {
			f.relayOf(fmt.Sprintf("dc-%d", centre)).down = true
		}
		f.run(5 * time.Second)
		own, other := f.ages()
		Expect(own[len(own)-1]).To(BeNumerically("<=", freshness))
		Expect(other[len(other)-1]).To(BeNumerically("<=", 3*freshness))
	})

	It("move to other relays when membership reports that the relays are gone", func() {
		f := newSimFleet(60, 3)
		f.run(5 * time.Second)
		for range 2 {
			gone := f.relayOf("dc-1")
			gone.down = true
			record := gone.node
			record.State = fleet.NodeDead
			for _, s := range f.nodes {
				s.relay.NodeChanged(record)
			}
		}
		f.run(5 * time.Second)
		own, other := f.ages()
		Expect(own[len(own)-1]).To(BeNumerically("<=", freshness))
		Expect(other[len(other)-1]).To(BeNumerically("<=", 2*freshness))
	})

	It("are not passed on again after they were distributed", func() {
		f := newSimFleet(9, 3)
		s := f.relayOf("dc-0")
		s.relay.Receive(loadreport.Distributed, []loadreport.Report{{Target: "t", At: f.now}})
		Expect(s.relay.Tick(f.now.Add(time.Minute))).To(BeEmpty())
	})

	It("from another data centre go to the own data centre only", func() {
		f := newSimFleet(9, 3)
		s := f.relayOf("dc-0")
		s.relay.Receive(loadreport.BetweenCentres, []loadreport.Report{{Target: "t", At: f.now}})
		sends := s.relay.Tick(f.now.Add(time.Minute))
		Expect(sends).To(HaveLen(1))
		Expect(sends[0].Stage).To(Equal(loadreport.Distributed))
		Expect(sends[0].To).To(HaveLen(2))
		for _, n := range sends[0].To {
			Expect(n.DataCentre).To(Equal("dc-0"))
		}
	})

	It("of a target are replaced by newer ones, also if they arrive in another order", func() {
		f := newSimFleet(9, 3)
		s := f.relayOf("dc-0")
		newer := loadreport.Report{Target: "t", At: f.now.Add(time.Second)}
		s.relay.Receive(loadreport.FromSidecar, []loadreport.Report{newer})
		s.relay.Receive(loadreport.FromSidecar, []loadreport.Report{{Target: "t", At: f.now}})
		for _, send := range s.relay.Tick(f.now.Add(time.Minute)) {
			Expect(send.Reports).To(Equal([]loadreport.Report{newer}))
		}
	})

	It("forget the earlier data centre of a node that moved", func() {
		f := newSimFleet(4, 2)
		moved := f.nodes[1].node
		moved.DataCentre = "dc-0"
		f.nodes[0].relay.NodeChanged(moved)
		for range 3 {
			f.nodes[0].relay.Receive(loadreport.FromSidecar, []loadreport.Report{{Target: "t", At: f.now}})
			f.now = f.now.Add(time.Minute)
			for _, send := range f.nodes[0].relay.Tick(f.now) {
				if send.Stage == loadreport.BetweenCentres {
					Expect(send.To).To(HaveExactElements(f.nodes[3].node))
				}
			}
		}
	})

	It("have a fingerprint that changes with each version and start of the node", func() {
		target := fleet.Target{Incarnation: 1_700_000_000_000_000_000, Version: 1}
		seen := map[uint16]bool{loadreport.Fingerprint(target): true}
		for version := uint64(2); version <= 20; version++ {
			target.Version = version
			Expect(seen).NotTo(HaveKey(loadreport.Fingerprint(target)))
			seen[loadreport.Fingerprint(target)] = true
		}
		target.Version, target.Incarnation = 1, target.Incarnation+5_000_000_000
		Expect(seen).NotTo(HaveKey(loadreport.Fingerprint(target)))
	})
})

// relayOf returns the node that is first among the relays of a data centre, by
// what the other nodes of the data centre send to it.
func (f *simFleet) relayOf(centre string) *simNode {
	for _, s := range f.nodes {
		if s.node.DataCentre != centre || s.down {
			continue
		}
		for _, send := range s.relay.Publish([]loadreport.Report{{Target: "probe", At: time.Unix(0, 0)}}) {
			for _, to := range send.To {
				if relay := f.byID[to.ID]; !relay.down {
					return relay
				}
			}
		}
	}
	Fail("no relay in " + centre)
	return nil
}

// BenchmarkSpread compares the age of loads and the number of datagrams of the
// relays with those of random receivers.
func BenchmarkSpread(b *testing.B) {
	for _, way := range []string{"relays", "random"} {
		for _, size := range []int{30, 300, 3300} {
			b.Run(fmt.Sprintf("%s/nodes=%d", way, size), func(b *testing.B) {
				for range b.N {
					f := newSimFleet(size, max(size/165, 3))
					if way == "random" {
						f.spread = randomReceivers()
					}
					const length = 5 * time.Second
					f.run(length)
					mean, most := f.datagrams()
					own, other := f.ages()
					b.ReportMetric(float64(own[len(own)/2].Milliseconds()), "own-median-ms")
					b.ReportMetric(float64(own[len(own)*99/100].Milliseconds()), "own-p99-ms")
					b.ReportMetric(float64(other[len(other)/2].Milliseconds()), "other-median-ms")
					b.ReportMetric(float64(other[len(other)*99/100].Milliseconds()), "other-p99-ms")
					b.ReportMetric(mean/length.Seconds(), "datagrams/s")
					b.ReportMetric(float64(most)/length.Seconds(), "most-datagrams/s")
				}
			})
		}
	}
}
