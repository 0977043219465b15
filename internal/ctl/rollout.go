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

// pollInterval is the time between two status calls while a rollout waits for
// the nodes.
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

// Execute makes the bundle active on the platform and waits until the nodes
// have it in force.
func (c *bundleRollout) Execute([]string) error {
	e, err := readEnvelope(c.Args.Envelope)
	if err != nil {
		return err
	}
	_, pieces, err := c.readMatchingBundle(c.Args.File, e)
	if err != nil {
		return err
	}
	if err := c.checkSignatures(e); err != nil {
		return err
	}
	if !c.NoWait {
		// Missing options for the calls to the node are reported before
		// anything is written to the platform.
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
	return c.waitForNodes(e.Manifest.Version, c.Timeout)
}

func (a *app) publisher() (*publisher, error) {
	store, err := a.store()
	if err != nil {
		return nil, err
	}
	return &publisher{store: store, sleep: a.Sleep, callTimeout: a.options.CallTimeout}, nil
}

// checkSignatures checks that author and approver have signed, and verifies
// their signatures if the options name a keyring. Every node verifies the
// signatures again with the keyring in its own settings.
func (a *app) checkSignatures(e *bundle.Envelope) error {
	for _, role := range []string{bundle.RoleAuthor, bundle.RoleApprover} {
		if e.Signer(role) == "" {
			return refusedErrorf("the envelope has no signature of an %s", role)
		}
	}
	keyring, err := a.keyring()
	if err != nil {
		return err
	}
	if keyring == nil {
		a.note("no --keyring given: only the nodes verify the signatures")
		return nil
	}
	if err := e.Verify(*keyring); err != nil {
		return refusedErrorf("%w", err)
	}
	return nil
}

// progress tells how many usable nodes have a version in force. It is printed
// as JSON.
type progress struct {
	Version uint64        `json:"version"`
	Nodes   int           `json:"nodes"`
	InForce int           `json:"inForce"`
	Lagging []laggingNode `json:"lagging"`
}

// laggingNode is a node with an older version in force.
type laggingNode struct {
	Node       string `json:"node"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
	Version    uint64 `json:"version"`
}

// complete reports whether every usable node has the version in force. It is
// false without any node, because a status answer always names at least the
// answering node.
func (p progress) complete() bool { return p.Nodes > 0 && p.InForce == p.Nodes }

// rolloutProgress counts the usable nodes, which are alive or suspect, and
// those with the version or a newer one in force. Leaving and dead nodes take
// no new requests, so a rollout does not wait for them.
func rolloutProgress(status *controlv1.StatusResponse, version uint64) progress {
	p := progress{Version: version, Lagging: []laggingNode{}}
	for _, n := range knownNodes(status) {
		if n.State != controlv1.NodeState_NODE_STATE_ALIVE && n.State != controlv1.NodeState_NODE_STATE_SUSPECT {
			continue
		}
		p.Nodes++
		if n.BundleVersion >= version {
			p.InForce++
			continue
		}
		p.Lagging = append(p.Lagging, laggingNode{Node: n.Id, DataCentre: n.DataCentre, State: stateName(n.State), Version: n.BundleVersion})
	}
	return p
}

// knownNodes returns the answering node and the nodes it knows, ordered by
// identifier. For the answering node, status.Self replaces its entry in
// status.Nodes, which is older. Self is updated only a few times per second, so
// status.BundleVersion replaces an older bundle version in Self.
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

// waitForNodes polls the status of one node until all usable nodes have the
// version in force or the timeout has passed.
func (a *app) waitForNodes(version uint64, timeout time.Duration) error {
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
			last = rolloutProgress(status, version)
			bar.ChangeMax(max(last.Nodes, 1))
			if err := bar.Set(last.InForce); err != nil {
				return fmt.Errorf("show progress: %w", err)
			}
		}
		if last.complete() || !a.Now().Before(deadline) {
			a.note("")
			return a.reportWaitResult(last, callErr)
		}
		if err := a.Sleep(a.Context, pollInterval); err != nil {
			return unreachableErrorf("wait for nodes: %w", err)
		}
	}
}

// reportWaitResult prints the latest progress. It returns an error if a node
// lags or if no status call was answered; callErr is the error of the last
// call.
func (a *app) reportWaitResult(p progress, callErr error) error {
	if p.Nodes == 0 && callErr != nil {
		return unreachableErrorf("the version is active on the platform, but no node answered: %w", callErr)
	}
	if err := a.printProgress(p); err != nil {
		return err
	}
	if !p.complete() {
		return refusedErrorf("version %d is not yet in force on %d of %d nodes; they activate it when they become reachable", p.Version, p.Nodes-p.InForce, p.Nodes)
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
	p := rolloutProgress(status, version)
	if version == 0 {
		if c.asJSON() {
			if err := c.printJSON(p); err != nil {
				return err
			}
		}
		return refusedErrorf("no bundle is in force on any of %d nodes", p.Nodes)
	}
	if err := c.printProgress(p); err != nil {
		return err
	}
	if !p.complete() {
		return refusedErrorf("%d of %d nodes do not have the version in force", p.Nodes-p.InForce, p.Nodes)
	}
	return nil
}

type bundleRollback struct {
	*app `no-flag:"true"`
	To   uint64 `long:"to" required:"yes" value-name:"VERSION" description:"version whose content is used again"`
	Out  string `long:"out" required:"yes" value-name:"FILE" description:"file for the new version; sign and approve it, then roll it out"`
}

// Execute writes a bundle file with the content of an old version and the next
// free version number.
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
		return refusedErrorf("%w", err)
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
