// Package forecaster predicts whether a call can end within the time that its caller has
// left, at a backend server whose slots may all be taken.
//
// It implements early rejection under overload. Engines admit calls in the order of
// arrival. A call that cannot be expected to end by its deadline keeps its caller waiting
// for nothing and takes a place from a call that could end, so it is refused before it is
// sent. Any other call is sent, however long it will have to wait: how long a caller is
// willing to wait is what its deadline says.
//
// The decision depends on the time that is left, on the calls ahead and on how long calls
// of the service run. With all else alike, more time left never turns an admission into a
// refusal, and a caller's second request is decided like its first.
//
// The prediction uses the average time that recent calls of a service ran, which grows
// with load by itself, and the number of calls that are known to be at the server.
package forecaster

import (
	"sync"

	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// sampleWeight is the weight of the newest call in the averages, longestWeight that of a
	// call which did not take longer than the longest one lately.
	sampleWeight  = 0.05
	longestWeight = 0.01
	// unobservedAhead is how many calls for each slot may be ahead of a call of a service
	// of which no call was observed, those that run included.
	unobservedAhead = 2
)

// Forecaster predicts the ends of calls from averages of each service. It is safe for
// concurrent use.
type Forecaster struct {
	mu       sync.Mutex
	services map[string]*average
}

// average holds the averages of one service, in milliseconds.
type average struct {
	// toFirstByte is the time until an answer began without a wait for a slot,
	// streaming the time from then until the end of the call.
	toFirstByte, streaming float64
	// longest is the time that the longest call lately took without a wait for a slot.
	longest float64
}

// New returns a Forecaster without observations.
func New() *Forecaster {
	return &Forecaster{services: make(map[string]*average)}
}

// Observe records a call of a service. first is the time until its answer began, or zero
// if the call had to wait for a slot; run is the time from then until its end.
func (f *Forecaster) Observe(service string, first, run timer.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.services[service]
	if !ok {
		f.services[service] = &average{toFirstByte: float64(first), streaming: float64(run), longest: float64(first + run)}
		return
	}
	a.streaming += sampleWeight * (float64(run) - a.streaming)
	if first > 0 {
		a.toFirstByte += sampleWeight * (float64(first) - a.toFirstByte)
	}
	a.observeLongest(a.toFirstByte + float64(run))
}

// observeLongest records how long a call took without a wait for a slot. The longest time
// is kept for the next 100 calls or so.
func (a *average) observeLongest(took float64) {
	if took >= a.longest {
		a.longest = took
		return
	}
	a.longest += longestWeight * (took - a.longest)
}

// Call describes a call that is about to be sent to a server.
type Call struct {
	Service string
	// Ahead is the number of calls at the server that are not preempted for it, Slots the
	// number of calls that the server runs at once.
	Ahead, Slots int
	// Done is how long the call ran at other servers, where it made a part of the answer
	// that need not be made again.
	Done timer.Millis
}

// Wait returns the predicted wait of the call for a slot. It is zero for a call of a service
// that was not observed.
func (f *Forecaster) Wait(c Call) timer.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a, ok := f.services[c.Service]; ok {
		return timer.Millis(a.wait(c))
	}
	return 0
}

// wait returns the predicted wait of a call for a slot.
func (a *average) wait(c Call) float64 {
	if c.Slots <= 0 || c.Ahead < c.Slots {
		return 0
	}
	return float64(c.Ahead-c.Slots+1) * a.streaming / float64(c.Slots)
}

// end returns the predicted time until the call ends.
func (a *average) end(c Call) float64 {
	return a.wait(c) + a.toFirstByte + max(0, a.streaming-float64(c.Done))
}

// EndsWithin reports whether the call is expected to end within left, the time that its
// caller has left. If no call of the service was observed, that is taken to suffice for a
// wait for as many calls as the server runs at once.
func (f *Forecaster) EndsWithin(c Call, left timer.Millis) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.services[c.Service]
	if !ok {
		return c.Ahead < unobservedAhead*c.Slots
	}
	return a.end(c) <= float64(left)
}

// EndsSurelyWithin reports whether the call can be relied on to end within left: even if it
// runs for as long as the longest of its service lately. A call of a service that was not
// observed cannot.
func (f *Forecaster) EndsSurelyWithin(c Call, left timer.Millis) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.services[c.Service]
	return ok && a.wait(c)+a.longest <= float64(left)
}

// Retain drops the averages of services for which known returns false.
func (f *Forecaster) Retain(known func(service string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.services {
		if !known(s) {
			delete(f.services, s)
		}
	}
}
