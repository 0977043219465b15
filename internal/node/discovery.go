package node

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/membership"
	"siskinvale.dev/siskinvale/internal/platform"
)

const (
	// nodeKind is the kind of the platform objects by which nodes find each
	// other. Each relay of membership has one object, named after its node ID.
	nodeKind = "siskinvale-nodes"
	// discoveryRetryMin and discoveryRetryMax bound the back-off after a failed
	// call to the platform, and after a look that led to no peer.
	discoveryRetryMin = 300 * time.Millisecond
	discoveryRetryMax = 3 * time.Second
	// discoveryJoinWait is how long a node that found others waits for their
	// answers before it looks again.
	discoveryJoinWait = 500 * time.Millisecond
	// discoveryFirstWait is the mean time that a node waits for an answer from
	// its seeds when the fleet starts for the first time. Nodes that have no
	// seeds then look one after another, so that most of them find one that has
	// registered.
	discoveryFirstWait = 1500 * time.Millisecond
	// discoveryInterval is the time between two looks of a registered node. They
	// find nodes that membership has lost permanently.
	discoveryInterval = 2 * time.Minute
	// discoveryRestoreSpread is the time over which registered nodes write their
	// records again after the store has come back from an older copy.
	discoveryRestoreSpread = time.Second
	// discoveryPoll is the time between two checks of what is due, and
	// discoveryIdlePoll the same for a node that has peers.
	discoveryPoll     = 100 * time.Millisecond
	discoveryIdlePoll = 2 * time.Second
)

// nodeRecord is the value of the platform object by which a node registers.
type nodeRecord struct {
	Node        fleet.NodeID `json:"node"`
	Region      string       `json:"region"`
	DataCentre  string       `json:"dataCentre"`
	PeerAddr    string       `json:"peerAddr"`
	Incarnation uint64       `json:"incarnation"`
}

// discoveryAction is a call to the platform.
type discoveryAction uint8

const (
	discoveryIdle discoveryAction = iota
	// discoveryLook reads the registered nodes.
	discoveryLook
	// discoveryRegister registers this node and reads the registered nodes: of
	// two nodes that register at the same time, the later one sees the other.
	discoveryRegister
)

// discoveryPlan decides which calls a node makes to find its peers. Each call is
// paid for, and every node of a fleet starts. A node that reaches a peer through
// its seeds therefore makes none. The relays of membership register, because
// they know all nodes of their data centre, and one reachable registered node is
// enough to join.
type discoveryPlan struct {
	random     *rand.Rand
	registered bool
	// lost is set while a record that this node had written must be assumed
	// lost.
	lost      bool
	looked    bool
	notBefore time.Time
	lastLook  time.Time
	retry     time.Duration
}

func newDiscoveryPlan(now time.Time, firstStart bool, seed uint64) *discoveryPlan {
	p := &discoveryPlan{random: rand.New(rand.NewPCG(seed, 2)), retry: discoveryRetryMin, notBefore: now}
	if firstStart {
		p.notBefore = now.Add(p.jitter(discoveryFirstWait))
	}
	return p
}

// jitter returns a duration between 50% and 150% of d.
func (p *discoveryPlan) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.random.Int64N(int64(d)+1))
}

// next returns the call that is due. joined tells whether membership knows a
// live peer, and relay whether this node is a relay.
func (p *discoveryPlan) next(now time.Time, joined, relay bool) discoveryAction {
	switch {
	case now.Before(p.notBefore):
		return discoveryIdle
	case !joined && !p.looked:
		return discoveryLook
	case (relay || p.lost) && !p.registered:
		return discoveryRegister
	case !joined, p.registered && now.Sub(p.lastLook) >= discoveryInterval:
		return discoveryLook
	default:
		return discoveryIdle
	}
}

// restored makes the plan register again if it had: the store may have lost the
// record.
func (p *discoveryPlan) restored(now time.Time) {
	if p.registered {
		p.registered, p.lost = false, true
		p.notBefore, p.retry = now.Add(time.Duration(p.random.Int64N(int64(discoveryRestoreSpread)))), discoveryRetryMin
	}
}

