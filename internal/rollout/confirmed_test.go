package rollout_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/platform"
	"siskinvale.dev/siskinvale/internal/rollout"
)

var _ = Describe("Confirmed", func() {
	var (
		m       *rollout.Machine
		version = func(v uint64) []byte { return envelope{Version: v}.encode() }
		at      = func(revision uint64) platform.Position { return platform.Position{Revision: revision} }
		now     = time.Unix(1_700_000_000, 0)
	)
	confirmed := func(read rollout.PlatformRead) bool {
		read.SentAt = time.Minute
		return slices.Contains(m.Step(now, read), rollout.Action(rollout.Confirmed{SentAt: time.Minute}))
	}
	BeforeEach(func() {
		m = rollout.New("n1", verifier{}, rollout.Config{DataCentre: "dc", Readers: 1, ReadDelay: -1})
		m.Step(now, rollout.NodeChanged{Node: fleet.Node{ID: "n1", DataCentre: "dc"}})
		Expect(confirmed(rollout.PlatformRead{Envelope: version(5), At: at(10)})).To(BeTrue())
	})

	It("follows a read or a watch that shows no newer envelope", func() {
		Expect(confirmed(rollout.PlatformRead{FromWatch: true, Since: at(10), At: at(12)})).To(BeTrue())
		Expect(confirmed(rollout.PlatformRead{FromWatch: true, Since: at(12), At: at(12)})).To(BeTrue())
		Expect(confirmed(rollout.PlatformRead{FromWatch: true, Since: at(12), At: at(14), Envelope: version(6)})).To(BeTrue())
		By("a store that came back from an older copy")
		Expect(confirmed(rollout.PlatformRead{Envelope: version(4), At: platform.Position{Era: 1, Revision: 8}})).To(BeTrue())
	})

	// Guards against the use of a key that an unknown envelope takes away.
	It("does not follow a result that leaves open whether there is a newer envelope", func() {
		missing := envelope{Version: 6, Pieces: []string{pieceName([]byte("piece"))}}.encode()
		Expect(confirmed(rollout.PlatformRead{Envelope: missing, At: at(12)})).To(BeFalse(), "not in force yet")
		Expect(confirmed(rollout.PlatformRead{FromWatch: true, Since: at(12), At: at(12)})).To(BeFalse())
		Expect(confirmed(rollout.PlatformRead{Envelope: version(5), At: at(10)})).To(BeTrue(), "late result")
		Expect(confirmed(rollout.PlatformRead{FromWatch: true, Since: at(12), At: at(12)})).To(BeFalse(), "of a position with another version")
		Expect(confirmed(rollout.PlatformRead{At: at(12)})).To(BeFalse(), "no envelope")
		Expect(confirmed(rollout.PlatformRead{Envelope: version(4), Undecided: true, At: at(13)})).To(BeFalse())
		Expect(confirmed(rollout.PlatformRead{FromWatch: true, Since: at(13), At: at(13)})).To(BeFalse(), "still undecided")
		Expect(confirmed(rollout.PlatformRead{Err: platform.ErrUnavailable})).To(BeFalse())
		Expect(confirmed(rollout.PlatformRead{Envelope: envelope{Version: 5, Author: "other"}.encode(), At: at(14)})).To(BeFalse(), "other content")
	})

	It("names the same readers on all nodes", func() {
		machines := make(map[fleet.NodeID]*rollout.Machine)
		ids := []fleet.NodeID{"a", "b", "c", "d", "e", "f", "g"}
		for _, id := range ids {
			machines[id] = rollout.New(id, verifier{}, rollout.Config{DataCentre: "dc" + string(id[0]%2+'0'), Readers: 1, MinReaders: 3})
			for _, other := range ids {
				machines[id].Step(now, rollout.NodeChanged{Node: fleet.Node{ID: other, DataCentre: "dc" + string(other[0]%2+'0')}})
			}
		}
		for _, id := range ids {
			for _, other := range ids {
				if other != id {
					Expect(machines[id].Readers()[other]).To(Equal(machines[other].IsReader()), "%s of %s", other, id)
				}
			}
		}
	})
})
