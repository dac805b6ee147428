// Package emulator emulates the systems that jackdawgate depends on: Platform
// emulates the platform's key-value service, and Engine a model engine or a plain
// service. All state is in memory, and the emulations behave the same way in each
// run; the text of an answer is a function of the model and the prompt.
//
// The failures of the real systems can be injected from Go or over HTTP while an
// emulation serves. The package is for tests, experiments and the development
// command only.
package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
)

// PlatformFaults are the failures that are injected into a Platform. The zero
// value injects none.
type PlatformFaults struct {
	// Delay is the time that passes before each call takes effect.
	Delay timer.Millis `json:"delay-ms"`
	// Outage makes every call fail, including waiting watches.
	Outage bool `json:"outage"`
	// Freeze suspends calls while it is set: they are accepted and not answered.
	Freeze bool `json:"freeze"`
	// LoseAnswers is how many of the next writes take effect but close the
	// connection without a response.
	LoseAnswers int `json:"lose-answers"`
	// HostLag is the delay until the list of hosts shows a change.
	HostLag timer.Millis `json:"host-lag-ms"`
}

func (f PlatformFaults) storeFaults() storer.Faults {
	return storer.Faults{Outage: f.Outage, Delay: f.Delay, LoseAnswers: f.LoseAnswers, HostLag: f.HostLag}
}

// Platform emulates the part of Consul's HTTP API that storer.Consul uses: the
// key-value endpoints with the parameters consistent, cas, index, wait and keys,
// and the health endpoint, which lists the hosts and shows which of them are in
// maintenance mode. In addition, it serves GET and POST /faults, which changes
// the fields that are present in the JSON object, and POST /hosts, which replaces
// the list of hosts.
type Platform struct {
	store  *storer.Memory
	server *fasthttp.Server
	ctx    context.Context
	cancel context.CancelFunc
	// serving counts the running call of Serve.
	serving sync.WaitGroup

	mu     sync.Mutex
	gate   *faultListener
	faults PlatformFaults
	// unfrozen is closed while Freeze is off.
	unfrozen chan struct{}
}

// NewPlatform returns a platform without keys, hosts or faults.
func NewPlatform() *Platform {
	p := &Platform{store: storer.NewMemory(), unfrozen: make(chan struct{})}
	close(p.unfrozen)
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.server = newServer(p.handle)
	return p
}

// newServer returns an HTTP server for an emulation.
func newServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Name:                  "standin",
		Handler:               h,
		MaxRequestBodySize:    maxRequestBytes,
		ReadBufferSize:        readBufferBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                silentLogger{},
	}
}

// silentLogger discards the messages of the HTTP server about broken connections,
// which emulations cause intentionally.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}

const (
	maxRequestBytes = 64 << 20
	readBufferBytes = 16 << 10
)

// Serve serves HTTP on l until Close. It must not be called more than once.
func (p *Platform) Serve(l net.Listener) error {
	g := newFaultListener(l, nil)
	p.mu.Lock()
	if p.ctx.Err() != nil {
		p.mu.Unlock()
		return l.Close()
	}
	p.gate = g
	p.serving.Add(1)
	p.mu.Unlock()
	defer p.serving.Done()
	return eris.Wrap(p.server.Serve(g), "serve platform")
}

// Close aborts all calls and waits until they have ended.
func (p *Platform) Close() error {
	p.mu.Lock()
	p.cancel()
	g := p.gate
	p.mu.Unlock()
	if g == nil {
		return nil
	}
	err := g.Close()
	g.closeConns()
	_ = p.server.Shutdown()
	p.serving.Wait()
	return eris.Wrap(err, "close platform")
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setFaults(f)
}

// setFaults replaces the faults. The caller must hold p.mu.
func (p *Platform) setFaults(f PlatformFaults) {
	switch {
	case f.Freeze && !p.faults.Freeze:
		p.unfrozen = make(chan struct{})
	case !f.Freeze && p.faults.Freeze:
		close(p.unfrozen)
	}
	p.faults = f
	p.store.SetFaults(f.storeFaults())
}

