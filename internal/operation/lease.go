package operation

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Event is an input of the lease state machines.
type Event interface{ event() }

// Events of Owner and Standby. Each state machine ignores the events that are
// meant for the other one.
type (
	// Tick reports that time has passed. It must be sent at least every 100 ms.
	Tick struct{}
	// MembersChanged replaces the members of the service.
	MembersChanged struct{ Members []Member }
	// AssignmentRead reports an assignment that was read from the platform or
	// received from a peer. A view that is not newer than the known one is
	// ignored.
	AssignmentRead struct {
		View VersionedAssignment
		// Missing means that the platform has no object.
		Missing bool
		// FromPlatform is false for an assignment that a peer or the platform's
		// watch reported.
		FromPlatform bool
	}
	// ReadFailed reports that the platform did not answer a read.
	ReadFailed struct{}
	// PlatformWriteDone reports that the write took effect.
	PlatformWriteDone struct {
		WriteID string
		View    VersionedAssignment
	}
	// PlatformWriteConflict reports that the object had another version.
	PlatformWriteConflict struct{ WriteID string }
	// PlatformWriteUncertain reports that the write may have taken effect or
	// may still take effect at any time.
	PlatformWriteUncertain struct{ WriteID string }
	// GrantReceived is a standby's answer to a renewal.
	GrantReceived struct {
		From     fleet.NodeID
		Sequence uint64
		Granted  bool
		// CurrentEpoch above the renewed epoch asks the owner to read the
		// assignment. In a refusal, the renewed epoch means that the standby
		// has restarted and can make promises only for later epochs, and 0
		// means that the owner should try again.
		CurrentEpoch fleet.Epoch
	}
	// RenewReceived asks this node, as a standby, for a promise.
	RenewReceived struct {
		From        fleet.NodeID
		Incarnation uint64
		Epoch       fleet.Epoch
		Sequence    uint64
	}
	// HandOverDone is the standby's answer to the last message of a handover.
	// Accepted and Refused are both false when no answer came.
	HandOverDone struct {
		To       fleet.NodeID
		Epoch    fleet.Epoch
		Accepted bool
		Refused  bool
	}
	// HandOverReceived is one message of a handover to this node.
	HandOverReceived struct {
		From        fleet.NodeID
		Incarnation uint64
		Epoch       fleet.Epoch
		Indexes     []int
		Records     []Record
		Last        bool
	}
	// OperatorRelease releases the ranges whose owner and standby are both no
	// longer members (rule 8). The operator has made sure that the owners'
	// processes have ended.
	OperatorRelease struct{}
	// Leave reports that this node is about to stop. Ranges without a standby
	// are released when no other member can receive them.
	Leave struct{}
)

func (Tick) event()                   {}
func (MembersChanged) event()         {}
func (AssignmentRead) event()         {}
func (ReadFailed) event()             {}
func (PlatformWriteDone) event()      {}
func (PlatformWriteConflict) event()  {}
func (PlatformWriteUncertain) event() {}
func (GrantReceived) event()          {}
func (RenewReceived) event()          {}
func (HandOverDone) event()           {}
func (HandOverReceived) event()       {}
func (OperatorRelease) event()        {}
func (Leave) event()                  {}

// Action is an output of the lease state machines.
type Action interface{ action() }

// Actions of Owner and Standby.
type (
	// ReadAssignment reads the object from the platform. The result comes back
	// as AssignmentRead or ReadFailed.
	ReadAssignment struct{}
	// WriteAssignment writes the object if it still has version IfVersion. The
	// result comes back as one of the PlatformWrite events.
	WriteAssignment struct {
		IfVersion  uint64
		Assignment Assignment
	}
	// SendRenew asks a standby to renew its promise.
	SendRenew struct {
		To       fleet.NodeID
		Epoch    fleet.Epoch
		Sequence uint64
	}
	// SendGrant answers RenewReceived.
	SendGrant struct {
		To           fleet.NodeID
		Epoch        fleet.Epoch
		Sequence     uint64
		Granted      bool
		CurrentEpoch fleet.Epoch
	}
	// CloseRanges stops new operations of the ranges in the table.
	CloseRanges struct{ Indexes []int }
	// OpenRanges allows new operations of the ranges again.
	OpenRanges struct{ Indexes []int }
	// SendHandOver sends the records of the ranges to their standby. The
	// snapshot is made once, also when the records are sent again. The result
	// comes back as HandOverDone.
	SendHandOver struct {
		To      fleet.NodeID
		Epoch   fleet.Epoch
		Indexes []int
	}
	// AnswerHandOver answers HandOverReceived.
	AnswerHandOver struct {
		To       fleet.NodeID
		Accepted bool
		Reason   string
	}
	// RangesTaken reports ranges that this node, their former standby, now
	// owns. Records are those of a handover. Graceful is false after a takeover
	// from a lost owner.
	RangesTaken struct {
		From     fleet.NodeID
		Indexes  []int
		Graceful bool
		Records  []Record
	}
	// RangesLost reports ranges that another node now owns.
	RangesLost struct{ Indexes []int }
	// UnownedRanges reports all ranges whose owner and standby are both no
	// longer members. An empty list means that there are none any more.
	UnownedRanges struct{ Indexes []int }
)

