package timer

import (
	"context"
	"time"
)

// Sleep blocks for the duration wait or until ctx is done. It reports whether
// the full duration elapsed.
func Sleep(ctx context.Context, wait Millis) bool { return SleepDuration(ctx, wait.Duration()) }

// SleepDuration is like Sleep but takes a time.Duration, for callers that need a
// finer resolution than milliseconds.
func SleepDuration(ctx context.Context, wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
