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
	// maxDeadline is the longest deadline of a class.
	maxDeadline = Duration(time.Hour)
	// minRetryWindow and maxRetryWindow bound how long answers to completed
	// operations are kept. The records of a longer window would not fit into
	// the memory of a node.
	minRetryWindow = Duration(time.Minute)
	maxRetryWindow = Duration(24 * time.Hour)
	// longDeadlineFactor is the smallest allowed ratio of the deadline of a
	// long class to its expected run time. Long requests never occupy all slots
	// of a target, so a long request often waits until another one finishes.
	longDeadlineFactor = 2
	// minSlotsForLong is the smallest number of slots of a service with a long
	// class, because long requests never occupy all slots of a target.
	minSlotsForLong = 2
)

// methods are the accepted request methods.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

var (
	nameFormat  = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	keyIDFormat = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]*$`)
)

// validator checks the values of a decoded bundle. The decoder has already
// reported fields that are missing or could not be decoded, so the validator
// adds no findings for them.
type validator struct {
	*yamlcheck.Decoder
}

// decoded reports whether all the given fields were decoded.
func (v validator) decoded(fields ...any) bool {
	for _, f := range fields {
		if _, ok := v.Positions[f]; !ok {
			return false
		}
	}
	return true
}

// report adds a finding at the position of a field, if it was decoded.
func (v validator) report(field any, format string, args ...any) {
	if p, ok := v.Positions[field]; ok {
		v.AddFinding(p, format, args...)
	}
}

// lineOf returns the line number of a decoded field, or 0.
func (v validator) lineOf(field any) int {
	if p := v.Positions[field]; p != nil {
		return p.Line
	}
	return 0
}

func (v validator) checkBundle(b *Bundle) {
	v.checkName(&b.Name, "the bundle's name")
	if b.Version == 0 {
		v.report(&b.Version, "version must be at least 1")
	}
	v.checkSigners(&b.Signers)
	v.checkDataCentres(&b.DataCentres)
	if len(b.Services) == 0 {
		v.report(&b.Services, "services: at least one is needed")
	}
	seen := duplicateFinder{validator: v, kind: "service"}
	for i := range b.Services {
		v.checkService(&b.Services[i])
		seen.add(&b.Services[i].Name)
	}
	v.checkTenants(&b.Tenants)
}

// checkName checks that a name is a DNS label. what describes the name in
// findings.
func (v validator) checkName(s *string, what string) {
	switch {
	case !v.decoded(s):
	case len(*s) > maxNameLength:
		v.report(s, "%s is %d characters long; at most %d are allowed", what, len(*s), maxNameLength)
	case !nameFormat.MatchString(*s):
		v.report(s, "%s %q must consist of lower-case letters, digits and inner hyphens", what, *s)
	}
}

// duplicateFinder reports names that are declared more than once in a list.
type duplicateFinder struct {
	validator
	kind string
	seen map[string]*string
}

func (f *duplicateFinder) add(s *string) {
	if !f.decoded(s) {
		return
	}
	if first, ok := f.seen[*s]; ok {
		f.report(s, "%s %q is already declared in line %d", f.kind, *s, f.lineOf(first))
		return
	}
	if f.seen == nil {
		f.seen = make(map[string]*string)
	}
	f.seen[*s] = s
}

func (v validator) checkSigners(s *Signers) {
	// The author and the approver must be different people. A key in both
	// lists would let one person sign in both roles.
	seen := duplicateFinder{validator: v, kind: "signer"}
	for _, list := range []*[]string{&s.Authors, &s.Approvers} {
		if len(*list) == 0 {
			v.report(list, "at least one signer is needed")
		}
		for i := range *list {
			id := &(*list)[i]
			if v.decoded(id) && !keyIDFormat.MatchString(*id) {
				v.report(id, "key identifier %q must consist of letters, digits and . _ @ -", *id)
			}
			seen.add(id)
		}
	}
}

func (v validator) checkDataCentres(list *[]DataCentre) {
	if len(*list) == 0 {
		v.report(list, "dataCentres: at least one is needed")
	}
	seen := duplicateFinder{validator: v, kind: "data centre"}
	for i := range *list {
		dc := &(*list)[i]
		v.checkName(&dc.Name, "data centre name")
		v.checkName(&dc.Region, "region")
		seen.add(&dc.Name)
	}
}

func (v validator) checkService(s *Service) {
	v.checkName(&s.Name, "service name")
	v.checkRange(&s.Slots, "slots", 1, MaxSlots)
	if s.ExpectedTargets < 1 {
		v.report(&s.ExpectedTargets, "expectedTargets must be at least 1")
	}
	if s.Floor < 1 {
		v.report(&s.Floor, "floor must be at least 1, or every target could be ejected")
	}
	if v.decoded(&s.Floor, &s.ExpectedTargets) && s.Floor > s.ExpectedTargets {
		v.report(&s.Floor, "floor %d is above expectedTargets %d", s.Floor, s.ExpectedTargets)
	}
	v.checkOperations(s)
	if len(s.Classes) == 0 {
		v.report(&s.Classes, "service %s: at least one class is needed", s.Name)
	}
	if len(s.Routes) == 0 {
		v.report(&s.Routes, "service %s: at least one route is needed", s.Name)
	}
	seen := duplicateFinder{validator: v, kind: "class"}
	for i := range s.Classes {
		v.checkClass(&s.Classes[i])
		seen.add(&s.Classes[i].Name)
	}
	v.checkLengths(s)
	v.checkRoutes(s)
}

func (v validator) checkRange(n *int, what string, low, high int) {
	if *n < low || *n > high {
		v.report(n, "%s is %d; it must be in %d..%d", what, *n, low, high)
	}
}

func (v validator) checkOperations(s *Service) {
	o := &s.Operations
	v.checkRange(&o.Ranges, "ranges", MinRanges, MaxRanges)
	if o.RetryWindow < minRetryWindow || o.RetryWindow > maxRetryWindow {
		v.report(&o.RetryWindow, "retryWindow is %s; it must be in %s..%s", o.RetryWindow, minRetryWindow, maxRetryWindow)
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if !v.decoded(&c.IdempotencyKey) || c.IdempotencyKey == KeyNone {
			continue
		}
		if !v.decoded(o) {
			v.report(&c.IdempotencyKey, "class %s takes idempotency keys, but service %s has no operations", c.Name, s.Name)
		}
		if v.decoded(&c.Deadline, &o.RetryWindow) && c.Deadline > o.RetryWindow {
			v.report(&c.Deadline, "deadline %s of class %s is longer than retryWindow %s, so a repeated key could run again", c.Deadline, c.Name, o.RetryWindow)
		}
	}
}

func (v validator) checkClass(c *Class) {
	v.checkName(&c.Name, "class name")
	v.checkRange(&c.Attempts, "attempts", 1, MaxAttempts)
	if c.MaxBody < 0 || c.MaxBody > MaxBodyBytes {
		v.report(&c.MaxBody, "maxBody is %d; it must be in 0..%d bytes", c.MaxBody, int64(MaxBodyBytes))
	}
	if v.decoded(&c.Idempotent) && !c.Idempotent {
		if c.Attempts > 1 {
			v.report(&c.Attempts, "class %s is not idempotent, so attempts must be 1, not %d", c.Name, c.Attempts)
		}
		if c.IdempotencyKey == KeyNone {
			v.report(&c.IdempotencyKey, "class %s is not idempotent, so idempotencyKey must be required or optional; without a key a caller's repetition would run twice", c.Name)
		}
	}
	v.checkTimes(c)
}

func (v validator) checkTimes(c *Class) {
	if c.Deadline <= 0 || c.Deadline > maxDeadline {
		v.report(&c.Deadline, "deadline is %s; it must be above 0 and at most %s", c.Deadline, maxDeadline)
		return
	}
	if c.Expected <= 0 {
		v.report(&c.Expected, "expected is %s; it must be above 0", c.Expected)
		return
	}
	if !v.decoded(&c.Deadline, &c.Expected) {
		return
	}
	if c.Expected > c.Deadline {
		v.report(&c.Deadline, "deadline %s of class %s is shorter than its expected time %s", c.Deadline, c.Name, c.Expected)
		return
	}
	if v.decoded(&c.Length) && c.Length == fleet.Long && c.Deadline/longDeadlineFactor < c.Expected {
		v.report(&c.Deadline, "deadline %s of long class %s is too short: it must be at least %d times its expected time %s", c.Deadline, c.Name, longDeadlineFactor, c.Expected)
	}
}

// checkLengths checks that a service with a long class has enough slots, and
// that short classes have shorter expected run times than all long classes.
func (v validator) checkLengths(s *Service) {
	var long *Class
	for i := range s.Classes {
		c := &s.Classes[i]
		if v.decoded(&c.Length, &c.Expected) && c.Length == fleet.Long && (long == nil || c.Expected < long.Expected) {
			long = c
		}
	}
	if long == nil {
		return
	}
	if v.decoded(&s.Slots) && s.Slots < minSlotsForLong {
		v.report(&s.Slots, "service %s has long class %s and needs at least %d slots, because long requests never hold every slot", s.Name, long.Name, minSlotsForLong)
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if v.decoded(&c.Length, &c.Expected) && c.Length == fleet.Short && c.Expected >= long.Expected {
			v.report(&c.Expected, "short class %s is expected to take %s, at least as long as long class %s (%s)", c.Name, c.Expected, long.Name, long.Expected)
		}
	}
}

func (v validator) checkRoutes(s *Service) {
	classNames := make([]string, 0, len(s.Classes))
	known := make(map[string]bool, len(s.Classes))
	allNamed := true
	for i := range s.Classes {
		classNames = append(classNames, s.Classes[i].Name)
		known[s.Classes[i].Name] = true
		allNamed = allNamed && v.decoded(&s.Classes[i].Name)
	}
	used := make(map[string]bool, len(s.Classes))
	trees := make(map[string]*routeNode)
	for i := range s.Routes {
		r := &s.Routes[i]
		used[r.Class] = true
		if allNamed && v.decoded(&r.Class) && !known[r.Class] {
			v.report(&r.Class, "unknown class %s in service %s%s", r.Class, s.Name, yamlcheck.Suggestion(r.Class, classNames))
		}
		if v.checkMethod(r) && v.checkPath(r) {
			v.checkHidden(s, i, trees)
		}
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if v.decoded(&s.Routes, &c.Name) && len(s.Routes) > 0 && !used[c.Name] {
			v.report(&c.Name, "class %s of service %s is used by no route", c.Name, s.Name)
		}
	}
}

func (v validator) checkMethod(r *Route) bool {
	if !v.decoded(&r.Method) {
		return false
	}
	if !slices.Contains(methods, r.Method) {
		v.report(&r.Method, "unknown method %s%s", r.Method, yamlcheck.Suggestion(r.Method, methods))
		return false
	}
	return true
}

func (v validator) checkPath(r *Route) bool {
	if !v.decoded(&r.Path) {
		return false
	}
	if !strings.HasPrefix(r.Path, "/") {
		v.report(&r.Path, "path %q must start with /", r.Path)
		return false
	}
	if strings.ContainsAny(r.Path, "?# \t") || !isCanonical(r.Path) {
		v.report(&r.Path, "path %q must not contain a query, blanks, empty or dot segments, backslashes or unneeded escapes; no request would match it", r.Path)
		return false
	}
	segments := strings.Split(r.Path[1:], "/")
	params := make(map[string]bool)
	for i, segment := range segments {
		switch {
		case segment == ":":
			v.report(&r.Path, "path %q has a parameter without a name", r.Path)
		case isParam(segment) && params[segment]:
			v.report(&r.Path, "path %q has parameter %s twice", r.Path, segment)
		case strings.Contains(segment, "*") && (segment != "*" || i != len(segments)-1):
			v.report(&r.Path, "path %q: * may only be the whole last segment", r.Path)
		default:
			params[segment] = true
			continue
		}
		return false
	}
	return true
}

// checkHidden reports a route that never applies because one earlier route
// matches all its requests.
func (v validator) checkHidden(s *Service, number int, trees map[string]*routeNode) {
	r := &s.Routes[number]
	tree := trees[r.Method]
	if tree == nil {
		tree = newRouteNode()
		trees[r.Method] = tree
	}
	if by := tree.findCovering(r.Path[1:]); by != noRoute {
		earlier := &s.Routes[by]
		v.report(&r.Path, "route %s %s is hidden by route %s %s in line %d", r.Method, r.Path, earlier.Method, earlier.Path, v.lineOf(&earlier.Path))
		return
	}
	tree.insert(r.Path[1:], number)
}

func (v validator) checkTenants(t *Tenants) {
	v.checkLimit(&t.Default)
	seen := duplicateFinder{validator: v, kind: "tenant"}
	for i := range t.Named {
		n := &t.Named[i]
		if v.decoded(&n.Name) && n.Name == "" {
			v.report(&n.Name, "tenant name is empty")
		}
		seen.add(&n.Name)
		v.checkLimit(&n.Limit)
		v.checkQuota(&n.Quota)
	}
	v.checkKeys(t)
}

func (v validator) checkQuota(q *Quota) {
	if *q == (Quota{}) {
		return
	}
	if q.RequestsPerSecond <= 0 {
		v.report(&q.RequestsPerSecond, "quota: requestsPerSecond must be above 0")
	}
	if q.Burst < 1 {
		v.report(&q.Burst, "quota: burst must be at least 1, or every request would be refused")
	}
}

// checkKeys finds keys that are given twice.
func (v validator) checkKeys(t *Tenants) {
	owners := make(map[KeyHash]*NamedLimit)
	for i := range t.Named {
		n := &t.Named[i]
		for k := range n.Keys {
			if owner := owners[n.Keys[k]]; owner != nil {
				v.report(&n.Keys[k], "tenant %q has the API key %s of tenant %q", n.Name, n.Keys[k], owner.Name)
				continue
			}
			owners[n.Keys[k]] = n
		}
	}
}

func (v validator) checkLimit(l *Limit) {
	if l.RequestsPerSecond <= 0 {
		v.report(&l.RequestsPerSecond, "requestsPerSecond must be above 0")
	}
	if l.Burst < 1 {
		v.report(&l.Burst, "burst must be at least 1, or every request would be refused")
	}
	v.checkRange(&l.Weight, "weight", 1, MaxWeight)
}
