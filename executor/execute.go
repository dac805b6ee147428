package executor

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/departer"
	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/jackdawgate/jackdawgate/namer"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/recoverer"
	"github.com/jackdawgate/jackdawgate/sequencer"
	"github.com/jackdawgate/jackdawgate/splitter"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/jackdawgate/jackdawgate/transporter"
	"go.uber.org/zap"
)

const (
	// silenceTimeout is how long a server may send no bytes for a running item.
	silenceTimeout timer.Millis = 1500
	// minPause and maxPause bound the exponential back-off before an item that
	// failed, was refused or was interrupted may start again.
	minPause timer.Millis = 100
	maxPause timer.Millis = 2000
	// commitRetryInterval is the pause before a result is proposed again.
	commitRetryInterval timer.Millis = 150
	// avoidDuration is how long, from when it is first considered after its back-off, an
	// item still waits for a server other than those where it failed.
	avoidDuration timer.Millis = 300
	// noMemoryPause is how long an item waits for which the host had no memory.
	noMemoryPause timer.Millis = 500
	// commitTimeout bounds one proposal of a result.
	commitTimeout = 3 * timer.Second
)

// outcome is how one run of an item ended: completed, retry, failed or abandoned.
type outcome interface{ outcome() }

type (
	// completed means that the whole output was received.
	completed struct{}
	// retry means that the item should run again: at once, or after a back-off if
	// backOff is set. An interrupted run also lengthens the back-off. A retry by
	// itself does not count towards the item's MaxAttempts. pause is how long it waits
	// at least. notContinued is set if the server answered, but not with the events after
	// those held.
	retry struct {
		reason       string
		backOff      bool
		interrupted  bool
		notContinued bool
		pause        timer.Millis
	}
	// failed means that the server reported an error, which counts towards the
	// item's MaxAttempts.
	failed struct{ status int }
	// abandoned means that the item can never succeed.
	abandoned struct{ reason string }
)

func (completed) outcome() {}
func (retry) outcome()     {}
func (failed) outcome()    {}
func (abandoned) outcome() {}

// execute runs an item once on server v and handles the outcome. It ends the
// reservation that the item holds at v.
func (x *Executor) execute(ctx context.Context, t *task, v cataloger.Server, reservation *picker.Reservation) {
	item := t.item()
	x.options.Logger.Info("item sent", zap.String("item", item.ID), zap.String("job", t.key.ref.Job), zap.String("server", v.ID), zap.Int64("events", t.lastEvent()))
	x.options.Ejector.Begin(v.ID)
	var result outcome = retry{reason: "unexpected error", interrupted: true}
	held := t.lastEvent()
	recoverer.Do(x.options.Logger, "running an item", func() { result = x.exchange(ctx, t, reservation) })
	x.options.Ejector.End(v.ID)
	reservation.Release()
	f := queuer.Finished{Job: t.key.ref.Job, Item: t.key.ref.Item}
	switch r := result.(type) {
	case completed:
		x.options.Measurer.Item("completed")
		f.From, f.Output = t.unsavedOutput()
		x.commitResult(ctx, t, f, "completed")
	case abandoned:
		x.options.Measurer.Item("dead")
		f.Dead, f.Reason = true, r.reason
		x.commitResult(ctx, t, f, r.reason)
	case failed:
		x.options.Measurer.Item("failed")
		x.afterFailure(ctx, t, f, r)
	case retry:
		if ctx.Err() != nil {
			x.options.Measurer.Item("evicted")
		} else {
			x.options.Measurer.Item("stopped")
		}
		x.options.Logger.Info("item stopped", zap.String("item", item.ID), zap.String("job", t.key.ref.Job), zap.String("server", v.ID),
			zap.String("reason", r.reason), zap.Int64("events", t.lastEvent()))
		x.checkContinued(t, v, held, r)
		x.requeue(t, r)
	}
}

