package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"time"

	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/membership"
	"siskinvale.dev/siskinvale/internal/platform"
)

const (
	// nodeKind is the kind of the platform objects by which nodes find each
	// other. Each node has one object, named after its ID.
	nodeKind = "siskinvale-nodes"
	// discoveryRetryMin and discoveryRetryMax bound the back-off after a failed
	// call to the platform.
	discoveryRetryMin = 300 * time.Millisecond
	discoveryRetryMax = 3 * time.Second
	// discoverySecondDelay is the pause between the first and the second round
	// of discovery. Nodes that start together have registered by then.
	discoverySecondDelay = 2 * time.Second
	// discoveryInterval is the pause between later rounds, which find nodes
	// that membership has lost permanently.
	discoveryInterval = 2 * time.Minute
)

// nodeRecord is the value of the platform object by which a node registers.
type nodeRecord struct {
	Node        fleet.NodeID `json:"node"`
	Region      string       `json:"region"`
	DataCentre  string       `json:"dataCentre"`
	PeerAddr    string       `json:"peerAddr"`
	Incarnation uint64       `json:"incarnation"`
}

// discovery registers this node with the platform and passes the addresses of
// the other registered nodes to membership.
type discovery struct {
	node   *Node
	client platform.Client
}

// run repeats discovery until ctx ends. Pauses are jittered by up to half of
// their length.
func (d *discovery) run(ctx context.Context) {
	retry := discoveryRetryMin
	rounds := 0
	for {
		wait := discoveryInterval
		if err := d.discover(ctx); err != nil {
			wait, retry = retry, min(2*retry, discoveryRetryMax)
		} else {
			retry = discoveryRetryMin
			if rounds++; rounds == 1 {
				wait = discoverySecondDelay
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait/2 + rand.N(wait)):
		}
	}
}

// discover registers this node if its current incarnation is not yet
// registered, and passes the other registered nodes to membership. After a
// registration the list is read again: of two nodes that start together, the
// one that registers last then sees the other.
func (d *discovery) discover(ctx context.Context) error {
	version, current, err := d.readRegistrations(ctx)
	if err != nil || current {
		return err
	}
	if err := d.register(ctx, version); err != nil {
		return err // the next round reads whether the record was written
	}
	_, _, err = d.readRegistrations(ctx)
	return err
}

// readRegistrations reads the registered nodes and passes them to membership.
// It returns the version of this node's own record, 0 if there is none, and
// whether that record has the current incarnation.
func (d *discovery) readRegistrations(ctx context.Context) (version uint64, current bool, err error) {
	objects, _, err := d.client.List(ctx, nodeKind)
	if err != nil {
		return 0, false, err
	}
	self := d.node.self
	var found []fleet.Node
	for _, o := range objects {
		var r nodeRecord
		if err := json.Unmarshal(o.Value, &r); err != nil || r.Node == "" || r.PeerAddr == "" {
			d.node.log.Log(event.NodeRecordRefused, event.Fields{"key": o.Key})
			continue
		}
		if r.Node == self.ID {
			version, current = o.Version, r.Incarnation == self.Incarnation
			continue
		}
		found = append(found, fleet.Node{
			ID: r.Node, Region: r.Region, DataCentre: r.DataCentre, PeerAddr: r.PeerAddr, Incarnation: r.Incarnation,
		})
	}
	d.node.control.post(func() { d.node.control.probeUnknownNodes(found) })
	return version, current, nil
}

func (d *discovery) register(ctx context.Context, version uint64) error {
	self := d.node.self
	value, err := json.Marshal(nodeRecord{
		Node: self.ID, Region: self.Region, DataCentre: self.DataCentre, PeerAddr: self.PeerAddr, Incarnation: self.Incarnation,
	})
	if err != nil {
		return err
	}
	_, err = d.client.Put(ctx, nodeKind+"/"+string(self.ID), value, version)
	return err
}

// probeUnknownNodes gives membership the addresses of nodes that it does not
// know.
func (c *control) probeUnknownNodes(found []fleet.Node) {
	for _, n := range found {
		if _, ok := c.nodes[n.ID]; !ok {
			c.stepMembers(membership.AddSeed{Addr: n.PeerAddr})
		}
	}
}

// seedPeers returns the peer addresses on the VMs in seeds, without this node's
// own address. The peer port is that of own.
func seedPeers(seeds []string, own string) []string {
	_, port, err := net.SplitHostPort(own)
	if err != nil {
		return nil
	}
	var peers []string
	for _, seed := range seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			if addr := net.JoinHostPort(host, port); addr != own {
				peers = append(peers, addr)
			}
		}
	}
	return peers
}
