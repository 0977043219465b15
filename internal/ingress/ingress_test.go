package ingress_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
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
    routes:
      - {method: GET, path: /kits/:id, class: lookup}
      - {method: POST, path: /holds, class: hold}
      - {method: POST, path: /notes, class: note}
tenants:
  default: {requestsPerSecond: 1000, burst: 1000, weight: 1}
  named: [{name: small, requestsPerSecond: 1, burst: 1, weight: 1}]
`

// script answers forwarded calls in order and records them.
type script struct {
	mu      sync.Mutex
	replies []func(call *link.Call) *link.Reply
	calls   []string
	bodies  []string
	finals  []bool
	prompts []bool
	nested  []bool
	// cancelled reports that the last call arrived with a cancelled context.
	cancelled bool
}

func (s *script) Forward(ctx context.Context, node fleet.Node, _ fleet.Length, call *link.Call) *link.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled = errors.Is(ctx.Err(), context.Canceled)
	body, _ := io.ReadAll(call.Body)
	s.bodies = append(s.bodies, string(body))
	s.finals = append(s.finals, call.Final)
	s.prompts = append(s.prompts, call.Prompt)
	s.nested = append(s.nested, call.Nested)
	reply := s.replies[min(len(s.calls), len(s.replies)-1)](call)
	s.calls = append(s.calls, fmt.Sprintf("%s %s: %s %s", call.Method, call.Path, reply.Outcome, reply.Reason))
	return reply
}

type owners struct{ refreshed int }

func (o *owners) Locate(_, _, _ string) (fleet.NodeID, fleet.Epoch, bool) { return "n1", 3, true }
func (o *owners) Refresh(string, fleet.Epoch)                             { o.refreshed++ }

func answered(body string) func(*link.Call) *link.Reply {
	return func(c *link.Call) *link.Reply {
		return &link.Reply{
			AttemptID: c.AttemptID, Outcome: fleet.Answered, Sent: true, Status: 200, Header: http.Header{"X-From": {"target"}},
			ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)), Load: fleet.Load{Slots: 4},
		}
	}
}

// cutAnswer promises more than its body holds.
func cutAnswer(length int64) func(*link.Call) *link.Reply {
	return func(c *link.Call) *link.Reply {
		reply := answered("ha")(c)
		reply.ContentLength = length
		reply.Body = io.NopCloser(io.MultiReader(strings.NewReader("ha"), failing{}))
		return reply
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("connection lost") }

// refused is a refusal by a sidecar, unsent one without any connection.
func refused(reason string) func(*link.Call) *link.Reply {
	return func(c *link.Call) *link.Reply {
		r := link.Refused(c, reason)
		r.Sent = true
		return r
	}
}

func unsent(reason string) func(*link.Call) *link.Reply {
	return func(c *link.Call) *link.Reply { return link.Refused(c, reason) }
}

func fromOwner(reply func(*link.Call) *link.Reply) func(*link.Call) *link.Reply {
	return func(c *link.Call) *link.Reply {
		r := reply(c)
		r.FromOwner = true
		return r
	}
}

func doubtful(reason string) func(*link.Call) *link.Reply {
	return func(c *link.Call) *link.Reply { return link.Doubtful(c, reason) }
}

func fenced(c *link.Call) *link.Reply {
	r := link.Doubtful(c, "an earlier owner may have run the key")
	r.FromOwner, r.Undispatched = true, true
	return r
}

// session is one ingress in front of three scripted targets.
type session struct {
	in     *ingress.Ingress
	script *script
	owners *owners
}

func newSession(replies ...func(*link.Call) *link.Reply) *session {
	return newSessionWith(func(*ingress.Config) {}, replies...)
}

func newSessionWith(change func(*ingress.Config), replies ...func(*link.Call) *link.Reply) *session {
	b, findings := bundle.Parse("test", []byte(testBundle))
	Expect(findings).To(BeEmpty())
	logger := logrus.New()
	logger.SetOutput(GinkgoWriter)
	s := &session{script: &script{replies: replies}, owners: &owners{}}
	cfg := ingress.Config{
		Self: "self", Remote: s.script, Owners: s.owners, Log: event.NewLogger(logger, nil),
		Metrics: metric.NewSet(), Clock: time.Now, InFlight: 100,
	}
	change(&cfg)
	s.in = ingress.New(cfg)
	self := fleet.Node{ID: "self", DataCentre: "dc1"}
	nodes := map[fleet.NodeID]fleet.Node{}
	var targets []fleet.Target
	for _, id := range []string{"1", "2", "3"} {
		nodes[fleet.NodeID("n"+id)] = fleet.Node{ID: fleet.NodeID("n" + id), DataCentre: "dc1"}
		targets = append(targets, fleet.Target{
			ID: fleet.TargetID("t" + id), Service: "booking", Node: fleet.NodeID("n" + id), DataCentre: "dc1", Slots: 4,
			Started: time.Now().Add(-time.Hour),
		})
	}
	healthy := func(fleet.TargetID) health.Verdict { return health.Verdict{Share: 1} }
	picker := routing.NewTable(self, routing.Config{}).Rebuild("booking", targets, healthy, time.Now())
	s.in.SetView(&ingress.View{Bundle: b, Pickers: map[string]*routing.Picker{"booking": picker}, Nodes: nodes})
	return s
}

func (s *session) send(method, path, body string, header ...string) *httptest.ResponseRecorder {
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

var _ = Describe("Ingress", func() {
	It("keeps its sessions as the golden file shows them", func() {
		var trace strings.Builder
		run := func(name string, s *session, method, path, body string, header ...string) {
			w := s.send(method, path, body, header...)
			fmt.Fprintf(&trace, "%s\n", name)
			for _, call := range s.script.calls {
				fmt.Fprintf(&trace, "  attempt: %s\n", strings.TrimSpace(call))
			}
			fmt.Fprintf(&trace, "  caller: %d %s\n", w.Code, w.Header().Get("Siskinvale-Outcome"))
		}
		run("lookup answered at once", newSession(answered("ok")), "GET", "/kits/1", "")
		run("lookup after two refusals", newSession(refused("full"), refused("full"), answered("ok")), "GET", "/kits/1", "")
		run("lookup without connections to two nodes", newSession(unsent("unreachable"), unsent("unreachable"), answered("ok")), "GET", "/kits/1", "")
		run("lookup after a lost connection", newSession(doubtful("connection lost"), answered("ok")), "GET", "/kits/1", "")
		run("lookup after a truncated answer", newSession(cutAnswer(100), answered("ok")), "GET", "/kits/1", "")
		run("lookup without an answer", newSession(doubtful("connection lost")), "GET", "/kits/1", "")
		run("non-idempotent request in doubt is not sent again", newSession(doubtful("connection lost"), answered("ok")), "POST", "/notes", "x")
		run("non-idempotent request with a truncated answer", newSession(cutAnswer(100), answered("ok")), "POST", "/notes", "x")
		run("operation answered", newSession(fromOwner(answered("ok"))), "POST", "/holds", "x", "Idempotency-Key", key())
		run("operation in doubt is not sent again", newSession(doubtful("connection lost"), answered("ok")), "POST", "/holds", "x", "Idempotency-Key", key(), "Siskinvale-Attempt", "1")
		run("operation refused by its owner", newSession(fromOwner(refused("full"))), "POST", "/holds", "x", "Idempotency-Key", key())
		run("operation refused too long ago", newSession(func(c *link.Call) *link.Reply {
			r := fromOwner(refused("full"))(c)
			r.NotRunUntil = time.Now().Add(-time.Millisecond)
			return r
		}), "POST", "/holds", "x", "Idempotency-Key", key())
		run("operation finds its new owner", newSession(refused("no lease"), fromOwner(answered("ok"))), "POST", "/holds", "x", "Idempotency-Key", key())
		run("first request of an operation behind a fence", newSession(refused("no lease"), fenced), "POST", "/holds", "x", "Idempotency-Key", key(), "Siskinvale-Attempt", "1")
		run("repeated request of an operation behind a fence", newSession(refused("no lease"), fenced), "POST", "/holds", "x", "Idempotency-Key", key())
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "sessions", []byte(trace.String()))
	})

	// Guards against "not run" for an operation whose earlier request ran: an
	// ingress that does not reach the owner cannot know.
	It("says not-run for an unreachable owner only to a first request", func() {
		first := newSession(refused("unreachable")).send("POST", "/holds", "x", "Idempotency-Key", key(), "Siskinvale-Attempt", "1")
		Expect(first.Header().Get("Siskinvale-Outcome")).To(Equal("not-run"))
		again := newSession(refused("unreachable")).send("POST", "/holds", "x", "Idempotency-Key", key())
		Expect(again.Header().Get("Siskinvale-Outcome")).To(Equal("unknown"))
	})

	// Guards against a second attempt that sends an empty or partial body.
	It("sends the whole body with each attempt and streams large ones once", func() {
		s := newSession(refused("full"), refused("full"), answered("ok"))
		s.send("GET", "/kits/1", "small body")
		Expect(s.script.bodies).To(Equal([]string{"small body", "small body", "small body"}))
		large := strings.Repeat("x", 90_000)
		s = newSession(refused("full"), answered("ok"))
		w := s.send("POST", "/notes", large)
		Expect(s.script.bodies).To(Equal([]string{large}))
		Expect(w.Code).To(Equal(503))
	})

	// Guards against an answer cut short that ends like a whole one.
	It("breaks the connection when a streamed answer is cut short", func() {
		s := newSession(cutAnswer(-1))
		Expect(func() { s.send("GET", "/kits/1", "") }).To(PanicWith(http.ErrAbortHandler))
	})

	It("retries at most a tenth of the requests when every attempt fails", func() {
		s := newSession(doubtful("connection lost"))
		const requests = 300
		for range requests {
			s.send("GET", "/kits/1", "")
		}
		Expect(len(s.script.calls)).To(BeNumerically("<=", requests+requests/10+10))
	})

	// Guards against idempotent work that is lost because its last attempt, or an
	// attempt without a budget for another one, tests a target in a spell of
	// failures.
	It("marks attempts that cannot be followed by a repeat as final", func() {
		repeats := func(ratio float64) func(*ingress.Config) {
			return func(c *ingress.Config) {
				c.FreeRefusals, c.Repeats = true, ingress.Repeats{Ratio: ratio, Window: 10 * time.Second}
			}
		}
		s := newSessionWith(repeats(5), doubtful("connection lost"), doubtful("connection lost"), answered("ok"))
		Expect(s.send("GET", "/kits/1", "").Code).To(Equal(200))
		Expect(s.script.finals).To(Equal([]bool{false, false, true}))
		s = newSessionWith(repeats(0), doubtful("connection lost"), answered("ok"))
		s.send("GET", "/kits/1", "")
		Expect(s.script.finals).To(Equal([]bool{true}))
	})

	// Guards against a budget that is charged for requests of callers, and against
	// calls of repeated runs that are not charged: the pattern "a repeat makes its
	// calls again".
	It("charges the budget for calls of repeated runs alone", func() {
		running := int64(0)
		s := newSessionWith(func(c *ingress.Config) {
			c.FreeRefusals, c.Repeats = true, ingress.Repeats{Ratio: 1, Window: 10 * time.Second}
			c.LocalRuns = func() ingress.LocalRuns { return ingress.LocalRuns{Running: running, Repeated: 1} }
		}, doubtful("connection lost"))
		attempts := func() int {
			before := len(s.script.calls)
			s.send("GET", "/kits/1", "")
			return len(s.script.calls) - before
		}
		running = 1
		for range 5 {
			Expect(attempts()).To(Equal(1), "a call of a repeated run costs what its request brings")
		}
		running = 0
		for range 40 {
			attempts()
		}
		running = 1
		Expect(attempts()).To(BeNumerically(">", 1), "the class is one of callers")
	})

	// Guards against calls of targets that wait behind requests of callers, and
	// against callers' requests that are taken for calls.
	It("finds out which classes are calls of local targets", func() {
		running := int64(1)
		s := newSessionWith(func(c *ingress.Config) {
			c.LocalRuns = func() ingress.LocalRuns { return ingress.LocalRuns{Running: running} }
		}, answered("ok"))
		nested := func() bool {
			s.send("GET", "/kits/1", "")
			return s.script.nested[len(s.script.nested)-1]
		}
		Expect(nested()).To(BeFalse())
		// Others come while nothing runs.
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

	// Guards against repeats that are paid without the calls that they make again.
	It("tells how many calls a run of a local target makes", func() {
		runs := ingress.LocalRuns{}
		s := newSessionWith(func(c *ingress.Config) {
			c.LocalRuns = func() ingress.LocalRuns { return runs }
		}, answered("ok"))
		for range 30 {
			s.send("POST", "/notes", "x")
		}
		Expect(s.in.CallsPerRun()).To(BeNil())
		runs.Running = 1
		for range 600 {
			runs.Begun += 2
			s.send("GET", "/kits/1", "")
		}
		Expect(s.in.CallsPerRun()).To(HaveKeyWithValue("booking", BeNumerically("~", 0.5, 0.05)))
	})

	// Guards against a request that waits at one sidecar after the other and is
	// refused when its time is nearly over.
	It("waits at one sidecar only", func() {
		held := func(c *link.Call) *link.Reply {
			time.Sleep(60 * time.Millisecond)
			return refused("not admitted: overdue")(c)
		}
		s := newSessionWith(func(c *ingress.Config) { c.FreeRefusals = true }, held, refused("full"))
		Expect(s.send("GET", "/kits/1", "").Code).To(Equal(503))
		Expect(s.script.prompts).To(HaveEach(true))
		busy := func(c *link.Call) *link.Reply {
			r := refused("no slot is free")(c)
			r.Busy = true
			return r
		}
		s = newSessionWith(func(c *ingress.Config) { c.FreeRefusals = true }, busy, busy, busy, held, refused("full"))
		Expect(s.send("GET", "/kits/1", "").Code).To(Equal(503))
		Expect(s.script.prompts[3:]).To(Equal([]bool{false}), "all targets were asked for a free slot already")
	})

	// Guards against callers' requests that are taken for calls at a target that
	// is always busy: the pattern "a wave after a restart".
	It("does not judge classes at a target that is always busy", func() {
		s := newSessionWith(func(c *ingress.Config) {
			c.LocalRuns = func() ingress.LocalRuns { return ingress.LocalRuns{Running: 4} }
		}, answered("ok"))
		for range 300 {
			s.send("POST", "/notes", "x")
		}
		for range 100 {
			s.send("GET", "/kits/1", "")
		}
		Expect(s.script.nested).To(HaveEach(false))
	})

	// Guards against a small service whose targets are used up by questions for
	// a free slot: the pattern "all targets busy".
	It("waits at a busy target after asking for free slots", func() {
		busy := func(c *link.Call) *link.Reply {
			r := refused("no slot is free")(c)
			r.Busy = true
			return r
		}
		s := newSessionWith(func(c *ingress.Config) { c.FreeRefusals = true }, busy, busy, busy, answered("ok"))
		Expect(s.send("GET", "/kits/1", "").Code).To(Equal(200))
		Expect(s.script.calls).To(HaveLen(4))
		s = newSessionWith(func(c *ingress.Config) { c.FreeRefusals = true }, busy, busy, busy, refused("full"), refused("full"), refused("full"), answered("ok"))
		Expect(s.send("GET", "/kits/1", "").Code).To(Equal(503))
		Expect(s.script.calls).To(HaveLen(6))
	})

	It("explains malformed requests", func() {
		s := newSession(answered("ok"))
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
		Expect(s.script.calls).To(BeEmpty())
	})

	// Guards against a deadline of one request that ends later requests on the
	// same connection, which net/http would cancel at once.
	It("serves later requests of a connection after one that passed its deadline", func() {
		s := newSession(func(c *link.Call) *link.Reply {
			time.Sleep(600 * time.Millisecond)
			return link.Doubtful(c, "no answer before the deadline")
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
		Expect(s.script.cancelled).To(BeFalse())
	})

	It("limits a tenant and says when to come back", func() {
		s := newSession(answered("ok"))
		Expect(s.send("GET", "/kits/1", "", "Siskinvale-Tenant", "small").Code).To(Equal(200))
		w := s.send("GET", "/kits/1", "", "Siskinvale-Tenant", "small")
		Expect(w.Code).To(Equal(429))
		Expect(w.Header().Get("Retry-After")).To(Equal("1"))
		Expect(w.Header().Get("Siskinvale-Outcome")).To(Equal("not-run"))
	})

	It("does not pass hop-by-hop headers on", func() {
		s := newSession(func(c *link.Call) *link.Reply {
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
