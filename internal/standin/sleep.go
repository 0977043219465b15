package standin

import (
	"context"
	"syscall"
	"time"
)

// shortSleep is below what Go timers resolve: the network poller waits in
// whole milliseconds.
const shortSleep = time.Millisecond

// sleep waits for d or until ctx ends. Waits below a millisecond are not
// interrupted.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	if d < shortSleep {
		left := syscall.NsecToTimespec(d.Nanoseconds())
		// A signal may end the sleep early, which does not matter here.
		_ = syscall.Nanosleep(&left, nil)
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
