// Package selector chooses the backend server of a call. It is pure.
//
// Engines admit calls in order of arrival, without priorities, so the best server
// is the one with the fewest calls; a call that must wait waits least there.
// Batch calls can be evicted in favour of online ones and count a little less.
package selector

import (
	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/cataloger"
)

// Weights of the compared properties, in calls.
const (
	batchWeight      = 0.85
	farWeight        = 0.25
	coldPromptWeight = 0.2
	// slowdownWeight is added for a server whose slowdown factor is two.
	slowdownWeight = 0.75
)

// Candidate is a server that could take a call.
type Candidate struct {
	Server cataloger.Server
	// Online and Batch are the numbers of calls that run or wait there now.
	Online, Batch int
	// Slots is how many calls can run there at once; further calls wait.
	Slots int
	// Slowdown is the server's slowdown factor: a multiple of the service's mean
	// latency. Zero counts as one.
	Slowdown float64
	// Usable is false for servers that appear not to answer.
	Usable bool
	// Home reports whether the server is one of those among which the server that
	// caches the call's shared prompt parts is chosen.
	Home bool
}

// Request holds the properties of a call that determine the choice of its server.
type Request struct {
	// DataCentre is the data centre of the host that makes the call.
	DataCentre string
	// PromptPrefix identifies the part of the prompt that calls share; empty when unknown.
	PromptPrefix string
	// Excluded are the identifiers of servers that were already tried.
	Excluded []string
}

// Choose returns the index of the best candidate, or -1 if there is none. A
// candidate that is not usable is chosen only when no usable one is left.
func Choose(r Request, list []Candidate) int {
	if i := choose(r, list, true); i >= 0 {
		return i
	}
	return choose(r, list, false)
}

func choose(r Request, list []Candidate, usable bool) int {
	best, bestScore := -1, 0.0
	home := promptHome(r, list)
	for i, c := range list {
		if c.Server.Draining || c.Usable != usable || excluded(r, c.Server.ID) {
			continue
		}
		s := c.expectedLoad()
		if c.Server.DataCentre != r.DataCentre {
			s += farWeight
		}
		if i != home {
			s += coldPromptWeight
		}
		s += tieBreak(r, c.Server.ID)
		if best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// expectedLoad estimates the load that the call would find, in calls of a server that
// is not slow. While a slot is free, a slowdown only makes the call itself start and
// run later; once all slots are taken, it also multiplies the time for which the call
// waits.
func (c Candidate) expectedLoad() float64 {
	load := float64(c.Online) + batchWeight*float64(c.Batch)
	slow := max(c.Slowdown, 1) - 1
	over := max(0, load+1-float64(c.Slots))
	return load + slow*(slowdownWeight+over)
}

func excluded(r Request, id string) bool {
	for _, e := range r.Excluded {
		if e == id {
			return true
		}
	}
	return false
}

// promptHome returns the index of the server that caches the call's shared prompt
// parts as long as load permits, or -1. All hosts choose the same one.
func promptHome(r Request, list []Candidate) int {
	if r.PromptPrefix == "" {
		return -1
	}
	best, bestScore := -1, uint64(0)
	for i, c := range list {
		if !c.Home {
			continue
		}
		if s := assigner.Score(r.PromptPrefix, c.Server.ID); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// tieBreak spreads calls over equal candidates; it is below any weight.
func tieBreak(r Request, id string) float64 {
	const most = 0.1
	return most * float64(assigner.Score(r.PromptPrefix+r.DataCentre, id)%1024) / 1024
}
