package suspector

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// trackerRefusalCrashes is the number of server incarnations that must have
	// crashed under a call before a Tracker refuses it.
	trackerRefusalCrashes = 3
	// maxCalls bounds the calls with recorded crashes. When it is exceeded, all but
	// retainedCalls of them are dropped.
	maxCalls      = 4096
	retainedCalls = 3072
	// clearedRetention is how long reports of a crash are ignored after an answer
	// cleared it. Hosts send each record repeatedly, so reports keep arriving.
	clearedRetention = 3 * reportWindow
)

// crashRecords records which server incarnations crashed under which calls. It does
// no I/O, and its owner must synchronise access to it.
type crashRecords struct {
	// calls is keyed by fingerprint; cleared holds the time until which reports of
	// a crash are ignored.
	calls   map[uint64]*callCrashes
	cleared map[successKey]timer.Millis
}

// callCrashes holds the crashes under one call, with the time of each.
type callCrashes struct {
	crashes map[string]timer.Millis
	last    timer.Millis
}

func newCrashRecords() *crashRecords {
	return &crashRecords{calls: make(map[uint64]*callCrashes), cleared: make(map[successKey]timer.Millis)}
}

// add records a crash under a call and reports whether it was new.
func (e *crashRecords) add(fingerprint uint64, crashID string, at, now timer.Millis) bool {
	if until, ok := e.cleared[successKey{fingerprint, crashID}]; ok && now < until {
		return false
	}
	c, ok := e.calls[fingerprint]
	if !ok {
		c = &callCrashes{crashes: make(map[string]timer.Millis)}
		e.calls[fingerprint] = c
	}
	maps.DeleteFunc(c.crashes, func(_ string, at timer.Millis) bool { return now-at >= suspectTime })
	if _, known := c.crashes[crashID]; known {
		return false
	}
	c.crashes[crashID] = at
	c.last = max(c.last, at)
	e.dropExcessCalls()
	return true
}

// clear drops these crashes from a call that was answered.
func (e *crashRecords) clear(fingerprint uint64, ids []string, now timer.Millis) {
	maps.DeleteFunc(e.cleared, func(_ successKey, until timer.Millis) bool { return now >= until })
	c := e.calls[fingerprint]
	for _, id := range ids {
		if len(e.cleared) < maxSuccesses {
			e.cleared[successKey{fingerprint, id}] = now + clearedRetention
		}
		if c != nil {
			delete(c.crashes, id)
		}
	}
	if c != nil && len(c.crashes) == 0 {
		delete(e.calls, fingerprint)
	}
}

// crashes returns the identifiers of the crashes under a call, sorted.
func (e *crashRecords) crashes(fingerprint uint64) []string {
	c, ok := e.calls[fingerprint]
	if !ok {
		return nil
	}
	return slices.Sorted(maps.Keys(c.crashes))
}

// crashState returns the time since the last crash under a call, the number of
// crashes, and whether they are enough to refuse the call.
func (e *crashRecords) crashState(fingerprint uint64, now timer.Millis) (sinceLast timer.Millis, crashes int, refused bool) {
	c, known := e.calls[fingerprint]
	if !known || now-c.last >= suspectTime {
		return 0, 0, false
	}
	return now - c.last, len(c.crashes), len(c.crashes) >= trackerRefusalCrashes
}

// dropExcessCalls drops calls when there are more than maxCalls: those with the fewest
// crashes first and, among equals, those whose last crash is the oldest.
func (e *crashRecords) dropExcessCalls() {
	if len(e.calls) <= maxCalls {
		return
	}
	list := slices.SortedFunc(maps.Keys(e.calls), func(a, b uint64) int {
		x, y := e.calls[a], e.calls[b]
		return cmp.Or(cmp.Compare(len(x.crashes), len(y.crashes)), cmp.Compare(x.last, y.last))
	})
	for _, f := range list[:len(list)-retainedCalls] {
		delete(e.calls, f)
	}
}
