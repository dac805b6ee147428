package replicator

import (
	"context"
	"slices"
	"sync"

	"github.com/jackdawgate/jackdawgate/placer"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// CreateRequest asks for a new segment.
type CreateRequest struct {
	Name   string
	Header []byte
	Epoch  registrar.Epoch
	// Expires is in Unix milliseconds; zero means never.
	Expires timer.Millis
	// DropLostHolders lets the Writer go on without a holder that is lost while
	// the others are still enough. It is for segments whose holders nobody has
	// noted yet.
	DropLostHolders bool
}

// Writer appends to one segment. One goroutine at a time uses it.
type Writer struct {
	client    *Client
	request   CreateRequest
	holders   []registrar.Member
	records   uint64
	committed uint64
	err       error
}

// appendTries is how often a holder is asked before it counts as lost.
const appendTries = 3

// Create makes a segment on as many holders as it should have, at least enough
// to be safe, and returns its writer.
func (c *Client) Create(ctx context.Context, r CreateRequest) (*Writer, error) {
	all := placer.Spread(placer.Rank(c.Record(), r.Name))
	wanted := placer.WantedHolders(all)
	names := make([]string, 0, wanted)
	var holders []registrar.Member
	var last error
	for _, m := range all {
		if len(holders) == wanted {
			break
		}
		q := segmenter.AppendRequest{Name: r.Name, Epoch: r.Epoch, Create: true, Header: r.Header, Expires: r.Expires}
		q.Holders = append(slices.Clone(names), m.Name)
		if _, err := callOne(ctx, c, m.Name, segmenter.MethodAppend, q); err != nil {
			last = err
			continue
		}
		holders, names = append(holders, m), append(names, m.Name)
	}
	if !placer.Safe(holders, all) {
		return nil, &NotEnoughHoldersError{Name: r.Name, Holders: len(holders), Err: last}
	}
	c.options.Log.Info("segment placed", zap.String("segment", r.Name),
		zap.Strings("holders", names), zap.Uint64("epoch", uint64(r.Epoch)))
	return &Writer{client: c, request: r, holders: holders}, nil
}

// Name is the segment's name.
func (w *Writer) Name() string { return w.request.Name }

// Holders are the names of the members that have the segment.
func (w *Writer) Holders() []string {
	out := make([]string, len(w.holders))
	for i, m := range w.holders {
		out[i] = m.Name
	}
	return out
}

// Epoch is the epoch under which the segment was made.
func (w *Writer) Epoch() registrar.Epoch { return w.request.Epoch }

// Records is how many records were acknowledged by every holder.
func (w *Writer) Records() uint64 { return w.committed }

// Append adds records and returns once every holder has them on disk. After an
// error it is not known whether they are kept: the Writer takes no more, and
// whoever takes over must freeze the segment and look.
func (w *Writer) Append(ctx context.Context, epoch registrar.Epoch, records [][]byte) error {
	if w.err != nil {
		return w.err
	}
	q := segmenter.AppendRequest{Name: w.request.Name, Epoch: epoch, First: w.records, Records: records, Committed: w.committed}
	w.records += uint64(len(records))
	if w.err = w.onAll(ctx, func(ctx context.Context, holder string) error {
		_, err := callOne(ctx, w.client, holder, segmenter.MethodAppend, q)
		return err
	}); w.err != nil {
		return w.err
	}
	w.committed = w.records
	return nil
}

// Seal makes the segment final with the records that were acknowledged.
func (w *Writer) Seal(ctx context.Context, epoch registrar.Epoch) error {
	if w.err != nil {
		return w.err
	}
	return w.onAll(ctx, func(ctx context.Context, holder string) error {
		return w.client.SealAt(ctx, holder, segmenter.SealRequest{
			Name: w.request.Name, Epoch: epoch, Final: true, Records: w.committed, Holders: w.Holders(),
		})
	})
}

// onAll does f at every holder at once and drops lost ones where it may.
func (w *Writer) onAll(ctx context.Context, f func(ctx context.Context, holder string) error) error {
	errs := make([]error, len(w.holders))
	var group sync.WaitGroup
	for i, m := range w.holders {
		group.Go(func() { errs[i] = w.retry(ctx, m.Name, f) })
	}
	group.Wait()
	var kept []registrar.Member
	var last error
	for i, m := range w.holders {
		if errs[i] == nil {
			kept = append(kept, m)
			continue
		}
		last = &HolderError{Name: w.request.Name, Holder: m.Name, Err: errs[i]}
	}
	if last == nil {
		return nil
	}
	if !w.request.DropLostHolders || !placer.Safe(kept, placer.Rank(w.client.Record(), w.request.Name)) {
		return last
	}
	w.holders = kept
	return nil
}

// retry asks a holder again after a lost call; a repeat changes nothing there.
func (w *Writer) retry(ctx context.Context, holder string, f func(ctx context.Context, holder string) error) error {
	var err error
	for range appendTries {
		err = f(ctx, holder)
		var refused *segmenter.RefusedError
		if err == nil || ctx.Err() != nil || eris.As(err, &refused) {
			return err
		}
	}
	return err
}
