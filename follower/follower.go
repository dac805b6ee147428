// Package follower keeps a host's cataloger.Snapshot in step with the store.
//
// One goroutine asks the store for what changed since the last answer, at a
// steady pace, and publishes a new Snapshot after each answer. Each answer also
// confirms the Snapshot: nothing that the store had accepted before the
// question was sent is missing from it. So the age of Snapshot.Confirmed bounds
// how old a withdrawn key or a changed route can be that is still honoured.
//
// At most directReaders hosts ask the store at that pace. The others ask one of
// them, which says how long ago the store confirmed what it tells; so a
// confirmation is never younger than it is. When no host has a young
// confirmation, all ask the store themselves, each the less often the more they
// are, so that a store that is away gets about as many questions from any fleet;
// whoever has an answer first reads for the others.
//
// While the store is away, entries of servers and hosts may run out though they
// live. One whose entry went without a notice to drain or leave is kept until
// ReturnGrace after the store answers again; the entry has been renewed by then,
// or its writer is gone. A store that only turned this host away was not away: as
// soon as a host is heard whose confirmations went on meanwhile, entries that went
// are gone.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/rescuer"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Decoder reads values of the store's keys. It is pure.
type Decoder interface {
	// Kind says what a key holds: a Fact without its content, but for what the key
	// itself says.
	Kind(key string) Fact
	// Decode says what a key and its value mean.
	Decode(i storer.Item) (Fact, error)
}

// Fact is what one key of the store says.
type Fact interface{ fact() }

// ConfigFact is the operators' configuration.
type ConfigFact struct{ Config *cataloger.Config }

// ServerFact is a backend server's entry.
type ServerFact struct{ Server cataloger.Server }

// MemberFact is a host's entry.
type MemberFact struct{ Member cataloger.Member }

// GroupFact is the manifest of a group of batch jobs.
type GroupFact struct {
	Number int
	Group  cataloger.Group
}

// RetireFact asks that a host be emptied.
type RetireFact struct{ Host string }

// QuarantineFact is the record of a call that crashes backend servers.
type QuarantineFact struct {
	Fingerprint uint64
	Quarantine  cataloger.Quarantine
}

// OtherFact is a key that means nothing here.
type OtherFact struct{}

func (ConfigFact) fact()     {}
func (ServerFact) fact()     {}
func (MemberFact) fact()     {}
func (GroupFact) fact()      {}
func (RetireFact) fact()     {}
func (QuarantineFact) fact() {}
func (OtherFact) fact()      {}

// Options are the settings of a Follower. Zero fields take the defaults.
type Options struct {
	Ledger  storer.Ledger
	Decoder Decoder
	// Clock must count the time that the machine is suspended.
	Clock  timer.Clock
	Logger *zap.Logger
	// Relay finds hosts to ask in place of the store; nil for none.
	Relay *Relay
	// Pace is the least time between two questions to the store; default 0.6 s.
	Pace timer.Millis
	// RelayPace is the same for questions to other hosts; default 0.3 s.
	RelayPace timer.Millis
	// Wait is how long the store may hold a question; default 0.3 s.
	Wait timer.Millis
	// Timeout is how long an answer may take beyond Wait; default 1 s.
	Timeout timer.Millis
	// ReturnGrace is how long after an outage entries may be missing; default 2.3 s.
	ReturnGrace timer.Millis
	// OutageAfter is how old a confirmation is when the store counts as away;
	// default 2 s.
	OutageAfter timer.Millis
}

func (o Options) withDefaults() Options {
	defaulter.Set(&o.Pace, 600)
	defaulter.Set(&o.RelayPace, 300)
	defaulter.Set(&o.Wait, 300)
	defaulter.Set(&o.Timeout, timer.Second)
	defaulter.Set(&o.ReturnGrace, 2300)
	defaulter.Set(&o.OutageAfter, 2*timer.Second)
	return o
}

// Bounds of the pause after a question that failed.
const (
	leastRetry timer.Millis = 60
	mostRetry  timer.Millis = 400
)

// entry names a server, by its identifier, or a host.
type entry struct {
	host bool
	name string
}

