// Package bundle defines the versioned configuration of a fleet: its YAML
// format and validation, route matching, content-defined chunking into pieces,
// signatures, and the differences between versions. A Bundle is immutable once
// Parse has returned it.
package bundle

import (
	"fmt"
	"strconv"

	"github.com/goccy/go-yaml"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/yamlcheck"
)

// Limits of the format. docs/bundle.md lists those that belong to the format
// reference.
const (
	// MaxSize is the largest accepted bundle in bytes. A bundle with 18,000
	// routes, the size that the fleet is designed for, takes about 2 MB. The
	// manifest of a bundle of MaxSize bytes still fits into the largest
	// platform value (1 MB).
	MaxSize = 8 << 20
	// MinRanges and MaxRanges bound how many key ranges a service has.
	MinRanges = 64
	MaxRanges = 256
	// MaxSlots is the largest number of slots of one target.
	MaxSlots = 1024
	// MaxAttempts is the largest number of attempts of one request.
	MaxAttempts = 5
	// MaxWeight is the largest weight of one tenant.
	MaxWeight = 1000
	// MaxBodyBytes is the size in bytes of the largest request body that a class
	// may allow.
	MaxBodyBytes = 1 << 30
	// maxNameLength is the length of the longest name in characters. A service
	// name is a DNS label, because the first label of Host can address the
	// service.
	maxNameLength = 63
)

// Bundle is one version of the fleet's configuration.
type Bundle struct {
	Name        string       `yaml:"name" jsonschema:"pattern=^[a-z0-9]([a-z0-9-]*[a-z0-9])?$,maxLength=63"`
	Version     uint64       `yaml:"version" jsonschema:"minimum=1"`
	Signers     Signers      `yaml:"signers"`
	DataCentres []DataCentre `yaml:"dataCentres" jsonschema:"minItems=1"`
	Services    []Service    `yaml:"services" jsonschema:"minItems=1"`
	Tenants     Tenants      `yaml:"tenants"`
	// Hosts holds the routes that are selected by host and longest prefix. The
	// YAML format cannot express them yet; NewHostRouted sets them.
	Hosts []HostRoute `yaml:"-"`

	index *index
	hosts hostIndex
}

// Signers lists the identifiers of the keys that may sign the bundle.
type Signers struct {
	Authors   []string `yaml:"authors" jsonschema:"minItems=1"`
	Approvers []string `yaml:"approvers" jsonschema:"minItems=1"`
}

// DataCentre is one data centre and its region.
type DataCentre struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
}

// Service is one service and the limits that apply to it.
type Service struct {
	Name string `yaml:"name" jsonschema:"pattern=^[a-z0-9]([a-z0-9-]*[a-z0-9])?$,maxLength=63"`
	// Slots is how many requests one target runs at the same time.
	Slots int `yaml:"slots" jsonschema:"minimum=1,maximum=1024"`
	// ExpectedTargets is how many targets the service usually has.
	ExpectedTargets int `yaml:"expectedTargets" jsonschema:"minimum=1"`
	// Floor is the number of targets that ejection always leaves in traffic.
	Floor int `yaml:"floor" jsonschema:"minimum=1"`
	// HealthPath is the path of a health check of a target. It is empty in
	// bundles of siskinvale's own format, whose targets have none.
	HealthPath string     `yaml:"-" json:"-"`
	Operations Operations `yaml:"operations,omitempty"`
	Classes    []Class    `yaml:"classes" jsonschema:"minItems=1"`
	Routes     []Route    `yaml:"routes" jsonschema:"minItems=1"`
}

// Operations configures at-most-once execution. It may be absent from a
// service whose classes accept no idempotency key.
type Operations struct {
	Ranges      int      `yaml:"ranges" jsonschema:"minimum=64,maximum=256"`
	RetryWindow Duration `yaml:"retryWindow"`
}