// afterFailure counts a failure and either requeues the item or, after its job's
// MaxAttempts, abandons it.
func (x *Executor) afterFailure(ctx context.Context, t *task, f queuer.Finished, result failed) {
	x.mu.Lock()
	t.failures++
	n := t.failures
	x.mu.Unlock()
	x.options.Logger.Warn("item failed", zap.String("item", t.item().ID), zap.String("job", f.Job), zap.Int("status", result.status), zap.Int("failures", n))
	if n >= t.job.MaxAttempts {
		f.Dead, f.Reason = true, "failed too often"
		x.commitResult(ctx, t, f, f.Reason)
		return
	}
	x.requeue(t, retry{backOff: true})
}

// requeue makes an item eligible to start again, after a back-off if result
// requests one.
func (x *Executor) requeue(t *task, result retry) {
	x.mu.Lock()
	defer x.mu.Unlock()
	t.running, t.readySince = false, 0
	if result.interrupted {
		t.interruptions++
	}
	t.notBefore = max(t.notBefore, x.options.Clock.Now()+result.pause)
	if result.backOff || result.interrupted {
		t.notBefore = max(t.notBefore, x.options.Clock.Now()+min(minPause<<min(t.interruptions, 5), maxPause))
		t.failedAt[t.server] = true
	}
	x.Wake()
}

// commitResult commits an item's result to the group's log. It proposes the result
// again until a commit is confirmed, the item no longer runs here or the Executor
// is closed. If a result is committed more than once, the first one counts.
func (x *Executor) commitResult(ctx context.Context, t *task, f queuer.Finished, reason string) {
	defer x.requeue(t, retry{})
	entries, err := queuer.Encode(f)
	if err != nil {
		x.options.Logger.Error("encode result", zap.String("item", t.item().ID), zap.Error(err))
		return
	}
	ctx = context.WithoutCancel(ctx)
	for t.group.Queue.Runnable(t.key.ref) {
		attemptCtx, cancel := context.WithTimeout(ctx, commitTimeout.Duration())
		err := t.group.Propose(attemptCtx, entries...)
		cancel()
		if err == nil && t.group.Queue.Runnable(t.key.ref) {
			// The log has less of the output than was known to be saved.
			x.options.Logger.Warn("result does not follow the saved output; proposing it whole", zap.String("item", t.item().ID), zap.Int("from", f.From))
			f.From, f.Output = 0, t.wholeOutput()
			if entries, err = queuer.Encode(f); err != nil {
				x.options.Logger.Error("encode result", zap.String("item", t.item().ID), zap.Error(err))
				return
			}
		} else if err == nil {
			x.options.Logger.Info("item listed", zap.String("item", t.item().ID), zap.String("job", f.Job), zap.Bool("dead", f.Dead),
				zap.String("reason", reason), zap.Int64("events", t.lastEvent()), zap.Int64("before-due-ms", t.job.Due()-unixMillis()))
			return
		}
		var notOwner *mirrorer.NotOwnerError
		if err != nil && !errors.As(err, &notOwner) {
			x.options.Logger.Warn("commit of result not confirmed; proposing it again", zap.String("item", t.item().ID), zap.Error(err))
		}
		if !timer.Sleep(ctx, commitRetryInterval) {
			return
		}
		select {
		case <-x.stopped:
			return
		default:
		}
	}
}

// header returns the item's own headers without those that only hosts set.
func (t *task) header(names namer.Names) http.Header {
	item := t.item()
	h := make(http.Header, len(item.Headers)+5)
	for name, value := range item.Headers {
		h.Set(name, value)
	}
	transporter.RemoveHopHeaders(h)
	transporter.RefuseEncodings(h)
	for _, name := range []string{names.Key, names.Workspace, names.ResumeAfter} {
		h.Del(name)
	}
	return h
}

// reasonExpired is the reason with which an item is abandoned after its retention period.
const reasonExpired = "retention period expired"

// remaining returns how much of the item's retention period is left; ok is false if its
// job states none.
func (t *task) remaining() (left timer.Millis, ok bool) {
	return timer.Millis(t.job.Submitted + int64(t.job.Retention) - unixMillis()), t.job.Retention > 0
}

