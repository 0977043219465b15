package node

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"siskinvale.dev/siskinvale/internal/announce"
	"siskinvale.dev/siskinvale/internal/bundle"
	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/freshness"
	"siskinvale.dev/siskinvale/internal/health"
	"siskinvale.dev/siskinvale/internal/loadreport"
	"siskinvale.dev/siskinvale/internal/membership"
	"siskinvale.dev/siskinvale/internal/rollout"
	"siskinvale.dev/siskinvale/internal/routing"
)

const (
	// inboxSize bounds the number of functions that wait for the control
	// goroutine. Datagrams that arrive while the inbox is full are dropped,
	// like packets lost in the network.
	inboxSize = 4096
	// controlTick is the interval of the control goroutine's timer and the
	// shortest timer interval of the state machines.
	controlTick = 50 * time.Millisecond
	// healthTicks is the number of control ticks between two health decisions.
	healthTicks = 2
	// reportTicks is the number of control ticks between two reports of counted
	// packet faults, about a minute. Single faults are not logged, so that many
	// of them do not flood the log.
	reportTicks = 1200
	// slowStepTicks is the number of control ticks between two steps of the
	// state machines whose deadlines are seconds long.
	slowStepTicks = 5
	// sweepTicks is the number of control ticks between two sweeps of the
	// quotas: half a second.
	sweepTicks = 10
	// publishInterval is the shortest time between two views. A view costs time
	// in proportion to the fleet, and while a fleet starts there are as many
	// changes as nodes and targets.
	publishInterval = 100 * time.Millisecond
)

// control is the control state of a node. All fields except the atomic ones are
// owned by the goroutine that executes run.
type control struct {
	node      *Node
	inbox     chan func()
	ended     chan struct{} // closed when run has returned
	transport *membership.Transport

	members  *membership.Machine
	targets  *announce.Registry
	rollout  *rollout.Machine
	health   *health.Monitor
	routing  *routing.Table
	evidence *evidenceCollector
	loads    *loadreport.Relay
	traffic  datagramTraffic
	keyLease keyLease
	// leavingChecks concerns announcements of local targets.
	leavingChecks leavingChecks
	// retryLoans is nil without a fleet retry budget.
	retryLoans *retryLoans

	bundle      *bundle.Bundle
	nodes       map[fleet.NodeID]fleet.Node
	targetsByID map[fleet.TargetID]fleet.Target
	// byService holds the targets of targetsByID grouped by service and ordered
	// by ID. Decisions concern one service at a time, and 28,000 targets may be
	// known.
	byService     map[string][]fleet.Target
	pickers       map[string]*routing.Picker
	owners        map[string][]fleet.NodeID // by service, the nodes that can own its keys
	staleServices map[string]bool           // services whose picker and operation members must be rebuilt
	viewChanged   bool
	// viewUrgent makes publish replace the view without waiting for
	// publishInterval.
	viewUrgent  bool
	publishedAt time.Time
	draining    bool
	// loadsDue makes the next tick send the loads of the local targets without
	// waiting for loadTicks.
	loadsDue bool
	// wantedAt is the time of the last request for target records.
	wantedAt time.Time
	ticks    uint64
	reported struct{ overBudget, dropped uint64 }

	// joined is set while membership knows another usable node, and relay while
	// this node is one of the relays of its data centre.
	joined, relay atomic.Bool

	ready atomic.Bool
	// version orders the bundle in force among those of all nodes, and
	// statedVersion is the version that its operator gave it. They differ only
	// with an adapter, see lineage.
	version, statedVersion atomic.Uint64
	content                atomic.Pointer[rollout.Content]
	counts                 atomic.Pointer[counts]
	lastTick               atomic.Int64 // Unix nanoseconds
}

// counts holds sizes and packet counters of the control state for metrics.
type counts struct {
	nodes, targets int
	udp            membership.TransportCounts
	rollout        rollout.Stats
}

