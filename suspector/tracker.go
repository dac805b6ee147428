package suspector

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/quarantiner"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

const (
	// reportWindow is how long a record is included in what this host sends.
	reportWindow timer.Millis = 1500
	// After a server fails, calls sent to it later that fail within failureWindow of
	// that failure do not count as crashes, unless the server has answered in between.
	failureWindow timer.Millis = 1500
	// If a server is removed, the calls that ended there without an answer within the
	// last unansweredWindow are blamed for its crash.
	unansweredWindow = 15 * timer.Second
	// soundWindow is how long after a crash this host reports which parts of the prompts
	// that were in flight it has answered.
	soundWindow = 3 * timer.Second
)

const (
	// maxSoundReported bounds the parts reported as sound in one message.
	maxSoundReported = 128
	// maxPartsReported bounds the parts of all prompts in one message, but of each prompt
	// minPartsReported are always sent.
	maxPartsReported = 1024
	minPartsReported = 4
)

// maxUnanswered bounds the unanswered calls that are kept for one server; the oldest
// are dropped first.
const maxUnanswered = 64

// Tracker records the calls under which servers crash, for servers to which every host
// sends calls independently. It uses the observations of its own host and the records of
// the others. It is safe for concurrent use.
type Tracker struct {
	clock  timer.Clock
	logger *zap.Logger
	// quarantine keeps the quarantine of calls across restarts of hosts and grants
	// trials. It is nil for a host without a store.
	quarantine *quarantiner.Quarantiner

	mu       sync.Mutex
	evidence *crashRecords
	prompts  *promptRecords
	// flights are the attempts that have not been answered yet.
	flights map[*Flight]bool
	// failedAt holds the last failure of each server that has not answered since.
	failedAt map[cataloger.Incarnation]timer.Millis
	// unanswered holds the calls that ended at a server before it answered or failed,
	// for servers that have answered nothing since.
	unanswered map[cataloger.Incarnation][]unansweredCall
	// crashes and successes are what this host observed within the last reportWindow,
	// oldest first.
	crashes   []localCrash
	successes []localSuccess
}

// unansweredCall is a call that ended at a server before the server answered it or
// failed.
type unansweredCall struct {
	Attempt
	at timer.Millis
}

// localCrash is a crash of a server under a call, as observed by this host. call and
// prompt report whether it counts against the call itself and against the parts of its
// prompt.
type localCrash struct {
	Attempt
	at           timer.Millis
	call, prompt bool
}

// localSuccess is an answer to a suspected call, as observed by this host.
type localSuccess struct {
	Success
	at timer.Millis
}

// NewTracker returns a Tracker without records. q may be nil.
func NewTracker(c timer.Clock, l *zap.Logger, q *quarantiner.Quarantiner) *Tracker {
	return &Tracker{
		clock: c, logger: l, quarantine: q, evidence: newCrashRecords(), prompts: newPromptRecords(), flights: make(map[*Flight]bool),
		failedAt: make(map[cataloger.Incarnation]timer.Millis), unanswered: make(map[cataloger.Incarnation][]unansweredCall),
	}
}

// maxClaims bounds the trials that are claimed for one call.
const maxClaims = 8

// Admit reports whether a call may be sent to a server and, if not, after which wait
// the caller may retry. It calls the store only if the call or a part of its prompt is
// quarantined or crashed enough servers for it: once the wait of all of them is over,
// Admit claims their trials.
func (t *Tracker) Admit(ctx context.Context, c Call) (wait timer.Millis, ok bool) {
	suspects, wait := t.suspects(c)
	if wait > 0 {
		return wait, false
	}
	if t.quarantine == nil {
		return 0, true
	}
	for i, s := range suspects {
		if i == maxClaims {
			return quarantiner.Backoff(0), false
		}
		if wait, ok := t.quarantine.ClaimTrial(ctx, s, c.workspaceHash()); !ok {
			return wait, false
		}
	}
	return 0, true
}

// Refused reports whether a call is refused without requesting a trial from the
// store, and for how long.
func (t *Tracker) Refused(c Call) (timer.Millis, bool) {
	_, wait := t.suspects(c)
	return wait, wait > 0
}

// RefusesParts reports whether any part of prompts may be refused. It is cheaper than
// Refused.
func (t *Tracker) RefusesParts() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.prompts.refused) > 0 || t.quarantine != nil && !t.quarantine.Empty()
}

// suspects returns what the call is suspected for, its fingerprint or parts of its
// prompt, and how long it is refused. Suspected is what crashed enough servers and what
// the store has a record of.
func (t *Tracker) suspects(c Call) (list []uint64, wait timer.Millis) {
	if !c.Owed {
		if w, suspected := t.callWait(c); suspected {
			list, wait = append(list, c.Fingerprint), w
		}
	}
	for part, w := range t.partWaits(c) {
		list, wait = append(list, part), max(wait, w)
	}
	slices.Sort(list)
	return list, wait
}

