package suspector

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/quarantiner"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

const (
	// reportWindow is how long a record is included in what this host sends.
	reportWindow timer.Millis = 1500
	// failureWindow is how long after a failure of a server the failures of calls that
	// were sent there later are attributed to that same failure.
	failureWindow timer.Millis = 1500
	// unansweredWindow is how long a call counts that ended at a server without an
	// answer, in case the server turns out to have crashed.
	unansweredWindow = 15 * timer.Second
)

// maxUnanswered bounds the unanswered calls that are kept for one server; the oldest
// are dropped first.
const maxUnanswered = 64

// Fingerprint returns a hash that identifies a call: it is the same when the same
// workspace sends the same body to the same target again.
func Fingerprint(workspace, target string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(target)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// Tracker records the calls under which servers crash, from the observations of its own
// host and the records of the others. It is safe for concurrent use.
type Tracker struct {
	clock  timer.Clock
	logger *zap.Logger
	// quarantine keeps the quarantine of calls across restarts of hosts and grants
	// trials. It is nil for a host without a store.
	quarantine *quarantiner.Quarantiner

	mu       sync.Mutex
	evidence *evidence
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
	fingerprint uint64
	at          timer.Millis
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
		clock: c, logger: l, quarantine: q, evidence: newEvidence(),
		failedAt: make(map[cataloger.Incarnation]timer.Millis), unanswered: make(map[cataloger.Incarnation][]unansweredCall),
	}
}

// Admit reports whether a call may be sent to a server and, if not, after which wait
// the caller may retry. It calls the store only for a call that is quarantined or has
// enough crashes for it: once the wait of such a call is over, Admit claims a trial.
func (w *Tracker) Admit(ctx context.Context, fingerprint uint64) (wait timer.Millis, ok bool) {
	wait, suspected := w.wait(fingerprint)
	if wait > 0 {
		return wait, false
	}
	if w.quarantine == nil || !suspected {
		return 0, true
	}
	return w.quarantine.ClaimTrial(ctx, fingerprint)
}

// Refused reports whether a call is refused without asking the store for a trial, and
// for how long.
func (w *Tracker) Refused(fingerprint uint64) (timer.Millis, bool) {
	wait, _ := w.wait(fingerprint)
	return wait, wait > 0
}

// wait returns how long a call is refused, and whether it is suspected: enough servers
// crashed under it or the store has a record of it.
func (w *Tracker) wait(fingerprint uint64) (wait timer.Millis, suspected bool) {
	w.mu.Lock()
	since, crashes, suspected := w.evidence.verdict(fingerprint, w.clock.Now())
	w.mu.Unlock()
	if suspected {
		wait = max(0, quarantiner.Backoff(crashes-trackerRefusalCrashes)-since)
	}
	if w.quarantine == nil {
		return wait, suspected
	}
	if wait > 0 {
		// The host that observed the last crash may have stopped before it wrote the record.
		w.quarantine.Put(fingerprint)
	}
	more, known := w.quarantine.Wait(fingerprint)
	return max(wait, more), suspected || known
}

// Answered records that a server sent the beginning of an answer, so it is up.
func (w *Tracker) Answered(server cataloger.Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.failedAt, server)
	delete(w.unanswered, server)
}

// Follow applies the servers and the quarantined calls of a snapshot of the store.
func (w *Tracker) Follow(s cataloger.Snapshot) {
	w.Forget(func(i cataloger.Incarnation) bool {
		v, ok := s.Servers[i.ID]
		return ok && v.Incarnation() == i
	})
	if w.quarantine == nil {
		return
	}
	released := w.quarantine.Follow(s)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range released {
		w.evidence.clear(f, w.evidence.crashes(f), w.clock.Now())
	}
}

// Forget drops the state of servers for which known returns false. The recent calls that
// ended at such a server without an answer count as in flight at its crash.
func (w *Tracker) Forget(known func(server cataloger.Incarnation) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.failedAt, func(v cataloger.Incarnation, _ timer.Millis) bool { return !known(v) })
	for v := range w.unanswered {
		if !known(v) {
			w.countUnanswered(v)
		}
	}
}

// countUnanswered records the crash of a server for its recent unanswered calls.
func (w *Tracker) countUnanswered(server cataloger.Incarnation) {
	now := w.clock.Now()
	for _, c := range w.unanswered[server] {
		if now-c.at < unansweredWindow {
			w.recordCrash(server, c.fingerprint, "the server was removed after the call ended there without an answer")
		}
	}
	delete(w.unanswered, server)
}

