package operation

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// fakePlatform holds one object and counts writes.
type fakePlatform struct {
	mu     sync.Mutex
	object Object
	down   bool
	writes int
}

func (p *fakePlatform) Get(_ context.Context, key string) (Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.down:
		return Object{}, errors.New("platform is unavailable")
	case p.object.Version == 0:
		return Object{}, ErrNotFound
	default:
		return p.object, nil
	}
}

func (p *fakePlatform) Put(_ context.Context, key string, value []byte, ifVersion uint64) (Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.down:
		return Object{}, errors.New("platform is unavailable")
	case p.object.Version != ifVersion:
		return Object{}, ErrConflict
	}
	p.writes++
	p.object = Object{Key: key, Version: ifVersion + 1, Value: value}
	return p.object, nil
}

// fakePeers connects managers directly.
type fakePeers map[fleet.NodeID]*Manager

func (p fakePeers) RenewLease(ctx context.Context, to fleet.NodeID, req *controlv1.RenewLeaseRequest) (*controlv1.RenewLeaseResponse, error) {
	if p[to] == nil {
		return nil, errors.New("connection refused")
	}
	return p[to].ServeRenewLease(ctx, req)
}

func (p fakePeers) HandOver(ctx context.Context, to fleet.NodeID, req *controlv1.HandOverRequest) (*controlv1.HandOverResponse, error) {
	if p[to] == nil {
		return nil, errors.New("connection refused")
	}
	return p[to].ServeHandOver(ctx, req)
}

// startManagers runs managers of the nodes until cancel is called.
func startManagers(nodes ...fleet.NodeID) (managers fakePeers, platform *fakePlatform, cancel func()) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	platform = &fakePlatform{}
	managers = fakePeers{}
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	cfg := DefaultConfig()
	var members []Member
	for i, id := range nodes {
		managers[id] = NewManager(id, uint64(i+1), cfg, platform, managers, NewClock(), event.NewLogger(logger, nil))
		members = append(members, Member{Node: id, DataCentre: string(id), AcceptsWork: true})
	}
	for _, m := range managers {
		m.SetMembers("s", members)
		group.Go(func() { m.Run(ctx) })
	}
	return managers, platform, func() { stop(); group.Wait() }
}

// keysOwnedBy returns new keys whose ranges are owned by the node.
func keysOwnedBy(m *Manager, owner fleet.NodeID, count int) []Key {
	var keys []Key
	for n := uint64(0); len(keys) < count; n++ {
		k := keyCreatedAt(time.Now(), n)
		if o, _, ok := m.Locate(k); ok && o == owner {
			keys = append(keys, k)
		}
	}
	return keys
}

func keyOwnedBy(m *Manager, owner fleet.NodeID) Key { return keysOwnedBy(m, owner, 1)[0] }

// inBubble runs f in virtual time. Expectations in f must use g, because the
// fail handler of the spec must not be called from the bubble.
func inBubble(f func(t *testing.T, g Gomega)) {
	synctest.Test(suite, func(t *testing.T) { f(t, NewWithT(t)) })
}

