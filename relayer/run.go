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
	// resumeAfter is how long a resumable stream waits for the next event before
	// it is resumed at another server. It also bounds the wait for the first byte
	// if the call may be sent to another server and this one has free slots.
	resumeAfter = ejector.SilenceTimeout
	// maxRefusals is the number of refusals or failed connections after which a call
	// is still tried again; one more ends it. maxMisdirected is the same for addresses
	// at which another server answered.
	maxRefusals    = 2
	maxMisdirected = 8
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
	// headSent is set when the head of an answer has been passed on. lastEvent is the number
	// of the last event that the caller has, or 0.
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
	// readAt is when the current attempt's answer was read to its end, if it was read ahead,
	// or 0.
	readAt timer.Millis
	// withinShare is set once the call was found to be within the share of its workspace.
	withinShare bool
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
	u := &run{relayer: r, call: c, sink: s, resumable: c.Route.Kind == cataloger.Stream && c.Route.Resumable, lastProgress: r.options.Clock.Now()}
	if u.isNumbered() {
		u.lastEvent = u.callersLastEvent()
	}
	r.options.Budgeter.Earn(u.budget())
	for {
		o, retry := u.attempt(ctx)
		if !retry {
			return o
		}
	}
}

// callersLastEvent returns the number of the event after which the caller resumes the stream,
// or 0.
func (u *run) callersLastEvent() int64 {
	n, err := strconv.ParseInt(u.call.Header.Get(u.relayer.options.Names.ResumeAfter), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// attempt sends the call to one server. It returns true if another server should
// be tried; otherwise the outcome is final.
func (u *run) attempt(ctx context.Context) (Outcome, bool) {
	left := u.relayer.timeLeft(u.call.Deadline)
	if left < minTimeLeft {
		return u.outOfTime("no time left"), false
	}
	if retryAfter, refused := u.relayer.options.Tracker.Refused(u.call.Suspect); refused {
		return u.refuseSuspect(retryAfter), false
	}
	reservation, prediction, err := u.pick()
	if err != nil {
		return u.handleNoServer(ctx, err, left)
	}
	defer reservation.Release()
	if refusal := u.admit(ctx, reservation, prediction, left); refusal != nil {
		return refusal, false
	}
	return u.send(ctx, reservation, prediction, left)
}

// admit decides whether the call is sent to r's server, where p is predicted. It returns nil
// if it is, and otherwise the final outcome. left is the remaining time.
func (u *run) admit(ctx context.Context, r *picker.Reservation, p forecaster.Prediction, left timer.Millis) Outcome {
	if late := u.lateness(p); late > 0 {
		return u.refuseOverloaded(r, p, late, left)
	}
	if u.isFresh() && !u.endsBeforeStop(p) {
		return NotRun{Reason: ReasonStopping, RetryAfter: RetryElsewhere}
	}
	if u.isFresh() && !u.withinShare && p.Wait > 0 {
		if d := u.askShare(p); !d.Admitted {
			return u.refuseOverShare(d, p, left)
		}
		u.withinShare = true
	}
	if retryAfter, ok := u.relayer.options.Tracker.Admit(ctx, u.call.Suspect); !ok {
		return u.refuseSuspect(retryAfter)
	}
	return nil
}

// send sends the call to r's server and handles the answer. Its results are those of
// attempt.
func (u *run) send(
	ctx context.Context, r *picker.Reservation, p forecaster.Prediction, left timer.Millis,
) (Outcome, bool) {
	o := u.relayer.options
	o.Ejector.Begin(r.Server.ID)
	defer o.Ejector.End(r.Server.ID)
	u.eventCount, u.firstEvent, u.readAt, u.sentAt = 0, 0, 0, o.Clock.Now()
	o.Logger.Info("sent", zap.String("request", u.call.ID), zap.String("server", r.Server.ID),
		zap.Int("online", r.Load.Online), zap.Int("batch", r.Load.Batch), zap.Float64("pace", r.Slowdown),
		zap.Int("tried", len(u.excluded)), zap.Int64("left-ms", int64(left)), zap.Int64("after-event", u.lastEvent))
	attemptCtx, flight := o.Tracker.Start(ctx, u.call.Suspect)
	u.flight = flight
	defer flight.End()
	r.SetSent(true)
	answer, err := o.Transporter.Send(attemptCtx, u.request(r, left), u.firstByteTimeout(r, p, left))
	if err != nil {
		r.SetSent(transporter.WasSent(err))
		return u.handleFailure(ctx, r, err)
	}
	defer answer.Close()
	u.recordHead(r, answer)
	return u.handleAnswer(ctx, r, answer)
}

// recordHead records what the head of an answer tells about r's server: that it answers,
// whether it leaves, and its limit.
func (u *run) recordHead(r *picker.Reservation, a *transporter.Answer) {
	o := u.relayer.options
	o.Ejector.BytesReceived(r.Server.ID)
	o.Tracker.Answered(r.Server.Incarnation())
	if a.Header.Get(o.Names.Leaving) != "" {
		o.Departer.Record(r.Server.Incarnation(), departer.Leaving)
	}
	if a.Status == http.StatusMisdirectedRequest {
		r.Misdirected()
		return
	}
	r.Answered(a.Header.Values(o.Names.Limit), u.validate(a) == nil && a.Status/100 == 2)
}

// pick reserves a server and predicts the call there. If the server is slower than the mean of
// its service and the call is predicted to be late there, it reserves the one where the call
// ends first instead.
func (u *run) pick() (*picker.Reservation, forecaster.Prediction, error) {
	o := u.relayer.options
	q := selector.Request{PromptPrefix: u.call.Prompt, Excluded: u.excluded, Rank: u.call.Rank, Subject: u.call.Subject}
	for {
		r, err := o.Picker.Pick(u.call.Service, q)
		if err != nil {
			return nil, forecaster.Prediction{}, err
		}
		p := o.Forecaster.Predict(u.forecastInput(r))
		if q.Late || r.Slowdown <= 1 || u.lateness(p) <= 0 {
			return r, p, nil
		}
		r.Release()
		q.Late = true
	}
}

// isFresh reports whether no server can have run the call.
func (u *run) isFresh() bool { return u.attempts == 0 && !u.headSent }

// refuseSuspect ends a call that is refused because servers crashed under it or under
// other calls that share a part of its prompt.
func (u *run) refuseSuspect(retryAfter timer.Millis) Outcome {
	s := u.call.Suspect
	u.relayer.options.Logger.Info("call refused as suspect", zap.String("request", u.call.ID), zap.Uint64("fingerprint", s.Fingerprint),
		s.PartsField(), zap.Int64("for-ms", int64(retryAfter)))
	return u.giveUp("servers failed lately under this call or a part of its prompt", retryAfter)
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
			u.recordGivenUp(r)
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

// ReasonStopping is the reason of outcomes of calls that end because the host stops.
const ReasonStopping = "the host is about to stop"

// RetryElsewhere is the retry-after of calls that other hosts can take at once.
const RetryElsewhere timer.Millis = 10

// outcomeOfContext returns the outcome of a call whose context ended.
func (u *run) outcomeOfContext(ctx context.Context) Outcome {
	switch {
	case u.relayer.ended.Err() != nil:
		return u.giveUp(ReasonStopping, RetryElsewhere)
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
