// Package ejector temporarily ejects backend servers that do not answer, so that no
// calls are sent to them.
//
// It relies on the results of calls, never on probes. A server is ejected at once if
// no connection to it can be made, or if it sends nothing for SilenceTimeout while
// calls wait for it. A server that breaks calls off is ejected only after several
// consecutive broken calls, so that one which fails a small part of its calls remains in
// use. The duration of the ejection doubles with each further one until the server
// answers, and any bytes from it end the ejection. If a server broke calls off with bytes that
// are no part of an answer, only a complete answer does.
//
// Hosts report broken calls to each other, since a server that fails every call at
// once looks idle to each host until it has failed there too. A server for which
// several hosts report broken calls is ejected by this host as well, unless a host
// reports it as healthy. So neither a host that is cut off from servers nor a server
// that fails a small part of its calls causes ejections on the other hosts.
package ejector

import (
	"errors"
	"sync"

	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/jackdawgate/jackdawgate/transporter"
	"go.uber.org/zap"
)

// Thresholds and durations of ejections.
const (
	// SilenceTimeout is how long a server may send nothing while calls wait for it. Callers
	// leave a stream after two seconds without an event at the earliest: four servers can be
	// tried until then.
	SilenceTimeout timer.Millis = 450
	// FullSilenceTimeout is the SilenceTimeout of a server whose slots are all taken. It
	// leaves a SilenceTimeout for another server before callers leave.
	FullSilenceTimeout timer.Millis = 1500
	// minEjection is the duration of the first ejection, about the time that it took to
	// notice. maxEjection bounds the doubled ones: a server that is well again is without
	// calls for that long at most.
	minEjection timer.Millis = 400
	maxEjection timer.Millis = 3000
	// breaksToEject is the number of consecutive broken calls that eject a server.
	breaksToEject = 3
)

// Ejector records the results of calls and decides which servers are usable. It is
// safe for concurrent use.
type Ejector struct {
	clock  timer.Clock
	logger *zap.Logger

	mu      sync.Mutex
	servers map[string]*record
	// reportable is the subset of servers that Report may have to include.
	reportable map[string]*record
	// lastHeard is when bytes last came from any server.
	lastHeard timer.Millis
	// lastReported holds the counts of broken calls that other hosts reported last.
	lastReported map[reportKey]uint32
}

// record is the state of one server. It is guarded by Ejector.mu.
type record struct {
	id     string
	logger *zap.Logger
	// ejected is set from an ejection until the server sends something again or is
	// reported as healthy. The server is unusable until ejectedUntil.
	ejected      bool
	ejectedUntil timer.Millis
	// nextEjection is the duration of the next ejection.
	nextEjection      timer.Millis
	consecutiveBreaks int
	// violated is set if the server sent bytes that are no part of an answer, since its last
	// complete answer.
	violated bool
	// waiting counts the calls that wait for the server. lastHeard is when bytes
	// last came from it, or when calls began to wait without any, or when it was
	// ejected.
	waiting   int
	lastHeard timer.Millis
	fleetState
}

// New returns an Ejector that logs ejections and their ends.
func New(clock timer.Clock, l *zap.Logger) *Ejector {
	return &Ejector{clock: clock, logger: l, servers: make(map[string]*record), reportable: make(map[string]*record), lastReported: make(map[reportKey]uint32)}
}

// record returns the record of a server, which it adds if there is none. e.mu must be
// held.
func (e *Ejector) record(server string) *record {
	r, ok := e.servers[server]
	if !ok {
		r = &record{id: server, logger: e.logger, nextEjection: minEjection}
		e.servers[server] = r
	}
	return r
}

// Usable reports whether calls may be sent to a server. full is set if its slots are
// all taken: calls may then wait longer before the server sends a byte.
func (e *Ejector) Usable(server string, full bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.servers[server]
	if !ok {
		return true
	}
	now := e.clock.Now()
	bound := SilenceTimeout
	if full {
		bound = FullSilenceTimeout
	}
	if r.waiting > 0 && now-r.lastHeard > bound && now >= r.ejectedUntil {
		r.eject(now, "no bytes within the silence timeout")
	}
	return now >= r.ejectedUntil
}

