package suspector

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// partRefusalCrashes is the number of crashes that must be explained by a part of a
	// prompt before calls with it are refused.
	partRefusalCrashes = 3
	// crashSpacing is the shortest time between two crashes that count as two. Servers
	// that crash together may have a cause in common, such as a rack without power.
	crashSpacing timer.Millis = 25
	// ProgressEvents is the number of events after which an answer is under way. A part
	// of a prompt can crash a server only before that, when it is read.
	ProgressEvents = 4
	// maxPromptCrashes bounds the recorded crashes, maxWorkspaceCrashes those of one
	// workspace.
	maxPromptCrashes    = 512
	maxWorkspaceCrashes = 128
	// maxPartsOfCall bounds the parts of one call that are recorded.
	maxPartsOfCall = 64
	// maxSoundParts bounds the parts that are known to be sound. When it is exceeded,
	// all but retainedSoundParts of them are dropped.
	maxSoundParts      = 4096
	retainedSoundParts = 3072
	// maxRefusedParts bounds the refused parts, maxWorkspaceRefused those of one workspace.
	maxRefusedParts     = 256
	maxWorkspaceRefused = 32
	// maxTiedParts bounds the parts that are refused at the same time because they always
	// occurred together.
	maxTiedParts = 4
)

// promptCrash is a crash of a server while it had not yet answered a call.
type promptCrash struct {
	// id identifies the crash, call the call.
	id        string
	call      uint64
	workspace uint32
	parts     []uint64
	at        timer.Millis
}

// promptCrashKey identifies a promptCrash.
type promptCrashKey struct {
	id   string
	call uint64
}

// answeredPart holds when a call with a part was last answered: at any host and, if
// answeredHere is set, at this one.
type answeredPart struct {
	at, here     timer.Millis
	answeredHere bool
}

// never is the time of what has not happened.
const never = timer.Millis(math.MinInt64)

// refusedPart is a part whose calls are refused.
type refusedPart struct {
	workspace uint32
	// lastCrash is when a call with this part last crashed a server, relapses how often
	// one did after the part had been refused for refusalWait.
	lastCrash timer.Millis
	relapses  int
}

// refusalWait returns how long calls with the part are refused after lastCrash on hosts
// that do not claim trials.
func (r refusedPart) refusalWait() timer.Millis {
	return min(ambiguousRefusal<<min(r.relapses, 4), suspectTime)
}

// promptRecords finds the parts of prompts that crash servers.
//
// Each crash has one cause, so the parts of the calls that were in flight compete to
// explain it. A part that was answered after a crash does not explain it. Of the others,
// the part that explains most crashes is refused once there are partRefusalCrashes of
// them, by different calls; the crashes that it explains then count against no other
// part. So a part that many calls share is not refused because of a crashing part that
// comes with it.
//
// It does no I/O, and its owner must synchronise access to it.
type promptRecords struct {
	// crashes are sorted by time. known holds their keys, occurrences how many of them
	// have a part.
	crashes     []promptCrash
	known       map[promptCrashKey]bool
	occurrences map[uint64]int
	// soundAt holds when a call with a part was last answered.
	soundAt map[uint64]answeredPart
	refused map[uint64]refusedPart
}

func newPromptRecords() *promptRecords {
	return &promptRecords{
		known: make(map[promptCrashKey]bool), occurrences: make(map[uint64]int),
		soundAt: make(map[uint64]answeredPart), refused: make(map[uint64]refusedPart),
	}
}

// add records a crash and returns the parts that are refused from now on because of it.
// It reports false if the crash was known.
func (p *promptRecords) add(c promptCrash, now timer.Millis) (refused []uint64, added bool) {
	key := promptCrashKey{c.id, c.call}
	if p.known[key] || len(c.parts) == 0 || now-c.at >= suspectTime {
		return nil, false
	}
	c.parts = p.recorded(c.call, c.parts)
	p.dropExpired(now)
	p.known[key] = true
	i, _ := slices.BinarySearchFunc(p.crashes, c, compareCrashes)
	p.crashes = slices.Insert(p.crashes, i, c)
	for _, part := range c.parts {
		p.occurrences[part]++
		if r, ok := p.refused[part]; ok && c.at > r.lastCrash {
			if c.at-r.lastCrash >= r.refusalWait() {
				r.relapses++
			}
			r.lastCrash = c.at
			p.refused[part] = r
		}
	}
	p.dropExcess(c.workspace)
	return p.refuse(c.parts), true
}