// status is the part of the control state that is shown to operators.
type status struct {
	self              fleet.Node
	nodes             []fleet.Node
	targets           []fleet.Target
	verdicts          map[fleet.TargetID]health.Verdict
	bundleDigest      string
	bundleName        string
	platformReachable bool
}

func newControl(n *Node) *control {
	self := n.self
	c := &control{
		node:          n,
		inbox:         make(chan func(), inboxSize),
		ended:         make(chan struct{}),
		members:       membership.New(self, n.membershipConfig(), self.Incarnation),
		targets:       announce.New(self),
		rollout:       rollout.New(self.ID, n.bundleVerifier(), n.rolloutConfig()),
		health:        health.New(health.Config{Self: self.ID}),
		routing:       routing.NewTable(self, routing.Config{Standing: n.adapter != nil}),
		evidence:      newEvidenceCollector(self.Incarnation),
		loads:         loadreport.New(self, loadreport.DefaultConfig()),
		traffic:       datagramTraffic{remoteAddrs: make(map[string]bool)},
		nodes:         map[fleet.NodeID]fleet.Node{self.ID: self},
		targetsByID:   make(map[fleet.TargetID]fleet.Target),
		byService:     make(map[string][]fleet.Target),
		pickers:       make(map[string]*routing.Picker),
		owners:        make(map[string][]fleet.NodeID),
		staleServices: make(map[string]bool),
	}
	c.keyLease.init(n)
	c.counts.Store(&counts{})
	c.lastTick.Store(time.Now().UnixNano())
	return c
}

// runAndWait runs f on the control goroutine and returns when f has returned.
func (c *control) runAndWait(f func()) {
	done := make(chan struct{})
	c.inbox <- func() { defer close(done); f() }
	<-done
}

// tryRunAndWait is runAndWait for goroutines that may outlive the control
// goroutine. It reports false if the control goroutine has ended.
func (c *control) tryRunAndWait(f func()) bool {
	done := make(chan struct{})
	select {
	case c.inbox <- func() { defer close(done); f() }:
	case <-c.ended:
		return false
	}
	select {
	case <-done:
		return true
	case <-c.ended:
		return false
	}
}

// post queues f for the control goroutine and does not wait. It reports false
// when the inbox is full and f was dropped.
func (c *control) post(f func()) bool {
	select {
	case c.inbox <- f:
		return true
	default:
		return false
	}
}

// deliver queues a datagram that the transport received. Those about quotas are
// handled at once.
func (c *control) deliver(from string, d *controlv1.Datagram) {
	if c.node.quotas.receive(from, d) {
		return
	}
	c.post(func() { c.receive(from, d) })
}

func (c *control) receive(from string, d *controlv1.Datagram) {
	c.node.platform.eraSeen(d.GetStoreEra())
	if version := d.GetBundleVersion(); version > c.version.Load() {
		c.stepRollout(rollout.PeerVersion{From: fleet.NodeID(d.GetFrom()), Version: version})
	}
	if d.BundleConfirmedMs != nil {
		age := time.Duration(d.GetBundleConfirmedMs()) * time.Millisecond
		c.rollout.PeerConfirmed(d.GetBundleVersion(), time.Now().Add(-age))
		c.stepKeyLease(freshness.Hint{From: fleet.NodeID(d.GetFrom()), Age: age})
	}
	if c.receiveConfirmation(from, d) {
		return
	}
	if evidence := d.GetEvidence(); evidence != nil {
		for _, t := range d.GetTargets() {
			// A rejected record is older than the known one.
			_ = c.stepTargets(remoteTargetUpdate(t))
		}
		c.recordHealthSamples(samplesFromProto(fleet.NodeID(d.GetFrom()), evidence))
		c.receiveLoads(from, evidence)
		if ids := evidence.GetWantedTargets(); len(ids) > 0 {
			c.sendWanted(from, ids)
		}
		return
	}
	if c.retryLoans.receive(from, d) {
		return
	}
	c.stepMembers(membership.Packet{From: from, Message: d})
}

