package ingress_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/ingress"
	"siskinvale.dev/siskinvale/internal/link"
)

var _ = Describe("API keys", func() {
	const (
		apiKey  = "secret-of-acme"
		version = 7
	)
	var (
		s             *testIngress
		organisations []string // of the calls
		age           time.Duration
		known         bool
		askedVersion  uint64
	)
	// status sends a lookup, or a note, whose class is public, with a key.
	status := func(path, key string) int {
		GinkgoHelper()
		w := s.send("GET", path, "", "Siskinvale-Api-Key", key, "Siskinvale-Tenant", "forged")
		if w.Code == http.StatusServiceUnavailable {
			Expect(w.Header().Get("Siskinvale-Outcome")).To(Equal("not-run"))
			Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(w.Body.String()).NotTo(ContainSubstring(apiKey))
		return w.Code
	}
	BeforeEach(func() {
		organisations, age, known = nil, 0, true
		s = newTestIngressWith(func(c *ingress.Config) {
			c.KeyLease = ingress.KeyLease{MaxAge: 4900 * time.Millisecond, Age: func(v uint64) (time.Duration, bool) {
				askedVersion = v
				return age, known
			}}
		}, func(c *link.Call) *link.Reply {
			organisations = append(organisations, c.Tenant)
			Expect(fmt.Sprint(c.Header)).NotTo(ContainSubstring(apiKey))
			return answered("ok")(c)
		})
		hash, err := bundle.HashKey(apiKey).MarshalText()
		Expect(err).NotTo(HaveOccurred())
		text := strings.NewReplacer(
			"tenants:\n", "tenants:\n  requireKeys: true\n",
			"weight: 1}]", fmt.Sprintf("weight: 1}, {name: acme, requestsPerSecond: 100, burst: 100, weight: 1, keys: [%q]}]", hash),
			"{name: note, idempotent: false,", "{name: note, public: true, idempotent: false,",
			"{method: POST, path: /notes", "{method: GET, path: /notes",
		).Replace(testBundle)
		b, findings := bundle.Parse("test", []byte(text))
		Expect(findings).To(BeEmpty())
		view := *s.in.View()
		view.Bundle, view.Version = b, version
		s.in.SetView(&view)
	})

	// Guards against a caller that names its organisation itself, and against
	// targets that learn keys.
	It("name the organisation of a request and stay at the ingress", func() {
		Expect(status("/kits/1", apiKey)).To(Equal(200))
		Expect(status("/notes", "")).To(Equal(200))
		Expect(organisations).To(Equal([]string{"acme", ""}))
		Expect(askedVersion).To(BeEquivalentTo(version))
	})

	It("are required except for public classes", func() {
		Expect(status("/kits/1", "")).To(Equal(401))
		Expect(status("/kits/1", "unknown")).To(Equal(401))
		Expect(status("/notes", "unknown")).To(Equal(200))
		Expect(organisations).To(Equal([]string{""}))
	})

	// Guards against a withdrawn key that still works because the node cannot
	// learn of its withdrawal.
	It("are not used while the bundle may be outdated for too long", func() {
		age = 4900 * time.Millisecond
		Expect(status("/kits/1", apiKey)).To(Equal(200))
		age++
		Expect(status("/kits/1", apiKey)).To(Equal(503))
		age, known = 0, false
		Expect(status("/kits/1", apiKey)).To(Equal(503))
		Expect(status("/notes", apiKey)).To(Equal(200))
		Expect(organisations).To(Equal([]string{"acme", ""}))
	})

	// Guards against callers with a new key that do not try again, because a node
	// without the newest bundle rejected them for good.
	It("are rejected for good only if the bundle is likely to be the newest", func() {
		age = 2500 * time.Millisecond
		Expect(status("/kits/1", "new")).To(Equal(401))
		age++
		Expect(status("/kits/1", "new")).To(Equal(503))
		Expect(status("/kits/1", "")).To(Equal(401))
	})
})