// callWait returns how long a call is refused for itself, and whether it is suspected.
func (t *Tracker) callWait(c Call) (wait timer.Millis, suspected bool) {
	t.mu.Lock()
	since, crashes, suspected := t.evidence.crashState(c.Fingerprint, t.clock.Now())
	t.mu.Unlock()
	if suspected {
		wait = max(0, quarantiner.Backoff(crashes-trackerRefusalCrashes)-since)
	}
	if t.quarantine == nil {
		return wait, suspected
	}
	if wait > 0 {
		// The host that observed the last crash may have stopped before it wrote the record.
		t.quarantine.Put(c.Fingerprint, c.workspaceHash())
	}
	more, known := t.quarantine.Wait(c.Fingerprint)
	return max(wait, more), suspected || known
}

// partWaits returns the suspected parts of the call's prompt and how long calls with each
// are refused. The record in the store, which counts the trials, decides if there is one.
func (t *Tracker) partWaits(c Call) map[uint64]timer.Millis {
	waits := t.refusedParts(c)
	if t.quarantine == nil {
		return waits
	}
	for part := range waits {
		t.quarantine.Put(part, c.workspaceHash())
	}
	maps.Copy(waits, t.quarantine.Waits(c.Parts))
	return waits
}

// refusedParts returns the parts of the call's prompt that crashed enough servers, and for
// how long calls with each are refused.
func (t *Tracker) refusedParts(c Call) map[uint64]timer.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	waits := make(map[uint64]timer.Millis)
	if len(t.prompts.refused) == 0 {
		return waits
	}
	for _, part := range c.Parts {
		if since, ok := t.prompts.refusal(part, t.clock.Now()); ok {
			waits[part] = max(0, quarantiner.Backoff(0)-since)
		}
	}
	return waits
}

// Answered records that a server sent the beginning of an answer, so it is up.
func (t *Tracker) Answered(server cataloger.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.failedAt, server)
	delete(t.unanswered, server)
}

// ApplySnapshot applies the servers and the quarantined calls of a snapshot of the store.
func (t *Tracker) ApplySnapshot(s cataloger.Snapshot) {
	t.RemoveServers(func(i cataloger.Incarnation) bool {
		v, ok := s.Servers[i.ID]
		return ok && v.Incarnation() == i
	})
	if t.quarantine == nil {
		return
	}
	released := t.quarantine.Follow(s)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, f := range released {
		t.evidence.clear(f, t.evidence.crashes(f), now)
		t.releaseParts([]uint64{f}, now, false)
	}
}

// RemoveServers drops the state of servers for which isListed returns false. The recent
// calls that ended at such a server without an answer count as in flight at its crash.
func (t *Tracker) RemoveServers(isListed func(server cataloger.Incarnation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.failedAt, func(v cataloger.Incarnation, _ timer.Millis) bool { return !isListed(v) })
	for v := range t.unanswered {
		if !isListed(v) {
			t.countUnanswered(v)
		}
	}
}

// countUnanswered records the crash of a server for its recent unanswered calls.
func (t *Tracker) countUnanswered(server cataloger.Incarnation) {
	now := t.clock.Now()
	for _, c := range t.unanswered[server] {
		if now-c.at < unansweredWindow {
			t.recordCrash(c.Attempt, "the server was removed after the call ended there without an answer")
		}
	}
	delete(t.unanswered, server)
}

// Unanswered records that a call ended at a server before the server answered it or
// failed. If the server turns out to have crashed, the crash counts against the call.
func (t *Tracker) Unanswered(a Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := append(t.unanswered[a.Server], unansweredCall{Attempt: a, at: t.clock.Now()})
	t.unanswered[a.Server] = list[max(0, len(list)-maxUnanswered):]
}

// Failed records that an incarnation of a server broke off a call. The failure is not
// counted if the server had failed before the call was sent, less than failureWindow ago,
// and has not answered since.
func (t *Tracker) Failed(a Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	since, ok := t.failedAt[a.Server]
	if ok && a.Sent >= since && now-since < failureWindow {
		t.logger.Info("failure not counted against a call", zap.String("server", a.Server.ID), zap.Uint64("fingerprint", a.Fingerprint),
			zap.String("reason", "the server failed before the call was sent"))
		return
	}
	if !ok || now-since >= failureWindow {
		t.failedAt[a.Server] = now
	}
	t.recordCrash(a, "the server broke off the call")
}

// maxLoggedParts bounds the parts of a prompt in one log line.
const maxLoggedParts = 16

