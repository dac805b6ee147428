package relayer

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/jackdawgate/jackdawgate/budgeter"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/departer"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/forecaster"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/postponer"
	"github.com/jackdawgate/jackdawgate/selector"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/jackdawgate/jackdawgate/transporter"
	"go.uber.org/zap"
)

const (
	// minTimeLeft is how much time a call must have left to be sent to a server.
	minTimeLeft timer.Millis = 30
	// retryNoServer is the retry-after of calls for which no server is known: a host learns
	// of new ones within this time. retryElsewhere is that of calls that other hosts can take
	// at once.
	retryNoServer  timer.Millis = 300
	retryElsewhere timer.Millis = 10
	// minRetry is the shortest retry-after of calls for which servers had no room: what
	// hosts tell one another of their calls arrives within that time.
	minRetry timer.Millis = 60
	// resumeAfter is how long a resumable stream waits for the next event before
	// it is resumed at another server. It also bounds the wait for the first byte
	// if the call may be sent to another server and this one has free slots.
	resumeAfter = ejector.SilenceTimeout
	// maxRefusals is the number of refusals or failed connections after which a call
	// is still tried again; one more ends it. maxMisdirected is the same for addresses
	// at which another server answered.
	maxRefusals    = 2
	maxMisdirected = 8
	// streamGap is the time without an event after which callers leave a stream at the
	// earliest, also before its first event, by the platform's protocol.
	streamGap = 2 * timer.Second
	// heldBackInterval is how often a call that cannot be refused any more looks for a server
	// whose limit leaves room.
	heldBackInterval = timer.Millis(50)
)

// run is a call in flight.
type run struct {
	relayer *Relayer
	call    Call
	sink    Sink
	// attempts counts the servers to which the call was sent and that may have
	// run it, refusals those that did not run it or could not be reached, and
	// misdirected those at whose address another server answered. excluded are the
	// identifiers of all of them.
	attempts    int
	refusals    int
	misdirected int
	excluded    []string
	// headSent is set when the head of an answer has been passed on, and lastEvent
	// is the identifier of the last event since, or 0.
	headSent  bool
	lastEvent int64
	// resuming is set if the current attempt continues a stream of another one.
	resuming  bool
	resumable bool
	// eventCount counts the events of the current attempt, which was sent at
	// sentAt.
	eventCount int
	sentAt     timer.Millis
	// flight is the current attempt as the tracker knows it.
	flight *suspector.Flight
	// firstEvent is when the first event of the current attempt came, or 0. streamed is how
	// long earlier attempts streamed what the current one does not repeat.
	firstEvent timer.Millis
	streamed   timer.Millis
	// lastProgress is when the caller last received an event, or when the call began.
	lastProgress timer.Millis
}

// Run runs c and passes its answer to s. It returns when ctx ends or c.Deadline
// has passed, at the latest.
func (r *Relayer) Run(ctx context.Context, c Call, s Sink) Outcome {
	left := r.timeLeft(c.Deadline)
	ctx, cancel := context.WithTimeout(ctx, max(left, 0).Duration())
	defer cancel()
	defer context.AfterFunc(r.ended, cancel)()
	u := &run{relayer: r, call: c, sink: s, resumable: c.Route.Resumable, lastProgress: r.options.Clock.Now()}
	r.options.Budgeter.Earn(u.budget())
	for {
		o, retry := u.attempt(ctx)
		if !retry {
			return o
		}
	}
}

