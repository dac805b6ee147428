package executor

import (
	"context"
	"maps"
	"slices"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/filler"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// servicesInUse returns the services on whose servers items of this host run.
func (x *Executor) servicesInUse(s cataloger.Snapshot) []string {
	var out []string
	for _, t := range x.tasks {
		if v, ok := s.Servers[t.server]; t.running && ok && !slices.Contains(out, v.Service) {
			out = append(out, v.Service)
		}
	}
	return out
}

// fill starts and evicts items on the servers of one service as filler.Plan decides. It
// returns how many of the ready items the limits of servers hold back.
func (x *Executor) fill(ctx context.Context, now timer.Millis, service string, ready []*task) int {
	in, servers := x.input(service, ready)
	start, evict := filler.Plan(in)
	for id, n := range evict {
		x.evict(id, n)
	}
	rest := x.assign(ctx, now, start, ready, servers)
	if closed := avoided(rest, now); len(closed) > 0 {
		// The remaining items avoid servers where they failed. Plan again without
		// those servers: others may have free slots too.
		for i, v := range in.Servers {
			in.Servers[i].Closed = v.Closed || closed[v.ID]
			v.Batch[x.options.Host] += start[v.ID]
			in.Servers[i].Starts = max(0, v.Starts-start[v.ID])
		}
		more, _ := filler.Plan(in)
		rest = x.assign(ctx, now, more, rest, servers)
	}
	return min(len(rest), in.HeldBack())
}

// input returns what filler.Plan needs to decide about a service for which this host
// has these items ready, and the servers of the service by identifier.
func (x *Executor) input(service string, ready []*task) (filler.Input, map[string]cataloger.Server) {
	digests := x.options.Digests()
	in := filler.Input{Self: x.options.Host, Backlogs: map[string]int{x.options.Host: len(ready)}, Policy: x.options.Policy}
	for _, d := range digests {
		in.Backlogs[d.Host] = d.Backlog
	}
	mine := x.options.Picker.Loads()
	servers := make(map[string]cataloger.Server)
	online := 0
	candidates := x.options.Picker.Candidates(service, x.class(service))
	for _, c := range candidates {
		v := filler.Server{
			ID: c.Server.ID, Slots: c.Slots, Online: c.Online,
			Closed: c.Server.Draining || !c.Usable, Batch: map[string]int{}, Limited: c.Room.Limited, Slowdown: c.Slowdown,
		}
		if c.Room.Open {
			v.Starts = 1
		}
		if n := mine[v.ID].Batch; n > 0 {
			v.Batch[x.options.Host] = n
		}
		for _, d := range digests {
			if n := d.Loads[v.ID].Batch; n > 0 {
				v.Batch[d.Host] = n
			}
		}
		v.Barred = x.barred(c.Server, ready, digests)
		servers[v.ID] = c.Server
		in.Servers = append(in.Servers, v)
		online += v.Online
	}
	x.yielding[service] = in.OnlineNeedsLimits()
	in.Policy = in.Policy.WithDemand(x.peakOnline(service, online), len(in.Servers))
	return in, servers
}

// class returns the class of the items of a service, as of the last decision.
func (x *Executor) class(service string) throttler.Batch {
	return throttler.Batch{Yield: x.yielding[service]}
}

// assign starts ready items on servers, as many as start says for each, and returns
// those that it did not start. No item starts on a server that it avoids.
func (x *Executor) assign(ctx context.Context, now timer.Millis, start filler.Counts, ready []*task, servers map[string]cataloger.Server) []*task {
	for id, n := range start {
		for range n {
			i := slices.IndexFunc(ready, func(t *task) bool { return !t.avoids(id, now) && x.permits(t, servers[id]) })
			if i < 0 {
				break
			}
			if !x.start(ctx, ready[i], servers[id]) {
				break
			}
			ready = slices.Delete(ready, i, i+1)
		}
	}
	return ready
}

// avoided returns the servers that any item of list avoids.
func avoided(list []*task, now timer.Millis) map[string]bool {
	out := make(map[string]bool)
	for _, t := range list {
		if t.avoidsAny(now) {
			maps.Copy(out, t.failedAt)
		}
	}
	return out
}

// avoids reports whether the item should not start on server because it recently
// failed there.
func (t *task) avoids(server string, now timer.Millis) bool {
	return t.avoidsAny(now) && t.failedAt[server]
}

// avoidsAny reports whether the item still waits for servers where it did not fail.
func (t *task) avoidsAny(now timer.Millis) bool { return now < t.readySince+avoidDuration }

// evict cancels n items on a server: those due last, and among them those that
// started last, which lose the least work.
func (x *Executor) evict(server string, n int) {
	var running []*task
	for _, t := range x.tasks {
		if t.running && t.server == server && t.evicted == 0 {
			running = append(running, t)
		}
	}
	slices.SortFunc(running, func(a, b *task) int {
		if d := b.job.Due() - a.job.Due(); d != 0 {
			return int(d)
		}
		return int(b.started - a.started)
	})
	for _, t := range running[:min(n, len(running))] {
		x.evictTask(t, "server full")
	}
}

// evictTask cancels a running item, which keeps its output. The caller holds x.mu.
func (x *Executor) evictTask(t *task, cause string) {
	t.evicted++
	t.cancel()
	x.options.Logger.Info("item evicted", zap.String("item", t.item().ID), zap.String("job", t.key.ref.Job),
		zap.String("server", t.server), zap.String("cause", cause), zap.Int64("events", t.lastEvent()))
}

// evacuate evicts all items that run in evacuated data centres. Picker.Candidates no longer
// lists the servers there, so the items start again elsewhere. The caller holds x.mu.
func (x *Executor) evacuate(s cataloger.Snapshot) {
	if len(s.Evacuated) == 0 {
		return
	}
	for _, t := range x.tasks {
		if t.running && t.evicted == 0 && s.Evacuated[t.dataCentre] {
			x.evictTask(t, "data centre evacuated")
		}
	}
}
