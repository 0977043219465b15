package ingress_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
	"github.com/sirupsen/logrus"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
	"siskinvale.dev/siskinvale/internal/ingress"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/metric"
	"siskinvale.dev/siskinvale/internal/routing"
)

func TestIngress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ingress")
}

const testBundle = `
name: test
version: 1
signers: {authors: [a], approvers: [b]}
dataCentres: [{name: dc1, region: r}]
services:
  - name: booking
    slots: 4
    expectedTargets: 3
    floor: 1
    operations: {ranges: 64, retryWindow: 10m}
    classes:
      - {name: lookup, idempotent: true, idempotencyKey: none, priority: interactive, length: short, deadline: 500ms, expected: 5ms, attempts: 3, maxBody: 1024}
      - {name: hold, idempotent: false, idempotencyKey: required, priority: interactive, length: short, deadline: 300ms, expected: 5ms, attempts: 1, maxBody: 1024}
      - {name: note, idempotent: false, idempotencyKey: optional, priority: interactive, length: short, deadline: 500ms, expected: 5ms, attempts: 1, maxBody: 100000}
      - {name: search, idempotent: true, idempotencyKey: none, priority: interactive, length: short, deadline: 500ms, expected: 5ms, attempts: 3, maxBody: 100000}
    routes:
      - {method: GET, path: /kits/:id, class: lookup}
      - {method: POST, path: /searches, class: search}
      - {method: POST, path: /holds, class: hold}
      - {method: POST, path: /notes, class: note}
tenants:
  default: {requestsPerSecond: 1000, burst: 1000, weight: 1}
  named: [{name: small, requestsPerSecond: 1, burst: 1, weight: 1}]
`

// scriptedRemote answers forwarded calls with its replies in order, repeats the
// last one, and records the calls.
type scriptedRemote struct {
	mu          sync.Mutex
	replies     []func(call *link.Call) *link.Reply
	calls       []string
	bodies      []string
	finalFlags  []bool
	noWaitFlags []bool
	nestedFlags []bool
	waited      []time.Duration
	// cancelled reports that the last call arrived with a cancelled context.
	cancelled bool
}

func (s *scriptedRemote) Forward(ctx context.Context, node fleet.Node, _ fleet.Length, call *link.Call) *link.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled = errors.Is(ctx.Err(), context.Canceled)
	body, _ := io.ReadAll(call.Body)
	s.bodies = append(s.bodies, string(body))
	s.finalFlags = append(s.finalFlags, call.Final)
	s.noWaitFlags = append(s.noWaitFlags, call.NoWait)
	s.nestedFlags = append(s.nestedFlags, call.Nested)
	s.waited = append(s.waited, call.Waited)
	reply := s.replies[min(len(s.calls), len(s.replies)-1)](call)
	s.calls = append(s.calls, fmt.Sprintf("%s %s: %s %s", call.Method, call.Path, reply.Outcome, reply.Reason))
	return reply
}

func (s *scriptedRemote) Withdraw(context.Context, fleet.Node, fleet.Length, string) {}

// scriptedLoans lends the same number of retries to each query.
type scriptedLoans struct {
	ingress *ingress.Ingress
	lent    float64
	wanted  []float64
}

func (l *scriptedLoans) Borrow(_ context.Context, service string, retries float64) bool {
	l.wanted = append(l.wanted, retries)
	l.ingress.AddRetryLoan(service, l.lent, time.Now().Add(time.Minute))
	return l.lent > 0
}

// queueingRemote holds each call in a queue until it is withdrawn. Withdrawals
// before the call has arrived are lost.
type queueingRemote struct {
	mu      sync.Mutex
	waiting map[string]chan struct{}
	calls   int
}

