package rollout_test

import (
	"bytes"
	"container/heap"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/platform"
	"siskinvale.dev/siskinvale/internal/rollout"
)

// envelope is the bundle format of these tests.
type envelope struct {
	Version uint64
	Pieces  []string
	Author  string // makes envelopes of racing operators differ
	Forged  bool
}

func (e envelope) encode() []byte {
	content, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return content
}

func pieceName(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

type verifier struct{}

func (verifier) Verify(content []byte) (uint64, string, []string, error) {
	var e envelope
	if err := json.Unmarshal(content, &e); err != nil || e.Forged {
		return e.Version, "", nil, errors.New("not signed")
	}
	return e.Version, pieceName(content), e.Pieces, nil
}

func (verifier) Assemble(content []byte, pieces map[string][]byte) (any, error) {
	_, _, names, err := verifier{}.Verify(content)
	if err != nil {
		return nil, err
	}
	var all bytes.Buffer
	for _, name := range names {
		all.Write(pieces[name])
	}
	return all.String(), nil
}

// cluster simulates rollout machines, membership and the platform in virtual
// time.
type cluster struct {
	cfg        rollout.Config // of all nodes, without data centre and seed
	now        time.Time
	random     *rand.Rand
	store      *platform.Memory
	nodes      []*node
	queue      eventQueue
	lastSerial uint64
	watchers   []watcher
	watchWait  time.Duration
	packets    *rand.Rand
	// turnedAway holds the nodes that the platform does not serve, with the
	// time after which their calls fail.
	turnedAway map[*node]time.Duration
	calls      int             // of the platform, by all nodes
	cut        map[[2]int]bool // paths that are cut, by indexes of sender and receiver
	outage     bool
	// received counts the bytes that nodes received from peers and the platform.
	received int
	fail     func(format string, args ...any)
}

type node struct {
	index     int
	record    fleet.Node
	machine   *rollout.Machine
	up        bool
	frozen    bool
	corrupt   bool // serves wrong pieces
	backlog   []rollout.Event
	version   uint64 // last version that this process activated
	ready     bool
	conflicts int
}

type watcher struct {
	node    *node
	process *rollout.Machine
	since   platform.Position
	until   time.Time
}

// queuedEvent is an event to be delivered to a node, or a function to be
// called, at a given time.
type queuedEvent struct {
	at      time.Time
	serial  uint64
	to      *node
	process *rollout.Machine // the process that receives the event; nil for any
	event   rollout.Event
	run     func()
}

type eventQueue []queuedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(queuedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newCluster(seed uint64, size, centres int, fail func(string, ...any)) *cluster {
	c := &cluster{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 5)),
		store: platform.NewMemory(), cut: make(map[[2]int]bool), fail: fail,
		watchWait: platform.DefaultWatchWait, packets: rand.New(rand.NewPCG(seed, 6)), turnedAway: make(map[*node]time.Duration),
	}
	for i := range size {
		c.nodes = append(c.nodes, &node{index: i, record: fleet.Node{
			ID: fleet.NodeID(fmt.Sprintf("node-%04d", i)), DataCentre: fmt.Sprintf("dc-%d", i%centres)}})
	}
	for _, n := range c.nodes {
		c.start(n)
		c.schedulePackets(n)
	}
	return c
}

// schedulePackets makes a node exchange packets with a random peer five times
// per second, as membership does.
func (c *cluster) schedulePackets(n *node) {
	c.after(time.Duration(c.packets.Int64N(int64(400*time.Millisecond))), func() {
		c.sendConfirmation(n, c.nodes[c.packets.IntN(len(c.nodes))])
		c.sendConfirmation(c.nodes[c.packets.IntN(len(c.nodes))], n)
		c.schedulePackets(n)
	})
}

func (c *cluster) sendConfirmation(from, to *node) {
	if from == to || !from.up || from.frozen || !to.up || to.frozen || c.cut[[2]int{from.index, to.index}] {
		return
	}
	if at := from.machine.ConfirmedAt(); !at.IsZero() {
		version, _ := from.machine.InForce()
		to.machine.PeerConfirmed(version, at)
	}
}

// turnAway makes the platform refuse the calls of a node after the given time,
// including the watch in flight.
func (c *cluster) turnAway(n *node, after time.Duration) {
	c.turnedAway[n] = after
	c.watchers = slices.DeleteFunc(c.watchers, func(w watcher) bool {
		if w.node != n {
			return false
		}
		c.push(queuedEvent{at: c.now.Add(after), to: n, process: w.process, event: rollout.PlatformRead{FromWatch: true, Err: platform.ErrUnavailable}})
		return true
	})
}

