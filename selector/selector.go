// Package selector chooses the backend server of a call. It is pure.
//
// Engines admit calls in order of arrival, without priorities, so the best server
// is the one with the fewest calls; a call that must wait waits least there.
// Batch calls can be evicted in favour of online ones and count a little less.
//
// A server that named a limit is chosen only while the limit leaves room, and then only
// if the others have hardly a free slot: what it takes is a number of requests, however
// long they run, so it is kept for long ones and for peaks. That weighs more than a prompt
// in the server's cache. What can no longer be saved up is used like the room of others. A
// server with a limit that got nothing for a while is preferred, since only an answer
// tells that its limit has ended.
package selector

import (
	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/jackdawgate/jackdawgate/throttler"
)

// Weights of the compared properties, in calls.
const (
	// batchWeight is below one, since an item is evicted if the call needs its slot, and not
	// much below: until then the call shares the server with it.
	batchWeight = 0.85
	// farWeight is for the way between data centres, coldPromptWeight for the prompt parts
	// that the server has to read: each is a small part of a call.
	farWeight        = 0.25
	coldPromptWeight = 0.2
	// slowdownWeight is added for a server whose slowdown factor is two.
	slowdownWeight = 0.75
	// limitShare is the share of its slots that is added for a server with a limit: it is
	// chosen when the others have hardly a free slot, before a call has to wait for one.
	// probeWeight is subtracted for one that should get a request.
	limitShare  = 0.85
	probeWeight = 1.0
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
	// Room is what the server's limit leaves for the call.
	Room throttler.Room
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
	// Rank is the number of configured classes of calls that are more urgent.
	Rank int
	// Subject is what the regions depend on in which the call may be placed. Candidates are
	// in these regions only.
	Subject localizer.Subject
}

// HeldBack reports whether the server's limit leaves no room for the call.
func (c Candidate) HeldBack() bool { return c.Room.Limited && !c.Room.Open }

// Choose returns the index of the best candidate, or -1 if there is none. A
// candidate that is not usable is chosen only when there is no usable one, not even
// one that is held back.
func Choose(r Request, list []Candidate) int {
	if i := choose(r, list, true); i >= 0 || len(HeldBack(r, list)) > 0 {
		return i
	}
	return choose(r, list, false)
}

// HeldBack returns the candidates that could be chosen if their limits left room.
func HeldBack(r Request, list []Candidate) []Candidate {
	var out []Candidate
	for _, c := range list {
		if c.HeldBack() && c.Usable && !c.Server.Draining && !excluded(r, c.Server.ID) {
			out = append(out, c)
		}
	}
	return out
}

func choose(r Request, list []Candidate, usable bool) int {
	best, bestScore := -1, 0.0
	home := promptHome(r, list)
	for i, c := range list {
		if c.Server.Draining || c.Usable != usable || c.HeldBack() || excluded(r, c.Server.ID) {
			continue
		}
		s := c.expectedLoad() + c.limitScore()
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

// limitScore returns what the server's limit adds to its score, in calls.
func (c Candidate) limitScore() float64 {
	if c.Room.Probe {
		return -probeWeight
	}
	return limitShare * float64(c.Slots) * c.Room.Restraint
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