// Faults returns the current faults, with the remaining number of LoseAnswers.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.currentFaults()
}

// currentFaults is like Faults. The caller must hold p.mu.
func (p *Platform) currentFaults() PlatformFaults {
	f := p.faults
	f.LoseAnswers = p.store.Faults().LoseAnswers
	return f
}

// SetHosts replaces the list of hosts.
func (p *Platform) SetHosts(hosts []storer.Host) { p.store.SetHosts(hosts) }

// Store returns the platform's store for direct access. Calls on it are subject
// to the faults too, except Freeze.
func (p *Platform) Store() *storer.Memory { return p.store }

func (p *Platform) handle(q *fasthttp.RequestCtx) {
	path := string(q.Path())
	switch {
	case path == "/faults":
		p.handleFaults(q)
		return
	case path == "/hosts":
		p.handleHosts(q)
		return
	}
	ctx, stop := callContext(p.ctx, q)
	defer stop()
	if !p.waitUnfrozen(ctx) {
		cutCall(q)
		return
	}
	switch {
	case strings.HasPrefix(path, "/v1/kv/"):
		p.handleKey(ctx, q, strings.TrimPrefix(path, "/v1/kv/"))
	case strings.HasPrefix(path, "/v1/health/service/"):
		p.handleHealth(ctx, q)
	default:
		q.NotFound()
	}
	if !p.waitUnfrozen(ctx) {
		cutCall(q)
	}
}

// callContext returns a context that is cancelled with parent or when the caller
// closes the connection. The caller must call stop before the connection is read
// again.
func callContext(parent context.Context, q *fasthttp.RequestCtx) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(parent)
	c, ok := q.Conn().(*faultConn)
	if !ok {
		return ctx, cancel
	}
	unwatch := c.startWatch()
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-c.closed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		cancel()
		<-done
		unwatch()
	}
}

// cutCall closes the connection of q without a response.
func cutCall(q *fasthttp.RequestCtx) {
	if c, ok := q.Conn().(*faultConn); ok {
		c.cut()
	}
	q.SetConnectionClose()
}

// waitUnfrozen waits while Freeze is set. It returns false if ctx is done first.
func (p *Platform) waitUnfrozen(ctx context.Context) bool {
	p.mu.Lock()
	unfrozen := p.unfrozen
	p.mu.Unlock()
	select {
	case <-unfrozen:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *Platform) handleFaults(q *fasthttp.RequestCtx) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.currentFaults()
	if q.IsPost() {
		if !decodeBody(q, &f) {
			return
		}
		p.setFaults(f)
	}
	respondJSON(q, f)
}

func (p *Platform) handleHosts(q *fasthttp.RequestCtx) {
	var hosts []storer.Host
	if !decodeBody(q, &hosts) {
		return
	}
	p.SetHosts(hosts)
	respondJSON(q, hosts)
}

// decodeBody decodes the JSON body of q into v. If the body is invalid, it
// responds with an error and returns false.
func decodeBody(q *fasthttp.RequestCtx, v any) bool {
	d := json.NewDecoder(strings.NewReader(string(q.PostBody())))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		q.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func respondJSON(q *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		q.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	q.SetContentType("application/json")
	q.SetBody(b)
}

// respondError responds with the error of a call. If the response is to be lost,
// or the call was cancelled, it closes the connection instead.
func respondError(q *fasthttp.RequestCtx, err error) {
	var lost *storer.AnswerLostError
	var large *storer.TooLargeError
	switch {
	case errors.As(err, &lost), errors.Is(err, context.Canceled):
		cutCall(q)
	case errors.As(err, &large):
		q.Error(err.Error(), fasthttp.StatusRequestEntityTooLarge)
	default:
		q.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}
