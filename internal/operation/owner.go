package operation

import (
	"maps"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// grantor is what an owner knows about one node that is its standby or may
// become it.
type grantor struct {
	until    time.Duration // end of the lease
	heard    time.Duration // last answer of any kind, or the first renewal
	renewAt  time.Duration
	sent     map[uint64]sentRenewal // unanswered, by sequence
	answered bool
	// asked is the epoch of the last renewal.
	asked fleet.Epoch
	// refusedAt is the epoch for which the node asked for a later one.
	refusedAt fleet.Epoch
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
// range may be the one that can take over. The owner then needs the promises
// of both.
type Owner struct {
	service     string
	cfg         Config
	self        fleet.NodeID
	incarnation uint64
	running     func(index int) int
	writer      writer
	view        View
	missing     bool
	members     []Member
	// stableSince is when the members last changed or ranges were gained.
	stableSince time.Duration
	grantors    map[fleet.NodeID]*grantor
	frozen      map[int]fleet.Epoch // handed over in this epoch
	outgoing    map[fleet.NodeID]*outgoing
	sequence    uint64
	release     bool
	leaving     bool
	started     time.Duration // -1 before the first step
	lastStep    time.Duration
	holdOff     map[fleet.NodeID]time.Duration
	unowned     []int
	cached      plan
}

// NewOwner returns the machine of a process that starts now. running returns
// the number of operations that are running in a range.
func NewOwner(service string, cfg Config, self fleet.NodeID, incarnation uint64, running func(index int) int) *Owner {
	cfg = cfg.withDefaults()
	return &Owner{
		service: service, cfg: cfg, self: self, incarnation: incarnation, running: running,
		writer:   newWriter(cfg, "owner", self, incarnation),
		grantors: map[fleet.NodeID]*grantor{}, frozen: map[int]fleet.Epoch{}, outgoing: map[fleet.NodeID]*outgoing{},
		holdOff: map[fleet.NodeID]time.Duration{}, started: -1,
	}
}

// View returns the assignment that the machine knows.
func (o *Owner) View() View { return o.view }

// Holds reports whether this process owns the range and holds its lease.
func (o *Owner) Holds(index int, now Now) (fleet.Epoch, bool) {
	if index >= len(o.view.Assignment.Ranges) {
		return 0, false
	}
	r := o.view.Assignment.Ranges[index]
	if _, frozen := o.frozen[index]; frozen || !o.mine(r) {
		return r.Epoch, false
	}
	if !o.promised(r.Standby, now) {
		return r.Epoch, false
	}
	if p := o.writer.pending; p != nil && !o.promised(p.next.Ranges[index].Standby, now) {
		return r.Epoch, false
	}
	return r.Epoch, true
}

func (o *Owner) mine(r Range) bool {
	return r.Owner == o.self && r.OwnerIncarnation == o.incarnation
}

// promised reports whether the standby will not take over now. Without a
// standby nobody may take over.
func (o *Owner) promised(standby fleet.NodeID, now Now) bool {
	if standby == "" {
		return true
	}
	g := o.grantors[standby]
	return g != nil && now.Mono < g.until
}

// Step handles one event.
func (o *Owner) Step(now Now, ev Event) []Action {
	switch ev.(type) {
	case RenewReceived, HandOverReceived:
		return nil // for the standby
	}
	if o.started < 0 {
		o.started = now.Mono
	}
	if now.Mono-o.lastStep > ownPause {
		// This process was paused: the silence of others proves nothing.
		for _, g := range o.grantors {
			g.heard = now.Mono
		}
	}
	o.lastStep = now.Mono
	actions, written := o.writer.step(now, ev)
	if written != nil {
		actions = append(actions, o.learn(now, *written)...)
	}
	switch e := ev.(type) {
	case MembersChanged:
		if !slices.Equal(e.Members, o.members) {
			o.members, o.stableSince = slices.Clone(e.Members), now.Mono
		}
	case AssignmentRead:
		o.missing = e.Missing && e.FromPlatform && o.view.Version == 0
		actions = append(actions, o.learn(now, e.View)...)
	case GrantReceived:
		actions = append(actions, o.granted(now, e)...)
	case HandOverDone:
		actions = append(actions, o.handOverDone(now, e)...)
	case OperatorRelease:
		// Without members every range would look lost.
		o.release = len(o.members) > 0
	case Leave:
		o.leaving = true
	}
	if o.view.Version == 0 {
		return append(actions, o.create(now)...)
	}
	actions = append(actions, o.write(now)...)
	actions = append(actions, o.handOver(now)...)
	actions = append(actions, o.renew(now)...)
	return append(actions, o.reportUnowned(now)...)
}

// ownPause is the longest gap between two steps of a process that is not
// paused: ten ticks.
const ownPause = time.Second

func (o *Owner) accepts() bool {
	return slices.ContainsFunc(o.members, func(m Member) bool { return m.Node == o.self && m.Accepts })
}

// create writes the first assignment of a service. Of several nodes that race,
// exactly one wins and the others read its object.
func (o *Owner) create(now Now) []Action {
	if o.writer.pending != nil {
		return nil
	}
	if !o.missing || !o.accepts() {
		return o.writer.read(now)
	}
	o.missing = false
	a := Create(o.service, o.cfg.Ranges, o.members, o.self, o.incarnation)
	a.WriteID = o.writer.nextID()
	return []Action{o.writer.propose(0, a)}
}

// learn adopts a newer view.
func (o *Owner) learn(now Now, v View) []Action {
	if v.Version <= o.view.Version {
		return nil
	}
	old := o.view.Assignment.Ranges
	o.view = v
	o.writer.settle(v.Version)
	var lost []int
	for i, r := range v.Assignment.Ranges {
		if !o.mine(r) {
			delete(o.frozen, i)
			if i < len(old) && o.mine(old[i]) {
				lost = append(lost, i)
			}
			continue
		}
		if i >= len(old) || !o.mine(old[i]) {
			// The former owner may be leaving without this node knowing it yet.
			o.stableSince = now.Mono
		}
		if epoch, ok := o.frozen[i]; ok && r.Epoch > epoch {
			// The old handover is void, because the standby checks the epoch.
			delete(o.frozen, i)
		}
	}
	actions := o.pruneOutgoing()
	if len(lost) > 0 {
		actions = append(actions, Release{Indexes: lost})
	}
	return actions
}

func sortedNodes[V any](m map[fleet.NodeID]V) []fleet.NodeID {
	return slices.Sorted(maps.Keys(m))
}

func (o *Owner) grantor(now Now, node fleet.NodeID) *grantor {
	g := o.grantors[node]
	if g == nil {
		g = &grantor{heard: now.Mono, renewAt: now.Mono, sent: map[uint64]sentRenewal{}}
		o.grantors[node] = g
	}
	return g
}

// silent reports whether a node has left renewals unanswered for too long.
func (o *Owner) silent(now Now, node fleet.NodeID) bool {
	g := o.grantors[node]
	return g != nil && now.Mono-g.heard >= o.cfg.StandbyLostAfter
}

func (o *Owner) granted(now Now, e GrantReceived) []Action {
	g := o.grantors[e.From]
	if g == nil {
		return nil
	}
	sent, ok := g.sent[e.Sequence]
	if !ok {
		return nil
	}
	delete(g.sent, e.Sequence)
	if e.Granted {
		g.heard, g.answered, g.refusedAt = now.Mono, true, 0
		g.until = max(g.until, sent.at+o.cfg.Lease)
		if e.CurrentEpoch > o.view.Assignment.Epoch {
			return o.writer.read(now)
		}
		return nil
	}
	switch {
	case e.CurrentEpoch > o.view.Assignment.Epoch:
		g.heard, g.answered = now.Mono, true
		return o.writer.read(now)
	case e.CurrentEpoch != 0 && e.CurrentEpoch >= sent.epoch:
		g.heard, g.answered, g.refusedAt = now.Mono, true, sent.epoch
	}
	return nil
}

// alive reports whether a node may be made a standby: it has answered lately.
func (o *Owner) alive(now Now, node fleet.NodeID) bool {
	g := o.grantors[node]
	return g != nil && g.answered && !o.silent(now, node)
}

// renew sends the renewals that are due to all nodes whose promise is needed
// or will be needed.
func (o *Owner) renew(now Now) []Action {
	var actions []Action
	wanted := o.plan(now).grantors
	for node := range o.grantors {
		if !slices.Contains(wanted, node) {
			if o.silent(now, node) && now.Mono-o.grantors[node].heard < 2*o.cfg.StandbyLostAfter {
				continue // remembered as silent for a while
			}
			delete(o.grantors, node)
		}
	}
	for _, node := range wanted {
		g := o.grantor(now, node)
		newEpoch := g.asked != o.view.Assignment.Epoch && !o.promised(node, now)
		if now.Mono < g.renewAt && !newEpoch {
			continue
		}
		// All services of a node renew at the same moments, so that one
		// message to each standby carries all renewals.
		g.renewAt = (now.Mono/o.cfg.RenewEvery + 1) * o.cfg.RenewEvery
		g.asked = o.view.Assignment.Epoch
		o.sequence++
		for sequence, s := range g.sent {
			if now.Mono-s.at >= o.cfg.Lease {
				delete(g.sent, sequence)
			}
		}
		g.sent[o.sequence] = sentRenewal{at: now.Mono, epoch: o.view.Assignment.Epoch}
		actions = append(actions, SendRenew{To: node, Epoch: o.view.Assignment.Epoch, Sequence: o.sequence})
	}
	return actions
}

// plan is what follows from the view and the members. It is kept until one of
// them changes, because it costs a pass over all ranges.
type plan struct {
	version    uint64
	members    []Member
	pending    *proposal
	candidates []Member
	want       []fleet.NodeID
	planned    Assignment
	differs    bool
	grantors   []fleet.NodeID // nodes whose promise is or will be needed
	claims     []int
	unowned    []int
}

func (o *Owner) plan(now Now) *plan {
	p := &o.cached
	candidates := o.candidates(now)
	if p.version == o.view.Version && p.pending == o.writer.pending && slices.Equal(p.candidates, candidates) && slices.Equal(p.members, o.members) {
		return p
	}
	a := o.view.Assignment
	*p = plan{version: o.view.Version, members: o.members, pending: o.writer.pending, candidates: candidates}
	p.want = desired(a, candidates)
	p.planned, p.differs = planWith(a, p.want, candidates, o.self)
	p.unowned = unowned(a, o.members)
	set := map[fleet.NodeID]bool{}
	for i, r := range a.Ranges {
		// Where a standby is left, it takes the ranges of an ended process over.
		restarted := r.Owner == o.self && r.OwnerIncarnation < o.incarnation && !isMember(o.members, r.Standby)
		if restarted || r.Owner == "" && p.want[i] == o.self {
			p.claims = append(p.claims, i)
		}
		if !o.mine(r) {
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

// candidates are the members without those that do not answer this node.
func (o *Owner) candidates(now Now) []Member {
	if !slices.ContainsFunc(o.members, func(m Member) bool { return m.Node != o.self && o.silent(now, m.Node) }) {
		return o.members
	}
	return slices.DeleteFunc(slices.Clone(o.members), func(m Member) bool {
		return m.Node != o.self && o.silent(now, m.Node)
	})
}

// write proposes all changes that are due as one write.
func (o *Owner) write(now Now) []Action {
	if !o.writer.mayPropose(now) {
		return nil
	}
	p := o.plan(now)
	if !p.differs && len(p.claims) == 0 && len(o.outgoing) == 0 && !o.release && !o.leaving && !o.renewEpoch(now) {
		return nil
	}
	next := o.view.Assignment.next("")
	changed := o.planStandbys(now, &next)
	changed = o.reclaim(now, &next) || changed
	changed = o.claim(now, &next) || changed
	changed = o.renewEpoch(now) || changed
	changed = o.leave(now, &next) || changed
	if !changed {
		return nil
	}
	next.WriteID = o.writer.nextID()
	return []Action{o.writer.propose(o.view.Version, next)}
}

// planStandbys replaces lost standbys at once and makes the standbys fit even
// shares when the members have been stable.
func (o *Owner) planStandbys(now Now, next *Assignment) bool {
	p := o.plan(now)
	if !p.differs {
		return false
	}
	stable := now.Mono-o.stableSince >= o.cfg.RebalanceDelay || !o.accepts()
	changed := false
	for i, r := range o.view.Assignment.Ranges {
		to := p.planned.Ranges[i].Standby
		if !o.mine(r) || to == r.Standby || o.moving(i, r.Standby) {
			continue
		}
		lost := r.Standby == "" || !isCandidate(p.candidates, r.Standby)
		if !lost && !stable {
			continue
		}
		if to == "" && !o.alone(now, r.Standby) || to != "" && !o.alive(now, to) {
			continue
		}
		next.Ranges[i].Standby = to
		next.Ranges[i].Epoch = next.Epoch
		changed = true
	}
	return changed
}

func isCandidate(members []Member, node fleet.NodeID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Node == node && m.Accepts })
}

// alone reports whether the owner may do without a standby: the last one has
// been silent for longer than it would take to take over, and no other member
// answers. A standby that is alive behind a partition has taken over by then.
// A standby that announced its stop is not waited for.
func (o *Owner) alone(now Now, standby fleet.NodeID) bool {
	if slices.ContainsFunc(o.members, func(m Member) bool { return m.Node == standby && m.Leaving }) {
		return true
	}
	g := o.grantors[standby]
	return g == nil || now.Mono-g.heard >= o.cfg.Promise+o.cfg.Margin+2*time.Second
}

// renewEpoch reports whether a standby can vouch only for a later epoch.
func (o *Owner) renewEpoch(now Now) bool {
	asked := false
	for node, g := range o.grantors {
		asked = asked || g.refusedAt == o.view.Assignment.Epoch && !o.promised(node, now)
	}
	return asked && slices.ContainsFunc(o.view.Assignment.Ranges, func(r Range) bool {
		g := o.grantors[r.Standby]
		return o.mine(r) && g != nil && g.refusedAt == o.view.Assignment.Epoch && !o.promised(r.Standby, now)
	})
}

// Owns returns how many ranges this process owns by the known view.
func (o *Owner) Owns() int {
	n := 0
	for _, r := range o.view.Assignment.Ranges {
		if o.mine(r) {
			n++
		}
	}
	return n
}
