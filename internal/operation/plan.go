package operation

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// Member is a node that can own ranges of a service.
type Member struct {
	Node       fleet.NodeID
	DataCentre string
	// AcceptsWork is false when the node is leaving or when none of its targets
	// of the service is healthy and serving. Such a node hands its ranges over.
	// It becomes a standby only if no other member is left.
	AcceptsWork bool
	// Leaving is true when the node has announced its stop. AcceptsWork must
	// then be false, and the node no longer becomes a standby.
	Leaving bool
}

// PlanStandbys returns the assignment that self should write next, and whether
// it differs from a. It changes only what self may change: the standbys of its
// own ranges. A range that should move to another member for even shares gets
// that member as its standby, which takes the range over after a handover.
// PlanStandbys does not fill an assignment without ranges; see NewAssignment.
func PlanStandbys(a Assignment, members []Member, self fleet.NodeID) (Assignment, bool) {
	return planForOwners(a, desiredOwners(a, members), members, self)
}

func planForOwners(a Assignment, want []fleet.NodeID, members []Member, self fleet.NodeID) (Assignment, bool) {
	next := a.next("")
	changed := false
	for i, r := range a.Ranges {
		if r.Owner != self {
			continue
		}
		standby := want[i]
		if standby == self || standby == "" {
			standby = chooseStandby(a.Service, i, r.Standby, self, members)
		}
		if standby != r.Standby {
			next.Ranges[i].Standby = standby
			next.Ranges[i].Epoch = next.Epoch
			changed = true
		}
	}
	if !changed {
		return a, false
	}
	return next, true
}

// NewAssignment returns the first assignment of a service. The creator owns
// every range, because it is the only node that is known to be alive. The
// standbys are the members that receive the ranges by handover until the shares
// are even.
func NewAssignment(service string, ranges int, members []Member, self fleet.NodeID, incarnation uint64) Assignment {
	a := Assignment{Service: service, Epoch: 1, Ranges: make([]Range, ranges)}
	for i := range a.Ranges {
		a.Ranges[i] = Range{Owner: self, OwnerIncarnation: incarnation, Epoch: 1}
	}
	planned, _ := PlanStandbys(a, members, self)
	for i := range a.Ranges {
		a.Ranges[i].Standby = planned.Ranges[i].Standby
	}
	return a
}

// desiredOwners returns the owner that each range should have, or "" for every
// range if no member accepts work. Members keep their ranges up to their even
// share. Only surplus ranges move, first those whose standby is below its
// share. A range of a member that does not accept work goes to its standby if
// the standby accepts work.
func desiredOwners(a Assignment, members []Member) []fleet.NodeID {
	want := make([]fleet.NodeID, len(a.Ranges))
	accepting := acceptingMembers(members)
	if len(accepting) == 0 {
		return want
	}
	count := make(map[fleet.NodeID]int, len(accepting))
	for _, m := range accepting {
		count[m.Node] = 0
	}
	for i, r := range a.Ranges {
		for _, node := range [...]fleet.NodeID{r.Owner, r.Standby} {
			if _, ok := count[node]; ok {
				want[i] = node
				count[node]++
				break
			}
		}
	}
	share := shares(count, accepting, len(a.Ranges))
	reassign := func(i int) {
		node := furthestBelowShare(count, share, accepting, a.Ranges[i].Standby)
		if want[i] != "" {
			count[want[i]]--
		}
		want[i] = node
		count[node]++
	}
	for i := range want {
		if want[i] == "" {
			reassign(i)
		}
	}
	// Two passes: first the ranges whose standby is below its share, because
	// their move needs no extra write.
	for _, standbyOnly := range [...]bool{true, false} {
		for i, r := range a.Ranges {
			if count[want[i]] <= share[want[i]] {
				continue
			}
			_, accepts := share[r.Standby]
			belowShare := accepts && count[r.Standby] < share[r.Standby]
			if !standbyOnly || belowShare {
				reassign(i)
			}
		}
	}
	return want
}

func acceptingMembers(members []Member) []Member {
	var accepting []Member
	for _, m := range members {
		if m.AcceptsWork {
			accepting = append(accepting, m)
		}
	}
	slices.SortFunc(accepting, func(x, y Member) int { return cmp.Compare(x.Node, y.Node) })
	return slices.CompactFunc(accepting, func(x, y Member) bool { return x.Node == y.Node })
}

// shares returns the number of ranges that each member should own. The larger
// shares go to the members that own most ranges already.
func shares(count map[fleet.NodeID]int, accepting []Member, ranges int) map[fleet.NodeID]int {
	byCount := slices.Clone(accepting)
	slices.SortStableFunc(byCount, func(x, y Member) int { return cmp.Compare(count[y.Node], count[x.Node]) })
	share := make(map[fleet.NodeID]int, len(byCount))
	for i, m := range byCount {
		share[m.Node] = ranges / len(byCount)
		if i < ranges%len(byCount) {
			share[m.Node]++
		}
	}
	return share
}

// furthestBelowShare returns the given standby if it is below its share,
// otherwise the member that is furthest below its share.
func furthestBelowShare(count, share map[fleet.NodeID]int, accepting []Member, standby fleet.NodeID) fleet.NodeID {
	if _, ok := share[standby]; ok && share[standby] > count[standby] {
		return standby
	}
	best, largestLack := accepting[0].Node, -1<<31
	for _, m := range accepting {
		if lack := share[m.Node] - count[m.Node]; lack > largestLack {
			best, largestLack = m.Node, lack
		}
	}
	return best
}

// chooseStandby keeps the current standby if no other candidate is better.
// Otherwise rendezvous hashing spreads the standbys over the members, so that
// the loss of one node adds a little load to many other nodes. A standby in
// another data centre than the owner's is preferred.
func chooseStandby(service string, index int, current, owner fleet.NodeID, members []Member) fleet.NodeID {
	var dataCentre string
	for _, m := range members {
		if m.Node == owner {
			dataCentre = m.DataCentre
		}
	}
	candidates := acceptingMembers(members)
	if !slices.ContainsFunc(candidates, func(m Member) bool { return m.Node != owner }) {
		candidates = members
	}
	var best fleet.NodeID
	var bestInOtherDC bool
	var bestScore uint64
	for _, m := range candidates {
		if m.Node == owner || m.Leaving {
			continue
		}
		inOtherDC := m.DataCentre != dataCentre
		score := xxhash.Sum64String(service+"\x00"+string(m.Node)+"\x00"+string(rune(index)))>>1 + 1
		if m.Node == current {
			score = 1 << 63
		}
		if best == "" || (inOtherDC && !bestInOtherDC) || (inOtherDC == bestInOtherDC && score > bestScore) {
			best, bestInOtherDC, bestScore = m.Node, inOtherDC, score
		}
	}
	return best
}
