package mirrorer

import (
	"errors"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// minWritePause and maxWritePause bound the pause after a failed transaction on
	// the manifest. It doubles with each failure.
	minWritePause timer.Millis = 100
	maxWritePause timer.Millis = 600
	// conflictWait is how long a host waits to read the manifest that made its
	// transaction fail.
	conflictWait timer.Millis = 2000
)

// writePacer limits the rate of transactions on the manifest after failures: an
// unavailable store is not flooded by all possible successors, and a host that lost
// a race waits until it has read the manifest that won. The zero value is the state
// without failures. A writePacer is immutable.
type writePacer struct {
	pause, notBefore timer.Millis
	// conflictRevision is the revision on which the last transaction conflicted,
	// because another host had already replaced it. Until conflictUntil, no
	// transaction is sent unless a different revision has been read.
	conflictRevision uint64
	conflictUntil    timer.Millis
}

// afterFailure returns the state after a transaction on the manifest before has
// failed.
func (w writePacer) afterFailure(before cataloger.Group, err error, now timer.Millis) writePacer {
	w.pause = min(max(2*w.pause, minWritePause), maxWritePause)
	w.notBefore = now + w.pause
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		w.conflictRevision, w.conflictUntil = before.Revision, now+conflictWait
	}
	return w
}

// mayWrite reports whether a transaction on the manifest current may be sent now.
func (w writePacer) mayWrite(current cataloger.Group, now timer.Millis) bool {
	return now >= w.notBefore && (current.Revision != w.conflictRevision || now >= w.conflictUntil)
}
