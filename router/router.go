// Package router chooses the backend server for a call.
//
// Choose is a pure function of a policy, a call and a small number of candidates.
// Three data structures provide its input. Each can be used on its own:
//
//   - Index finds candidates by model or service and by data centre. Up to
//     maxUnsampled servers are all candidates. From more servers a few are
//     sampled by a hash of the call, so that the work per call does not grow with
//     the fleet.
//   - Hints records which servers probably have which prompt prefixes cached.
//     Hints arrive late and some are missing. A wrong hint only costs a cache
//     miss.
//   - Backoff excludes servers that recently failed, for a time that doubles with
//     each further failure.
//
// Load reports lag, so the load of a candidate is the reported load plus the
// calls that this host has sent since the report was made. Leaving servers are
// never chosen. A server that recently failed is chosen only if there is no
// other.
package router

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Call holds the properties of a call that the choice depends on.
type Call struct {
	ID string
	// Model is the requested model, adapter or version. Service is the requested
	// plain service. One of them is empty.
	Model, Service string
	// DataCentre is the data centre of this host.
	DataCentre string
	// PrefixHashes holds hashes of increasingly long prefixes of the prompt,
	// shortest first.
	PrefixHashes []uint64
	// Sequence is the sequence number of the call on this host. Only RoundRobin
	// uses it.
	Sequence uint64
}

// Candidate is a backend server that could run a call.
type Candidate struct {
	Server, DataCentre string
	Slots              int
	// Reported is the number of calls that were running or waiting at the server
	// when its load was last reported. SentSinceReport is the number of calls that
	// this host has sent since then and that are still in flight.
	Reported, SentSinceReport int
	// CachedPrefixes is the number of entries of Call.PrefixHashes that the server
	// probably has cached.
	CachedPrefixes int
	// ModelLoaded reports whether the requested model, adapter and version is
	// loaded.
	ModelLoaded bool
	// Leaving reports whether the server is leaving. Leaving servers get no new
	// calls.
	Leaving bool
	// BackoffUntil is the time from which a server that failed may be chosen again.
	BackoffUntil timer.Millis
}

// Score is the cost of a candidate under the policy. Lower is better.
type Score struct {
	Server string
	Cost   float64
}

// Choice is the chosen server and the reason for choosing it.
type Choice struct {
	Server string
	// Reason is a short identifier for the log, in kebab case.
	Reason string
	Scores []Score
}

// NoCandidateError reports that no server can accept the call now.
type NoCandidateError struct {
	// Leaving is the number of servers that could run the call but are leaving.
	Leaving int
}

func (e *NoCandidateError) Error() string {
	return fmt.Sprintf("no backend server for the call, %d are leaving", e.Leaving)
}

// Policy is a routing policy: Random, RoundRobin, LeastLoad or Scored.
type Policy interface{ policy() }

// Random chooses a server by a hash of the call ID.
type Random struct{}

// RoundRobin chooses the servers in turn.
type RoundRobin struct{}

// LeastLoad chooses the server with the smallest fraction of its slots in use.
type LeastLoad struct{}

// Scored chooses the server with the lowest cost, which combines load, cached
// prefixes, distance and model loading. Its fields and the cost are fractions of a
// server's slots.
type Scored struct {
	// Cache is subtracted for a fully cached prompt, and proportionally less for a
	// partly cached one.
	Cache float64
	// Distance is the cost of a server in another data centre.
	Distance float64
	// Queue is the additional cost of each call per slot in excess of the slots.
	Queue float64
	// ModelLoad is the cost of having to load the model first.
	ModelLoad float64
}

func (Random) policy()     {}
func (RoundRobin) policy() {}
func (LeastLoad) policy()  {}
func (Scored) policy()     {}

// DefaultPolicy returns a Scored policy in which a fully cached prompt outweighs
// half of the slots being in use, but never a queue.
func DefaultPolicy() Policy { return Scored{Cache: 0.5, Distance: 0.1, Queue: 4, ModelLoad: 10} }