func (c *cluster) push(e queuedEvent) {
	c.lastSerial++
	e.serial = c.lastSerial
	heap.Push(&c.queue, e)
}

func (c *cluster) after(d time.Duration, do func()) { c.push(queuedEvent{at: c.now.Add(d), run: do}) }

func (c *cluster) delay() time.Duration {
	return 500*time.Microsecond + time.Duration(c.random.Int64N(int64(2*time.Millisecond)))
}

// start starts a new process of the node.
func (c *cluster) start(n *node) {
	n.up, n.frozen, n.ready, n.version, n.backlog = true, false, false, 0, nil
	n.record.Incarnation = uint64(c.now.UnixNano())
	cfg := c.cfg
	cfg.DataCentre, cfg.Seed = n.record.DataCentre, c.random.Uint64()
	n.machine = rollout.New(n.record.ID, verifier{}, cfg)
	for _, other := range c.nodes {
		if other != n && other.up && other.machine != nil {
			c.sendNodeState(other, n)
			c.sendNodeState(n, other)
		}
	}
	c.scheduleTick(n, n.machine)
}

func (c *cluster) stop(n *node) {
	n.up = false
	dead := n.record
	dead.State = fleet.NodeDead
	for _, other := range c.nodes {
		if other != n {
			c.push(queuedEvent{at: c.now.Add(2 * time.Second), run: func() {
				if !n.up {
					c.step(other, rollout.NodeChanged{Node: dead})
				}
			}})
		}
	}
}

// sendNodeState delivers the state of a node to another node, as membership
// does.
func (c *cluster) sendNodeState(about, to *node) {
	if c.cut[[2]int{about.index, to.index}] || !about.up {
		return
	}
	n := about.record
	n.BundleVersion, _ = about.machine.InForce()
	c.push(queuedEvent{at: c.now.Add(c.delay()), to: to, event: rollout.NodeChanged{Node: n}})
}

func (c *cluster) scheduleTick(n *node, process *rollout.Machine) {
	c.after(100*time.Millisecond, func() {
		if n.machine != process || !n.up {
			return
		}
		if !n.frozen {
			c.step(n, rollout.Tick{})
		}
		c.scheduleTick(n, process)
	})
}

func (c *cluster) step(n *node, ev rollout.Event) {
	if !n.up {
		return
	}
	if n.frozen {
		n.backlog = append(n.backlog, ev)
		return
	}
	actions := append([]rollout.Action{}, n.machine.Step(c.now, ev)...)
	for _, a := range actions {
		c.perform(n, a)
	}
}

func (c *cluster) perform(n *node, a rollout.Action) {
	process := n.machine
	answer := func(d time.Duration, ev rollout.Event) {
		c.push(queuedEvent{at: c.now.Add(d), to: n, process: process, event: ev})
	}
	switch a := a.(type) {
	case rollout.Activate:
		if a.Version < n.version {
			c.fail("%s activated %d after %d", n.record.ID, a.Version, n.version)
		}
		n.version = a.Version
		for _, other := range c.nodes {
			if other != n {
				c.sendNodeState(n, other)
			}
		}
	case rollout.Ready:
		n.ready = true
	case rollout.Conflict:
		n.conflicts++
	case rollout.ReadPlatform:
		c.calls++
		if after, ok := c.turnedAway[n]; ok {
			answer(2*c.delay()+after, rollout.PlatformRead{Err: platform.ErrUnavailable})
			return
		}
		answer(2*c.delay(), rollout.Read(context.Background(), c.store))
	case rollout.WatchPlatform:
		c.calls++
		if after, ok := c.turnedAway[n]; ok {
			answer(2*c.delay()+after, rollout.PlatformRead{FromWatch: true, Err: platform.ErrUnavailable})
			return
		}
		c.watchers = append(c.watchers, watcher{n, process, a.Since, c.now.Add(c.watchWait)})
		c.answerWatches()
		c.after(c.watchWait, c.answerWatches)
	case rollout.FetchEnvelope:
		c.call(n, a.From, func(peer *node) rollout.Event {
			content := peer.machine.Content()
			c.received += len(content.Envelope)
			return rollout.EnvelopeReceived{From: a.From, Envelope: content.Envelope}
		})
	case rollout.FetchPieces:
		if a.From == rollout.Platform {
			ev := rollout.ReadPieces(context.Background(), c.store, a)
			if got, ok := ev.(rollout.PiecesReceived); ok {
				for _, p := range got.Pieces {
					c.received += len(p)
				}
			}
			answer(2*c.delay(), ev)
			return
		}
		c.call(n, a.From, func(peer *node) rollout.Event {
			pieces := make(map[string][]byte)
			for _, name := range a.Names {
				content := peer.machine.Content()
				if piece, ok := content.Piece(name); ok {
					c.received += len(piece)
					pieces[name] = piece
					if peer.corrupt {
						pieces[name] = []byte("wrong")
					}
				}
			}
			return rollout.PiecesReceived{From: a.From, Pieces: pieces}
		})
	}
}

