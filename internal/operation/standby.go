package operation

import (
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// promise is what a standby told one owner.
type promise struct {
	until       time.Duration // on the monotonic clock
	incarnation uint64        // the highest seen
	earlier     time.Duration // end of the promises to lower incarnations
	// below is the epoch of the last takeover from this owner. An owner that
	// renews an earlier epoch does not know of the takeover yet.
	below fleet.Epoch
	// heard is when the owner last renewed, also if it was refused.
	heard time.Duration
	// known is when this process first saw the owner with itself as standby.
	known time.Duration
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

// taking is a takeover that has been proposed.
type taking struct {
	from     fleet.NodeID
	epoch    fleet.Epoch
	graceful []int
	fenced   []int
	handover *handover
}

// Standby makes and keeps the promises of one node for one service, and takes
// ranges over.
//
// A promise means: this node takes over no range of that owner before the
// promise ends. It names no range, so it also covers ranges for which the
// owner has only proposed this node as the standby.
type Standby struct {
	service     string
	cfg         Config
	self        fleet.NodeID
	incarnation uint64
	started     time.Duration
	writer      writer
	view        View
	members     []Member
	// baseline is the epoch of the first object that this process read from
	// the platform. An earlier process of this node may have left a takeover
	// under way that is based on it, so this process promises nothing before
	// an owner renews a later epoch.
	baseline      fleet.Epoch
	baselineKnown bool
	promises      map[fleet.NodeID]*promise
	handovers     map[fleet.NodeID]*handover
	taking        []taking
}

// NewStandby returns the machine of a process that starts now.
func NewStandby(service string, cfg Config, self fleet.NodeID, incarnation uint64, now Now) *Standby {
	cfg = cfg.withDefaults()
	return &Standby{
		service: service, cfg: cfg, self: self, incarnation: incarnation, started: now.Mono,
		writer:   newWriter(cfg, "standby", self, incarnation),
		promises: map[fleet.NodeID]*promise{}, handovers: map[fleet.NodeID]*handover{},
	}
}

// Step handles one event.
func (s *Standby) Step(now Now, ev Event) []Action {
	if _, ok := ev.(GrantReceived); ok {
		return nil // for the owner
	}
	actions, written := s.writer.step(now, ev)
	if written != nil {
		actions = append(actions, s.learn(now, *written)...)
	}
	switch e := ev.(type) {
	case MembersChanged:
		s.members = slices.Clone(e.Members)
	case AssignmentRead:
		if e.FromPlatform && !s.baselineKnown {
			s.baseline, s.baselineKnown = e.View.Assignment.Epoch, true
		}
		actions = append(actions, s.learn(now, e.View)...)
	case RenewReceived:
		actions = append(actions, s.renew(now, e)...)
	case HandOverReceived:
		actions = append(actions, s.receive(now, e)...)
	}
	if !s.baselineKnown {
		actions = append(actions, s.writer.read(now)...)
	}
	return append(actions, s.takeOver(now)...)
}

func (s *Standby) promise(owner fleet.NodeID) *promise {
	p := s.promises[owner]
	if p == nil {
		p = &promise{known: -1}
		s.promises[owner] = p
	}
	return p
}

func (s *Standby) renew(now Now, e RenewReceived) []Action {
	grant := SendGrant{To: e.From, Epoch: e.Epoch, Sequence: e.Sequence}
	p := s.promise(e.From)
	current := s.view.Assignment.Epoch
	var actions []Action
	if e.Epoch > current {
		actions = s.writer.read(now)
	}
	if e.Incarnation >= p.incarnation {
		p.heard = now.Mono
	}
	switch {
	case !s.baselineKnown, now.Mono < s.started+s.cfg.Promise, e.Incarnation < p.incarnation, s.isTaking(e.From):
		// Refused without an explanation; the owner tries again.
	case e.Epoch <= s.baseline, e.Epoch < p.below:
		grant.CurrentEpoch = max(current, s.baseline, p.below)
	default:
		grant.Granted = true
		if current > e.Epoch {
			grant.CurrentEpoch = current // news for the owner
		}
		if e.Incarnation > p.incarnation {
			p.earlier, p.incarnation = p.until, e.Incarnation
		}
		p.until = now.Mono + s.cfg.Promise
	}
	return append(actions, grant)
}

// isTaking reports whether a takeover without a handover may take effect. A
// takeover after a handover concerns only ranges that the owner has given up,
// so promises for its other ranges stay possible.
func (s *Standby) isTaking(owner fleet.NodeID) bool {
	return slices.ContainsFunc(s.taking, func(t taking) bool { return t.from == owner && len(t.fenced) > 0 })
}

func (s *Standby) receive(now Now, e HandOverReceived) []Action {
	refuse := func(reason string) []Action {
		return []Action{AnswerHandOver{To: e.From, Reason: reason}}
	}
	h := s.handovers[e.From]
	switch {
	case slices.ContainsFunc(s.members, func(m Member) bool { return m.Node == s.self && !m.Accepts }):
		return refuse("this node accepts no work")
	case h != nil && e.Epoch < h.epoch:
		return refuse("a later handover has begun")
	case h != nil && h.last && h.epoch == e.Epoch && h.incarnation == e.Incarnation:
		// A repeated message adds nothing; an owner starts no second handover
		// in the same epoch.
		if slices.ContainsFunc(e.Indexes, func(i int) bool { return !h.indexes[i] }) {
			return refuse("the handover of this epoch is complete")
		}
		return []Action{AnswerHandOver{To: e.From, Accepted: true}}
	case s.isTaking(e.From):
		return refuse("a takeover is under way")
	case h == nil || h.epoch != e.Epoch || h.incarnation != e.Incarnation:
		h = &handover{incarnation: e.Incarnation, epoch: e.Epoch, indexes: map[int]bool{}}
	}
	size := h.bytes
	for _, r := range e.Records {
		size += r.Answer.size()
	}
	// The new owner's table cannot hold more; its ranges are fewer than the
	// previous owner's records in all.
	if size > s.cfg.MaxAnswers+s.cfg.MaxAnswer || len(h.records)+len(e.Records) > 2*s.cfg.MaxKeys {
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

// learn adopts a newer view and completes the takeovers that it shows.
func (s *Standby) learn(now Now, v View) []Action {
	if v.Version <= s.view.Version {
		return nil
	}
	s.view = v
	s.writer.settle(v.Version)
	var actions []Action
	if s.writer.pending == nil {
		for _, t := range s.taking {
			actions = append(actions, s.finish(t)...)
		}
		s.taking = nil
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
			p.known = -1
		}
	}
	for owner := range standbyOf {
		if p := s.promise(owner); p.known < 0 {
			p.known = now.Mono
		}
	}
	return actions
}

// pruneHandovers drops handovers that the view has overtaken.
func (s *Standby) pruneHandovers() {
	for owner, h := range s.handovers {
		if h.epoch > s.view.Assignment.Epoch {
			continue
		}
		live := false
		for i, r := range s.view.Assignment.Ranges {
			live = live || (h.indexes[i] && r.Owner == owner && r.Standby == s.self && r.Epoch <= h.epoch)
		}
		if !live {
			delete(s.handovers, owner)
		}
	}
}

// finish reports which ranges of a settled takeover belong to this node.
func (s *Standby) finish(t taking) []Action {
	won := func(indexes []int) []int {
		var mine []int
		for _, i := range indexes {
			r := s.view.Assignment.Ranges[i]
			if r.Owner == s.self && r.OwnerIncarnation == s.incarnation && r.Epoch >= t.epoch {
				mine = append(mine, i)
			}
		}
		return mine
	}
	var actions []Action
	graceful, fenced := won(t.graceful), won(t.fenced)
	if len(graceful) > 0 {
		actions = append(actions, Take{From: t.from, Indexes: graceful, Graceful: true, Records: t.handover.recordsOf(s.service, graceful, len(s.view.Assignment.Ranges))})
		if s.handovers[t.from] == t.handover {
			delete(s.handovers, t.from)
		}
	}
	if len(fenced) > 0 {
		actions = append(actions, Take{From: t.from, Indexes: fenced})
	}
	if len(fenced) > 0 {
		s.promise(t.from).below = t.epoch
	}
	return actions
}

// recordsOf returns the records that belong to the ranges. Others may be older
// than what the table knows.
func (h *handover) recordsOf(service string, indexes []int, ranges int) []Record {
	var records []Record
	for _, r := range h.records {
		k := Key{Service: service, Tenant: r.Tenant, Value: r.Value}
		if r.State == stateRefusedBefore || slices.Contains(indexes, k.Range(ranges)) {
			records = append(records, r)
		}
	}
	return records
}

// takeOver proposes the takeover of all ranges that are handed over or whose
// owner's promise and margin have passed.
func (s *Standby) takeOver(now Now) []Action {
	if !s.writer.mayPropose(now) || s.view.Version == 0 {
		return nil
	}
	var next Assignment
	var takings []taking
	for i, r := range s.view.Assignment.Ranges {
		if r.Standby != s.self || r.Owner == s.self || r.Owner == "" {
			continue
		}
		graceful := s.handedOver(i, r)
		if !graceful && !s.lapsed(now, r) {
			continue
		}
		if takings == nil {
			next = s.view.Assignment.next("")
		}
		next.Ranges[i] = s.successor(now, i, r, graceful)
		next.Ranges[i].Epoch = next.Epoch
		at := slices.IndexFunc(takings, func(t taking) bool { return t.from == r.Owner })
		if at < 0 {
			at = len(takings)
			takings = append(takings, taking{from: r.Owner, epoch: next.Epoch})
		}
		t := &takings[at]
		if graceful {
			t.graceful = append(t.graceful, i)
			t.handover = s.handovers[r.Owner]
		} else {
			t.fenced = append(t.fenced, i)
		}
	}
	if len(takings) == 0 {
		return nil
	}
	next.WriteID = s.writer.nextID()
	s.taking = takings
	return []Action{s.writer.propose(s.view.Version, next)}
}

// handedOver reports whether the handover is complete and the range has not
// changed since: an owner that takes a range back writes a new epoch first.
func (s *Standby) handedOver(index int, r Range) bool {
	h := s.handovers[r.Owner]
	return h != nil && h.last && h.indexes[index] && h.incarnation == r.OwnerIncarnation && r.Epoch <= h.epoch
}

// lapsed reports whether the promise to the owner, also one that an earlier
// process of this node may have made, and the margin have passed.
// Renewals by a restarted owner do not extend the promise to the process that
// the range names.
func (s *Standby) lapsed(now Now, r Range) bool {
	p := s.promise(r.Owner)
	until := p.until
	if r.OwnerIncarnation < p.incarnation {
		until = p.earlier
	}
	return s.baselineKnown && p.known >= 0 && !s.starting(now, p) &&
		now.Mono >= until+s.cfg.Margin &&
		now.Mono >= p.known+s.cfg.Promise+s.cfg.Margin &&
		now.Mono >= s.started+s.cfg.Promise+s.cfg.Margin
}

// startPromises is how many promises long a standby that has just started
// leaves ranges to an owner that renews and was not promised anything yet.
const startPromises = 4

// starting reports whether the owner is alive and still waits for its first
// promise from this process. A standby that refused renewals because it had
// just started must not mistake this for a lost owner: the takeover would make
// the keys of a healthy owner unknown.
func (s *Standby) starting(now Now, p *promise) bool {
	return p.heard > 0 && now.Mono < p.heard+s.cfg.Promise+s.cfg.Margin &&
		now.Mono < s.started+startPromises*s.cfg.Promise
}

func (s *Standby) successor(now Now, index int, old Range, graceful bool) Range {
	r := Range{Owner: s.self, OwnerIncarnation: s.incarnation, FencedAt: old.FencedAt}
	others := s.members
	if !graceful {
		if now.Wall.After(r.FencedAt) {
			r.FencedAt = now.Wall
		}
		// A lost owner is the last choice for the new standby.
		others = slices.DeleteFunc(slices.Clone(s.members), func(m Member) bool { return m.Node == old.Owner })
	}
	r.Standby = chooseStandby(s.service, index, "", s.self, others)
	leaving := slices.ContainsFunc(s.members, func(m Member) bool { return m.Node == old.Owner && m.Leaving })
	if r.Standby == "" && !leaving {
		r.Standby = old.Owner
	}
	return r
}