// Class holds the limits and the priority that apply to a kind of request.
type Class struct {
	Name           string         `yaml:"name" jsonschema:"pattern=^[a-z0-9]([a-z0-9-]*[a-z0-9])?$,maxLength=63"`
	Idempotent     bool           `yaml:"idempotent"`
	IdempotencyKey KeyRule        `yaml:"idempotencyKey"`
	Priority       fleet.Priority `yaml:"priority"`
	Length         fleet.Length   `yaml:"length"`
	// Deadline is the longest time from the caller's request to its answer.
	Deadline Duration `yaml:"deadline"`
	// Expected is the usual run time at a target.
	Expected Duration `yaml:"expected"`
	// Attempts is how often a request may be dispatched, counting the first
	// attempt.
	Attempts int `yaml:"attempts" jsonschema:"minimum=1,maximum=5"`
	// MaxBody is the largest request body in bytes.
	MaxBody int64 `yaml:"maxBody" jsonschema:"minimum=0,maximum=1073741824"`
	// Public marks a class whose requests need no API key.
	Public bool `yaml:"public,omitempty"`
	// Objective is the latency objective: the time within which an answer has
	// its full value. It is 0 when the class has no latency objective.
	Objective Duration `yaml:"-"`
	// LargeAnswer marks a class whose answers cost more to transfer from another
	// data centre than the wait for a target in the local data centre.
	LargeAnswer bool `yaml:"-"`
}

// Route assigns a class to the requests with a method and a path. Path matches
// exactly, or as a prefix when it ends in "/*"; a ":name" segment matches any
// one segment that is not empty. The first route that matches applies.
type Route struct {
	Method string `yaml:"method" jsonschema:"enum=GET,enum=HEAD,enum=POST,enum=PUT,enum=PATCH,enum=DELETE,enum=OPTIONS"`
	Path   string `yaml:"path" jsonschema:"pattern=^/"`
	Class  string `yaml:"class"`
}

// Tenants holds the limits of the organisations.
type Tenants struct {
	// Default applies to each organisation that Named does not list.
	Default Limit `yaml:"default"`
	// RequireKeys makes ingresses identify organisations by their API keys and
	// reject requests without one, except those of public classes.
	RequireKeys bool         `yaml:"requireKeys,omitempty"`
	Named       []NamedLimit `yaml:"named,omitempty"`
}

// Limit bounds the requests of one organisation.
type Limit struct {
	RequestsPerSecond float64 `yaml:"requestsPerSecond" jsonschema:"exclusiveMinimum=0"`
	Burst             float64 `yaml:"burst" jsonschema:"minimum=1"`
	// Weight is the organisation's relative share of the capacity when
	// organisations compete for it.
	Weight int `yaml:"weight" jsonschema:"minimum=1,maximum=1000"`
}

// NamedLimit is one organisation with its limits.
type NamedLimit struct {
	Name  string `yaml:"name"`
	Limit `yaml:",inline"`
	// Keys are the hashes of the organisation's API keys.
	Keys []KeyHash `yaml:"keys,omitempty"`
	// Quota bounds the organisation's requests through all nodes together. It is
	// the zero Quota if there is no such bound.
	Quota Quota `yaml:"quota,omitempty"`
	// Rank takes precedence over the rank of the class for the organisation's
	// requests; nil if there is none. See Bundle.Priority.
	Rank *fleet.Rank `yaml:"rank,omitempty"`
}

// Quota bounds the requests of one organisation through all nodes together.
type Quota struct {
	RequestsPerSecond float64 `yaml:"requestsPerSecond" jsonschema:"exclusiveMinimum=0"`
	Burst             float64 `yaml:"burst" jsonschema:"minimum=1"`
}

// Finding is one error in a bundle document, with its location.
type Finding = yamlcheck.Finding

// Encode returns the bundle as YAML that Parse accepts.
func (b *Bundle) Encode() ([]byte, error) {
	content, err := yaml.MarshalWithOptions(b, yaml.CustomMarshaler(marshalFloat))
	if err != nil {
		return nil, fmt.Errorf("encode bundle: %w", err)
	}
	return content, nil
}

// marshalFloat writes a number without an exponent. The YAML library would
// write 1e9 as "1e+09" and read that back as a string.
func marshalFloat(f float64) ([]byte, error) {
	return strconv.AppendFloat(nil, f, 'f', -1, 64), nil
}

// Service returns the service with the given name, or nil.
func (b *Bundle) Service(name string) *Service {
	if b.index != nil {
		if s, ok := b.index.services[name]; ok {
			return s.service
		}
		return nil
	}
	for i := range b.Services {
		if b.Services[i].Name == name {
			return &b.Services[i]
		}
	}
	return nil
}

// Limit returns the limit of an organisation, or the default limit if the
// bundle does not name the organisation. It must be called only on a bundle
// that Parse or NewHostRouted returned, because it needs the index.
func (b *Bundle) Limit(tenant string) Limit {
	if i, ok := b.index.organisations[tenant]; ok {
		return b.Tenants.Named[i].Limit
	}
	return b.Tenants.Default
}

// Class returns the class with the given name, or nil.
func (s *Service) Class(name string) *Class {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i]
		}
	}
	return nil
}
