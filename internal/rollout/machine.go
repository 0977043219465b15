package rollout

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/platform"
)

const (
	// startupAnswers is the number of peers whose answers are enough at startup.
	// With three, a single lagging peer cannot determine the version.
	startupAnswers = 3
	// platformBackoffMin is the initial back-off of platform reads and watches,
	// before jitter.
	platformBackoffMin = 500 * time.Millisecond
	// platformCallTimeout is the time after which a platform call without a
	// result counts as failed. It exceeds the longest watch.
	platformCallTimeout = 45 * time.Second
	// conflictReadInterval is the minimum time between two platform reads that
	// resolve a conflict.
	conflictReadInterval = 10 * time.Second
)

// ErrPiece means that the SHA-256 of a piece differs from its name.
var ErrPiece = errors.New("piece does not match its SHA-256 name")

// Machine decides which bundle one node has in force and what it fetches. It is
// not safe for concurrent use.
type Machine struct {
	self     fleet.NodeID
	verifier Verifier
	cfg      Config
	random   *rand.Rand
	now      time.Time
	actions  []Action

	nodes  map[fleet.NodeID]fleet.Node
	live   []fleet.NodeID // usable peers without this node, ordered by identifier
	reader bool
	// ownHash is the readerHash of this node, and lowerHashes the number of live
	// peers in its data centre that have a lower one. liveByCentre counts the
	// live peers by data centre. They are kept up to date with each change,
	// because all nodes of a fleet may start at the same time.
	ownHash      uint64
	lowerHashes  int
	liveByCentre map[string]int
	// newestVersion caches the result of newestPeerVersion. It is valid while
	// newestValid is set.
	newestVersion uint64
	newestValid   bool

	inForce      Content
	fromPlatform bool // the digest in force was read from the platform
	pending      *pending

	envelopeFetch *fetch   // at most one envelope fetch at a time
	pieceFetches  []*fetch // at most maxPieceFetches
	avoidUntil    map[fleet.NodeID]time.Time
	failures      int // consecutive fetches without a useful answer
	nextFetch     time.Time

	startup      startup
	platform     platformState
	confirmation confirmation

	// behindSince is the time since which a higher version than the one in force
	// is known, or of the last read for this reason; zero if none is known.
	behindSince       time.Time
	nextCheck         time.Time
	reportedConflicts map[string]bool      // reported digests
	undecodableUntil  map[string]time.Time // digests ignored until then, as decoding failed
	lastConflictRead  time.Time
	conflictReadDue   bool
	stats             Stats
}

// startup is the state of the startup phase, which ends when the node is ready.
type startup struct {
	startedAt     time.Time
	answered      map[fleet.NodeID]bool
	platformRead  bool
	enoughAnswers bool
	ready         bool
}

// platformState is the state of the calls to the platform.
type platformState struct {
	inFlight  bool
	startedAt time.Time // of the last call
	expires   time.Time
	nextCall  time.Time // earliest time of the next call
	backoff   time.Duration
	at        platform.Position
	// heldVersion is the version that the platform held at the position at, 0 if
	// it is not known.
	heldVersion uint64
	readDone    bool        // cleared when a reader must read again before it watches
	older       olderBundle // last one that was reported
	// version is that of the last envelope that the platform returned,
	// unusableVersion if it could not be verified.
	version uint64
}

// unusableVersion stands for the version of an envelope that cannot be
// verified. No bundle in force confirms that it is as new as such an envelope.
const unusableVersion = math.MaxUint64

// olderBundle identifies a bundle that the platform held in an era and that is
// older than the one in force.
type olderBundle struct {
	era    uint64
	digest string
}

// Stats holds the counters of a machine since its creation.
type Stats struct {
	Activations, Rejected, Conflicts    uint64
	PieceBytesPeers, PieceBytesPlatform uint64
	EnvelopeFetches, PieceFetches       uint64
	PlatformReads, PlatformPieceReads   uint64
	PlatformWatches, FailedFetches      uint64
	// ReadsByReason divides PlatformReads, indexed by ReadReason.
	ReadsByReason [readReasons]uint64
}

