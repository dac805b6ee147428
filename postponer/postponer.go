// Package postponer tells callers whose calls were refused when to come again.
//
// What a call lacked, a token of a limit or a place in a queue, becomes free at a certain
// rate. Callers that are all told of the first time would come together, and all but one
// would be refused again, most of them for good. So each gets a place of its own, one after
// the other in the order in which they were refused, at this host's share of the rate.
//
// Places are promised to nobody: whoever comes first takes what is free, so that a caller's
// second request is treated like any other's first. They are where a request has the best
// chance.
package postponer

import (
	"maps"
	"sync"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Opening is what a host knows of the places that a limit or a queue gives.
type Opening struct {
	// First is the time until the first place.
	First timer.Millis
	// Rate is how many places a second there are for the callers of all hosts, Hosts the
	// number of hosts that give them out. Each gives out its equal share.
	Rate  float64
	Hosts int
	// Left is the time that the caller has left. A caller that is not willing to wait for its
	// place leaves it to the next one.
	Left timer.Millis
}

// interval returns the time between two places of this host.
func (o Opening) interval() timer.Millis {
	return timer.Millis(float64(timer.Second) * float64(o.Hosts) / o.Rate)
}

// Postponer gives out places. It is safe for concurrent use.
type Postponer struct {
	clock timer.Clock

	mu sync.Mutex
	// next holds the time before which there is no further place, by key, if it lies ahead.
	next map[string]timer.Millis
}

// New returns a Postponer that has given out nothing.
func New(c timer.Clock) *Postponer {
	return &Postponer{clock: c, next: make(map[string]timer.Millis)}
}

// Postpone returns the time until the next place of a limit or queue, which it gives out. It
// may be longer than the caller is willing to wait.
func (p *Postponer) Postpone(key string, o Opening) timer.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	maps.DeleteFunc(p.next, func(_ string, at timer.Millis) bool { return at < now })
	place := max(now+o.First, p.next[key])
	if place-now <= CallerPatience(o.Left) {
		p.next[key] = place + o.interval()
	}
	return place - now
}

// CallerPatience returns how long callers with this time left stay away at most when they
// are told to come again: a third of it, by the platform's protocol.
func CallerPatience(left timer.Millis) timer.Millis { return max(0, left/3) }
