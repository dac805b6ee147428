package suspector

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/cataloger"
)

const (
	// maxAnswersReported bounds the parts reported as answered in one message.
	maxAnswersReported = 128
	// maxPartsReported bounds the parts of all prompts in one message, but of each prompt
	// minPartsReported are always sent.
	maxPartsReported = 1024
	minPartsReported = 4
)

// Records returns the records that this host sends to the others now: its own
// observations of the last reportWindow.
func (t *Tracker) Records() Records {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.crashes = slices.DeleteFunc(t.crashes, func(c localCrash) bool { return now-c.at > reportWindow })
	t.successes = slices.DeleteFunc(t.successes, func(s localSuccess) bool { return now-s.at > reportWindow })
	var out Records
	at := make(map[cataloger.Incarnation]int)
	for _, c := range t.crashes {
		i, ok := at[c.Server]
		if !ok {
			i = len(out.Crashes)
			at[c.Server] = i
			out.Crashes = append(out.Crashes, Crash{ID: crashID(c.Server), Server: c.Server.ID, Age: now - c.at})
		}
		if c.call {
			out.Crashes[i].Fingerprints = append(out.Crashes[i].Fingerprints, c.Fingerprint)
		}
		if c.prompt {
			out.Crashes[i].Prompts = append(out.Crashes[i].Prompts, t.reportedPrompt(c.Call))
		}
	}
	for part, at := range t.prompts.AnsweredHere(now-answerWindow, maxAnswersReported) {
		out.AnsweredParts = append(out.AnsweredParts, AnsweredPart{Part: part, Age: now - at})
	}
	for _, s := range t.successes {
		s.Age = now - s.at
		out.Successes = append(out.Successes, s.Success)
	}
	return out
}

// reportedPrompt returns the record of a call's prompt that is sent to other hosts. The
// more crashes are reported, the fewer parts of each prompt are sent, so that the message
// stays small. The caller holds t.mu.
func (t *Tracker) reportedPrompt(c Call) Prompt {
	p := c.prompt()
	p.Parts = t.prompts.Recorded(p.Call, p.Parts)
	p.Parts = p.Parts[:min(len(p.Parts), max(minPartsReported, maxPartsReported/len(t.crashes)))]
	return p
}

// Merge applies the records of another host.
func (t *Tracker) Merge(r Records) {
	if len(r.Crashes)+len(r.Successes)+len(r.AnsweredParts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, s := range r.AnsweredParts {
		t.releaseParts([]uint64{s.Part}, now-max(s.Age, 0), false)
	}
	for _, c := range r.Crashes {
		if c.Age < 0 || c.Age >= suspectTime {
			continue
		}
		for _, f := range c.Fingerprints[:min(len(c.Fingerprints), maxInFlight)] {
			t.evidence.add(f, c.ID, now-c.Age, now)
		}
		for _, p := range c.Prompts[:min(len(c.Prompts), maxInFlight)] {
			t.addPrompt(c.ID, now-c.Age, p, false)
		}
	}
	for _, s := range r.Successes {
		t.evidence.clear(s.Fingerprint, s.Crashes, now)
	}
}
