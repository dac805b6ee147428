package ejector

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// shareTime is for how long a break counts that a host told of.
	shareTime timer.Millis = 1000
	// tellFor is for how long a host tells of its last break at a server.
	tellFor timer.Millis = 1500
	// sharedBreaks is how many breaks within shareTime, by sharedHosts at least,
	// get a server ejected.
	sharedBreaks = 3
	sharedHosts  = 2
	// ownBreaks stands for this host among those that broke calls are told of.
	ownBreaks = ""
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
type teller struct{ host, incarnation, server string }

// shared is what is told and heard of a server.
type shared struct {
	// broke counts this host's breaks, brokeAt is when the last one was, and
	// answered when the server last gave this host a whole answer.
	broke    uint32
	brokeAt  timer.Millis
	answered timer.Millis
	// recent are the breaks of the last shareTime, of all hosts.
	recent []observed
	// doubted is when another host last told of a break.
	doubted timer.Millis
}

// observed is one break and the host that told of it.
type observed struct {
	at   timer.Millis
	host string
}

// Report returns what this host tells the others now.
func (e *Ejector) Report() Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	var out Report
	for id, r := range e.doubtful {
		if !r.brokeLately(now) && !r.doubtedLately(now) {
			delete(e.doubtful, id)
			continue
		}
		if r.brokeLately(now) {
			if out.Breaks == nil {
				out.Breaks = make(map[string]uint32)
			}
			out.Breaks[id] = r.broke
		}
		if r.doubtedLately(now) && r.answered != 0 && now-r.answered < shareTime {
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
		k := teller{host, incarnation, server}
		last, known := e.told[k]
		e.told[k] = count
		if known && count <= last {
			continue
		}
		r := e.record(server)
		r.doubted = now
		e.doubtful[server] = r
		r.suspect(now, host)
	}
	for _, server := range t.Well {
		if r, ok := e.servers[server]; ok && r.breaks == 0 {
			r.recent, r.until, r.next = nil, 0, leastTime
			r.back("another host says so")
		}
	}
}

// suspect notes a break and ejects the server if several hosts tell of breaks. A
// server that was ejected and has not answered since is ejected by the first one.
func (r *record) suspect(now timer.Millis, host string) {
	r.recent = slices.DeleteFunc(r.recent, func(o observed) bool { return now-o.at > shareTime })
	r.recent = append(r.recent, observed{now, host})
	if r.answered != 0 && now-r.answered < shareTime && r.breaks == 0 {
		return
	}
	if now >= r.until && (r.next > leastTime || (len(r.recent) >= sharedBreaks && r.hosts() >= sharedHosts)) {
		r.eject(now, "several hosts tell of breaks")
	}
}

// brokeLately says whether this host still tells of its last break.
func (r *record) brokeLately(now timer.Millis) bool { return r.broke > 0 && now-r.brokeAt < tellFor }

// doubtedLately says whether another host told of a break not long ago.
func (r *record) doubtedLately(now timer.Millis) bool {
	return r.doubted != 0 && now-r.doubted < tellFor
}

// hosts is how many hosts told of recent breaks.
func (r *record) hosts() int {
	seen := make(map[string]bool)
	for _, o := range r.recent {
		seen[o.host] = true
	}
	return len(seen)
}
