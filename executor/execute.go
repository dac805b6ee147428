package executor

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/conveyor"
	"github.com/jackdawgate/jackdawgate/departer"
	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/rescuer"
	"github.com/jackdawgate/jackdawgate/splitter"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

const (
	// silence is how long a server may send nothing to an item.
	silence timer.Millis = 1500
	// Pauses before an item that failed or was refused is tried again.
	leastPause timer.Millis = 100
	mostPause  timer.Millis = 2000
	listRetry  timer.Millis = 150
	// avoidTime is for how long, after its pause, an item waits for another
	// server than the one where it failed.
	avoidTime   timer.Millis = 300
	listTimeout              = 3 * timer.Second
	// maxOutput bounds the output of an item, in bytes.
	maxOutput = 4 << 20
)

// ending says how one run of an item ended.
type ending interface{ ending() }

// complete has the item's whole output. again should be tried at once, or after
// a pause; failed counts against the item. dead will never succeed.
type (
	complete struct{}
	again    struct {
		reason string
		pause  bool
		broke  bool
	}
	failed struct{ status int }
	dead   struct{ reason string }
)

func (complete) ending() {}
func (again) ending()    {}
func (failed) ending()   {}
func (dead) ending()     {}

// execute runs an item once and does what follows.
func (x *Executor) execute(ctx context.Context, t *task, v cataloger.Server, ticket *picker.Ticket) {
	item := t.item()
	x.options.Logger.Info("item sent", zap.String("item", item.ID), zap.String("job", t.key.ref.Job), zap.String("server", v.ID), zap.Int("events", t.begun()))
	x.options.Ejector.Begin(v.ID)
	var e ending = again{reason: "unexpected error", broke: true}
	rescuer.Do(x.options.Logger, "running an item", func() { e = x.exchange(ctx, t, v) })
	x.options.Ejector.End(v.ID)
	ticket.End()
	f := queuer.Finished{Job: t.key.ref.Job, Item: t.key.ref.Item}
	switch o := e.(type) {
	case complete:
		x.options.Measurer.Item("completed")
		f.From, f.Output = t.rest()
		x.list(ctx, t, f, "completed")
	case dead:
		x.options.Measurer.Item("dead")
		f.Dead = true
		x.list(ctx, t, f, o.reason)
	case failed:
		x.options.Measurer.Item("failed")
		x.afterFailure(ctx, t, f, o)
	case again:
		if ctx.Err() != nil {
			x.options.Measurer.Item("evicted")
		} else {
			x.options.Measurer.Item("stopped")
		}
		x.options.Logger.Info("item stopped", zap.String("item", item.ID), zap.String("job", t.key.ref.Job), zap.String("server", v.ID),
			zap.String("reason", o.reason), zap.Int("events", t.begun()))
		x.rest(t, o)
	}
}

// afterFailure counts a failure, and gives the item up after the last one.
func (x *Executor) afterFailure(ctx context.Context, t *task, f queuer.Finished, e failed) {
	x.mu.Lock()
	t.failures++
	n := t.failures
	x.mu.Unlock()
	x.options.Logger.Warn("item failed", zap.String("item", t.item().ID), zap.String("job", f.Job), zap.Int("status", e.status), zap.Int("failures", n))
	if n >= t.of.MaxAttempts {
		f.Dead = true
		x.list(ctx, t, f, "failed too often")
		return
	}
	x.rest(t, again{pause: true})
}

// rest puts an item back among those that may start.
func (x *Executor) rest(t *task, o again) {
	x.mu.Lock()
	defer x.mu.Unlock()
	t.running = false
	if o.broke {
		t.breaks++
	}
	if o.pause || o.broke {
		t.notBefore = x.options.Clock.Now() + min(leastPause<<min(t.breaks, 5), mostPause)
		t.failedAt[t.server] = true
		t.avoidUntil = t.notBefore + avoidTime
	}
	x.Touch()
}

// list commits a result. Until it is known to be committed it is proposed again;
// the first one that is committed counts.
func (x *Executor) list(ctx context.Context, t *task, f queuer.Finished, reason string) {
	defer x.rest(t, again{})
	data, err := queuer.Encode(f)
	if err != nil {
		x.options.Logger.Error("result not encoded", zap.String("item", t.item().ID), zap.Error(err))
		return
	}
	ctx = context.WithoutCancel(ctx)
	for t.group.Queue.Runs(t.key.ref) {
		limited, cancel := context.WithTimeout(ctx, listTimeout.Duration())
		err := t.group.Propose(limited, data)
		cancel()
		if err == nil {
			x.options.Logger.Info("item listed", zap.String("item", t.item().ID), zap.String("job", f.Job), zap.Bool("dead", f.Dead),
				zap.String("reason", reason), zap.Int("events", t.begun()), zap.Int64("before-due-ms", t.of.Due()-wall()))
			return
		}
		var notOwner *mirrorer.NotOwnerError
		if !errors.As(err, &notOwner) {
			x.options.Logger.Warn("result not known to be listed", zap.String("item", t.item().ID), zap.Error(err))
		}
		if !timer.Sleep(ctx, listRetry) {
			return
		}
		select {
		case <-x.done:
			return
		default:
		}
	}
}

