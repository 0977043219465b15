package operation

import (
	"maps"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// grantor is what an owner knows about a node that is its standby or may become
// its standby.
type grantor struct {
	leaseEnd time.Duration // end of the lease
	// lastAnswerAt is the time of the last grant or of the last refusal with a
	// current epoch. Before the first one it is the time of the first renewal.
	// A pause of this process sets it to the end of the pause.
	lastAnswerAt time.Duration
	renewAt      time.Duration
	unanswered   map[uint64]sentRenewal // renewals without an answer, by sequence number
	answered     bool
	// renewedEpoch is the epoch of the last renewal sent.
	renewedEpoch fleet.Epoch
	// refusedEpoch is the epoch for which the node asked for a later one.
	refusedEpoch fleet.Epoch
}

type sentRenewal struct {
	at    time.Duration
	epoch fleet.Epoch
}

// Owner keeps the leases of the ranges that one process owns, replaces lost
// standbys, and hands ranges over. It also creates the object of a new service
// and claims released ranges.
//
// Until the result of a write is known, either the old or the new standby of a
// range may be the one that can take over. During that time the owner needs the
// promises of both.
type Owner struct {
	service       string
	cfg           Config
	self          fleet.NodeID
	incarnation   uint64
	runningIn     func(index int) int
	writer        writer
	view          VersionedAssignment
	objectMissing bool
	members       []Member
	// stableSince is the time at which the members last changed or this process
	// last gained ranges.
	stableSince      time.Duration
	grantors         map[fleet.NodeID]*grantor
	frozen           map[int]fleet.Epoch // epoch of the handover, by range
	outgoing         map[fleet.NodeID]*outgoingHandover
	sequence         uint64
	releaseRequested bool
	leaving          bool
	startedAt        time.Duration // -1 before the first step
	lastStepAt       time.Duration
	holdOffUntil     map[fleet.NodeID]time.Duration
	reportedUnowned  []int
	cachedPlan       plan
}

// NewOwner returns the state machine of a process that starts now. runningIn
// returns the number of operations that are running in a range.
func NewOwner(service string, cfg Config, self fleet.NodeID, incarnation uint64, runningIn func(index int) int) *Owner {
	cfg = cfg.withDefaults()
	return &Owner{
		service: service, cfg: cfg, self: self, incarnation: incarnation, runningIn: runningIn,
		writer:   newWriter(cfg, "owner", self, incarnation),
		grantors: map[fleet.NodeID]*grantor{}, frozen: map[int]fleet.Epoch{}, outgoing: map[fleet.NodeID]*outgoingHandover{},
		holdOffUntil: map[fleet.NodeID]time.Duration{}, startedAt: -1,
	}
}

// View returns the assignment that this state machine knows.
func (o *Owner) View() VersionedAssignment { return o.view }

// Holds reports whether this process owns the range and holds its lease.
func (o *Owner) Holds(index int, now ClockReading) (fleet.Epoch, bool) {
	if index >= len(o.view.Assignment.Ranges) {
		return 0, false
	}
	r := o.view.Assignment.Ranges[index]
	if _, frozen := o.frozen[index]; frozen || !o.ownsRange(r) {
		return r.Epoch, false
	}
	if !o.hasPromise(r.Standby, now) {
		return r.Epoch, false
	}
	if p := o.writer.pending; p != nil && !o.hasPromise(p.next.Ranges[index].Standby, now) {
		return r.Epoch, false
	}
	return r.Epoch, true
}

func (o *Owner) ownsRange(r Range) bool {
	return r.Owner == o.self && r.OwnerIncarnation == o.incarnation
}

// hasPromise reports whether the standby has promised not to take over at this
// time. Without a standby, no node may take over.
func (o *Owner) hasPromise(standby fleet.NodeID, now ClockReading) bool {
	if standby == "" {
		return true
	}
	g := o.grantors[standby]
	return g != nil && now.Mono < g.leaseEnd
}

// Step handles one event.
func (o *Owner) Step(now ClockReading, ev Event) []Action {
	switch ev.(type) {
	case RenewReceived, HandOverReceived:
		return nil // events of Standby
	}
	if o.startedAt < 0 {
		o.startedAt = now.Mono
	}
	if now.Mono-o.lastStepAt > maxStepGap {
		// This process was paused, so that missing answers do not show that the
		// other nodes are lost.
		for _, g := range o.grantors {
			g.lastAnswerAt = now.Mono
		}
	}
	o.lastStepAt = now.Mono
	actions, written := o.writer.step(now, ev)
	if written != nil {
		actions = append(actions, o.adoptView(now, *written)...)
	}
	switch e := ev.(type) {
	case MembersChanged:
		if !slices.Equal(e.Members, o.members) {
			o.members, o.stableSince = slices.Clone(e.Members), now.Mono
		}
	case AssignmentRead:
		o.objectMissing = e.Missing && e.FromPlatform && o.view.Version == 0
		actions = append(actions, o.adoptView(now, e.View)...)
	case GrantReceived:
		actions = append(actions, o.handleGrant(now, e)...)
	case HandOverDone:
		actions = append(actions, o.handleHandOverDone(now, e)...)
	case OperatorRelease:
		// Without members, every range would look unowned.
		o.releaseRequested = len(o.members) > 0
	case Leave:
		o.leaving = true
	}
	if o.view.Version == 0 {
		return append(actions, o.createAssignment(now)...)
	}
	actions = append(actions, o.proposeChanges(now)...)
	actions = append(actions, o.advanceHandovers(now)...)
	actions = append(actions, o.sendRenewals(now)...)
	return append(actions, o.reportUnowned(now)...)
}

// maxStepGap is the longest time between two steps of a process that was not
// paused: ten ticks.
const maxStepGap = time.Second

func (o *Owner) acceptsWork() bool {
	return slices.ContainsFunc(o.members, func(m Member) bool { return m.Node == o.self && m.AcceptsWork })
}

// createAssignment writes the first assignment of a service. If several nodes
// write at the same time, exactly one write succeeds and the other nodes read
// the object that it wrote.
func (o *Owner) createAssignment(now ClockReading) []Action {
	if o.writer.pending != nil {
		return nil
	}
	if !o.objectMissing || !o.acceptsWork() {
		return o.writer.read(now)
	}
	o.objectMissing = false
	a := NewAssignment(o.service, o.cfg.Ranges, o.members, o.self, o.incarnation)
	a.WriteID = o.writer.nextWriteID()
	return []Action{o.writer.propose(0, a)}
}

// adoptView replaces the known view if v is newer.
func (o *Owner) adoptView(now ClockReading, v VersionedAssignment) []Action {
	if v.Version <= o.view.Version {
		return nil
	}
	old := o.view.Assignment.Ranges
	o.view = v
	o.writer.dropResolved(v.Version)
	var lost []int
	for i, r := range v.Assignment.Ranges {
		if !o.ownsRange(r) {
			delete(o.frozen, i)
			if i < len(old) && o.ownsRange(old[i]) {
				lost = append(lost, i)
			}
			continue
		}
		if i >= len(old) || !o.ownsRange(old[i]) {
			// The former owner may be leaving without this node knowing it yet.
			o.stableSince = now.Mono
		}
		if epoch, ok := o.frozen[i]; ok && r.Epoch > epoch {
			// The earlier handover is void, because the standby checks the
			// epoch.
			delete(o.frozen, i)
		}
	}
	actions := o.pruneOutgoing()
	if len(lost) > 0 {
		actions = append(actions, RangesLost{Indexes: lost})
	}
	return actions
}

func sortedNodes[V any](m map[fleet.NodeID]V) []fleet.NodeID {
	return slices.Sorted(maps.Keys(m))
}

func (o *Owner) grantor(now ClockReading, node fleet.NodeID) *grantor {
	g := o.grantors[node]
	if g == nil {
		g = &grantor{lastAnswerAt: now.Mono, renewAt: now.Mono, unanswered: map[uint64]sentRenewal{}}
		o.grantors[node] = g
	}
	return g
}

// isSilent reports whether a node has left renewals unanswered for
// StandbyLostAfter. A refusal with current epoch 0 does not count as an answer.
func (o *Owner) isSilent(now ClockReading, node fleet.NodeID) bool {
	g := o.grantors[node]
	return g != nil && now.Mono-g.lastAnswerAt >= o.cfg.StandbyLostAfter
}

func (o *Owner) handleGrant(now ClockReading, e GrantReceived) []Action {
	g := o.grantors[e.From]
	if g == nil {
		return nil
	}
	sent, ok := g.unanswered[e.Sequence]
	if !ok {
		return nil
	}
	delete(g.unanswered, e.Sequence)
	if e.Granted {
		g.lastAnswerAt, g.answered, g.refusedEpoch = now.Mono, true, 0
		g.leaseEnd = max(g.leaseEnd, sent.at+o.cfg.LeaseDuration)
		if e.CurrentEpoch > o.view.Assignment.Epoch {
			return o.writer.read(now)
		}
		return nil
	}
	switch {
	case e.CurrentEpoch > o.view.Assignment.Epoch:
		g.lastAnswerAt, g.answered = now.Mono, true
		return o.writer.read(now)
	case e.CurrentEpoch != 0 && e.CurrentEpoch >= sent.epoch:
		g.lastAnswerAt, g.answered, g.refusedEpoch = now.Mono, true, sent.epoch
	}
	return nil
}

// isAnswering reports whether a node may be made a standby: it has answered a
// renewal recently.
func (o *Owner) isAnswering(now ClockReading, node fleet.NodeID) bool {
	g := o.grantors[node]
	return g != nil && g.answered && !o.isSilent(now, node)
}

// sendRenewals sends the due renewals to all nodes whose promise is needed now
// or will be needed.
func (o *Owner) sendRenewals(now ClockReading) []Action {
	var actions []Action
	wanted := o.plan(now).grantors
	for node := range o.grantors {
		if !slices.Contains(wanted, node) {
			if o.isSilent(now, node) && now.Mono-o.grantors[node].lastAnswerAt < 2*o.cfg.StandbyLostAfter {
				continue // the kept entry makes the node count as silent for a while
			}
			delete(o.grantors, node)
		}
	}
	for _, node := range wanted {
		g := o.grantor(now, node)
		newEpoch := g.renewedEpoch != o.view.Assignment.Epoch && !o.hasPromise(node, now)
		if now.Mono < g.renewAt && !newEpoch {
			continue
		}
		// All services of a node renew at the same times, so that one message
		// to each standby carries all renewals.
		g.renewAt = (now.Mono/o.cfg.RenewInterval + 1) * o.cfg.RenewInterval
		g.renewedEpoch = o.view.Assignment.Epoch
		o.sequence++
		for sequence, s := range g.unanswered {
			if now.Mono-s.at >= o.cfg.LeaseDuration {
				delete(g.unanswered, sequence)
			}
		}
		g.unanswered[o.sequence] = sentRenewal{at: now.Mono, epoch: o.view.Assignment.Epoch}
		actions = append(actions, SendRenew{To: node, Epoch: o.view.Assignment.Epoch, Sequence: o.sequence})
	}
	return actions
}

// plan holds what is derived from the view, the members, the candidates and the
// pending proposal. It is cached until one of them changes, because computing
// it takes a pass over all ranges.
type plan struct {
	version      uint64
	members      []Member
	pending      *proposal
	candidates   []Member
	wantedOwners []fleet.NodeID
	planned      Assignment
	differs      bool
	grantors     []fleet.NodeID // nodes whose promise is or will be needed
	claims       []int
	unowned      []int
}

func (o *Owner) plan(now ClockReading) *plan {
	p := &o.cachedPlan
	candidates := o.candidates(now)
	if p.version == o.view.Version && p.pending == o.writer.pending && slices.Equal(p.candidates, candidates) && slices.Equal(p.members, o.members) {
		return p
	}
	a := o.view.Assignment
	*p = plan{version: o.view.Version, members: o.members, pending: o.writer.pending, candidates: candidates}
	p.wantedOwners = desiredOwners(a, candidates)
	p.planned, p.differs = planForOwners(a, p.wantedOwners, candidates, o.self)
	p.unowned = unowned(a, o.members)
	set := map[fleet.NodeID]bool{}
	for i, r := range a.Ranges {
		// The standby of an ended process of this node takes the ranges over if
		// it is still a member.
		restarted := r.Owner == o.self && r.OwnerIncarnation < o.incarnation && !isMember(o.members, r.Standby)
		if restarted || r.Owner == "" && p.wantedOwners[i] == o.self {
			p.claims = append(p.claims, i)
		}
		if !o.ownsRange(r) {
			continue
		}
		set[r.Standby] = true
		set[p.planned.Ranges[i].Standby] = true
		if p.pending != nil {
			set[p.pending.next.Ranges[i].Standby] = true
		}
	}
	delete(set, "")
	delete(set, o.self)
	p.grantors = sortedNodes(set)
	return p
}

// candidates returns the members without those that do not answer this node's
// renewals.
func (o *Owner) candidates(now ClockReading) []Member {
	if !slices.ContainsFunc(o.members, func(m Member) bool { return m.Node != o.self && o.isSilent(now, m.Node) }) {
		return o.members
	}
	return slices.DeleteFunc(slices.Clone(o.members), func(m Member) bool {
		return m.Node != o.self && o.isSilent(now, m.Node)
	})
}

// proposeChanges proposes all due changes as one write.
func (o *Owner) proposeChanges(now ClockReading) []Action {
	if !o.writer.mayPropose(now) {
		return nil
	}
	p := o.plan(now)
	if !p.differs && len(p.claims) == 0 && len(o.outgoing) == 0 && !o.releaseRequested && !o.leaving && !o.needsLaterEpoch(now) {
		return nil
	}
	next := o.view.Assignment.next("")
	changed := o.changeStandbys(now, &next)
	changed = o.reclaimRanges(now, &next) || changed
	changed = o.claimRanges(now, &next) || changed
	changed = o.needsLaterEpoch(now) || changed
	changed = o.releaseOnLeave(now, &next) || changed
	if !changed {
		return nil
	}
	next.WriteID = o.writer.nextWriteID()
	return []Action{o.writer.propose(o.view.Version, next)}
}

// changeStandbys replaces standbys that are lost or accept no work immediately.
// Once the members have been stable for RebalanceDelay, or if this node accepts
// no work, it also makes those members standbys that should own the ranges for
// even shares.
func (o *Owner) changeStandbys(now ClockReading, next *Assignment) bool {
	p := o.plan(now)
	if !p.differs {
		return false
	}
	stable := now.Mono-o.stableSince >= o.cfg.RebalanceDelay || !o.acceptsWork()
	changed := false
	for i, r := range o.view.Assignment.Ranges {
		to := p.planned.Ranges[i].Standby
		if !o.ownsRange(r) || to == r.Standby || o.inHandover(i, r.Standby) {
			continue
		}
		lost := r.Standby == "" || !isAcceptingMember(p.candidates, r.Standby)
		if !lost && !stable {
			continue
		}
		if to == "" && !o.mayDropStandby(now, r.Standby) || to != "" && !o.isAnswering(now, to) {
			continue
		}
		next.Ranges[i].Standby = to
		next.Ranges[i].Epoch = next.Epoch
		changed = true
	}
	return changed
}

func isAcceptingMember(members []Member, node fleet.NodeID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Node == node && m.AcceptsWork })
}

