package archiver

import (
	"context"
	"errors"
	"os"

	"github.com/cespare/xxhash/v2"
	"github.com/jackdawgate/jackdawgate/framer"
	"github.com/jackdawgate/jackdawgate/persister"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/rotisserie/eris"
)

// errPageFull stops forEachRecord once a page has reached its size.
var errPageFull = errors.New("page full")

// read returns a page of records. From a segment that is not frozen it returns only
// committed records, or those before r.Limit: a reader that sets a limit must have
// established that every holder has the records before it. It requires that mu is not
// held.
func (g *segment) read(r segmenter.ReadRequest) (segmenter.Page, error) {
	g.mu.Lock()
	info, committed := g.info, g.committed
	index, err := g.currentIndex()
	view := &segment{store: g.store, seed: g.seed, info: g.info, index: index}
	g.mu.Unlock()
	if err != nil {
		return segmenter.Page{}, err
	}
	readable := info.Records
	if !info.Frozen {
		readable = committed
	}
	end := readable
	if r.Limit > 0 {
		end = min(info.Records, r.Limit)
	}
	switch {
	case info.Deleted:
		return segmenter.Page{}, view.refusal(segmenter.CodeDeleted, 0)
	case info.Missing:
		return segmenter.Page{}, view.refusal(segmenter.CodeUnknown, 0)
	case r.Limit > info.Records && !info.Damaged:
		return segmenter.Page{}, view.refusal(segmenter.CodeShort, info.Records)
	case r.From >= end && info.Damaged:
		return segmenter.Page{}, view.refusal(segmenter.CodeCorrupt, end)
	case r.From >= end:
		return segmenter.Page{First: r.From, End: true}, nil
	}
	return view.readPage(r, end)
}

// readPage returns the page of records from r.From up to but excluding end. It is
// called on a copy of the segment's description, without the lock. Appends do not change
// the records before end. A concurrent finalization may truncate the file, and Fetch may
// replace it. The read may then return records that were removed, or those of the new
// copy, but none that fails its checksum, which covers its position. If a record is
// corrupt, readPage returns the records before it; the read that starts at that record
// is refused.
func (g *segment) readPage(r segmenter.ReadRequest, end uint64) (segmenter.Page, error) {
	f, err := os.Open(g.store.folder.DataPath(g.info.Name))
	if err != nil {
		return segmenter.Page{}, eris.Wrapf(err, "open segment %q", g.info.Name)
	}
	defer func() { _ = f.Close() }()
	p := segmenter.Page{First: r.From}
	var size int64
	err = g.forEachRecord(f, r.From, end, func(_ uint64, content []byte) error {
		if r.HeadBytes > 0 && len(content) > r.HeadBytes {
			content = content[:r.HeadBytes]
		}
		if len(p.Records) > 0 && size+int64(len(content))+framer.HeaderBytes > r.MaxBytes {
			return errPageFull
		}
		p.Records = append(p.Records, append([]byte(nil), content...))
		size += int64(len(content)) + framer.HeaderBytes
		return nil
	})
	if errors.Is(err, errPageFull) {
		return p, nil
	}
	var refused *segmenter.RefusedError
	if errors.As(err, &refused) && len(p.Records) > 0 {
		return p, nil
	}
	p.End = err == nil && !g.info.Damaged
	return p, err
}

// currentIndex returns the segment's index. That of a final segment is read from its
// state file, since it is not kept in memory.
func (g *segment) currentIndex() ([]framer.IndexEntry, error) {
	if !g.info.Final || g.index != nil || g.info.Deleted || g.info.Records == 0 {
		return g.index, nil
	}
	st, err := g.store.folder.ReadState(g.store.folder.StatePath(g.info.Name))
	return st.Index, err
}

// Verdict is the result of verifying a segment.
type Verdict uint8

const (
	// NotVerified means that nothing is known of the segment: the store is closed or does
	// not have it, it is not final or was deleted, it changed while it was read, or it
	// could not be read.
	NotVerified Verdict = iota
	// Intact means that all records match the checksum.
	Intact
	// Damaged means that they do not, now or when the segment was verified earlier.
	Damaged
)

// Verify reads a final segment at the given rate. If its records do not match its
// checksum, it marks the segment as damaged. A bytesPerSecond of zero or less means no
// limit. When ctx ends, Verify continues without a limit.
func (s *Store) Verify(ctx context.Context, name string, bytesPerSecond int64) (Verdict, error) {
	g, err := s.find(name)
	if err != nil {
		return NotVerified, err
	}
	pace := pacer{bytesPerSecond}
	return g.verify(func(bytes int64) { _ = pace.wait(ctx, bytes) })
}

// verify implements Store.Verify. It calls pace with the size of each record, in
// bytes. It requires that mu is not held.
func (g *segment) verify(pace func(bytes int64)) (Verdict, error) {
	g.mu.Lock()
	info := g.info
	g.mu.Unlock()
	switch {
	case info.Damaged:
		return Damaged, nil
	case !info.Final || info.Deleted:
		return NotVerified, nil
	}
	matches, err := g.matchesChecksum(info, pace)
	if err != nil {
		return NotVerified, err
	}
	if matches {
		return Intact, nil
	}
	return g.markDamaged(info)
}

// matchesChecksum reads the records of a final segment and reports whether they match its
// checksum.
func (g *segment) matchesChecksum(info segmenter.Info, pace func(bytes int64)) (bool, error) {
	f, err := os.Open(g.store.folder.DataPath(info.Name))
	if err != nil {
		return false, eris.Wrapf(err, "open segment %q", info.Name)
	}
	defer func() { _ = f.Close() }()
	digest, sc := xxhash.New(), &framer.Scanner{File: f, Seed: g.seed}
	for sc.Sequence < info.Records {
		content, _, size, err := sc.Next()
		if err != nil {
			return false, eris.Wrapf(err, "read segment %q", info.Name)
		}
		if content == nil {
			break
		}
		framer.AddToChecksum(digest, content)
		pace(size)
	}
	return sc.Sequence == info.Records && digest.Sum64() == info.Checksum, nil
}

// markDamaged marks the segment as damaged, unless it was changed since info was read.
func (g *segment) markDamaged(info segmenter.Info) (Verdict, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.info.Checksum != info.Checksum || g.info.Deleted {
		return NotVerified, nil
	}
	index, err := g.currentIndex()
	if err != nil {
		return Damaged, err
	}
	g.info.Damaged = true
	add(g.store.metrics.damage, 1)
	return Damaged, g.store.folder.WriteState(persister.State{Info: g.info, Index: index})
}
