package naive

import (
	"context"
	"errors"
	"time"

	"siskinvale.dev/siskinvale/internal/platform"
)

// PollInterval is the time between two reads of the platform by one node.
const PollInterval = time.Second

// Poller is the baseline for the bundle rollout: every node polls the active
// bundle on the platform once a second and downloads all of its pieces whenever
// the bundle changed.
type Poller struct {
	client  platform.Client
	key     string
	version uint64
}

// NewPoller returns a Poller of the platform object stored under key.
func NewPoller(client platform.Client, key string) *Poller { return &Poller{client: client, key: key} }

// Poll reads the object once. If the object changed, Poll also reads all pieces
// that pieceKeys lists for its value, and returns the object's version and the
// number of bytes read. If the object is unchanged or does not exist, Poll
// returns 0, 0 and no error. After a failed read it returns the platform
// client's error and the bytes read before.
func (p *Poller) Poll(ctx context.Context, pieceKeys func(value []byte) []string) (version uint64, bytesRead int, err error) {
	o, err := p.client.Get(ctx, p.key)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil || o.Version == p.version {
		return 0, 0, err
	}
	bytesRead = len(o.Value)
	for _, key := range pieceKeys(o.Value) {
		piece, err := p.client.Get(ctx, key)
		if err != nil {
			return 0, bytesRead, err
		}
		bytesRead += len(piece.Value)
	}
	p.version = o.Version
	return o.Version, bytesRead, nil
}
