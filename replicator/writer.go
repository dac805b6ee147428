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

// CreateRequest describes a new segment.
type CreateRequest struct {
	Name string
	// Header is stored with the segment and not interpreted.
	Header []byte
	Epoch  registrar.Epoch
	// Expires is in Unix milliseconds; zero means never.
	Expires timer.Millis
	// DropLostHolders lets the Writer continue without a holder whose calls fail, as
	// long as the others are enough for the segment to be safe. Set it only for
	// segments whose holders have not been recorded elsewhere yet.
	DropLostHolders bool
}

// Writer appends to one segment. It is not safe for concurrent use.
type Writer struct {
	client  *Client
	request CreateRequest
	holders []registrar.Member
	// sent is the number of records sent; acknowledged is the number that every
	// holder has acknowledged.
	sent         uint64
	acknowledged uint64
	// err is the first failure of an append. Once it is set, the Writer is unusable.
	err error
}

// maxAttempts is the number of times that a request is sent to a holder before the
// holder is considered lost.
const maxAttempts = 3

// Create creates a segment at placer.WantedHolders members and returns its Writer.
// It tries further members in place of those that fail. It returns a
// NotEnoughHoldersError if too few accept the segment for it to be safe.
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
		// The list that this holder stores lacks the later holders until the segment is
		// finalized with the complete list.
		q.Holders = append(slices.Clone(names), m.Name)
		if _, err := callForInfo(ctx, c, m.Name, segmenter.MethodAppend, q); err != nil {
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

// Name returns the name of the segment.
func (w *Writer) Name() string { return w.request.Name }

// Holders returns the names of the members that have the segment.
func (w *Writer) Holders() []string {
	out := make([]string, len(w.holders))
	for i, m := range w.holders {
		out[i] = m.Name
	}
	return out
}

// Epoch returns the epoch in which the segment was created.
func (w *Writer) Epoch() registrar.Epoch { return w.request.Epoch }

// Records returns the number of records that every holder has acknowledged.
func (w *Writer) Records() uint64 { return w.acknowledged }

// Append adds records and returns once every holder has them on disk. After an
// error it is unknown which holders have them: the Writer returns the same error
// for every later call, and the next writer must freeze the segment to find out.
func (w *Writer) Append(ctx context.Context, epoch registrar.Epoch, records [][]byte) error {
	if w.err != nil {
		return w.err
	}
	q := segmenter.AppendRequest{Name: w.request.Name, Epoch: epoch, First: w.sent, Records: records, Committed: w.acknowledged}
	w.sent += uint64(len(records))
	if w.err = w.forEachHolder(ctx, func(ctx context.Context, holder string) error {
		_, err := callForInfo(ctx, w.client, holder, segmenter.MethodAppend, q)
		return err
	}); w.err != nil {
		return w.err
	}
	w.acknowledged = w.sent
	return nil
}

// Finalize makes the segment final, with the records that have been acknowledged and the
// complete list of holders. It fails if an append has failed before.
func (w *Writer) Finalize(ctx context.Context, epoch registrar.Epoch) error {
	if w.err != nil {
		return w.err
	}
	return w.forEachHolder(ctx, func(ctx context.Context, holder string) error {
		return w.client.SealAt(ctx, holder, segmenter.SealRequest{
			Name: w.request.Name, Epoch: epoch, Final: true, Records: w.acknowledged, Holders: w.Holders(),
		})
	})
}

// forEachHolder calls f for all holders in parallel. It removes those for which f
// fails from the Writer if DropLostHolders is set and the others are enough for the
// segment to be safe, and otherwise returns a HolderError.
func (w *Writer) forEachHolder(ctx context.Context, f func(ctx context.Context, holder string) error) error {
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

// retry calls f up to maxAttempts times, until it succeeds or the holder refuses
// the request. Requests to holders are idempotent.
func (w *Writer) retry(ctx context.Context, holder string, f func(ctx context.Context, holder string) error) error {
	var err error
	for range maxAttempts {
		err = f(ctx, holder)
		var refused *segmenter.RefusedError
		if err == nil || ctx.Err() != nil || eris.As(err, &refused) {
			return err
		}
	}
	return err
}
