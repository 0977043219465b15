package rollout

import (
	"context"
	"errors"
	"fmt"

	"siskinvale.dev/siskinvale/internal/platform"
)

// Read performs ReadPlatform. It lists instead of getting, because a list
// returns the revision from which a watch continues.
func Read(ctx context.Context, c platform.Client) PlatformRead {
	objects, revision, err := c.List(ctx, ActiveKey)
	return result(objects, revision, err)
}

// Watch performs WatchPlatform.
func Watch(ctx context.Context, c platform.Client, w WatchPlatform) PlatformRead {
	objects, revision, err := c.Watch(ctx, ActiveKey, w.Since)
	read := result(objects, revision, err)
	read.Watch = true
	return read
}

func result(objects []platform.Object, revision uint64, err error) PlatformRead {
	read := PlatformRead{Revision: revision, Err: err}
	for _, o := range objects {
		if o.Key == ActiveKey && !o.Deleted {
			read.Envelope = o.Value
		}
	}
	return read
}

// ReadPieces performs FetchPieces from the platform.
func ReadPieces(ctx context.Context, c platform.Client, f FetchPieces) Event {
	pieces := make(map[string][]byte, len(f.Names))
	var failed error
	for _, name := range f.Names {
		object, err := c.Get(ctx, PieceKey(name))
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("piece %s: %w", name, err))
			continue
		}
		pieces[name] = object.Value
	}
	if len(pieces) == 0 {
		return FetchFailed{From: Platform, Names: f.Names, Err: failed}
	}
	return PiecesReceived{From: Platform, Pieces: pieces}
}
