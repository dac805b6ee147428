package relayer

import (
	"context"
	"errors"
	"strconv"

	"github.com/jackdawgate/jackdawgate/apportioner"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/forecaster"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/postponer"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Whether a call is sent to a server
//
// A call that would have to wait for a slot is refused if it is over the share of its
// workspace. A call is refused if it cannot be expected to begin and end in the time that its
// caller has left, or before the host stops, and if the limits of servers leave it no room.
// Its caller is told when there will be room.

const (
	// retryNoServer is the retry-after of calls for which no server is known: a host learns
	// of new ones within this time.
	retryNoServer timer.Millis = 300
	// minRetry is the shortest retry-after of calls for which servers had no room: what
	// hosts tell one another of their calls arrives within that time.
	minRetry timer.Millis = 60
	// streamGap is the time without an event after which callers leave a stream at the
	// earliest, also before its first event, by the platform's protocol.
	streamGap = 2 * timer.Second
	// heldBackInterval is how often a call that cannot be refused any more looks for a server
	// whose limit leaves room.
	heldBackInterval = timer.Millis(50)
)

// forecastInput returns the input for deciding whether the call can end in time at r's
// server. Only online calls count as ahead of it, since batch items are evicted in its
// favour.
func (u *run) forecastInput(r *picker.Reservation) forecaster.Call {
	return forecaster.Call{Service: u.call.Service, Ahead: r.Load.Online, Slots: r.Slots, Slowdown: r.Slowdown, Done: u.streamed}
}

// lateness returns by how much too late the call is expected to begin or to end at a server;
// at most zero if it is in time.
func (u *run) lateness(p forecaster.Prediction) timer.Millis {
	late := p.LateBy(u.call.Deadline - u.relayer.options.Clock.Now())
	if u.call.Route.Kind == cataloger.Stream {
		late = max(late, p.Begin-u.gapLeft())
	}
	return late
}

// gapLeft returns the time until the caller of a stream leaves if it receives no event.
func (u *run) gapLeft() timer.Millis {
	return u.lastProgress + streamGap - u.relayer.options.Clock.Now()
}

// callerLeavesWithin reports whether the caller leaves, as it receives no event of a stream
// for too long, before a wait is over.
func (u *run) callerLeavesWithin(wait timer.Millis) bool {
	return u.call.Route.Kind == cataloger.Stream && wait >= u.gapLeft()
}

// refuseOverloaded ends a call that cannot be expected to be served in time at the best
// server. Its caller is told when a call with as much time left would be taken.
func (u *run) refuseOverloaded(r *picker.Reservation, p forecaster.Prediction, late, left timer.Millis) Outcome {
	retryAfter := u.postpone(late, left)
	u.relayer.options.Logger.Info("refused as overloaded", zap.String("request", u.call.ID), zap.String("server", r.Server.ID),
		zap.Int("ahead", r.Load.Online), zap.Int("slots", r.Slots), zap.Float64("pace", r.Slowdown),
		zap.Int64("wait-ms", int64(p.Wait)), zap.Int64("left-ms", int64(left)), zap.Int("tried", len(u.excluded)))
	return u.giveUp(reasonTooLate, retryAfter)
}

// askShare asks whether the call, which has to wait for a slot, is within the share of its
// workspace. A slot is taken from when the prompt is read until the answer ends.
func (u *run) askShare(p forecaster.Prediction) apportioner.Decision {
	o := u.relayer.options
	return o.Apportioner.Ask(apportioner.Call{
		Service: u.call.Service, Workspace: u.call.Workspace, Rank: u.call.Rank,
		Slots: o.Picker.TotalSlots(u.call.Service), Wait: p.Wait,
		Run: o.Forecaster.Predict(forecaster.Call{Service: u.call.Service}).End,
	})
}

// refuseOverShare ends a call over the share of its workspace. Its caller is told when this
// host's part of the share has room for it, after the calls that it refused before.
func (u *run) refuseOverShare(d apportioner.Decision, p forecaster.Prediction, left timer.Millis) Outcome {
	o := u.relayer.options
	key := u.call.Service + " " + strconv.Itoa(u.call.Rank) + " " + u.call.Workspace
	room := postponer.Opening{First: d.RetryAfter, Rate: d.Rate, Hosts: 1, Left: left}
	retryAfter := max(minRetry, u.relayer.shares.Postpone(key, room))
	o.Logger.Info("refused as over its share", zap.String("request", u.call.ID), zap.String("service", u.call.Service),
		zap.String("workspace", u.call.Workspace), zap.Int("rank", u.call.Rank),
		zap.Float64("share", d.Share), zap.Float64("demand", d.Demand), zap.Float64("capacity", d.Capacity),
		zap.Float64("weight", d.Weight), zap.Float64("part", d.Part), zap.Float64("rate", d.Rate), zap.Float64("level", d.Level),
		zap.Int64("wait-ms", int64(p.Wait)), zap.Int("heard", d.Heard), zap.Int("hosts", d.Hosts),
		zap.Int64("retry-after-ms", int64(retryAfter)))
	return u.giveUp("the workspace is over its share of the servers, which have no free slot", retryAfter)
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

// endsBeforeStop reports whether the call can be expected to end before the host stops.
func (u *run) endsBeforeStop(p forecaster.Prediction) bool {
	at := timer.Millis(u.relayer.stopAt.Load())
	return at == 0 || p.EndsSurelyWithin(at-u.relayer.options.Clock.Now())
}

// refuseNotPermitted ends a call for which there is no server in its allowed regions.
func (u *run) refuseNotPermitted(e *picker.NotPermittedError) Outcome {
	o := u.relayer.options
	o.Measurer.NotPlaced("call")
	o.Logger.Info("no permitted place", zap.String("request", u.call.ID), zap.String("service", e.Service),
		zap.Strings("allowed", e.Allowed.Regions()), zap.Int("servers", e.Servers), zap.Int("permitted", e.Permitted),
		zap.Int("tried", len(u.excluded)), zap.Bool("may-have-run", !u.isFresh()), zap.Error(e))
	return u.giveUp(e.Error(), retryNoServer)
}

// handleNoServer handles a call for which there is no server now. Its results are those
// of attempt. If only the limits of servers hold it back, a call that may have run, or whose
// answer has begun, waits for room as long as it can then end in time and its caller stays:
// that caller cannot be told that it was not run, and so may not be able to repeat it. Any
// other call is refused at once, and its caller may go to any host.
func (u *run) handleNoServer(ctx context.Context, err error, left timer.Millis) (Outcome, bool) {
	o := u.relayer.options
	var outside *picker.NotPermittedError
	if errors.As(err, &outside) {
		return u.refuseNotPermitted(outside), false
	}
	var held *picker.HeldBackError
	if !errors.As(err, &held) {
		var none *picker.NoServerError
		if errors.As(err, &none) && none.Evacuated > 0 {
			o.Logger.Info("no server outside evacuated data centres", zap.String("request", u.call.ID),
				zap.String("service", none.Service), zap.Int("evacuated", none.Evacuated),
				zap.Int("tried", len(u.excluded)), zap.Int64("retry-after-ms", int64(retryNoServer)))
			return u.giveUp("all servers to send to are in evacuated data centres", retryNoServer), false
		}
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
	o.Logger.Info("held back by servers' limits", zap.String("request", u.call.ID), zap.String("service", held.Service),
		zap.Int("limited", held.Servers), zap.Int("cold", held.Cold), zap.Float64("limits", held.Rate),
		zap.Int64("age-ms", int64(held.Age)), zap.Int64("room-in-ms", int64(held.RetryAfter)),
		zap.Int64("retry-after-ms", int64(retryAfter)))
	if held.Cold == held.Servers {
		return u.giveUp("the servers are cold and leave no room", retryAfter), false
	}
	return u.giveUp("the limits of the servers leave no room", retryAfter), false
}