func (q *queueingRemote) Forward(ctx context.Context, _ fleet.Node, _ fleet.Length, call *link.Call) *link.Reply {
	withdrawn := make(chan struct{})
	q.mu.Lock()
	q.calls++
	q.waiting[call.AttemptID] = withdrawn
	q.mu.Unlock()
	select {
	case <-withdrawn:
		return refused("not admitted: cancelled")(call)
	case <-ctx.Done():
		return link.MayHaveRun(call, "the call was cancelled")
	}
}

func (q *queueingRemote) Withdraw(_ context.Context, _ fleet.Node, _ fleet.Length, attemptID string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if withdrawn, ok := q.waiting[attemptID]; ok {
		close(withdrawn)
		delete(q.waiting, attemptID)
	}
}

// lateRemote loses the first withdrawals.
type lateRemote struct {
	*queueingRemote
	lost int
}

func (l *lateRemote) Withdraw(ctx context.Context, node fleet.Node, length fleet.Length, attemptID string) {
	if l.lost--; l.lost < 0 {
		l.queueingRemote.Withdraw(ctx, node, length, attemptID)
	}
}

func (q *queueingRemote) queued() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

type fakeOwners struct{ refreshed int }

func (o *fakeOwners) Locate(_, _, _ string) (fleet.NodeID, fleet.Epoch, bool) { return "n1", 3, true }
func (o *fakeOwners) Refresh(string, fleet.Epoch)                             { o.refreshed++ }

func answered(body string) func(*link.Call) *link.Reply {
	return func(c *link.Call) *link.Reply {
		return &link.Reply{
			AttemptID: c.AttemptID, Outcome: fleet.Answered, Sent: true, Status: 200, Header: http.Header{"X-From": {"target"}},
			ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)), Load: fleet.Load{Slots: 4},
		}
	}
}