func compareCrashes(a, b promptCrash) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id), cmp.Compare(a.call, b.call))
}

// recorded returns the parts of a call's prompt that are recorded: all of them or, of a
// long prompt, those that occur at other crashes first. Which of the others are recorded
// depends on the call, so that a part of many long prompts is recorded for some of them.
func (p *promptRecords) recorded(call uint64, parts []uint64) []uint64 {
	parts = slices.Compact(slices.Sorted(slices.Values(parts)))
	if len(parts) <= maxPartsOfCall {
		return parts
	}
	slices.SortFunc(parts, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(p.occurrences[b], p.occurrences[a]), cmp.Compare(hash("", a^call), hash("", b^call)))
	})
	return parts[:maxPartsOfCall]
}

// dropExpired drops the crashes that are older than suspectTime.
func (p *promptRecords) dropExpired(now timer.Millis) {
	for len(p.crashes) > 0 && now-p.crashes[0].at >= suspectTime {
		p.drop(0)
	}
	maps.DeleteFunc(p.refused, func(_ uint64, r refusedPart) bool { return now-r.lastCrash >= suspectTime })
}

// drop drops the crash at index i.
func (p *promptRecords) drop(i int) {
	c := p.crashes[i]
	p.crashes = slices.Delete(p.crashes, i, i+1)
	delete(p.known, promptCrashKey{c.id, c.call})
	for _, part := range c.parts {
		if p.occurrences[part]--; p.occurrences[part] == 0 {
			delete(p.occurrences, part)
		}
	}
}

// dropExcess drops the oldest crash of workspace if it has too many, or of the workspace
// with the most if there are too many in all. So no workspace displaces the records of
// another that has fewer.
func (p *promptRecords) dropExcess(workspace uint32) {
	counts := make(map[uint32]int)
	for _, c := range p.crashes {
		counts[c.workspace]++
	}
	switch {
	case counts[workspace] > maxWorkspaceCrashes:
	case len(p.crashes) > maxPromptCrashes:
		for w, n := range counts {
			if n > counts[workspace] || n == counts[workspace] && w < workspace {
				workspace = w
			}
		}
	default:
		return
	}
	p.drop(slices.IndexFunc(p.crashes, func(c promptCrash) bool { return c.workspace == workspace }))
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

// refuse adds those of parts to refused that explain enough of the crashes which no
// refused part explains. It returns the added parts.
func (p *promptRecords) refuse(parts []uint64) []uint64 {
	parts = slices.DeleteFunc(slices.Clone(parts), func(part uint64) bool { return p.occurrences[part] < partRefusalCrashes })
	if len(parts) == 0 {
		return nil
	}
	var added []uint64
	for {
		tied := p.mostSuspect(parts)
		if len(tied) == 0 {
			return added
		}
		for _, c := range tied {
			p.refused[c.part] = refusedPart{workspace: c.workspace, lastCrash: c.last}
			added = append(added, c.part)
		}
	}
}

// mayRefuse reports whether one more part of a workspace may be refused.
func (p *promptRecords) mayRefuse(workspace uint32) bool {
	n := 0
	for _, r := range p.refused {
		if r.workspace == workspace {
			n++
		}
	}
	return n < maxWorkspaceRefused && len(p.refused) < maxRefusedParts
}

// explained returns the crashes that a refused part explains.
func (p *promptRecords) explained() map[string]bool {
	out := make(map[string]bool)
	if len(p.refused) == 0 {
		return out
	}
	for _, c := range p.crashes {
		if slices.ContainsFunc(c.parts, func(part uint64) bool { _, ok := p.refused[part]; return ok }) {
			out[c.id] = true
		}
	}
	return out
}

// mostSuspect returns those of parts that are to be refused next, empty if none explains
// enough crashes. A part that was never answered comes before one that was, and then the part
// that explains more crashes. Several parts are returned if they always occurred together
// and none of them was ever answered.
func (p *promptRecords) mostSuspect(parts []uint64) []candidate {
	list := slices.DeleteFunc(p.candidates(parts), func(c candidate) bool {
		return c.crashes < partRefusalCrashes || !c.several || !p.mayRefuse(c.workspace)
	})
	if len(list) == 0 {
		return nil
	}
	compare := func(a, b candidate) int {
		return cmp.Or(cmp.Compare(p.lastAnswer(a.part), p.lastAnswer(b.part)), cmp.Compare(b.crashes, a.crashes))
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Or(compare(a, b), cmp.Compare(a.part, b.part)) })
	end := 1
	for end < min(len(list), maxTiedParts) && compare(list[0], list[end]) == 0 {
		end++
	}
	return list[:end]
}

