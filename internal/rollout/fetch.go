package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

const (
	// maxPieceFetches is the maximum number of piece fetches in flight.
	maxPieceFetches = 3
	// piecesPerFetch is the maximum number of pieces in one fetch. With pieces
	// of at most 256 KiB, an answer stays within the 1 MiB limit of FetchPieces.
	piecesPerFetch = 4
	// maxReplaced is the number of replaced versions that a node still serves.
	// At five new versions per second, a peer has one second to fetch the pieces
	// of a version.
	maxReplaced = 5
	// failuresBeforePlatform is the number of consecutive failures after which
	// a node that is not a reader reads pieces from the platform although peers
	// have the version.
	failuresBeforePlatform = 3
)

// pending is a verified envelope whose pieces are being collected.
type pending struct {
	version      uint64
	digest       string
	envelope     []byte
	names        []string
	pieces       map[string][]byte
	fromPlatform bool
	// source is the peer or platform that sent the envelope. A peer is also the
	// preferred source of the pieces: it has them, and the path to it works.
	source fleet.NodeID
}

// fetch is one envelope or piece request in flight.
type fetch struct {
	from    fleet.NodeID
	names   []string // empty for an envelope
	expires time.Time
}

// considerEnvelope verifies an envelope from a peer or the platform. It makes
// the envelope the pending version if that is newer than the known ones, or if
// it replaces a conflicting one that did not come from the platform.
func (m *Machine) considerEnvelope(from fleet.NodeID, envelope []byte) {
	version, digest, names, err := m.verifier.Verify(envelope)
	if err != nil {
		m.reject(from, version, err)
		return
	}
	if from != Platform {
		// The peer has this version in force. Membership may report that later.
		m.peerVersionReported(PeerVersion{From: from, Version: version})
	}
	fromPlatform := from == Platform
	switch {
	case m.now.Before(m.undecodableUntil[digest]):
		return
	case version < m.inForce.Version:
		// Lagging peers and stale reads legitimately return older versions.
		return
	case version == m.inForce.Version && digest == m.inForce.Digest:
		m.fromPlatform = m.fromPlatform || fromPlatform
		return
	case version == m.inForce.Version && !fromPlatform:
		m.conflict(from, version, m.inForce.Digest, digest)
		return
	case version == m.inForce.Version && m.fromPlatform:
		// The platform itself returned a second envelope with the same version.
		// It was written without the conditional update, so the first envelope
		// is kept.
		m.conflict(from, version, m.inForce.Digest, digest)
		return
	case version == m.inForce.Version:
		m.conflict(from, version, m.inForce.Digest, digest)
	}
	if p := m.pending; p != nil {
		switch {
		case version < p.version:
			return
		case version == p.version && digest == p.digest:
			p.fromPlatform = p.fromPlatform || fromPlatform
			return
		case version == p.version:
			m.conflict(from, version, p.digest, digest)
			if !fromPlatform || p.fromPlatform {
				return
			}
		}
	}
	m.setPending(&pending{version: version, digest: digest, envelope: envelope, names: names, fromPlatform: fromPlatform, source: from})
}

// setPending makes p the pending version and reuses the pieces of the bundle in
// force and of the previous pending version.
func (m *Machine) setPending(p *pending) {
	p.pieces = make(map[string][]byte, len(p.names))
	for _, name := range p.names {
		if content, ok := m.inForce.Pieces[name]; ok {
			p.pieces[name] = content
		} else if m.pending != nil && m.pending.pieces[name] != nil {
			p.pieces[name] = m.pending.pieces[name]
		}
	}
	m.pending = p
	m.failures, m.nextFetch = 0, m.now
	m.tryActivate()
}

// tryActivate puts the pending version into force if all of its pieces are
// available.
func (m *Machine) tryActivate() {
	p := m.pending
	for _, name := range p.names {
		if _, ok := p.pieces[name]; !ok {
			return
		}
	}
	m.pending = nil
	bundle, err := m.verifier.Assemble(p.envelope, p.pieces)
	if err != nil {
		// This node cannot decode content that its author and approver signed.
		// Fetching it again at once would give the same result.
		m.undecodableUntil[p.digest] = m.now.Add(m.cfg.AvoidAfterReject)
		m.reject(Platform, p.version, fmt.Errorf("assemble version %d: %w", p.version, err))
		return
	}
	m.inForce = Content{Version: p.version, Digest: p.digest, Envelope: p.envelope, Pieces: p.pieces, Replaced: m.replaced()}
	m.fromPlatform = p.fromPlatform
	m.stats.Activations++
	m.emit(Activate{Bundle: bundle, Version: p.version, Digest: p.digest})
}

// replaced returns the content in force followed by the versions before it, at
// most maxReplaced in all, for peers that still fetch pieces of one of them.
func (m *Machine) replaced() []Content {
	if m.inForce.Version == 0 {
		return nil
	}
	current := m.inForce
	current.Replaced = nil
	kept := append([]Content{current}, m.inForce.Replaced...)
	return kept[:min(len(kept), maxReplaced)]
}

