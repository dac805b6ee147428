// Package relayer runs a caller's call at backend servers and passes the answer
// on.
//
// Guarantees:
//   - A call that is not repeatable is sent to at most one server, unless that
//     server reported that it did not run it.
//   - The outcome is NotRun only for a call that no server can have run.
//   - An answer that ends early is never passed on as complete.
//   - Every call has an outcome before the host stops, if the host calls StopAt and End.
//   - A resumable stream that breaks is resumed at another server, within the same
//     answer to the caller, after the last event that was passed on completely.
package relayer

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/jackdawgate/jackdawgate/apportioner"
	"github.com/jackdawgate/jackdawgate/budgeter"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/comparer"
	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/departer"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/forecaster"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/jackdawgate/jackdawgate/measurer"
	"github.com/jackdawgate/jackdawgate/namer"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/postponer"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/jackdawgate/jackdawgate/transporter"
	"go.uber.org/zap"
)

// Call is one call of a caller. A caller's retry is another Call.
type Call struct {
	ID     string
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	// Header holds the headers that are forwarded.
	Header http.Header
	Body   []byte
	Route  *cataloger.Route
	// Service is the service that was picked from the route's services.
	Service   string
	Workspace string
	// Deadline is the instant at which the call's time is over.
	Deadline timer.Millis
	// Suspect identifies the call by its content, for finding calls that crash
	// servers.
	Suspect suspector.Call
	// Rank is the number of configured classes of calls that are more urgent.
	Rank int
	// Subject is what the regions depend on in which the call may be placed.
	Subject localizer.Subject
	// Prompt identifies the leading part of the prompt, which other calls may
	// share. It is empty if unknown.
	Prompt string
}

// Sink receives the answer for the caller. Its methods return an error if the
// caller has disconnected.
type Sink interface {
	// Head begins the answer. length is the length of the body in bytes, or -1 if
	// unknown.
	Head(status int, h http.Header, length int64) error
	// Write passes a part of the body on without delay.
	Write(p []byte) error
	// Abort makes a blocked Write fail, and all later ones. It may be called by any goroutine.
	Abort()
}

// Outcome is how a call ended: Delivered, NotRun, Unknown, Interrupted or
// CallerGone.
type Outcome interface{ outcome() }

// Delivered is the outcome of a call whose answer was passed on completely.
type Delivered struct {
	Status int
	Server string
	// Servers is the number of servers to which the call was sent and that may
	// have run it.
	Servers int
}

// NotRun is the outcome of a call that no server has run or will run. Nothing was
// passed on.
type NotRun struct {
	Reason     string
	RetryAfter timer.Millis
}

// Unknown is the outcome of a call that may have run. Nothing was passed on.
type Unknown struct {
	Reason string
	// Late is set if the call's time was over.
	Late bool
}

// Interrupted is the outcome of a call whose answer was passed on in part and
// cannot be completed.
type Interrupted struct{ Reason string }

// CallerGone is the outcome of a call whose caller disconnected.
type CallerGone struct{}

func (Delivered) outcome()   {}
func (NotRun) outcome()      {}
func (Unknown) outcome()     {}
func (Interrupted) outcome() {}
func (CallerGone) outcome()  {}

// Options configures a Relayer. All fields but Measurer and WriteTimeout are required.
type Options struct {
	Names       namer.Names
	Transporter *transporter.Transporter
	Picker      *picker.Picker
	Throttler   *throttler.Throttler
	Ejector     *ejector.Ejector
	Tracker     *suspector.Tracker
	Departer    *departer.Departer
	Budgeter    *budgeter.Budgeter
	Forecaster  *forecaster.Forecaster
	Apportioner *apportioner.Apportioner
	Comparer    *comparer.Comparer
	Clock       timer.Clock
	Logger      *zap.Logger
	Measurer    *measurer.Measurer
	// WriteTimeout is how long a write to a caller may block until its call ends; default
	// 10 s.
	WriteTimeout timer.Millis
}

// Relayer runs calls. It is safe for concurrent use.
type Relayer struct {
	options Options
	// queues gives places to callers for whose calls servers had no room, limits to those
	// whom the limits of servers held back, shares to those whose workspaces had no room left
	// in their shares.
	queues, limits, shares *postponer.Postponer
	// stopAt is the instant at which all calls must have ended, or zero. ended is cancelled
	// by End.
	stopAt atomic.Int64
	ended  context.Context
	end    context.CancelFunc
}

// New returns a Relayer.
func New(o Options) *Relayer {
	defaulter.Set(&o.WriteTimeout, defaultWriteTimeout)
	r := &Relayer{options: o, queues: postponer.New(o.Clock), limits: postponer.New(o.Clock), shares: postponer.New(o.Clock)}
	r.ended, r.end = context.WithCancel(context.Background())
	return r
}

// StopAt announces that End will be called at this instant. From now on, a call that cannot
// be expected to end by then is not sent to a server: its outcome is NotRun.
func (r *Relayer) StopAt(instant timer.Millis) { r.stopAt.Store(int64(instant)) }

// End ends all calls at once. Calls that may have run have the outcome Unknown, or
// Interrupted if a part of their answer was passed on.
func (r *Relayer) End() { r.end() }

// timeLeft returns the time that a call with this deadline has left, at most until the
// Relayer ends all calls.
func (r *Relayer) timeLeft(deadline timer.Millis) timer.Millis {
	if at := timer.Millis(r.stopAt.Load()); at != 0 {
		deadline = min(deadline, at)
	}
	return deadline - r.options.Clock.Now()
}
