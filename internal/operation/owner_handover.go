package operation

import (
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// outgoing is a handover to one standby.
type outgoing struct {
	indexes  []int
	deadline time.Duration // for running operations
	sent     bool
	sentAt   time.Duration
	epoch    fleet.Epoch
	retryAt  time.Duration
	sending  bool
	refused  bool // by the standby; the ranges are reclaimed at once
}

// pruneOutgoing drops the ranges from handovers that the view has settled, and
// opens those that stay here.
func (o *Owner) pruneOutgoing() []Action {
	var actions []Action
	for _, to := range sortedNodes(o.outgoing) {
		out := o.outgoing[to]
		var valid, open []int
		for _, i := range out.indexes {
			r := o.view.Assignment.Ranges[i]
			_, frozen := o.frozen[i]
			switch {
			case !o.mine(r):
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

// moving reports whether the range is part of a handover that its standby may
// still complete.
func (o *Owner) moving(index int, standby fleet.NodeID) bool {
	out := o.outgoing[standby]
	return out != nil && slices.Contains(out.indexes, index)
}

// reclaimHoldOff is how long a member that did not complete a handover is
// offered none for the sake of even shares: its ranges were without an owner
// for ReclaimAfter, and this keeps that below a tenth of the time.
const reclaimHoldOff = time.Minute

// reclaim takes ranges back whose standby has not taken over after a handover.
// The new epoch makes the handover void.
func (o *Owner) reclaim(now Now, next *Assignment) bool {
	changed := false
	for to, out := range o.outgoing {
		lost := o.silent(now, to) || !isMember(o.members, to)
		due := out.refused || now.Mono-out.sentAt >= o.cfg.ReclaimAfter && (o.accepts() || lost)
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
		o.holdOff[to] = now.Mono + reclaimHoldOff
	}
	return changed
}

func (o *Owner) otherStandby(now Now, index int, lost fleet.NodeID) fleet.NodeID {
	others := slices.DeleteFunc(o.candidates(now), func(m Member) bool { return m.Node == lost })
	if s := chooseStandby(o.service, index, "", o.self, others); s != "" {
		return s
	}
	return lost
}

// handOver starts and continues handovers: to the members that even shares
// give ranges to, and of everything when this node does not accept work.
func (o *Owner) handOver(now Now) []Action {
	var actions []Action
	due := o.due(now)
	for _, to := range sortedNodes(due) {
		if indexes := due[to]; o.outgoing[to] == nil {
			o.outgoing[to] = &outgoing{indexes: indexes, deadline: now.Mono + o.cfg.HandOverWait}
			actions = append(actions, CloseRanges{Indexes: indexes})
		}
	}
	for _, to := range sortedNodes(o.outgoing) {
		out := o.outgoing[to]
		switch {
		case out.sending || now.Mono < out.retryAt:
		case out.sent:
			// The answer was lost or negative: the same records again.
			out.sending = true
			actions = append(actions, SendHandOver{To: to, Epoch: out.epoch, Indexes: out.indexes})
		case now.Mono >= out.deadline || !slices.ContainsFunc(out.indexes, func(i int) bool { return o.running(i) > 0 }):
			out.sent, out.sending, out.sentAt, out.epoch = true, true, now.Mono, o.view.Assignment.Epoch
			for _, i := range out.indexes {
				o.frozen[i] = out.epoch
			}
			actions = append(actions, SendHandOver{To: to, Epoch: out.epoch, Indexes: out.indexes})
		}
	}
	return actions
}

// due returns the ranges that can be handed over now, by standby.
func (o *Owner) due(now Now) map[fleet.NodeID][]int {
	accepts := o.accepts()
	if o.writer.pending != nil || accepts && (o.writer.away || now.Mono-o.stableSince < o.cfg.RebalanceDelay) {
		return nil
	}
	want := o.plan(now).want
	due := map[fleet.NodeID][]int{}
	for i, r := range o.view.Assignment.Ranges {
		_, frozen := o.frozen[i]
		if accepts && now.Mono < o.holdOff[r.Standby] {
			continue
		}
		if o.mine(r) && !frozen && r.Standby != "" && want[i] == r.Standby && o.alive(now, r.Standby) {
			due[r.Standby] = append(due[r.Standby], i)
		}
	}
	return due
}

func (o *Owner) handOverDone(now Now, e HandOverDone) []Action {
	out := o.outgoing[e.To]
	if out == nil || !out.sent || out.epoch != e.Epoch {
		return nil
	}
	out.sending = false
	out.refused = e.Refused
	out.retryAt = now.Mono + o.cfg.PlatformRetry
	if e.Accepted {
		// The standby writes now; ask again only if nothing has changed by
		// the time the range could be reclaimed.
		out.retryAt = now.Mono + o.cfg.ReclaimAfter
		return o.writer.read(now)
	}
	return nil
}
