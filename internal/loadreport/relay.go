// Package loadreport spreads the loads that sidecars publish. Each sidecar
// sends its reports to the relays of its data centre. The relays distribute
// them in batches to the nodes of the data centre and exchange them with the
// relays of other data centres. The messages that a node handles therefore
// depend on the number of data centres and relays rather than on the number of
// nodes, and the bytes between data centres on the number of targets rather
// than on the number of pairs of nodes.
//
// Relay is a deterministic state machine without I/O: time, reports and the
// known nodes are arguments.
package loadreport

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Stage is the part of its way that a report has covered when a node receives
// it.
type Stage uint8

const (
	// FromSidecar is a report on its way from a sidecar to a relay of its own
	// data centre.
	FromSidecar Stage = iota + 1
	// BetweenCentres is a report on its way to a relay of another data centre.
	BetweenCentres
	// Distributed is a report on its way from a relay to the nodes of its data
	// centre.
	Distributed
)

// Report is the load of one target as its sidecar published it.
type Report struct {
	Target fleet.TargetID
	Load   fleet.Load
	// At is the time of the report by the clock of the node that holds it.
	At time.Time
	// Record is the fingerprint of the target's record at its sidecar.
	Record uint16
	// Urgent is set by a sidecar if the standing of the target has changed.
	// Only the relays that receive the report from the sidecar know it.
	Urgent bool
}

// Send requests that reports be sent to nodes.
type Send struct {
	To      []fleet.Node
	Stage   Stage
	Reports []Report
}

// Config holds the timing of a Relay.
type Config struct {
	// Relays is the number of relays of a data centre.
	Relays int
	// MinInterval and MaxInterval bound the time between two batches of a relay
	// to the nodes of its data centre. Between them it is IntervalPerNode for
	// each of these nodes.
	MinInterval, MaxInterval, IntervalPerNode time.Duration
	// UrgentInterval is the shortest time between two batches if the later one
	// holds an urgent report.
	UrgentInterval time.Duration
	// RemoteInterval is the time between two batches of a relay to another data
	// centre.
	RemoteInterval time.Duration
}

// DefaultConfig returns the timing with which a load report reaches the other
// nodes of its data centre within half a second of being published, and those
// of other data centres within a second. In data centres of up to 40 nodes, a
// relay sends 100 copies of a batch per second.
func DefaultConfig() Config {
	return Config{
		Relays: 2, MinInterval: 100 * time.Millisecond, MaxInterval: 400 * time.Millisecond, IntervalPerNode: 10 * time.Millisecond,
		UrgentInterval: 200 * time.Millisecond, RemoteInterval: 800 * time.Millisecond,
	}
}

// interval returns the time between two batches to n nodes.
func (c Config) interval(n int) time.Duration {
	return min(max(time.Duration(n)*c.IntervalPerNode, c.MinInterval), c.MaxInterval)
}

// Relay holds the reports that a node has to pass on. Each node has one; it
// stays empty on nodes that are not relays. It is not safe for concurrent use.
type Relay struct {
	cfg     Config
	self    fleet.Node
	centres map[string][]member // usable nodes by data centre, in order of relay preference
	// centreOf is the data centre in whose list a node is.
	centreOf map[fleet.NodeID]string
	// local and remote are the reports to be sent to the nodes of the own data
	// centre and to other data centres, by target.
	local, remote map[fleet.TargetID]Report
	urgent        bool
	lastLocal     time.Time
	// localTurn and remoteTurn are the turns of the last batches, see turn.
	localTurn, remoteTurn int64
}

// member is a usable node. Nodes with lower hashes are relays first.
type member struct {
	hash uint64
	node fleet.Node
}

func compareMembers(a, b member) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.node.ID, b.node.ID))
}

// New returns a Relay of the node self that knows no other node.
func New(self fleet.Node, cfg Config) *Relay {
	r := &Relay{cfg: cfg, self: self, centres: make(map[string][]member), centreOf: make(map[fleet.NodeID]string),
		local: make(map[fleet.TargetID]Report), remote: make(map[fleet.TargetID]Report)}
	r.NodeChanged(self)
	return r
}

// NodeChanged takes a new or changed record of a node into account.
func (r *Relay) NodeChanged(n fleet.Node) {
	m := member{hash: xxhash.Sum64String("load relay " + string(n.ID)), node: n}
	if centre, ok := r.centreOf[n.ID]; ok && (!n.Usable() || centre != n.DataCentre) {
		list := r.centres[centre]
		if at, listed := slices.BinarySearchFunc(list, m, compareMembers); listed {
			r.centres[centre] = slices.Delete(list, at, at+1)
		}
		if len(r.centres[centre]) == 0 {
			delete(r.centres, centre)
		}
		delete(r.centreOf, n.ID)
	}
	if !n.Usable() {
		return
	}
	list := r.centres[n.DataCentre]
	at, listed := slices.BinarySearchFunc(list, m, compareMembers)
	if listed {
		list[at] = m
	} else {
		r.centres[n.DataCentre] = slices.Insert(list, at, m)
	}
	r.centreOf[n.ID] = n.DataCentre
}

