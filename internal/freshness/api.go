// Package freshness tracks when the bundle in force on a node was last known to
// be the newest one, so that API keys can be withdrawn within a bound even on
// nodes that cannot read the platform.
//
// All times are readings of the boot clock of the VM, see BootTime.
package freshness

import (
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Confirmation states that no version newer than Version had been accepted by
// the platform at the time At.
type Confirmation struct {
	Version uint64
	At      time.Duration
}

// Config holds the parameters of a Machine.
type Config struct {
	// MaxAge is the age beyond which a confirmation is of no use.
	MaxAge time.Duration
	// Seed seeds the random number generator. It must differ between processes:
	// an answer to a query of an earlier process must not match a later query.
	Seed uint64
}

// Peer is a usable node other than this one.
type Peer struct {
	ID fleet.NodeID
	// Reader is set for nodes that watch the platform.
	Reader bool
	// Near is set for nodes in the data centre of this node.
	Near bool
}

// Event is an input of Machine.Step.
type Event interface{ event() }

// Tick lets the machine act on timeouts. It is due several times per
// queryTimeout.
type Tick struct{}

// Activated reports the ordered version of the bundle in force and whether it
// requires API keys.
type Activated struct {
	Version      uint64
	RequiresKeys bool
}

// PeersChanged replaces the list of peers. Reader tells whether this node
// watches the platform.
type PeersChanged struct {
	Peers  []Peer
	Reader bool
}

// PlatformConfirmed reports that a call to the platform, sent at SentAt, showed
// that no version newer than the one in force had been accepted.
type PlatformConfirmed struct{ SentAt time.Duration }

// Hint reports that a peer stated in passing how old its confirmation is. The
// delay of the message is not known, so a hint only tells whom to ask.
type Hint struct {
	From fleet.NodeID
	Age  time.Duration
}

// Query is a query of another node. From is its address.
type Query struct {
	From     string
	Sequence uint64
}

// Answer is the answer of a peer to an Ask.
type Answer struct {
	From     fleet.NodeID
	Sequence uint64
	Version  uint64
	Age      time.Duration
}

func (Tick) event()              {}
func (Activated) event()         {}
func (PeersChanged) event()      {}
func (PlatformConfirmed) event() {}
func (Hint) event()              {}
func (Query) event()             {}
func (Answer) event()            {}

// Action is an output of Machine.Step.
type Action interface{ action() }

// Ask requests that a query be sent to a peer.
type Ask struct {
	To       fleet.NodeID
	Sequence uint64
}

// Reply requests that an answer be sent to the address of a query.
type Reply struct {
	To       string
	Sequence uint64
	Version  uint64
	Age      time.Duration
}

// ReadPlatform requests a read of the platform.
type ReadPlatform struct{}

// Expired reports that the bundle has not been confirmed within Config.MaxAge.
type Expired struct{}

// Renewed reports the end of a time that began with Expired.
type Renewed struct{ After time.Duration }

func (Ask) action()          {}
func (Reply) action()        {}
func (ReadPlatform) action() {}
func (Expired) action()      {}
func (Renewed) action()      {}
