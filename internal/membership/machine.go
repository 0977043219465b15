package membership

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
)

const (
	// pauseTicks is the number of missed ticks after which the machine assumes
	// that its own process was paused. It then extends the deadlines of pending
	// probes and suspicions.
	pauseTicks = 5
	// syncOnDemandInterval is the shortest time between two full-state
	// exchanges that are requested outside the periodic schedule, for example
	// after a packet from an unknown node.
	syncOnDemandInterval = 5 * time.Second
	// maxEarlySyncs is the number of exchanges that follow the first one early,
	// at intervals of 2 s and 8 s, in fleets of up to earlySyncNodes nodes.
	maxEarlySyncs     = 2
	earlySyncInterval = 500 * time.Millisecond
	earlySyncNodes    = 256
	// noGossipAfterStart is the time after the start in which nodes learned from
	// a full-state exchange are not disseminated: a joining node learns the
	// whole fleet, which the other nodes know already.
	noGossipAfterStart = 15 * time.Second
	// singlePushThreshold is the number of queued state changes above which a
	// push goes to one node only, because each push then carries several state
	// changes and the byte budget is short.
	singlePushThreshold = 8
	// aloneReconnectFactor is how much more often a node without live peers tries
	// to reach one, and aloneSeeds the number of seeds that it then pings: when
	// all nodes start again at the same time, the first pings find no process.
	aloneReconnectFactor = 4
	aloneSeeds           = 16
	// refuteInterval is the shortest time between two increments of this node's
	// incarnation. It limits the rate at which two processes with the same
	// identifier keep raising their incarnations against each other.
	refuteInterval = 100 * time.Millisecond
	// maxRecentSenders is the number of latest senders that are kept. The latest
	// one is a preferred helper, and all serve to find a peer by its address.
	maxRecentSenders = 4
	// isolationPeers is the smallest number of live peers with which the lack of
	// any packet is attributed to this node's inbound path rather than to the
	// peers.
	isolationPeers = 3
)

// peer is the state that a machine keeps for one node, including its own.
type peer struct {
	node fleet.Node
	hash uint64
	// ownRecordSent means that the peer was sent this node's current record.
	ownRecordSent bool
	// suspected means that a suspicion against the peer is open. A machine that
	// verifies the peer declares it dead at deadline unless the peer refutes the
	// suspicion.
	suspected bool
	deadline  time.Time
	verifyAt  time.Time // when to probe the suspected peer; zero if no probe is due
	checked   bool      // probed since the suspicion began, here or by a node that reported its death
	deadSince time.Time
	// helper is the node that last forwarded an ack of this peer, at
	// indirectAckAt.
	helper        *peer
	indirectAckAt time.Time
}

// live reports whether the peer is not dead. Suspected and leaving peers are
// live.
func (p *peer) live() bool { return p.node.State != fleet.NodeDead }

// healthy reports whether the peer is live and not suspected.
func (p *peer) healthy() bool { return p.live() && !p.suspected }

// Machine is the membership state machine of one node. It is not safe for
// concurrent use.
type Machine struct {
	cfg     Config
	self    *peer
	random  *rand.Rand
	now     time.Time
	actions []Action

	peers   map[fleet.NodeID]*peer
	ring    []*peer            // all peers, ordered by hash
	centres map[string][]*peer // peers of each data centre, ordered by hash

	local  *queue // updates for the nodes of gossipGroup
	remote *queue // updates that a relay sends to the relays of other data centres

	seeds         []string
	started       bool
	lastTick      time.Time
	nextProbe     time.Time
	probeTurn     int
	probeSlowdown int // extra probe intervals between two probes; rises with each indirect ack
	sequence      uint64
	probes        []*probe
	forwards      []forward
	suspects      []*peer
	rechecks      []recheck
	recentSenders []*peer // latest first
	lastResponder *peer   // the node that sent the last ack of a probe, its own or a forwarded one
	lastHelper    *peer   // the node that sent the last forwarded ack
	lastReceived  time.Time

	nextReconnect    time.Time
	nextSync         time.Time
	joined           bool // a full-state exchange has taken place
	startedAt        time.Time
	earlySyncs       int
	lastOnDemandSync time.Time
	lastRefutation   time.Time
	highestVersion   uint64 // highest bundle version of any known node

	tokens   float64
	refilled time.Time
	stats    Stats
}

