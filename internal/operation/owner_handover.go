package operation

import (
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// outgoingHandover is a handover to one standby.
type outgoingHandover struct {
	indexes        []int
	deadline       time.Duration // end of the wait for running operations
	sent           bool
	sentAt         time.Duration
	epoch          fleet.Epoch
	retryAt        time.Duration
	awaitingAnswer bool
	refused        bool // refused by the standby; the ranges are reclaimed immediately
}

// pruneOutgoing removes from the handovers the ranges that the view shows as
// moved or as kept by this process, and reopens the kept ones.
func (o *Owner) pruneOutgoing() []Action {
	var actions []Action
	for _, to := range sortedNodes(o.outgoing) {
		out := o.outgoing[to]
		var valid, open []int
		for _, i := range out.indexes {
			r := o.view.Assignment.Ranges[i]
			_, frozen := o.frozen[i]
			switch {
			case !o.ownsRange(r):
			case r.Standby != to || out.sent && !frozen:
				open = append(open, i)
			default:
				valid = append(valid, i)
			}
		}
		if out.indexes = valid; len(valid) == 0 {
			delete(o.outgoing, to)
		}
		if len(open) > 0 {
			actions = append(actions, OpenRanges{Indexes: open})
		}
	}
	return actions
}

// inHandover reports whether the range is part of a handover that its standby
// may still complete.
func (o *Owner) inHandover(index int, standby fleet.NodeID) bool {
	out := o.outgoing[standby]
	return out != nil && slices.Contains(out.indexes, index)
}

// reclaimHoldOff is the time after a failed handover during which the member is
// offered no further ranges for even shares. Its ranges had no owner for
// ReclaimAfter; this delay keeps that below a tenth of the time.
const reclaimHoldOff = time.Minute

// reclaimRanges serves ranges again whose standby has not taken over after a
// handover. The new epoch makes the handover void.
func (o *Owner) reclaimRanges(now ClockReading, next *Assignment) bool {
	changed := false
	for to, out := range o.outgoing {
		lost := o.isSilent(now, to) || !isMember(o.members, to)
		due := out.refused || now.Mono-out.sentAt >= o.cfg.ReclaimAfter && (o.acceptsWork() || lost)
		if !out.sent || !due {
			continue
		}
		for _, i := range out.indexes {
			if _, frozen := o.frozen[i]; frozen {
				next.Ranges[i].Epoch = next.Epoch
				if lost {
					next.Ranges[i].Standby = o.otherStandby(now, i, to)
				}
				changed = true
			}
		}
		o.holdOffUntil[to] = now.Mono + reclaimHoldOff
	}
	return changed
}

func (o *Owner) otherStandby(now ClockReading, index int, lost fleet.NodeID) fleet.NodeID {
	others := slices.DeleteFunc(o.candidates(now), func(m Member) bool { return m.Node == lost })
	if s := chooseStandby(o.service, index, "", o.self, others); s != "" {
		return s
	}
	return lost
}

// advanceHandovers starts and continues handovers. Ranges go to the members
// that should own them for even shares; a node that does not accept work hands
// over all its ranges.
func (o *Owner) advanceHandovers(now ClockReading) []Action {
	var actions []Action
	due := o.dueHandovers(now)
	for _, to := range sortedNodes(due) {
		if indexes := due[to]; o.outgoing[to] == nil {
			o.outgoing[to] = &outgoingHandover{indexes: indexes, deadline: now.Mono + o.cfg.HandOverTimeout}
			actions = append(actions, CloseRanges{Indexes: indexes})
		}
	}
	for _, to := range sortedNodes(o.outgoing) {
		out := o.outgoing[to]
		switch {
		case out.awaitingAnswer || now.Mono < out.retryAt:
		case out.sent:
			// The answer was negative or got lost: send the same records again.
			out.awaitingAnswer = true
			actions = append(actions, SendHandOver{To: to, Epoch: out.epoch, Indexes: out.indexes})
		case now.Mono >= out.deadline || !slices.ContainsFunc(out.indexes, func(i int) bool { return o.runningIn(i) > 0 }):
			out.sent, out.awaitingAnswer, out.sentAt, out.epoch = true, true, now.Mono, o.view.Assignment.Epoch
			for _, i := range out.indexes {
				o.frozen[i] = out.epoch
			}
			actions = append(actions, SendHandOver{To: to, Epoch: out.epoch, Indexes: out.indexes})
		}
	}
	return actions
}

// dueHandovers returns the ranges that can be handed over now, by standby.
func (o *Owner) dueHandovers(now ClockReading) map[fleet.NodeID][]int {
	accepts := o.acceptsWork()
	if o.writer.pending != nil || accepts && (o.writer.platformUnavailable || now.Mono-o.stableSince < o.cfg.RebalanceDelay) {
		return nil
	}
	want := o.plan(now).wantedOwners
	due := map[fleet.NodeID][]int{}
	for i, r := range o.view.Assignment.Ranges {
		_, frozen := o.frozen[i]
		if accepts && now.Mono < o.holdOffUntil[r.Standby] {
			continue
		}
		if o.ownsRange(r) && !frozen && r.Standby != "" && want[i] == r.Standby && o.isAnswering(now, r.Standby) {
			due[r.Standby] = append(due[r.Standby], i)
		}
	}
	return due
}

func (o *Owner) handleHandOverDone(now ClockReading, e HandOverDone) []Action {
	out := o.outgoing[e.To]
	if out == nil || !out.sent || out.epoch != e.Epoch {
		return nil
	}
	out.awaitingAnswer = false
	out.refused = e.Refused
	out.retryAt = now.Mono + o.cfg.PlatformRetryDelay
	if e.Accepted {
		// The standby now writes the takeover. Send the handover again only if
		// nothing has changed by the time at which the range could be
		// reclaimed.
		out.retryAt = now.Mono + o.cfg.ReclaimAfter
		return o.writer.read(now)
	}
	return nil
}
