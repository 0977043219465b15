package standin

import (
	"math/rand/v2"
	"sync"
)

// dice decides which calls a fault with a fraction hits. The same seed gives
// the same sequence. It is safe for concurrent use.
type dice struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newDice(seed uint64) *dice {
	return &dice{rng: rand.New(rand.NewPCG(seed, 0))}
}

// hit is true for the given share of the calls.
func (d *dice) hit(share float64) bool {
	if share <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64() < share
}
