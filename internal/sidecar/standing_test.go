package sidecar_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/sidecar"
)

// headerDialect classifies answers by the Answer-Kind header that the test's
// target sets.
type headerDialect struct{}

func (headerDialect) Prepare(http.Header, fleet.Target, *link.Call, time.Duration) {}

func (headerDialect) Notice(h http.Header) (sidecar.Notice, error) {
	limit, err := sidecar.ParseRateLimit(h.Get("Rate-Limit"))
	return sidecar.Notice{RateLimit: limit, Leaving: h.Get("Leaving") != ""}, err
}

func (headerDialect) Classify(resp *http.Response, _ fleet.Target, _ *link.Call, _ bool) sidecar.AnswerKind {
	switch resp.Header.Get("Answer-Kind") {
	case "shed":
		return sidecar.Shed
	case "other request":
		return sidecar.OtherRequest
	case "timed out":
		return sidecar.TimedOut
	case "unproven":
		return sidecar.Unproven
	default:
		return sidecar.Executed
	}
}

var _ = Describe("Standing", func() {
	var (
		s          *sidecar.Sidecar
		now        atomic.Int64
		status     atomic.Int64
		answerKind atomic.Value
		runs       atomic.Int64
		hang       atomic.Pointer[chan struct{}] // requests wait until it is closed
	)
	clock := func() time.Time { return time.Unix(0, now.Load()) }
	BeforeEach(func() {
		now.Store(time.Unix(1_800_000_000, 0).UnixNano())
		status.Store(200)
		answerKind.Store("")
		runs.Store(0)
		hang.Store(nil)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			if c := hang.Load(); c != nil {
				<-*c
			}
			w.Header().Set("Answer-Kind", answerKind.Load().(string))
			w.WriteHeader(int(status.Load()))
		}))
		DeferCleanup(server.Close)
		logger := logrus.New()
		logger.SetOutput(GinkgoWriter)
		s = sidecar.New("n1", nil, clock)
		s.SetDialect(headerDialect{}, event.NewLogger(logger, nil))
		s.SetTarget(fleet.Target{ID: "t", Service: "booking", Node: "n1", Slots: 4, Addr: strings.TrimPrefix(server.URL, "http://")})
	})
	send := func(idempotent bool, change ...func(*link.Call)) *link.Reply {
		call := &link.Call{
			AttemptID: "a", RequestID: "r", Service: "booking", Class: "c", Target: "t", Timeout: 5 * time.Second,
			Method: "GET", Path: "/x", Header: http.Header{}, Body: http.NoBody,
			ClassParams: &link.ClassParams{Idempotent: idempotent, Expected: time.Millisecond},
		}
		for _, c := range change {
			c(call)
		}
		reply := s.Forward(context.Background(), call)
		_, err := io.Copy(io.Discard, reply.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Body.Close()).To(Succeed())
		return reply
	}

	// Guards against non-idempotent calls to a target that has just failed, and
	// against a refusal of a call that did reach the target.
	It("refuses non-idempotent calls after a failure, and runs forced ones", func() {
		status.Store(500)
		Expect(send(false).Status).To(Equal(500))
		refused := send(false)
		Expect(refused.Outcome).To(Equal(fleet.NotRun))
		Expect(refused.BadStanding).To(BeTrue())
		Expect(refused.Dispatched).To(BeFalse())
		Expect(refused.Load.EpisodeProbability).To(BeNumerically(">", 0.3))
		Expect(runs.Load()).To(Equal(int64(1)))
		Expect(send(false, func(c *link.Call) { c.Forced = true }).Status).To(Equal(500))
	})

	// Guards against a target that stays out of use because no call detects the
	// end of its failure episode.
	It("admits single idempotent calls as probes until the failure episode has ended", func() {
		status.Store(500)
		for range 3 {
			send(true, func(c *link.Call) { c.Forced = true })
		}
		Expect(send(true).Status).To(Equal(500)) // the first probe
		Expect(send(true).BadStanding).To(BeTrue())
		status.Store(200)
		now.Add(int64(time.Second))
		Expect(send(true).Status).To(Equal(200))
	})

	// Guards against a target that loses its standing by shedding load, and
	// against an answer that is passed on to another request.
	It("counts answers to other requests as failures, but not shed requests", func() {
		answerKind.Store("shed")
		shed := send(false)
		Expect(shed.Outcome).To(Equal(fleet.NotRun))
		Expect(shed.Dispatched).To(BeTrue())
		Expect(send(false).BadStanding).To(BeFalse())
		answerKind.Store("other request")
		other := send(false)
		Expect(other.Outcome).To(Equal(fleet.Unknown))
		Expect(send(false).BadStanding).To(BeTrue())
	})

	// Guards against a target that loses its standing because callers set too
	// short a timeout.
	It("keeps the standing of a target that aborts requests at their deadline", func() {
		status.Store(504)
		answerKind.Store("timed out")
		for range 3 {
			Expect(send(false).Status).To(Equal(504))
		}
		Expect(send(false).BadStanding).To(BeFalse())
	})

	// Guards against a probe by an idempotent call that could not be retried
	// after its failure.
	It("treats a final call like a non-idempotent one", func() {
		status.Store(500)
		Expect(send(true).Status).To(Equal(500))
		Expect(send(true, func(c *link.Call) { c.Final = true }).BadStanding).To(BeTrue())
		Expect(send(true).BadStanding).To(BeFalse())
	})

	// beginHang makes requests wait until the returned function is called.
	beginHang := func() (end func()) {
		released := make(chan struct{})
		hang.Store(&released)
		return func() {
			hang.Store(nil)
			close(released)
		}
	}

	// Guards against calls, also ones that may run only once, that are sent to a
	// target that holds all its requests, and against a target that stays out of
	// use after it goes on.
	It("admits no calls to a target that hangs, until it completes one", func() {
		slow := make(chan *link.Reply, 2)
		hold := func() {
			before := runs.Load()
			go func() {
				defer GinkgoRecover()
				slow <- send(true)
			}()
			Eventually(runs.Load).Should(Equal(before + 1))
		}
		end := beginHang()
		hold()
		now.Add(int64(100 * time.Millisecond)) // the average run time
		end()
		Eventually(slow).Should(Receive())
		end = beginHang()
		hold()
		now.Add(int64(time.Second))
		Expect(s.StandingChanged()).To(BeFalse(), "a single request may be long")
		hold()
		now.Add(int64(time.Second))
		Expect(s.StandingChanged()).To(BeTrue())
		Expect(s.StandingChanged()).To(BeFalse())
		Expect(send(false).BadStanding).To(BeTrue())
		refused := send(true)
		Expect(refused.BadStanding).To(BeTrue())
		Expect(refused.Load.EpisodeProbability).To(BeNumerically(">", 0.8))
		end()
		Eventually(slow).Should(Receive())
		Eventually(slow).Should(Receive())
		Expect(s.StandingChanged()).To(BeTrue())
		Expect(send(false).Status).To(Equal(200))
	})

	// Guards against a target that gets new calls after each timeout during a
	// hang.
	It("counts a call that was given up at a hung target as a failure", func() {
		result := make(chan *link.Reply, 1)
		hold := func(ctx context.Context) {
			before := runs.Load()
			go func() {
				defer GinkgoRecover()
				reply := s.Forward(ctx, &link.Call{
					AttemptID: "a", RequestID: "r", Service: "booking", Class: "c", Target: "t", Timeout: 5 * time.Second, Method: "GET", Path: "/x",
					Header: http.Header{}, Body: http.NoBody, ClassParams: &link.ClassParams{Idempotent: true},
				})
				_, err := io.Copy(io.Discard, reply.Body)
				Expect(err).NotTo(HaveOccurred())
				Expect(reply.Body.Close()).To(Succeed())
				result <- reply
			}()
			Eventually(runs.Load).Should(Equal(before + 1))
		}
		end := beginHang()
		hold(context.Background())
		now.Add(int64(100 * time.Millisecond)) // the average run time
		end()
		Eventually(result).Should(Receive())
		end = beginHang()
		for range 2 {
			ctx, cancel := context.WithCancel(context.Background())
			hold(ctx)
			now.Add(int64(time.Second))
			cancel()
			Expect((<-result).Outcome).To(Equal(fleet.Unknown))
		}
		end()
		Expect(send(false).BadStanding).To(BeTrue())
	})

	// Guards against a call that is queued at one target although another
	// target has a free slot.
	It("refuses a no-wait call without a free slot", func() {
		Expect(send(true, func(c *link.Call) { c.NoWait = true }).Status).To(Equal(200))
		s.Drain()
		Expect(send(true, func(c *link.Call) { c.NoWait = true }).Outcome).To(Equal(fleet.NotRun))
	})
})
