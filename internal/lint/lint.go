// Package lint finds entries of a valid bundle that have no effect or
// contradict each other, and describes what a new version changes for callers.
// All results name the place of an entry and are in a stable order.
package lint

import (
	"fmt"
	"slices"
	"strings"

	"siskinvale.dev/siskinvale/internal/bundle"
)

// Finding is one entry that its author probably did not intend.
type Finding struct {
	// Rule names the kind of finding and does not change between versions.
	Rule string `json:"rule"`
	// Place names the entry, such as tenants[clinic].quota.
	Place   string `json:"place"`
	Message string `json:"message"`
}

// String returns the finding as one line of readable text.
func (f Finding) String() string { return fmt.Sprintf("%s: %s (%s)", f.Place, f.Message, f.Rule) }

// Rules of findings.
const (
	RuleUnreachableRoute = "unreachable-route"
	RuleUnknownService   = "unknown-service"
	RuleUnusedService    = "unused-service"
	RuleUnusedPart       = "unused-part"
	RuleUnusedClass      = "unused-class"
	RuleTimeout          = "timeout-below-objective"
	RuleAttempts         = "attempts-without-effect"
	RuleBody             = "body-above-memory"
	RuleKeys             = "keys-without-effect"
	RuleNoKeys           = "organisation-without-keys"
	RuleQuota            = "quota-above-capacity"
	RuleLimit            = "limit-without-effect"
)

// Options are facts about the fleet that a bundle does not state.
type Options struct {
	// NodeMemory is the memory of the smallest node in bytes; 0 if it is not
	// known.
	NodeMemory int64
}

// memoryShare is the part of a node's memory that the body of a single request
// may take.
const memoryShare = 4

// Check returns the findings of a valid bundle, ordered by place.
func Check(b *bundle.Bundle, o Options) []Finding {
	c := &checker{bundle: b, options: o, routed: make(map[string]bool)}
	c.checkHostRoutes()
	c.checkServices()
	c.checkOrganisations()
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return strings.Compare(a.Place, b.Place) })
	return c.findings
}

type checker struct {
	bundle   *bundle.Bundle
	options  Options
	findings []Finding
	// routed holds the services that a route leads to.
	routed map[string]bool
}

func (c *checker) report(rule, place, format string, args ...any) {
	c.findings = append(c.findings, Finding{Rule: rule, Place: place, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkHostRoutes() {
	type address struct{ host, prefix string }
	first := make(map[address]string)
	for i := range c.bundle.Hosts {
		r := &c.bundle.Hosts[i]
		place := "routes[" + r.Name + "]"
		at := address{r.Host, r.Prefix}
		if earlier, ok := first[at]; ok {
			c.report(RuleUnreachableRoute, place, "never matches: route %q has the same host %s and prefix %s", earlier, r.Host, r.Prefix)
		} else {
			first[at] = r.Name
		}
		switch {
		case r.Host == "":
			c.report(RuleUnreachableRoute, place, "never matches: the host is empty")
		case !strings.HasPrefix(r.Prefix, "/"):
			c.report(RuleUnreachableRoute, place, "never matches: the prefix %q does not begin with a slash", r.Prefix)
		case strings.ContainsAny(r.Prefix, "?#"):
			c.report(RuleUnreachableRoute, place, "never matches: the prefix %q contains a query or fragment", r.Prefix)
		}
		for _, part := range r.Services {
			c.routed[part.Service] = true
			if c.bundle.Service(part.Service) == nil {
				c.report(RuleUnknownService, place, "leads to service %q, which is not defined", part.Service)
			}
			if part.Weight <= 0 {
				c.report(RuleUnusedPart, place, "service %q has weight %d and gets no requests", part.Service, part.Weight)
			}
		}
		c.checkClass(place, &r.Class)
	}
}

func (c *checker) checkClass(place string, class *bundle.Class) {
	if class.Objective > class.Deadline {
		c.report(RuleTimeout, place, "the timeout of %v is below the latency objective of %v", class.Deadline.AsDuration(), class.Objective.AsDuration())
	}
	if class.Expected > class.Deadline {
		c.report(RuleTimeout, place, "the timeout of %v is below the expected run time of %v", class.Deadline.AsDuration(), class.Expected.AsDuration())
	}
	if c.options.NodeMemory > 0 && class.MaxBody > c.options.NodeMemory/memoryShare {
		c.report(RuleBody, place, "bodies of up to %d bytes are allowed, more than a quarter of a node's memory of %d bytes", class.MaxBody, c.options.NodeMemory)
	}
}

func (c *checker) checkServices() {
	for i := range c.bundle.Services {
		s := &c.bundle.Services[i]
		place := "services[" + s.Name + "]"
		if len(s.Routes) == 0 && !c.routed[s.Name] {
			c.report(RuleUnusedService, place, "no route leads to the service")
		}
		used := make(map[string]bool)
		for _, r := range s.Routes {
			used[r.Class] = true
		}
		for k := range s.Classes {
			class := &s.Classes[k]
			at := place + ".classes[" + class.Name + "]"
			if !used[class.Name] {
				c.report(RuleUnusedClass, at, "no route has the class")
			}
			c.checkClass(at, class)
			if class.Attempts > s.ExpectedTargets {
				c.report(RuleAttempts, at, "%d attempts need as many targets, and the service has %d", class.Attempts, s.ExpectedTargets)
			}
		}
	}
}

func (c *checker) checkOrganisations() {
	t := &c.bundle.Tenants
	capacity, known := c.capacity()
	for i := range t.Named {
		n := &t.Named[i]
		place := "tenants[" + n.Name + "]"
		switch {
		case t.RequireKeys && len(n.Keys) == 0:
			c.report(RuleNoKeys, place, "has no API key, so that nobody can send requests for it")
		case !t.RequireKeys && len(n.Keys) > 0:
			c.report(RuleKeys, place, "has API keys, but the bundle does not require keys")
		}
		if n.Quota == (bundle.Quota{}) {
			continue
		}
		if known && n.Quota.RequestsPerSecond > capacity {
			c.report(RuleQuota, place+".quota", "%g requests per second are more than the %g that all services can run", n.Quota.RequestsPerSecond, capacity)
		}
		if n.Limit.RequestsPerSecond > n.Quota.RequestsPerSecond && n.Limit.Burst > n.Quota.Burst && n.Limit.RequestsPerSecond < bundle.Unlimited {
			c.report(RuleLimit, place, "the limit of %g requests per second on one node is above the quota of %g on all nodes and never applies", n.Limit.RequestsPerSecond, n.Quota.RequestsPerSecond)
		}
	}
}

// capacity estimates how many requests per second the services can run if each
// request is of the shortest class. known is false if the bundle does not state
// the number of slots and the run times of all services.
func (c *checker) capacity() (perSecond float64, known bool) {
	for i := range c.bundle.Services {
		s := &c.bundle.Services[i]
		shortest := 0.0
		for k := range s.Classes {
			if expected := s.Classes[k].Expected.AsDuration().Seconds(); expected > 0 && (shortest == 0 || expected < shortest) {
				shortest = expected
			}
		}
		if s.Slots == 0 || s.ExpectedTargets == 0 || shortest == 0 {
			return 0, false
		}
		perSecond += float64(s.Slots*s.ExpectedTargets) / shortest
	}
	return perSecond, len(c.bundle.Services) > 0
}