// Follower publishes Snapshots. Its methods are safe for concurrent use.
type Follower struct {
	options Options
	current atomic.Pointer[cataloger.Snapshot]
	cancel  context.CancelFunc
	done    chan struct{}

	// The fields below belong to the goroutine run.
	cursor storer.Revision
	loaded bool
	// vanished has servers and hosts whose entries went while the store may have
	// been away, with the instant until which they are kept.
	vanished map[entry]timer.Millis
	// returned is when the store last answered again after a time without a
	// confirmation, which began at gap.
	returned, gap timer.Millis
	// probeAt is when the store is asked next while no host has a young
	// confirmation.
	probeAt timer.Millis
	// probing says that this host could not learn from others lately.
	probing bool
	// avoid is a host that did not answer lately, and is not asked for a while.
	avoid      string
	avoidUntil timer.Millis
	memory     memory
	// steadySince is since when confirmations have come without such a gap.
	steadySince atomic.Int64

	mu        sync.Mutex
	listeners []func(cataloger.Snapshot)
}

// New returns a Follower that runs until Close.
func New(o Options) *Follower {
	f := &Follower{options: o.withDefaults(), done: make(chan struct{}), vanished: make(map[entry]timer.Millis)}
	f.current.Store(&cataloger.Snapshot{})
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go f.run(ctx)
	return f
}

// Close ends the Follower and waits for it.
func (f *Follower) Close() {
	f.cancel()
	<-f.done
}

// Snapshot returns the newest Snapshot.
func (f *Follower) Snapshot() cataloger.Snapshot { return *f.current.Load() }

// Steady returns for how long the Snapshot has been confirmed again and again,
// without a gap in which the store may have been away.
func (f *Follower) Steady() timer.Millis {
	since, now := timer.Millis(f.steadySince.Load()), f.options.Clock.Now()
	if since == 0 || now-f.Snapshot().Confirmed > f.options.OutageAfter {
		return 0
	}
	return now - since
}

// Notify registers a function that is called with each new Snapshot, on the
// goroutine of the Follower; it must return soon.
func (f *Follower) Notify(listener func(cataloger.Snapshot)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners = append(f.listeners, listener)
}

func (f *Follower) run(ctx context.Context) {
	defer close(f.done)
	retry := leastRetry
	for ctx.Err() == nil {
		began := f.options.Clock.Now()
		source := f.source()
		switch {
		case f.learn(ctx, source, began):
			f.probing = false
			f.sleep(ctx, f.options.RelayPace)
			continue
		case !f.mayAsk(source, began):
			f.sleep(ctx, f.options.RelayPace/2)
			continue
		}
		if err := f.ask(ctx, began); err != nil {
			f.failed(ctx, err, began)
			retry = min(2*retry, mostRetry)
			f.sleep(ctx, retry/2+rand.N(retry))
			continue
		}
		retry = leastRetry
		f.sleep(ctx, f.options.Pace-(f.options.Clock.Now()-began))
	}
}

func (f *Follower) failed(ctx context.Context, err error, sent timer.Millis) {
	var gone *storer.HistoryGoneError
	if errors.As(err, &gone) {
		f.loaded = false
		f.options.Logger.Info("store forgot its history; reading anew", zap.Uint64("after", uint64(gone.After)))
		return
	}
	if ctx.Err() == nil {
		f.options.Logger.Warn("store did not answer", zap.Error(err),
			zap.Int64("took-ms", int64(f.options.Clock.Now()-sent)),
			zap.Int64("confirmed-ms-ago", int64(sent-f.Snapshot().Confirmed)))
	}
}

// ask puts one question to the store and publishes what follows.
func (f *Follower) ask(ctx context.Context, sent timer.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, (f.options.Wait + f.options.Timeout).Duration())
	defer cancel()
	if !f.loaded {
		s, err := f.load(ctx, f.Snapshot())
		if err == nil {
			f.confirm(s, sent)
		}
		return err
	}
	changes, err := f.options.Ledger.Watch(ctx, "", f.cursor, f.options.Wait)
	if err != nil {
		return err
	}
	f.take(f.Snapshot(), changes, sent)
	return nil
}

// take applies changes that the store confirmed at this instant.
func (f *Follower) take(s cataloger.Snapshot, changes storer.Changes, confirmed timer.Millis) {
	for _, c := range changes.List {
		if c.Revision > f.cursor {
			s = f.apply(s, c)
		}
	}
	f.memory.add(changes)
	f.cursor = max(f.cursor, changes.Current)
	f.confirm(s, confirmed)
}

