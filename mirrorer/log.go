package mirrorer

import (
	"os"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/framer"
	"github.com/rotisserie/eris"
)

// Term names one session of an owner. No two sessions have the same one, and
// within a session an index names one entry.
type Term struct {
	_           struct{} `cbor:",toarray"`
	Epoch       uint64
	Incarnation string
}

// Entry is one entry of a group's log.
type Entry struct {
	_    struct{} `cbor:",toarray"`
	Term Term
	// Data is the caller's; empty for the entry that begins a session.
	Data []byte
}

// mark is where an entry lies in the file.
type mark struct {
	term   Term
	offset int64
	size   int64
}

// Log is one group's log in a file. Entries are numbered from one; those up to
// the base have been dropped. It is used by one goroutine.
type Log struct {
	file *os.File
	path string
	seed uint64
	// base is the last entry that was dropped, and baseTerm its term.
	base     uint64
	baseTerm Term
	// marks[i] is of entry base+i+1; end is where the next entry goes.
	marks []mark
	end   int64
}

// head begins the file of a log that was trimmed, as its record zero.
type head struct {
	_    struct{} `cbor:",toarray"`
	Base uint64
	Term Term
}

// OpenLog opens or creates the log at path. A torn or missing end, which a loss
// of power leaves of what was not synced, is cut off.
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
	start, err := l.readHead()
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
			return eris.Wrap(l.file.Truncate(l.end), "cut log")
		}
		l.marks = append(l.marks, mark{term: e.Term, offset: offset, size: size})
	}
}

// readHead reads what stands before the entries, and returns where these begin.
func (l *Log) readHead() (int64, error) {
	s := framer.Scanner{File: l.file, Seed: l.seed}
	content, _, size, err := s.Next()
	if err != nil {
		return 0, eris.Wrap(err, "read head of log")
	}
	var h head
	if content == nil || cbor.Unmarshal(content, &h) != nil {
		return 0, nil
	}
	l.base, l.baseTerm = h.Base, h.Term
	return size, nil
}

// Close closes the file.
func (l *Log) Close() error { return eris.Wrap(l.file.Close(), "close log") }

// Last returns the index of the last entry, zero when there is none.
func (l *Log) Last() uint64 { return l.base + uint64(len(l.marks)) }

// Base returns the index of the last entry that was dropped, zero when none was.
func (l *Log) Base() uint64 { return l.base }

// Bytes is how long the log is.
func (l *Log) Bytes() int64 { return l.end }

// TermAt returns the term of an entry from the base on; that of index zero is
// the zero Term.
func (l *Log) TermAt(index uint64) Term {
	switch {
	case index == l.base:
		return l.baseTerm
	case index < l.base || index > l.Last():
		return Term{}
	}
	return l.mark(index).term
}

// mark is where the entry at index lies, which must exist.
func (l *Log) mark(index uint64) mark { return l.marks[index-l.base-1] }

// FirstOf returns the first index of the run of entries that have the term of
// the entry at index.
func (l *Log) FirstOf(index uint64) uint64 {
	for index > l.base+1 && l.TermAt(index-1) == l.TermAt(index) {
		index--
	}
	return index
}

// Append adds entries and returns once they are on the disk.
func (l *Log) Append(entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	var buf []byte
	var added []mark
	first := l.Last() + 1
	for i, e := range entries {
		content, err := cbor.Marshal(e)
		if err != nil {
			return eris.Wrap(err, "encode entry")
		}
		before := len(buf)
		buf = framer.AppendRecord(buf, l.seed, first+uint64(i), first, content)
		added = append(added, mark{term: e.Term, offset: l.end + int64(before), size: int64(len(buf) - before)})
	}
	if _, err := l.file.WriteAt(buf, l.end); err != nil {
		return eris.Wrap(err, "write log")
	}
	if err := l.file.Sync(); err != nil {
		return eris.Wrap(err, "sync log")
	}
	l.marks = append(l.marks, added...)
	l.end += int64(len(buf))
	return nil
}

// Truncate removes all entries after index, which is not before the base.
func (l *Log) Truncate(index uint64) error {
	if index >= l.Last() || index < l.base {
		return nil
	}
	l.end = l.mark(index + 1).offset
	l.marks = l.marks[:index-l.base]
	return eris.Wrap(l.file.Truncate(l.end), "cut log")
}

// Read returns entries from index on, at least one if it exists and as many as
// fit into most bytes.
func (l *Log) Read(index uint64, most int64) ([]Entry, error) {
	var out []Entry
	if index <= l.base || index > l.Last() {
		return nil, nil
	}
	s := framer.Scanner{File: l.file, Seed: l.seed, Sequence: index, Offset: l.mark(index).offset}
	for total := int64(0); index <= l.Last(); index++ {
		size := l.mark(index).size
		if total += size; total > most && len(out) > 0 {
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
