package bundle

import "strings"

// Patterns and paths are compared segment by segment: "/a/:id/*" has the
// segments "a", ":id" and "*". A ":name" segment matches one segment that is
// not empty. A final "*" matches the rest of the path, which may be empty:
// "/a/*" matches "/a/" and "/a/b/c", but not "/a".

// index finds the route of a request without comparing it with every route.
type index struct {
	services map[string]*serviceIndex
	limits   map[string]Limit // of named tenants
}

type serviceIndex struct {
	service *Service
	// classes holds the class of each route.
	classes []*Class
	methods map[string]*routeNode
}

// routeNode is one node of a tree of path segments. Route numbers are
// positions in Service.Routes; noRoute means none.
type routeNode struct {
	literal map[string]*routeNode
	param   *routeNode
	// exact is the route that ends here, prefix the one that ends in "*" here.
	exact, prefix int
	// least is the lowest route number below this node. It ends a search that
	// can no longer improve.
	least int
}

const noRoute = int(^uint(0) >> 1)

func newRouteNode() *routeNode {
	return &routeNode{exact: noRoute, prefix: noRoute, least: noRoute}
}

// emptyIndex returns an index of the tenants of b, without its services.
func emptyIndex(b *Bundle) *index {
	ix := &index{
		services: make(map[string]*serviceIndex, len(b.Services)),
		limits:   make(map[string]Limit, len(b.Tenants.Named)),
	}
	for _, t := range b.Tenants.Named {
		ix.limits[t.Name] = t.Limit
	}
	return ix
}

func newIndex(b *Bundle) *index {
	ix := emptyIndex(b)
	for i := range b.Services {
		ix.services[b.Services[i].Name] = newServiceIndex(&b.Services[i])
	}
	return ix
}

func newServiceIndex(s *Service) *serviceIndex {
	si := &serviceIndex{service: s, methods: make(map[string]*routeNode)}
	for number, r := range s.Routes {
		si.classes = append(si.classes, s.Class(r.Class))
		root := si.methods[r.Method]
		if root == nil {
			root = newRouteNode()
			si.methods[r.Method] = root
		}
		root.insert(strings.TrimPrefix(r.Path, "/"), number)
	}
	return si
}

func (n *routeNode) insert(pattern string, number int) {
	for {
		n.least = min(n.least, number)
		segment, rest, more := strings.Cut(pattern, "/")
		if segment == "*" && !more {
			n.prefix = min(n.prefix, number)
			return
		}
		n = n.child(segment)
		if !more {
			n.least = min(n.least, number)
			n.exact = min(n.exact, number)
			return
		}
		pattern = rest
	}
}

// child returns the node below n for one segment of a pattern.
func (n *routeNode) child(segment string) *routeNode {
	if isParam(segment) {
		if n.param == nil {
			n.param = newRouteNode()
		}
		return n.param
	}
	next := n.literal[segment]
	if next == nil {
		next = newRouteNode()
		if n.literal == nil {
			n.literal = make(map[string]*routeNode)
		}
		n.literal[segment] = next
	}
	return next
}

// find returns the lowest route number below best that matches path, or best.
func (n *routeNode) find(path string, best int) int {
	best = min(best, n.prefix)
	segment, rest, more := strings.Cut(path, "/")
	if next := n.literal[segment]; next != nil {
		best = next.step(rest, more, best)
	}
	if n.param != nil && segment != "" {
		best = n.param.step(rest, more, best)
	}
	return best
}

func (n *routeNode) step(rest string, more bool, best int) int {
	if n.least >= best {
		return best
	}
	if more {
		return n.find(rest, best)
	}
	return min(best, n.exact)
}

// covering returns a route that matches every path that pattern matches, or
// noRoute.
func (n *routeNode) covering(pattern string) int {
	if n.prefix != noRoute {
		return n.prefix
	}
	segment, rest, more := strings.Cut(pattern, "/")
	if segment == "*" && !more {
		return noRoute
	}
	best := noRoute
	if !isParam(segment) {
		if next := n.literal[segment]; next != nil {
			best = next.coveringStep(rest, more)
		}
	}
	if n.param != nil && segment != "" {
		best = min(best, n.param.coveringStep(rest, more))
	}
	return best
}

func (n *routeNode) coveringStep(rest string, more bool) int {
	if more {
		return n.covering(rest)
	}
	return n.exact
}

func isParam(segment string) bool { return strings.HasPrefix(segment, ":") }

// Match returns the service with a name and the class of the first route that
// matches method and path. The path is the one on the wire without its query
// (url.URL.EscapedPath). A path that a target could read as another path
// matches no route; see canonical. The service is returned even when no route
// matches. Match does not allocate.
func (b *Bundle) Match(service, method, path string) (*Service, *Class, bool) {
	if b.index == nil {
		return b.matchLinear(service, method, path)
	}
	si := b.index.services[service]
	if si == nil {
		return nil, nil, false
	}
	root := si.methods[method]
	if root == nil || !canonical(path) {
		return si.service, nil, false
	}
	number := root.find(path[1:], noRoute)
	if number == noRoute {
		return si.service, nil, false
	}
	return si.service, si.classes[number], true
}

// matchLinear compares the request with each route in turn. It serves bundles
// that were not made by Parse and is the reference for the index in tests.
func (b *Bundle) matchLinear(service, method, path string) (*Service, *Class, bool) {
	s := b.Service(service)
	if s == nil || !canonical(path) {
		return s, nil, false
	}
	for _, r := range s.Routes {
		if r.Method == method && matches(r.Path, path) {
			class := s.Class(r.Class)
			return s, class, class != nil
		}
	}
	return s, nil, false
}

func matches(pattern, path string) bool {
	for {
		want, restOfPattern, morePattern := strings.Cut(pattern, "/")
		if want == "*" && !morePattern {
			return true
		}
		got, restOfPath, morePath := strings.Cut(path, "/")
		if isParam(want) && got == "" || !isParam(want) && want != got || morePattern != morePath {
			return false
		}
		if !morePattern {
			return true
		}
		pattern, path = restOfPattern, restOfPath
	}
}

// canonical reports whether a path has one reading only. Dot segments, empty
// segments, backslashes and escapes of characters that need none (RFC 3986,
// section 6.2.2) could make a target run another operation than the one whose
// class was applied, for example a reveal with the limits of a hint.
func canonical(path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}
	for i := 0; i < len(path); i++ {
		switch path[i] {
		case '\\':
			return false
		case '/':
			if !canonicalSegment(path[i+1:]) {
				return false
			}
		case '%':
			if i+2 >= len(path) || !canonicalEscape(path[i+1], path[i+2]) {
				return false
			}
		}
	}
	return true
}

// canonicalSegment checks the start of the segment that follows a slash.
func canonicalSegment(rest string) bool {
	if rest == "" {
		return true
	}
	switch rest[0] {
	case '/':
		return false
	case '.':
		end := strings.IndexByte(rest, '/')
		if end < 0 {
			end = len(rest)
		}
		return rest[:end] != "." && rest[:end] != ".."
	}
	return true
}

func canonicalEscape(high, low byte) bool {
	h, ok1 := unhex(high)
	l, ok2 := unhex(low)
	c := h<<4 | l
	switch {
	case !ok1 || !ok2:
		return false
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return false
	}
	return strings.IndexByte("-._~/\\", c) < 0
}

func unhex(c byte) (byte, bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10, true
	case c >= 'A' && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}