// Unanswered records that a call ended at a server before the server answered it or
// failed. If the server turns out to have crashed, the crash counts against the call.
func (w *Tracker) Unanswered(server cataloger.Incarnation, fingerprint uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := append(w.unanswered[server], unansweredCall{fingerprint: fingerprint, at: w.clock.Now()})
	w.unanswered[server] = list[max(0, len(list)-maxUnanswered):]
}

// Failed records that an incarnation of a server broke off a call that was sent at the
// given time. The failure is not counted if the server had failed before that.
func (w *Tracker) Failed(server cataloger.Incarnation, fingerprint uint64, sent timer.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	since, ok := w.failedAt[server]
	if ok && sent >= since && now-since < failureWindow {
		w.logger.Info("failure not counted against a call", zap.String("server", server.ID), zap.Uint64("fingerprint", fingerprint),
			zap.String("reason", "the server failed before the call was sent"))
		return
	}
	if !ok || now-since >= failureWindow {
		w.failedAt[server] = now
	}
	w.recordCrash(server, fingerprint, "the server broke off the call")
}

// recordCrash records that a server crashed under a call. The caller holds w.mu.
func (w *Tracker) recordCrash(server cataloger.Incarnation, fingerprint uint64, reason string) {
	now := w.clock.Now()
	added := w.evidence.add(fingerprint, crashID(server), now, now)
	if added {
		w.crashes = append(w.crashes, localCrash{server: server, fingerprint: fingerprint, at: now})
	}
	_, crashes, refused := w.evidence.verdict(fingerprint, now)
	w.logger.Info("failure held against a call", zap.String("server", server.ID), zap.Int64("born", server.StartedAt), zap.Uint64("fingerprint", fingerprint),
		zap.String("reason", reason), zap.Bool("counted-before", !added), zap.Int("deaths", crashes), zap.Bool("refused", refused))
	if added && refused && w.quarantine != nil {
		w.quarantine.Put(fingerprint)
	}
}

// crashID returns the identifier of the crash of an incarnation, the same on all hosts.
func crashID(v cataloger.Incarnation) string {
	return v.ID + "@" + strconv.FormatInt(v.StartedAt, 36)
}

// Completed records that a server answered a call completely. It is cheap unless the
// call is suspected or quarantined.
func (w *Tracker) Completed(fingerprint uint64) {
	if w.quarantine != nil {
		w.quarantine.Remove(fingerprint)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.evidence.crashes(fingerprint)
	if len(list) == 0 {
		return
	}
	now := w.clock.Now()
	w.evidence.clear(fingerprint, list, now)
	w.successes = append(w.successes, localSuccess{Success: Success{Fingerprint: fingerprint, Crashes: list}, at: now})
}

// Records returns the records that this host sends to the others now: its own
// observations of the last reportWindow.
func (w *Tracker) Records() Records {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.crashes = slices.DeleteFunc(w.crashes, func(d localCrash) bool { return now-d.at > reportWindow })
	w.successes = slices.DeleteFunc(w.successes, func(s localSuccess) bool { return now-s.at > reportWindow })
	var out Records
	at := make(map[cataloger.Incarnation]int)
	for _, d := range w.crashes {
		i, ok := at[d.server]
		if !ok {
			i = len(out.Crashes)
			at[d.server] = i
			out.Crashes = append(out.Crashes, Crash{ID: crashID(d.server), Server: d.server.ID, Age: now - d.at})
		}
		out.Crashes[i].Fingerprints = append(out.Crashes[i].Fingerprints, d.fingerprint)
	}
	for _, s := range w.successes {
		s.Age = now - s.at
		out.Successes = append(out.Successes, s.Success)
	}
	return out
}

// Merge applies the records of another host.
func (w *Tracker) Merge(r Records) {
	if len(r.Crashes)+len(r.Successes) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	for _, d := range r.Crashes {
		if d.Age < 0 || d.Age >= suspectTime {
			continue
		}
		for _, f := range d.Fingerprints[:min(len(d.Fingerprints), maxInFlight)] {
			w.evidence.add(f, d.ID, now-d.Age, now)
		}
	}
	for _, s := range r.Successes {
		w.evidence.clear(s.Fingerprint, s.Crashes, now)
	}
}
