// Package rollout decides which bundle version is in force on a node and
// fetches that version from peers or the platform. Machine is a deterministic
// state machine without I/O; the functions in shell.go call the platform.
package rollout

import (
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/platform"
)

// Verifier checks and decodes bundles. Both methods must be free of side
// effects.
type Verifier interface {
	// Verify checks an envelope's signatures. digest identifies the envelope.
	// pieces are the SHA-256 names (hex) of the content's pieces in order.
	Verify(envelope []byte) (version uint64, digest string, pieces []string, err error)
	// Assemble decodes the content of an envelope. The keys of pieces are the
	// names of the pieces.
	Assemble(envelope []byte, pieces map[string][]byte) (any, error)
}

// Platform stands for the platform where a source of envelopes or pieces is
// named. All other values name a peer.
const Platform fleet.NodeID = ""

// ActiveKey is the key of the platform object that holds the active envelope.
const ActiveKey = "bundle/active"

// PieceKey returns the key of the platform object that holds the named piece.
func PieceKey(name string) string { return "bundle/piece/" + name }

// Config holds the parameters of a Machine. DefaultConfig has the values that
// replace zero fields.
type Config struct {
	// DataCentre is the data centre of this node. Readers, the nodes that watch
	// the platform, are chosen per data centre.
	DataCentre string
	// Seed and the node's identifier together seed the random number generator.
	Seed uint64
	// Readers is the number of readers in each data centre.
	Readers int
	// MinReaders is the minimum number of readers in the whole fleet. In fleets
	// with few data centres it raises the number per data centre.
	MinReaders int
	// ReadDelay is the time between the start of a node and its first read of
	// the active envelope from the platform, in which membership can find
	// peers. Without this delay, all nodes of a fleet that starts at once would
	// read the platform. A negative value means no delay.
	ReadDelay time.Duration
	// ReadWithoutBundle makes a node that has no bundle in force read the
	// platform after ReadDelay also if it is not a reader. When all nodes of a
	// fleet start again, their peers have nothing to give.
	ReadWithoutBundle bool
	// BehindReadDelay is how long a node that knows of a higher version than the
	// one in force relies on its peers before it reads the platform itself. Zero
	// means that it does not.
	BehindReadDelay time.Duration
	// MaxBackoff is the maximum back-off between platform calls, before jitter.
	MaxBackoff time.Duration
	// FetchTimeout is the time after which a fetch counts as failed and another
	// source is asked. An answer that arrives later is still used.
	FetchTimeout time.Duration
	// AvoidAfterFailure is how long a source is avoided after a failed fetch,
	// before jitter. AvoidAfterReject is how long a peer is avoided after it
	// sent content that was rejected, and how long an envelope that could not
	// be decoded is ignored.
	AvoidAfterFailure, AvoidAfterReject time.Duration
	// MembershipWait is the time that membership gets to find peers at startup.
	// After it, answers from all known peers are enough even if they are fewer
	// than three, and readers start to watch.
	MembershipWait time.Duration
	// StartupTimeout bounds the wait for answers at startup when there are no
	// peers or too few of them answer.
	StartupTimeout time.Duration
	// CheckInterval is the interval, before jitter, at which the envelope in
	// force is compared with that of a random peer.
	CheckInterval time.Duration
	// ConfirmWithin is how long a node relies on the last confirmation that its
	// bundle is as new as the one on the platform, see Machine.PeerConfirmed. If
	// the readers cannot read the platform, all other nodes then read it in their
	// place. It exceeds the duration of a watch and the time in which a
	// confirmation reaches all nodes.
	ConfirmWithin time.Duration
	// MaxUnconfirmedInterval is the longest interval, before jitter, between the
	// reads of one node without a confirmation.
	MaxUnconfirmedInterval time.Duration
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		Readers:                2,
		ReadDelay:              300 * time.Millisecond,
		MaxBackoff:             10 * time.Second,
		FetchTimeout:           300 * time.Millisecond, // several unresponsive peers in a row fit into the 2 s bound of a rollout
		AvoidAfterFailure:      2 * time.Second,
		AvoidAfterReject:       time.Minute,
		MembershipWait:         2 * time.Second,
		StartupTimeout:         10 * time.Second,
		CheckInterval:          30 * time.Second,
		ConfirmWithin:          2 * platform.DefaultWatchWait,
		MaxUnconfirmedInterval: 5 * time.Minute,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	if c.Readers == 0 {
		c.Readers = d.Readers
	}
	for _, f := range []struct{ value, fallback *time.Duration }{
		{&c.ReadDelay, &d.ReadDelay}, {&c.MaxBackoff, &d.MaxBackoff},
		{&c.FetchTimeout, &d.FetchTimeout}, {&c.AvoidAfterFailure, &d.AvoidAfterFailure}, {&c.AvoidAfterReject, &d.AvoidAfterReject},
		{&c.MembershipWait, &d.MembershipWait}, {&c.StartupTimeout, &d.StartupTimeout}, {&c.CheckInterval, &d.CheckInterval},
		{&c.ConfirmWithin, &d.ConfirmWithin}, {&c.MaxUnconfirmedInterval, &d.MaxUnconfirmedInterval},
	} {
		if *f.value == 0 {
			*f.value = *f.fallback
		}
	}
	return c
}

// Event is an input of Machine.Step.
type Event interface{ event() }

