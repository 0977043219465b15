// Package config reads and checks the settings of a node. Settings are YAML.
// All problems are reported together, each with its line and column.
package config

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"siskinvale.dev/siskinvale/internal/auth"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// DefaultDrainTimeout is how long a planned stop waits for requests in flight
// if the settings give no other time.
const DefaultDrainTimeout = 120 * time.Second

// Settings are the settings of one node. They are not modified after Load; a
// reload creates new Settings.
type Settings struct {
	Node     Identity `yaml:"node"`
	Listen   Listen   `yaml:"listen"`
	Peers    []string `yaml:"peers"`
	Platform Platform `yaml:"platform"`
	Keys     Keys     `yaml:"keys"`
	Trust    Trust    `yaml:"trust"`
	Log      Log      `yaml:"log"`
	Drain    Drain    `yaml:"drain"`
	Limits   Limits   `yaml:"limits"`
	// Deployment is set on VMs whose platform has its own interfaces for
	// callers, targets and configuration.
	Deployment *Deployment `yaml:"deployment"`
	// FleetRetryBudget is the retry budget that all nodes share. If it is
	// unset, each node has a retry budget for each class.
	FleetRetryBudget *FleetRetryBudget `yaml:"repeats"`
	// Organisations holds the bounds that apply to the organisations of a bundle
	// that requires API keys.
	Organisations Organisations `yaml:"organisations"`
	// Hedging enables second copies of slow requests; nil disables them.
	Hedging *Hedging `yaml:"hedging"`
}

// Organisations bounds the use of API keys and the quotas of organisations.
type Organisations struct {
	// RevokeWithin is the longest time for which a key works after the
	// configuration that takes it away was accepted, also through nodes that
	// cannot read that configuration. Zero means that nodes use the keys of the
	// bundle in force however old it is.
	RevokeWithin time.Duration `yaml:"revokeWithin"`
	// QuotaWindow is the time span in which a quota must hold. In each span of
	// this length, the quota may be exceeded by QuotaExcess (a fraction) and
	// QuotaSlack (a number of requests). Quotas are not enforced if QuotaWindow
	// is zero.
	QuotaWindow time.Duration `yaml:"quotaWindow"`
	QuotaExcess float64       `yaml:"quotaExcess"`
	QuotaSlack  float64       `yaml:"quotaSlack"`
}

// Hedging bounds the second copies of requests that may be repeated.
type Hedging struct {
	// Ratio is the largest number of second copies per request of a service, from
	// 0 to 1.
	Ratio float64 `yaml:"ratio"`
}

// Deployment describes the VM to the platform's adapter.
type Deployment struct {
	// Readiness is the listening address (ip:port) of the readiness probe, by
	// which the platform learns whether callers should use this node.
	Readiness string `yaml:"readiness"`
	// Service is the service of the target on this VM, and Target is the
	// address (ip:port) of this target.
	Service string `yaml:"service"`
	Target  string `yaml:"target"`
	// Seeds are addresses (ip:port) on VMs that may run a node. Their nodes use
	// the same peer port as this one; the port in the seed is ignored.
	Seeds []string `yaml:"seeds"`
	// FirstStart is set if the whole fleet starts for the first time. Nodes then
	// take more time to find each other with fewer calls to the platform.
	FirstStart bool `yaml:"firstStart"`
	// AnnounceInterval is the time between two announcements of a target.
	AnnounceInterval time.Duration `yaml:"announceInterval"`
	// FloorShare is the fraction of a service's targets that ejection always
	// leaves in use, from 0 to 1.
	FloorShare float64 `yaml:"floorShare"`
}

// FleetRetryBudget is a retry budget for each service.
type FleetRetryBudget struct {
	// In any time span of length Window, the budget allows Ratio retries for
	// each request and Allowance further ones.
	Ratio     float64       `yaml:"ratio"`
	Allowance float64       `yaml:"allowance"`
	Window    time.Duration `yaml:"window"`
}

// Identity names the node and its location.
type Identity struct {
	ID         fleet.NodeID `yaml:"id"`
	Region     string       `yaml:"region"`
	DataCentre string       `yaml:"dataCentre"`
}

// Listen holds the node's listening addresses as ip:port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Peers     string `yaml:"peers"`
	Targets   string `yaml:"targets"`
	Operators string `yaml:"operators"`
}

// Platform holds the address and token for the platform's object API.
type Platform struct {
	Address string      `yaml:"address"`
	Token   auth.Secret `yaml:"token"`
}

// Keys are the shared keys of nodes and operators. The first key of each list
// signs; all keys of the list are accepted.
type Keys struct {
	Fleet     []Key `yaml:"fleet"`
	Operators []Key `yaml:"operators"`
}

// Key is one shared key.
type Key struct {
	ID     string      `yaml:"id"`
	Secret auth.Secret `yaml:"secret"`
}

