package processtest

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/load"
	"siskinvale.dev/siskinvale/internal/standin"
)

const (
	// startWait bounds the wait for a process to serve and for a bundle to
	// come into force.
	startWait = 20 * time.Second
	pollEvery = 20 * time.Millisecond
	// targetDrain bounds the drain of a target, which may have stalled work.
	targetDrain = 3 * time.Second
	// longWork is how many times longer long work runs than short work.
	longWork = 50
	// longBody is the size of the answer to long work in bytes, large enough
	// to be streamed in chunks.
	longBody = 256 << 10
)

// TB is what a fleet needs of its test. *testing.T and ginkgo's GinkgoT()
// have it.
type TB interface {
	Helper()
	Logf(format string, args ...any)
	Fatalf(format string, args ...any)
	Cleanup(func())
}

// Config describes a fleet.
type Config struct {
	// DataCentres and NodesPerDataCentre are 1 when 0.
	DataCentres, NodesPerDataCentre int
	// Bundle is a bundle file, relative to the repository's root. It is rolled
	// out before Start returns, unless NoRollout is set. Each node gets one
	// target of each of its services.
	Bundle    string
	NoRollout bool
	// TargetsPerNode is the number of targets of each service beside each
	// node, 1 when 0.
	TargetsPerNode int
	// TargetsOnLastOnly starts targets beside the last node alone, so that
	// calls through other nodes are forwarded.
	TargetsOnLastOnly bool
	// Work is the run time of short work, 4 ms when 0. Long work takes 50
	// times as long.
	Work time.Duration
	// TargetTTL is the time to live of announcements, 3 s when 0.
	TargetTTL time.Duration
	// PlatformLinks puts a link between each node and the platform,
	// TargetLinks one between each node and each of its targets.
	PlatformLinks, TargetLinks bool
	// LongestDrain is 120 s when 0.
	LongestDrain time.Duration
	// LogLevel of the nodes is info when empty.
	LogLevel string
	// Standins starts the stand-ins alone.
	Standins bool
	// Kinds replaces the calls that are derived from the bundle.
	Kinds []Kind
}

// Node is one running node.
type Node struct {
	*Process
	ID, DataCentre string
	// URL is where callers call.
	URL string
	// Operators is ip:port of the operators' listener.
	Operators string
	// Targets beside this node.
	Targets []*Target
	// PlatformLink is nil unless configured.
	PlatformLink *Link

	dc, number       int
	peers, platform  string
	settingsFile     string
	targetsListenURL string
}

// Fleet is a running fleet.
type Fleet struct {
	Platform *Platform
	Nodes    []*Node
	Targets  []*Target
	// Kinds are the calls that the bundle allows, one for each class.
	Kinds []Kind

	cfg     Config
	t       TB
	root    string
	bin     string
	dir     string
	network *network
	seeds   []string
	keys    keys
	mu      sync.Mutex
	started []*Process // in the order of their start
}

// Start builds the binaries, starts a fleet and waits until it serves. The
// fleet is stopped when the test ends. Any failure fails the test.
func Start(t TB, cfg Config) *Fleet {
	t.Helper()
	f := &Fleet{cfg: withDefaults(cfg), t: t}
	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Logf("stop: %v", err)
		}
	})
	if err := f.start(); err != nil {
		t.Fatalf("start fleet: %v", err)
	}
	return f
}

func withDefaults(cfg Config) Config {
	cfg.DataCentres = max(cfg.DataCentres, 1)
	cfg.NodesPerDataCentre = max(cfg.NodesPerDataCentre, 1)
	cfg.TargetsPerNode = max(cfg.TargetsPerNode, 1)
	if cfg.Work == 0 {
		cfg.Work = 4 * time.Millisecond
	}
	if cfg.TargetTTL == 0 {
		cfg.TargetTTL = 3 * time.Second
	}
	if cfg.LongestDrain == 0 {
		cfg.LongestDrain = 120 * time.Second
	}
	if cfg.LogLevel == "" {
		cfg.LogLevel = "info"
	}
	return cfg
}

