package freshness_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/freshness"
)

// seeds returns how many random schedules are played: more than usual if
// SISKINVALE_SOAK is set.
func seeds() uint64 {
	if os.Getenv("SISKINVALE_SOAK") != "" {
		return 3000
	}
	return 30
}

func TestFreshness(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "freshness")
}

var _ = Describe("Machine", func() {
	var (
		m   *freshness.Machine
		now time.Duration
	)
	// ask returns the sequence of the query that the machine sends at now.
	ask := func() uint64 {
		for _, a := range m.Step(now, freshness.Tick{}) {
			if query, ok := a.(freshness.Ask); ok {
				return query.Sequence
			}
		}
		Fail("no query")
		return 0
	}
	answer := func(sequence, version uint64, age time.Duration) {
		m.Step(now, freshness.Answer{From: "n2", Sequence: sequence, Version: version, Age: age})
	}
	confirmedAt := func() time.Duration {
		c, ok := m.Confirmation()
		if !ok {
			return -1
		}
		return c.At
	}
	BeforeEach(func() {
		m, now = freshness.New(freshness.Config{MaxAge: maxAge, Seed: 1}), time.Hour
		m.Step(now, freshness.PeersChanged{Peers: []freshness.Peer{{ID: "n2", Reader: true}}})
		m.Step(now, freshness.Activated{Version: 4})
	})
	start := func() uint64 {
		now += time.Second
		actions := m.Step(now, freshness.Activated{Version: 4, RequiresKeys: true})
		Expect(actions).To(HaveLen(1))
		return actions[0].(freshness.Ask).Sequence
	}

	It("asks nobody while no bundle requires keys", func() {
		for range 200 {
			now += 50 * time.Millisecond
			Expect(m.Step(now, freshness.Tick{})).To(BeEmpty())
		}
	})

	// Guards against a bundle that looks newer than it is because an answer was
	// delayed, by the network or by the suspension of either VM.
	It("dates an answer by when its query was sent", func() {
		sequence, sentAt := start(), now
		now += 3 * time.Second
		answer(sequence, 4, 200*time.Millisecond)
		Expect(confirmedAt()).To(Equal(sentAt - 200*time.Millisecond))
	})

	// Guards against a delayed copy, or an answer to a former process, that is
	// dated by a later query.
	It("ignores answers that belong to no open query", func() {
		sequence := start()
		answer(sequence+1, 4, 0)
		answer(sequence-1, 4, 0)
		m.Step(now, freshness.Answer{From: "n3", Sequence: sequence, Version: 4})
		answer(sequence, 4, -time.Second)
		Expect(confirmedAt()).To(Equal(time.Duration(-1)))
		answer(sequence, 4, time.Second)
		before := confirmedAt()
		now += time.Second
		answer(sequence, 4, 0)
		Expect(confirmedAt()).To(Equal(before))
	})

	// Guards against the use of a key that a version takes away which the peer
	// has and this node has not.
	It("uses the confirmation of a newer version once that version is in force", func() {
		sequence, sentAt := start(), now
		answer(sequence, 6, 0)
		Expect(confirmedAt()).To(Equal(time.Duration(-1)))
		m.Step(now, freshness.Activated{Version: 5, RequiresKeys: true})
		Expect(confirmedAt()).To(Equal(time.Duration(-1)))
		m.Step(now, freshness.Activated{Version: 6, RequiresKeys: true})
		Expect(confirmedAt()).To(Equal(sentAt))
	})

	It("rounds the age in its answers up", func() {
		m.Step(now, freshness.PlatformConfirmed{SentAt: now})
		Expect(m.Step(now+time.Microsecond, freshness.Query{From: "a", Sequence: 9})).
			To(ContainElement(freshness.Reply{To: "a", Sequence: 9, Version: 4, Age: time.Millisecond}))
	})

	It("reports the time without a valid confirmation", func() {
		m.Step(now, freshness.PlatformConfirmed{SentAt: now})
		start()
		now += 2 * maxAge
		Expect(m.Step(now, freshness.Tick{})).To(ContainElement(freshness.Expired{}))
		now += time.Second
		Expect(m.Step(now, freshness.PlatformConfirmed{SentAt: now})).To(ContainElement(freshness.Renewed{After: time.Second}))
	})

	It("asks another peer when one does not answer", func() {
		m.Step(now, freshness.PeersChanged{Peers: []freshness.Peer{{ID: "n2", Reader: true, Near: true}, {ID: "n3", Reader: true}, {ID: "n4"}}})
		start()
		for _, next := range []string{"n3", "n4"} {
			now += 250 * time.Millisecond
			Expect(m.Step(now, freshness.Tick{})).To(ContainElement(HaveField("To", BeEquivalentTo(next))))
		}
		now += 3 * time.Second
		ask()
	})
})

