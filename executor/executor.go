// Package executor runs the items of the batch jobs whose groups this host owns.
//
// One goroutine decides, a few dozen times a second and whenever load changes,
// which items start and which are evicted; each running item has a goroutine of
// its own. The host keeps the events of an item for as long as it owns the item's
// group, so an item that was evicted or interrupted resumes after the last event that
// counts, on any server. The output of running items is also saved to the group's
// log at intervals, so the next owner can resume them too. A result becomes visible
// only once it is committed to the log.
package executor

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/departer"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/filler"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/jackdawgate/jackdawgate/measurer"
	"github.com/jackdawgate/jackdawgate/namer"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/jackdawgate/jackdawgate/transporter"
	"go.uber.org/zap"
)

// Group is a group of batch jobs that this host may own. Items of a group are run
// only while the host owns it.
type Group struct {
	Number int
	Queue  *queuer.Queue
	// Propose commits the entries of a record to the group's log. It returns nil only if
	// the record is committed; after an error it may have been.
	Propose func(ctx context.Context, entries ...[]byte) error
}

// Options are the settings of an Executor. Zero fields take the defaults.
type Options struct {
	Host     string
	Groups   []Group
	Names    namer.Names
	Snapshot func() cataloger.Snapshot
	Digests  func() []gossiper.Digest
	// Hosts returns the number of hosts from which this host receives digests.
	Hosts       func() int
	Picker      *picker.Picker
	Transporter *transporter.Transporter
	Ejector     *ejector.Ejector
	Departer    *departer.Departer
	Tracker     *suspector.Tracker
	Clock       timer.Clock
	Logger      *zap.Logger
	Policy      filler.Policy
	Measurer    *measurer.Measurer
	// Zones holds the regions of the servers' data centres.
	Zones localizer.Zones
	// Memory is the memory for the output of all items that run here or wait to go on; default
	// 32 MB.
	Memory *holder.Holder
	// Stall is how long a run may go without a whole event that has data, even if
	// bytes keep arriving; default 6 s.
	Stall timer.Millis
}

// decideInterval is how often the Executor decides when nothing wakes it.
const decideInterval timer.Millis = 20

// hostsPerExtraMilli is how many hosts add one millisecond to the pause between two
// decisions.
const hostsPerExtraMilli = 12

// key identifies an item across all groups.
type key struct {
	group int
	ref   queuer.ItemRef
}

// task is the state of an item that this host runs or may start.
type task struct {
	key   key
	group Group
	job   *queuer.Job
	// suspect identifies the item for finding the parts of prompts that crash servers.
	suspect suspector.Call

	// The fields below are guarded by Executor.mu.
	running bool
	server  string
	// dataCentre is that of server.
	dataCentre string
	started    timer.Millis
	cancel     context.CancelFunc
	// notBefore is when the item may start again. readySince is when that was first
	// considered after its last run, or zero. For avoidDuration from then on it is not
	// started on the servers in failedAt.
	notBefore, readySince timer.Millis
	failedAt              map[string]bool
	// failures counts the item's failed runs; loggedFailures of them are known to be
	// in the log.
	failures, loggedFailures int
	// interruptions counts the runs that ended without a usable response.
	interruptions int
	// overran counts the runs whose output exceeded the item's bound, notContinued those that
	// were answered with something else than the events after those held, since these last grew.
	overran, notContinued runsByServer
	// evicted is positive if the current run was evicted.
	evicted int
	// noRouteSince is when the item was first seen to match no route; zero if it matches one.
	noRouteSince timer.Millis
	// allowed are the regions in which the item may run, as of the last decision.
	allowed localizer.Set

	progress
}

// Executor runs items until Close. It is safe for concurrent use.
type Executor struct {
	options Options
	// woken has a value when Wake was called since the last decision.
	woken  chan struct{}
	cancel context.CancelFunc
	// stopped is closed when the deciding goroutine has ended.
	stopped chan struct{}
	// workers are the goroutines that run items, commit results and save output.
	workers sync.WaitGroup

	mu      sync.Mutex
	tasks   map[key]*task
	backlog int
	// limited is the number of items that could start but for the limits of servers.
	limited int
	// restricted is the number of ready items that may run in some regions only, by region;
	// the empty name stands for all of them. It is replaced, never modified. unplaced is the
	// number of these whose service has no server in their regions.
	restricted map[string]int
	unplaced   int
	// peaks holds the recent peak number of online calls, by service. Only the
	// deciding goroutine uses it, with mu held.
	peaks map[string]peak
	// yielding holds the services whose online calls need what the limits of servers
	// leave. Only the deciding goroutine uses it, with mu held.
	yielding map[string]bool
}

// peak is the highest count within a window, and when it was measured.
type peak struct {
	count int
	at    timer.Millis
}

