package ctl

import (
	"fmt"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
)

type operationsRelease struct {
	*app `no-flag:"true"`
	Yes  bool `long:"yes" description:"confirm that the VMs of the lost owners and standbys are gone"`
	Args struct {
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"yes" required:"yes"`
}

// releaseWarning is the error when the confirmation is missing. It explains the
// risk of running an operation twice.
const releaseWarning = `this releases the key ranges of %s whose owner and standby are both lost, so that other nodes can own them.
Make sure that the VMs of these nodes are gone or stopped, not merely unreachable: an owner and a standby that
cannot be reached from here may still run operations, and the same operation could then run twice.
Requests with keys from before the release are answered as unknown until the retry window has passed.
Repeat the command with --yes to release the ranges`

// Execute asks a node to release the key ranges of a service whose owner and
// standby are lost.
func (c *operationsRelease) Execute([]string) error {
	if !c.Yes {
		return usageErrorf(releaseWarning, c.Args.Service)
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	if _, err := callNode(c.app, client.ReleaseOperations, &controlv1.ReleaseOperationsRequest{Service: c.Args.Service}); err != nil {
		return err
	}
	if c.asJSON() {
		return c.printJSON(map[string]string{"node": c.options.Node, "service": c.Args.Service, "state": "requested"})
	}
	_, err = fmt.Fprintf(c.Stdout, "node %s accepted the release for service %s; ranges that have an owner or a standby are left alone. "+
		"The node logs event 5007 once every range has an owner or a standby again\n", c.options.Node, c.Args.Service)
	return err
}
