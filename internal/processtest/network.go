package processtest

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// Ports are fixed, below the range that the kernel gives to outgoing
// connections.
const (
	callersPort   = 27001
	peersPort     = 27002
	targetsPort   = 27003
	operatorsPort = 27004
	platformPort  = 27100
	claimPort     = 27101
	targetPort    = 27200 // first port of the targets of a node
	linkPort      = 27300 // first port of the links of a node
	controlPort   = 27400 // first port of the links' control calls
)

// network is the loopback network of one fleet.
type network struct {
	number int
	claim  net.Listener
}

// claimNetwork finds a network that no other fleet on this machine uses.
func claimNetwork() (*network, error) {
	const first, count = 1, 250
	var last error
	for i := range count {
		number := first + (os.Getpid()+i)%count
		claim, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", number, claimPort))
		if err == nil {
			return &network{number: number, claim: claim}, nil
		}
		last = err
	}
	return nil, fmt.Errorf("no free loopback network: %w", errors.Join(last))
}

// address of a port of a node; both numbers start at 1. Data centre 0 holds
// what is not part of the fleet.
func (n *network) address(dataCentre, node, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n.number, dataCentre, node, port)
}

func (n *network) release() { n.claim.Close() }
