package recorder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/replicator"
	"github.com/jackdawgate/jackdawgate/segmenter"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/archiver"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// SealerOptions configures a Sealer.
type SealerOptions struct {
	Local   *archiver.Store
	Archive *replicator.Client
	Viewer  coordinator.Viewer
	Clock   timer.Clock
	// Interval is the time between two checks of the local segments. Grace is how
	// long an incarnation must have been absent from the members before its segments
	// are finalized.
	Interval timer.Millis
	Grace    timer.Millis
	Log      *zap.Logger
}

// Sealer finalizes the usage segments of incarnations that are no longer members,
// since package copier replaces lost copies only of final segments. It runs on hosts
// with a data folder.
type Sealer struct {
	options SealerOptions
	cancel  context.CancelFunc
	running sync.WaitGroup
	// absentSince is the time at which an incarnation was first found not to be a
	// member. Only the goroutine of run uses it.
	absentSince map[string]timer.Millis
}

const (
	defaultSealInterval = 10 * timer.Second
	defaultSealGrace    = 60 * timer.Second
)

// NewSealer starts a Sealer. Close stops it.
func NewSealer(o SealerOptions) *Sealer {
	defaulter.Set(&o.Interval, defaultSealInterval)
	defaulter.Set(&o.Grace, defaultSealGrace)
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sealer{options: o, cancel: cancel, absentSince: make(map[string]timer.Millis)}
	s.running.Go(func() { s.run(ctx) })
	return s
}

// Close stops the Sealer and waits until its goroutine has returned.
func (s *Sealer) Close() {
	s.cancel()
	s.running.Wait()
}

func (s *Sealer) run(ctx context.Context) {
	t := time.NewTicker(s.options.Interval.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.sealAbsent(ctx)
		}
	}
}

func (s *Sealer) sealAbsent(ctx context.Context) {
	infos, err := s.options.Local.List(segmenter.ListRequest{Prefix: usagePrefix})
	if err != nil {
		return
	}
	seen := make(map[string]bool)
	for _, i := range infos {
		var h segmentHeader
		if i.Final || i.Deleted || i.Missing || cbor.Unmarshal(i.Header, &h) != nil {
			continue
		}
		seen[h.Chain.Incarnation] = true
		if !s.graceElapsed(h.Chain) {
			continue
		}
		if err := s.seal(ctx, i.Name, h); err != nil {
			s.options.Log.Warn("usage segment not sealed", zap.String("segment", i.Name), zap.Error(err))
		}
	}
	for k := range s.absentSince {
		if !seen[k] {
			delete(s.absentSince, k)
		}
	}
}

// graceElapsed reports whether the incarnation has not been a member for
// options.Grace.
func (s *Sealer) graceElapsed(h ChainHeader) bool {
	if s.options.Viewer.View().Record.HasMember(h.Host, h.Incarnation) {
		delete(s.absentSince, h.Incarnation)
		return false
	}
	now := s.options.Clock.Now()
	since, ok := s.absentSince[h.Incarnation]
	if !ok {
		s.absentSince[h.Incarnation] = now
		return false
	}
	return now-since >= s.options.Grace
}

// seal freezes the segment and finalizes it. Only the first of its holders by name
// does so. Records that had not reached every holder are stored in a new segment.
func (s *Sealer) seal(ctx context.Context, name string, h segmentHeader) error {
	found, err := s.options.Archive.DescribeAll(ctx, name)
	if err != nil {
		return err
	}
	holders := writtenHolders(found)
	view := s.options.Viewer.View()
	if len(holders) == 0 || holders[0] != view.Self.Name {
		return nil
	}
	f, err := s.options.Archive.Freeze(ctx, name, holders, view.Record.Epoch)
	if err != nil {
		return err
	}
	if len(f.Tail) > 0 {
		if err := s.storeTail(ctx, h.Chain, f.Tail, view.Record.Epoch); err != nil {
			return err
		}
	}
	s.options.Log.Info("usage segment of an absent host sealed", zap.String("segment", name), zap.Uint64("records", f.Records))
	return s.options.Archive.Finalize(ctx, replicator.FinalizeRequest{
		Name: name, Holders: holders, Epoch: view.Record.Epoch, Records: f.Records,
	})
}

// writtenHolders returns, sorted, the members that have records of a segment. A
// member with an empty copy received the request to create the segment but its
// response was lost, so it is omitted unless all copies are empty.
func writtenHolders(found map[string]segmenter.Info) []string {
	var written, empty []string
	for holder, i := range found {
		switch {
		case i.Missing || i.Deleted || i.Damaged:
		case i.Records > 0:
			written = append(written, holder)
		default:
			empty = append(empty, holder)
		}
	}
	if len(written) == 0 {
		written = empty
	}
	slices.Sort(written)
	return written
}

// storeTail stores batches in a new segment and finalizes it. The segment is kept for
// defaultRetention, whatever Options.Retention the Recorder had.
func (s *Sealer) storeTail(ctx context.Context, h ChainHeader, tail [][]byte, epoch registrar.Epoch) error {
	var b SignedBatch
	if err := cbor.Unmarshal(tail[0], &b); err != nil {
		return eris.Wrap(err, "decode batch")
	}
	if len(b.Records) == 0 {
		return errors.New("batch without records")
	}
	first := b.Records[0].Number
	header, err := encoding.Marshal(segmentHeader{Chain: h, First: first})
	if err != nil {
		return eris.Wrap(err, "encode header")
	}
	w, err := s.options.Archive.Create(ctx, replicator.CreateRequest{
		Name: segmentName(h, first), Header: header, Epoch: epoch, Expires: timer.Wall() + defaultRetention,
	})
	if err != nil {
		return err
	}
	if err := w.Append(ctx, epoch, tail); err != nil {
		return err
	}
	return w.Finalize(ctx, epoch)
}
