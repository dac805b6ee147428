// Package selector chooses the backend server of a call. It is pure.
//
// Engines admit calls in order of arrival, without priorities, so among servers of the same
// pace the best one is that with the fewest calls; a call that must wait waits least there.
// Batch calls can be evicted in favour of online ones and count a little less. Servers of
// unlike pace are compared by when the call would complete.
//
// Many hosts choose at once, by counts that do not hold one another's newest calls. If all
// took the best server, they would overrun it. With a Seed, the best of a few random servers
// is chosen, unless a call would have to wait there: then all are compared.
//
// A server that named a limit is chosen only while the limit leaves room, and then only
// if the others have hardly a free slot: what it takes is a number of requests, however
// long they run, so it is kept for long ones and for peaks. That weighs more than a prompt
// in the server's cache. What can no longer be saved up is used like the room of others. A
// server with a limit that got nothing for a while is preferred, since only an answer
// tells that its limit has ended. A cold server is chosen only while this host's share of it
// leaves room, and otherwise compared like the others.
package selector

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/jackdawgate/jackdawgate/throttler"
)

// Weights of the compared properties, in calls unless stated otherwise.
const (
	// batchWeight is the weight of a batch call. It is below one, since an item is evicted if the
	// call needs its slot, and not much below: until then the call shares the server with it.
	batchWeight = 0.85
	// farWeight is the weight of the latency between data centres, a small part of a call.
	farWeight = 0.25
	// coldPromptWeight is the weight of the prompt parts that the server has to read, a small part
	// of a call.
	coldPromptWeight = 0.2
	// ownWeight is the weight of the call's own run. Each call at the server counts as a quarter
	// of a run, far more than it slows the others by: counts are stale, and the slot may be taken
	// by the time the call arrives. With a smaller weight calls take longer, with a larger one
	// more of them meet a full server.
	ownWeight = 4.0
	// lateWeight is the weight of a run at pace 1 for a call that is late. It is large, so that
	// differences of a hundredth of a run outweigh all other properties.
	lateWeight = 100.0
	// limitShare is the fraction of its slots that is added for a server with a limit: it is
	// chosen when the others have hardly a free slot, before a call has to wait for one.
	limitShare = 0.85
	// probeWeight is subtracted for a server that should get a request.
	probeWeight = 1.0
	// maxTieBreak is the bound of the tie-break, which is below all other weights.
	maxTieBreak = 0.1
)

// Candidate is a server that could take a call.
type Candidate struct {
	Server cataloger.Server
	// Online and Batch are the numbers of calls that run or wait there now.
	Online, Batch int
	// Slots is how many calls can run there at once; further calls wait.
	Slots int
	// Slowdown is the server's slowdown factor: a multiple of the service's mean
	// latency, below one for a fast server. Zero counts as one.
	Slowdown float64
	// Usable is false for servers that appear not to answer.
	Usable bool
	// Room is what the server's limit, and this host's share of it if it is cold, leave for
	// the call.
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
	// Seed makes the choice random: the best of a few random candidates is chosen, so that
	// hosts that choose at the same time by the same counts do not all choose the same
	// server. Zero means the best of all; it is the same on all hosts of a data centre.
	Seed uint64
	// Late is set if the call would miss its deadline at the server chosen before. The server
	// where it is predicted to end first is chosen then, whatever that leaves to other calls.
	Late bool
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
		if c.HeldBack() && c.Usable && !c.Server.Draining && !slices.Contains(r.Excluded, c.Server.ID) {
			out = append(out, c)
		}
	}
	return out
}

// choose returns the index of the best candidate that is usable, or of the best one that is
// not, or -1.
func choose(r Request, list []Candidate, usable bool) int {
	home := promptHome(r, list)
	if r.Seed != 0 && !r.Late {
		if i := chooseDrawn(r, list, home, usable); i >= 0 && list[i].isFree() {
			return i
		}
	}
	best, bestScore := -1, 0.0
	for i := range list {
		c := &list[i]
		if !r.permits(c, usable) {
			continue
		}
		if s := r.score(i, c, home); best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// chooseDrawn returns the index of the best of a few random candidates, or -1 if there is none.
func chooseDrawn(r Request, list []Candidate, home int, usable bool) int {
	var drawn [maxDrawn]int
	n := draw(&drawn, r, list, home, usable)
	best, bestScore := -1, 0.0
	for _, i := range drawn[:n] {
		if s := r.score(i, &list[i], home); best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// permits reports whether the candidate may be chosen, among those that are usable or not.
func (r *Request) permits(c *Candidate, usable bool) bool {
	return !c.Server.Draining && c.Usable == usable && !c.HeldBack() && !slices.Contains(r.Excluded, c.Server.ID)
}

// isFree reports whether a call finds a slot at once at a server that is not kept for peaks by
// its limit.
func (c *Candidate) isFree() bool { return c.load()+1 <= float64(c.Slots) && c.Room.Restraint == 0 }

// score returns the cost of sending the call to the candidate, in calls; the lowest is best.
func (r *Request) score(i int, c *Candidate, home int) float64 {
	s := c.completion() + c.limitScore()
	if r.Late {
		s = lateWeight * c.time()
	}
	if c.Server.DataCentre != r.DataCentre {
		s += farWeight
	}
	if i != home {
		s += coldPromptWeight
	}
	return s + r.tieBreak(i, c.Server.ID)
}

// load returns the calls that run or wait at the server.
func (c *Candidate) load() float64 { return float64(c.Online) + batchWeight*float64(c.Batch) }

// completion compares when the call would complete, in calls. The server's pace counts for the
// call's own run and, at a slow server whose slots are all taken, for each call that waits. The
// run of a slow server counts less than its pace, up to ownWeight, so that a call takes its free
// slots before it waits at another server. At pace 1 the result is the number of calls there.
func (c *Candidate) completion() float64 {
	load, pace, over := c.load(), c.pace(), c.waiting()
	return load - over + ownWeight*(1-1/pace) + max(pace, 1)*over
}

// time returns when the call would complete, as a multiple of a call's run at pace 1.
func (c *Candidate) time() float64 {
	return c.pace() * (1 + c.waiting()/float64(max(c.Slots, 1)))
}

// pace returns the server's slowdown factor.
func (c *Candidate) pace() float64 {
	if c.Slowdown <= 0 {
		return 1
	}
	return c.Slowdown
}

// waiting returns how many calls, this one included, would wait for a slot.
func (c *Candidate) waiting() float64 { return max(0, c.load()+1-float64(c.Slots)) }

// limitScore returns what the server's limit adds to its score, in calls.
func (c Candidate) limitScore() float64 {
	if c.Room.Probe {
		return -probeWeight
	}
	return limitShare * float64(c.Slots) * c.Room.Restraint
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

// tieBreak spreads calls over equal candidates. It is in calls.
func (r *Request) tieBreak(i int, id string) float64 {
	if r.Seed != 0 {
		return maxTieBreak * float64(mix(r.Seed, i)%1024) / 1024
	}
	return maxTieBreak * float64(assigner.Score(r.PromptPrefix+r.DataCentre, id)%1024) / 1024
}
