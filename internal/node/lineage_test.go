package node

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Lineage of configurations", func() {
	var (
		l   *lineage
		now time.Time
	)
	// hold lets the store hold a configuration for a while and activates it
	// when it is ordered above the one in force. It returns the ordered version.
	hold := func(stated uint64, digest string, era uint64, duration time.Duration) uint64 {
		var ordered uint64
		for end := now.Add(duration); !now.After(end); now = now.Add(500 * time.Millisecond) {
			var ok bool
			if ordered, ok = l.order(stated, digest, era, now); ok && ordered > l.ordered {
				l.activated(ordered, stated, digest)
			}
		}
		return ordered
	}
	BeforeEach(func() {
		l, now = &lineage{}, time.Unix(1_800_000_000, 0)
		for _, v := range []uint64{4, 9, 12} {
			Expect(hold(v, string(rune('a'+v)), 1, 0)).To(Equal(v))
		}
	})

	// Guards against a confirmed configuration that is taken back.
	It("keeps the one in force while the store holds a former one, however long", func() {
		Expect(hold(9, "j", 2, time.Minute)).To(Equal(uint64(9)))
		Expect(l.ordered).To(Equal(uint64(12)))
		Expect(hold(12, "m", 2, time.Second)).To(Equal(uint64(12)))
		Expect(hold(15, "p", 2, 0)).To(Equal(uint64(15)))
	})

	// Guards against a process that takes an older copy of the store for a new
	// configuration, because it started after that one had been replaced.
	It("keeps the one in force while the store holds one that only a peer has had in force", func() {
		late := &lineage{}
		_, ok := late.order(12, "m", 1, now)
		Expect(ok).To(BeTrue())
		late.activated(12, 12, "m")
		late.learn(l.former())
		l = late
		Expect(hold(9, "j", 2, time.Minute)).To(Equal(uint64(9)))
		Expect(l.ordered).To(Equal(uint64(12)))
		Expect(hold(10, "new", 2, 3*time.Second)).To(Equal(uint64(13)))
	})

	// Guards against a key that works for longer because the configuration that
	// takes it away has a lower version than the one in force.
	It("does not know the place of a lower configuration that was never in force", func() {
		Expect(l.decided(12, "m")).To(BeTrue())
		Expect(l.decided(9, "j")).To(BeTrue())
		Expect(l.decided(13, "new")).To(BeTrue())
		Expect(l.decided(10, "new")).To(BeFalse())
		Expect(l.decided(12, "new")).To(BeFalse())
	})

	It("forgets the oldest configurations first, and those of peers before its own", func() {
		late := &lineage{}
		var many []uint64
		for i := range uint64(3 * maxSeenConfigurations) {
			many = append(many, i)
		}
		late.activated(1, 1, "own")
		late.learn(many)
		Expect(late.former()).To(HaveLen(maxSeenConfigurations))
		Expect(late.former()[maxSeenConfigurations-1]).To(Equal(configurationHash("own")))
		Expect(late.former()[maxSeenConfigurations-2]).To(Equal(many[len(many)-1]))
		late.learn([]uint64{7, 7})
		Expect(late.former()).To(HaveLen(maxSeenConfigurations))
	})

	// Guards against a configuration that goes back while the operator writes
	// again what the store has lost.
	It("keeps the one in force while the operator writes the lost ones again", func() {
		hold(4, "e", 2, 3*time.Second)
		hold(9, "j", 2, time.Second)
		hold(10, "skipped by this node", 2, time.Second)
		hold(11, "also skipped", 2, time.Second)
		Expect(l.ordered).To(Equal(uint64(12)))
		hold(12, "m", 2, time.Second)
		Expect(l.offset()).To(BeZero())
	})

	// Guards against a fleet that ignores its operator: it goes on from the
	// older copy, with numbers below the one in force or equal to it.
	DescribeTable("follows a new one with a lower or equal version after two seconds, and those after it", func(stated uint64) {
		hold(9, "j", 2, time.Second)
		before := now
		Expect(hold(stated, "new", 2, 1500*time.Millisecond)).To(Equal(stated))
		Expect(l.digest).To(Equal("m"))
		hold(stated, "new", 2, time.Second)
		Expect(l.digest).To(Equal("new"))
		Expect(l.ordered).To(Equal(uint64(13)))
		Expect(now.Sub(before)).To(BeNumerically("<=", 4*time.Second))
		Expect(hold(stated+1, "next", 2, 0)).To(Equal(uint64(14)))
		Expect(hold(stated, "new", 3, time.Minute)).To(Equal(uint64(13)), "another restore")
		Expect(l.digest).To(Equal("next"))
	}, Entry("lower", uint64(10)), Entry("equal", uint64(12)))

	It("does not report a version that it has not decided about as a conflict", func() {
		_, ok := l.order(12, "other content", 2, now)
		Expect(ok).To(BeFalse())
		Expect(l.due(now.Add(lineageSettle))).To(BeTrue())
	})

	// Guards against a late answer of the store that takes a configuration back.
	It("does not follow a lower one of the same life of the store, or of an unknown one", func() {
		Expect(hold(10, "skipped", 1, time.Minute)).To(Equal(uint64(10)))
		Expect(l.ordered).To(Equal(uint64(12)))
		fresh := &lineage{}
		fresh.activated(12, 12, "from a peer")
		l = fresh
		Expect(hold(10, "skipped", 2, time.Minute)).To(Equal(uint64(10)))
		Expect(l.ordered).To(Equal(uint64(12)))
	})

	It("takes the order from peers that have decided", func() {
		Expect(l.activated(13, 10, "new")).To(BeTrue())
		Expect(hold(10, "new", 2, time.Second)).To(Equal(uint64(13)))
		Expect(hold(11, "next", 2, 0)).To(Equal(uint64(14)))
	})
})
