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

// Trim drops the entries up to index, which exists. Whatever fails, and whenever
// power is lost, the file is the old one or the new one.
func (l *Log) Trim(index uint64) error {
	if index <= l.base || index > l.Last() {
		return nil
	}
	from := l.end
	if index < l.Last() {
		from = l.mark(index + 1).offset
	}
	return l.replace(head{Base: index, Term: l.TermAt(index)}, from)
}

// Restart drops all entries; the next one follows index, which is of this term.
func (l *Log) Restart(index uint64, t Term) error {
	return l.replace(head{Base: index, Term: t}, l.end)
}

// replace makes a file of h and what lies from an offset on, and puts it in the
// place of the old one.
func (l *Log) replace(h head, from int64) error {
	content, err := cbor.Marshal(h)
	if err != nil {
		return eris.Wrap(err, "encode head of log")
	}
	begin := framer.AppendRecord(nil, l.seed, 0, 0, content)
	f, err := l.copyTo(l.path+".new", begin, from)
	if err != nil {
		return err
	}
	if err := os.Rename(l.path+".new", l.path); err != nil {
		return errors.Join(eris.Wrap(err, "replace log"), f.Close())
	}
	err = errors.Join(syncFolder(filepath.Dir(l.path)), l.file.Close())
	shift := int64(len(begin)) - from
	kept := l.marks[:0]
	for _, m := range l.marks {
		if m.offset >= from {
			kept = append(kept, mark{term: m.term, offset: m.offset + shift, size: m.size})
		}
	}
	l.file, l.base, l.baseTerm, l.marks, l.end = f, h.Base, h.Term, kept, l.end+shift
	return err
}

// copyTo writes begin and the log from an offset on to a new file, synced.
func (l *Log) copyTo(path string, begin []byte, from int64) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "create log")
	}
	_, err = f.Write(begin)
	if err == nil {
		_, err = io.Copy(f, io.NewSectionReader(l.file, from, l.end-from))
	}
	if err == nil {
		err = f.Sync()
	}
	if err != nil {
		return nil, errors.Join(eris.Wrap(err, "copy log"), f.Close(), os.Remove(path))
	}
	return f, nil
}

// syncFolder makes a rename in folder last.
func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return eris.Wrap(err, "open folder")
	}
	return eris.Wrap(errors.Join(d.Sync(), d.Close()), "sync folder")
}
