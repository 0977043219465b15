package sidecar_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/link"
	"siskinvale.dev/siskinvale/internal/sidecar"
)

var _ = Describe("Organisations that compete for a target with a dialect", func() {
	// Guards against equal shares for all organisations: a large one, whose
	// requests fill most of the queue, would wait behind each small one.
	It("start in proportion to their weights", func() {
		var mu sync.Mutex
		var order []string
		finish := make(chan struct{})
		addr := startTarget(func(_ http.ResponseWriter, r *http.Request) {
			mu.Lock()
			order = append(order, r.Header.Get("Organisation"))
			mu.Unlock()
			<-finish
		})
		logger := logrus.New()
		logger.SetOutput(GinkgoWriter)
		s := sidecar.New("n1", nil, time.Now)
		s.SetDialect(headerDialect{}, event.NewLogger(logger, nil))
		s.SetBundle(bundle.NewHostRouted("test", 1, nil, nil, []bundle.NamedLimit{
			{Name: "large", Limit: bundle.Limit{Weight: 9}}, {Name: "small", Limit: bundle.Limit{Weight: 1}},
		}))
		s.SetTarget(fleet.Target{ID: "t1", Service: "booking", Node: "n1", Addr: addr, Slots: 1})
		send := func(organisation string, n int) {
			call := lookup(20 * time.Second)
			call.AttemptID, call.Tenant = fmt.Sprint(organisation, n), organisation
			call.Header = http.Header{"Organisation": {organisation}}
			call.ClassParams = &link.ClassParams{Priority: fleet.Interactive, Idempotent: true, Expected: 10 * time.Millisecond}
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
				defer cancel()
				s.Forward(ctx, call).Body.Close()
			}()
		}
		queued := func() int { load, _ := s.Load("t1"); return load.Queued }
		send("first", 0)
		Eventually(func() int { load, _ := s.Load("t1"); return load.InFlight }, "2s").Should(Equal(1))
		for n := range 20 {
			send("small", n)
		}
		Eventually(queued, "2s").Should(Equal(20))
		for n := range 20 {
			send("large", n)
		}
		Eventually(queued, "2s").Should(Equal(40))
		for range 21 {
			finish <- struct{}{}
		}
		mu.Lock()
		defer mu.Unlock()
		large := 0
		for _, organisation := range order[1:21] {
			if organisation == "large" {
				large++
			}
		}
		Expect(large).To(BeNumerically(">=", 17), "%v", order)
		close(finish)
	})
})
