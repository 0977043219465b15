package ctl

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/schollz/progressbar/v3"
	"google.golang.org/protobuf/proto"

	"siskinvale.dev/siskinvale/internal/bundle"
	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
)

// pollInterval is the time between two status calls while a rollout waits.
const pollInterval = 200 * time.Millisecond

type bundleRollout struct {
	*app    `no-flag:"true"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"longest wait for all nodes"`
	NoWait  bool          `long:"no-wait" description:"return when the version is active on the platform"`
	Args    struct {
		File     string `positional-arg-name:"FILE"`
		Envelope string `positional-arg-name:"ENVELOPE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute makes the bundle active and waits for the nodes.
func (c *bundleRollout) Execute([]string) error {
	e, err := readEnvelope(c.Args.Envelope)
	if err != nil {
		return err
	}
	_, pieces, err := c.matching(c.Args.File, e)
	if err != nil {
		return err
	}
	if err := c.checkSignatures(e); err != nil {
		return err
	}
	if !c.NoWait {
		// A wait that cannot start is reported before anything is written.
		if _, err := c.client(); err != nil {
			return err
		}
	}
	p, err := c.publisher()
	if err != nil {
		return err
	}
	if err := p.publish(c.Context, e, pieces); err != nil {
		return err
	}
	c.note("version %d is active on the platform", e.Manifest.Version)
	if c.NoWait {
		return nil
	}
	return c.wait(e.Manifest.Version, c.Timeout)
}

func (a *app) publisher() (*publisher, error) {
	store, err := a.store()
	if err != nil {
		return nil, err
	}
	return &publisher{store: store, sleep: a.Sleep, timeout: a.options.CallTimeout}, nil
}

// checkSignatures checks the signatures as far as the operator's keyring
// allows. Nodes check them again with their own one.
func (a *app) checkSignatures(e *bundle.Envelope) error {
	for _, role := range []string{bundle.RoleAuthor, bundle.RoleApprover} {
		if e.Signer(role) == "" {
			return refused("the envelope has no signature of an %s", role)
		}
	}
	keyring, err := a.keyring()
	if err != nil {
		return err
	}
	if keyring == nil {
		a.note("no --keyring: the signatures are checked by the nodes alone")
		return nil
	}
	if err := e.Verify(*keyring); err != nil {
		return refused("%w", err)
	}
	return nil
}

// progress is how many usable nodes have a version in force.
type progress struct {
	Version uint64    `json:"version"`
	Nodes   int       `json:"nodes"`
	InForce int       `json:"inForce"`
	Lagging []laggard `json:"lagging"`
}

// laggard is a node with an older version in force.
type laggard struct {
	Node       string `json:"node"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
	Version    uint64 `json:"version"`
}

// complete reports whether every node has the version. No node at all is not
// complete, because at least the answering node is known.
func (p progress) complete() bool { return p.Nodes > 0 && p.InForce == p.Nodes }

// progressOf counts the nodes that are alive or suspect. Leaving and dead
// nodes take no new requests, so a rollout does not wait for them.
func progressOf(status *controlv1.StatusResponse, version uint64) progress {
	p := progress{Version: version, Lagging: []laggard{}}
	for _, n := range knownNodes(status) {
		if n.State != controlv1.NodeState_NODE_STATE_ALIVE && n.State != controlv1.NodeState_NODE_STATE_SUSPECT {
			continue
		}
		p.Nodes++
		if n.BundleVersion >= version {
			p.InForce++
			continue
		}
		p.Lagging = append(p.Lagging, laggard{Node: n.Id, DataCentre: n.DataCentre, State: stateName(n.State), Version: n.BundleVersion})
	}
	return p
}

// knownNodes returns the answering node and the nodes it knows, ordered by
// identifier. What the node says about itself is newer than its membership
// entry, and its version in force is newer than its entry about itself, which
// is written only a few times per second.
func knownNodes(status *controlv1.StatusResponse) []*controlv1.Node {
	var nodes []*controlv1.Node
	if status.Self != nil {
		self := proto.CloneOf(status.Self)
		self.BundleVersion = max(self.BundleVersion, status.BundleVersion)
		nodes = append(nodes, self)
	}
	for _, n := range status.Nodes {
		if status.Self == nil || n.Id != status.Self.Id {
			nodes = append(nodes, n)
		}
	}
	slices.SortFunc(nodes, func(a, b *controlv1.Node) int { return strings.Compare(a.Id, b.Id) })
	return nodes
}

func stateName(s controlv1.NodeState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "NODE_STATE_"))
}

