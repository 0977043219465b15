package announce_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"siskinvale.dev/siskinvale/internal/announce"
	"siskinvale.dev/siskinvale/internal/fleet"
)

func TestAnnounce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "announce")
}

var startTime = time.Unix(1_700_000_000, 0)

func newNode(id string, incarnation uint64) fleet.Node {
	return fleet.Node{ID: fleet.NodeID(id), DataCentre: "dc-1", Incarnation: incarnation}
}

func newTarget(id string) fleet.Target {
	return fleet.Target{ID: fleet.TargetID(id), Service: "grilles", Addr: "127.0.0.1:9000", Slots: 4}
}

func newAnnouncement(id string) announce.LocalAnnounced {
	return announce.LocalAnnounced{Target: newTarget(id), TTL: 10 * time.Second}
}

// exchange passes the broadcasts of one registry to another.
func exchange(now time.Time, actions []announce.Action, to *announce.Registry) []announce.Action {
	var out []announce.Action
	for _, a := range actions {
		if b, ok := a.(announce.Broadcast); ok {
			out = append(out, to.Step(now, announce.RemoteUpdate(b))...)
		}
	}
	return out
}

// TestGoldenSession checks the actions that a registry emits for local and
// remote targets, and their order.
func TestGoldenSession(t *testing.T) {
	var b strings.Builder
	r := announce.New(newNode("a", 100))
	step := func(after time.Duration, ev announce.Event) {
		fmt.Fprintf(&b, "%v %T\n", after, ev)
		for _, a := range r.Step(startTime.Add(after), ev) {
			switch a := a.(type) {
			case announce.TargetChanged:
				fmt.Fprintf(&b, "  changed   %s %s v%d@%d started %v\n", a.Target.ID, a.Target.State, a.Target.Version, a.Target.Incarnation, a.Target.Started.Sub(startTime))
			case announce.Broadcast:
				fmt.Fprintf(&b, "  broadcast %s %s v%d@%d\n", a.Target.ID, a.Target.State, a.Target.Version, a.Target.Incarnation)
			case announce.Rejected:
				fmt.Fprintf(&b, "  rejected  %s: %v\n", a.ID, strings.ReplaceAll(a.Err.Error(), "\n", "; "))
			}
		}
	}
	remote := newTarget("r")
	remote.Node, remote.Incarnation, remote.Version, remote.Started = "b", 50, 1, startTime
	draining, old := remote, remote
	draining.State, draining.Version = fleet.TargetDraining, 2
	restarted := remote
	restarted.Incarnation, restarted.Version = 60, 1
	outdated := newTarget("l")
	outdated.Node, outdated.Incarnation, outdated.Version = "a", 90, 7
	moved := newAnnouncement("l")
	moved.Target.Addr = "127.0.0.1:9001"

	step(0, newAnnouncement("l"))
	step(5*time.Second, newAnnouncement("l"))
	step(6*time.Second, moved)
	step(7*time.Second, announce.LocalDraining{ID: "l"})
	step(8*time.Second, newAnnouncement("l"))
	step(8*time.Second, announce.LocalServing{ID: "l"})
	step(9*time.Second, announce.RemoteUpdate{Target: remote})
	step(9*time.Second, announce.RemoteUpdate{Target: remote})
	step(10*time.Second, announce.RemoteUpdate{Target: draining})
	step(10*time.Second, announce.RemoteUpdate{Target: old})
	step(11*time.Second, announce.NodeGone{NodeID: "b"})
	step(11*time.Second, announce.NodeReturned{NodeID: "b"})
	step(12*time.Second, announce.RemoteUpdate{Target: restarted})
	step(12*time.Second, announce.NodeLeaving{NodeID: "b"})
	step(13*time.Second, announce.RemoteUpdate{Target: outdated})
	step(30*time.Second, announce.Tick{})
	step(31*time.Second, announce.LocalDraining{ID: "l"})
	step(32*time.Second, newAnnouncement("l"))
	step(33*time.Second, announce.LocalRemoved{ID: "l"})
	step(34*time.Second, announce.LocalAnnounced{Target: fleet.Target{ID: "?", Service: "Grilles!", Addr: "host:1", Slots: 1025}, TTL: time.Hour})
	goldie.New(t).Assert(t, "session", []byte(b.String()))
}

