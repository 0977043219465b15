package retry_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/retry"
)

const loanWindow = 10 * time.Second

// loanProcess is one process of a node with its share and what it has done.
type loanProcess struct {
	id             fleet.NodeID
	share          *retry.FleetBudgetShare
	borrower       *retry.Borrower
	started, ended time.Time
	allowance      float64 // the largest one
	requests       []time.Time
	failed         []time.Time // requests that wait for a retry
}

// loanMessage is a query, or an answer if granted is not negative.
type loanMessage struct {
	due      time.Time
	from, to fleet.NodeID
	query    retry.LoanQuery
	granted  float64
}

// loanFleet runs the shares and borrowers of a fleet without a network.
type loanFleet struct {
	now              time.Time
	ratio, allowance float64
	patience         time.Duration // how long a failed request waits for a retry
	running, all     []*loanProcess
	messages         []loanMessage
	retries          []time.Time
	queries, dropped int
	// copies returns the delay of each copy of a message that arrives.
	copies func() []time.Duration
}

func (f *loanFleet) start(id fleet.NodeID, at time.Time) {
	p := &loanProcess{
		id: id, started: at, share: retry.NewFleetBudgetShare(f.ratio, 0, loanWindow, at),
		borrower: retry.NewBorrower(loanWindow, uint64(len(f.all))),
	}
	f.running, f.all = append(f.running, p), append(f.all, p)
	f.shareAllowance()
}

func (f *loanFleet) stop(i int) {
	f.running[i].ended = f.now
	f.running = slices.Delete(f.running, i, i+1)
}

func (f *loanFleet) shareAllowance() {
	ids := make([]fleet.NodeID, len(f.running))
	for i, p := range f.running {
		ids[i] = p.id
		part := f.allowance / float64(len(f.running))
		p.share.SetAllowance(part)
		p.allowance = max(p.allowance, part)
	}
	for i, p := range f.running {
		p.borrower.SetPeers(slices.Concat(ids[:i], ids[i+1:]))
	}
}

func (f *loanFleet) send(m loanMessage) {
	for _, delay := range f.copies() {
		m.due = f.now.Add(delay)
		f.messages = append(f.messages, m)
	}
}

func (f *loanFleet) request(p *loanProcess, fails bool) {
	p.share.Deposit(f.now)
	p.requests = append(p.requests, f.now)
	if fails {
		p.failed = append(p.failed, f.now)
		f.retry(p)
	}
}

// retry makes the retries that the share allows and asks for the others.
func (f *loanFleet) retry(p *loanProcess) {
	for len(p.failed) > 0 && f.now.Sub(p.failed[0]) > f.patience {
		p.failed = p.failed[1:]
		f.dropped++
	}
	for len(p.failed) > 0 && p.share.Withdraw(f.now) {
		p.failed = p.failed[1:]
		f.retries = append(f.retries, f.now)
	}
	if len(p.failed) == 0 {
		return
	}
	if q, ok := p.borrower.Want(f.now, "booking", p.share.Missing(f.now, float64(len(p.failed)))); ok {
		f.queries++
		f.send(loanMessage{from: p.id, to: q.To, query: q, granted: -1})
	}
}

// deliver passes on the messages that are due.
func (f *loanFleet) deliver() {
	for {
		i := slices.IndexFunc(f.messages, func(m loanMessage) bool { return !m.due.After(f.now) })
		if i < 0 {
			return
		}
		m := f.messages[i]
		f.messages = slices.Delete(f.messages, i, i+1)
		at := slices.IndexFunc(f.running, func(p *loanProcess) bool { return p.id == m.to })
		if at < 0 {
			continue
		}
		p := f.running[at]
		if m.granted < 0 {
			f.send(loanMessage{from: p.id, to: m.from, query: m.query, granted: p.share.Lend(f.now, m.query.Wanted)})
			continue
		}
		if loan, ok := p.borrower.Answered(f.now, m.from, m.query.Sequence, m.granted); ok {
			p.share.AddLoan(loan.Retries, loan.Until)
		}
		f.retry(p)
	}
}

// limit is the number of retries that the even split guarantees for the window
// from first to last. A share may use requests of the preceding window, and it
// may have lent retries before the window.
func (f *loanFleet) limit(first, last time.Time) (total float64) {
	validity := retry.LoanValidity(loanWindow)
	for _, p := range f.all {
		until := last
		if !p.ended.IsZero() && p.ended.Before(last) {
			until = p.ended
		}
		if until.Add(validity).Before(first) || p.started.After(last) {
			continue
		}
		total += p.allowance * min(until.Sub(p.started).Seconds()/loanWindow.Seconds(), 1)
		for _, at := range p.requests {
			if !at.Before(first.Add(-loanWindow-validity)) && !at.After(last) {
				total += f.ratio
			}
		}
	}
	return total
}