// attempt sends the call to one server. It returns true if another server should
// be tried; otherwise the outcome is final.
func (u *run) attempt(ctx context.Context) (Outcome, bool) {
	o := u.relayer.options
	left := u.relayer.timeLeft(u.call.Deadline)
	if left < minTimeLeft {
		return u.outOfTime("no time left"), false
	}
	if retryAfter, refused := o.Tracker.Refused(u.call.Suspect); refused {
		return u.refuseSuspect(retryAfter), false
	}
	reservation, err := o.Picker.Pick(u.call.Service, selector.Request{PromptPrefix: u.call.Prompt, Excluded: u.excluded, Rank: u.call.Rank})
	if err != nil {
		return u.handleNoServer(ctx, err, left)
	}
	defer reservation.Release()
	prediction := o.Forecaster.Predict(u.forecastInput(reservation))
	if late := u.lateness(prediction); late > 0 {
		return u.refuseOverloaded(reservation, prediction, late, left), false
	}
	if u.isFresh() && !u.endsBeforeStop(prediction) {
		return NotRun{Reason: reasonStopping, RetryAfter: retryElsewhere}, false
	}
	if retryAfter, ok := o.Tracker.Admit(ctx, u.call.Suspect); !ok {
		return u.refuseSuspect(retryAfter), false
	}
	o.Ejector.Begin(reservation.Server.ID)
	defer o.Ejector.End(reservation.Server.ID)
	u.eventCount, u.firstEvent, u.sentAt = 0, 0, o.Clock.Now()
	o.Logger.Info("sent", zap.String("request", u.call.ID), zap.String("server", reservation.Server.ID),
		zap.Int("online", reservation.Load.Online), zap.Int("batch", reservation.Load.Batch), zap.Int("tried", len(u.excluded)),
		zap.Int64("left-ms", int64(left)), zap.Int64("after-event", u.lastEvent))
	attemptCtx, flight := o.Tracker.Start(ctx, u.call.Suspect)
	u.flight = flight
	defer flight.End()
	reservation.SetSent(true)
	answer, err := o.Transporter.Send(attemptCtx, u.request(reservation, left), u.firstByteTimeout(reservation, prediction, left))
	if err != nil {
		reservation.SetSent(transporter.WasSent(err))
		return u.handleFailure(ctx, reservation, err)
	}
	defer answer.Close()
	o.Ejector.BytesReceived(reservation.Server.ID)
	o.Tracker.Answered(reservation.Server.Incarnation())
	if answer.Header.Get(o.Names.Leaving) != "" {
		o.Departer.Record(reservation.Server.Incarnation(), departer.Leaving)
	}
	if answer.Status != http.StatusMisdirectedRequest {
		reservation.Answered(answer.Header.Values(o.Names.Limit), u.validate(answer) == nil && answer.Status/100 == 2)
	}
	return u.handleAnswer(ctx, reservation, answer)
}

// isFresh reports whether no server can have run the call.
func (u *run) isFresh() bool { return u.attempts == 0 && !u.headSent }

// endsBeforeStop reports whether the call can be expected to end before the host stops.
func (u *run) endsBeforeStop(p forecaster.Prediction) bool {
	at := timer.Millis(u.relayer.stopAt.Load())
	return at == 0 || p.EndsSurelyWithin(at-u.relayer.options.Clock.Now())
}

// handleNoServer handles a call for which there is no server now. Its results are those
// of attempt. If only the limits of servers hold it back, a call that may have run, or whose
// answer has begun, waits for room as long as it can then end in time and its caller stays: that
// caller cannot be told that it was not run, and so may not be able to repeat it. Any other call is refused at
// once, and its caller may go to any host.
func (u *run) handleNoServer(ctx context.Context, err error, left timer.Millis) (Outcome, bool) {
	o := u.relayer.options
	var held *picker.HeldBackError
	if !errors.As(err, &held) {
		return u.giveUp("no server to send to", retryNoServer), false
	}
	if !u.isFresh() && u.endsAfter(held.RetryAfter, left) && !u.callerLeavesWithin(held.RetryAfter) {
		if !timer.Sleep(ctx, min(held.RetryAfter, heldBackInterval)) {
			return u.outcomeOfContext(ctx), false
		}
		return nil, true
	}
	o.Throttler.CountRefusal()
	retryAfter := u.relayer.limits.Postpone(u.call.Service, postponer.Opening{
		First: held.RetryAfter, Rate: max(held.Rate, throttler.MinRate), Hosts: o.Throttler.SendingHosts(), Left: left,
	})
	o.Logger.Info("held back by servers' limits", zap.String("request", u.call.ID), zap.String("service", held.Service), zap.Int("limited", held.Servers),
		zap.Float64("limits", held.Rate), zap.Int64("age-ms", int64(held.Age)), zap.Int64("room-in-ms", int64(held.RetryAfter)), zap.Int64("retry-after-ms", int64(retryAfter)))
	return u.giveUp("the limits of the servers leave no room", retryAfter), false
}

