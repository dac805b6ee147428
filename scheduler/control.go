package scheduler

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/jackdawgate/jackdawgate/bookkeeper"
	"github.com/jackdawgate/jackdawgate/opener"
	"github.com/jackdawgate/jackdawgate/regulator"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// jobLoop is the state of the job loop, the only goroutine that reads
// or changes jobs. It blocks on nothing but the next event or tick.
type jobLoop struct {
	scheduler    *Scheduler
	jobs         map[string]*job
	running      int
	shares       regulator.Shares
	stopping     bool
	stopDeadline timer.Millis
}

const (
	// tickInterval is how often ownership and pending retries are checked.
	tickInterval = 250 * time.Millisecond
	// stopTimeout bounds how long Close waits for results to be recorded.
	stopTimeout = 5 * timer.Second
	// retryDelay is the delay before a failed read of items is repeated, and the
	// base of the delay before opening or ending a job is retried, see retryLater.
	// maxRetryDelay limits the latter before its jitter, which can add half of it.
	retryDelay    = timer.Second
	maxRetryDelay = 30 * timer.Second
)

func newJobLoop(sc *Scheduler) *jobLoop {
	return &jobLoop{scheduler: sc, jobs: make(map[string]*job), shares: regulator.NewShares()}
}

func (c *jobLoop) run() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for !c.done() {
		select {
		case e := <-c.scheduler.events:
			c.handle(e)
		case <-t.C:
			c.tick()
		}
		c.schedule()
	}
	for _, j := range c.jobs {
		j.cancel()
	}
}

// done reports whether the job loop may end: the Scheduler is closing,
// and either nothing is left to record or stopTimeout has passed.
func (c *jobLoop) done() bool {
	if !c.stopping {
		return false
	}
	if c.now() >= c.stopDeadline {
		return true
	}
	for _, j := range c.jobs {
		if j.appending > 0 || (j.phase == jobRunning && len(j.pending) > 0) {
			return false
		}
	}
	return c.running == 0
}

func (c *jobLoop) now() timer.Millis { return c.scheduler.options.Clock.Now() }

func (c *jobLoop) handle(e event) {
	switch e := e.(type) {
	case jobOffered:
		c.adopt(e.id)
	case jobOpened:
		c.onOpened(e)
	case jobEnded:
		c.onEnded(e)
	case pageRead:
		c.onPage(e)
	case callFinished:
		c.onCallFinished(e.result)
	case recordsAppended:
		c.onAppended(e)
	case manifestPolled:
		c.onManifest(e.job, e.manifest)
	case cancelRequested:
		j, ok := c.jobs[e.manifest.Job.ID]
		if ok {
			c.onManifest(j, e.manifest)
		}
		e.reply <- ok
	case statusRequested:
		c.onStatus(e)
	case stopRequested:
		c.stop()
	}
}

// stop interrupts running items, which the next owners will run again. Appends
// in progress may complete.
func (c *jobLoop) stop() {
	c.stopping, c.stopDeadline = true, c.now()+stopTimeout
	for _, j := range c.jobs {
		j.stopRuns()
	}
}

// adopt adds a job that this host may own and starts to open it; openJob checks
// that this host owns it. It does nothing if the job is present or the Scheduler
// is closing.
func (c *jobLoop) adopt(id string) {
	if c.jobs[id] != nil || c.stopping {
		return
	}
	j := &job{id: id, active: make(map[uint64]*jobItem), window: regulator.NewWindow(c.scheduler.options.MaxWindow), lastPoll: c.now()}
	j.ctx, j.cancel = context.WithCancel(c.scheduler.ctx)
	j.runs, j.stopRuns = context.WithCancel(j.ctx)
	c.jobs[id] = j
	c.scheduler.metrics.jobs.Add(context.Background(), 1)
	c.scheduler.options.Log.Info("job taken over", zap.String("job", id))
	c.openJob(j)
}

// remove stops work on a job that this host no longer runs and removes its state:
// another host owns it or has taken it over, it has ended or it has no manifest.
// The reason is logged.
func (c *jobLoop) remove(j *job, reason string) {
	j.cancel()
	if c.jobs[j.id] == j {
		delete(c.jobs, j.id)
		c.scheduler.metrics.jobs.Add(context.Background(), -1)
		c.scheduler.options.Log.Info("job let go", zap.String("job", j.id), zap.String("why", reason))
	}
}

// owns reports whether this host may act for the job now. It must be checked
// directly before each action for the job that others see.
func (c *jobLoop) owns(j *job) bool {
	return c.scheduler.options.Viewer.View().Owns(j.object(), c.now())
}

