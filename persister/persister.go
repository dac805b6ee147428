// Package persister keeps files in a data folder so that a crash at any point
// leaves each state file whole, old or new.
//
// Invariants: one process uses a folder at a time. A state file carries a
// checksum and is replaced whole; with SyncAlways it is on disk, under its name,
// when WriteState returns. A data file without a state file is removed when the
// folder is opened, and so is a copy that was not whole.
package persister

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/jackdawgate/jackdawgate/framer"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/rotisserie/eris"
)

// SyncPolicy says when writes are forced to the disk.
type SyncPolicy uint8

const (
	// SyncAlways forces every append to the disk before it is acknowledged.
	SyncAlways SyncPolicy = iota
	// SyncNever leaves it to the operating system: for tests and measurements.
	SyncNever
)

const (
	dataSuffix  = ".data"
	stateSuffix = ".state"
	fetchSuffix = ".fetch"
)

// State is what a segment's state file has.
type State struct {
	Info  segmenter.Info      `cbor:"1,keyasint"`
	Index []framer.IndexEntry `cbor:"2,keyasint"`
}

// Folder is an open data folder. It is safe for concurrent use, but for one
// segment one call at a time.
type Folder struct {
	path   string
	policy SyncPolicy
	lock   *os.File
}

// Open makes the folder if need be, takes it for this process, and removes what
// a crash left over.
func Open(path string, p SyncPolicy) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, eris.Wrap(err, "make data folder")
	}
	l, err := lock(path)
	if err != nil {
		return nil, err
	}
	d := &Folder{path: path, policy: p, lock: l}
	if err := d.clean(); err != nil {
		_ = d.Close()
		return nil, err
	}
	return d, nil
}

// Close gives the folder back.
func (d *Folder) Close() error { return eris.Wrap(d.lock.Close(), "close lock of data folder") }

// lock takes the folder for this process.
func lock(folder string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(folder, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "open lock of data folder")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, eris.Wrapf(err, "data folder %q is used by another process", folder)
	}
	return f, nil
}

// clean removes partial copies and data files without a state.
func (d *Folder) clean() error {
	partial, err := d.withSuffix(fetchSuffix)
	if err != nil {
		return err
	}
	for _, p := range partial {
		if err := os.Remove(p); err != nil {
			return eris.Wrap(err, "remove partial copy")
		}
	}
	return d.removeOrphans()
}

// removeOrphans removes data files of which no state was written.
func (d *Folder) removeOrphans() error {
	paths, err := d.withSuffix(dataSuffix)
	if err != nil {
		return err
	}
	for _, p := range paths {
		state := strings.TrimSuffix(p, dataSuffix) + stateSuffix
		if _, err := os.Stat(state); !os.IsNotExist(err) {
			continue
		}
		if err := d.Remove(p); err != nil {
			return err
		}
	}
	return nil
}

// StatePaths are all state files.
func (d *Folder) StatePaths() ([]string, error) { return d.withSuffix(stateSuffix) }

// withSuffix lists the files whose name ends so.
func (d *Folder) withSuffix(suffix string) ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, eris.Wrap(err, "read data folder")
	}
	var out []string
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), suffix) {
			out = append(out, filepath.Join(d.path, e.Name()))
		}
	}
	return out, nil
}

// Remove removes a file, if it is there.
func (d *Folder) Remove(path string) error {
	if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
		return eris.Wrapf(err, "remove %s", filepath.Base(path))
	}
	return nil
}

func (d *Folder) file(name, suffix string) string {
	return filepath.Join(d.path, strings.ReplaceAll(name, "/", "+")+suffix)
}

// DataPath is the file of a segment's records.
func (d *Folder) DataPath(name string) string { return d.file(name, dataSuffix) }

// StatePath is a segment's state file.
func (d *Folder) StatePath(name string) string { return d.file(name, stateSuffix) }

// FetchPath is the file of a copy that is not whole yet.
func (d *Folder) FetchPath(name string) string { return d.file(name, fetchSuffix) }

// Sync forces a file to the disk, as the policy says.
func (d *Folder) Sync(f *os.File) error {
	if d.policy == SyncNever {
		return nil
	}
	return f.Sync()
}

// WriteState replaces a segment's state file; it is on disk when it returns.
func (d *Folder) WriteState(st State) error {
	body, err := segmenter.Encode(st)
	if err != nil {
		return eris.Wrapf(err, "encode state of %q", st.Info.Name)
	}
	body = binary.LittleEndian.AppendUint32(body, framer.Checksum(body))
	path := d.StatePath(st.Info.Name)
	if err := d.writeFile(path+".new", body); err != nil {
		return eris.Wrapf(err, "write state of %q", st.Info.Name)
	}
	return d.Replace(path+".new", path)
}

func (d *Folder) writeFile(path string, body []byte) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = f.Write(body)
	if err == nil {
		err = d.Sync(f)
	}
	if c := f.Close(); err == nil {
		err = c
	}
	return err
}

// Replace renames a file and forces the folder's entry to the disk.
func (d *Folder) Replace(from, to string) error {
	if err := os.Rename(from, to); err != nil {
		return eris.Wrap(err, "replace file")
	}
	if d.policy == SyncNever {
		return nil
	}
	dir, err := os.Open(d.path)
	if err != nil {
		return eris.Wrap(err, "open data folder")
	}
	defer func() { _ = dir.Close() }()
	return eris.Wrap(dir.Sync(), "sync data folder")
}

// ReadState reads a state file and checks it.
func (d *Folder) ReadState(path string) (State, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return State{}, eris.Wrap(err, "read state")
	}
	n := len(body) - 4
	if n < 0 || binary.LittleEndian.Uint32(body[n:]) != framer.Checksum(body[:n]) {
		return State{}, eris.New("state fails its checksum")
	}
	var st State
	return st, eris.Wrap(segmenter.Decode(body[:n], &st), "decode state")
}