var _ = Describe("Manager", func() {
	request := func(k Key) Request { return Request{Key: k, Fingerprint: 1, ReceivedAt: time.Now()} }

	// Guards against a duplicate that runs during or after the first run.
	It("runs concurrent duplicates once and gives them the same answer", func() {
		inBubble(func(_ *testing.T, g Gomega) {
			managers, _, cancel := startManagers("a", "b")
			defer cancel()
			time.Sleep(20 * time.Second)
			m := managers["a"]
			r := request(keyOwnedBy(m, "a"))
			var runs atomic.Int32
			var group sync.WaitGroup
			for range 20 {
				group.Go(func() {
					a, v := m.Do(context.Background(), r, func(_ context.Context, mayDispatch func() bool) (Answer, ExecutionResult) {
						g.Expect(mayDispatch()).To(BeTrue())
						runs.Add(1)
						time.Sleep(50 * time.Millisecond)
						return Answer{Status: 200, Body: []byte("once")}, Answered
					})
					g.Expect(v.Outcome()).To(Equal(fleet.Answered))
					g.Expect(a.Body).To(Equal([]byte("once")))
				})
			}
			group.Wait()
			g.Expect(runs.Load()).To(BeEquivalentTo(1))
		})
	})

	It("stops waiting for a duplicate at the deadline, and reports unknown after a panic", func() {
		inBubble(func(_ *testing.T, g Gomega) {
			managers, _, cancel := startManagers("a", "b")
			defer cancel()
			time.Sleep(20 * time.Second)
			m := managers["a"]
			r := request(keyOwnedBy(m, "a"))
			entered := make(chan struct{})
			go func() {
				defer func() { _ = recover() }()
				m.Do(context.Background(), r, func(context.Context, func() bool) (Answer, ExecutionResult) {
					close(entered)
					time.Sleep(time.Second)
					panic("broken")
				})
			}()
			<-entered
			ctx, stop := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer stop()
			_, v := m.Do(ctx, r, nil)
			g.Expect(v).To(HaveField("Reason", ReasonDeadline))
			time.Sleep(2 * time.Second)
			_, v = m.Do(context.Background(), r, nil)
			g.Expect(v).To(HaveField("Reason", ReasonFailed))
		})
	})

	// Guards R6 and rule 5: a drained node owns nothing and loses no answer.
	It("hands its answers over during a drain", func() {
		inBubble(func(_ *testing.T, g Gomega) {
			managers, _, cancel := startManagers("a", "b")
			defer cancel()
			time.Sleep(20 * time.Second)
			a, b := managers["a"], managers["b"]
			var requests []Request
			for _, k := range keysOwnedBy(a, "a", 100) { // enough for several messages of 1 MiB
				r := request(k)
				requests = append(requests, r)
				_, v := a.Do(context.Background(), r, func(context.Context, func() bool) (Answer, ExecutionResult) {
					return Answer{Status: 200, Body: append(make([]byte, 40<<10), k.Value...)}, Answered
				})
				g.Expect(v.Kind).To(Equal(Run))
			}
			ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
			defer stop()
			began := time.Now()
			b.SetMembers("s", []Member{{Node: "a", DataCentre: "a", Leaving: true}, {Node: "b", DataCentre: "b", AcceptsWork: true}})
			g.Expect(a.Drain(ctx)).To(Succeed())
			g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
			time.Sleep(time.Second)
			for _, r := range requests {
				owner, _, _ := b.Locate(r.Key)
				g.Expect(owner).To(BeEquivalentTo("b"))
				answer, v := b.Do(context.Background(), r, nil)
				g.Expect(v.Kind).To(Equal(Replay))
				g.Expect(string(answer.Body[40<<10:])).To(Equal(r.Key.Value))
			}
		})
	})

	// Guards the table in section 4 of the design page: owners continue while
	// the platform is unavailable, without writing to it.
	It("keeps its leases through two hours without the platform", func() {
		inBubble(func(_ *testing.T, g Gomega) {
			managers, platform, cancel := startManagers("a", "b", "c")
			defer cancel()
			time.Sleep(30 * time.Second)
			platform.mu.Lock()
			platform.down = true
			writes := platform.writes
			platform.mu.Unlock()
			time.Sleep(2 * time.Hour)
			for id, m := range managers {
				r := request(keyOwnedBy(m, id))
				_, v := m.Do(context.Background(), r, func(_ context.Context, mayDispatch func() bool) (Answer, ExecutionResult) {
					g.Expect(mayDispatch()).To(BeTrue())
					return Answer{Status: 200}, Answered
				})
				g.Expect(v.Kind).To(Equal(Run))
			}
			platform.mu.Lock()
			defer platform.mu.Unlock()
			g.Expect(platform.writes).To(Equal(writes))
			// The writes are the creation of the object, the changes of
			// standbys, and one takeover by each member that receives ranges.
			g.Expect(writes).To(BeNumerically("<=", 10))
		})
	})

	It("rejects an object of another service, and returns NotOwner for a service without a target on this node", func() {
		m := NewManager("x", 1, DefaultConfig(), nil, nil, NewClock(), nil)
		value, err := NewAssignment("s", 4, nil, "a", 1).Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(m.HandleAssignment(Object{Key: "operations/t", Version: 1, Value: value})).NotTo(Succeed())
		Expect(m.HandleAssignment(Object{Key: "operations/s", Version: 1, Value: value})).To(Succeed())
		k := keyCreatedAt(time.Now(), 1)
		owner, epoch, ok := m.Locate(k)
		Expect([]any{owner, epoch, ok}).To(Equal([]any{fleet.NodeID("a"), fleet.Epoch(1), true}))
		_, v := m.Do(context.Background(), request(k), nil)
		Expect(v.Kind).To(Equal(NotOwner))
	})
})
