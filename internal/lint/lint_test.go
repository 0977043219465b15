package lint_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/lint"
)

func TestLint(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lint")
}

func class(name string) bundle.Class {
	return bundle.Class{
		Name: name, Idempotent: true, Attempts: 2, MaxBody: 1 << 20,
		Deadline: bundle.Duration(2 * time.Second), Objective: bundle.Duration(time.Second), Expected: bundle.Duration(100 * time.Millisecond),
	}
}

func route(name, host, prefix string, services ...bundle.WeightedService) bundle.HostRoute {
	return bundle.HostRoute{Name: name, Host: host, Prefix: prefix, Class: class(name), Services: services}
}

func to(service string, weight int) bundle.WeightedService {
	return bundle.WeightedService{Service: service, Weight: weight}
}

func service(name string, classes ...bundle.Class) bundle.Service {
	return bundle.Service{Name: name, Slots: 4, ExpectedTargets: 5, Classes: classes}
}

func organisation(name string, keys ...string) bundle.NamedLimit {
	o := bundle.NamedLimit{Name: name, Limit: bundle.Limit{Weight: 1}}
	for _, k := range keys {
		o.Keys = append(o.Keys, bundle.HashKey(k))
	}
	return o
}

// sound is a bundle without findings.
func sound(change func(routes *[]bundle.HostRoute, services *[]bundle.Service, organisations *[]bundle.NamedLimit)) *bundle.Bundle {
	routes := []bundle.HostRoute{route("read", "a.example", "/read/", to("desk", 1)), route("send", "a.example", "/send/", to("desk", 9), to("dispatch", 1))}
	services := []bundle.Service{service("desk"), service("dispatch")}
	organisations := []bundle.NamedLimit{organisation("clinic", "one", "two"), organisation("shop", "three")}
	organisations[0].Quota = bundle.Quota{RequestsPerSecond: 20, Burst: 20}
	change(&routes, &services, &organisations)
	return bundle.NewHostRouted("test", 7, services, routes, organisations)
}

var _ = Describe("Check", func() {
	// Guards against findings that are missed, and against findings in a sound
	// bundle, which would hide the others. Each kind has one case.
	It("returns the findings in the golden file", func() {
		var out strings.Builder
		check := func(name string, change func(*[]bundle.HostRoute, *[]bundle.Service, *[]bundle.NamedLimit)) {
			fmt.Fprintln(&out, name)
			for _, f := range lint.Check(sound(change), lint.Options{NodeMemory: 184 << 20}) {
				fmt.Fprintln(&out, " ", f)
			}
		}
		check("sound", func(*[]bundle.HostRoute, *[]bundle.Service, *[]bundle.NamedLimit) {})
		check("equal routes", func(r *[]bundle.HostRoute, _ *[]bundle.Service, _ *[]bundle.NamedLimit) {
			*r = append(*r, route("again", "a.example", "/read/", to("desk", 1)))
		})
		check("addresses that match nothing", func(r *[]bundle.HostRoute, _ *[]bundle.Service, _ *[]bundle.NamedLimit) {
			*r = append(*r, route("no-slash", "a.example", "x/", to("desk", 1)), route("query", "a.example", "/x?y=1", to("desk", 1)), route("no-host", "", "/x/", to("desk", 1)))
		})
		check("unknown service", func(r *[]bundle.HostRoute, _ *[]bundle.Service, _ *[]bundle.NamedLimit) {
			(*r)[0].Services = []bundle.WeightedService{to("dsek", 1)}
		})
		check("unused service", func(_ *[]bundle.HostRoute, s *[]bundle.Service, _ *[]bundle.NamedLimit) {
			*s = append(*s, service("records"))
		})
		check("part without weight", func(r *[]bundle.HostRoute, _ *[]bundle.Service, _ *[]bundle.NamedLimit) {
			(*r)[1].Services[1].Weight = 0
		})
		check("timeout below objective and run time", func(r *[]bundle.HostRoute, _ *[]bundle.Service, _ *[]bundle.NamedLimit) {
			(*r)[0].Class.Deadline = bundle.Duration(50 * time.Millisecond)
		})
		check("attempts", func(_ *[]bundle.HostRoute, s *[]bundle.Service, _ *[]bundle.NamedLimit) {
			many := class("many")
			many.Attempts = 5
			(*s)[0].Classes, (*s)[0].ExpectedTargets = []bundle.Class{many}, 2
		})
		check("bodies above the memory of a node", func(r *[]bundle.HostRoute, _ *[]bundle.Service, _ *[]bundle.NamedLimit) {
			(*r)[0].Class.MaxBody = 64 << 20
		})
		check("organisation without keys", func(_ *[]bundle.HostRoute, _ *[]bundle.Service, o *[]bundle.NamedLimit) {
			(*o)[1].Keys = nil
		})
		check("quota above the capacity and limit above the quota", func(_ *[]bundle.HostRoute, s *[]bundle.Service, o *[]bundle.NamedLimit) {
			(*s)[0].Classes, (*s)[1].Classes = []bundle.Class{class("a")}, []bundle.Class{class("b")}
			(*o)[0].Quota = bundle.Quota{RequestsPerSecond: 5000, Burst: 5000}
			(*o)[1].Quota = bundle.Quota{RequestsPerSecond: 10, Burst: 10}
			(*o)[1].Limit = bundle.Limit{RequestsPerSecond: 50, Burst: 50, Weight: 1}
		})
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "findings", []byte(out.String()))
	})
})

var _ = Describe("Effects", func() {
	// Guards against a change that callers notice and that an operator does not
	// see before it is in force.
	It("returns the changes in the golden file", func() {
		before := sound(func(*[]bundle.HostRoute, *[]bundle.Service, *[]bundle.NamedLimit) {})
		after := sound(func(r *[]bundle.HostRoute, _ *[]bundle.Service, o *[]bundle.NamedLimit) {
			(*r)[0].Services = []bundle.WeightedService{to("dispatch", 1)}
			c := &(*r)[1].Class
			c.Idempotent, c.Deadline, c.Attempts, c.MaxBody, c.Public = false, bundle.Duration(time.Second), 1, 10, true
			(*r)[1].Services[0].Weight = 1
			*r = append(*r, route("new", "b.example", "/", to("desk", 1)))
			(*o)[0] = organisation("clinic", "two", "four")
			(*o)[0].Quota = bundle.Quota{RequestsPerSecond: 5, Burst: 5}
			(*o)[1] = organisation("till", "five")
		})
		var out strings.Builder
		for _, e := range lint.Effects(before, after) {
			fmt.Fprintln(&out, e)
		}
		fmt.Fprintln(&out, "and back")
		for _, e := range lint.Effects(after, before) {
			fmt.Fprintln(&out, e)
		}
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "effects", []byte(out.String()))
		Expect(lint.Effects(before, before)).To(BeEmpty())
		Expect(out.String()).NotTo(ContainSubstring("four"))
	})
})
