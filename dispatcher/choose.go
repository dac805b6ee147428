package dispatcher

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/requester"
)

// Choice is a chosen backend server and the reason for the choice.
type Choice struct {
	Server string
	// Reason is one or two words for the log, in kebab case.
	Reason string
}

// Candidate is a backend server that can run a call.
type Candidate struct {
	Server registrar.BackendServer
	Load   Load
	// Competing is the number of calls on the server with which a new call shares
	// slots or for which it waits. For an online call it excludes the batch calls
	// that are evicted for online calls.
	Competing int
	// Known reports whether Load contains a report of the server's keeper host, or a
	// result of this host's own probes or calls.
	Known bool
}

// Chooser chooses a backend server for a call from candidates, of which there is at
// least one, in any order. It must not retain the slice.
type Chooser interface {
	Choose(r requester.Request, s coordinator.Snapshot, candidates []Candidate) Choice
}

// LeastInFlight chooses the server with the smallest share of its slots in use. Ties
// are broken by the identifier of the call, so that hosts with the same load
// information do not all choose the same server.
type LeastInFlight struct{}

// Choose implements Chooser.
func (LeastInFlight) Choose(r requester.Request, _ coordinator.Snapshot, candidates []Candidate) Choice {
	best := candidates[0]
	for _, c := range candidates[1:] {
		if lessUtilized(r.ID, c, best) {
			best = c
		}
	}
	return Choice{Server: best.Server.Name, Reason: "least-in-flight"}
}

func lessUtilized(id string, a, b Candidate) bool {
	x, y := a.utilization(), b.utilization()
	if x != y {
		return x < y
	}
	return tieBreak(id, a.Server.Name) < tieBreak(id, b.Server.Name)
}

// utilization returns the share of the server's slots in use. It exceeds one if calls
// wait.
func (c Candidate) utilization() float64 {
	return float64(c.Competing) / float64(max(c.Server.Slots, 1))
}

// candidate returns a server with its load, for a call of this class.
func (d *Dispatcher) candidate(s *coordinator.Snapshot, b *registrar.BackendServer, class requester.Class) Candidate {
	if s.Owns(coordinator.ServerObject(b.Name), d.options.Clock.Now()) {
		return d.ownCandidate(b, class)
	}
	return d.loads.candidate(b, class)
}

// candidates returns the servers that were found, without those in tried and those
// known to be unhealthy. If none remain, it returns the ones left out.
func (d *Dispatcher) candidates(r *requester.Request, s *coordinator.Snapshot, tried []string) []Candidate {
	servers := d.options.Finder.Find(r, s, tried)
	untried := make([]Candidate, 0, len(servers))
	var leftOut []Candidate
	for i := range servers {
		c := d.candidate(s, &servers[i], r.Class)
		if slices.Contains(tried, c.Server.Name) || (c.Known && !c.Load.Healthy) {
			leftOut = append(leftOut, c)
			continue
		}
		untried = append(untried, c)
	}
	if len(untried) == 0 {
		return leftOut
	}
	return untried
}
