// Package comparer finds backend servers that are slower than their kin.
//
// Pattern: slow replica, or grey failure. A slow server answers everything, so
// nothing ejects it, and since its calls last longer it looks only a little more
// loaded than others while each call there is late. A host compares the pace of
// a server's events with the mean of its service, as the host itself sees both:
// so neither load that rises everywhere nor a slow host makes a server look slow.
//
// Each host sees few calls of each server, so hosts tell one another of servers
// that they found slow. What was found counts for a while, and then half: so a
// call or two go there again, and show whether the server is well. A slow server
// gets less work, not none.
package comparer

import (
	"sync"

	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

const (
	// slowFrom is the slowness from which a server counts as slow, mostSlow the
	// highest that is told.
	slowFrom = 1.8
	mostSlow = 8.0
	// keepFor is for how long a slow server counts as slow after it was last found
	// so, and for as long again it counts as half as slow; tellFor is for how long a
	// host tells of its own finding.
	keepFor timer.Millis = 2000
	tellFor timer.Millis = 600
	// weight is that of the newest call in a service's mean pace, leastCalls how
	// many calls make a mean.
	weight     = 0.05
	leastCalls = 20
	// leastEvents is how many events show a call's pace.
	leastEvents = 4
	// scale is how a slowness is told: in tenths.
	scale = 10
)

// Report is what a host tells of slow servers: their slowness in tenths.
type Report map[string]uint8

// Run is how a call went at a server: so many events in the time from the first
// to the last one.
type Run struct {
	Service, Server string
	Events          int
	Took            timer.Millis
}

// Comparer is safe for concurrent use.
type Comparer struct {
	clock  timer.Clock
	logger *zap.Logger

	mu       sync.Mutex
	services map[string]*mean
	found    map[string]finding
}

// mean is the mean pace of a service, in milliseconds an event.
type mean struct {
	pace  float64
	calls int
}

// finding is how much slower a server was than its kin, and when.
type finding struct {
	slowness float64
	at       timer.Millis
	// own says that this host found it.
	own bool
}

// New returns a Comparer that knows nothing. It logs which servers count as slow,
// and since when no longer.
func New(c timer.Clock, l *zap.Logger) *Comparer {
	return &Comparer{clock: c, logger: l, services: make(map[string]*mean), found: make(map[string]finding)}
}

// Ran takes a call's pace in.
func (c *Comparer) Ran(r Run) {
	if r.Events < leastEvents {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.services[r.Service]
	if !ok {
		m = &mean{}
		c.services[r.Service] = m
	}
	pace := float64(r.Took) / float64(r.Events-1)
	slowness := m.slowness(pace)
	m.take(pace)
	c.find(r.Server, finding{slowness: slowness, at: c.clock.Now(), own: true})
}

// slowness is how many times as long as the mean an event took.
func (m *mean) slowness(pace float64) float64 {
	if m.calls < leastCalls || m.pace <= 0 {
		return 1
	}
	return min(pace/m.pace, mostSlow)
}

// take adds a pace to the mean. One that is far off moves it no more than one at
// the bound does, so that a few slow servers do not become the mean.
func (m *mean) take(pace float64) {
	m.calls++
	if m.calls <= leastCalls {
		m.pace += (pace - m.pace) / float64(m.calls)
		return
	}
	m.pace += weight * (min(pace, slowFrom*m.pace) - m.pace)
}

// find notes a finding of this host or of another.
func (c *Comparer) find(server string, f finding) {
	_, known := c.found[server]
	switch {
	case f.slowness >= slowFrom:
		c.found[server] = f
	case known:
		delete(c.found, server)
	}
	if slow := f.slowness >= slowFrom; slow != known {
		c.logger.Info("server's pace changed", zap.String("server", server), zap.Bool("slow", slow),
			zap.Float64("slowness", f.slowness), zap.Bool("own", f.own))
	}
}

// Slowness is how many times as long as its kin a server takes; 1 for one that
// was not found slow lately.
func (c *Comparer) Slowness(server string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	f, ok := c.found[server]
	age := c.clock.Now() - f.at
	switch {
	case !ok || age > 2*keepFor:
		return 1
	case age > keepFor:
		return 1 + (f.slowness-1)/2
	}
	return f.slowness
}

// Report returns what this host tells the others now.
func (c *Comparer) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	var out Report
	for server, f := range c.found {
		if now-f.at > 2*keepFor {
			delete(c.found, server)
			continue
		}
		if f.own && now-f.at < tellFor {
			if out == nil {
				out = make(Report)
			}
			out[server] = uint8(f.slowness * scale)
		}
	}
	return out
}

// Hear takes in what another host told.
func (c *Comparer) Hear(r Report) {
	if len(r) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for server, tenths := range r {
		if f, ok := c.found[server]; ok && f.own && now-f.at < tellFor {
			continue
		}
		c.find(server, finding{slowness: float64(tenths) / scale, at: now})
	}
}

// Forget drops what is known of servers and services for which known says no.
func (c *Comparer) Forget(server, service func(name string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.found {
		if !server(id) {
			delete(c.found, id)
		}
	}
	for name := range c.services {
		if !service(name) {
			delete(c.services, name)
		}
	}
}
