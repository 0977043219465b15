package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/membership"
)

// TestRandomSchedules runs random schedules of partitions, packet loss, pauses,
// restarts and mass restarts. It guards against views that stay wrong after all
// faults are healed: a live node that is not alive again, or a stopped node
// that is not dead.
func TestRandomSchedules(t *testing.T) {
	for seed := range uint64(seedCount(25, 600)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { t.Parallel(); randomSchedule(t, seed) })
	}
}

func randomSchedule(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 99))
	cfg := membership.DefaultConfig()
	cfg.ProbeAll = seed%3 != 0
	size := 5 + random.IntN(26)
	n := newFleet(seed, size, 1+random.IntN(4), cfg)
	seeds := []string{n.order[0].self.PeerAddr, n.order[1].self.PeerAddr}
	cuts := make(map[[2]string]bool)
	n.cut = func(from, to string) bool { return cuts[[2]string{from, to}] }
	any := func() *member { return n.order[random.IntN(len(n.order))] }
	for range 12 {
		switch random.IntN(8) {
		case 0: // one-way cuts
			for range 1 + random.IntN(size) {
				cuts[[2]string{any().self.PeerAddr, any().self.PeerAddr}] = true
			}
		case 1: // a data centre is partitioned in one or both directions
			centre, both := any().self.DataCentre, random.IntN(2) == 0
			for _, a := range n.order {
				for _, b := range n.order {
					if a.self.DataCentre == centre && b.self.DataCentre != centre {
						cuts[[2]string{a.self.PeerAddr, b.self.PeerAddr}] = true
						cuts[[2]string{b.self.PeerAddr, a.self.PeerAddr}] = both
					}
				}
			}
		case 2:
			clear(cuts)
			n.loss = float64(random.IntN(3)) * 0.1
		case 3:
			n.pause(any())
		case 4:
			if m := any(); m.paused {
				n.resume(m)
			}
		case 5:
			n.stop(any())
		case 6:
			n.start(any().self, seeds...)
		case 7: // mass restart
			for _, m := range n.order {
				if random.IntN(2) == 0 {
					n.start(m.self, seeds...)
				}
			}
		}
		n.run(time.Duration(random.IntN(8000)) * time.Millisecond)
	}
	clear(cuts)
	n.loss = 0
	for i, m := range n.order {
		if m.paused {
			n.resume(m)
		}
		if !m.up && i < 2 {
			n.start(m.self, seeds...)
		}
	}
	if !n.runUntil(90*time.Second, n.converged) {
		t.Fatalf("no convergence after the faults were healed: %v", n.disagreements())
	}
}

// TestOneWayCuts runs random one-way cuts that leave each node at least one
// peer with which it exchanges packets in both directions, and through that
// peer a path to the others. It guards against a live node being declared dead,
// even for a moment.
func TestOneWayCuts(t *testing.T) {
	for seed := range uint64(seedCount(15, 300)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 7))
			size := 6 + random.IntN(15)
			n := newFleet(seed, size, 4, membership.DefaultConfig())
			uncut := n.order[random.IntN(size)].self.PeerAddr
			cuts := make(map[[2]string]bool)
			for range 1 + random.IntN(3) {
				affected, outward := n.order[random.IntN(size)].self.PeerAddr, random.IntN(2) == 0
				for _, m := range n.order {
					pair := [2]string{affected, m.self.PeerAddr}
					if !outward {
						pair = [2]string{m.self.PeerAddr, affected}
					}
					if affected != uncut && m.self.PeerAddr != uncut && !cuts[[2]string{pair[1], pair[0]}] {
						cuts[pair] = true
					}
				}
			}
			n.cut = func(from, to string) bool { return cuts[[2]string{from, to}] }
			n.changed = func(at *member, changed fleet.Node) {
				if changed.State == fleet.NodeDead {
					t.Errorf("%v: %s declared %s dead", n.now, at.self.ID, changed.ID)
				}
			}
			n.run(20 * time.Second)
			n.cut = func(string, string) bool { return false }
			if !n.runUntil(10*time.Second, n.converged) {
				t.Errorf("no convergence after the cuts were healed: %v", n.disagreements())
			}
		})
	}
}