// recordCrash records that a server crashed under a call. The caller holds t.mu.
func (t *Tracker) recordCrash(a Attempt, reason string) {
	now := t.clock.Now()
	crash := localCrash{Attempt: a, at: now}
	crash.call = !a.Owed && t.evidence.add(a.Fingerprint, crashID(a.Server), now, now)
	if a.Events < ProgressEvents {
		crash.prompt = t.addPrompt(crashID(a.Server), now, a.prompt(), true)
	}
	if crash.call || crash.prompt {
		t.crashes = append(t.crashes, crash)
	}
	_, crashes, refused := t.evidence.crashState(a.Fingerprint, now)
	t.logger.Info("failure held against a call", zap.String("server", a.Server.ID), zap.Int64("born", a.Server.StartedAt), zap.Uint64("fingerprint", a.Fingerprint),
		zap.String("reason", reason), zap.Bool("counted-before", !crash.call), zap.Int("deaths", crashes), zap.Bool("refused", refused),
		zap.Int64("age-ms", int64(now-a.Sent)), zap.Int("events", a.Events), zap.Uint64s("parts", a.Parts[:min(len(a.Parts), maxLoggedParts)]))
	if crash.call && refused && t.quarantine != nil {
		t.quarantine.Put(a.Fingerprint, a.workspaceHash())
	}
}

// prompt returns the record of the call's prompt.
func (c Call) prompt() Prompt {
	return Prompt{Call: c.Fingerprint, Workspace: c.workspaceHash(), Parts: c.Parts}
}

// addPrompt records that a server crashed before it had answered a call with this prompt.
// It reports whether that was new. The host that observed the crash also quarantines the
// parts that are refused because of it. Calls in flight with such a part are revoked if
// no call with it was ever answered: they would crash their servers. The caller holds
// t.mu.
func (t *Tracker) addPrompt(crash string, at timer.Millis, p Prompt, observed bool) bool {
	refused, added := t.prompts.add(promptCrash{id: crash, call: p.Call, workspace: p.Workspace, parts: p.Parts, at: at}, t.clock.Now())
	for _, part := range refused {
		t.logger.Warn("part of prompts refused", zap.Uint64("part", part), zap.String("crash", crash), zap.Bool("observed-here", observed))
		if observed && t.quarantine != nil {
			t.quarantine.Put(part, p.Workspace)
		}
		if t.prompts.lastAnswer(part) == never {
			t.revoke(part)
		}
	}
	return added
}

// releaseParts records that calls with these parts were answered, by this host if here is
// set. The caller holds t.mu.
func (t *Tracker) releaseParts(parts []uint64, at timer.Millis, here bool) {
	for _, part := range t.prompts.sound(parts, at, here) {
		t.logger.Info("part of prompts released", zap.Uint64("part", part), zap.Bool("answered-here", here))
	}
}

// crashID returns the identifier of the crash of an incarnation, the same on all hosts.
func crashID(v cataloger.Incarnation) string {
	return v.ID + "@" + strconv.FormatInt(v.StartedAt, 36)
}

// Progressed records that a server has sent ProgressEvents events in answer to a call, so
// that no part of its prompt crashed the server.
func (t *Tracker) Progressed(c Call) {
	if len(c.Parts) == 0 {
		return
	}
	if t.quarantine != nil {
		t.quarantine.Remove(c.Parts...)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.releaseParts(c.Parts, t.clock.Now(), true)
}

// Completed records that a server answered a call completely. It is cheap unless the
// call is suspected or quarantined.
func (t *Tracker) Completed(c Call) {
	t.Progressed(c)
	if c.Owed {
		return
	}
	if t.quarantine != nil {
		t.quarantine.Remove(c.Fingerprint)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.evidence.crashes(c.Fingerprint)
	if len(list) == 0 {
		return
	}
	now := t.clock.Now()
	t.evidence.clear(c.Fingerprint, list, now)
	t.successes = append(t.successes, localSuccess{Success: Success{Fingerprint: c.Fingerprint, Crashes: list}, at: now})
}

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
	for part, at := range t.prompts.answeredHere(now-soundWindow, maxSoundReported) {
		out.SoundParts = append(out.SoundParts, SoundPart{Part: part, Age: now - at})
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
	p.Parts = t.prompts.recorded(p.Call, p.Parts)
	p.Parts = p.Parts[:min(len(p.Parts), max(minPartsReported, maxPartsReported/len(t.crashes)))]
	return p
}

// Merge applies the records of another host.
func (t *Tracker) Merge(r Records) {
	if len(r.Crashes)+len(r.Successes)+len(r.SoundParts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, s := range r.SoundParts {
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
