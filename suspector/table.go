package suspector

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Table holds the records of one host and the verdicts that follow from them. It
// is immutable: the With methods return a new Table. The zero Table is empty.
type Table struct {
	crashes []timedCrash
	// successes holds the time of each success on the clock of this host.
	successes map[successKey]timer.Millis
	verdicts  map[uint64]expiry
}

// timedCrash is a crash with its time on the clock of this host.
type timedCrash struct {
	Crash
	at timer.Millis
}

// successKey identifies a success: a call and a crash that no longer counts against it.
type successKey struct {
	fingerprint uint64
	crash       string
}

// expiry holds the times until which a fingerprint is suspected and refused.
type expiry struct{ suspected, refused timer.Millis }

// Verdict returns the verdict on a fingerprint.
func (t Table) Verdict(fingerprint uint64, now timer.Millis) Verdict {
	s, ok := t.verdicts[fingerprint]
	switch {
	case ok && now < s.refused:
		return Refused{RetryAfter: s.refused - now}
	case ok && now < s.suspected:
		return Suspected{}
	}
	return Clear{}
}

// WithRecords returns the table with r added. Records that it already has change
// nothing; the second result reports whether any was new.
func (t Table) WithRecords(r Records, now timer.Millis) (Table, bool) {
	next, changed := t, false
	for _, c := range r.Crashes {
		if c.Age < suspectTime && !next.hasCrash(c.ID) {
			next, changed = next.withCrash(c, now-c.Age), true
		}
	}
	added := next.newSuccesses(r.Successes, now)
	if len(added) > 0 {
		next, changed = next.withSuccesses(added), true
	}
	if !changed {
		return t, false
	}
	return next.withoutExpired(now).withVerdicts(), true
}

// Success returns the record that a call with this fingerprint was answered, and
// whether there is anything to record: false for a call that is not suspected.
func (t Table) Success(fingerprint uint64, now timer.Millis) (Success, bool) {
	if _, clear := t.Verdict(fingerprint, now).(Clear); clear {
		return Success{}, false
	}
	s := Success{Fingerprint: fingerprint}
	for _, c := range t.crashes {
		if t.countsAgainst(c, fingerprint) {
			s.Crashes = append(s.Crashes, c.ID)
		}
	}
	return s, len(s.Crashes) > 0
}

// Records returns all records, with their ages at now.
func (t Table) Records(now timer.Millis) Records {
	var r Records
	for _, c := range t.crashes {
		c.Age = now - c.at
		r.Crashes = append(r.Crashes, c.Crash)
	}
	for s, at := range t.successes {
		r.Successes = append(r.Successes, Success{Fingerprint: s.fingerprint, Crashes: []string{s.crash}, Age: now - at})
	}
	return r
}

// Digest returns a hash of the records. Hosts with the same records have the same
// digest, whatever the order in which they received them.
func (t Table) Digest() uint64 {
	var sum uint64
	for _, c := range t.crashes {
		sum += hash(c.ID, 0)
	}
	for s := range t.successes {
		sum += hash(s.crash, s.fingerprint)
	}
	return sum
}

func (t Table) hasCrash(id string) bool {
	return slices.ContainsFunc(t.crashes, func(c timedCrash) bool { return c.ID == id })
}

// withCrash returns t with the crash c at the given time. It drops the oldest crashes
// beyond maxCrashes and the fingerprints beyond maxInFlight.
func (t Table) withCrash(c Crash, at timer.Millis) Table {
	c.Fingerprints = slices.Compact(slices.Sorted(slices.Values(c.Fingerprints)))
	if len(c.Fingerprints) > maxInFlight {
		c.Fingerprints = c.Fingerprints[:maxInFlight]
	}
	crashes := append(slices.Clone(t.crashes), timedCrash{Crash: c, at: at})
	slices.SortFunc(crashes, func(a, b timedCrash) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.ID, b.ID)) })
	if len(crashes) > maxCrashes {
		crashes = crashes[len(crashes)-maxCrashes:]
	}
	t.crashes = crashes
	return t
}

// newSuccesses returns the successes of list that the table does not have. A success
// may arrive before its crash.
func (t Table) newSuccesses(list []Success, now timer.Millis) map[successKey]timer.Millis {
	added := make(map[successKey]timer.Millis)
	for _, s := range list {
		for _, id := range s.Crashes {
			v := successKey{s.Fingerprint, id}
			if _, ok := t.successes[v]; !ok && s.Age < suspectTime {
				added[v] = now - s.Age
			}
		}
	}
	return added
}

// withSuccesses returns t with added, as far as maxSuccesses allows.
func (t Table) withSuccesses(added map[successKey]timer.Millis) Table {
	successes := make(map[successKey]timer.Millis, len(t.successes)+len(added))
	maps.Copy(successes, t.successes)
	for s, at := range added {
		if len(successes) < maxSuccesses {
			successes[s] = at
		}
	}
	t.successes = successes
	return t
}

// withoutExpired drops crashes and successes that are older than suspectTime.
func (t Table) withoutExpired(now timer.Millis) Table {
	t.crashes = slices.DeleteFunc(slices.Clone(t.crashes), func(c timedCrash) bool { return now-c.at >= suspectTime })
	t.successes = maps.Clone(t.successes)
	maps.DeleteFunc(t.successes, func(_ successKey, at timer.Millis) bool { return now-at >= suspectTime })
	return t
}

// countsAgainst reports whether fingerprint is suspected because of c.
func (t Table) countsAgainst(c timedCrash, fingerprint uint64) bool {
	if _, ok := slices.BinarySearch(c.Fingerprints, fingerprint); !ok {
		return false
	}
	_, ok := t.successes[successKey{fingerprint, c.ID}]
	return !ok
}

// withVerdicts returns the table with its verdicts computed from its crashes, in the
// order of their times.
func (t Table) withVerdicts() Table {
	t.verdicts = make(map[uint64]expiry)
	counted := make(map[uint64]int)
	for _, c := range t.crashes {
		suspects := 0
		for _, f := range c.Fingerprints {
			if counted[f] > 0 && t.countsAgainst(c, f) {
				suspects++
			}
		}
		for _, f := range c.Fingerprints {
			if t.countsAgainst(c, f) {
				counted[f]++
				t.verdicts[f] = t.expiryAfter(t.verdicts[f], c.at, counted[f], suspects)
			}
		}
	}
	return t
}

// expiryAfter returns s extended by a crash at the given time. crashes is the number of
// crashes of the call so far, this one included, and suspects the number of calls in
// flight at this crash that were suspected before it.
func (t Table) expiryAfter(s expiry, at timer.Millis, crashes, suspects int) expiry {
	s.suspected = max(s.suspected, at+suspectTime)
	if crashes >= refusalCrashes {
		refusal := ambiguousRefusal
		if suspects == 1 {
			refusal = soleSuspectRefusal
		}
		s.refused = max(s.refused, at+refusal)
	}
	return s
}