// mayDropStandby reports whether the owner may continue without a standby when
// no other member can become one: the last standby has been silent for longer
// than a takeover would take. A standby that is alive behind a network
// partition has taken over by then. The owner does not wait for a standby that
// announced its stop.
func (o *Owner) mayDropStandby(now ClockReading, standby fleet.NodeID) bool {
	if slices.ContainsFunc(o.members, func(m Member) bool { return m.Node == standby && m.Leaving }) {
		return true
	}
	g := o.grantors[standby]
	return g == nil || now.Mono-g.lastAnswerAt >= o.cfg.PromiseDuration+o.cfg.TakeoverMargin+2*time.Second
}

// needsLaterEpoch reports whether a standby of this process's ranges can make
// promises only for a later epoch.
func (o *Owner) needsLaterEpoch(now ClockReading) bool {
	refused := false
	for node, g := range o.grantors {
		refused = refused || g.refusedEpoch == o.view.Assignment.Epoch && !o.hasPromise(node, now)
	}
	return refused && slices.ContainsFunc(o.view.Assignment.Ranges, func(r Range) bool {
		g := o.grantors[r.Standby]
		return o.ownsRange(r) && g != nil && g.refusedEpoch == o.view.Assignment.Epoch && !o.hasPromise(r.Standby, now)
	})
}

// OwnedRanges returns the number of ranges that this process owns according to
// the known view.
func (o *Owner) OwnedRanges() int {
	n := 0
	for _, r := range o.view.Assignment.Ranges {
		if o.ownsRange(r) {
			n++
		}
	}
	return n
}
