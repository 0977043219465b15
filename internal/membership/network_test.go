package membership_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/membership"
)

// network simulates a network of machines in virtual time. The one-way delay of
// a packet is 0.5 to 1.5 ms.
type network struct {
	now     time.Time
	random  *rand.Rand
	cfg     membership.Config
	members map[string]*member // by address
	order   []*member
	queue   eventQueue
	serial  uint64
	// cut reports whether all packets from one address to another are lost.
	cut func(from, to string) bool
	// loss is the fraction of packets that are lost at random.
	loss float64
	// changed is called for each node change that a machine reports.
	changed func(at *member, n fleet.Node)
	busy    time.Duration // wall time spent in Machine.Step while timed is set
	timed   bool
}

type member struct {
	self    fleet.Node
	machine *membership.Machine
	up      bool
	paused  bool
	backlog []membership.Event
	targets []fleet.Target // latest received records
	syncs   int
}

// queuedEvent is an event to be delivered to a member at a given time. An entry
// with an owner is the member's next tick and has no event.
type queuedEvent struct {
	at     time.Time
	serial uint64
	to     *member
	event  membership.Event
	owner  *membership.Machine // machine that a tick is for; a replaced machine gets no ticks
}

type eventQueue []queuedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].serial < q[j].serial)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(queuedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = queuedEvent{}
	*q = old[:len(old)-1]
	return last
}

func newNetwork(seed uint64, cfg membership.Config) *network {
	return &network{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), cfg: cfg,
		members: make(map[string]*member), cut: func(string, string) bool { return false },
	}
}

// node returns the record of the i-th node. Nodes are assigned to the data
// centres in rotation.
func node(i, centres int) fleet.Node {
	addr := func(port int) string { return fmt.Sprintf("10.%d.%d.%d:%d", i%centres, i>>8, i&255, port) }
	return fleet.Node{
		ID: fleet.NodeID(fmt.Sprintf("node-%04d", i)), Region: "region-1", DataCentre: fmt.Sprintf("dc-%d", i%centres),
		PeerAddr: addr(7100), CallerAddr: addr(8080), OperatorAddr: addr(7200),
	}
}

// start starts a new process of the node, with the current time as its
// incarnation.
func (n *network) start(self fleet.Node, seeds ...string) *member {
	m := n.members[self.PeerAddr]
	if m == nil {
		m = &member{}
		n.members[self.PeerAddr] = m
		n.order = append(n.order, m)
	}
	self.Incarnation = uint64(n.now.UnixNano())
	m.self, m.up, m.paused, m.backlog = self, true, false, nil
	m.machine = membership.New(self, n.cfg, n.random.Uint64())
	n.step(m, membership.Start{Seeds: seeds})
	n.scheduleTick(m)
	return m
}

func (n *network) scheduleTick(m *member) {
	n.push(queuedEvent{at: n.now.Add(membership.DefaultConfig().TickInterval), to: m, owner: m.machine})
}

func (n *network) push(e queuedEvent) {
	n.serial++
	e.serial = n.serial
	heap.Push(&n.queue, e)
}

func (n *network) step(m *member, ev membership.Event) {
	if !m.up {
		return
	}
	if m.paused {
		m.backlog = append(m.backlog, ev)
		return
	}
	began := time.Time{}
	if n.timed {
		began = time.Now()
	}
	actions := m.machine.Step(n.now, ev)
	if n.timed {
		n.busy += time.Since(began)
	}
	var syncs []string
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			n.send(m, a)
		case membership.NodeChanged:
			if n.changed != nil {
				n.changed(m, a.Node)
			}
		case membership.TargetReceived:
			m.receiveTarget(n, a.Target)
		case membership.SyncWith:
			syncs = append(syncs, a.Addr)
		}
	}
	for _, addr := range syncs {
		n.sync(m, addr)
	}
}

// receiveTarget does the work of the target registry: it stores a target record
// and broadcasts it if it is new or newer than the stored one.
func (m *member) receiveTarget(n *network, t fleet.Target) {
	for i, old := range m.targets {
		if old.ID == t.ID {
			if t.Newer(old) {
				m.targets[i] = t
				n.push(queuedEvent{at: n.now, to: m, event: membership.DisseminateTarget{Target: t}})
			}
			return
		}
	}
	m.targets = append(m.targets, t)
	n.push(queuedEvent{at: n.now, to: m, event: membership.DisseminateTarget{Target: t}})
}

