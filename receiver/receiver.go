// Package receiver takes requests in: their key, the host's permission, their
// body.
//
// # Authority
//
// Admit opens a call only for a key in force, on a host that may act. From then
// on package guardian watches over it.
//
// # Keys
//
// Only an allowlist of headers is passed on. A request that has its own key, or
// any other in force, in the path, the query, a header of the allowlist or the
// body is refused with key-in-request. Redacting it was weighed: it changes what the
// caller asked for without a word, and an escaped or split key would slip by
// more easily. Compressed bodies are refused because they can't be searched.
//
// # Answers
//
// A function whose last result is a bool has written the answer when it is
// false, except those that return the error with it. A body that was not read
// whole costs its connection.
package receiver

import (
	"sync/atomic"

	"github.com/jackdawgate/jackdawgate/authenticator"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/guardian"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/valyala/fasthttp"
)

// Options configure a Receiver. All are required.
type Options struct {
	Viewer   coordinator.Viewer
	Keys     *authenticator.Authenticator
	Guardian *guardian.Guardian
	Clock    timer.Clock
	// MaxBody bounds the body of a call, MaxHeader the request line and headers,
	// in bytes. They are named in errors; the listener keeps them too.
	MaxBody   int
	MaxHeader int
}

// Receiver takes in the requests of one host.
type Receiver struct {
	options  Options
	refusing atomic.Bool
}

// New returns a Receiver.
func New(o Options) *Receiver { return &Receiver{options: o} }

// StopAdmitting makes Admit refuse all further requests.
func (r *Receiver) StopAdmitting() { r.refusing.Store(true) }

// valueCall is the value of a request that has its call.
const valueCall = "call"

// CallOf returns the call that Admit opened for ctx. ok is false when it
// opened none.
func CallOf(ctx *fasthttp.RequestCtx) (o *guardian.Call, ok bool) {
	o, ok = ctx.UserValue(valueCall).(*guardian.Call)
	return o, ok
}