// peakWindow is how long the peak number of online calls is remembered: longer than an item
// runs, since one that starts between two peaks is evicted by the second one.
const peakWindow = 8 * timer.Second

// peakOnline records the number of online calls that run now on the servers of a
// service and returns the peak within the last peakWindow. The caller holds x.mu.
func (x *Executor) peakOnline(service string, online int) int {
	now := x.options.Clock.Now()
	p, ok := x.peaks[service]
	if !ok || online >= p.count || now-p.at >= peakWindow {
		p = peak{count: online, at: now}
		x.peaks[service] = p
	}
	return p.count
}

// New returns an Executor that has started to run items. The caller must Close it.
func New(o Options) *Executor {
	defaulter.Set(&o.Stall, 6*timer.Second)
	if o.Memory == nil {
		o.Memory = holder.New(0)
	}
	ctx, cancel := context.WithCancel(context.Background())
	x := &Executor{options: o, woken: make(chan struct{}, 1), cancel: cancel, stopped: make(chan struct{}), tasks: make(map[key]*task), peaks: make(map[string]peak), yielding: make(map[string]bool)}
	go x.run(ctx)
	x.workers.Go(func() { x.savePeriodically(ctx) })
	return x
}

// Close cancels all running items, saves their output and waits until every
// goroutine has ended.
func (x *Executor) Close() {
	x.cancel()
	<-x.stopped
	x.workers.Wait()
	for _, t := range x.tasks {
		t.release()
	}
}

// Wake wakes the Executor because load or items changed. It does not block.
func (x *Executor) Wake() {
	select {
	case x.woken <- struct{}{}:
	default:
	}
}

// Backlog returns the number of items that could start now.
func (x *Executor) Backlog() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.backlog
}

func (x *Executor) run(ctx context.Context) {
	defer close(x.stopped)
	for ctx.Err() == nil {
		x.decide(ctx)
		wait, cancel := context.WithTimeout(ctx, decideInterval.Duration())
		select {
		case <-x.woken:
		case <-wait.Done():
		}
		cancel()
		// Changes arrive in bursts that grow with the number of hosts. The pause
		// lets one decision cover a burst.
		timer.Sleep(ctx, 2+timer.Millis(x.options.Hosts()/hostsPerExtraMilli))
	}
}

// decide starts and evicts items.
func (x *Executor) decide(ctx context.Context) {
	s := x.options.Snapshot()
	if s.Config == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	// All of a decision is about one instant, however long it takes.
	now := x.options.Clock.Now()
	ready := x.refresh(s, now)
	x.backlog = len(ready)
	x.evacuate(s)
	byService := make(map[string][]*task)
	for _, t := range ready {
		if service, ok := x.serviceOf(s, t); ok {
			byService[service] = append(byService[service], t)
		}
	}
	x.countRestricted(s, byService)
	heldBack := 0
	for service, list := range byService {
		heldBack += x.fill(ctx, now, service, list)
	}
	for _, service := range x.servicesInUse(s) {
		if _, ok := byService[service]; !ok {
			x.fill(ctx, now, service, nil)
		}
	}
	if heldBack != x.limited {
		x.limited = heldBack
		x.options.Measurer.ItemsHeldBack(heldBack)
	}
}

// refresh updates the tasks from the queues and returns those that could start, earliest
// due first, also where they can no longer be done in time: that order keeps the greatest
// delay of any job as small as it can be, and the callers of late jobs still wait for them.
// Of one due time, those with the most work done come first, as they are listed soonest. It
// cancels running items that are no longer pending.
func (x *Executor) refresh(s cataloger.Snapshot, now timer.Millis) []*task {
	seen := make(map[key]bool)
	var ready []*task
	refusing := x.options.Tracker.RefusesParts()
	for _, g := range x.options.Groups {
		for _, p := range g.Queue.Pending() {
			k := key{group: g.Number, ref: p.ItemRef}
			seen[k] = true
			t, ok := x.tasks[k]
			if !ok {
				t = x.newTask(k, g, p.Spec)
				if !t.restore(p.Progress) {
					x.options.Logger.Warn("saved output is not that of a run, or too long; the item starts over", zap.String("item", t.item().ID), zap.String("job", t.key.ref.Job),
						zap.Int("bytes", len(p.Progress.Output)), zap.Int("events", p.Progress.Events), zap.Int64("last-event", p.Progress.LastEvent))
				}
				t.failures, t.loggedFailures = p.Progress.Failures, p.Progress.Failures
				x.tasks[k] = t
			}
			t.noteRoute(s.Config)
			if !t.running && now >= t.notBefore && !(refusing && x.heldBack(t)) {
				if t.readySince == 0 {
					t.readySince = now
				}
				ready = append(ready, t)
			}
		}
	}
	for k, t := range x.tasks {
		if seen[k] {
			continue
		}
		if t.running {
			t.cancel()
		} else {
			t.release()
			delete(x.tasks, k)
		}
	}
	slices.SortFunc(ready, func(a, b *task) int {
		if d := a.job.Due() - b.job.Due(); d != 0 {
			return int(d)
		}
		if a, b := a.lastEvent(), b.lastEvent(); a != b {
			return int(b - a)
		}
		return a.key.ref.Item - b.key.ref.Item
	})
	return ready
}

