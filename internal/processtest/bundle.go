package processtest

import (
	"fmt"
	"os"
	"strings"

	"github.com/goccy/go-yaml"

	"siskinvale.dev/siskinvale/internal/load"
)

// bundleFile is the part of a bundle that calls are made from.
type bundleFile struct {
	Services []struct {
		Name    string `yaml:"name"`
		Classes []struct {
			Name       string `yaml:"name"`
			Idempotent bool   `yaml:"idempotent"`
			Length     string `yaml:"length"`
		} `yaml:"classes"`
		Routes []struct {
			Method string `yaml:"method"`
			Path   string `yaml:"path"`
			Class  string `yaml:"class"`
		} `yaml:"routes"`
	} `yaml:"services"`
}

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

// readKinds returns one kind for each class of a bundle that has a route.
func readKinds(file string) ([]Kind, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var b bundleFile
	if err := yaml.Unmarshal(raw, &b); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	var kinds []Kind
	for _, service := range b.Services {
		for _, class := range service.Classes {
			for _, route := range service.Routes {
				if route.Class != class.Name {
					continue
				}
				kind := Kind{Service: service.Name, Class: class.Name, Method: route.Method, Keyed: !class.Idempotent, Long: class.Length == "long"}
				kind.Prefix, kind.Suffix = splitPath(route.Path)
				kinds = append(kinds, kind)
				break
			}
		}
	}
	return kinds, nil
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