// confirm publishes s as confirmed at this instant.
func (f *Follower) confirm(s cataloger.Snapshot, at timer.Millis) {
	switch {
	case s.Confirmed == 0:
		f.steadySince.Store(int64(at))
	case at-s.Confirmed > f.options.OutageAfter:
		f.returned, f.gap = f.options.Clock.Now(), s.Confirmed
		f.steadySince.Store(int64(at))
		f.options.Logger.Info("store answers again", zap.Int64("away-ms", int64(at-s.Confirmed)))
	}
	f.memory.confirm(at)
	f.publish(f.withoutVanished(s).WithConfirmed(at))
}

// load reads all keys anew, by one question as long as they fit into an answer.
func (f *Follower) load(ctx context.Context, s cataloger.Snapshot) (cataloger.Snapshot, error) {
	items, from, err := f.options.Ledger.Range(ctx, "")
	if err != nil {
		return s, err
	}
	var servers []cataloger.Server
	fresh := cataloger.Snapshot{Config: s.Config, Confirmed: s.Confirmed}
	for _, i := range items {
		switch t := f.decode(i).(type) {
		case ServerFact:
			delete(f.vanished, entry{name: t.Server.ID})
			servers = append(servers, t.Server)
		default:
			fresh = f.believe(fresh, t)
		}
	}
	fresh = fresh.WithServers(servers)
	for id, v := range s.Servers {
		if _, ok := fresh.Servers[id]; !ok && !v.Draining && f.mayBeOutage(s) {
			fresh = fresh.WithServer(v)
			f.keepVanished(entry{name: id})
		}
	}
	for name, m := range s.Members {
		if _, ok := fresh.Members[name]; !ok && !m.Leaving && f.mayBeOutage(s) {
			fresh = fresh.WithMember(m)
			f.keepVanished(entry{host: true, name: name})
		}
	}
	f.cursor, f.loaded = from, true
	f.memory.restart(from)
	return fresh, nil
}

// apply returns s after one change.
func (f *Follower) apply(s cataloger.Snapshot, c storer.Change) cataloger.Snapshot {
	if c.Deleted {
		return f.removed(s, c.Key)
	}
	fact := f.decode(c.Item)
	if fact == nil {
		return f.removed(s, c.Key)
	}
	return f.believe(s, fact)
}

// decode returns what an item says, or nil when it cannot be read.
func (f *Follower) decode(i storer.Item) Fact {
	var fact Fact
	err := rescuer.Run(f.options.Logger, "reading an entry of the store", func() (err error) {
		fact, err = f.options.Decoder.Decode(i)
		return err
	})
	if err != nil {
		f.options.Logger.Warn("unreadable entry in the store", zap.String("key", i.Key), zap.Error(err))
		return nil
	}
	return fact
}

// believe returns s with what one key says; nil says nothing.
func (f *Follower) believe(s cataloger.Snapshot, fact Fact) cataloger.Snapshot {
	switch t := fact.(type) {
	case ConfigFact:
		return s.WithConfig(t.Config)
	case ServerFact:
		delete(f.vanished, entry{name: t.Server.ID})
		return s.WithServer(t.Server)
	case MemberFact:
		delete(f.vanished, entry{host: true, name: t.Member.Name})
		return s.WithMember(t.Member)
	case GroupFact:
		return s.WithGroup(t.Number, t.Group)
	case RetireFact:
		return s.WithRetiring(t.Host, true)
	case QuarantineFact:
		return s.WithQuarantine(t.Fingerprint, t.Quarantine)
	case OtherFact:
	}
	return s
}

// removed returns s after the key was deleted or became unreadable.
func (f *Follower) removed(s cataloger.Snapshot, key string) cataloger.Snapshot {
	name := key[strings.LastIndexByte(key, '/')+1:]
	switch t := f.options.Decoder.Kind(key).(type) {
	case ServerFact:
		return f.serverRemoved(s, name)
	case MemberFact:
		return f.memberRemoved(s, name)
	case RetireFact:
		return s.WithRetiring(name, false)
	case QuarantineFact:
		return s.WithoutQuarantine(t.Fingerprint)
	case ConfigFact, GroupFact, OtherFact:
	}
	return s
}

func (f *Follower) serverRemoved(s cataloger.Snapshot, id string) cataloger.Snapshot {
	v, ok := s.Servers[id]
	if !ok {
		return s
	}
	if v.Draining || !f.mayBeOutage(s) {
		return s.WithoutServer(id)
	}
	f.keepVanished(entry{name: id})
	return s
}