// newTask returns the task of an item.
func (x *Executor) newTask(k key, g Group, j *queuer.Job) *task {
	t := &task{
		key: k, group: g, job: j, failedAt: make(map[string]bool), overran: make(runsByServer), notContinued: make(runsByServer),
		progress: progress{limit: min(outputLimit(j.Items[k.ref.Item].Tokens), int(x.options.Memory.MaxBytes())), memory: x.options.Memory.Open()},
	}
	names := x.options.Names
	t.suspect = suspector.Call{
		Fingerprint: suspector.Fingerprint(j.Workspace, t.item().ID, nil), Batch: true, Workspace: j.Workspace,
		Parts: suspector.Parts(names.SharedParts(t.header(names).Get(names.Prompt))),
	}
	return t
}

// heldBack reports whether an item does not start because a part of its prompt crashes
// servers. It is kept until its retention period is over.
func (x *Executor) heldBack(t *task) bool {
	if _, refused := x.options.Tracker.Refused(t.suspect); !refused {
		return false
	}
	if remaining, ok := t.remaining(); ok && remaining <= 0 {
		x.abandon(t, reasonExpired)
	}
	return true
}

// abandon lists an item that is not running as dead.
func (x *Executor) abandon(t *task, reason string) {
	t.running = true
	t.cancel = func() {}
	x.workers.Go(func() {
		x.commitResult(context.Background(), t, queuer.Finished{Job: t.key.ref.Job, Item: t.key.ref.Item, Dead: true, Reason: reason}, reason)
	})
}

// serviceOf returns the service whose servers should run the item. It returns false
// if no route matches.
func (x *Executor) serviceOf(s cataloger.Snapshot, t *task) (string, bool) {
	r, ok := t.route(s.Config)
	if !ok {
		x.abandonIfNoRoute(s, t)
		return "", false
	}
	t.allowed = localizer.AllowedForItem(t.job.Subject().Allowed(s.Config), r)
	// The item's number modulo 100 takes the place of a random draw. The service is
	// picked again before each start, from the route in force then.
	return r.Pick(float64(t.key.ref.Item%100) / 100), true
}

// route returns the route of an item: the one that matches its path, as for a request of a
// caller. The route that its job was submitted on may have been moved or split since.
func (t *task) route(c *cataloger.Config) (*cataloger.Route, bool) {
	return c.Match(t.job.Host, t.item().Path)
}

// noteRoute ends the time without a route of an item that has one again, also while the item may
// not start for another reason.
func (t *task) noteRoute(c *cataloger.Config) {
	if t.noRouteSince == 0 {
		return
	}
	if _, ok := t.route(c); ok {
		t.noRouteSince = 0
	}
}

// noRouteTimeout is how long an item may match no route before it is abandoned.
const noRouteTimeout = 4 * timer.Second

// abandonIfNoRoute abandons an item that has matched no route for noRouteTimeout because its
// route was removed. The time ends with the latest confirmation of the configuration: a host
// that is cut off from the store does not know whether the route is there again.
func (x *Executor) abandonIfNoRoute(s cataloger.Snapshot, t *task) {
	switch {
	case t.noRouteSince == 0:
		t.noRouteSince = x.options.Clock.Now()
	case s.ConfirmedAt-t.noRouteSince > noRouteTimeout && !t.running:
		x.abandon(t, "no route")
	}
}

func (t *task) item() *queuer.Item { return &t.job.Items[t.key.ref.Item] }

// start runs an item on server v on a goroutine of its own. It returns false if the
// server's limit leaves no room for it. The caller holds x.mu.
func (x *Executor) start(ctx context.Context, t *task, v cataloger.Server) bool {
	reservation, ok := x.options.Picker.Reserve(v, x.class(v.Service))
	if !ok {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	t.running, t.server, t.dataCentre, t.cancel, t.evicted = true, v.ID, v.DataCentre, cancel, 0
	t.started = x.options.Clock.Now()
	x.workers.Go(func() {
		defer cancel()
		x.execute(ctx, t, v, reservation)
	})
	return true
}

// unixMillis returns the wall-clock time in Unix milliseconds.
func unixMillis() int64 { return time.Now().UnixMilli() }
