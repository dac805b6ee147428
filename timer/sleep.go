package timer

import (
	"context"
	"time"
)

// Sleep waits and says whether ctx still stands.
func Sleep(ctx context.Context, wait Millis) bool { return Wait(ctx, wait.Duration()) }

// Wait is Sleep for those who reckon in shorter times than milliseconds.
func Wait(ctx context.Context, wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
