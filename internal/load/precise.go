package load

import (
	"context"
	"syscall"
	"time"
)

// timerSlack is how much earlier than needed a Go timer is set. Go's network
// poller waits in whole milliseconds, so the timers of an idle process fire up
// to a millisecond late.
const timerSlack = 2 * time.Millisecond

// preciseWait waits for d. It uses a Go timer first and the kernel's
// high-resolution sleep at the end, which usually returns less than 0.1 ms
// late. It reports false if ctx ended.
func preciseWait(ctx context.Context, d time.Duration) bool {
	end := time.Now().Add(d)
	if d > timerSlack && !wait(ctx, d-timerSlack) {
		return false
	}
	for left := time.Until(end); left > 0; left = time.Until(end) {
		remaining := syscall.NsecToTimespec(left.Nanoseconds())
		// The loop continues a sleep that a signal has interrupted.
		_ = syscall.Nanosleep(&remaining, nil)
	}
	return ctx.Err() == nil
}
