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
	// Accepts is false when the node is leaving or none of its targets of the
	// service is healthy and serving. Such a node hands its ranges over. It is
	// made a standby only where no other member is left.
	Accepts bool
	// Leaving is true when the node announced that it stops. It is made a
	// standby no more, and Accepts must be false.
	Leaving bool
}

// Plan returns the assignment that self should write next, and whether it
// differs from a. It changes only what self may change: the standby of its own
// ranges. A range that belongs to another member for even shares gets that
// member as its standby, which takes it over after a handover. An assignment
// without ranges is not planned; see Create.
func Plan(a Assignment, members []Member, self fleet.NodeID) (Assignment, bool) {
	return planWith(a, desired(a, members), members, self)
}

func planWith(a Assignment, want []fleet.NodeID, members []Member, self fleet.NodeID) (Assignment, bool) {
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

// Create returns the first assignment of a service. The creator owns every
// range, because it alone is known to be alive; the standbys are the members
// that receive the ranges by handover until the shares are even.
func Create(service string, ranges int, members []Member, self fleet.NodeID, incarnation uint64) Assignment {
	a := Assignment{Service: service, Epoch: 1, Ranges: make([]Range, ranges)}
	for i := range a.Ranges {
		a.Ranges[i] = Range{Owner: self, OwnerIncarnation: incarnation, Epoch: 1}
	}
	planned, _ := Plan(a, members, self)
	for i := range a.Ranges {
		a.Ranges[i].Standby = planned.Ranges[i].Standby
	}
	return a
}

// desired returns the owner that each range should have, or "" where nothing
// is wanted. Members keep what they have up to their even share; only surplus
// ranges move, those whose standby lacks ranges first. A range of a member
// that does not accept work goes to its standby where that accepts work.
func desired(a Assignment, members []Member) []fleet.NodeID {
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
	place := func(i int) {
		node := neediest(count, share, accepting, a.Ranges[i].Standby)
		if want[i] != "" {
			count[want[i]]--
		}
		want[i] = node
		count[node]++
	}
	for i := range want {
		if want[i] == "" {
			place(i)
		}
	}
	// Two passes: ranges whose standby lacks ranges need no extra write.
	for _, standbyOnly := range [...]bool{true, false} {
		for i, r := range a.Ranges {
			if count[want[i]] <= share[want[i]] {
				continue
			}
			_, accepts := share[r.Standby]
			lacking := accepts && count[r.Standby] < share[r.Standby]
			if !standbyOnly || lacking {
				place(i)
			}
		}
	}
	return want
}

func acceptingMembers(members []Member) []Member {
	var accepting []Member
	for _, m := range members {
		if m.Accepts {
			accepting = append(accepting, m)
		}
	}
	slices.SortFunc(accepting, func(x, y Member) int { return cmp.Compare(x.Node, y.Node) })
	return slices.CompactFunc(accepting, func(x, y Member) bool { return x.Node == y.Node })
}

// shares gives the larger shares to those that have most ranges already.
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

// neediest returns the member that lacks most ranges, with a preference for
// the given standby when it lacks any.
func neediest(count, share map[fleet.NodeID]int, accepting []Member, standby fleet.NodeID) fleet.NodeID {
	if _, ok := share[standby]; ok && share[standby] > count[standby] {
		return standby
	}
	best, most := accepting[0].Node, -1<<31
	for _, m := range accepting {
		if lack := share[m.Node] - count[m.Node]; lack > most {
			best, most = m.Node, lack
		}
	}
	return best
}

// chooseStandby keeps the current standby where it is as good as any other.
// Otherwise rendezvous hashing spreads the standbys over the members, so that
// the loss of one node loads many others a little.
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
	var bestAway bool
	var bestScore uint64
	for _, m := range candidates {
		if m.Node == owner || m.Leaving {
			continue
		}
		away := m.DataCentre != dataCentre
		score := xxhash.Sum64String(service+"\x00"+string(m.Node)+"\x00"+string(rune(index)))>>1 + 1
		if m.Node == current {
			score = 1 << 63
		}
		if best == "" || (away && !bestAway) || (away == bestAway && score > bestScore) {
			best, bestAway, bestScore = m.Node, away, score
		}
	}
	return best
}
