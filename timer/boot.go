package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

type bootClock struct{ fallback Clock }

// Boot returns a Clock that keeps advancing while the machine is suspended. Use
// it for anything whose expiry another machine measures with its own clock, such
// as a permission. If CLOCK_BOOTTIME cannot be read, the Clock falls back to the
// process's monotonic clock.
func Boot() Clock { return bootClock{fallback: System()} }

func (c bootClock) Now() Millis {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return c.fallback.Now()
	}
	return Millis(t.Nano() / int64(time.Millisecond))
}