var _ = Describe("Fleet", func() {
	const size, readers = 48, 6
	// expectFresh runs w and expects the confirmations of the nodes that are
	// neither down nor without any way to the platform to stay valid.
	expectFresh := func(w *world, d time.Duration) {
		GinkgoHelper()
		for end := w.now + d; w.now < end; {
			w.run(50 * time.Millisecond)
			for _, n := range w.nodes {
				if !n.down && !(n.turnedAway && n.isolated) {
					Expect(n.age()).To(BeNumerically("<", maxAge), "node %d at %v", n.id, w.now)
				}
			}
		}
	}
	reads := func(w *world) (sum int) {
		for _, n := range w.nodes {
			sum += n.reads
		}
		return sum
	}

	// Guards against calls to the platform that a calm day does not need.
	It("leaves the platform to the readers while they answer", func() {
		w := newWorld(1, size, readers)
		w.run(time.Second)
		expectFresh(w, 60*time.Second)
		Expect(reads(w)).To(BeZero())
		for _, n := range w.nodes[readers:] {
			Expect(n.machine.Stats().Queries).To(BeNumerically("<", 2*60))
		}
	})

	// Guards against refused requests when the platform turns away just the nodes
	// that read it, and against a flood of calls in their place.
	It("keeps confirmations valid while the platform turns away a third of the nodes with all readers", func() {
		w := newWorld(2, size, readers)
		w.run(5 * time.Second)
		for _, n := range w.nodes[:size/3] {
			n.turnedAway = true
		}
		w.publish()
		expectFresh(w, 30*time.Second)
		for _, n := range w.nodes {
			Expect(n.reads).To(BeNumerically("<=", 45), "node %d", n.id)
		}
		GinkgoWriter.Printf("%d reads in 30 s\n", reads(w))
	})

	It("keeps confirmations valid while the readers fail one after the other", func() {
		w := newWorld(3, size, readers)
		w.run(5 * time.Second)
		for _, n := range w.nodes[:readers] {
			n.down = true
			expectFresh(w, 1500*time.Millisecond)
		}
		expectFresh(w, 10*time.Second)
	})

	// Guards against a node that goes on using keys although nobody tells it that
	// they were taken away.
	It("lets the confirmation of a node expire that is cut off from everything", func() {
		w := newWorld(4, size, readers)
		w.run(5 * time.Second)
		alone := w.nodes[size-1]
		alone.turnedAway, alone.isolated = true, true
		expectFresh(w, maxAge)
		w.run(100 * time.Millisecond)
		Expect(alone.age()).To(BeNumerically(">", maxAge))
		Expect(alone.expiredLogs).To(Equal(1))
		alone.isolated = false
		w.run(time.Second)
		Expect(alone.age()).To(BeNumerically("<", maxAge))
	})

	It("confirms within two seconds after the restart of all nodes", func() {
		w := newWorld(5, size, readers)
		w.run(10 * time.Second)
		for _, n := range w.nodes {
			n.start()
		}
		w.run(2 * time.Second)
		expectFresh(w, 5*time.Second)
	})

	// Guards against a confirmation that is dated later than the truth, in any
	// order of delays, losses, copies, suspensions, restarts and new versions.
	for seed := range seeds() {
		It(fmt.Sprintf("never takes a replaced version for the newest, seed %d", seed), func() {
			w := newWorld(seed, 12, 3)
			w.loss, w.late, w.twice = 0.1, 0.1, 0.1
			for range 200 {
				w.run(time.Duration(w.random.Int64N(int64(400 * time.Millisecond))))
				n := w.nodes[w.random.IntN(len(w.nodes))]
				switch w.random.IntN(6) {
				case 0:
					w.publish()
				case 1:
					n.suspended = w.now + time.Duration(w.random.Int64N(int64(2*maxAge)))
				case 2:
					n.turnedAway = !n.turnedAway
				case 3:
					n.isolated = !n.isolated
				case 4:
					n.down = true
				case 5:
					if n.down {
						n.start()
					}
				}
			}
		})
	}
})
