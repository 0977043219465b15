package announce_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/announce"
	"siskinvale.dev/siskinvale/internal/fleet"
)

var _ = Describe("Numbered announcements", func() {
	var r *announce.Registry
	targetStart := startTime.Add(-time.Minute)

	numbered := func(id string, started time.Time, sequence uint64, draining bool) announce.LocalAnnounced {
		t := newTarget(id)
		t.Started = started
		return announce.LocalAnnounced{Target: t, TTL: 10 * time.Second, Sequence: sequence, Draining: draining}
	}
	step := func(after time.Duration, ev announce.Event) (rejected error) {
		for _, a := range r.Step(startTime.Add(after), ev) {
			if rejection, ok := a.(announce.Rejected); ok {
				rejected = rejection.Err
			}
		}
		return rejected
	}
	states := func() map[fleet.TargetID]fleet.TargetState {
		found := map[fleet.TargetID]fleet.TargetState{}
		for _, t := range r.Targets() {
			found[t.ID] = t.State
		}
		return found
	}
	BeforeEach(func() { r = announce.New(newNode("a", 100)) })

	// Guards against new work for a leaving target after one of its delayed
	// announcements has arrived.
	It("keeps a leaving target draining when delayed announcements arrive", func() {
		Expect(step(0, numbered("t", targetStart, 5, false))).To(Succeed())
		Expect(step(1, numbered("t", targetStart, 7, true))).To(Succeed())
		Expect(states()).To(HaveKeyWithValue(fleet.TargetID("t"), fleet.TargetDraining))
		Expect(step(2, numbered("t", targetStart, 6, false))).To(MatchError(announce.ErrStale))
		Expect(step(3, numbered("t", targetStart, 8, false))).To(MatchError(announce.ErrStale))
		Expect(states()).To(HaveKeyWithValue(fleet.TargetID("t"), fleet.TargetDraining))
	})

	// Guards against new work for a target that has left without announcing
	// that it drains, after one of its delayed announcements has arrived.
	It("does not return a target to use that has left, even if it was unknown", func() {
		Expect(step(0, numbered("t", targetStart, 5, false))).To(Succeed())
		Expect(step(1, announce.LocalLeft{ID: "t"})).To(Succeed())
		Expect(step(2, numbered("t", targetStart, 6, false))).To(MatchError(announce.ErrStale))
		Expect(states()).To(HaveKeyWithValue(fleet.TargetID("t"), fleet.TargetDraining))
		Expect(step(3, announce.LocalLeft{ID: "u"})).To(Succeed())
		Expect(step(4, numbered("u", targetStart, 1, false))).To(MatchError(announce.ErrStale))
		Expect(states()).NotTo(HaveKey(fleet.TargetID("u")))
	})

	// Guards against a restarted target that stays out of use because its
	// sequence numbers start again at 1.
	It("accepts announcements of a restarted target with the same identifier", func() {
		Expect(step(0, numbered("t", targetStart, 50, true))).To(Succeed())
		Expect(step(1, numbered("t", targetStart.Add(time.Second), 1, false))).To(Succeed())
		Expect(states()).To(HaveKeyWithValue(fleet.TargetID("t"), fleet.TargetServing))
		Expect(step(2, numbered("t", targetStart, 51, false))).To(MatchError(announce.ErrStale))
	})

	// Guards against work for a target whose address is now used by another
	// one.
	It("removes the earlier target at an address and rejects its delayed announcements", func() {
		Expect(step(0, numbered("old", targetStart, 5, false))).To(Succeed())
		Expect(step(1, numbered("new", targetStart.Add(time.Second), 1, false))).To(Succeed())
		Expect(states()).To(Equal(map[fleet.TargetID]fleet.TargetState{"new": fleet.TargetServing}))
		Expect(step(2, numbered("old", targetStart, 6, false))).To(MatchError(announce.ErrStale))
		r = announce.New(newNode("a", 200))
		Expect(step(3, numbered("new", targetStart.Add(time.Second), 2, false))).To(Succeed())
		Expect(step(4, numbered("old", targetStart, 7, false))).To(MatchError(announce.ErrStale))
	})

	// Guards against a node that loses the leaving state of its targets when it
	// restarts.
	It("learns from peers that a target was leaving before the node restarted", func() {
		peer := announce.New(newNode("b", 50))
		Expect(step(0, numbered("t", targetStart, 5, false))).To(Succeed())
		exchange(startTime, r.Step(startTime, numbered("t", targetStart, 6, true)), peer)
		r = announce.New(newNode("a", 300))
		for _, t := range peer.Records() {
			r.Step(startTime.Add(time.Second), announce.RemoteUpdate{Target: t})
		}
		Expect(step(2, numbered("t", targetStart, 5, false))).To(MatchError(announce.ErrStale))
	})
})
