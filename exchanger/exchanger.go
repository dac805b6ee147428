// Package exchanger makes single HTTP exchanges with backend servers, over a
// pool of connections that it owns.
//
// It is used instead of fasthttp's client because callers need a more precise
// outcome than an error: a Result states whether any byte of the request left
// the host, whether the server refused to run the request, and whether the
// answer is complete. This package never retries an exchange.
//
// A connection carries one exchange at a time. It is reused only after a success
// that ended where its framing indicated, or if nothing was sent on it because
// Call.Permit returned false. It is not reused after a refusal or a failure: a faulty
// server may write that once more, and servers need not echo the call's identifier. A
// connection that timed out, was closed by the server, was cancelled, or returned the
// answer of another request is closed and never reused.
package exchanger

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
)

// Headers of the protocol with backend servers.
const (
	// HeaderRequestID carries the identifier of the call; a server may echo it.
	HeaderRequestID = "X-Request-Id"
	// HeaderNotRun on a 503 indicates that the server ran no part of the request.
	HeaderNotRun = "Jackdawgate-Not-Run"
	// HeaderLimit names the requests a second that the server takes from all callers
	// together, as a decimal number, while it asks for a limit.
	HeaderLimit = "Jackdawgate-Limit"
	// HeaderResumedFrom on a stream is the number of tokens that the server
	// skipped because the request had resume_from.
	HeaderResumedFrom = "Resumed-From"
)

// Options configure an Exchanger. Zero fields take their defaults. Timeouts are
// in milliseconds.
type Options struct {
	// Dial opens a connection to an address. The default dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// ConnectTimeout bounds Dial.
	ConnectTimeout timer.Millis
	// FirstByteTimeout bounds each write of the request, and each read until the
	// headers of the answer are complete. It bounds single writes and reads, not
	// their sum.
	FirstByteTimeout timer.Millis
	// GapTimeout bounds each read of the body of an answer, not the time that the
	// whole body takes.
	GapTimeout timer.Millis
	// IdleTimeout is how long after its last exchange, or after the last check by
	// CheckConnections that found it open, an unused connection may be reused.
	IdleTimeout timer.Millis
	// MaxIdle is the maximum number of unused connections kept for one address.
	MaxIdle int
	// Memory is the memory for bodies and events that are buffered; default 32 MB.
	Memory *holder.Holder
	// Clock measures the age of unused connections. The default is the system
	// clock.
	Clock timer.Clock
}

const (
	defaultConnectTimeout   = 2 * timer.Second
	defaultFirstByteTimeout = 30 * timer.Second
	defaultGapTimeout       = 10 * timer.Second
	defaultIdleTimeout      = 20 * timer.Second
	defaultMaxIdle          = 64
)

