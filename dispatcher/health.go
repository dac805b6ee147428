package dispatcher

import (
	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/valyala/fasthttp"
)

// Health receives the results of this host's calls to backend servers. Its methods
// are called by many goroutines.
type Health interface {
	// Failed records that server could not be reached, or that an exchange with it broke
	// off: its connection was lost or stopped responding, or the answer was incomplete,
	// malformed or did not belong to the request.
	Failed(server string, now timer.Millis)
	// Succeeded records that server gave a complete answer.
	Succeeded(server string)
}

// noHealth discards what it receives.
type noHealth struct{}

func (noHealth) Failed(string, timer.Millis) {}
func (noHealth) Succeeded(string)            {}

// reportHealth reports to Health what the outcome of an attempt says about its
// server. Most outcomes say nothing about it: the caller left, the call's timeout
// passed, an intermediate host was lost, the server was busy, or it answered with an
// error, whose cause may be the request.
func (d *Dispatcher) reportHealth(server string, o requester.Outcome) {
	switch o := o.(type) {
	case requester.Answered:
		if o.Status < fasthttp.StatusInternalServerError {
			d.options.Health.Succeeded(server)
		}
	case requester.NotRun:
		if o.Code == CodeUnreachable {
			d.options.Health.Failed(server, d.options.Clock.Now())
		}
	case requester.MaybeRun:
		if isBrokenExchange(o.Code) {
			d.options.Health.Failed(server, d.options.Clock.Now())
		}
	}
}

// isBrokenExchange reports whether code is that of an exchange in which the server
// failed. The codes are exchanger's, which differ from those of this package.
func isBrokenExchange(code string) bool {
	switch code {
	case exchanger.CodeConnectionLost, exchanger.CodeConnectionSilent, exchanger.CodeTruncated, exchanger.CodeMismatched, exchanger.CodeMalformed:
		return true
	}
	return false
}
