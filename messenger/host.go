package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/holder"

	"github.com/fasthttp/websocket"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

const (
	peerPath   = "/peer"
	peerHeader = "Jackdawgate-Peer"
	// sweepInterval is the maximum time between two searches for unused connections.
	sweepInterval = 10 * time.Second
)

// Options are the settings of a Host. Zero fields take the defaults.
type Options struct {
	// Self identifies this host to its peers.
	Self Peer
	// ServerTLS and ClientTLS enable mutual TLS; set both or neither.
	ServerTLS, ClientTLS *tls.Config
	// PingInterval is how often each side pings; default 0.5 s.
	PingInterval timer.Millis
	// IdleTimeout is how long a connection remains open while nothing arrives on it;
	// default 2 s.
	IdleTimeout timer.Millis
	// DialTimeout bounds the time to make a connection; default 2 s.
	DialTimeout timer.Millis
	// KeepUnused is how long a connection without calls is kept; default 60 s.
	KeepUnused timer.Millis
	// Window is how many answer frames may be in flight per call; default 64.
	Window int
	// Memory is the memory for messages that are received; default 128 MB. One message
	// takes half of it at most.
	Memory *holder.Holder
	Logger *zap.Logger
}

func (o Options) withDefaults() Options {
	defaulter.Set(&o.PingInterval, timer.Second/2)
	defaulter.Set(&o.IdleTimeout, 2*timer.Second)
	defaulter.Set(&o.DialTimeout, 2*timer.Second)
	defaulter.Set(&o.KeepUnused, 60*timer.Second)
	defaulter.Set(&o.Window, 64)
	if o.Memory == nil {
		o.Memory = holder.New(2 * maxMessageBytes)
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return o
}

// lane selects one of the connections to a peer, so that small calls do not wait
// behind bulk traffic.
type lane uint8

const (
	laneControl lane = iota + 1
	laneTraffic
)

// laneOf returns the lane of a method. The small calls of control state have a
// connection of their own.
func laneOf(m Method) lane {
	if strings.HasPrefix(string(m), "coordinator/") || strings.HasPrefix(string(m), "limiter/") {
		return laneControl
	}
	return laneTraffic
}

type route struct {
	address string
	lane    lane
}

// Host is one host's end of all its connections. It implements Caller and
// Registry. It is safe for concurrent use.
type Host struct {
	options Options
	server  *fasthttp.Server
	context context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mu       sync.Mutex
	handlers map[Method]Handler
	dialled  map[route]*pendingDial
	accepted map[*connection]struct{}
	closed   bool
	// listeners are the listeners that were passed to Serve.
	listeners []net.Listener
}

// pendingDial is a connection that is dialled once for all callers that need it. conn
// and err are set before ready is closed.
type pendingDial struct {
	ready chan struct{}
	conn  *connection
	err   error
}

// New returns a Host that can make calls and, while Serve runs, accepts calls. Close
// must be called to release its resources.
func New(o Options) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		options:  o.withDefaults(),
		context:  ctx,
		cancel:   cancel,
		handlers: make(map[Method]Handler),
		dialled:  make(map[route]*pendingDial),
		accepted: make(map[*connection]struct{}),
	}
	h.server = &fasthttp.Server{
		Handler:               h.upgrade,
		NoDefaultServerHeader: true,
		ReadTimeout:           h.options.IdleTimeout.Duration(),
		CloseOnShutdown:       true,
	}
	h.workers.Go(h.sweep)
	return h
}

// MaxCallBytes returns the length of the longest body of a call that hosts with as much
// memory for messages as this one receive.
func (h *Host) MaxCallBytes() int64 {
	return min(maxMessageBytes, h.options.Memory.MaxBytes()) - 2*batchBytes
}

// Handle implements Registry. It must be called before Serve.
func (h *Host) Handle(m Method, f Handler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handlers[m] = f
}

func (h *Host) find(m Method) (Handler, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f, ok := h.handlers[m]
	return f, ok
}

// Serve accepts peers' connections from l until Close, and closes l.
func (h *Host) Serve(l net.Listener) error {
	h.mu.Lock()
	h.listeners = append(h.listeners, l)
	closed := h.closed
	h.mu.Unlock()
	if closed {
		return eris.Wrap(l.Close(), "close listener for peers")
	}
	if h.options.ServerTLS != nil {
		l = tls.NewListener(l, h.options.ServerTLS)
	}
	return eris.Wrap(h.server.Serve(l), "serve peers")
}

func (h *Host) upgrade(ctx *fasthttp.RequestCtx) {
	name, incarnation, ok := strings.Cut(string(ctx.Request.Header.Peek(peerHeader)), "/")
	if string(ctx.Path()) != peerPath || !ok {
		ctx.Error("not a peer", fasthttp.StatusNotFound)
		return
	}
	if !h.certificateNames(ctx, name) {
		ctx.Error("the certificate does not name this peer", fasthttp.StatusForbidden)
		return
	}
	from := Peer{Name: name, Incarnation: incarnation}
	u := websocket.FastHTTPUpgrader{HandshakeTimeout: h.options.DialTimeout.Duration()}
	err := u.Upgrade(ctx, func(s *websocket.Conn) { h.serveConnection(s, from) })
	if err != nil {
		h.options.Logger.Warn("peer upgrade failed", zap.String("peer", name), zap.Error(err))
	}
}

