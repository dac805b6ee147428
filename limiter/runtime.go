package limiter

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Options are the settings of a Limiter.
type Options struct {
	// Scheme selects how hosts obtain tokens. All hosts must use the same one.
	Scheme Scheme
	// MaxWait is how long a request waits for an owner that cannot be reached
	// or does not decide yet.
	MaxWait timer.Millis
	// Admitted, if set, is called for each admission. It must not block, and
	// may be called concurrently.
	Admitted func(workspace string, at timer.Millis)
}

// DefaultOptions returns the options for production.
func DefaultOptions() Options {
	return Options{Scheme: Chosen, MaxWait: 250}
}

const (
	// observeInterval is the interval at which the fleet's snapshot is polled.
	observeInterval = 25 * timer.Millis(1)
	// retryPause is the wait between two attempts to decide one request.
	retryPause = 20 * timer.Millis(1)
	// unreachablePause is how long no further grant request is sent to an owner
	// that did not answer.
	unreachablePause = 200 * timer.Millis(1)
	// inactivePause is the same for an owner that answered with an error because
	// it does not decide yet.
	inactivePause = 50 * timer.Millis(1)
)

// Limiter admits requests on one host. It is safe for concurrent use.
//
// Each workspace has an entry with its own mutex, so that the cost of a request
// depends neither on the number of workspaces nor, except after a change of
// epoch, on the number of hosts. One goroutine observes the fleet: it takes over
// limits, releases the leases of former members, and returns unused leases.
type Limiter struct {
	viewer  coordinator.Viewer
	caller  messenger.Caller
	clock   timer.Clock
	logger  *zap.Logger
	options Options
	meters  meters

	running sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc

	startMu sync.Mutex
	// closed is set by Close: no goroutine may start after that.
	closed bool

	mu      sync.RWMutex
	entries map[string]*entry
}

type meters struct {
	admitted, refused, unknown, grantRequests metric.Int64Counter
}

func newMeters(m metric.Meter) (meters, error) {
	var out meters
	for name, c := range map[string]*metric.Int64Counter{
		"jackdawgate.limiter.admitted":  &out.admitted,
		"jackdawgate.limiter.refused":   &out.refused,
		"jackdawgate.limiter.unknown":   &out.unknown,
		"jackdawgate.limiter.questions": &out.grantRequests,
	} {
		counter, err := m.Int64Counter(name)
		if err != nil {
			return out, eris.Wrapf(err, "create counter %s", name)
		}
		*c = counter
	}
	return out, nil
}

// New returns a Limiter, registers its message handlers and starts its goroutine.
// If the counters cannot be created, it logs the error and works without them.
func New(
	viewer coordinator.Viewer, caller messenger.Caller, registry messenger.Registry,
	clock timer.Clock, logger *zap.Logger, meter metric.Meter, options Options,
) *Limiter {
	ctx, cancel := context.WithCancel(context.Background())
	counters, err := newMeters(meter)
	if err != nil {
		logger.Error("create limiter metrics", zap.Error(err))
	}
	l := &Limiter{
		viewer: viewer, caller: caller, clock: clock, logger: logger, options: options,
		meters: counters, ctx: ctx, cancel: cancel, entries: make(map[string]*entry),
	}
	registry.Handle(grantMethod, l.handleGrantRequest)
	registry.Handle(reportMethod, l.handleReport)
	l.start(l.observe)
	return l
}

// Admit decides one request of a workspace. It may wait for one round trip to the
// owner, and up to Options.MaxWait for an owner that cannot be reached or does
// not decide yet.
func (l *Limiter) Admit(ctx context.Context, workspace string) Decision {
	deadline := l.clock.Now() + l.options.MaxWait
	for {
		d := l.try(ctx, workspace)
		if !mayChange(d) || l.clock.Now() >= deadline {
			l.count(ctx, d)
			return d
		}
		if !timer.Sleep(ctx, retryPause) {
			return Unknown{Reason: Cancelled}
		}
	}
}

// mayChange reports whether the decision may differ after a short wait.
func mayChange(d Decision) bool {
	u, ok := d.(Unknown)
	return ok && (u.Reason == OwnerChanging || u.Reason == OwnerUnreachable)
}

// Close returns this host's leases, stops the limiter's goroutines and waits for
// them.
func (l *Limiter) Close() {
	for _, e := range l.allEntries() {
		l.returnLease(e)
	}
	l.cancel()
	l.startMu.Lock()
	l.closed = true
	l.startMu.Unlock()
	l.running.Wait()
}

