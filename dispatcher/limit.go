package dispatcher

import (
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

// Limits of servers
//
// A backend server may name the requests a second that it takes, or refuse a call with
// 429 and the time at which to come back. The host that owns the server keeps to both,
// since all calls but fallback calls pass through it. A host that makes fallback calls
// keeps them to what it was told itself.

// serverKey identifies a server in the throttler. The limit of a server ends when it
// crashes, as noticed here (forgetLimit).
func serverKey(server string) cataloger.Incarnation { return cataloger.Incarnation{ID: server} }

// limitClass returns the class of a call for the throttler. Batch calls leave what a limit
// allows to online calls.
func limitClass(c requester.Class) throttler.Class {
	if c == requester.Batch {
		return throttler.Batch{Yield: true}
	}
	return throttler.Online{}
}

// limitedCall is a call that was counted towards the limit of its server.
type limitedCall struct {
	dispatcher *Dispatcher
	server     string
	mark       throttler.Mark
	counted    bool
}

// takeLimit counts a call that is about to be sent to a server. It returns the outcome of a
// call for which the limit of the server leaves no room.
func (d *Dispatcher) takeLimit(r *runRequest) (*limitedCall, requester.Outcome) {
	k := serverKey(r.Server)
	l := &limitedCall{dispatcher: d, server: r.Server, mark: d.throttler.Mark(k)}
	class := limitClass(r.Request.Class)
	var ok bool
	if l.counted, ok = d.throttler.Take(k, class); ok {
		return l, nil
	}
	room := d.throttler.Room(k, class)
	d.options.Logger.Info("held back by the server's limit", zap.String("request", r.Request.ID), zap.String("server", r.Server),
		zap.Float64("limit", room.Rate), zap.Int64("age-ms", int64(room.Age)), zap.Int64("retry-after-ms", int64(room.RetryAfter)))
	o := requester.NotRun{Code: CodeServerLimited, Reason: "the backend server's limit leaves no room", RetryAfter: max(room.RetryAfter, minRetryAfter)}
	if room.Paused {
		o.Code, o.Reason = CodeServerRefused, "the backend server takes no calls for a while"
	}
	return nil, o
}

// answered applies what the head of an answer says of the server's limit.
func (l *limitedCall) answered(h exchanger.Head) {
	k := serverKey(l.server)
	l.dispatcher.throttler.Heard(k, l.mark, h.Limit, h.Status == fasthttp.StatusOK)
	if h.Status == fasthttp.StatusTooManyRequests {
		l.dispatcher.throttler.Pause(k, h.RetryAfter)
	}
}

// end returns the call to the limit if it did not reach the server.
func (l *limitedCall) end(result exchanger.Result) {
	if _, unsent := result.(exchanger.NotSent); unsent && l.counted {
		l.dispatcher.throttler.Refund(serverKey(l.server))
	}
}

// forgetLimit ends the limit of a server that has crashed.
func (d *Dispatcher) forgetLimit(server string) {
	d.throttler.Retain(func(v cataloger.Incarnation) bool { return v.ID != server })
}
