// Package membership detects which nodes of the fleet are alive. Machine is a
// deterministic state machine without I/O: time, packets and the random seed
// are arguments. Transport sends and receives its datagrams over UDP. The
// protocol follows SWIM (Das, Gupta, Motivala, DSN 2002) with changes that
// docs/membership.md describes.
package membership

import "time"

const (
	// MaxDatagram is the largest UDP payload in bytes, including the tag that
	// auth.Keys appends. It fits an Ethernet frame without fragmentation.
	MaxDatagram = 1400
	// packetOverhead is the number of bytes that the budget counts for each
	// packet in addition to its encoded message: the IPv4 and UDP headers and
	// the authentication tag.
	packetOverhead = 28 + tagSize
	tagSize        = 32
)

// Config holds the timing and limits of a Machine. Zero fields take the value
// of DefaultConfig, except ProbeAll.
type Config struct {
	// TickInterval is the interval at which the caller of Machine.Step sends
	// Tick events.
	TickInterval time.Duration
	// ProbeInterval is the time between two probes that a node starts.
	ProbeInterval time.Duration
	// RoundTimeout is the time between the rounds of a probe: a ping, a second
	// ping, ping requests to a few helpers, ping requests to many helpers.
	RoundTimeout time.Duration
	// ProbeTimeout is the total time after which an unanswered probe fails.
	ProbeTimeout time.Duration
	// SuspectTimeout is the time that a suspected node has to refute the
	// suspicion before it is declared dead.
	SuspectTimeout time.Duration
	// IsolationDelay is how long a node that receives no packets at all delays
	// declaring others dead, because a fault of its own inbound path is more
	// likely.
	IsolationDelay time.Duration
	// IndirectProbes is the number of helpers that a probe asks first, and
	// WideIndirectProbes the number it asks when the first helpers do not reach
	// the probed node either.
	IndirectProbes, WideIndirectProbes int
	// Fanout is the number of nodes to which an urgent update is pushed
	// immediately.
	Fanout int
	// ReconnectInterval is the time between pings of dead nodes and of seed
	// addresses that belong to no live node.
	ReconnectInterval time.Duration
	// DeadRetention is how long the record of a dead node is kept. It must
	// exceed the longest network partition whose two sides have to find each
	// other again.
	DeadRetention time.Duration
	// BytesPerSecond is the budget for sent packets, including their headers.
	BytesPerSecond int
	// ProbeAll makes every node probe the nodes of all data centres. Without
	// it, nodes probe within their data centre, and only relays probe the
	// relays of other data centres.
	ProbeAll bool
	// Relays is the number of nodes of each data centre that exchange packets
	// with other data centres.
	Relays int
}

// DefaultConfig returns the timing and limits for fleets of current sizes. In
// the worst case, detecting a dead node takes two probe intervals,
// ProbeTimeout, SuspectTimeout and two ticks: 1.8 s, below the bound of 2 s.
// The byte budget leaves half of the 5 KB/s of control traffic to full-state
// exchanges, evidence and leases.
func DefaultConfig() Config {
	return Config{
		TickInterval:       50 * time.Millisecond,
		ProbeInterval:      200 * time.Millisecond,
		RoundTimeout:       100 * time.Millisecond,
		ProbeTimeout:       400 * time.Millisecond,
		SuspectTimeout:     900 * time.Millisecond,
		IsolationDelay:     10 * time.Second,
		IndirectProbes:     3,
		WideIndirectProbes: 16,
		Fanout:             3,
		ReconnectInterval:  time.Second,
		DeadRetention:      time.Hour,
		BytesPerSecond:     2500,
		ProbeAll:           true,
		Relays:             2,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	setDefault(&c.TickInterval, d.TickInterval)
	setDefault(&c.ProbeInterval, d.ProbeInterval)
	setDefault(&c.RoundTimeout, d.RoundTimeout)
	setDefault(&c.ProbeTimeout, d.ProbeTimeout)
	setDefault(&c.SuspectTimeout, d.SuspectTimeout)
	setDefault(&c.IsolationDelay, d.IsolationDelay)
	setDefault(&c.IndirectProbes, d.IndirectProbes)
	setDefault(&c.WideIndirectProbes, d.WideIndirectProbes)
	setDefault(&c.Fanout, d.Fanout)
	setDefault(&c.ReconnectInterval, d.ReconnectInterval)
	setDefault(&c.DeadRetention, d.DeadRetention)
	setDefault(&c.BytesPerSecond, d.BytesPerSecond)
	setDefault(&c.Relays, d.Relays)
	return c
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

const (
	// syncInterval is the shortest time between two periodic full-state
	// exchanges that a node starts.
	syncInterval = 30 * time.Second
	// syncBytesPerSecond bounds the average control traffic of full-state
	// exchanges.
	syncBytesPerSecond = 500
)

// SyncInterval returns the time between two full-state exchanges whose messages
// have the given size in bytes: 30 s, or longer so that the exchanges average
// at most 500 bytes/s.
func SyncInterval(size int) time.Duration {
	return max(syncInterval, time.Duration(size)*time.Second/syncBytesPerSecond)
}
