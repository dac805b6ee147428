package dispatcher

import (
	"context"
	"sync"

	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Fallback calls
//
// A server has no reachable keeper host while its former keeper host is down and the
// next one must wait for the end of its permission, or while the store is unavailable
// and the membership cannot change. An online call does not wait for this: its entry
// host calls the server directly. The ledger limits the load of a server; it is not
// needed for the correctness of calls. The cost is therefore at most too many calls
// on the server for that time, and each host makes at most its equal share of the
// slots in fallback calls to a server. Batch calls wait.
//
// There are two alternatives. Waiting for the hand-over makes some servers
// unavailable for ten seconds whenever a host fails, and for as long as an outage of
// the store lasts. A deputy host with a ledger of its own adds a hop, and still gives
// two ledgers when the keeper host is only cut off from the entry host.

// unreachableTime is how long a host that could not be reached is not called again.
const unreachableTime = timer.Second

// fallbackCalls counts the fallback calls of this host by server, and records the
// hosts that could not be reached.
type fallbackCalls struct {
	mu               sync.Mutex
	running          map[string]int
	unreachableUntil map[string]timer.Millis
}

func newFallbackCalls() *fallbackCalls {
	return &fallbackCalls{running: make(map[string]int), unreachableUntil: make(map[string]timer.Millis)}
}

// begin reserves one of at most limit fallback calls to server and reports whether
// one was available.
func (x *fallbackCalls) begin(server string, limit int) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.running[server] >= limit {
		return false
	}
	x.running[server]++
	return true
}

func (x *fallbackCalls) end(server string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.running[server]--
	if x.running[server] == 0 {
		delete(x.running, server)
	}
}

// markUnreachable records that the host at address could not be reached.
func (x *fallbackCalls) markUnreachable(address string, now timer.Millis) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for a, until := range x.unreachableUntil {
		if now >= until {
			delete(x.unreachableUntil, a)
		}
	}
	x.unreachableUntil[address] = now + unreachableTime
}

func (x *fallbackCalls) isUnreachable(address string, now timer.Millis) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return now < x.unreachableUntil[address]
}

// lacksKeeperHost reports whether o means that this host can reach no host that may act
// as the owner of the server.
func lacksKeeperHost(o requester.Outcome) bool {
	n, ok := o.(requester.NotRun)
	return ok && (n.Code == CodeNotKeeper || n.Code == CodeHostUnreachable)
}

// orFallback calls the server of an online call directly if o means that the server
// has no reachable keeper host. Otherwise it returns o.
func (d *Dispatcher) orFallback(ctx context.Context, r *runRequest, v *delivery, o requester.Outcome) requester.Outcome {
	if r.Request.Class != requester.Online || !lacksKeeperHost(o) {
		return o
	}
	s := d.options.Viewer.View()
	b, ok := s.Record.Servers[r.Server]
	if !ok || b.Leaving {
		return o
	}
	if !d.fallback.begin(b.Name, fallbackLimit(b.Slots, len(s.Record.Members))) {
		return o
	}
	defer d.fallback.end(b.Name)
	d.options.Logger.Info("routed without keeper host", zap.String("request", r.Request.ID),
		zap.String("workspace", r.Request.Workspace), zap.String("chosen", b.Name), zap.String("why", "no-keeper-host"))
	d.metrics.fallbackCalls.Add(ctx, 1)
	return d.exchangeWithoutKeeper(ctx, r, &b, v)
}

// fallbackLimit returns a host's equal share of a server's slots, among the hosts
// other than the keeper host.
func fallbackLimit(slots, members int) int { return max(1, slots/max(1, members-1)) }

func (d *Dispatcher) exchangeWithoutKeeper(ctx context.Context, r *runRequest, b *registrar.BackendServer, s exchanger.Sink) requester.Outcome {
	release, o := d.isolateSuspect(r)
	if o != nil {
		return o
	}
	defer release()
	l, o := d.takeLimit(r)
	if o != nil {
		return o
	}
	f := d.inFlight.begin(b.Name, suspectCall(&r.Request))
	result := d.exchange(ctx, r, b, l, s, d.fallbackPermit(b.Name))
	d.inFlight.end(f, result)
	d.recordAnswered(&r.Request, result)
	return d.finishExchange(r, b, f, result)
}

// fallbackPermit returns a check to be made immediately before a call is sent. Its
// result is valid for that one call.
func (d *Dispatcher) fallbackPermit(server string) func() bool {
	return func() bool {
		s := d.options.Viewer.View()
		b, ok := s.Record.Servers[server]
		return ok && !b.Leaving && s.Permitted(d.options.Clock.Now())
	}
}
