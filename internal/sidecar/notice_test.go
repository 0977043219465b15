package sidecar_test

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/sidecar"
	"siskinvale.dev/siskinvale/internal/standin"
)

// startStandin returns a stand-in for a target and a sidecar that serves it.
func startStandin(faults standin.TargetFaults) (*standin.Target, *sidecar.Sidecar) {
	logger := logrus.New()
	logger.SetOutput(GinkgoWriter)
	t := standin.NewTarget(standin.TargetConfig{ID: "t1", Service: "booking", RunTime: 5 * time.Millisecond, Log: logger})
	Expect(t.SetFaults(faults)).To(Succeed())
	server := httptest.NewServer(t)
	DeferCleanup(server.Close)
	s := newSidecar(strings.TrimPrefix(server.URL, "http://"), nil)
	return t, s
}

// forwardFor sends calls to the sidecar from several callers, each as fast as
// it is answered, and returns the replies by outcome.
func forwardFor(s *sidecar.Sidecar, duration time.Duration, callers int, change func(*link.Call)) map[fleet.Outcome]int {
	var (
		mu       sync.Mutex
		outcomes = make(map[fleet.Outcome]int)
		wg       sync.WaitGroup
	)
	end := time.Now().Add(duration)
	for range callers {
		wg.Go(func() {
			defer GinkgoRecover()
			for time.Now().Before(end) {
				call := lookup(300 * time.Millisecond)
				if change != nil {
					change(call)
				}
				ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
				reply := s.Forward(ctx, call)
				_, _ = io.Copy(io.Discard, reply.Body)
				reply.Body.Close()
				cancel()
				mu.Lock()
				outcomes[reply.Outcome]++
				mu.Unlock()
				if reply.Outcome != fleet.Answered {
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	return outcomes
}

var _ = Describe("Rate limit of a target", func() {
	const limit, window = 5, 4

	// Guards against a target that gets as many requests as its slots take
	// although it states that it accepts fewer.
	It("is kept by the sidecar in every window of four seconds", func() {
		t, s := startStandin(standin.TargetFaults{RateLimit: limit})
		outcomes := forwardFor(s, 6*time.Second, 8, nil)
		Expect(t.Calls().MostInWindow).To(BeNumerically("<=", 1.5*limit*window+5))
		Expect(outcomes[fleet.Answered]).To(BeNumerically(">=", limit*5), "the limit is used")
		Expect(outcomes[fleet.Unknown]).To(BeZero())
	})
})