// truncatedAnswer returns an answer that states the given length and breaks off
// after two bytes.
func truncatedAnswer(length int64) func(*link.Call) *link.Reply {
	return func(c *link.Call) *link.Reply {
		reply := answered("ha")(c)
		reply.ContentLength = length
		reply.Body = io.NopCloser(io.MultiReader(strings.NewReader("ha"), failingReader{}))
		return reply
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("connection lost") }

// refused returns a sidecar's refusal of a call that was sent to it.
func refused(reason string) func(*link.Call) *link.Reply {
	return func(c *link.Call) *link.Reply {
		r := link.Refused(c, reason)
		r.Sent = true
		return r
	}
}

// noFreeSlot is the reply of a sidecar to a no-wait call while its target is
// busy.
func noFreeSlot(c *link.Call) *link.Reply {
	r := refused("no slot is free")(c)
	r.Busy = true
	return r
}

// withdrawnAfter returns the reply of a sidecar whose target begins to leave
// after the call has waited there.
func withdrawnAfter(wait time.Duration) func(*link.Call) *link.Reply {
	return func(c *link.Call) *link.Reply {
		time.Sleep(wait)
		r := refused("not admitted: draining")(c)
		r.Withdrawn = true
		return r
	}
}

// unsent returns the reply to a call that could not be sent, because there was
// no connection.
func unsent(reason string) func(*link.Call) *link.Reply {
	return func(c *link.Call) *link.Reply { return link.Refused(c, reason) }
}

// fromOwner marks a reply as coming from the owner of the key.
func fromOwner(reply func(*link.Call) *link.Reply) func(*link.Call) *link.Reply {
	return func(c *link.Call) *link.Reply {
		r := reply(c)
		r.FromOwner = true
		return r
	}
}

// mayHaveRun returns a reply with an unknown outcome.
func mayHaveRun(reason string) func(*link.Call) *link.Reply {
	return func(c *link.Call) *link.Reply { return link.MayHaveRun(c, reason) }
}

// refusedByFence is the reply of a new owner that did not dispatch the call
// because an earlier owner may have run the key.
func refusedByFence(c *link.Call) *link.Reply {
	r := link.MayHaveRun(c, "an earlier owner may have run the key")
	r.FromOwner, r.Undispatched = true, true
	return r
}

// testIngress is an ingress that forwards to three targets with scripted
// replies.
type testIngress struct {
	config ingress.Config
	in     *ingress.Ingress
	remote *scriptedRemote
	owners *fakeOwners
}

func newTestIngress(replies ...func(*link.Call) *link.Reply) *testIngress {
	return newTestIngressWith(func(*ingress.Config) {}, replies...)
}

func newTestIngressWith(change func(*ingress.Config), replies ...func(*link.Call) *link.Reply) *testIngress {
	b, findings := bundle.Parse("test", []byte(testBundle))
	Expect(findings).To(BeEmpty())
	logger := logrus.New()
	logger.SetOutput(GinkgoWriter)
	s := &testIngress{remote: &scriptedRemote{replies: replies}, owners: &fakeOwners{}}
	cfg := ingress.Config{
		Self: "self", Remote: s.remote, Owners: s.owners, Log: event.NewLogger(logger, nil),
		Metrics: metric.NewSet(), Clock: time.Now, InFlight: 100, HeldBytes: 1 << 30,
	}
	change(&cfg)
	s.config = cfg
	s.in = ingress.New(cfg)
	DeferCleanup(func() {
		Eventually(s.in.InFlight, "10s", "5ms").Should(BeZero(), "requests in flight after the end of the spec")
		Eventually(s.in.HeldBytes, "2s", "5ms").Should(BeZero(), "bytes held after the end of the spec")
	})
	s.setTargets(b, 3)
	return s
}

// setTargets makes the ingress forward to the given number of targets, each
// beside its own node.
func (s *testIngress) setTargets(b *bundle.Bundle, targetCount int) {
	s.setTargetsOnNodes(b, targetCount, 1)
}

// setTargetsOnNodes places perNode targets beside each node: t1, t2 and so on
// in this order.
func (s *testIngress) setTargetsOnNodes(b *bundle.Bundle, targetCount, perNode int) {
	self := fleet.Node{ID: "self", DataCentre: "dc1"}
	nodes := map[fleet.NodeID]fleet.Node{}
	var targets []fleet.Target
	for i := range targetCount {
		id := strconv.Itoa(i + 1)
		node := fleet.NodeID("n" + strconv.Itoa(i/perNode+1))
		nodes[node] = fleet.Node{ID: node, DataCentre: "dc1"}
		targets = append(targets, fleet.Target{
			ID: fleet.TargetID("t" + id), Service: "booking", Node: node, DataCentre: "dc1", Slots: 4,
			Started: time.Now().Add(-time.Hour),
		})
	}
	healthy := func(fleet.TargetID) health.Verdict { return health.Verdict{Share: 1} }
	picker := routing.NewTable(self, routing.Config{}).Rebuild("booking", targets, healthy, time.Now())
	s.in.SetView(&ingress.View{Bundle: b, Pickers: map[string]*routing.Picker{"booking": picker}, Nodes: nodes})
}

func (s *testIngress) send(method, path, body string, header ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Siskinvale-Service", "booking")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.in.ServeHTTP(w, req)
	return w
}

func key() string { return uuid.Must(uuid.NewV7()).String() }

// wait is long enough for a refusal to count as one after a wait in a queue.
const wait = 60 * time.Millisecond

var _ = Describe("Ingress", func() {
	It("sends the attempts and returns the outcomes in the golden file", func() {
		var trace strings.Builder
		run := func(name string, s *testIngress, method, path, body string, header ...string) {
			w := s.send(method, path, body, header...)
			fmt.Fprintf(&trace, "%s\n", name)
			for _, call := range s.remote.calls {
				fmt.Fprintf(&trace, "  attempt: %s\n", strings.TrimSpace(call))
			}
			fmt.Fprintf(&trace, "  caller: %d %s\n", w.Code, w.Header().Get("Siskinvale-Outcome"))
		}
		run("lookup answered at once", newTestIngress(answered("ok")), "GET", "/kits/1", "")
		run("lookup after two refusals", newTestIngress(refused("full"), refused("full"), answered("ok")), "GET", "/kits/1", "")
		run("lookup without connections to two nodes", newTestIngress(unsent("unreachable"), unsent("unreachable"), answered("ok")), "GET", "/kits/1", "")
		run("lookup after a lost connection", newTestIngress(mayHaveRun("connection lost"), answered("ok")), "GET", "/kits/1", "")
		run("lookup after a truncated answer", newTestIngress(truncatedAnswer(100), answered("ok")), "GET", "/kits/1", "")
		run("lookup without an answer", newTestIngress(mayHaveRun("connection lost")), "GET", "/kits/1", "")
		run("non-idempotent request in doubt is not sent again", newTestIngress(mayHaveRun("connection lost"), answered("ok")), "POST", "/notes", "x")
		run("non-idempotent request with a truncated answer", newTestIngress(truncatedAnswer(100), answered("ok")), "POST", "/notes", "x")
		run("operation answered", newTestIngress(fromOwner(answered("ok"))), "POST", "/holds", "x", "Idempotency-Key", key())
		run("operation in doubt is not sent again", newTestIngress(mayHaveRun("connection lost"), answered("ok")), "POST", "/holds", "x", "Idempotency-Key", key(), "Siskinvale-Attempt", "1")
		run("operation refused by its owner", newTestIngress(fromOwner(refused("full"))), "POST", "/holds", "x", "Idempotency-Key", key())
		run("operation refused too long ago", newTestIngress(func(c *link.Call) *link.Reply {
			r := fromOwner(refused("full"))(c)
			r.NotRunUntil = time.Now().Add(-time.Millisecond)
			return r
		}), "POST", "/holds", "x", "Idempotency-Key", key())
		run("operation finds its new owner", newTestIngress(refused("no lease"), fromOwner(answered("ok"))), "POST", "/holds", "x", "Idempotency-Key", key())
		run("first request of an operation behind a fence", newTestIngress(refused("no lease"), refusedByFence), "POST", "/holds", "x", "Idempotency-Key", key(), "Siskinvale-Attempt", "1")
		run("repeated request of an operation behind a fence", newTestIngress(refused("no lease"), refusedByFence), "POST", "/holds", "x", "Idempotency-Key", key())
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "sessions", []byte(trace.String()))
	})

	// Guards against the outcome "not-run" for an operation that an earlier
	// request ran: an ingress that cannot reach the owner does not know.
	It("reports not-run for an unreachable owner only to a first request", func() {
		first := newTestIngress(refused("unreachable")).send("POST", "/holds", "x", "Idempotency-Key", key(), "Siskinvale-Attempt", "1")
		Expect(first.Header().Get("Siskinvale-Outcome")).To(Equal("not-run"))
		again := newTestIngress(refused("unreachable")).send("POST", "/holds", "x", "Idempotency-Key", key())
		Expect(again.Header().Get("Siskinvale-Outcome")).To(Equal("unknown"))
	})

	// Guards against a second attempt with an empty or partial body.
	It("sends a small body with every attempt and streams a large body only once", func() {
		s := newTestIngress(refused("full"), refused("full"), answered("ok"))
		s.send("GET", "/kits/1", "small body")
		Expect(s.remote.bodies).To(Equal([]string{"small body", "small body", "small body"}))
		large := strings.Repeat("x", 90_000)
		s = newTestIngress(refused("full"), answered("ok"))
		w := s.send("POST", "/notes", large)
		Expect(s.remote.bodies).To(Equal([]string{large}))
		Expect(w.Code).To(Equal(503))
	})

	// Guards against a truncated answer that the caller cannot tell from a
	// complete one.
	It("aborts the connection when a streamed answer is truncated", func() {
		s := newTestIngress(truncatedAnswer(-1))
		Expect(func() { s.send("GET", "/kits/1", "") }).To(PanicWith(http.ErrAbortHandler))
	})

	It("limits retries to a tenth of the requests when every attempt fails", func() {
		s := newTestIngress(mayHaveRun("connection lost"))
		const requests = 300
		for range requests {
			s.send("GET", "/kits/1", "")
		}
		Expect(len(s.remote.calls)).To(BeNumerically("<=", requests+requests/10+10))
	})

	// Guards against idempotent requests that fail because the attempt that
	// tests a target during its failure episode is their last one, or because
	// the budget does not allow a retry after it.
	It("marks attempts that cannot be retried as final", func() {
		withRetryRatio := func(ratio float64) func(*ingress.Config) {
			return func(c *ingress.Config) {
				c.UncountedRefusals, c.FleetRetryBudget = true, ingress.FleetRetryBudget{Ratio: ratio, Window: 10 * time.Second}
			}
		}
		s := newTestIngressWith(withRetryRatio(5), mayHaveRun("connection lost"), mayHaveRun("connection lost"), answered("ok"))
		Expect(s.send("GET", "/kits/1", "").Code).To(Equal(200))
		Expect(s.remote.finalFlags).To(Equal([]bool{false, false, true}))
		s = newTestIngressWith(withRetryRatio(0), mayHaveRun("connection lost"), answered("ok"))
		s.send("GET", "/kits/1", "")
		Expect(s.remote.finalFlags).To(Equal([]bool{true}))
	})

	// Guards against idempotent requests that fail although other nodes lend
	// retries, and against requests that keep waiting when none does.
	DescribeTable("repeats a failed request with a retry that another node lends", func(lent float64, status, calls int) {
		loans := &scriptedLoans{lent: lent}
		s := newTestIngressWith(func(c *ingress.Config) {
			c.UncountedRefusals, c.FleetRetryBudget = true, ingress.FleetRetryBudget{Ratio: 0, Window: 10 * time.Second}
			c.RetryLoans = loans
		}, mayHaveRun("connection lost"), answered("ok"))
		loans.ingress = s.in
		Expect(s.send("GET", "/kits/1", "").Code).To(Equal(status))
		Expect(s.remote.calls).To(HaveLen(calls))
		Expect(loans.wanted[0]).To(Equal(1.0))
	},
		Entry("at once", 1.0, 200, 2),
		Entry("in parts", 0.5, 200, 2),
		Entry("not at all", 0.0, 504, 1),
	)

	// Guards against requests that are refused, or that use up their attempts
	// and the retry budget, because the targets beside which they waited leave.
	DescribeTable("lets a request wait again after the target beside which it waited has left", func(uncounted bool, replies ...func(*link.Call) *link.Reply) {
		s := newTestIngressWith(func(c *ingress.Config) {
			c.UncountedRefusals = uncounted
			c.FleetRetryBudget = ingress.FleetRetryBudget{Ratio: 0, Window: 10 * time.Second}
		}, replies...)
		Expect(s.send("POST", "/notes", "x").Code).To(Equal(200))
		last := len(s.remote.calls) - 1
		Expect(s.remote.noWaitFlags[last]).To(BeFalse())
		Expect(s.remote.waited[0]).To(BeZero())
		Expect(s.remote.waited[last]).To(BeNumerically(">=", wait))
	},
		Entry("with uncounted refusals", true, noFreeSlot, noFreeSlot, noFreeSlot, withdrawnAfter(wait), answered("ok")),
		Entry("with counted refusals, more often than the class has attempts", false, withdrawnAfter(wait), withdrawnAfter(wait), answered("ok")),
	)

	// Guards against a budget that is charged for requests of callers, and
	// against one that is not charged for the calls that a retried run makes
	// again.
	It("charges the budget only for calls of retried runs", func() {
		running := int64(0)
		s := newTestIngressWith(func(c *ingress.Config) {
			c.UncountedRefusals, c.FleetRetryBudget = true, ingress.FleetRetryBudget{Ratio: 1, Window: 10 * time.Second}
			c.LocalRuns = func() ingress.LocalRuns { return ingress.LocalRuns{Active: running, RetryShare: 1} }
		}, mayHaveRun("connection lost"))
		attempts := func() int {
			before := len(s.remote.calls)
			s.send("GET", "/kits/1", "")
			return len(s.remote.calls) - before
		}
		running = 1
		for range 5 {
			Expect(attempts()).To(Equal(1), "a call of a retried run is charged as much as its request deposits")
		}
		running = 0
		for range 40 {
			attempts()
		}
		running = 1
		Expect(attempts()).To(BeNumerically(">", 1), "the class is known to come from callers")
	})

	// Guards against calls of targets that wait behind requests of callers, and
	// against requests of callers that are classified as calls of targets.
	It("identifies the classes that are calls of local targets", func() {
		running := int64(1)
		s := newTestIngressWith(func(c *ingress.Config) {
			c.LocalRuns = func() ingress.LocalRuns { return ingress.LocalRuns{Active: running} }
		}, answered("ok"))
		nested := func() bool {
			s.send("GET", "/kits/1", "")
			return s.remote.nestedFlags[len(s.remote.nestedFlags)-1]
		}
		Expect(nested()).To(BeFalse())
		// Requests of another class arrive while no local target runs anything.
		running = 0
		for range 30 {
			s.send("POST", "/notes", "x")
		}
		running = 1
		for range 12 {
			nested()
		}
		Expect(nested()).To(BeTrue())
		running = 0
		nested()
		running = 1
		Expect(nested()).To(BeFalse())
	})

	// Guards against a target that gets no request for seconds after it has
	// recovered, because all requests that could find it out are calls of targets.
	It("finds out with calls of local targets whether a target has recovered, if nothing else can", func() {
		now, running := time.Now(), int64(0)
		s := newTestIngressWith(func(c *ingress.Config) {
			c.UncountedRefusals, c.Clock = true, func() time.Time { return now }
			c.LocalRuns = func() ingress.LocalRuns { return ingress.LocalRuns{Active: running} }
		}, answered("ok"))
		last := func() (nested, final bool) {
			i := len(s.remote.finalFlags) - 1
			return s.remote.nestedFlags[i], s.remote.finalFlags[i]
		}
		for range 30 {
			s.send("POST", "/notes", "x")
		}
		running = 1
		for range 15 {
			s.send("GET", "/kits/1", "")
			now = now.Add(time.Second)
		}
		nested, final := last()
		Expect(nested).To(BeTrue())
		Expect(final).To(BeFalse(), "callers send only requests that may run once")
		running = 0
		s.send("POST", "/searches", "x")
		s.send("POST", "/searches", "x")
		running = 1
		s.send("GET", "/kits/1", "")
		nested, final = last()
		Expect(nested).To(BeTrue())
		Expect(final).To(BeTrue(), "requests of callers find it out")
		now = now.Add(time.Minute)
		s.send("GET", "/kits/1", "")
		_, final = last()
		Expect(final).To(BeFalse())
	})

	// Guards against retries that are charged without the calls that the
	// retried run makes again.
	It("estimates the number of calls that a run at a local target makes", func() {
		runs := ingress.LocalRuns{}
		s := newTestIngressWith(func(c *ingress.Config) {
			c.LocalRuns = func() ingress.LocalRuns { return runs }
		}, answered("ok"))
		for range 30 {
			s.send("POST", "/notes", "x")
		}
		Expect(s.in.CallsPerRun()).To(BeNil())
		runs.Active = 1
		for range 600 {
			runs.IdempotentStarted += 2
			s.send("GET", "/kits/1", "")
		}
		Expect(s.in.CallsPerRun()).To(HaveKeyWithValue("booking", BeNumerically("~", 0.5, 0.05)))
	})

	// Guards against a request that waits in the queues of several sidecars in
	// turn and is refused shortly before its deadline.
	It("waits in the queue of only one sidecar", func() {
		held := func(c *link.Call) *link.Reply {
			time.Sleep(60 * time.Millisecond)
			return refused("not admitted: overdue")(c)
		}
		s := newTestIngressWith(func(c *ingress.Config) { c.UncountedRefusals = true }, held, refused("full"))
		Expect(s.send("GET", "/kits/1", "").Code).To(Equal(503))
		Expect(s.remote.noWaitFlags).To(HaveEach(true))
		busy := func(c *link.Call) *link.Reply {
			r := refused("no slot is free")(c)
			r.Busy = true
			return r
		}
		s = newTestIngressWith(func(c *ingress.Config) { c.UncountedRefusals = true }, busy, busy, busy, held, refused("full"))
		Expect(s.send("GET", "/kits/1", "").Code).To(Equal(503))
		Expect(s.remote.noWaitFlags[3:]).To(Equal([]bool{false}), "every target has already refused a no-wait call")
	})

	// Guards against a request that waits nowhere, and is refused although there
	// is room in a queue, because refusals of no-wait calls were under way for
	// longer than a refusal usually takes, as on a busy VM.
	It("waits in a queue after slow refusals of no-wait calls", func() {
		slow := func(reply func(*link.Call) *link.Reply) func(*link.Call) *link.Reply {
			return func(c *link.Call) *link.Reply {
				time.Sleep(wait)
				return reply(c)
			}
		}
		badStanding := func(c *link.Call) *link.Reply {
			r := refused("the target failed lately")(c)
			r.BadStanding = true
			return r
		}
		s := newTestIngressWith(func(c *ingress.Config) { c.UncountedRefusals = true },
			slow(noFreeSlot), slow(badStanding), slow(noFreeSlot), answered("ok"))
		Expect(s.send("GET", "/kits/1", "").Code).To(Equal(200))
		Expect(s.remote.noWaitFlags).To(Equal([]bool{true, true, true, false}))
	})

	// Guards against requests of callers that are classified as calls of
	// targets because the local targets are always busy, as in a wave of
	// requests after a restart.
	It("does not classify requests while the local targets are always busy", func() {
		s := newTestIngressWith(func(c *ingress.Config) {
			c.LocalRuns = func() ingress.LocalRuns { return ingress.LocalRuns{Active: 4} }
		}, answered("ok"))
		for range 300 {
			s.send("POST", "/notes", "x")
		}
		for range 100 {
			s.send("GET", "/kits/1", "")
		}
		Expect(s.remote.nestedFlags).To(HaveEach(false))
	})

	// Guards against a request that is refused while all targets of a small
	// service are busy, because its no-wait calls have used up the targets.
	It("waits at a busy target after its no-wait calls", func() {
		busy := func(c *link.Call) *link.Reply {
			r := refused("no slot is free")(c)
			r.Busy = true
			return r
		}
		s := newTestIngressWith(func(c *ingress.Config) { c.UncountedRefusals = true }, busy, busy, busy, answered("ok"))
		Expect(s.send("GET", "/kits/1", "").Code).To(Equal(200))
		Expect(s.remote.calls).To(HaveLen(4))
		s = newTestIngressWith(func(c *ingress.Config) { c.UncountedRefusals = true }, busy, busy, busy, refused("full"), refused("full"), refused("full"), answered("ok"))
		Expect(s.send("GET", "/kits/1", "").Code).To(Equal(503))
		Expect(s.remote.calls).To(HaveLen(6))
	})

	It("explains why a malformed request is refused", func() {
		s := newTestIngress(answered("ok"))
		for _, c := range []struct {
			status int
			detail string
			w      *httptest.ResponseRecorder
		}{
			{404, "unknown service", s.send("GET", "/kits/1", "", "Siskinvale-Service", "nowhere")},
			{404, "no route", s.send("GET", "/nothing", "")},
			{400, "needs an Idempotency-Key", s.send("POST", "/holds", "x")},
			{400, "not a UUIDv7", s.send("POST", "/holds", "x", "Idempotency-Key", "42")},
			{400, "not a duration", s.send("GET", "/kits/1", "", "Siskinvale-Timeout", "soon")},
			{413, "larger than", s.send("POST", "/holds", strings.Repeat("x", 2000), "Idempotency-Key", key())},
			{400, "longer than", s.send("GET", "/kits/1", "", "Siskinvale-Tenant", strings.Repeat("x", 200))},
		} {
			Expect(c.w.Code).To(Equal(c.status), c.detail)
			Expect(c.w.Body.String()).To(ContainSubstring(c.detail))
			Expect(c.w.Header().Get("Content-Type")).To(Equal("application/problem+json"))
		}
		Expect(s.remote.calls).To(BeEmpty())
	})

	// Guards against the deadline of one request ending later requests on the
	// same connection: net/http cancels their contexts if a read deadline
	// expires between requests.
	It("serves later requests on a connection after one exceeded its deadline", func() {
		s := newTestIngress(func(c *link.Call) *link.Reply {
			time.Sleep(600 * time.Millisecond)
			return link.MayHaveRun(c, "no answer before the deadline")
		}, answered("ok"))
		server := httptest.NewServer(s.in)
		DeferCleanup(server.Close)
		for _, want := range []int{504, 200} {
			req, err := http.NewRequest("GET", server.URL+"/kits/1", nil)
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Siskinvale-Service", "booking")
			resp, err := server.Client().Do(req)
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(want))
		}
		Expect(s.remote.cancelled).To(BeFalse())
	})

	It("limits the rate of a tenant and sends Retry-After", func() {
		s := newTestIngress(answered("ok"))
		Expect(s.send("GET", "/kits/1", "", "Siskinvale-Tenant", "small").Code).To(Equal(200))
		w := s.send("GET", "/kits/1", "", "Siskinvale-Tenant", "small")
		Expect(w.Code).To(Equal(429))
		Expect(w.Header().Get("Retry-After")).To(Equal("1"))
		Expect(w.Header().Get("Siskinvale-Outcome")).To(Equal("not-run"))
	})

	// Guards against requests that are refused while a restarted process reads
	// its configuration: callers on connections to its predecessor come at once.
	It("lets requests wait for the first bundle of a new process, and no longer than StartWait", func() {
		s := newTestIngressWith(func(cfg *ingress.Config) { cfg.StartWait = time.Minute }, answered("ok"))
		view := s.in.View()
		s.in.SetView(&ingress.View{})
		Expect(s.send("GET", "/kits/1", "").Code).NotTo(Equal(200), "a node that lost its bundle does not wait")

		cfg := s.config
		cfg.StartWait = time.Minute
		s.in = ingress.New(cfg)
		time.AfterFunc(50*time.Millisecond, func() { s.in.SetView(view) })
		Expect(s.send("GET", "/kits/1", "").Code).To(Equal(200))

		cfg.StartWait = 50 * time.Millisecond
		s.in = ingress.New(cfg)
		start := time.Now()
		Expect(s.send("GET", "/kits/1", "").Code).To(Equal(503))
		Expect(time.Since(start)).To(BeNumerically(">=", cfg.StartWait))
		start = time.Now()
		Expect(s.send("GET", "/kits/1", "").Code).To(Equal(503))
		Expect(time.Since(start)).To(BeNumerically("<", cfg.StartWait))
	})

	It("does not forward hop-by-hop headers", func() {
		s := newTestIngress(func(c *link.Call) *link.Reply {
			r := answered("ok")(c)
			r.Header.Set("Connection", "X-Hop")
			r.Header.Set("X-Hop", "1")
			return r
		})
		w := s.send("GET", "/kits/1", "")
		Expect(w.Header()).NotTo(HaveKey("X-Hop"))
		Expect(w.Header().Get("X-From")).To(Equal("target"))
	})
})
