package hoster

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawgate/jackdawgate/acceptor"
	"github.com/jackdawgate/jackdawgate/broker"
	"github.com/jackdawgate/jackdawgate/budgeter"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/checker"
	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/forecaster"
	"github.com/jackdawgate/jackdawgate/gatekeeper"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// Parts of the grace period in which a host stops.
const (
	// shutdownReserve is left at the end of the grace period, from when all calls have ended,
	// and answerTime is the part of it for their answers.
	shutdownReserve timer.Millis = 900
	answerTime      timer.Millis = 300
)

// EntryHost accepts callers' requests.
type EntryHost struct {
	*base
	rationer   *rationer.Rationer
	budgeter   *budgeter.Budgeter
	forecaster *forecaster.Forecaster
	relayer    *relayer.Relayer
	gatekeeper *gatekeeper.Gatekeeper
	acceptors  []*acceptor.Acceptor
	leaving    atomic.Bool
	cancel     context.CancelFunc
	done       chan struct{}
}

// NewEntryHost starts an entry host.
func NewEntryHost(s checker.MemberSettings, p Platform, l *zap.Logger) (*EntryHost, error) {
	e := &EntryHost{done: make(chan struct{})}
	e.rationer = rationer.New(timer.Boot())
	e.budgeter, e.forecaster = budgeter.New(budgeter.Options{}), forecaster.New()
	started := make(chan struct{})
	defer close(started)
	b, err := newBase(s, p, l, cataloger.Member{Role: cataloger.Entry, CallerAddress: s.Listen.Callers},
		func() gossiper.Digest { <-started; return e.digest() },
		e.handleDigest)
	if err != nil {
		return nil, err
	}
	e.base = b
	e.relayer = relayer.New(relayer.Options{
		Names: p.Names, Transporter: b.transporter, Picker: b.picker, Throttler: b.throttler, Ejector: b.ejector, Tracker: b.tracker, Departer: b.departer,
		Budgeter: e.budgeter, Forecaster: e.forecaster, Apportioner: b.apportioner, Comparer: b.comparer, Clock: b.clock, Logger: l,
		Measurer: p.Measurer,
	})
	jobs := broker.New(broker.Options{
		Formats: p.JobFormats, Caller: b.messenger, Snapshot: b.follower.Snapshot, Digests: b.gossiper.Digests, LastReceived: b.gossiper.LastReceived,
		Clock: b.clock, Wall: timer.Wall, Logger: l, MaxJobBytes: b.messenger.MaxCallBytes(),
		Zones: b.zones, Measurer: p.Measurer,
	})
	jobs.ServeRelays(b.messenger)
	e.gatekeeper = gatekeeper.New(gatekeeper.Options{
		Names: p.Names, Snapshot: b.follower.Snapshot, Relay: e.relayer, Rationer: e.rationer, Clock: b.clock, Logger: l,
		Measurer:     p.Measurer,
		Jobs:         jobs,
		OthersReady:  e.othersReady,
		MaxConfigAge: MaxConfigAge(s.Bounds.Revoke),
		Memory:       b.budget.Bodies,
		BodyRate:     s.Callers.BodyRate,
		Reporter:     b.budget.Reporter,
	})
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	bootstrapper := b.newBootstrapper(e.rationer)
	b.follower.Notify(e.removeUnconfigured)
	go e.watch(ctx)
	e.workers.Go(func() { e.inherit(ctx, bootstrapper, e.rationer) })
	e.workers.Go(func() { e.inheritKnown(ctx) })
	e.workers.Go(func() { e.watchLimits(ctx) })
	e.workers.Go(func() { e.watchShares(ctx) })
	b.serve()
	return e, e.listen()
}

func (e *EntryHost) listen() error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+e.platform.ReadyPath, e.serveReady)
	directory := http.NewServeMux()
	directory.HandleFunc("GET "+e.platform.DirectoryPath, e.serveDirectory)
	connections := e.budget.Connections
	for _, x := range []struct {
		address string
		handler http.Handler
		group   *holder.Group
	}{
		{e.settings.Listen.Callers, e.gatekeeper, connections.Callers()},
		{e.settings.Listen.Ready, ready, connections.Others()},
		{e.settings.Listen.Directory, directory, connections.Others()},
	} {
		if x.address == "" {
			continue
		}
		if err := e.serve(x.address, x.handler, x.group); err != nil {
			return err
		}
	}
	return nil
}

