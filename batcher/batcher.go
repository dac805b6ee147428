package batcher

import (
	"context"
	"sync"

	"github.com/jackdawgate/jackdawgate/bookkeeper"
	"github.com/jackdawgate/jackdawgate/filer"
	"github.com/jackdawgate/jackdawgate/opener"
	"github.com/jackdawgate/jackdawgate/parser"
	"github.com/jackdawgate/jackdawgate/retrier"
	"github.com/jackdawgate/jackdawgate/scheduler"
	"github.com/jackdawgate/jackdawgate/submitter"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Batcher implements submitter.API. It accepts jobs, runs those that this host
// owns, and answers queries about all of them. It is safe for concurrent use.
type Batcher struct {
	options   Options
	manifests bookkeeper.ManifestStore
	opener    *opener.Opener
	scheduler *scheduler.Scheduler
	files     *filer.Filer
	limits    parser.Limits

	// cancel stops the goroutines started by New; work waits for them.
	cancel  context.CancelFunc
	closing sync.Once
	work    sync.WaitGroup

	createdMu sync.Mutex
	// created caches the jobs' times of creation, which never change.
	created map[string]timer.Millis
}

var _ submitter.API = (*Batcher)(nil)

// New starts a Batcher. The caller must register its handlers before the host
// accepts calls from peers, and must call Close to stop it.
func New(o Options) (*Batcher, error) {
	o = o.withDefaults()
	manifests, limits := bookkeeper.New(o.Store), parser.Limits{MaxItems: o.MaxItems, MaxLine: o.MaxLine}
	op := opener.New(opener.Options{
		Archive: o.Archive, Manifests: manifests, Viewer: o.Viewer, Biller: o.Biller, Log: o.Log,
		MaxAge: o.MaxAge, Retention: o.Retention, LossAfter: o.LossAfter,
	})
	sc, err := scheduler.New(scheduler.Options{
		Archive: o.Archive, Manifests: manifests, Opener: op, Viewer: o.Viewer, Clock: o.Clock, Doer: o.Doer,
		Log: o.Log, Meter: o.Meter, MaxAnswer: o.MaxAnswer, MaxRunning: o.MaxRunning, MaxWindow: o.MaxWindow,
		ItemTimeout: o.ItemTimeout, ItemLimits: retrier.Limits{MaxAttempts: o.MaxAttempts, MaxSuspects: o.MaxSuspects},
		RotateBytes: o.RotateBytes, LossAfter: o.LossAfter, MaxAge: o.MaxAge, PollInterval: o.PollInterval,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &Batcher{
		options: o, manifests: manifests, opener: op, scheduler: sc, limits: limits, cancel: cancel,
		files: filer.New(filer.Options{
			Archive: o.Archive, Viewer: o.Viewer, Clock: o.Clock, Retention: o.FileRetention, Limits: limits, Log: o.Log,
		}),
		created: make(map[string]timer.Millis),
	}
	if o.Local != nil {
		b.work.Go(func() { newOfferer(b).run(ctx) })
	}
	b.work.Go(func() { b.runCleanup(ctx) })
	return b, nil
}

// Close interrupts running items, records the results received so far, and waits
// for all goroutines of the Batcher.
func (b *Batcher) Close() {
	b.scheduler.Close()
	b.closing.Do(func() {
		b.cancel()
		b.files.Close()
	})
	b.work.Wait()
}

func (b *Batcher) log() *zap.Logger { return b.options.Log }
