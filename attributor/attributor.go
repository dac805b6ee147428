// Package attributor finds the parts of prompts that crash backend servers.
//
// # Model
//
// A Crash is one call that was in flight, and not yet answered, when a server crashed,
// with the parts of its prompt that other calls may share. Each crash of a server has one
// cause, so the parts of all calls that were in flight compete to explain it:
//
//   - A part that was answered after a crash does not explain it.
//   - A part is refused once it explains refusalCrashes crashes by different calls.
//   - Of several such parts, one that was never answered is refused before one that was,
//     and then the one that explains more crashes.
//   - The crashes that a refused part explains count against no other part.
//
// So a part that many calls share, such as the first of all prompts, is not refused
// because of a crashing part that comes with it: it is answered between the crashes, or
// the other part explains them.
//
// Crashes have identifiers and may be added in any order and any number of times. What
// is kept is bounded for each workspace, so that no workspace displaces the records of
// another, whatever parts its callers make up.
package attributor

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// refusalCrashes is the number of crashes that a part must explain to be refused.
	refusalCrashes = 3
	// crashSpacing is the shortest time between two crashes that count as two. Servers
	// that crash together may have a cause in common, such as a rack without power.
	crashSpacing timer.Millis = 25
	// retention is how long a crash counts, and how long a part is refused at most after
	// its last crash.
	retention = 600 * timer.Second
	// relapseAfter is how long after its last crash a refused part is no longer in flight:
	// a crash after that is of a call that was admitted again.
	relapseAfter = 30 * timer.Second
	// maxCrashes bounds the crashes, maxWorkspaceCrashes those of one workspace.
	maxCrashes          = 512
	maxWorkspaceCrashes = 128
	// maxPartsOfCall bounds the parts of one call that are recorded.
	maxPartsOfCall = 64
	// maxAnswers bounds the parts that are known to have been answered. When it is
	// exceeded, all but retainedAnswers of them are dropped.
	maxAnswers      = 4096
	retainedAnswers = 3072
	// maxRefused bounds the refused parts, maxWorkspaceRefused those of one workspace.
	maxRefused          = 256
	maxWorkspaceRefused = 32
	// maxTied bounds the parts that are refused at the same time because they always
	// occurred together.
	maxTied = 4
)

// Crash is a crash of a server while it had not yet answered a call.
type Crash struct {
	// ID identifies the crash, the same for all calls that were in flight.
	ID string
	// Call identifies the call and Workspace its workspace.
	Call      uint64
	Workspace uint32
	Parts     []uint64
	At        timer.Millis
}

// crashKey identifies a Crash.
type crashKey struct {
	id   string
	call uint64
}

// Refusal is the state of a refused part.
type Refusal struct {
	workspace uint32
	// LastCrash is when a call with the part last crashed a server.
	LastCrash timer.Millis
	// Relapses counts the crashes that came relapseAfter or more after the one before.
	Relapses int
}

// withCrash returns r after one more crash.
func (r Refusal) withCrash(at timer.Millis) Refusal {
	if at-r.LastCrash >= relapseAfter {
		r.Relapses++
	}
	r.LastCrash = at
	return r
}

// answer holds when a call with a part was last answered: at any host and, if byThisHost
// is set, at this one.
type answer struct {
	at, here   timer.Millis
	byThisHost bool
}

// never is the time of what has not happened.
const never = timer.Millis(math.MinInt64)

// Attributor holds the crashes and the parts that are refused because of them. It does no
// I/O, and its owner must synchronise access to it.
type Attributor struct {
	// crashes are sorted by time. known holds their keys, occurrences how many of them
	// have a part.
	crashes     []Crash
	known       map[crashKey]bool
	occurrences map[uint64]int
	answers     map[uint64]answer
	refused     map[uint64]Refusal
}

// New returns an Attributor without crashes.
func New() *Attributor {
	return &Attributor{
		known: make(map[crashKey]bool), occurrences: make(map[uint64]int), answers: make(map[uint64]answer), refused: make(map[uint64]Refusal),
	}
}

// Change holds the parts that are refused, and no longer refused, because of a crash.
type Change struct{ Refused, Released []uint64 }

