package quota

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/fleet"
)

const ms = time.Millisecond

// sim runs machines against a simulated network and a model of membership.
type sim struct {
	rnd    *rand.Rand
	now    time.Duration
	queue  eventQueue
	order  int
	nodes  []*simNode
	cfg    Config
	quotas map[string][]quotaChange
	// loss is the part of datagrams that are lost, delay their mean delay.
	loss  float64
	delay time.Duration

	granted  map[string][]time.Duration
	rejected map[string][]Decision
	unknown  map[string]int
	messages int
}

type quotaChange struct {
	at time.Duration
	bundle.Quota
}

type simNode struct {
	id          fleet.NodeID
	machine     *Machine // nil while the process is dead
	incarnation uint64
	group       int // nodes of different groups are cut off from each other
	// unreachable is a node to and from which datagrams are lost, while others
	// reach both.
	unreachable *simNode
	pending     []pendingRequest
}

type pendingRequest struct {
	organisation string
	w            *Waiter
}

type simEvent struct {
	at    time.Duration
	order int
	f     func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newSim returns a fleet of n nodes that know each other.
func newSim(seed uint64, n int, cfg Config, quota bundle.Quota) *sim {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 1)), cfg: cfg, delay: 2 * ms,
		quotas:  map[string][]quotaChange{"org": {{0, quota}}},
		granted: make(map[string][]time.Duration), rejected: make(map[string][]Decision), unknown: make(map[string]int),
	}
	for i := range n {
		s.nodes = append(s.nodes, &simNode{id: fleet.NodeID(fmt.Sprintf("n-%d", i))})
	}
	for _, node := range s.nodes {
		s.start(node)
	}
	for _, node := range s.nodes {
		for _, other := range s.nodes {
			node.machine.NodeChanged(0, other.record(fleet.NodeAlive))
		}
	}
	s.every(100*ms, func() {
		for _, node := range s.nodes {
			heard := func(o *simNode) bool { return o != node && o.machine != nil && o.group == node.group }
			if node.machine != nil && slices.ContainsFunc(s.nodes, heard) {
				node.machine.Heard(s.now)
			}
		}
	})
	s.every(500*ms, func() {
		for _, node := range s.nodes {
			if node.machine != nil {
				s.send(node, slices.Clone(node.machine.Sweep(s.now)))
			}
		}
	})
	return s
}

func (s *sim) after(d time.Duration, f func()) {
	s.order++
	heap.Push(&s.queue, simEvent{s.now + d, s.order, f})
}

func (s *sim) every(d time.Duration, f func()) {
	s.after(d, func() { f(); s.every(d, f) })
}

func (s *sim) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.f()
		s.collectAll()
	}
	s.now = end
	s.collectAll()
}

func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rnd.Float64()*float64(high-low))
}

func (s *sim) start(n *simNode) {
	n.incarnation += 1_000_000_000
	n.machine = New(n.id, false, s.cfg, func(organisation string) (bundle.Quota, bool) { return s.quota(organisation), true }, s.now)
	n.pending = nil
}

func (s *sim) quota(organisation string) bundle.Quota {
	var q bundle.Quota
	for _, c := range s.quotas[organisation] {
		if c.at <= s.now {
			q = c.Quota
		}
	}
	return q
}

func (n *simNode) record(state fleet.NodeState) fleet.Node {
	return fleet.Node{ID: n.id, PeerAddr: string(n.id), State: state, Incarnation: n.incarnation}
}

// tell gives an observer a record after a delay if the process still runs and
// the record's subject has not changed.
func (s *sim) tell(observer, subject *simNode, state fleet.NodeState, delay time.Duration, valid func() bool) {
	process, incarnation := observer.machine, subject.incarnation
	s.after(delay, func() {
		if process != nil && observer.machine == process && subject.incarnation == incarnation && valid() {
			process.NodeChanged(s.now, subject.record(state))
		}
	})
}

func connected(a, b *simNode) bool {
	return a.machine != nil && b.machine != nil && a.group == b.group
}

