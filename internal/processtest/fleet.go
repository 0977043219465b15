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
	// startTimeout is the maximum wait until a process serves, or until a call
	// through a node is answered.
	startTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	// targetDrainTimeout is the maximum duration of a target's drain. It is
	// short because a drain waits in vain for requests that an injected fault
	// stalls.
	targetDrainTimeout = 3 * time.Second
	// longRunTimeFactor is the run time of requests of long classes as a
	// multiple of that of requests of short classes.
	longRunTimeFactor = 50
	// longAnswerBytes is the size of an answer to a request of a long class,
	// large enough to be streamed in chunks.
	longAnswerBytes = 256 << 10
)

// TB is the part of testing.TB that a fleet needs. *testing.T, *testing.B and
// the result of Ginkgo's GinkgoT() implement it.
type TB interface {
	Helper()
	Logf(format string, args ...any)
	Fatalf(format string, args ...any)
	Cleanup(func())
}

// Config describes a fleet.
type Config struct {
	// DataCentres is the number of data centres and NodesPerDataCentre the
	// number of nodes in each. The default of both is 1.
	DataCentres, NodesPerDataCentre int
	// Bundle is a bundle file, relative to the repository's root. Start rolls
	// it out and waits until the fleet serves, unless NoRollout is set. Each
	// node gets targets of each service in the bundle.
	Bundle    string
	NoRollout bool
	// TargetsPerNode is the number of targets of each service beside each
	// node. The default is 1.
	TargetsPerNode int
	// TargetsOnLastNodeOnly starts targets beside the last node only, so that
	// the other nodes forward all calls.
	TargetsOnLastNodeOnly bool
	// ShortRunTime is the run time of requests of short classes. The default is
	// 4 ms. Requests of long classes run 50 times as long.
	ShortRunTime time.Duration
	// TargetTTL is the time to live of a target's announcements. The default
	// is 3 s.
	TargetTTL time.Duration
	// PlatformLinks starts a link stand-in between each node and the platform,
	// TargetLinks one between each node and each target beside it.
	PlatformLinks, TargetLinks bool
	// LongestDrain is the maximum wait of a node's drain. The default is 120 s.
	LongestDrain time.Duration
	// LogLevel is the log level of the nodes. The default is info.
	LogLevel string
	// StandinsOnly starts the stand-ins without the nodes.
	StandinsOnly bool
	// Kinds replaces the kinds that are derived from the bundle.
	Kinds []Kind
}

// Node is one node of a fleet.
type Node struct {
	*Process
	ID, DataCentre string
	// URL is the base URL of the callers' listener.
	URL string
	// OperatorsAddress is the ip:port of the operators' listener.
	OperatorsAddress string
	// Targets are the targets beside this node.
	Targets []*Target
	// PlatformLink is the link stand-in between the node and the platform; nil
	// unless Config.PlatformLinks is set.
	PlatformLink *Link

	// dc and number are the third and fourth byte of the node's IP address.
	dc, number                    int
	peersAddress, platformAddress string
	settingsFile                  string
	targetsListenURL              string
}

// Fleet is a running fleet.
type Fleet struct {
	Platform *Platform
	Nodes    []*Node
	Targets  []*Target
	// Kinds are Config.Kinds or, if that is nil, one kind for each class of the
	// bundle.
	Kinds []Kind

	cfg       Config
	t         TB
	root      string
	binDir    string
	dir       string
	network   *network
	seeds     []string
	keys      keys
	mu        sync.Mutex
	processes []*Process // in start order
}

