package freshness_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/freshness"
)

const (
	maxAge   = 5 * time.Second
	timeStep = 5 * time.Millisecond
)

// world simulates nodes with a platform that accepts versions. Its first readers
// nodes repeat watches of a second.
type world struct {
	random   *rand.Rand
	now      time.Duration
	due      map[time.Duration][]func()
	nodes    []*simNode
	readers  int
	accepted []time.Duration // accepted[i] is the time of version i+1
	// loss, late and twice are probabilities of a message.
	loss, late, twice float64
}

type simNode struct {
	w           *world
	id          int
	bootedAt    time.Duration // negative
	machine     *freshness.Machine
	version     uint64
	suspended   time.Duration // end of the suspension
	down        bool
	turnedAway  bool // by the platform
	isolated    bool // from all peers
	reads       int
	expiredLogs int
}

func newWorld(seed uint64, size, readers int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), due: make(map[time.Duration][]func()), readers: readers, accepted: []time.Duration{0}}
	for i := range size {
		w.nodes = append(w.nodes, &simNode{w: w, id: i, bootedAt: -time.Duration(w.random.Int64N(1e15))})
	}
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

// start starts the process of a node with the newest version in force.
func (n *simNode) start() {
	n.machine = freshness.New(freshness.Config{MaxAge: maxAge, Seed: n.w.random.Uint64()})
	n.version, n.down, n.suspended = uint64(len(n.w.accepted)), false, 0
	var peers []freshness.Peer
	for i := range n.w.nodes {
		if i != n.id {
			peers = append(peers, freshness.Peer{ID: nodeID(i), Reader: i < n.w.readers, Near: i%4 == n.id%4})
		}
	}
	n.step(freshness.PeersChanged{Peers: peers, Reader: n.id < n.w.readers})
	n.step(freshness.Activated{Version: n.version, RequiresKeys: true})
	if n.id < n.w.readers {
		n.read(n.machine, 0)
		n.read(n.machine, time.Second)
	}
}

func nodeID(i int) fleet.NodeID { return fleet.NodeID(fmt.Sprintf("node-%03d", i)) }

func (w *world) after(d time.Duration, f func()) {
	at := (w.now + d).Truncate(timeStep) + timeStep
	w.due[at] = append(w.due[at], f)
}

// delay returns the delay of one message.
func (w *world) delay() time.Duration {
	if w.random.Float64() < w.late {
		return time.Duration(w.random.Int64N(int64(2 * maxAge)))
	}
	return time.Duration(w.random.Int64N(int64(20 * time.Millisecond)))
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += timeStep
		for _, f := range w.due[w.now] {
			f()
		}
		delete(w.due, w.now)
		for _, n := range w.nodes {
			if w.now%(50*time.Millisecond) == 0 {
				n.step(freshness.Tick{})
			}
			n.checkSound()
		}
	}
}

// checkSound fails if a confirmation claims that a version was the newest at a
// time at which a newer one had been accepted.
func (n *simNode) checkSound() {
	c, ok := n.machine.Confirmation()
	if !ok || int(c.Version) >= len(n.w.accepted) {
		return
	}
	Expect(c.At+n.bootedAt).To(BeNumerically("<=", n.w.accepted[c.Version]), "node %d, version %d", n.id, c.Version)
	Expect(c.Version).To(BeNumerically("<=", n.version))
}

// age returns the age of the confirmation, which must exist.
func (n *simNode) age() time.Duration {
	c, ok := n.machine.Confirmation()
	Expect(ok).To(BeTrue(), "node %d has no confirmation at %v", n.id, n.w.now)
	return n.w.now - n.bootedAt - c.At
}

// publish makes the platform accept a version.
func (w *world) publish() { w.accepted = append(w.accepted, w.now) }

// activate puts a version into force on a node unless a newer one is.
func (n *simNode) activate(version uint64) {
	if version > n.version {
		n.version = version
		n.step(freshness.Activated{Version: version, RequiresKeys: true})
	}
}

// whenRunning calls f now, or when the suspension of the node ends, unless the
// process is another one by then.
func (n *simNode) whenRunning(m *freshness.Machine, f func()) {
	switch {
	case n.down || n.machine != m:
	case n.w.now < n.suspended:
		n.w.after(n.suspended-n.w.now, func() { n.whenRunning(m, f) })
	default:
		f()
	}
}

// read performs a call to the platform that waits, and repeats it if it waits.
func (n *simNode) read(m *freshness.Machine, wait time.Duration) {
	if n.down || n.machine != m {
		return
	}
	sentAt := n.w.now - n.bootedAt
	n.w.after(n.w.delay(), func() {
		version, served := uint64(len(n.w.accepted)), !n.turnedAway
		n.w.after(n.w.delay()+wait, func() {
			n.whenRunning(m, func() {
				if served {
					n.activate(version)
					n.step(freshness.PlatformConfirmed{SentAt: sentAt})
				}
				if wait > 0 {
					n.read(m, wait)
				}
			})
		})
	})
}

func (n *simNode) step(ev freshness.Event) {
	if n.down || n.w.now < n.suspended {
		return
	}
	m := n.machine
	for _, action := range slices.Clone(m.Step(n.w.now-n.bootedAt, ev)) {
		switch a := action.(type) {
		case freshness.ReadPlatform:
			n.reads++
			n.read(m, 0)
		case freshness.Expired:
			n.expiredLogs++
		case freshness.Ask:
			var to int
			_, _ = fmt.Sscanf(string(a.To), "node-%d", &to)
			n.send(n.w.nodes[to], freshness.Query{From: fmt.Sprint(n.id), Sequence: a.Sequence})
		case freshness.Reply:
			var to int
			_, _ = fmt.Sscan(a.To, &to)
			n.send(n.w.nodes[to], freshness.Answer{From: nodeID(n.id), Sequence: a.Sequence, Version: a.Version, Age: a.Age})
		}
	}
}

// send sends an event to the process that runs on a node when it arrives. The
// node hears of the sender's version with it.
func (n *simNode) send(to *simNode, ev freshness.Event) {
	copies := 1
	if n.w.random.Float64() < n.w.twice {
		copies = 2
	}
	version := n.version
	for range copies {
		if n.isolated || to.isolated || n.w.random.Float64() < n.w.loss {
			continue
		}
		n.w.after(n.w.delay(), func() {
			to.whenRunning(to.machine, func() {
				to.step(ev)
				n.w.after(n.w.delay(), func() { to.whenRunning(to.machine, func() { to.activate(version) }) })
			})
		})
	}
}
