// Package naive holds the simple baselines that the decisions of the fleet are
// measured against. Only tests and benchmarks use it.
package naive

import (
	"context"
	"errors"
	"time"

	"siskinvale.dev/siskinvale/internal/platform"
)

// PollInterval is the time between two reads of the platform by one node.
const PollInterval = time.Second

// Poller is the baseline of the rollout: every node reads the active bundle
// from the platform each second, and all of it whenever it changed.
type Poller struct {
	client  platform.Client
	key     string
	version uint64
}

// NewPoller returns a poller of one object, whose value is a list of the keys
// of the content's pieces, one on each line.
func NewPoller(client platform.Client, key string) *Poller { return &Poller{client: client, key: key} }

// Poll reads the object once. When it changed, Poll reads all pieces and
// returns the object's version and the bytes read; otherwise it returns 0, 0.
func (p *Poller) Poll(ctx context.Context, pieces func(value []byte) []string) (version uint64, size int, err error) {
	o, err := p.client.Get(ctx, p.key)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil || o.Version == p.version {
		return 0, 0, err
	}
	size = len(o.Value)
	for _, key := range pieces(o.Value) {
		piece, err := p.client.Get(ctx, key)
		if err != nil {
			return 0, size, err
		}
		size += len(piece.Value)
	}
	p.version = o.Version
	return o.Version, size, nil
}
