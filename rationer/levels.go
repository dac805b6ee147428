package rationer

import "github.com/jackdawgate/jackdawgate/timer"

// digestDelay is the longest time from when another host admits a request to when a host
// that has just started receives a digest that counts it.
const digestDelay timer.Millis = 200

// Observe sets the quotas of workspaces, so that this host also keeps the buckets of
// workspaces for which it has admitted nothing.
func (r *Rationer) Observe(limits map[string]Limit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for workspace, l := range limits {
		r.refilledBucket(workspace, l)
	}
}

// Levels returns lower bounds of the levels of the buckets, in requests, for a host that
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
		unreported := b.limit.Rate * float64(digestDelay) / float64(timer.Second)
		if level := b.level - unreported; level > 0 {
			out[workspace] = level
		}
	}
	return out
}

// Inherit takes over the Levels of another host. The levels of both hosts are lower
// bounds, so the higher one holds.
func (r *Rationer) Inherit(levels map[string]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for workspace, level := range levels {
		b := r.bucketFor(workspace)
		if b.limit.Rate == 0 {
			// No quota has been set yet, so the level is refilled only from now on.
			b.refilledAt = now
		}
		r.refill(b, now)
		b.level = max(b.level, level)
	}
}

// Tolerance is the amount by which the fleet may exceed a quota within any Window: a
// Share of the quota plus Slack requests.
type Tolerance struct {
	Window timer.Millis
	Share  float64
	Slack  float64
}

// coldStartShare is the share of a Tolerance that a fleet may spend in advance after a
// cold start. The rest covers the requests that hosts admit before they receive digests of
// one another.
const coldStartShare = 0.5

// coldStartLevel returns the level that a bucket may have when no host has a record of
// earlier admissions.
func (t Tolerance) coldStartLevel(l Limit) float64 {
	quota := l.Rate*float64(t.Window)/float64(timer.Second) + l.Burst
	return coldStartShare * (t.Share*quota + t.Slack)
}

// Advance raises the levels of all buckets with a quota to what a Tolerance allows. It is
// for a fleet all of whose hosts were restarted; the digests report to each host what the
// others spend of the advance.
func (r *Rationer) Advance(t Tolerance) {
	levels := make(map[string]float64)
	r.mu.Lock()
	for workspace, b := range r.buckets {
		if b.limit.Rate > 0 {
			levels[workspace] = min(t.coldStartLevel(b.limit), b.limit.Burst)
		}
	}
	r.mu.Unlock()
	r.Inherit(levels)
}