// Trust lists the public keys whose signatures a bundle needs.
type Trust struct {
	Authors   []PublicKey `yaml:"authors"`
	Approvers []PublicKey `yaml:"approvers"`
}

// PublicKey is one Ed25519 public key in base64.
type PublicKey struct {
	ID        string `yaml:"id"`
	PublicKey string `yaml:"publicKey"`
}

// Log holds the log settings.
type Log struct {
	Level string `yaml:"level"`
}

// Drain holds the settings of a planned stop.
type Drain struct {
	// Timeout bounds the wait for requests in flight.
	Timeout time.Duration `yaml:"longestWait"`
	// NoticePeriod is how long the node continues to accept requests after the
	// stop signal, until callers have noticed that it is not ready.
	NoticePeriod time.Duration `yaml:"notice"`
}

// Limits bound the resources that callers can make the node hold.
type Limits struct {
	// MaxHeaderBytes is the size limit of a request header in bytes.
	MaxHeaderBytes int `yaml:"headerBytes"`
	// HeaderTimeout is how long a caller may take to send its header.
	HeaderTimeout time.Duration `yaml:"headerTimeout"`
	// IdleTimeout is how long a caller's connection may stay open without a
	// request.
	IdleTimeout time.Duration `yaml:"idleTimeout"`
	// MaxInFlight is the maximum number of requests that the ingress holds at a
	// time.
	MaxInFlight int64 `yaml:"inFlight"`
	// MemoryMiB is the memory of the node in MiB. The node holds at most a
	// quarter of it in bodies of requests and answers. Zero means no limit.
	MemoryMiB int64 `yaml:"memoryMiB"`
}

// Load reads and checks a settings file. If the file cannot be read, only the
// error is set. Otherwise findings lists every problem, and settings is nil if
// there is one.
func Load(path string) (settings *Settings, findings []Finding, err error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("read settings: %w", err)
	}
	settings, findings = Parse(path, content)
	return settings, findings, nil
}

// Parse checks the content of a settings file. The findings name the file as
// given in file. The settings are nil if there is a finding.
func Parse(file string, content []byte) (*Settings, []Finding) {
	c := newChecker(file)
	s := defaults()
	if !c.decode(content, s) {
		return nil, c.Findings()
	}
	c.checkIdentity(s)
	c.checkListen(s)
	c.checkPeers(s)
	c.checkPlatform(s)
	if s.Deployment == nil {
		c.checkKeys("$.keys.fleet", s.Keys.Fleet)
		c.checkKeys("$.keys.operators", s.Keys.Operators)
		c.checkTrust("$.trust.authors", s.Trust.Authors)
		c.checkTrust("$.trust.approvers", s.Trust.Approvers)
	} else {
		c.checkDeployment(s.Deployment)
	}
	c.checkFleetRetryBudget(s.FleetRetryBudget)
	c.checkOrganisations(s.Organisations)
	c.checkHedging(s.Hedging)
	c.checkLogDrainAndLimits(s)
	if findings := c.Findings(); len(findings) > 0 {
		return nil, findings
	}
	return s, nil
}

func defaults() *Settings {
	return &Settings{
		Log:   Log{Level: "info"},
		Drain: Drain{Timeout: DefaultDrainTimeout},
		Limits: Limits{
			MaxHeaderBytes: 64 << 10,
			HeaderTimeout:  5 * time.Second,
			IdleTimeout:    60 * time.Second,
			MaxInFlight:    10_000,
		},
	}
}

func (c *checker) checkIdentity(s *Settings) {
	c.checkRequired("$.node.id", string(s.Node.ID))
	c.checkRequired("$.node.region", s.Node.Region)
	c.checkRequired("$.node.dataCentre", s.Node.DataCentre)
}

func (c *checker) checkListen(s *Settings) {
	seen := map[string]string{}
	for _, l := range []struct{ path, addr string }{
		{"$.listen.callers", s.Listen.Callers},
		{"$.listen.peers", s.Listen.Peers},
		{"$.listen.targets", s.Listen.Targets},
		{"$.listen.operators", s.Listen.Operators},
	} {
		c.checkAddress(l.path, l.addr)
		if other, ok := seen[l.addr]; ok && l.addr != "" {
			c.addFinding(l.path, "%s is already used by %s", l.addr, other)
		}
		seen[l.addr] = l.path
	}
}

func (c *checker) checkPeers(s *Settings) {
	for i, peer := range s.Peers {
		c.checkAddress(fmt.Sprintf("$.peers[%d]", i), peer)
	}
}

func (c *checker) checkPlatform(s *Settings) {
	const path = "$.platform.address"
	if s.Platform.Address == "" {
		c.checkRequired(path, "")
		return
	}
	u, err := url.Parse(s.Platform.Address)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.addFinding(path, "%q is not an http or https URL", s.Platform.Address)
	}
}