// New returns a machine for the node self that has no bundle in force.
func New(self fleet.NodeID, verifier Verifier, cfg Config) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		self: self, verifier: verifier, cfg: cfg,
		random:            rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(string(self)))),
		nodes:             make(map[fleet.NodeID]fleet.Node),
		avoidUntil:        make(map[fleet.NodeID]time.Time),
		reportedConflicts: make(map[string]bool),
		undecodableUntil:  make(map[string]time.Time),
		startup:           startup{answered: make(map[fleet.NodeID]bool)},
		ownHash:           readerHash(self),
		liveByCentre:      make(map[string]int),
	}
	m.chooseReader()
	return m
}

// InForce returns the version in force and its digest, or 0 and "" if no bundle
// is in force.
func (m *Machine) InForce() (version uint64, digest string) {
	return m.inForce.Version, m.inForce.Digest
}

// Content returns the bundle in force in the form that is served to other
// nodes.
func (m *Machine) Content() Content { return m.inForce }

// IsReady reports whether the machine has emitted Ready.
func (m *Machine) IsReady() bool { return m.startup.ready }

// IsReader reports whether this node is a reader, which watches the platform.
func (m *Machine) IsReader() bool { return m.reader }

// Stats returns a copy of the counters.
func (m *Machine) Stats() Stats { return m.stats }

// ReadReasons returns all reasons for which a node reads the platform.
func ReadReasons() []ReadReason {
	reasons := make([]ReadReason, readReasons)
	for i := range reasons {
		reasons[i] = ReadReason(i)
	}
	return reasons
}

// Step handles one event and returns the actions to perform. The returned slice
// is valid until the next call.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions = m.actions[:0]
	m.now = now
	if m.startup.startedAt.IsZero() {
		m.startup.startedAt = now
		m.nextCheck = now.Add(m.jitter(m.cfg.CheckInterval))
	}
	switch e := ev.(type) {
	case NodeChanged:
		m.nodeChanged(e.Node)
	case PeerVersion:
		m.peerVersionReported(e)
	case PlatformRead:
		m.platformRead(e)
	case EnvelopeReceived:
		m.envelopeReceived(e)
	case PiecesReceived:
		m.piecesReceived(e)
	case FetchFailed:
		m.fetchFailed(e)
	case ReadRequested:
		m.readPlatform(ReadOnRequest)
	}
	m.advance()
	return m.actions
}

// advance emits the actions that are due after an event.
func (m *Machine) advance() {
	m.expireFetches()
	m.updateBehind()
	m.updateUnconfirmed()
	m.callPlatform()
	m.fetchEnvelopes()
	m.fetchPieces()
	m.checkReady()
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// jitter returns a duration between 50% and 150% of d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.random.Int64N(int64(d)+1))
}

func (m *Machine) nodeChanged(n fleet.Node) {
	old := m.nodes[n.ID]
	if n.State == fleet.NodeDead {
		n.BundleVersion = 0
	}
	if n.State == fleet.NodeDead {
		delete(m.nodes, n.ID)
		delete(m.avoidUntil, n.ID)
	} else {
		m.nodes[n.ID] = n
	}
	i := sort.Search(len(m.live), func(i int) bool { return m.live[i] >= n.ID })
	listed := i < len(m.live) && m.live[i] == n.ID
	m.invalidateNewest(old.BundleVersion, n.BundleVersion)
	usable := n.ID != m.self && n.Usable()
	switch {
	case usable == listed && (!listed || old.DataCentre == n.DataCentre):
		return
	case usable && !listed:
		m.live = slices.Insert(m.live, i, n.ID)
	case !usable:
		m.live = slices.Delete(m.live, i, i+1)
	}
	if listed {
		m.countLive(old, -1)
	}
	if usable {
		m.countLive(n, 1)
	}
	m.newestValid = m.newestValid && n.BundleVersion < m.newestVersion
	m.chooseReader()
}

// countLive adds change to the counts of live peers that n belongs to.
func (m *Machine) countLive(n fleet.Node, change int) {
	if m.liveByCentre[n.DataCentre] += change; m.liveByCentre[n.DataCentre] == 0 {
		delete(m.liveByCentre, n.DataCentre)
	}
	if n.DataCentre == m.cfg.DataCentre && readerHash(n.ID) < m.ownHash {
		m.lowerHashes += change
	}
}