func (f *Follower) memberRemoved(s cataloger.Snapshot, name string) cataloger.Snapshot {
	m, ok := s.Members[name]
	if !ok || m.Leaving || !f.mayBeOutage(s) {
		return s.WithoutMember(name)
	}
	f.keepVanished(entry{host: true, name: name})
	return s
}

// mayBeOutage says whether an entry may have run out because its server did not
// reach the store.
func (f *Follower) mayBeOutage(s cataloger.Snapshot) bool {
	now := f.options.Clock.Now()
	switch {
	case now-s.Confirmed > f.options.OutageAfter:
		return !f.othersSteady(s.Confirmed)
	case f.returning(now):
		return !f.othersSteady(f.gap)
	}
	return false
}

// returning says whether the store returned so lately that entries may be missing.
func (f *Follower) returning(now timer.Millis) bool {
	return f.returned != 0 && now-f.returned < f.options.ReturnGrace
}

// othersSteady says whether a host is heard to which the store has answered all the
// while since an instant.
func (f *Follower) othersSteady(since timer.Millis) bool {
	return f.options.Relay.steady(f.options.Clock.Now() - since)
}

// keepVanished keeps an entry that went until the store has been back for long
// enough for its writer to renew it.
func (f *Follower) keepVanished(e entry) {
	if _, ok := f.vanished[e]; ok {
		return
	}
	now := f.options.Clock.Now()
	from := now
	if f.returning(now) {
		from = f.returned
	}
	f.vanished[e] = from + f.options.ReturnGrace
}

// withoutVanished drops entries that did not come back in time, or that were kept for
// an outage which was none.
func (f *Follower) withoutVanished(s cataloger.Snapshot) cataloger.Snapshot {
	if len(f.vanished) == 0 {
		return s
	}
	now := f.options.Clock.Now()
	none := f.returned != 0 && f.othersSteady(f.gap)
	for e, until := range f.vanished {
		if now < until && !none {
			continue
		}
		delete(f.vanished, e)
		f.options.Logger.Info("entry did not come back after the store did", zap.String("name", e.name), zap.Bool("host-entry", e.host),
			zap.Bool("store-was-away", !none))
		if e.host {
			s = s.WithoutMember(e.name)
		} else {
			s = s.WithoutServer(e.name)
		}
	}
	return s
}

// sleep waits for d, and drops entries meanwhile whose time is over.
func (f *Follower) sleep(ctx context.Context, d timer.Millis) {
	end := f.options.Clock.Now() + d
	for {
		next := end
		for _, until := range f.vanished {
			next = min(next, until)
		}
		if !timer.Sleep(ctx, next-f.options.Clock.Now()) || f.options.Clock.Now() >= end {
			return
		}
		f.publish(f.withoutVanished(f.Snapshot()))
	}
}

func (f *Follower) publish(s cataloger.Snapshot) {
	before := f.current.Swap(&s)
	f.log(*before, s)
	f.mu.Lock()
	listeners := f.listeners
	f.mu.Unlock()
	for _, l := range listeners {
		l(s)
	}
}

// log writes what changed in what this host believes.
func (f *Follower) log(a, b cataloger.Snapshot) {
	l := f.options.Logger
	if b.Config != nil && (a.Config == nil || a.Config.Version != b.Config.Version) {
		l.Info("configuration in force", zap.Int64("version", b.Config.Version))
	}
	for id, v := range b.Servers {
		if w, ok := a.Servers[id]; !ok || w.Draining != v.Draining || w.Address != v.Address || w.Born != v.Born {
			l.Info("server known", zap.String("server", id), zap.String("service", v.Service), zap.String("address", v.Address), zap.Bool("draining", v.Draining))
		}
	}
	for id := range a.Servers {
		if _, ok := b.Servers[id]; !ok {
			l.Info("server gone", zap.String("server", id))
		}
	}
	for name, m := range b.Members {
		if w, ok := a.Members[name]; !ok || w != m {
			l.Info("host known", zap.String("member", name), zap.String("incarnation", m.Incarnation), zap.Bool("leaving", m.Leaving))
		}
	}
	for name := range a.Members {
		if _, ok := b.Members[name]; !ok {
			l.Info("host gone", zap.String("member", name))
		}
	}
	for n, g := range b.Groups {
		if a.Groups[n].Revision != g.Revision {
			l.Info("group changed", zap.Int("group", n), zap.Uint64("epoch", g.Epoch), zap.String("owner", g.Owner), zap.Strings("holders", g.Holders))
		}
	}
}
