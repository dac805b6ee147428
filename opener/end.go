package opener

import (
	"context"
	"errors"

	"github.com/jackdawgate/jackdawgate/bookkeeper"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/replicator"
	"github.com/jackdawgate/jackdawgate/tallier"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// EndRequest describes a job to end. No item of it will run any more: all have a
// recorded result, or the job was cancelled or failed.
type EndRequest struct {
	ID    string
	Epoch registrar.Epoch
	Tally *tallier.Tally
	// Open is the open segment with its length; it is empty if there is none.
	Open bookkeeper.SegmentRef
	// Failure is the reason why the job failed; empty if it did not.
	Failure string
}

// ending is the state of one call of End.
type ending struct {
	EndRequest
	opener *Opener
}

// End closes a job's result segments, finalizes them, bills them, records the end of
// the job in its manifest, and deletes its items. The segments are finalized before
// they are billed, so that the billed records are on disk and their number is fixed.
// End returns the manifest, and may be repeated from any point, also by another owner.
func (o *Opener) End(ctx context.Context, e EndRequest) (bookkeeper.Manifest, error) {
	w := &ending{EndRequest: e, opener: o}
	return w.end(ctx)
}

// end performs the steps of End in order. If the job has already ended, it does not
// bill again.
func (e *ending) end(ctx context.Context) (bookkeeper.Manifest, error) {
	m, err := e.closeOpenSegment(ctx)
	if err != nil {
		return m, err
	}
	if err := e.finalizeSegments(ctx, m); err != nil {
		return m, err
	}
	if !m.Job.State.Ended() {
		if err := e.billSegments(ctx, m); err != nil {
			return m, err
		}
		if m, err = e.recordEnd(ctx); err != nil {
			return m, err
		}
	}
	return m, e.deleteItems(ctx)
}

// deleteItems deletes the job's item segments, including those of repeated
// submissions. Until they are deleted, their holders continue to report them to the
// job's owner.
func (e *ending) deleteItems(ctx context.Context) error {
	l, err := e.opener.options.Archive.List(ctx, bookkeeper.ItemsPrefix+e.ID+"/")
	if err != nil {
		return err
	}
	for _, i := range l.Infos {
		if err := e.opener.options.Archive.Delete(ctx, i.Name); err != nil {
			return err
		}
	}
	return nil
}

// closeOpenSegment records the length of the open segment in the manifest.
func (e *ending) closeOpenSegment(ctx context.Context) (bookkeeper.Manifest, error) {
	return e.opener.options.Manifests.Update(ctx, e.ID, bookkeeper.AsOwner(e.Epoch, func(m bookkeeper.Manifest) (bookkeeper.Manifest, error) {
		n := len(m.Results) - 1
		if m.Job.State.Ended() || n < 0 || m.Results[n].Closed {
			return m, nil
		}
		if m.Results[n].Name != e.Open.Name {
			return m, &bookkeeper.StaleError{JobID: e.ID}
		}
		refs := append([]bookkeeper.SegmentRef(nil), m.Results...)
		refs[n].Closed, refs[n].Records = true, e.Open.Records
		return m.WithResults(e.Epoch, refs, timer.Wall()), nil
	}))
}

// finalizeSegments finalizes every result segment that is not lost. Package copier
// replaces lost copies only of final segments.
func (e *ending) finalizeSegments(ctx context.Context, m bookkeeper.Manifest) error {
	for _, r := range m.Results {
		if r.Lost {
			continue
		}
		if err := e.opener.options.Archive.Finalize(ctx, replicator.FinalizeRequest{
			Name: r.Name, Holders: r.Holders, Epoch: e.Epoch, Records: r.Records, Expires: e.opener.resultExpiry(m),
		}); err != nil {
			return err
		}
	}
	return nil
}

// billSegments bills the segments that have usage. A segment is marked as billed only
// by recordEnd, which also ends the job, so that none is marked yet. Until the
// job has ended, a repeated End bills all of them again.
func (e *ending) billSegments(ctx context.Context, m bookkeeper.Manifest) error {
	if e.opener.options.Biller == nil {
		return nil
	}
	for _, r := range m.Results {
		sums := e.Tally.Sums[r.Name]
		if r.Billed || sums.Requests == 0 {
			continue
		}
		if err := e.opener.options.Biller.Bill(ctx, SegmentUsage{
			Segment: r.Name, JobID: e.ID, Workspace: m.Job.Workspace,
			Requests: sums.Requests, Usage: sums.Usage, At: timer.Wall(),
		}); err != nil {
			return err
		}
	}
	return nil
}

// recordEnd records the end of the job in the manifest and marks all its segments as
// billed, also those without usage, and also if there is no Biller.
func (e *ending) recordEnd(ctx context.Context) (bookkeeper.Manifest, error) {
	return e.opener.options.Manifests.Update(ctx, e.ID, bookkeeper.AsOwner(e.Epoch, func(m bookkeeper.Manifest) (bookkeeper.Manifest, error) {
		if m.Job.State.Ended() {
			return m, nil
		}
		refs := append([]bookkeeper.SegmentRef(nil), m.Results...)
		for i := range refs {
			refs[i].Billed = true
		}
		m.Results, m.Epoch = refs, e.Epoch
		m.OutputBytes, m.ErrorBytes = e.Tally.OutputBytes, e.Tally.ErrorBytes
		if e.Failure != "" {
			return m.WithFailure(e.Failure, e.Tally.Counts, timer.Wall(), e.opener.options.Retention), nil
		}
		return m.WithEnd(e.Tally.Counts, timer.Wall(), e.opener.options.Retention), nil
	}))
}

// DeleteOrphanedItems deletes the item segments of a job that has no manifest, once
// they are older than OrphanAge. Failures are logged and not returned; the caller may
// repeat the call.
func (o *Opener) DeleteOrphanedItems(ctx context.Context, jobID string) {
	l, err := o.options.Archive.List(ctx, bookkeeper.ItemsPrefix+jobID+"/")
	if err != nil {
		return
	}
	for _, i := range l.Infos {
		if timer.Wall()-i.Created < OrphanAge {
			continue
		}
		if _, _, err := o.options.Manifests.Get(ctx, jobID); !errors.Is(err, bookkeeper.ErrNoManifest) {
			return
		}
		if err := o.options.Archive.Delete(ctx, i.Name); err != nil {
			o.options.Log.Warn("items without a manifest not deleted", zap.String("segment", i.Name), zap.Error(err))
			continue
		}
		o.options.Log.Info("items without a manifest deleted", zap.String("segment", i.Name))
	}
}

// OrphanAge is the minimum age of items without a manifest for their deletion. A
// submission must not write its manifest so long after the creation of its items.
const OrphanAge = 24 * 3600 * timer.Second