func (x *Executor) request(t *task, v cataloger.Server, remaining timer.Millis) *transporter.Request {
	item, names := t.item(), x.options.Names
	h := t.header(names)
	h.Set(names.RequestID, item.ID)
	h.Set(names.ExpectServer, v.ID)
	h.Set(names.Deadline, strconv.FormatInt(int64(remaining), 10))
	if t.job.Workspace != "" {
		h.Set(names.Workspace, t.job.Workspace)
	}
	if last := t.lastEvent(); last > 0 {
		h.Set(names.ResumeAfter, strconv.FormatInt(last, 10))
	}
	return &transporter.Request{
		Server: v.ID, Address: v.Address, Method: http.MethodPost, Target: item.Path, Host: t.job.Host,
		Header: h, Body: item.Body, ID: item.ID,
	}
}

// exchange sends an item to the server of its reservation and adds the events of the
// response to the item's output. A run that receives no whole event with data for
// Options.Stall is cancelled.
func (x *Executor) exchange(ctx context.Context, t *task, reservation *picker.Reservation) outcome {
	v := reservation.Server
	if !transporter.ValidTarget(t.item().Path) {
		return abandoned{reason: "its path cannot be requested"}
	}
	remaining, limited := t.remaining()
	if limited && remaining <= 0 {
		return abandoned{reason: reasonExpired}
	}
	if !limited {
		remaining = 10 * 60 * timer.Second
	}
	if wait, ok := x.options.Tracker.Admit(ctx, t.suspect); !ok {
		return retry{reason: "a part of its prompt crashes servers", pause: wait}
	}
	runCtx, flight := x.options.Tracker.Start(ctx, t.suspect)
	defer flight.End()
	attempt := suspector.Attempt{Call: t.suspect, Server: v.Incarnation(), Sent: x.options.Clock.Now()}
	stallTimer := time.AfterFunc(x.options.Stall.Duration(), flight.End)
	defer stallTimer.Stop()
	reservation.SetSent(true)
	answer, err := x.options.Transporter.Send(runCtx, x.request(t, v, remaining), silenceTimeout)
	if err != nil {
		reservation.SetSent(transporter.WasSent(err))
		return x.interrupted(ctx, runCtx, flight, attempt, err)
	}
	defer answer.Close()
	x.recordHead(reservation, answer)
	if o := x.handleHead(t, reservation, answer); o != nil {
		return o
	}
	take := func(e splitter.Event) error {
		if err := t.addEvent(e); err != nil || e.Filler {
			return err
		}
		stallTimer.Reset(x.options.Stall.Duration())
		if attempt.Events++; attempt.Events == suspector.ProgressEvents {
			flight.Progressed()
			x.options.Tracker.Progressed(t.suspect)
		}
		return nil
	}
	defer t.discardUnconfirmed()
	if err := splitter.Read(answer, answer.Memory().Reserve, func() { x.options.Ejector.BytesReceived(v.ID) }, take); err != nil {
		return x.handleBreak(t, v, err, func() outcome { return x.interrupted(ctx, runCtx, flight, attempt, err) })
	}
	if attempt.Events == 0 {
		// Runs begin before the last event that was received, so each has one at least.
		return retry{reason: "empty response", interrupted: true, notContinued: true}
	}
	t.confirm()
	x.options.Ejector.Succeeded(v.ID)
	x.options.Tracker.Completed(t.suspect)
	return completed{}
}

// recordHead records what the head of an answer tells about the server: that it answers,
// whether it leaves, and its limit.
func (x *Executor) recordHead(r *picker.Reservation, a *transporter.Answer) {
	x.options.Ejector.BytesReceived(r.Server.ID)
	x.options.Tracker.Answered(r.Server.Incarnation())
	if a.Header.Get(x.options.Names.Leaving) != "" {
		x.options.Departer.Record(r.Server.Incarnation(), departer.Leaving)
	}
	if a.Status == http.StatusMisdirectedRequest {
		r.Misdirected()
		return
	}
	r.Answered(a.Header.Values(x.options.Names.Limit), a.Status == http.StatusOK && a.Header.Get(x.options.Names.Signature) != "")
}

