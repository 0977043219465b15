package node

import (
	"errors"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// discoveringNode is one node of a simulated fleet that looks for its peers.
type discoveringNode struct {
	plan       *discoveryPlan
	start      time.Time
	relay      bool
	seed       int // a node that the settings name, or -1
	joined     bool
	registered bool
}

// discoveringFleet is a fleet in virtual time with a store that counts calls. A
// node has joined once its seed has answered, or once it has found a registered
// node or was found by one.
type discoveringFleet struct {
	now   time.Time
	nodes []*discoveringNode
	calls int
	down  bool
}

const relaysPerCentre = 2

// newDiscoveringFleet returns a fleet whose nodes start within 300 ms of each
// other. seeded is the share of nodes with a seed that is alive.
func newDiscoveringFleet(size, centres int, firstStart bool, seeded float64) *discoveringFleet {
	f := &discoveringFleet{now: time.Unix(1_700_000_000, 0)}
	random := rand.New(rand.NewPCG(uint64(size), 1))
	for i := range size {
		start := f.now.Add(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
		n := &discoveringNode{plan: newDiscoveryPlan(start, firstStart, uint64(i)), start: start, relay: i < centres*relaysPerCentre, seed: -1}
		if random.Float64() < seeded {
			n.seed = random.IntN(size)
		}
		f.nodes = append(f.nodes, n)
	}
	return f
}

func (f *discoveringFleet) run(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, n := range f.nodes {
			if f.now.Before(n.start) {
				continue
			}
			if n.seed >= 0 && f.now.Sub(n.start) >= 2*step {
				n.joined = true
			}
			action := n.plan.next(f.now, n.joined, n.relay || !n.joined)
			if action == discoveryIdle {
				continue
			}
			f.calls++
			if f.down {
				n.plan.done(f.now, action, 0, errors.New("store unavailable"))
				continue
			}
			if action == discoveryRegister {
				n.registered = true
				f.calls++
			}
			found := 0
			for _, other := range f.nodes {
				if other != n && other.registered {
					found++
					n.joined, other.joined = true, true
				}
			}
			n.plan.done(f.now, action, found, nil)
		}
	}
}

func (f *discoveringFleet) alone() int {
	alone := 0
	for _, n := range f.nodes {
		if !n.joined {
			alone++
		}
	}
	return alone
}

var _ = Describe("Discovery", func() {
	// Guards against a start that costs several calls to the platform for each
	// node of the fleet, which at 232 nodes was half of the calls of a calm day.
	It("takes calls for relays only if the seeds of a fleet that starts for the first time answer", func() {
		f := newDiscoveringFleet(232, 6, true, 1)
		f.run(8 * time.Second)
		Expect(f.alone()).To(BeZero())
		Expect(f.calls).To(Equal(2 * 6 * relaysPerCentre))
	})

	It("takes about one call a node if no seed answers, and leaves no node alone", func() {
		f := newDiscoveringFleet(232, 6, true, 0)
		f.run(8 * time.Second)
		Expect(f.alone()).To(BeZero())
		Expect(f.calls).To(BeNumerically("<", 232*3/2))
	})

	It("looks at once after a restart, when callers wait", func() {
		f := newDiscoveringFleet(30, 3, false, 0)
		f.nodes[0].registered, f.nodes[0].joined = true, true
		f.run(time.Second)
		Expect(f.alone()).To(BeZero())
	})

	It("backs off while the platform is unavailable and finds the peers soon after its return", func() {
		f := newDiscoveringFleet(30, 3, false, 0)
		f.down = true
		f.run(20 * time.Second)
		Expect(f.calls).To(BeNumerically("<", 30*15))
		f.down = false
		f.run(discoveryRetryMax * 3 / 2)
		f.run(time.Second)
		Expect(f.alone()).To(BeZero())
	})

	It("registers a node that becomes a relay later, once", func() {
		f := newDiscoveringFleet(30, 3, true, 1)
		f.run(5 * time.Second)
		before := f.calls
		f.nodes[29].relay = true
		f.run(5 * time.Second)
		Expect(f.nodes[29].registered).To(BeTrue())
		Expect(f.calls).To(Equal(before + 2))
	})

	// Guards against a storm of writes, and against records that stay lost,
	// after the store has come back from an older copy.
	DescribeTable("writes lost records again within a second, with two calls for each", func(size, centres int) {
		f := newDiscoveringFleet(size, centres, true, 1)
		f.run(8 * time.Second)
		before := f.calls
		for _, n := range f.nodes {
			n.plan.restored(f.now)
			n.registered = false
		}
		f.run(100 * time.Millisecond)
		Expect(f.calls-before).To(BeNumerically("<=", 2*centres*relaysPerCentre/2), "spread over a second")
		f.run(time.Second)
		Expect(f.calls - before).To(Equal(2 * centres * relaysPerCentre))
		for i, n := range f.nodes {
			Expect(n.registered).To(Equal(i < centres*relaysPerCentre))
		}
	},
		Entry("19 nodes", 19, 4), Entry("95 nodes", 95, 4), Entry("232 nodes", 232, 6), Entry("3,300 nodes", 3300, 20))

	It("looks again in a while, for nodes that membership has lost", func() {
		f := newDiscoveringFleet(30, 3, true, 1)
		f.run(5 * time.Second)
		before := f.calls
		f.run(discoveryInterval + time.Second)
		Expect(f.calls).To(Equal(before + 3*relaysPerCentre))
	})
})