// call simulates a call from n to a peer. There is no answer if the path is cut
// or the peer is stopped or frozen.
func (c *cluster) call(n *node, id fleet.NodeID, reply func(*node) rollout.Event) {
	process := n.machine
	for _, peer := range c.nodes {
		if peer.record.ID == id && !c.cut[[2]int{n.index, peer.index}] {
			c.after(c.delay(), func() {
				if peer.up && !peer.frozen && !c.cut[[2]int{peer.index, n.index}] {
					c.push(queuedEvent{at: c.now.Add(c.delay()), to: n, process: process, event: reply(peer)})
				}
			})
		}
	}
}

// answerWatches answers the watches for which the store has changed or whose
// wait has ended.
func (c *cluster) answerWatches() {
	var kept []watcher
	for _, w := range c.watchers {
		read := rollout.Read(context.Background(), c.store)
		read.FromWatch = true
		if read.Err == nil && read.At.Revision <= w.since.Revision {
			read.Envelope = nil
			if c.now.Before(w.until) {
				kept = append(kept, w)
				continue
			}
		}
		c.push(queuedEvent{at: c.now.Add(c.delay()), to: w.node, process: w.process, event: read})
	}
	c.watchers = kept
}

func (c *cluster) run(d time.Duration) { c.runUntil(d, func() bool { return false }) }

func (c *cluster) runUntil(d time.Duration, done func() bool) bool {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(queuedEvent)
		c.now = e.at
		switch {
		case e.run != nil:
			e.run()
		case e.process == nil || e.process == e.to.machine:
			c.step(e.to, e.event)
		}
		if done() {
			return true
		}
	}
	c.now = end
	return done()
}

// exchangeStates delivers the state of each node to all others, as the periodic
// full-state exchange of membership does.
func (c *cluster) exchangeStates() {
	for _, a := range c.nodes {
		for _, b := range c.nodes {
			if a != b {
				c.sendNodeState(a, b)
			}
		}
	}
}

func (c *cluster) resume(n *node) {
	n.frozen = false
	backlog := n.backlog
	n.backlog = nil
	for _, ev := range backlog {
		c.step(n, ev)
	}
}

// publish simulates an operator: it stores the pieces and then replaces the
// active envelope unless that has the same or a higher version. It reports
// whether the replacement succeeded.
func (c *cluster) publish(author string, version uint64, contents ...string) (bool, error) {
	ctx := context.Background()
	e := envelope{Version: version, Author: author}
	for _, content := range contents {
		name := pieceName([]byte(content))
		e.Pieces = append(e.Pieces, name)
		if _, err := c.store.Put(ctx, rollout.PieceKey(name), []byte(content), 0); err != nil && !errors.Is(err, platform.ErrConflict) {
			return false, err
		}
	}
	_, err := platform.Update(ctx, c.store, rollout.ActiveKey, func(old platform.Object) ([]byte, error) {
		var active envelope
		if old.Version != 0 {
			if err := json.Unmarshal(old.Value, &active); err != nil {
				return nil, err
			}
		}
		if active.Version >= version {
			return nil, errors.New("another rollout won")
		}
		return e.encode(), nil
	})
	c.answerWatches()
	return err == nil, err
}

// inForce returns a condition: all running nodes have the version in force.
func (c *cluster) inForce(version uint64) func() bool {
	return func() bool {
		for _, n := range c.nodes {
			if got, _ := n.machine.InForce(); n.up && got != version {
				return false
			}
		}
		return true
	}
}