func (f *Fleet) start() (err error) {
	if f.root, err = Root(); err != nil {
		return err
	}
	if f.bin, err = Build(); err != nil {
		return err
	}
	if f.dir, err = os.MkdirTemp("", "siskinvale-fleet-"); err != nil {
		return err
	}
	if f.network, err = claimNetwork(); err != nil {
		return err
	}
	f.Kinds = f.cfg.Kinds
	if f.cfg.Bundle != "" && f.Kinds == nil {
		b, err := readBundle(f.BundleFile())
		if err != nil {
			return err
		}
		f.Kinds = kindsOf(b)
		for i := range f.Kinds {
			if f.Kinds[i].Long {
				f.Kinds[i].Size = longBody
			}
		}
	}
	if !f.cfg.Standins {
		if err := f.makeKeys(); err != nil {
			return err
		}
	}
	if err := f.startPlatform(); err != nil {
		return err
	}
	f.plan()
	if f.cfg.Standins {
		return f.startTargets()
	}
	for _, n := range f.Nodes {
		if err := f.startNode(n); err != nil {
			return err
		}
	}
	if err := f.startTargets(); err != nil {
		return err
	}
	if f.cfg.Bundle == "" || f.cfg.NoRollout {
		return nil
	}
	if err := f.Rollout(f.BundleFile(), 1); err != nil {
		return err
	}
	return f.WaitServing()
}

// BundleFile is the path of the configured bundle.
func (f *Fleet) BundleFile() string { return filepath.Join(f.root, f.cfg.Bundle) }

// Dir is a temporary directory that is removed with the fleet.
func (f *Fleet) Dir() string { return f.dir }

// plan lays out nodes and their addresses.
func (f *Fleet) plan() {
	for dc := 1; dc <= f.cfg.DataCentres; dc++ {
		for number := 1; number <= f.cfg.NodesPerDataCentre; number++ {
			n := &Node{
				ID: fmt.Sprintf("node-%d-%d", dc, number), DataCentre: fmt.Sprintf("dc-%d", dc),
				URL:       "http://" + f.network.address(dc, number, callersPort),
				Operators: f.network.address(dc, number, operatorsPort),
				dc:        dc, number: number,
				peers:            f.network.address(dc, number, peersPort),
				platform:         strings.TrimPrefix(f.Platform.URL, "http://"),
				targetsListenURL: "http://" + f.network.address(dc, number, targetsPort),
			}
			f.Nodes = append(f.Nodes, n)
			if number == 1 {
				f.seeds = append(f.seeds, n.peers)
			}
		}
	}
}

func (f *Fleet) run(name, binary string, env []string, args ...string) (*Process, error) {
	p, err := startProcess(name, f.dir, filepath.Join(f.bin, binary), env, args...)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.started = append(f.started, p)
	f.mu.Unlock()
	return p, nil
}

func (f *Fleet) startPlatform() error {
	address := f.network.address(0, 1, platformPort)
	var env []string
	if f.keys.platformToken != "" {
		env = []string{"SISKINVALE_STANDIN_TOKEN=" + f.keys.platformToken}
	}
	p, err := f.run("platform", StandinBinary, env, "platform", "--listen", address)
	if err != nil {
		return err
	}
	f.Platform = &Platform{Process: p, URL: "http://" + address}
	return waitFor(p, f.Platform.URL+"/control/calls")
}

func (f *Fleet) startLink(name string, n *Node, number int, to string) (*Link, string, error) {
	listen := f.network.address(n.dc, n.number, linkPort+number)
	controlAddress := f.network.address(n.dc, n.number, controlPort+number)
	p, err := f.run(name, StandinBinary, nil, "link", "--listen", listen, "--to", to, "--control", controlAddress)
	if err != nil {
		return nil, "", err
	}
	l := &Link{Process: p, controlURL: "http://" + controlAddress}
	return l, listen, waitFor(p, l.controlURL+"/control/calls")
}

