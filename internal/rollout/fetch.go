package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

const (
	// maxPieceFetches bounds the piece fetches in flight.
	maxPieceFetches = 3
	// piecesPerFetch bounds the names of one fetch. With pieces of at most
	// 256 KiB, an answer stays within the 1 MiB of FetchPieces.
	piecesPerFetch = 4
	// keptReplaced is how many replaced versions a node still hands out. In a
	// storm of five versions a second, a peer has a second to fetch the pieces.
	keptReplaced = 5
	// platformAfter is after how many failures in a row a node that is no
	// reader turns to the platform although peers have the version.
	platformAfter = 3
)

// pending is a verified envelope whose pieces are being collected.
type pending struct {
	version      uint64
	digest       string
	envelope     []byte
	names        []string
	pieces       map[string][]byte
	fromPlatform bool
	// giver is the source of the envelope. It has the pieces as well, and the
	// path to it works.
	giver fleet.NodeID
}

// fetch is one request in flight.
type fetch struct {
	from    fleet.NodeID
	names   []string // empty for an envelope
	expires time.Time
}

// offer considers an envelope from a peer or the platform.
func (m *Machine) offer(from fleet.NodeID, envelope []byte) {
	version, digest, names, err := m.verifier.Verify(envelope)
	if err != nil {
		m.reject(from, version, err)
		return
	}
	if from != Platform {
		// The peer has it in force, even if membership's news comes later.
		m.heard(Heard{From: from, Version: version})
	}
	fromPlatform := from == Platform
	switch {
	case m.now.Before(m.refused[digest]):
		return
	case version < m.inForce.Version:
		// Old news is normal from a lagging peer or a stale read.
		return
	case version == m.inForce.Version && digest == m.inForce.Digest:
		m.confirmed = m.confirmed || fromPlatform
		return
	case version == m.inForce.Version && !fromPlatform:
		m.conflict(from, version, m.inForce.Digest, digest)
		return
	case version == m.inForce.Version && m.confirmed:
		// A second envelope of one version from the platform itself; it was
		// written past the conditional update, so the first one stays.
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
	m.collect(&pending{version: version, digest: digest, envelope: envelope, names: names, fromPlatform: fromPlatform, giver: from})
}

// collect makes p the version to reach and takes over the pieces that are
// already here.
func (m *Machine) collect(p *pending) {
	p.pieces = make(map[string][]byte, len(p.names))
	for _, name := range p.names {
		if content, ok := m.inForce.Pieces[name]; ok {
			p.pieces[name] = content
		} else if m.pending != nil && m.pending.pieces[name] != nil {
			p.pieces[name] = m.pending.pieces[name]
		}
	}
	m.pending = p
	m.failures, m.nextTry = 0, m.now
	m.tryActivate()
}

// tryActivate puts the pending version into force when all of its pieces are
// here.
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
		// This node cannot decode what its author and approver signed; asking
		// again at once would not help.
		m.refused[p.digest] = m.now.Add(m.cfg.AvoidBad)
		m.reject(Platform, p.version, fmt.Errorf("assemble version %d: %w", p.version, err))
		return
	}
	m.inForce = Content{Version: p.version, Digest: p.digest, Envelope: p.envelope, Pieces: p.pieces, Replaced: m.replaced()}
	m.confirmed = p.fromPlatform
	m.stats.Activations++
	m.emit(Activate{Bundle: bundle, Version: p.version, Digest: p.digest})
}

// replaced returns the content in force with the last few before it, for peers
// that are still collecting one of them.
func (m *Machine) replaced() []Content {
	if m.inForce.Version == 0 {
		return nil
	}
	last := m.inForce
	last.Replaced = nil
	kept := append([]Content{last}, m.inForce.Replaced...)
	return kept[:min(len(kept), keptReplaced)]
}

func (m *Machine) reject(from fleet.NodeID, version uint64, err error) {
	m.stats.Rejected++
	if from != Platform {
		m.avoid[from] = m.now.Add(m.cfg.AvoidBad)
	}
	m.emit(Reject{From: from, Version: version, Err: err})
}

// conflict raises the alarm once for each digest and asks the platform.
func (m *Machine) conflict(from fleet.NodeID, version uint64, first, second string) {
	if !m.conflicts[second] {
		m.conflicts[second] = true
		m.stats.Conflicts++
		m.emit(Conflict{From: from, Version: version, InForce: first, Different: second})
	}
	if from != Platform {
		m.settle()
	}
}

// fetchEnvelopes asks one peer at a time for its envelope: at start each peer
// until enough have answered, later a peer with a higher version, and now and
// then a random peer for comparison.
func (m *Machine) fetchEnvelopes() {
	if m.envelope != nil {
		return
	}
	from := fleet.NodeID("")
	if m.newest() > m.known() && !m.now.Before(m.nextTry) {
		from = m.pick(func(id fleet.NodeID) bool { return m.nodes[id].BundleVersion > m.known() })
	}
	if from == "" && !m.start.ready {
		from = m.pick(func(id fleet.NodeID) bool { return !m.start.answered[id] })
	}
	if from == "" && !m.now.Before(m.nextCheck) {
		m.nextCheck = m.now.Add(m.jitter(m.cfg.CheckInterval))
		from = m.pick(func(fleet.NodeID) bool { return true })
	}
	if from == "" {
		return
	}
	m.stats.EnvelopeFetches++
	m.envelope = &fetch{from: from, expires: m.now.Add(m.cfg.FetchTimeout)}
	m.emit(FetchEnvelope{from})
}

