package freshness

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

const (
	// queryTimeout is the time after which an unanswered query makes the machine
	// ask another peer. A later answer is still used.
	queryTimeout = 250 * time.Millisecond
	// minQueryInterval limits the rate at which peers are asked one after the
	// other.
	minQueryInterval = 100 * time.Millisecond
	// maxQueryInterval is the longest time between two queries, before jitter.
	maxQueryInterval = time.Second
	// avoidPeer is how long a peer is avoided that did not answer or whose
	// confirmation was old.
	avoidPeer = 2 * time.Second
	// readInterval is the time after the first read of the platform without a
	// confirmation until the second, before jitter. maxReadInterval applies to
	// further ones, because a node that is cut off has no use for many calls.
	readInterval    = time.Second
	maxReadInterval = 2 * time.Second
	// maxPlausibleAge bounds the ages in answers, so that a malformed one does
	// not overflow.
	maxPlausibleAge = 24 * time.Hour
)

// These times are fractions of Config.MaxAge.
const (
	// queryFraction is the time between two queries. A reader's confirmation
	// gets up to two watches old before the next, so that with watches of a fifth
	// of MaxAge no confirmation exceeds staleFraction while all is well.
	queryFraction = 0.125
	// staleFraction is the age from which a peer's confirmation is too old to be
	// of use and another peer is asked without delay.
	staleFraction = 0.6
	// readerQueryFraction is the age from which a reader asks other nodes, because
	// its own calls to the platform seem to fail.
	readerQueryFraction = 0.5
	// readFraction is the age from which a node reads the platform, and
	// readerReadFraction the same for a reader, which also repeats its watches.
	// Random delays of up to readSpread distribute the reads of many nodes.
	readFraction       = 0.65
	readerReadFraction = 0.8
	readSpread         = 0.1
	// startFraction is the age that is assumed for a bundle that was never
	// confirmed, which leaves peers some time to answer before the first read.
	startFraction = 0.5
)

// Machine decides whom a node asks for a confirmation and which answers it
// accepts. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	random  *rand.Rand
	now     time.Duration
	actions []Action

	inForce  uint64
	required bool
	// requiredSince is when the first bundle that requires keys came into force.
	requiredSince time.Duration

	confirmed *Confirmation
	// newer is the last confirmation of a version newer than the one in force,
	// which does not count until that version is in force.
	newer   *Confirmation
	expired time.Duration // start of the present time without a valid confirmation, 0 if none

	reader bool
	peers  []Peer
	states map[fleet.NodeID]*peerState

	queries  map[uint64]query // without an answer so far
	sequence uint64
	// latest is the last query unless it has been answered or has timed out.
	latest    *query
	preferred fleet.NodeID // peer that gave the last useful answer
	lastAsked time.Duration
	nextAsk   time.Duration

	nextRead time.Duration // 0 while no read is scheduled
	lastRead time.Duration
	// unconfirmedReads is the number of reads since the confirmation became too old.
	unconfirmedReads int
	stats            Stats
}

type peerState struct {
	hint       time.Duration // latest time that a Hint stated for its confirmation
	hinted     bool
	avoidUntil time.Duration
}

type query struct {
	to     fleet.NodeID
	sentAt time.Duration
}

// Stats holds the counters of a machine since its creation.
type Stats struct {
	Queries, Answers, Reads uint64
}

// New returns a machine without a confirmation.
func New(cfg Config) *Machine {
	random := rand.New(rand.NewPCG(cfg.Seed, 0x667265736e657373))
	return &Machine{
		cfg: cfg, random: random, sequence: random.Uint64(),
		states: make(map[fleet.NodeID]*peerState), queries: make(map[uint64]query),
	}
}

// Confirmation returns the last confirmation. ok is false if there was none.
func (m *Machine) Confirmation() (c Confirmation, ok bool) {
	if m.confirmed == nil {
		return Confirmation{}, false
	}
	return *m.confirmed, true
}

// Stats returns a copy of the counters.
func (m *Machine) Stats() Stats { return m.stats }

