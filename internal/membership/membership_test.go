package membership_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/membership"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

// seedCount returns the number of seeds for a test of random schedules: soak if
// SISKINVALE_SOAK is set, and usual otherwise.
func seedCount(usual, soak int) int {
	if os.Getenv("SISKINVALE_SOAK") != "" {
		return soak
	}
	return usual
}

var _ = Describe("Machine", func() {
	cfg := membership.DefaultConfig()

	It("discovers all nodes from one seed address", func() {
		n := newNetwork(1, cfg)
		seed := node(0, 4)
		n.start(seed)
		for i := 1; i < 30; i++ {
			n.start(node(i, 4), seed.PeerAddr)
		}
		Expect(n.runUntil(10*time.Second, n.converged)).To(BeTrue(), "%v", n.disagreements())
	})

	DescribeTable("declares a stopped node dead within 2 s and keeps the others alive", func(size int, seed uint64) {
		n := newFleet(seed, size, 4, cfg)
		n.changed = func(at *member, changed fleet.Node) {
			if changed.State == fleet.NodeDead {
				Expect(changed.ID).To(Equal(n.order[size/2].self.ID))
			}
		}
		n.stop(n.order[size/2])
		Expect(n.runUntil(2*time.Second, n.converged)).To(BeTrue(), "%v", n.disagreements())
		n.run(5 * time.Second)
		Expect(n.disagreements()).To(BeEmpty())
	},
		Entry("two nodes", 2, uint64(1)), Entry("three nodes", 3, uint64(2)),
		Entry("ten nodes", 10, uint64(3)), Entry("forty nodes", 40, uint64(4)), Entry("forty nodes", 40, uint64(5)))

	It("declares all nodes of a failed data centre dead within 2 s", func() {
		n := newFleet(6, 40, 4, cfg)
		for i := 0; i < 40; i += 4 { // one data centre
			n.stop(n.order[i])
		}
		Expect(n.runUntil(2*time.Second, n.converged)).To(BeTrue(), "%v", n.disagreements())
	})

	It("does not declare a node dead whose packets reach only one peer", func() {
		n := newFleet(7, 20, 4, cfg)
		sender, reachable := n.order[3].self.PeerAddr, n.order[11].self.PeerAddr
		n.cut = func(from, to string) bool { return from == sender && to != reachable }
		expectNoDeath(n, 30*time.Second)
	})

	It("does not declare others dead at a node that receives packets from only one peer", func() {
		n := newFleet(8, 20, 4, cfg)
		receiver, reachable := n.order[3].self.PeerAddr, n.order[11].self.PeerAddr
		n.cut = func(from, to string) bool { return to == receiver && from != reachable }
		expectNoDeath(n, 30*time.Second)
	})

	It("postpones declaring others dead while it receives no packets at all", func() {
		n := newFleet(18, 20, 4, cfg)
		isolated := n.order[3]
		n.cut = func(from, to string) bool { return to == isolated.self.PeerAddr }
		var first time.Duration
		began := n.now
		n.changed = func(at *member, changed fleet.Node) {
			if changed.State == fleet.NodeDead && changed.ID != isolated.self.ID {
				Expect(at).To(Equal(isolated), "the others must not adopt its verdicts")
				if first == 0 {
					first = n.now.Sub(began)
				}
			}
		}
		n.run(20 * time.Second)
		Expect(first).To(BeNumerically(">", 9*time.Second))
		n.cut = func(string, string) bool { return false }
		Expect(n.runUntil(15*time.Second, n.converged)).To(BeTrue(), "%v", n.disagreements())
	})

	It("declares no node dead while a tenth of the packets is lost", func() {
		n := newFleet(9, 40, 4, cfg)
		n.loss = 0.1
		expectNoDeath(n, 60*time.Second)
	})

	It("recovers from a pause of its own process without declaring others dead", func() {
		n := newFleet(10, 20, 4, cfg)
		paused := n.order[5]
		n.changed = func(at *member, changed fleet.Node) {
			if changed.State == fleet.NodeDead {
				Expect(at).NotTo(Equal(paused), "a resumed node declared %s dead", changed.ID)
				Expect(changed.ID).To(Equal(paused.self.ID))
			}
		}
		n.pause(paused)
		n.run(10 * time.Second)
		n.resume(paused)
		Expect(n.runUntil(5*time.Second, n.converged)).To(BeTrue(), "%v", n.disagreements())
	})

	It("announces a leaving node immediately and does not mark it alive again", func() {
		n := newFleet(11, 20, 4, cfg)
		n.step(n.order[5], membership.Leave{})
		Expect(n.runUntil(500*time.Millisecond, func() bool {
			for _, m := range n.order {
				if viewOf(m, n.order[5]) != fleet.NodeLeaving {
					return false
				}
			}
			return true
		})).To(BeTrue())
		n.run(5 * time.Second)
		Expect(viewOf(n.order[0], n.order[5])).To(Equal(fleet.NodeLeaving))
		n.stop(n.order[5])
		Expect(n.runUntil(5*time.Second, n.converged)).To(BeTrue(), "%v", n.disagreements())
	})

	It("adopts the new address of a node that restarts elsewhere", func() {
		n := newFleet(12, 10, 1, cfg)
		n.stop(n.order[4])
		moved := n.order[4].self
		moved.PeerAddr = "10.9.9.9:7100"
		n.order = append(n.order[:4], n.order[5:]...)
		n.start(moved, n.order[0].self.PeerAddr)
		Expect(n.runUntil(5*time.Second, n.converged)).To(BeTrue(), "%v", n.disagreements())
		known, _ := n.order[0].machine.Node(moved.ID)
		Expect(known.PeerAddr).To(Equal(moved.PeerAddr))
	})

	It("reports a second process that uses its identifier", func() {
		m := membership.New(node(0, 1), cfg, 1)
		now := time.Unix(1_700_000_000, 0)
		m.Step(now, membership.Start{})
		other := node(0, 1)
		other.PeerAddr, other.Incarnation = "10.9.9.9:7100", 5
		actions := m.Step(now, membership.Packet{From: "10.0.0.1:7100", Message: datagramWith("node-0001", other)})
		Expect(actions).To(ContainElement(membership.DuplicateID{Other: other}))
		Expect(m.Self().Incarnation).To(BeNumerically(">", other.Incarnation))
	})

	It("reunites both sides after a network partition of several minutes", func() {
		n := newFleet(13, 20, 4, cfg)
		n.cut = func(from, to string) bool { return (from[:4] == "10.0") != (to[:4] == "10.0") }
		n.run(5 * time.Minute)
		Expect(viewOf(n.order[1], n.order[0])).To(Equal(fleet.NodeDead))
		Expect(viewOf(n.order[4], n.order[0])).To(Equal(fleet.NodeAlive))
		n.cut = func(string, string) bool { return false }
		Expect(n.runUntil(15*time.Second, n.converged)).To(BeTrue(), "%v", n.disagreements())
	})

	It("converges after all nodes restart at once", func() {
		n := newFleet(14, 40, 4, cfg)
		for _, m := range n.order {
			n.stop(m)
		}
		n.run(time.Second)
		for _, m := range n.order {
			n.start(m.self, n.order[0].self.PeerAddr, n.order[1].self.PeerAddr)
		}
		Expect(n.runUntil(15*time.Second, n.converged)).To(BeTrue(), "%v", n.disagreements())
	})

	It("disseminates target records and bundle versions to all nodes", func() {
		n := newFleet(15, 40, 4, cfg)
		n.step(n.order[7], membership.DisseminateTarget{Target: fleet.Target{ID: "t", Node: n.order[7].self.ID, Incarnation: 1, Version: 1}})
		n.step(n.order[8], membership.BundleActivated{Version: 9})
		Expect(n.runUntil(5*time.Second, func() bool {
			for i, m := range n.order {
				known, _ := m.machine.Node(n.order[8].self.ID)
				if i != 7 && len(m.targets) == 0 || known.BundleVersion != 9 {
					return false
				}
			}
			return true
		})).To(BeTrue())
	})

	It("stays within its byte budget under a continuous stream of updates", func() {
		n := newFleet(16, 20, 4, cfg)
		before := n.order[0].machine.Stats().SentBytes
		for i := range 300 {
			for _, m := range n.order {
				n.step(m, membership.DisseminateTarget{Target: fleet.Target{
					ID: fleet.TargetID(fmt.Sprintf("%s-%d", m.self.ID, i)), Node: m.self.ID, Incarnation: 1, Version: 1}})
			}
			n.run(100 * time.Millisecond)
		}
		sent := n.order[0].machine.Stats().SentBytes - before
		// The run takes 30 s. The bucket holds four seconds' budget, and acks may
		// overdraw it by two more.
		Expect(sent).To(BeNumerically("<=", 36*cfg.BytesPerSecond))
		n.run(10 * time.Second)
		Expect(n.disagreements()).To(BeEmpty(), "updates must not use up the budget of the probes")
	})

	It("connects data centres through relays", func() {
		relayConfig := cfg
		relayConfig.ProbeAll = false
		n := newFleet(17, 40, 4, relayConfig)
		Expect(n.disagreements()).To(BeEmpty())
		n.stop(n.order[9])
		Expect(n.runUntil(3*time.Second, n.converged)).To(BeTrue(), "%v", n.disagreements())
		n.start(node(40, 4), n.order[0].self.PeerAddr)
		Expect(n.runUntil(5*time.Second, n.converged)).To(BeTrue(), "%v", n.disagreements())
		expectNoDeath(n, 30*time.Second)
	})
})

// expectNoDeath advances virtual time by d and fails if any node declares
// another one dead.
func expectNoDeath(n *network, d time.Duration) {
	GinkgoHelper()
	var declaredDead []string
	n.changed = func(at *member, changed fleet.Node) {
		if changed.State == fleet.NodeDead && len(declaredDead) < 10 {
			declaredDead = append(declaredDead, fmt.Sprintf("%s declared %s dead", at.self.ID, changed.ID))
		}
	}
	n.run(d)
	Expect(declaredDead).To(BeEmpty())
}
