package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// never is a time before the start of any machine.
const never = time.Duration(math.MinInt64 / 4)

// member is what is known of one node.
type member struct {
	id          fleet.NodeID
	hash        uint64
	addr        string
	incarnation uint64
	// usable nodes may own quotas; alive ones are usable and not suspected.
	usable, alive, left bool
	// establishedAt is when the node begins to grant what it owns, and aliveAt
	// when it counts towards the rate.
	establishedAt, aliveAt time.Duration
	// silentUntil is the time until which the node is not asked first, because it
	// did not answer.
	silentUntil time.Duration
	// lostAt is when the node last stopped being usable or restarted.
	lostAt time.Duration
}

// members ranks the nodes of the fleet for each organisation.
type members struct {
	self   fleet.NodeID
	byID   map[fleet.NodeID]*member
	others []*member
	hash   uint64
	// lost holds nodes that failed before this one started, by the hashes of
	// their identifiers, with the times at which they failed.
	lost map[uint32]time.Duration

	// alone is set if there is no other node, until one is known.
	alone   bool
	leaving bool
	// joinedAt is when the node first knew another one, and accrueFrom when it
	// began to accrue tokens.
	joined               bool
	joinedAt, accrueFrom time.Duration
	heardAt              time.Duration

	// generation changes with the order of nodes or their rates.
	generation uint64
	// recountAt is the earliest time at which counts change with time alone.
	recountAt time.Duration
	liveNow   int
	scaleNow  float64
	// raisedFrom is the scale before the last raises, the latest of which was at
	// raisedAt.
	raisedFrom float64
	raisedAt   time.Duration
}

func newMembers(self fleet.NodeID, alone bool, now time.Duration) *members {
	return &members{
		self: self, hash: nodeHash(self), byID: make(map[fleet.NodeID]*member), alone: alone,
		lost: make(map[uint32]time.Duration), joinedAt: now, accrueFrom: now, heardAt: now, recountAt: now, generation: 1,
		scaleNow: 1, raisedFrom: 1, raisedAt: never,
	}
}

func nodeHash(id fleet.NodeID) uint64 { return xxhash.Sum64String(string(id)) }

func orgHash(organisation string) uint64 { return xxhash.Sum64String(organisation) }

