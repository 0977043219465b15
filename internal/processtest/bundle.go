package processtest

import (
	"fmt"
	"os"
	"strings"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/load"
)

// Kind is one class of calls of one service, with a route that leads to it.
type Kind struct {
	Service, Class string
	Method         string
	// Prefix is the literal start of the route's path.
	Prefix string
	// Suffix follows the number that takes the place of the first parameter.
	Suffix string
	// Keyed calls need an idempotency key.
	Keyed bool
	Long  bool
	// Size is the size of the answer in bytes, 0 for one line.
	Size int
}

// Name is service/class.
func (k Kind) Name() string { return k.Service + "/" + k.Class }

// Request makes the n-th request of this kind.
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

// noParameter marks a route without a parameter.
const noParameter = "-"

// readBundle parses a bundle file.
func readBundle(file string) (*bundle.Bundle, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	b, findings := bundle.Parse(file, raw)
	if len(findings) > 0 {
		return nil, fmt.Errorf("%d findings, first: %s", len(findings), findings[0])
	}
	return b, nil
}

// scale fits the expected targets and floors of a bundle to a fleet with the
// given number of targets of each service. With the floors of a full fleet, no
// target of a small one could ever be ejected.
func scale(b *bundle.Bundle, targets int) {
	for i := range b.Services {
		s := &b.Services[i]
		s.Floor = max(1, s.Floor*targets/s.ExpectedTargets)
		s.ExpectedTargets = targets
	}
}

// kindsOf returns one kind for each class of a bundle that has a route.
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
					// The target stand-in tells long work by the start of its path,
					// which a route of short work may share.
					kind.Prefix += "long-"
				}
				kinds = append(kinds, kind)
				break
			}
		}
	}
	return kinds
}

// splitPath splits a route at its first parameter; later parameters get a
// fixed value.
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