var _ = Describe("Loans of retries", func() {
	validity := retry.LoanValidity(loanWindow)

	// Guards against retries that exceed the fleet's budget in any sliding window
	// because they were lent: requests fail at some nodes, messages are lost,
	// late by more than a loan's validity or doubled, and nodes join, restart
	// and end while they lend and borrow.
	It("keep all nodes together within the parts of the even split", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := &loanFleet{now: start, patience: loanWindow, ratio: rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "ratio")}
			f.copies = func() []time.Duration {
				delays := rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 10, 300, 900, 2500, 9000}), 2, 2).Draw(t, "delays")
				copies := []time.Duration{time.Duration(delays[0]) * time.Millisecond, time.Duration(delays[1]) * time.Millisecond}
				return copies[:rapid.SampledFrom([]int{0, 1, 1, 1, 1, 1, 1, 2}).Draw(t, "copies")]
			}
			everywhere := rapid.IntRange(0, 3).Draw(t, "everywhere") == 0 // otherwise at one node
			nodes := rapid.IntRange(2, 6).Draw(t, "nodes")
			f.allowance = float64(nodes) * rapid.SampledFrom([]float64{0.3, 0.5, 1, 2, 3.7}).Draw(t, "part")
			for i := range nodes {
				f.start(fleet.NodeID(fmt.Sprint("node-", i)), start.Add(-loanWindow))
			}
			for step := range rapid.IntRange(20, 150).Draw(t, "steps") {
				f.now = f.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 20, 200, 700}).Draw(t, "ms")) * time.Millisecond)
				f.deliver()
				i := rapid.IntRange(0, len(f.running)-1).Draw(t, "node")
				switch event := rapid.IntRange(0, 19).Draw(t, "event"); {
				case event == 0:
					f.start(fleet.NodeID(fmt.Sprint("joined-", step)), f.now)
				case event == 1 && len(f.running) > 2:
					f.stop(i)
					f.shareAllowance()
				case event == 2:
					id := f.running[i].id
					f.stop(i)
					f.start(id, f.now)
				case event < 8:
					f.request(f.running[i], everywhere)
				default:
					f.request(f.running[0], true)
				}
			}
			for i, first := range f.retries {
				for j, last := range f.retries[i:] {
					if last.Sub(first) > loanWindow-loanWindow/20 {
						break
					}
					if limit := f.limit(first, last); float64(j+1) > limit+1e-6 {
						t.Fatalf("%d retries from %v to %v, at most %.3f are allowed", j+1, first.Sub(start), last.Sub(start), limit)
					}
				}
			}
		})
	})

	// Guards against failed requests that are not repeated although the fleet's
	// budget is not used up: callers whose requests fail are connected to 5 of 95
	// nodes, or failures are spread over nodes whose parts are two or three
	// retries. Messages take a millisecond.
	DescribeTable("repeat failures with the budget of other nodes", func(nodes int, failuresPerSecond, otherRequests, expectedEven, expectedLent float64) {
		repeated := func(copies []time.Duration) (share float64, queries int) {
			const step = 5 * time.Millisecond
			random := rand.New(rand.NewPCG(1, 1))
			f := &loanFleet{now: start, ratio: 0.17, allowance: 50, patience: 80 * time.Millisecond, copies: func() []time.Duration { return copies }}
			for i := range 95 {
				f.start(fleet.NodeID(fmt.Sprint("node-", i)), start.Add(-loanWindow))
			}
			for i := range 2 * loanWindow / step {
				f.now = f.now.Add(step)
				f.deliver()
				for _, p := range f.running {
					if random.Float64() < otherRequests*step.Seconds() {
						f.request(p, false)
					}
					f.retry(p)
				}
				if i >= loanWindow/step && random.Float64() < failuresPerSecond*step.Seconds() {
					f.request(f.running[random.IntN(nodes)], true)
				}
			}
			return float64(len(f.retries)) / float64(len(f.retries)+f.dropped), f.queries
		}
		even, _ := repeated(nil)
		lent, queries := repeated([]time.Duration{time.Millisecond})
		GinkgoWriter.Printf("repeated: %.3f with an even split, %.3f with loans, %d queries in 10 s\n", even, lent, queries)
		Expect(even).To(BeNumerically("<", expectedEven))
		Expect(lent).To(BeNumerically(">", expectedLent))
		Expect(queries).To(BeNumerically("<", 750))
	},
		Entry("at a few nodes", 5, 60.0, 4.0, 0.3, 0.98),
		Entry("at all nodes", 95, 15.0, 0.9, 0.8, 0.98),
	)

	// Guards against messages while no request fails, and against nodes that
	// ask the whole fleet for each retry while its budget is used up.
	It("ask other nodes only for missing retries and pause those without any", func() {
		b := retry.NewBorrower(loanWindow, 1)
		b.SetPeers([]fleet.NodeID{"a", "b"}, []fleet.NodeID{"c"})
		_, ok := b.Want(start, "booking", 0)
		Expect(ok).To(BeFalse())
		refusals := func(now time.Time, service string) (asked []fleet.NodeID) {
			for {
				q, ok := b.Want(now, service, 0.5)
				if !ok {
					return asked
				}
				_, again := b.Want(now, service, 0.5)
				Expect(again).To(BeFalse(), "requests share a query")
				asked = append(asked, q.To)
				_, usable := b.Answered(now, q.To, q.Sequence, 0)
				Expect(usable).To(BeFalse())
			}
		}
		asked := refusals(start, "booking")
		Expect(asked).To(ConsistOf(fleet.NodeID("a"), fleet.NodeID("b"), fleet.NodeID("c")))
		Expect(asked[2]).To(Equal(fleet.NodeID("c")), "near nodes are asked first")
		Expect(b.Asking(start, "booking")).To(BeFalse())
		Expect(refusals(start.Add(2*time.Second), "booking")).To(HaveLen(3), "after the pause")

		many := make([]fleet.NodeID, 50)
		for i := range many {
			many[i] = fleet.NodeID(fmt.Sprint("node-", i))
		}
		b.SetPeers(many)
		total := 0
		for ms := range 1000 {
			total += len(refusals(start.Add(time.Duration(ms)*time.Millisecond), "catalog"))
		}
		Expect(total).To(BeNumerically("<=", 10), "8 refusals in a row end the search, then one query each half second")
	})

	// Guards against loans that are used after their lender has stopped counting
	// them because the answer was late, and against answers of other nodes.
	It("expire a fixed time after the query was sent", func() {
		for _, delay := range []time.Duration{0, time.Millisecond, validity / 2, validity - 1, validity, time.Minute} {
			b := retry.NewBorrower(loanWindow, 1)
			b.SetPeers([]fleet.NodeID{"a"})
			q, _ := b.Want(start, "booking", 1)
			_, ok := b.Answered(start.Add(delay), "b", q.Sequence, 1)
			Expect(ok).To(BeFalse(), "only the node that was asked can lend")
			loan, ok := b.Answered(start.Add(delay), "a", q.Sequence, 1)
			Expect(ok).To(Equal(delay < validity), "delay %v", delay)
			Expect(loan.Until).To(Equal(start.Add(validity)), "delay %v", delay)
			_, ok = b.Answered(start.Add(delay), "a", q.Sequence, 1)
			Expect(ok).To(BeFalse(), "an answer counts once")
		}
	})

	// Guards against borrowed retries that are used after they have expired,
	// against lenders that use a loan's retries again too soon, and against parts
	// of retries that stay unused.
	It("combine with the rest of the node's own share until they expire", func() {
		lender := retry.NewFleetBudgetShare(0, 1.6, loanWindow, start.Add(-loanWindow))
		s := retry.NewFleetBudgetShare(0, 0.5, loanWindow, start.Add(-loanWindow))
		n := lender.Lend(start, s.Missing(start, 1))
		Expect(n).To(Equal(0.5))
		s.AddLoan(n, start.Add(validity))
		Expect(s.Available(start.Add(validity - 1))).To(BeTrue())
		Expect(s.Available(start.Add(validity))).To(BeFalse())
		Expect(s.ExpiredLoans(start.Add(validity))).To(Equal(n))
		Expect(lender.Lend(start.Add(loanWindow), 2)).To(BeNumerically("~", 1.1), "the loan counts a window beyond its validity")
		Expect(lender.Lend(start.Add(loanWindow+2*validity), 2)).To(BeNumerically("~", 0.5))
	})
})

// Both sides of a loan must cost little beside the request that needs it, also
// in a fleet of 3,300 nodes.
func BenchmarkLoan(b *testing.B) {
	lender := retry.NewFleetBudgetShare(0, 1e12, loanWindow, start.Add(-loanWindow))
	share := retry.NewFleetBudgetShare(0, 0, loanWindow, start.Add(-loanWindow))
	borrower := retry.NewBorrower(loanWindow, 1)
	peers := make([]fleet.NodeID, 3300)
	for i := range peers {
		peers[i] = fleet.NodeID(fmt.Sprint("node-", i))
	}
	borrower.SetPeers(peers)
	now := start
	for b.Loop() {
		now = now.Add(time.Second)
		q, _ := borrower.Want(now, "booking", share.Missing(now, 1))
		l, _ := borrower.Answered(now, q.To, q.Sequence, lender.Lend(now, q.Wanted))
		share.AddLoan(l.Retries, l.Until)
		if !share.Withdraw(now) {
			b.Fatal("no retry")
		}
	}
}