// refuseSuspect ends a call that is refused because servers crashed under it or under
// other calls that share a part of its prompt.
func (u *run) refuseSuspect(retryAfter timer.Millis) Outcome {
	s := u.call.Suspect
	u.relayer.options.Logger.Info("call refused as suspect", zap.String("request", u.call.ID), zap.Uint64("fingerprint", s.Fingerprint),
		s.PartsField(), zap.Int64("for-ms", int64(retryAfter)))
	return u.giveUp("servers failed lately under this call or a part of its prompt", retryAfter)
}

// forecastInput returns the input for deciding whether the call can end in time at r's
// server. Only online calls count as ahead of it, since batch items are evicted in its
// favour.
func (u *run) forecastInput(r *picker.Reservation) forecaster.Call {
	return forecaster.Call{Service: u.call.Service, Ahead: r.Load.Online, Slots: r.Slots, Slowdown: r.Slowdown, Done: u.streamed}
}

// lateness returns by how much too late the call is expected to begin or to end at a server;
// at most zero if it is in time.
func (u *run) lateness(p forecaster.Prediction) timer.Millis {
	now := u.relayer.options.Clock.Now()
	late := p.LateBy(u.call.Deadline - now)
	if u.call.Route.Kind == cataloger.Stream {
		late = max(late, p.Begin-(u.lastProgress+streamGap-now))
	}
	return late
}

// callerLeavesWithin reports whether the caller leaves, as it receives no event of a stream
// for too long, before a wait is over.
func (u *run) callerLeavesWithin(wait timer.Millis) bool {
	return u.call.Route.Kind == cataloger.Stream && u.relayer.options.Clock.Now()+wait >= u.lastProgress+streamGap
}

// refuseOverloaded ends a call that cannot be expected to be served in time at the best
// server. Its caller is told when a call with as much time left would be taken.
func (u *run) refuseOverloaded(r *picker.Reservation, p forecaster.Prediction, late, left timer.Millis) Outcome {
	retryAfter := u.postpone(late, left)
	u.relayer.options.Logger.Info("refused as overloaded", zap.String("request", u.call.ID), zap.String("server", r.Server.ID), zap.Int("ahead", r.Load.Online), zap.Int("slots", r.Slots),
		zap.Int64("wait-ms", int64(p.Wait)), zap.Int64("left-ms", int64(left)), zap.Int("tried", len(u.excluded)))
	return u.giveUp(reasonTooLate, retryAfter)
}

// refuseFull ends a call that servers refused since they were full. Its caller is told of
// the next place that becomes free. If it could not be served from there in time, the
// reason says so.
func (u *run) refuseFull(r *picker.Reservation) Outcome {
	left := u.relayer.timeLeft(u.call.Deadline)
	retryAfter := u.postpone(u.relayer.options.Forecaster.RunTime(u.call.Service)/timer.Millis(max(1, r.Slots)), left)
	if !u.endsAfter(retryAfter, left) {
		return u.giveUp(reasonTooLate, retryAfter)
	}
	return u.giveUp("servers refused it", retryAfter)
}

// endsAfter reports whether the call can be expected to end in the time that is left if it
// begins after a wait.
func (u *run) endsAfter(wait, left timer.Millis) bool {
	return u.relayer.options.Forecaster.Predict(forecaster.Call{Service: u.call.Service, Done: u.streamed}).EndsWithin(left - wait)
}

// reasonTooLate is the reason for calls that no server can be expected to answer in time.
const reasonTooLate = "servers are overloaded and cannot answer before the caller's time is over"

// postpone returns when a caller for whose call the servers have no room should come again.
// first is the time until they have room for one such call.
func (u *run) postpone(first, left timer.Millis) timer.Millis {
	o := u.relayer.options
	// In the time that a call runs, each slot is left once.
	rate := float64(max(1, o.Picker.TotalSlots(u.call.Service))) * float64(timer.Second) / float64(o.Forecaster.RunTime(u.call.Service))
	place := u.relayer.queues.Postpone(u.call.Service, postponer.Opening{First: first, Rate: rate, Hosts: o.Throttler.SendingHosts(), Left: left})
	return max(place, minRetry)
}

