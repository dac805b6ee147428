// Package relayer runs one caller's call at backend servers and passes the
// answer on.
//
// What it promises: a call that is not repeatable is sent to one server at most,
// unless that server said that it did not run it; NotRun is the outcome only of
// a call that no server can have run; an answer that ends early is never passed
// on as a whole one. A stream that may be resumed goes on at another server,
// within the same answer, after the last event that was passed on whole.
package relayer

import (
	"net/http"

	"github.com/jackdawgate/jackdawgate/budgeter"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/comparer"
	"github.com/jackdawgate/jackdawgate/conveyor"
	"github.com/jackdawgate/jackdawgate/departer"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/forecaster"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/speller"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Call is one attempt of a caller.
type Call struct {
	ID     string
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	// Header has the caller's headers that are passed on.
	Header http.Header
	Body   []byte
	Route  *cataloger.Route
	// Service is the service of the route that was picked for the call.
	Service   string
	Workspace string
	// Deadline is when the caller's time or the route's is over.
	Deadline timer.Millis
	// Patience is for how long the caller said to wait.
	MaxWait timer.Millis
	// Fingerprint is the same when the same call comes again.
	Fingerprint uint64
	// Prompt names the part of the prompt that the call shares with others.
	Prompt string
}

// Sink takes the answer. Its methods return an error when the caller is gone.
type Sink interface {
	// Head begins the answer. length is -1 when it is not known.
	Head(status int, h http.Header, length int64) error
	// Write passes a part of the body on at once.
	Write(p []byte) error
}

// Outcome says how a call ended.
type Outcome interface{ outcome() }

// Delivered is a whole answer that was passed on.
type Delivered struct {
	Status int
	Server string
	// Servers is how many servers the call was sent to.
	Servers int
}

// NotRun is a call that has not run and never will. Nothing was passed on.
type NotRun struct {
	Reason     string
	RetryAfter timer.Millis
}

// Unknown is a call that may have run. Nothing was passed on.
type Unknown struct {
	Reason string
	// Late says that the call's time was over.
	Late bool
}

// BrokenOff is an answer that was begun and cannot be ended.
type Interrupted struct{ Reason string }

// Left is a call whose caller went away.
type CallerGone struct{}

func (Delivered) outcome()   {}
func (NotRun) outcome()      {}
func (Unknown) outcome()     {}
func (Interrupted) outcome() {}
func (CallerGone) outcome()  {}

// Options are what a Relayer works with.
type Options struct {
	Names      speller.Names
	Conveyor   *conveyor.Conveyor
	Picker     *picker.Picker
	Ejector    *ejector.Ejector
	Witness    *suspector.Witness
	Departer   *departer.Departer
	Budgeter   *budgeter.Budgeter
	Forecaster *forecaster.Forecaster
	Comparer   *comparer.Comparer
	Clock      timer.Clock
	Logger     *zap.Logger
}

// Relayer is safe for concurrent use.
type Relayer struct {
	options Options
	holder  holder.Holder
}

// New returns a Relayer.
func New(o Options) *Relayer { return &Relayer{options: o} }

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Proxy-Authorization", "Expect",
}

// RemoveHopHeaders takes headers that concern one connection out of h, with
// those that its Connection header names.
func RemoveHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range splitList(list) {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
