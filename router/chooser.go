package router

import (
	"sync/atomic"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/dispatcher"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Chooser finds and chooses backend servers for a dispatcher. Each choice is
// itself recorded as a hint, because the chosen server will have the prefixes of
// the call cached. A Chooser is safe for concurrent use.
type Chooser struct {
	Policy   Policy
	Hints    *Hints
	Backoff  *Backoff
	Clock    timer.Clock
	sequence atomic.Uint64
	indexes  indexCache
}

var (
	_ dispatcher.Chooser = (*Chooser)(nil)
	_ dispatcher.Finder  = (*Chooser)(nil)
)

// DefaultHintCapacity is the capacity of a Chooser's hints, in prefixes.
const DefaultHintCapacity = 1 << 16

// NewChooser returns a Chooser without hints and with no server in backoff.
func NewChooser(p Policy, c timer.Clock) *Chooser {
	return &Chooser{Policy: p, Hints: NewHints(DefaultHintCapacity), Backoff: NewBackoff(), Clock: c}
}

// Choose implements dispatcher.Chooser.
func (x *Chooser) Choose(r requester.Request, s coordinator.Snapshot, candidates []dispatcher.Candidate) dispatcher.Choice {
	now := x.Clock.Now()
	c := newCall(&r, &s)
	c.Sequence = x.sequence.Add(1)
	overlaps := x.Hints.Find(make([]Overlap, 0, serversPerPrefix), r.Prefix, now)
	list := make([]Candidate, len(candidates))
	for i, d := range candidates {
		list[i] = x.newCandidate(d, overlaps)
	}
	choice, err := Choose(x.Policy, c, list, now)
	if err != nil {
		return dispatcher.Choice{Server: candidates[0].Server.Name, Reason: "only-leaving"}
	}
	x.Hints.Cached(choice.Server, r.Prefix, now)
	return dispatcher.Choice{Server: choice.Server, Reason: choice.Reason}
}

func newCall(r *requester.Request, s *coordinator.Snapshot) Call {
	return Call{ID: r.ID, Model: r.Model, Service: r.Service, DataCentre: s.Self.DataCentre, PrefixHashes: r.Prefix}
}

// newCandidate converts a candidate of the dispatcher and adds cached prefixes and
// backoff. SentSinceReport remains zero, because the dispatcher's load already
// includes the calls that this host has sent since the report.
func (x *Chooser) newCandidate(d dispatcher.Candidate, overlaps []Overlap) Candidate {
	c := Candidate{
		Server: d.Server.Name, DataCentre: d.Server.DataCentre, Slots: d.Server.Slots,
		Reported: d.Competing, ModelLoaded: true, Leaving: d.Server.Leaving,
		BackoffUntil: x.Backoff.Until(d.Server.Name),
	}
	for _, o := range overlaps {
		if o.Server == c.Server {
			c.CachedPrefixes = o.Count
		}
	}
	return c
}
