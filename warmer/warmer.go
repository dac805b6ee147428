// Package warmer divides the few requests that a cold backend server takes among the
// hosts of the fleet.
//
// Each host derives its share from the names of the hosts, the server's incarnation and
// the configured rate alone, without messages (ShareOf). The shares of all hosts together
// are at most the rate, whether or not the hosts hear one another. A host spends its share
// in a sliding window. What a host sent before it started, and what it sent to a server
// that becomes cold while it is in use, is unknown; the share counts as spent then.
//
// The state is bounded by the number of cold servers and by what they take in a window.
package warmer

import (
	"slices"
	"strconv"
	"sync"

	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

const (
	// connectMargin is added to the second in which a share is spent. The first request to a
	// server waits for its connection, up to 60 ms between data centres, and a later one
	// does not, so two that leave a second apart may arrive closer together.
	connectMargin timer.Millis = 100
	// maxWindow bounds the window of rates below one a second.
	maxWindow = 60 * 60 * timer.Second
	// maxRequests bounds the requests of a share in one window, so that any rate fits an int.
	maxRequests = 1e6
)

// Share is the number of requests that one host may send to a cold server in any Window.
type Share struct {
	Requests int
	Window   timer.Millis
}

// ShareOf returns the share of the host self in a server that takes rate requests a second
// from all hosts, which must be sorted. A host that is not in the list has none. If there are
// more hosts than requests a second, some hosts have one request each; a hash of the server's
// incarnation picks them.
func ShareOf(self string, hosts []string, v cataloger.Incarnation, rate float64) Share {
	out := Share{Window: timer.Second + connectMargin}
	if rate < 1 {
		interval := timer.Millis(min(float64(timer.Second)/rate, float64(maxWindow)))
		out.Window = min(interval+connectMargin, maxWindow)
	}
	if _, ok := slices.BinarySearch(hosts, self); !ok {
		return out
	}
	if n := float64(len(hosts)); rate >= n {
		out.Requests = int(min(rate/n, maxRequests))
		return out
	}
	object := v.ID + "/" + strconv.FormatInt(v.StartedAt, 10)
	mine, before := assigner.Score(object, self), 0
	for _, h := range hosts {
		if s := assigner.Score(object, h); s > mine || (s == mine && h < self) {
			before++
		}
	}
	if before < max(int(rate), 1) {
		out.Requests = 1
	}
	return out
}

// Warmer keeps the shares of this host of cold servers. It is safe for concurrent use. A
// nil Warmer limits nothing.
type Warmer struct {
	self   string
	clock  timer.Clock
	logger *zap.Logger
	// startedAt is when the host started.
	startedAt timer.Millis

	mu sync.Mutex
	// hosts is replaced, never changed. generation counts its replacements.
	hosts      []string
	generation int
	entries    map[cataloger.Incarnation]*entry
}

// entry is the state of one cold server.
type entry struct {
	share Share
	// rate, in requests a second, and generation are what share was derived from.
	rate       float64
	generation int
	// spent holds the times of the requests in the window, in ascending order.
	spent []timer.Millis
}

// New returns the Warmer of the host self, which has just started.
func New(self string, c timer.Clock, l *zap.Logger) *Warmer {
	return &Warmer{self: self, clock: c, logger: l, startedAt: c.Now(), entries: make(map[cataloger.Incarnation]*entry)}
}

// ApplySnapshot derives the shares from now on from the hosts of s, and drops the state of
// servers that are no longer cold once none of their requests counts any more.
func (w *Warmer) ApplySnapshot(s cataloger.Snapshot) {
	hosts := make([]string, 0, len(s.Members))
	for name := range s.Members {
		hosts = append(hosts, name)
	}
	slices.Sort(hosts)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !slices.Equal(hosts, w.hosts) {
		w.hosts = hosts
		w.generation++
	}
	now := w.clock.Now()
	for i, e := range w.entries {
		v, ok := s.Servers[i.ID]
		cold := ok && v.Incarnation() == i && v.Cold.Contains(now)
		if e.expire(now); !cold && len(e.spent) == 0 {
			delete(w.entries, i)
		}
	}
}

// Room returns what is left of this host's share of a server that takes rate requests a
// second while it is cold. It is not limited if the server is not cold, or if the rate is
// zero. The rate of the room is that of all hosts.
func (w *Warmer) Room(v cataloger.Server, rate float64) throttler.Room {
	if w == nil || v.Cold == nil || rate <= 0 {
		return throttler.Room{}
	}
	now := w.clock.Now()
	if !v.Cold.Contains(now) {
		return throttler.Room{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	wait := w.entryOf(v, rate, now).wait(w.blockedAt(v), now)
	return throttler.Room{
		Limited: true, Cold: true, Open: wait == 0, RetryAfter: min(wait, v.Cold.Until-now), Rate: rate, Age: now - v.Cold.From,
	}
}

// Claim is a request that counts towards the share of a cold server.
type Claim struct {
	server cataloger.Incarnation
	at     timer.Millis
}

// Take counts a request that is about to be sent to a server. ok is false if it is cold and
// the share leaves no room. The Claim is nil if the request does not count.
func (w *Warmer) Take(v cataloger.Server, rate float64) (c *Claim, ok bool) {
	if w == nil || v.Cold == nil || rate <= 0 {
		return nil, true
	}
	now := w.clock.Now()
	if !v.Cold.Contains(now) {
		return nil, true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.entryOf(v, rate, now)
	if e.wait(w.blockedAt(v), now) > 0 {
		return nil, false
	}
	e.spent = append(e.spent, now)
	return &Claim{server: v.Incarnation(), at: now}, true
}

// Refund returns the place of a request that was not sent, or that the server answered with
// 421. It must be called at most once for a Claim; nil is ignored.
func (w *Warmer) Refund(c *Claim) {
	if w == nil || c == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if e, ok := w.entries[c.server]; ok {
		if i, ok := slices.BinarySearch(e.spent, c.at); ok {
			e.spent = slices.Delete(e.spent, i, i+1)
		}
	}
}

// blockedAt returns the last instant at which the share of v may have been spent without a
// record of it.
func (w *Warmer) blockedAt(v cataloger.Server) timer.Millis {
	if v.Cold.Again {
		return max(w.startedAt, v.Cold.From)
	}
	return w.startedAt
}

// entryOf returns the entry of a cold server, with its share as of now. w.mu must be held.
func (w *Warmer) entryOf(v cataloger.Server, rate float64, now timer.Millis) *entry {
	i := v.Incarnation()
	e, ok := w.entries[i]
	if !ok {
		e = &entry{}
		w.entries[i] = e
	}
	if e.rate != rate || e.generation != w.generation || !ok {
		before := e.share
		e.rate, e.generation, e.share = rate, w.generation, ShareOf(w.self, w.hosts, i, rate)
		if !ok || before != e.share {
			w.logger.Info("share of a cold server", zap.String("server", v.ID), zap.Int64("started-at", v.StartedAt),
				zap.Int("share", e.share.Requests), zap.Int64("window-ms", int64(e.share.Window)),
				zap.Float64("rate", rate), zap.Int("hosts", len(w.hosts)),
				zap.Int64("left-ms", int64(v.Cold.Until-now)), zap.Int64("host-started-ms-ago", int64(now-w.startedAt)))
		}
	}
	e.expire(now)
	return e
}

// expire forgets the requests that left the window.
func (e *entry) expire(now timer.Millis) {
	i, _ := slices.BinarySearch(e.spent, now-e.share.Window+1)
	e.spent = slices.Delete(e.spent, 0, i)
}

// wait returns the time until the share leaves room for a request. blockedAt is the last
// instant at which it counts as spent.
func (e *entry) wait(blockedAt, now timer.Millis) timer.Millis {
	if e.share.Requests == 0 {
		// Other hosts have room about this often.
		return max(timer.Millis(float64(timer.Second)/max(e.rate, 1)), 1)
	}
	wait := max(0, blockedAt+e.share.Window-now)
	if over := len(e.spent) - e.share.Requests; over >= 0 {
		wait = max(wait, e.spent[over]+e.share.Window-now)
	}
	return wait
}
