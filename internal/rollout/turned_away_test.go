package rollout_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/rollout"
)

// Guards against a fleet in which no node reads a new version, because the
// platform turns away the nodes that were chosen to read it.
var _ = Describe("A platform that turns nodes away", func() {
	const (
		// applyBound is the time in which a node that the platform serves must
		// have a version in force while the platform turns others away.
		applyBound = 7 * time.Second
		// turnedAwayShare is the largest share of nodes that it turns away.
		turnedAwayShare = 0.35
		callTimeout     = 2 * time.Second
		readsPerSecond  = 2000 // that the platform serves
	)
	newFleet := func(seed uint64, size, centres int) *cluster {
		c := newCluster(seed, 0, centres, failSpec)
		c.watchWait = time.Second
		c.cfg = rollout.Config{
			Readers: 1, MinReaders: 6, ReadDelay: 20 * time.Millisecond, MaxBackoff: 1200 * time.Millisecond,
			BehindReadDelay: 600 * time.Millisecond, ConfirmWithin: 3 * time.Second, MaxUnconfirmedInterval: 3 * time.Second,
		}
		for i := range size {
			c.nodes = append(c.nodes, &node{index: i, record: fleet.Node{
				ID: fleet.NodeID(fmt.Sprintf("node-%04d", i)), DataCentre: fmt.Sprintf("dc-%d", i%centres)}})
		}
		for _, n := range c.nodes {
			c.start(n)
			c.schedulePackets(n)
		}
		publish(c, 1, "a")
		Expect(c.runUntil(5*time.Second, c.inForce(1))).To(BeTrue())
		c.run(10 * time.Second)
		return c
	}
	readers := func(c *cluster) (found []*node) {
		for _, n := range c.nodes {
			if n.machine.IsReader() {
				found = append(found, n)
			}
		}
		return found
	}
	unconfirmedReads := func(c *cluster) (sum uint64) {
		for _, n := range c.nodes {
			sum += n.machine.Stats().ReadsByReason[rollout.ReadUnconfirmed]
		}
		return sum
	}
	servedInForce := func(c *cluster, version uint64) func() bool {
		return func() bool {
			for _, n := range c.nodes {
				_, refused := c.turnedAway[n]
				if got, _ := n.machine.InForce(); n.up && !n.frozen && !refused && got != version {
					return false
				}
			}
			return true
		}
	}

	for _, f := range []struct{ size, centres, seeds int }{{19, 1, 5}, {95, 4, 2}, {232, 4, 1}} {
		for seed := range uint64(f.seeds) {
			size, centres := f.size, f.centres
			name := fmt.Sprintf("%d nodes, seed %d", size, seed)
			DescribeTable("puts a version into force in time on the nodes that it serves: "+name, func(failAfter time.Duration, successive bool) {
				c := newFleet(seed, size, centres)
				turned := readers(c)
				Expect(float64(len(turned))).To(BeNumerically("<=", turnedAwayShare*float64(size)))
				for _, n := range turned {
					c.turnAway(n, failAfter)
				}
				c.run(1200 * time.Millisecond)
				if successive {
					// Each node that reads in their place is turned away in turn.
					for range int(turnedAwayShare*float64(size)) - len(turned) {
						Expect(c.runUntil(20*time.Second, func() bool {
							for _, n := range c.nodes {
								if _, ok := c.turnedAway[n]; !ok && n.machine.Stats().ReadsByReason[rollout.ReadUnconfirmed] > 0 {
									c.turnAway(n, failAfter)
									return true
								}
							}
							return false
						})).To(BeTrue())
					}
				}
				publish(c, 2, "b")
				Expect(c.runUntil(applyBound, servedInForce(c, 2))).To(BeTrue())
			},
				Entry("refused at once", time.Duration(0), false),
				Entry("silence", callTimeout, false),
				Entry("one after another", time.Duration(0), true),
			)

			It("puts a version into force in time when all readers freeze: "+name, func() {
				c := newFleet(seed, size, centres)
				for _, n := range readers(c) {
					n.frozen = true
				}
				publish(c, 2, "b")
				Expect(c.runUntil(applyBound, servedInForce(c, 2))).To(BeTrue())
			})

			It("is read by readers only while it serves them, and is not overrun by a fleet that it turns away: "+name, func() {
				c := newFleet(seed, size, centres)
				before := unconfirmedReads(c)
				c.run(30 * time.Second)
				Expect(unconfirmedReads(c)).To(Equal(before))

				for _, n := range c.nodes {
					c.turnAway(n, 0)
				}
				c.calls = 0
				const outage = 20
				for range outage {
					calls := c.calls
					c.run(time.Second)
					Expect(c.calls - calls).To(BeNumerically("<", readsPerSecond/10))
				}
				GinkgoWriter.Printf("%s: %.1f calls a second while all are turned away\n", name, float64(c.calls)/outage)
				publish(c, 2, "b")
				clear(c.turnedAway)
				Expect(c.runUntil(2*time.Second, c.inForce(2))).To(BeTrue())
				c.run(5 * time.Second)
				before = unconfirmedReads(c)
				c.run(30 * time.Second)
				Expect(unconfirmedReads(c)).To(Equal(before), "only the readers read again")
			})
		}
	}
})