// candidates returns parts with the crashes that they may explain and that no refused part
// explains.
func (p *promptRecords) candidates(parts []uint64) []candidate {
	explained := p.explained()
	byPart := make(map[uint64]*candidate, len(parts))
	for _, part := range parts {
		byPart[part] = &candidate{part: part}
	}
	for _, c := range p.crashes {
		if explained[c.id] {
			continue
		}
		for _, part := range c.parts {
			if n, ok := byPart[part]; ok && c.at > p.lastAnswer(part) {
				n.count(c)
			}
		}
	}
	out := make([]candidate, 0, len(byPart))
	for _, c := range byPart {
		out = append(out, *c)
	}
	return out
}

// count adds a crash that the candidate may explain.
func (n *candidate) count(c promptCrash) {
	if n.crashes == 0 {
		n.workspace, n.call = c.workspace, c.call
	}
	n.several = n.several || c.call != n.call
	n.last = c.at
	if n.crashes == 0 || c.at-n.counted >= crashSpacing {
		n.crashes++
		n.counted = c.at
	}
}

// sound records that calls with these parts were answered at the given time, by this host
// if here is set. It returns those that were refused until now.
func (p *promptRecords) sound(parts []uint64, at timer.Millis, here bool) (released []uint64) {
	for i, part := range parts {
		r, refused := p.refused[part]
		if i >= maxPartsOfCall && !refused && p.occurrences[part] == 0 {
			continue
		}
		n := p.soundAt[part]
		n.at = max(p.lastAnswer(part), at)
		if here {
			n.here, n.answeredHere = at, true
		}
		p.soundAt[part] = n
		if refused && at > r.lastCrash {
			delete(p.refused, part)
			released = append(released, part)
		}
	}
	p.dropExcessSound()
	return released
}

// lastAnswer returns when a call with a part was last answered, never if none was.
func (p *promptRecords) lastAnswer(part uint64) timer.Millis {
	if n, ok := p.soundAt[part]; ok {
		return n.at
	}
	return never
}

// dropExcessSound drops the parts that were answered the longest ago when there are more
// than maxSoundParts. It keeps those that occur at crashes.
func (p *promptRecords) dropExcessSound() {
	if len(p.soundAt) <= maxSoundParts {
		return
	}
	parts := slices.SortedFunc(maps.Keys(p.soundAt), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(min(p.occurrences[b], 1), min(p.occurrences[a], 1)), cmp.Compare(p.soundAt[b].at, p.soundAt[a].at))
	})
	for _, part := range parts[retainedSoundParts:] {
		delete(p.soundAt, part)
	}
}

// refusal returns how long ago a refused part last crashed a server.
func (p *promptRecords) refusal(part uint64, now timer.Millis) (sinceLast timer.Millis, ok bool) {
	r, ok := p.refused[part]
	return now - r.lastCrash, ok && now-r.lastCrash < suspectTime
}

// answeredHere returns the parts that occurred at crashes since the given time and were
// answered by this host, with the time of the answer. It returns most of them at most.
func (p *promptRecords) answeredHere(since timer.Millis, most int) map[uint64]timer.Millis {
	out := make(map[uint64]timer.Millis)
	for i := len(p.crashes) - 1; i >= 0 && p.crashes[i].at >= since; i-- {
		for _, part := range p.crashes[i].parts {
			if n := p.soundAt[part]; n.answeredHere && len(out) < most {
				out[part] = n.here
			}
		}
	}
	return out
}

// unconfirmed returns those of parts that occurred at a crash after they were last
// answered.
func (p *promptRecords) unconfirmed(parts []uint64) []uint64 {
	parts = slices.DeleteFunc(slices.Clone(parts), func(part uint64) bool { return p.occurrences[part] == 0 })
	if len(parts) == 0 {
		return nil
	}
	crashed := make(map[uint64]bool)
	for _, c := range p.crashes {
		for _, part := range c.parts {
			if c.at > p.lastAnswer(part) {
				crashed[part] = true
			}
		}
	}
	return slices.DeleteFunc(parts, func(part uint64) bool { return !crashed[part] })
}
