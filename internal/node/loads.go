package node

import (
	"math"
	"time"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/loadreport"
	"siskinvale.dev/siskinvale/internal/membership"
)

const (
	// loadTicks is the number of control ticks between two reports of loads and
	// standings: half a second, in which an episode probability loses a fifth of
	// its weight. A changed standing is reported at once.
	loadTicks = 10
	// maxLoadBytes bounds the loads in one datagram, so that it stays below
	// membership.MaxDatagram with its other fields.
	maxLoadBytes = 1100
	// loadBytes is the size of an encoded load without its identifier, with all
	// numbers at their largest usual sizes.
	loadBytes = 42
	// wantInterval is the shortest time between two requests for target
	// records, and maxWanted the number of targets in one. The records fit one
	// datagram.
	wantInterval = 200 * time.Millisecond
	maxWanted    = 8
)

// sendLoads publishes the load and standing of the local targets and records
// them for this node's own routing.
func (c *control) sendLoads(urgent bool) {
	if c.node.adapter == nil {
		return
	}
	now := time.Now()
	var reports []loadreport.Report
	c.node.sidecar.Loads(func(id fleet.TargetID, l fleet.Load) {
		reports = append(reports, loadreport.Report{
			Target: id, Load: l, At: now, Record: loadreport.Fingerprint(c.targetsByID[id]), Urgent: urgent,
		})
		c.recordLoad(id, l, now)
	})
	c.sendReports(c.loads.Publish(reports))
}

// relayLoads sends the load reports that this node has to pass on.
func (c *control) relayLoads() { c.sendReports(c.loads.Tick(time.Now())) }

// sendReports sends each batch in as many datagrams as it needs.
func (c *control) sendReports(sends []loadreport.Send) {
	now := time.Now()
	for _, s := range sends {
		to := make([]string, 0, len(s.To))
		for _, n := range s.To {
			to = append(to, n.PeerAddr)
		}
		for rest := s.Reports; len(rest) > 0; {
			e := &controlv1.Evidence{Stage: controlv1.LoadStage(s.Stage)}
			for size := 0; len(rest) > 0; rest = rest[1:] {
				if size += loadBytes + len(rest[0].Target); size > maxLoadBytes && len(e.Loads) > 0 {
					break
				}
				e.Loads = append(e.Loads, reportToProto(rest[0], now))
			}
			// A lost packet is not resent; the next one has newer data.
			c.send(c.evidenceDatagram(e), to...)
		}
	}
}

func (c *control) evidenceDatagram(e *controlv1.Evidence) *controlv1.Datagram {
	return &controlv1.Datagram{
		From: string(c.node.self.ID), Incarnation: c.members.Self().Incarnation, BundleVersion: c.version.Load(),
		Body: &controlv1.Datagram_Evidence{Evidence: e},
	}
}

// receiveLoads records the loads that a peer sent or passed on, keeps those
// that this node has to pass on, and asks the peer for the records of targets
// that are not known in the reported version.
func (c *control) receiveLoads(from string, e *controlv1.Evidence) {
	now := time.Now()
	reports := make([]loadreport.Report, 0, len(e.GetLoads()))
	var wanted []string
	for _, l := range e.GetLoads() {
		r := reportFromProto(l, now)
		reports = append(reports, r)
		if t, ok := c.targetsByID[r.Target]; ok && t.Node == c.node.self.ID {
			continue
		}
		c.recordLoad(r.Target, r.Load, r.At)
		if known, ok := c.targets.Record(r.Target); (!ok || loadreport.Fingerprint(known) != r.Record) && len(wanted) < maxWanted {
			wanted = append(wanted, string(r.Target))
		}
	}
	c.loads.Receive(loadreport.Stage(e.GetStage()), reports)
	if len(wanted) > 0 && now.Sub(c.wantedAt) >= wantInterval {
		c.wantedAt = now
		c.send(c.evidenceDatagram(&controlv1.Evidence{WantedTargets: wanted}), from)
	}
}

// sendWanted answers a request for target records.
func (c *control) sendWanted(to string, ids []string) {
	d := c.evidenceDatagram(&controlv1.Evidence{})
	for _, id := range ids[:min(len(ids), maxWanted)] {
		if t, ok := c.targets.Record(fleet.TargetID(id)); ok {
			d.Targets = append(d.Targets, membership.TargetToProto(t))
		}
	}
	if len(d.Targets) > 0 {
		c.send(d, to)
	}
}

func (c *control) recordLoad(id fleet.TargetID, l fleet.Load, at time.Time) {
	if t, ok := c.targetsByID[id]; ok {
		c.routing.Report(t.Service, id, l, at)
	}
}

func reportToProto(r loadreport.Report, now time.Time) *controlv1.TargetLoad {
	l := r.Load
	return &controlv1.TargetLoad{
		RateLimitMilli: uint64(math.Ceil(l.RateLimit * milli)), StartDelayMs: uint32(l.StartDelay.Milliseconds()), RateUnknown: l.RateUnknown,
		Target: string(r.Target), InFlight: uint32(l.InFlight), Queued: uint32(l.Queued), Slots: uint32(l.Slots),
		QueuedWorkUs: uint64(l.QueuedWork.Microseconds()), BadPermille: uint32(l.EpisodeProbability * permille),
		AgeMs: uint32(max(now.Sub(r.At), 0).Milliseconds()), Record: uint32(r.Record),
	}
}

const permille, milli = 1000, 1000

func reportFromProto(l *controlv1.TargetLoad, now time.Time) loadreport.Report {
	return loadreport.Report{
		Target: fleet.TargetID(l.GetTarget()),
		Load: fleet.Load{
			InFlight: int(l.GetInFlight()), Queued: int(l.GetQueued()), Slots: int(l.GetSlots()),
			QueuedWork: time.Duration(l.GetQueuedWorkUs()) * time.Microsecond, EpisodeProbability: float64(l.GetBadPermille()) / permille,
			RateLimit: float64(l.GetRateLimitMilli()) / milli, RateUnknown: l.GetRateUnknown(),
			StartDelay: time.Duration(l.GetStartDelayMs()) * time.Millisecond,
		},
		At: now.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond), Record: uint16(l.GetRecord()),
	}
}
