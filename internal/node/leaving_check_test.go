package node

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/announce"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// Guards against a late announcement that is believed because the target cannot
// be asked, and against a target that stays out of use for good.
var _ = Describe("Announcements to a new process", func() {
	now := time.Unix(1_800_000_000, 0)
	announced := func(sequence uint64, age time.Duration) announce.LocalAnnounced {
		return announce.LocalAnnounced{Target: fleet.Target{ID: "t1", Started: now.Add(-age)}, Sequence: sequence}
	}

	DescribeTable("are checked unless the target has just started",
		func(ev announce.LocalAnnounced, needed bool) {
			Expect(new(leavingChecks).needed(now, ev)).To(Equal(needed))
		},
		Entry("the first one after a start", announced(1, time.Second), false),
		Entry("the first one, late", announced(1, 5*time.Second), true),
		Entry("the first one, before the clock was stepped back", announced(1, -time.Hour), true),
		Entry("a later one", announced(2, time.Second), true),
		Entry("one without a start time", announce.LocalAnnounced{Sequence: 1}, false),
		Entry("one that says that the target leaves", announce.LocalAnnounced{Sequence: 9, Draining: true}, false),
	)

	It("are believed without an answer only if they go on longer than a late one takes", func() {
		var checks leavingChecks
		Expect(checks.unansweredBy(now, announced(7, time.Hour))).To(BeFalse())
		Expect(checks.unansweredBy(now.Add(4*time.Second), announced(9, time.Hour))).To(BeFalse())
		Expect(checks.unansweredBy(now.Add(9*time.Second), announced(6, time.Hour))).To(BeFalse(), "sent before the first one")
		Expect(checks.unansweredBy(now.Add(9*time.Second), announced(7, time.Hour))).To(BeFalse(), "the first one again")
		Expect(checks.unansweredBy(now.Add(9*time.Second), announced(8, time.Minute))).To(BeFalse(), "another start")
		Expect(checks.unansweredBy(now.Add(13*time.Second), announced(12, time.Minute))).To(BeFalse())
		Expect(checks.unansweredBy(now.Add(14*time.Second), announced(13, time.Minute))).To(BeTrue())
		checks.answeredBy("t1")
		Expect(checks.unansweredBy(now.Add(15*time.Second), announced(14, time.Minute))).To(BeFalse())
	})

	It("of many targets take no more memory than targets that a node may have", func() {
		var checks leavingChecks
		for i := range 10 * announce.MaxLocal {
			ev := announced(7, time.Hour)
			ev.Target.ID = fleet.TargetID(fmt.Sprint(i))
			checks.unansweredBy(now, ev)
		}
		Expect(len(checks.unanswered)).To(BeNumerically("<=", announce.MaxLocal))
	})
})