// Step handles one event and returns the actions to perform. The returned slice
// is valid until the next call.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.actions = m.actions[:0]
	m.now = now
	switch e := ev.(type) {
	case Activated:
		m.activated(e)
	case PeersChanged:
		m.peersChanged(e)
	case PlatformConfirmed:
		m.confirm(Confirmation{m.inForce, e.SentAt})
	case Hint:
		m.hint(e)
	case Query:
		m.reply(e)
	case Answer:
		m.answer(e)
	}
	m.advance()
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) activated(e Activated) {
	m.inForce = e.Version
	if e.RequiresKeys && !m.required {
		m.requiredSince = m.now
	}
	m.required = e.RequiresKeys
	if m.newer != nil && m.newer.Version <= m.inForce {
		m.confirm(*m.newer)
		m.newer = nil
	}
}

func (m *Machine) peersChanged(e PeersChanged) {
	m.peers, m.reader = e.Peers, e.Reader
	known := make(map[fleet.NodeID]bool, len(e.Peers))
	for _, p := range e.Peers {
		known[p.ID] = true
	}
	for id := range m.states {
		if !known[id] {
			delete(m.states, id)
		}
	}
}

func (m *Machine) state(id fleet.NodeID) *peerState {
	s := m.states[id]
	if s == nil {
		s = new(peerState)
		m.states[id] = s
	}
	return s
}

func (m *Machine) hint(e Hint) {
	s := m.state(e.From)
	if at := m.now - min(e.Age, maxPlausibleAge); !s.hinted || at > s.hint {
		s.hint, s.hinted = at, true
	}
}

// confirm records a confirmation of a version that is not newer than the one in
// force. It holds for all bundles from that version on.
func (m *Machine) confirm(c Confirmation) {
	if m.confirmed == nil || c.At > m.confirmed.At {
		m.confirmed = &c
	}
}

// reply answers a query. The age is rounded up to whole milliseconds, because
// that is the precision of the message.
func (m *Machine) reply(q Query) {
	if m.confirmed == nil {
		return
	}
	age := (m.now - m.confirmed.At + time.Millisecond - 1).Truncate(time.Millisecond)
	m.emit(Reply{To: q.From, Sequence: q.Sequence, Version: m.confirmed.Version, Age: max(age, 0)})
}

// answer evaluates an answer. It is dated by when the query was sent: the peer
// read its clock after that, so delays make the confirmation look older, never
// newer.
func (m *Machine) answer(a Answer) {
	q, ok := m.queries[a.Sequence]
	if !ok || q.to != a.From || a.Age < 0 || a.Age > maxPlausibleAge {
		return
	}
	delete(m.queries, a.Sequence)
	m.stats.Answers++
	latest := a.Sequence == m.sequence
	if latest {
		m.latest = nil
	}
	c := Confirmation{a.Version, q.sentAt - a.Age}
	switch {
	case a.Version <= m.inForce:
		m.confirm(c)
	case m.newer == nil || c.At > m.newer.At:
		m.newer = &c
	}
	if m.now-c.At < m.part(staleFraction) {
		m.preferred = a.From
		return
	}
	m.state(a.From).avoidUntil = m.now + avoidPeer
	if latest {
		m.nextAsk = m.lastAsked + minQueryInterval
	}
}

func (m *Machine) part(fraction float64) time.Duration {
	return time.Duration(fraction * float64(m.cfg.MaxAge))
}

// age returns the age of the confirmation, math.MaxInt64 if there is none.
func (m *Machine) age() time.Duration {
	if m.confirmed == nil {
		return math.MaxInt64
	}
	return m.now - m.confirmed.At
}

// advance emits the actions that are due.
func (m *Machine) advance() {
	m.expireQueries()
	if !m.required {
		m.nextRead, m.unconfirmedReads, m.expired = 0, 0, 0
		return
	}
	m.ask()
	m.scheduleRead()
	m.reportExpiry()
}

// expireQueries avoids the peer of a query that has timed out. Queries that are
// so old that an answer could not help are forgotten.
func (m *Machine) expireQueries() {
	if m.latest != nil && m.now-m.latest.sentAt >= queryTimeout {
		m.state(m.latest.to).avoidUntil = m.now + avoidPeer
		m.latest, m.nextAsk = nil, m.now
	}
	for sequence, q := range m.queries {
		if m.now-q.sentAt > m.cfg.MaxAge {
			delete(m.queries, sequence)
		}
	}
}

func (m *Machine) queryInterval() time.Duration {
	return min(m.part(queryFraction), maxQueryInterval)
}

