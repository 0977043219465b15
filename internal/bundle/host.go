package bundle

import (
	"slices"
	"strings"
)

// HostRoute assigns a class and a service to the requests of one host whose
// path begins with a prefix. Among the routes of a host that match, the one
// with the longest prefix applies.
type HostRoute struct {
	Name string
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	Class  Class
	// Services lists the services over which the requests are distributed by
	// weight. A route to a single service has one entry.
	Services []WeightedService
}

// WeightedService is one service of a route. Weight is its share of the route's
// requests relative to the weights of the route's other services.
type WeightedService struct {
	Service string
	Weight  int
}

// hostIndex holds the routes of each host, longest prefix first.
type hostIndex map[string][]*HostRoute

func newHostIndex(routes []HostRoute) hostIndex {
	index := make(hostIndex)
	for i := range routes {
		r := &routes[i]
		index[r.Host] = append(index[r.Host], r)
	}
	for _, list := range index {
		slices.SortStableFunc(list, func(a, b *HostRoute) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return index
}

// NewHostRouted returns a bundle whose requests are routed by host and prefix
// alone. It is used for configurations that are not written as bundle YAML.
// An organisation without a rate limit of its own has none on a single node.
func NewHostRouted(name string, version uint64, services []Service, routes []HostRoute, organisations []NamedLimit) *Bundle {
	weights := 0
	for i := range organisations {
		weights += organisations[i].Weight
		if limit := &organisations[i].Limit; limit.RequestsPerSecond == 0 {
			limit.RequestsPerSecond, limit.Burst = Unlimited, Unlimited
		}
	}
	b := &Bundle{
		Name: name, Version: version, Services: services, Hosts: routes,
		Tenants: Tenants{
			// Requests without an organisation share room like an average one.
			Default:     Limit{RequestsPerSecond: Unlimited, Burst: Unlimited, Weight: max(weights/max(len(organisations), 1), 1)},
			RequireKeys: len(organisations) > 0, Named: organisations,
		},
	}
	b.index, b.hosts = newIndex(b), newHostIndex(routes)
	return b
}

// Unlimited is a request rate, in requests per second, and a burst, in
// requests, that no organisation reaches.
const Unlimited = 1e9

// MatchHost returns the route of a host with the longest prefix of path, or
// nil. path is the escaped path as received, without the query.
func (b *Bundle) MatchHost(host, path string) *HostRoute {
	for _, r := range b.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Choose returns the service for one request, in proportion to the weights of
// the route's services. position is a random number, uniform in [0, 1).
func (r *HostRoute) Choose(position float64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	remaining := position * float64(total)
	for _, s := range r.Services {
		if remaining -= float64(s.Weight); remaining < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}
