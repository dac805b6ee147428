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
//
// Besides such findings of momentary slowness, the Comparer estimates each server's own pace:
// its usual time per event as a multiple of the service's mean. The estimate starts at the mean,
// with a width (uncertainty) that shrinks with each observation, and is used once it differs
// from the mean by more than the width. Hosts report a pace when it has changed, when a finding
// ends, and every paceInterval, for hosts that have started since.
package comparer

import (
	"math"
	"sync"

	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

const (
	// slowThreshold is the slowdown factor from which a server counts as slow.
	slowThreshold = 1.8
	// maxSlowdown is the highest slowdown factor that is kept and reported.
	maxSlowdown = 8.0
	// retention is how long a finding counts in full; for as long again it counts by half.
	retention timer.Millis = 2000
	// reportWindow is how long a host reports a finding of its own.
	reportWindow timer.Millis = 600
	// sampleWeight is the weight of the newest call in the mean of a service.
	sampleWeight = 0.05
	// minCalls is the number of calls that the mean of a service needs.
	minCalls = 20
	// minEvents is the number of events below which a call is ignored.
	minEvents = 4
	// reportScale is the number of report units per unit of slowdown: reports are in tenths.
	reportScale = 10
)

// The estimate of a server's own pace. Paces and widths are multiples of the service's mean time
// per event, weights are in observations.
const (
	// minPace and maxPace bound the estimate. In a report, a value below slowThreshold is a pace
	// and any other one a finding, so maxPace is the largest pace that a report can state.
	minPace = 0.5
	maxPace = 1.7
	// priorWeight is the weight of the prior, by which a server's pace is the mean.
	priorWeight = 1.0
	// reportWeight is the weight of another host's report.
	reportWeight = 4.0
	// maxWeight bounds the weight of past observations, so that the estimate follows a change.
	maxWeight = 20.0
	// observationWidth is the width of an estimate from one observation: two standard deviations
	// of the time per event, which varies by about 15% with the load of a server.
	observationWidth = 0.3
	// minWidth is the smallest width. Smaller differences do not matter to the choice of a server.
	minWidth = 0.12
	// paceInterval is the interval of reports of an unchanged pace, by all hosts together.
	paceInterval timer.Millis = 10_000
	// newsInterval is the least interval of reports of a changed pace, by all hosts together.
	newsInterval timer.Millis = 1000
	// paceWindow is how long digests contain a reported pace. At least one is sent in that time.
	paceWindow timer.Millis = 200
)

// Report is the message about servers that are slow or have a pace of their own: the factor of
// each, in tenths. From slowThreshold on it is a finding, below that the server's pace.
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
	paces    map[string]*pace
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
	return &Comparer{
		clock: c, logger: l,
		services: make(map[string]*mean), findings: make(map[string]finding), paces: make(map[string]*pace),
	}
}

// Observe records a call. Calls of fewer than minEvents events are ignored.
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
	now, perEvent := c.clock.Now(), float64(r.Took)/float64(r.Events-1)
	slowdown, warm := m.slowdown(perEvent)
	m.add(perEvent)
	if !warm {
		return
	}
	p := c.paceOf(r.Server)
	if bound := p.mean + slowThreshold - 1; slowdown >= bound {
		p.add(bound, 1)
		c.record(r.Server, finding{slowdown: max(slowdown, slowThreshold), at: now, local: true})
		return
	}
	p.add(slowdown, 1)
	_, found := c.findings[r.Server]
	c.record(r.Server, finding{slowdown: min(slowdown, maxPace), at: now, local: true})
	if p.isNews(now) || (found && now-p.sharedAt >= paceWindow) {
		p.share(p.mean, now)
		p.reportUntil = now + paceWindow
		c.logger.Info("server's own pace reported", zap.String("server", r.Server), zap.Float64("pace", p.mean),
			zap.Float64("width", p.width()), zap.Float64("observations", p.weight))
	}
}

// paceOf returns the pace of a server. The caller holds c.mu.
func (c *Comparer) paceOf(server string) *pace {
	p, ok := c.paces[server]
	if !ok {
		p = &pace{mean: 1, shared: 1}
		c.paces[server] = p
	}
	return p
}

// slowdown returns perEvent as a multiple of the mean, at most maxSlowdown. It returns false
// until the mean has minCalls calls.
func (m *mean) slowdown(perEvent float64) (float64, bool) {
	if m.calls < minCalls || m.perEvent <= 0 {
		return 1, false
	}
	return min(perEvent/m.perEvent, maxSlowdown), true
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

// Slowdown returns how many times as long as the mean of its service a server takes: the
// larger of its own pace and a recent finding. It is 1 for a server of which neither is known.
func (c *Comparer) Slowdown(server string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := 1.0
	if p, ok := c.paces[server]; ok {
		own = p.value()
	}
	f, ok := c.findings[server]
	if !ok {
		return own
	}
	switch age := c.clock.Now() - f.at; {
	case age > 2*retention:
		return own
	case age > retention:
		return max(own, 1+(f.slowdown-1)/2)
	}
	return max(own, f.slowdown)
}

// Report returns the recent findings of this host and the paces that it reports, to be sent to
// the other hosts. It is nil if there are none.
func (c *Comparer) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	out := make(Report)
	for server, p := range c.paces {
		if now < p.reportUntil {
			out[server] = uint8(math.Round(min(max(p.mean, minPace), maxPace) * reportScale))
		}
	}
	for server, f := range c.findings {
		if now-f.at > 2*retention {
			delete(c.findings, server)
			continue
		}
		if f.local && now-f.at < reportWindow {
			out[server] = uint8(f.slowdown * reportScale)
		}
	}
	if len(out) == 0 {
		return nil
	}
	return out
}

// Paces returns the number of servers whose own pace is known to differ from the mean of their
// service.
func (c *Comparer) Paces() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, p := range c.paces {
		if p.value() != 1 {
			n++
		}
	}
	return n
}

// Merge applies the report of another host. A recent finding of this host takes precedence over
// another finding; a pace ends it, since the other host has seen the server at its pace since.
func (c *Comparer) Merge(r Report) {
	if len(r) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for server, tenths := range r {
		factor := float64(tenths) / reportScale
		if factor < slowThreshold {
			p := c.paceOf(server)
			p.add(factor, reportWeight)
			p.share(factor, now)
		} else if f, ok := c.findings[server]; ok && f.local && now-f.at < reportWindow {
			continue
		}
		c.record(server, finding{slowdown: factor, at: now})
	}
}

// Retain drops the findings and paces of servers and the means of services for which the given
// functions return false.
func (c *Comparer) Retain(server, service func(name string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.findings {
		if !server(id) {
			delete(c.findings, id)
		}
	}
	for id := range c.paces {
		if !server(id) {
			delete(c.paces, id)
		}
	}
	for name := range c.services {
		if !service(name) {
			delete(c.services, name)
		}
	}
}
