package messenger

import (
	"context"
	"errors"

	"github.com/jackdawgate/jackdawgate/recoverer"
)

// call is the calling side of one call. The goroutine that reads the connection
// puts answer frames into frames, whose capacity is the complete window, so that the
// reader never blocks.
type call struct {
	frames chan frame
}

// register adds a new call and returns it with its identifier.
func (c *connection) register() (uint64, *call, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, nil, c.err
	}
	c.nextID++
	l := &call{frames: make(chan frame, c.options.Window+1)}
	c.calls[c.nextID] = l
	return c.nextID, l, nil
}

func (c *connection) unregister(id uint64) {
	c.mu.Lock()
	delete(c.calls, id)
	c.mu.Unlock()
	c.touch()
}

// deliver passes a frame from the accepting side to its call. Frames of an
// abandoned call are discarded.
func (c *connection) deliver(f frame) {
	c.mu.Lock()
	l, ok := c.calls[f.ID]
	c.mu.Unlock()
	if !ok {
		return
	}
	select {
	case l.frames <- f:
	default:
		c.fail(errors.New("peer sent more frames than the window allows"))
	}
}

// do makes one call on c. After a NotSentError the call can safely be made on another
// connection.
func (c *connection) do(ctx context.Context, address string, m Method, body []byte, each func([]byte) error) error {
	id, l, err := c.register()
	if err != nil {
		return &NotSentError{Address: address, Err: err}
	}
	defer c.unregister(id)
	if err := c.send(ctx, frame{Kind: frameRequest, ID: id, Method: m, Body: body}); err != nil {
		return &NotSentError{Address: address, Err: err}
	}
	err = c.receive(ctx, id, l, each)
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil:
		c.abandon(id)
		return ctx.Err()
	case errors.Is(err, errLost):
		return &LostError{Address: address, Err: c.cause()}
	}
	return err
}

var errLost = errors.New("connection lost")

// receive passes answer frames to each until the call ends, and grants the peer
// new credit when half of the window has been consumed.
func (c *connection) receive(ctx context.Context, id uint64, l *call, each func([]byte) error) error {
	consumed := 0
	for {
		f, err := c.next(ctx, l)
		if err != nil {
			return err
		}
		if f.Kind == frameEnd {
			if f.Err != nil {
				return f.Err
			}
			return nil
		}
		if each != nil {
			if err := each(f.Body); err != nil {
				c.abandon(id)
				return err
			}
		}
		consumed++
		if consumed*2 >= c.options.Window {
			if err := c.send(ctx, frame{Kind: frameCredit, ID: id, Credit: consumed}); err != nil {
				return errLost
			}
			consumed = 0
		}
	}
}

// next returns the next frame of l. Frames that arrived before the connection
// ended are still returned after its end.
func (c *connection) next(ctx context.Context, l *call) (frame, error) {
	select {
	case f := <-l.frames:
		return f, nil
	default:
	}
	select {
	case f := <-l.frames:
		return f, nil
	case <-ctx.Done():
		return frame{}, ctx.Err()
	case <-c.done:
	}
	select {
	case f := <-l.frames:
		return f, nil
	default:
		return frame{}, errLost
	}
}

// abandon notifies the peer that the caller no longer waits. It does not block: if
// the write queue is full, it ends the connection instead.
func (c *connection) abandon(id uint64) {
	select {
	case c.out <- frame{Kind: frameCancel, ID: id}:
	case <-c.done:
	default:
		// A peer that is so far behind that the queue is full counts as
		// unreachable, and its handler must not keep running for a caller that no
		// longer waits.
		c.fail(errors.New("write queue full"))
	}
}

// runningHandler is one running handler on the accepting side.
type runningHandler struct {
	cancel context.CancelFunc
	credit chan int
}

// accept handles a frame from the dialling side.
func (c *connection) accept(ctx context.Context, from Peer, f frame, find func(Method) (Handler, bool)) {
	switch f.Kind {
	case frameRequest:
		c.startHandler(ctx, from, f, find)
	case frameCancel, frameCredit:
		c.mu.Lock()
		a, ok := c.handlers[f.ID]
		c.mu.Unlock()
		if !ok {
			return
		}
		if f.Kind == frameCancel {
			a.cancel()
			return
		}
		select {
		case a.credit <- f.Credit:
		default:
			c.fail(errors.New("peer granted more credit than was used"))
		}
	}
}

func (c *connection) startHandler(ctx context.Context, from Peer, f frame, find func(Method) (Handler, bool)) {
	ctx, cancel := context.WithCancel(ctx)
	a := &runningHandler{cancel: cancel, credit: make(chan int, c.options.Window)}
	c.mu.Lock()
	if c.handlers == nil {
		c.mu.Unlock()
		cancel()
		return
	}
	c.handlers[f.ID] = a
	c.mu.Unlock()
	c.workers.Go(func() {
		defer cancel()
		err := recoverer.Run(c.options.Logger, "answering "+string(f.Method), func() error { return c.runHandler(ctx, from, f, a, find) })
		c.mu.Lock()
		delete(c.handlers, f.ID)
		c.mu.Unlock()
		_ = c.send(context.Background(), frame{Kind: frameEnd, ID: f.ID, Err: asRemoteError(err)})
	})
}

// runHandler runs the handler of f with a send function that obeys the window.
func (c *connection) runHandler(ctx context.Context, from Peer, f frame, a *runningHandler, find func(Method) (Handler, bool)) error {
	h, ok := find(f.Method)
	if !ok {
		return &RemoteError{Code: "unknown-method", Message: string(f.Method)}
	}
	credit := c.options.Window
	return h(ctx, from, f.Body, func(b []byte) error {
		for credit == 0 {
			select {
			case n := <-a.credit:
				credit += n
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		credit--
		return c.send(ctx, frame{Kind: frameData, ID: f.ID, Body: append([]byte(nil), b...)})
	})
}