// Stats holds counters since the machine was created, except for Queued.
type Stats struct {
	// SentPackets and SentBytes count sent packets, including their headers.
	SentPackets, SentBytes uint64
	// OverBudget counts packets that were not sent because of the byte budget.
	OverBudget uint64
	// Suspicions counts the suspicions that failed probes of this node started,
	// and Refutations how often this node refuted a suspicion against itself.
	Suspicions, Refutations uint64
	// DeclaredDead counts the nodes that this node declared dead after a
	// suspicion.
	DeclaredDead uint64
	// Queued is the number of updates that are still being disseminated.
	Queued int
	// Ignored counts packets and records that are invalid or meant for another
	// node, and ping requests for an unknown node or beyond the limit of
	// forwarded pings.
	Ignored uint64
}

// New returns a machine for the node self. The seed determines all random
// choices.
func New(self fleet.Node, cfg Config, seed uint64) *Machine {
	self.State = fleet.NodeAlive
	m := &Machine{
		cfg:     cfg.withDefaults(),
		random:  rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(self.ID)))),
		peers:   make(map[fleet.NodeID]*peer),
		centres: make(map[string][]*peer),
		local:   newQueue(),
		remote:  newQueue(),
	}
	m.tokens = burstSeconds * float64(m.cfg.BytesPerSecond)
	m.self = m.add(self)
	return m
}

// Stats returns the current counters.
func (m *Machine) Stats() Stats {
	stats := m.stats
	stats.Queued = m.local.len() + m.remote.len()
	return stats
}

// Joined reports whether another usable node is known.
func (m *Machine) Joined() bool {
	for _, p := range m.ring {
		if p != m.self && p.node.Usable() {
			return true
		}
	}
	return false
}

// IsRelay reports whether this node is one of the relays of its data centre: of
// its live nodes that are not leaving, those with the lowest identifier hashes.
func (m *Machine) IsRelay() bool { return m.isRelay(m.self) }

// Self returns the local node's record.
func (m *Machine) Self() fleet.Node { return m.self.node }

// Nodes returns all known nodes ordered by identifier, including the local node
// and dead nodes.
func (m *Machine) Nodes() []fleet.Node {
	nodes := make([]fleet.Node, 0, len(m.ring))
	for _, p := range m.ring {
		nodes = append(nodes, p.node)
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].ID < nodes[j].ID })
	return nodes
}

// Node returns the record of the node with the identifier, and whether the node
// is known.
func (m *Machine) Node(id fleet.NodeID) (fleet.Node, bool) {
	p, ok := m.peers[id]
	if !ok {
		return fleet.Node{}, false
	}
	return p.node, true
}

// Records returns all records for a full-state exchange.
func (m *Machine) Records() []*controlv1.Node {
	nodes := make([]*controlv1.Node, 0, len(m.ring))
	for _, p := range m.ring {
		nodes = append(nodes, NodeToProto(p.node))
	}
	return nodes
}

// Step handles one event and returns the actions that the caller must carry
// out. The returned slice is valid until the next call.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions = m.actions[:0]
	m.now = now
	m.refill()
	m.compensatePause()
	switch e := ev.(type) {
	case Start:
		m.start(e)
	case AddSeed:
		m.addSeed(e.Addr)
	case Packet:
		m.handlePacket(e)
	case Tick:
		m.tick()
	case Leave:
		m.leave()
	case BundleActivated:
		m.bundleActivated(e.Version)
	case DisseminateTarget:
		m.disseminateTarget(e.Target)
	case Merge:
		m.merge(e)
	case SyncDone:
		m.nextSync = now.Add(m.jitter(SyncInterval(e.Bytes)))
	}
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) start(e Start) {
	if m.started {
		return
	}
	m.started = true
	m.seeds = e.Seeds
	m.startedAt = m.now
	m.lastTick, m.lastReceived = m.now, m.now
	// The first probes of nodes that start together are spread over one
	// interval.
	m.nextProbe = m.now.Add(time.Duration(m.random.Int64N(int64(m.cfg.ProbeInterval))))
	m.nextReconnect = m.now.Add(m.jitter(m.cfg.ReconnectInterval))
	m.nextSync = m.now.Add(m.jitter(syncInterval))
	m.emit(NodeChanged{m.self.node})
	for _, seed := range m.seeds {
		if seed != m.self.node.PeerAddr {
			m.pingSeed(seed)
		}
	}
}

