package lint

import (
	"fmt"
	"slices"
	"strings"

	"siskinvale.dev/siskinvale/internal/bundle"
)

// Effect is one consequence of a new bundle for callers.
type Effect struct {
	Place   string `json:"place"`
	Message string `json:"message"`
}

// String returns the effect as one line of readable text.
func (e Effect) String() string { return e.Place + ": " + e.Message }

// Effects describes what the change from the bundle before to the bundle after
// means for callers, ordered by place. Changes that callers do not notice are
// left out; bundle.Diff lists all.
func Effects(before, after *bundle.Bundle) []Effect {
	d := &comparison{}
	d.hostRoutes(before, after)
	d.services(before, after)
	d.organisations(&before.Tenants, &after.Tenants)
	slices.SortStableFunc(d.effects, func(a, b Effect) int { return strings.Compare(a.Place, b.Place) })
	return d.effects
}

type comparison struct{ effects []Effect }

func (d *comparison) add(place, format string, args ...any) {
	d.effects = append(d.effects, Effect{Place: place, Message: fmt.Sprintf(format, args...)})
}

// pairs calls both for entries with equal keys, and removed and added for the
// others. Of entries with equal keys, the first counts.
func pairs[T any](before, after []T, key func(*T) string, removed, added func(*T), both func(before, after *T)) {
	old, current := make(map[string]*T, len(before)), make(map[string]bool, len(after))
	for i := range before {
		if k := key(&before[i]); old[k] == nil {
			old[k] = &before[i]
		}
	}
	for i := range after {
		k := key(&after[i])
		switch {
		case current[k]:
		case old[k] == nil:
			added(&after[i])
		default:
			both(old[k], &after[i])
		}
		current[k] = true
	}
	for i := range before {
		if k := key(&before[i]); !current[k] {
			current[k] = true
			removed(&before[i])
		}
	}
}

func (d *comparison) hostRoutes(before, after *bundle.Bundle) {
	place := func(r *bundle.HostRoute) string { return r.Host + r.Prefix }
	pairs(before.Hosts, after.Hosts, place,
		func(r *bundle.HostRoute) {
			if covering := after.MatchHost(r.Host, r.Prefix); covering != nil {
				d.add(place(r), "route %q is gone; its requests now match route %q", r.Name, covering.Name)
				return
			}
			d.add(place(r), "route %q is gone; its requests get 404", r.Name)
		},
		func(r *bundle.HostRoute) { d.add(place(r), "new route %q to %s", r.Name, parts(r.Services)) },
		func(old, new *bundle.HostRoute) {
			if from, to := parts(old.Services), parts(new.Services); from != to {
				d.add(place(new), "requests go to %s instead of %s", to, from)
			}
			d.class(place(new), &old.Class, &new.Class)
		})
}

// parts lists services with their shares in percent.
func parts(services []bundle.WeightedService) string {
	total := 0
	for _, s := range services {
		total += s.Weight
	}
	var names []string
	for _, s := range services {
		if len(services) == 1 || total == 0 {
			names = append(names, s.Service)
			continue
		}
		names = append(names, fmt.Sprintf("%s (%.3g%%)", s.Service, 100*float64(s.Weight)/float64(total)))
	}
	return strings.Join(names, ", ")
}

func (d *comparison) services(before, after *bundle.Bundle) {
	place := func(s *bundle.Service) string { return "services[" + s.Name + "]" }
	hostRouted := len(before.Hosts)+len(after.Hosts) > 0
	pairs(before.Services, after.Services, func(s *bundle.Service) string { return s.Name },
		func(s *bundle.Service) {
			if !hostRouted {
				d.add(place(s), "the service is gone; its requests get 404")
			}
		},
		func(s *bundle.Service) { d.add(place(s), "new service") },
		func(old, new *bundle.Service) {
			pairs(old.Routes, new.Routes, func(r *bundle.Route) string { return r.Method + " " + r.Path },
				func(r *bundle.Route) { d.add(place(new), "route %s %s is gone", r.Method, r.Path) },
				func(r *bundle.Route) { d.add(place(new), "new route %s %s of class %s", r.Method, r.Path, r.Class) },
				func(from, to *bundle.Route) {
					if from.Class != to.Class {
						d.add(place(new), "route %s %s has class %s instead of %s", to.Method, to.Path, to.Class, from.Class)
					}
				})
			pairs(old.Classes, new.Classes, func(c *bundle.Class) string { return c.Name },
				func(*bundle.Class) {}, func(*bundle.Class) {},
				func(from, to *bundle.Class) { d.class(place(new)+".classes["+to.Name+"]", from, to) })
		})
}

func (d *comparison) class(place string, old, new *bundle.Class) {
	if old.Idempotent != new.Idempotent {
		if new.Idempotent {
			d.add(place, "requests may now run more than once")
		} else {
			d.add(place, "requests now run at most once and are not repeated")
		}
	}
	if old.Deadline != new.Deadline {
		d.add(place, "the timeout is %v instead of %v", new.Deadline.AsDuration(), old.Deadline.AsDuration())
	}
	if old.Attempts != new.Attempts {
		d.add(place, "a request is sent to up to %d targets instead of %d", new.Attempts, old.Attempts)
	}
	if old.MaxBody != new.MaxBody {
		d.add(place, "bodies of up to %d bytes are accepted instead of %d", new.MaxBody, old.MaxBody)
	}
	if old.Public != new.Public {
		if new.Public {
			d.add(place, "requests need no API key any more")
		} else {
			d.add(place, "requests now need an API key, or get 401")
		}
	}
}

func (d *comparison) organisations(before, after *bundle.Tenants) {
	if before.RequireKeys != after.RequireKeys {
		if after.RequireKeys {
			d.add("tenants", "requests without a valid API key now get 401")
		} else {
			d.add("tenants", "API keys are not required any more")
		}
	}
	place := func(n *bundle.NamedLimit) string { return "tenants[" + n.Name + "]" }
	pairs(before.Named, after.Named, func(n *bundle.NamedLimit) string { return n.Name },
		func(n *bundle.NamedLimit) {
			d.add(place(n), "the organisation is gone; its %d keys get 401", len(n.Keys))
		},
		func(n *bundle.NamedLimit) { d.add(place(n), "new organisation with %d keys", len(n.Keys)) },
		func(old, new *bundle.NamedLimit) {
			for _, h := range old.Keys {
				if !slices.Contains(new.Keys, h) {
					d.add(place(new), "key %s is withdrawn; requests with it get 401", h)
				}
			}
			for _, h := range new.Keys {
				if !slices.Contains(old.Keys, h) {
					d.add(place(new), "key %s is new", h)
				}
			}
			if old.Quota != new.Quota {
				d.add(place(new), "the quota is %s instead of %s", quota(new.Quota), quota(old.Quota))
			}
			if old.Limit != new.Limit {
				d.add(place(new), "the limit on one node is %g requests per second (burst %g, weight %d) instead of %g (%g, %d)",
					new.RequestsPerSecond, new.Burst, new.Weight, old.RequestsPerSecond, old.Burst, old.Weight)
			}
		})
}

func quota(q bundle.Quota) string {
	if q == (bundle.Quota{}) {
		return "none"
	}
	return fmt.Sprintf("%g requests per second (burst %g)", q.RequestsPerSecond, q.Burst)
}
