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

// sender sends one host's Digests, and bundles while the host is a speaker of its
// data centre. It is used by one goroutine.
type sender struct {
	gossiper *Gossiper
	sequence uint64
	counts   map[string]lastCount
	// own is the newest Digest; unsent reports that it has not been sent to other
	// data centres yet.
	own    envelope
	unsent bool
	// When all counts were last included, when a Digest was last sent to this and
	// to other data centres, and when the plan was last made.
	lastFull, lastNear, lastFar, lastPlan timer.Millis
	// bundled is the Digest last bundled, by receiving data centre and host.
	bundled map[string]map[string]digestVersion
}

func newSender(g *Gossiper) *sender {
	return &sender{gossiper: g, counts: make(map[string]lastCount), bundled: make(map[string]map[string]digestVersion)}
}

// sendDue sends what is due, and returns the time until the next call is due.
// touched reports that the Digest changed.
func (v *sender) sendDue(touched bool) timer.Millis {
	o := &v.gossiper.options
	now := o.Clock.Now()
	p := v.plan(now)
	if touched || now-v.lastNear >= o.MaxInterval {
		v.rebuild(now)
		v.gossiper.write(packet{Envelopes: []envelope{v.own}}, p.near)
		v.lastNear = now
	}
	interval := v.farInterval(p)
	if now-v.lastFar >= interval {
		v.sendFar(p)
		v.lastFar = now
	}
	next := v.lastNear + o.MaxInterval
	if v.unsent || len(p.bundles) > 0 {
		next = min(next, v.lastFar+interval)
	}
	return next - now
}

// farInterval returns the minimum time between two messages to other data centres.
// Bundles are forwarded to every host there, so the speaker of a large data centre
// sends them less often.
func (v *sender) farInterval(p *plan) timer.Millis {
	return max(v.gossiper.options.FarInterval, min(timer.Millis(len(p.near))*bundleIntervalPerHost, maxBundleInterval))
}

// rebuild builds and encodes this host's current Digest.
func (v *sender) rebuild(now timer.Millis) {
	d := v.gossiper.options.Build()
	v.sequence++
	d.Sequence = v.sequence
	d.Admitted = v.recentCounts(d.Admitted, now)
	e, err := encodeDigest(d)
	if err != nil {
		v.gossiper.options.Logger.Error("encode digest", zap.Error(err))
		return
	}
	v.own, v.unsent = e, true
}

func (v *sender) sendFar(p *plan) {
	if v.unsent {
		v.gossiper.write(packet{Envelopes: []envelope{v.own}}, p.far)
		v.unsent = false
	}
	for _, t := range p.bundles {
		v.gossiper.writeBundle(v.bundle(t.dataCentre, p), t.address)
	}
}

// bundle returns the Digests of this data centre that have not been bundled for the
// given data centre yet, and marks them as bundled.
func (v *sender) bundle(dataCentre string, p *plan) []envelope {
	done, ok := v.bundled[dataCentre]
	if !ok {
		done = make(map[string]digestVersion)
		v.bundled[dataCentre] = done
	}
	var out []envelope
	for _, e := range append(v.gossiper.envelopes(p.nearNames), v.own) {
		s := digestVersion{e.Incarnation, e.Sequence}
		if e.Host != "" && done[e.Host] != s {
			out = append(out, e)
			done[e.Host] = s
		}
	}
	return out
}

// plan returns the current plan, and remakes it once per planInterval.
func (v *sender) plan(now timer.Millis) *plan {
	g := v.gossiper
	if v.lastPlan == 0 || now-v.lastPlan >= planInterval {
		isUp := func(name string) bool {
			at, ok := g.LastHeard(name)
			return ok && now-at < speakerTimeout
		}
		g.plan.Store(makePlan(g.options.Self, g.options.Peers(), isUp, now))
		v.lastPlan = now
	}
	return g.currentPlan()
}

// recentCounts returns the counts that changed within recentWindow, or all counts
// once per fullInterval.
func (v *sender) recentCounts(all map[string]uint64, now timer.Millis) map[string]uint64 {
	out := make(map[string]uint64)
	full := now-v.lastFull >= fullInterval
	if full {
		v.lastFull = now
	}
	for name, n := range all {
		c, ok := v.counts[name]
		if !ok || c.count != n {
			c = lastCount{count: n, changed: now}
			v.counts[name] = c
		}
		if full || now-c.changed < recentWindow {
			out[name] = n
		}
	}
	return out
}