// weight orders the nodes of an organisation; the node with the highest weight
// owns its quota.
func weight(node, organisation uint64) uint64 {
	x := node ^ organisation*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// nodeChanged takes a new or changed membership record into account.
func (m *members) nodeChanged(now time.Duration, n fleet.Node) {
	if n.ID == m.self {
		if leaving := n.State == fleet.NodeLeaving; leaving != m.leaving {
			m.leaving = leaving
			m.generation++
		}
		return
	}
	known := m.byID[n.ID]
	if known == nil {
		if !n.Usable() {
			return
		}
		known = &member{id: n.ID, hash: nodeHash(n.ID), lostAt: never}
		delete(m.lost, uint32(known.hash))
		m.byID[n.ID] = known
		m.others = append(m.others, known)
	}
	if !m.joined && n.Usable() {
		m.joined, m.joinedAt, m.heardAt = true, now, now
		m.accrueFrom = now + handover + joinSpread
	}
	before := *known
	known.update(now, n)
	if *known != before {
		m.generation++
		m.recountAt = now
	}
}

func (k *member) update(now time.Duration, n fleet.Node) {
	first := k.incarnation == 0
	restarted := !first && n.Incarnation >= k.incarnation+minRestartStep
	usable, alive := n.Usable(), n.State == fleet.NodeAlive
	if k.usable && (!usable || restarted) {
		k.lostAt = now
	}
	if usable && (first || restarted) {
		k.establishedAt = now + handover
	}
	if alive && (!k.alive || restarted) {
		k.aliveAt = now + aliveDelay
	}
	switch n.State {
	case fleet.NodeLeaving:
		k.left = true
	case fleet.NodeAlive, fleet.NodeSuspect:
		k.left = false
	}
	k.usable, k.alive, k.incarnation = usable, alive, n.Incarnation
	if n.PeerAddr != "" {
		k.addr = n.PeerAddr
	}
}

// heard records that a datagram of another node was received.
func (m *members) heard(now time.Duration) {
	if m.joined && m.isolated(now) {
		// The tokens that accrued in the meantime may have been granted by
		// another node.
		m.accrueFrom = now + contactSettling
		m.generation++
	}
	m.heardAt = now
}

// isolated reports whether the node has lost contact with a fleet that goes on
// without it. A node that knows of one other node at most cannot tell which of
// them is cut off; scale bounds what both grant.
func (m *members) isolated(now time.Duration) bool {
	if now-m.heardAt <= contactLimit {
		return false
	}
	m.recount(now)
	return m.liveNow > 1
}

// grants reports whether the node may grant requests of the organisations that
// it owns.
func (m *members) grants(now time.Duration) bool {
	if m.leaving {
		return false
	}
	if !m.joined {
		return m.alone
	}
	return now >= m.joinedAt+handover+joinSpread && !m.isolated(now)
}

// recount updates the counts of nodes if they may have changed.
func (m *members) recount(now time.Duration) {
	if now < m.recountAt {
		return
	}
	m.recountAt = now + seenRetention
	live, seen, usable := 1, 1, 0
	later := func(at time.Duration) { m.recountAt = min(m.recountAt, at) }
	for i := 0; i < len(m.others); i++ {
		k := m.others[i]
		if k.usable {
			usable++
		}
		switch {
		case k.alive && now >= k.aliveAt:
			live, seen = live+1, seen+1
		case k.usable:
			if k.alive {
				later(k.aliveAt)
			}
			seen++
		case now-k.lostAt >= seenRetention:
			delete(m.byID, k.id)
			m.others[i] = m.others[len(m.others)-1]
			m.others = m.others[:len(m.others)-1]
			i--
		case !k.left:
			seen++
			later(k.lostAt + seenRetention)
		}
	}
	for hash, at := range m.lost {
		if now-at >= seenRetention {
			delete(m.lost, hash)
			continue
		}
		seen++
		later(at + seenRetention)
	}
	m.liveNow = usable
	m.setScale(now, scale(live, seen))
}

// raiseSpan is the time within which raises of the scale are taken as one.
const raiseSpan = time.Minute

func (m *members) setScale(now time.Duration, s float64) {
	if s > m.scaleNow {
		if now-m.raisedAt > raiseSpan {
			m.raisedFrom = m.scaleNow
		}
		m.raisedFrom, m.raisedAt = min(m.raisedFrom, m.scaleNow), now
	}
	m.scaleNow = s
}

// scale returns the part of all quotas that a part of the fleet may grant. The
// parts of a divided fleet get 1 together at most. A part that holds almost all
// nodes gets everything, so that a few failures do not lower the quotas.
func scale(live, seen int) float64 {
	switch part := float64(live) / float64(seen); {
	case part > 0.75:
		return 1
	case part < 0.25:
		return 0
	default:
		return part
	}
}

// standing is the place of the node in the order of one organisation.
type standing struct {
	// before is the number of usable nodes that outrank the node.
	before int
	// owner is set if none of them grants yet.
	owner bool
	// since is when an earlier owner may last have granted requests.
	since time.Duration
	// until is when the standing may change without a change of members.
	until time.Duration
}

func (m *members) standing(now time.Duration, organisation uint64) standing {
	own := weight(m.hash, organisation)
	s := standing{owner: true, since: m.accrueFrom, until: now + seenRetention}
	for _, k := range m.others {
		if weight(k.hash, organisation) < own {
			continue
		}
		s.since = max(s.since, k.lostAt)
		if !k.usable {
			continue
		}
		s.before++
		if now >= k.establishedAt {
			s.owner = false
		} else {
			s.until = min(s.until, k.establishedAt)
		}
	}
	return s
}

// order fills the first nodes in the order of an organisation into into. The
// node itself is nil.
func (m *members) order(organisation uint64, into *[maxAsked]*member) int {
	var weights [maxAsked]uint64
	n := 0
	insert := func(k *member, w uint64) {
		i := n
		for i > 0 && weights[i-1] < w {
			i--
		}
		if i == maxAsked {
			return
		}
		n = min(n+1, maxAsked)
		copy(weights[i+1:n], weights[i:])
		copy(into[i+1:n], into[i:])
		weights[i], into[i] = w, k
	}
	if !m.leaving {
		insert(nil, weight(m.hash, organisation))
	}
	for _, k := range m.others {
		if k.usable {
			insert(k, weight(k.hash, organisation))
		}
	}
	return n
}
