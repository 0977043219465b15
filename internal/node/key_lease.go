package node

import (
	"math"
	"sync/atomic"
	"time"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/event"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/freshness"
	"siskinvale.dev/siskinvale/internal/ingress"
	"siskinvale.dev/siskinvale/internal/rollout"
)

// keyLeaseMargin is the fraction of Organisations.RevokeWithin by which the
// lease on API keys is shorter, for clocks of VMs that run at different rates.
const keyLeaseMargin = 0.02

// keyLease is the part of the control state that decides for how long API keys
// may be used. The machine is nil if the settings set no bound.
type keyLease struct {
	machine *freshness.Machine
	// peersChanged is set when the machine does not know the newest peers.
	peersChanged bool
	// confirmed is the last confirmation, for traffic goroutines.
	confirmed atomic.Pointer[freshness.Confirmation]
	queries   atomic.Uint64
}

// keyLeaseMaxAge returns the longest age of a confirmation with which API keys
// are used, 0 if there is no bound.
func (n *Node) keyLeaseMaxAge() time.Duration {
	return time.Duration(float64(n.settings.Load().Organisations.RevokeWithin) * (1 - keyLeaseMargin))
}

// ingressKeyLease returns the bound for the ingress, the zero value if there is
// none.
func (n *Node) ingressKeyLease() ingress.KeyLease {
	limit := n.keyLeaseMaxAge()
	if limit <= 0 {
		return ingress.KeyLease{}
	}
	return ingress.KeyLease{MaxAge: limit, Age: func(version uint64) (time.Duration, bool) {
		c := n.control.keyLease.confirmed.Load()
		if c == nil || c.Version > version {
			return 0, false
		}
		return n.bootTime() - c.At, true
	}}
}

func (l *keyLease) init(n *Node) {
	if limit := n.keyLeaseMaxAge(); limit > 0 {
		l.machine = freshness.New(freshness.Config{MaxAge: limit, Seed: n.self.Incarnation})
	}
}

func (n *Node) registerKeyLeaseGauges() {
	l := &n.control.keyLease
	if l.machine == nil {
		return
	}
	n.metrics.RegisterGauge("siskinvale_bundle_confirmation_age_seconds", func() float64 {
		if c := l.confirmed.Load(); c != nil {
			return (n.bootTime() - c.At).Seconds()
		}
		return math.NaN()
	})
	n.metrics.RegisterGauge("siskinvale_confirmation_queries", func() float64 { return float64(l.queries.Load()) })
}

// stepKeyLease applies an event to the lease on API keys, if there is one.
func (c *control) stepKeyLease(ev freshness.Event) {
	m := c.keyLease.machine
	if m == nil {
		return
	}
	for _, action := range m.Step(c.node.bootTime(), ev) {
		switch a := action.(type) {
		case freshness.Ask:
			c.sendConfirmation(c.nodes[a.To].PeerAddr, &controlv1.Datagram{Body: &controlv1.Datagram_ConfirmationQuery{
				ConfirmationQuery: &controlv1.ConfirmationQuery{Sequence: a.Sequence},
			}})
		case freshness.Reply:
			c.sendConfirmation(a.To, &controlv1.Datagram{Body: &controlv1.Datagram_ConfirmationAnswer{
				ConfirmationAnswer: &controlv1.ConfirmationAnswer{
					Sequence: a.Sequence, Version: a.Version, AgeMs: uint64(a.Age.Milliseconds()),
				},
			}})
		case freshness.ReadPlatform:
			// The read must not start within a step of this machine.
			c.post(func() { c.stepRollout(rollout.ReadRequested{}) })
		case freshness.Expired:
			c.node.log.Log(event.KeysExpired, event.Fields{"version": c.statedVersion.Load()})
		case freshness.Renewed:
			c.node.log.Log(event.KeysRenewed, event.Fields{"version": c.statedVersion.Load(), "afterMs": a.After.Milliseconds()})
		}
	}
	c.keyLease.queries.Store(m.Stats().Queries)
}

func (c *control) sendConfirmation(to string, d *controlv1.Datagram) {
	d.From, d.Incarnation, d.BundleVersion = string(c.node.self.ID), c.members.Self().Incarnation, c.version.Load()
	c.send(d, to)
}

// receiveConfirmation handles the datagrams of the lease on API keys. It reports
// whether d is one.
func (c *control) receiveConfirmation(from string, d *controlv1.Datagram) bool {
	switch body := d.Body.(type) {
	case *controlv1.Datagram_ConfirmationQuery:
		c.stepKeyLease(freshness.Query{From: from, Sequence: body.ConfirmationQuery.GetSequence()})
	case *controlv1.Datagram_ConfirmationAnswer:
		answer := body.ConfirmationAnswer
		c.stepKeyLease(freshness.Answer{
			From: fleet.NodeID(d.GetFrom()), Sequence: answer.GetSequence(), Version: answer.GetVersion(),
			Age: time.Duration(min(answer.GetAgeMs(), math.MaxInt64/uint64(time.Millisecond))) * time.Millisecond,
		})
	default:
		return false
	}
	return true
}

// updateKeyLeasePeers tells the lease on API keys which peers there are, if they
// have changed.
func (c *control) updateKeyLeasePeers() {
	if c.keyLease.machine == nil || !c.keyLease.peersChanged {
		return
	}
	c.keyLease.peersChanged = false
	readers := c.rollout.Readers()
	var peers []freshness.Peer
	for _, n := range c.usablePeers() {
		peers = append(peers, freshness.Peer{ID: n.ID, Reader: readers[n.ID], Near: n.DataCentre == c.node.self.DataCentre})
	}
	freshness.SortPeers(peers)
	c.stepKeyLease(freshness.PeersChanged{Peers: peers, Reader: c.rollout.IsReader()})
}

// publishConfirmation gives the ingress a new confirmation. It must follow
// publish: a confirmation is of no use with a view of an older bundle.
func (c *control) publishConfirmation() {
	l := &c.keyLease
	if l.machine == nil {
		return
	}
	confirmed, ok := l.machine.Confirmation()
	if published := l.confirmed.Load(); ok && (published == nil || *published != confirmed) {
		l.confirmed.Store(&confirmed)
	}
}