// chooseReader decides whether this node is one of the readers of its data
// centre. The readers are the live nodes with the lowest hashes. Until
// membership converges, nodes may disagree and there may be more or fewer
// readers than configured.
func (m *Machine) chooseReader() {
	dataCentres := len(m.liveByCentre)
	if m.liveByCentre[m.cfg.DataCentre] == 0 {
		dataCentres++
	}
	reader := m.lowerHashes < m.readersPerCentre(dataCentres)
	if reader && !m.reader {
		m.platform.readDone = false
		m.platform.nextCall = m.now
	}
	m.reader = reader
}

// Readers returns the live peers that are readers according to the nodes that
// this one knows.
func (m *Machine) Readers() map[fleet.NodeID]bool {
	byCentre := map[string][]fleet.NodeID{m.cfg.DataCentre: {m.self}}
	for _, id := range m.live {
		centre := m.nodes[id].DataCentre
		byCentre[centre] = append(byCentre[centre], id)
	}
	readers := make(map[fleet.NodeID]bool)
	for _, ids := range byCentre {
		slices.SortFunc(ids, func(a, b fleet.NodeID) int { return cmp.Compare(readerHash(a), readerHash(b)) })
		for _, id := range ids[:min(len(ids), m.readersPerCentre(len(byCentre)))] {
			readers[id] = true
		}
	}
	delete(readers, m.self)
	return readers
}

func (m *Machine) readersPerCentre(dataCentres int) int {
	return max(m.cfg.Readers, (m.cfg.MinReaders+dataCentres-1)/dataCentres)
}

func readerHash(id fleet.NodeID) uint64 { return xxhash.Sum64String("bundle reader " + string(id)) }

func (m *Machine) peerVersionReported(e PeerVersion) {
	if e.Version == m.inForce.Version && e.Digest != "" && e.Digest != m.inForce.Digest {
		m.conflict(e.From, e.Version, m.inForce.Digest, e.Digest)
	}
	n, ok := m.nodes[e.From]
	if !ok || e.Version <= n.BundleVersion {
		return
	}
	m.invalidateNewest(n.BundleVersion, e.Version)
	n.BundleVersion = e.Version
	m.nodes[e.From] = n
}

// invalidateNewest invalidates the cached result of newestPeerVersion if a
// change of a node's version can affect it.
func (m *Machine) invalidateNewest(old, new uint64) {
	// A node that reported the maximum may have been the only one that did, or
	// may not be live.
	if max(old, new) > m.newestVersion || (old == m.newestVersion && new != old) {
		m.newestValid = false
	}
}

// newestPeerVersion returns the highest version that a live peer has in force.
func (m *Machine) newestPeerVersion() uint64 {
	if !m.newestValid {
		m.newestVersion, m.newestValid = 0, true
		for _, id := range m.live {
			m.newestVersion = max(m.newestVersion, m.nodes[id].BundleVersion)
		}
	}
	return m.newestVersion
}

// newestVerified returns the highest version whose envelope this node has
// verified.
func (m *Machine) newestVerified() uint64 {
	if m.pending != nil {
		return m.pending.version
	}
	return m.inForce.Version
}

// checkReady emits Ready once enough sources have answered to rule out that the
// node starts with an outdated version, or once the wait for them has timed
// out.
func (m *Machine) checkReady() {
	s := &m.startup
	if s.ready {
		return
	}
	elapsed := m.now.Sub(s.startedAt)
	if !s.enoughAnswers {
		answered := 0
		for id := range s.answered {
			if n, ok := m.nodes[id]; ok && n.Usable() {
				answered++
			}
		}
		allAnswered := len(m.live) > 0 && answered == len(m.live) && elapsed >= m.cfg.MembershipWait
		s.enoughAnswers = s.platformRead || answered >= startupAnswers || allAnswered || elapsed >= m.cfg.StartupTimeout
	}
	// The node also waits for the newest version that a live peer has in force.
	// The wait is bounded because the peer may be unable to serve that version.
	behind := m.pending != nil || m.newestPeerVersion() > m.inForce.Version
	if s.enoughAnswers && (!behind || elapsed >= 2*m.cfg.StartupTimeout) {
		s.ready = true
		m.emit(Ready{})
	}
}
