// Package membership decides which nodes of the fleet are alive. Its Machine is
// pure: time, packets and the seed are arguments. Transport is the UDP shell.
// The protocol follows SWIM (Das, Gupta, Motivala, DSN 2002) with changes that
// docs/membership.md describes.
package membership

import "time"

const (
	// MaxDatagram is the largest UDP payload in bytes, with the tag of
	// auth.Keys. It fits an Ethernet frame without fragmentation.
	MaxDatagram = 1400
	// packetOverhead is what the budget counts for each packet besides its
	// encoded message: IPv4 and UDP headers and the tag.
	packetOverhead = 28 + tagSize
	tagSize        = 32
)

// Config holds the timing and limits of a Machine. Zero fields take the value
// of DefaultConfig, except ProbeAll.
type Config struct {
	// TickInterval is how often the shell steps the machine with Tick.
	TickInterval time.Duration
	// ProbeInterval is the time between two probes of one node.
	ProbeInterval time.Duration
	// RoundTimeout is the time between the rounds of a probe: a ping, a second
	// ping, a few helpers, many helpers.
	RoundTimeout time.Duration
	// ProbeTimeout is how long a probe waits in all.
	ProbeTimeout time.Duration
	// SuspectTimeout is how long a suspected node has to refute.
	SuspectTimeout time.Duration
	// IsolationHold is how long a node that hears no packet from anyone puts
	// off calling others dead, because its own inbound path is the more likely
	// fault.
	IsolationHold time.Duration
	// IndirectProbes is the number of helpers that a probe asks first, and
	// WideProbes the number it asks when they do not reach the target either.
	IndirectProbes, WideProbes int
	// Fanout is to how many nodes an urgent update is pushed at once.
	Fanout int
	// ReconnectInterval is the time between pings of dead nodes and of seeds
	// that are not known as nodes.
	ReconnectInterval time.Duration
	// DeadRetention is how long a dead node is remembered. It must exceed the
	// longest cut after which both sides have to find each other again.
	DeadRetention time.Duration
	// BytesPerSecond is the budget for sent packets with their headers.
	BytesPerSecond int
	// ProbeAll makes every node probe the nodes of all data centres. Without
	// it, nodes probe inside their data centre, and relays probe each other.
	ProbeAll bool
	// Relays is how many nodes of a data centre talk to other data centres.
	Relays int
}

// DefaultConfig suits fleets of today's sizes. The worst case of a detection is
// two probe intervals, ProbeTimeout and SuspectTimeout, and two ticks: 1.8 s,
// below the bound of 2 s. The budget leaves half of the 5 KB/s of control traffic
// to full-state exchanges, evidence and leases.
func DefaultConfig() Config {
	return Config{
		TickInterval:      50 * time.Millisecond,
		ProbeInterval:     200 * time.Millisecond,
		RoundTimeout:      100 * time.Millisecond,
		ProbeTimeout:      400 * time.Millisecond,
		SuspectTimeout:    900 * time.Millisecond,
		IsolationHold:     10 * time.Second,
		IndirectProbes:    3,
		WideProbes:        16,
		Fanout:            3,
		ReconnectInterval: time.Second,
		DeadRetention:     time.Hour,
		BytesPerSecond:    2500,
		ProbeAll:          true,
		Relays:            2,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	setDefault(&c.TickInterval, d.TickInterval)
	setDefault(&c.ProbeInterval, d.ProbeInterval)
	setDefault(&c.RoundTimeout, d.RoundTimeout)
	setDefault(&c.ProbeTimeout, d.ProbeTimeout)
	setDefault(&c.SuspectTimeout, d.SuspectTimeout)
	setDefault(&c.IsolationHold, d.IsolationHold)
	setDefault(&c.IndirectProbes, d.IndirectProbes)
	setDefault(&c.WideProbes, d.WideProbes)
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
	// syncInterval is the shortest time between two full-state exchanges that
	// a node starts.
	syncInterval = 30 * time.Second
	// syncBytesPerSecond is the share of the control traffic that full-state
	// exchanges may take on average.
	syncBytesPerSecond = 500
)

// SyncInterval returns the time between two full-state exchanges whose messages
// have the given size in bytes: 30 s, or longer so that the exchanges average
// at most 500 bytes/s.
func SyncInterval(size int) time.Duration {
	return max(syncInterval, time.Duration(size)*time.Second/syncBytesPerSecond)
}
