package operation

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"siskinvale.dev/siskinvale/internal/fleet"
)

// applyUntilStable applies the plan of every member and completes their
// handovers until nothing changes. It returns the number of ranges that changed
// owners.
func applyUntilStable(t *rapid.T, a Assignment, members []Member) (Assignment, int) {
	moved := 0
	for range 200 {
		changed := false
		for _, m := range members {
			next, ok := PlanStandbys(a, members, m.Node)
			a, changed = next, changed || ok
			want := desiredOwners(a, members)
			for i, r := range a.Ranges {
				if r.Owner == m.Node && want[i] == r.Standby && r.Standby != "" {
					a = a.next("")
					a.Ranges[i].Owner, a.Ranges[i].Standby = r.Standby, chooseStandby(a.Service, i, "", r.Standby, members)
					changed = true
					moved++
				}
			}
		}
		if !changed {
			return a, moved
		}
	}
	t.Fatal("the plans still change after 200 rounds")
	return a, moved
}

var _ = Describe("Plan", func() {
	members := func(n int) []Member {
		var all []Member
		for i := range n {
			all = append(all, Member{Node: fleet.NodeID(fmt.Sprintf("n%02d", i)), DataCentre: fmt.Sprint(i % 3), AcceptsWork: true})
		}
		return all
	}

	// Guards against uneven shares, unnecessary moves, plans that keep
	// changing, and a standby in the owner's data centre.
	It("ends with even shares after the fewest moves", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			before := rapid.IntRange(1, 12).Draw(t, "before")
			ranges := rapid.IntRange(1, 64).Draw(t, "ranges")
			a, _ := applyUntilStable(t, NewAssignment("s", ranges, members(before), "n00", 1), members(before))
			all := members(before)
			change := rapid.SampledFrom([]string{"join", "drain", "none"}).Draw(t, "what")
			switch change {
			case "join":
				all = members(before + 1)
			case "drain":
				all[rapid.IntRange(0, before-1).Draw(t, "who")].AcceptsWork = before == 1
			}
			b, moved := applyUntilStable(t, a, all)
			accepting := acceptingMembers(all)
			count := map[fleet.NodeID]int{}
			dataCentre := map[fleet.NodeID]string{}
			for _, m := range all {
				dataCentre[m.Node] = m.DataCentre
			}
			for i, r := range b.Ranges {
				count[r.Owner]++
				if len(accepting) > 1 && (r.Standby == "" || r.Standby == r.Owner) {
					t.Fatalf("range %d has owner %s and standby %q", i, r.Owner, r.Standby)
				}
				if len(accepting) > 2 && dataCentre[r.Standby] == dataCentre[r.Owner] && before > 4 {
					t.Fatalf("range %d has owner %s and standby %s in the same data centre", i, r.Owner, r.Standby)
				}
			}
			for _, m := range accepting {
				if n := count[m.Node]; n < ranges/len(accepting) || n > ranges/len(accepting)+1 {
					t.Fatalf("%s owns %d of %d ranges with %d members", m.Node, n, ranges, len(accepting))
				}
			}
			maxMoves := ranges/before + 1
			if change == "none" {
				maxMoves = 0
			}
			if change == "drain" {
				maxMoves *= 2 // to the standby, and once more for even shares
			}
			if moved > maxMoves {
				t.Fatalf("%s moved %d ranges, at most %d are needed", change, moved, maxMoves)
			}
		})
	})

	It("decodes an assignment to the same value that was encoded", func() {
		a := NewAssignment("s", 64, members(5), "n00", 7)
		a.Ranges[3].FencedAt = simEpoch
		value, err := a.Encode()
		Expect(err).NotTo(HaveOccurred())
		b, err := DecodeAssignment(value)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Ranges[3].FencedAt).To(BeTemporally("==", simEpoch))
		b.Ranges[3].FencedAt = simEpoch
		Expect(b).To(Equal(a))
		_, err = DecodeAssignment([]byte(`{"service":"s"}`))
		Expect(err).To(HaveOccurred())
	})
})