// wait polls a node until all nodes have the version in force.
func (a *app) wait(version uint64, timeout time.Duration) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	bar := progressbar.NewOptions(1, progressbar.OptionSetWriter(a.Stderr), progressbar.OptionShowCount(),
		progressbar.OptionSetVisibility(!a.asJSON()), progressbar.OptionSetPredictTime(false), progressbar.OptionSetWidth(30),
		progressbar.OptionSetDescription(fmt.Sprintf("nodes with version %d", version)))
	deadline := a.Now().Add(timeout)
	var last progress
	for {
		status, callErr := callNode(a, client.Status, &controlv1.StatusRequest{})
		if callErr == nil {
			last = progressOf(status, version)
			bar.ChangeMax(max(last.Nodes, 1))
			if err := bar.Set(last.InForce); err != nil {
				return fmt.Errorf("show progress: %w", err)
			}
		}
		if last.complete() || !a.Now().Before(deadline) {
			a.note("")
			return a.waited(last, callErr)
		}
		if err := a.Sleep(a.Context, pollInterval); err != nil {
			return unreachable("wait for nodes: %w", err)
		}
	}
}

// waited reports the end of a wait.
func (a *app) waited(p progress, callErr error) error {
	if p.Nodes == 0 && callErr != nil {
		return unreachable("the version is active on the platform, but no node answered: %w", callErr)
	}
	if err := a.printProgress(p); err != nil {
		return err
	}
	if !p.complete() {
		return refused("version %d is not yet in force on %d of %d nodes; they take it when they become reachable", p.Version, p.Nodes-p.InForce, p.Nodes)
	}
	return nil
}

func (a *app) printProgress(p progress) error {
	if a.asJSON() {
		return a.printJSON(p)
	}
	fmt.Fprintf(a.Stdout, "version %d is in force on %d of %d nodes\n", p.Version, p.InForce, p.Nodes)
	if len(p.Lagging) == 0 {
		return nil
	}
	var rows [][]string
	for _, l := range p.Lagging {
		rows = append(rows, []string{l.Node, l.DataCentre, l.State, fmt.Sprint(l.Version)})
	}
	return a.printTable([]string{"LAGGING NODE", "DATA CENTRE", "STATE", "VERSION"}, rows)
}

type bundleStatus struct {
	*app `no-flag:"true"`
	Want uint64 `long:"want" value-name:"VERSION" description:"version to compare with; without it, the highest one in force on any node"`
}

// Execute shows how many nodes have a version in force.
func (c *bundleStatus) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := callNode(c.app, client.Status, &controlv1.StatusRequest{})
	if err != nil {
		return err
	}
	version := c.Want
	if version == 0 {
		for _, n := range knownNodes(status) {
			version = max(version, n.BundleVersion)
		}
	}
	p := progressOf(status, version)
	if version == 0 {
		if c.asJSON() {
			if err := c.printJSON(p); err != nil {
				return err
			}
		}
		return refused("no bundle is in force on any of %d nodes", p.Nodes)
	}
	if err := c.printProgress(p); err != nil {
		return err
	}
	if !p.complete() {
		return refused("%d of %d nodes lag", p.Nodes-p.InForce, p.Nodes)
	}
	return nil
}

type bundleRollback struct {
	*app `no-flag:"true"`
	To   uint64 `long:"to" required:"yes" value-name:"VERSION" description:"version whose content is used again"`
	Out  string `long:"out" required:"yes" value-name:"FILE" description:"file for the new version; sign and approve it, then roll it out"`
}

// Execute writes the content of an old version under the next free version.
func (c *bundleRollback) Execute([]string) error {
	p, err := c.publisher()
	if err != nil {
		return err
	}
	content, err := p.fetch(c.Context, c.To)
	if err != nil {
		return err
	}
	next, err := p.nextVersion(c.Context)
	if err != nil {
		return err
	}
	content, err = bundle.WithVersion(content, next)
	if err != nil {
		return refused("%w", err)
	}
	if err := writeFile(c.Out, content); err != nil {
		return err
	}
	if c.asJSON() {
		return c.printJSON(map[string]any{"version": next, "contentOf": c.To, "file": c.Out})
	}
	fmt.Fprintf(c.Stdout, "%s has the content of version %d as version %d; sign it, have it approved and roll it out\n", c.Out, c.To, next)
	return nil
}
