package ejector

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// shareTime is for how long a break counts that a host told of.
	breakWindow timer.Millis = 1000
	// tellFor is for how long a host tells of its last break at a server.
	reportFor timer.Millis = 1500
	// sharedBreaks is how many breaks within shareTime, by sharedHosts at least,
	// get a server ejected.
	minBreaks = 3
	minHosts  = 2
	// ownBreaks stands for this host among those that broke calls are told of.
	thisHost = ""
)

// Report is what a host tells of servers.
type Report struct {
	// Breaks counts the calls that servers broke off since the host started, for
	// those where that happened lately.
	Breaks map[string]uint32 `cbor:"1,keyasint,omitempty"`
	// Well are servers that others say break calls off and that answered this
	// host lately.
	Well []string `cbor:"2,keyasint,omitempty"`
}

// teller is one incarnation of a host and a server that it told of.
type reportKey struct{ host, incarnation, server string }

// shared is what is told and heard of a server.
type fleetState struct {
	// broke counts this host's breaks, brokeAt is when the last one was, and
	// answered when the server last gave this host a whole answer.
	breaks     uint32
	breakAt    timer.Millis
	lastAnswer timer.Millis
	// recent are the breaks of the last shareTime, of all hosts.
	recentBreaks []breakEvent
	// doubted is when another host last told of a break.
	lastReport timer.Millis
}

// observed is one break and the host that told of it.
type breakEvent struct {
	at   timer.Millis
	host string
}

// Report returns what this host tells the others now.
func (e *Ejector) Report() Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	var out Report
	for id, r := range e.reportable {
		if !r.hasBreak(now) && !r.reportedRecently(now) {
			delete(e.reportable, id)
			continue
		}
		if r.hasBreak(now) {
			if out.Breaks == nil {
				out.Breaks = make(map[string]uint32)
			}
			out.Breaks[id] = r.breaks
		}
		if r.reportedRecently(now) && r.lastAnswer != 0 && now-r.lastAnswer < breakWindow {
			out.Well = append(out.Well, id)
		}
	}
	return out
}

// Hear takes in what an incarnation of another host told.
func (e *Ejector) Hear(host, incarnation string, t Report) {
	if len(t.Breaks)+len(t.Well) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for server, count := range t.Breaks {
		k := reportKey{host, incarnation, server}
		last, known := e.lastReported[k]
		e.lastReported[k] = count
		if known && count <= last {
			continue
		}
		r := e.record(server)
		r.lastReport = now
		e.reportable[server] = r
		r.recordBreak(now, host)
	}
	for _, server := range t.Well {
		if r, ok := e.servers[server]; ok && r.consecutiveBreaks == 0 {
			r.recentBreaks, r.ejectedUntil, r.nextEjection = nil, 0, minEjection
			r.logRecovery("another host says so")
		}
	}
}

// suspect notes a break and ejects the server if several hosts tell of breaks. A
// server that was ejected and has not answered since is ejected by the first one.
func (r *record) recordBreak(now timer.Millis, host string) {
	r.recentBreaks = slices.DeleteFunc(r.recentBreaks, func(o breakEvent) bool { return now-o.at > breakWindow })
	r.recentBreaks = append(r.recentBreaks, breakEvent{now, host})
	if r.lastAnswer != 0 && now-r.lastAnswer < breakWindow && r.consecutiveBreaks == 0 {
		return
	}
	if now >= r.ejectedUntil && (r.nextEjection > minEjection || (len(r.recentBreaks) >= minBreaks && r.reportingHosts() >= minHosts)) {
		r.eject(now, "several hosts tell of breaks")
	}
}

// brokeLately says whether this host still tells of its last break.
func (r *record) hasBreak(now timer.Millis) bool { return r.breaks > 0 && now-r.breakAt < reportFor }

// doubtedLately says whether another host told of a break not long ago.
func (r *record) reportedRecently(now timer.Millis) bool {
	return r.lastReport != 0 && now-r.lastReport < reportFor
}

// hosts is how many hosts told of recent breaks.
func (r *record) reportingHosts() int {
	seen := make(map[string]bool)
	for _, o := range r.recentBreaks {
		seen[o.host] = true
	}
	return len(seen)
}
