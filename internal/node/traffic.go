package node

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/metric"
)

// duty is what a datagram to another node is for.
type duty uint8

const (
	dutyMembership duty = iota
	dutyLoads
	dutyRecords
	dutyHealth
	dutyKeyLease
	dutyQuotas
	dutyRetryLoans
	duties = 7
)

var dutyNames = [duties]string{"membership", "loads", "records", "health", "key-lease", "quotas", "retry-loans"}

func dutyOf(d *controlv1.Datagram) duty {
	e := d.GetEvidence()
	switch {
	case d.GetConfirmationQuery() != nil, d.GetConfirmationAnswer() != nil:
		return dutyKeyLease
	case d.GetBudgetQuery() != nil || d.GetBudgetAnswer() != nil:
		return dutyRetryLoans
	case e == nil:
		return dutyMembership
	case len(e.GetLoads()) > 0:
		return dutyLoads
	case len(e.GetSamples()) > 0:
		return dutyHealth
	default:
		return dutyRecords
	}
}

// datagramTraffic counts the bytes of sent datagrams, with their headers, by
// duty and by whether they leave the data centre.
type datagramTraffic struct {
	bytes [duties][2]atomic.Uint64 // own data centre, others
	// remoteAddrs holds the addresses of the nodes in other data centres. The
	// control goroutine owns it.
	remoteAddrs map[string]bool
}

// nodeChanged takes a new or changed record of a node into account.
func (t *datagramTraffic) nodeChanged(n fleet.Node, ownCentre string) {
	if n.DataCentre != ownCentre && n.State != fleet.NodeDead {
		t.remoteAddrs[n.PeerAddr] = true
	} else {
		delete(t.remoteAddrs, n.PeerAddr)
	}
}

func (t *datagramTraffic) count(to []string, d *controlv1.Datagram) {
	size, kind := proto.Size(d), dutyOf(d)
	for _, addr := range to {
		t.add(kind, t.remoteAddrs[addr], size)
	}
}

// add counts one datagram with a message of the given size. It is safe for
// concurrent use.
func (t *datagramTraffic) add(kind duty, remote bool, size int) {
	scope := 0
	if remote {
		scope = 1
	}
	t.bytes[kind][scope].Add(uint64(size + udpHeaderBytes))
}

func (t *datagramTraffic) register(m *metric.Set) {
	for kind, name := range dutyNames {
		for scope, centre := range [...]string{"own", "other"} {
			m.RegisterGauge(fmt.Sprintf("siskinvale_datagram_sent_bytes{duty=%q,dataCentre=%q}", name, centre), func() float64 {
				return float64(t.bytes[kind][scope].Load())
			})
		}
	}
}

// send sends a datagram to peers. An error is treated like a packet lost in the
// network; the transport counts it.
func (c *control) send(d *controlv1.Datagram, to ...string) {
	d.StoreEra = c.node.platform.era.Load()
	d.BundleConfirmedMs = nil
	if at := c.rollout.ConfirmedAt(); !at.IsZero() {
		d.BundleConfirmedMs = proto.Uint32(uint32(min(time.Since(at).Milliseconds(), math.MaxUint32)))
	}
	c.traffic.count(to, d)
	_ = c.transport.SendAll(to, d)
}