// relays returns the relays of a data centre. Nodes whose membership differs
// may disagree about them; a node passes on what it receives whether it counts
// itself among the relays or not.
func (r *Relay) relays(centre string) []member {
	list := r.centres[centre]
	return list[:min(r.cfg.Relays, len(list))]
}

// Publish returns the messages for new reports about this node's own targets.
func (r *Relay) Publish(reports []Report) []Send {
	if len(reports) == 0 {
		return nil
	}
	var to []fleet.Node
	for _, m := range r.relays(r.self.DataCentre) {
		if m.node.ID == r.self.ID {
			r.add(FromSidecar, reports)
			continue
		}
		to = append(to, m.node)
	}
	if len(to) == 0 {
		return nil
	}
	return []Send{{To: to, Stage: FromSidecar, Reports: reports}}
}

// Receive keeps reports from another node that have to be passed on.
func (r *Relay) Receive(stage Stage, reports []Report) { r.add(stage, reports) }

func (r *Relay) add(stage Stage, reports []Report) {
	if stage != FromSidecar && stage != BetweenCentres {
		return
	}
	for _, report := range reports {
		put(r.local, report)
		if stage == FromSidecar {
			put(r.remote, report)
			r.urgent = r.urgent || report.Urgent
		}
	}
}

// put keeps the newer one of two reports about a target.
func put(reports map[fleet.TargetID]Report, report Report) {
	if old, ok := reports[report.Target]; !ok || !report.At.Before(old.At) {
		reports[report.Target] = report
	}
}

// Tick returns the batches that are due.
func (r *Relay) Tick(now time.Time) []Send {
	if len(r.local)+len(r.remote) == 0 {
		return nil
	}
	var sends []Send
	turn := r.turn(now, r.cfg.interval(len(r.centres[r.self.DataCentre])))
	if len(r.local) > 0 && (turn != r.localTurn || r.urgent && now.Sub(r.lastLocal) >= r.cfg.UrgentInterval) {
		if to := r.others(); len(to) > 0 {
			sends = append(sends, Send{To: to, Stage: Distributed, Reports: sorted(r.local)})
		}
		r.lastLocal, r.localTurn, r.urgent = now, turn, false
		clear(r.local)
	}
	if turn := r.turn(now, r.cfg.RemoteInterval); len(r.remote) > 0 && turn != r.remoteTurn {
		if to := r.remoteRelays(turn); len(to) > 0 {
			sends = append(sends, Send{To: to, Stage: BetweenCentres, Reports: sorted(r.remote)})
		}
		r.remoteTurn = turn
		clear(r.remote)
	}
	return sends
}

// turn numbers the intervals since the epoch. The intervals of the relays of a
// data centre begin at different times, so that their batches alternate as far
// as the clocks of the nodes agree.
func (r *Relay) turn(now time.Time, interval time.Duration) int64 {
	relays := r.relays(r.self.DataCentre)
	index := slices.IndexFunc(relays, func(m member) bool { return m.node.ID == r.self.ID })
	offset := int64(interval) * int64(max(index, 0)) / int64(r.cfg.Relays)
	return (now.UnixNano() + offset) / int64(interval)
}

// others returns the other nodes of the data centre.
func (r *Relay) others() []fleet.Node {
	list := r.centres[r.self.DataCentre]
	nodes := make([]fleet.Node, 0, len(list))
	for _, m := range list {
		if m.node.ID != r.self.ID {
			nodes = append(nodes, m.node)
		}
	}
	return nodes
}

// remoteRelays returns one relay of each other data centre, another one each
// turn.
func (r *Relay) remoteRelays(turn int64) []fleet.Node {
	var nodes []fleet.Node
	for centre := range r.centres {
		if relays := r.relays(centre); centre != r.self.DataCentre {
			nodes = append(nodes, relays[turn%int64(len(relays))].node)
		}
	}
	slices.SortFunc(nodes, func(a, b fleet.Node) int { return cmp.Compare(a.ID, b.ID) })
	return nodes
}

func sorted(reports map[fleet.TargetID]Report) []Report {
	list := make([]Report, 0, len(reports))
	for _, report := range reports {
		list = append(list, report)
	}
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// Fingerprint returns a fingerprint of the version of a target's record.
func Fingerprint(t fleet.Target) uint16 {
	h := (t.Incarnation ^ t.Version<<48) * 0x9e3779b97f4a7c15
	return uint16(h >> 48)
}
