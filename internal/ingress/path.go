package ingress

import (
	"sync"
	"sync/atomic"

	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/health"
	"siskinvale.dev/siskinvale/internal/link"
)

// pathEvidence counts, for each target, the attempts that were answered and
// those that failed on the path to it. Only the health monitor of this node
// uses these counts.
type pathEvidence struct {
	targets sync.Map // fleet.TargetID -> *pathCounts
}

type pathCounts struct {
	answered, failed atomic.Uint32
}

func newPathEvidence() *pathEvidence { return &pathEvidence{} }

// record counts one attempt. A reply without load information is no evidence
// that the path works.
func (p *pathEvidence) record(id fleet.TargetID, reply *link.Reply) {
	value, ok := p.targets.Load(id)
	if !ok {
		value, _ = p.targets.LoadOrStore(id, &pathCounts{})
	}
	counts := value.(*pathCounts)
	switch {
	case reply.PathFailed:
		counts.failed.Add(1)
	case reply.Load.Slots > 0:
		counts.answered.Add(1)
	}
}

// takeSamples returns the counts since the previous call and resets them.
// Targets without any attempts in between are removed.
func (p *pathEvidence) takeSamples(self fleet.NodeID) []health.Sample {
	var samples []health.Sample
	p.targets.Range(func(key, value any) bool {
		counts := value.(*pathCounts)
		answered, failed := counts.answered.Swap(0), counts.failed.Swap(0)
		if answered+failed == 0 {
			p.targets.Delete(key)
			return true
		}
		samples = append(samples, health.Sample{
			Target: key.(fleet.TargetID), Source: self, Completed: answered, PathFailures: failed,
		})
		return true
	})
	return samples
}
