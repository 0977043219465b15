package bundle_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/bundle"
)

var _ = Describe("Host routes", func() {
	route := func(name, host, prefix string, services ...bundle.WeightedService) bundle.HostRoute {
		return bundle.HostRoute{Name: name, Host: host, Prefix: prefix, Services: services}
	}
	b := bundle.NewHostRouted("test", 3, nil, []bundle.HostRoute{
		route("all", "a", "/"), route("x", "a", "/x/"), route("xy", "a", "/x/y/"), route("other", "b", "/x/"),
	}, nil)

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
