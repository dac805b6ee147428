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
	// tellFor is for how long a record is told to the other hosts.
	tellFor timer.Millis = 1500
	// failingFor is for how long after a failure calls that come to the server and
	// fail are taken for victims of the same failure.
	failingFor timer.Millis = 1500
	// leftFor is for how long it is remembered which calls ended at a server that
	// had not answered them.
	leftFor = 15 * timer.Second
)

// maxLeft is how many of the calls that ended at one server are remembered.
const maxLeft = 64

// Fingerprint names a call by what makes it the same when it comes again.
func Fingerprint(workspace, target string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(target)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// Witness knows the calls under which servers end, from what its own host sees
// and what others tell. It is safe for concurrent use.
type Witness struct {
	clock  timer.Clock
	logger *zap.Logger
	// quarantine keeps calls apart beyond the life of a host and grants trials; nil
	// for a host that knows no store.
	quarantine *quarantiner.Quarantiner

	mu       sync.Mutex
	evidence *evidence
	// failing is when servers last failed that have not answered since.
	failing map[cataloger.Incarnation]timer.Millis
	// left are the calls that ended at servers before any answer or failure, and
	// when; those servers have answered nothing since.
	left map[cataloger.Incarnation][]leftCall
	// deaths and survivals are what this host saw in the last tellFor, oldest first.
	deaths    []ownDeath
	survivals []ownSurvival
}

// leftCall is a call that ended at a server before the server answered it or failed.
type leftCall struct {
	fingerprint uint64
	at          timer.Millis
}

// ownDeath is an end of a server under a call that this host saw, ownSurvival an
// answer to a call that was suspected.
type ownDeath struct {
	server      cataloger.Incarnation
	fingerprint uint64
	at          timer.Millis
}

type ownSurvival struct {
	Survival
	at timer.Millis
}

// NewWitness returns a Witness that knows nothing. q may be nil.
func NewWitness(c timer.Clock, l *zap.Logger, q *quarantiner.Quarantiner) *Witness {
	return &Witness{
		clock: c, logger: l, quarantine: q, evidence: newEvidence(),
		failing: make(map[cataloger.Incarnation]timer.Millis), left: make(map[cataloger.Incarnation][]leftCall),
	}
}

// Admit says whether a call may be sent to a server, and if not, when it may come
// back. It costs nothing but for a call that servers ended under often: of that it
// asks the store for a trial once its term is over.
func (w *Witness) Admit(ctx context.Context, fingerprint uint64) (wait timer.Millis, ok bool) {
	wait, suspected := w.wait(fingerprint)
	if wait > 0 {
		return wait, false
	}
	if w.quarantine == nil || !suspected {
		return 0, true
	}
	return w.quarantine.Claim(ctx, fingerprint)
}

// Refused says whether a call is refused whatever the store grants, and for how long.
func (w *Witness) Refused(fingerprint uint64) (timer.Millis, bool) {
	wait, _ := w.wait(fingerprint)
	return wait, wait > 0
}

// wait says for how long a call is refused, and whether enough servers ended under it
// or the store has a record of it.
func (w *Witness) wait(fingerprint uint64) (wait timer.Millis, suspected bool) {
	w.mu.Lock()
	since, deaths, suspected := w.evidence.verdict(fingerprint, w.clock.Now())
	w.mu.Unlock()
	if suspected {
		wait = max(0, quarantiner.Term(deaths-deathsToRefuse)-since)
	}
	if w.quarantine == nil {
		return wait, suspected
	}
	if wait > 0 {
		// Whoever saw the last death may have ended before it wrote this.
		w.quarantine.Put(fingerprint)
	}
	more, known := w.quarantine.Wait(fingerprint)
	return max(wait, more), suspected || known
}

// Answered records that a server sent the beginning of an answer.
func (w *Witness) Answered(server cataloger.Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.failing, server)
	delete(w.left, server)
}

// Follow takes over what the store says of servers and of calls that are kept apart.
func (w *Witness) Follow(s cataloger.Snapshot) {
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
		w.evidence.clear(f, w.evidence.deaths(f), w.clock.Now())
	}
}

// Forget drops what is known of servers for which known says no. Calls that had
// ended there without an answer are taken to have been there when it ended.
func (w *Witness) Forget(known func(server cataloger.Incarnation) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.failing, func(v cataloger.Incarnation, _ timer.Millis) bool { return !known(v) })
	for v := range w.left {
		if !known(v) {
			w.ended(v)
		}
	}
}

