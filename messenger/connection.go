package messenger

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/jackdawgate/jackdawgate/holder"
)

const (
	// writeQueue is how many frames can wait for the writer of a connection.
	writeQueue = 256
	// batchBytes is the size at which no more frames are added to a message.
	batchBytes = 64 << 10
	// maxMessageBytes bounds one message from a peer. Messages of all peers have twice that
	// by default, while they are received and decoded.
	maxMessageBytes = 64 << 20
)

var (
	errClosed = errors.New("connection closed")
	errIdle   = errors.New("nothing arrived within the idle timeout")
)

// connection is one WebSocket connection. The dialling side makes calls on it,
// the accepting side answers them. One goroutine reads, one writes.
type connection struct {
	socket  *websocket.Conn
	options Options
	out     chan frame
	done    chan struct{}
	workers sync.WaitGroup
	// onEnd is called once, when the connection ends.
	onEnd func()

	mu sync.Mutex
	// calls are the dialling side's calls in flight, by identifier.
	calls map[uint64]*call
	// handlers are the accepting side's running handlers, by the call's
	// identifier; nil once the connection has ended.
	handlers map[uint64]*runningHandler
	nextID   uint64
	lastUse  time.Time
	err      error
}

func newConnection(socket *websocket.Conn, o Options, ended func()) *connection {
	c := &connection{
		socket:   socket,
		options:  o,
		onEnd:    ended,
		out:      make(chan frame, writeQueue),
		done:     make(chan struct{}),
		calls:    make(map[uint64]*call),
		handlers: make(map[uint64]*runningHandler),
		lastUse:  time.Now(),
	}
	socket.SetReadLimit(maxMessageBytes)
	c.extendReadDeadline()
	socket.SetPongHandler(func(string) error { c.extendReadDeadline(); return nil })
	socket.SetPingHandler(func(data string) error {
		c.extendReadDeadline()
		deadline := time.Now().Add(o.IdleTimeout.Duration())
		return ignoreTimeout(socket.WriteControl(websocket.PongMessage, []byte(data), deadline))
	})
	return c
}

// ignoreTimeout returns nil for a timeout, so that a slow pong does not end the
// reader: only the idle timeout does, not a single control message.
func ignoreTimeout(err error) error {
	var n net.Error
	if errors.As(err, &n) && n.Timeout() {
		return nil
	}
	return err
}

func (c *connection) extendReadDeadline() {
	_ = c.socket.SetReadDeadline(time.Now().Add(c.options.IdleTimeout.Duration()))
}

// run reads until the connection ends, and passes each frame to handle.
func (c *connection) run(handle func(frame)) {
	c.workers.Go(c.write)
	memory := c.options.Memory.Open()
	for {
		err := c.readMessage(memory, handle)
		memory.Release()
		if err != nil {
			c.fail(asIdleError(err))
			break
		}
	}
	c.workers.Wait()
}

// readMessage reads one message and passes its frames to handle.
func (c *connection) readMessage(memory *holder.Account, handle func(frame)) error {
	kind, r, err := c.socket.NextReader()
	if err != nil {
		return err
	}
	message, err := holder.ReadAll(memory, r, -1)
	if err != nil {
		return err
	}
	c.extendReadDeadline()
	if kind != websocket.BinaryMessage {
		return nil
	}
	return decodeFrames(message, handle)
}

func asIdleError(err error) error {
	var n net.Error
	if errors.As(err, &n) && n.Timeout() {
		return errIdle
	}
	return err
}

// write sends queued frames and pings until the connection ends.
func (c *connection) write() {
	ping := time.NewTicker(c.options.PingInterval.Duration())
	defer ping.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-ping.C:
			deadline := time.Now().Add(c.options.IdleTimeout.Duration())
			if err := c.socket.WriteControl(websocket.PingMessage, nil, deadline); err != nil {
				c.fail(err)
				return
			}
		case f := <-c.out:
			if err := c.writeBatch(f); err != nil {
				c.fail(err)
				return
			}
		}
	}
}

// writeBatch sends f and the frames that already wait as one message, of about
// batchBytes at most.
func (c *connection) writeBatch(f frame) error {
	message, err := appendFrame(nil, f)
	for err == nil && len(message) < batchBytes {
		select {
		case f = <-c.out:
			message, err = appendFrame(message, f)
			continue
		default:
		}
		break
	}
	if err != nil {
		return err
	}
	if err := c.socket.SetWriteDeadline(time.Now().Add(c.options.IdleTimeout.Duration())); err != nil {
		return err
	}
	return c.socket.WriteMessage(websocket.BinaryMessage, message)
}

// send queues f for the writer. It blocks while the queue is full.
func (c *connection) send(ctx context.Context, f frame) error {
	select {
	case <-c.done:
		return c.cause()
	default:
	}
	select {
	case c.out <- f:
		return nil
	case <-c.done:
		return c.cause()
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *connection) cause() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// fail ends the connection, its calls and its handlers. Only the first call has an
// effect; its err is the cause.
func (c *connection) fail(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	answers := c.handlers
	c.handlers = nil
	c.mu.Unlock()
	close(c.done)
	c.onEnd()
	for _, a := range answers {
		a.cancel()
	}
	_ = c.socket.Close()
}

// touch records that the connection is in use.
func (c *connection) touch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUse = time.Now()
}

// unusedFor returns for how long the connection has had no call in flight; zero
// while it has one.
func (c *connection) unusedFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) > 0 {
		return 0
	}
	return time.Since(c.lastUse)
}
