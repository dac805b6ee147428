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

// maxTorn is the longest an incomplete append can be. A bad record with more
// than this behind it is damage.
const maxTorn = 2*segmenter.MaxAppend + framer.MaxRecordBytes

// segment is one segment of a Store.
type segment struct {
	store *Store
	seed  uint64

	mu   sync.Mutex
	info segmenter.Info
	// index is loaded when a final segment is first read.
	index     []framer.IndexEntry
	committed uint64
	// file and sum are set while the segment takes appends.
	file *os.File
	sum  *xxhash.Digest
}

func newSegment(s *Store, i segmenter.Info) *segment {
	return &segment{store: s, seed: framer.Seed(i.Name), info: i}
}

// recover reads the segment's file after a start, cuts an incomplete append
// off and notes damage.
func (g *segment) recover() error {
	f, err := os.OpenFile(g.store.folder.DataPath(g.info.Name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return eris.Wrapf(err, "open segment %q", g.info.Name)
	}
	g.file, g.sum, g.index = f, xxhash.New(), nil
	end, records, err := g.walk(f)
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

// walk sums and indexes the sound records from the start of f.
func (g *segment) walk(f io.ReaderAt) (end int64, records uint64, err error) {
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
		framer.AddToChecksum(g.sum, content)
	}
}

// damagedAt tells damage at offset from an incomplete append at the end.
func (g *segment) damagedAt(f io.ReaderAt, offset, size int64) (bool, error) {
	if size-offset > maxTorn {
		return true, nil
	}
	rest := make([]byte, size-offset)
	if _, err := f.ReadAt(rest, offset); err != nil && err != io.EOF {
		return false, eris.Wrapf(err, "read segment %q", g.info.Name)
	}
	return framer.ContainsLaterAppend(rest, g.seed, g.info.Records), nil
}

// refuse makes the refusal with this code.
func (g *segment) refuse(c segmenter.Code, sequence uint64) *segmenter.RefusedError {
	return &segmenter.RefusedError{Code: c, Name: g.info.Name, Epoch: g.info.Epoch, Sequence: sequence}
}

// append adds the records of r that are new.
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
	known := min(g.info.Records-r.First, uint64(len(r.Records)))
	if err := g.checkRepeat(r.First, r.Records[:known]); err != nil {
		return g.info, err
	}
	if known < uint64(len(r.Records)) {
		if err := g.write(r.Records[known:]); err != nil {
			return g.info, err
		}
	}
	g.committed = max(g.committed, min(r.Committed, g.info.Records))
	return g.info, nil
}

func (g *segment) checkAppend(r segmenter.AppendRequest) error {
	switch {
	case g.info.Deleted:
		return g.refuse(segmenter.CodeDeleted, 0)
	case r.Epoch < g.info.Epoch:
		return g.refuse(segmenter.CodeOldEpoch, g.info.Records)
	case g.info.Frozen:
		return g.refuse(segmenter.CodeFrozen, g.info.Records)
	case g.info.Damaged:
		return g.refuse(segmenter.CodeCorrupt, g.info.Records)
	case g.file == nil:
		return ErrClosed
	case r.First > g.info.Records:
		return g.refuse(segmenter.CodeGap, g.info.Records)
	}
	return nil
}

func (g *segment) setEpoch(r segmenter.AppendRequest) error {
	next := g.info
	next.Epoch = r.Epoch
	if err := g.store.folder.WriteState(persister.State{Info: next}); err != nil {
		return err
	}
	g.info = next
	return nil
}

// checkRepeat compares a repeated append with what is held.
func (g *segment) checkRepeat(first uint64, records [][]byte) error {
	if len(records) == 0 {
		return nil
	}
	i := 0
	return g.each(g.file, first, first+uint64(len(records)), func(sequence uint64, content []byte) error {
		if string(content) != string(records[i]) {
			return g.refuse(segmenter.CodeMismatch, sequence)
		}
		i++
		return nil
	})
}

// write adds records at the end; they are on disk when it returns.
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
	if err := g.writeAt(buf); err != nil {
		return err
	}
	for _, r := range records {
		framer.AddToChecksum(g.sum, r)
	}
	g.index = index
	g.info.Bytes += int64(len(buf))
	g.info.Records += uint64(len(records))
	add(g.store.metrics.appends, 1)
	add(g.store.metrics.bytes, int64(len(buf)))
	return nil
}