// ended holds a server's end against the calls that were left there.
func (w *Witness) ended(server cataloger.Incarnation) {
	now := w.clock.Now()
	for _, c := range w.left[server] {
		if now-c.at < leftFor {
			w.count(server, c.fingerprint, "the server ended after the call was left")
		}
	}
	delete(w.left, server)
}

// Left records that a call ended at a server before the server answered it or
// failed. If the server turns out to have ended, it ended under the call.
func (w *Witness) Left(server cataloger.Incarnation, fingerprint uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := append(w.left[server], leftCall{fingerprint: fingerprint, at: w.clock.Now()})
	w.left[server] = list[max(0, len(list)-maxLeft):]
}

// Failed records that an incarnation of a server broke a call off that had been
// sent at an instant.
func (w *Witness) Failed(server cataloger.Incarnation, fingerprint uint64, sent timer.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	since, ok := w.failing[server]
	if ok && sent >= since && now-since < failingFor {
		w.logger.Info("failure not held against a call", zap.String("server", server.ID), zap.Uint64("fingerprint", fingerprint),
			zap.String("reason", "the server failed before the call came"))
		return
	}
	if !ok || now-since >= failingFor {
		w.failing[server] = now
	}
	w.count(server, fingerprint, "the server broke it off")
}

// count notes that a server ended under a call.
func (w *Witness) count(server cataloger.Incarnation, fingerprint uint64, reason string) {
	now := w.clock.Now()
	news := w.evidence.add(fingerprint, deathID(server), now, now)
	if news {
		w.deaths = append(w.deaths, ownDeath{server: server, fingerprint: fingerprint, at: now})
	}
	_, deaths, refused := w.evidence.verdict(fingerprint, now)
	w.logger.Info("failure held against a call", zap.String("server", server.ID), zap.Int64("born", server.Born), zap.Uint64("fingerprint", fingerprint),
		zap.String("reason", reason), zap.Bool("counted-before", !news), zap.Int("deaths", deaths), zap.Bool("refused", refused))
	if news && refused && w.quarantine != nil {
		w.quarantine.Put(fingerprint)
	}
}

// deathID names the end of an incarnation, the same on all hosts.
func deathID(v cataloger.Incarnation) string {
	return v.ID + "@" + strconv.FormatInt(v.Born, 36)
}

// Survived records that a server answered a call to its end. It costs nothing
// unless the call is suspected.
func (w *Witness) Survived(fingerprint uint64) {
	if w.quarantine != nil {
		w.quarantine.Remove(fingerprint)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.evidence.deaths(fingerprint)
	if len(list) == 0 {
		return
	}
	now := w.clock.Now()
	w.evidence.clear(fingerprint, list, now)
	w.survivals = append(w.survivals, ownSurvival{Survival: Survival{Fingerprint: fingerprint, Deaths: list}, at: now})
}

// Told returns what this host tells the others now.
func (w *Witness) Told() Records {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.deaths = slices.DeleteFunc(w.deaths, func(d ownDeath) bool { return now-d.at > tellFor })
	w.survivals = slices.DeleteFunc(w.survivals, func(s ownSurvival) bool { return now-s.at > tellFor })
	var out Records
	at := make(map[cataloger.Incarnation]int)
	for _, d := range w.deaths {
		i, ok := at[d.server]
		if !ok {
			i = len(out.Deaths)
			at[d.server] = i
			out.Deaths = append(out.Deaths, Death{ID: deathID(d.server), Server: d.server.ID, Age: now - d.at})
		}
		out.Deaths[i].Fingerprints = append(out.Deaths[i].Fingerprints, d.fingerprint)
	}
	for _, s := range w.survivals {
		s.Age = now - s.at
		out.Survivals = append(out.Survivals, s.Survival)
	}
	return out
}

// Hear takes in what another host told.
func (w *Witness) Hear(r Records) {
	if len(r.Deaths)+len(r.Survivals) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	for _, d := range r.Deaths {
		if d.Age < 0 || d.Age >= suspectTime {
			continue
		}
		for _, f := range d.Fingerprints[:min(len(d.Fingerprints), maxInFlight)] {
			w.evidence.add(f, d.ID, now-d.Age, now)
		}
	}
	for _, s := range r.Survivals {
		w.evidence.clear(s.Fingerprint, s.Deaths, now)
	}
}