// firstByteTimeout returns how long the server may take to send its first byte. At a full
// server the call first waits for a slot, for as long as predicted.
func (u *run) firstByteTimeout(r *picker.Reservation, p forecaster.Prediction, left timer.Millis) timer.Millis {
	if !u.canResend() {
		return left
	}
	if r.ServerFull() {
		return min(left, max(ejector.FullSilenceTimeout, p.Wait+resumeAfter))
	}
	return min(left, resumeAfter)
}

// canResend reports whether the call may be sent to another server if this attempt
// fails.
func (u *run) canResend() bool {
	return u.call.Route.Repeatable() && u.attempts+1 < u.call.Route.MaxAttempts
}

// request returns the request for r's server. left is the remaining time.
func (u *run) request(r *picker.Reservation, left timer.Millis) *transporter.Request {
	names := u.relayer.options.Names
	h := u.call.Header.Clone()
	transporter.RefuseEncodings(h)
	h.Set(names.ExpectServer, r.Server.ID)
	h.Set(names.Deadline, strconv.FormatInt(int64(left), 10))
	h.Del(names.Workspace)
	if u.call.Workspace != "" {
		h.Set(names.Workspace, u.call.Workspace)
	}
	if u.lastEvent > 0 {
		h.Set(names.ResumeAfter, strconv.FormatInt(u.lastEvent, 10))
	}
	return &transporter.Request{
		Server: r.Server.ID, Address: r.Server.Address, Method: u.call.Method, Target: u.call.Target,
		Host: u.call.Host, Header: h, Body: u.call.Body, ID: u.call.ID,
	}
}

// handleFailure handles an exchange that failed with err. Its results are those of
// attempt.
func (u *run) handleFailure(ctx context.Context, r *picker.Reservation, err error) (Outcome, bool) {
	o := u.relayer.options
	sent := transporter.WasSent(err)
	if sent {
		u.attempts++
	}
	if u.headSent && u.firstEvent != 0 {
		u.streamed += o.Clock.Now() - u.firstEvent
	}
	if u.flight.Revoked() {
		retryAfter, _ := o.Tracker.Refused(u.call.Suspect)
		return u.refuseSuspect(retryAfter), false
	}
	if ctx.Err() != nil {
		if sent {
			u.recordUnanswered(r)
			u.recordTimes(r, true)
		}
		return u.outcomeOfContext(ctx), false
	}
	u.excluded = append(u.excluded, r.Server.ID)
	u.recordFailure(r, err)
	o.Logger.Warn("server failed", zap.String("request", u.call.ID), zap.String("server", r.Server.ID), zap.Bool("may-have-run", sent), zap.Error(err))
	if !sent {
		u.refusals++
		return u.giveUp("servers cannot be reached", retryNoServer), u.refusals <= maxRefusals
	}
	if !u.call.Route.Repeatable() || u.attempts >= u.call.Route.MaxAttempts {
		return u.giveUp("the server broke the call off", 0), false
	}
	if !u.spendRetry() {
		return u.giveUp("the server broke the call off, and too many calls to its service are retried", 0), false
	}
	return nil, true
}

// spendRetry takes one retry from the retry budget and reports whether the budget
// had one. A call whose answer was passed on in part is resumed regardless of the
// budget.
func (u *run) spendRetry() bool {
	return u.headSent || u.relayer.options.Budgeter.Spend(u.budget())
}

// budget returns the key of the retry budget that the call belongs to.
func (u *run) budget() budgeter.Key {
	return budgeter.Key{Service: u.call.Service, Workspace: u.call.Workspace}
}

// recordFailure records a failed exchange with the ejector, against the server, and
// with the tracker, against the call if it may have crashed the server.
func (u *run) recordFailure(r *picker.Reservation, err error) {
	o := u.relayer.options
	o.Ejector.Failed(r.Server.ID, err)
	var silent *transporter.SilentError
	switch {
	case !transporter.WasSent(err):
	case errors.As(err, &silent):
		u.recordUnanswered(r)
	default:
		o.Tracker.Failed(u.suspectAttempt(r))
	}
}

