package ctl

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"

	"github.com/sirupsen/logrus"

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
	if err := c.printSelf(status); err != nil {
		return err
	}
	var rows [][]string
	for _, n := range knownNodes(status) {
		rows = append(rows, []string{n.Id, n.Region, n.DataCentre, stateName(n.State), fmt.Sprint(n.BundleVersion), n.CallerAddr, n.OperatorAddr})
	}
	return c.printTable([]string{"NODE", "REGION", "DATA CENTRE", "STATE", "BUNDLE", "CALLERS", "OPERATORS"}, rows)
}

// printSelf prints one line about the answering node.
func (a *app) printSelf(status *controlv1.StatusResponse) error {
	self := status.GetSelf()
	_, err := fmt.Fprintf(a.Stdout, "node %s: %s; %s; platform %s; %d requests in flight; log level %s\n",
		self.GetId(), nodeStateText(status), bundleText(status), reachabilityText(status.PlatformReachable), status.InFlight, status.LogLevel)
	return err
}

// nodeStateText describes whether the node as a whole takes new work. A drain
// of its targets appears in their own states, not here.
func nodeStateText(status *controlv1.StatusResponse) string {
	if status.Draining {
		return "stopping, refuses new work"
	}
	return stateName(status.GetSelf().GetState())
}

func bundleText(status *controlv1.StatusResponse) string {
	if status.BundleVersion == 0 {
		return "no bundle in force"
	}
	return fmt.Sprintf("bundle %s version %d (digest %s)", status.BundleName, status.BundleVersion, status.BundleDigest)
}

func reachabilityText(reachable bool) string {
	if reachable {
		return "reachable"
	}
	return "not reachable"
}

type nodeLogLevel struct {
	*app `no-flag:"true"`
	Args struct {
		Level string `positional-arg-name:"LEVEL" description:"error, warning, info, debug or trace"`
	} `positional-args:"yes" required:"yes"`
}

// Execute changes the log level of a node until it reloads its settings or
// restarts.
func (c *nodeLogLevel) Execute([]string) error {
	level, err := logrus.ParseLevel(c.Args.Level)
	if err != nil {
		return usageErrorf("unknown log level %q; the levels are error, warning, info, debug and trace", c.Args.Level)
	}
	if level < logrus.ErrorLevel {
		// Events that need an operator's attention are logged as errors.
		return usageErrorf("log level %s would hide alarms; the highest level is error", level)
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	response, err := callNode(c.app, client.SetLogLevel, &controlv1.SetLogLevelRequest{Level: level.String()})
	if err != nil {
		return err
	}
	if c.asJSON() {
		return c.printJSON(map[string]string{"node": c.options.Node, "previous": response.Previous, "level": level.String()})
	}
	_, err = fmt.Fprintf(c.Stdout, "log level of node %s is %s, was %s; SIGHUP or a restart sets the level of the settings again\n",
		c.options.Node, level, response.Previous)
	return err
}

type nodeDrain struct {
	*app   `no-flag:"true"`
	Target string `long:"target" description:"drain this target only; without it, all targets beside the node"`
}

// Execute drains one target on a node's VM, or all of them.
func (c *nodeDrain) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if _, err := callNode(c.app, client.Drain, &controlv1.DrainRequest{Target: c.Target}); err != nil {
		return err
	}
	return c.printState("draining", c.Target)
}

type nodeUndrain struct {
	*app   `no-flag:"true"`
	Target string `long:"target" description:"undrain this target only; without it, all targets beside the node"`
}

// Execute ends the drain of one target on a node's VM, or of all of them.
func (c *nodeUndrain) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if _, err := callNode(c.app, client.Undrain, &controlv1.UndrainRequest{Target: c.Target}); err != nil {
		return err
	}
	return c.printState("serving", c.Target)
}

// printState prints the new state of one target, or of all targets on the
// node's VM if target is empty.
func (a *app) printState(state, target string) error {
	if a.asJSON() {
		return a.printJSON(map[string]string{"state": state, "node": a.options.Node, "target": target})
	}
	if target != "" {
		_, err := fmt.Fprintf(a.Stdout, "target %s is %s\n", target, state)
		return err
	}
	_, err := fmt.Fprintf(a.Stdout, "all targets of node %s are %s\n", a.options.Node, state)
	return err
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
	response, err := callNode(c.app, client.ListTargets, &controlv1.ListTargetsRequest{Service: c.Service})
	if err != nil {
		return err
	}
	if c.asJSON() {
		if err := c.printMessage(response); err != nil {
			return err
		}
	}
	if c.Service != "" && len(response.Targets) == 0 {
		return refusedErrorf("node %s knows no targets of service %s", c.options.Node, c.Service)
	}
	if c.asJSON() {
		return nil
	}
	var rows [][]string
	for _, s := range response.Targets {
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

// Execute shows how a node would handle a request, without sending it.
func (c *explain) Execute([]string) error {
	service, path, err := c.serviceAndPath()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	response, err := callNode(c.app, client.Explain, &controlv1.ExplainRequest{
		Service: service, Method: strings.ToUpper(c.Args.Method), Path: path,
		Tenant: c.Tenant, IdempotencyKey: c.IdempotencyKey,
	})
	if err != nil {
		return err
	}
	if c.asJSON() {
		return c.printMessage(response)
	}
	class := "class " + response.Class
	if response.Class == "" {
		class = "no class"
	}
	fmt.Fprintf(c.Stdout, "service %s, %s, bundle version %d\n", response.Service, class, response.BundleVersion)
	for i, line := range response.Lines {
		fmt.Fprintf(c.Stdout, "%3d. %s\n", i+1, line)
	}
	return nil
}

// serviceAndPath returns the service and the path of the request as a node
// would see them.
func (c *explain) serviceAndPath() (service, path string, err error) {
	u, err := url.Parse(c.Args.URL)
	if err != nil {
		return "", "", usageErrorf("%w", err)
	}
	path = u.EscapedPath()
	if path == "" {
		path = "/"
	}
	if c.Service != "" {
		return c.Service, path, nil
	}
	if _, err := netip.ParseAddr(u.Hostname()); err == nil || u.Hostname() == "" {
		return "", "", usageErrorf("the host of the URL does not name a service; use --service")
	}
	service, _, _ = strings.Cut(u.Hostname(), ".")
	return service, path, nil
}
