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

// schedule begins items while there is room.
func (c *controller) schedule() {
	if len(c.jobs) == 0 || c.stopping || c.scheduler.options.Viewer.View().Draining {
		return
	}
	for c.running < c.scheduler.options.MaxRunning {
		now := c.now()
		j := c.pick(now)
		if j == nil {
			return
		}
		c.begin(j, now)
	}
}

// pick chooses the job that begins an item next: of the workspace that has had
// least, the job that is due first.
func (c *controller) pick(now timer.Millis) *job {
	var best *job
	for _, j := range c.jobs {
		if j.ready(now) && (best == nil || c.before(j, best)) && c.owns(j) {
			best = j
		}
	}
	return best
}

func (c *controller) before(a, b *job) bool {
	x, y := a.manifest.Job, b.manifest.Job
	if x.Workspace != y.Workspace {
		return c.shares.Less(x.Workspace, y.Workspace)
	}
	if p, q := dueOrder(x.Deadline), dueOrder(y.Deadline); p != q {
		return p < q
	}
	if x.Created != y.Created {
		return x.Created < y.Created
	}
	return x.ID < y.ID
}

// dueOrder puts jobs without a deadline last.
func dueOrder(deadline timer.Millis) timer.Millis {
	if deadline == 0 {
		return 1<<63 - 1
	}
	return deadline
}

// begin hands an item to the Doer.
func (c *controller) begin(j *job, now timer.Millis) {
	a := j.take(now)
	r, customID, err := j.request(a, c.scheduler.options.ItemTimeout)
	if err != nil {
		c.record(j, itemRun{job: j, item: a, customID: customID}, retrier.RecordFailed{Code: "invalid-request", Message: err.Error()})
		return
	}
	a.state, _ = a.state.Step(c.scheduler.options.Items, retrier.Started{})
	c.charge(j, r)
	j.running++
	c.running++
	c.scheduler.metrics.running.Add(context.Background(), 1)
	c.scheduler.work.Go(func() { c.scheduler.run(j.runs, j, a, r, customID) })
}

// charge counts an item for the fairness between workspaces.
func (c *controller) charge(j *job, r requester.Request) {
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

// onFinished takes the end of a call.
func (c *controller) onFinished(r itemRun) {
	j, a := r.job, r.item
	c.running--
	j.running--
	c.scheduler.metrics.running.Add(context.Background(), -1)
	if c.jobs[j.id] != j {
		return
	}
	now := c.now()
	a.resume = resumeOf(r.outcome)
	switch r.outcome.(type) {
	case requester.Answered:
		j.window = j.window.Answered()
	case requester.NotRun:
		j.window = j.window.NotRun(now)
	}
	if j.tally.Ended.Has(a.state.Index) || j.stopped(r.outcome) {
		delete(j.active, a.state.Index)
		c.advance(j)
		return
	}
	var effect retrier.Effect
	a.state, effect = a.state.Step(c.scheduler.options.Items, retrier.Ended{Outcome: r.outcome, Now: now, Jitter: rand.Float64()})
	c.record(j, r, effect)
	c.advance(j)
}

// resumeOf is what the next call of an item goes on from.
func resumeOf(o requester.Outcome) []byte {
	if e, ok := o.(requester.Evicted); ok {
		return e.Resume
	}
	return nil
}

// stopped says that a call ended because it was told to, which says nothing of
// its item.
func (j *job) stopped(o requester.Outcome) bool {
	_, answered := o.(requester.Answered)
	return !answered && j.runs.Err() != nil
}

// record queues what effect asks to be recorded.
func (c *controller) record(j *job, r itemRun, effect retrier.Effect) {
	p, ok, err := r.result(effect)
	if err != nil {
		c.scheduler.options.Log.Error("result not encoded", zap.String("job", j.id), zap.Error(err))
		p, ok, _ = r.result(retrier.RecordFailed{Code: "invalid-answer", Message: err.Error()})
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

// flush starts to append pending records, one append at a time.
func (c *controller) flush(j *job) {
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

// nextAppend is the longest run of pending records that fits one append.
func (j *job) nextAppend() [][]byte {
	size := 0
	var out [][]byte
	for _, p := range j.pending {
		if size += len(p.data); size > segmenter.MaxAppend && len(out) > 0 {
			break
		}
		out = append(out, p.data)
	}
	return out
}

// onAppended counts recorded results. A failed append leaves the segment in
// doubt: the opener looks what is there and goes on in another one.
func (c *controller) onAppended(e recordsAppended) {
	j := e.job
	j.appending = 0
	if c.jobs[j.id] != j {
		return
	}
	if e.err != nil {
		c.scheduler.options.Log.Warn("results not recorded: the job gets a new result segment",
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
	c.askToRotate(j)
	c.advance(j)
}

// askToRotate reads the manifest before a full segment is replaced: without the
// store the job goes on in the segment that it has.
func (c *controller) askToRotate(j *job) {
	if j.written < c.scheduler.options.RotateBytes || c.now()-j.lastPoll < rotateRetry {
		return
	}
	c.readManifest(j)
}

// rotateRetry is the time between two attempts to replace a full segment.
const rotateRetry = 5 * timer.Second

func (c *controller) count(j *job, p pendingRecord) {
	j.pendingBytes -= len(p.data)
	j.written += int64(len(p.data))
	j.tally.Add(j.writer.Name(), p.head)
	if p.head.Kind == tallier.KindSuspect {
		return
	}
	delete(j.active, p.head.Item)
	c.scheduler.metrics.itemEnded(p.head.Kind)
}
