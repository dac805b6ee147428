// Package executor runs the items of batch jobs that a host answers for.
//
// One goroutine decides, a few dozen times a second and whenever load changes,
// which items start and which are evicted; each item runs on a goroutine of its
// own. The events of an item are kept while the host answers for it, so an item
// that was evicted or broken off goes on after its last whole event, at any
// server. A result is listed only once the log has it.
package executor

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/conveyor"
	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/departer"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/filler"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/measurer"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/speller"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Group is a group of batch jobs that may be this host's to run.
type Group struct {
	Number int
	Queue  *queuer.Queue
	// Propose commits a record.
	Propose func(ctx context.Context, data []byte) error
}

// Options are the settings of an Executor. Zero fields take the defaults.
type Options struct {
	Host     string
	Groups   []Group
	Names    speller.Names
	Snapshot func() cataloger.Snapshot
	Digests  func() []gossiper.Digest
	// Hosts is how many hosts are heard.
	Hosts    func() int
	Picker   *picker.Picker
	Conveyor *conveyor.Conveyor
	Ejector  *ejector.Ejector
	Departer *departer.Departer
	Clock    timer.Clock
	Logger   *zap.Logger
	Policy   filler.Policy
	Measurer *measurer.Measurer
	// Stall is how long a run may go on without a whole event, though bytes come;
	// default 6 s.
	Stall timer.Millis
}

// interval is how often the Executor looks at its items without being told.
const interval timer.Millis = 20

// hostsPerMilli is how many hosts lengthen the pause between two looks by one
// millisecond.
const hostsPerMilli = 12

// key names an item among all groups.
type key struct {
	group int
	ref   queuer.Ref
}

// task is an item that this host runs or has begun to run.
type task struct {
	key   key
	group Group
	of    *queuer.Job

	// The fields below are guarded by the Executor's mutex.
	running bool
	server  string
	started timer.Millis
	cancel  context.CancelFunc
	// notBefore is when the item may be started again; until avoidUntil not at
	// a server of failedAt.
	notBefore  timer.Millis
	failedAt   map[string]bool
	avoidUntil timer.Millis
	// failures are the item's at servers, of which loggedFailures are in the log.
	failures, loggedFailures int
	breaks                   int
	evicted                  int
	// routeless is since when no route leads to the item.
	routeless timer.Millis

	progress
}

// progress is what an item has put out. Its own mutex guards it.
type progress struct {
	putMu  sync.Mutex
	output []byte
	events int
	last   int64
	// saved is how many bytes of output are known to be in the log.
	saved int
}

// done returns how many events were put out, and the number of the last one.
func (p *progress) done() (events int, last int64) {
	p.putMu.Lock()
	defer p.putMu.Unlock()
	return p.events, p.last
}

// Executor runs items until Close.
type Executor struct {
	options Options
	touched chan struct{}
	cancel  context.CancelFunc
	done    chan struct{}
	runs    sync.WaitGroup

	mu      sync.Mutex
	tasks   map[key]*task
	backlog int
	// peaks are the most online calls that ran lately, by service.
	peaks map[string]peak
}

// peak is the highest count of a time, and when it was counted.
type peak struct {
	count int
	at    timer.Millis
}

// peakTime is for how long the highest count of online calls is remembered.
const peakTime = 8 * timer.Second

// demand notes how many online calls run at a service's servers now and returns the
// highest count of the last peakTime.
func (x *Executor) demand(service string, online int) int {
	now := x.options.Clock.Now()
	p, ok := x.peaks[service]
	if !ok || online >= p.count || now-p.at >= peakTime {
		p = peak{count: online, at: now}
		x.peaks[service] = p
	}
	return p.count
}

// New returns an Executor that runs until Close.
func New(o Options) *Executor {
	defaulter.Set(&o.Stall, 6*timer.Second)
	ctx, cancel := context.WithCancel(context.Background())
	x := &Executor{options: o, touched: make(chan struct{}, 1), cancel: cancel, done: make(chan struct{}), tasks: make(map[key]*task), peaks: make(map[string]peak)}
	go x.run(ctx)
	x.runs.Go(func() { x.saveForever(ctx) })
	return x
}

// Close evicts all items and waits for them.
func (x *Executor) Close() {
	x.cancel()
	<-x.done
	x.runs.Wait()
}

