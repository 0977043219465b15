package routing_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
	"siskinvale.dev/siskinvale/internal/routing"
	"siskinvale.dev/siskinvale/internal/standing"
)

// A third of the targets have failure episodes while their health checks pass.
// Sidecars publish the episode probability, and the Picker avoids targets in bad
// standing.
var _ = Describe("Standing", func() {
	const count = 12
	now := time.Unix(1_800_000_000, 0)
	var (
		table  *routing.Table
		picker *routing.Picker
	)
	report := func(id fleet.TargetID, bad float64) {
		table.Report("booking", id, fleet.Load{Slots: 4, EpisodeProbability: bad}, now)
	}
	id := func(i int) fleet.TargetID { return targets("booking", count)[i].ID }
	shares := func(req routing.Request, at time.Time) map[fleet.TargetID]float64 {
		found := map[fleet.TargetID]float64{}
		const picks = 4000
		for range picks {
			c, ok := picker.Pick(req, rand.Uint64(), at)
			Expect(ok).To(BeTrue())
			found[c.Target.Target().ID] += 1.0 / picks
		}
		return found
	}
	BeforeEach(func() {
		table = routing.NewTable(fleet.Node{ID: "self", DataCentre: "dc0"}, routing.Config{Standing: true})
		picker = table.Rebuild("booking", targets("booking", count), func(fleet.TargetID) health.Verdict {
			return health.Verdict{State: health.Healthy, Share: 1}
		}, now)
		for i := range count {
			report(id(i), 0.02)
		}
	})

	// Guards against non-idempotent requests at a target that has just failed
	// others.
	It("sends no non-idempotent requests to targets in bad standing", func() {
		for i := range 4 {
			report(id(i), 0.7)
		}
		found := shares(routing.Request{}, now)
		for i := range 4 {
			Expect(found[id(i)]).To(BeZero())
		}
	})

	// Guards against a target that gets no requests after its failure episode has
	// ended, and against a target that gets its full share of idempotent requests
	// during an episode.
	It("explores targets whose failure episode may have ended with a small share of idempotent requests", func() {
		report(id(0), 0.5)
		found := shares(routing.Request{Idempotent: true}, now)
		Expect(found[id(0)]).To(BeNumerically("~", routing.ExploreShare, 0.03))
		report(id(0), 0.9) // above ProbeLimit, where the sidecar refuses most requests
		Expect(shares(routing.Request{Idempotent: true}, now)[id(0)]).To(BeNumerically("<", 0.01))
	})

	// Guards against added targets that get no requests for seconds: they have no
	// outcomes, look riskier than the others, and whatever an ingress explores
	// first takes all exploration.
	It("explores all targets without outcomes alike, those of its own data centre first", func() {
		// Targets 0, 4 and 8 are in the data centre of the ingress.
		unknown := []int{0, 4, 2, 6}
		for _, i := range unknown {
			report(id(i), standing.Prior)
		}
		found := shares(routing.Request{Idempotent: true}, now)
		for _, i := range unknown {
			share := 0.0
			if i%4 == 0 {
				share = routing.ExploreShare / 2
			}
			Expect(found[id(i)]).To(BeNumerically("~", share, 0.015), "target %d", i)
		}
	})

	// Guards against remote targets in good standing that get no requests while
	// the local targets are busy.
	It("uses all remote targets in good standing when the local ones are busy", func() {
		report(id(0), 0.8)
		for _, i := range []int{4, 8} {
			table.Report("booking", id(i), fleet.Load{Slots: 4, InFlight: 4, QueuedWork: 2 * time.Second, EpisodeProbability: 0.02}, now)
		}
		found := shares(routing.Request{Idempotent: true}, now)
		for i := range count {
			if i%4 != 0 {
				Expect(found).To(HaveKey(id(i)))
			}
		}
	})

	// Guards against retries over a network path on which answers are lost.
	It("avoids a target for PathFailureCostDuration after its node gave no answer", func() {
		c, _ := picker.Pick(routing.Request{}, 1, now)
		failing := c.Target.Target().ID
		c.Target.PathFailed(now)
		Expect(shares(routing.Request{}, now)[failing]).To(BeZero())
		Expect(shares(routing.Request{}, now.Add(routing.PathFailureCostDuration))).To(HaveKey(failing))
	})

	// Guards against transfers between data centres that a local target would
	// avoid.
	It("keeps large bodies and answers in the data centre while it has targets in good standing", func() {
		for _, req := range []routing.Request{{Bytes: 8 << 10}, {Idempotent: true, LargeAnswer: true}} {
			local := 0.0
			for found, share := range shares(req, now) {
				for _, t := range targets("booking", count) {
					if t.ID == found && t.DataCentre == "dc0" {
						local += share
					}
				}
			}
			Expect(local).To(BeNumerically(">", 0.95))
		}
	})
})
