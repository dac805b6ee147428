package suspector

import (
	"maps"
	"slices"
	"strconv"
	"sync"

	"github.com/jackdawgate/jackdawgate/attributor"
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
	// answerWindow is how long after a crash this host reports which parts of the prompts
	// that were in flight it has answered.
	answerWindow = 3 * timer.Second
)

const (
	// maxUnanswered bounds the unanswered calls that are kept for one server; the oldest
	// are dropped first.
	maxUnanswered = 64
	// maxLocalCrashes bounds the crashes that this host observed and reports. All of them
	// must fit into one datagram.
	maxLocalCrashes = 256
)

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
	prompts  *attributor.Attributor
	// flights are the attempts that have not been answered yet.
	flights map[*Flight]bool
	// failedAt holds the last failure of each server that has not answered since.
	failedAt map[cataloger.Incarnation]timer.Millis
	// unanswered holds the calls that ended at a server before it answered or failed,
	// for servers that have answered nothing since.
	unanswered map[cataloger.Incarnation][]unansweredCall
	// crashes and successes are what this host observed within the last reportWindow,
	// oldest first; of the crashes maxLocalCrashes at most.
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
		clock: c, logger: l, quarantine: q, evidence: newCrashRecords(), prompts: attributor.New(), flights: make(map[*Flight]bool),
		failedAt: make(map[cataloger.Incarnation]timer.Millis), unanswered: make(map[cataloger.Incarnation][]unansweredCall),
	}
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

// recordCrash records that a server crashed under a call. The caller holds t.mu.
func (t *Tracker) recordCrash(a Attempt, reason string) {
	now := t.clock.Now()
	crash := localCrash{Attempt: a, at: now}
	crash.call = !a.Batch && t.evidence.add(a.Fingerprint, crashID(a.Server), now, now)
	if a.Events < ProgressEvents {
		crash.prompt = t.addPrompt(crashID(a.Server), now, a.prompt(), true)
	}
	if crash.call || crash.prompt {
		t.crashes = append(t.crashes, crash)
		t.dropExcessCrash()
	}
	_, crashes, refused := t.evidence.crashState(a.Fingerprint, now)
	t.logger.Info("crash attributed to a call", zap.String("server", a.Server.ID), zap.Int64("started-at", a.Server.StartedAt), zap.Uint64("fingerprint", a.Fingerprint),
		zap.String("reason", reason), zap.Bool("counted-before", !crash.call), zap.Int("crashes", crashes), zap.Bool("refused", refused),
		zap.Int64("age-ms", int64(now-a.Sent)), zap.Int("events", a.Events), a.PartsField())
	if crash.call && refused && t.quarantine != nil {
		t.quarantine.Put(a.Fingerprint, a.workspaceHash())
	}
}

// dropExcessCrash drops the oldest of the crashes to report of the workspace that has most
// of them, if there are too many. The caller holds t.mu.
func (t *Tracker) dropExcessCrash() {
	if len(t.crashes) <= maxLocalCrashes {
		return
	}
	counts := make(map[string]int)
	most := t.crashes[0].Workspace
	for _, c := range t.crashes {
		if counts[c.Workspace]++; counts[c.Workspace] > counts[most] {
			most = c.Workspace
		}
	}
	i := slices.IndexFunc(t.crashes, func(c localCrash) bool { return c.Workspace == most })
	t.crashes = slices.Delete(t.crashes, i, i+1)
}

// addPrompt records that a server crashed before it had answered a call with this prompt.
// It reports whether that was new. The host that observed the crash also quarantines the
// parts that are refused because of it. Calls in flight with such a part are revoked if
// no call with it was ever answered: they would crash their servers. The caller holds
// t.mu.
func (t *Tracker) addPrompt(crash string, at timer.Millis, p Prompt, observed bool) bool {
	change, added := t.prompts.Add(p.crash(crash, at), t.clock.Now())
	for _, part := range change.Refused {
		t.logger.Warn("part of prompts refused", zap.Uint64("part", part), zap.String("crash", crash), zap.Bool("observed-here", observed))
		if observed && t.quarantine != nil {
			t.quarantine.Put(part, p.Workspace)
		}
		if _, answered := t.prompts.LastAnswer(part); !answered {
			t.revoke(part)
		}
	}
	for _, part := range change.Released {
		t.logger.Info("part of prompts released", zap.Uint64("part", part), zap.String("crash", crash))
	}
	if t.quarantine != nil {
		t.quarantine.Remove(change.Released...)
	}
	return added
}

// releaseParts records that calls with these parts were answered, by this host if here is
// set. The caller holds t.mu.
func (t *Tracker) releaseParts(parts []uint64, at timer.Millis, here bool) {
	for _, part := range t.prompts.Answered(parts, at, here) {
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
	if c.Batch {
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