// notice lets observers that cannot reach a node suspect it and declare it
// dead, in the times of membership.DefaultConfig.
func (s *sim) notice(subject *simNode) {
	suspected := s.between(500*ms, 900*ms)
	for _, o := range s.nodes {
		if o == subject || o.machine == nil || connected(o, subject) {
			continue
		}
		gone := func() bool { return !connected(o, subject) }
		skew := s.between(0, 200*ms)
		s.tell(o, subject, fleet.NodeSuspect, suspected+skew, gone)
		alone := !slices.ContainsFunc(s.nodes, func(x *simNode) bool { return x != o && connected(o, x) })
		if alone {
			skew += 10 * time.Second
		}
		s.tell(o, subject, fleet.NodeDead, suspected+skew+900*ms, gone)
	}
}

// meet lets nodes that can reach each other again learn it.
func (s *sim) meet(a, b *simNode) {
	alive := func() bool { return connected(a, b) }
	s.tell(a, b, fleet.NodeAlive, s.between(50*ms, 500*ms), alive)
	s.tell(b, a, fleet.NodeAlive, s.between(50*ms, 500*ms), alive)
}

func (s *sim) kill(n *simNode) {
	n.machine = nil
	s.notice(n)
}

// restart starts a process again. A process that starts in a divided fleet would
// not know how many nodes there are, so it waits until the fleet is whole; the
// design note names this limit.
func (s *sim) restart(n *simNode) {
	if n.machine != nil {
		return
	}
	if slices.ContainsFunc(s.nodes, func(o *simNode) bool { return o.group != 0 }) {
		s.after(500*ms, func() { s.restart(n) })
		return
	}
	s.start(n)
	process := n.machine
	s.after(s.between(20*ms, 200*ms), func() {
		if n.machine == process {
			s.join(n)
		}
	})
}

// join exchanges records with the nodes that can be reached. They also tell of
// nodes whose failure they have not noticed yet.
func (s *sim) join(n *simNode) {
	for _, o := range s.nodes {
		if o == n {
			continue
		}
		if connected(o, n) {
			alive := func() bool { return connected(o, n) }
			n.machine.NodeChanged(s.now, o.record(fleet.NodeAlive))
			s.tell(o, n, fleet.NodeAlive, s.between(10*ms, 400*ms), alive)
			continue
		}
		knows := func(by *simNode) bool {
			if by == n || !connected(by, n) {
				return false
			}
			k := by.machine.members.byID[o.id]
			return k != nil && k.usable
		}
		if slices.ContainsFunc(s.nodes, knows) {
			n.machine.NodeChanged(s.now, o.record(fleet.NodeAlive))
			s.tell(n, o, fleet.NodeDead, s.between(time.Second, 1800*ms), func() bool { return !connected(o, n) })
		}
	}
}

func (s *sim) leave(n *simNode) {
	if n.machine == nil {
		return
	}
	n.machine.NodeChanged(s.now, n.record(fleet.NodeLeaving))
	for _, o := range s.nodes {
		if o != n {
			s.tell(o, n, fleet.NodeLeaving, s.between(10*ms, 300*ms), func() bool { return true })
		}
	}
	process := n.machine
	s.after(2500*ms, func() {
		if n.machine == process {
			n.machine = nil
		}
	})
}

// divide moves nodes to a group of their own, and heal brings all together.
func (s *sim) divide(nodes []*simNode, group int) {
	for _, n := range nodes {
		n.group = group
	}
	for _, n := range s.nodes {
		s.notice(n)
	}
}

func (s *sim) heal() {
	groups := make(map[*simNode]int)
	for _, n := range s.nodes {
		groups[n], n.group = n.group, 0
	}
	for i, a := range s.nodes {
		for _, b := range s.nodes[:i] {
			if groups[a] != groups[b] {
				s.meet(a, b)
			}
		}
	}
}