func (n *network) delay() time.Duration {
	return 500*time.Microsecond + time.Duration(n.random.Int64N(int64(time.Millisecond)))
}

func (n *network) send(from *member, a membership.Send) {
	to := n.members[a.To]
	if to == nil || n.cut(from.self.PeerAddr, a.To) || (n.loss > 0 && n.random.Float64() < n.loss) {
		return
	}
	n.push(queuedEvent{at: n.now.Add(n.delay()), to: to, event: membership.Packet{From: from.self.PeerAddr, Message: a.Message}})
}

// sync makes a full-state exchange, which fails if either direction is cut.
func (n *network) sync(m *member, addr string) {
	other := n.members[addr]
	if other == nil || !other.up || other.paused || other == m || n.cut(m.self.PeerAddr, addr) || n.cut(addr, m.self.PeerAddr) {
		return
	}
	m.syncs++
	request, response := m.machine.Records(), other.machine.Records()
	n.push(queuedEvent{at: n.now.Add(n.delay()), to: other, event: membership.Merge{Nodes: request}})
	n.push(queuedEvent{at: n.now.Add(2 * n.delay()), to: m, event: membership.Merge{Nodes: response}})
}

// run advances virtual time by d.
func (n *network) run(d time.Duration) { n.runUntil(d, func() bool { return false }) }

// runUntil advances virtual time until done returns true, but by at most d, and
// returns the last result of done. done is called at most every 10 ms of
// virtual time.
func (n *network) runUntil(d time.Duration, done func() bool) bool {
	end, check := n.now.Add(d), n.now
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		if !check.After(n.queue[0].at) {
			if done() {
				return true
			}
			check = n.queue[0].at.Add(10 * time.Millisecond)
		}
		e := heap.Pop(&n.queue).(queuedEvent)
		n.now = e.at
		if e.owner != nil {
			if e.owner == e.to.machine && e.to.up {
				if !e.to.paused {
					n.step(e.to, membership.Tick{})
				}
				n.scheduleTick(e.to)
			}
			continue
		}
		n.step(e.to, e.event)
	}
	n.now = end
	return done()
}

func (n *network) stop(m *member)  { m.up = false }
func (n *network) pause(m *member) { m.paused = true }

func (n *network) resume(m *member) {
	m.paused = false
	for _, ev := range m.backlog {
		n.step(m, ev)
	}
	m.backlog = nil
}

// viewOf returns the state of b in the records of a. Unknown nodes count as
// dead.
func viewOf(a, b *member) fleet.NodeState {
	if n, ok := a.machine.Node(b.self.ID); ok {
		return n.State
	}
	return fleet.NodeDead
}

// disagreements returns up to ten wrong views in sorted order. A view is wrong
// if a running node is not alive in it, or a stopped node is not dead.
func (n *network) disagreements() []string {
	wrong := n.wrongViews(math.MaxInt)
	sort.Strings(wrong)
	if len(wrong) > 10 {
		wrong = append(wrong[:10], fmt.Sprintf("and %d more", len(wrong)-10))
	}
	return wrong
}

// wrongViews returns up to limit wrong views.
func (n *network) wrongViews(limit int) []string {
	var wrong []string
	for _, a := range n.order {
		for _, b := range n.order {
			if !a.up || a == b {
				continue
			}
			state := viewOf(a, b)
			if (b.up && state != fleet.NodeAlive) || (!b.up && state != fleet.NodeDead) {
				wrong = append(wrong, fmt.Sprintf("%s sees %s %s", a.self.ID, b.self.ID, state))
				if len(wrong) == limit {
					return wrong
				}
			}
		}
	}
	return wrong
}

func (n *network) converged() bool { return len(n.wrongViews(1)) == 0 }

// newFleet starts size nodes that all know each other, as in a long-running
// fleet.
func newFleet(seed uint64, size, centres int, cfg membership.Config) *network {
	n := newNetwork(seed, cfg)
	for i := range size {
		n.start(node(i, centres))
	}
	records := make([]*controlv1.Node, size)
	for i, m := range n.order {
		records[i] = membership.NodeToProto(m.self)
	}
	for _, m := range n.order {
		n.step(m, membership.Merge{Nodes: records})
	}
	n.run(3 * time.Second)
	return n
}