// ask sends a query if one is due. A node whose own calls to the platform
// confirm the bundle often enough asks nobody.
func (m *Machine) ask() {
	if m.latest != nil || m.now < m.nextAsk || m.reader && m.age() < m.part(readerQueryFraction) {
		return
	}
	to, ok := m.choosePeer()
	if !ok {
		return
	}
	m.sequence++
	m.stats.Queries++
	q := query{to, m.now}
	m.queries[m.sequence], m.latest = q, &q
	m.lastAsked, m.nextAsk = m.now, m.now+m.jitter(m.queryInterval())
	m.emit(Ask{To: to, Sequence: m.sequence})
}

// jitter returns a duration between 80% and 120% of d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d*4/5 + time.Duration(m.random.Int64N(int64(d)*2/5+1))
}

// choosePeer returns the peer to ask: a reader in this data centre, another
// reader, or the peer with the freshest hint. Among readers, the one that gave
// the last useful answer comes first. If all peers are avoided, it is the one that is
// avoided for the shortest time.
func (m *Machine) choosePeer() (fleet.NodeID, bool) {
	if len(m.peers) == 0 {
		return "", false
	}
	rank := func(p Peer) int {
		switch {
		case p.Reader && p.Near:
			return 0
		case p.Reader:
			return 1
		default:
			return 2
		}
	}
	avoided := func(id fleet.NodeID) time.Duration {
		if s := m.states[id]; s != nil {
			return max(s.avoidUntil-m.now, 0)
		}
		return 0
	}
	better := func(a, b Peer) bool {
		if byAvoidance := cmp.Compare(avoided(a.ID), avoided(b.ID)); byAvoidance != 0 {
			return byAvoidance < 0
		}
		if byRank := cmp.Compare(rank(a), rank(b)); byRank != 0 {
			return byRank < 0
		}
		if a.ID == m.preferred || b.ID == m.preferred {
			return a.ID == m.preferred
		}
		return rank(a) == 2 && m.hintOf(a.ID) > m.hintOf(b.ID)
	}
	var best *Peer
	offset := m.random.IntN(len(m.peers)) // equally good peers are chosen at random
	for i := range m.peers {
		if p := &m.peers[(offset+i)%len(m.peers)]; best == nil || better(*p, *best) {
			best = p
		}
	}
	return best.ID, true
}

func (m *Machine) hintOf(id fleet.NodeID) time.Duration {
	if s := m.states[id]; s != nil && s.hinted {
		return s.hint
	}
	return math.MinInt64
}

// scheduleRead requests a read of the platform, at a random time after the
// confirmation has become too old. The platform may turn away any set of nodes,
// so those that it serves read in place of the readers.
func (m *Machine) scheduleRead() {
	age := m.age()
	if m.confirmed == nil {
		age = m.now - m.requiredSince + m.part(startFraction)
	}
	limit := m.part(readFraction)
	if m.reader {
		limit = m.part(readerReadFraction)
	}
	switch {
	case age < limit:
		m.nextRead, m.unconfirmedReads = 0, 0
	case m.nextRead == 0:
		m.nextRead = m.now + time.Duration(m.random.Int64N(int64(m.part(readSpread))+1))
		if m.stats.Reads > 0 {
			m.nextRead = max(m.nextRead, m.lastRead+m.jitter(readInterval))
		}
	case m.now >= m.nextRead:
		interval := readInterval
		if m.unconfirmedReads++; m.unconfirmedReads > 1 {
			interval = maxReadInterval
		}
		m.lastRead, m.nextRead = m.now, m.now+m.jitter(interval)
		m.stats.Reads++
		m.emit(ReadPlatform{})
	}
}

// reportExpiry reports the begin and the end of a time without a valid
// confirmation. After the start, a node gets MaxAge for the first one.
func (m *Machine) reportExpiry() {
	age := m.age()
	if m.confirmed == nil {
		age = m.now - m.requiredSince
	}
	switch expired := age > m.cfg.MaxAge; {
	case expired && m.expired == 0:
		m.expired = m.now
		m.emit(Expired{})
	case !expired && m.expired != 0:
		m.emit(Renewed{After: m.now - m.expired})
		m.expired = 0
	}
}

// SortPeers orders peers by identifier, so that the choices of a Machine with a
// given seed can be reproduced.
func SortPeers(peers []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
}
