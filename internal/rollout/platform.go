package rollout

import "time"

// ReadReason is why a node reads the active envelope from the platform.
type ReadReason uint8

const (
	// ReadBeforeWatch is the read of a reader that has no position to watch
	// from, at its start or after a failed call. Failed calls are repeated
	// after a back-off of at most Config.MaxBackoff.
	ReadBeforeWatch ReadReason = iota
	// ReadNoAnswers means that too few peers have answered within half of
	// Config.StartupTimeout.
	ReadNoAnswers
	// ReadNoBundle means that no bundle is in force Config.ReadDelay after the
	// start, see Config.ReadWithoutBundle.
	ReadNoBundle
	// ReadConflict decides which of two bundles with one version is valid, at
	// most once per conflictReadInterval.
	ReadConflict
	// ReadBehind means that peers have not delivered a version that the node
	// knows of within Config.BehindReadDelay. It does not wait for a call in
	// flight, which may be a watch on a connection that has gone silent.
	ReadBehind
	// ReadUnconfirmed is the read of a node that is not a reader while no node
	// has confirmed the bundle in force within Config.ConfirmWithin.
	ReadUnconfirmed
	// ReadOnRequest is the read that a ReadRequested asks for.
	ReadOnRequest
	readReasons
)

var readReasonNames = [readReasons]string{"before-watch", "no-answers", "no-bundle", "conflict", "behind", "unconfirmed", "requested"}

func (r ReadReason) String() string { return readReasonNames[r] }

// callPlatform starts the platform call that is due, if any. A reader reads
// once and then watches continuously; see ReadReason for all other reads.
func (m *Machine) callPlatform() {
	p := &m.platform
	if p.inFlight && !m.now.Before(p.expires) {
		m.platformCallFailed()
	}
	if reason, ok := m.readReason(); ok {
		m.readPlatform(reason)
		return
	}
	if m.mayCallPlatform() && m.reader && p.readDone && m.sinceStart() >= m.cfg.MembershipWait {
		m.stats.PlatformWatches++
		m.platformCallStarted()
		m.emit(WatchPlatform{p.at})
	}
}

// readReason returns why the node reads the platform now. ok is false if there
// is no reason.
func (m *Machine) readReason() (reason ReadReason, ok bool) {
	if m.behindTooLong() {
		return ReadBehind, true
	}
	if !m.mayCallPlatform() {
		return 0, false
	}
	switch {
	case m.conflictReadDue:
		return ReadConflict, true
	case m.reader:
		return ReadBeforeWatch, !m.platform.readDone
	case m.startupStalled():
		return ReadNoAnswers, true
	case m.readsWithoutBundle():
		return ReadNoBundle, true
	case m.confirmation.readDue(m.now):
		return ReadUnconfirmed, true
	}
	return 0, false
}

// mayCallPlatform reports whether no call is in flight and neither a back-off
// nor Config.ReadDelay prevents one.
func (m *Machine) mayCallPlatform() bool {
	p := &m.platform
	return !p.inFlight && !m.now.Before(p.nextCall) && m.sinceStart() >= m.cfg.ReadDelay
}

func (m *Machine) sinceStart() time.Duration { return m.now.Sub(m.startup.startedAt) }

// startupStalled reports whether half of StartupTimeout has passed without
// enough answers from peers.
func (m *Machine) startupStalled() bool {
	return !m.startup.enoughAnswers && m.sinceStart() >= m.cfg.StartupTimeout/2
}

// updateBehind records since when this node knows of a higher version than the
// one in force.
func (m *Machine) updateBehind() {
	behind := m.pending != nil || m.newestPeerVersion() > m.inForce.Version
	switch {
	case !behind:
		m.behindSince = time.Time{}
	case m.behindSince.IsZero():
		m.behindSince = m.now
	}
}

// behindTooLong reports whether the node reads the platform because its peers
// have not delivered a version that it knows of. It does so once per
// Config.BehindReadDelay.
func (m *Machine) behindTooLong() bool {
	if m.cfg.BehindReadDelay <= 0 || m.behindSince.IsZero() || m.now.Sub(m.behindSince) < m.cfg.BehindReadDelay {
		return false
	}
	m.behindSince = m.now
	return true
}

// readsWithoutBundle reports whether the node reads the platform because it has
// no bundle in force.
func (m *Machine) readsWithoutBundle() bool {
	return m.cfg.ReadWithoutBundle && m.inForce.Version == 0 && !m.platform.readDone
}

