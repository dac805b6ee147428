package relayer

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/jackdawgate/jackdawgate/comparer"
	"github.com/jackdawgate/jackdawgate/conveyor"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/splitter"
	"go.uber.org/zap"
)

const (
	// maxRefusalBody bounds what is read of a refusal.
	maxRefusalBody = 64 << 10
	// earlyPace is the event at which a call's pace is looked at first.
	earlyPace = 8
)

var (
	errUnsigned = errors.New("success without the server's signature")
	errEncoded  = errors.New("answer with an encoding that was not asked for")
	errSequence = errors.New("stream does not go on after the last event")
	errCaller   = errors.New("caller is gone")
)

// answered passes an answer on, or says what follows it.
func (u *run) answered(ctx context.Context, t *picker.Ticket, a *conveyor.Answer) (Outcome, bool) {
	if u.refusal(a) {
		return u.refused(t, a)
	}
	if err := u.check(a); err != nil {
		return u.failed(ctx, t, &conveyor.BrokenError{Server: t.Server.ID, Err: err})
	}
	var err error
	if a.Status == http.StatusOK && strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		err = u.stream(t, a)
	} else {
		err = u.pass(a)
	}
	switch {
	case err == nil:
		u.relayer.options.Ejector.Answered(t.Server.ID)
		u.relayer.options.Witness.Survived(u.call.Fingerprint)
		u.ran(t)
		u.compare(t)
		return Delivered{Status: a.Status, Server: t.Server.ID, Servers: u.servers + 1}, false
	case errors.Is(err, errCaller):
		u.left(t)
		return Left{}, false
	case u.begun && !u.resumable:
		u.servers++
		if ctx.Err() != nil {
			u.left(t)
			return u.stopped(ctx), false
		}
		u.judge(t, err)
		return BrokenOff{Reason: err.Error()}, false
	}
	return u.failed(ctx, t, err)
}

// ran notes how long a call took that ran at one server from its beginning.
func (u *run) ran(t *picker.Ticket) {
	if u.servers > 0 {
		return
	}
	now := u.relayer.options.Clock.Now()
	began, first := u.sent, u.first
	if first == 0 {
		// An answer without events begins when it is whole.
		first = now
	} else {
		began = first
	}
	wait := first - u.sent
	if t.Crowded() {
		wait = 0
	}
	u.relayer.options.Forecaster.Ran(u.call.Service, wait, now-began)
}

// compare notes the pace of the events that came from a server.
func (u *run) compare(t *picker.Ticket) {
	if u.first == 0 {
		return
	}
	took := u.relayer.options.Clock.Now() - u.first
	u.relayer.options.Comparer.Ran(comparer.Run{Service: u.call.Service, Server: t.Server.ID, Events: u.events, Took: took})
}

// check refuses what cannot be the server's own answer.
func (u *run) check(a *conveyor.Answer) error {
	names := u.relayer.options.Names
	switch {
	case a.Status/100 == 2 && a.Header.Get(names.Signature) == "":
		return errUnsigned
	case a.Header.Get("Content-Encoding") != "":
		return errEncoded
	case u.begun && a.Status != http.StatusOK:
		return errors.New("stream was not resumed: " + http.StatusText(a.Status))
	case a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests || a.Status == http.StatusRequestTimeout:
		return errors.New("refusal that does not say that the call was not run")
	}
	return nil
}

// pass passes an answer on once it is whole.
func (u *run) pass(a *conveyor.Answer) error {
	held, err := u.relayer.holder.Read(a)
	if err != nil {
		return err
	}
	defer held.Release()
	body := held.Bytes()
	h := a.Header.Clone()
	RemoveHopHeaders(h)
	if u.sink.Head(a.Status, h, int64(len(body))) != nil {
		return errCaller
	}
	u.begun = true
	if len(body) > 0 && u.sink.Write(body) != nil {
		return errCaller
	}
	return nil
}

// stream passes events on as they arrive, each one whole.
func (u *run) stream(t *picker.Ticket, a *conveyor.Answer) error {
	if !u.begun {
		h := a.Header.Clone()
		RemoveHopHeaders(h)
		if u.sink.Head(a.Status, h, -1) != nil {
			return errCaller
		}
		u.begun = true
	}
	if u.mayRepeat() && u.resumable {
		a.SetSilence(moveAfter)
	}
	return splitter.Read(a, func() { u.relayer.options.Ejector.Heard(t.Server.ID) }, func(e splitter.Event) error { return u.event(t, e) })
}

// event passes one event on.
func (u *run) event(t *picker.Ticket, e splitter.Event) error {
	if u.resumable && e.HasID {
		if u.lastEvent > 0 && e.ID != u.lastEvent+1 {
			u.relayer.options.Logger.Warn("event out of order", zap.String("request", u.call.ID), zap.Int64("after", u.lastEvent), zap.Int64("event", e.ID))
			return errSequence
		}
		u.lastEvent = e.ID
	}
	if u.events == 0 {
		u.first = u.relayer.options.Clock.Now()
	}
	u.events++
	if u.events == earlyPace {
		u.compare(t)
	}
	if u.sink.Write(e.Raw) != nil {
		return errCaller
	}
	return nil
}