func (m *Machine) reject(from fleet.NodeID, version uint64, err error) {
	m.stats.Rejected++
	if from != Platform {
		m.avoidUntil[from] = m.now.Add(m.cfg.AvoidAfterReject)
	}
	m.emit(Reject{From: from, Version: version, Err: err})
}

// conflict emits the alarm once per conflicting digest. If the conflicting
// envelope came from a peer, a platform read decides which one is valid.
func (m *Machine) conflict(from fleet.NodeID, version uint64, known, conflicting string) {
	if !m.reportedConflicts[conflicting] {
		m.reportedConflicts[conflicting] = true
		m.stats.Conflicts++
		m.emit(Conflict{From: from, Version: version, InForce: known, Conflicting: conflicting})
	}
	if from != Platform {
		m.scheduleConflictRead()
	}
}

// fetchEnvelopes requests the envelope of one peer at a time. A peer with a
// higher version comes first, then, until the node is ready, a peer that has
// not answered yet. Once per CheckInterval a random peer is asked for
// comparison.
func (m *Machine) fetchEnvelopes() {
	if m.envelopeFetch != nil {
		return
	}
	from := fleet.NodeID("")
	if m.newestPeerVersion() > m.newestVerified() && !m.now.Before(m.nextFetch) {
		from = m.pickPeer(func(id fleet.NodeID) bool { return m.nodes[id].BundleVersion > m.newestVerified() })
	}
	if from == "" && !m.startup.ready {
		from = m.pickPeer(func(id fleet.NodeID) bool { return !m.startup.answered[id] })
	}
	if from == "" && !m.now.Before(m.nextCheck) {
		m.nextCheck = m.now.Add(m.jitter(m.cfg.CheckInterval))
		from = m.pickPeer(func(fleet.NodeID) bool { return true })
	}
	if from == "" {
		return
	}
	m.stats.EnvelopeFetches++
	m.envelopeFetch = &fetch{from: from, expires: m.now.Add(m.cfg.FetchTimeout)}
	m.emit(FetchEnvelope{from})
}

// pickPeer returns a random live peer that is suitable and not avoided, or ""
// if there is none.
func (m *Machine) pickPeer(suitable func(fleet.NodeID) bool) fleet.NodeID {
	chosen, candidates := fleet.NodeID(""), 0
	for _, id := range m.live {
		if m.now.Before(m.avoidUntil[id]) || !suitable(id) {
			continue
		}
		if candidates++; m.random.IntN(candidates) == 0 {
			chosen = id
		}
	}
	return chosen
}

// fetchPieces requests missing pieces from peers that have the pending version
// in force or, if no such peer can be asked, from the platform.
func (m *Machine) fetchPieces() {
	for m.pending != nil && len(m.pieceFetches) < maxPieceFetches && !m.now.Before(m.nextFetch) {
		names := m.missingPieces()
		if len(names) == 0 {
			return
		}
		from := m.pieceSource()
		if from == Platform && !m.mayReadPieces() {
			return
		}
		if from == Platform {
			m.stats.PlatformPieceReads += uint64(len(names))
		}
		m.stats.PieceFetches++
		m.pieceFetches = append(m.pieceFetches, &fetch{from: from, names: names, expires: m.now.Add(m.cfg.FetchTimeout)})
		m.emit(FetchPieces{From: from, Names: names})
	}
}

// pieceSource returns the source to ask for pieces of the pending version: the
// peer that sent the envelope, else a random peer that has the version or a
// newer one in force, else Platform.
func (m *Machine) pieceSource() fleet.NodeID {
	source := m.pending.source
	if n, ok := m.nodes[source]; ok && n.Usable() && source != m.self && !m.now.Before(m.avoidUntil[source]) {
		return source
	}
	return m.pickPeer(func(id fleet.NodeID) bool { return m.nodes[id].BundleVersion >= m.pending.version })
}

// mayReadPieces reports whether pieces may be read from the platform now, given
// that no peer can be asked.
func (m *Machine) mayReadPieces() bool {
	if m.now.Before(m.avoidUntil[Platform]) || m.platformFetchInFlight() {
		return false
	}
	return m.reader || m.failures >= failuresBeforePlatform || m.newestPeerVersion() < m.pending.version
}

// platformFetchInFlight reports whether a piece fetch from the platform is in
// flight.
func (m *Machine) platformFetchInFlight() bool {
	for _, f := range m.pieceFetches {
		if f.from == Platform {
			return true
		}
	}
	return false
}