// writeAt writes buf behind the records. After a failure the file is cut back;
// if that fails too, the segment takes nothing more.
func (g *segment) writeAt(buf []byte) error {
	_, err := g.file.WriteAt(buf, g.info.Bytes)
	if err == nil {
		err = g.store.folder.Sync(g.file)
	}
	if err == nil {
		return nil
	}
	if cut := g.file.Truncate(g.info.Bytes); cut != nil {
		g.info.Damaged = true
	}
	return eris.Wrapf(err, "write segment %q", g.info.Name)
}

// seal freezes the segment and, with r.Final, sets its last length.
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
		if err := g.cut(r.Records, &next); err != nil {
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

func (g *segment) checkSeal(r segmenter.SealRequest) error {
	switch {
	case g.info.Deleted:
		return g.refuse(segmenter.CodeDeleted, 0)
	case r.Epoch < g.info.Epoch:
		return g.refuse(segmenter.CodeOldEpoch, g.info.Records)
	case !r.Final:
		return nil
	case g.info.Missing:
		return g.refuse(segmenter.CodeUnknown, 0)
	case r.Records > g.info.Records && g.info.Damaged:
		return g.refuse(segmenter.CodeCorrupt, g.info.Records)
	case r.Records > g.info.Records:
		return g.refuse(segmenter.CodeShort, g.info.Records)
	}
	return nil
}

// cut removes the records from sequence on and sums the file.
func (g *segment) cut(records uint64, next *segmenter.Info) error {
	if g.file == nil {
		if g.info.Final && records == g.info.Records {
			return nil
		}
		if !g.info.Final {
			return ErrClosed
		}
		if err := g.recover(); err != nil {
			return err
		}
	}
	if records < g.info.Records || g.info.Damaged {
		if err := g.truncate(records); err != nil {
			return err
		}
	}
	if err := g.store.folder.Sync(g.file); err != nil {
		return eris.Wrapf(err, "sync segment %q", g.info.Name)
	}
	next.Records, next.Bytes = g.info.Records, g.info.Bytes
	next.Final, next.Checksum, next.Damaged = true, g.sum.Sum64(), false
	return nil
}

func (g *segment) truncate(records uint64) error {
	end, err := g.offsetOf(records)
	if err != nil {
		return err
	}
	if err := g.file.Truncate(end); err != nil {
		return eris.Wrapf(err, "cut segment %q", g.info.Name)
	}
	if err := g.file.Close(); err != nil {
		return eris.Wrapf(err, "close segment %q", g.info.Name)
	}
	return g.recover()
}

// offsetOf returns where the record with this sequence begins.
func (g *segment) offsetOf(sequence uint64) (int64, error) {
	sc := g.scannerAt(g.file, sequence)
	for sc.Sequence < sequence {
		content, _, _, err := sc.Next()
		if err != nil {
			return 0, eris.Wrapf(err, "read segment %q", g.info.Name)
		}
		if content == nil {
			return 0, g.refuse(segmenter.CodeCorrupt, sc.Sequence)
		}
	}
	return sc.Offset, nil
}

// closeIfFinal drops what only a segment that takes appends needs.
func (g *segment) closeIfFinal() {
	if !g.info.Final {
		return
	}
	if g.file != nil {
		_ = g.file.Close()
	}
	g.file, g.sum, g.index = nil, nil, nil
}

// scannerAt returns a scanner at the last index entry before sequence.
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

// each passes the records from sequence from up to before limit to f.
func (g *segment) each(file io.ReaderAt, from, limit uint64, f func(sequence uint64, content []byte) error) error {
	sc := g.scannerAt(file, from)
	for sc.Sequence < limit {
		sequence := sc.Sequence
		content, _, _, err := sc.Next()
		if err != nil {
			return eris.Wrapf(err, "read segment %q", g.info.Name)
		}
		if content == nil {
			return g.refuse(segmenter.CodeCorrupt, sequence)
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

// close gives the segment's file back.
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