// done takes the result of a call into account. found is the number of other
// registered nodes.
func (p *discoveryPlan) done(now time.Time, action discoveryAction, found int, err error) {
	if err != nil {
		p.notBefore, p.retry = now.Add(p.jitter(p.retry)), min(2*p.retry, discoveryRetryMax)
		return
	}
	p.looked, p.lastLook = true, now
	if action == discoveryRegister {
		p.registered, p.lost = true, false
	}
	switch {
	case found > 0:
		p.notBefore, p.retry = now.Add(discoveryJoinWait), discoveryRetryMin
	case p.registered:
		p.notBefore, p.retry = now.Add(p.jitter(p.retry)), min(2*p.retry, discoveryRetryMax)
	}
}

// discovery registers this node with the platform and passes the addresses of
// the other registered nodes to membership, as its plan decides.
type discovery struct {
	node   *Node
	client platform.Client
	// version is the version of this node's own record, 0 if none is known, and
	// current tells whether that record has the current incarnation.
	version uint64
	current bool
	// era is the highest era of the store that eraRisen has seen.
	era uint64
}

// run makes the calls that are due until ctx ends.
func (d *discovery) run(ctx context.Context) {
	plan := newDiscoveryPlan(time.Now(), d.node.settings.Load().Deployment.FirstStart, d.node.self.Incarnation)
	for {
		joined := d.node.control.joined.Load()
		if d.eraRisen() {
			plan.restored(time.Now())
		}
		if action := plan.next(time.Now(), joined, d.node.control.relay.Load()); action != discoveryIdle {
			found, err := d.call(ctx, action)
			plan.done(time.Now(), action, found, err)
			if action == discoveryRegister && err == nil && found == 0 && !joined {
				d.node.quotas.alone()
			}
		}
		wait := discoveryPoll
		if joined && !plan.lost {
			wait = discoveryIdlePoll
		}
		select {
		case <-ctx.Done():
			return
		case <-d.node.platform.eraRisen:
		case <-time.After(wait):
		}
	}
}

// eraRisen reports whether the store has come back from an older copy since the
// last call of eraRisen, and forgets what is known of this node's record then.
func (d *discovery) eraRisen() bool {
	known, era := d.era, d.node.platform.era.Load()
	d.era = max(known, era)
	if known == 0 || era <= known {
		return false
	}
	d.version, d.current = 0, false
	return true
}

// call makes the calls of an action and returns the number of other registered
// nodes.
func (d *discovery) call(ctx context.Context, action discoveryAction) (found int, err error) {
	if action == discoveryRegister && !d.current {
		err := d.register(ctx)
		if errors.Is(err, platform.ErrConflict) {
			// An earlier process of this node has left its record.
			if _, err = d.readRegistrations(ctx); err == nil && !d.current {
				err = d.register(ctx)
			}
		}
		if err != nil {
			return 0, err // the next attempt reads whether the record was written
		}
	}
	return d.readRegistrations(ctx)
}

// readRegistrations reads the registered nodes, passes them to membership and
// returns how many others there are.
func (d *discovery) readRegistrations(ctx context.Context) (others int, err error) {
	objects, _, err := d.client.List(ctx, nodeKind)
	if err != nil {
		return 0, err
	}
	self := d.node.self
	var found []fleet.Node
	for _, o := range objects {
		var r nodeRecord
		if err := json.Unmarshal(o.Value, &r); err != nil || r.Node == "" || !validPeerAddr(r.PeerAddr) {
			d.node.log.Log(event.NodeRecordRefused, event.Fields{"key": o.Key})
			continue
		}
		if r.Node == self.ID {
			d.version, d.current = o.Version, r.Incarnation == self.Incarnation
			continue
		}
		found = append(found, fleet.Node{
			ID: r.Node, Region: r.Region, DataCentre: r.DataCentre, PeerAddr: r.PeerAddr, Incarnation: r.Incarnation,
		})
	}
	d.node.control.post(func() { d.node.control.probeUnknownNodes(found) })
	return len(found), nil
}

// validPeerAddr reports whether a record of another writer has an address to
// which a node can send packets.
func validPeerAddr(s string) bool {
	addr, err := netip.ParseAddrPort(s)
	return err == nil && addr.Port() != 0 && !addr.Addr().IsUnspecified() && !addr.Addr().IsMulticast()
}

func (d *discovery) register(ctx context.Context) error {
	self := d.node.self
	value, err := json.Marshal(nodeRecord{
		Node: self.ID, Region: self.Region, DataCentre: self.DataCentre, PeerAddr: self.PeerAddr, Incarnation: self.Incarnation,
	})
	if err != nil {
		return err
	}
	if _, err = d.client.Put(ctx, nodeKind+"/"+string(self.ID), value, d.version); err == nil {
		d.current = true
	}
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
