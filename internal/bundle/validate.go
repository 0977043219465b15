package bundle

import (
	"regexp"
	"slices"
	"strings"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/yamlcheck"
)

const (
	// maxDeadline bounds a class's deadline.
	maxDeadline = Duration(time.Hour)
	// minRetryWindow and maxRetryWindow bound how long answers to completed
	// operations are kept. Records of a longer window would not fit a node's
	// memory.
	minRetryWindow = Duration(time.Minute)
	maxRetryWindow = Duration(24 * time.Hour)
	// longDeadlineFactor is how many expected times the deadline of a long
	// class must cover at least. Long requests never hold every slot, so one
	// often waits for another one to finish.
	longDeadlineFactor = 2
	// minSlotsForLong is how many slots a service with a long class needs,
	// because long requests never hold every slot.
	minSlotsForLong = 2
)

// methods are the accepted request methods.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

var (
	nameFormat  = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	keyIDFormat = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]*$`)
)

// validator checks values that were decoded. A field that is missing or could
// not be decoded has its own finding already and is not checked again.
type validator struct {
	*yamlcheck.Decoder
}

// has reports whether all fields were decoded.
func (v validator) has(fields ...any) bool {
	for _, f := range fields {
		if _, ok := v.Positions[f]; !ok {
			return false
		}
	}
	return true
}

// at records a finding at a decoded field.
func (v validator) at(field any, format string, args ...any) {
	if p, ok := v.Positions[field]; ok {
		v.AddAt(p, format, args...)
	}
}

// line returns the line of a decoded field.
func (v validator) line(field any) int {
	if p := v.Positions[field]; p != nil {
		return p.Line
	}
	return 0
}

func (v validator) bundle(b *Bundle) {
	v.name(&b.Name, "the bundle's name")
	if b.Version == 0 {
		v.at(&b.Version, "version must be at least 1")
	}
	v.signers(&b.Signers)
	v.dataCentres(&b.DataCentres)
	if len(b.Services) == 0 {
		v.at(&b.Services, "services: at least one is needed")
	}
	seen := names{validator: v, kind: "service"}
	for i := range b.Services {
		v.service(&b.Services[i])
		seen.add(&b.Services[i].Name)
	}
	v.tenants(&b.Tenants)
}

// name checks that a name is a DNS label.
func (v validator) name(s *string, what string) {
	switch {
	case !v.has(s):
	case len(*s) > maxName:
		v.at(s, "%s is %d characters long; at most %d are allowed", what, len(*s), maxName)
	case !nameFormat.MatchString(*s):
		v.at(s, "%s %q must consist of lower-case letters, digits and inner hyphens", what, *s)
	}
}

// names finds duplicates among the names of one list.
type names struct {
	validator
	kind string
	seen map[string]*string
}

func (n *names) add(s *string) {
	if !n.has(s) {
		return
	}
	if first, ok := n.seen[*s]; ok {
		n.at(s, "%s %q is already declared in line %d", n.kind, *s, n.line(first))
		return
	}
	if n.seen == nil {
		n.seen = make(map[string]*string)
	}
	n.seen[*s] = s
}

func (v validator) signers(s *Signers) {
	// Author and approver are different people, so one key has one role; a
	// key in both lists could otherwise stand for both.
	seen := names{validator: v, kind: "signer"}
	for _, list := range []*[]string{&s.Authors, &s.Approvers} {
		if len(*list) == 0 {
			v.at(list, "at least one signer is needed")
		}
		for i := range *list {
			id := &(*list)[i]
			if v.has(id) && !keyIDFormat.MatchString(*id) {
				v.at(id, "key identifier %q must consist of letters, digits and . _ @ -", *id)
			}
			seen.add(id)
		}
	}
}

func (v validator) dataCentres(list *[]DataCentre) {
	if len(*list) == 0 {
		v.at(list, "dataCentres: at least one is needed")
	}
	seen := names{validator: v, kind: "data centre"}
	for i := range *list {
		dc := &(*list)[i]
		v.name(&dc.Name, "data centre name")
		v.name(&dc.Region, "region")
		seen.add(&dc.Name)
	}
}

func (v validator) service(s *Service) {
	v.name(&s.Name, "service name")
	v.inRange(&s.Slots, "slots", 1, MaxSlots)
	if s.ExpectedTargets < 1 {
		v.at(&s.ExpectedTargets, "expectedTargets must be at least 1")
	}
	if s.Floor < 1 {
		v.at(&s.Floor, "floor must be at least 1, or every target could be ejected")
	}
	if v.has(&s.Floor, &s.ExpectedTargets) && s.Floor > s.ExpectedTargets {
		v.at(&s.Floor, "floor %d is above expectedTargets %d", s.Floor, s.ExpectedTargets)
	}
	v.operations(s)
	if len(s.Classes) == 0 {
		v.at(&s.Classes, "service %s: at least one class is needed", s.Name)
	}
	if len(s.Routes) == 0 {
		v.at(&s.Routes, "service %s: at least one route is needed", s.Name)
	}
	seen := names{validator: v, kind: "class"}
	for i := range s.Classes {
		v.class(&s.Classes[i])
		seen.add(&s.Classes[i].Name)
	}
	v.lengths(s)
	v.routes(s)
}

func (v validator) inRange(n *int, what string, low, high int) {
	if *n < low || *n > high {
		v.at(n, "%s is %d; it must be in %d..%d", what, *n, low, high)
	}
}

func (v validator) operations(s *Service) {
	o := &s.Operations
	v.inRange(&o.Ranges, "ranges", MinRanges, MaxRanges)
	if o.RetryWindow < minRetryWindow || o.RetryWindow > maxRetryWindow {
		v.at(&o.RetryWindow, "retryWindow is %s; it must be in %s..%s", o.RetryWindow, minRetryWindow, maxRetryWindow)
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if !v.has(&c.IdempotencyKey) || c.IdempotencyKey == KeyNone {
			continue
		}
		if !v.has(o) {
			v.at(&c.IdempotencyKey, "class %s takes idempotency keys, but service %s has no operations", c.Name, s.Name)
		}
		if v.has(&c.Deadline, &o.RetryWindow) && c.Deadline > o.RetryWindow {
			v.at(&c.Deadline, "deadline %s of class %s is longer than retryWindow %s, so a repeated key could run again", c.Deadline, c.Name, o.RetryWindow)
		}
	}
}

func (v validator) class(c *Class) {
	v.name(&c.Name, "class name")
	v.inRange(&c.Attempts, "attempts", 1, MaxAttempts)
	if c.MaxBody < 0 || c.MaxBody > MaxBody {
		v.at(&c.MaxBody, "maxBody is %d; it must be in 0..%d bytes", c.MaxBody, int64(MaxBody))
	}
	if v.has(&c.Idempotent) && !c.Idempotent {
		if c.Attempts > 1 {
			v.at(&c.Attempts, "class %s is not idempotent, so attempts must be 1, not %d", c.Name, c.Attempts)
		}
		if c.IdempotencyKey == KeyNone {
			v.at(&c.IdempotencyKey, "class %s is not idempotent, so idempotencyKey must be required or optional; without a key a caller's repetition would run twice", c.Name)
		}
	}
	v.times(c)
}

func (v validator) times(c *Class) {
	if c.Deadline <= 0 || c.Deadline > maxDeadline {
		v.at(&c.Deadline, "deadline is %s; it must be above 0 and at most %s", c.Deadline, maxDeadline)
		return
	}
	if c.Expected <= 0 {
		v.at(&c.Expected, "expected is %s; it must be above 0", c.Expected)
		return
	}
	if !v.has(&c.Deadline, &c.Expected) {
		return
	}
	if c.Expected > c.Deadline {
		v.at(&c.Deadline, "deadline %s of class %s is shorter than its expected time %s", c.Deadline, c.Name, c.Expected)
		return
	}
	if v.has(&c.Length) && c.Length == fleet.Long && c.Deadline/longDeadlineFactor < c.Expected {
		v.at(&c.Deadline, "deadline %s of long class %s is too short: it must be at least %d times its expected time %s", c.Deadline, c.Name, longDeadlineFactor, c.Expected)
	}
}

// lengths compares the classes of a service with each other.
func (v validator) lengths(s *Service) {
	var long *Class
	for i := range s.Classes {
		c := &s.Classes[i]
		if v.has(&c.Length, &c.Expected) && c.Length == fleet.Long && (long == nil || c.Expected < long.Expected) {
			long = c
		}
	}
	if long == nil {
		return
	}
	if v.has(&s.Slots) && s.Slots < minSlotsForLong {
		v.at(&s.Slots, "service %s has long class %s and needs at least %d slots, because long requests never hold every slot", s.Name, long.Name, minSlotsForLong)
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if v.has(&c.Length, &c.Expected) && c.Length == fleet.Short && c.Expected >= long.Expected {
			v.at(&c.Expected, "short class %s is expected to take %s, at least as long as long class %s (%s)", c.Name, c.Expected, long.Name, long.Expected)
		}
	}
}

func (v validator) routes(s *Service) {
	classNames := make([]string, 0, len(s.Classes))
	known := make(map[string]bool, len(s.Classes))
	allNamed := true
	for i := range s.Classes {
		classNames = append(classNames, s.Classes[i].Name)
		known[s.Classes[i].Name] = true
		allNamed = allNamed && v.has(&s.Classes[i].Name)
	}
	used := make(map[string]bool, len(s.Classes))
	trees := make(map[string]*routeNode)
	for i := range s.Routes {
		r := &s.Routes[i]
		used[r.Class] = true
		if allNamed && v.has(&r.Class) && !known[r.Class] {
			v.at(&r.Class, "unknown class %s in service %s%s", r.Class, s.Name, yamlcheck.Suggestion(r.Class, classNames))
		}
		if v.method(r) && v.path(r) {
			v.hidden(s, i, trees)
		}
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if v.has(&s.Routes, &c.Name) && len(s.Routes) > 0 && !used[c.Name] {
			v.at(&c.Name, "class %s of service %s is used by no route", c.Name, s.Name)
		}
	}
}

func (v validator) method(r *Route) bool {
	if !v.has(&r.Method) {
		return false
	}
	if !slices.Contains(methods, r.Method) {
		v.at(&r.Method, "unknown method %s%s", r.Method, yamlcheck.Suggestion(r.Method, methods))
		return false
	}
	return true
}

func (v validator) path(r *Route) bool {
	if !v.has(&r.Path) {
		return false
	}
	if !strings.HasPrefix(r.Path, "/") {
		v.at(&r.Path, "path %q must start with /", r.Path)
		return false
	}
	if strings.ContainsAny(r.Path, "?# \t") || !canonical(r.Path) {
		v.at(&r.Path, "path %q must not contain a query, blanks, empty or dot segments, backslashes or unneeded escapes; no request would match it", r.Path)
		return false
	}
	segments := strings.Split(r.Path[1:], "/")
	params := make(map[string]bool)
	for i, segment := range segments {
		switch {
		case segment == ":":
			v.at(&r.Path, "path %q has a parameter without a name", r.Path)
		case isParam(segment) && params[segment]:
			v.at(&r.Path, "path %q has parameter %s twice", r.Path, segment)
		case strings.Contains(segment, "*") && (segment != "*" || i != len(segments)-1):
			v.at(&r.Path, "path %q: * may only be the whole last segment", r.Path)
		default:
			params[segment] = true
			continue
		}
		return false
	}
	return true
}

// hidden reports a route that never applies because an earlier one matches
// all its requests.
func (v validator) hidden(s *Service, number int, trees map[string]*routeNode) {
	r := &s.Routes[number]
	tree := trees[r.Method]
	if tree == nil {
		tree = newRouteNode()
		trees[r.Method] = tree
	}
	if by := tree.covering(r.Path[1:]); by != noRoute {
		earlier := &s.Routes[by]
		v.at(&r.Path, "route %s %s is hidden by route %s %s in line %d", r.Method, r.Path, earlier.Method, earlier.Path, v.line(&earlier.Path))
		return
	}
	tree.insert(r.Path[1:], number)
}

func (v validator) tenants(t *Tenants) {
	v.limit(&t.Default)
	seen := names{validator: v, kind: "tenant"}
	for i := range t.Named {
		n := &t.Named[i]
		if v.has(&n.Name) && n.Name == "" {
			v.at(&n.Name, "tenant name is empty")
		}
		seen.add(&n.Name)
		v.limit(&n.Limit)
	}
}

func (v validator) limit(l *Limit) {
	if l.RequestsPerSecond <= 0 {
		v.at(&l.RequestsPerSecond, "requestsPerSecond must be above 0")
	}
	if l.Burst < 1 {
		v.at(&l.Burst, "burst must be at least 1, or every request would be refused")
	}
	v.inRange(&l.Weight, "weight", 1, MaxWeight)
}
