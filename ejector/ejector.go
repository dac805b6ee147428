// Package ejector keeps apart, for a while, backend servers that do not answer.
//
// It judges by what calls show, never by probes. A server that cannot be
// connected to, or from which no byte came for SilentAfter while calls wait at
// it, is ejected at once. One that broke answers off is ejected after several in
// a row, so that a server which fails a small part of its calls goes on. The
// time doubles with each ejection that follows soon, and any answer ends it.
//
// Hosts tell one another of calls that servers broke off, since a server that
// fails all at once looks idle to each host until it has failed there too. One
// from which several hosts tell of breaks is ejected here as well, unless a host
// says that it is well: so neither a host that is cut off from servers nor a
// server that fails a small part of its calls keeps the others away.
package ejector

import (
	"errors"
	"sync"

	"github.com/jackdawgate/jackdawgate/conveyor"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Constants of the judgement.
const (
	// SilentAfter is how long a server at which calls wait may send nothing.
	SilenceTimeout timer.Millis = 450
	// CrowdedSilentAfter is the same at a server whose slots are all taken.
	FullSilenceTimeout   timer.Millis = 1500
	minEjection          timer.Millis = 400
	maxEjection          timer.Millis = 3000
	maxConsecutiveBreaks              = 3
)

// Ejector is safe for concurrent use.
type Ejector struct {
	clock  timer.Clock
	logger *zap.Logger

	mu      sync.Mutex
	servers map[string]*record
	// doubtful are those of servers that may have to be told of.
	reportable map[string]*record
	// heard is when bytes last came from any server.
	lastHeard timer.Millis
	// told is how many breaks other hosts told of last.
	lastReported map[reportKey]uint32
}

type record struct {
	id     string
	logger *zap.Logger
	// ejected says that the server was ejected and has sent nothing since.
	ejected           bool
	ejectedUntil      timer.Millis
	nextEjection      timer.Millis
	consecutiveBreaks int
	// waiting counts calls that wait for bytes; heard is when bytes last came,
	// or since when calls wait without any.
	waiting   int
	lastHeard timer.Millis
	fleetState
}

// New returns an Ejector that logs which servers it keeps apart, and since when
// no longer.
func New(clock timer.Clock, l *zap.Logger) *Ejector {
	return &Ejector{clock: clock, logger: l, servers: make(map[string]*record), reportable: make(map[string]*record), lastReported: make(map[reportKey]uint32)}
}

func (e *Ejector) record(server string) *record {
	r, ok := e.servers[server]
	if !ok {
		r = &record{id: server, logger: e.logger, nextEjection: minEjection}
		e.servers[server] = r
	}
	return r
}

// Usable says whether calls may be sent to a server. At a crowded server, whose
// slots are all taken, a call may wait for long without a byte.
func (e *Ejector) Usable(server string, crowded bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.servers[server]
	if !ok {
		return true
	}
	now := e.clock.Now()
	bound := SilenceTimeout
	if crowded {
		bound = FullSilenceTimeout
	}
	if r.waiting > 0 && now-r.lastHeard > bound && now >= r.ejectedUntil {
		r.eject(now, "silent while calls wait")
	}
	return now >= r.ejectedUntil
}

// Begin says that a call begins to wait at a server.
func (e *Ejector) Begin(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record(server)
	if r.waiting == 0 {
		r.lastHeard = e.clock.Now()
	}
	r.waiting++
}

// End says that a call no longer waits at a server.
func (e *Ejector) End(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record(server).waiting--
}

// SilentAlone says whether a server has sent nothing for any call since an instant,
// while others have. A host that hears none is cut off itself.
func (e *Ejector) SilentAlone(server string, since timer.Millis) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.servers[server]
	return ok && r.lastHeard <= since && e.lastHeard > since
}

// Heard says that bytes came from a server.
func (e *Ejector) Heard(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record(server)
	r.lastHeard = e.clock.Now()
	e.lastHeard = r.lastHeard
	r.ejectedUntil = 0
	r.logRecovery("it sent something")
}

// Answered says that a server gave a whole answer.
func (e *Ejector) Answered(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record(server)
	r.reset(e.clock.Now())
}

// Failed records an exchange that ended with err. Whoever was not reached, or was
// silent, is not reachable for others either.
func (e *Ejector) Failed(server string, err error) {
	var silent *conveyor.SilentError
	if !conveyor.WasSent(err) || errors.As(err, &silent) {
		e.Unreachable(server)
		return
	}
	e.Broke(server)
}

// Unreachable says that no connection to a server could be made.
func (e *Ejector) Unreachable(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record(server).eject(e.clock.Now(), "not reached, or silent")
}

// Broke says that a server broke off a call.
func (e *Ejector) Broke(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record(server)
	r.consecutiveBreaks++
	now := e.clock.Now()
	r.breaks, r.breakAt = r.breaks+1, now
	e.reportable[server] = r
	if r.consecutiveBreaks >= maxConsecutiveBreaks {
		r.eject(now, "broke off calls in a row")
		return
	}
	r.recordBreak(now, thisHost)
}

// Forget drops what is known of servers for which known says no.
func (e *Ejector) Forget(known func(server string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, r := range e.servers {
		if r.waiting == 0 && !known(id) {
			delete(e.servers, id)
			delete(e.reportable, id)
		}
	}
	for t := range e.lastReported {
		if !known(t.server) {
			delete(e.lastReported, t)
		}
	}
}

// back notes that an ejected server is well again.
func (r *record) logRecovery(reason string) {
	if r.ejected {
		r.logger.Info("server back", zap.String("server", r.id), zap.String("reason", reason))
	}
	r.ejected = false
}

// answer notes a whole answer.
func (r *record) reset(now timer.Millis) {
	r.ejectedUntil, r.nextEjection, r.consecutiveBreaks = 0, minEjection, 0
	r.lastAnswer, r.recentBreaks = now, nil
}

// eject keeps the server apart for a while.
func (r *record) eject(now timer.Millis, reason string) {
	r.logger.Warn("server ejected", zap.String("server", r.id), zap.String("reason", reason), zap.Int64("for-ms", int64(r.nextEjection)),
		zap.Int("breaks", r.consecutiveBreaks), zap.Int("waiting", r.waiting), zap.Int("recent-breaks", len(r.recentBreaks)))
	r.ejected = true
	r.ejectedUntil = now + r.nextEjection
	r.nextEjection = min(2*r.nextEjection, maxEjection)
	r.lastHeard = now
}
