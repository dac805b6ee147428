package suspector

import (
	"sync"
	"sync/atomic"

	"github.com/jackdawgate/jackdawgate/timer"
)

// book is a Table that grows. It is safe for concurrent use; reading verdicts
// takes no lock.
type book struct {
	clock timer.Clock
	table atomic.Pointer[Table]

	// writing orders those who replace the table.
	writing sync.Mutex
}

func newBook(t Table, c timer.Clock) *book {
	b := &book{clock: c}
	b.table.Store(&t)
	return b
}

// Verdict returns what is known of a fingerprint.
func (b *book) Verdict(fingerprint uint64) Verdict {
	return b.table.Load().Verdict(fingerprint, b.clock.Now())
}

// Refused says whether calls with this fingerprint are refused, and for how long.
func (b *book) Refused(fingerprint uint64) (timer.Millis, bool) {
	r, ok := b.Verdict(fingerprint).(Refused)
	return r.RetryAfter, ok
}

// add takes records in and says whether any was new.
func (b *book) add(r Records) bool {
	b.writing.Lock()
	defer b.writing.Unlock()
	next, news := b.table.Load().WithRecords(r, b.clock.Now())
	if news {
		b.table.Store(&next)
	}
	return news
}