// Add records a crash and returns what it changes. It reports false if the crash was known.
func (a *Attributor) Add(c Crash, now timer.Millis) (change Change, added bool) {
	key := crashKey{c.ID, c.Call}
	if a.known[key] || len(c.Parts) == 0 || now-c.At >= retention {
		return Change{}, false
	}
	c.Parts = a.Recorded(c.Call, c.Parts)
	a.dropExpired(now)
	a.known[key] = true
	i, _ := slices.BinarySearchFunc(a.crashes, c, compareCrashes)
	a.crashes = slices.Insert(a.crashes, i, c)
	for _, part := range c.Parts {
		a.occurrences[part]++
		if r, ok := a.refused[part]; ok && c.At > r.LastCrash {
			a.refused[part] = r.withCrash(c.At)
		}
	}
	a.dropExcess(c.Workspace)
	return Change{Refused: a.refuse(c.Parts), Released: a.releaseExplained()}, true
}

func compareCrashes(x, y Crash) int {
	return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.ID, y.ID), cmp.Compare(x.Call, y.Call))
}

// Recorded returns the parts of a call's prompt that are recorded: all of them or, of a
// long prompt, maxPartsOfCall of them. Those that occur at most crashes come first; the
// order of the others depends on the call, so that a part of many long prompts is recorded
// for some of them.
func (a *Attributor) Recorded(call uint64, parts []uint64) []uint64 {
	parts = slices.Compact(slices.Sorted(slices.Values(parts)))
	slices.SortFunc(parts, func(x, y uint64) int {
		return cmp.Or(cmp.Compare(a.occurrences[y], a.occurrences[x]), cmp.Compare(mix(x^call), mix(y^call)))
	})
	return parts[:min(len(parts), maxPartsOfCall)]
}

// mix returns a hash of n.
func mix(n uint64) uint64 {
	n ^= n >> 32
	n *= 0xd6e8feb86659fd93
	n ^= n >> 32
	return n * 0xd6e8feb86659fd93
}

// dropExpired drops what is older than retention.
func (a *Attributor) dropExpired(now timer.Millis) {
	for len(a.crashes) > 0 && now-a.crashes[0].At >= retention {
		a.drop(0)
	}
	maps.DeleteFunc(a.refused, func(_ uint64, r Refusal) bool { return now-r.LastCrash >= retention })
}

// drop drops the crash at index i.
func (a *Attributor) drop(i int) {
	c := a.crashes[i]
	a.crashes = slices.Delete(a.crashes, i, i+1)
	delete(a.known, crashKey{c.ID, c.Call})
	for _, part := range c.Parts {
		if a.occurrences[part]--; a.occurrences[part] == 0 {
			delete(a.occurrences, part)
		}
	}
}

// dropExcess drops the oldest crash of workspace if it has too many, or of the workspace
// with the most if there are too many in all.
func (a *Attributor) dropExcess(workspace uint32) {
	counts := make(map[uint32]int)
	for _, c := range a.crashes {
		counts[c.Workspace]++
	}
	switch {
	case counts[workspace] > maxWorkspaceCrashes:
	case len(a.crashes) > maxCrashes:
		for w, n := range counts {
			if n > counts[workspace] || n == counts[workspace] && w < workspace {
				workspace = w
			}
		}
	default:
		return
	}
	a.drop(slices.IndexFunc(a.crashes, func(c Crash) bool { return c.Workspace == workspace }))
}

// refuse adds those of parts to refused that explain enough of the crashes which no
// refused part explains. It returns the added parts.
func (a *Attributor) refuse(parts []uint64) []uint64 {
	parts = slices.DeleteFunc(slices.Clone(parts), func(part uint64) bool { return a.occurrences[part] < refusalCrashes })
	if len(parts) == 0 {
		return nil
	}
	var added []uint64
	for {
		tied := a.mostSuspect(parts)
		if len(tied) == 0 {
			return added
		}
		for _, n := range tied {
			a.refused[n.part] = Refusal{workspace: n.workspace, LastCrash: n.last}
			added = append(added, n.part)
		}
	}
}

