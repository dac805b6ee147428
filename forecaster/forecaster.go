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
// with load by itself, the number of calls that are known to be at the server, and the
// server's slowdown. It is corrected by how long recent calls waited, compared with what was
// predicted for them: other hosts' calls may be on the way, and batch items may go on for a
// while. Calls that were given up on count too, as they took at least as long. Otherwise the
// averages would consist of those calls only that ended in time.
package forecaster

import (
	"math"
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
	// minWaitRatio and maxWaitRatio bound the correction of predicted waits, so that a few
	// odd calls neither fill the queues nor refuse everything.
	minWaitRatio = 0.5
	maxWaitRatio = 4.0
)

// Forecaster predicts the ends of calls from averages of each service. It is safe for
// concurrent use.
type Forecaster struct {
	mu       sync.Mutex
	services map[string]*average
}

// average holds the averages of one service, in milliseconds.
type average struct {
	// toFirstByte is the time until an answer began without a wait for a slot, zero if there
	// was none yet; streaming is the time from then until the end of the call.
	toFirstByte, streaming float64
	// longest is the time that the longest call lately took without a wait for a slot.
	longest float64
	// waited and predicted are the time for which calls waited for a slot, and the prediction
	// of that without a correction.
	waited, predicted float64
}

// New returns a Forecaster without observations.
func New() *Forecaster {
	return &Forecaster{services: make(map[string]*average)}
}

// Sample describes a call that was sent to a server and has ended.
type Sample struct {
	// Call is the call as it was predicted.
	Call Call
	// First is the time until its answer began, or until it was given up on before; zero if
	// it is not known how long it waited. Run is the time from then until its end.
	First, Run timer.Millis
	// Full is set if it found all slots taken, be it by batch items.
	Full bool
	// GivenUp is set if its time was over, or its caller left, before its end. Run is zero if
	// its answer had not begun.
	GivenUp bool
}

// Observe records a call of a service.
func (f *Forecaster) Observe(m Sample) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.services[m.Call.Service]
	if !ok {
		if m.GivenUp {
			return
		}
		a = &average{streaming: m.run()}
		f.services[m.Call.Service] = a
	}
	a.observeWait(m)
	a.observeRun(m)
	a.observeFirst(m)
}

// observeFirst records the time until the answer to a call began that had no wait. The
// first of them counts in full.
func (a *average) observeFirst(m Sample) {
	switch {
	case m.Full || m.GivenUp:
	case a.toFirstByte == 0:
		a.toFirstByte = float64(m.First)
	default:
		a.toFirstByte += sampleWeight * (float64(m.First) - a.toFirstByte)
	}
}

// run returns the time for which the call would have run at a server of the mean pace.
func (m Sample) run() float64 { return float64(m.Run) / m.Call.slowdown() }

// observeRun records how long a call ran.
func (a *average) observeRun(m Sample) {
	run := m.run()
	if m.GivenUp && run <= a.streaming {
		return
	}
	a.streaming += sampleWeight * (run - a.streaming)
	a.observeLongest(a.toFirstByte + float64(m.Run))
}

// observeWait records how long a call waited that was expected to wait.
func (a *average) observeWait(m Sample) {
	predicted := a.queue(m.Call)
	if predicted == 0 || m.First == 0 {
		return
	}
	waited := max(0, float64(m.First)-a.toFirstByte)
	if m.GivenUp && waited <= a.wait(m.Call) {
		return
	}
	a.waited += sampleWeight * (waited - a.waited)
	a.predicted += sampleWeight * (predicted - a.predicted)
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
	// number of calls that the server runs at once; both are zero if there is no wait.
	Ahead, Slots int
	// Slowdown is the server's slowdown factor, a multiple of the service's mean latency, below
	// one for a fast server. Zero counts as one.
	Slowdown float64
	// Done is how long the call ran at other servers, where it made a part of the answer
	// that need not be made again.
	Done timer.Millis
}

// Prediction is what is expected of a call at a server. Its times are zero if no call of the
// service was observed.
type Prediction struct {
	// Wait is the time until the call gets a slot, Begin that until its answer begins, End that
	// until it ends, and Latest that until it ends if it runs for as long as the longest call of
	// its service lately.
	Wait, Begin, End, Latest timer.Millis
	// observed is set if a call of the service was observed. overfull is set if none was and
	// more calls are ahead than the server may be expected to run in its caller's time.
	observed, overfull bool
}

// Predict predicts a call.
func (f *Forecaster) Predict(c Call) Prediction {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.services[c.Service]
	if !ok {
		return Prediction{overfull: c.Slots > 0 && c.Ahead >= unobservedAhead*c.Slots}
	}
	wait := a.wait(c)
	begin := wait + a.toFirstByte
	run := max(0, a.streaming*c.slowdown()-float64(c.Done))
	return Prediction{
		Wait: timer.Millis(wait), Begin: timer.Millis(begin), End: timer.Millis(math.Ceil(begin + run)), Latest: timer.Millis(math.Ceil(wait + a.longest)), observed: true,
	}
}

// EndsWithin reports whether the call is expected to end within left, the time that its
// caller has left. If no call of the service was observed, that is taken to suffice for a
// wait for as many calls as the server runs at once.
func (p Prediction) EndsWithin(left timer.Millis) bool {
	return left > 0 && p.End <= left && !p.overfull
}

// EndsSurelyWithin reports whether the call can be relied on to end within left: even if it
// runs for as long as the longest of its service lately. A call of a service that was not
// observed cannot.
func (p Prediction) EndsSurelyWithin(left timer.Millis) bool { return p.observed && p.Latest <= left }

// LateBy returns by how much the call is expected to take longer than left: more than zero
// just if it is not expected to end within it.
func (p Prediction) LateBy(left timer.Millis) timer.Millis {
	if p.EndsWithin(left) {
		return p.End - left
	}
	return max(1, p.End-left)
}

// RunTime returns the average time for which calls of a service run. It is zero for a service
// that was not observed.
func (f *Forecaster) RunTime(service string) timer.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a, ok := f.services[service]; ok {
		return timer.Millis(a.streaming)
	}
	return 0
}

// slowdown returns the server's slowdown factor.
func (c Call) slowdown() float64 {
	if c.Slowdown <= 0 {
		return 1
	}
	return c.Slowdown
}

// queue returns the time in which the calls ahead of a call leave a slot to it.
func (a *average) queue(c Call) float64 {
	if c.Slots <= 0 || c.Ahead < c.Slots {
		return 0
	}
	return float64(c.Ahead-c.Slots+1) * a.streaming * c.slowdown() / float64(c.Slots)
}

// wait returns the predicted wait of a call for a slot.
func (a *average) wait(c Call) float64 {
	ratio := 1.0
	if a.predicted > 0 {
		ratio = min(max(a.waited/a.predicted, minWaitRatio), maxWaitRatio)
	}
	return ratio * a.queue(c)
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
