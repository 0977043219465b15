package rollout

import "time"

// callPlatform starts the platform call that is due, if any. A reader reads
// once and then watches continuously. Other nodes read at startup if too few
// peers answer or Config.ReadWithoutBundle is set, and afterwards once per
// FallbackReadInterval.
func (m *Machine) callPlatform() {
	p := &m.platform
	if p.inFlight && !m.now.Before(p.expires) {
		m.platformCallFailed()
	}
	if m.behindTooLong() {
		// A watch in flight may wait on a connection that has gone silent.
		m.readPlatform()
		return
	}
	elapsed := m.now.Sub(m.startup.startedAt)
	if p.inFlight || m.now.Before(p.nextCall) || elapsed < m.cfg.ReadDelay {
		return
	}
	switch {
	case m.reader && p.readDone && elapsed < m.cfg.MembershipWait:
	case m.reader && p.readDone:
		m.stats.PlatformWatches++
		m.platformCallStarted()
		m.emit(WatchPlatform{p.at})
	case m.reader, m.startupStalled(), m.readsWithoutBundle(), !m.now.Before(p.nextFallbackRead):
		m.readPlatform()
	}
}

// startupStalled reports whether half of StartupTimeout has passed without
// enough answers from peers.
func (m *Machine) startupStalled() bool {
	return !m.startup.enoughAnswers && m.now.Sub(m.startup.startedAt) >= m.cfg.StartupTimeout/2
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

func (m *Machine) readPlatform() {
	m.stats.PlatformReads++
	m.platform.nextFallbackRead = m.now.Add(m.jitter(m.cfg.FallbackReadInterval))
	m.platformCallStarted()
	m.emit(ReadPlatform{})
}

func (m *Machine) platformCallStarted() {
	m.platform.inFlight, m.platform.expires = true, m.now.Add(platformCallTimeout)
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
		m.reportOlder(e)
		m.considerEnvelope(Platform, e.Envelope)
		m.addPieces(e.Pieces)
	}
}

// reportOlder reports a bundle on the platform that is older than the one in
// force.
func (m *Machine) reportOlder(e PlatformRead) {
	version, digest, _, err := m.verifier.Verify(e.Envelope)
	if err != nil || version >= m.inForce.Version {
		return
	}
	if older := (olderBundle{e.At.Era, digest}); older != m.platform.older {
		m.platform.older = older
		m.emit(OlderOnPlatform{Era: e.At.Era, Version: version, InForce: m.inForce.Version})
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
	m.platform.nextFallbackRead = m.now
	if m.reader {
		// The read starts when the watch in flight has ended.
		m.platform.readDone = false
	}
}

// fetchBackoff returns the exponential back-off after consecutive failed
// fetches: 100 ms after the first failure and at most 5 s, before jitter.
func (m *Machine) fetchBackoff() time.Duration {
	return m.jitter(min(50*time.Millisecond<<min(m.failures, 10), 5*time.Second))
}
