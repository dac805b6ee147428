package suspector

import (
	"sync"
	"sync/atomic"

	"github.com/jackdawgate/jackdawgate/timer"
)

// sharedTable holds the current Table of a host and replaces it as records
// arrive. It is safe for concurrent use; reading verdicts takes no lock.
type sharedTable struct {
	clock timer.Clock
	table atomic.Pointer[Table]

	// writeMu serialises replacements of the table.
	writeMu sync.Mutex
}

func newSharedTable(initial Table, c timer.Clock) *sharedTable {
	t := &sharedTable{clock: c}
	t.table.Store(&initial)
	return t
}

// Verdict returns the verdict on a fingerprint.
func (t *sharedTable) Verdict(fingerprint uint64) Verdict {
	return t.table.Load().Verdict(fingerprint, t.clock.Now())
}

// Refused reports whether calls with this fingerprint are refused, and for how long.
func (t *sharedTable) Refused(fingerprint uint64) (timer.Millis, bool) {
	r, ok := t.Verdict(fingerprint).(Refused)
	return r.RetryAfter, ok
}

// add merges r into the table and reports whether any record was new.
func (t *sharedTable) add(r Records) bool {
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	next, changed := t.table.Load().WithRecords(r, t.clock.Now())
	if changed {
		t.table.Store(&next)
	}
	return changed
}
