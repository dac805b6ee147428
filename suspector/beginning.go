package suspector

import (
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// maxCrashParts bounds the parts of the prompts in the record of one crash.
const maxCrashParts = 256

// crashedPrompt returns the prompt of one of n calls in the record of a crash.
func (s *Suspector) crashedPrompt(c Call, n int) Prompt {
	s.promptMu.Lock()
	defer s.promptMu.Unlock()
	p := c.prompt()
	p.Parts = s.prompts.Recorded(p.Call, p.Parts)
	p.Parts = p.Parts[:min(len(p.Parts), max(minPartsReported, maxCrashParts/n))]
	return p
}

// mergePrompts applies what records say of prompts and reports whether any of it was new.
func (s *Suspector) mergePrompts(r Records) bool {
	s.promptMu.Lock()
	defer s.promptMu.Unlock()
	changed := false
	now := s.clock.Now()
	for _, x := range r.AnsweredParts {
		if parts := []uint64{x.Part}; len(s.prompts.Unconfirmed(parts)) > 0 {
			s.prompts.Answered(parts, now-max(x.Age, 0), false)
			changed = true
		}
	}
	for _, c := range r.Crashes {
		for _, p := range c.Prompts {
			change, added := s.prompts.Add(p.crash(c.ID, now-max(c.Age, 0)), now)
			changed = changed || added
			if len(change.Refused)+len(change.Released) > 0 {
				s.logger.Warn("parts of prompts refused or released", zap.Uint64s("refused", change.Refused), zap.Uint64s("released", change.Released), zap.String("crash", c.ID))
			}
		}
	}
	return changed
}

// partWait returns how long a call is refused for a part of its prompt.
func (s *Suspector) partWait(c Call) timer.Millis {
	s.promptMu.Lock()
	defer s.promptMu.Unlock()
	if !s.prompts.RefusesAny() {
		return 0
	}
	var wait timer.Millis
	now := s.clock.Now()
	for _, part := range c.Parts {
		if r, ok := s.prompts.Refused(part, now); ok {
			wait = max(wait, r.LastCrash+partRefusal(r.Relapses)-now)
		}
	}
	return wait
}

// partRefusal returns how long calls with a part are refused after its last crash. Each
// relapse doubles it.
func partRefusal(relapses int) timer.Millis {
	return min(ambiguousRefusal<<min(relapses, 4), suspectTime)
}