// Start builds the commands, starts a fleet and waits until it serves. The
// fleet is stopped when the test ends. An error fails the test.
func Start(t TB, cfg Config) *Fleet {
	t.Helper()
	f := &Fleet{cfg: withDefaults(cfg), t: t}
	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Logf("stop fleet: %v", err)
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
	if cfg.ShortRunTime == 0 {
		cfg.ShortRunTime = 4 * time.Millisecond
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
	if f.binDir, err = Build(); err != nil {
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
				f.Kinds[i].Size = longAnswerBytes
			}
		}
	}
	if !f.cfg.StandinsOnly {
		if err := f.makeKeys(); err != nil {
			return err
		}
	}
	if err := f.startPlatform(); err != nil {
		return err
	}
	f.planNodes()
	if f.cfg.StandinsOnly {
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

// BundleFile returns the path of the configured bundle file.
func (f *Fleet) BundleFile() string { return filepath.Join(f.root, f.cfg.Bundle) }

// Dir returns the temporary directory of the fleet's files. Stop removes it.
func (f *Fleet) Dir() string { return f.dir }

// planNodes creates the nodes with their addresses. The first node of each data
// centre is a seed.
func (f *Fleet) planNodes() {
	for dc := 1; dc <= f.cfg.DataCentres; dc++ {
		for number := 1; number <= f.cfg.NodesPerDataCentre; number++ {
			n := &Node{
				ID: fmt.Sprintf("node-%d-%d", dc, number), DataCentre: fmt.Sprintf("dc-%d", dc),
				URL:              "http://" + f.network.address(dc, number, callersPort),
				OperatorsAddress: f.network.address(dc, number, operatorsPort),
				dc:               dc, number: number,
				peersAddress:     f.network.address(dc, number, peersPort),
				platformAddress:  strings.TrimPrefix(f.Platform.URL, "http://"),
				targetsListenURL: "http://" + f.network.address(dc, number, targetsPort),
			}
			f.Nodes = append(f.Nodes, n)
			if number == 1 {
				f.seeds = append(f.seeds, n.peersAddress)
			}
		}
	}
}

// startCommand starts a binary and records the process for Stop.
func (f *Fleet) startCommand(name, binary string, env []string, args ...string) (*Process, error) {
	p, err := startProcess(name, f.dir, filepath.Join(f.binDir, binary), env, args...)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return p, nil
}

func (f *Fleet) startPlatform() error {
	address := f.network.address(0, 1, platformPort)
	var env []string
	if f.keys.platformToken != "" {
		env = []string{"SISKINVALE_STANDIN_TOKEN=" + f.keys.platformToken}
	}
	p, err := f.startCommand("platform", StandinBinary, env, "platform", "--listen", address)
	if err != nil {
		return err
	}
	f.Platform = &Platform{Process: p, URL: "http://" + address}
	return waitHTTPOK(p, f.Platform.URL+"/control/calls")
}

// startLink starts a link stand-in that forwards to the address to, and returns
// the link and the address on which it listens.
func (f *Fleet) startLink(name string, n *Node, number int, to string) (*Link, string, error) {
	listenAddress := f.network.address(n.dc, n.number, linkPort+number)
	controlAddress := f.network.address(n.dc, n.number, controlPort+number)
	p, err := f.startCommand(name, StandinBinary, nil, "link", "--listen", listenAddress, "--to", to, "--control", controlAddress)
	if err != nil {
		return nil, "", err
	}
	l := &Link{Process: p, controlURL: "http://" + controlAddress}
	return l, listenAddress, waitHTTPOK(p, l.controlURL+"/control/calls")
}

func (f *Fleet) startNode(n *Node) error {
	if f.cfg.PlatformLinks && n.PlatformLink == nil {
		var err error
		if n.PlatformLink, n.platformAddress, err = f.startLink("platform-link-"+n.ID, n, 0, n.platformAddress); err != nil {
			return err
		}
	}
	content, err := f.nodeSettings(n)
	if err != nil {
		return err
	}
	n.settingsFile = filepath.Join(f.dir, n.ID+".yaml")
	if err := os.WriteFile(n.settingsFile, content, 0o600); err != nil {
		return err
	}
	return f.Restart(n)
}

// Restart starts the process of a node, for the first time or after the earlier
// process ended, and waits until /healthz answers 200.
func (f *Fleet) Restart(n *Node) error {
	p, err := f.startCommand(n.ID, NodeBinary, nil, "--config", n.settingsFile)
	if err != nil {
		return err
	}
	n.Process = p
	return waitHTTPOK(p, "http://"+n.OperatorsAddress+"/healthz")
}

// startTargets starts Config.TargetsPerNode targets of each service beside each
// node, or beside the last node only.
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
	if f.cfg.TargetsOnLastNodeOnly {
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
		"--work", f.cfg.ShortRunTime.String(), "--ttl", f.cfg.TargetTTL.String(), "--longest-drain", targetDrainTimeout.String()}
	if !f.cfg.StandinsOnly {
		args = append(args, "--node", n.targetsListenURL)
	}
	for _, kind := range f.Kinds {
		if kind.Service == service && kind.Long {
			args = append(args, "--work-path", kind.Prefix+"="+(longRunTimeFactor*f.cfg.ShortRunTime).String(),
				"--body-path", fmt.Sprintf("%s=%d", kind.Prefix, kind.Size))
		}
	}
	if f.cfg.TargetLinks {
		link, listenAddress, err := f.startLink("link-"+target.ID, n, number, address)
		if err != nil {
			return err
		}
		target.Link = link
		args = append(args, "--announce-address", listenAddress)
	}
	p, err := f.startCommand(target.ID, StandinBinary, nil, args...)
	if err != nil {
		return err
	}
	target.Process = p
	n.Targets, f.Targets = append(n.Targets, target), append(f.Targets, target)
	return waitHTTPOK(p, target.URL+"/control/calls")
}

