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

// pacer limits the rate of reads and copies. A rate of zero or less means no limit.
type pacer struct {
	bytesPerSecond int64
}

// wait sleeps for the time that bytes take at the rate. It returns early with the
// error of ctx when ctx is done.
func (p pacer) wait(ctx context.Context, bytes int64) error {
	if p.bytesPerSecond <= 0 {
		return ctx.Err()
	}
	if timer.SleepDuration(ctx, time.Duration(bytes)*time.Second/time.Duration(p.bytesPerSecond)) {
		return nil
	}
	return ctx.Err()
}

// Fetch copies a final segment from the holder at q.Source. The copy replaces a
// local one with other content, unless that has a later epoch or is marked as deleted;
// Fetch refuses these. If the store already has the same records, Fetch only updates
// the epoch and the holders.
func (s *Store) Fetch(ctx context.Context, c messenger.Caller, q segmenter.FetchRequest) (segmenter.Info, error) {
	if existing, err := s.existingCopy(q); existing.Name != "" || err != nil {
		return existing, err
	}
	path := s.folder.FetchPath(q.Info.Name)
	index, size, err := s.download(ctx, c, q, path)
	if err != nil {
		_ = os.Remove(path)
		return segmenter.Info{}, err
	}
	return s.install(q.Info, index, size, path)
}

// existingCopy returns the description of the local copy if it has the same records
// as the requested one, after updating its epoch and holders. It returns an empty Info
// if the segment is to be fetched, and an error if the request is refused.
func (s *Store) existingCopy(q segmenter.FetchRequest) (segmenter.Info, error) {
	if len(q.Info.Name) > segmenter.MaxNameBytes || !namePattern.MatchString(q.Info.Name) || !q.Info.Complete() {
		return segmenter.Info{}, &segmenter.RefusedError{Code: segmenter.CodeInvalid, Name: q.Info.Name}
	}
	g, err := s.find(q.Info.Name)
	if segmenter.HasCode(err, segmenter.CodeUnknown) {
		return segmenter.Info{}, nil
	}
	if err != nil {
		return segmenter.Info{}, err
	}
	local := g.snapshot()
	switch {
	case local.Deleted:
		return segmenter.Info{}, &segmenter.RefusedError{Code: segmenter.CodeDeleted, Name: local.Name}
	case local.SameContent(q.Info):
		return s.Seal(segmenter.SealRequest{
			Name: local.Name, Epoch: max(local.Epoch, q.Info.Epoch), Final: true,
			Records: local.Records, Holders: q.Info.Holders,
		})
	case local.Epoch > q.Info.Epoch:
		return segmenter.Info{}, &segmenter.RefusedError{Code: segmenter.CodeOldEpoch, Name: local.Name, Epoch: local.Epoch}
	}
	return segmenter.Info{}, nil
}

// download writes the source's records to a new file at path and verifies the
// segment's checksum. It returns the index and the size of the file.
func (s *Store) download(ctx context.Context, c messenger.Caller, q segmenter.FetchRequest, path string) ([]framer.IndexEntry, int64, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, 0, eris.Wrap(err, "make copy")
	}
	defer func() { _ = f.Close() }()
	out := bufio.NewWriterSize(f, segmenter.PageBytes)
	digest, seed := xxhash.New(), framer.Seed(q.Info.Name)
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
			framer.AddToChecksum(digest, r)
			sequence, size = sequence+1, size+int64(len(buf))
		}
		if err := (pacer{q.BytesPerSecond}).wait(ctx, size-before); err != nil {
			return nil, 0, err
		}
	}
	if digest.Sum64() != q.Info.Checksum {
		return nil, 0, &segmenter.RefusedError{Code: segmenter.CodeCorrupt, Name: q.Info.Name, Sequence: q.Info.Records}
	}
	if err := out.Flush(); err != nil {
		return nil, 0, eris.Wrap(err, "write copy")
	}
	return index, size, eris.Wrap(s.folder.Sync(f), "sync copy")
}

// fetchPage reads one page at the source and checks that it starts at from.
func (s *Store) fetchPage(ctx context.Context, c messenger.Caller, q segmenter.FetchRequest, from uint64) (segmenter.Page, error) {
	a, err := segmenter.Call(ctx, c, q.Source, segmenter.MethodRead, segmenter.ReadRequest{
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

// install moves a verified copy from path to the segment's files. It writes the data
// file before the state file, so that after a crash no state file of the copy is without
// its data; a data file without a state file is removed at the next start. It refuses
// the copy with CodeOldEpoch if the segment has a later epoch or was deleted meanwhile.
func (s *Store) install(i segmenter.Info, index []framer.IndexEntry, size int64, path string) (segmenter.Info, error) {
	// A new segment is missing until its files are in place.
	g := newSegment(s, segmenter.Info{Name: i.Name, Epoch: i.Epoch, Frozen: true, Missing: true})
	inserted, err := s.insert(g)
	if err != nil {
		return segmenter.Info{}, err
	}
	if !inserted {
		if g, err = s.find(i.Name); err != nil {
			return segmenter.Info{}, err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.info.Deleted || g.info.Epoch > i.Epoch {
		_ = os.Remove(path)
		return g.info, g.refusal(segmenter.CodeOldEpoch, g.info.Records)
	}
	if g.file != nil {
		_ = g.file.Close()
		g.file, g.digest = nil, nil
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
