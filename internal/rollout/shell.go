package rollout

import (
	"context"
	"errors"
	"fmt"

	"siskinvale.dev/siskinvale/internal/platform"
)

// Read performs ReadPlatform. It lists ActiveKey instead of getting the object,
// because a list also returns the revision from which a watch continues.
func Read(ctx context.Context, c platform.Client) PlatformRead {
	objects, at, err := c.List(ctx, ActiveKey)
	return platformResult(objects, at, err)
}

// Watch performs WatchPlatform with the position of w.
func Watch(ctx context.Context, c platform.Client, w WatchPlatform) PlatformRead {
	objects, at, err := c.Watch(ctx, ActiveKey, w.Since)
	read := platformResult(objects, at, err)
	read.FromWatch, read.Since = true, w.Since
	return read
}

func platformResult(objects []platform.Object, at platform.Position, err error) PlatformRead {
	read := PlatformRead{At: at, Err: err}
	for _, o := range objects {
		if o.Key == ActiveKey && !o.Deleted {
			read.Envelope = o.Value
		}
	}
	return read
}

// ReadPieces performs FetchPieces from the platform. It returns PiecesReceived
// with the pieces that could be read, or FetchFailed if there are none.
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
