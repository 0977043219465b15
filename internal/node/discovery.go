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
	// nodeKind is the kind of the platform's objects by which nodes find each
	// other. There is one for each node, named like it.
	nodeKind = "siskinvale-nodes"
	// discoveryRetryMin and discoveryRetryMax bound the back-off while the
	// platform does not answer.
	discoveryRetryMin = 300 * time.Millisecond
	discoveryRetryMax = 3 * time.Second
	// discoverySettle is the pause before the second look. Nodes that start
	// together register within it.
	discoverySettle = 2 * time.Second
	// discoveryInterval is the time between later looks, which find nodes that
	// membership lost for good.
	discoveryInterval = 2 * time.Minute
)

// nodeRecord is the value of a node's object.
type nodeRecord struct {
	Node        fleet.NodeID `json:"node"`
	Region      string       `json:"region"`
	DataCentre  string       `json:"dataCentre"`
	PeerAddr    string       `json:"peerAddr"`
	Incarnation uint64       `json:"incarnation"`
}

// discovery registers this node at the platform and introduces the registered
// nodes to membership.
type discovery struct {
	node   *Node
	client platform.Client
}

// run registers the node until it succeeds, and looks for others.
func (d *discovery) run(ctx context.Context) {
	retry := discoveryRetryMin
	looks := 0
	for {
		wait := discoveryInterval
		if err := d.look(ctx); err != nil {
			wait, retry = retry, min(2*retry, discoveryRetryMax)
		} else {
			retry = discoveryRetryMin
			if looks++; looks == 1 {
				wait = discoverySettle
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait/2 + rand.N(wait)):
		}
	}
}

// look makes sure that this node is registered and tells membership about the
// others. The list is read after the own record was written: of two nodes that
// start together, the one that registers last then sees the other.
func (d *discovery) look(ctx context.Context) error {
	version, current, err := d.introduceOthers(ctx)
	if err != nil || current {
		return err
	}
	if err := d.register(ctx, version); err != nil {
		return err // the next look reads what was written
	}
	_, _, err = d.introduceOthers(ctx)
	return err
}

// introduceOthers reads the registered nodes. It returns the version of the own
// record, 0 for none, and whether it is current.
func (d *discovery) introduceOthers(ctx context.Context) (version uint64, current bool, err error) {
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
	d.node.control.post(func() { d.node.control.introduce(found) })
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

// introduce tells membership about nodes that it does not know.
func (c *control) introduce(found []fleet.Node) {
	for _, n := range found {
		if _, ok := c.nodes[n.ID]; !ok {
			c.stepMembers(membership.Introduce{Addr: n.PeerAddr})
		}
	}
}

// seedPeers returns the peer addresses of the VMs that the settings name.
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