func (m *Machine) readPlatform(reason ReadReason) {
	m.stats.PlatformReads++
	m.stats.ReadsByReason[reason]++
	m.conflictReadDue = false
	if !m.confirmation.nextRead.IsZero() {
		m.confirmation.nextRead = m.now.Add(m.jitter(m.unconfirmedInterval()))
	}
	m.platformCallStarted()
	m.emit(ReadPlatform{})
}

func (m *Machine) platformCallStarted() {
	m.platform.inFlight, m.platform.startedAt, m.platform.expires = true, m.now, m.now.Add(platformCallTimeout)
}

func (m *Machine) platformCallFailed() {
	p := &m.platform
	p.inFlight = false
	p.backoff = min(max(2*p.backoff, platformBackoffMin), m.cfg.MaxBackoff)
	p.nextCall = m.now.Add(m.jitter(p.backoff))
	// The revision may be outdated after an outage, so a reader reads again
	// before it watches.
	p.readDone = false
}

func (m *Machine) platformRead(e PlatformRead) {
	p := &m.platform
	if e.Err != nil {
		m.platformCallFailed()
		return
	}
	p.inFlight, p.backoff, p.nextCall = false, 0, m.now
	// The result of a watch may arrive after that of a later read.
	unchanged := e.FromWatch && e.Since == p.at
	latest := !e.FromWatch || e.At.Era != p.at.Era || e.At.Revision >= p.at.Revision
	if e.FromWatch && e.At.Era == p.at.Era {
		p.at.Revision = max(p.at.Revision, e.At.Revision)
	} else {
		// A lower revision than before means a stale read or a restored store.
		// A watch that continues from it at worst returns known changes again.
		p.at = e.At
	}
	if !e.FromWatch {
		p.readDone = true
		m.startup.platformRead = true
	}
	if len(e.Envelope) > 0 {
		version, digest, _, err := m.verifier.Verify(e.Envelope)
		if p.version = version; err != nil {
			p.version = unusableVersion
		} else if version < m.inForce.Version {
			m.reportOlder(olderBundle{e.At.Era, digest}, version)
		}
		m.considerEnvelope(Platform, e.Envelope)
		m.addPieces(e.Pieces)
	}
	if m.inForce.Version >= p.version {
		m.confirmation.confirm(p.startedAt)
	}
	held := m.heldVersion(e, unchanged)
	if latest {
		p.heldVersion = held
	}
	if e.SentAt > 0 && held > 0 && held <= m.inForce.Version {
		m.emit(Confirmed{e.SentAt})
	}
}

// heldVersion returns the version of the envelope that the platform held when a
// call ended, 0 if the result does not tell or if the envelope in force has the
// same version and other content. A result without an envelope shows that the
// version is unchanged if it is that of a watch from the last known position.
func (m *Machine) heldVersion(e PlatformRead, unchanged bool) uint64 {
	switch {
	case e.Undecided:
		return 0
	case len(e.Envelope) == 0 && unchanged:
		return m.platform.heldVersion
	case len(e.Envelope) == 0:
		return 0
	}
	version, digest, _, err := m.verifier.Verify(e.Envelope)
	if err != nil || version == m.inForce.Version && digest != m.inForce.Digest {
		return 0
	}
	return version
}

// reportOlder reports a bundle on the platform that is older than the one in
// force.
func (m *Machine) reportOlder(older olderBundle, version uint64) {
	if older != m.platform.older {
		m.platform.older = older
		m.emit(OlderOnPlatform{Era: older.era, Version: version, InForce: m.inForce.Version})
	}
}

// addPieces adds pieces that were returned with an envelope to the pending
// version.
func (m *Machine) addPieces(pieces map[string][]byte) {
	if m.pending == nil || len(pieces) == 0 {
		return
	}
	for name, content := range pieces {
		if m.pending.wants(name) {
			m.pending.pieces[name] = content
		}
	}
	m.tryActivate()
}

// scheduleConflictRead schedules a platform read that decides which of two
// envelopes with the same version is valid, at most once per
// conflictReadInterval.
func (m *Machine) scheduleConflictRead() {
	if m.platform.inFlight && !m.reader || (!m.lastConflictRead.IsZero() && m.now.Sub(m.lastConflictRead) < conflictReadInterval) {
		return
	}
	m.lastConflictRead = m.now
	// The read starts when a watch in flight has ended.
	m.conflictReadDue = true
}

// fetchBackoff returns the exponential back-off after consecutive failed
// fetches: 100 ms after the first failure and at most 5 s, before jitter.
func (m *Machine) fetchBackoff() time.Duration {
	return m.jitter(min(50*time.Millisecond<<min(m.failures, 10), 5*time.Second))
}
