package ingress

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/event"
)

var _ = Describe("Origin of keyless requests", func() {
	var running int64
	var in *Ingress
	nested := func(class bundle.Class, requireKeys bool, apiKey string) bool {
		req := &request{service: "s", class: &class, apiKey: apiKey, view: &View{Bundle: &bundle.Bundle{Tenants: bundle.Tenants{RequireKeys: requireKeys}}}}
		in.classifyOrigin(req, in.budgets.forClass("s", class.Name))
		return req.nested
	}
	BeforeEach(func() {
		logger := logrus.New()
		logger.SetOutput(GinkgoWriter)
		in = New(Config{Clock: time.Now, Log: event.NewLogger(logger, nil), LocalRuns: func() LocalRuns { return LocalRuns{Active: running} }})
		running = 4
	})

	// Guards against calls of targets that wait behind new work, and are
	// refused before it, because targets that are busy from the first request on
	// do not show where requests come from.
	DescribeTable("attributes them to targets that are busy from the first request on", func(class bundle.Class, requireKeys bool, apiKey string, want bool) {
		for range 50 {
			Expect(nested(class, requireKeys, apiKey)).To(Equal(want))
		}
	},
		Entry("if other classes need a key", bundle.Class{Name: "c", Public: true}, true, "", true),
		Entry("not if no class needs one", bundle.Class{Name: "c", Public: true}, false, "", false),
		Entry("not with a key", bundle.Class{Name: "c", Public: true}, true, "k", false),
		Entry("not in a class that needs one", bundle.Class{Name: "c"}, true, "", false))

	// Guards against requests of callers to a class without keys that start
	// before all others.
	It("attributes them to callers once they arrive while no target runs anything", func() {
		class := bundle.Class{Name: "c", Public: true}
		Expect(nested(class, true, "")).To(BeTrue())
		running = 0
		Expect(nested(class, true, "")).To(BeFalse())
		running = 4
		for range 50 {
			Expect(nested(class, true, "")).To(BeFalse())
		}
	})
})
