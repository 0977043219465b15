package health_test

import (
	"fmt"
	"testing"
	"time"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
)

// BenchmarkMonitorTick measures one Tick of a Monitor that knows size targets,
// eight of which have evidence, as on a node that serves eight targets. Each
// node processes ten Ticks per second.
func BenchmarkMonitorTick(b *testing.B) {
	const perService = 23
	for _, size := range []int{46, 1_400, 28_000} {
		b.Run(fmt.Sprintf("targets=%d", size), func(b *testing.B) {
			m := health.New(health.Config{Self: "n"})
			now := time.Unix(1_800_000_000, 0)
			for i := range size {
				t := fleet.Target{
					ID: fleet.TargetID(fmt.Sprintf("t-%05d", i)), Service: fmt.Sprintf("s-%d", i/perService),
					Node: fleet.NodeID(fmt.Sprintf("n-%d", i/8)), Slots: 4,
				}
				m.Step(now, health.TargetAdded{Target: t, Floor: 12, Expected: perService})
			}
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				for i := range 8 {
					m.Step(now, health.SampleReceived{Sample: health.Sample{
						Target: fleet.TargetID(fmt.Sprintf("t-%05d", i)), Source: "n-0", Class: "lookup",
						Completed: 2, TypicalRunTime: 5 * time.Millisecond,
					}})
				}
				m.Step(now, health.Tick{})
			}
		})
	}
}
