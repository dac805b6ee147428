package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

type bootClock struct{ fallback Clock }

// Boot returns a Clock that goes on while the machine is suspended. Whatever
// ends by the clock of another machine, such as a permission, is measured by it.
func Boot() Clock { return bootClock{fallback: System()} }

func (c bootClock) Now() Millis {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return c.fallback.Now()
	}
	return Millis(t.Nano() / int64(time.Millisecond))
}
