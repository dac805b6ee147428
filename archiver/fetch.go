package archiver

import (
	"bufio"
	"context"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jackdawgate/jackdawgate/framer"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/persister"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
)

// pacer spreads work over time. The zero rate does not bound it.
type pacer struct {
	bytesPerSecond int64
}

// spend waits as long as bytes take at the rate.
func (p pacer) spend(ctx context.Context, bytes int64) error {
	if p.bytesPerSecond <= 0 {
		return ctx.Err()
	}
	if timer.SleepDuration(ctx, time.Duration(bytes)*time.Second/time.Duration(p.bytesPerSecond)) {
		return nil
	}
	return ctx.Err()
}

// Fetch copies a final segment from another holder, in place of a copy here
// that is bad or older. A segment deleted here stays deleted.
func (s *Store) Fetch(ctx context.Context, c messenger.Caller, q segmenter.FetchRequest) (segmenter.Info, error) {
	if done, err := s.fetched(q); done.Name != "" || err != nil {
		return done, err
	}
	path := s.folder.FetchPath(q.Info.Name)
	index, size, err := s.download(ctx, c, q, path)
	if err != nil {
		_ = os.Remove(path)
		return segmenter.Info{}, err
	}
	return s.install(q.Info, index, size, path)
}

// fetched returns the copy that is here already.
func (s *Store) fetched(q segmenter.FetchRequest) (segmenter.Info, error) {
	if len(q.Info.Name) > segmenter.MaxName || !validName.MatchString(q.Info.Name) || !q.Info.Whole() {
		return segmenter.Info{}, &segmenter.RefusedError{Code: segmenter.CodeInvalid, Name: q.Info.Name}
	}
	g, err := s.find(q.Info.Name)
	if segmenter.HasCode(err, segmenter.CodeUnknown) {
		return segmenter.Info{}, nil
	}
	if err != nil {
		return segmenter.Info{}, err
	}
	have := g.snapshot()
	switch {
	case have.Deleted:
		return segmenter.Info{}, &segmenter.RefusedError{Code: segmenter.CodeDeleted, Name: have.Name}
	case have.SameContent(q.Info):
		return s.Seal(segmenter.SealRequest{
			Name: have.Name, Epoch: max(have.Epoch, q.Info.Epoch), Final: true,
			Records: have.Records, Holders: q.Info.Holders,
		})
	case have.Epoch > q.Info.Epoch:
		return segmenter.Info{}, &segmenter.RefusedError{Code: segmenter.CodeOldEpoch, Name: have.Name, Epoch: have.Epoch}
	}
	return segmenter.Info{}, nil
}

// download writes the source's records to path and checks them.
func (s *Store) download(ctx context.Context, c messenger.Caller, q segmenter.FetchRequest, path string) ([]framer.IndexEntry, int64, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, 0, eris.Wrap(err, "make copy")
	}
	defer func() { _ = f.Close() }()
	out := bufio.NewWriterSize(f, segmenter.PageBytes)
	sum, seed := xxhash.New(), framer.Seed(q.Info.Name)
	var index []framer.IndexEntry
	var size int64
	for sequence := uint64(0); sequence < q.Info.Records; {
		p, err := s.fetchPage(ctx, c, q, sequence)
		if err != nil {
			return nil, 0, err
		}
		first, before := sequence, size
		for _, r := range p.Records {
			index = framer.AppendIndexEntry(index, sequence, size)
			buf := framer.AppendRecord(nil, seed, sequence, first, r)
			if _, err := out.Write(buf); err != nil {
				return nil, 0, eris.Wrap(err, "write copy")
			}
			framer.AddToChecksum(sum, r)
			sequence, size = sequence+1, size+int64(len(buf))
		}
		if err := (pacer{q.BytesPerSecond}).spend(ctx, size-before); err != nil {
			return nil, 0, err
		}
	}
	if sum.Sum64() != q.Info.Checksum {
		return nil, 0, &segmenter.RefusedError{Code: segmenter.CodeCorrupt, Name: q.Info.Name, Sequence: q.Info.Records}
	}
	if err := out.Flush(); err != nil {
		return nil, 0, eris.Wrap(err, "write copy")
	}
	return index, size, eris.Wrap(s.folder.Sync(f), "sync copy")
}

func (s *Store) fetchPage(ctx context.Context, c messenger.Caller, q segmenter.FetchRequest, from uint64) (segmenter.Page, error) {
	a, err := segmenter.Ask(ctx, c, q.Source, segmenter.MethodRead, segmenter.ReadRequest{
		Name: q.Info.Name, From: from, Limit: q.Info.Records, MaxBytes: segmenter.PageBytes,
	})
	if err != nil {
		return segmenter.Page{}, err
	}
	if a.Page == nil || a.Page.First != from || len(a.Page.Records) == 0 {
		return segmenter.Page{}, eris.Errorf("copy of %q: wrong page at %d", q.Info.Name, from)
	}
	return *a.Page, nil
}

// install puts a checked copy in place. The data goes first: without a state
// it is removed at the next start, and a state never stands without its data.
func (s *Store) install(i segmenter.Info, index []framer.IndexEntry, size int64, path string) (segmenter.Info, error) {
	g := newSegment(s, segmenter.Info{Name: i.Name, Epoch: i.Epoch, Frozen: true, Missing: true})
	fresh, err := s.insert(g)
	if err != nil {
		return segmenter.Info{}, err
	}
	if !fresh {
		if g, err = s.find(i.Name); err != nil {
			return segmenter.Info{}, err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.info.Deleted || g.info.Epoch > i.Epoch {
		_ = os.Remove(path)
		return g.info, g.refuse(segmenter.CodeOldEpoch, g.info.Records)
	}
	if g.file != nil {
		_ = g.file.Close()
		g.file, g.sum = nil, nil
	}
	if err := s.folder.Replace(path, s.folder.DataPath(i.Name)); err != nil {
		return segmenter.Info{}, err
	}
	i.Bytes = size
	if err := s.folder.WriteState(persister.State{Info: i, Index: index}); err != nil {
		return segmenter.Info{}, err
	}
	g.info, g.index = i, nil
	add(s.metrics.copies, 1)
	return g.info, nil
}
