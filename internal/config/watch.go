package config

import (
	"context"
	"os"
	"time"
)

// WatchInterval is the time between two looks at a settings file, for platforms
// that change it without a signal. A look is one system call.
const WatchInterval = 5 * time.Second

// Watch calls changed after each change of the file at path until ctx ends. A
// file that cannot be looked at counts as unchanged until it is back.
func Watch(ctx context.Context, path string, interval time.Duration, changed func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last, known := look(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now, ok := look(path)
		if !ok {
			continue
		}
		if known && now != last {
			changed()
		}
		last, known = now, true
	}
}

// fileVersion tells two contents of a file apart.
type fileVersion struct {
	modified time.Time
	size     int64
}

func look(path string) (fileVersion, bool) {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}, false
	}
	return fileVersion{info.ModTime(), info.Size()}, true
}
