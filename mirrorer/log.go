package mirrorer

import (
	"fmt"
	"os"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/framer"
	"github.com/rotisserie/eris"
)

// Term identifies one session of an owner. No two sessions have the same Term, and
// within a session an index identifies exactly one entry.
type Term struct {
	_           struct{} `cbor:",toarray"`
	Epoch       uint64
	Incarnation string
}

// Entry is an entry of a group's log.
type Entry struct {
	_    struct{} `cbor:",toarray"`
	Term Term
	// Data is the proposed data; it is empty for the entries with which a session begins
	// and records that it serves.
	Data []byte
}

// MaxDataBytes is the maximum length of the data of an entry. The rest of a record is for
// the entry's term.
const MaxDataBytes = framer.MaxRecordBytes - 4<<10

// TooLongError reports that an entry exceeds the length that can be read again. Nothing
// was written.
type TooLongError struct{ Bytes, MaxBytes int }

func (e *TooLongError) Error() string {
	return fmt.Sprintf("entry of %d bytes exceeds the %d bytes of a log entry", e.Bytes, e.MaxBytes)
}

// location is the position of an entry in the log file, with the entry's term.
type location struct {
	term   Term
	offset int64
	size   int64
}

// Log is the log of one group, stored in a file. Entries are numbered from one;
// those up to and including the base have been removed. A Log is not safe for
// concurrent use.
type Log struct {
	file *os.File
	path string
	seed uint64
	// base is the index of the last removed entry, and baseTerm its term.
	base     uint64
	baseTerm Term
	// locations[i] is that of entry base+i+1; end is the offset of the next entry.
	locations []location
	end       int64
}

// header is record zero of the file of a log that was trimmed or reset.
type header struct {
	_    struct{} `cbor:",toarray"`
	Base uint64
	Term Term
}

// OpenLog opens or creates the log at path. An incomplete tail, which a power loss
// leaves of entries that were not synced, is truncated.
func OpenLog(path, name string) (*Log, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}
	l := &Log{file: f, path: path, seed: framer.Seed(name)}
	if err := l.scan(); err != nil {
		_ = f.Close()
		return nil, err
	}
	return l, nil
}

func (l *Log) scan() error {
	start, err := l.readHeader()
	if err != nil {
		return err
	}
	s := framer.Scanner{File: l.file, Seed: l.seed, Sequence: l.base + 1, Offset: start}
	for {
		offset := s.Offset
		content, _, size, err := s.Next()
		if err != nil {
			return eris.Wrap(err, "read log")
		}
		var e Entry
		if content == nil || cbor.Unmarshal(content, &e) != nil {
			l.end = offset
			return eris.Wrap(l.file.Truncate(l.end), "truncate incomplete tail of log")
		}
		l.locations = append(l.locations, location{term: e.Term, offset: offset, size: size})
	}
}

// readHeader reads the header, if there is one, and returns the offset of the first
// entry.
func (l *Log) readHeader() (int64, error) {
	s := framer.Scanner{File: l.file, Seed: l.seed}
	content, _, size, err := s.Next()
	if err != nil {
		return 0, eris.Wrap(err, "read log header")
	}
	var h header
	if content == nil || cbor.Unmarshal(content, &h) != nil {
		return 0, nil
	}
	l.base, l.baseTerm = h.Base, h.Term
	return size, nil
}

// Close closes the file.
func (l *Log) Close() error { return eris.Wrap(l.file.Close(), "close log") }

// Last returns the index of the last entry, or zero if there has been none.
func (l *Log) Last() uint64 { return l.base + uint64(len(l.locations)) }

// Base returns the index of the last removed entry, or zero if none was removed.
func (l *Log) Base() uint64 { return l.base }

// Bytes returns the size of the log file.
func (l *Log) Bytes() int64 { return l.end }

// TermAt returns the term of the entry at index, which is the base or later. It
// returns the zero Term for index zero and for entries that are not in the log.
func (l *Log) TermAt(index uint64) Term {
	switch {
	case index == l.base:
		return l.baseTerm
	case index < l.base || index > l.Last():
		return Term{}
	}
	return l.locate(index).term
}

// locate returns the location of the entry at index, which must exist.
func (l *Log) locate(index uint64) location { return l.locations[index-l.base-1] }

// FirstOfTerm returns the index of the first entry of the log that has the same
// term as the entry at index.
func (l *Log) FirstOfTerm(index uint64) uint64 {
	for index > l.base+1 && l.TermAt(index-1) == l.TermAt(index) {
		index--
	}
	return index
}

// Append appends entries and returns once they are synced to the disk. After a
// *TooLongError none of them was written.
func (l *Log) Append(entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	var buf []byte
	var added []location
	first := l.Last() + 1
	for i, e := range entries {
		content, err := cbor.Marshal(e)
		if err != nil {
			return eris.Wrap(err, "encode entry")
		}
		if len(content) > framer.MaxRecordBytes {
			return &TooLongError{Bytes: len(content), MaxBytes: framer.MaxRecordBytes}
		}
		before := len(buf)
		buf = framer.AppendRecord(buf, l.seed, first+uint64(i), first, content)
		added = append(added, location{term: e.Term, offset: l.end + int64(before), size: int64(len(buf) - before)})
	}
	if _, err := l.file.WriteAt(buf, l.end); err != nil {
		return eris.Wrap(err, "write log")
	}
	if err := l.file.Sync(); err != nil {
		return eris.Wrap(err, "sync log")
	}
	l.locations = append(l.locations, added...)
	l.end += int64(len(buf))
	return nil
}

// Truncate removes all entries after index. It does nothing if index is before the
// base.
func (l *Log) Truncate(index uint64) error {
	if index >= l.Last() || index < l.base {
		return nil
	}
	l.end = l.locate(index + 1).offset
	l.locations = l.locations[:index-l.base]
	return eris.Wrap(l.file.Truncate(l.end), "truncate log")
}

// Read returns the entries from index on, as many as fit into maxBytes but at least
// one if it exists.
func (l *Log) Read(index uint64, maxBytes int64) ([]Entry, error) {
	var out []Entry
	if index <= l.base || index > l.Last() {
		return nil, nil
	}
	s := framer.Scanner{File: l.file, Seed: l.seed, Sequence: index, Offset: l.locate(index).offset}
	for total := int64(0); index <= l.Last(); index++ {
		size := l.locate(index).size
		if total += size; total > maxBytes && len(out) > 0 {
			return out, nil
		}
		content, _, _, err := s.Next()
		if err != nil {
			return nil, eris.Wrap(err, "read log")
		}
		if content == nil {
			return nil, eris.Errorf("log entry %d cannot be read", index)
		}
		var e Entry
		if err := cbor.Unmarshal(content, &e); err != nil {
			return nil, eris.Wrap(err, "decode entry")
		}
		out = append(out, e)
	}
	return out, nil
}
