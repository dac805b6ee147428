// Package opener takes over batch jobs and ends them. It contains the operations
// that the owner of a job performs on the job's segments and manifest before it runs
// items, and once no item of the job will run any more: all have a result, or the job
// was cancelled or failed. The owner of a job is the host that runs it.
//
// Invariants:
//
//   - The result segment of the previous owner is frozen at its holders before the
//     manifest refers to a new segment, so the previous owner can't record more
//     results.
//   - Results that had not reached every holder are copied to the new segment before
//     the manifest refers to it, so no result that a reader may have seen is lost.
//   - An open segment is considered lost only if no usable copy of it is found when
//     it is frozen: at once if all its holders and all other members with a data folder
//     answered, otherwise once Options.LossAfter has elapsed and those that did not
//     answer are no longer members. A damaged or deleted copy is not usable. A closed
//     segment is considered lost only if every member that was queried reports that it
//     does not have the segment and Options.LossAfter has elapsed.
//   - Every step is idempotent and may be repeated from any point, also by another
//     owner.
package opener

import (
	"context"

	"github.com/jackdawgate/jackdawgate/bookkeeper"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/replicator"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// SegmentUsage is the usage of one closed result segment. It can be recomputed from
// the segment's records. A segment that is billed again has the same Segment, Requests
// and Usage.
type SegmentUsage struct {
	Segment   string
	JobID     string
	Workspace string
	Requests  int64
	Usage     requester.Usage
	At        timer.Millis
}

// Biller records the usage of result segments. Bill returns nil once the usage is
// stored durably. It may be called more than once for a segment, for example after
// an error.
type Biller interface {
	Bill(ctx context.Context, u SegmentUsage) error
}

// Options configures an Opener.
type Options struct {
	Archive   *replicator.Client
	Manifests bookkeeper.ManifestStore
	Viewer    coordinator.Viewer
	// Biller records the usage; if nil, usage is not recorded.
	Biller Biller
	Log    *zap.Logger
	// MaxAge is the maximum age of a job; package scheduler enforces it. MaxAge plus
	// Retention is how long the segments of a job are kept if it does not end. Retention
	// is how long results are readable after the job has ended.
	MaxAge    timer.Millis
	Retention timer.Millis
	// LossAfter is how long ago the first failed attempt to open a job must be for a
	// segment without a usable copy to be considered lost. An open segment is considered
	// lost at once if all its holders and all other members with a data folder answered
	// when it was frozen and none has a usable copy. See the package documentation.
	LossAfter timer.Millis
}

// Opener opens and ends jobs. It is safe for concurrent use, but calls for the same
// job must not overlap.
type Opener struct{ options Options }

// New returns an Opener.
func New(o Options) *Opener { return &Opener{options: o} }

// SegmentExpiry returns the expiry time of a segment that is created for a job now,
// in Unix milliseconds.
func (o *Opener) SegmentExpiry() timer.Millis {
	return timer.Wall() + o.options.MaxAge + o.options.Retention
}

// expiryMargin is how long the results of a job are kept after the expiry time that
// the job reports.
const expiryMargin = 3600 * timer.Second

// resultExpiry returns the expiry time of the result segments of a job that is
// ending or has ended, in Unix milliseconds.
func (o *Opener) resultExpiry(m bookkeeper.Manifest) timer.Millis {
	if m.Job.Expires > 0 {
		return m.Job.Expires + expiryMargin
	}
	return timer.Wall() + o.options.Retention + expiryMargin
}
