package operation

import (
	"slices"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// claim takes ranges that were released, and those that an earlier process of
// this node owned and that have no standby left. The earlier process has
// ended, because a node identifier is unique among the VMs that are alive; its
// leases have ended as well. It also releases ranges for an operator.
func (o *Owner) claim(now Now, next *Assignment) bool {
	changed := false
	if o.release {
		o.release = false
		changed = releaseUnowned(next, o.members, now.Wall) > 0
	}
	if !o.accepts() {
		return changed
	}
	for _, i := range o.plan(now).claims {
		r, n := o.view.Assignment.Ranges[i], &next.Ranges[i]
		if r.Standby != "" && now.Mono < o.started+o.cfg.Promise+o.cfg.Margin {
			continue
		}
		n.Owner, n.OwnerIncarnation, n.Epoch = o.self, o.incarnation, next.Epoch
		n.Standby = chooseStandby(o.service, i, "", o.self, o.members)
		// A claimed range of an earlier process of this node is fenced; a
		// released one has been fenced by the release.
		if r.Owner == o.self && now.Wall.After(n.FencedAt) {
			n.FencedAt = now.Wall
		}
		changed = true
	}
	return changed
}

// leave releases the ranges of a stopping node that no other member can take.
// They are frozen before the write, which fences them.
func (o *Owner) leave(now Now, next *Assignment) bool {
	if !o.leaving || len(acceptingMembers(o.members)) > 0 {
		return false
	}
	changed := false
	for i, r := range o.view.Assignment.Ranges {
		if !o.mine(r) || r.Standby != "" {
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

// ReleaseUnowned frees the ranges whose owner and standby are both missing
// from members, for siskinvalectl. The operator has made sure that the owners'
// processes have ended; keys from before now stay unknown. It returns the
// number of ranges and needs a WriteID before it is written.
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

func (o *Owner) reportUnowned(now Now) []Action {
	indexes := o.plan(now).unowned
	if slices.Equal(indexes, o.unowned) || len(o.members) == 0 {
		return nil
	}
	o.unowned = indexes
	return []Action{Unowned{Indexes: indexes}}
}
