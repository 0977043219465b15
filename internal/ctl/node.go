package ctl

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
)

type nodeStatus struct {
	*app `no-flag:"true"`
}

// Execute shows a node and the nodes it knows.
func (c *nodeStatus) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := callNode(c.app, client.Status, &controlv1.StatusRequest{})
	if err != nil {
		return err
	}
	if c.asJSON() {
		return c.printMessage(status)
	}
	fmt.Fprintf(c.Stdout, "node %s: bundle %s version %d (%s), platform reachable %t, draining %t, %d requests in flight, log level %s\n",
		status.GetSelf().GetId(), status.BundleName, status.BundleVersion, status.BundleDigest,
		status.PlatformReachable, status.Draining, status.InFlight, status.LogLevel)
	var rows [][]string
	for _, n := range knownNodes(status) {
		rows = append(rows, []string{n.Id, n.Region, n.DataCentre, stateName(n.State), fmt.Sprint(n.BundleVersion), n.CallerAddr, n.OperatorAddr})
	}
	return c.printTable([]string{"NODE", "REGION", "DATA CENTRE", "STATE", "BUNDLE", "CALLERS", "OPERATORS"}, rows)
}

type nodeDrain struct {
	*app   `no-flag:"true"`
	Target string `long:"target" description:"drain this target only"`
}

// Execute drains a node or one of its targets.
func (c *nodeDrain) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if _, err := callNode(c.app, client.Drain, &controlv1.DrainRequest{Target: c.Target}); err != nil {
		return err
	}
	return c.done("draining", c.Target)
}

type nodeUndrain struct {
	*app   `no-flag:"true"`
	Target string `long:"target" description:"undrain this target only"`
}

// Execute ends a drain.
func (c *nodeUndrain) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if _, err := callNode(c.app, client.Undrain, &controlv1.UndrainRequest{Target: c.Target}); err != nil {
		return err
	}
	return c.done("serving", c.Target)
}

// done reports the state that a node or target was put into.
func (a *app) done(state, target string) error {
	if a.asJSON() {
		return a.printJSON(map[string]string{"state": state, "node": a.options.Node, "target": target})
	}
	what := "node " + a.options.Node
	if target != "" {
		what = "target " + target
	}
	fmt.Fprintf(a.Stdout, "%s is %s\n", what, state)
	return nil
}

type targets struct {
	*app    `no-flag:"true"`
	Service string `long:"service" description:"show the targets of this service only"`
}

// Execute shows targets, their health and their load.
func (c *targets) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	list, err := callNode(c.app, client.ListTargets, &controlv1.ListTargetsRequest{Service: c.Service})
	if err != nil {
		return err
	}
	if c.asJSON() {
		return c.printMessage(list)
	}
	var rows [][]string
	for _, s := range list.Targets {
		t := s.GetTarget()
		state := strings.ToLower(strings.TrimPrefix(t.GetState().String(), "TARGET_STATE_"))
		rows = append(rows, []string{t.GetId(), t.GetService(), t.GetNode(), t.GetDataCentre(), state, s.Verdict,
			fmt.Sprintf("%.0f%%", s.Share*100), fmt.Sprintf("%d/%d", s.InFlight, t.GetSlots()), fmt.Sprint(s.Queued), s.Reason})
	}
	return c.printTable([]string{"TARGET", "SERVICE", "NODE", "DATA CENTRE", "STATE", "VERDICT", "SHARE", "SLOTS", "QUEUED", "REASON"}, rows)
}

type explain struct {
	*app           `no-flag:"true"`
	Service        string `long:"service" description:"service name; without it, the first label of the URL's host"`
	Tenant         string `long:"tenant" description:"organisation that sends the request"`
	IdempotencyKey string `long:"idempotency-key" description:"Idempotency-Key of the request"`
	Args           struct {
		Method string `positional-arg-name:"METHOD"`
		URL    string `positional-arg-name:"URL"`
	} `positional-args:"yes" required:"yes"`
}

// Execute shows the decisions that a node would take for a request.
func (c *explain) Execute([]string) error {
	service, path, err := c.request()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	answer, err := callNode(c.app, client.Explain, &controlv1.ExplainRequest{
		Service: service, Method: strings.ToUpper(c.Args.Method), Path: path,
		Tenant: c.Tenant, IdempotencyKey: c.IdempotencyKey,
	})
	if err != nil {
		return err
	}
	if c.asJSON() {
		return c.printMessage(answer)
	}
	fmt.Fprintf(c.Stdout, "service %s, class %s, bundle version %d\n", answer.Service, answer.Class, answer.BundleVersion)
	for i, line := range answer.Lines {
		fmt.Fprintf(c.Stdout, "%3d. %s\n", i+1, line)
	}
	return nil
}

// request returns the service and the path as they would arrive at a node.
func (c *explain) request() (service, path string, err error) {
	u, err := url.Parse(c.Args.URL)
	if err != nil {
		return "", "", usage("%w", err)
	}
	path = u.EscapedPath()
	if path == "" {
		path = "/"
	}
	if c.Service != "" {
		return c.Service, path, nil
	}
	if _, err := netip.ParseAddr(u.Hostname()); err == nil || u.Hostname() == "" {
		return "", "", usage("the URL's host names no service; use --service")
	}
	service, _, _ = strings.Cut(u.Hostname(), ".")
	return service, path, nil
}