// Begin records that a call begins to wait for a server.
func (e *Ejector) Begin(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record(server)
	if r.waiting == 0 {
		r.lastHeard = e.clock.Now()
	}
	r.waiting++
}

// End records that a call no longer waits for a server.
func (e *Ejector) End(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record(server).waiting--
}

// SilentAlone reports whether a server has sent nothing to any call since an instant
// while other servers have. If no server has sent anything, this host may itself be
// cut off.
func (e *Ejector) SilentAlone(server string, since timer.Millis) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.servers[server]
	return ok && r.lastHeard <= since && e.lastHeard > since
}

// BytesReceived records that a server sent bytes. It ends an ejection, unless bytes of this
// server were no part of an answer.
func (e *Ejector) BytesReceived(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record(server)
	r.lastHeard = e.clock.Now()
	e.lastHeard = r.lastHeard
	if r.violated {
		return
	}
	r.ejectedUntil = 0
	r.markRecovered("received bytes")
}

// Succeeded records that a server sent a complete answer.
func (e *Ejector) Succeeded(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record(server)
	r.reset(e.clock.Now())
}

// Failed records an exchange that failed with err. A server that could not be reached
// or was silent counts as unreachable for all calls; otherwise it broke the call off. An error
// that is not of package transporter means that whoever read the answer rejected its content.
func (e *Ejector) Failed(server string, err error) {
	var silent *transporter.SilentError
	if !transporter.WasSent(err) || errors.As(err, &silent) {
		e.Unreachable(server)
		return
	}
	var broken *transporter.BrokenError
	e.breakCall(server, !errors.As(err, &broken))
}

// Unreachable records that a server could not be reached or was silent, and ejects it.
func (e *Ejector) Unreachable(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record(server).eject(e.clock.Now(), "unreachable or silent")
}

// CallBroken records that a server broke off a call: its connection ended before a
// complete answer, or carried an invalid one.
func (e *Ejector) CallBroken(server string) { e.breakCall(server, false) }

// breakCall is CallBroken. violated is set if the server sent bytes that are no part of an answer.
func (e *Ejector) breakCall(server string, violated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record(server)
	r.violated = r.violated || violated
	r.consecutiveBreaks++
	now := e.clock.Now()
	r.breaks, r.breakAt = r.breaks+1, now
	e.reportable[server] = r
	if r.consecutiveBreaks >= breaksToEject {
		r.eject(now, "consecutive broken calls")
		return
	}
	r.recordBreak(now, thisHost)
}

// Retain drops the state of servers for which known returns false, unless calls wait
// for them.
func (e *Ejector) Retain(known func(server string) bool) {
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

// markRecovered ends the ejected state of a server and logs it.
func (r *record) markRecovered(reason string) {
	if r.ejected {
		r.logger.Info("server back", zap.String("server", r.id), zap.String("reason", reason))
	}
	r.ejected = false
}

// reset ends an ejection after a complete answer and clears the record of failures.
func (r *record) reset(now timer.Millis) {
	r.ejectedUntil, r.nextEjection, r.consecutiveBreaks, r.violated = 0, minEjection, 0, false
	r.lastAnswer, r.recentBreaks = now, nil
}

// eject makes the server unusable for nextEjection, and doubles that up to
// maxEjection.
func (r *record) eject(now timer.Millis, reason string) {
	r.logger.Warn("server ejected", zap.String("server", r.id), zap.String("reason", reason), zap.Int64("for-ms", int64(r.nextEjection)),
		zap.Int("breaks", r.consecutiveBreaks), zap.Int("waiting", r.waiting), zap.Int("recent-breaks", len(r.recentBreaks)))
	r.ejected = true
	r.ejectedUntil = now + r.nextEjection
	r.nextEjection = min(2*r.nextEjection, maxEjection)
	r.lastHeard = now
}
