// Package conveyor makes single HTTP exchanges with backend servers and says
// exactly how each one ended.
//
// An exchange that fails ends with one of three errors: NotSentError, when no
// byte of the request left this host; BrokenError, when the request was sent and
// the connection ended, or brought bytes that are no answer; SilentError, when
// nothing came for too long. After the last two the request may have run.
//
// A connection carries one exchange at a time. It is kept for another only after
// a whole answer with nothing behind it, and while it is kept a reader waits on
// it, so that one which the server closed or wrote to is never used again. An
// answer that names another request is an extra answer to an earlier one: it is
// read and dropped, and the right one waited for.
package conveyor

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
	"github.com/jackdawgate/jackdawgate/timer"
)

// Request is a request to one incarnation of a backend server.
type Request struct {
	// Server identifies the incarnation, Address is where it listens.
	Server, Address string
	Method          string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the identifier that the answer must echo, if it echoes any.
	ID string
}

// NotSentError says that no byte of a request was sent.
type NotSentError struct {
	Server string
	Err    error
}

// WasSent says whether the request of an exchange that ended with err may have
// reached the server.
func WasSent(err error) bool {
	var notSent *NotSentError
	return !errors.As(err, &notSent)
}

func (e *NotSentError) Error() string { return fmt.Sprintf("server %s: not sent: %v", e.Server, e.Err) }

func (e *NotSentError) Unwrap() error { return e.Err }

// BrokenError says that a connection ended before a whole answer.
type BrokenError struct {
	Server string
	// Reused says that the connection had carried an earlier exchange.
	Reused bool
	Err    error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("server %s: broken off: %v", e.Server, e.Err)
}

func (e *BrokenError) Unwrap() error { return e.Err }

// SilentError says that nothing came from a server for too long.
type SilentError struct {
	Server string
	After  timer.Millis
}

func (e *SilentError) Error() string {
	return fmt.Sprintf("server %s: silent for %d ms", e.Server, e.After)
}

// Options are the settings of a Conveyor. Zero fields take the defaults.
type Options struct {
	// IDHeader is the header in which a server echoes a request's identifier.
	IDHeader string
	// DialTimeout bounds making a connection; default 0.4 s.
	DialTimeout timer.Millis
	// KeepIdle is how long a connection is kept unused; default 8 s. A server's
	// own word on it counts where it is shorter.
	KeepIdle timer.Millis
	// MaxIdle is how many unused connections to a server are kept; default 32.
	MaxIdle int
	Clock   timer.Clock
}

// Conveyor is safe for concurrent use.
type Conveyor struct {
	options Options
	dialer  net.Dialer

	mu     sync.Mutex
	idle   map[string][]*connection
	dials  uint64
	closed bool
}

// New returns a Conveyor.
func New(o Options) *Conveyor {
	defaulter.Set(&o.DialTimeout, 400)
	defaulter.Set(&o.KeepIdle, 8*timer.Second)
	defaulter.Set(&o.MaxIdle, 32)
	return &Conveyor{
		options: o, idle: make(map[string][]*connection),
		dialer: net.Dialer{Timeout: o.DialTimeout.Duration(), KeepAlive: -1},
	}
}

// Close closes the connections that are kept.
func (c *Conveyor) Close() {
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

// Dials is how many connections were made.
func (c *Conveyor) Dials() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}

// Forget closes kept connections to servers for which known says no.
func (c *Conveyor) Forget(known func(server string) bool) {
	c.mu.Lock()
	var gone []*connection
	for id, list := range c.idle {
		if !known(id) {
			gone = append(gone, list...)
			delete(c.idle, id)
		}
	}
	c.mu.Unlock()
	for _, n := range gone {
		n.discard()
	}
}

// maxStrays bounds the extra answers that are dropped before the right one.
const maxStrays = 3

// Send sends r and returns the beginning of its answer. Silence of the server
// ends the exchange after silence. The caller must Close the answer. When ctx
// ends, so does the exchange, and its connection.
func (c *Conveyor) Send(ctx context.Context, r *Request, silence timer.Millis) (*Answer, error) {
	n, err := c.connect(ctx, r)
	if err != nil {
		return nil, &NotSentError{Server: r.Server, Err: err}
	}
	n.silenceTimeout = silence
	unhook := context.AfterFunc(ctx, n.close)
	a, err := c.exchange(n, r)
	if err != nil {
		unhook()
		n.close()
		return nil, n.classify(err)
	}
	a.stopAfterFunc = unhook
	return a, nil
}

func (c *Conveyor) exchange(n *connection, r *Request) (*Answer, error) {
	n.send(r)
	for range maxStrays + 1 {
		response, err := n.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		echo := response.Header.Get(c.options.IDHeader)
		if r.ID == "" || echo == "" || echo == r.ID {
			return &Answer{Status: response.StatusCode, Header: response.Header, response: response, connection: n, conveyor: c}, nil
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

var errStray = errors.New("answers to other requests")

// connect returns a kept connection or a new one.
func (c *Conveyor) connect(ctx context.Context, r *Request) (*connection, error) {
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

func (c *Conveyor) takeIdle(server string) *connection {
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

// park keeps n for another exchange.
func (c *Conveyor) putIdle(n *connection) {
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

// keepAlive reads how long the server keeps a connection without requests.
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
