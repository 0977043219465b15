// Package announce tracks the targets of the fleet: the announcements of this
// node's own targets and the records that other nodes disseminate. Registry is
// a deterministic state machine without I/O; Routes adds the HTTP interface
// through which targets announce themselves.
package announce

import (
	"sort"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

const (
	// MaxLocal is the maximum number of targets of one node. The planned number
	// of targets on a VM is about eight.
	MaxLocal = 64
	// MaxTargets is the maximum number of known targets, above the planned
	// 28,000.
	MaxTargets = 100_000
	// goneRetention is how long the record of a removed target is kept, so
	// that a delayed older record does not restore the target.
	goneRetention = 10 * time.Minute
	// leaveTimeout is how long a target that has left stays draining before
	// it is removed. It exceeds the time that a target needs to stop.
	leaveTimeout = 30 * time.Second
)

// Event is an input of Registry.Step.
type Event interface{ event() }

// LocalAnnounced announces a target of this node or renews its announcement.
// Only the fields ID, Service, Addr, Slots and Started of Target are used.
// Started is zero if the target does not report its start time.
type LocalAnnounced struct {
	Target fleet.Target
	TTL    time.Duration
	// Sequence orders the announcements that a target sends after one start. It
	// is 0 for a target that does not number its announcements. With Started
	// set, an announcement whose Sequence does not exceed the last one is
	// rejected with ErrStale.
	Sequence uint64
	// Draining is set by a target that is about to leave.
	Draining bool
}

// LocalDraining marks a target of this node as draining: it accepts no new
// work. Renewed announcements do not cancel this state.
type LocalDraining struct{ ID fleet.TargetID }

// LocalServing marks a draining target of this node as serving again.
type LocalServing struct{ ID fleet.TargetID }

// LocalRemoved removes a target of this node.
type LocalRemoved struct{ ID fleet.TargetID }

// LocalLeft reports that a target of this node has left. The target may still
// finish its work in flight. Later announcements with the same start time are
// rejected unless they announce that the target is draining.
type LocalLeft struct {
	ID fleet.TargetID
	// Started is the start time of the target that left. Zero means the start
	// time that the registry knows.
	Started time.Time
}

// RemoteUpdate carries a target record that another node disseminated.
type RemoteUpdate struct{ Target fleet.Target }

// NodeGone takes the targets of a dead node out of use.
type NodeGone struct{ NodeID fleet.NodeID }

// NodeLeaving marks the targets of a leaving node as draining.
type NodeLeaving struct{ NodeID fleet.NodeID }

// NodeReturned returns the targets of a node to use when the node is alive
// again.
type NodeReturned struct{ NodeID fleet.NodeID }

// Tick removes targets whose announcements have expired and drops the records
// of targets that were removed long ago. Nothing expires without it.
type Tick struct{}

func (LocalAnnounced) event() {}
func (LocalDraining) event()  {}
func (LocalServing) event()   {}
func (LocalRemoved) event()   {}
func (LocalLeft) event()      {}
func (RemoteUpdate) event()   {}
func (NodeGone) event()       {}
func (NodeLeaving) event()    {}
func (NodeReturned) event()   {}
func (Tick) event()           {}

// Action is an output of Registry.Step.
type Action interface{ action() }

// TargetChanged reports the target as it must be used from now on. Its state
// takes the state of the target's node into account.
type TargetChanged struct{ Target fleet.Target }

// Broadcast requests that a record is disseminated to the other nodes.
type Broadcast struct{ Target fleet.Target }

// Rejected reports an event that was not accepted.
type Rejected struct {
	ID  fleet.TargetID
	Err error
}

func (TargetChanged) action() {}
func (Broadcast) action()     {}
func (Rejected) action()      {}

// nodeState is the state of a target's node as membership reports it.
type nodeState uint8

const (
	nodePresent nodeState = iota
	nodeLeaving
	nodeGone
)

// record is the state of one target.
type record struct {
	target  fleet.Target
	local   bool
	ttl     time.Duration
	expires time.Time // local targets are removed at this time
	goneAt  time.Time
	// sequence is the Sequence of the last announcement.
	sequence uint64
	// leaving is set when the target has announced that it leaves or has left.
	// An announcement can return the target to use only with a later start
	// time.
	leaving bool
}

// Registry holds the records of all known targets. It is not safe for
// concurrent use.
type Registry struct {
	self       fleet.Node
	targets    map[fleet.TargetID]*record
	byNode     map[fleet.NodeID]map[fleet.TargetID]*record
	nodeStates map[fleet.NodeID]nodeState // nodes in another state than nodePresent
	localCount int
	goneOrder  []fleet.TargetID // removed targets in order of removal
	actions    []Action
}

// New returns an empty registry for the node self. The records of this node's
// targets carry the incarnation of self.
func New(self fleet.Node) *Registry {
	return &Registry{
		self:       self,
		targets:    make(map[fleet.TargetID]*record),
		byNode:     make(map[fleet.NodeID]map[fleet.TargetID]*record),
		nodeStates: make(map[fleet.NodeID]nodeState),
	}
}

// Step handles one event and returns the actions to perform. The returned slice
// is valid until the next call.
func (r *Registry) Step(now time.Time, ev Event) []Action {
	r.actions = r.actions[:0]
	switch e := ev.(type) {
	case LocalAnnounced:
		r.announce(now, e)
	case LocalDraining:
		r.setState(now, e.ID, fleet.TargetDraining)
	case LocalServing:
		r.setState(now, e.ID, fleet.TargetServing)
	case LocalRemoved:
		r.setState(now, e.ID, fleet.TargetGone)
	case LocalLeft:
		r.targetLeft(now, e)
	case RemoteUpdate:
		r.remoteUpdate(now, e.Target)
	case NodeGone:
		r.setNodeState(e.NodeID, nodeGone)
	case NodeLeaving:
		r.setNodeState(e.NodeID, nodeLeaving)
	case NodeReturned:
		r.setNodeState(e.NodeID, nodePresent)
	case Tick:
		r.expire(now)
	}
	return r.actions
}

func (r *Registry) emit(a Action) { r.actions = append(r.actions, a) }

func (r *Registry) announce(now time.Time, e LocalAnnounced) {
	if err := Validate(e.Target, e.TTL); err != nil {
		r.emit(Rejected{e.Target.ID, err})
		return
	}
	old := r.targets[e.Target.ID]
	if !e.Target.Started.IsZero() && r.stale(old, e) {
		r.emit(Rejected{e.Target.ID, ErrStale})
		return
	}
	restarted := old != nil && !e.Target.Started.IsZero() && e.Target.Started.After(old.target.Started)
	if old != nil && old.local && old.target.State != fleet.TargetGone && !restarted {
		r.renew(now, old, e)
		return
	}
	if restarted && old.local && old.target.State != fleet.TargetGone {
		r.localCount--
	}
	r.removeAtAddress(now, e.Target)
	if r.localCount >= MaxLocal {
		r.emit(Rejected{e.Target.ID, ErrTooMany})
		return
	}
	t := fleet.Target{
		ID: e.Target.ID, Service: e.Target.Service, Addr: e.Target.Addr, Slots: e.Target.Slots,
		Node: r.self.ID, DataCentre: r.self.DataCentre, State: fleet.TargetServing,
		Started: now, Incarnation: r.self.Incarnation, Version: 1,
	}
	if !e.Target.Started.IsZero() {
		t.Started = e.Target.Started
	}
	if e.Draining {
		t.State = fleet.TargetDraining
	}
	if old != nil && old.target.Incarnation == t.Incarnation {
		t.Version = old.target.Version + 1
	}
	r.localCount++
	r.put(&record{target: t, local: true, ttl: e.TTL, expires: now.Add(e.TTL), sequence: e.Sequence, leaving: e.Draining})
	r.publish(r.targets[t.ID])
}

// HeardFrom reports whether this process has accepted a numbered announcement
// of the target since its start, or knows that it has left.
func (r *Registry) HeardFrom(t fleet.Target) bool {
	rec := r.targets[t.ID]
	return rec != nil && rec.local && (rec.sequence > 0 || rec.leaving) && !t.Started.After(rec.target.Started)
}

// stale reports whether an announcement with a start time is outdated. That is
// the case if another target at the address started later or if the known
// record has a later start time. With equal start times, it is the case if the
// known target is leaving and the announcement does not say so, or if the
// sequence number is not higher than the last one.
func (r *Registry) stale(old *record, e LocalAnnounced) bool {
	// At one address, the target that started later is the current one.
	for id, other := range r.byNode[r.self.ID] {
		if id != e.Target.ID && other.local && other.target.Addr == e.Target.Addr && other.target.Started.After(e.Target.Started) {
			return true
		}
	}
	switch {
	case old == nil:
		return false
	case e.Target.Started.Before(old.target.Started):
		return true
	case e.Target.Started.After(old.target.Started):
		return false
	case old.leaving && !e.Draining:
		return true
	default:
		return old.sequence > 0 && e.Sequence <= old.sequence
	}
}

// removeAtAddress removes the other targets of this node that have the same
// address as t, if t reports its start time. The caller has checked that none
// of them started later.
func (r *Registry) removeAtAddress(now time.Time, t fleet.Target) {
	if t.Started.IsZero() {
		return
	}
	for id, other := range r.byNode[r.self.ID] {
		if id != t.ID && other.local && other.target.State != fleet.TargetGone && other.target.Addr == t.Addr {
			r.setState(now, id, fleet.TargetGone)
		}
	}
}

// targetLeft marks a target as leaving and draining. Its record is kept so that
// a delayed announcement cannot return the target to use.
func (r *Registry) targetLeft(now time.Time, e LocalLeft) {
	rec := r.targets[e.ID]
	if rec == nil {
		// The target was announced to an earlier process of this node or not at
		// all. A record is kept so that its delayed announcements are rejected.
		started := e.Started
		if started.IsZero() {
			started = now
		}
		rec = &record{leaving: true, local: true, target: fleet.Target{ID: e.ID, Node: r.self.ID, State: fleet.TargetGone,
			Started: started, Incarnation: r.self.Incarnation, Version: 1}}
		r.put(rec)
		r.markGone(now, rec)
		return
	}
	if !rec.local {
		r.emit(Rejected{e.ID, ErrUnknownTarget})
		return
	}
	if !e.Started.IsZero() && e.Started.Before(rec.target.Started) {
		r.emit(Rejected{e.ID, ErrStale})
		return
	}
	rec.leaving, rec.expires = true, now.Add(leaveTimeout)
	if rec.target.State == fleet.TargetServing {
		r.setState(now, e.ID, fleet.TargetDraining)
	}
}

// renew extends the announcement of a known target. The start time, from which
// slow start is counted, is kept unless the address has changed, which means
// that another process uses the identifier.
func (r *Registry) renew(now time.Time, old *record, e LocalAnnounced) {
	old.ttl, old.expires, old.sequence = e.TTL, now.Add(e.TTL), e.Sequence
	t := &old.target
	if e.Draining {
		old.leaving = true
		if t.State == fleet.TargetServing {
			r.setState(now, t.ID, fleet.TargetDraining)
		}
	}
	if t.Service == e.Target.Service && t.Addr == e.Target.Addr && t.Slots == e.Target.Slots {
		return
	}
	if t.Addr != e.Target.Addr {
		t.Started = now
	}
	t.Service, t.Addr, t.Slots = e.Target.Service, e.Target.Addr, e.Target.Slots
	t.Version++
	r.publish(old)
}

func (r *Registry) setState(now time.Time, id fleet.TargetID, state fleet.TargetState) {
	rec := r.targets[id]
	if rec == nil || !rec.local || rec.target.State == fleet.TargetGone {
		r.emit(Rejected{id, ErrUnknownTarget})
		return
	}
	if rec.target.State == state {
		return
	}
	rec.target.State = state
	rec.target.Version++
	if state == fleet.TargetGone {
		r.localCount--
		r.markGone(now, rec)
	}
	r.publish(rec)
}

func (r *Registry) publish(rec *record) {
	r.emit(TargetChanged{r.effectiveTarget(rec)})
	r.emit(Broadcast{rec.target})
}

// remoteUpdate handles a record from another node. A record of one of this
// node's own targets is outdated or dates from an earlier process of the node,
// so it is answered with a newer record.
func (r *Registry) remoteUpdate(now time.Time, t fleet.Target) {
	if err := validateRecord(t); err != nil {
		r.emit(Rejected{t.ID, err})
		return
	}
	old := r.targets[t.ID]
	if t.Node == r.self.ID {
		r.correctLocal(now, old, t)
		return
	}
	switch {
	case old == nil && len(r.targets) >= MaxTargets:
		r.emit(Rejected{t.ID, ErrTooMany})
		return
	case old != nil && old.local && old.target.State != fleet.TargetGone:
		// Two nodes announce the same identifier. Each node keeps its own
		// target.
		r.emit(Rejected{t.ID, ErrDuplicate})
		return
	case old != nil && !t.Newer(old.target):
		return
	}
	rec := &record{target: t}
	before := fleet.TargetGone
	if old != nil {
		before = r.effectiveTarget(old).State
	}
	r.put(rec)
	if t.State == fleet.TargetGone {
		r.markGone(now, rec)
	}
	if after := r.effectiveTarget(rec); after.State != fleet.TargetGone || before != fleet.TargetGone {
		r.emit(TargetChanged{after})
	}
	r.emit(Broadcast{t})
}

// correctLocal handles a record of one of this node's own targets that another
// node disseminated. If that record differs from the own one, a newer record is
// broadcast. If this process does not know the target, the target is removed.
func (r *Registry) correctLocal(now time.Time, own *record, t fleet.Target) {
	if own == nil {
		if t.State == fleet.TargetGone {
			return
		}
		// The target was announced to an earlier process of this node. The
		// sidecar of that process no longer exists, so the target is out of use
		// until it announces itself again. A target that was leaving can only
		// do so after a new start.
		wasLeaving := t.State == fleet.TargetDraining
		t.State = fleet.TargetGone
		t.Version++
		if t.Incarnation < r.self.Incarnation {
			t.Incarnation, t.Version = r.self.Incarnation, 1
		}
		rec := &record{target: t, local: true, leaving: wasLeaving}
		r.put(rec)
		r.markGone(now, rec)
		r.emit(Broadcast{t})
		return
	}
	if !t.Newer(own.target) {
		if own.target.Newer(t) {
			r.emit(Broadcast{own.target})
		}
		return
	}
	own.target.Incarnation = max(t.Incarnation, r.self.Incarnation)
	own.target.Version = t.Version + 1
	r.publish(own)
}

func (r *Registry) setNodeState(id fleet.NodeID, state nodeState) {
	if id == r.self.ID || r.nodeStates[id] == state {
		return
	}
	before := make(map[fleet.TargetID]fleet.TargetState)
	ids := make([]fleet.TargetID, 0, len(r.byNode[id]))
	for target, rec := range r.byNode[id] {
		before[target] = r.effectiveTarget(rec).State
		ids = append(ids, target)
	}
	if state == nodePresent {
		delete(r.nodeStates, id)
	} else {
		r.nodeStates[id] = state
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, target := range ids {
		if t := r.effectiveTarget(r.targets[target]); t.State != before[target] {
			r.emit(TargetChanged{t})
		}
	}
}

// effectiveTarget returns the target with the state in which it must be used:
// the later, in the order serving, draining, gone, of the target's own state
// and the state that its node implies.
func (r *Registry) effectiveTarget(rec *record) fleet.Target {
	t := rec.target
	switch r.nodeStates[t.Node] {
	case nodeGone:
		t.State = fleet.TargetGone
	case nodeLeaving:
		t.State = max(t.State, fleet.TargetDraining)
	}
	return t
}

func (r *Registry) expire(now time.Time) {
	var expired []fleet.TargetID
	for id, rec := range r.byNode[r.self.ID] {
		if rec.target.State != fleet.TargetGone && !now.Before(rec.expires) {
			expired = append(expired, id)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i] < expired[j] })
	for _, id := range expired {
		r.setState(now, id, fleet.TargetGone)
	}
	for len(r.goneOrder) > 0 {
		rec := r.targets[r.goneOrder[0]]
		if rec != nil && rec.target.State == fleet.TargetGone && now.Sub(rec.goneAt) < goneRetention {
			break
		}
		if rec != nil && rec.target.State == fleet.TargetGone {
			r.remove(rec)
		}
		r.goneOrder = r.goneOrder[1:]
	}
}

func (r *Registry) markGone(now time.Time, rec *record) {
	rec.goneAt = now
	r.goneOrder = append(r.goneOrder, rec.target.ID)
}

func (r *Registry) put(rec *record) {
	if old := r.targets[rec.target.ID]; old != nil {
		r.remove(old)
	}
	r.targets[rec.target.ID] = rec
	node := rec.target.Node
	if r.byNode[node] == nil {
		r.byNode[node] = make(map[fleet.TargetID]*record)
	}
	r.byNode[node][rec.target.ID] = rec
}

func (r *Registry) remove(rec *record) {
	id, node := rec.target.ID, rec.target.Node
	delete(r.targets, id)
	delete(r.byNode[node], id)
	if len(r.byNode[node]) == 0 {
		delete(r.byNode, node)
	}
}

// Targets returns all targets in use (serving or draining), ordered by
// identifier. Their states take the states of their nodes into account.
func (r *Registry) Targets() []fleet.Target {
	return collect(r.targets, func(rec *record) (fleet.Target, bool) {
		t := r.effectiveTarget(rec)
		return t, t.State != fleet.TargetGone
	})
}

// Local returns the records of this node's own targets that are not gone,
// ordered by identifier.
func (r *Registry) Local() []fleet.Target {
	return collect(r.byNode[r.self.ID], func(rec *record) (fleet.Target, bool) {
		return rec.target, rec.local && rec.target.State != fleet.TargetGone
	})
}

// Record returns the record of a target, which may have been removed, and
// whether there is one.
func (r *Registry) Record(id fleet.TargetID) (fleet.Target, bool) {
	rec, ok := r.targets[id]
	if !ok {
		return fleet.Target{}, false
	}
	return rec.target, true
}

// OfNode returns the targets of a node, including removed ones, ordered by
// identifier. Their states take the state of the node into account.
func (r *Registry) OfNode(id fleet.NodeID) []fleet.Target {
	return collect(r.byNode[id], func(rec *record) (fleet.Target, bool) { return r.effectiveTarget(rec), true })
}

// Records returns all records, including those of removed targets, for a
// full-state exchange. The receiver passes each one to Step as a RemoteUpdate.
func (r *Registry) Records() []fleet.Target {
	return collect(r.targets, func(rec *record) (fleet.Target, bool) { return rec.target, true })
}

func collect(records map[fleet.TargetID]*record, wanted func(*record) (fleet.Target, bool)) []fleet.Target {
	var targets []fleet.Target
	for _, rec := range records {
		if t, ok := wanted(rec); ok {
			targets = append(targets, t)
		}
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].ID < targets[j].ID })
	return targets
}