func (o Options) withDefaults() Options {
	if o.Dial == nil {
		var d net.Dialer
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	defaulter.Set(&o.ConnectTimeout, defaultConnectTimeout)
	defaulter.Set(&o.FirstByteTimeout, defaultFirstByteTimeout)
	defaulter.Set(&o.GapTimeout, defaultGapTimeout)
	defaulter.Set(&o.IdleTimeout, defaultIdleTimeout)
	defaulter.Set(&o.MaxIdle, defaultMaxIdle)
	if o.Memory == nil {
		o.Memory = &holder.Holder{}
	}
	if o.Clock == nil {
		o.Clock = timer.System()
	}
	return o
}

// Call is one request to one backend server.
type Call struct {
	// ID is the identifier of the call, sent as HeaderRequestID.
	ID string
	// Address is the host and port of the backend server.
	Address string
	Method  string
	Path    string
	Query   string
	Headers []requester.Header
	Body    []byte
	// Stream indicates that a successful answer is a stream of server-sent
	// events that ends with [DONE].
	Stream bool
	// ResumeFrom is the number of tokens that a resumed stream must skip.
	ResumeFrom int64
	// NewConnection requires a new connection. It is set for calls that are not
	// repeatable, since a server may close an idle connection at the moment at
	// which it is reused.
	NewConnection bool
	// forGet selects the pool of Get's connections.
	forGet bool
	// Answered is called with the head of an answer to the call. It may be nil.
	Answered func(h Head)
	// Permit is called directly before the first byte is sent. If it returns
	// false, nothing is sent. It may be nil.
	Permit func() bool
}

func (c *Call) poolKey() poolKey { return poolKey{address: c.Address, forGet: c.forGet} }

// Head is the part of the head of an answer that concerns the server.
type Head struct {
	Status int
	// Limit has the values of HeaderLimit.
	Limit []string
	// RetryAfter is the delay that a server which refused the call requested, in
	// milliseconds, or 0.
	RetryAfter timer.Millis
}

// Sink receives an answer as it arrives, from the goroutine that called
// Exchange. If a method returns an error, the connection is closed and the
// exchange ends as Stopped.
type Sink interface {
	// Head is called once, before Body, with the status and the headers that are
	// to be forwarded.
	Head(status int, headers []requester.Header) error
	// Body is called with a piece of the body and the number of generated tokens
	// in it. Pieces of a stream are whole events. The slice is valid only until
	// Body returns.
	Body(piece []byte, tokens int64) error
}

// Exchanger makes exchanges and owns their connections. It is safe for
// concurrent use.
type Exchanger struct {
	options Options

	mu     sync.Mutex
	idle   map[poolKey][]*connection
	closed bool
}

// New returns an Exchanger. Close it to close its unused connections.
func New(o Options) *Exchanger {
	return &Exchanger{options: o.withDefaults(), idle: make(map[poolKey][]*connection)}
}

// Close closes the unused connections. Exchanges in progress continue until they
// complete or their contexts end; their connections are then closed.
func (x *Exchanger) Close() {
	x.mu.Lock()
	idle := x.idle
	x.idle, x.closed = nil, true
	x.mu.Unlock()
	for _, cs := range idle {
		for _, c := range cs {
			c.close()
		}
	}
}

// poolKey identifies a pool of unused connections to one address. Calls and Get
// use separate pools, so that the connections of Get show whether the server
// crashed when the connection of a call is lost.
type poolKey struct {
	address string
	forGet  bool
}

// connection is one connection to a backend server.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// reused is set when the connection is taken from a pool, even if nothing was
	// sent on it before.
	reused       bool
	idleSince    timer.Millis
	bytesWritten int64
	bytesRead    int64
	// unusable is set when the connection must not be reused.
	unusable bool
	// ioTimeout bounds the next read or write.
	ioTimeout timer.Millis
}

// Read bounds each read by the current ioTimeout, so that an unresponsive server
// is detected.
func (c *connection) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.ioTimeout.Duration())); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.bytesRead += int64(n)
	return n, err
}

// Write bounds each write by the current ioTimeout and counts the bytes written:
// a request of which no byte was written was certainly not run.
func (c *connection) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.ioTimeout.Duration())); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.bytesWritten += int64(n)
	return n, err
}

// close closes the connection. An error is ignored, since the connection is not
// reused in any case.
func (c *connection) close() { _ = c.Conn.Close() }

// readBufferSize bounds the headers of an answer, in bytes. Each open connection
// holds one such buffer.
const readBufferSize = 4 << 10

// connect returns an unused connection of the pool, unless fresh is set, or a new
// connection to address.
func (x *Exchanger) connect(ctx context.Context, address string, key poolKey, fresh bool) (*connection, error) {
	if !fresh {
		if c := x.takeIdle(key); c != nil {
			return c, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, x.options.ConnectTimeout.Duration())
	defer cancel()
	n, err := x.options.Dial(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", address)
	}
	c := &connection{Conn: n}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c, nil
}

// takeIdle removes and returns the connection that was put into a pool last, or nil
// if there is none. Connections that exceed the idle timeout are closed.
func (x *Exchanger) takeIdle(p poolKey) *connection {
	x.mu.Lock()
	defer x.mu.Unlock()
	cs := x.idle[p]
	for len(cs) > 0 {
		c := cs[len(cs)-1]
		cs = cs[:len(cs)-1]
		x.idle[p] = cs
		if x.options.Clock.Now()-c.idleSince < x.options.IdleTimeout && c.reader.Buffered() == 0 {
			c.reused, c.bytesWritten, c.bytesRead = true, 0, 0
			return c
		}
		c.close()
	}
	delete(x.idle, p)
	return nil
}

// putIdle adds c to its pool for another exchange. The caller must have read the
// last answer exactly to its end, or must not have sent anything on c.
func (x *Exchanger) putIdle(p poolKey, c *connection) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed || len(x.idle[p]) >= x.options.MaxIdle || c.reader.Buffered() > 0 {
		c.close()
		return
	}
	c.idleSince = x.options.Clock.Now()
	x.idle[p] = append(x.idle[p], c)
}
