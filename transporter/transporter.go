// Package transporter is an HTTP/1.1 client for single exchanges with backend servers
// that reports precisely how each exchange ended.
//
// A failed exchange returns one of three errors:
//   - NotSentError: no byte of the request was sent.
//   - BrokenError: the request was sent, and then the connection ended or carried
//     bytes that are not a valid answer.
//   - SilentError: the server sent nothing within the silence timeout.
//
// After the last two the request may have run.
//
// A connection carries one exchange at a time. It is reused only after a complete
// answer with no bytes behind it. A goroutine reads from each idle connection, so
// one that the server closed or wrote to is never reused. An answer that echoes the
// identifier of another request is an extra answer to an earlier request: it is
// discarded, and the exchange waits for its own answer.
//
// A faulty server may write an earlier answer once more when the next request arrives. So
// that it is never taken for the answer to that request, a connection is reused only
// after a success that echoed the identifier: a request that failed or was refused may be
// sent again under the same one. On such a connection, an answer without an identifier
// belongs to no request.
package transporter

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Request is a request to one incarnation of a backend server.
type Request struct {
	// Server identifies the server, Address is where it listens.
	Server, Address string
	Method          string
	// Target is the path and query exactly as the caller sent them (see ValidTarget).
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the identifier that the answer must echo, if it echoes one at all.
	// If empty, the echo is not checked.
	ID string
}

// NotSentError reports that no byte of a request was sent.
type NotSentError struct {
	Server string
	Err    error
}

// WasSent reports whether the request of an exchange that ended with err may have
// reached the server.
func WasSent(err error) bool {
	var notSent *NotSentError
	return !errors.As(err, &notSent)
}

func (e *NotSentError) Error() string { return fmt.Sprintf("server %s: not sent: %v", e.Server, e.Err) }

func (e *NotSentError) Unwrap() error { return e.Err }

// BrokenError reports that no complete answer came: the connection ended, or it
// carried bytes that are not a valid answer.
type BrokenError struct {
	Server string
	// Reused is set if the connection had carried an earlier exchange.
	Reused bool
	Err    error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("server %s: broken off: %v", e.Server, e.Err)
}

func (e *BrokenError) Unwrap() error { return e.Err }

// SilentError reports that a server sent nothing for the duration After.
type SilentError struct {
	Server string
	After  timer.Millis
}

func (e *SilentError) Error() string {
	return fmt.Sprintf("server %s: silent for %d ms", e.Server, e.After)
}

// Options configures a Transporter. Zero fields take the defaults.
type Options struct {
	// IDHeader is the header in which a server echoes a request's identifier.
	IDHeader string
	// DialTimeout bounds the opening of a connection; default 0.4 s.
	DialTimeout timer.Millis
	// KeepIdle is how long an idle connection is kept; default 8 s. A shorter
	// timeout in the server's Keep-Alive header takes precedence.
	KeepIdle timer.Millis
	// MaxIdle bounds the idle connections per server; default 32.
	MaxIdle int
	// Memory is the memory for answers; default 32 MB.
	Memory *holder.Holder
	Clock  timer.Clock
}

// Transporter sends requests and pools idle connections. It is safe for concurrent use.
type Transporter struct {
	options Options
	dialer  net.Dialer

	mu sync.Mutex
	// idle holds the idle connections by server, the last used one last.
	idle   map[string][]*connection
	dials  uint64
	closed bool
}

// New returns a Transporter.
func New(o Options) *Transporter {
	defaulter.Set(&o.DialTimeout, 400)
	defaulter.Set(&o.KeepIdle, 8*timer.Second)
	defaulter.Set(&o.MaxIdle, 32)
	if o.Memory == nil {
		o.Memory = &holder.Holder{}
	}
	return &Transporter{
		options: o, idle: make(map[string][]*connection),
		dialer: net.Dialer{Timeout: o.DialTimeout.Duration(), KeepAlive: -1},
	}
}

// Close closes all idle connections. Connections in use are closed when their
// exchanges end.
func (c *Transporter) Close() {
	c.mu.Lock()
	kept := c.idle
	c.idle, c.closed = make(map[string][]*connection), true
	c.mu.Unlock()
	for _, list := range kept {
		for _, n := range list {
			n.discard()
		}
	}
}

// Dials returns the number of connection attempts so far.
func (c *Transporter) Dials() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}