func (s *sim) request(n *simNode, organisation string) {
	if n.machine == nil {
		return
	}
	decision, w, sends := n.machine.Take(s.now, organisation, s.quota(organisation))
	sends = slices.Clone(sends)
	if w == nil {
		s.record(organisation, decision)
	} else {
		n.pending = append(n.pending, pendingRequest{organisation, w})
	}
	s.send(n, sends)
}

func (s *sim) record(organisation string, d Decision) {
	switch {
	case d.Granted:
		s.granted[organisation] = append(s.granted[organisation], s.now)
	case d.Unknown:
		s.unknown[organisation]++
	default:
		s.rejected[organisation] = append(s.rejected[organisation], d)
	}
}

func (s *sim) collectAll() {
	for _, n := range s.nodes {
		s.collect(n)
	}
}

func (s *sim) collect(n *simNode) {
	n.pending = slices.DeleteFunc(n.pending, func(p pendingRequest) bool {
		select {
		case d := <-p.w.Decided:
			s.record(p.organisation, d)
			return true
		default:
			return false
		}
	})
}

func (s *sim) send(from *simNode, sends []Send) {
	for _, m := range sends {
		s.messages++
		process := from.machine
		if m.Query != nil {
			s.after(AnswerTimeout, func() {
				if from.machine == process {
					s.send(from, slices.Clone(process.Tick(s.now)))
				}
			})
		}
		m = Send{m.Addr, proto.CloneOf(m.Query), proto.CloneOf(m.Answer)}
		i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return string(n.id) == m.Addr })
		to := s.nodes[i]
		copies := 1
		if s.rnd.Float64() < s.loss {
			copies = 2 * s.rnd.IntN(2) // lost or duplicated
		}
		for range copies {
			delay := time.Duration(s.rnd.ExpFloat64() * float64(s.delay))
			s.after(delay, func() { s.deliver(from, to, m) })
		}
	}
}

func (s *sim) deliver(from, to *simNode, m Send) {
	if to.machine == nil || from.group != to.group || from.unreachable == to || to.unreachable == from {
		return
	}
	to.machine.Heard(s.now)
	if m.Query != nil {
		s.send(to, slices.Clone(to.machine.Query(s.now, from.id, string(from.id), m.Query)))
		return
	}
	s.send(to, slices.Clone(to.machine.Answer(s.now, m.Answer)))
}

// poisson lets requests arrive at random times at nodes that pick chooses.
func (s *sim) poisson(organisation string, rate func() float64, pick func() *simNode) {
	s.after(time.Duration(s.rnd.ExpFloat64()/rate()*float64(time.Second)), func() {
		s.request(pick(), organisation)
		s.poisson(organisation, rate, pick)
	})
}

func (s *sim) anyNode() *simNode { return s.nodes[s.rnd.IntN(len(s.nodes))] }

// owner returns the first nodes in order of an organisation.
func (s *sim) ranked(organisation string) []*simNode {
	d := demand{hash: orgHash(organisation)}
	return slices.SortedFunc(slices.Values(s.nodes), func(a, b *simNode) int {
		return cmp.Compare(weight(nodeHash(b.id), d.hash), weight(nodeHash(a.id), d.hash))
	})
}

// worst returns by how much of the tolerance the granted requests exceeded the
// quota in the worst window; the bound is broken above 1.
func (s *sim) worst(organisation string) (used float64, at time.Duration) {
	times := s.granted[organisation]
	used = math.Inf(-1)
	first := 0
	for i, t := range times {
		for times[first] < t-s.cfg.Window {
			first++
		}
		quota, tolerance := 0.0, 0.0
		for j, c := range s.quotas[organisation] {
			// A lower limit binds one window after the change.
			replaced := j+1 < len(s.quotas[organisation]) && s.quotas[organisation][j+1].at < times[first]-s.cfg.Window
			if c.at > t || replaced {
				continue
			}
			q := c.RequestsPerSecond*s.cfg.Window.Seconds() + c.Burst
			if quota < q {
				quota, tolerance = q, q*s.cfg.Excess+s.cfg.Slack
			}
		}
		if u := (float64(i-first+1) - quota) / tolerance; u > used {
			used, at = u, t
		}
	}
	return used, at
}
