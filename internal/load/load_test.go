package load_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/load"
	"siskinvale.dev/siskinvale/internal/standin"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

// Guards against coordinated omission: if the fleet does not answer for a
// second, the latency of the calls scheduled during this second must show it.
func TestOpenLoopCountsFromTheSchedule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		report := load.Open(context.Background(), 100, 2*time.Second, func(context.Context, int) load.Sample {
			if until := time.Second - time.Since(start); until > 0 {
				time.Sleep(until)
			}
			return load.Sample{Kind: "k", Outcome: fleet.Answered}
		})
		k := report.Kind("k")
		if k.Calls != 200 || k.Answered != 200 {
			t.Fatalf("got %d calls, %d answered", k.Calls, k.Answered)
		}
		if p := k.Percentile(75); p < 490*time.Millisecond || p > 520*time.Millisecond {
			t.Fatalf("p75 is %v, want about 500ms", p)
		}
	})
}

// Guards against a closed loop with more calls in flight than callers.
func TestClosedLoopKeepsItsCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		report := load.Closed(context.Background(), 3, time.Second, func(context.Context, int) load.Sample {
			time.Sleep(100 * time.Millisecond)
			return load.Sample{Kind: "k", Err: errors.New("broken")}
		})
		if k := report.Kind("k"); k.Calls != 30 || k.Errors != 30 {
			t.Fatalf("got %d calls, %d errors", k.Calls, k.Errors)
		}
	})
}

var _ = Describe("Caller", func() {
	serve := func(h http.HandlerFunc) string {
		server := httptest.NewServer(h)
		DeferCleanup(server.Close)
		return server.URL
	}
	hold := func() load.Request {
		return load.Request{Kind: "holds", Service: "booking", Method: "POST", URI: "/holds?n=1", Body: []byte("lens"), Key: load.NewKey()}
	}

	// Guards against a caller that accepts the answer to another request as its
	// own, or does not try the next node with the same key.
	It("retries with the same key until it has its own complete answer", func() {
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		target := standin.NewTarget(standin.TargetConfig{Log: log})
		var attempts []string
		node := func(change func(*http.Request)) string {
			return serve(func(w http.ResponseWriter, r *http.Request) {
				attempts = append(attempts, r.Header.Get("Siskinvale-Attempt"))
				w.Header().Set("Siskinvale-Outcome", "answered")
				change(r)
				target.ServeHTTP(w, r)
			})
		}
		refusing := serve(func(w http.ResponseWriter, r *http.Request) {
			attempts = append(attempts, r.Header.Get("Siskinvale-Attempt"))
			w.Header().Set("Siskinvale-Outcome", "not-run")
			w.WriteHeader(503)
		})
		wrongRequest := node(func(r *http.Request) { r.URL.RawQuery = "n=2" })
		withoutOutcome := serve(func(http.ResponseWriter, *http.Request) {})
		correct := node(func(*http.Request) {})
		caller := load.NewCaller("magnolia", time.Second)
		defer caller.Close()
		record := caller.Do(context.Background(), hold(), 0, refusing, wrongRequest, withoutOutcome, correct)
		Expect(record.Attempts).To(HaveLen(4))
		Expect(record.Attempts[0].Outcome).To(Equal(fleet.NotRun))
		Expect(record.Attempts[1].Err).To(MatchError(standin.ErrWrongBody))
		Expect(record.Attempts[2].Err).To(MatchError(load.ErrNoOutcome))
		Expect(record.Sample()).To(Equal(load.Sample{Kind: "holds", Outcome: fleet.Answered}))
		Expect(attempts).To(Equal([]string{"1", "", ""}))
		Expect(caller.History()).To(HaveLen(1))
	})

	// Guards against retries of keyed requests by http.Transport, which would
	// make a second run look like a fault of the fleet.
	It("sends a keyed request only once when the connection breaks", func() {
		var sent atomic.Int32
		node := serve(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			if r.Method == "POST" {
				sent.Add(1)
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Siskinvale-Outcome", "not-run")
		})
		caller := load.NewCaller("magnolia", time.Second)
		defer caller.Close()
		caller.Do(context.Background(), load.Request{Method: "GET", URI: "/"}, 0, node)
		empty := hold()
		empty.Body = nil
		Expect(caller.Do(context.Background(), empty, 0, node).Last().Err).To(HaveOccurred())
		Expect(sent.Load()).To(BeEquivalentTo(1))
	})
})

var _ = Describe("Check", func() {
	at := func(ms int) time.Time { return time.Unix(1_800_000_000, 0).Add(time.Duration(ms) * time.Millisecond) }
	history := func(attempts ...load.Attempt) []load.History {
		return []load.History{{Request: load.Request{Key: "k"}, Attempts: attempts}}
	}
	notRun := load.Attempt{SentAt: at(0), ResponseAt: at(10), Outcome: fleet.NotRun}
	answered := load.Attempt{SentAt: at(20), ResponseAt: at(30), Outcome: fleet.Answered, Status: 200}
	ran := func(ms ...int) (ops []standin.Operation) {
		for _, m := range ms {
			ops = append(ops, standin.Operation{Key: "k", StartedAt: at(m)})
		}
		return ops
	}

	// Guards against checks that overlook a contradiction or report a correct
	// retry as one.
	DescribeTable("finds contradictions",
		func(histories []load.History, ops []standin.Operation, duplicates, falseNotRun, neverRun int) {
			f := load.Check(histories, ops, false)
			Expect([]int{len(f.Duplicates), len(f.FalseNotRun), len(f.NeverRun)}).To(Equal([]int{duplicates, falseNotRun, neverRun}))
			Expect(f.Empty()).To(Equal(duplicates+falseNotRun+neverRun == 0))
		},
		Entry("refused, then run by the retry", history(notRun, answered), ran(25), 0, 0, 0),
		Entry("run before the outcome not-run was received", history(notRun, answered), ran(5), 0, 1, 0),
		Entry("run after the outcome not-run, before the retry was sent", history(notRun, answered), ran(15), 0, 1, 0),
		Entry("run after the outcome not-run, without a retry", history(notRun), ran(15), 0, 1, 0),
		Entry("run twice", history(answered), ran(22, 23), 1, 0, 0),
		Entry("answered without a run", history(answered), ran(), 0, 0, 1),
		Entry("refused and not run", history(notRun), ran(), 0, 0, 0),
	)
})
