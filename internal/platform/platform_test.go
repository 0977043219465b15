package platform_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/platform"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

// newContractServer serves the HTTP contract from a Memory. It stores each
// request in lastRequest.
func newContractServer(m *platform.Memory, lastRequest *atomic.Pointer[http.Request]) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lastRequest.Store(r)
		key, single := strings.CutPrefix(r.URL.Path, "/v1/objects/")
		version, _ := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
		var o platform.Object
		var err error
		switch {
		case single && r.Method == http.MethodGet:
			o, err = m.Get(r.Context(), key)
		case single && r.Method == http.MethodPut:
			value, _ := io.ReadAll(r.Body)
			o, err = m.Put(r.Context(), key, value, version)
			o.Value = nil
		case single:
			if err = m.Delete(r.Context(), key, version); err == nil {
				w.WriteHeader(http.StatusNoContent)
				return
			}
		default:
			since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
			call := func() ([]platform.Object, platform.Position, error) {
				return m.List(r.Context(), r.URL.Query().Get("prefix"))
			}
			if r.URL.Path == "/v1/watch" {
				call = func() ([]platform.Object, platform.Position, error) {
					return m.Watch(r.Context(), r.URL.Query().Get("prefix"), platform.Position{Revision: since})
				}
			}
			var objects []platform.Object
			var at platform.Position
			if objects, at, err = call(); err == nil {
				type object struct {
					Key     string `json:"key"`
					Version uint64 `json:"version"`
					Value   []byte `json:"value,omitempty"`
					Deleted bool   `json:"deleted,omitempty"`
				}
				body := struct {
					Revision uint64   `json:"revision"`
					Objects  []object `json:"objects"`
				}{Revision: at.Revision}
				for _, o := range objects {
					body.Objects = append(body.Objects, object{o.Key, o.Version, o.Value, o.Deleted})
				}
				_ = json.NewEncoder(w).Encode(body)
				return
			}
		}
		var limited *platform.RateLimitedError
		switch {
		case err == nil:
			w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(o.Version, 10)))
			_, _ = w.Write(o.Value)
		case errors.As(err, &limited):
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusTooManyRequests)
		case errors.Is(err, platform.ErrNotFound):
			w.WriteHeader(http.StatusNotFound)
		case errors.Is(err, platform.ErrConflict):
			w.WriteHeader(http.StatusPreconditionFailed)
		case errors.Is(err, platform.ErrWriteUncertain):
			panic(http.ErrAbortHandler) // closes the connection without an answer
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	DeferCleanup(server.Close)
	return server
}