func (c *checker) checkKeys(path string, keys []Key) {
	if len(keys) == 0 {
		c.addFinding(path, "at least one key is needed")
	}
	seen := map[string]bool{}
	for i, key := range keys {
		at := fmt.Sprintf("%s[%d]", path, i)
		c.checkRequired(at+".id", key.ID)
		if seen[key.ID] {
			c.addFinding(at+".id", "key %q is listed twice", key.ID)
		}
		seen[key.ID] = true
		if len(key.Secret) < auth.MinSecretBytes {
			c.addFinding(at+".secret", "the secret is %d bytes long; at least %d are needed", len(key.Secret), auth.MinSecretBytes)
		}
	}
}

func (c *checker) checkTrust(path string, keys []PublicKey) {
	if len(keys) == 0 {
		c.addFinding(path, "at least one public key is needed, or no bundle can be accepted")
	}
	for i, key := range keys {
		at := fmt.Sprintf("%s[%d]", path, i)
		c.checkRequired(at+".id", key.ID)
		if _, err := key.Decode(); err != nil {
			c.addFinding(at+".publicKey", "%v", err)
		}
	}
}

func (c *checker) checkDeployment(d *Deployment) {
	c.checkAddress("$.deployment.readiness", d.Readiness)
	c.checkRequired("$.deployment.service", d.Service)
	c.checkAddress("$.deployment.target", d.Target)
	for i, seed := range d.Seeds {
		c.checkAddress(fmt.Sprintf("$.deployment.seeds[%d]", i), seed)
	}
	c.checkPositive("$.deployment.announceInterval", d.AnnounceInterval)
	if d.FloorShare < 0 || d.FloorShare > 1 {
		c.addFinding("$.deployment.floorShare", "%v is not between 0 and 1", d.FloorShare)
	}
}

func (c *checker) checkFleetRetryBudget(r *FleetRetryBudget) {
	if r == nil {
		return
	}
	if r.Ratio < 0 || r.Allowance < 0 {
		c.addFinding("$.repeats", "ratio and allowance must not be negative")
	}
	c.checkPositive("$.repeats.window", r.Window)
}

func (c *checker) checkOrganisations(o Organisations) {
	if o.RevokeWithin < 0 {
		c.addFinding("$.organisations.revokeWithin", "must not be negative")
	}
	if o.QuotaWindow < 0 {
		c.addFinding("$.organisations.quotaWindow", "must not be negative")
	}
	if o.QuotaExcess < 0 || o.QuotaSlack < 0 {
		c.addFinding("$.organisations", "quotaExcess and quotaSlack must not be negative")
	}
}

func (c *checker) checkHedging(h *Hedging) {
	if h != nil && (h.Ratio < 0 || h.Ratio > 1) {
		c.addFinding("$.hedging.ratio", "%v is not between 0 and 1", h.Ratio)
	}
}

func (c *checker) checkLogDrainAndLimits(s *Settings) {
	if _, err := logrus.ParseLevel(s.Log.Level); err != nil {
		c.addFinding("$.log.level", "unknown log level %q", s.Log.Level)
	}
	c.checkPositive("$.drain.longestWait", s.Drain.Timeout)
	c.checkPositive("$.limits.headerTimeout", s.Limits.HeaderTimeout)
	c.checkPositive("$.limits.idleTimeout", s.Limits.IdleTimeout)
	c.checkPositive("$.limits.headerBytes", s.Limits.MaxHeaderBytes)
	c.checkPositive("$.limits.inFlight", s.Limits.MaxInFlight)
	if s.Limits.MemoryMiB < 0 {
		c.addFinding("$.limits.memoryMiB", "must not be negative")
	}
}

// Decode returns the decoded key. The error reports invalid base64 or a wrong
// length.
func (k PublicKey) Decode() (ed25519.PublicKey, error) {
	raw, err := base64.StdEncoding.DecodeString(k.PublicKey)
	if err != nil {
		return nil, fmt.Errorf("public key %q is not base64: %w", k.ID, err)
	}
	if len(raw) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("public key %q is %d bytes long; Ed25519 keys have %d", k.ID, len(raw), ed25519.PublicKeySize)
	}
	return raw, nil
}

// AuthKeys converts keys to the type of package auth.
func AuthKeys(keys []Key) []auth.Key {
	out := make([]auth.Key, len(keys))
	for i, k := range keys {
		out[i] = auth.Key{ID: k.ID, Secret: k.Secret}
	}
	return out
}

func validateAddress(addr string) error {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("%q is not ip:port", addr)
	}
	if ap.Port() == 0 {
		return fmt.Errorf("%q has no port", addr)
	}
	return nil
}