// Retain closes the idle connections to servers for which known returns false.
func (c *Transporter) Retain(known func(server string) bool) {
	c.mu.Lock()
	var closing []*connection
	for id, list := range c.idle {
		if !known(id) {
			closing = append(closing, list...)
			delete(c.idle, id)
		}
	}
	c.mu.Unlock()
	for _, n := range closing {
		n.discard()
	}
}

// maxStrays bounds the extra answers that are discarded in one exchange.
const maxStrays = 3

// Send sends r and returns the answer after its head has been read. The exchange
// fails if the server sends nothing for the duration silence. The caller must Close
// the answer. When ctx ends, the exchange fails and its connection is closed. A request
// without a valid target fails with a *TargetError within a *NotSentError.
func (c *Transporter) Send(ctx context.Context, r *Request, silence timer.Millis) (*Answer, error) {
	if !ValidTarget(r.Target) {
		return nil, &NotSentError{Server: r.Server, Err: &TargetError{Target: r.Target}}
	}
	n, err := c.connect(ctx, r)
	if err != nil {
		return nil, &NotSentError{Server: r.Server, Err: err}
	}
	n.silenceTimeout, n.account = silence, c.options.Memory.Open()
	stop := context.AfterFunc(ctx, n.close)
	a, err := c.exchange(n, r)
	if err != nil {
		stop()
		n.account.Release()
		n.close()
		return nil, n.classify(err)
	}
	a.stopAfterFunc = stop
	return a, nil
}

// exchange sends r on n and reads the head of its answer.
func (c *Transporter) exchange(n *connection, r *Request) (*Answer, error) {
	n.send(r)
	for range maxStrays + 1 {
		response, err := n.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		echo := response.Header.Get(c.options.IDHeader)
		named := r.ID == "" || echo == r.ID
		if named || (echo == "" && !n.reused) {
			return &Answer{
				Status: response.StatusCode, Header: response.Header, response: response, connection: n, transporter: c,
				attributable: named && response.StatusCode/100 == 2,
			}, nil
		}
		if echo == "" {
			return nil, errUnnamed
		}
		if response.ContentLength < 0 || response.ContentLength > maxStrayBytes {
			return nil, errStray
		}
		if err := discardBody(response); err != nil {
			return nil, err
		}
	}
	return nil, errStray
}

var (
	errStray   = errors.New("answers to other requests")
	errUnnamed = errors.New("answer without an identifier on a connection that was used before")
)

// connect returns an idle connection to r's server, or opens a new one.
func (c *Transporter) connect(ctx context.Context, r *Request) (*connection, error) {
	for {
		n := c.takeIdle(r.Server)
		if n == nil {
			break
		}
		if n.reclaim() {
			return n, nil
		}
		n.close()
	}
	c.mu.Lock()
	c.dials++
	c.mu.Unlock()
	conn, err := c.dialer.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	n := &connection{conn: conn, server: r.Server, keepIdle: c.options.KeepIdle}
	n.reader = bufio.NewReaderSize(n, readBuffer)
	return n, nil
}

// takeIdle removes and returns the most recently used idle connection to server that
// may still be used, or returns nil. It closes those that may not.
func (c *Transporter) takeIdle(server string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock.Now()
	list := c.idle[server]
	for len(list) > 0 {
		n := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[server] = list
		if now < n.expires && !n.unusable() {
			return n
		}
		go n.discard()
	}
	return nil
}

// putIdle keeps n for another exchange, or closes it if there are enough.
func (c *Transporter) putIdle(n *connection) {
	n.expires = c.options.Clock.Now() + n.keepIdle
	n.reused = true
	n.watchIdle()
	c.mu.Lock()
	full := c.closed || len(c.idle[n.server]) >= c.options.MaxIdle
	if !full {
		c.idle[n.server] = append(c.idle[n.server], n)
	}
	c.mu.Unlock()
	if full {
		n.discard()
	}
}

// keepAlive returns the timeout in the Keep-Alive header, which is how long the
// server keeps an idle connection open.
func keepAlive(h http.Header) (timer.Millis, bool) {
	const name = "timeout="
	v := h.Get("Keep-Alive")
	i := indexFold(v, name)
	if i < 0 {
		return 0, false
	}
	v = v[i+len(name):]
	end := 0
	for end < len(v) && v[end] >= '0' && v[end] <= '9' {
		end++
	}
	s, err := strconv.Atoi(v[:end])
	if err != nil {
		return 0, false
	}
	return timer.FromDuration(time.Duration(s) * time.Second), true
}