// run executes queued functions and timer ticks until ctx ends. It publishes a
// new view when one of them changed the state, see publish.
func (c *control) run(ctx context.Context) {
	defer close(c.ended)
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	c.node.log.Log(event.BundleAwaited, nil)
	c.stepMembers(membership.Start{Seeds: c.node.seeds()})
	c.stepRollout(rollout.NodeChanged{Node: c.members.Self()})
	for {
		select {
		case <-ctx.Done():
			c.drainInbox()
			return
		case f := <-c.inbox:
			f()
		case <-ticker.C:
			c.tick()
		}
		c.publish()
		c.publishConfirmation()
	}
}

// drainInbox runs the functions that were queued before the stop, so that no
// caller of runAndWait stays blocked.
func (c *control) drainInbox() {
	for {
		select {
		case f := <-c.inbox:
			f()
		default:
			return
		}
	}
}

func (c *control) tick() {
	c.ticks++
	c.lastTick.Store(time.Now().UnixNano())
	c.stepMembers(membership.Tick{})
	c.stepKeyLease(freshness.Tick{})
	if c.ticks%healthTicks == 0 {
		c.evaluateHealth()
	}
	due := c.loadsDue || c.node.sidecar.StandingChanged()
	if due || c.ticks%loadTicks == 0 {
		c.loadsDue = false
		c.sendLoads(due)
	}
	c.relayLoads()
	c.retryLoans.tick()
	c.joined.Store(c.members.Joined())
	c.relay.Store(c.members.IsRelay())
	c.node.quotas.tick()
	if c.ticks%sweepTicks == 0 {
		c.node.quotas.sweep()
	}
	if c.ticks%slowStepTicks == 0 {
		c.stepTargets(announce.Tick{})
		c.stepRollout(rollout.Tick{})
		c.updateKeyLeasePeers()
		c.sendEvidence()
		c.counts.Store(&counts{nodes: len(c.nodes), targets: len(c.targetsByID), udp: c.transport.Counts(), rollout: c.rollout.Stats()})
	}
	if c.ticks%reportTicks == 0 {
		c.reportFaults()
	}
}

// reportFaults logs how many packets were over budget or dropped since the last
// report.
func (c *control) reportFaults() {
	if over := c.members.Stats().OverBudget; over > c.reported.overBudget {
		c.node.log.Log(event.MembershipOverBudget, event.Fields{"packets": over - c.reported.overBudget})
		c.reported.overBudget = over
	}
	counts := c.transport.Counts()
	if dropped := counts.Unauthenticated + counts.Malformed; dropped > c.reported.dropped {
		c.node.log.Log(event.PacketsDropped, event.Fields{"packets": dropped - c.reported.dropped})
		c.reported.dropped = dropped
	}
}

// udpHeaderBytes is the size of the IPv4 and UDP headers of one packet.
const udpHeaderBytes = 28

func sentBytes(c membership.TransportCounts) uint64 { return c.SentBytes + udpHeaderBytes*c.Sent }

func receivedBytes(c membership.TransportCounts) uint64 {
	return c.ReceivedBytes + udpHeaderBytes*c.Received
}

// udpCounter returns a counter of the transport as of the last slow step.
func (c *control) udpCounter(read func(membership.TransportCounts) uint64) float64 {
	return float64(read(c.counts.Load().udp))
}

// lag returns the time since the control goroutine last ran its timers.
func (c *control) lag() time.Duration {
	return time.Since(time.Unix(0, c.lastTick.Load()))
}

// leave marks the node as leaving in its own view and announces this to its
// peers.
func (c *control) leave() {
	c.draining = true
	c.viewChanged, c.viewUrgent = true, true
	c.stepMembers(membership.Leave{})
	c.publish()
}

