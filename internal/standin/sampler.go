package standin

import (
	"math/rand/v2"
	"sync"
)

// faultSampler decides at random which calls or packets a fault with a fraction
// affects. The same seed gives the same sequence of decisions. It is safe for
// concurrent use.
type faultSampler struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newFaultSampler(seed uint64) *faultSampler {
	return &faultSampler{rng: rand.New(rand.NewPCG(seed, 0))}
}

// selects reports whether a fault affects the current call or packet. It
// returns true with a probability of fraction.
func (s *faultSampler) selects(fraction float64) bool {
	if fraction <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < fraction
}
