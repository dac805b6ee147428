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

func newSharedTable(t Table, c timer.Clock) *sharedTable {
	b := &sharedTable{clock: c}
	b.table.Store(&t)
	return b
}

// Verdict returns the verdict on a fingerprint.
func (b *sharedTable) Verdict(fingerprint uint64) Verdict {
	return b.table.Load().Verdict(fingerprint, b.clock.Now())
}

// Refused reports whether calls with this fingerprint are refused, and for how long.
func (b *sharedTable) Refused(fingerprint uint64) (timer.Millis, bool) {
	r, ok := b.Verdict(fingerprint).(Refused)
	return r.RetryAfter, ok
}

// add merges r into the table and reports whether any record was new.
func (b *sharedTable) add(r Records) bool {
	b.writeMu.Lock()
	defer b.writeMu.Unlock()
	next, changed := b.table.Load().WithRecords(r, b.clock.Now())
	if changed {
		b.table.Store(&next)
	}
	return changed
}
