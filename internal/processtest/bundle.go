package processtest

import (
	"fmt"
	"os"
	"strings"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/load"
)

// Kind describes the requests of one class of a service, sent through one of
// the routes of that class.
type Kind struct {
	Service, Class string
	Method         string
	// Prefix is the path of the route up to its first parameter.
	Prefix string
	// Suffix is the path after the number that replaces the first parameter;
	// "-" if the route has no parameter.
	Suffix string
	// Keyed says that each request needs an idempotency key.
	Keyed bool
	// Long says that the class has the length "long".
	Long bool
	// Size is the size of the answer's body in bytes; 0 if the body is one
	// line.
	Size int
}

// Name returns "service/class".
func (k Kind) Name() string { return k.Service + "/" + k.Class }

// Request returns the n-th request of this kind, with a new idempotency key if
// the kind is keyed.
func (k Kind) Request(n int) load.Request {
	uri := k.Prefix
	if k.Suffix != noParameter {
		uri += fmt.Sprint(n%1000) + k.Suffix
	}
	r := load.Request{
		Kind: k.Name(), Service: k.Service, Method: k.Method,
		URI: fmt.Sprintf("%s?n=%d", uri, n), Size: k.Size,
	}
	if k.Method != "GET" && k.Method != "DELETE" {
		r.Body = fmt.Appendf(nil, `{"n":%d}`, n)
	}
	if k.Keyed {
		r.Key = load.NewKey()
	}
	return r
}

// noParameter is the Suffix of a route without a parameter.
const noParameter = "-"

// readBundle reads and parses a bundle file. Any finding is an error.
func readBundle(file string) (*bundle.Bundle, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	b, findings := bundle.Parse(file, raw)
	if len(findings) > 0 {
		return nil, fmt.Errorf("invalid bundle file: %d findings, first: %s", len(findings), findings[0])
	}
	return b, nil
}

// scaleBundle adapts the expected targets and floors of a bundle to a fleet
// with the given number of targets of each service. With the floors of a
// full-size fleet, no target of a small fleet could ever be ejected.
func scaleBundle(b *bundle.Bundle, targets int) {
	for i := range b.Services {
		s := &b.Services[i]
		s.Floor = max(1, s.Floor*targets/s.ExpectedTargets)
		s.ExpectedTargets = targets
	}
}

// kindsOf returns one kind for each class with a route, using the first route
// of the class.
func kindsOf(b *bundle.Bundle) []Kind {
	var kinds []Kind
	for _, service := range b.Services {
		for _, class := range service.Classes {
			for _, route := range service.Routes {
				if route.Class != class.Name {
					continue
				}
				kind := Kind{
					Service: service.Name, Class: class.Name, Method: route.Method,
					Keyed: class.IdempotencyKey == bundle.KeyRequired, Long: class.Length == fleet.Long,
				}
				kind.Prefix, kind.Suffix = splitPath(route.Path)
				if kind.Long && kind.Suffix != noParameter {
					// The target stand-in selects the run time by the prefix of
					// the path, which a route of a short class may share.
					kind.Prefix += "long-"
				}
				kinds = append(kinds, kind)
				break
			}
		}
	}
	return kinds
}

// splitPath splits the path of a route at its first parameter. Later parameters
// are replaced by "1".
func splitPath(path string) (prefix, suffix string) {
	segments := strings.Split(path, "/")
	for i, segment := range segments {
		if segment != "*" && !strings.HasPrefix(segment, ":") {
			continue
		}
		if prefix == "" {
			prefix, segments[i] = strings.Join(segments[:i], "/")+"/", ""
			continue
		}
		segments[i] = "1"
	}
	if prefix == "" {
		return path, noParameter
	}
	return prefix, strings.TrimPrefix(strings.Join(segments, "/"), prefix)
}
