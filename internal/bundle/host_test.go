package bundle_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/fleet"
)

var _ = Describe("Host routes", func() {
	route := func(name, host, prefix string, services ...bundle.WeightedService) bundle.HostRoute {
		return bundle.HostRoute{Name: name, Host: host, Prefix: prefix, Services: services}
	}
	b := bundle.NewHostRouted("test", 3, nil, []bundle.HostRoute{
		route("all", "a", "/"), route("x", "a", "/x/"), route("xy", "a", "/x/y/"), route("other", "b", "/x/"),
	}, nil)

	// Guards against classes that compete as equals because their organisations
	// have the same rank, against an organisation's rank that its class outranks,
	// and against ranks that change in bundles without ranked organisations.
	It("orders requests by the rank of the organisation and then of the class", func() {
		ranked := func(name string, r fleet.Rank) bundle.NamedLimit { return bundle.NamedLimit{Name: name, Rank: &r} }
		b := bundle.NewHostRouted("test", 3, nil, nil, []bundle.NamedLimit{ranked("first", 0), ranked("third", 2), ranked("last", 255), {Name: "none"}})
		var previous fleet.Priority
		for i, request := range []struct {
			organisation string
			class        fleet.Rank
		}{{"first", 0}, {"first", 1}, {"first", 200}, {"none", 1}, {"third", 0}, {"none", 2}, {"third", 3}, {"last", 0}, {"last", 255}} {
			p := b.Priority(b.Named(request.organisation), &bundle.Class{Priority: request.class.Priority()})
			if i > 0 {
				Expect(p).To(BeNumerically("<", previous), "request %d", i)
			}
			previous = p
		}
		class := &bundle.Class{Priority: fleet.Rank(1).Priority()}
		Expect(b.Priority(nil, class)).To(Equal(b.Priority(b.Named("none"), class)))
		unranked := bundle.NewHostRouted("test", 3, nil, nil, []bundle.NamedLimit{{Name: "none"}})
		Expect(unranked.Priority(unranked.Named("none"), class)).To(Equal(fleet.Interactive))
	})

	// Guards against a request that gets the class of a route with a shorter
	// prefix.
	DescribeTable("chooses the longest prefix of the host",
		func(host, path, name string) {
			r := b.MatchHost(host, path)
			if name == "" {
				Expect(r).To(BeNil())
				return
			}
			Expect(r.Name).To(Equal(name))
		},
		Entry(nil, "a", "/x/y/z", "xy"), Entry(nil, "a", "/x/y", "x"), Entry(nil, "a", "/x", "all"),
		Entry(nil, "b", "/x/", "other"), Entry(nil, "b", "/y/", ""), Entry(nil, "c", "/x/", ""),
	)

	It("distributes requests by weight", func() {
		r := route("s", "a", "/", bundle.WeightedService{Service: "one", Weight: 90}, bundle.WeightedService{Service: "none", Weight: 0}, bundle.WeightedService{Service: "two", Weight: 10})
		counts := map[string]int{}
		for i := range 1000 {
			counts[r.Choose(float64(i)/1000)]++
		}
		Expect(counts).To(Equal(map[string]int{"one": 900, "two": 100}))
	})
})
