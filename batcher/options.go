package batcher

import (
	"github.com/jackdawgate/jackdawgate/archiver"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/opener"
	"github.com/jackdawgate/jackdawgate/replicator"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
)

// Options configures a Batcher. Durations and limits that are zero are replaced
// by defaults.
type Options struct {
	Store   storer.Store
	Archive *replicator.Client
	// Local holds this host's own segments; nil if the host has no data folder.
	Local  *archiver.Store
	Caller messenger.Caller
	Viewer coordinator.Viewer
	Clock  timer.Clock
	Doer   requester.Doer
	// Biller records the usage of result segments; if it is nil, usage is not
	// recorded.
	Biller opener.Biller
	Log    *zap.Logger
	Meter  metric.Meter

	// Retention is how long results remain readable after the job's end.
	Retention timer.Millis
	// FileRetention is how long an uploaded file is kept.
	FileRetention timer.Millis
	// MaxAge is how long after its creation a job fails that has not ended. MaxAge plus
	// Retention is how long after their creation a job's segments are kept if the job
	// does not end, for example because its owner never reaches the store. When it ends,
	// its items are deleted, and the expiry of its results is set anew, to Retention and a
	// margin from then.
	MaxAge timer.Millis
	// MaxItems is the maximum number of items in an input, and MaxLine the maximum
	// length of a line in bytes.
	MaxItems int64
	MaxLine  int
	// MaxAnswer is the maximum size of an answer's body in bytes.
	MaxAnswer int
	// MaxRunning is the maximum number of items that run concurrently for all jobs
	// of this host. MaxWindow is the maximum number for one job.
	MaxRunning int
	MaxWindow  int
	// ItemTimeout is how long one attempt at an item may take.
	ItemTimeout timer.Millis
	// MaxAttempts is the number of calls with an error or without an answer after
	// which an item fails.
	MaxAttempts int
	// MaxSuspects is the number of an item's calls during which a backend server
	// crashed, after which the item fails.
	MaxSuspects int
	// RotateBytes is the size of a result segment, in bytes, from which it is
	// closed and another one opened.
	RotateBytes int64
	// LossAfter is how long ago the first failed attempt to open a job must be for a
	// result segment without a usable copy to be considered lost, so that its items
	// run again. An open segment is considered lost at once if all its holders and all
	// other members with a data folder answered; see opener.Options.LossAfter. It is
	// also how long a job's items must be unreadable before the job fails.
	LossAfter timer.Millis
	// OfferInterval is how often holders of items check for jobs that their owner
	// has not adopted. ReofferInterval is how often they offer adopted jobs again. See
	// MethodOffer.
	OfferInterval   timer.Millis
	ReofferInterval timer.Millis
	// PollInterval is how often an owner reads its jobs' manifests, to find a
	// cancellation of which it was not notified.
	PollInterval timer.Millis
}

const day = 24 * 3600 * timer.Second

// withDefaults returns the options with defaults in place of zero values.
func (o Options) withDefaults() Options {
	defaulter.Set(&o.Retention, 30*day)
	defaulter.Set(&o.FileRetention, 30*day)
	defaulter.Set(&o.MaxAge, 30*day)
	defaulter.Set(&o.MaxItems, 350_000)
	defaulter.Set(&o.MaxLine, 1<<20)
	defaulter.Set(&o.MaxAnswer, 4<<20)
	defaulter.Set(&o.MaxRunning, 1024)
	defaulter.Set(&o.MaxWindow, 512)
	defaulter.Set(&o.ItemTimeout, 600*timer.Second)
	defaulter.Set(&o.MaxAttempts, 5)
	defaulter.Set(&o.MaxSuspects, 3)
	defaulter.Set(&o.RotateBytes, 256<<20)
	defaulter.Set(&o.LossAfter, 600*timer.Second)
	defaulter.Set(&o.OfferInterval, 2*timer.Second)
	defaulter.Set(&o.ReofferInterval, 30*timer.Second)
	defaulter.Set(&o.PollInterval, 60*timer.Second)
	return o
}
