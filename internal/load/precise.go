package load

import (
	"context"
	"syscall"
	"time"
)

// timerSlack is how much earlier than needed a Go timer is set. Go's network
// poller waits in whole milliseconds, so timers of an idle process fire up to
// a millisecond late.
const timerSlack = 2 * time.Millisecond

// preciseWait waits with a timer first and with the kernel's high-resolution
// sleep at the end, which is usually less than 0.1 ms late.
func preciseWait(ctx context.Context, d time.Duration) bool {
	end := time.Now().Add(d)
	if d > timerSlack && !wait(ctx, d-timerSlack) {
		return false
	}
	for left := time.Until(end); left > 0; left = time.Until(end) {
		remaining := syscall.NsecToTimespec(left.Nanoseconds())
		// An interrupted sleep is continued by the loop.
		_ = syscall.Nanosleep(&remaining, nil)
	}
	return ctx.Err() == nil
}