func (c *control) stepMembers(ev membership.Event) {
	for _, action := range slices.Clone(c.members.Step(time.Now(), ev)) {
		c.applyMemberAction(action)
	}
}

func (c *control) applyMemberAction(action membership.Action) {
	switch a := action.(type) {
	case membership.Send:
		c.send(a.Message, a.To)
	case membership.NodeChanged:
		c.nodeChanged(a.Node)
	case membership.TargetReceived:
		c.stepTargets(announce.RemoteUpdate{Target: a.Target})
	case membership.SyncWith:
		c.startSync(a.Addr)
	case membership.DuplicateID:
		c.node.log.Log(event.DuplicateNodeID, event.Fields{"other": a.Other.PeerAddr})
	}
}

func (c *control) nodeChanged(n fleet.Node) {
	old := c.nodes[n.ID]
	c.nodes[n.ID] = n
	c.viewChanged, c.keyLease.peersChanged = true, true
	c.stepRollout(rollout.NodeChanged{Node: n})
	c.loads.NodeChanged(n)
	c.traffic.nodeChanged(n, c.node.self.DataCentre)
	c.node.quotas.nodeChanged(n)
	c.retryLoans.nodesChanged()
	if n.ID == c.node.self.ID {
		return
	}
	if old.State == n.State && old.Incarnation == n.Incarnation {
		return
	}
	if old.ID == "" || old.State != n.State {
		c.node.log.Log(nodeStateEvents[n.State], event.Fields{"peer": n.ID})
	}
	switch n.State {
	case fleet.NodeDead:
		c.stepTargets(announce.NodeGone{NodeID: n.ID})
		c.node.pool.CloseStale(n.ID, 0)
		c.node.peers.dropClients(n.ID)
	case fleet.NodeLeaving:
		c.stepTargets(announce.NodeLeaving{NodeID: n.ID})
	default:
		c.stepTargets(announce.NodeReturned{NodeID: n.ID})
		c.node.pool.CloseStale(n.ID, n.Incarnation)
		c.node.peers.dropClients(n.ID)
	}
	c.markServicesStale(n.ID)
}

// nodeStateEvents maps the state of another node to the event that reports it.
var nodeStateEvents = map[fleet.NodeState]event.Event{
	fleet.NodeAlive: event.NodeAlive, fleet.NodeSuspect: event.NodeSuspected,
	fleet.NodeLeaving: event.PeerLeaving, fleet.NodeDead: event.NodeDead,
}

func (c *control) stepHealth(ev health.Event) {
	for _, action := range c.health.Step(time.Now(), ev) {
		e, fields := health.Describe(action)
		c.node.log.Log(e, fields)
		c.applyHealthAction(action)
	}
}

func (c *control) applyHealthAction(action health.Action) {
	var id fleet.TargetID
	switch a := action.(type) {
	case health.Eject:
		id = a.Target
	case health.Readmit:
		id = a.Target
	case health.Avoid:
		id = a.Target
	case health.FloorReached:
		c.staleServices[a.Service] = true
		return
	default:
		return
	}
	if t, ok := c.targetsByID[id]; ok {
		c.staleServices[t.Service] = true
	}
}

// evaluateHealth passes the samples of the local sidecar and ingress to the
// health monitor and triggers its decisions.
func (c *control) evaluateHealth() {
	local := c.node.sidecar.Samples()
	c.evidence.add(local)
	c.recordHealthSamples(local)
	c.recordHealthSamples(c.node.ingress.TakePathSamples())
	c.stepHealth(health.Tick{})
}

func (c *control) recordHealthSamples(samples []health.Sample) {
	for _, s := range samples {
		c.stepHealth(health.SampleReceived{Sample: s})
	}
}

func (c *control) stepRollout(ev rollout.Event) {
	for _, action := range slices.Clone(c.rollout.Step(time.Now(), ev)) {
		c.applyRolloutAction(action)
	}
}