// missingPieces returns the names of pending pieces that are neither available
// nor being fetched, at most piecesPerFetch of them.
func (m *Machine) missingPieces() []string {
	requested := make(map[string]bool)
	for _, f := range m.pieceFetches {
		for _, name := range f.names {
			requested[name] = true
		}
	}
	var names []string
	for _, name := range m.pending.names {
		if _, ok := m.pending.pieces[name]; ok || requested[name] {
			continue
		}
		requested[name] = true
		names = append(names, name)
		if len(names) == piecesPerFetch {
			break
		}
	}
	return names
}

func (m *Machine) envelopeReceived(e EnvelopeReceived) {
	if m.envelopeFetch == nil || m.envelopeFetch.from != e.From {
		// The answer arrived after its timeout, which already counted as a
		// failure of the peer. A valid envelope is still used.
		if len(e.Envelope) > 0 {
			m.considerEnvelope(e.From, e.Envelope)
		}
		return
	}
	m.envelopeFetch = nil
	m.startup.answered[e.From] = true
	before := m.newestVerified()
	if len(e.Envelope) > 0 {
		m.considerEnvelope(e.From, e.Envelope)
	}
	if m.nodes[e.From].BundleVersion > max(before, m.newestVerified()) {
		// The peer announces a version that it does not serve.
		m.sourceFailed(e.From)
	}
}

func (m *Machine) piecesReceived(e PiecesReceived) {
	f := m.removePieceFetch(e.From, nil, e.Pieces)
	useful := 0
	for name, content := range e.Pieces {
		sum := sha256.Sum256(content)
		if hex.EncodeToString(sum[:]) != name {
			m.reject(e.From, 0, fmt.Errorf("%w: %s", ErrPiece, name))
			if e.From == Platform {
				m.sourceFailed(Platform)
			}
			return
		}
		if m.pending != nil && m.pending.wants(name) {
			m.pending.pieces[name] = content
			useful++
		}
		if e.From == Platform {
			m.stats.PieceBytesPlatform += uint64(len(content))
		} else {
			m.stats.PieceBytesPeers += uint64(len(content))
		}
	}
	if useful > 0 {
		// An answer that arrives after its timeout still saves another fetch.
		m.failures = 0
		m.tryActivate()
	} else if f != nil {
		m.sourceFailed(e.From)
	}
}

func (p *pending) wants(name string) bool {
	for _, n := range p.names {
		if n == name {
			return true
		}
	}
	return false
}

// removePieceFetch removes and returns the piece fetch in flight that an answer
// or a failure belongs to. It returns nil if there is none.
func (m *Machine) removePieceFetch(from fleet.NodeID, names []string, pieces map[string][]byte) *fetch {
	for i, f := range m.pieceFetches {
		if f.from != from {
			continue
		}
		matches := len(names) > 0 && f.names[0] == names[0]
		for _, name := range f.names {
			if _, ok := pieces[name]; ok {
				matches = true
			}
		}
		if matches || (len(names) == 0 && len(pieces) == 0) {
			m.pieceFetches = append(m.pieceFetches[:i], m.pieceFetches[i+1:]...)
			return f
		}
	}
	return nil
}

func (m *Machine) fetchFailed(e FetchFailed) {
	if len(e.Names) > 0 {
		if m.removePieceFetch(e.From, e.Names, nil) != nil {
			m.sourceFailed(e.From)
		}
		return
	}
	if m.envelopeFetch != nil && m.envelopeFetch.from == e.From {
		m.envelopeFetch = nil
		m.sourceFailed(e.From)
	}
}

// sourceFailed records a failed fetch and avoids its source for
// AvoidAfterFailure. If no other source is left, the next fetch waits for the
// exponential back-off.
func (m *Machine) sourceFailed(from fleet.NodeID) {
	m.stats.FailedFetches++
	m.failures++
	m.avoidUntil[from] = m.now.Add(m.jitter(m.cfg.AvoidAfterFailure))
	if m.hasOtherSource() {
		m.nextFetch = m.now
		return
	}
	m.nextFetch = m.now.Add(m.fetchBackoff())
}

// hasOtherSource reports whether a live peer that is not avoided has a higher
// version in force than this node.
func (m *Machine) hasOtherSource() bool {
	for _, id := range m.live {
		if m.nodes[id].BundleVersion > m.inForce.Version && !m.now.Before(m.avoidUntil[id]) {
			return true
		}
	}
	return false
}

// expireFetches treats fetches that exceeded their timeout as failed.
func (m *Machine) expireFetches() {
	if m.envelopeFetch != nil && !m.now.Before(m.envelopeFetch.expires) {
		from := m.envelopeFetch.from
		m.envelopeFetch = nil
		m.sourceFailed(from)
	}
	kept := m.pieceFetches[:0]
	for _, f := range m.pieceFetches {
		if m.now.Before(f.expires) {
			kept = append(kept, f)
			continue
		}
		m.sourceFailed(f.from)
	}
	clear(m.pieceFetches[len(kept):])
	m.pieceFetches = kept
}
