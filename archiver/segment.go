package archiver

import (
	"io"
	"os"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/jackdawgate/jackdawgate/framer"
	"github.com/jackdawgate/jackdawgate/persister"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/rotisserie/eris"
)

// maxIncompleteBytes is the maximum size of an incomplete append. An invalid record that
// is further than this from the end of the file counts as damage.
const maxIncompleteBytes = 2*segmenter.MaxAppendBytes + framer.MaxRecordBytes

// segment is one segment of a Store. Except where noted, its methods require that mu
// is held.
type segment struct {
	store *Store
	// seed is the seed of the records' checksums.
	seed uint64

	mu   sync.Mutex
	info segmenter.Info
	// index is the sparse index of the segment's file. It is nil for a final segment,
	// whose index is in its state file.
	index []framer.IndexEntry
	// committed is the number of records that every holder is known to have.
	committed uint64
	// file and digest are set while the segment accepts appends. digest is over all
	// records.
	file   *os.File
	digest *xxhash.Digest
}

func newSegment(s *Store, i segmenter.Info) *segment {
	return &segment{store: s, seed: framer.Seed(i.Name), info: i}
}

// openFile opens the segment's file for appends, creating it if it does not exist, and
// reads it from the start. It truncates an incomplete append at the end. If any other
// record is invalid, it marks the segment as damaged.
func (g *segment) openFile() error {
	f, err := os.OpenFile(g.store.folder.DataPath(g.info.Name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return eris.Wrapf(err, "open segment %q", g.info.Name)
	}
	g.file, g.digest, g.index = f, xxhash.New(), nil
	end, records, err := g.scan(f)
	if err != nil {
		return err
	}
	g.info.Records, g.info.Bytes = records, end
	st, err := f.Stat()
	if err != nil {
		return eris.Wrapf(err, "stat segment %q", g.info.Name)
	}
	if st.Size() == end {
		return nil
	}
	if g.info.Damaged, err = g.damagedAt(f, end, st.Size()); err != nil || g.info.Damaged {
		return err
	}
	return eris.Wrapf(f.Truncate(end), "cut segment %q", g.info.Name)
}

// scan adds the intact records from the start of f to the digest and the index. It
// returns their number and the offset at which they end.
func (g *segment) scan(f io.ReaderAt) (end int64, records uint64, err error) {
	sc := &framer.Scanner{File: f, Seed: g.seed}
	for {
		at := sc.Offset
		content, _, _, err := sc.Next()
		if err != nil {
			return 0, 0, eris.Wrapf(err, "read segment %q", g.info.Name)
		}
		if content == nil {
			return at, sc.Sequence, nil
		}
		g.index = framer.AppendIndexEntry(g.index, sc.Sequence-1, at)
		framer.AddToChecksum(g.digest, content)
	}
}

// damagedAt reports whether the invalid record at offset is damage, as opposed to an
// incomplete append at the end of the file.
func (g *segment) damagedAt(f io.ReaderAt, offset, size int64) (bool, error) {
	if size-offset > maxIncompleteBytes {
		return true, nil
	}
	rest := make([]byte, size-offset)
	if _, err := f.ReadAt(rest, offset); err != nil && err != io.EOF {
		return false, eris.Wrapf(err, "read segment %q", g.info.Name)
	}
	return framer.ContainsLaterAppend(rest, g.seed, g.info.Records), nil
}

// refusal returns a RefusedError with code c.
func (g *segment) refusal(c segmenter.Code, sequence uint64) *segmenter.RefusedError {
	return &segmenter.RefusedError{Code: c, Name: g.info.Name, Epoch: g.info.Epoch, Sequence: sequence}
}

// append appends those records of r that the segment does not have yet. It requires
// that mu is not held.
func (g *segment) append(r segmenter.AppendRequest) (segmenter.Info, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.checkAppend(r); err != nil {
		return g.info, err
	}
	if r.Epoch > g.info.Epoch {
		if err := g.setEpoch(r); err != nil {
			return g.info, err
		}
	}
	repeated := min(g.info.Records-r.First, uint64(len(r.Records)))
	if err := g.checkRepeat(r.First, r.Records[:repeated]); err != nil {
		return g.info, err
	}
	if repeated < uint64(len(r.Records)) {
		if err := g.write(r.Records[repeated:]); err != nil {
			return g.info, err
		}
	}
	g.committed = max(g.committed, min(r.Committed, g.info.Records))
	return g.info, nil
}

// checkAppend returns the reason to refuse r, or nil.
func (g *segment) checkAppend(r segmenter.AppendRequest) error {
	switch {
	case g.info.Deleted:
		return g.refusal(segmenter.CodeDeleted, 0)
	case r.Epoch < g.info.Epoch:
		return g.refusal(segmenter.CodeOldEpoch, g.info.Records)
	case g.info.Frozen:
		return g.refusal(segmenter.CodeFrozen, g.info.Records)
	case g.info.Damaged:
		return g.refusal(segmenter.CodeCorrupt, g.info.Records)
	case g.file == nil:
		return ErrClosed
	case r.First > g.info.Records:
		return g.refusal(segmenter.CodeGap, g.info.Records)
	}
	return nil
}

// setEpoch stores the epoch of r in the state file.
func (g *segment) setEpoch(r segmenter.AppendRequest) error {
	next := g.info
	next.Epoch = r.Epoch
	if err := g.store.folder.WriteState(persister.State{Info: next}); err != nil {
		return err
	}
	g.info = next
	return nil
}

// checkRepeat refuses repeated records that differ from the stored ones. first is the
// sequence of the first of them.
func (g *segment) checkRepeat(first uint64, records [][]byte) error {
	if len(records) == 0 {
		return nil
	}
	i := 0
	return g.forEachRecord(g.file, first, first+uint64(len(records)), func(sequence uint64, content []byte) error {
		if string(content) != string(records[i]) {
			return g.refusal(segmenter.CodeMismatch, sequence)
		}
		i++
		return nil
	})
}

// write appends records. They are on disk when it returns.
func (g *segment) write(records [][]byte) error {
	first := g.info.Records
	size := 0
	for _, r := range records {
		size += framer.HeaderBytes + len(r)
	}
	buf := make([]byte, 0, size)
	index := g.index
	for i, r := range records {
		index = framer.AppendIndexEntry(index, first+uint64(i), g.info.Bytes+int64(len(buf)))
		buf = framer.AppendRecord(buf, g.seed, first+uint64(i), first, r)
	}
	if err := g.writeEnd(buf); err != nil {
		return err
	}
	for _, r := range records {
		framer.AddToChecksum(g.digest, r)
	}
	g.index = index
	g.info.Bytes += int64(len(buf))
	g.info.Records += uint64(len(records))
	add(g.store.metrics.appends, 1)
	add(g.store.metrics.bytes, int64(len(buf)))
	return nil
}

// writeEnd writes buf at the end of the records. If that fails, it truncates the file
// to its earlier size. If that fails too, it marks the segment as damaged, so that
// further appends are refused.
func (g *segment) writeEnd(buf []byte) error {
	_, err := g.file.WriteAt(buf, g.info.Bytes)
	if err == nil {
		err = g.store.folder.Sync(g.file)
	}
	if err == nil {
		return nil
	}
	if truncateErr := g.file.Truncate(g.info.Bytes); truncateErr != nil {
		g.info.Damaged = true
	}
	return eris.Wrapf(err, "write segment %q", g.info.Name)
}

// seal freezes the segment. If r.Final is set, it also finalizes it with r.Records
// records, removing any later ones. It requires that mu is not held.
func (g *segment) seal(r segmenter.SealRequest) (segmenter.Info, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.checkSeal(r); err != nil {
		return g.info, err
	}
	index, err := g.currentIndex()
	if err != nil {
		return g.info, err
	}
	g.index = index
	next := g.info
	next.Epoch, next.Frozen = r.Epoch, true
	if r.Final {
		if err := g.finalize(r.Records, &next); err != nil {
			return g.info, err
		}
		if len(r.Holders) > 0 {
			next.Holders = r.Holders
		}
		if r.Expires > 0 {
			next.Expires = r.Expires
		}
	}
	if err := g.store.folder.WriteState(persister.State{Info: next, Index: g.index}); err != nil {
		return g.info, err
	}
	g.info = next
	g.closeIfFinal()
	return g.info, nil
}

// checkSeal returns the reason to refuse r, or nil.
func (g *segment) checkSeal(r segmenter.SealRequest) error {
	switch {
	case g.info.Deleted:
		return g.refusal(segmenter.CodeDeleted, 0)
	case r.Epoch < g.info.Epoch:
		return g.refusal(segmenter.CodeOldEpoch, g.info.Records)
	case !r.Final:
		return nil
	case g.info.Missing:
		return g.refusal(segmenter.CodeUnknown, 0)
	case r.Records > g.info.Records && g.info.Damaged:
		return g.refusal(segmenter.CodeCorrupt, g.info.Records)
	case r.Records > g.info.Records:
		return g.refusal(segmenter.CodeShort, g.info.Records)
	}
	return nil
}

// finalize truncates the file to its first length records, forces it to the disk, and
// sets the final length and checksum in next. The segment may be final already.
func (g *segment) finalize(length uint64, next *segmenter.Info) error {
	if g.file == nil {
		if g.info.Final && length == g.info.Records {
			return nil
		}
		if !g.info.Final {
			return ErrClosed
		}
		if err := g.openFile(); err != nil {
			return err
		}
	}
	if length < g.info.Records || g.info.Damaged {
		if err := g.truncate(length); err != nil {
			return err
		}
	}
	if err := g.store.folder.Sync(g.file); err != nil {
		return eris.Wrapf(err, "sync segment %q", g.info.Name)
	}
	next.Records, next.Bytes = g.info.Records, g.info.Bytes
	next.Final, next.Checksum, next.Damaged = true, g.digest.Sum64(), false
	return nil
}

// truncate truncates the file to its first length records and reads it again.
func (g *segment) truncate(length uint64) error {
	end, err := g.offsetOf(length)
	if err != nil {
		return err
	}
	if err := g.file.Truncate(end); err != nil {
		return eris.Wrapf(err, "cut segment %q", g.info.Name)
	}
	if err := g.file.Close(); err != nil {
		return eris.Wrapf(err, "close segment %q", g.info.Name)
	}
	return g.openFile()
}

// offsetOf returns the offset in the file, in bytes, of the record with this
// sequence.
func (g *segment) offsetOf(sequence uint64) (int64, error) {
	sc := g.scannerAt(g.file, sequence)
	for sc.Sequence < sequence {
		content, _, _, err := sc.Next()
		if err != nil {
			return 0, eris.Wrapf(err, "read segment %q", g.info.Name)
		}
		if content == nil {
			return 0, g.refusal(segmenter.CodeCorrupt, sc.Sequence)
		}
	}
	return sc.Offset, nil
}

// closeIfFinal closes the file of a final segment and frees the fields that are used
// only while a segment accepts appends.
func (g *segment) closeIfFinal() {
	if !g.info.Final {
		return
	}
	if g.file != nil {
		_ = g.file.Close()
	}
	g.file, g.digest, g.index = nil, nil, nil
}

// scannerAt returns a scanner of f that starts at the last index entry at or before
// sequence.
func (g *segment) scannerAt(f io.ReaderAt, sequence uint64) *framer.Scanner {
	sc := &framer.Scanner{File: f, Seed: g.seed}
	for _, m := range g.index {
		if m.Sequence > sequence {
			break
		}
		sc.Sequence, sc.Offset = m.Sequence, m.Offset
	}
	return sc
}

// forEachRecord calls f with the records from sequence from up to but excluding limit.
// It returns a RefusedError with CodeCorrupt at a record that is invalid. The content
// is valid until f returns.
func (g *segment) forEachRecord(file io.ReaderAt, from, limit uint64, f func(sequence uint64, content []byte) error) error {
	sc := g.scannerAt(file, from)
	for sc.Sequence < limit {
		sequence := sc.Sequence
		content, _, _, err := sc.Next()
		if err != nil {
			return eris.Wrapf(err, "read segment %q", g.info.Name)
		}
		if content == nil {
			return g.refusal(segmenter.CodeCorrupt, sequence)
		}
		if sequence < from {
			continue
		}
		if err := f(sequence, content); err != nil {
			return err
		}
	}
	return nil
}

// close closes the segment's file. It requires that mu is not held.
func (g *segment) close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.file == nil {
		return nil
	}
	err := g.file.Close()
	g.file = nil
	return eris.Wrapf(err, "close segment %q", g.info.Name)
}
