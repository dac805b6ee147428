// Package selector chooses the backend server of a call. It is pure.
//
// Engines admit in order of arrival and know no priorities, so the best server
// is the one with the fewest calls; a call that must wait waits least there.
// Batch calls give way to online ones and count a little less.
package selector

import (
	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/cataloger"
)

// Weights of what is compared, in calls.
const (
	batchWeight      = 0.85
	farWeight        = 0.25
	coldPromptWeight = 0.2
	// slowWeight is for a server that takes twice as long.
	slowdownWeight = 0.75
)

// Candidate is a server that could take a call.
type Candidate struct {
	Server cataloger.Server
	// Online and Batch are the calls that run or wait there now.
	Online, Batch int
	// Slots is how many calls run there at once; others wait.
	Slots int
	// Slowness is how many times as long as its kin the server takes; zero counts
	// as one.
	Slowness float64
	// Usable is false for servers that do not seem to answer.
	Usable bool
	// Home says that the server may be the one that keeps the call's shared
	// prompt parts.
	Home bool
}

// Request is what matters of a call for choosing its server.
type Request struct {
	// DataCentre is where the call comes from.
	DataCentre string
	// Prompt names the part of the prompt that calls share; empty when unknown.
	Prompt string
	// Excluded are servers that were tried.
	Excluded []string
}

// Choose returns the index of the best candidate, or -1 when there is none. Of
// candidates that are not usable one is chosen only when there is no other.
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

// expected is about how much there is before the call, in calls of a server that
// is not slow. While a slot is free, a slow server merely begins and runs later;
// once all are taken, the call waits there for as many times as long.
func (c Candidate) expectedLoad() float64 {
	load := float64(c.Online) + batchWeight*float64(c.Batch)
	slow := max(c.Slowness, 1) - 1
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

// preferred is the server that keeps the call's shared prompt parts, if load
// let it: the same one for all hosts.
func promptHome(r Request, list []Candidate) int {
	if r.Prompt == "" {
		return -1
	}
	best, bestScore := -1, uint64(0)
	for i, c := range list {
		if !c.Home {
			continue
		}
		if s := assigner.Score(r.Prompt, c.Server.ID); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// tieBreak spreads calls whose candidates are equal; it is below any weight.
func tieBreak(r Request, id string) float64 {
	const most = 0.1
	return most * float64(assigner.Score(r.Prompt+r.DataCentre, id)%1024) / 1024
}