// PolicyByName returns the policy that has the given name in the settings.
func PolicyByName(name string) (Policy, bool) {
	switch name {
	case "scored":
		return DefaultPolicy(), true
	case "random":
		return Random{}, true
	case "round-robin":
		return RoundRobin{}, true
	case "least-load":
		return LeastLoad{}, true
	}
	return nil, false
}

// Choose returns the best candidate. Ties are broken by a hash of call and server,
// so that hosts with the same information do not all choose the same server. It
// returns a *NoCandidateError if all candidates are leaving or there are none.
func Choose(p Policy, c Call, candidates []Candidate, now timer.Millis) (Choice, error) {
	usable, reasonSuffix, err := usableCandidates(candidates, now)
	if err != nil {
		return Choice{}, err
	}
	switch p := p.(type) {
	case Random:
		return Choice{Server: usable[int(xxhash.Sum64String(c.ID)%uint64(len(usable)))].Server, Reason: "random" + reasonSuffix}, nil
	case RoundRobin:
		return Choice{Server: usable[int(c.Sequence%uint64(len(usable)))].Server, Reason: "round-robin" + reasonSuffix}, nil
	case Scored:
		return p.choose(c, usable, reasonSuffix), nil
	}
	choice := lowestCost(c, usable, Candidate.utilization)
	choice.Reason = "least-load" + reasonSuffix
	return choice, nil
}

// usableCandidates returns the candidates without leaving servers, and without
// those in backoff unless there are no others. The string is a suffix for
// Choice.Reason.
func usableCandidates(candidates []Candidate, now timer.Millis) ([]Candidate, string, error) {
	usable := make([]Candidate, 0, len(candidates))
	leaving := 0
	for _, c := range candidates {
		switch {
		case c.Leaving:
			leaving++
		case now >= c.BackoffUntil:
			usable = append(usable, c)
		}
	}
	if len(usable) > 0 {
		return usable, "", nil
	}
	for _, c := range candidates {
		if !c.Leaving {
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 {
		return nil, "", &NoCandidateError{Leaving: leaving}
	}
	return usable, "-all-failed", nil
}

func (p Scored) choose(c Call, usable []Candidate, reasonSuffix string) Choice {
	choice := lowestCost(c, usable, func(x Candidate) float64 { return p.cost(c, x) })
	choice.Reason = "score" + reasonSuffix
	for _, x := range usable {
		if x.Server == choice.Server && x.CachedPrefixes > 0 {
			choice.Reason = "score-cached" + reasonSuffix
		}
	}
	return choice
}

// cost returns the cost of x as a fraction of its slots.
func (p Scored) cost(c Call, x Candidate) float64 {
	use := x.utilization()
	cost := use + p.Queue*max(0, use-1)
	if len(c.PrefixHashes) > 0 {
		cost -= p.Cache * float64(min(x.CachedPrefixes, len(c.PrefixHashes))) / float64(len(c.PrefixHashes))
	}
	if x.DataCentre != c.DataCentre {
		cost += p.Distance
	}
	if !x.ModelLoaded {
		cost += p.ModelLoad
	}
	return cost
}

// utilization returns the fraction of the slots in use. It exceeds one if calls
// wait.
func (x Candidate) utilization() float64 {
	return float64(x.Reported+x.SentSinceReport) / float64(max(x.Slots, 1))
}

func lowestCost(c Call, usable []Candidate, cost func(Candidate) float64) Choice {
	choice := Choice{Scores: make([]Score, len(usable))}
	least, leastTie := 0.0, uint64(0)
	for i, x := range usable {
		s := Score{Server: x.Server, Cost: cost(x)}
		choice.Scores[i] = s
		tie := tieBreak(c.ID, x.Server)
		if i == 0 || s.Cost < least || (s.Cost == least && tie < leastTie) {
			choice.Server, least, leastTie = x.Server, s.Cost, tie
		}
	}
	return choice
}

func tieBreak(id, server string) uint64 {
	return mix(xxhash.Sum64String(id) ^ xxhash.Sum64String(server))
}

// mix is the 64-bit finalizer of MurmurHash3: every input bit affects all bits of
// the result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
