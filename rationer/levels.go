package rationer

import "github.com/jackdawgate/jackdawgate/timer"

// unheardTime is how long other hosts may admit requests before a host that has
// just started hears of them.
const unheardTime timer.Millis = 200

// Observe sets the quotas of workspaces, so that the buckets of those that this
// host admits nothing for are kept too.
func (r *Rationer) Observe(limits map[string]Limit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for workspace, l := range limits {
		r.bucket(workspace, l)
	}
}

// Levels returns what the buckets hold at least, in requests, for a host that
// has just started. Buckets without a quota are left out.
func (r *Rationer) Levels() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	out := make(map[string]float64, len(r.buckets))
	for workspace, b := range r.buckets {
		if b.limit.Rate == 0 {
			continue
		}
		r.refill(b, now)
		unheard := b.limit.Rate * float64(unheardTime) / float64(timer.Second)
		if level := b.level - unheard; level > 0 {
			out[workspace] = level
		}
	}
	return out
}

// Inherit takes over another host's Levels. Every host's are lower bounds, its
// own too, so the higher of two holds.
func (r *Rationer) Inherit(levels map[string]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for workspace, level := range levels {
		b := r.bucketOf(workspace)
		if b.limit.Rate == 0 {
			// What it is refilled with counts from now on.
			b.at = now
		}
		r.refill(b, now)
		b.level = max(b.level, level)
	}
}

// Tolerance is by how much the fleet may exceed a quota within any Window: by a
// Share of it and by Slack requests.
type Tolerance struct {
	Window timer.Millis
	Share  float64
	Slack  float64
}

// advanceShare is the part of a Tolerance that a fleet may spend in advance; the
// rest is for what hosts admit before they hear of one another.
const advanceShare = 0.5

// advance is what a bucket may hold when nobody knows what was spent before.
func (t Tolerance) advance(l Limit) float64 {
	quota := l.Rate*float64(t.Window)/float64(timer.Second) + l.Burst
	return advanceShare * (t.Share*quota + t.Slack)
}

// Advance raises the levels of the buckets that are known to what a Tolerance
// allows. It is for the hosts of a fleet none of which lived on; each hears what
// the others spend of it.
func (r *Rationer) Advance(t Tolerance) {
	levels := make(map[string]float64)
	r.mu.Lock()
	for workspace, b := range r.buckets {
		if b.limit.Rate > 0 {
			levels[workspace] = min(t.advance(b.limit), b.limit.Burst)
		}
	}
	r.mu.Unlock()
	r.Inherit(levels)
}
