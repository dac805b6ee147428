package opener

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"
	"github.com/jackdawgate/jackdawgate/bookkeeper"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/replicator"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/jackdawgate/jackdawgate/tallier"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// OpenRequest describes a job to open. Open modifies Tally and Processed, so the
// caller must pass copies of its own state.
type OpenRequest struct {
	ID    string
	Epoch registrar.Epoch
	// Tally is nil if no results have been counted. Processed is the number of
	// records of each segment, by name, that Tally includes.
	Tally     *tallier.Tally
	Processed map[string]uint64
	// FailingSince is the time of the first failed attempt to open the job, or 0.
	FailingSince timer.Millis
	Now          timer.Millis
}

// opening is the state of one call of Open.
type opening struct {
	opener    *Opener
	id        string
	epoch     registrar.Epoch
	tally     *tallier.Tally
	processed map[string]uint64
	manifest  bookkeeper.Manifest
	// failingSince and now are copied from the OpenRequest.
	failingSince timer.Millis
	now          timer.Millis
}

// OpenResult is the result of Open. Writer appends to the new open segment; it is nil
// if the job has ended.
type OpenResult struct {
	Manifest  bookkeeper.Manifest
	Tally     *tallier.Tally
	Processed map[string]uint64
	Writer    *replicator.Writer
}

// Open takes over a job. The present owner also calls it to replace the job's open
// result segment. It returns a bookkeeper.StaleError if an owner of a later epoch has
// written the manifest, and bookkeeper.ErrNoManifest if the job does not exist.
func (o *Opener) Open(ctx context.Context, r OpenRequest) (OpenResult, error) {
	op := &opening{
		opener: o, id: r.ID, epoch: r.Epoch, tally: r.Tally, processed: r.Processed,
		failingSince: r.FailingSince, now: r.Now,
	}
	return op.open(ctx)
}

// open reads the manifest, freezes the open result segment, counts the recorded
// results, adds a new open segment to the manifest, and finalizes the others.
func (o *opening) open(ctx context.Context) (OpenResult, error) {
	m, _, err := o.opener.options.Manifests.Get(ctx, o.id)
	if err != nil {
		return OpenResult{}, err
	}
	o.manifest = m
	if o.tally == nil {
		o.tally, o.processed = tallier.New(m.Items.Records), make(map[string]uint64)
	}
	if m.Job.State.Ended() {
		return OpenResult{Manifest: m, Tally: o.tally, Processed: o.processed}, nil
	}
	if m.Epoch > o.epoch {
		return OpenResult{}, &bookkeeper.StaleError{JobID: o.id}
	}
	refs, tail, err := o.freezeAndCount(ctx, m.Results)
	if err != nil {
		return OpenResult{}, err
	}
	w, err := o.newSegment(ctx, tail)
	if err != nil {
		return OpenResult{}, err
	}
	if err := o.updateManifest(ctx, m.Results, refs, w); err != nil {
		return OpenResult{}, err
	}
	o.finalizeSegments(ctx, refs)
	return OpenResult{Manifest: o.manifest, Tally: o.tally, Processed: o.processed, Writer: w}, nil
}

// freezeAndCount freezes the open result segments and counts the results of all
// segments. It returns the segments, marked as closed, and the tail: the records of the
// segments it froze that had not reached every holder. The manifest is not changed
// yet. If a segment is newly found to be lost, its items no longer have a
// result, so it counts the other segments again from the start.
func (o *opening) freezeAndCount(ctx context.Context, refs []bookkeeper.SegmentRef) ([]bookkeeper.SegmentRef, [][]byte, error) {
	var out []bookkeeper.SegmentRef
	var tail [][]byte
	lost := false
	for _, r := range refs {
		alreadyLost := r.Lost
		if !r.Closed {
			frozen, err := o.freeze(ctx, r)
			if err != nil {
				return nil, nil, err
			}
			r, tail = frozen.segment, append(tail, frozen.tail...)
		}
		if err := o.countResults(ctx, r); o.closedSegmentLost(err) {
			r = o.markLost(r)
		} else if err != nil {
			return nil, nil, err
		}
		lost = lost || (r.Lost && !alreadyLost)
		out = append(out, r)
	}
	if !lost {
		return out, tail, nil
	}
	o.tally, o.processed = tallier.New(o.manifest.Items.Records), make(map[string]uint64)
	for _, r := range out {
		if err := o.countResults(ctx, r); err != nil {
			return nil, nil, err
		}
	}
	return out, tail, nil
}

// markLost returns r marked as closed and lost.
func (o *opening) markLost(r bookkeeper.SegmentRef) bookkeeper.SegmentRef {
	r.Closed, r.Lost, r.Records = true, true, 0
	o.opener.options.Log.Error("result segment lost; its items will run again",
		zap.String("job", o.id), zap.String("segment", r.Name), zap.Strings("holders", r.Holders))
	return r
}

// closedSegmentLost reports whether a closed segment whose records could not be read
// is lost: whether err indicates that every member that was queried does not have it, and
// the job has failed to open for Options.LossAfter.
func (o *opening) closedSegmentLost(err error) bool {
	var u *replicator.UnreadableError
	return errors.As(err, &u) && segmenter.HasCode(u.Err, segmenter.CodeUnknown) && o.lossTimeElapsed()
}

// lossTimeElapsed reports whether the job has failed to open for Options.LossAfter.
func (o *opening) lossTimeElapsed() bool {
	return o.failingSince != 0 && o.now-o.failingSince >= o.opener.options.LossAfter
}

// frozenSegment is a closed segment and the records beyond its length, which had not
// reached every holder.
type frozenSegment struct {
	segment bookkeeper.SegmentRef
	tail    [][]byte
}

