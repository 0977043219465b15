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

var _ = Describe("A fleet of three nodes", func() {
	It("serves each class and keeps its promises", func() {
		f := startFleet(3)
		f.rollOut(1)
		f.waitReady()

		By("answering an idempotent lookup through every node")
		for _, n := range f.nodes {
			a := n.send(http.MethodGet, "/kits/7", nil, "")
			Expect(a.status).To(Equal(200))
			Expect(a.outcome).To(Equal("answered"))
			Expect(a.header.Get("Siskinvale-Request-Id")).NotTo(BeEmpty())
		}

		By("running a named operation once over retries through every node")
		key := newKey()
		first := f.nodes[0].hold(key)
		Expect(first.outcome).To(Equal("answered"))
		for _, n := range f.nodes {
			again := n.hold(key)
			Expect(again.outcome).To(Equal("answered"))
			Expect(again.body).To(Equal(first.body))
		}
		Expect(f.runs(key)).To(Equal(1))

		By("refusing a key that was used for something else")
		other := f.nodes[1].send(http.MethodPost, "/holds", http.Header{"Idempotency-Key": {key}}, "other content")
		Expect(other.status).To(Equal(422))
		Expect(f.runs(key)).To(Equal(1))

		By("answering malformed requests with a problem document")
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

		By("limiting a tenant")
		small := http.Header{"Siskinvale-Tenant": {"small"}}
		codes := map[int]int{}
		for range 5 {
			codes[f.nodes[0].send(http.MethodGet, "/kits/1", small, "").status]++
		}
		Expect(codes[429]).To(BeNumerically(">=", 2))

		By("refusing an older bundle and putting a newer one into force")
		f.rollOut(2)
		Eventually(func() []uint64 {
			var versions []uint64
			for _, n := range f.nodes {
				versions = append(versions, n.node.BundleVersion())
			}
			return versions
		}, "5s", "20ms").Should(HaveEach(uint64(2)))
	})

	// Guards against health that believes probes: the target's own health
	// endpoint stays fine all the time.
	It("takes a stalled target out of traffic", func() {
		f := startFleet(6)
		f.rollOut(1)
		f.waitReady()
		stalled := f.nodes[5].target
		stop, results := f.lookups(20 * time.Millisecond)
		time.Sleep(3 * time.Second)
		Expect(stalled.SetFaults(standin.TargetFaults{StallFraction: 1})).To(Succeed())
		start := time.Now()
		time.Sleep(4 * time.Second)
		close(stop)
		late, afterwards := 0, 0
		for r := range results {
			if r.start.Sub(start) < 2*time.Second {
				continue
			}
			afterwards++
			if r.took > 250*time.Millisecond || r.answer.status != 200 {
				late++
				fmt.Fprintf(GinkgoWriter, "late: %s after the stall through %s: %d in %v: %s\n",
					r.start.Sub(start).Round(time.Millisecond), r.node, r.answer.status, r.took.Round(time.Millisecond), r.answer.body)
			}
		}
		Expect(afterwards).To(BeNumerically(">", 200))
		// Probation sends a few requests to the target.
		Expect(float64(late)).To(BeNumerically("<=", 0.02*float64(afterwards)))
	})

	It("stops gracefully: long work in flight is not cut, new work goes elsewhere, keys keep their record", func() {
		f := startFleet(3)
		f.rollOut(1)
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
			Expect(f.runs(key)).To(Equal(1), key)
		}
	})
})
