// Package comparer finds backend servers that are slower than the other servers of
// their service.
//
// It handles the failure pattern "slow replica" or "grey failure". A slow server answers
// every call, so nothing ejects it. Since its calls last longer, it looks only slightly
// more loaded than other servers, while each of its calls is late. A host compares the
// time between the events of a server with the mean of the service, both as observed by
// the host itself. So neither a load that rises on all servers nor a slow host makes a
// server look slow.
//
// Each host observes few calls of each server, so hosts report the slow servers that
// they found to one another. A finding counts in full for a while and then by half, so
// that a few calls go to the server again and show whether it has recovered. A slow
// server gets less work, but not none.
package comparer

import (
	"sync"

	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

const (
	// slowThreshold is the slowdown factor from which a server counts as slow,
	// maxSlowdown the highest factor that is kept and reported.
	slowThreshold = 1.8
	maxSlowdown   = 8.0
	// retention is how long a finding counts in full; for as long again it counts by
	// half. reportWindow is how long a host reports a finding of its own.
	retention    timer.Millis = 2000
	reportWindow timer.Millis = 600
	// sampleWeight is the weight of the newest call in the mean of a service, minCalls
	// the number of calls that a mean needs.
	sampleWeight = 0.05
	minCalls     = 20
	// minEvents is the number of events below which a call is ignored.
	minEvents = 4
	// reportScale is the number of report units per unit of slowdown: reports are in tenths.
	reportScale = 10
)

// Report is the message about slow servers: the slowdown factor of each, in tenths.
type Report map[string]uint8

// Sample describes a call that a server answered: the number of its events, and the time
// from the first to the last one.
type Sample struct {
	Service, Server string
	Events          int
	Took            timer.Millis
}

// Comparer tracks the mean time per event of each service and the slow servers. It is
// safe for concurrent use.
type Comparer struct {
	clock  timer.Clock
	logger *zap.Logger

	mu       sync.Mutex
	services map[string]*mean
	findings map[string]finding
}

// mean is the mean time per event of a service, in milliseconds.
type mean struct {
	perEvent float64
	calls    int
}

// finding is the slowdown factor of a server: its time per event as a multiple of the
// mean of its service, at a given time.
type finding struct {
	slowdown float64
	at       timer.Millis
	// local is set if this host made the finding; another host reported it otherwise.
	local bool
}

// New returns a Comparer without observations. It logs when a server is
// found slow and when a later observation clears it.
func New(c timer.Clock, l *zap.Logger) *Comparer {
	return &Comparer{clock: c, logger: l, services: make(map[string]*mean), findings: make(map[string]finding)}
}

// Observe records a call. Calls of less than minEvents events are ignored.
func (c *Comparer) Observe(r Sample) {
	if r.Events < minEvents {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.services[r.Service]
	if !ok {
		m = &mean{}
		c.services[r.Service] = m
	}
	perEvent := float64(r.Took) / float64(r.Events-1)
	slowdown := m.slowdown(perEvent)
	m.add(perEvent)
	c.record(r.Server, finding{slowdown: slowdown, at: c.clock.Now(), local: true})
}

// slowdown returns perEvent as a multiple of the mean, at most maxSlowdown. It is 1
// until the mean has minCalls calls.
func (m *mean) slowdown(perEvent float64) float64 {
	if m.calls < minCalls || m.perEvent <= 0 {
		return 1
	}
	return min(perEvent/m.perEvent, maxSlowdown)
}

// add adds the time per event of one call to the mean. A value above slowThreshold
// times the mean counts as that bound, so that a few slow servers do not become the mean.
func (m *mean) add(perEvent float64) {
	m.calls++
	if m.calls <= minCalls {
		m.perEvent += (perEvent - m.perEvent) / float64(m.calls)
		return
	}
	m.perEvent += sampleWeight * (min(perEvent, slowThreshold*m.perEvent) - m.perEvent)
}

// record keeps a finding of this host or of another one, and drops the server if it is
// not slow. The caller holds c.mu.
func (c *Comparer) record(server string, f finding) {
	_, known := c.findings[server]
	switch {
	case f.slowdown >= slowThreshold:
		c.findings[server] = f
	case known:
		delete(c.findings, server)
	}
	if slow := f.slowdown >= slowThreshold; slow != known {
		c.logger.Info("server's pace changed", zap.String("server", server), zap.Bool("slow", slow),
			zap.Float64("slowness", f.slowdown), zap.Bool("own", f.local))
	}
}

// Slowdown returns the slowdown factor of a server as a multiple of the mean of its
// service. It is 1 for a server without a recent finding.
func (c *Comparer) Slowdown(server string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	f, ok := c.findings[server]
	age := c.clock.Now() - f.at
	switch {
	case !ok || age > 2*retention:
		return 1
	case age > retention:
		return 1 + (f.slowdown-1)/2
	}
	return f.slowdown
}

// Report returns the recent findings of this host, to be sent to the others.
func (c *Comparer) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	var out Report
	for server, f := range c.findings {
		if now-f.at > 2*retention {
			delete(c.findings, server)
			continue
		}
		if f.local && now-f.at < reportWindow {
			if out == nil {
				out = make(Report)
			}
			out[server] = uint8(f.slowdown * reportScale)
		}
	}
	return out
}

// Merge applies the report of another host. A recent finding of this host takes
// precedence.
func (c *Comparer) Merge(r Report) {
	if len(r) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for server, tenths := range r {
		if f, ok := c.findings[server]; ok && f.local && now-f.at < reportWindow {
			continue
		}
		c.record(server, finding{slowdown: float64(tenths) / reportScale, at: now})
	}
}

// Retain drops the findings of servers and the means of services for which the given
// functions return false.
func (c *Comparer) Retain(server, service func(name string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.findings {
		if !server(id) {
			delete(c.findings, id)
		}
	}
	for name := range c.services {
		if !service(name) {
			delete(c.services, name)
		}
	}
}
