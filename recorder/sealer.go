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
	// Interval is how often segments are looked at, Grace how long an incarnation
	// must be gone before its segments are sealed.
	Interval timer.Millis
	Grace    timer.Millis
	Log      *zap.Logger
}

// Sealer seals the usage segments of incarnations that died, on hosts with a
// data folder, so that lost copies of them are replaced.
type Sealer struct {
	options SealerOptions
	cancel  context.CancelFunc
	done    sync.WaitGroup
	// gone is since when an incarnation is no member; it belongs to run.
	gone map[string]timer.Millis
}

const (
	defaultSealInterval = 10 * timer.Second
	defaultSealGrace    = 60 * timer.Second
)

// NewSealer starts a Sealer. Close ends it.
func NewSealer(o SealerOptions) *Sealer {
	defaulter.Set(&o.Interval, defaultSealInterval)
	defaulter.Set(&o.Grace, defaultSealGrace)
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sealer{options: o, cancel: cancel, gone: make(map[string]timer.Millis)}
	s.done.Go(func() { s.run(ctx) })
	return s
}

// Close stops the Sealer and waits for it.
func (s *Sealer) Close() {
	s.cancel()
	s.done.Wait()
}

func (s *Sealer) run(ctx context.Context) {
	t := time.NewTicker(s.options.Interval.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.round(ctx)
		}
	}
}

func (s *Sealer) round(ctx context.Context) {
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
		seen[h.Head.Incarnation] = true
		if !s.goneLong(h.Head) {
			continue
		}
		if err := s.seal(ctx, i.Name, h); err != nil {
			s.options.Log.Warn("usage segment not sealed", zap.String("segment", i.Name), zap.Error(err))
		}
	}
	for k := range s.gone {
		if !seen[k] {
			delete(s.gone, k)
		}
	}
}

// goneLong says whether the incarnation has been no member for the grace time.
func (s *Sealer) goneLong(h ChainHead) bool {
	if s.options.Viewer.View().Record.HasMember(h.Host, h.Incarnation) {
		delete(s.gone, h.Incarnation)
		return false
	}
	now := s.options.Clock.Now()
	since, ok := s.gone[h.Incarnation]
	if !ok {
		s.gone[h.Incarnation] = now
		return false
	}
	return now-since >= s.options.Grace
}

// seal freezes the segment and makes it final; of its holders the first by name
// does. What had not reached every holder goes to a segment of its own.
func (s *Sealer) seal(ctx context.Context, name string, h segmentHeader) error {
	found, err := s.options.Archive.Find(ctx, name)
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
		if err := s.keepTail(ctx, h.Head, f.Tail, view.Record.Epoch); err != nil {
			return err
		}
	}
	s.options.Log.Info("usage segment of a lost host sealed", zap.String("segment", name), zap.Uint64("records", f.Records))
	return s.options.Archive.Finish(ctx, replicator.FinishRequest{
		Name: name, Holders: holders, Epoch: view.Record.Epoch, Records: f.Records,
	})
}

// writtenHolders are the members that have records of a segment, sorted. One
// that has none was asked to make the segment and its answer was lost, unless
// nobody has any.
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

// keepTail stores batches in a segment of their own.
func (s *Sealer) keepTail(ctx context.Context, h ChainHead, tail [][]byte, epoch registrar.Epoch) error {
	var b Batch
	if err := cbor.Unmarshal(tail[0], &b); err != nil {
		return eris.Wrap(err, "decode batch")
	}
	if len(b.Records) == 0 {
		return errors.New("batch without records")
	}
	first := b.Records[0].Number
	header, err := encoding.Marshal(segmentHeader{Head: h, First: first})
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
	return w.Seal(ctx, epoch)
}
