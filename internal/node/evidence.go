package node

import (
	"math/rand/v2"
	"slices"
	"time"

	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
	"siskinvale.dev/siskinvale/internal/membership"
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
	samples, urgent := c.evidence.takeDue(time.Now())
	if len(samples) == 0 {
		return
	}
	peers := c.usablePeers()
	d := &controlv1.Datagram{
		From: string(c.node.self.ID), Incarnation: c.members.Self().Incarnation,
		Body: &controlv1.Datagram_Evidence{Evidence: &controlv1.Evidence{Samples: samples}},
	}
	for _, peer := range c.evidence.selectReceivers(peers, urgent) {
		// A lost packet is not resent; the next one has newer data.
		_ = c.transport.Send(peer.PeerAddr, d)
	}
}

const (
	// loadTicks is the number of control ticks between two reports of loads and
	// standings inside the data centre: half a second, in which an episode
	// probability loses a fifth of its weight. Traffic between data centres
	// costs more, so only every remoteLoadReportInterval-th report is sent to
	// all data centres. A changed standing is sent to all data centres at once.
	loadTicks                = 10
	remoteLoadReportInterval = 3
	// loadReceivers bounds how many peers receive one report. In a larger fleet
	// each report goes to a new random selection of peers.
	loadReceivers = 32
)

// sendLoads sends the load and standing of the local targets to peers and
// records them for this node's own routing.
func (c *control) sendLoads(allDataCentres bool) {
	if c.node.adapter == nil {
		return
	}
	c.loadReports++
	allDataCentres = allDataCentres || c.loadReports%remoteLoadReportInterval == 0
	var loads []*controlv1.TargetLoad
	c.node.sidecar.Loads(func(id fleet.TargetID, l fleet.Load) {
		loads = append(loads, loadToProto(id, l))
		c.recordLoad(id, l)
	})
	var records []*controlv1.Target
	if allDataCentres {
		for _, t := range c.targets.Local() {
			records = append(records, membership.TargetToProto(t))
		}
	}
	if len(loads)+len(records) == 0 {
		return
	}
	c.sendToPeers(&controlv1.Evidence{Loads: loads}, records, allDataCentres)
}

// sendToPeers sends evidence, and the records of the targets that the evidence
// is about, to random peers: of all data centres if allDataCentres is set,
// otherwise only of this node's own.
func (c *control) sendToPeers(e *controlv1.Evidence, records []*controlv1.Target, allDataCentres bool) {
	d := &controlv1.Datagram{
		From: string(c.node.self.ID), Incarnation: c.members.Self().Incarnation,
		Body: &controlv1.Datagram_Evidence{Evidence: e}, Targets: records,
	}
	if allDataCentres {
		// Peers that missed the announcement of the version in force learn of
		// it here.
		d.Nodes = []*controlv1.Node{{Id: string(c.node.self.ID), BundleVersion: c.version.Load()}}
	}
	peers := c.usablePeers()
	c.evidence.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if !allDataCentres {
		peers = slices.DeleteFunc(peers, func(n fleet.Node) bool { return n.DataCentre != c.node.self.DataCentre })
	}
	for _, peer := range peers[:min(loadReceivers, len(peers))] {
		// A lost packet is not resent; the next one has newer data.
		_ = c.transport.Send(peer.PeerAddr, d)
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

// recordPeerLoads records the loads that a node reported for its own targets.
// It ignores loads of targets on other nodes.
func (c *control) recordPeerLoads(from fleet.NodeID, loads []*controlv1.TargetLoad) {
	for _, l := range loads {
		if t, ok := c.targetsByID[fleet.TargetID(l.GetTarget())]; ok && t.Node == from {
			c.recordLoad(t.ID, loadFromProto(l))
		}
	}
}

func (c *control) recordLoad(id fleet.TargetID, l fleet.Load) {
	if t, ok := c.targetsByID[id]; ok {
		c.routing.Report(t.Service, id, l, time.Now())
	}
}

func loadToProto(id fleet.TargetID, l fleet.Load) *controlv1.TargetLoad {
	return &controlv1.TargetLoad{
		Target: string(id), InFlight: uint32(l.InFlight), Queued: uint32(l.Queued), Slots: uint32(l.Slots),
		QueuedWorkUs: uint64(l.QueuedWork.Microseconds()), BadPermille: uint32(l.EpisodeProbability * permille),
	}
}

const permille = 1000

func loadFromProto(l *controlv1.TargetLoad) fleet.Load {
	return fleet.Load{
		InFlight: int(l.GetInFlight()), Queued: int(l.GetQueued()), Slots: int(l.GetSlots()),
		QueuedWork: time.Duration(l.GetQueuedWorkUs()) * time.Microsecond, EpisodeProbability: float64(l.GetBadPermille()) / permille,
	}
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
