package processtest

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// All ports are fixed. They are below the range from which the kernel chooses
// the ports of outgoing connections.
const (
	callersPort   = 27001
	peersPort     = 27002
	targetsPort   = 27003
	operatorsPort = 27004
	platformPort  = 27100
	claimPort     = 27101 // held open to reserve a network
	targetPort    = 27200 // plus the number of the target at its node
	linkPort      = 27300 // plus the number of the link at its node
	controlPort   = 27400 // plus the number of the link; for its control API
)

// network is the loopback network 127.number.0.0/16 of one fleet.
type network struct {
	number int
	// claim is the open listener that reserves the network.
	claim net.Listener
}

// claimNetwork reserves a network that no other fleet on this machine uses. It
// starts the search at a number derived from the process id.
func claimNetwork() (*network, error) {
	const first, count = 1, 250
	var lastErr error
	for i := range count {
		number := first + (os.Getpid()+i)%count
		claim, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", number, claimPort))
		if err == nil {
			return &network{number: number, claim: claim}, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("no free loopback network, last attempt: %w", errors.Join(lastErr))
}

// address returns the ip:port of a port of a node. Data centres and nodes are
// numbered from 1. Data centre 0 is for processes outside the fleet's data
// centres, such as the platform.
func (n *network) address(dataCentre, node, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n.number, dataCentre, node, port)
}

func (n *network) release() { n.claim.Close() }
