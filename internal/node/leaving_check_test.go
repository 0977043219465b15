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
	const ttl = 8 * time.Second
	now := time.Unix(1_800_000_000, 0)
	announced := func(sequence uint64, age time.Duration) announce.LocalAnnounced {
		return announce.LocalAnnounced{Target: fleet.Target{ID: "t1", Started: now.Add(-age)}, Sequence: sequence, TTL: ttl}
	}

	DescribeTable("are checked unless the target has just started",
		func(ev announce.LocalAnnounced, needed bool) {
			Expect(needsLeavingCheck(ev)).To(Equal(needed))
		},
		Entry("the first one after a start", announced(1, time.Second), false),
		Entry("a later one", announced(2, time.Second), true),
		Entry("one without a number", announced(0, time.Second), false),
		Entry("one that says that the target leaves", announce.LocalAnnounced{Sequence: 9, Draining: true}, false),
	)

	check := func(checks *leavingChecks, after time.Duration) (announce.Event, bool) {
		return checks.finish(now.Add(after), announced(0, time.Hour).Target, false, false)
	}

	It("take effect without an answer only if they go on longer than a late one takes", func() {
		var checks leavingChecks
		Expect(checks.add(now, announced(7, time.Hour))).To(BeTrue())
		_, done := check(&checks, time.Second)
		Expect(done).To(BeFalse())
		Expect(checks.add(now.Add(4*time.Second), announced(9, time.Hour))).To(BeFalse(), "a check runs")
		Expect(checks.add(now.Add(6*time.Second), announced(8, time.Hour))).To(BeFalse(), "sent before the last one")
		_, done = check(&checks, 7*time.Second)
		Expect(done).To(BeFalse())
		Expect(checks.add(now.Add(7*time.Second), announced(10, time.Hour))).To(BeFalse())
		result, done := check(&checks, 7*time.Second)
		Expect(done).To(BeTrue())
		Expect(result).To(HaveField("Sequence", BeEquivalentTo(10)))
		Expect(checks.running).To(BeEmpty())
	})

	It("have no effect if they expire, or if the target says that it leaves", func() {
		var checks leavingChecks
		checks.add(now, announced(7, time.Hour))
		result, done := check(&checks, ttl)
		Expect(result).To(BeNil())
		Expect(done).To(BeTrue())
		checks.add(now, announced(7, time.Hour))
		result, done = checks.finish(now, announced(7, time.Hour).Target, true, true)
		Expect(result).To(BeAssignableToTypeOf(announce.LocalLeft{}))
		Expect(done).To(BeTrue())
		Expect(checks.running).To(BeEmpty())
	})

	It("of a later start are checked apart", func() {
		var checks leavingChecks
		checks.add(now, announced(7, time.Hour))
		Expect(checks.add(now, announced(3, time.Minute))).To(BeTrue())
		Expect(checks.add(now, announced(9, time.Hour))).To(BeFalse(), "of the earlier start")
		result, done := check(&checks, 0)
		Expect(result).To(BeNil())
		Expect(done).To(BeTrue())
		result, _ = checks.finish(now, announced(3, time.Minute).Target, false, true)
		Expect(result).To(HaveField("Sequence", BeEquivalentTo(3)))
	})

	It("of many targets take no more memory than targets that a node may have", func() {
		var checks leavingChecks
		for i := range 10 * announce.MaxLocal {
			ev := announced(7, time.Hour)
			ev.Target.ID = fleet.TargetID(fmt.Sprint(i))
			checks.add(now, ev)
		}
		Expect(len(checks.running)).To(BeNumerically("<=", announce.MaxLocal))
	})
})
