package gossiper

import (
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

const (
	// planInterval is how often the plan is remade.
	planInterval timer.Millis = 100
	// bundleIntervalPerHost is what each other host of the data centre adds to the
	// time between two bundles, up to maxBundleInterval.
	bundleIntervalPerHost timer.Millis = 4
	maxBundleInterval     timer.Millis = 150
)

// lastCount is the last known count of a workspace, and when it changed.
type lastCount struct {
	count   uint64
	changed timer.Millis
}

// digestVersion identifies one Digest of a host.
type digestVersion struct {
	incarnation string
	sequence    uint64
}

// sender sends one host's Digests, and bundles while the host is a bundler of its
// data centre. It is used by one goroutine.
type sender struct {
	gossiper *Gossiper
	sequence uint64
	counts   map[string]lastCount
	// own is the newest Digest; unsent reports that it has not been sent to other
	// data centres yet.
	own    envelope
	unsent bool
	// lastFull is when all counts were last included in a Digest, lastNear and lastFar
	// when one was last sent to this and to other data centres, and lastPlan when the
	// plan was last made.
	lastFull, lastNear, lastFar, lastPlan timer.Millis
	// bundled is the Digest last bundled, by receiving data centre and host.
	bundled map[string]map[string]digestVersion
}

func newSender(g *Gossiper) *sender {
	return &sender{gossiper: g, counts: make(map[string]lastCount), bundled: make(map[string]map[string]digestVersion)}
}

// sendDue sends what is due, and returns the time until the next call is due.
// touched reports that the Digest changed.
func (s *sender) sendDue(touched bool) timer.Millis {
	o := &s.gossiper.options
	now := o.Clock.Now()
	p := s.plan(now)
	if touched || now-s.lastNear >= o.MaxInterval {
		s.rebuild(now)
		s.gossiper.write(packet{Envelopes: []envelope{s.own}}, p.near)
		s.lastNear = now
	}
	interval := s.farInterval(p)
	if now-s.lastFar >= interval {
		s.sendFar(p)
		s.lastFar = now
	}
	next := s.lastNear + o.MaxInterval
	if s.unsent || len(p.bundles) > 0 {
		next = min(next, s.lastFar+interval)
	}
	return next - now
}

// farInterval returns the minimum time between two messages to other data centres.
// Bundles are forwarded to every host there, so the bundler of a large data centre
// sends them less often.
func (s *sender) farInterval(p *plan) timer.Millis {
	return max(s.gossiper.options.FarInterval, min(timer.Millis(len(p.near))*bundleIntervalPerHost, maxBundleInterval))
}

// rebuild builds and encodes this host's current Digest.
func (s *sender) rebuild(now timer.Millis) {
	d := s.gossiper.options.Build()
	s.sequence++
	d.Sequence = s.sequence
	d.Admitted = s.recentCounts(d.Admitted, now)
	e, err := encodeDigest(d)
	if err != nil {
		s.gossiper.options.Logger.Error("cannot encode own digest", zap.Error(err))
		return
	}
	s.own, s.unsent = e, true
}

func (s *sender) sendFar(p *plan) {
	if s.unsent {
		s.gossiper.write(packet{Envelopes: []envelope{s.own}}, p.far)
		s.unsent = false
	}
	for _, t := range p.bundles {
		s.gossiper.writeBundle(s.bundle(t.dataCentre, p), t.address)
	}
}

// bundle returns the Digests of this data centre that have not been bundled for the
// given data centre yet, and marks them as bundled.
func (s *sender) bundle(dataCentre string, p *plan) []envelope {
	done, ok := s.bundled[dataCentre]
	if !ok {
		done = make(map[string]digestVersion)
		s.bundled[dataCentre] = done
	}
	var out []envelope
	for _, e := range append(s.gossiper.envelopes(p.nearNames), s.own) {
		s := digestVersion{e.Incarnation, e.Sequence}
		if e.Host != "" && done[e.Host] != s {
			out = append(out, e)
			done[e.Host] = s
		}
	}
	return out
}

// plan returns the current plan, and remakes it once per planInterval.
func (s *sender) plan(now timer.Millis) *plan {
	g := s.gossiper
	if s.lastPlan == 0 || now-s.lastPlan >= planInterval {
		isUp := func(name string) bool {
			at, ok := g.LastReceived(name)
			return ok && now-at < bundlerTimeout
		}
		g.plan.Store(makePlan(g.options.Self, g.options.Peers(), isUp, now))
		s.lastPlan = now
	}
	return g.currentPlan()
}

// recentCounts returns the counts that changed within recentWindow, or all counts
// once per fullInterval.
func (s *sender) recentCounts(all map[string]uint64, now timer.Millis) map[string]uint64 {
	out := make(map[string]uint64)
	full := now-s.lastFull >= fullInterval
	if full {
		s.lastFull = now
	}
	for name, n := range all {
		c, ok := s.counts[name]
		if !ok || c.count != n {
			c = lastCount{count: n, changed: now}
			s.counts[name] = c
		}
		if full || now-c.changed < recentWindow {
			out[name] = n
		}
	}
	return out
}