// NodeChanged carries the record of a node as membership reports it. The record
// may be that of this node. Its BundleVersion replaces the version that an
// earlier NodeChanged or PeerVersion reported for the node.
type NodeChanged struct{ Node fleet.Node }

// PeerVersion reports the bundle version that a peer has in force. Digest is
// empty when it is not known.
type PeerVersion struct {
	From    fleet.NodeID
	Version uint64
	Digest  string
}

// PlatformRead is the result of ReadPlatform or WatchPlatform. Envelope is nil
// when there is no active bundle or when a watch ended without a change.
type PlatformRead struct {
	Envelope []byte
	// Pieces holds the pieces that were returned with the envelope, by name.
	Pieces map[string][]byte
	// At is the position of the store from which the next watch continues.
	At platform.Position
	// FromWatch is true for the result of WatchPlatform.
	FromWatch bool
	// Since is the position of the WatchPlatform whose result this is.
	Since platform.Position
	// Undecided is set while the platform holds content whose version is not
	// known yet. Such a result confirms nothing.
	Undecided bool
	// SentAt is the time at which the call was sent, by a clock of the caller's
	// choice. With 0, no Confirmed is emitted.
	SentAt time.Duration
	Err    error
}

// EnvelopeReceived is a peer's answer to FetchEnvelope. Envelope is empty when
// the peer has no bundle in force.
type EnvelopeReceived struct {
	From     fleet.NodeID
	Envelope []byte
}

// PiecesReceived is the answer to FetchPieces. Requested pieces that the source
// does not have are absent from Pieces.
type PiecesReceived struct {
	From   fleet.NodeID
	Pieces map[string][]byte
}

// FetchFailed reports that a FetchEnvelope or FetchPieces got no answer.
type FetchFailed struct {
	From fleet.NodeID
	// Names are the requested pieces; empty for FetchEnvelope.
	Names []string
	Err   error
}

// ReadRequested makes the machine read the platform now. It does not wait for a
// call in flight.
type ReadRequested struct{}

// Tick lets the machine act on timeouts and intervals. The caller of
// Machine.Step sends it several times per second.
type Tick struct{}

func (NodeChanged) event()      {}
func (PeerVersion) event()      {}
func (PlatformRead) event()     {}
func (EnvelopeReceived) event() {}
func (PiecesReceived) event()   {}
func (FetchFailed) event()      {}
func (ReadRequested) event()    {}
func (Tick) event()             {}

// Action is an output of Machine.Step.
type Action interface{ action() }

// ReadPlatform requests a read of the active envelope. Its result is a
// PlatformRead.
type ReadPlatform struct{}

// WatchPlatform requests one long poll for a change of the active envelope
// after the position Since. Its result is a PlatformRead.
type WatchPlatform struct{ Since platform.Position }

// FetchEnvelope requests the envelope that a peer has in force.
type FetchEnvelope struct{ From fleet.NodeID }

// FetchPieces requests pieces from a peer or from Platform.
type FetchPieces struct {
	From  fleet.NodeID
	Names []string
}

// Activate puts a bundle into force. Bundle is the result of Verifier.Assemble.
type Activate struct {
	Bundle  any
	Version uint64
	Digest  string
}

// Reject reports that an envelope, a piece or a bundle was not accepted.
type Reject struct {
	From    fleet.NodeID
	Version uint64 // 0 when unknown
	Err     error
}

// Conflict is an alarm: two valid envelopes have the same version and different
// digests. The envelope that the platform holds takes precedence.
type Conflict struct {
	From                 fleet.NodeID
	Version              uint64
	InForce, Conflicting string // digests
}

// OlderOnPlatform reports, once for each era and bundle, that the platform
// holds an older bundle than the one in force.
type OlderOnPlatform struct {
	Era, Version, InForce uint64
}

// Unconfirmed reports that no node has confirmed the bundle in force for Age.
// The node reads the platform itself until one does. It is emitted once for
// each such time.
type Unconfirmed struct{ Age time.Duration }

// Confirmed reports that the platform held no newer envelope than the one in
// force when a call was sent, see PlatformRead.SentAt.
type Confirmed struct{ SentAt time.Duration }

// Ready is emitted once, when the rollout no longer prevents the node from
// serving callers.
type Ready struct{}

func (ReadPlatform) action()    {}
func (WatchPlatform) action()   {}
func (FetchEnvelope) action()   {}
func (FetchPieces) action()     {}
func (Activate) action()        {}
func (Reject) action()          {}
func (Conflict) action()        {}
func (OlderOnPlatform) action() {}
func (Unconfirmed) action()     {}
func (Confirmed) action()       {}
func (Ready) action()           {}

// Content is the encoded form of a bundle that is or was in force, as served to
// other nodes. It is immutable.
type Content struct {
	Version  uint64
	Digest   string
	Envelope []byte
	Pieces   map[string][]byte // by name
	// Replaced holds the last versions that were in force before, newest first.
	Replaced []Content
}

// Piece returns the named piece of the content or of one of the versions in
// Replaced.
func (c *Content) Piece(name string) ([]byte, bool) {
	if piece, ok := c.Pieces[name]; ok {
		return piece, true
	}
	for _, old := range c.Replaced {
		if piece, ok := old.Pieces[name]; ok {
			return piece, true
		}
	}
	return nil, false
}
