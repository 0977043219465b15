package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/standin"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "node")
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

var _ = Describe("A fleet of nodes", func() {
	It("runs keyed operations once, rejects invalid requests, limits tenants and activates new bundles", func() {
		f := startFleet(3)
		f.activateBundle(1)
		f.waitReady()

		By("answering an idempotent lookup through every node")
		for _, n := range f.nodes {
			a := n.send(http.MethodGet, "/kits/7", nil, "")
			Expect(a.status).To(Equal(200))
			Expect(a.outcome).To(Equal("answered"))
			Expect(a.header.Get("Siskinvale-Request-Id")).NotTo(BeEmpty())
		}

		By("running a keyed operation once although it is retried through every node")
		key := newKey()
		first := f.nodes[0].hold(key)
		Expect(first.outcome).To(Equal("answered"))
		for _, n := range f.nodes {
			again := n.hold(key)
			Expect(again.outcome).To(Equal("answered"))
			Expect(again.body).To(Equal(first.body))
		}
		Expect(f.runCount(key)).To(Equal(1))

		By("refusing a key that was used with other content")
		other := f.nodes[1].send(http.MethodPost, "/holds", http.Header{"Idempotency-Key": {key}}, "other content")
		Expect(other.status).To(Equal(422))
		Expect(f.runCount(key)).To(Equal(1))

		By("answering invalid requests with the matching status and a problem document")
		for path, want := range map[string]int{"/nothing": 404, "/kits/7": 200} {
			Expect(f.nodes[0].status(http.MethodGet, path)).To(Equal(want))
		}
		missing := f.nodes[0].send(http.MethodPost, "/holds", nil, "kit")
		Expect(missing.status).To(Equal(400))
		Expect(missing.header.Get("Content-Type")).To(Equal("application/problem+json"))
		Expect(missing.body).To(ContainSubstring("Idempotency-Key"))
		large := f.nodes[0].send(http.MethodPost, "/holds", http.Header{"Idempotency-Key": {newKey()}}, strings.Repeat("x", 2000))
		Expect(large.status).To(Equal(413))
		unknown := f.nodes[0].send(http.MethodGet, "/kits/1", http.Header{"Siskinvale-Service": {"nowhere"}}, "")
		Expect(unknown.status).To(Equal(404))
		Expect(unknown.outcome).To(Equal("not-run"))

		By("rate limiting a tenant")
		small := http.Header{"Siskinvale-Tenant": {"small"}}
		codes := map[int]int{}
		for range 5 {
			codes[f.nodes[0].send(http.MethodGet, "/kits/1", small, "").status]++
		}
		Expect(codes[429]).To(BeNumerically(">=", 2))

		By("activating a newer bundle on every node")
		f.activateBundle(2)
		Eventually(func() []uint64 {
			var versions []uint64
			for _, n := range f.nodes {
				versions = append(versions, n.node.BundleVersion())
			}
			return versions
		}, "5s", "20ms").Should(HaveEach(uint64(2)))
	})

	// Guards against health decisions that rely on active probes: the target's
	// own health endpoint stays healthy while all its requests stall.
	It("takes a stalled target out of traffic", func() {
		f := startFleet(6)
		f.activateBundle(1)
		f.waitReady()
		stalled := f.nodes[5].target
		stop, results := f.startLookups(20 * time.Millisecond)
		time.Sleep(3 * time.Second)
		Expect(stalled.SetFaults(standin.TargetFaults{StallFraction: 1})).To(Succeed())
		start := time.Now()
		time.Sleep(4 * time.Second)
		close(stop)
		slowOrFailed, measured := 0, 0
		for r := range results {
			if r.start.Sub(start) < 2*time.Second {
				continue
			}
			measured++
			if r.duration > 250*time.Millisecond || r.answer.status != 200 {
				slowOrFailed++
				fmt.Fprintf(GinkgoWriter, "slow or failed: sent %s after the stall through %s: status %d in %v: %s\n",
					r.start.Sub(start).Round(time.Millisecond), r.node, r.answer.status, r.duration.Round(time.Millisecond), r.answer.body)
			}
		}
		Expect(measured).To(BeNumerically(">", 200))
		// A target on probation receives a few requests.
		Expect(float64(slowOrFailed)).To(BeNumerically("<=", 0.02*float64(measured)))
	})

	It("stops gracefully: requests in flight complete, other nodes take new requests, and retried keys do not run again", func() {
		f := startFleet(3)
		f.activateBundle(1)
		f.waitReady()
		keys := make([]string, 30)
		bodies := make([]string, len(keys))
		for i := range keys {
			keys[i] = newKey()
			first := f.nodes[i%3].hold(keys[i])
			Expect(first.outcome).To(Equal("answered"), first.body)
			bodies[i] = first.body
		}
		long := make(chan answer, 9)
		for i := range 9 {
			go func() { long <- f.nodes[i%3].send(http.MethodGet, "/history/7", nil, "") }()
		}
		time.Sleep(100 * time.Millisecond)
		f.nodes[2].stop()
		for range 9 {
			Expect((<-long).status).To(Equal(200))
		}
		Eventually(f.nodes[2].done, "15s").Should(Receive(BeNil()))
		f.nodes[2].done <- nil
		for i, key := range keys {
			var again answer
			Eventually(func() string { again = f.nodes[i%2].hold(key); return again.outcome }, "10s", "100ms").
				Should(Equal("answered"), func() string { return again.body })
			Expect(f.nodes[i%2].hold(key).body).To(Equal(bodies[i]))
			Expect(f.runCount(key)).To(Equal(1), key)
		}
	})
})