// Default bounds on callers' connections, for those that the configuration omits.
const (
	defaultHeaderTimeout = 10 * timer.Second
	defaultIdleTimeout   = 120 * timer.Second
	defaultHeaderBytes   = 64 << 10
)

// limits returns the bounds on callers' connections under a configuration, which may
// be nil.
func limits(c *cataloger.Config) acceptor.Limits {
	var l acceptor.Limits
	if c != nil {
		l = acceptor.Limits{HeaderBytes: c.Limits.HeaderBytes, HeaderTimeout: c.Limits.HeaderTimeout, IdleTimeout: c.Limits.IdleTimeout}
	}
	defaulter.Set(&l.HeaderBytes, defaultHeaderBytes)
	defaulter.Set(&l.HeaderTimeout, defaultHeaderTimeout)
	defaulter.Set(&l.IdleTimeout, defaultIdleTimeout)
	return l
}

// serve listens at address and answers requests with h. The connections count in g.
func (e *EntryHost) serve(address string, h http.Handler, g *holder.Group) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return eris.Wrap(err, "listen at "+address)
	}
	a := acceptor.New(g.Listener(l, refusalResponse), h, limits(e.follower.Snapshot().Config), e.clock, e.logger)
	e.acceptors = append(e.acceptors, a)
	e.follower.Notify(func(s cataloger.Snapshot) { a.SetLimits(limits(s.Config)) })
	return nil
}

// removeUnconfigured discards the state of services and workspaces that are no longer
// configured.
func (e *EntryHost) removeUnconfigured(s cataloger.Snapshot) {
	e.forecaster.Retain(func(service string) bool { return s.Config != nil && s.Config.Has(service, "") })
	e.budgeter.Retain(func(k budgeter.Key) bool { return s.Config != nil && s.Config.Has(k.Service, k.Workspace) })
}

// handleDigest handles another host's digest.
func (e *EntryHost) handleDigest(d gossiper.Digest) {
	e.rationer.Merge(d.Host, d.Incarnation, d.Admitted)
}

func (e *EntryHost) digest() gossiper.Digest {
	d := e.base.digest()
	d.Ready, d.Admitted = e.ready(), e.rationer.Spent()
	return d
}

func (e *EntryHost) ready() bool { return !e.leaving.Load() && e.gatekeeper.Permitted() }

func (e *EntryHost) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// watch keeps the rationer's hosts and quotas up to date, and logs when the host
// gains or loses the permission to admit requests.
func (e *EntryHost) watch(ctx context.Context) {
	defer close(e.done)
	permitted := false
	for timer.Sleep(ctx, quotaUpdateInterval) {
		if now := e.gatekeeper.Permitted(); now != permitted {
			permitted = now
			e.logger.Info("permission changed", zap.Bool("permitted", now), zap.Int64("confirmed-ms-ago", int64(e.age())))
		}
		e.updateQuotas(e.rationer)
	}
}

// Stop stops the host gracefully: callers are referred to other hosts, requests are still
// accepted for DrainTime from callers that use an earlier directory answer, if they surely
// end in time, and all requests that were read are answered before the grace period ends.
func (e *EntryHost) Stop() {
	grace := e.settings.Bounds.Grace
	endAt := e.clock.Now() + grace - shutdownReserve
	e.leaving.Store(true)
	e.gossiper.Touch()
	e.leave()
	e.gatekeeper.Drain()
	e.relayer.StopAt(endAt)
	e.logger.Info("leaving", zap.Int64("grace-ms", int64(grace)))
	timer.Sleep(context.Background(), DrainTime(grace))
	e.gatekeeper.StopAdmitting()
	e.finishCalls(endAt)
	e.cancel()
	<-e.done
	e.close()
}

// finishCalls waits until all requests are answered and closes the callers' connections. At
// the instant endAt it ends the calls that are still running.
func (e *EntryHost) finishCalls(endAt timer.Millis) {
	left := endAt - e.clock.Now()
	ending := time.AfterFunc(left.Duration(), e.relayer.End)
	defer ending.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), (left + answerTime).Duration())
	defer cancel()
	var closing sync.WaitGroup
	for _, a := range e.acceptors {
		closing.Go(func() { a.Shutdown(ctx) })
	}
	e.gatekeeper.Wait(ctx)
	closing.Wait()
}
