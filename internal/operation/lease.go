package operation

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Event is an input of the lease machines.
type Event interface{ event() }

// Events of Owner and Standby. Each machine ignores what is not meant for it.
type (
	// Tick lets time pass. It is due at least every 100 ms.
	Tick struct{}
	// MembersChanged replaces the members of the service.
	MembersChanged struct{ Members []Member }
	// AssignmentRead reports an object that was read from the platform or
	// heard from a peer. Views older than the known one are ignored.
	AssignmentRead struct {
		View View
		// Missing means that the platform has no object.
		Missing bool
		// FromPlatform is false for an object heard from a peer.
		FromPlatform bool
	}
	// ReadFailed reports that the platform gave no answer to a read.
	ReadFailed struct{}
	// PlatformWriteDone reports that the write took effect.
	PlatformWriteDone struct {
		WriteID string
		View    View
	}
	// PlatformWriteConflict reports that the object had another version.
	PlatformWriteConflict struct{ WriteID string }
	// PlatformWriteUncertain reports that the write may take effect at any
	// time, or may have taken effect.
	PlatformWriteUncertain struct{ WriteID string }
	// GrantReceived is the answer of a standby.
	GrantReceived struct {
		From     fleet.NodeID
		Sequence uint64
		Granted  bool
		// CurrentEpoch above the renewed epoch asks the owner to read the
		// assignment. In a refusal, the renewed epoch means that the standby
		// restarted and can vouch only for later epochs, and 0 means that the
		// owner tries again.
		CurrentEpoch fleet.Epoch
	}
	// RenewReceived asks this node as the standby for a promise.
	RenewReceived struct {
		From        fleet.NodeID
		Incarnation uint64
		Epoch       fleet.Epoch
		Sequence    uint64
	}
	// HandOverDone is the standby's answer to the last message of a handover,
	// or neither Accepted nor Refused when there was none.
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
	// OperatorRelease frees the ranges whose owner and standby are both gone
	// from the members (rule 8). The operator has made sure that the owners'
	// processes have ended.
	OperatorRelease struct{}
	// Leave states that this node stops. Ranges without a standby are released
	// when no other member can take them.
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

// Action is an output of the lease machines.
type Action interface{ action() }

// Actions of Owner and Standby.
type (
	// ReadAssignment reads the object from the platform; the answer is
	// AssignmentRead or ReadFailed.
	ReadAssignment struct{}
	// WriteAssignment writes the object if it still has the version; the
	// answer is one of the PlatformWrite events.
	WriteAssignment struct {
		IfVersion  uint64
		Assignment Assignment
	}
	// SendRenew asks a standby for its promise.
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
	// OpenRanges allows them again.
	OpenRanges struct{ Indexes []int }
	// SendHandOver sends the records of the ranges to their standby. The
	// snapshot is taken once; the answer is HandOverDone.
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
	// Take reports ranges that this node now owns as their former standby.
	// Records are those of a handover; Graceful is false after a lost owner.
	Take struct {
		From     fleet.NodeID
		Indexes  []int
		Graceful bool
		Records  []Record
	}
	// Release reports ranges that another node owns now.
	Release struct{ Indexes []int }
	// Unowned reports the ranges whose owner and standby are both gone from
	// the members. An empty list ends the condition.
	Unowned struct{ Indexes []int }
)

func (ReadAssignment) action()  {}
func (WriteAssignment) action() {}
func (SendRenew) action()       {}
func (SendGrant) action()       {}
func (CloseRanges) action()     {}
func (OpenRanges) action()      {}
func (SendHandOver) action()    {}
func (AnswerHandOver) action()  {}
func (Take) action()            {}
func (Release) action()         {}
func (Unowned) action()         {}

// proposal is a write whose result is not known. It is repeated unchanged
// until the object has another version than the one it was based on: only then
// can no copy of it take effect any more.
type proposal struct {
	base    uint64
	next    Assignment
	waiting bool          // an answer to a write is due
	retryAt time.Duration // when to write again
}

// writer makes the writes of one machine, one at a time.
type writer struct {
	cfg     Config
	prefix  string
	count   uint64
	pending *proposal
	reading bool
	// again asks for another read after the one under way, which began before
	// the result of a write and may not show it.
	again bool
	// readAt is when a read may be tried again after a failure.
	readAt time.Duration
	// away is set while the platform gives no answers.
	away bool
	// proposeAt delays the next write after a conflict by a time that differs
	// between nodes, so that many writers of one object do not collide again.
	proposeAt time.Duration
}

// conflictSpread is the longest delay after a conflict: several times the
// platform's answer time of a few milliseconds.
const conflictSpread = 200 * time.Millisecond

func newWriter(cfg Config, role string, self fleet.NodeID, incarnation uint64) writer {
	return writer{cfg: cfg, prefix: fmt.Sprintf("%s/%d/%s/", self, incarnation, role)}
}

func (w *writer) nextID() string {
	w.count++
	return fmt.Sprint(w.prefix, w.count)
}

// mayPropose reports whether a new write may start.
func (w *writer) mayPropose(now Now) bool {
	return w.pending == nil && now.Mono >= w.proposeAt && !(w.away && now.Mono < w.readAt)
}

// propose starts a write. There must be none pending.
func (w *writer) propose(base uint64, next Assignment) Action {
	w.pending = &proposal{base: base, next: next, waiting: true}
	return WriteAssignment{IfVersion: base, Assignment: next}
}

// read asks for the object unless an answer is due already.
func (w *writer) read(now Now) []Action {
	if w.reading {
		return nil
	}
	w.again = false
	if now.Mono < w.readAt {
		return nil
	}
	w.reading = true
	return []Action{ReadAssignment{}}
}

// step handles the answers of the platform. It returns the view that a
// successful write established.
func (w *writer) step(now Now, ev Event) ([]Action, *View) {
	switch e := ev.(type) {
	case AssignmentRead:
		if e.FromPlatform {
			w.reading, w.away = false, false
		}
		if e.Missing {
			w.readAt = now.Mono + w.cfg.PlatformRetry
		}
		if e.FromPlatform && w.again {
			return w.read(now), nil
		}
	case ReadFailed:
		w.reading, w.away = false, true
		w.readAt = now.Mono + w.cfg.PlatformRetry
	case PlatformWriteDone:
		if w.matches(e.WriteID) {
			w.away = false
			w.pending = nil
			return nil, &e.View
		}
	case PlatformWriteConflict:
		// An earlier copy of this write may be the cause of the conflict, so
		// the object decides.
		if w.matches(e.WriteID) {
			w.away = false
			w.pending.waiting = false
			w.pending.retryAt = now.Mono + w.cfg.PlatformRetry
			w.again = w.reading
			w.proposeAt = now.Mono + time.Duration(xxhash.Sum64String(e.WriteID)%uint64(conflictSpread))
			return w.read(now), nil
		}
	case PlatformWriteUncertain:
		if w.matches(e.WriteID) {
			w.away = true
			w.pending.waiting = false
			w.pending.retryAt = now.Mono + w.cfg.PlatformRetry
			return w.read(now), nil
		}
	case Tick:
		if p := w.pending; p != nil && !p.waiting && now.Mono >= p.retryAt {
			p.waiting = true
			return []Action{WriteAssignment{IfVersion: p.base, Assignment: p.next}}, nil
		}
		if w.pending == nil && w.away {
			return w.read(now), nil
		}
	}
	return nil, nil
}

func (w *writer) matches(writeID string) bool {
	return w.pending != nil && w.pending.next.WriteID == writeID
}

// settle ends a proposal that can no longer take effect, or has.
func (w *writer) settle(version uint64) {
	if w.pending != nil && version > w.pending.base {
		w.pending = nil
	}
}