// freeze prevents further appends to the segment and determines its length. If the
// segment is lost, it returns it marked as lost.
func (o *opening) freeze(ctx context.Context, r bookkeeper.SegmentRef) (frozenSegment, error) {
	f, err := o.opener.options.Archive.Freeze(ctx, r.Name, r.Holders, o.epoch)
	r.Closed = true
	var lost *replicator.NoCopyError
	if errors.As(err, &lost) && o.openSegmentLost(lost.Unreached) {
		return frozenSegment{segment: o.markLost(r)}, nil
	}
	if err != nil {
		return frozenSegment{}, err
	}
	r.Records = f.Records
	return frozenSegment{segment: r, tail: f.Tail}, nil
}

// openSegmentLost reports whether an open segment of which no usable copy was found
// when it was frozen is lost. unreached are the hosts that did not answer, which may
// have a copy: holders, and other members with a data folder. The segment is lost if
// there are none, or if none of them is a member any more and the job has failed to
// open for Options.LossAfter.
func (o *opening) openSegmentLost(unreached []string) bool {
	if len(unreached) == 0 {
		return true
	}
	record := o.opener.options.Viewer.View().Record
	for _, h := range unreached {
		if _, ok := record.Member(h); ok {
			return false
		}
	}
	return o.lossTimeElapsed()
}

// countResults adds the segment's records that are not counted yet to the tally.
func (o *opening) countResults(ctx context.Context, r bookkeeper.SegmentRef) error {
	from := o.processed[r.Name]
	if from < r.Records {
		err := o.opener.options.Archive.ReadHeads(ctx, r.Name, r.Holders, from, r.Records, tallier.HeadBytes,
			func(_ uint64, b []byte) error {
				h, err := tallier.DecodeHead(b)
				if err == nil {
					o.tally.Add(r.Name, h)
				}
				return err
			})
		if err != nil {
			return err
		}
	}
	o.processed[r.Name] = r.Records
	return nil
}

// newSegment creates the next open segment, and counts and appends the records of tail
// that have not been counted.
func (o *opening) newSegment(ctx context.Context, tail [][]byte) (*replicator.Writer, error) {
	header, err := bookkeeper.Encode(bookkeeper.SegmentHeader{JobID: o.id, Workspace: o.manifest.Job.Workspace})
	if err != nil {
		return nil, eris.Wrap(err, "encode header")
	}
	w, err := o.opener.options.Archive.Create(ctx, replicator.CreateRequest{
		Name: bookkeeper.ResultsName(o.id, fmt.Sprintf("%d-%s", o.epoch, uuid.NewString())), Header: header,
		Epoch: o.epoch, Expires: o.opener.SegmentExpiry(),
	})
	if err != nil {
		return nil, err
	}
	var uncounted [][]byte
	for _, t := range tail {
		h, err := tallier.DecodeHead(t)
		if err != nil {
			return nil, err
		}
		if o.tally.Add(w.Name(), h) {
			uncounted = append(uncounted, t)
		}
	}
	if len(uncounted) > 0 {
		if err := w.Append(ctx, o.epoch, uncounted); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// updateManifest replaces the manifest's segments by refs and the segment of w. It
// returns a bookkeeper.StaleError if the job has ended, or if the manifest has neither
// the segments expected nor those of this update.
func (o *opening) updateManifest(ctx context.Context, expected, refs []bookkeeper.SegmentRef, w *replicator.Writer) error {
	next := dropEmpty(refs)
	next = append(next, bookkeeper.SegmentRef{Name: w.Name(), Holders: w.Holders()})
	o.processed[w.Name()] = w.Records()
	m, err := o.opener.options.Manifests.Update(ctx, o.id, bookkeeper.AsOwner(o.epoch, func(m bookkeeper.Manifest) (bookkeeper.Manifest, error) {
		switch {
		case m.Epoch == o.epoch && sameSegments(m.Results, next):
			// An earlier attempt whose response was lost has written this update.
			return m, nil
		case m.Job.State.Ended() || !sameSegments(m.Results, expected):
			return m, &bookkeeper.StaleError{JobID: o.id}
		}
		return m.WithResults(o.epoch, next, timer.Wall()), nil
	}))
	if err != nil {
		return err
	}
	o.manifest = m
	return nil
}

// dropEmpty returns the segments that have records or are lost.
func dropEmpty(refs []bookkeeper.SegmentRef) []bookkeeper.SegmentRef {
	var out []bookkeeper.SegmentRef
	for _, r := range refs {
		if r.Records > 0 || r.Lost {
			out = append(out, r)
		}
	}
	return out
}

// sameSegments reports whether a and b have the same names in the same order, each with
// the same Closed. It does not compare other fields.
func sameSegments(a, b []bookkeeper.SegmentRef) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Name != b[i].Name || a[i].Closed != b[i].Closed {
			return false
		}
	}
	return true
}

// finalizeSegments finalizes the closed segments at their holders. Failures are only
// logged, since End finalizes those in the manifest again. Empty segments are not in
// the manifest; one that was not finalized remains until it expires.
func (o *opening) finalizeSegments(ctx context.Context, refs []bookkeeper.SegmentRef) {
	for _, r := range refs {
		if r.Lost {
			continue
		}
		if err := o.opener.options.Archive.Finalize(ctx, replicator.FinalizeRequest{
			Name: r.Name, Holders: r.Holders, Epoch: o.epoch, Records: r.Records,
		}); err != nil {
			o.opener.options.Log.Warn("result segment not finalized", zap.String("segment", r.Name), zap.Error(err))
		}
	}
}
