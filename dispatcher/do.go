package dispatcher

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// call is a call in progress on its entry host.
type call struct {
	dispatcher *Dispatcher
	request    requester.Request
	delivery   *delivery
	deadline   timer.Millis
	tried      []string
	attempts   int
	state      state
	// suspectDeadline is when the call stops waiting for other suspects on its server
	// to end, zero before it has started to wait.
	suspectDeadline timer.Millis
	// untriedLeft reports whether there are untried servers besides the one chosen
	// last.
	untriedLeft bool
	// handOverDeadline is when the call stops waiting for a hand-over, zero before it
	// has started to wait.
	handOverDeadline timer.Millis
}

// Do implements requester.Doer.
func (d *Dispatcher) Do(ctx context.Context, r requester.Request, s requester.Sink) requester.Outcome {
	if r.Timeout <= 0 {
		r.Timeout = d.options.DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout.Duration())
	defer cancel()
	d.budget.recordCall()
	c := &call{
		dispatcher: d,
		request:    r,
		delivery:   &delivery{sink: s, stream: r.Stream, bufferLimit: d.options.MaxBufferedAnswer},
		deadline:   d.options.Clock.Now() + r.Timeout,
		state:      notRun{last: requester.NotRun{Code: CodeTimeout, Reason: "the call's timeout passed before it was sent"}},
	}
	o := c.run(ctx)
	d.metrics.ended(ctx, o)
	return o
}

func (c *call) run(ctx context.Context) requester.Outcome {
	d := c.dispatcher
	for {
		o := c.try(ctx)
		c.state = nextState(c.state, o)
		if _, ok := c.state.(ended); ok || c.delivery.sinkErr != nil || ctx.Err() != nil {
			return c.conclude(ctx)
		}
		wait, retry := c.retryDelay(o)
		if !retry || !timer.Sleep(ctx, wait) {
			return c.conclude(ctx)
		}
		d.metrics.retries.Add(ctx, 1)
	}
}

// conclude returns the outcome of the call. If its time is over or it was cancelled,
// the code of the outcome says so.
func (c *call) conclude(ctx context.Context) requester.Outcome {
	o := outcomeOf(c.state)
	if ctx.Err() == nil {
		return o
	}
	code := CodeCancelled
	if context.Cause(ctx) == context.DeadlineExceeded {
		code = CodeTimeout
	}
	switch o := o.(type) {
	case requester.NotRun:
		o.Code = code
		return o
	case requester.MaybeRun:
		o.Code = code
		return o
	}
	return o
}

// try makes one attempt. Its stack frame and those below it exist for as long as a
// stream is open, so they are kept small.
func (c *call) try(ctx context.Context) requester.Outcome {
	t, o := c.chooseTarget()
	if o != nil {
		return o
	}
	return c.attemptOutcome(c.dispatcher.attempt(ctx, t, c.delivery), t.run.Server)
}

// target is the request of an attempt and the host to run it on.
type target struct {
	run *runRequest
	// keeperAddress is the peer address of the keeper host, empty if that is this host.
	keeperAddress string
}

// chooseTarget chooses a server for the next attempt, or returns the outcome of an
// attempt for which there is none.
func (c *call) chooseTarget() (target, requester.Outcome) {
	d, r := c.dispatcher, &c.request
	s := d.options.Viewer.View()
	now := d.options.Clock.Now()
	if !s.Permitted(now) {
		return target{}, requester.NotRun{Code: CodeNotPermitted, Reason: "this host has not confirmed its configuration", RetryAfter: timer.Second}
	}
	if o, refused := d.refuseSuspect(r); refused {
		return target{}, o
	}
	candidates := d.candidates(r, &s, c.tried)
	if len(candidates) == 0 {
		return target{}, d.noServerOutcome(r, &s)
	}
	choice := d.options.Chooser.Choose(*r, s, candidates)
	owner, ok := s.Owner(coordinator.ServerObject(choice.Server))
	if !ok {
		return target{}, requester.NotRun{Code: CodeNotKeeper, Reason: "the fleet has no member yet", RetryAfter: timer.Second}
	}
	c.attempts++
	c.logChoice(choice, len(candidates))
	c.untriedLeft = len(candidates) > 1 && !slices.Contains(c.tried, choice.Server)
	c.tried = append(c.tried, choice.Server)
	c.delivery.beginAttempt(r.Repeatable)
	t := target{run: c.attemptRequest(choice.Server, now)}
	if owner.Name != s.Self.Name || owner.Incarnation != s.Self.Incarnation {
		t.keeperAddress = owner.PeerAddress
	}
	return t, nil
}

// attemptRequest returns the request for an attempt on server, with the remaining
// time, resuming the stream after the tokens that were passed on.
func (c *call) attemptRequest(server string, now timer.Millis) *runRequest {
	r := &runRequest{Request: c.request, Server: server, ResumeFrom: c.delivery.deliveredTokens}
	r.Request.Timeout = max(c.deadline-now, 1)
	return r
}

