// Package rollout decides which bundle version is in force on a node and gets
// it there. Machine is pure; the shell in shell.go calls the platform.
package rollout

import (
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Verifier checks and decodes bundles. Both methods are pure functions.
type Verifier interface {
	// Verify checks an envelope's signatures. pieces are the SHA-256 names (hex)
	// of the content's pieces in order.
	Verify(envelope []byte) (version uint64, digest string, pieces []string, err error)
	// Assemble decodes the content from its pieces, by name.
	Assemble(envelope []byte, pieces map[string][]byte) (any, error)
}

// Platform is the source of pieces that are read from the platform.
const Platform fleet.NodeID = ""

// ActiveKey is the platform object that holds the active envelope.
const ActiveKey = "bundle/active"

// PieceKey returns the platform object of a piece.
func PieceKey(name string) string { return "bundle/piece/" + name }

// Config holds the timing of a Machine. Zero fields take the default.
type Config struct {
	// DataCentre is where the own node is. The readers are chosen per data
	// centre.
	DataCentre string
	// Seed determines the random choices together with the node's identifier.
	Seed uint64
	// Readers is how many nodes of a data centre watch the platform.
	Readers int
	// LeastReaders is how many nodes watch the platform in all, for fleets with
	// few data centres.
	LeastReaders int
	// ReadDelay is how long a starting node lets membership find peers before
	// it reads the platform. Without it, all nodes of a fleet that starts at
	// once would read. Negative means none.
	ReadDelay time.Duration
	// RetryMax is the longest back-off of platform calls.
	RetryMax time.Duration
	// FetchTimeout is how long a fetch may take until another source is asked.
	// An answer that comes later is used all the same.
	FetchTimeout time.Duration
	// AvoidFailed and AvoidBad are how long a source is avoided after a failed
	// fetch and after wrong content.
	AvoidFailed, AvoidBad time.Duration
	// Settle is how long membership gets to find peers before fewer than three
	// answers are enough.
	Settle time.Duration
	// StartWait bounds the wait for the first answers when no peer exists or
	// none answers.
	StartWait time.Duration
	// CheckInterval is the time between two comparisons with a random peer.
	CheckInterval time.Duration
	// BackstopInterval is the time between two platform reads of a node that
	// is not a reader, in case all readers are cut off from the platform.
	BackstopInterval time.Duration
}

// DefaultConfig returns the default timing.
func DefaultConfig() Config {
	return Config{
		Readers:          2,
		ReadDelay:        300 * time.Millisecond,
		RetryMax:         10 * time.Second,
		FetchTimeout:     300 * time.Millisecond, // several silent peers in a row fit into the bound of 2 s
		AvoidFailed:      2 * time.Second,
		AvoidBad:         time.Minute,
		Settle:           2 * time.Second,
		StartWait:        10 * time.Second,
		CheckInterval:    30 * time.Second,
		BackstopInterval: 5 * time.Minute,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	if c.Readers == 0 {
		c.Readers = d.Readers
	}
	for _, f := range []struct{ value, fallback *time.Duration }{
		{&c.ReadDelay, &d.ReadDelay}, {&c.RetryMax, &d.RetryMax},
		{&c.FetchTimeout, &d.FetchTimeout}, {&c.AvoidFailed, &d.AvoidFailed}, {&c.AvoidBad, &d.AvoidBad},
		{&c.Settle, &d.Settle}, {&c.StartWait, &d.StartWait}, {&c.CheckInterval, &d.CheckInterval},
		{&c.BackstopInterval, &d.BackstopInterval},
	} {
		if *f.value == 0 {
			*f.value = *f.fallback
		}
	}
	return c
}

// Event is an input of Machine.Step.
type Event interface{ event() }

// NodeChanged is a node as membership reports it, the own one included. It
// implies Heard for the node's bundle version.
type NodeChanged struct{ Node fleet.Node }

// Heard says that a peer has a version in force. Digest may be empty.
type Heard struct {
	From    fleet.NodeID
	Version uint64
	Digest  string
}

// PlatformRead is the result of ReadPlatform or WatchPlatform. Envelope is nil
// when there is no active bundle or, for a watch, when nothing changed.
type PlatformRead struct {
	Envelope []byte
	// Pieces are pieces that came along with the envelope, by name.
	Pieces map[string][]byte
	// Revision is where the next watch continues.
	Revision uint64
	// Watch tells the result of a watch from that of a read.
	Watch bool
	Err   error
}

// EnvelopeReceived is a peer's answer to FetchEnvelope. Envelope is empty when
// the peer has no bundle in force.
type EnvelopeReceived struct {
	From     fleet.NodeID
	Envelope []byte
}

// PiecesReceived is an answer to FetchPieces. Pieces may lack some of the names
// asked for.
type PiecesReceived struct {
	From   fleet.NodeID
	Pieces map[string][]byte
}

// FetchFailed says that a FetchEnvelope or FetchPieces had no answer.
type FetchFailed struct {
	From fleet.NodeID
	// Names are the pieces asked for; empty for an envelope.
	Names []string
	Err   error
}

// Tick is the passage of time. The shell sends it several times per second.
type Tick struct{}

func (NodeChanged) event()      {}
func (Heard) event()            {}
func (PlatformRead) event()     {}
func (EnvelopeReceived) event() {}
func (PiecesReceived) event()   {}
func (FetchFailed) event()      {}
func (Tick) event()             {}

// Action is an output of Machine.Step.
type Action interface{ action() }

// ReadPlatform asks for the active envelope; the answer is PlatformRead.
type ReadPlatform struct{}

// WatchPlatform asks for one long poll of the active envelope.
type WatchPlatform struct{ Since uint64 }

// FetchEnvelope asks a peer for its envelope in force.
type FetchEnvelope struct{ From fleet.NodeID }

// FetchPieces asks a peer, or the platform, for pieces.
type FetchPieces struct {
	From  fleet.NodeID
	Names []string
}

// Activate puts a bundle into force. Bundle is what Verifier.Assemble returned.
type Activate struct {
	Bundle  any
	Version uint64
	Digest  string
}

// Reject reports content that was not accepted.
type Reject struct {
	From    fleet.NodeID
	Version uint64 // 0 when unknown
	Err     error
}

// Conflict is an alarm: two valid envelopes have the same version and different
// digests. The platform's one wins.
type Conflict struct {
	From               fleet.NodeID
	Version            uint64
	InForce, Different string // digests
}

// Ready reports once that the node may serve callers as far as bundles go.
type Ready struct{}

func (ReadPlatform) action()  {}
func (WatchPlatform) action() {}
func (FetchEnvelope) action() {}
func (FetchPieces) action()   {}
func (Activate) action()      {}
func (Reject) action()        {}
func (Conflict) action()      {}
func (Ready) action()         {}

// Content is a bundle in force as other nodes fetch it. It is immutable.
type Content struct {
	Version  uint64
	Digest   string
	Envelope []byte
	Pieces   map[string][]byte // by name
	// Replaced are the versions that were in force before, newest first.
	Replaced []Content
}

// Piece returns a piece of the content or of one that it replaced lately.
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
