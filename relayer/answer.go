package relayer

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/comparer"
	"github.com/jackdawgate/jackdawgate/forecaster"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/prefetcher"
	"github.com/jackdawgate/jackdawgate/sequencer"
	"github.com/jackdawgate/jackdawgate/splitter"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/jackdawgate/jackdawgate/transporter"
	"go.uber.org/zap"
)

const (
	// firstRateSample is the number of events after which the event rate of an
	// answer is recorded for the first time.
	firstRateSample = 8
)

var (
	errUnsigned   = errors.New("2xx answer without the server signature")
	errEncoded    = errors.New("answer with a content encoding that was not requested")
	errNoStream   = errors.New("success that is no stream in place of one")
	errCallerGone = errors.New("caller disconnected")
)

// handleAnswer passes a on, or handles its failure. Its results are those of
// attempt.
func (u *run) handleAnswer(ctx context.Context, r *picker.Reservation, a *transporter.Answer) (Outcome, bool) {
	if u.isRefusal(a) {
		return u.handleRefusal(r, a)
	}
	if err := u.validate(a); err != nil {
		return u.handleFailure(ctx, r, &transporter.BrokenError{Server: r.Server.ID, Err: err})
	}
	var err error
	if u.isStream(a) {
		err = u.relayStream(ctx, r, a)
	} else {
		err = u.relayBody(a)
	}
	switch {
	case err == nil:
		u.relayer.options.Ejector.Succeeded(r.Server.ID)
		if a.Status/100 == 2 {
			u.relayer.options.Tracker.Completed(u.call.Suspect)
		}
		u.recordTimes(r, false)
		u.recordRate(r)
		return Delivered{Status: a.Status, Server: r.Server.ID, Servers: u.attempts + 1}, false
	case errors.Is(err, errCallerGone):
		u.recordGivenUp(r)
		return CallerGone{}, false
	case u.headSent && !u.resumable && !u.flight.Revoked():
		u.attempts++
		if ctx.Err() != nil {
			u.recordGivenUp(r)
			return u.outcomeOfContext(ctx), false
		}
		u.recordFailure(r, err)
		return Interrupted{Reason: err.Error()}, false
	}
	return u.handleFailure(ctx, r, err)
}

// recordGivenUp records that the call's time was over, or its caller left, before the server
// had answered it completely.
func (u *run) recordGivenUp(r *picker.Reservation) {
	if u.readAt != 0 {
		// Only the caller had not read it.
		u.relayer.options.Ejector.Succeeded(r.Server.ID)
		u.recordTimes(r, false)
		return
	}
	u.recordUnanswered(r)
	u.recordTimes(r, true)
}

// recordTimes reports to the forecaster how long the current attempt waited and ran.
// givenUp is set if its time was over, or its caller left, before its end. The rest of a
// stream that began elsewhere tells nothing.
func (u *run) recordTimes(r *picker.Reservation, givenUp bool) {
	if u.resuming {
		return
	}
	now := u.endOfAnswer()
	m := forecaster.Sample{Call: u.forecastInput(r), First: now - u.sentAt, Full: r.ServerFull(), GivenUp: givenUp}
	switch {
	case u.firstEvent != 0:
		m.First, m.Run = u.firstEvent-u.sentAt, now-u.firstEvent
	case !givenUp && m.Full:
		// Without events it is not known how long the call waited.
		m.Run = max(0, m.First-u.relayer.options.Forecaster.Predict(m.Call).Wait)
		m.First = 0
	case !givenUp:
		m.Run = m.First
	}
	u.relayer.options.Forecaster.Observe(m)
}

// endOfAnswer returns when the answer of the current attempt was read to its end, if that was
// before its caller had read it, or the time now.
func (u *run) endOfAnswer() timer.Millis {
	if u.readAt != 0 {
		return u.readAt
	}
	return u.relayer.options.Clock.Now()
}

// recordRate reports the rate of the events of the current attempt to the
// comparer.
func (u *run) recordRate(r *picker.Reservation) {
	if u.firstEvent == 0 {
		return
	}
	took := u.endOfAnswer() - u.firstEvent
	u.relayer.options.Comparer.Observe(comparer.Sample{Service: u.call.Service, Server: r.Server.ID, Events: u.eventCount, Took: took})
}