// addSeed pings an address immediately and adds it to the seeds.
func (m *Machine) addSeed(addr string) {
	if addr == m.self.node.PeerAddr {
		return
	}
	if !slices.Contains(m.seeds, addr) {
		m.seeds = append(m.seeds, addr)
	}
	m.pingSeed(addr)
}

// jitter returns a duration between 80% and 120% of d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d*8/10 + time.Duration(m.random.Int64N(int64(d)*4/10+1))
}

// compensatePause extends the deadlines of pending probes and suspicions by the
// time in which this process did not run, because it could not process acks in
// that time.
func (m *Machine) compensatePause() {
	if !m.started {
		return
	}
	gap := m.now.Sub(m.lastTick)
	if gap <= pauseTicks*m.cfg.TickInterval {
		return
	}
	for _, p := range m.probes {
		p.deadline = p.deadline.Add(gap)
		if !p.nextRoundAt.IsZero() {
			p.nextRoundAt = p.nextRoundAt.Add(gap)
		}
	}
	for _, p := range m.suspects {
		p.deadline = p.deadline.Add(gap)
	}
	m.lastTick, m.lastReceived, m.nextProbe = m.now, m.now, m.now
}

func (m *Machine) tick() {
	if !m.started {
		return
	}
	m.lastTick = m.now
	m.expireProbes()
	m.checkSuspects()
	if !m.now.Before(m.nextProbe) {
		m.probeNext()
		m.nextProbe = m.nextProbe.Add(m.cfg.ProbeInterval * time.Duration(1+m.probeSlowdown))
		if m.nextProbe.Before(m.now) {
			m.nextProbe = m.now.Add(m.cfg.ProbeInterval)
		}
	}
	m.sendRechecks()
	if !m.now.Before(m.nextReconnect) {
		interval := m.cfg.ReconnectInterval
		if !m.Joined() {
			interval /= aloneReconnectFactor
			m.pingSeeds()
		}
		m.nextReconnect = m.now.Add(m.jitter(interval))
		m.reconnect()
		if !m.joined {
			m.sync()
		}
	}
	if !m.now.Before(m.nextSync) {
		m.nextSync = m.now.Add(m.jitter(syncInterval))
		m.sync()
	}
}

// sync requests a full-state exchange with a random healthy node of the gossip
// group and, on a relay, with a random relay of another data centre.
func (m *Machine) sync() {
	lists := [][]*peer{m.gossipGroup()}
	if !m.cfg.ProbeAll && m.isRelay(m.self) {
		lists = append(lists, m.remoteRelays())
	}
	for _, list := range lists {
		if p := m.randomPeer(list, func(p *peer) bool { return p != m.self && p.healthy() }); p != nil {
			m.emit(SyncWith{p.node.PeerAddr})
		}
	}
}

// scheduleEarlySyncs schedules the second and third full-state exchange soon
// after the first one: when several nodes start together, the seed they
// exchange with first does not know all of them yet. Large fleets are excluded,
// because they do not start all at once and their state is large.
func (m *Machine) scheduleEarlySyncs() {
	m.joined = true
	if m.earlySyncs < maxEarlySyncs && len(m.ring) <= earlySyncNodes {
		m.earlySyncs++
		m.nextSync = m.now.Add(m.jitter(earlySyncInterval << (2 * m.earlySyncs)))
	}
}

func (m *Machine) leave() {
	if m.self.node.State == fleet.NodeLeaving {
		return
	}
	m.self.node.State = fleet.NodeLeaving
	m.ownRecordChanged()
}

// ownRecordChanged disseminates this node's record after a change of a field
// other than the bundle version.
func (m *Machine) ownRecordChanged() {
	for _, p := range m.ring {
		p.ownRecordSent = false
	}
	m.emit(NodeChanged{m.self.node})
	m.disseminate(m.self, NodeToProto(m.self.node), stateRank, push)
}

func (m *Machine) bundleActivated(version uint64) {
	if version <= m.self.node.BundleVersion {
		return
	}
	m.self.node.BundleVersion = version
	m.emit(NodeChanged{m.self.node})
	m.disseminateVersion(m.self)
}

