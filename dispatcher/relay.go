package dispatcher

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// runRequest is the request to a keeper host to run a call on one of its servers.
type runRequest struct {
	Request requester.Request `cbor:"1,keyasint"`
	Server  string            `cbor:"2,keyasint"`
	// ResumeFrom is the number of tokens of the stream that the caller already has.
	ResumeFrom int64 `cbor:"3,keyasint"`
}

// runFrame is one frame of the reply: a head, a piece of the body, or the outcome,
// which is last.
type runFrame struct {
	Head    *headFrame    `cbor:"1,keyasint,omitempty"`
	Body    []byte        `cbor:"2,keyasint,omitempty"`
	Tokens  int64         `cbor:"3,keyasint,omitempty"`
	Outcome *outcomeFrame `cbor:"4,keyasint,omitempty"`
	// Load is the server's load at the end of the call, so that the entry host has
	// current loads of the servers it uses without fetching them.
	Load *Load `cbor:"5,keyasint,omitempty"`
	// Crash is the record of the crash that ended the call, if one did.
	Crash *suspector.Records `cbor:"6,keyasint,omitempty"`
}

type headFrame struct {
	Status  int                `cbor:"1,keyasint"`
	Headers []requester.Header `cbor:"2,keyasint"`
}

// outcomeFrame has an outcome in exactly one of its fields.
type outcomeFrame struct {
	NotRun   *requester.NotRun   `cbor:"1,keyasint,omitempty"`
	MaybeRun *requester.MaybeRun `cbor:"2,keyasint,omitempty"`
	Evicted  *requester.Evicted  `cbor:"3,keyasint,omitempty"`
	Answered *requester.Answered `cbor:"4,keyasint,omitempty"`
}

func encodeOutcome(o requester.Outcome) *outcomeFrame {
	switch o := o.(type) {
	case requester.NotRun:
		return &outcomeFrame{NotRun: &o}
	case requester.MaybeRun:
		return &outcomeFrame{MaybeRun: &o}
	case requester.Evicted:
		return &outcomeFrame{Evicted: &o}
	case requester.Answered:
		return &outcomeFrame{Answered: &o}
	}
	return &outcomeFrame{MaybeRun: &requester.MaybeRun{Code: CodeInternal}}
}

func (f outcomeFrame) decode() requester.Outcome {
	switch {
	case f.NotRun != nil:
		return *f.NotRun
	case f.MaybeRun != nil:
		return *f.MaybeRun
	case f.Evicted != nil:
		return *f.Evicted
	case f.Answered != nil:
		return *f.Answered
	}
	return requester.MaybeRun{Code: CodeInternal, Reason: "empty outcome"}
}

// attempt runs a call here or on the server's keeper host, and in a fallback call if
// there is no reachable one.
func (d *Dispatcher) attempt(ctx context.Context, t target, v *delivery) requester.Outcome {
	d.loads.addUnreported(t.run.Server, t.run.Request.Class, 1)
	defer d.loads.addUnreported(t.run.Server, t.run.Request.Class, -1)
	o := d.orFallback(ctx, t.run, v, d.runAtKeeper(ctx, t, v))
	d.reportHealth(t.run.Server, o)
	return o
}

// runAtKeeper runs a call on the server's keeper host, which may be this one.
func (d *Dispatcher) runAtKeeper(ctx context.Context, t target, v *delivery) requester.Outcome {
	if t.keeperAddress == "" {
		return d.runAsKeeper(ctx, t.run, v)
	}
	return d.relayIfReachable(ctx, t, v)
}

// relayIfReachable runs a call through another host, unless that host could not be
// reached within the last unreachableTime.
func (d *Dispatcher) relayIfReachable(ctx context.Context, t target, v *delivery) requester.Outcome {
	if d.fallback.isUnreachable(t.keeperAddress, d.options.Clock.Now()) {
		return hostUnreachableOutcome()
	}
	o := d.relay(ctx, t.run, t.keeperAddress, v)
	if n, ok := o.(requester.NotRun); ok && n.Code == CodeHostUnreachable {
		d.fallback.markUnreachable(t.keeperAddress, d.options.Clock.Now())
	}
	return o
}

