package emulator

import (
	"bytes"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Cut is the point of a call at which an Engine closes the connection.
type Cut string

// The points of a cut, in the order in which a call reaches them.
const (
	CutNone Cut = ""
	// CutBeforeBody closes after the request's header; the call does not run.
	CutBeforeBody Cut = "before-body"
	// CutMidBody closes after half of the request's body; the call does not run.
	CutMidBody Cut = "mid-body"
	// CutAfterBody runs the call and closes without a response.
	CutAfterBody Cut = "after-body"
	// CutMidAnswer runs the call and closes in the middle of the response.
	CutMidAnswer Cut = "mid-answer"
)

// EngineFaults are the failures that are injected into an Engine. The zero value
// injects none.
type EngineFaults struct {
	// Delay is the time that passes before each call is handled.
	Delay timer.Millis `json:"delay-ms"`
	// Freeze suspends new and running calls while it is set; connections remain
	// open.
	Freeze bool `json:"freeze"`
	// SilenceOpen silences the currently open connections permanently: data is
	// dropped in both directions. The field resets itself.
	SilenceOpen bool `json:"silence-open"`
	// SilenceNext is how many of the next connections are silent from their
	// start.
	SilenceNext int `json:"silence-next"`
	// CrashMarker, if not empty, crashes the engine when the body of a call
	// contains it: the engine aborts its calls, loses its cache, closes its
	// connections and refuses new ones until RestartAfter has passed.
	CrashMarker  string       `json:"crash-marker"`
	RestartAfter timer.Millis `json:"restart-after-ms"`
	// Crash crashes the engine immediately. The field resets itself.
	Crash bool `json:"crash"`
	// TruncateAfter ends each stream after this many tokens, without the final
	// event but with the framing of a complete response. Zero disables it.
	TruncateAfter int `json:"truncate-after-tokens"`
	// StallAfter stops sending events of each stream after this many tokens; its
	// connection remains open. Zero disables it.
	StallAfter int `json:"stall-after-tokens"`
	// Cut is the point at which the connections of the next CutNext calls are
	// closed.
	Cut     Cut `json:"cut"`
	CutNext int `json:"cut-next"`
	// ReportIdle makes load reports show an idle engine regardless of its load.
	ReportIdle bool `json:"lying-load"`
	// IgnoreFencing accepts orders with any epoch even if the options enforce
	// fencing.
	IgnoreFencing bool `json:"ignore-fencing"`
}

// SetFaults replaces the faults. SilenceOpen and Crash take effect immediately;
// they are ignored if the engine is not serving.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	e.setFaults(f)
	g := e.listener
	e.mu.Unlock()
	if g == nil {
		return
	}
	g.setSilenceNext(f.SilenceNext)
	if f.SilenceOpen {
		g.silenceOpen()
	}
	if f.Crash {
		e.crash()
	}
}

// setFaults stores f without SilenceOpen and Crash. The caller must hold e.mu.
func (e *Engine) setFaults(f EngineFaults) {
	f.SilenceOpen, f.Crash = false, false
	switch {
	case f.Freeze && !e.faults.Freeze:
		e.unfrozen = make(chan struct{})
	case !f.Freeze && e.faults.Freeze:
		close(e.unfrozen)
	}
	e.faults = f
}

// Faults returns the current faults, with the remaining numbers of those that
// are counted.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	f, g := e.faults, e.listener
	e.mu.Unlock()
	if g != nil {
		f.SilenceNext = g.silencesRemaining()
	}
	return f
}

// whenUnfrozen returns a channel that is closed while the engine is not frozen.
func (e *Engine) whenUnfrozen() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unfrozen
}

// takeRequestCut returns the cut for the request with this header, if it takes
// effect before the request has been read, and counts it as applied.
func (e *Engine) takeRequestCut(header []byte) Cut {
	if isEngineRequest(header) {
		return CutNone
	}
	return e.takeCut(CutBeforeBody, CutMidBody)
}

// takeCut returns the configured cut if it is one of points and CutNext is not
// exhausted, and decrements CutNext. Otherwise it returns CutNone.
func (e *Engine) takeCut(points ...Cut) Cut {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CutNext <= 0 {
		return CutNone
	}
	for _, c := range points {
		if c == e.faults.Cut {
			e.faults.CutNext--
			return c
		}
	}
	return CutNone
}

// crash aborts all calls, closes the connections and clears the cache. The loaded
// models and the role are reset to those at startup; the orders received, and
// with them the highest epoch, are kept.
func (e *Engine) crash() {
	e.mu.Lock()
	g, pause := e.listener, e.faults.RestartAfter
	e.models = newLoadedModels(e.options.Models)
	e.mu.Unlock()
	e.batch.reset()
	if g != nil {
		g.restart(pause.Duration())
	}
}

func (e *Engine) hasCrashMarker(body []byte) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.faults.CrashMarker
	return m != "" && bytes.Contains(body, []byte(m))
}
