package standin

import (
	"context"
	"syscall"
	"time"
)

// timerResolution is the shortest wait for which a Go timer is used: the
// network poller waits in whole milliseconds.
const timerResolution = time.Millisecond

// sleep waits for d or until ctx ends, and returns false if ctx has ended. A
// wait shorter than timerResolution is not interrupted when ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	if d < timerResolution {
		timespec := syscall.NsecToTimespec(d.Nanoseconds())
		// A signal may end the wait early; that is harmless here.
		_ = syscall.Nanosleep(&timespec, nil)
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
