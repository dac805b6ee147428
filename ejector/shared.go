package ejector

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// breakWindow is how long a broken call counts towards the ejection of its
	// server.
	breakWindow timer.Millis = 1000
	// reportFor is how long a host reports its last broken call at a server.
	reportFor timer.Millis = 1500
	// A server is ejected after minBreaks broken calls within breakWindow, if at
	// least minHosts hosts reported them.
	minBreaks = 3
	minHosts  = 2
	// thisHost identifies this host among the hosts that report broken calls.
	thisHost = ""
)

// Report is what a host reports to the other hosts about servers.
type Report struct {
	// BrokenCalls counts the calls that each server broke off since the host started.
	// It contains only servers with a broken call within reportFor.
	BrokenCalls map[string]uint32 `cbor:"1,keyasint,omitempty"`
	// Healthy lists the servers for which other hosts report broken calls but which
	// answered this host within breakWindow.
	Healthy []string `cbor:"2,keyasint,omitempty"`
}

// reportKey identifies a server in the reports of one incarnation of a host.
type reportKey struct{ host, incarnation, server string }

// fleetState is the part of a record that is exchanged between hosts.
type fleetState struct {
	// breaks counts the calls of this host that the server broke off, breakAt is
	// when the last one broke, and lastAnswer when the server last sent this host a
	// complete answer.
	breaks     uint32
	breakAt    timer.Millis
	lastAnswer timer.Millis
	// recentBreaks are the broken calls of all hosts within breakWindow.
	recentBreaks []breakEvent
	// lastReport is when another host last reported a new broken call.
	lastReport timer.Millis
}

// breakEvent is a broken call and the host that reported it.
type breakEvent struct {
	at   timer.Millis
	host string
}

// Report returns the current report of this host.
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
			if out.BrokenCalls == nil {
				out.BrokenCalls = make(map[string]uint32)
			}
			out.BrokenCalls[id] = r.breaks
		}
		if r.reportedRecently(now) && r.lastAnswer != 0 && now-r.lastAnswer < breakWindow {
			out.Healthy = append(out.Healthy, id)
		}
	}
	return out
}

// Merge records the report t of an incarnation of another host. A count in BrokenCalls
// that has not grown since that incarnation's last report is ignored.
func (e *Ejector) Merge(host, incarnation string, t Report) {
	if len(t.BrokenCalls)+len(t.Healthy) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for server, count := range t.BrokenCalls {
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
	for _, server := range t.Healthy {
		if r, ok := e.servers[server]; ok && r.consecutiveBreaks == 0 {
			r.recentBreaks, r.ejectedUntil, r.nextEjection = nil, 0, minEjection
			r.markRecovered("reported healthy by another host")
		}
	}
}

// recordBreak records a broken call and ejects the server if several hosts report
// broken calls. A server that was ejected and has not answered since is ejected again
// by the first broken call. A server is not ejected if it answered this host within
// breakWindow and has broken no call of this host since.
func (r *record) recordBreak(now timer.Millis, host string) {
	r.recentBreaks = slices.DeleteFunc(r.recentBreaks, func(o breakEvent) bool { return now-o.at > breakWindow })
	r.recentBreaks = append(r.recentBreaks, breakEvent{now, host})
	if r.lastAnswer != 0 && now-r.lastAnswer < breakWindow && r.consecutiveBreaks == 0 {
		return
	}
	if now >= r.ejectedUntil && (r.nextEjection > minEjection || (len(r.recentBreaks) >= minBreaks && r.reportingHosts() >= minHosts)) {
		r.eject(now, "broken calls reported by several hosts")
	}
}

// hasBreak reports whether this host still reports its last broken call.
func (r *record) hasBreak(now timer.Millis) bool { return r.breaks > 0 && now-r.breakAt < reportFor }

// reportedRecently reports whether another host reported a broken call within
// reportFor.
func (r *record) reportedRecently(now timer.Millis) bool {
	return r.lastReport != 0 && now-r.lastReport < reportFor
}

// reportingHosts returns the number of hosts that reported recent broken calls.
func (r *record) reportingHosts() int {
	seen := make(map[string]bool)
	for _, o := range r.recentBreaks {
		seen[o.host] = true
	}
	return len(seen)
}
