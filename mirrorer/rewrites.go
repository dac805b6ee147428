package mirrorer

import (
	"errors"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// leastRewritePause and mostRewritePause bound the pause after a transaction on
	// the manifest that was not carried out. It doubles each time.
	leastRewritePause timer.Millis = 100
	mostRewritePause  timer.Millis = 600
	// conflictPatience is for how long a host waits to be told of the manifest that
	// made its transaction fail.
	conflictPatience timer.Millis = 2000
)

// rewrites paces transactions on the manifest after some that failed: a store
// that is away is not flooded by all heirs, and a host that lost a race waits for
// what won it. The zero value is that of a host without failures. It is immutable.
type rewrites struct {
	pause, notBefore timer.Millis
	// lost is the revision of the manifest whose change another host was faster
	// at, until lostUntil.
	lost      uint64
	lostUntil timer.Millis
}

// after returns the pace after a transaction on the manifest before failed.
func (w rewrites) after(before cataloger.Group, err error, now timer.Millis) rewrites {
	w.pause = min(max(2*w.pause, leastRewritePause), mostRewritePause)
	w.notBefore = now + w.pause
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		w.lost, w.lostUntil = before.Revision, now+conflictPatience
	}
	return w
}

// mayWrite says whether a transaction on the manifest known now makes sense.
func (w rewrites) mayWrite(known cataloger.Group, now timer.Millis) bool {
	return now >= w.notBefore && (known.Revision != w.lost || now >= w.lostUntil)
}