// clientContract defines the specs that every Client must pass.
func clientContract(newClient func(m *platform.Memory) platform.Client) {
	var m *platform.Memory
	var c platform.Client
	ctx := context.Background()
	BeforeEach(func() {
		m = platform.NewMemory()
		c = newClient(m)
	})

	It("writes only when the version matches", func() {
		o, err := c.Put(ctx, "a/b c/%", []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Put(ctx, o.Key, []byte("2"), 0)
		Expect(err).To(MatchError(platform.ErrConflict))
		p, err := c.Put(ctx, o.Key, []byte("2"), o.Version)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Version).To(BeNumerically(">", o.Version))
		_, err = c.Put(ctx, o.Key, []byte("3"), o.Version)
		Expect(err).To(MatchError(platform.ErrConflict))
		Expect(c.Get(ctx, o.Key)).To(Equal(p))
		Expect(c.(platform.CallCounter).Counts()).To(And(HaveField("Writes", uint64(4)), HaveField("Conflicts", uint64(2)), HaveField("Reads", uint64(1))))
	})

	It("deletes only when the version matches, and allows the key to be created again", func() {
		o, err := c.Put(ctx, "k", []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Delete(ctx, "k", o.Version+1)).To(MatchError(platform.ErrConflict))
		Expect(c.Delete(ctx, "k", o.Version)).To(Succeed())
		Expect(c.Delete(ctx, "k", o.Version)).To(MatchError(platform.ErrNotFound))
		_, err = c.Get(ctx, "k")
		Expect(err).To(MatchError(platform.ErrNotFound))
		_, err = c.Put(ctx, "k", []byte("2"), 0)
		Expect(err).NotTo(HaveOccurred())
	})

	It("lists objects by prefix and reports deletions to watches", func() {
		a, err := c.Put(ctx, "p/a", []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Put(ctx, "q/a", []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
		objects, revision, err := c.List(ctx, "p/")
		Expect(err).NotTo(HaveOccurred())
		Expect(objects).To(Equal([]platform.Object{a}))
		Expect(c.Delete(ctx, "p/a", a.Version)).To(Succeed())
		objects, next, err := c.Watch(ctx, "p/", revision)
		Expect(err).NotTo(HaveOccurred())
		Expect(objects).To(HaveLen(1))
		Expect(objects[0]).To(And(HaveField("Deleted", true), HaveField("Version", next.Revision)))
	})

	It("returns no objects and the given revision when a watch times out", func() {
		m.SetWatchWait(time.Millisecond)
		objects, revision, err := c.Watch(ctx, "p/", platform.Position{Revision: 7})
		Expect(err).NotTo(HaveOccurred())
		Expect(objects).To(BeEmpty())
		Expect(revision).To(Equal(platform.Position{Revision: 7}))
	})

	It("distinguishes an unavailable platform from a lost answer", func() {
		m.SetOutage(true)
		_, err := c.Put(ctx, "k", []byte("1"), 0)
		Expect(err).To(MatchError(platform.ErrUnavailable))
		m.SetOutage(false)
		_, err = c.Get(ctx, "k")
		Expect(err).To(MatchError(platform.ErrNotFound))
		m.LoseAnswers(1)
		_, err = c.Put(ctx, "k", []byte("1"), 0)
		Expect(err).To(MatchError(platform.ErrWriteUncertain))
		Expect(c.Get(ctx, "k")).To(HaveField("Value", []byte("1")))
	})

	It("rejects oversized values and invalid keys", func() {
		_, err := c.Put(ctx, "k", make([]byte, platform.MaxValueBytes+1), 0)
		Expect(err).To(MatchError(platform.ErrTooLarge))
		for _, key := range []string{"", "/a", "a//b", "a/../b", "a/.", strings.Repeat("k", 513)} {
			_, err := c.Put(ctx, key, nil, 0)
			Expect(err).To(MatchError(platform.ErrInvalidKey), key)
		}
	})
}

var _ = Describe("Memory", func() {
	clientContract(func(m *platform.Memory) platform.Client { return m })

	It("serves stale reads while writes see the current store", func() {
		m, ctx := platform.NewMemory(), context.Background()
		old, err := m.Put(ctx, "k", []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
		m.SetStale(true)
		_, err = m.Put(ctx, "k", []byte("2"), old.Version)
		Expect(err).NotTo(HaveOccurred())
		Expect(m.Get(ctx, "k")).To(Equal(old))
		m.SetStale(false)
		Expect(m.Get(ctx, "k")).To(HaveField("Value", []byte("2")))
	})
})

var _ = Describe("HTTP client", func() {
	unlimited := platform.Rate{PerSecond: 1e6, Burst: 1e6}
	budget := platform.Budget{Reads: unlimited, Writes: unlimited, Watches: unlimited}
	clientContract(func(m *platform.Memory) platform.Client {
		return platform.NewHTTP(newContractServer(m, new(atomic.Pointer[http.Request])).Listener.Addr().String(), "secret", budget)
	})

	It("sends the token, and the wait of a watch", func() {
		var last atomic.Pointer[http.Request]
		m := platform.NewMemory()
		m.SetWatchWait(time.Millisecond)
		c := platform.NewHTTP(newContractServer(m, &last).URL, "secret", budget)
		_, _, err := c.Watch(context.Background(), "p/", platform.Position{Revision: 3})
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Load().Header.Get("Authorization")).To(Equal("Bearer secret"))
		Expect(last.Load().URL.RawQuery).To(Equal("prefix=p%2F&since=3&wait=30s"))
	})

	It("sends no call before Retry-After has passed", func() {
		m := platform.NewMemory()
		m.SetRateLimit(1e-6, 1)
		c := platform.NewHTTP(newContractServer(m, new(atomic.Pointer[http.Request])).URL, "secret", budget)
		_, err := c.Get(context.Background(), "k")
		Expect(err).To(MatchError(platform.ErrNotFound))
		for range 5 {
			_, err = c.Get(context.Background(), "k")
			var limited *platform.RateLimitedError
			Expect(errors.As(err, &limited)).To(BeTrue())
			Expect(err).To(MatchError(platform.ErrUnavailable))
		}
		Expect(m.Counts().Reads).To(Equal(uint64(2)))
	})

	It("reports a write to a closed port as unavailable, not as uncertain", func() {
		server := newContractServer(platform.NewMemory(), new(atomic.Pointer[http.Request]))
		server.Close()
		_, err := platform.NewHTTP(server.URL, "", budget).Put(context.Background(), "k", nil, 0)
		Expect(err).To(MatchError(platform.ErrUnavailable))
		Expect(err).NotTo(MatchError(platform.ErrWriteUncertain))
	})

	It("rejects calls above its budget without sending them", func() {
		m := platform.NewMemory()
		c := platform.NewHTTP(newContractServer(m, new(atomic.Pointer[http.Request])).URL, "", platform.Budget{Reads: platform.Rate{PerSecond: 1e-6, Burst: 2}})
		for range 2 {
			_, err := c.Get(context.Background(), "k")
			Expect(err).To(MatchError(platform.ErrNotFound))
		}
		_, err := c.Get(context.Background(), "k")
		Expect(err).To(MatchError(platform.ErrBudgetExceeded))
		Expect(m.Counts().Reads).To(Equal(uint64(2)))
		Expect(c.(platform.CallCounter).Counts().OverBudget).To(Equal(uint64(1)))
	})
})

var _ = Describe("Update", func() {
	ctx := context.Background()
	add := func(id string) func(platform.Object) ([]byte, error) {
		return func(old platform.Object) ([]byte, error) { return append(old.Value, id+";"...), nil }
	}
	isOwn := func(current, written []byte) bool { return strings.HasPrefix(string(current), string(written)) }

	It("resolves an uncertain write by reading the object back, without a second write", func() {
		m := platform.NewMemory()
		m.LoseAnswers(1)
		o, err := platform.Update(ctx, m, "k", add("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(o.Value)).To(Equal("a;"))
		Expect(m.Counts().Writes).To(Equal(uint64(1)))
	})

	It("leaves the object unchanged when change returns nil", func() {
		m := platform.NewMemory()
		_, err := platform.Update(ctx, m, "k", func(platform.Object) ([]byte, error) { return nil, nil })
		Expect(err).NotTo(HaveOccurred())
		Expect(m.Counts().Writes).To(BeZero())
	})

	It("applies each concurrent change exactly once although answers are lost", func() {
		m := platform.NewMemory()
		m.LoseAnswers(10)
		var all sync.WaitGroup
		for i := range 5 {
			all.Go(func() {
				defer GinkgoRecover()
				_, err := platform.UpdateOwned(ctx, m, "k", add(fmt.Sprint(i)), isOwn)
				Expect(err).NotTo(HaveOccurred())
			})
		}
		all.Wait()
		o, err := m.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		for i := range 5 {
			Expect(strings.Count(string(o.Value), fmt.Sprint(i))).To(Equal(1), string(o.Value))
		}
	})
})

// Guards against an update that reports a plain failure although its write took
// effect: the answer to the write is lost and an outage prevents reading the
// object back.
func TestUpdateUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := platform.NewMemory()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := platform.Update(ctx, &outageAfterWrite{Memory: m}, "k", func(platform.Object) ([]byte, error) { return []byte("mine"), nil })
		if !errors.Is(err, platform.ErrWriteUncertain) {
			t.Fatalf("error %v does not match ErrWriteUncertain", err)
		}
		m.SetOutage(false)
		o, err := m.Get(ctx, "k")
		if err != nil || string(o.Value) != "mine" {
			t.Fatalf("read back %q, %v", o.Value, err)
		}
	})
}

// outageAfterWrite loses the answer to the first write and is unavailable
// afterwards.
type outageAfterWrite struct{ *platform.Memory }

func (o *outageAfterWrite) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (platform.Object, error) {
	o.LoseAnswers(1)
	defer o.SetOutage(true)
	return o.Memory.Put(ctx, key, value, ifVersion)
}

// Guards against delays without growth or jitter, with which all nodes of a
// fleet would retry at the same moment: for every random number, a delay lies
// between half its bound and the bound, which doubles up to Max.
func TestBackoff(t *testing.T) {
	for _, random := range []uint64{0, 1 << 40, ^uint64(0)} {
		b := platform.NewBackoff()
		bound := b.Base
		for range 40 {
			d := b.Next(random)
			if d < bound/2 || d > bound {
				t.Fatalf("delay %v outside %v to %v", d, bound/2, bound)
			}
			bound = min(2*bound, b.Max)
		}
	}
}

func BenchmarkUpdate(b *testing.B) {
	m := platform.NewMemory()
	for b.Loop() {
		if _, err := platform.Update(b.Context(), m, "k", func(platform.Object) ([]byte, error) {
			return []byte("value"), nil
		}); err != nil {
			b.Fatal(err)
		}
	}
	counts := m.Counts()
	b.ReportMetric(float64(counts.Reads)/float64(b.N), "reads/op")
	b.ReportMetric(float64(counts.Writes)/float64(b.N), "writes/op")
}
