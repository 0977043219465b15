package operation

import (
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// promise is what a standby has promised to one owner.
type promise struct {
	validUntil  time.Duration // on the monotonic clock
	incarnation uint64        // the highest incarnation seen
	earlierEnd  time.Duration // end of the promises to lower incarnations
	// takeoverEpoch is the epoch of the last takeover from this owner without a
	// handover. An owner that renews an earlier epoch does not know of the
	// takeover yet.
	takeoverEpoch fleet.Epoch
	// lastRenewalAt is the time of the owner's last renewal, including refused
	// ones.
	lastRenewalAt time.Duration
	// knownSince is the time since which this process has seen ranges of the
	// owner with this node as their standby, -1 if there are none.
	knownSince time.Duration
}

// handover collects the messages of a handover from one owner.
type handover struct {
	incarnation uint64
	epoch       fleet.Epoch
	indexes     map[int]bool
	records     []Record
	bytes       int
	last        bool
}

// pendingTakeover is a takeover that has been proposed.
type pendingTakeover struct {
	from     fleet.NodeID
	epoch    fleet.Epoch
	graceful []int
	fenced   []int
	handover *handover
}

// Standby makes and keeps the promises of one node for one service, and takes
// ranges over.
//
// A promise means that this node takes over no range of that owner before the
// promise ends. It names no range, so it also covers ranges for which the owner
// has only proposed this node as the standby.
type Standby struct {
	service     string
	cfg         Config
	self        fleet.NodeID
	incarnation uint64
	started     time.Duration
	writer      writer
	view        VersionedAssignment
	members     []Member
	// baseline is the epoch of the first object that this process read from the
	// platform. An earlier process of this node may have sent a takeover based
	// on that object which can still take effect. Therefore this process makes
	// promises only for renewals with a later epoch.
	baseline      fleet.Epoch
	baselineKnown bool
	promises      map[fleet.NodeID]*promise
	handovers     map[fleet.NodeID]*handover
	takeovers     []pendingTakeover
}

// NewStandby returns the state machine of a process that starts now.
func NewStandby(service string, cfg Config, self fleet.NodeID, incarnation uint64, now ClockReading) *Standby {
	cfg = cfg.withDefaults()
	return &Standby{
		service: service, cfg: cfg, self: self, incarnation: incarnation, started: now.Mono,
		writer:   newWriter(cfg, "standby", self, incarnation),
		promises: map[fleet.NodeID]*promise{}, handovers: map[fleet.NodeID]*handover{},
	}
}

// Step handles one event.
func (s *Standby) Step(now ClockReading, ev Event) []Action {
	if _, ok := ev.(GrantReceived); ok {
		return nil // an event of Owner
	}
	actions, written := s.writer.step(now, ev)
	if written != nil {
		actions = append(actions, s.adoptView(now, *written)...)
	}
	switch e := ev.(type) {
	case MembersChanged:
		s.members = slices.Clone(e.Members)
	case AssignmentRead:
		if e.FromPlatform && !s.baselineKnown {
			s.baseline, s.baselineKnown = e.View.Assignment.Epoch, true
		}
		actions = append(actions, s.adoptView(now, e.View)...)
	case RenewReceived:
		actions = append(actions, s.handleRenew(now, e)...)
	case HandOverReceived:
		actions = append(actions, s.handleHandOver(now, e)...)
	}
	if !s.baselineKnown {
		actions = append(actions, s.writer.read(now)...)
	}
	return append(actions, s.proposeTakeovers(now)...)
}

func (s *Standby) promise(owner fleet.NodeID) *promise {
	p := s.promises[owner]
	if p == nil {
		p = &promise{knownSince: -1}
		s.promises[owner] = p
	}
	return p
}

func (s *Standby) handleRenew(now ClockReading, e RenewReceived) []Action {
	grant := SendGrant{To: e.From, Epoch: e.Epoch, Sequence: e.Sequence}
	p := s.promise(e.From)
	current := s.view.Assignment.Epoch
	var actions []Action
	if e.Epoch > current {
		actions = s.writer.read(now)
	}
	if e.Incarnation >= p.incarnation {
		p.lastRenewalAt = now.Mono
	}
	switch {
	case !s.baselineKnown, now.Mono < s.started+s.cfg.PromiseDuration, e.Incarnation < p.incarnation, s.fencedTakeoverPending(e.From):
		// Refused with current epoch 0: the owner tries again.
	case e.Epoch <= s.baseline, e.Epoch < p.takeoverEpoch:
		grant.CurrentEpoch = max(current, s.baseline, p.takeoverEpoch)
	default:
		grant.Granted = true
		if current > e.Epoch {
			grant.CurrentEpoch = current // tells the owner of a later epoch
		}
		if e.Incarnation > p.incarnation {
			p.earlierEnd, p.incarnation = p.validUntil, e.Incarnation
		}
		p.validUntil = now.Mono + s.cfg.PromiseDuration
	}
	return append(actions, grant)
}

// fencedTakeoverPending reports whether a takeover without a handover may still
// take effect. A takeover after a handover concerns only ranges that the owner
// has given up, so this node can still make promises for the owner's other
// ranges.
func (s *Standby) fencedTakeoverPending(owner fleet.NodeID) bool {
	return slices.ContainsFunc(s.takeovers, func(t pendingTakeover) bool { return t.from == owner && len(t.fenced) > 0 })
}

func (s *Standby) handleHandOver(now ClockReading, e HandOverReceived) []Action {
	refuse := func(reason string) []Action {
		return []Action{AnswerHandOver{To: e.From, Reason: reason}}
	}
	h := s.handovers[e.From]
	switch {
	case slices.ContainsFunc(s.members, func(m Member) bool { return m.Node == s.self && !m.AcceptsWork }):
		return refuse("this node accepts no work")
	case h != nil && e.Epoch < h.epoch:
		return refuse("a later handover has begun")
	case h != nil && h.last && h.epoch == e.Epoch && h.incarnation == e.Incarnation:
		// A repeated message changes nothing: an owner starts no second
		// handover to one standby in the same epoch.
		if slices.ContainsFunc(e.Indexes, func(i int) bool { return !h.indexes[i] }) {
			return refuse("the handover of this epoch is complete")
		}
		return []Action{AnswerHandOver{To: e.From, Accepted: true}}
	case s.fencedTakeoverPending(e.From):
		return refuse("a takeover is under way")
	case h == nil || h.epoch != e.Epoch || h.incarnation != e.Incarnation:
		h = &handover{incarnation: e.Incarnation, epoch: e.Epoch, indexes: map[int]bool{}}
	}
	size := h.bytes
	for _, r := range e.Records {
		size += r.Answer.size()
	}
	// The new owner's table cannot hold more. The handed-over ranges are only a
	// part of the previous owner's ranges, so they have no more records than
	// the previous owner's table.
	if size > s.cfg.MaxTotalAnswerBytes+s.cfg.MaxAnswerBytes || len(h.records)+len(e.Records) > 2*s.cfg.MaxRecords {
		return refuse("too many records")
	}
	s.handovers[e.From] = h
	h.bytes = size
	h.records = append(h.records, e.Records...)
	h.last = h.last || e.Last
	for _, i := range e.Indexes {
		h.indexes[i] = true
	}
	actions := []Action{AnswerHandOver{To: e.From, Accepted: true}}
	if e.Epoch > s.view.Assignment.Epoch {
		actions = append(actions, s.writer.read(now)...)
	}
	return actions
}

// adoptView replaces the known view if v is newer, and completes the takeovers
// that v shows.
func (s *Standby) adoptView(now ClockReading, v VersionedAssignment) []Action {
	if v.Version <= s.view.Version {
		return nil
	}
	s.view = v
	s.writer.dropResolved(v.Version)
	var actions []Action
	if s.writer.pending == nil {
		for _, t := range s.takeovers {
			actions = append(actions, s.completeTakeover(t)...)
		}
		s.takeovers = nil
	}
	standbyOf := map[fleet.NodeID]bool{}
	for _, r := range v.Assignment.Ranges {
		if r.Standby == s.self && r.Owner != s.self {
			standbyOf[r.Owner] = true
		}
	}
	s.pruneHandovers()
	for owner, p := range s.promises {
		if !standbyOf[owner] {
			p.knownSince = -1
		}
	}
	for owner := range standbyOf {
		if p := s.promise(owner); p.knownSince < 0 {
			p.knownSince = now.Mono
		}
	}
	return actions
}

// pruneHandovers drops the handovers that are obsolete according to the view.
func (s *Standby) pruneHandovers() {
	for owner, h := range s.handovers {
		if h.epoch > s.view.Assignment.Epoch {
			continue
		}
		stillValid := false
		for i, r := range s.view.Assignment.Ranges {
			stillValid = stillValid || (h.indexes[i] && r.Owner == owner && r.Standby == s.self && r.Epoch <= h.epoch)
		}
		if !stillValid {
			delete(s.handovers, owner)
		}
	}
}

// completeTakeover reports the ranges of a takeover that belong to this node,
// once the result of the takeover's write is known.
func (s *Standby) completeTakeover(t pendingTakeover) []Action {
	ownedOf := func(indexes []int) []int {
		var owned []int
		for _, i := range indexes {
			r := s.view.Assignment.Ranges[i]
			if r.Owner == s.self && r.OwnerIncarnation == s.incarnation && r.Epoch >= t.epoch {
				owned = append(owned, i)
			}
		}
		return owned
	}
	var actions []Action
	graceful, fenced := ownedOf(t.graceful), ownedOf(t.fenced)
	if len(graceful) > 0 {
		actions = append(actions, RangesTaken{From: t.from, Indexes: graceful, Graceful: true, Records: t.handover.recordsInRanges(s.service, graceful, len(s.view.Assignment.Ranges))})
		if s.handovers[t.from] == t.handover {
			delete(s.handovers, t.from)
		}
	}
	if len(fenced) > 0 {
		actions = append(actions, RangesTaken{From: t.from, Indexes: fenced})
	}
	if len(fenced) > 0 {
		s.promise(t.from).takeoverEpoch = t.epoch
	}
	return actions
}

// recordsInRanges returns the records that belong to the ranges, and the record
// that carries refusedBefore. Records of other ranges are left out, because
// they may be older than those in the table.
func (h *handover) recordsInRanges(service string, indexes []int, ranges int) []Record {
	var records []Record
	for _, r := range h.records {
		k := Key{Service: service, Tenant: r.Tenant, Value: r.Value}
		if r.State == stateRefusedBefore || slices.Contains(indexes, k.Range(ranges)) {
			records = append(records, r)
		}
	}
	return records
}

// proposeTakeovers proposes to take over all ranges that were handed over, and
// all ranges for which the promise to the owner and the margin have passed.
func (s *Standby) proposeTakeovers(now ClockReading) []Action {
	if !s.writer.mayPropose(now) || s.view.Version == 0 {
		return nil
	}
	var next Assignment
	var proposed []pendingTakeover
	for i, r := range s.view.Assignment.Ranges {
		if r.Standby != s.self || r.Owner == s.self || r.Owner == "" {
			continue
		}
		graceful := s.handedOver(i, r)
		if !graceful && !s.promiseExpired(now, r) {
			continue
		}
		if proposed == nil {
			next = s.view.Assignment.next("")
		}
		next.Ranges[i] = s.rangeAfterTakeover(now, i, r, graceful)
		next.Ranges[i].Epoch = next.Epoch
		at := slices.IndexFunc(proposed, func(t pendingTakeover) bool { return t.from == r.Owner })
		if at < 0 {
			at = len(proposed)
			proposed = append(proposed, pendingTakeover{from: r.Owner, epoch: next.Epoch})
		}
		t := &proposed[at]
		if graceful {
			t.graceful = append(t.graceful, i)
			t.handover = s.handovers[r.Owner]
		} else {
			t.fenced = append(t.fenced, i)
		}
	}
	if len(proposed) == 0 {
		return nil
	}
	next.WriteID = s.writer.nextWriteID()
	s.takeovers = proposed
	return []Action{s.writer.propose(s.view.Version, next)}
}

// handedOver reports whether the handover is complete and the range has not
// changed since. An owner that reclaims a range writes a new epoch first.
func (s *Standby) handedOver(index int, r Range) bool {
	h := s.handovers[r.Owner]
	return h != nil && h.last && h.indexes[index] && h.incarnation == r.OwnerIncarnation && r.Epoch <= h.epoch
}

// promiseExpired reports whether the promise to the range's owner and the
// margin have passed, including a promise that an earlier process of this node
// may have made. Renewals by a restarted owner do not extend the promise to the
// process that the range names.
func (s *Standby) promiseExpired(now ClockReading, r Range) bool {
	p := s.promise(r.Owner)
	until := p.validUntil
	if r.OwnerIncarnation < p.incarnation {
		until = p.earlierEnd
	}
	return s.baselineKnown && p.knownSince >= 0 && !s.awaitsFirstPromise(now, p) &&
		now.Mono >= until+s.cfg.TakeoverMargin &&
		now.Mono >= p.knownSince+s.cfg.PromiseDuration+s.cfg.TakeoverMargin &&
		now.Mono >= s.started+s.cfg.PromiseDuration+s.cfg.TakeoverMargin
}

// startupPromises bounds the time after the start of this process, as a
// multiple of PromiseDuration, in which it leaves ranges to an owner that
// renews, because the owner may have no promise of this process yet.
const startupPromises = 4

// awaitsFirstPromise reports whether the owner is alive and may still wait for
// its first promise from this process. A standby that refused renewals because
// it had just started must not treat the owner as lost: the takeover would make
// the keys of a healthy owner unknown.
func (s *Standby) awaitsFirstPromise(now ClockReading, p *promise) bool {
	return p.lastRenewalAt > 0 && now.Mono < p.lastRenewalAt+s.cfg.PromiseDuration+s.cfg.TakeoverMargin &&
		now.Mono < s.started+startupPromises*s.cfg.PromiseDuration
}

func (s *Standby) rangeAfterTakeover(now ClockReading, index int, old Range, graceful bool) Range {
	r := Range{Owner: s.self, OwnerIncarnation: s.incarnation, FencedAt: old.FencedAt}
	others := s.members
	if !graceful {
		if now.Wall.After(r.FencedAt) {
			r.FencedAt = now.Wall
		}
		// The lost owner becomes the standby only if there is no other member.
		others = slices.DeleteFunc(slices.Clone(s.members), func(m Member) bool { return m.Node == old.Owner })
	}
	r.Standby = chooseStandby(s.service, index, "", s.self, others)
	leaving := slices.ContainsFunc(s.members, func(m Member) bool { return m.Node == old.Owner && m.Leaving })
	if r.Standby == "" && !leaving {
		r.Standby = old.Owner
	}
	return r
}