func (x *Executor) request(t *task, v cataloger.Server, left timer.Millis) *conveyor.Request {
	item, names := t.item(), x.options.Names
	h := make(http.Header, len(item.Headers)+5)
	for name, value := range item.Headers {
		h.Set(name, value)
	}
	h.Del(names.Key)
	h.Set(names.RequestID, item.ID)
	h.Set(names.ExpectServer, v.ID)
	h.Set(names.Deadline, strconv.FormatInt(int64(left), 10))
	if t.of.Workspace != "" {
		h.Set(names.Workspace, t.of.Workspace)
	}
	if _, last := t.done(); last > 0 {
		h.Set(names.ResumeAfter, strconv.FormatInt(last, 10))
	}
	return &conveyor.Request{
		Server: v.ID, Address: v.Address, Method: http.MethodPost, Target: item.Path, Host: t.of.Host,
		Header: h, Body: item.Body, ID: item.ID,
	}
}

// exchange sends an item to a server and takes its events.
func (x *Executor) exchange(ctx context.Context, t *task, v cataloger.Server) ending {
	left := timer.Millis(t.of.Submitted + int64(t.of.Retention) - wall())
	if t.of.Retention > 0 && left <= 0 {
		return dead{reason: "retention is over"}
	}
	if t.of.Retention <= 0 {
		left = 10 * 60 * timer.Second
	}
	run, stop := context.WithCancel(ctx)
	defer stop()
	stalled := time.AfterFunc(x.options.Stall.Duration(), stop)
	defer stalled.Stop()
	a, err := x.options.Conveyor.Send(run, x.request(t, v, left), silence)
	if err != nil {
		return x.broken(ctx, v, err)
	}
	defer a.Close()
	x.options.Ejector.Heard(v.ID)
	if a.Header.Get(x.options.Names.Leaving) != "" {
		x.options.Departer.Said(v.Incarnation(), departer.Leaving)
	}
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		x.options.Departer.Said(v.Incarnation(), departer.Gone)
		return again{reason: "another server is at the address"}
	case a.Header.Get(x.options.Names.NotRun) != "":
		return again{reason: "server refused it", pause: true}
	case a.Status == http.StatusUnprocessableEntity:
		return dead{reason: "server says that it can never be done"}
	case a.Status == http.StatusInternalServerError:
		return failed{status: a.Status}
	case a.Status != http.StatusOK || a.Header.Get(x.options.Names.Signature) == "":
		x.options.Ejector.Broke(v.ID)
		return again{reason: "answer cannot be used: " + strconv.Itoa(a.Status), broke: true}
	}
	take := func(e splitter.Event) error {
		if e.HasData {
			stalled.Reset(x.options.Stall.Duration())
		}
		return t.event(e)
	}
	if err := splitter.Read(a, func() { x.options.Ejector.Heard(v.ID) }, take); err != nil {
		return x.broken(ctx, v, err)
	}
	x.options.Ejector.Answered(v.ID)
	return complete{}
}

// broken records a failed run of an item. The item is not to blame: what is handed
// in for later is never a call that crashes servers.
func (x *Executor) broken(ctx context.Context, v cataloger.Server, err error) ending {
	if ctx.Err() != nil {
		return again{reason: "evicted"}
	}
	x.options.Ejector.Failed(v.ID, err)
	return again{reason: err.Error(), broke: true}
}

var (
	errSequence = errors.New("stream does not go on after the last event")
	errTooLong  = errors.New("output is too long")
)

// event adds one event to the output.
func (t *task) event(e splitter.Event) error {
	t.putMu.Lock()
	defer t.putMu.Unlock()
	if e.HasID {
		if t.last > 0 && e.ID != t.last+1 {
			return errSequence
		}
		t.last = e.ID
	}
	if !e.HasData {
		return nil
	}
	if len(t.output)+len(e.Data) > maxOutput {
		return errTooLong
	}
	if t.events > 0 {
		t.output = append(t.output, '\n')
	}
	t.output = append(t.output, e.Data...)
	t.events++
	return nil
}