// validate returns an error if a cannot be an answer of the server to this call.
func (u *run) validate(a *transporter.Answer) error {
	names := u.relayer.options.Names
	switch {
	case a.Status/100 == 2 && a.Header.Get(names.Signature) == "":
		return errUnsigned
	case a.Header.Get("Content-Encoding") != "":
		return errEncoded
	case u.headSent && a.Status != http.StatusOK:
		return errors.New("stream was not resumed: " + http.StatusText(a.Status))
	case a.Status == http.StatusOK && u.isNumbered() && !u.isStream(a):
		return errNoStream
	case a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests || a.Status == http.StatusRequestTimeout:
		return errors.New("refusal without a guarantee that the call was not run")
	}
	return nil
}

// isNumbered reports whether the call's answer is a stream of numbered events.
func (u *run) isNumbered() bool { return u.call.Route.Kind == cataloger.Stream }

// isStream reports whether a is a stream of events. Where the call's answer is one, a server
// may leave out its type.
func (u *run) isStream(a *transporter.Answer) bool {
	contentType := a.Header.Get("Content-Type")
	return a.Status == http.StatusOK && (strings.HasPrefix(contentType, "text/event-stream") || (contentType == "" && u.isNumbered()))
}

// relayBody passes an answer on once it is complete.
func (u *run) relayBody(a *transporter.Answer) error {
	body, err := holder.Read(a.Memory(), a)
	if err != nil {
		return err
	}
	defer body.Close()
	h := a.Header.Clone()
	transporter.RemoveHopHeaders(h)
	if u.sink.Head(a.Status, h, int64(body.Len())) != nil {
		return errCallerGone
	}
	u.headSent = true
	w := u.watchWrites(nil)
	defer w.close()
	if body.Write(func(p []byte) error { return w.write(p, u.relayer.options.Clock.Now()) }) != nil {
		return errCallerGone
	}
	return nil
}

// relayStream passes events on as they arrive, each one complete. While the caller does not
// read, the server's stream is read ahead.
func (u *run) relayStream(ctx context.Context, r *picker.Reservation, a *transporter.Answer) error {
	u.resuming = u.headSent
	if !u.headSent {
		h := a.Header.Clone()
		transporter.RemoveHopHeaders(h)
		if u.sink.Head(a.Status, h, -1) != nil {
			return errCallerGone
		}
		u.headSent = true
	}
	if u.canResend() && u.resumable {
		a.SetSilenceTimeout(resumeAfter)
	}
	o := u.relayer.options
	p := prefetcher.New(ctx, prefetcher.Options{
		Source: a, Interrupt: a.Interrupt, Memory: a.Memory().Fork(), Clock: o.Clock,
		OnRead: func() { o.Ejector.BytesReceived(r.Server.ID) },
	})
	defer p.Close()
	w := u.watchWrites(p)
	defer w.close()
	err := splitter.Read(p, a.Memory().Reserve, func() {}, func(e splitter.Event) error { return u.relayEvent(r, w, e) })
	u.readAt = p.EndedAt()
	return err
}

// relayEvent passes one event on. A stream of numbered events must continue right after the
// last event that its caller has.
func (u *run) relayEvent(r *picker.Reservation, w *writeWatch, e splitter.Event) error {
	if u.isNumbered() {
		if err := u.checkNumber(e); err != nil {
			u.relayer.options.Logger.Warn("event is not the next one of its stream", zap.String("request", u.call.ID), zap.String("server", r.Server.ID), zap.Error(err))
			return err
		}
	}
	now := u.relayer.options.Clock.Now()
	if !e.Filler {
		u.countEvent(r, w, now)
	}
	if w.write(e.Raw, now) != nil {
		return errCallerGone
	}
	return nil
}

// countEvent counts an event of the current attempt, which is about to be passed on.
func (u *run) countEvent(r *picker.Reservation, w *writeWatch, now timer.Millis) {
	u.lastProgress = now
	if u.eventCount == 0 {
		u.firstEvent = now
	}
	u.eventCount++
	if u.eventCount == firstRateSample && !w.ahead.Buffering() {
		u.recordRate(r)
	}
	if u.eventCount == suspector.ProgressEvents {
		u.flight.Progressed()
		u.relayer.options.Tracker.Progressed(u.call.Suspect)
	}
}

// checkNumber returns an error of sequencer.Check if e is not the next event of the stream.
func (u *run) checkNumber(e splitter.Event) error {
	if !u.resumable && u.eventCount == 0 && e.ID == 1 {
		// Servers of streams that cannot be resumed may ignore the event that the caller names.
		u.lastEvent = 0
	}
	err := sequencer.Check(e, u.lastEvent)
	if err == nil && !e.Filler {
		u.lastEvent = e.ID
	}
	return err
}
