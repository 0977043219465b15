package rollout

import "time"

const (
	// unconfirmedReadsPerSecond is the rate at which all nodes of a fleet
	// together read the platform in place of the readers. The interval of each
	// node follows from it and from the number of nodes, within
	// minUnconfirmedInterval and Config.MaxUnconfirmedInterval.
	unconfirmedReadsPerSecond = 10
	minUnconfirmedInterval    = time.Second
)

// confirmation is the last time at which the bundle in force was known to be at
// least as new as the one on the platform.
//
// A reader confirms its bundle with each call that succeeds. Nodes hand
// confirmations on with their version, so that each node knows whether any
// other node still reads the platform, whatever keeps the readers from it. A
// node without a recent confirmation reads the platform itself, at random
// times: the platform may turn away any set of nodes, and the first read that
// succeeds confirms the bundle for the whole fleet.
type confirmation struct {
	at time.Time // zero if there was none
	// nextRead is the time of the next read without a confirmation, zero while
	// there is a recent one.
	nextRead time.Time
}

func (c *confirmation) confirm(at time.Time) {
	if at.After(c.at) {
		c.at = at
	}
}

func (c *confirmation) readDue(now time.Time) bool {
	return !c.nextRead.IsZero() && !now.Before(c.nextRead)
}

// ConfirmedAt returns the last time at which the bundle in force was known to
// be at least as new as the one on the platform, or the zero time.
func (m *Machine) ConfirmedAt() time.Time { return m.confirmation.at }

// PeerConfirmed records that a peer's bundle, which has the given version, was
// at least as new at the time at as the one on the platform. This confirms the
// bundle in force unless it is older. No action follows from a confirmation, so
// it needs no Step.
func (m *Machine) PeerConfirmed(version uint64, at time.Time) {
	if version <= m.inForce.Version {
		m.confirmation.confirm(at)
	}
}

// updateUnconfirmed schedules the first read when the last confirmation is too
// old.
func (m *Machine) updateUnconfirmed() {
	c := &m.confirmation
	last := m.startup.startedAt.Add(m.cfg.ReadDelay)
	if c.at.After(last) {
		last = c.at
	}
	switch age := m.now.Sub(last); {
	case age < m.cfg.ConfirmWithin:
		c.nextRead = time.Time{}
	case c.nextRead.IsZero():
		c.nextRead = m.now.Add(time.Duration(m.random.Int64N(int64(m.unconfirmedInterval()))))
		m.emit(Unconfirmed{Age: age})
	}
}

// unconfirmedInterval returns the interval between two reads of this node
// without a confirmation.
func (m *Machine) unconfirmedInterval() time.Duration {
	interval := time.Duration(len(m.live)+1) * time.Second / unconfirmedReadsPerSecond
	return min(max(interval, minUnconfirmedInterval), m.cfg.MaxUnconfirmedInterval)
}
