// Package persister manages the files in a data folder. Each segment has a data file
// with its records and a state file. If the process stops at any point, each state
// file has either its old or its new content.
//
// Invariants:
//
//   - Only one process can have a folder open.
//   - A state file includes a checksum and is replaced as a whole. With SyncAlways,
//     both its content and its name are on disk when WriteState returns.
//   - Opening a folder removes data files without a state file and incomplete copies.
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

// SyncPolicy determines when writes are forced to the disk.
type SyncPolicy uint8

const (
	// SyncAlways forces every append to the disk before it is acknowledged.
	SyncAlways SyncPolicy = iota
	// SyncNever leaves the time of writing to the operating system. It is meant for
	// tests and measurements.
	SyncNever
)

const (
	dataSuffix  = ".data"
	stateSuffix = ".state"
	fetchSuffix = ".fetch"
)

// State is the content of a segment's state file. Index is the sparse index of the
// data file.
type State struct {
	Info  segmenter.Info      `cbor:"1,keyasint"`
	Index []framer.IndexEntry `cbor:"2,keyasint"`
}

// Folder is an open data folder. Calls for different segments may be concurrent; calls
// for the same segment may not.
type Folder struct {
	path   string
	policy SyncPolicy
	lock   *os.File
}

// Open creates the folder if it does not exist, locks it for this process, and removes
// incomplete copies and data files without a state file. It fails if another process
// has the folder open.
func Open(path string, p SyncPolicy) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, eris.Wrap(err, "make data folder")
	}
	l, err := lock(path)
	if err != nil {
		return nil, err
	}
	d := &Folder{path: path, policy: p, lock: l}
	if err := d.removeLeftovers(); err != nil {
		_ = d.Close()
		return nil, err
	}
	return d, nil
}

// Close releases the lock of the folder.
func (d *Folder) Close() error { return eris.Wrap(d.lock.Close(), "close lock of data folder") }

// lock locks the folder for this process. The lock is held until the returned file is
// closed or the process ends.
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

// removeLeftovers removes incomplete copies and data files without a state file.
func (d *Folder) removeLeftovers() error {
	partial, err := d.listSuffix(fetchSuffix)
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

// removeOrphans removes data files without a state file.
func (d *Folder) removeOrphans() error {
	paths, err := d.listSuffix(dataSuffix)
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

// StatePaths returns the paths of all state files.
func (d *Folder) StatePaths() ([]string, error) { return d.listSuffix(stateSuffix) }

// listSuffix returns the paths of the files whose names end with suffix.
func (d *Folder) listSuffix(suffix string) ([]string, error) {
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

// Remove removes the file at path if it exists.
func (d *Folder) Remove(path string) error {
	if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
		return eris.Wrapf(err, "remove %s", filepath.Base(path))
	}
	return nil
}

// segmentPath returns the path of a segment's file with this suffix. It replaces the
// slashes in the segment's name, which may not appear in a file name.
func (d *Folder) segmentPath(name, suffix string) string {
	return filepath.Join(d.path, strings.ReplaceAll(name, "/", "+")+suffix)
}

// DataPath returns the path of the file with a segment's records.
func (d *Folder) DataPath(name string) string { return d.segmentPath(name, dataSuffix) }

// StatePath returns the path of a segment's state file.
func (d *Folder) StatePath(name string) string { return d.segmentPath(name, stateSuffix) }

// FetchPath returns the path of the file that a copy of the segment is written to until
// it is complete.
func (d *Folder) FetchPath(name string) string { return d.segmentPath(name, fetchSuffix) }

// Sync forces the content of f to the disk unless the policy is SyncNever.
func (d *Folder) Sync(f *os.File) error {
	if d.policy == SyncNever {
		return nil
	}
	return f.Sync()
}

// WriteState replaces the state file of the segment in st.Info. Unless the policy is
// SyncNever, the new content is on disk when it returns.
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

// writeFile writes body to the file at path and syncs it according to the policy.
func (d *Folder) writeFile(path string, body []byte) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = f.Write(body)
	if err == nil {
		err = d.Sync(f)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Replace renames a file, replacing any file that already has the new name. Unless the
// policy is SyncNever, the new name is on disk when Replace returns.
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

// ReadState reads the state file at path and verifies its checksum.
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