func (c *jobLoop) tick() {
	if len(c.jobs) == 0 {
		return
	}
	s, now := c.scheduler.options.Viewer.View(), c.now()
	workspaces := make(map[string]bool)
	for _, j := range c.jobs {
		o, ok := s.Owner(j.object())
		if ok && (o.Name != s.Self.Name || o.Incarnation != s.Self.Incarnation) {
			c.remove(j, "owned by host "+o.Name)
			continue
		}
		workspaces[j.manifest.Job.Workspace] = true
		if j.tally != nil {
			j.meter = j.meter.Observe(now, j.tally.Counts.Done+j.tally.Counts.Failed)
		}
		c.failExpired(j)
		c.poll(j, now)
		c.advance(j)
	}
	c.shares.Retain(workspaces)
}

// failExpired ends a job that has reached its maximum age, since its segments are kept
// only for a limited time beyond it. Results that were recorded remain.
func (c *jobLoop) failExpired(j *job) {
	age := timer.Wall() - j.manifest.Job.Created
	if j.phase != jobRunning || j.startsNoItems() || age < c.scheduler.options.MaxAge {
		return
	}
	c.scheduler.options.Log.Warn("job reached its maximum age; job fails", zap.String("job", j.id), zap.Int64("age-ms", int64(age)), zap.Int("running", j.running))
	j.failure = "it did not end within its maximum age"
	j.stopRuns()
	j.queue, j.waiting = nil, nil
}

// poll reads the job's manifest if the last read is at least PollInterval ago.
func (c *jobLoop) poll(j *job, now timer.Millis) {
	if now-j.lastPoll < c.scheduler.options.PollInterval || j.phase == jobEnding {
		return
	}
	c.readManifest(j)
}

// readManifest starts to read the job's manifest. A failed read is not reported;
// the next poll repeats it.
func (c *jobLoop) readManifest(j *job) {
	j.lastPoll = c.now()
	c.scheduler.work.Go(func() {
		if m, _, err := c.scheduler.options.Manifests.Get(j.ctx, j.id); err == nil {
			c.scheduler.send(manifestPolled{job: j, manifest: m})
		}
	})
}

// advance starts the next step of a job, except running items: an append of
// results, the opening or ending of the job, or the reading of more items.
func (c *jobLoop) advance(j *job) {
	if c.jobs[j.id] != j {
		return
	}
	c.flush(j)
	switch {
	case j.phase == jobOpening:
		c.openJob(j)
	case j.complete() && j.appending == 0:
		j.phase = jobEnding
		c.endJob(j)
	case j.phase == jobEnding:
		c.endJob(j)
	default:
		c.readPage(j)
	}
}

// onManifest handles a manifest that was read from the store. That it could be
// read shows that the store is available, so a full result segment is replaced
// now. On a cancellation, running items are stopped and waiting ones discarded.
func (c *jobLoop) onManifest(j *job, m bookkeeper.Manifest) {
	if c.jobs[j.id] != j {
		return
	}
	if j.phase == jobRunning && j.writtenBytes >= c.scheduler.options.RotateBytes && !j.tally.Complete() {
		j.phase = jobOpening
		c.advance(j)
	}
	if m.Job.CancelRequested == 0 || j.manifest.Job.CancelRequested != 0 {
		return
	}
	j.manifest.Job.State, j.manifest.Job.CancelRequested = m.Job.State, m.Job.CancelRequested
	j.stopRuns()
	j.queue, j.waiting = nil, nil
	c.scheduler.options.Log.Info("job cancelled", zap.String("job", j.id), zap.Int("running", j.running))
	c.advance(j)
}

func (c *jobLoop) onStatus(e statusRequested) {
	j, ok := c.jobs[e.id]
	if !ok || j.tally == nil {
		e.reply <- statusReply{}
		return
	}
	e.reply <- statusReply{manifest: j.statusManifest(c.now(), timer.Wall()), known: true}
}

// openJob starts to open a job unless a step is in progress, a retry is not yet
// due, or this host may not act for the job.
func (c *jobLoop) openJob(j *job) {
	now := c.now()
	s := c.scheduler.options.Viewer.View()
	if j.busy || j.appending > 0 || now < j.retryAt || c.stopping || !s.Owns(j.object(), now) {
		return
	}
	j.busy = true
	t := opener.OpenRequest{ID: j.id, Epoch: s.Record.Epoch, Now: now, FailingSince: j.failingSince}
	if j.tally != nil {
		t.Tally, t.Processed = j.tally.Clone(), maps.Clone(j.processed)
	}
	c.scheduler.work.Go(func() {
		r, err := c.scheduler.options.Opener.Open(j.ctx, t)
		c.scheduler.send(jobOpened{job: j, result: r, err: err})
	})
}

