// Package timer defines the clock that the whole module uses. All durations and
// instants in control code are whole milliseconds.
//
// Instants read from a Clock are monotonic and have no meaning outside the
// process that read them, so they are never sent over the network. Wall-clock
// instants are Unix milliseconds and are used only where a time is displayed or
// stored.
package timer

import "time"

// Millis is an instant or a duration in milliseconds.
type Millis int64

// Second is one second in milliseconds.
const Second Millis = 1000

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts d to milliseconds, rounding up so that a positive
// timeout never becomes zero.
func FromDuration(d time.Duration) Millis {
	return Millis((d + time.Millisecond - 1) / time.Millisecond)
}

// Clock reads monotonic time in milliseconds.
type Clock interface {
	// Now returns the current monotonic instant.
	Now() Millis
}

type systemClock struct{ base time.Time }

// System returns a Clock that reads the process's monotonic clock and starts at
// zero. Inside a testing/synctest bubble it reads the bubble's virtual time.
func System() Clock {
	return systemClock{base: time.Now()}
}

func (c systemClock) Now() Millis {
	return Millis(time.Since(c.base) / time.Millisecond)
}

// Wall returns the current wall-clock time in Unix milliseconds.
func Wall() Millis {
	return Millis(time.Now().UnixMilli())
}