// suspectAttempt returns the current attempt for the tracker.
func (u *run) suspectAttempt(r *picker.Reservation) suspector.Attempt {
	return suspector.Attempt{Call: u.call.Suspect, Server: r.Server.Incarnation(), Sent: u.sentAt, Events: u.eventCount}
}

// recordUnanswered records that the call ended before the server had answered it
// completely. If this server has been silent to all its calls for too long, while
// other servers were not, the call is recorded as having crashed it. Otherwise the
// server may be slow or unreachable from this host; the call is blamed only if the
// server is later removed.
func (u *run) recordUnanswered(r *picker.Reservation) {
	o := u.relayer.options
	bound := ejector.SilenceTimeout
	if r.ServerFull() {
		bound = ejector.FullSilenceTimeout
	}
	if o.Clock.Now()-u.sentAt >= bound && o.Ejector.SilentAlone(r.Server.ID, u.sentAt) {
		o.Tracker.Failed(u.suspectAttempt(r))
		return
	}
	o.Tracker.Unanswered(u.suspectAttempt(r))
}

// reasonStopping is the reason of outcomes of calls that end because the host stops.
const reasonStopping = "the host is about to stop"

// outcomeOfContext returns the outcome of a call whose context ended.
func (u *run) outcomeOfContext(ctx context.Context) Outcome {
	switch {
	case u.relayer.ended.Err() != nil:
		return u.giveUp(reasonStopping, retryElsewhere)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return u.outOfTime("the call's time is over")
	}
	return CallerGone{}
}

// outOfTime returns the outcome of a call whose time is over.
func (u *run) outOfTime(reason string) Outcome {
	if u.headSent {
		return Interrupted{Reason: reason}
	}
	if u.attempts == 0 {
		return NotRun{Reason: reason, RetryAfter: retryNoServer}
	}
	return Unknown{Reason: reason, Late: true}
}

// giveUp returns the outcome of a call for which no further server is tried.
func (u *run) giveUp(reason string, retry timer.Millis) Outcome {
	switch {
	case u.headSent:
		return Interrupted{Reason: reason}
	case u.attempts > 0:
		return Unknown{Reason: reason}
	}
	return NotRun{Reason: reason, RetryAfter: retry}
}

// isRefusal reports whether a guarantees that the server did not run the call.
func (u *run) isRefusal(a *transporter.Answer) bool {
	switch a.Status {
	case http.StatusMisdirectedRequest:
		return true
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		return a.Header.Get(u.relayer.options.Names.NotRun) != ""
	}
	return false
}

// handleRefusal handles an answer with which the server guarantees that it did not
// run the call. Its results are those of attempt.
func (u *run) handleRefusal(r *picker.Reservation, a *transporter.Answer) (Outcome, bool) {
	// The body is not read: it may not end, and the connection is not used again.
	u.excluded = append(u.excluded, r.Server.ID)
	u.relayer.options.Logger.Info("server refused", zap.String("request", u.call.ID), zap.String("server", r.Server.ID),
		zap.Int("status", a.Status), zap.Int("online", r.Load.Online), zap.Int("batch", r.Load.Batch))
	if a.Status == http.StatusMisdirectedRequest && u.relayer.options.Names.MeansOtherServer(r.Server.ID, u.call.Header, a.Header) {
		u.misdirected++
		u.relayer.options.Departer.Record(r.Server.Incarnation(), departer.Gone)
		return u.giveUp("servers that were asked are gone", minRetry), u.misdirected <= maxMisdirected
	}
	if a.Status == http.StatusTooManyRequests {
		r.Paused(throttler.ParseRetryAfter(a.Header.Get("Retry-After")))
	}
	u.refusals++
	if u.refusals <= maxRefusals && u.call.Route.MaxAttempts > u.refusals+u.attempts {
		return nil, true
	}
	return u.refuseFull(r), false
}
