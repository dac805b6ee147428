package suspector

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// deathsToRefuse is how many incarnations of servers must have ended under a
	// call for it to be refused.
	deathsToRefuse = 3
	// maxCalls bounds the calls under which servers ended that are remembered;
	// when there are more, all but keptCalls are forgotten.
	maxCalls  = 4096
	keptCalls = 3072
	// clearedFor is for how long a death is not believed again after an answer
	// cleared it; hosts repeat what they tell.
	clearedFor = 3 * tellFor
)

// evidence is which incarnations of servers ended under which calls. It is pure,
// and guarded by its owner.
type evidence struct {
	calls   map[uint64]*ends
	cleared map[survived]timer.Millis
}

// ends are the deaths under one call and when each was.
type ends struct {
	deaths map[string]timer.Millis
	last   timer.Millis
}

func newEvidence() *evidence {
	return &evidence{calls: make(map[uint64]*ends), cleared: make(map[survived]timer.Millis)}
}

// add notes a death under a call and says whether it was new.
func (e *evidence) add(fingerprint uint64, death string, at, now timer.Millis) bool {
	if until, ok := e.cleared[survived{fingerprint, death}]; ok && now < until {
		return false
	}
	c, ok := e.calls[fingerprint]
	if !ok {
		c = &ends{deaths: make(map[string]timer.Millis)}
		e.calls[fingerprint] = c
	}
	maps.DeleteFunc(c.deaths, func(_ string, at timer.Millis) bool { return now-at >= suspectTime })
	if _, known := c.deaths[death]; known {
		return false
	}
	c.deaths[death] = at
	c.last = max(c.last, at)
	e.bound()
	return true
}

// clear forgets these deaths under a call that was answered.
func (e *evidence) clear(fingerprint uint64, deaths []string, now timer.Millis) {
	maps.DeleteFunc(e.cleared, func(_ survived, until timer.Millis) bool { return now >= until })
	c := e.calls[fingerprint]
	for _, id := range deaths {
		if len(e.cleared) < maxSurvivals {
			e.cleared[survived{fingerprint, id}] = now + clearedFor
		}
		if c != nil {
			delete(c.deaths, id)
		}
	}
	if c != nil && len(c.deaths) == 0 {
		delete(e.calls, fingerprint)
	}
}

// deaths lists the deaths under a call.
func (e *evidence) deaths(fingerprint uint64) []string {
	c, ok := e.calls[fingerprint]
	if !ok {
		return nil
	}
	return slices.Sorted(maps.Keys(c.deaths))
}

// verdict says how long ago the last death under a call was, how many there were,
// and whether they are enough to refuse it.
func (e *evidence) verdict(fingerprint uint64, now timer.Millis) (since timer.Millis, deaths int, ok bool) {
	c, known := e.calls[fingerprint]
	if !known || now-c.last >= suspectTime {
		return 0, 0, false
	}
	return now - c.last, len(c.deaths), len(c.deaths) >= deathsToRefuse
}

// bound forgets calls when there are too many: those with the fewest deaths first,
// of these the oldest.
func (e *evidence) bound() {
	if len(e.calls) <= maxCalls {
		return
	}
	list := slices.SortedFunc(maps.Keys(e.calls), func(a, b uint64) int {
		x, y := e.calls[a], e.calls[b]
		return cmp.Or(cmp.Compare(len(x.deaths), len(y.deaths)), cmp.Compare(x.last, y.last))
	})
	for _, f := range list[:len(list)-keptCalls] {
		delete(e.calls, f)
	}
}