// Touch says that load or items changed.
func (x *Executor) Touch() {
	select {
	case x.touched <- struct{}{}:
	default:
	}
}

// Backlog is how many items could be started now.
func (x *Executor) Backlog() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.backlog
}

func (x *Executor) run(ctx context.Context) {
	defer close(x.done)
	for ctx.Err() == nil {
		x.decide(ctx)
		wait, cancel := context.WithTimeout(ctx, interval.Duration())
		select {
		case <-x.touched:
		case <-wait.Done():
		}
		cancel()
		// Many changes come together, the more the more hosts there are; one look
		// serves them.
		timer.Sleep(ctx, 2+timer.Millis(x.options.Hosts()/hostsPerMilli))
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
	ready := x.refresh(s)
	x.backlog = len(ready)
	byService := make(map[string][]*task)
	for _, t := range ready {
		if service, ok := x.serviceOf(s, t); ok {
			byService[service] = append(byService[service], t)
		}
	}
	for service, list := range byService {
		x.fill(ctx, s, service, list)
	}
	for _, service := range x.servicesInUse(s) {
		if _, ok := byService[service]; !ok {
			x.fill(ctx, s, service, nil)
		}
	}
}

// refresh brings the tasks in line with the queues and returns those that could
// start, those due first first.
func (x *Executor) refresh(s cataloger.Snapshot) []*task {
	seen := make(map[key]bool)
	var ready []*task
	now := x.options.Clock.Now()
	for _, g := range x.options.Groups {
		for _, p := range g.Queue.Pending() {
			k := key{group: g.Number, ref: p.Ref}
			seen[k] = true
			t, ok := x.tasks[k]
			if !ok {
				t = &task{key: k, group: g, of: p.Of, failedAt: make(map[string]bool)}
				t.output, t.events, t.last, t.saved = slices.Clone(p.Saved.Output), p.Saved.Events, p.Saved.Last, len(p.Saved.Output)
				t.failures, t.loggedFailures = p.Saved.Failures, p.Saved.Failures
				x.tasks[k] = t
			}
			if !t.running && now >= t.notBefore {
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
			delete(x.tasks, k)
		}
	}
	slices.SortFunc(ready, func(a, b *task) int {
		if d := a.of.Due() - b.of.Due(); d != 0 {
			return int(d)
		}
		if a, b := a.begun(), b.begun(); a != b {
			return b - a
		}
		return a.key.ref.Item - b.key.ref.Item
	})
	return ready
}

// begun is how many events the item has put out.
func (t *task) begun() int {
	events, _ := t.done()
	return events
}

func (x *Executor) serviceOf(s cataloger.Snapshot, t *task) (string, bool) {
	r, ok := s.Config.Match(t.of.Host, t.of.Items[t.key.ref.Item].Path)
	if !ok {
		x.routeless(t)
		return "", false
	}
	t.routeless = 0
	// One item in a hundred values picks its service anew at each start.
	return r.Pick(float64(t.key.ref.Item%100) / 100), true
}

// giveUpRouteless is how long an item may be without a route.
const giveUpRouteless = 4 * timer.Second

// routeless gives an item up whose route was taken away.
func (x *Executor) routeless(t *task) {
	now := x.options.Clock.Now()
	switch {
	case t.routeless == 0:
		t.routeless = now
	case now-t.routeless > giveUpRouteless && !t.running:
		t.running = true
		t.cancel = func() {}
		x.runs.Go(func() {
			x.list(context.Background(), t, queuer.Finished{Job: t.key.ref.Job, Item: t.key.ref.Item, Dead: true}, "no route")
		})
	}
}

// servicesInUse are the services at whose servers items of this host run.
func (x *Executor) servicesInUse(s cataloger.Snapshot) []string {
	var out []string
	for _, t := range x.tasks {
		if v, ok := s.Servers[t.server]; t.running && ok && !slices.Contains(out, v.Service) {
			out = append(out, v.Service)
		}
	}
	return out
}

// fill starts items of one service and evicts others.
func (x *Executor) fill(ctx context.Context, s cataloger.Snapshot, service string, ready []*task) {
	in, servers := x.input(s, service, len(ready))
	start, evict := filler.Plan(in)
	for id, n := range evict {
		x.evict(id, n)
	}
	rest := x.assign(ctx, start, ready, servers)
	if avoided := x.avoided(rest); len(avoided) > 0 {
		// Others than the servers at which these items failed may have room too.
		for i, v := range in.Servers {
			in.Servers[i].Closed = v.Closed || avoided[v.ID]
			v.Batch[x.options.Host] += start[v.ID]
		}
		more, _ := filler.Plan(in)
		x.assign(ctx, more, rest, servers)
	}
}

// input is what is known for a decision about a service at which so many items of
// this host could start, with its servers by identifier.
func (x *Executor) input(s cataloger.Snapshot, service string, backlog int) (filler.Input, map[string]cataloger.Server) {
	digests := x.options.Digests()
	in := filler.Input{Self: x.options.Host, Backlogs: map[string]int{x.options.Host: backlog}, Policy: x.options.Policy}
	for _, d := range digests {
		in.Backlogs[d.Host] = d.Backlog
	}
	mine := x.options.Picker.Loads()
	servers := make(map[string]cataloger.Server)
	online := 0
	for _, c := range x.options.Picker.Candidates(service) {
		v := filler.Server{
			ID: c.Server.ID, Slots: picker.Slots(s, c.Server), Online: c.Online,
			Closed: c.Server.Draining || !c.Usable, Batch: map[string]int{},
		}
		if n := mine[v.ID].Batch; n > 0 {
			v.Batch[x.options.Host] = n
		}
		for _, d := range digests {
			if n := d.Loads[v.ID].Batch; n > 0 {
				v.Batch[d.Host] = n
			}
		}
		servers[v.ID] = c.Server
		in.Servers = append(in.Servers, v)
		online += v.Online
	}
	in.Policy = in.Policy.WithDemand(x.demand(service, online), len(in.Servers))
	return in, servers
}

// assign starts items at servers, none at one where it failed lately, and returns
// those that it did not start.
func (x *Executor) assign(ctx context.Context, start filler.Counts, ready []*task, servers map[string]cataloger.Server) []*task {
	now := x.options.Clock.Now()
	for id, n := range start {
		for range n {
			i := slices.IndexFunc(ready, func(t *task) bool { return !t.avoids(id, now) })
			if i < 0 {
				break
			}
			x.start(ctx, ready[i], servers[id])
			ready = slices.Delete(ready, i, i+1)
		}
	}
	return ready
}

// avoided are the servers at which items of list failed lately.
func (x *Executor) avoided(list []*task) map[string]bool {
	out := make(map[string]bool)
	now := x.options.Clock.Now()
	for _, t := range list {
		if now < t.avoidUntil {
			maps.Copy(out, t.failedAt)
		}
	}
	return out
}

// avoids says whether another server should be found for the item.
func (t *task) avoids(server string, now timer.Millis) bool {
	return now < t.avoidUntil && t.failedAt[server]
}

// evict cancels the items at a server that are due last and have least to lose.
func (x *Executor) evict(server string, n int) {
	var there []*task
	for _, t := range x.tasks {
		if t.running && t.server == server && t.evicted == 0 {
			there = append(there, t)
		}
	}
	slices.SortFunc(there, func(a, b *task) int {
		if d := b.of.Due() - a.of.Due(); d != 0 {
			return int(d)
		}
		return int(b.started - a.started)
	})
	for _, t := range there[:min(n, len(there))] {
		t.evicted++
		t.cancel()
		x.options.Logger.Info("item evicted", zap.String("item", t.item().ID), zap.String("job", t.key.ref.Job), zap.String("server", server))
	}
}

func (t *task) item() *queuer.Item { return &t.of.Items[t.key.ref.Item] }

func (x *Executor) start(ctx context.Context, t *task, v cataloger.Server) {
	ctx, cancel := context.WithCancel(ctx)
	t.running, t.server, t.cancel, t.evicted = true, v.ID, cancel, 0
	t.started = x.options.Clock.Now()
	ticket := x.options.Picker.Take(v)
	x.runs.Go(func() {
		defer cancel()
		x.execute(ctx, t, v, ticket)
	})
}

// wall is the time of day in Unix milliseconds.
func wall() int64 { return time.Now().UnixMilli() }