// start runs f on a goroutine that Close waits for. It does nothing after Close.
func (l *Limiter) start(f func()) {
	l.startMu.Lock()
	defer l.startMu.Unlock()
	if !l.closed {
		l.running.Go(f)
	}
}

func (l *Limiter) count(ctx context.Context, d Decision) {
	var c metric.Int64Counter
	switch d.(type) {
	case Admitted:
		c = l.meters.admitted
	case Refused:
		c = l.meters.refused
	case Unknown:
		c = l.meters.unknown
	}
	if c != nil {
		c.Add(ctx, 1)
	}
}

// try makes one attempt to decide a request. It checks the host's permission again
// after the wait, since the permission may have ended meanwhile.
func (l *Limiter) try(ctx context.Context, workspace string) Decision {
	v, now := l.viewer.View(), l.clock.Now()
	if !v.Permitted(now) {
		return Unknown{Reason: NotPermitted, RetryAfter: unknownRetry}
	}
	w, ok := v.Record.Workspaces[workspace]
	if !ok {
		return Unknown{Reason: UnknownWorkspace}
	}
	e := l.entry(workspace)
	wait, d := l.begin(e, v, LimitOf(w))
	if wait != nil {
		d = l.await(ctx, wait)
	}
	if _, ok := d.(Admitted); !ok {
		return d
	}
	now = l.clock.Now()
	if !l.viewer.View().Permitted(now) {
		return Unknown{Reason: NotPermitted, RetryAfter: unknownRetry}
	}
	if l.options.Admitted != nil {
		l.options.Admitted(workspace, now)
	}
	return d
}

// await waits for the decision. The channel of a caller that stops waiting remains
// in entry.waiters, so that later decisions still reach the requests that they are
// for.
func (l *Limiter) await(ctx context.Context, wait chan Decision) Decision {
	select {
	case d := <-wait:
		return d
	case <-ctx.Done():
		return Unknown{Reason: Cancelled}
	case <-l.ctx.Done():
		return Unknown{Reason: NotPermitted, RetryAfter: unknownRetry}
	}
}

// begin decides at once, or returns the channel on which the decision arrives.
func (l *Limiter) begin(e *entry, v coordinator.Snapshot, limit Limit) (chan Decision, Decision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := l.clock.Now()
	e.locate(v)
	switch {
	case l.options.Scheme == EqualSplit:
		return nil, e.decideEqualShare(v, limit, now)
	case e.location.self:
		return nil, e.decideOwned(v, limit, now)
	case !e.location.known:
		return nil, Unknown{Reason: OwnerUnreachable, RetryAfter: unknownRetry}
	}
	if e.spender.lease.Seq > 0 && !v.Member() {
		e.spender.DropLease()
	}
	if now < e.downUntil {
		return nil, e.decideWithoutOwner(limit, now)
	}
	wait := make(chan Decision, 1)
	e.waiters = append(e.waiters, wait)
	l.apply(e, e.spender.Request(limit, now))
	return wait, nil
}

// apply carries out a Spender's effects: it notifies waiters of their decisions
// and sends grant requests. e.mu must be held.
func (l *Limiter) apply(e *entry, effects []SpenderEffect) {
	for _, f := range effects {
		switch f := f.(type) {
		case Admit:
			e.notify(f.Requests, func(int) Decision { return Admitted{} })
		case Refuse:
			e.notify(f.Requests, func(i int) Decision {
				return Refused{RetryAfter: f.RetryAfter + timer.Millis(i)*f.Step}
			})
		case Fail:
			e.notify(f.Requests, func(int) Decision { return Unknown{Reason: f.Reason, RetryAfter: f.RetryAfter} })
		case Send:
			l.sendRequest(e, f.Request)
		}
	}
}

func (l *Limiter) entry(workspace string) *entry {
	l.mu.RLock()
	e, ok := l.entries[workspace]
	l.mu.RUnlock()
	if ok {
		return e
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.entries[workspace]; ok {
		return e
	}
	e = newEntry(workspace, l.options.Scheme)
	l.entries[workspace] = e
	return e
}

func (l *Limiter) allEntries() []*entry {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make([]*entry, 0, len(l.entries))
	for _, e := range l.entries {
		out = append(out, e)
	}
	return out
}