// disseminateVersion disseminates the bundle version of p in a short record,
// which has no region, data centre or addresses. The record is pushed only if
// the version is higher than any known one. Otherwise it is only piggybacked.
func (m *Machine) disseminateVersion(p *peer) {
	var flags gossipFlags
	if p.node.BundleVersion > m.highestVersion {
		m.highestVersion = p.node.BundleVersion
		flags = push
	}
	if !m.cfg.ProbeAll && p != m.self && !m.isRelay(p) {
		flags |= localOnly
	}
	m.disseminate(p, &controlv1.Node{
		Id: string(p.node.ID), Incarnation: p.node.Incarnation,
		State: stateToProto(p.node.State), BundleVersion: p.node.BundleVersion,
	}, recordRank, flags)
}

func (m *Machine) disseminateTarget(t fleet.Target) {
	m.enqueue(update{key: "target/" + string(t.ID), target: TargetToProto(t), rank: targetRank}, push)
}

// gossipFlags select how an update is disseminated in addition to piggybacking.
type gossipFlags uint8

const (
	// push sends the update to some nodes immediately.
	push gossipFlags = 1 << iota
	// localOnly keeps the update within the data centre.
	localOnly
)

// disseminate queues a record of node p for dissemination.
func (m *Machine) disseminate(p *peer, record *controlv1.Node, r rank, flags gossipFlags) {
	m.enqueue(update{key: string(p.node.ID), node: record, rank: r}, flags)
}

func (m *Machine) enqueue(u update, flags gossipFlags) {
	local, remote := u, u
	local.remaining = transmissions(len(m.gossipGroup()))
	m.local.put(&local)
	var relays []*peer
	if !m.cfg.ProbeAll && flags&localOnly == 0 && m.isRelay(m.self) {
		relays = m.remoteRelays()
		remote.remaining = transmissions(len(relays))
		m.remote.put(&remote)
	}
	if flags&push != 0 && m.started {
		m.push(u, m.gossipGroup())
		m.push(u, relays)
	}
}

// transmissions returns how many times a node piggybacks an update in a group
// of n nodes. Together with the pushes, the update reaches nearly all nodes;
// the periodic full-state exchange brings it to the others.
func transmissions(n int) int { return 2 + int(math.Ceil(math.Log(float64(n+1)))) }

// push sends an update immediately to random nodes of the list.
func (m *Machine) push(u update, list []*peer) {
	class, fanout := classBulk, m.cfg.Fanout
	if u.rank == stateRank {
		class = classStateChange
		if len(m.local.lists[stateRank]) > singlePushThreshold {
			fanout = 1
		}
	}
	sent := make([]*peer, 0, fanout)
	for range fanout {
		p := m.randomPeer(list, func(p *peer) bool {
			return m.isLiveOther(p) && p.healthy() && string(p.node.ID) != u.key && !contains(sent, p)
		})
		if p == nil {
			return
		}
		sent = append(sent, p)
		d := m.datagram()
		if u.node != nil {
			d.Nodes = append(d.Nodes, u.node)
		} else {
			d.Targets = append(d.Targets, u.target)
		}
		if !m.withinBudget(packetSize(d), class) {
			return
		}
		if class == classStateChange {
			m.local.fillFrom(&m.local.lists[stateRank], d, statePiggybackBytes, string(p.node.ID))
		}
		m.transmit(p.node.PeerAddr, d)
	}
}

func contains(list []*peer, p *peer) bool {
	for _, q := range list {
		if q == p {
			return true
		}
	}
	return false
}

// add adds a node to the known peers.
func (m *Machine) add(n fleet.Node) *peer {
	p := &peer{node: n, hash: xxhash.Sum64String(string(n.ID))}
	m.peers[n.ID] = p
	m.ring = insert(m.ring, p)
	m.centres[n.DataCentre] = insert(m.centres[n.DataCentre], p)
	return p
}

// removeNode removes a dead node and all references to it.
func (m *Machine) removeNode(p *peer) {
	delete(m.peers, p.node.ID)
	m.ring = removePeer(m.ring, p)
	m.centres[p.node.DataCentre] = removePeer(m.centres[p.node.DataCentre], p)
	m.recentSenders = removePeer(m.recentSenders, p)
	if m.lastResponder == p {
		m.lastResponder = nil
	}
	if m.lastHelper == p {
		m.lastHelper = nil
	}
	for _, q := range m.ring {
		if q.helper == p {
			q.helper = nil
		}
	}
}

