package scheduler

import (
	"context"
	"math/rand/v2"

	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/retrier"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/jackdawgate/jackdawgate/tallier"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// schedule starts items until MaxRunning are running or no job has an item that
// may start. It starts none while the host drains or the Scheduler closes.
func (c *jobLoop) schedule() {
	if len(c.jobs) == 0 || c.stopping || c.scheduler.options.Viewer.View().Draining {
		return
	}
	for c.running < c.scheduler.options.MaxRunning {
		now := c.now()
		j := c.pick(now)
		if j == nil {
			return
		}
		c.startItem(j, now)
	}
}

// pick returns the job whose item starts next, or nil. It selects the workspace
// that has used the fewest tokens relative to its weight, and in it the job with
// the earliest deadline.
func (c *jobLoop) pick(now timer.Millis) *job {
	var best *job
	for _, j := range c.jobs {
		if j.ready(now) && (best == nil || c.before(j, best)) && c.owns(j) {
			best = j
		}
	}
	return best
}

// before reports whether job a precedes job b: by what their workspaces have
// used, then by deadline, time of creation and identifier.
func (c *jobLoop) before(a, b *job) bool {
	x, y := a.manifest.Job, b.manifest.Job
	if x.Workspace != y.Workspace {
		return c.shares.Less(x.Workspace, y.Workspace)
	}
	if p, q := deadlineOrder(x.Deadline), deadlineOrder(y.Deadline); p != q {
		return p < q
	}
	if x.Created != y.Created {
		return x.Created < y.Created
	}
	return x.ID < y.ID
}

// deadlineOrder returns a sort key for a deadline that orders jobs without one
// last.
func deadlineOrder(deadline timer.Millis) timer.Millis {
	if deadline == 0 {
		return 1<<63 - 1
	}
	return deadline
}

// startItem starts a call for the job's next item. An item that can't be decoded gets
// a failed result instead.
func (c *jobLoop) startItem(j *job, now timer.Millis) {
	a := j.takeNext(now)
	r, customID, err := j.request(a, c.scheduler.options.ItemTimeout)
	if err != nil {
		c.record(j, itemResult{job: j, item: a, customID: customID}, retrier.RecordFailed{Code: "invalid-request", Message: err.Error()})
		return
	}
	a.state, _ = a.state.Step(c.scheduler.options.ItemLimits, retrier.Started{})
	c.charge(j, r)
	j.running++
	c.running++
	c.scheduler.metrics.running.Add(context.Background(), 1)
	c.scheduler.work.Go(func() { c.scheduler.run(j.runs, j, a, r, customID) })
}

// charge adds an item's estimated tokens, relative to the workspace's weight, to
// what its workspace has used, by which pick selects workspaces. A workspace that
// has no entry is added first, at the lowest value of those with jobs here, so that
// it does not run alone until it has caught up.
func (c *jobLoop) charge(j *job, r requester.Request) {
	w := j.manifest.Job.Workspace
	if !c.shares.Has(w) {
		var others []string
		for _, o := range c.jobs {
			others = append(others, o.manifest.Job.Workspace)
		}
		c.shares.Add(w, others)
	}
	weight := c.scheduler.options.Viewer.View().Record.Workspaces[w].Weight
	c.shares.Charge(w, float64(max(r.EstimatedTokens, 1)), weight)
}

// onCallFinished handles the end of a call: it adjusts the window of the job, and
// records the item's result or schedules its retry.
func (c *jobLoop) onCallFinished(r itemResult) {
	j, a := r.job, r.item
	c.running--
	j.running--
	c.scheduler.metrics.running.Add(context.Background(), -1)
	if c.jobs[j.id] != j {
		return
	}
	now := c.now()
	a.resume = resumeData(r.outcome)
	switch r.outcome.(type) {
	case requester.Answered:
		j.window = j.window.Answered()
	case requester.NotRun:
		j.window = j.window.NotRun(now)
	}
	if j.tally.Ended.Has(a.state.Index) || j.interrupted(r.outcome) {
		delete(j.active, a.state.Index)
		c.advance(j)
		return
	}
	var effect retrier.Effect
	a.state, effect = a.state.Step(c.scheduler.options.ItemLimits, retrier.Ended{Outcome: r.outcome, Now: now, Jitter: rand.Float64()})
	c.record(j, r, effect)
	c.advance(j)
}

// resumeData returns the data with which the next call of an item can continue
// this one; nil unless the call was evicted.
func resumeData(o requester.Outcome) []byte {
	if e, ok := o.(requester.Evicted); ok {
		return e.Resume
	}
	return nil
}

// interrupted reports whether a call ended without an answer after the job's runs
// were cancelled. Such an outcome is no evidence about its item.
func (j *job) interrupted(o requester.Outcome) bool {
	_, answered := o.(requester.Answered)
	return !answered && j.runs.Err() != nil
}

// record queues the record that effect requires. An item without a result is
// added to the waiting ones.
func (c *jobLoop) record(j *job, r itemResult, effect retrier.Effect) {
	p, ok, err := r.record(effect)
	if err != nil {
		c.scheduler.options.Log.Error("could not encode result; item fails", zap.String("job", j.id), zap.Error(err))
		p, ok, _ = r.record(retrier.RecordFailed{Code: "invalid-answer", Message: err.Error()})
	}
	a := r.item
	if ok {
		j.pending = append(j.pending, p)
		j.pendingBytes += len(p.data)
	}
	if ok && p.head.Kind != tallier.KindSuspect {
		a.state.Phase = retrier.Recording
		a.raw = nil
		return
	}
	c.scheduler.metrics.retried(requester.OutcomeName(r.outcome))
	j.waiting = append(j.waiting, a)
}

// flush starts to append pending records, if this host may act for the job. Each
// job has at most one append in progress.
func (c *jobLoop) flush(j *job) {
	if j.phase != jobRunning || j.appending > 0 || len(j.pending) == 0 {
		return
	}
	s := c.scheduler.options.Viewer.View()
	if !s.Owns(j.object(), c.now()) {
		return
	}
	records := j.nextAppend()
	j.appending = len(records)
	w := j.writer
	c.scheduler.work.Go(func() {
		err := w.Append(j.ctx, s.Record.Epoch, records)
		c.scheduler.send(recordsAppended{job: j, count: len(records), err: err})
	})
}

// nextAppend returns the first pending records that fit into one append; at least
// one if there are any.
func (j *job) nextAppend() [][]byte {
	size := 0
	var out [][]byte
	for _, p := range j.pending {
		if size += len(p.data); size > segmenter.MaxAppendBytes && len(out) > 0 {
			break
		}
		out = append(out, p.data)
	}
	return out
}

// onAppended counts results that are on every holder. After a failed append it is
// unknown what the holders have, so the job is reopened: the opener reads what
// was written and creates another segment.
func (c *jobLoop) onAppended(e recordsAppended) {
	j := e.job
	j.appending = 0
	if c.jobs[j.id] != j {
		return
	}
	if e.err != nil {
		c.scheduler.options.Log.Warn("could not append results; opening a new result segment",
			zap.String("job", j.id), zap.String("segment", j.writer.Name()), zap.Error(e.err))
		j.phase = jobOpening
		c.advance(j)
		return
	}
	for _, p := range j.pending[:e.count] {
		c.count(j, p)
	}
	j.pending = append([]pendingRecord(nil), j.pending[e.count:]...)
	j.processed[j.writer.Name()] = j.writer.Records()
	c.startRotation(j)
	c.advance(j)
}

// startRotation reads the manifest if the result segment is full; onManifest then
// replaces the segment. While the store is unavailable the read fails and the job
// continues in its current segment.
func (c *jobLoop) startRotation(j *job) {
	if j.writtenBytes < c.scheduler.options.RotateBytes || c.now()-j.lastPoll < rotateRetryInterval {
		return
	}
	c.readManifest(j)
}

// rotateRetryInterval is the minimum time between attempts to replace a full
// segment.
const rotateRetryInterval = 5 * timer.Second

// count adds a record that was appended to the tally and the metrics.
func (c *jobLoop) count(j *job, p pendingRecord) {
	j.pendingBytes -= len(p.data)
	j.writtenBytes += int64(len(p.data))
	j.tally.Add(j.writer.Name(), p.head)
	if p.head.Kind == tallier.KindSuspect {
		return
	}
	delete(j.active, p.head.Item)
	c.scheduler.metrics.itemRecorded(p.head.Kind)
}
