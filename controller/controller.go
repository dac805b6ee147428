// Package controller runs the membership and configuration protocol of package
// coordinator on one host. One goroutine, the control goroutine, owns the
// coordinator.State and steps it; the resulting effects run on short-lived
// goroutines that call the store and other hosts. Request handling reads the
// newest Snapshot through one atomic pointer and shares no lock with the
// control goroutine.
//
// A Snapshot is published before any message that depends on it is sent: when
// a peer is notified that this host holds a version, no goroutine here can
// still read an older Snapshot.
package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
)

// inboxSize is the number of events that may be queued for the control goroutine.
const inboxSize = 1024

// DefaultDeadline bounds how long Change waits if its context has no earlier
// deadline.
const DefaultDeadline = 10 * timer.Second

// replyMargin is how long before the deadline of its context a Change ends, so
// that there is time to reply to the caller. It is longer than the interval
// between two ticks.
const replyMargin timer.Millis = 250

// Options configures a Controller.
type Options struct {
	// Self is the entry for this process in the record's members.
	Self registrar.Member
	// Seeds are peer addresses from which the record is fetched if the store
	// does not answer at startup.
	Seeds []string
	// Timing must be the same on all hosts; the zero value selects
	// coordinator.DefaultTiming.
	Timing   coordinator.Timing
	Store    storer.Store
	Caller   messenger.Caller
	Registry messenger.Registry
	Clock    timer.Clock
	// Logger and Meter may be nil.
	Logger *zap.Logger
	Meter  metric.Meter
}

// Controller runs the protocol on one host. It implements coordinator.Viewer. Its
// methods are safe for concurrent use.
type Controller struct {
	options  Options
	log      *zap.Logger
	metrics  *metrics
	view     atomic.Pointer[coordinator.Snapshot]
	inbox    chan eventFunc
	lifetime context.Context
	stop     context.CancelFunc
	// effects counts the goroutines that perform effects; loop counts the
	// control goroutine.
	effects sync.WaitGroup
	loop    sync.WaitGroup
	started atomic.Bool
	cache   recordCache

	mu          sync.Mutex
	subscribers map[chan struct{}]bool
}

// eventFunc creates an event. The control goroutine calls it with the time at
// which it steps the event.
type eventFunc func(c *control, now timer.Millis) coordinator.Event

// ClosedError is returned by calls on a controller that was closed.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "controller is closed" }

// New returns a controller and registers its handlers. It does nothing further
// until Start is called.
func New(o Options) (*Controller, error) {
	if o.Timing == (coordinator.Timing{}) {
		o.Timing = coordinator.DefaultTiming()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Meter == nil {
		o.Meter = noop.NewMeterProvider().Meter("")
	}
	c := &Controller{
		options: o, log: o.Logger.Named("controller"),
		inbox:       make(chan eventFunc, inboxSize),
		subscribers: make(map[chan struct{}]bool),
	}
	c.lifetime, c.stop = context.WithCancel(context.Background())
	c.view.Store(&coordinator.Snapshot{Self: o.Self})
	m, err := newMetrics(o.Meter, c)
	if err != nil {
		c.stop()
		return nil, err
	}
	c.metrics = m
	c.register()
	return c, nil
}

// Start starts the control goroutine. It panics if it is called twice.
func (c *Controller) Start() {
	if c.started.Swap(true) {
		panic("controller: started twice")
	}
	c.loop.Go(c.run)
}

// View returns the newest Snapshot. It never blocks.
func (c *Controller) View() coordinator.Snapshot { return *c.view.Load() }

// Now returns the current time of the clock that the Snapshot's times refer to.
func (c *Controller) Now() timer.Millis { return c.options.Clock.Now() }

// Close revokes this host's permission to act, stops all work and waits for its
// goroutines. The host remains a member of the fleet. Close the listener for peers
// only after Close returns: a process that binds the address next is taken as
// proof that this one has stopped.
func (c *Controller) Close() error {
	c.stop()
	c.loop.Wait()
	c.revokePermission()
	c.effects.Wait()
	return c.metrics.close()
}

// revokePermission publishes a last Snapshot that does not permit the host to act.
func (c *Controller) revokePermission() {
	s := c.View()
	s.PermittedUntil = min(s.PermittedUntil, c.options.Clock.Now())
	s.Draining = true
	c.view.Store(&s)
	c.notify()
}

// Subscribe returns a channel that receives a value after each new Snapshot.
// Snapshots published before the value is read are merged into one value. The
// caller must call cancel when done.
func (c *Controller) Subscribe() (changed <-chan struct{}, cancel func()) {
	ch := make(chan struct{}, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers[ch] = true
	return ch, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.subscribers, ch)
	}
}

