package retry

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

const (
	// loanQueryTimeout is the time after which an unanswered query is given up
	// and another node is asked.
	loanQueryTimeout = 50 * time.Millisecond
	// lenderPause is how long a node that could not lend all that was wanted is
	// not asked again for the same service.
	lenderPause = time.Second
	// demandWindow is the time over which the demand for loans is averaged.
	demandWindow = time.Second
	// advanceFraction is the fraction of the demand expected within a loan's
	// validity that is borrowed in advance. A lender cannot use expired loans for
	// a whole window, so few of them may expire.
	advanceFraction = 0.25
	// After maxRefusals refusals in a row, no node is asked for refusalPause: the
	// fleet's budget is probably used up.
	maxRefusals  = 8
	refusalPause = 500 * time.Millisecond
	// queriesPerSecond and queryBurst bound the queries of one node, so that a
	// fleet whose budget is used up does not answer queries all the time.
	queriesPerSecond, queryBurst = 15, 30
)

// LoanQuery asks a node to lend retries of a service.
type LoanQuery struct {
	To       fleet.NodeID
	Sequence uint64
	Service  string
	Wanted   float64
}

// Loan is the result of an answered LoanQuery.
type Loan struct {
	Service string
	Retries float64
	// Until is the time until which the retries may be used.
	Until time.Time
}

// Borrower decides which nodes are asked to lend retries. It has no clock and
// sends nothing; it is not safe for concurrent use.
//
// A loan expires LoanValidity after its query was sent, by the clock of the
// borrower. The lender granted it later than that and counts the retries until
// LoanValidity after the grant, so delayed and lost messages never let a retry
// be used that the lender no longer counts.
type Borrower struct {
	validity time.Duration
	random   *rand.Rand
	sequence uint64
	peers    [][]fleet.NodeID // nearest group first
	queries  map[uint64]outstandingQuery
	services map[string]*borrowing
	// tokens is the number of queries that may be sent at tokensAt.
	tokens   float64
	tokensAt time.Time
}

type outstandingQuery struct {
	LoanQuery
	sentAt time.Time
}

// borrowing is what a Borrower knows about the loans of one service.
type borrowing struct {
	pausedUntil map[fleet.NodeID]time.Time
	// demand is the number of retries asked for in the last demandWindow, as a
	// decaying sum of demandAt.
	demand   float64
	demandAt time.Time
	// refusals is the number of refusals in a row, the last one at refusedAt.
	refusals  int
	refusedAt time.Time
	// lender is the node that last lent all that was wanted.
	lender fleet.NodeID
}

// NewBorrower returns a Borrower for budgets with the given window. seed must
// differ between the processes of a node, because it also determines the first
// sequence number: an answer to an earlier process must not match a query.
func NewBorrower(window time.Duration, seed uint64) *Borrower {
	random := rand.New(rand.NewPCG(seed, 2))
	return &Borrower{
		validity: LoanValidity(window), random: random, sequence: random.Uint64(),
		queries: make(map[uint64]outstandingQuery), services: make(map[string]*borrowing), tokens: queryBurst,
	}
}

// SetPeers replaces the nodes that may be asked, in groups of which the first is
// the nearest.
func (b *Borrower) SetPeers(groups ...[]fleet.NodeID) { b.peers = groups }

// Want returns the next query to be sent, if any, while requests wait for the
// given number of retries of a service. The query is for those that are wanted
// beyond the unanswered queries, and for some in advance if the demand is high.
func (b *Borrower) Want(now time.Time, service string, retries float64) (q LoanQuery, ok bool) {
	s := b.services[service]
	if s == nil {
		s = &borrowing{pausedUntil: make(map[fleet.NodeID]time.Time)}
		b.services[service] = s
	}
	wanted := retries - b.outstanding(now, service)
	b.tokens = min(b.tokens+queriesPerSecond*max(now.Sub(b.tokensAt).Seconds(), 0), queryBurst)
	b.tokensAt = now
	if wanted <= roundingError || b.tokens < 1 || s.refusals >= maxRefusals && now.Sub(s.refusedAt) < refusalPause {
		return LoanQuery{}, false
	}
	to, ok := b.choose(now, s)
	if !ok {
		return LoanQuery{}, false
	}
	b.tokens--
	b.sequence++
	q = LoanQuery{To: to, Sequence: b.sequence, Service: service, Wanted: roundUp(wanted + s.advance(now, wanted, b.validity))}
	b.queries[q.Sequence] = outstandingQuery{q, now}
	return q, true
}

// advance adds wanted to the demand and returns how many retries to borrow in
// advance.
func (s *borrowing) advance(now time.Time, wanted float64, validity time.Duration) float64 {
	s.demand = s.demand*math.Exp(-now.Sub(s.demandAt).Seconds()/demandWindow.Seconds()) + wanted
	s.demandAt = now
	return math.Floor(advanceFraction * s.demand * validity.Seconds() / demandWindow.Seconds())
}

// roundUp rounds retries up to whole loan units, so that a loan of all that is
// wanted leaves nothing missing.
func roundUp(retries float64) float64 { return math.Ceil(retries/loanUnit-roundingError) * loanUnit }

// Answered returns the loan that a node granted in its answer to a query. ok is
// false if the loan cannot be used.
func (b *Borrower) Answered(now time.Time, from fleet.NodeID, sequence uint64, granted float64) (l Loan, ok bool) {
	q, known := b.queries[sequence]
	if !known || q.To != from {
		return Loan{}, false
	}
	delete(b.queries, sequence)
	s := b.services[q.Service]
	if granted > 0 {
		s.refusals = 0
	} else {
		s.refusals++
		s.refusedAt = now
	}
	if granted+roundingError < q.Wanted {
		s.pausedUntil[from] = now.Add(lenderPause)
	} else {
		s.lender = from
	}
	l = Loan{Service: q.Service, Retries: granted, Until: q.sentAt.Add(b.validity)}
	return l, granted > 0 && now.Before(l.Until)
}

// Asking reports whether a query for the service is unanswered and not too old
// to expect an answer.
func (b *Borrower) Asking(now time.Time, service string) bool { return b.outstanding(now, service) > 0 }

// outstanding returns how many retries of the service are wanted in unanswered
// queries that are not too old to expect an answer. It pauses nodes that did not
// answer in time.
func (b *Borrower) outstanding(now time.Time, service string) float64 {
	total := 0.0
	for sequence, q := range b.queries {
		switch age := now.Sub(q.sentAt); {
		case age >= b.validity:
			delete(b.queries, sequence)
		case age >= loanQueryTimeout:
			b.services[q.Service].pausedUntil[q.To] = q.sentAt.Add(lenderPause)
		case q.Service == service:
			total += q.Wanted
		}
	}
	return total
}

// choose returns a node of the nearest group in which a node may have retries to
// lend: the one that last lent all that was wanted, or else a random one. ok is
// false if there is no such group.
func (b *Borrower) choose(now time.Time, s *borrowing) (id fleet.NodeID, ok bool) {
	for id, until := range s.pausedUntil {
		if !now.Before(until) {
			delete(s.pausedUntil, id)
		}
	}
	for _, peers := range b.peers {
		if _, paused := s.pausedUntil[s.lender]; !paused && slices.Contains(peers, s.lender) {
			return s.lender, true
		}
		if len(peers) == 0 {
			continue
		}
		first := b.random.IntN(len(peers))
		for i := range peers {
			id := peers[(first+i)%len(peers)]
			if _, paused := s.pausedUntil[id]; !paused {
				return id, true
			}
		}
	}
	return "", false
}
