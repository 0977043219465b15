package bundle

import "strings"

// Route patterns and paths are compared segment by segment: "/a/:id/*" has the
// segments "a", ":id" and "*". A ":name" segment matches one segment that is
// not empty. A final "*" matches the rest of the path, which may be empty:
// "/a/*" matches "/a/" and "/a/b/c", but not "/a".

// index finds the route of a request without a linear search over the routes.
type index struct {
	services map[string]*serviceIndex
	// organisations holds positions in Tenants.Named by name.
	organisations map[string]int32
	keys          keyIndex
	// ranked is set if API keys identify organisations and one of them has a
	// rank.
	ranked bool
}

type serviceIndex struct {
	service *Service
	// classes holds the class of each route, by route number.
	classes []*Class
	methods map[string]*routeNode
}

// routeNode is one node of a tree of path segments. Route numbers are
// positions in Service.Routes; noRoute means that there is no route.
type routeNode struct {
	literal map[string]*routeNode
	param   *routeNode
	// exactRoute is the route whose pattern ends at this node. prefixRoute is
	// the route whose pattern has a final "*" below this node.
	exactRoute, prefixRoute int
	// minRoute is the lowest route number in the subtree of this node. A search
	// skips the subtree when it has already found a lower number.
	minRoute int
}

const noRoute = int(^uint(0) >> 1)

func newRouteNode() *routeNode {
	return &routeNode{exactRoute: noRoute, prefixRoute: noRoute, minRoute: noRoute}
}

// emptyIndex returns an index with the named tenants of b and no services.
func emptyIndex(b *Bundle) *index {
	ix := &index{
		services:      make(map[string]*serviceIndex, len(b.Services)),
		organisations: make(map[string]int32, len(b.Tenants.Named)),
		keys:          newKeyIndex(b.Tenants.Named),
	}
	for i := range b.Tenants.Named {
		ix.organisations[b.Tenants.Named[i].Name] = int32(i)
		ix.ranked = ix.ranked || b.Tenants.RequireKeys && b.Tenants.Named[i].Rank != nil
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
		n.minRoute = min(n.minRoute, number)
		segment, rest, more := strings.Cut(pattern, "/")
		if segment == "*" && !more {
			n.prefixRoute = min(n.prefixRoute, number)
			return
		}
		n = n.child(segment)
		if !more {
			n.minRoute = min(n.minRoute, number)
			n.exactRoute = min(n.exactRoute, number)
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

// find returns the lowest route number that is below best and matches path, or
// best if there is none.
func (n *routeNode) find(path string, best int) int {
	best = min(best, n.prefixRoute)
	segment, rest, more := strings.Cut(path, "/")
	if next := n.literal[segment]; next != nil {
		best = next.descend(rest, more, best)
	}
	if n.param != nil && segment != "" {
		best = n.param.descend(rest, more, best)
	}
	return best
}

func (n *routeNode) descend(rest string, more bool, best int) int {
	if n.minRoute >= best {
		return best
	}
	if more {
		return n.find(rest, best)
	}
	return min(best, n.exactRoute)
}

// findCovering returns a route that matches every path that pattern matches, or
// noRoute.
func (n *routeNode) findCovering(pattern string) int {
	if n.prefixRoute != noRoute {
		return n.prefixRoute
	}
	segment, rest, more := strings.Cut(pattern, "/")
	if segment == "*" && !more {
		return noRoute
	}
	best := noRoute
	if !isParam(segment) {
		if next := n.literal[segment]; next != nil {
			best = next.descendCovering(rest, more)
		}
	}
	if n.param != nil && segment != "" {
		best = min(best, n.param.descendCovering(rest, more))
	}
	return best
}

func (n *routeNode) descendCovering(rest string, more bool) int {
	if more {
		return n.findCovering(rest)
	}
	return n.exactRoute
}

func isParam(segment string) bool { return strings.HasPrefix(segment, ":") }

// Match returns the named service and the class of its first route that
// matches method and path; the last result reports whether there is one. path
// is the escaped path without the query (url.URL.EscapedPath). A path that a
// target could interpret as another path matches no route; see isCanonical. The
// service is returned even when no route matches. Match does not allocate.
func (b *Bundle) Match(service, method, path string) (*Service, *Class, bool) {
	if b.index == nil {
		return b.matchLinear(service, method, path)
	}
	si := b.index.services[service]
	if si == nil {
		return nil, nil, false
	}
	root := si.methods[method]
	if root == nil || !isCanonical(path) {
		return si.service, nil, false
	}
	number := root.find(path[1:], noRoute)
	if number == noRoute {
		return si.service, nil, false
	}
	return si.service, si.classes[number], true
}

// matchLinear compares the request with each route in turn. Match uses it for
// bundles without an index, and tests compare the index with it.
func (b *Bundle) matchLinear(service, method, path string) (*Service, *Class, bool) {
	s := b.Service(service)
	if s == nil || !isCanonical(path) {
		return s, nil, false
	}
	for _, r := range s.Routes {
		if r.Method == method && patternMatches(r.Path, path) {
			class := s.Class(r.Class)
			return s, class, class != nil
		}
	}
	return s, nil, false
}

func patternMatches(pattern, path string) bool {
	for {
		patternSegment, restOfPattern, morePattern := strings.Cut(pattern, "/")
		if patternSegment == "*" && !morePattern {
			return true
		}
		pathSegment, restOfPath, morePath := strings.Cut(path, "/")
		if isParam(patternSegment) && pathSegment == "" || !isParam(patternSegment) && patternSegment != pathSegment || morePattern != morePath {
			return false
		}
		if !morePattern {
			return true
		}
		pattern, path = restOfPattern, restOfPath
	}
}

// isCanonical reports whether a path can be interpreted in one way only. Dot
// segments, empty segments, backslashes and escapes of characters that need
// none (RFC 3986, section 6.2.2) could make a target run another operation than
// the one whose class was applied, for example a write that is not idempotent
// with the retries of a lookup.
func isCanonical(path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}
	for i := 0; i < len(path); i++ {
		switch path[i] {
		case '\\':
			return false
		case '/':
			if !isCanonicalSegment(path[i+1:]) {
				return false
			}
		case '%':
			if i+2 >= len(path) || !isCanonicalEscape(path[i+1], path[i+2]) {
				return false
			}
		}
	}
	return true
}

// isCanonicalSegment reports whether the segment at the start of rest, which
// follows a slash, is neither a dot segment nor empty. The last segment of a
// path may be empty.
func isCanonicalSegment(rest string) bool {
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

func isCanonicalEscape(high, low byte) bool {
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
