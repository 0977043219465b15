package operation

import (
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// claimRanges claims released ranges, and ranges that an earlier process of
// this node owned and whose standby is no longer a member. The earlier process
// has ended, because a node identifier is unique among the running VMs, and its
// leases have ended as well. claimRanges also releases ranges when an operator
// asked for it.
func (o *Owner) claimRanges(now ClockReading, next *Assignment) bool {
	changed := false
	if o.releaseRequested {
		o.releaseRequested = false
		changed = releaseUnowned(next, o.members, now.Wall) > 0
	}
	if !o.acceptsWork() {
		return changed
	}
	for _, i := range o.plan(now).claims {
		r, n := o.view.Assignment.Ranges[i], &next.Ranges[i]
		if r.Standby != "" && now.Mono < o.startedAt+o.cfg.PromiseDuration+o.cfg.TakeoverMargin {
			continue
		}
		n.Owner, n.OwnerIncarnation, n.Epoch = o.self, o.incarnation, next.Epoch
		n.Standby = chooseStandby(o.service, i, "", o.self, o.members)
		// A range of an earlier process is fenced here; a released range was
		// fenced by its release.
		if r.Owner == o.self && now.Wall.After(n.FencedAt) {
			n.FencedAt = now.Wall
		}
		changed = true
	}
	return changed
}

// releaseOnLeave releases the ranges of a stopping node when no other member
// can receive them. The ranges are frozen before the write that fences them.
func (o *Owner) releaseOnLeave(now ClockReading, next *Assignment) bool {
	if !o.leaving || len(acceptingMembers(o.members)) > 0 {
		return false
	}
	changed := false
	for i, r := range o.view.Assignment.Ranges {
		if !o.ownsRange(r) || r.Standby != "" {
			continue
		}
		o.frozen[i] = o.view.Assignment.Epoch
		n := Range{Epoch: next.Epoch, FencedAt: r.FencedAt}
		if now.Wall.After(n.FencedAt) {
			n.FencedAt = now.Wall
		}
		next.Ranges[i] = n
		changed = true
	}
	return changed
}

// ReleaseUnowned releases the ranges whose owner and standby are both missing
// from members. The operator has made sure that the owners' processes have
// ended. Keys that were created before wall stay unknown. ReleaseUnowned
// returns the new assignment, which needs a WriteID before it is written, and
// the number of released ranges.
func ReleaseUnowned(a Assignment, members []Member, wall time.Time) (Assignment, int) {
	next := a.next("")
	n := releaseUnowned(&next, members, wall)
	return next, n
}

func releaseUnowned(next *Assignment, members []Member, wall time.Time) int {
	indexes := unowned(*next, members)
	for _, i := range indexes {
		r := Range{Epoch: next.Epoch, FencedAt: next.Ranges[i].FencedAt}
		if wall.After(r.FencedAt) {
			r.FencedAt = wall
		}
		next.Ranges[i] = r
	}
	return len(indexes)
}

func isMember(members []Member, node fleet.NodeID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Node == node })
}

func unowned(a Assignment, members []Member) []int {
	var indexes []int
	for i, r := range a.Ranges {
		if r.Owner != "" && !isMember(members, r.Owner) && !isMember(members, r.Standby) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

func (o *Owner) reportUnowned(now ClockReading) []Action {
	indexes := o.plan(now).unowned
	if slices.Equal(indexes, o.reportedUnowned) || len(o.members) == 0 {
		return nil
	}
	o.reportedUnowned = indexes
	return []Action{UnownedRanges{Indexes: indexes}}
}