func (ReadAssignment) action()  {}
func (WriteAssignment) action() {}
func (SendRenew) action()       {}
func (SendGrant) action()       {}
func (CloseRanges) action()     {}
func (OpenRanges) action()      {}
func (SendHandOver) action()    {}
func (AnswerHandOver) action()  {}
func (RangesTaken) action()     {}
func (RangesLost) action()      {}
func (UnownedRanges) action()   {}

// proposal is a write whose result is not known. It is written again unchanged
// until the object has another version than baseVersion: only then can no copy
// of the write take effect any more.
type proposal struct {
	baseVersion uint64
	next        Assignment
	inFlight    bool          // an answer to the write is expected
	retryAt     time.Duration // when to write again
}

// writer makes the platform writes of one state machine, one at a time.
type writer struct {
	cfg      Config
	idPrefix string
	idCount  uint64
	pending  *proposal
	reading  bool
	// rereadNeeded asks for a second read after the one in progress, which
	// began before the result of a write was known and may not show that write.
	rereadNeeded bool
	// nextReadAt is the earliest time of the next read after a read that failed
	// or found no object.
	nextReadAt time.Duration
	// platformUnavailable is set while the platform gives no answers.
	platformUnavailable bool
	// nextProposalAt delays the next write after a conflict by a time that
	// differs between nodes, so that many writers of one object do not conflict
	// again.
	nextProposalAt time.Duration
}

// maxConflictDelay is the longest delay after a conflict: several times the
// platform's response time of a few milliseconds.
const maxConflictDelay = 200 * time.Millisecond

func newWriter(cfg Config, role string, self fleet.NodeID, incarnation uint64) writer {
	return writer{cfg: cfg, idPrefix: fmt.Sprintf("%s/%d/%s/", self, incarnation, role)}
}

func (w *writer) nextWriteID() string {
	w.idCount++
	return fmt.Sprint(w.idPrefix, w.idCount)
}

// mayPropose reports whether a new write may start.
func (w *writer) mayPropose(now ClockReading) bool {
	return w.pending == nil && now.Mono >= w.nextProposalAt && !(w.platformUnavailable && now.Mono < w.nextReadAt)
}

// propose starts a write. No other proposal may be pending.
func (w *writer) propose(baseVersion uint64, next Assignment) Action {
	w.pending = &proposal{baseVersion: baseVersion, next: next, inFlight: true}
	return WriteAssignment{IfVersion: baseVersion, Assignment: next}
}

// read requests the object unless a read is already in progress.
func (w *writer) read(now ClockReading) []Action {
	if w.reading {
		return nil
	}
	w.rereadNeeded = false
	if now.Mono < w.nextReadAt {
		return nil
	}
	w.reading = true
	return []Action{ReadAssignment{}}
}

// step handles the platform's answers. It returns the view that a successful
// write of this writer established.
func (w *writer) step(now ClockReading, ev Event) ([]Action, *VersionedAssignment) {
	switch e := ev.(type) {
	case AssignmentRead:
		if e.FromPlatform {
			w.reading, w.platformUnavailable = false, false
		}
		if e.Missing {
			w.nextReadAt = now.Mono + w.cfg.PlatformRetryDelay
		}
		if e.FromPlatform && w.rereadNeeded {
			return w.read(now), nil
		}
	case ReadFailed:
		w.reading, w.platformUnavailable = false, true
		w.nextReadAt = now.Mono + w.cfg.PlatformRetryDelay
	case PlatformWriteDone:
		if w.isPending(e.WriteID) {
			w.platformUnavailable = false
			w.pending = nil
			return nil, &e.View
		}
	case PlatformWriteConflict:
		// An earlier copy of this write may have caused the conflict, so the
		// object is read to find out.
		if w.isPending(e.WriteID) {
			w.platformUnavailable = false
			w.pending.inFlight = false
			w.pending.retryAt = now.Mono + w.cfg.PlatformRetryDelay
			w.rereadNeeded = w.reading
			w.nextProposalAt = now.Mono + time.Duration(xxhash.Sum64String(e.WriteID)%uint64(maxConflictDelay))
			return w.read(now), nil
		}
	case PlatformWriteUncertain:
		if w.isPending(e.WriteID) {
			w.platformUnavailable = true
			w.pending.inFlight = false
			w.pending.retryAt = now.Mono + w.cfg.PlatformRetryDelay
			return w.read(now), nil
		}
	case Tick:
		if p := w.pending; p != nil && !p.inFlight && now.Mono >= p.retryAt {
			p.inFlight = true
			return []Action{WriteAssignment{IfVersion: p.baseVersion, Assignment: p.next}}, nil
		}
		if w.pending == nil && w.platformUnavailable {
			return w.read(now), nil
		}
	}
	return nil, nil
}

func (w *writer) isPending(writeID string) bool {
	return w.pending != nil && w.pending.next.WriteID == writeID
}

// dropResolved drops the pending proposal once the object's version shows that
// the proposal has taken effect or no longer can.
func (w *writer) dropResolved(version uint64) {
	if w.pending != nil && version > w.pending.baseVersion {
		w.pending = nil
	}
}
