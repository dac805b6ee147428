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

// localCrash is a crash of a server under a call, as observed by this host.
type localCrash struct {
	server      cataloger.Incarnation
	fingerprint uint64
	at          timer.Millis
}

// localSuccess is an answer to a suspected call, as observed by this host.
type localSuccess struct {
	Success
	at timer.Millis
}

// NewTracker returns a Tracker without records. q may be nil.
func NewTracker(c timer.Clock, l *zap.Logger, q *quarantiner.Quarantiner) *Tracker {
	return &Tracker{
		clock: c, logger: l, quarantine: q, evidence: newCrashRecords(),
		failedAt: make(map[cataloger.Incarnation]timer.Millis), unanswered: make(map[cataloger.Incarnation][]unansweredCall),
	}
}

// Admit reports whether a call may be sent to a server and, if not, after which wait
// the caller may retry. It calls the store only for a call that is quarantined or has
// enough crashes for it: once the wait of such a call is over, Admit claims a trial.
func (t *Tracker) Admit(ctx context.Context, c Call) (wait timer.Millis, ok bool) {
	wait, suspected := t.wait(c.Fingerprint)
	if wait > 0 {
		return wait, false
	}
	if t.quarantine == nil || !suspected {
		return 0, true
	}
	return t.quarantine.ClaimTrial(ctx, c.Fingerprint)
}

// Refused reports whether a call is refused without requesting a trial from the
// store, and for how long.
func (t *Tracker) Refused(c Call) (timer.Millis, bool) {
	wait, _ := t.wait(c.Fingerprint)
	return wait, wait > 0
}

// wait returns how long a call is refused, and whether it is suspected: enough servers
// crashed under it or the store has a record of it.
func (t *Tracker) wait(fingerprint uint64) (wait timer.Millis, suspected bool) {
	t.mu.Lock()
	since, crashes, suspected := t.evidence.crashState(fingerprint, t.clock.Now())
	t.mu.Unlock()
	if suspected {
		wait = max(0, quarantiner.Backoff(crashes-trackerRefusalCrashes)-since)
	}
	if t.quarantine == nil {
		return wait, suspected
	}
	if wait > 0 {
		// The host that observed the last crash may have stopped before it wrote the record.
		t.quarantine.Put(fingerprint)
	}
	more, known := t.quarantine.Wait(fingerprint)
	return max(wait, more), suspected || known
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
	for _, f := range released {
		t.evidence.clear(f, t.evidence.crashes(f), t.clock.Now())
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
	added := t.evidence.add(a.Fingerprint, crashID(a.Server), now, now)
	if added {
		t.crashes = append(t.crashes, localCrash{server: a.Server, fingerprint: a.Fingerprint, at: now})
	}
	_, crashes, refused := t.evidence.crashState(a.Fingerprint, now)
	t.logger.Info("failure held against a call", zap.String("server", a.Server.ID), zap.Int64("born", a.Server.StartedAt), zap.Uint64("fingerprint", a.Fingerprint),
		zap.String("reason", reason), zap.Bool("counted-before", !added), zap.Int("deaths", crashes), zap.Bool("refused", refused),
		zap.Int64("age-ms", int64(now-a.Sent)), zap.Int("events", a.Events), zap.Uint64s("parts", a.Parts[:min(len(a.Parts), maxLoggedParts)]))
	if added && refused && t.quarantine != nil {
		t.quarantine.Put(a.Fingerprint)
	}
}

// crashID returns the identifier of the crash of an incarnation, the same on all hosts.
func crashID(v cataloger.Incarnation) string {
	return v.ID + "@" + strconv.FormatInt(v.StartedAt, 36)
}

// Completed records that a server answered a call completely. It is cheap unless the
// call is suspected or quarantined.
func (t *Tracker) Completed(c Call) {
	fingerprint := c.Fingerprint
	if t.quarantine != nil {
		t.quarantine.Remove(fingerprint)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.evidence.crashes(fingerprint)
	if len(list) == 0 {
		return
	}
	now := t.clock.Now()
	t.evidence.clear(fingerprint, list, now)
	t.successes = append(t.successes, localSuccess{Success: Success{Fingerprint: fingerprint, Crashes: list}, at: now})
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
		i, ok := at[c.server]
		if !ok {
			i = len(out.Crashes)
			at[c.server] = i
			out.Crashes = append(out.Crashes, Crash{ID: crashID(c.server), Server: c.server.ID, Age: now - c.at})
		}
		out.Crashes[i].Fingerprints = append(out.Crashes[i].Fingerprints, c.fingerprint)
	}
	for _, s := range t.successes {
		s.Age = now - s.at
		out.Successes = append(out.Successes, s.Success)
	}
	return out
}

// Merge applies the records of another host.
func (t *Tracker) Merge(r Records) {
	if len(r.Crashes)+len(r.Successes) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, c := range r.Crashes {
		if c.Age < 0 || c.Age >= suspectTime {
			continue
		}
		for _, f := range c.Fingerprints[:min(len(c.Fingerprints), maxInFlight)] {
			t.evidence.add(f, c.ID, now-c.Age, now)
		}
	}
	for _, s := range r.Successes {
		t.evidence.clear(s.Fingerprint, s.Crashes, now)
	}
}