func (c *jobLoop) onOpened(e jobOpened) {
	j := e.job
	j.busy = false
	if c.jobs[j.id] != j {
		return
	}
	if e.err != nil {
		c.onOpenFailed(j, e.err)
		return
	}
	j.failures, j.failingSince = 0, 0
	j.tally, j.processed, j.writer, j.writtenBytes = e.result.Tally, e.result.Processed, e.result.Writer, 0
	j.manifest = e.result.Manifest
	j.phase = jobRunning
	if j.writer == nil {
		j.phase = jobEnding
	}
	if j.manifest.Job.CancelRequested != 0 {
		j.stopRuns()
		j.queue, j.waiting = nil, nil
	}
	j.cursor, j.queue = 0, nil
	j.skipRecorded()
	j.dropRecorded()
	c.scheduler.options.Log.Info("job opened", zap.String("job", j.id), zap.String("state", string(j.manifest.Job.State)),
		zap.Int64("done", j.tally.Counts.Done), zap.Int64("failed", j.tally.Counts.Failed))
	c.advance(j)
}

func (c *jobLoop) onOpenFailed(j *job, err error) {
	var stale *bookkeeper.StaleError
	switch {
	case errors.As(err, &stale), segmenter.HasCode(err, segmenter.CodeOldEpoch):
		c.remove(j, err.Error())
		return
	case errors.Is(err, bookkeeper.ErrNoManifest):
		c.scheduler.work.Go(func() { c.scheduler.options.Opener.DeleteOrphanedItems(c.scheduler.ctx, j.id) })
		c.remove(j, err.Error())
		return
	}
	if j.failingSince == 0 {
		j.failingSince = c.now()
	}
	c.retryLater(j, "could not open job; will retry", err)
}

// retryLater logs a failed step and sets the time of its retry, with exponential
// backoff and jitter.
func (c *jobLoop) retryLater(j *job, message string, err error) {
	wait := min(retryDelay<<min(j.failures, 5), maxRetryDelay)
	j.failures++
	j.retryAt = c.now() + wait/2 + timer.Millis(rand.Int64N(int64(wait)))
	c.scheduler.options.Log.Warn(message, zap.String("job", j.id), zap.Error(err))
}

// endJob starts to end a job unless a step is in progress, a retry is not yet
// due, or this host may not act for the job.
func (c *jobLoop) endJob(j *job) {
	now := c.now()
	s := c.scheduler.options.Viewer.View()
	if j.busy || now < j.retryAt || !s.Owns(j.object(), now) {
		return
	}
	j.busy = true
	e := opener.EndRequest{ID: j.id, Epoch: s.Record.Epoch, Tally: j.tally.Clone(), Failure: j.failure}
	if j.writer != nil {
		e.Open = bookkeeper.SegmentRef{Name: j.writer.Name(), Records: j.writer.Records()}
	}
	c.scheduler.work.Go(func() {
		m, err := c.scheduler.options.Opener.End(j.ctx, e)
		c.scheduler.send(jobEnded{job: j, manifest: m, err: err})
	})
}

func (c *jobLoop) onEnded(e jobEnded) {
	j := e.job
	j.busy = false
	if c.jobs[j.id] != j {
		return
	}
	var stale *bookkeeper.StaleError
	if e.manifest.Job.State.Ended() {
		j.manifest = e.manifest // the end is recorded; only the items remain to be deleted
	}
	switch {
	case e.err == nil:
		c.scheduler.options.Log.Info("job ended", zap.String("job", j.id), zap.String("state", string(e.manifest.Job.State)))
		c.remove(j, "job has ended")
	case errors.As(e.err, &stale):
		c.remove(j, e.err.Error())
	default:
		c.retryLater(j, "job could not be ended; will retry", e.err)
	}
}

// readPage starts to read the next page of items if the queue is short.
func (c *jobLoop) readPage(j *job) {
	j.skipRecorded()
	if !j.needsPage(c.now()) {
		return
	}
	j.loading = true
	ref, from := j.manifest.Items, j.cursor
	c.scheduler.work.Go(func() {
		rs, err := c.scheduler.options.Archive.ReadPage(j.ctx, ref.Name, ref.Holders, from, ref.Records)
		c.scheduler.send(pageRead{job: j, from: from, records: rs, err: err})
	})
}

func (c *jobLoop) onPage(e pageRead) {
	j := e.job
	j.loading = false
	if c.jobs[j.id] != j {
		return
	}
	if e.from != j.cursor {
		return // the job was reopened while the page was read
	}
	if e.err == nil {
		j.failingSince = 0
		j.addPage(e.records)
		return
	}
	now := c.now()
	if j.failingSince == 0 {
		j.failingSince = now
	}
	j.loadNotBefore = now + retryDelay
	c.scheduler.options.Log.Warn("could not read items of job; will retry", zap.String("job", j.id), zap.Error(e.err))
	if now-j.failingSince >= c.scheduler.options.LossAfter {
		c.scheduler.options.Log.Error("items of job lost; job fails", zap.String("job", j.id))
		j.failure = "its items can't be read any more"
		c.advance(j)
	}
}