var _ = Describe("Registry", func() {
	It("keeps the start time of a target when it renews and when its node is dead for a while", func() {
		a, b := announce.New(newNode("a", 1)), announce.New(newNode("b", 1))
		exchange(startTime, a.Step(startTime, newAnnouncement("t")), b)
		a.Step(startTime.Add(time.Second), newAnnouncement("t"))
		b.Step(startTime, announce.NodeGone{NodeID: "a"})
		Expect(b.Targets()).To(BeEmpty())
		b.Step(startTime, announce.NodeReturned{NodeID: "a"})
		Expect(b.Targets()).To(ConsistOf(HaveField("Started", startTime)))
	})

	It("does not use a target that is announced while its node counts as dead", func() {
		a, b := announce.New(newNode("a", 1)), announce.New(newNode("b", 1))
		b.Step(startTime, announce.NodeGone{NodeID: "a"})
		out := exchange(startTime, a.Step(startTime, newAnnouncement("t")), b)
		Expect(out).To(ConsistOf(BeAssignableToTypeOf(announce.Broadcast{})), "disseminated but not used")
		Expect(b.Step(startTime, announce.NodeReturned{NodeID: "a"})).To(ConsistOf(HaveField("Target.State", fleet.TargetServing)))
	})

	It("removes a target that was announced to an earlier process of its node", func() {
		before, other, after := announce.New(newNode("a", 1)), announce.New(newNode("b", 1)), announce.New(newNode("a", 2))
		exchange(startTime, before.Step(startTime, newAnnouncement("t")), other)
		Expect(other.Targets()).To(HaveLen(1))
		for _, t := range other.Records() {
			exchange(startTime, after.Step(startTime, announce.RemoteUpdate{Target: t}), other)
		}
		Expect(other.Targets()).To(BeEmpty())
		exchange(startTime, after.Step(startTime, newAnnouncement("t")), other)
		Expect(other.Targets()).To(HaveLen(1))
	})

	It("does not restore a removed target from a delayed record", func() {
		a, b := announce.New(newNode("a", 1)), announce.New(newNode("b", 1))
		first := append([]announce.Action{}, a.Step(startTime, newAnnouncement("t"))...)
		exchange(startTime, first, b)
		exchange(startTime, a.Step(startTime, announce.LocalRemoved{ID: "t"}), b)
		exchange(startTime, first, b)
		b.Step(startTime.Add(time.Minute), announce.Tick{})
		exchange(startTime, first, b)
		Expect(b.Targets()).To(BeEmpty())
	})

	It("bounds the number of targets of a node and the retention of removed ones", func() {
		r := announce.New(newNode("a", 1))
		for i := range announce.MaxLocal {
			Expect(r.Step(startTime, newAnnouncement(fmt.Sprint(i)))).To(HaveLen(2))
		}
		Expect(r.Step(startTime, newAnnouncement("more"))).To(ConsistOf(announce.Rejected{ID: "more", Err: announce.ErrTooMany}))
		r.Step(startTime.Add(time.Minute), announce.Tick{})
		Expect(r.Targets()).To(BeEmpty())
		Expect(r.Records()).To(HaveLen(announce.MaxLocal))
		r.Step(startTime.Add(time.Hour), announce.Tick{})
		Expect(r.Records()).To(BeEmpty())
	})

	It("reports each invalid field", func() {
		err := announce.Validate(fleet.Target{ID: "a/b", Service: "", Addr: "localhost:80", Slots: 0}, 100*time.Millisecond)
		for _, field := range []string{"id", "service", "address", "slots", "ttl"} {
			Expect(err.Error()).To(ContainSubstring(field + ": "))
		}
		Expect(announce.Validate(newTarget("a"), time.Minute)).To(Succeed())
	})
})

// TestConvergence checks that registries that received records out of order,
// repeatedly or not at all agree with the owner of the targets after a
// full-state exchange.
func TestConvergence(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		owner, b, c := announce.New(newNode("a", 1)), announce.New(newNode("b", 1)), announce.New(newNode("c", 1))
		var sent []fleet.Target
		now := startTime
		for range 60 {
			now = now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
			id := fmt.Sprint(random.IntN(4))
			ev := []announce.Event{newAnnouncement(id), newAnnouncement(id), announce.LocalDraining{ID: fleet.TargetID(id)},
				announce.LocalServing{ID: fleet.TargetID(id)}, announce.LocalRemoved{ID: fleet.TargetID(id)}, announce.Tick{}}[random.IntN(6)]
			for _, a := range owner.Step(now, ev) {
				if broadcast, ok := a.(announce.Broadcast); ok {
					sent = append(sent, broadcast.Target)
				}
			}
			for _, r := range []*announce.Registry{b, c} {
				if len(sent) > 0 && random.IntN(2) == 0 {
					r.Step(now, announce.RemoteUpdate{Target: sent[random.IntN(len(sent))]})
				}
			}
		}
		for range 2 {
			for _, pair := range [][2]*announce.Registry{{owner, b}, {b, c}, {c, owner}} {
				for _, t := range pair[0].Records() {
					pair[1].Step(now, announce.RemoteUpdate{Target: t})
				}
			}
		}
		for _, r := range []*announce.Registry{b, c} {
			if got, want := fmt.Sprint(r.Targets()), fmt.Sprint(owner.Targets()); got != want {
				t.Fatalf("seed %d: %s, owner has %s", seed, got, want)
			}
		}
	}
}