// certificateNames reports whether the peer's certificate is for name. It returns true
// if TLS is off.
func (h *Host) certificateNames(ctx *fasthttp.RequestCtx, name string) bool {
	if h.options.ServerTLS == nil {
		return true
	}
	state := ctx.TLSConnectionState()
	return state != nil && len(state.PeerCertificates) > 0 && state.PeerCertificates[0].VerifyHostname(name) == nil
}

func (h *Host) serveConnection(s *websocket.Conn, from Peer) {
	c := newConnection(s, h.options, func() {})
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		_ = s.Close()
		return
	}
	h.accepted[c] = struct{}{}
	h.mu.Unlock()
	c.run(func(f frame) { c.accept(h.context, from, f, h.find) })
	h.mu.Lock()
	delete(h.accepted, c)
	h.mu.Unlock()
}

// Call implements Caller. It dials if there is no connection, and dials once more
// if an existing connection turns out to have ended before the request was sent.
func (h *Host) Call(ctx context.Context, address string, m Method, body []byte, each func([]byte) error) error {
	r := route{address: address, lane: laneOf(m)}
	for attempt := 0; ; attempt++ {
		d, reused, err := h.connection(ctx, r)
		if err != nil {
			return &NotSentError{Address: address, Err: err}
		}
		err = d.conn.do(ctx, address, m, body, each)
		if !reused || attempt > 0 || !isNotSent(err) || ctx.Err() != nil {
			return err
		}
		// A connection that has just ended may still be listed, and the second attempt
		// must not find it again.
		h.remove(r, d)
	}
}

func isNotSent(err error) bool {
	var n *NotSentError
	return errors.As(err, &n)
}

// connection returns a dial for r that has succeeded, and whether it was made or had
// begun before.
func (h *Host) connection(ctx context.Context, r route) (*pendingDial, bool, error) {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return nil, false, errClosed
	}
	d, reused := h.dialled[r]
	if !reused {
		d = &pendingDial{ready: make(chan struct{})}
		h.dialled[r] = d
		h.workers.Go(func() { h.dial(r, d) })
	}
	h.mu.Unlock()
	select {
	case <-d.ready:
		return d, reused, d.err
	case <-ctx.Done():
		return nil, reused, ctx.Err()
	}
}

// dial makes the connection of d and reads from it until it ends.
func (h *Host) dial(r route, d *pendingDial) {
	scheme := "ws://"
	if h.options.ClientTLS != nil {
		scheme = "wss://"
	}
	ctx, cancel := context.WithTimeout(h.context, h.options.DialTimeout.Duration())
	dialer := websocket.Dialer{TLSClientConfig: h.options.ClientTLS, HandshakeTimeout: h.options.DialTimeout.Duration()}
	header := http.Header{peerHeader: {h.options.Self.Name + "/" + h.options.Self.Incarnation}}
	s, response, err := dialer.DialContext(ctx, scheme+r.address+peerPath, header)
	cancel()
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		d.err = err
		h.remove(r, d)
		close(d.ready)
		return
	}
	d.conn = newConnection(s, h.options, func() { h.remove(r, d) })
	close(d.ready)
	if h.context.Err() != nil {
		d.conn.fail(errClosed)
	}
	stop := context.AfterFunc(h.context, func() { d.conn.fail(errClosed) })
	defer stop()
	d.conn.run(d.conn.deliver)
}

func (h *Host) remove(r route, d *pendingDial) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dialled[r] == d {
		delete(h.dialled, r)
	}
}

// sweep periodically closes connections that no call has used for KeepUnused.
func (h *Host) sweep() {
	t := time.NewTicker(min(sweepInterval, h.options.KeepUnused.Duration()))
	defer t.Stop()
	for {
		select {
		case <-h.context.Done():
			return
		case <-t.C:
			h.closeUnused()
		}
	}
}

func (h *Host) closeUnused() {
	for _, c := range h.removeUnused() {
		c.fail(errClosed)
	}
}

// removeUnused removes and returns the connections that no call has used for
// KeepUnused. The caller closes them without holding the lock, because ending a
// connection acquires the lock itself.
func (h *Host) removeUnused() []*connection {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*connection
	for r, d := range h.dialled {
		select {
		case <-d.ready:
			if d.conn != nil && d.conn.unusedFor() > h.options.KeepUnused.Duration() {
				delete(h.dialled, r)
				out = append(out, d.conn)
			}
		default:
		}
	}
	return out
}

// Close ends all connections and waits for their handlers.
func (h *Host) Close() error {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return nil
	}
	h.closed = true
	accepted := make([]*connection, 0, len(h.accepted))
	for c := range h.accepted {
		accepted = append(accepted, c)
	}
	listeners := h.listeners
	h.mu.Unlock()
	h.cancel()
	for _, c := range accepted {
		c.fail(errClosed)
	}
	err := h.server.Shutdown()
	for _, l := range listeners {
		// The server closes only listeners that it has started to serve.
		_ = l.Close()
	}
	h.workers.Wait()
	return eris.Wrap(err, "close peers")
}
