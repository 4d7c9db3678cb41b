package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// bootTime reads CLOCK_BOOTTIME.
func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, fmt.Errorf("read CLOCK_BOOTTIME: %w", err)
	}
	return time.Duration(ts.Nano()), nil
}
