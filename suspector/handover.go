package suspector

import "github.com/jackdawgate/jackdawgate/timer"

// maxKnownParts bounds the parts of prompts in the result of Known.
const maxKnownParts = 4096

// Known returns all that this host knows of crashes, for a host that has just started:
// its own observations and those of others. The newest prompts come first if there are
// too many.
func (t *Tracker) Known() Records {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var out Records
	index := make(map[string]int)
	crash := func(id string, at timer.Millis) *Crash {
		i, ok := index[id]
		if !ok {
			i = len(out.Crashes)
			index[id] = i
			out.Crashes = append(out.Crashes, Crash{ID: id, Age: now - at})
		}
		return &out.Crashes[i]
	}
	for fingerprint, c := range t.evidence.calls {
		for id, at := range c.crashes {
			n := crash(id, at)
			n.Fingerprints = append(n.Fingerprints, fingerprint)
		}
	}
	for _, c := range t.prompts.Recent(maxKnownParts) {
		n := crash(c.ID, c.At)
		n.Prompts = append(n.Prompts, Prompt{Call: c.Call, Workspace: c.Workspace, Parts: c.Parts})
	}
	for part, at := range t.prompts.Answers() {
		out.AnsweredParts = append(out.AnsweredParts, AnsweredPart{Part: part, Age: now - at})
	}
	return out
}