// pick returns a random live peer that is suitable and not avoided, or "".
func (m *Machine) pick(suitable func(fleet.NodeID) bool) fleet.NodeID {
	chosen, seen := fleet.NodeID(""), 0
	for _, id := range m.live {
		if m.now.Before(m.avoid[id]) || !suitable(id) {
			continue
		}
		if seen++; m.random.IntN(seen) == 0 {
			chosen = id
		}
	}
	return chosen
}

// fetchPieces asks for missing pieces: from peers that have the version in
// force, and from the platform when there is none of them.
func (m *Machine) fetchPieces() {
	for m.pending != nil && len(m.pieces) < maxPieceFetches && !m.now.Before(m.nextTry) {
		names := m.missing()
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
		m.pieces = append(m.pieces, &fetch{from: from, names: names, expires: m.now.Add(m.cfg.FetchTimeout)})
		m.emit(FetchPieces{From: from, Names: names})
	}
}

// pieceSource returns the peer to ask for pieces of the pending version: the
// one that gave the envelope, or another one that has it in force; Platform when
// there is none.
func (m *Machine) pieceSource() fleet.NodeID {
	giver := m.pending.giver
	if n, ok := m.nodes[giver]; ok && n.Usable() && giver != m.self && !m.now.Before(m.avoid[giver]) {
		return giver
	}
	return m.pick(func(id fleet.NodeID) bool { return m.nodes[id].BundleVersion >= m.pending.version })
}

// mayReadPieces decides whether pieces are read from the platform now, when no
// peer can be asked.
func (m *Machine) mayReadPieces() bool {
	if m.now.Before(m.avoid[Platform]) || m.fetchesPlatform() {
		return false
	}
	return m.reader || m.failures >= platformAfter || m.newest() < m.pending.version
}

func (m *Machine) fetchesPlatform() bool {
	for _, f := range m.pieces {
		if f.from == Platform {
			return true
		}
	}
	return false
}

// missing returns names that are neither here nor asked for, as many as fit
// into one fetch.
func (m *Machine) missing() []string {
	asked := make(map[string]bool)
	for _, f := range m.pieces {
		for _, name := range f.names {
			asked[name] = true
		}
	}
	var names []string
	for _, name := range m.pending.names {
		if _, ok := m.pending.pieces[name]; ok || asked[name] {
			continue
		}
		asked[name] = true
		names = append(names, name)
		if len(names) == piecesPerFetch {
			break
		}
	}
	return names
}

func (m *Machine) envelopeReceived(e EnvelopeReceived) {
	if m.envelope == nil || m.envelope.from != e.From {
		// The answer came after its timeout. A valid envelope is welcome all
		// the same; anything else is not held against the peer twice.
		if len(e.Envelope) > 0 {
			m.offer(e.From, e.Envelope)
		}
		return
	}
	m.envelope = nil
	m.start.answered[e.From] = true
	before := m.known()
	if len(e.Envelope) > 0 {
		m.offer(e.From, e.Envelope)
	}
	if m.nodes[e.From].BundleVersion > max(before, m.known()) {
		// The peer claims a version that it does not hand over.
		m.sourceFailed(e.From)
	}
}

func (m *Machine) piecesReceived(e PiecesReceived) {
	f := m.finish(e.From, nil, e.Pieces)
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
			m.stats.PieceBytesStore += uint64(len(content))
		} else {
			m.stats.PieceBytesPeers += uint64(len(content))
		}
	}
	if useful > 0 {
		// Also after its timeout, an answer saves another fetch.
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

// finish removes and returns the fetch that an answer belongs to, or nil.
func (m *Machine) finish(from fleet.NodeID, names []string, pieces map[string][]byte) *fetch {
	for i, f := range m.pieces {
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
			m.pieces = append(m.pieces[:i], m.pieces[i+1:]...)
			return f
		}
	}
	return nil
}

func (m *Machine) fetchFailed(e FetchFailed) {
	if len(e.Names) > 0 {
		if m.finish(e.From, e.Names, nil) != nil {
			m.sourceFailed(e.From)
		}
		return
	}
	if m.envelope != nil && m.envelope.from == e.From {
		m.envelope = nil
		m.sourceFailed(e.From)
	}
}

// sourceFailed avoids a source for a while. When no other source is left, the
// next try waits longer each time.
func (m *Machine) sourceFailed(from fleet.NodeID) {
	m.stats.FailedFetches++
	m.failures++
	m.avoid[from] = m.now.Add(m.jitter(m.cfg.AvoidFailed))
	if m.otherSource() {
		m.nextTry = m.now
		return
	}
	m.nextTry = m.now.Add(m.sourceDelay())
}

// otherSource reports whether a live peer that is not avoided has a version
// that this node lacks.
func (m *Machine) otherSource() bool {
	for _, id := range m.live {
		if m.nodes[id].BundleVersion > m.inForce.Version && !m.now.Before(m.avoid[id]) {
			return true
		}
	}
	return false
}

// expireFetches treats fetches without a result as failed.
func (m *Machine) expireFetches() {
	if m.envelope != nil && !m.now.Before(m.envelope.expires) {
		from := m.envelope.from
		m.envelope = nil
		m.sourceFailed(from)
	}
	kept := m.pieces[:0]
	for _, f := range m.pieces {
		if m.now.Before(f.expires) {
			kept = append(kept, f)
			continue
		}
		m.sourceFailed(f.from)
	}
	clear(m.pieces[len(kept):])
	m.pieces = kept
}
