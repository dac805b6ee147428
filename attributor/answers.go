package attributor

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Answered records that calls with these parts were answered at the given time, by this
// host if byThisHost is set. It returns the parts that were refused until now.
func (a *Attributor) Answered(parts []uint64, at timer.Millis, byThisHost bool) (released []uint64) {
	for i, part := range parts {
		r, refused := a.refused[part]
		if i >= maxPartsOfCall && !refused && a.occurrences[part] == 0 {
			continue
		}
		n := a.answers[part]
		n.at = max(a.lastAnswer(part), at)
		if byThisHost {
			n.here, n.byThisHost = at, true
		}
		a.answers[part] = n
		if refused && at > r.LastCrash {
			delete(a.refused, part)
			released = append(released, part)
		}
	}
	a.dropExcessAnswers()
	return released
}

// LastAnswer returns when a call with a part was last answered; ok is false if none was.
func (a *Attributor) LastAnswer(part uint64) (at timer.Millis, ok bool) {
	n, ok := a.answers[part]
	return n.at, ok
}

// lastAnswer is LastAnswer with the time never if there was no answer.
func (a *Attributor) lastAnswer(part uint64) timer.Millis {
	if at, ok := a.LastAnswer(part); ok {
		return at
	}
	return never
}

// dropExcessAnswers drops the parts that were answered the longest ago when there are more
// than maxAnswers. It keeps those that occur at crashes.
func (a *Attributor) dropExcessAnswers() {
	if len(a.answers) <= maxAnswers {
		return
	}
	parts := slices.SortedFunc(maps.Keys(a.answers), func(x, y uint64) int {
		return cmp.Or(cmp.Compare(min(a.occurrences[y], 1), min(a.occurrences[x], 1)), cmp.Compare(a.answers[y].at, a.answers[x].at))
	})
	for _, part := range parts[retainedAnswers:] {
		delete(a.answers, part)
	}
}

// AnsweredHere returns the parts that occurred at crashes since the given time and were
// answered by this host, with the time of the answer. It returns most of them at most.
func (a *Attributor) AnsweredHere(since timer.Millis, most int) map[uint64]timer.Millis {
	out := make(map[uint64]timer.Millis)
	for i := len(a.crashes) - 1; i >= 0 && a.crashes[i].At >= since; i-- {
		for _, part := range a.crashes[i].Parts {
			if n := a.answers[part]; n.byThisHost && len(out) < most {
				out[part] = n.here
			}
		}
	}
	return out
}

// Unconfirmed returns those of parts that occurred at a crash after they were last
// answered.
func (a *Attributor) Unconfirmed(parts []uint64) []uint64 {
	parts = slices.DeleteFunc(slices.Clone(parts), func(part uint64) bool { return a.occurrences[part] == 0 })
	if len(parts) == 0 {
		return nil
	}
	crashed := make(map[uint64]bool)
	for _, c := range a.crashes {
		for _, part := range c.Parts {
			if c.At > a.lastAnswer(part) {
				crashed[part] = true
			}
		}
	}
	return slices.DeleteFunc(parts, func(part uint64) bool { return !crashed[part] })
}

// Recent returns the newest crashes, newest first, with most parts in all at most.
func (a *Attributor) Recent(most int) []Crash {
	var out []Crash
	for _, c := range slices.Backward(a.crashes) {
		if most -= len(c.Parts); most < 0 {
			break
		}
		out = append(out, c)
	}
	return out
}

// Answers returns when the parts that occurred at crashes were last answered.
func (a *Attributor) Answers() map[uint64]timer.Millis {
	out := make(map[uint64]timer.Millis)
	for part := range a.occurrences {
		if at, ok := a.LastAnswer(part); ok {
			out[part] = at
		}
	}
	return out
}
