package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// origin is the start of the fallback scale.
var origin = time.Now()

// Now returns the time since the machine was started, as a time after the Unix epoch.
//
// Go's monotonic clock stops while the machine is suspended, so the value carries no monotonic reading.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Kernels before 2.6.39 have no CLOCK_BOOTTIME; a suspended time is not counted there.
		return time.Unix(0, 0).Add(time.Since(origin))
	}
	return time.Unix(ts.Unix())
}