func hostUnreachableOutcome() requester.NotRun {
	return requester.NotRun{Code: CodeHostUnreachable, Reason: "the host of the backend server can't be reached", RetryAfter: timer.Second}
}

// relay runs a call through another host.
func (d *Dispatcher) relay(ctx context.Context, r *runRequest, address string, v *delivery) requester.Outcome {
	body, err := cbor.Marshal(r)
	if err != nil {
		return requester.NotRun{Code: CodeInternal, Reason: "the call can't be encoded"}
	}
	var end requester.Outcome
	err = d.options.Caller.Call(ctx, address, MethodRun, body, func(b []byte) error {
		if end != nil {
			return eris.New("frame received after the outcome")
		}
		var f runFrame
		if err := cbor.Unmarshal(b, &f); err != nil {
			return eris.Wrap(err, "decode frame")
		}
		if f.Load != nil {
			d.loads.update(*f.Load)
		}
		if f.Crash != nil && d.options.Suspects != nil {
			d.options.Suspects.Merge(*f.Crash)
		}
		return deliverFrame(f, v, &end)
	})
	if end != nil {
		return end
	}
	return d.relayFailed(r, address, err)
}

// deliverFrame passes the head and body of a frame to v and sets end to its outcome,
// if it has one.
func deliverFrame(f runFrame, v *delivery, end *requester.Outcome) error {
	if f.Head != nil {
		if err := v.Head(f.Head.Status, f.Head.Headers); err != nil {
			return err
		}
	}
	if len(f.Body) > 0 {
		if err := v.Body(f.Body, f.Tokens); err != nil {
			return err
		}
	}
	if f.Outcome != nil {
		*end = f.Outcome.decode()
	}
	return nil
}

// relayFailed returns the outcome of a relayed call whose reply had none.
func (d *Dispatcher) relayFailed(r *runRequest, address string, err error) requester.Outcome {
	d.options.Logger.Warn("relay failed", zap.String("request", r.Request.ID),
		zap.String("server", r.Server), zap.String("host", address), zap.Error(err))
	var unsent *messenger.NotSentError
	if errors.As(err, &unsent) {
		return hostUnreachableOutcome()
	}
	return requester.MaybeRun{Code: CodeHostLost, Reason: "the host of the backend server was lost during the call"}
}

// frameSink sends an answer to the entry host.
type frameSink struct{ send func([]byte) error }

var _ exchanger.Sink = frameSink{}

func (s frameSink) frame(f runFrame) error {
	b, err := cbor.Marshal(f)
	if err != nil {
		return eris.Wrap(err, "encode frame")
	}
	return s.send(b)
}

func (s frameSink) Head(status int, headers []requester.Header) error {
	return s.frame(runFrame{Head: &headFrame{Status: status, Headers: headers}})
}

func (s frameSink) Body(piece []byte, tokens int64) error {
	return s.frame(runFrame{Body: piece, Tokens: tokens})
}

// relayGrace is how much longer than the call's timeout a keeper host continues, in
// milliseconds. The entry host normally cancels in time; this limit applies if the
// entry host is lost.
const relayGrace = 2 * timer.Second

// handleRun handles MethodRun.
func (d *Dispatcher) handleRun(ctx context.Context, _ messenger.Peer, body []byte, send func([]byte) error) error {
	var r runRequest
	if err := cbor.Unmarshal(body, &r); err != nil {
		return &messenger.RemoteError{Code: "bad-request", Message: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, (r.Request.Timeout + relayGrace).Duration())
	defer cancel()
	s := frameSink{send: send}
	o := d.runAsKeeper(ctx, &r, s)
	f := runFrame{Outcome: encodeOutcome(o)}
	if m, ok := o.(requester.MaybeRun); ok && m.ServerCrashed {
		f.Crash = d.inFlight.crashRecord(r.Server)
	}
	if d.owns(r.Server) {
		l := d.ownLoad(r.Server)
		f.Load = &l
	}
	return s.frame(f)
}
