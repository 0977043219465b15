package quota

import (
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/bundle"
	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// Send is a datagram to another node. Tick has to be called AnswerTimeout after
// a query was sent.
type Send struct {
	Addr   string
	Query  *controlv1.QuotaQuery
	Answer *controlv1.QuotaAnswer
}

// AnswerTimeout is the time after which Tick asks another node.
const AnswerTimeout = answerTimeout

// Stats counts decisions and messages.
type Stats struct {
	// Granted, Rejected and Unknown count the requests of this node's callers.
	Granted, Rejected, Unknown uint64
	// Queries counts the sent and Answered the answered queries.
	Queries, Answered uint64
}

// Machine decides on the requests of this node's callers and owns the quotas of
// some organisations. All times are boot times. It is not safe for concurrent
// use.
type Machine struct {
	members *members
	owner   *owner
	// quota returns the quota of an organisation by the bundle in force; ok is
	// false if there is no bundle.
	quota Lookup

	demands  map[string]*demand
	sequence uint64
	waiterID uint64
	// timeouts holds the queries in the order in which they were sent.
	timeouts []timeout
	// finished holds relayed queries that can be answered.
	finished []*relay
	// nextAsked is the index of the node that was asked last for lost nodes.
	nextAsked int
	sends     []Send
	stats     Stats
}

// Lookup returns the quota of an organisation, the zero Quota if it has none. ok
// is false if quotas are not known.
type Lookup func(organisation string) (quota bundle.Quota, ok bool)

type timeout struct {
	organisation string
	sequence     uint64
	at           time.Duration
}

// New returns the machine of a node that has just started. alone is set if there
// is no other node; otherwise it grants nothing before it knows one.
func New(self fleet.NodeID, alone bool, cfg Config, quota Lookup, now time.Duration) *Machine {
	m := newMembers(self, alone, now)
	return &Machine{
		members: m, owner: &owner{cfg: cfg, members: m, buckets: make(map[string]*bucket), scale: 1},
		quota: quota, demands: make(map[string]*demand),
		// Answers to queries of an earlier process must not match.
		sequence: uint64(now),
	}
}

// Stats returns the counts since the start.
func (m *Machine) Stats() Stats { return m.stats }

// NodeChanged takes a membership record into account, also that of the node
// itself.
func (m *Machine) NodeChanged(now time.Duration, n fleet.Node) {
	m.members.nodeChanged(now, n)
	m.owner.rescale(now)
}

// Alone states that there is no other node. It has no effect on a node that has
// known one.
func (m *Machine) Alone() { m.members.alone = true }

// Heard records that a datagram of another node has arrived. It must be called
// for a query before Query.
func (m *Machine) Heard(now time.Duration) { m.members.heard(now) }

// Take decides on a request. If the waiter is not nil, its decision follows.
// The returned datagrams have to be sent; the slice is valid until the next
// call.
func (m *Machine) Take(now time.Duration, organisation string, quota bundle.Quota) (Decision, *Waiter, []Send) {
	if quota.RequestsPerSecond <= 0 {
		return Decision{Granted: true}, nil, nil
	}
	d := m.demand(now, organisation, quota)
	if len(d.waiting) == 0 {
		if expires, ok := d.use(now); ok {
			m.stats.Granted++
			return Decision{Granted: true, Expires: expires}, nil, nil
		}
	}
	w := &Waiter{Decided: make(chan Decision, 1), organisation: organisation}
	m.sends = m.sends[:0]
	m.wait(now, d, w)
	return Decision{}, w, m.finish()
}

// demand returns the demand of this node for an organisation.
func (m *Machine) demand(now time.Duration, organisation string, quota bundle.Quota) *demand {
	d := m.demands[organisation]
	if d == nil {
		d = &demand{machine: m, hash: orgHash(organisation)}
		m.demands[organisation] = d
	}
	if d.quota != quota {
		d.quota, d.share = quota, m.owner.cfg.share(quota)
	}
	d.usedAt = now
	return d
}

// wait adds waiting requests and asks for them unless a query is under way.
func (m *Machine) wait(now time.Duration, d *demand, waiters ...*Waiter) {
	for _, w := range waiters {
		m.waiterID++
		w.id, w.since = m.waiterID, now
		d.waiting = append(d.waiting, w)
	}
	if d.inFlight == 0 {
		d.rounds = 0
		m.begin(now, waiters[0].organisation, d)
	}
}

// Abandon removes a request whose caller no longer waits. If it was decided in
// the meantime, the decision is in Decided.
func (m *Machine) Abandon(w *Waiter) {
	if d := m.demands[w.organisation]; d != nil {
		if i := slices.Index(d.waiting, w); i >= 0 {
			d.waiting = slices.Delete(d.waiting, i, i+1)
		}
	}
}

// Return gives back a granted request that did not run.
func (m *Machine) Return(now time.Duration, organisation string, decision Decision) {
	if d := m.demands[organisation]; d != nil && decision.Granted {
		d.keep(now, 1, decision.Expires, true)
		d.serve(now)
	}
}

// begin asks the nodes of an organisation in order, beginning with the first.
func (m *Machine) begin(now time.Duration, organisation string, d *demand) {
	d.rounds++
	d.skipped = false
	d.asked = 0
	if d.orderedAt != m.members.generation {
		d.orderedAt, d.ordered = m.members.generation, m.members.order(d.hash, &d.order)
	}
	m.ask(now, organisation, d)
}

// ask asks the next node in order for all waiting requests.
func (m *Machine) ask(now time.Duration, organisation string, d *demand) {
	d.inFlight = 0
	d.expire(now)
	if d.asked > 0 {
		d.dropRelayed()
	}
	for {
		if len(d.waiting) == 0 {
			return
		}
		if d.asked == d.ordered {
			if (d.skipped || d.unanswered(now)) && d.rounds < maxRounds {
				m.begin(now, organisation, d)
				return
			}
			d.giveUp()
			return
		}
		next, silent := d.order[d.asked], d.asked > 0
		d.asked++
		if next != nil {
			if d.rounds == 1 && now < next.silentUntil {
				d.skipped = true
				d.dropRelayed()
				continue
			}
			m.send(now, organisation, d, next, silent)
			return
		}
		last := d.waiting[len(d.waiting)-1].id
		a := m.grant(now, organisation, len(d.waiting), silent, query{})
		m.apply(now, d, a, last, now+d.share.answerAge)
	}
}

// send sends a query to another node.
func (m *Machine) send(now time.Duration, organisation string, d *demand, to *member, silent bool) {
	m.sequence++
	m.stats.Queries++
	d.inFlight = m.sequence
	d.attempts = slices.DeleteFunc(d.attempts, func(a attempt) bool { return now-a.sentAt >= waitLimit })
	d.attempts = append(d.attempts, attempt{m.sequence, now, len(d.waiting), d.waiting[len(d.waiting)-1].id})
	m.timeouts = append(m.timeouts, timeout{organisation, m.sequence, now + answerTimeout})
	m.sends = append(m.sends, Send{Addr: to.addr, Query: &controlv1.QuotaQuery{
		Sequence: m.sequence,
		Requests: []*controlv1.QuotaRequest{{
			Organisation: organisation, Wanted: uint32(len(d.waiting)), OwnerSilent: silent, Relayed: d.hasRelayed(),
		}},
	}})
}

// apply decides waiting requests up to last by an answer. The requests granted
// to them expire at expires.
func (m *Machine) apply(now time.Duration, d *demand, a answer, last uint64, expires time.Duration) {
	d.keep(now, a.granted, expires, true)
	d.serve(now)
	if a.retryAfter > 0 {
		d.reject(last, a.retryAfter)
	}
}

// Query handles a query of the node with the given identifier and address. It
// returns the datagrams to send; the answer may follow later.
func (m *Machine) Query(now time.Duration, from fleet.NodeID, addr string, q *controlv1.QuotaQuery) []Send {
	m.sends = m.sends[:0]
	out := &controlv1.QuotaAnswer{Sequence: q.GetSequence(), Grants: make([]*controlv1.QuotaGrant, 0, len(q.GetRequests()))}
	if len(q.GetRequests()) == 0 {
		m.members.answerLost(now, out)
		m.sends = append(m.sends, Send{Addr: addr, Answer: out})
		return m.sends
	}
	m.stats.Answered++
	by := query{node: nodeHash(from), sequence: q.GetSequence()}
	for _, r := range q.GetRequests() {
		wanted := min(int(r.GetWanted()), maxWanted)
		a := m.grant(now, r.GetOrganisation(), wanted, r.GetOwnerSilent(), by)
		if a.notOwner && r.GetOwnerSilent() && !r.GetRelayed() && m.relay(now, from, addr, q.GetSequence(), r, a.granted) {
			continue
		}
		out.Grants = append(out.Grants, &controlv1.QuotaGrant{
			Organisation: r.GetOrganisation(),
			Granted:      uint32(a.granted + a.extra), ValidMs: uint32(prefetchValidity.Milliseconds()),
			RetryAfterMs: milliseconds(a.retryAfter), NotOwner: a.notOwner,
		})
	}
	if len(out.Grants) > 0 {
		m.sends = append(m.sends, Send{Addr: addr, Answer: out})
	}
	return m.finish()
}

// milliseconds rounds up, so that a time that is set stays set.
func milliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1).Milliseconds())
}

