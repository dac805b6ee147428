// Package scheduler runs the batch jobs that this host owns. It opens jobs, reads
// their items, sends the items as calls through a Doer, records results, and has
// package opener end complete jobs.
//
// One goroutine, the job loop, owns the state of all jobs and blocks only on
// the next event or tick. Operations that may take long run in goroutines of
// their own, which receive copies and return their results as events.
//
// Invariants:
//
//   - Directly before it opens or ends a job, starts an item or appends results,
//     the job loop checks that this host owns the job. The exception is a job
//     without a manifest, whose items it deletes without this check.
//   - An item is done once its result is on every holder of the open result
//     segment. The first recorded result is the item's result; later ones are
//     discarded.
//   - No item starts after the job loop has received a job's cancellation.
//   - Memory per job is bounded: a page of items is read only while fewer items
//     than the window are queued and fewer than two windows have been started and
//     have no result. Besides these there are the results to be appended
//     (maxPendingBytes and those of the running items), two bits for each item,
//     and the few items during which a backend server crashed.
package scheduler

import (
	"context"
	"sync"

	"github.com/jackdawgate/jackdawgate/bookkeeper"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/opener"
	"github.com/jackdawgate/jackdawgate/replicator"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/retrier"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
)

// Options configures a Scheduler. All fields except Meter are required.
type Options struct {
	Archive   *replicator.Client
	Manifests bookkeeper.ManifestStore
	Opener    *opener.Opener
	Viewer    coordinator.Viewer
	Clock     timer.Clock
	Doer      requester.Doer
	Log       *zap.Logger
	// Meter registers the metrics; if it is nil, none are recorded.
	Meter metric.Meter

	// MaxAnswer is the maximum size of an answer's body in bytes.
	MaxAnswer int
	// MaxRunning is the maximum number of items that run concurrently, and
	// MaxWindow the maximum for one job.
	MaxRunning int
	MaxWindow  int
	// ItemTimeout is how long one attempt at an item may take.
	ItemTimeout timer.Millis
	// The limits of the attempts at an item, after which it has failed.
	ItemLimits retrier.Limits
	// RotateBytes is the size of a result segment, in bytes, from which it is
	// closed and another one opened.
	RotateBytes int64
	// MaxAge is how long after its creation a job fails that has not ended.
	MaxAge timer.Millis
	// LossAfter is how long reading a job's items must have failed before they are
	// considered lost and the job fails. Failed attempts to open the job in the
	// same period count too, whatever their cause.
	LossAfter timer.Millis
	// PollInterval is how often a job's manifest is read, to find a cancellation
	// of which this host was not notified.
	PollInterval timer.Millis
}

// Scheduler runs the jobs that this host owns. It is safe for concurrent use.
type Scheduler struct {
	options Options
	metrics metrics

	// ctx is cancelled when the Scheduler closes.
	ctx    context.Context
	cancel context.CancelFunc
	// events are sent to the job loop until finished is closed.
	events   chan event
	finished chan struct{}
	closing  sync.Once
	work     sync.WaitGroup
}

// eventBacklog is the capacity of the job loop's event channel.
const eventBacklog = 256

// New starts a Scheduler. The caller must call Close to stop it.
func New(o Options) (*Scheduler, error) {
	m, err := newMetrics(o.Meter)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	sc := &Scheduler{
		options: o, metrics: m, ctx: ctx, cancel: cancel,
		events: make(chan event, eventBacklog), finished: make(chan struct{}),
	}
	c := newJobLoop(sc)
	sc.work.Go(func() {
		defer close(sc.finished)
		c.run()
	})
	return sc, nil
}

// Close interrupts running items, records the results received so far, and waits
// for all goroutines of the Scheduler. Recording is given up after stopTimeout.
func (sc *Scheduler) Close() {
	sc.closing.Do(func() {
		sc.send(stopRequested{})
		<-sc.finished
		sc.cancel()
	})
	sc.work.Wait()
}

// send passes an event to the job loop. The event is discarded if the job loop
// has finished.
func (sc *Scheduler) send(e event) {
	select {
	case sc.events <- e:
	case <-sc.finished:
	}
}

// Adopt adds a job that this host may own. It does nothing if the job is present.
func (sc *Scheduler) Adopt(jobID string) { sc.send(jobOffered{id: jobID}) }

// Status returns the manifest, with current counts, of a job that this host runs.
// known is false if this host does not run the job, has not opened it yet, or ctx
// ended first.
func (sc *Scheduler) Status(ctx context.Context, jobID string) (m bookkeeper.Manifest, known bool) {
	reply := make(chan statusReply, 1)
	sc.send(statusRequested{id: jobID, reply: reply})
	select {
	case r := <-reply:
		return r.manifest, r.known
	case <-ctx.Done():
	case <-sc.finished:
	}
	return bookkeeper.Manifest{}, false
}

// Cancel stops a job whose manifest m records the cancellation. It reports
// whether this host runs the job; false also if ctx ended first.
func (sc *Scheduler) Cancel(ctx context.Context, m bookkeeper.Manifest) bool {
	reply := make(chan bool, 1)
	sc.send(cancelRequested{manifest: m, reply: reply})
	select {
	case known := <-reply:
		return known
	case <-ctx.Done():
	case <-sc.finished:
	}
	return false
}
