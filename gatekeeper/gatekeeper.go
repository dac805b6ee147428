// Package gatekeeper handles the HTTP requests of callers.
//
// A request passes these checks in order, all against one Snapshot: the route,
// the key, the host's permission to admit requests, the workspace's quota. Only
// then is it relayed to a backend server, or handed to the host that is
// responsible for its batch job.
//
// A Snapshot is confirmed when the store replies that it is current. Its age counts
// from the time at which the request for that reply was sent (Snapshot.ConfirmedAt).
//
// Invariants:
//   - A request with a withdrawn key is not admitted later than
//     Options.MaxConfigAge after the store accepted the withdrawal. By then this
//     host has either read the withdrawal or holds a Snapshot that is too old to
//     admit anything. The clock that measures this age also counts the time that
//     the machine is suspended.
//   - A request is refused with 429 or 503 only if no server has run it.
//   - A host without a recently confirmed configuration does not report a route
//     or key as unknown.
package gatekeeper

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/measurer"
	"github.com/jackdawgate/jackdawgate/namer"
	"github.com/jackdawgate/jackdawgate/postponer"
	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Relay runs calls at backend servers and passes their answers on.
type Relay interface {
	Run(ctx context.Context, c relayer.Call, s relayer.Sink) relayer.Outcome
}

// Options configures a Gatekeeper. Zero durations take the defaults.
type Options struct {
	Names    namer.Names
	Snapshot func() cataloger.Snapshot
	Relay    Relay
	Rationer *rationer.Rationer
	Jobs     Jobs
	// OthersReady reports whether another host is known to admit requests that need a key.
	OthersReady func() bool
	// Clock must also count the time that the machine is suspended.
	Clock    timer.Clock
	Logger   *zap.Logger
	Measurer *measurer.Measurer
	// MaxConfigAge bounds the age of the configuration: requests that need a key are
	// refused if the Snapshot was confirmed longer ago than this; default 4.75 s.
	MaxConfigAge timer.Millis
	// FreshConfigAge decides how unknown routes and keys are answered: with 503
	// instead of 404 or 401 if the Snapshot was confirmed longer ago than this;
	// default 1.5 s.
	FreshConfigAge timer.Millis
	// Memory is the memory for bodies of requests; default 32 MB. One body takes half of it
	// at most.
	Memory *holder.Holder
	// BodyRate is the rate, in bytes per second, below which a body is refused; zero for none.
	BodyRate int
	// Reporter records bodies that are refused because of their rate; it may be nil.
	Reporter *holder.Reporter
}

// Gatekeeper is the http.Handler for requests of callers. It is safe for
// concurrent use.
type Gatekeeper struct {
	options  Options
	draining atomic.Bool
	// quotas gives places to callers whose requests are over the quota of their workspace.
	quotas *postponer.Postponer
	// admission is cancelled by StopAdmitting.
	admission     context.Context
	stopAdmitting context.CancelFunc

	mu       sync.Mutex
	inFlight int
	// drained is closed when inFlight drops to zero. It is nil without waiters.
	drained chan struct{}
}

// New returns a Gatekeeper.
func New(o Options) *Gatekeeper {
	defaulter.Set(&o.MaxConfigAge, 4750)
	defaulter.Set(&o.FreshConfigAge, 1500)
	if o.Memory == nil {
		o.Memory = &holder.Holder{}
	}
	g := &Gatekeeper{options: o, quotas: postponer.New(o.Clock)}
	g.admission, g.stopAdmitting = context.WithCancel(context.Background())
	return g
}

// Permitted reports whether the host may admit requests that need a key.
func (g *Gatekeeper) Permitted() bool {
	s := g.options.Snapshot()
	return s.Config != nil && g.age(s) <= g.options.MaxConfigAge
}

// age returns the time since s was confirmed.
func (g *Gatekeeper) age(s cataloger.Snapshot) timer.Millis {
	return g.options.Clock.Now() - s.ConfirmedAt
}

// Drain announces that the host is about to stop. From now on answers instruct
// callers to close their connections, so that new ones are opened to other hosts.
func (g *Gatekeeper) Drain() { g.draining.Store(true) }

// StopAdmitting refuses all further requests, and those whose bodies have not arrived yet:
// none of them is run.
func (g *Gatekeeper) StopAdmitting() { g.stopAdmitting() }

// Wait returns when no request is in flight or ctx ends.
func (g *Gatekeeper) Wait(ctx context.Context) {
	g.mu.Lock()
	if g.inFlight == 0 {
		g.mu.Unlock()
		return
	}
	if g.drained == nil {
		g.drained = make(chan struct{})
	}
	drained := g.drained
	g.mu.Unlock()
	select {
	case <-drained:
	case <-ctx.Done():
	}
}

func (g *Gatekeeper) beginRequest() {
	g.mu.Lock()
	g.inFlight++
	g.mu.Unlock()
}

func (g *Gatekeeper) endRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.inFlight == 0 && g.drained != nil {
		close(g.drained)
		g.drained = nil
	}
}

// ServeHTTP implements http.Handler.
func (g *Gatekeeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.beginRequest()
	defer g.endRequest()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{gatekeeper: g, writer: w, request: r, snapshot: g.options.Snapshot(), started: g.options.Clock.Now()}
	defer func() { x.memory.Release() }()
	x.id = r.Header.Get(g.options.Names.RequestID)
	x.serve()
}

// LimitOf returns the quota of a workspace.
func LimitOf(w *cataloger.Workspace) rationer.Limit {
	return rationer.Limit{Rate: w.Rate, Burst: w.Burst}
}