// releaseExplained releases the refused parts whose crashes are all explained by another
// one that explains more, and returns them. They were refused while they had always
// occurred together with it.
func (a *Attributor) releaseExplained() []uint64 {
	if len(a.refused) < 2 {
		return nil
	}
	together := make(map[[2]uint64]int)
	for _, c := range a.crashes {
		refused := slices.DeleteFunc(slices.Clone(c.Parts), func(part uint64) bool { _, ok := a.refused[part]; return !ok })
		for _, x := range refused {
			for _, y := range refused {
				together[[2]uint64{x, y}]++
			}
		}
	}
	var released []uint64
	for pair, n := range together {
		if x, y := pair[0], pair[1]; n == together[[2]uint64{x, x}] && n < together[[2]uint64{y, y}] {
			delete(a.refused, x)
			released = append(released, x)
		}
	}
	return slices.Compact(slices.Sorted(slices.Values(released)))
}

// mayRefuse reports whether one more part of a workspace may be refused.
func (a *Attributor) mayRefuse(workspace uint32) bool {
	n := 0
	for _, r := range a.refused {
		if r.workspace == workspace {
			n++
		}
	}
	return n < maxWorkspaceRefused && len(a.refused) < maxRefused
}

// explained returns the crashes that a refused part explains.
func (a *Attributor) explained() map[string]bool {
	out := make(map[string]bool)
	if len(a.refused) == 0 {
		return out
	}
	for _, c := range a.crashes {
		if slices.ContainsFunc(c.Parts, func(part uint64) bool { _, ok := a.refused[part]; return ok }) {
			out[c.ID] = true
		}
	}
	return out
}

// mostSuspect returns those of parts that are to be refused next, empty if none explains
// enough crashes. Several are returned if they always occurred together and none of them
// was ever answered.
func (a *Attributor) mostSuspect(parts []uint64) []candidate {
	list := slices.DeleteFunc(a.candidates(parts), func(n candidate) bool {
		return n.crashes < refusalCrashes || !n.several || !a.mayRefuse(n.workspace)
	})
	if len(list) == 0 {
		return nil
	}
	compare := func(x, y candidate) int {
		return cmp.Or(cmp.Compare(a.lastAnswer(x.part), a.lastAnswer(y.part)), cmp.Compare(y.crashes, x.crashes))
	}
	slices.SortFunc(list, func(x, y candidate) int { return cmp.Or(compare(x, y), cmp.Compare(x.part, y.part)) })
	end := 1
	for end < min(len(list), maxTied) && compare(list[0], list[end]) == 0 {
		end++
	}
	return list[:end]
}

// candidates returns parts with the crashes that they may explain and that no refused part
// explains.
func (a *Attributor) candidates(parts []uint64) []candidate {
	explained := a.explained()
	byPart := make(map[uint64]*candidate, len(parts))
	for _, part := range parts {
		byPart[part] = &candidate{part: part}
	}
	for _, c := range a.crashes {
		if explained[c.ID] {
			continue
		}
		for _, part := range c.Parts {
			if n, ok := byPart[part]; ok && c.At > a.lastAnswer(part) {
				n.count(c)
			}
		}
	}
	out := make([]candidate, 0, len(byPart))
	for _, n := range byPart {
		out = append(out, *n)
	}
	return out
}

// candidate is a part that may explain crashes.
type candidate struct {
	part      uint64
	workspace uint32
	// crashes counts those that the part may explain, each crashSpacing after the one
	// that was counted before, which was at counted. last is the time of the last one.
	crashes       int
	counted, last timer.Millis
	// call is the first call with the part, several whether there was another.
	call    uint64
	several bool
}

// count adds a crash that the candidate may explain.
func (n *candidate) count(c Crash) {
	if n.crashes == 0 {
		n.workspace, n.call = c.Workspace, c.Call
	}
	n.several = n.several || c.Call != n.call
	n.last = c.At
	if n.crashes == 0 || c.At-n.counted >= crashSpacing {
		n.crashes++
		n.counted = c.At
	}
}

// Refused returns the refusal of a part; ok is false if it is not refused.
func (a *Attributor) Refused(part uint64, now timer.Millis) (r Refusal, ok bool) {
	r, ok = a.refused[part]
	return r, ok && now-r.LastCrash < retention
}

// RefusesAny reports whether any part may be refused.
func (a *Attributor) RefusesAny() bool { return len(a.refused) > 0 }
