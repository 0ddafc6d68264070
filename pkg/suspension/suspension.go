// Package suspension tells for how long the VM of this process was suspended. The
// clock behind time.Now does not count that time.
package suspension

import (
	"time"

	"golang.org/x/sys/unix"
)

// Total returns the time for which the VM was suspended since its boot, to within
// some microseconds. It returns zero where the kernel can't tell.
func Total() time.Duration {
	var monotonic, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
