// Package regulator computes how many items of a batch job may run at once,
// which workspace is next, and the rate at which items end. It does no I/O and
// reads no clock. Its types are not safe for concurrent use.
//
// Invariants: a window is at least one item and at most its maximum; a
// workspace that was idle gets no credit for the share that it did not use.
package regulator

import (
	"github.com/jackdawgate/jackdawgate/timer"
)

// Window limits how many items of a job run at once. As in TCP congestion
// control, it doubles per window of answers until the first call that is not
// run. After that it grows by one per window of answers, and is multiplied by
// shrinkFactor when calls are not run.
//
// It is a value type: its methods return the updated window.
type Window struct {
	size, max  float64
	refused    bool
	lastShrink timer.Millis
}

const (
	initialWindow  = 4
	shrinkFactor   = 0.7
	shrinkInterval = timer.Second
)

// NewWindow returns a window of at most maxItems items.
func NewWindow(maxItems int) Window {
	return Window{size: min(initialWindow, float64(maxItems)), max: float64(maxItems)}
}

// Answered returns the window after a call that got a slot and was answered.
func (w Window) Answered() Window {
	if w.refused {
		w.size += 1 / w.size
	} else {
		w.size++
	}
	w.size = min(w.size, w.max)
	return w
}

// NotRun returns the window after a call that got no slot. Such calls shrink the
// window at most once per shrinkInterval.
func (w Window) NotRun(now timer.Millis) Window {
	if w.refused && now-w.lastShrink < shrinkInterval {
		return w
	}
	w.refused, w.lastShrink = true, now
	w.size = max(1, w.size*shrinkFactor)
	return w
}

// Limit returns how many items may currently run at once.
func (w Window) Limit() int { return int(w.size) }

// Max returns the upper bound of Limit.
func (w Window) Max() int { return int(w.max) }

// Shares records the weighted cost of the items that this host has run for each
// workspace, for fair scheduling between workspaces.
type Shares struct{ served map[string]float64 }

// NewShares returns Shares without any workspaces.
func NewShares() Shares { return Shares{served: make(map[string]float64)} }

// Has reports whether the workspace has a share.
func (s *Shares) Has(workspace string) bool {
	_, ok := s.served[workspace]
	return ok
}

// Charge adds the cost of an item, divided by weight, to its workspace. A weight
// that isn't positive counts as 1.
func (s *Shares) Charge(workspace string, cost, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	s.served[workspace] += cost / weight
}

// Add adds a workspace that had nothing to run. It raises the workspace's cost
// to the lowest of the others, if that is higher, so that the workspace gets no
// credit for the time in which it was idle.
func (s *Shares) Add(workspace string, others []string) {
	least, found := 0.0, false
	for _, o := range others {
		if v := s.served[o]; o != workspace && (!found || v < least) {
			least, found = v, true
		}
	}
	if found {
		s.served[workspace] = max(s.served[workspace], least)
	}
}

// Retain removes all workspaces that are not in the given set, which are those
// without a job.
func (s *Shares) Retain(workspaces map[string]bool) {
	for w := range s.served {
		if !workspaces[w] {
			delete(s.served, w)
		}
	}
}

// Less reports whether workspace a is scheduled before b: the one with the
// lower cost goes first, then the one with the lesser name.
func (s *Shares) Less(a, b string) bool {
	if x, y := s.served[a], s.served[b]; x != y {
		return x < y
	}
	return a < b
}

// Meter measures the rate at which items end.
type Meter struct {
	// PerSecond is a moving average of the rate. It is 0 until the first
	// measurement.
	PerSecond float64
	last      timer.Millis
	ended     int64
}

const (
	meterInterval = timer.Second
	meterWeight   = 0.2
)

// Observe returns the meter updated with the total number of items that have
// ended by now.
func (m Meter) Observe(now timer.Millis, ended int64) Meter {
	elapsed := now - m.last
	if m.last == 0 {
		m.last, m.ended = now, ended
		return m
	}
	if elapsed < meterInterval {
		return m
	}
	rate := float64(ended-m.ended) * 1000 / float64(elapsed)
	if m.PerSecond == 0 {
		m.PerSecond = rate
	} else {
		m.PerSecond += meterWeight * (rate - m.PerSecond)
	}
	m.last, m.ended = now, ended
	return m
}
