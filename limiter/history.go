package limiter

import (
	"fmt"
	"slices"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Admission is one admitted request of a workspace. At is read from one clock
// that is common to all hosts.
type Admission struct {
	At   timer.Millis
	Host string
}

// ExceededError describes an interval in which more requests were admitted
// than the limit allows.
type ExceededError struct {
	From, To timer.Millis
	Admitted int
	Allowed  float64
}

func (e *ExceededError) Error() string {
	return fmt.Sprintf("%d requests admitted from %d to %d ms, %.3f allowed", e.Admitted, e.From, e.To, e.Allowed)
}

// CheckHistory checks that the merged admissions of all hosts respect the limit
// over every interval. An interval's length is rounded up by resolution, the
// unit in which hosts read their clocks. CheckHistory returns an *ExceededError
// for the first interval that exceeds the limit, or nil.
//
// It replays the history against a single token bucket that starts full. A
// request finds the bucket empty if and only if some interval that ends with
// that request contains more admissions than the bucket's size plus its refill.
func CheckHistory(history []Admission, limit Limit, resolution timer.Millis) error {
	sorted := slices.Clone(history)
	slices.SortStableFunc(sorted, func(a, b Admission) int { return int(a.At - b.At) })
	perMilli := limit.Rate / float64(timer.Second)
	size := limit.Burst + perMilli*float64(resolution)
	level, from, first := size, timer.Millis(0), 0
	for i, a := range sorted {
		if i > 0 {
			level += perMilli * float64(a.At-sorted[i-1].At)
		}
		if level >= size {
			level, from, first = size, a.At, i
		}
		level--
		if level < -roundingError {
			allowed := size + perMilli*float64(a.At-from)
			return &ExceededError{From: from, To: a.At, Admitted: i - first + 1, Allowed: allowed}
		}
	}
	return nil
}

// roundingError is the tolerance, in tokens, for sums of floats.
const roundingError = 1e-6
