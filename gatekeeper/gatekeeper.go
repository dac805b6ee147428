// Package gatekeeper takes callers' HTTP requests in and answers them.
//
// A request passes these checks, in order, all by one Snapshot: the route, the
// key, the host's permission, the workspace's quota. Only then is it relayed to
// a backend server, or handed to the host that answers for its batch job.
//
// Invariants: a request whose key was withdrawn is not admitted later than
// Permission after the store accepted the withdrawal, since by then either this
// host has read it or its Snapshot is too old to admit anything; the host's own
// clock for this goes on while the machine is suspended. A refusal with 429 or
// 503 is given only to a request that no server has run. A host that has not
// read a configuration lately does not say that a route or key is unknown.
package gatekeeper

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/measurer"
	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/speller"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Relay runs calls at backend servers.
type Relay interface {
	Run(ctx context.Context, c relayer.Call, s relayer.Sink) relayer.Outcome
}

// Options are the settings of a Gatekeeper. Zero fields take the defaults.
type Options struct {
	Names    speller.Names
	Snapshot func() cataloger.Snapshot
	Relay    Relay
	Rationer *rationer.Rationer
	Jobs     Jobs
	// Clock must count the time that the machine is suspended.
	Clock    timer.Clock
	Logger   *zap.Logger
	Measurer *measurer.Measurer
	// Permission is how old a confirmed Snapshot may be; default 3.6 s.
	Permission timer.Millis
	// Fresh is how old a Snapshot may be by which a request is said to be
	// unknown; default 1.5 s.
	Fresh timer.Millis
}

// Gatekeeper is the handler of callers' requests. It is safe for concurrent use.
type Gatekeeper struct {
	options  Options
	draining atomic.Bool

	mu       sync.Mutex
	inFlight int
	drained  chan struct{}
}

// New returns a Gatekeeper.
func New(o Options) *Gatekeeper {
	defaulter.Set(&o.Permission, 3600)
	defaulter.Set(&o.Fresh, 1500)
	return &Gatekeeper{options: o}
}

// Permitted says whether the host may admit requests that need a key.
func (g *Gatekeeper) Permitted() bool {
	s := g.options.Snapshot()
	return s.Config != nil && g.age(s) <= g.options.Permission
}

// age is how long ago the Snapshot was confirmed.
func (g *Gatekeeper) age(s cataloger.Snapshot) timer.Millis {
	return g.options.Clock.Now() - s.Confirmed
}

// Leave says that the host is about to stop: callers are told to open new
// connections, which other hosts take.
func (g *Gatekeeper) Leave() { g.draining.Store(true) }

// Wait waits until no request is under way, or ctx ends.
func (g *Gatekeeper) Wait(ctx context.Context) {
	g.mu.Lock()
	if g.inFlight == 0 {
		g.mu.Unlock()
		return
	}
	if g.drained == nil {
		g.drained = make(chan struct{})
	}
	empty := g.drained
	g.mu.Unlock()
	select {
	case <-empty:
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
	v := &exchange{gatekeeper: g, writer: w, request: r, snapshot: g.options.Snapshot(), started: g.options.Clock.Now()}
	v.id = r.Header.Get(g.options.Names.RequestID)
	v.serve()
}

// LimitOf is the quota of a workspace.
func LimitOf(w *cataloger.Workspace) rationer.Limit {
	return rationer.Limit{Rate: w.Rate, Burst: w.Burst}
}