func (f *Fleet) startNode(n *Node) error {
	if f.cfg.PlatformLinks && n.PlatformLink == nil {
		var err error
		if n.PlatformLink, n.platform, err = f.startLink("platform-link-"+n.ID, n, 0, n.platform); err != nil {
			return err
		}
	}
	content, err := f.settings(n)
	if err != nil {
		return err
	}
	n.settingsFile = filepath.Join(f.dir, n.ID+".yaml")
	if err := os.WriteFile(n.settingsFile, content, 0o600); err != nil {
		return err
	}
	return f.Restart(n)
}

// Restart starts the process of a node, for the first time or after it ended,
// and waits until it is alive.
func (f *Fleet) Restart(n *Node) error {
	p, err := f.run(n.ID, NodeBinary, nil, "--config", n.settingsFile)
	if err != nil {
		return err
	}
	n.Process = p
	return waitFor(p, "http://"+n.Operators+"/healthz")
}

func (f *Fleet) startTargets() error {
	services := []string{}
	seen := map[string]bool{}
	for _, kind := range f.Kinds {
		if !seen[kind.Service] {
			seen[kind.Service] = true
			services = append(services, kind.Service)
		}
	}
	nodes := f.Nodes
	if f.cfg.TargetsOnLastOnly {
		nodes = nodes[len(nodes)-1:]
	}
	for _, n := range nodes {
		number := 0
		for _, service := range services {
			for range f.cfg.TargetsPerNode {
				number++
				if err := f.startTarget(n, service, number); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (f *Fleet) startTarget(n *Node, service string, number int) error {
	address := f.network.address(n.dc, n.number, targetPort+number)
	target := &Target{
		ID:      fmt.Sprintf("%s-%d-%d-%d", service, n.dc, n.number, number),
		Service: service, URL: "http://" + address, Node: n,
	}
	args := []string{"target", "--id", target.ID, "--service", service, "--listen", address,
		"--work", f.cfg.Work.String(), "--ttl", f.cfg.TargetTTL.String(), "--longest-drain", targetDrain.String()}
	if !f.cfg.Standins {
		args = append(args, "--node", n.targetsListenURL)
	}
	for _, kind := range f.Kinds {
		if kind.Service == service && kind.Long {
			args = append(args, "--work-path", kind.Prefix+"="+(longWork*f.cfg.Work).String(),
				"--body-path", fmt.Sprintf("%s=%d", kind.Prefix, kind.Size))
		}
	}
	if f.cfg.TargetLinks {
		link, listen, err := f.startLink("link-"+target.ID, n, number, address)
		if err != nil {
			return err
		}
		target.Link = link
		args = append(args, "--announce-address", listen)
	}
	p, err := f.run(target.ID, StandinBinary, nil, args...)
	if err != nil {
		return err
	}
	target.Process = p
	n.Targets, f.Targets = append(n.Targets, target), append(f.Targets, target)
	return waitFor(p, target.URL+"/control/calls")
}

// waitFor polls a URL until it answers 200 or the process ends.
func waitFor(p *Process, url string) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := errors.New("not polled")
	for end := time.Now().Add(startWait); time.Now().Before(end); time.Sleep(pollEvery) {
		if !p.Running() {
			return fmt.Errorf("%s ended: %w; end of its log:\n%s", p.Name, p.err, p.LogTail())
		}
		answer, err := client.Get(url)
		if err != nil {
			last = err
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
		last = errors.New(answer.Status)
	}
	return fmt.Errorf("%s does not serve %s after %v: %w; end of its log:\n%s", p.Name, url, startWait, last, p.LogTail())
}

// WaitServing waits until every running node is ready and answers an
// idempotent call of every service that has one.
func (f *Fleet) WaitServing() error {
	caller := load.NewCaller("readiness", 2*time.Second)
	defer caller.Close()
	for _, n := range f.Nodes {
		if !n.Running() {
			continue
		}
		if err := waitFor(n.Process, "http://"+n.Operators+"/readyz"); err != nil {
			return err
		}
	}
	for _, n := range f.Nodes {
		for _, kind := range f.Kinds {
			if kind.Long || !n.Running() {
				continue
			}
			// Keyed operations depend on the owner of their range; several keys
			// in a row reach every owner of a small fleet.
			for range keyedProbes(kind) {
				if err := f.WaitAnswered(caller, n, kind); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// keyedProbes is how many calls of a kind must be answered in a row.
func keyedProbes(kind Kind) int {
	if kind.Keyed {
		return 10
	}
	return 1
}

// WaitAnswered sends calls of a kind to a node until one is answered with 200.
func (f *Fleet) WaitAnswered(caller *load.Caller, n *Node, kind Kind) error {
	var last load.Attempt
	for end := time.Now().Add(startWait); time.Now().Before(end); time.Sleep(pollEvery) {
		// A fresh key each time: a key that was once "unknown" stays so.
		last = caller.Do(context.Background(), kind.Request(0), 0, n.URL).Last()
		if last.Err == nil && last.Outcome == fleet.Answered && last.Status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s does not answer %s: outcome %v, status %d, error %v; end of its log:\n%s",
		n.ID, kind.Name(), last.Outcome, last.Status, last.Err, n.LogTail())
}

// OperationLogs returns the logs of all targets. complete is false when a
// target ended together with its log.
func (f *Fleet) OperationLogs() (ops []standin.Operation, complete bool, err error) {
	complete = true
	for _, target := range f.Targets {
		if target.saved == nil && !target.Running() {
			complete = false
			continue
		}
		log, err := target.Operations()
		if err != nil {
			return nil, false, fmt.Errorf("operation log of %s: %w", target.ID, err)
		}
		ops = append(ops, log...)
	}
	return ops, complete, nil
}

// URLs returns the callers' addresses of the nodes, starting with the n-th.
func (f *Fleet) URLs(n int) []string {
	urls := make([]string, 0, len(f.Nodes))
	for i := range f.Nodes {
		urls = append(urls, f.Nodes[(n+i)%len(f.Nodes)].URL)
	}
	return urls
}

// Kind returns the first kind for which choose is true.
func (f *Fleet) Kind(choose func(Kind) bool) (Kind, bool) {
	for _, kind := range f.Kinds {
		if choose(kind) {
			return kind, true
		}
	}
	return Kind{}, false
}

// Stop stops all processes, targets first, and removes the temporary
// directory. It returns what did not end by itself.
func (f *Fleet) Stop() error {
	f.mu.Lock()
	started := f.started
	f.started = nil
	f.mu.Unlock()
	var errs []error
	// The processes depend on the ones that were started before them.
	for _, group := range stopGroups(started) {
		var wait sync.WaitGroup
		results := make([]error, len(group))
		for i, p := range group {
			wait.Add(1)
			go func() {
				defer wait.Done()
				if p.Running() {
					results[i] = p.Stop()
				}
			}()
		}
		wait.Wait()
		errs = append(errs, results...)
	}
	if f.network != nil {
		f.network.release()
		f.network = nil
	}
	if f.dir != "" && os.Getenv("SISKINVALE_KEEP_LOGS") == "" {
		os.RemoveAll(f.dir)
	}
	return errors.Join(errs...)
}

// stopGroups orders targets before nodes before the rest.
func stopGroups(started []*Process) [][]*Process {
	groups := make([][]*Process, 3)
	for _, p := range started {
		switch {
		case strings.HasPrefix(p.Name, "node-"):
			groups[1] = append(groups[1], p)
		case p.Name == "platform" || strings.Contains(p.Name, "link-"):
			groups[2] = append(groups[2], p)
		default:
			groups[0] = append(groups[0], p)
		}
	}
	return groups
}
