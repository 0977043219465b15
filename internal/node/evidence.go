package node

import (
	"math/rand/v2"
	"time"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
)

const (
	// evidenceInterval is the shortest time between two sends of ordinary
	// evidence. Evidence of a fault is sent within slowStepTicks control ticks.
	evidenceInterval = 2 * time.Second
	// ordinaryReceivers is how many random peers receive ordinary evidence,
	// which they need only as a baseline for comparison.
	ordinaryReceivers = 8
	// urgentReceivers bounds how many peers receive evidence of a fault
	// directly. It covers all nodes of present fleets; in larger fleets the
	// remaining nodes depend on the sidecar's own refusals and on answers that
	// fail.
	urgentReceivers = 64
	// suspectAgeFactor is the multiple of the usual run time beyond which work
	// in flight counts as evidence of a fault.
	suspectAgeFactor = 3
	// maxSamples keeps an evidence datagram below the maximum packet size.
	maxSamples = 16
)

type evidenceKey struct {
	target fleet.TargetID
	class  string
}

// evidenceCollector merges the health samples of this node's sidecar until they
// are sent to peers.
type evidenceCollector struct {
	random   *rand.Rand
	pending  map[evidenceKey]*health.Sample
	urgent   bool
	lastSent time.Time
}

func newEvidenceCollector(seed uint64) *evidenceCollector {
	return &evidenceCollector{random: rand.New(rand.NewPCG(seed, 1)), pending: make(map[evidenceKey]*health.Sample)}
}

func (e *evidenceCollector) add(samples []health.Sample) {
	for _, s := range samples {
		key := evidenceKey{s.Target, s.Class}
		p, ok := e.pending[key]
		if !ok {
			p = &health.Sample{Target: s.Target, Class: s.Class}
			e.pending[key] = p
		}
		p.Completed += s.Completed
		p.Errors += s.Errors
		p.Truncated += s.Truncated
		p.OldestInFlight, p.TypicalRunTime = s.OldestInFlight, s.TypicalRunTime
		e.urgent = e.urgent || indicatesFault(*p)
	}
}

// indicatesFault reports whether a sample is evidence of a fault: an error, a
// truncated answer, or work that has run for more than suspectAgeFactor times
// its usual run time.
func indicatesFault(s health.Sample) bool {
	return s.Errors > 0 || s.Truncated > 0 || (s.TypicalRunTime > 0 && s.OldestInFlight > suspectAgeFactor*s.TypicalRunTime)
}

// takeDue removes and returns up to maxSamples collected samples if it is time
// to send evidence, and reports whether they may contain evidence of a fault.
func (e *evidenceCollector) takeDue(now time.Time) (samples []*controlv1.HealthSample, urgent bool) {
	if len(e.pending) == 0 || (!e.urgent && now.Sub(e.lastSent) < evidenceInterval) {
		return nil, false
	}
	for key, s := range e.pending {
		if len(samples) == maxSamples {
			break
		}
		samples = append(samples, sampleToProto(*s))
		delete(e.pending, key)
	}
	urgent, e.urgent, e.lastSent = e.urgent, false, now
	return samples, urgent
}

// selectReceivers returns the random peers that receive the evidence. It
// reorders peers.
func (e *evidenceCollector) selectReceivers(peers []fleet.Node, urgent bool) []fleet.Node {
	limit := ordinaryReceivers
	if urgent {
		limit = urgentReceivers
	}
	e.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(limit, len(peers))]
}

func (c *control) sendEvidence() {
	if c.node.adapter != nil {
		return
	}
	samples, urgent := c.evidence.takeDue(time.Now())
	if len(samples) == 0 {
		return
	}
	peers := c.usablePeers()
	d := c.evidenceDatagram(&controlv1.Evidence{Samples: samples})
	for _, peer := range c.evidence.selectReceivers(peers, urgent) {
		// A lost packet is not resent; the next one has newer data.
		c.send(d, peer.PeerAddr)
	}
}

// usablePeers returns the other nodes that are usable.
func (c *control) usablePeers() []fleet.Node {
	var peers []fleet.Node
	for _, n := range c.members.Nodes() {
		if n.ID != c.node.self.ID && n.Usable() {
			peers = append(peers, n)
		}
	}
	return peers
}

func sampleToProto(s health.Sample) *controlv1.HealthSample {
	return &controlv1.HealthSample{
		Target: string(s.Target), Class: s.Class, Completed: s.Completed, Errors: s.Errors, Truncated: s.Truncated,
		OldestInFlightMs: uint32(s.OldestInFlight.Milliseconds()), TypicalUs: uint32(s.TypicalRunTime.Microseconds()),
	}
}

func samplesFromProto(from fleet.NodeID, e *controlv1.Evidence) []health.Sample {
	samples := make([]health.Sample, 0, len(e.GetSamples()))
	for _, s := range e.GetSamples() {
		samples = append(samples, health.Sample{
			Target: fleet.TargetID(s.GetTarget()), Source: from, Class: s.GetClass(),
			Completed: s.GetCompleted(), Errors: s.GetErrors(), Truncated: s.GetTruncated(),
			OldestInFlight: time.Duration(s.GetOldestInFlightMs()) * time.Millisecond,
			TypicalRunTime: time.Duration(s.GetTypicalUs()) * time.Microsecond,
		})
	}
	return samples
}
