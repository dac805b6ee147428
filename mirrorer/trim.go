package mirrorer

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/framer"
	"github.com/rotisserie/eris"
)

// Trim removes the entries up to and including index. Whatever fails, and whenever
// power is lost, the file is either the old one or the complete new one.
func (l *Log) Trim(index uint64) error {
	if index <= l.base || index > l.Last() {
		return nil
	}
	from := l.end
	if index < l.Last() {
		from = l.locate(index + 1).offset
	}
	return l.rewrite(header{Base: index, Term: l.TermAt(index)}, from)
}

// ResetTo removes all entries and sets the base to index, whose entry has term t.
func (l *Log) ResetTo(index uint64, t Term) error {
	return l.rewrite(header{Base: index, Term: t}, l.end)
}

// rewrite writes a new file from the header h and the part of the log from offset
// from on, and renames it over the old file.
func (l *Log) rewrite(h header, from int64) error {
	content, err := cbor.Marshal(h)
	if err != nil {
		return eris.Wrap(err, "encode log header")
	}
	headerRecord := framer.AppendRecord(nil, l.seed, 0, 0, content)
	f, err := l.copyTo(l.path+".new", headerRecord, from)
	if err != nil {
		return err
	}
	if err := os.Rename(l.path+".new", l.path); err != nil {
		return errors.Join(eris.Wrap(err, "rename trimmed log over the old one"), f.Close())
	}
	err = errors.Join(syncDir(filepath.Dir(l.path)), l.file.Close())
	shift := int64(len(headerRecord)) - from
	kept := l.locations[:0]
	for _, m := range l.locations {
		if m.offset >= from {
			kept = append(kept, location{term: m.term, offset: m.offset + shift, size: m.size})
		}
	}
	l.file, l.base, l.baseTerm, l.locations, l.end = f, h.Base, h.Term, kept, l.end+shift
	return err
}

// copyTo creates a file with headerRecord followed by the part of the log from offset from
// on, and syncs it.
func (l *Log) copyTo(path string, headerRecord []byte, from int64) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "create file for trimmed log")
	}
	_, err = f.Write(headerRecord)
	if err == nil {
		_, err = io.Copy(f, io.NewSectionReader(l.file, from, l.end-from))
	}
	if err == nil {
		err = f.Sync()
	}
	if err != nil {
		return nil, errors.Join(eris.Wrap(err, "write trimmed log"), f.Close(), os.Remove(path))
	}
	return f, nil
}

// syncDir makes a rename in folder durable.
func syncDir(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return eris.Wrap(err, "open directory")
	}
	return eris.Wrap(errors.Join(d.Sync(), d.Close()), "sync directory")
}