// attemptOutcome returns the outcome of an attempt that ended on server with o.
func (c *call) attemptOutcome(o requester.Outcome, server string) requester.Outcome {
	if c.delivery.withheldStatus != 0 {
		return requester.MaybeRun{Code: CodeServerError, Reason: "backend server " + server + " answered with a server error"}
	}
	if _, ok := o.(requester.Answered); !ok {
		return o
	}
	if err := c.delivery.flush(); err != nil {
		return requester.MaybeRun{Code: CodeCancelled, Reason: "the caller is gone"}
	}
	return o
}

func (c *call) logChoice(choice Choice, candidates int) {
	c.dispatcher.options.Logger.Info("routed",
		zap.String("request", c.request.ID),
		zap.String("workspace", c.request.Workspace),
		zap.Int("attempt", c.attempts),
		zap.Int("candidates", candidates),
		zap.String("chosen", choice.Server),
		zap.String("why", choice.Reason))
}

func (d *Dispatcher) refuseSuspect(r *requester.Request) (requester.Outcome, bool) {
	if d.options.Suspects == nil || r.Fingerprint == 0 {
		return nil, false
	}
	wait, refused := d.options.Suspects.Refused(suspectCall(r))
	return requester.NotRun{
		Code:       CodeSuspect,
		Reason:     "backend servers crashed with this request in flight, or with others that begin alike",
		RetryAfter: wait,
	}, refused
}

func (d *Dispatcher) noServerOutcome(r *requester.Request, s *coordinator.Snapshot) requester.Outcome {
	if d.options.Finder.Leaving(r, s) {
		return requester.NotRun{Code: CodeNoServer, Reason: "every backend server for it is leaving", RetryAfter: timer.Second}
	}
	if r.Service != "" {
		return requester.NotRun{Code: CodeUnknownService, Reason: "no backend server runs this service"}
	}
	return requester.NotRun{Code: CodeUnknownModel, Reason: "no backend server has this model"}
}

// maxAttempts limits the attempts of one call.
const maxAttempts = 6

// retryDelay reports whether a call whose attempt ended with o is attempted again,
// and after which wait.
func (c *call) retryDelay(o requester.Outcome) (timer.Millis, bool) {
	switch o := o.(type) {
	case requester.NotRun:
		return c.delayAfterNotRun(o)
	case requester.MaybeRun:
		return c.delayAfterMaybeRun()
	}
	return 0, false
}

func (c *call) delayAfterNotRun(o requester.NotRun) (timer.Millis, bool) {
	switch o.Code {
	case CodeNotKeeper, CodeHostUnreachable:
		return c.delayAfterUnsent(&c.handOverDeadline, c.dispatcher.options.KeeperWait, minRetryAfter)
	case CodeSuspectWaiting:
		return c.delayAfterUnsent(&c.suspectDeadline, c.dispatcher.options.SuspectWait, suspectPoll(c.request.Class))
	case CodeServerLimited:
		// Nothing was sent, so the attempt takes nothing from the retry budget.
		if !c.untriedLeft {
			return 0, false
		}
		return c.ifBeforeDeadline(c.backoff(1))
	case CodeServerFull, CodeServerLeaving, CodeServerRefused, CodeUnreachable:
		if o.Code == CodeServerRefused && !c.untriedLeft && o.RetryAfter > minRetryAfter {
			// The only server said when it takes calls again.
			return 0, false
		}
		if c.attempts >= maxAttempts || !c.dispatcher.budget.take() {
			return 0, false
		}
		return c.ifBeforeDeadline(c.backoff(c.attempts))
	}
	return 0, false
}

// delayAfterUnsent is the retry rule after an attempt that sent nothing to a server,
// because of a hand-over or because another suspect runs there. An online call tries
// the other servers first; once all have been tried, and for a batch call from the
// start, it waits at least poll between attempts. It ends maxWait after the first such
// attempt, which sets *end. Since it puts no load on a server, it takes nothing from
// the retry budget.
func (c *call) delayAfterUnsent(end *timer.Millis, maxWait, poll timer.Millis) (timer.Millis, bool) {
	now := c.dispatcher.options.Clock.Now()
	if *end == 0 {
		*end = now + maxWait
	}
	wait := c.backoff(1)
	if !c.untriedLeft || c.request.Class == requester.Batch {
		wait = max(wait, poll)
	}
	if now+wait > *end {
		return 0, false
	}
	return c.ifBeforeDeadline(wait)
}

func (c *call) delayAfterMaybeRun() (timer.Millis, bool) {
	if !c.request.Repeatable || !c.delivery.canRetry() {
		return 0, false
	}
	if c.attempts >= maxAttempts || !c.dispatcher.budget.take() {
		return 0, false
	}
	return c.ifBeforeDeadline(c.backoff(c.attempts))
}

// ifBeforeDeadline returns wait, and whether the deadline of the call allows it.
func (c *call) ifBeforeDeadline(wait timer.Millis) (timer.Millis, bool) {
	return wait, c.dispatcher.options.Clock.Now()+wait < c.deadline
}

// backoff returns a random wait below a limit that doubles with each attempt.
func (c *call) backoff(attempt int) timer.Millis {
	o := c.dispatcher.options
	bound := min(o.BackoffMax, o.BackoffBase<<min(attempt-1, 16))
	return 1 + timer.Millis(rand.Int64N(int64(bound)))
}
