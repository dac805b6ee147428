package dispatcher

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/suspector"
	"go.uber.org/zap"
)

// inFlightCalls holds the calls that this host has sent to each server, to find those
// that were in flight when the server crashed. A call remains until it ends or, if its
// connection was cut, until it is known whether the server crashed.
type inFlightCalls struct {
	mu       sync.Mutex
	seq      uint64
	byServer map[string]map[*inFlightCall]struct{}
	// crashChecks holds a lock for each server, held while the host determines
	// whether the server crashed. It is acquired before mu.
	crashChecks map[string]*sync.Mutex
	// lastCrash holds the record of the last crash of each server.
	lastCrash map[string]suspector.Records
}

// inFlightCall is one call on a server.
type inFlightCall struct {
	server string
	call   suspector.Call
	// tokens counts the tokens of the answer so far.
	tokens atomic.Int64
	// startSeq and cutSeq give the order, on this host, in which calls were sent and
	// connections were cut.
	startSeq, cutSeq uint64
	// counted reports whether the call was counted for a crash of the server.
	counted bool
}

func newInFlightCalls() *inFlightCalls {
	return &inFlightCalls{
		byServer: make(map[string]map[*inFlightCall]struct{}), crashChecks: make(map[string]*sync.Mutex), lastCrash: make(map[string]suspector.Records),
	}
}

func (f *inFlightCalls) begin(server string, c suspector.Call) *inFlightCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq++
	x := &inFlightCall{server: server, call: c, startSeq: f.seq}
	if f.byServer[server] == nil {
		f.byServer[server] = make(map[*inFlightCall]struct{})
	}
	f.byServer[server][x] = struct{}{}
	return x
}

// end removes x unless its connection was cut. Then x remains until it is known
// whether the server crashed.
func (f *inFlightCalls) end(x *inFlightCall, r exchanger.Result) {
	if b, ok := r.(exchanger.Broken); ok && b.ConnectionLost {
		f.mu.Lock()
		f.seq++
		x.cutSeq = f.seq
		f.mu.Unlock()
		return
	}
	f.remove(x)
}

func (f *inFlightCalls) remove(x *inFlightCall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeLocked(x)
}

// removeLocked removes x. The caller holds f.mu.
func (f *inFlightCalls) removeLocked(x *inFlightCall) {
	delete(f.byServer[x.server], x)
	if len(f.byServer[x.server]) == 0 {
		delete(f.byServer, x.server)
	}
}

// takeInFlight removes the calls that were on the server when x's connection was cut,
// and returns them. Since they are removed, each counts for one crash only. Calls sent
// later went to the successor of the crashed server. A call whose answer was under way
// did not crash the server by a part of its prompt, so it is returned without them.
func (f *inFlightCalls) takeInFlight(x *inFlightCall) []suspector.Call {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []suspector.Call
	for y := range f.byServer[x.server] {
		if y.startSeq > x.cutSeq {
			continue
		}
		y.counted = true
		f.removeLocked(y)
		if y.call.Fingerprint == 0 {
			continue
		}
		c := y.call
		if y.tokens.Load() >= suspector.ProgressEvents {
			c.Parts = nil
		}
		out = append(out, c)
	}
	return out
}

// crashCheck returns the lock for determining whether server crashed. The calls that
// were cut by one crash check one after the other, so that the first check serves all
// of them.
func (f *inFlightCalls) crashCheck(server string) *sync.Mutex {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.crashChecks[server]
	if !ok {
		c = new(sync.Mutex)
		f.crashChecks[server] = c
	}
	return c
}

func (f *inFlightCalls) isCounted(x *inFlightCall) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return x.counted
}

func (f *inFlightCalls) setLastCrash(server string, r suspector.Records) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastCrash[server] = r
}

// crashRecord returns the record of the last crash of a server, which the reply to a call
// that it ended carries: the host that retries the call must know of the crash before.
func (f *inFlightCalls) crashRecord(server string) *suspector.Records {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.lastCrash[server]
	if !ok {
		return nil
	}
	return &r
}

// confirmCrash reports whether the server of a call whose connection was cut has
// crashed, and if so passes the calls in flight to Suspects. It first checks the idle
// connections that the probes have left. If one of them is still open, the server has
// not crashed and no call is suspected. If all of them were closed, it has crashed,
// though it may have restarted in the meantime. Only if there are none, the server has
// crashed if it does not answer a health request, see isReachable.
func (d *Dispatcher) confirmCrash(b *registrar.BackendServer, x *inFlightCall) bool {
	c := d.inFlight.crashCheck(b.Name)
	c.Lock()
	defer c.Unlock()
	if d.inFlight.isCounted(x) {
		return true
	}
	if !d.hasCrashed(b) {
		d.inFlight.remove(x)
		return false
	}
	calls := d.inFlight.takeInFlight(x)
	if len(calls) > 0 && d.options.Suspects != nil {
		d.inFlight.setLastCrash(b.Name, d.options.Suspects.RecordCrash(b.Name, calls))
	}
	d.options.Logger.Warn("backend server crashed", zap.String("server", b.Name), zap.Int("in-flight", len(calls)))
	return true
}

func (d *Dispatcher) hasCrashed(b *registrar.BackendServer) bool {
	switch d.options.Exchanger.CheckConnections(b.Address) {
	case exchanger.ConnectionOpen:
		return false
	case exchanger.ConnectionClosed:
		return true
	}
	ctx, cancel := context.WithTimeout(d.ctx, d.options.ProbeTimeout.Duration())
	defer cancel()
	if d.isReachable(ctx, b) {
		return false
	}
	d.loads.recordFailure(b.Name)
	return true
}

// isReachable reports whether the server answers at all. A timeout leaves this
// undecided and counts as reachable, so that a network partition makes no call a
// suspect.
func (d *Dispatcher) isReachable(ctx context.Context, b *registrar.BackendServer) bool {
	_, _, err := d.options.Exchanger.Get(ctx, "death-"+b.Name, b.Address, pathHealth)
	if err == nil {
		return true
	}
	var n interface{ Timeout() bool }
	return ctx.Err() != nil || (errors.As(err, &n) && n.Timeout())
}
