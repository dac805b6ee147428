// Package receiver authenticates requests and reads their bodies.
//
// # Authorization
//
// Admit opens a call only for a key that is in force, and only while the host
// has permission to act. Package guardian then supervises the call.
//
// # Keys
//
// Keys must not reach backend servers or stored data. Only an allowlist of
// headers is forwarded. A request that has its own key, or any other key in
// force, in the path, the query, an allowlisted header or the body is refused
// with key-in-request. Keys are not redacted instead: redaction would silently
// change the request, and it misses escaped or split keys more easily.
// Compressed bodies are refused because they can't be searched.
//
// # Responses
//
// If a function returns false as its last result, it has written the error
// response, unless it returns the error as well. The connection is closed if
// the body of a request has not been read completely.
package receiver

import (
	"sync/atomic"

	"github.com/jackdawgate/jackdawgate/authenticator"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/guardian"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/valyala/fasthttp"
)

// Options configure a Receiver. All are required.
type Options struct {
	Viewer   coordinator.Viewer
	Keys     *authenticator.Authenticator
	Guardian *guardian.Guardian
	Clock    timer.Clock
	// MaxBody is the limit on the body of a call, MaxHeader on the request line
	// and headers, in bytes. They are used in error messages; the listener
	// enforces them.
	MaxBody   int
	MaxHeader int
	// Memory is the memory for bodies that are held whole.
	Memory *holder.Holder
}

// Receiver authenticates and reads the requests of one host. It may be used
// concurrently.
type Receiver struct {
	options  Options
	refusing atomic.Bool
}

// New returns a Receiver.
func New(o Options) *Receiver { return &Receiver{options: o} }

// StopAdmitting makes Admit refuse all further requests, because the host
// leaves.
func (r *Receiver) StopAdmitting() { r.refusing.Store(true) }

// userValueCall is the key of the request's user value that holds its call.
const userValueCall = "call"

// CallOf returns the call that Admit opened for ctx. ok is false if it opened
// none.
func CallOf(ctx *fasthttp.RequestCtx) (call *guardian.Call, ok bool) {
	call, ok = ctx.UserValue(userValueCall).(*guardian.Call)
	return call, ok
}
