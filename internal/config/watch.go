package config

import (
	"context"
	"os"
	"time"
)

// WatchInterval is the time between two checks of a settings file for changes,
// for platforms that change the file without sending a signal. A check is one
// system call.
const WatchInterval = 5 * time.Second

// Watch checks the file at path at the given interval and calls changed after
// each change, until ctx ends. While the file cannot be read by stat, it counts
// as unchanged.
func Watch(ctx context.Context, path string, interval time.Duration, changed func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last, known := statFile(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now, ok := statFile(path)
		if !ok {
			continue
		}
		if known && now != last {
			changed()
		}
		last, known = now, true
	}
}

// fileVersion identifies the content of a file by its modification time and
// size.
type fileVersion struct {
	modified time.Time
	size     int64
}

// statFile returns the current version of the file, and false if stat fails.
func statFile(path string) (fileVersion, bool) {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}, false
	}
	return fileVersion{info.ModTime(), info.Size()}, true
}