// handleHead returns the outcome of a run by the head of its answer, or nil if the answer is a
// stream of events.
func (x *Executor) handleHead(t *task, r *picker.Reservation, a *transporter.Answer) outcome {
	names := x.options.Names
	switch {
	case a.Status == http.StatusMisdirectedRequest && names.MeansOtherServer(r.Server.ID, t.header(names), a.Header):
		x.options.Departer.Record(r.Server.Incarnation(), departer.Gone)
		return retry{reason: "address now belongs to another server"}
	case a.Status == http.StatusMisdirectedRequest:
		return retry{reason: "server does not meet the item's expectation", backOff: true, interrupted: true}
	case a.Header.Get(names.NotRun) != "":
		if a.Status == http.StatusTooManyRequests {
			r.Paused(throttler.ParseRetryAfter(a.Header.Get("Retry-After")))
		}
		return retry{reason: "server refused the item without running it", backOff: true}
	case a.Status == http.StatusUnprocessableEntity:
		return abandoned{reason: "server reported that the item can never succeed"}
	case a.Status == http.StatusInternalServerError:
		return failed{status: a.Status}
	case isRejection(a, names):
		return retry{reason: "server rejected the item: status " + strconv.Itoa(a.Status), interrupted: true, notContinued: true}
	case a.Status != http.StatusOK || a.Header.Get(names.Signature) == "":
		x.options.Ejector.CallBroken(r.Server.ID)
		return retry{reason: "unusable response: status " + strconv.Itoa(a.Status), interrupted: true, notContinued: true}
	}
	return nil
}

// handleBreak returns the outcome of a run whose answer could not be read to its end.
// interrupted handles a break that server v caused.
func (x *Executor) handleBreak(t *task, v cataloger.Server, err error, interrupted func() outcome) outcome {
	var noMemory *noMemoryError
	if errors.As(err, &noMemory) {
		// Other items, which may have less to go, can have its memory.
		t.drop()
		return retry{reason: err.Error(), pause: noMemoryPause}
	}
	result := interrupted()
	var tooLong *outputTooLongError
	if errors.As(err, &tooLong) {
		return x.afterOverrun(t, v, tooLong, result)
	}
	return result
}

// isRejection reports whether an answer may be the consequence of what the item asks for: a
// status of the classes 2 to 4 other than 200, or a success that is no stream. It says nothing
// of the server.
func isRejection(a *transporter.Answer, n namer.Names) bool {
	if a.Status == http.StatusOK {
		return a.Header.Get(n.Signature) != "" && !mayBeStream(a)
	}
	return a.Status < http.StatusInternalServerError
}

// mayBeStream reports whether an answer can be a stream of events. It may lack a type.
func mayBeStream(a *transporter.Answer) bool {
	contentType := a.Header.Get("Content-Type")
	return contentType == "" || strings.HasPrefix(contentType, "text/event-stream")
}

// interrupted handles a run that ended without a whole response. ctx ends if the item is
// evicted, runCtx also if the run stalled or was revoked. Unless the item was evicted or
// revoked, interrupted reports the failure of the server to the Ejector. The failure is
// held against the server and the shared parts of the item's prompt, never against the
// item itself.
func (x *Executor) interrupted(ctx, runCtx context.Context, flight *suspector.Flight, a suspector.Attempt, err error) outcome {
	if flight.Revoked() {
		return retry{reason: "a part of its prompt crashes servers"}
	}
	if ctx.Err() != nil {
		return retry{reason: "evicted"}
	}
	x.options.Ejector.Failed(a.Server.ID, err)
	var broken *transporter.BrokenError
	if errors.As(err, &broken) && runCtx.Err() == nil {
		x.options.Tracker.Failed(a)
	} else if transporter.WasSent(err) {
		x.options.Tracker.Unanswered(a)
	}
	return retry{reason: err.Error(), interrupted: true, notContinued: sequencer.IsViolation(err)}
}
