package suspector

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Table has the records of one host and the verdicts that follow from them. It
// is immutable: the With methods return another one. The zero Table is empty.
type Table struct {
	deaths []known
	// survivals has when each was on this host's clock.
	survivals map[survived]timer.Millis
	verdicts  map[uint64]standing
}

// known is a death and when it was on this host's clock.
type known struct {
	Death
	at timer.Millis
}

type survived struct {
	fingerprint uint64
	death       string
}

// standing is until when a fingerprint is suspected and refused.
type standing struct{ suspected, refused timer.Millis }

// Verdict returns what is known of a fingerprint.
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

// WithRecords returns the table with r added. Records known already change
// nothing; the second result says whether any was new.
func (t Table) WithRecords(r Records, now timer.Millis) (Table, bool) {
	next, news := t, false
	for _, d := range r.Deaths {
		if d.Age < suspectTime && !next.has(d.ID) {
			next, news = next.withDeath(d, now-d.Age), true
		}
	}
	added := next.newSurvivals(r.Survivals, now)
	if len(added) > 0 {
		next, news = next.withSurvivals(added), true
	}
	if !news {
		return t, false
	}
	return next.withoutOld(now).judged(), true
}

// Survival returns the record that a call with this fingerprint was answered,
// and whether it was suspected at all.
func (t Table) Survival(fingerprint uint64, now timer.Millis) (Survival, bool) {
	if _, clear := t.Verdict(fingerprint, now).(Clear); clear {
		return Survival{}, false
	}
	s := Survival{Fingerprint: fingerprint}
	for _, d := range t.deaths {
		if t.counts(d, fingerprint) {
			s.Deaths = append(s.Deaths, d.ID)
		}
	}
	return s, len(s.Deaths) > 0
}

// Records returns all that is known, with ages as of now.
func (t Table) Records(now timer.Millis) Records {
	var r Records
	for _, d := range t.deaths {
		d.Age = now - d.at
		r.Deaths = append(r.Deaths, d.Death)
	}
	for s, at := range t.survivals {
		r.Survivals = append(r.Survivals, Survival{Fingerprint: s.fingerprint, Deaths: []string{s.death}, Age: now - at})
	}
	return r
}

// Digest counts the records; hosts that know the same have the same one.
func (t Table) Digest() uint64 {
	var sum uint64
	for _, d := range t.deaths {
		sum += hash(d.ID, 0)
	}
	for s := range t.survivals {
		sum += hash(s.death, s.fingerprint)
	}
	return sum
}

func (t Table) has(id string) bool {
	return slices.ContainsFunc(t.deaths, func(d known) bool { return d.ID == id })
}

func (t Table) withDeath(d Death, at timer.Millis) Table {
	d.Fingerprints = slices.Compact(slices.Sorted(slices.Values(d.Fingerprints)))
	if len(d.Fingerprints) > maxInFlight {
		d.Fingerprints = d.Fingerprints[:maxInFlight]
	}
	deaths := append(slices.Clone(t.deaths), known{Death: d, at: at})
	slices.SortFunc(deaths, func(a, b known) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.ID, b.ID)) })
	if len(deaths) > maxDeaths {
		deaths = deaths[len(deaths)-maxDeaths:]
	}
	t.deaths = deaths
	return t
}

// newSurvivals returns what of list is not known. A survival may be known
// before its death.
func (t Table) newSurvivals(list []Survival, now timer.Millis) map[survived]timer.Millis {
	added := make(map[survived]timer.Millis)
	for _, s := range list {
		for _, id := range s.Deaths {
			v := survived{s.Fingerprint, id}
			if _, ok := t.survivals[v]; !ok && s.Age < suspectTime {
				added[v] = now - s.Age
			}
		}
	}
	return added
}

func (t Table) withSurvivals(added map[survived]timer.Millis) Table {
	survivals := make(map[survived]timer.Millis, len(t.survivals)+len(added))
	maps.Copy(survivals, t.survivals)
	for s, at := range added {
		if len(survivals) < maxSurvivals {
			survivals[s] = at
		}
	}
	t.survivals = survivals
	return t
}

// withoutOld forgets deaths and survivals that no longer count.
func (t Table) withoutOld(now timer.Millis) Table {
	t.deaths = slices.DeleteFunc(slices.Clone(t.deaths), func(d known) bool { return now-d.at >= suspectTime })
	t.survivals = maps.Clone(t.survivals)
	maps.DeleteFunc(t.survivals, func(_ survived, at timer.Millis) bool { return now-at >= suspectTime })
	return t
}

// counts says whether fingerprint is suspected for d.
func (t Table) counts(d known, fingerprint uint64) bool {
	if _, ok := slices.BinarySearch(d.Fingerprints, fingerprint); !ok {
		return false
	}
	_, ok := t.survivals[survived{fingerprint, d.ID}]
	return !ok
}

// judged works out the verdicts, death by death in their order in time.
func (t Table) judged() Table {
	t.verdicts = make(map[uint64]standing)
	counted := make(map[uint64]int)
	for _, d := range t.deaths {
		suspects := 0
		for _, f := range d.Fingerprints {
			if counted[f] > 0 && t.counts(d, f) {
				suspects++
			}
		}
		for _, f := range d.Fingerprints {
			if t.counts(d, f) {
				counted[f]++
				t.verdicts[f] = t.standingAfter(t.verdicts[f], d.at, counted[f], suspects)
			}
		}
	}
	return t
}

func (t Table) standingAfter(s standing, at timer.Millis, deaths, suspects int) standing {
	s.suspected = max(s.suspected, at+suspectTime)
	if deaths >= refusedDeaths {
		refusal := ambiguousTime
		if suspects == 1 {
			refusal = blameTime
		}
		s.refused = max(s.refused, at+refusal)
	}
	return s
}