// notify signals all subscribers without blocking.
func (c *Controller) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ch := range c.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// Await waits until the newest Snapshot satisfies ready. It fails with the error
// of ctx, or with a *ClosedError if the controller closes first.
func (c *Controller) Await(ctx context.Context, ready func(coordinator.Snapshot) bool) error {
	changed, cancel := c.Subscribe()
	defer cancel()
	for !ready(c.View()) {
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-c.lifetime.Done():
			return &ClosedError{}
		}
	}
	return nil
}

// Join waits until this host is a member and is permitted to act. It does not
// itself request membership; the control goroutine does.
func (c *Controller) Join(ctx context.Context) error {
	return c.Await(ctx, func(s coordinator.Snapshot) bool {
		return s.Member() && s.Permitted(c.options.Clock.Now())
	})
}

// Change applies an operator's change to the record. It returns when the change
// is accepted, or at the deadline if the change is written but not known to have
// reached the other hosts; ChangeResult.Accepted is false then. Its errors are
// *registrar.RefusedError and *registrar.ConflictError, after which nothing was
// written, *coordinator.UnwrittenError, *ClosedError and the error of ctx.
// Repeating a change with the same id is always safe.
func (c *Controller) Change(ctx context.Context, id string, change registrar.Change) (coordinator.ChangeResult, error) {
	done := make(chan coordinator.FinishChange, 1)
	wait := c.changeTimeout(ctx)
	err := c.post(ctx, func(k *control, now timer.Millis) coordinator.Event {
		return coordinator.ChangeRequested{At: now, Token: k.expectChange(done), ID: id, Change: change, Deadline: now + wait}
	})
	if err != nil {
		return coordinator.ChangeResult{}, err
	}
	select {
	case f := <-done:
		return f.Result, f.Err
	case <-ctx.Done():
		return coordinator.ChangeResult{}, ctx.Err()
	case <-c.lifetime.Done():
		return coordinator.ChangeResult{}, &ClosedError{}
	}
}

// changeTimeout returns how long Change may wait: until replyMargin before the
// deadline of ctx, at most DefaultDeadline.
func (c *Controller) changeTimeout(ctx context.Context) timer.Millis {
	end, ok := ctx.Deadline()
	if !ok {
		return DefaultDeadline
	}
	left := timer.FromDuration(time.Until(end)) - replyMargin
	return min(left, DefaultDeadline)
}

// SetDraining marks this host as draining in the Snapshot, here and on the other
// hosts: it accepts no new work and continues the work that it has.
func (c *Controller) SetDraining(ctx context.Context) error {
	return c.post(ctx, func(_ *control, now timer.Millis) coordinator.Event {
		return coordinator.DrainRequested{At: now}
	})
}

// Drain takes this host out of the fleet: it stops acting at once and for good
// and is removed from the members. Drain returns when the other hosts no longer
// need it. Call SetDraining first and let the calls in flight finish.
func (c *Controller) Drain(ctx context.Context) error {
	done := make(chan struct{}, 1)
	err := c.post(ctx, func(k *control, now timer.Millis) coordinator.Event {
		return coordinator.LeaveRequested{At: now, Token: k.expectLeave(done)}
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.lifetime.Done():
		return &ClosedError{}
	}
}

// post queues an event for the control goroutine. It blocks while the inbox is
// full.
func (c *Controller) post(ctx context.Context, e eventFunc) error {
	select {
	case c.inbox <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.lifetime.Done():
		return &ClosedError{}
	}
}

var _ coordinator.Viewer = (*Controller)(nil)
