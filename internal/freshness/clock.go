package freshness

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the VM was booted, including the time for
// which it was suspended. Unlike the wall clock, this clock does not step.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every supported kernel has this clock.
		panic(fmt.Sprintf("read the boot clock: %v", err))
	}
	return time.Duration(t.Nano())
}