// position returns the index of the first peer at or after hash and id.
func position(list []*peer, hash uint64, id fleet.NodeID) int {
	return sort.Search(len(list), func(i int) bool { return !before(list[i], hash, id) })
}

func before(p *peer, hash uint64, id fleet.NodeID) bool {
	return p.hash < hash || (p.hash == hash && p.node.ID < id)
}

func insert(list []*peer, p *peer) []*peer {
	i := position(list, p.hash, p.node.ID)
	list = append(list, nil)
	copy(list[i+1:], list[i:])
	list[i] = p
	return list
}

func removePeer(list []*peer, p *peer) []*peer {
	for i := range list {
		if list[i] == p {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// gossipGroup returns the nodes that this node probes and gossips with,
// including itself: all nodes or, without Config.ProbeAll, those of its data
// centre.
func (m *Machine) gossipGroup() []*peer {
	if m.cfg.ProbeAll {
		return m.ring
	}
	return m.centres[m.self.node.DataCentre]
}

// relays returns the relays of a data centre: of the live nodes that are not
// leaving, those with the lowest identifier hashes.
func (m *Machine) relays(centre string) []*peer {
	return m.lowestHashes(centre, func(p *peer) bool { return p.live() && p.node.State != fleet.NodeLeaving })
}

// lowestHashes returns the nodes of a data centre that are wanted and have the
// lowest hashes, at most Config.Relays of them.
func (m *Machine) lowestHashes(centre string, wanted func(*peer) bool) []*peer {
	found := make([]*peer, 0, m.cfg.Relays)
	for _, p := range m.centres[centre] {
		if wanted(p) {
			found = append(found, p)
			if len(found) == m.cfg.Relays {
				break
			}
		}
	}
	return found
}

func (m *Machine) isRelay(p *peer) bool { return contains(m.relays(p.node.DataCentre), p) }

// remoteRelays returns the relays of the other data centres, ordered by hash.
func (m *Machine) remoteRelays() []*peer { return m.otherCentres(m.relays) }

// remoteCandidates returns the nodes of other data centres that a relay probes:
// their relays and, in place of relays that are suspected or have missed an
// ack, the nodes that would replace them. When a whole data centre fails, all
// its nodes are probed one after another in this way.
func (m *Machine) remoteCandidates() []*peer {
	return m.otherCentres(m.candidates)
}

func (m *Machine) candidates(centre string) []*peer {
	return m.lowestHashes(centre, func(p *peer) bool {
		return p.healthy() && p.node.State != fleet.NodeLeaving && !m.missedDirectAck(p)
	})
}

func (m *Machine) otherCentres(choose func(centre string) []*peer) []*peer {
	var all []*peer
	for centre := range m.centres {
		if centre != m.self.node.DataCentre {
			all = append(all, choose(centre)...)
		}
	}
	sort.Slice(all, func(i, j int) bool { return before(all[i], all[j].hash, all[j].node.ID) })
	return all
}

// verifies reports whether this node probes p itself before it declares p dead.
// If not, it accepts the verdict that reaches it through its data centre.
func (m *Machine) verifies(p *peer) bool {
	return m.cfg.ProbeAll || p.node.DataCentre == m.self.node.DataCentre || m.isRelay(m.self)
}

func (m *Machine) isLiveOther(p *peer) bool { return p != m.self && p.live() }

// randomPeer returns a random wanted peer of the list, or nil.
func (m *Machine) randomPeer(list []*peer, wanted func(*peer) bool) *peer {
	if len(list) == 0 {
		return nil
	}
	first := m.random.IntN(len(list))
	// A few independent draws keep the choice uniform if most peers of the list
	// are wanted. The scan finds a wanted peer if only few are.
	for range 4 {
		if p := list[m.random.IntN(len(list))]; wanted(p) {
			return p
		}
	}
	for i := range list {
		if p := list[(first+i)%len(list)]; wanted(p) {
			return p
		}
	}
	return nil
}

// String returns a one-line summary of the machine for debugging.
func (m *Machine) String() string {
	live := 0
	for _, p := range m.ring {
		if p.live() {
			live++
		}
	}
	return fmt.Sprintf("%s: %d nodes, %d live, %d suspected, %d%% of a second's budget left", m.self.node.ID, len(m.ring), live,
		len(m.suspects), int(100*m.tokens)/m.cfg.BytesPerSecond)
}