// waitHTTPOK polls a URL of a process until the answer has status 200. It fails
// when the process ends or startTimeout has passed.
func waitHTTPOK(p *Process, url string) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	lastErr := errors.New("not polled")
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if !p.Running() {
			return fmt.Errorf("%s exited before it answered with status 200: %w; end of its log:\n%s", p.Name, p.err, p.LogTail())
		}
		answer, err := client.Get(url)
		if err != nil {
			lastErr = err
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
		lastErr = errors.New(answer.Status)
	}
	return fmt.Errorf("%s did not answer GET %s with status 200 within %v: %w; end of its log:\n%s", p.Name, url, startTimeout, lastErr, p.LogTail())
}

// WaitServing waits until every running node is ready and has answered requests
// of every kind that is not long.
func (f *Fleet) WaitServing() error {
	caller := load.NewCaller("readiness", 2*time.Second)
	defer caller.Close()
	for _, n := range f.Nodes {
		if !n.Running() {
			continue
		}
		if err := waitHTTPOK(n.Process, "http://"+n.OperatorsAddress+"/readyz"); err != nil {
			return err
		}
	}
	for _, n := range f.Nodes {
		for _, kind := range f.Kinds {
			if kind.Long || !n.Running() {
				continue
			}
			// A keyed operation depends on the owner of its key range. Several
			// keys in a row reach every owner of a small fleet.
			for range answersRequired(kind) {
				if err := f.WaitAnswered(caller, n, kind); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// answersRequired returns how many calls of a kind each node must answer before
// WaitServing returns.
func answersRequired(kind Kind) int {
	if kind.Keyed {
		return 10
	}
	return 1
}

// WaitAnswered sends calls of a kind to a node until one is answered with
// status 200. It fails after startTimeout.
func (f *Fleet) WaitAnswered(caller *load.Caller, n *Node, kind Kind) error {
	var last load.Attempt
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		// Each call has a new key, because the outcome of a key that was once
		// "unknown" never changes.
		last = caller.Do(context.Background(), kind.Request(0), 0, n.URL).Last()
		if last.Err == nil && last.Outcome == fleet.Answered && last.Status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s answered no %s call with status 200: last outcome %v, status %d, error %v; end of its log:\n%s",
		n.ID, kind.Name(), last.Outcome, last.Status, last.Err, n.LogTail())
}

// OperationLogs returns the joined operation logs of all targets. complete is
// false if a target ended before SaveOperations read its log.
func (f *Fleet) OperationLogs() (ops []standin.Operation, complete bool, err error) {
	complete = true
	for _, target := range f.Targets {
		if target.savedOperations == nil && !target.Running() {
			complete = false
			continue
		}
		log, err := target.Operations()
		if err != nil {
			return nil, false, fmt.Errorf("read the operation log of target %s: %w", target.ID, err)
		}
		ops = append(ops, log...)
	}
	return ops, complete, nil
}

// NodeURLsFrom returns the URLs of all nodes, starting with the n-th and
// wrapping around.
func (f *Fleet) NodeURLsFrom(n int) []string {
	urls := make([]string, 0, len(f.Nodes))
	for i := range f.Nodes {
		urls = append(urls, f.Nodes[(n+i)%len(f.Nodes)].URL)
	}
	return urls
}

// FindKind returns the first kind for which choose returns true, and whether
// there is one.
func (f *Fleet) FindKind(choose func(Kind) bool) (Kind, bool) {
	for _, kind := range f.Kinds {
		if choose(kind) {
			return kind, true
		}
	}
	return Kind{}, false
}

// Stop stops all processes, targets first, and removes the temporary directory.
// It returns an error for each process that failed or had to be killed.
func (f *Fleet) Stop() error {
	f.mu.Lock()
	processes := f.processes
	f.processes = nil
	f.mu.Unlock()
	var errs []error
	// The processes of a group depend on those of the groups after it.
	for _, group := range stopGroups(processes) {
		var wg sync.WaitGroup
		results := make([]error, len(group))
		for i, p := range group {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if p.Running() {
					results[i] = p.Stop()
				}
			}()
		}
		wg.Wait()
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

// stopGroups returns the processes in the order in which they are stopped:
// targets, then nodes, then the platform and the links.
func stopGroups(processes []*Process) [][]*Process {
	groups := make([][]*Process, 3)
	for _, p := range processes {
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