type fakeLocal struct {
	calls []string
	err   error
}

func (f *fakeLocal) Announce(_ context.Context, t fleet.Target, ttl time.Duration) error {
	f.calls = append(f.calls, fmt.Sprint("announce ", t.ID, t.Service, t.Addr, t.Slots, ttl))
	return f.err
}

func (f *fakeLocal) Drain(_ context.Context, id fleet.TargetID) error {
	f.calls = append(f.calls, "drain "+string(id))
	return f.err
}

func (f *fakeLocal) Remove(_ context.Context, id fleet.TargetID) error {
	f.calls = append(f.calls, "remove "+string(id))
	return f.err
}

func (f *fakeLocal) AnnounceNumbered(_ context.Context, ev announce.LocalAnnounced) error {
	f.calls = append(f.calls, "announce numbered "+string(ev.Target.ID))
	return f.err
}

func (f *fakeLocal) Leave(_ context.Context, ev announce.LocalLeft) error {
	f.calls = append(f.calls, "leave "+string(ev.ID))
	return f.err
}

var _ = Describe("Routes", func() {
	send := func(local *fakeLocal, method, path, body string) *httptest.ResponseRecorder {
		e := echo.New()
		announce.Routes(e, local)
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w
	}
	valid := `{"service":"grilles","address":"127.0.0.1:9000","slots":4,"ttl":"10s","newer":1}`

	It("passes valid requests to the node", func() {
		local := &fakeLocal{}
		Expect(send(local, http.MethodPut, "/v1/targets/t-1", valid).Code).To(Equal(http.StatusNoContent))
		Expect(send(local, http.MethodPost, "/v1/targets/t-1/drain", "").Code).To(Equal(http.StatusNoContent))
		Expect(send(local, http.MethodDelete, "/v1/targets/t-1", "").Code).To(Equal(http.StatusNoContent))
		Expect(local.calls).To(Equal([]string{"announce t-1grilles127.0.0.1:90004 10s", "drain t-1", "remove t-1"}))
	})

	DescribeTable("rejects an invalid announcement and names the field", func(body, field string) {
		local := &fakeLocal{}
		w := send(local, http.MethodPut, "/v1/targets/t-1", body)
		Expect(w.Code).To(Equal(http.StatusBadRequest))
		Expect(w.Header().Get("Content-Type")).To(Equal("application/problem+json"))
		Expect(w.Body.String()).To(ContainSubstring(`"field":"` + field + `"`))
		Expect(local.calls).To(BeEmpty())
	},
		Entry("invalid JSON", "{", "body"),
		Entry("body too long", `{"service":"`+strings.Repeat("a", 5000)+`"}`, "body"),
		Entry("wrong JSON type", strings.Replace(valid, "4", `"4"`, 1), "slots"),
		Entry("ttl without a unit", strings.Replace(valid, "10s", "10", 1), "ttl"),
		Entry("slots out of range", strings.Replace(valid, "4,", "0,", 1), "slots"),
		Entry("ttl out of range", strings.Replace(valid, "10s", "61s", 1), "ttl"),
		Entry("service that is not a DNS label", strings.Replace(valid, "grilles", "Grilles_1", 1), "service"),
		Entry("address that is not numeric", strings.Replace(valid, "127.0.0.1", "localhost", 1), "address"))

	DescribeTable("maps errors of the node to HTTP statuses", func(err error, status int) {
		Expect(send(&fakeLocal{err: err}, http.MethodDelete, "/v1/targets/t-1", "").Code).To(Equal(status))
	},
		Entry(nil, announce.ErrUnknownTarget, http.StatusNotFound),
		Entry(nil, announce.ErrTooMany, http.StatusTooManyRequests),
		Entry(nil, announce.ErrDuplicate, http.StatusConflict),
		Entry(nil, context.DeadlineExceeded, http.StatusServiceUnavailable),
		Entry(nil, errors.New("other"), http.StatusInternalServerError))
})

// BenchmarkRegistry measures one remote update in a registry of up to the
// planned number of targets.
func BenchmarkRegistry(b *testing.B) {
	for _, size := range []int{40, 1_400, 28_000} {
		b.Run(fmt.Sprintf("targets=%d", size), func(b *testing.B) {
			r := announce.New(newNode("a", 1))
			records := make([]fleet.Target, size)
			for i := range records {
				records[i] = newTarget(fmt.Sprintf("t-%d", i))
				records[i].Node, records[i].Incarnation, records[i].Version = fleet.NodeID(fmt.Sprintf("n-%d", i/8)), 1, 1
				r.Step(startTime, announce.RemoteUpdate{Target: records[i]})
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				records[i%size].Version++
				r.Step(startTime, announce.RemoteUpdate{Target: records[i%size]})
				i++
			}
		})
	}
}
