package guardian

import (
	"context"
	"net"
	"sync"

	"github.com/jackdawgate/jackdawgate/authenticator"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Call is a call that is open from its authentication to the last byte of its
// response.
type Call struct {
	Identity authenticator.Identity
	// Context is cancelled when the call ends; its cause is the reason.
	Context context.Context

	cancel context.CancelCauseFunc
	conn   net.Conn
	// operator reports whether the call is authenticated by the operators' token. Such
	// a call does not require the host's permission.
	operator bool
	// memory is what the request's body takes, which is released when the call ends.
	memory *holder.Account
}

// Cancel cancels the call's context with this cause. If the context is already
// cancelled, its cause does not change.
func (o *Call) Cancel(cause error) { o.cancel(cause) }

// Hold states that the memory of a is used until the call ends. It must be called before the
// response is written.
func (o *Call) Hold(a *holder.Account) { o.memory = a }

// calls is the set of open calls.
type calls struct {
	mu       sync.Mutex
	open     map[*Call]struct{}
	idleChan chan struct{}
}

func newCalls() *calls { return &calls{open: make(map[*Call]struct{})} }

// begin adds a call, whose context is cancelled after timeout. end must be called for
// the returned call.
func (c *calls) begin(o Call, timeout timer.Millis) *Call {
	ctx, cancel := context.WithCancelCause(context.Background())
	ctx, expire := context.WithTimeout(ctx, timeout.Duration())
	o.Context = ctx
	o.cancel = func(cause error) {
		cancel(cause)
		expire()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[&o] = struct{}{}
	return &o
}

func (c *calls) end(o *Call) {
	o.Cancel(nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, open := c.open[o]; open {
		o.memory.Release()
	}
	delete(c.open, o)
	if len(c.open) == 0 && c.idleChan != nil {
		close(c.idleChan)
		c.idleChan = nil
	}
}

// idle returns a channel that is closed once no call is open.
func (c *calls) idle() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	if c.idleChan == nil {
		c.idleChan = make(chan struct{})
	}
	return c.idleChan
}

func (c *calls) list() []*Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*Call, 0, len(c.open))
	for o := range c.open {
		out = append(out, o)
	}
	return out
}

func (c *calls) cancelAll(cause error) {
	for _, o := range c.list() {
		o.Cancel(cause)
	}
}

// cancelCallers cancels all calls except the operators'.
func (c *calls) cancelCallers(cause error) {
	for _, o := range c.list() {
		if !o.operator {
			o.Cancel(cause)
		}
	}
}
