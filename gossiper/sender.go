package gossiper

import (
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

const (
	// planGap is how often a plan is made.
	planGap timer.Millis = 100
	// bundleGapPerHost is how much of the time between two bundles each other host
	// of the data centre stands for, up to mostBundleGap.
	bundleGapPerHost timer.Millis = 4
	mostBundleGap    timer.Millis = 150
)

// counted is a count by workspace as it was last told.
type counted struct {
	count   uint64
	changed timer.Millis
}

// stamp says which Digest of a host was bundled last.
type stamp struct {
	incarnation string
	sequence    uint64
}

// sender sends one host's Digests, and bundles where it speaks for its data
// centre. It is used by one goroutine.
type sender struct {
	gossiper *Gossiper
	sequence uint64
	counts   map[string]counted
	// own is the newest Digest; unsent says that it has not gone far yet.
	own    envelope
	unsent bool
	// The times of what was done last.
	full, near, far, planned timer.Millis
	// bundled is by data centre and host.
	bundled map[string]map[string]stamp
}

func newSender(g *Gossiper) *sender {
	return &sender{gossiper: g, counts: make(map[string]counted), bundled: make(map[string]map[string]stamp)}
}

// tell sends what is due, and returns how long the next time may wait. touched
// says that the Digest changed.
func (v *sender) tell(touched bool) timer.Millis {
	o := &v.gossiper.options
	now := o.Clock.Now()
	p := v.plan(now)
	if touched || now-v.near >= o.MaxGap {
		v.renew(now)
		v.gossiper.write(packet{Envelopes: []envelope{v.own}}, p.near)
		v.near = now
	}
	gap := v.farGap(p)
	if now-v.far >= gap {
		v.tellFar(p)
		v.far = now
	}
	next := v.near + o.MaxGap
	if v.unsent || len(p.bundles) > 0 {
		next = min(next, v.far+gap)
	}
	return next - now
}

// farGap is the least time between two messages to other data centres. Bundles are
// passed on to every host there, so a speaker of many hosts sends them less often.
func (v *sender) farGap(p *plan) timer.Millis {
	return max(v.gossiper.options.FarGap, min(timer.Millis(len(p.near))*bundleGapPerHost, mostBundleGap))
}

// renew makes the Digest anew.
func (v *sender) renew(now timer.Millis) {
	d := v.gossiper.options.Build()
	v.sequence++
	d.Sequence = v.sequence
	d.Admitted = v.recent(d.Admitted, now)
	e, err := seal(d)
	if err != nil {
		v.gossiper.options.Logger.Error("digest not encoded", zap.Error(err))
		return
	}
	v.own, v.unsent = e, true
}

func (v *sender) tellFar(p *plan) {
	if v.unsent {
		v.gossiper.write(packet{Envelopes: []envelope{v.own}}, p.far)
		v.unsent = false
	}
	for _, t := range p.bundles {
		v.gossiper.writeBundle(v.bundle(t.dataCentre, p), t.address)
	}
}

// bundle lists the Digests of this data centre that are newer than what was
// bundled for another one.
func (v *sender) bundle(dataCentre string, p *plan) []envelope {
	done, ok := v.bundled[dataCentre]
	if !ok {
		done = make(map[string]stamp)
		v.bundled[dataCentre] = done
	}
	var out []envelope
	for _, e := range append(v.gossiper.envelopes(p.nearNames), v.own) {
		s := stamp{e.Incarnation, e.Sequence}
		if e.Host != "" && done[e.Host] != s {
			out = append(out, e)
			done[e.Host] = s
		}
	}
	return out
}

// plan returns the current plan, made anew when it is due.
func (v *sender) plan(now timer.Millis) *plan {
	g := v.gossiper
	if v.planned == 0 || now-v.planned >= planGap {
		alive := func(name string) bool {
			at, ok := g.Heard(name)
			return ok && now-at < speakerSilence
		}
		g.plan.Store(makePlan(g.options.Self, g.options.Peers(), alive, now))
		v.planned = now
	}
	return g.currentPlan()
}

// recent returns the counts that changed lately, or all when those are due.
func (v *sender) recent(all map[string]uint64, now timer.Millis) map[string]uint64 {
	out := make(map[string]uint64)
	full := now-v.full >= fullGap
	if full {
		v.full = now
	}
	for name, n := range all {
		c, ok := v.counts[name]
		if !ok || c.count != n {
			c = counted{count: n, changed: now}
			v.counts[name] = c
		}
		if full || now-c.changed < recentGap {
			out[name] = n
		}
	}
	return out
}