// grant decides on requests as the owner or in its place.
func (m *Machine) grant(now time.Duration, organisation string, wanted int, silent bool, by query) answer {
	quota, ok := m.quota(organisation)
	if !ok {
		return answer{notOwner: true}
	}
	return m.owner.take(now, organisation, quota, wanted, silent, by)
}

// maxWanted bounds the requests of one query.
const maxWanted = 1 << 20

// Answer takes an answer of another node into account and returns the datagrams
// to send.
func (m *Machine) Answer(now time.Duration, a *controlv1.QuotaAnswer) []Send {
	m.sends = m.sends[:0]
	if len(a.GetLostNodes()) > 0 {
		m.members.learnLost(now, a)
	}
	for _, g := range a.GetGrants() {
		m.granted(now, a.GetSequence(), g)
	}
	return m.finish()
}

func (m *Machine) granted(now time.Duration, sequence uint64, g *controlv1.QuotaGrant) {
	d := m.demands[g.GetOrganisation()]
	if d == nil {
		return
	}
	i := slices.IndexFunc(d.attempts, func(a attempt) bool { return a.sequence == sequence })
	if i < 0 {
		return // answered twice, or too late
	}
	sent := d.attempts[i]
	d.attempts = slices.Delete(d.attempts, i, i+1)
	granted := int(g.GetGranted())
	forWaiting := min(granted, sent.wanted)
	if sequence == d.inFlight {
		// The time counts from when the query was sent, which is before the
		// grant. The owner expects a node that asks again to have used up or
		// lost what it was granted in advance before.
		d.keep(now, granted-forWaiting, sent.sentAt+time.Duration(g.GetValidMs())*time.Millisecond, false)
	}
	m.apply(now, d, answer{granted: forWaiting, retryAfter: time.Duration(g.GetRetryAfterMs()) * time.Millisecond}, sent.last, sent.sentAt+d.share.answerAge)
	switch {
	case sequence != d.inFlight:
		if len(d.waiting) == 0 {
			d.inFlight = 0
		}
	case g.GetNotOwner():
		m.ask(now, g.GetOrganisation(), d)
	default:
		d.inFlight = 0
		if len(d.waiting) > 0 {
			d.rounds = 0
			m.begin(now, g.GetOrganisation(), d)
		}
	}
}

// Tick handles the queries that have not been answered in time.
func (m *Machine) Tick(now time.Duration) []Send {
	m.sends = m.sends[:0]
	for len(m.timeouts) > 0 && now >= m.timeouts[0].at {
		t := m.timeouts[0]
		m.timeouts = m.timeouts[1:]
		if d := m.demands[t.organisation]; d != nil && d.inFlight == t.sequence {
			if silent := d.order[d.asked-1]; silent != nil {
				silent.silentUntil = now + silentSpan
			}
			m.ask(now, t.organisation, d)
		}
	}
	return m.finish()
}

// sweepSize bounds the organisations that one call of Sweep looks at.
const sweepSize = 4096

// Sweep drops the state of organisations that are not in use. It has to be
// called twice a second. The returned datagrams have to be sent.
func (m *Machine) Sweep(now time.Duration) []Send {
	m.drop(now)
	return m.askLost(now)
}

func (m *Machine) drop(now time.Duration) {
	m.owner.rescale(now)
	m.owner.sweep(now, m.quota, sweepSize)
	n := sweepSize
	for organisation, d := range m.demands {
		if n--; n < 0 {
			return
		}
		if d.idle(now) {
			delete(m.demands, organisation)
		}
	}
}
