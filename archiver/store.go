package archiver

import (
	"regexp"
	"slices"
	"strings"
	"sync"

	"github.com/jackdawgate/jackdawgate/framer"
	"github.com/jackdawgate/jackdawgate/persister"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
)

// StoreOptions configures a Store.
type StoreOptions struct {
	// Folder is the path of the data folder. Only one process can have it open.
	Folder string
	Sync   persister.SyncPolicy
	// DeletedStateRetention is how long the state of a deleted segment whose Expires
	// is zero is kept, so that it is not copied back from another holder. Zero means
	// 30 days. It also applies to segments that are recorded as missing.
	DeletedStateRetention timer.Millis
	Log                   *zap.Logger
	// Meter creates the metrics. If it is nil, none are recorded.
	Meter metric.Meter
}

const defaultDeletedStateRetention = 30 * 24 * 3600 * timer.Second

// Store stores the segments of one data folder. It is safe for concurrent use.
type Store struct {
	options StoreOptions
	metrics metrics
	folder  *persister.Folder

	mu       sync.Mutex
	segments map[string]*segment
	closed   bool
}

// ErrClosed is returned by the methods of a closed Store.
var ErrClosed = eris.New("store is closed")

var namePattern = regexp.MustCompile(`^[A-Za-z0-9_.-]+(/[A-Za-z0-9_.-]+)*$`)

// Open opens the data folder, creating it if necessary, and recovers its segments.
// It fails if another process has the folder open.
func Open(o StoreOptions) (*Store, error) {
	if o.DeletedStateRetention == 0 {
		o.DeletedStateRetention = defaultDeletedStateRetention
	}
	instruments, err := newMetrics(o.Meter)
	if err != nil {
		return nil, err
	}
	folder, err := persister.Open(o.Folder, o.Sync)
	if err != nil {
		return nil, err
	}
	s := &Store{options: o, metrics: instruments, folder: folder, segments: make(map[string]*segment)}
	if err := s.load(); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// load reads all state files and recovers the segments that were open for appends.
func (s *Store) load() error {
	paths, err := s.folder.StatePaths()
	if err != nil {
		return err
	}
	for _, p := range paths {
		if err := s.loadSegment(p); err != nil {
			return err
		}
	}
	return nil
}

// loadSegment loads the segment with the state file at path. It logs and skips a
// state file that is unreadable.
func (s *Store) loadSegment(path string) error {
	st, err := s.folder.ReadState(path)
	if err != nil {
		s.options.Log.Error("segment state file is unreadable", zap.String("path", path), zap.Error(err))
		return nil
	}
	g := newSegment(s, st.Info)
	if !st.Info.Final && !st.Info.Deleted && !st.Info.Missing {
		if err := g.openFile(); err != nil {
			return err
		}
	}
	s.segments[st.Info.Name] = g
	if g.info.Damaged {
		s.options.Log.Error("segment is damaged", zap.String("segment", g.info.Name), zap.Uint64("record", g.info.Records))
	}
	return nil
}

// Close closes all files and releases the data folder. It waits for appends, seals
// and other calls that have a segment locked.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	var first error
	for _, g := range s.segments {
		if err := g.close(); err != nil && first == nil {
			first = err
		}
	}
	if err := s.folder.Close(); err != nil && first == nil {
		first = err
	}
	return first
}

// find returns the segment called name, or a RefusedError with CodeUnknown.
func (s *Store) find(name string) (*segment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, ErrClosed
	}
	g, ok := s.segments[name]
	if !ok {
		return nil, &segmenter.RefusedError{Code: segmenter.CodeUnknown, Name: name}
	}
	return g, nil
}

// Append appends records to a segment. If r.Create is set, it creates the segment
// first unless it exists.
func (s *Store) Append(r segmenter.AppendRequest) (segmenter.Info, error) {
	if err := validateAppend(r); err != nil {
		return segmenter.Info{}, err
	}
	if r.Create {
		if err := s.create(r); err != nil {
			return segmenter.Info{}, err
		}
	}
	g, err := s.find(r.Name)
	if err != nil {
		return segmenter.Info{}, err
	}
	return g.append(r)
}

// validateAppend checks the parts of an append that do not depend on the segment.
func validateAppend(r segmenter.AppendRequest) error {
	invalid := len(r.Name) > segmenter.MaxNameBytes || !namePattern.MatchString(r.Name) || len(r.Header) > segmenter.MaxHeaderBytes
	size := 0
	for _, c := range r.Records {
		invalid = invalid || len(c) > framer.MaxRecordBytes
		size += len(c) + framer.HeaderBytes
	}
	if invalid || (len(r.Records) > 1 && size > 2*segmenter.MaxAppendBytes) {
		return &segmenter.RefusedError{Code: segmenter.CodeInvalid, Name: r.Name}
	}
	return nil
}

// create creates the segment that r describes unless it exists.
func (s *Store) create(r segmenter.AppendRequest) error {
	return s.put(segmenter.Info{
		Name: r.Name, Header: r.Header, Holders: r.Holders, Epoch: r.Epoch,
		Created: timer.Wall(), Expires: r.Expires,
	})
}

// put creates a segment with state i unless one with its name exists.
func (s *Store) put(i segmenter.Info) error {
	g := newSegment(s, i)
	g.mu.Lock()
	defer g.mu.Unlock()
	if inserted, err := s.insert(g); err != nil || !inserted {
		return err
	}
	err := s.folder.WriteState(persister.State{Info: i})
	if err == nil && !i.Missing {
		// Remove what an earlier segment of this name may have left.
		err = s.folder.Remove(s.folder.DataPath(i.Name))
	}
	if err == nil && !i.Missing {
		err = g.openFile()
	}
	if err != nil {
		s.drop(i.Name)
		// A call that found g before it was dropped waits for g.mu. Make it fail.
		g.info.Frozen, g.info.Missing = true, true
	}
	return err
}

// insert adds g to the map and reports whether it did; it does not replace a segment
// with the same name.
func (s *Store) insert(g *segment) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false, ErrClosed
	}
	if _, ok := s.segments[g.info.Name]; ok {
		return false, nil
	}
	s.segments[g.info.Name] = g
	return true, nil
}

// drop removes the segment from the map. Its files remain.
func (s *Store) drop(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.segments, name)
}

// Seal freezes a segment, and also finalizes it if r.Final is set. A request to freeze a
// segment that the store does not have records it as missing, so that a writer whose
// request arrives late cannot create it any more.
func (s *Store) Seal(r segmenter.SealRequest) (segmenter.Info, error) {
	if len(r.Name) > segmenter.MaxNameBytes || !namePattern.MatchString(r.Name) {
		return segmenter.Info{}, &segmenter.RefusedError{Code: segmenter.CodeInvalid, Name: r.Name}
	}
	if !r.Final {
		missing := segmenter.Info{Name: r.Name, Epoch: r.Epoch, Frozen: true, Missing: true, Created: timer.Wall()}
		missing.Expires = missing.Created + s.options.DeletedStateRetention
		if err := s.put(missing); err != nil {
			return segmenter.Info{}, err
		}
	}
	g, err := s.find(r.Name)
	if err != nil {
		return segmenter.Info{}, err
	}
	return g.seal(r)
}

// Read returns a page of records.
func (s *Store) Read(r segmenter.ReadRequest) (segmenter.Page, error) {
	g, err := s.find(r.Name)
	if err != nil {
		return segmenter.Page{}, err
	}
	return g.read(r)
}

// Info describes the segments called names, in that order. It omits those that the
// store has no state of.
func (s *Store) Info(names []string) ([]segmenter.Info, error) {
	var out []segmenter.Info
	for _, n := range names {
		g, err := s.find(n)
		if eris.Is(err, ErrClosed) {
			return nil, err
		}
		if err == nil {
			out = append(out, g.snapshot())
		}
	}
	return out, nil
}

// snapshot returns the current description of the segment. It requires that mu is not
// held.
func (g *segment) snapshot() segmenter.Info {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.info
}

// List describes the segments that match r, sorted by name. It includes deleted and
// missing ones.
func (s *Store) List(r segmenter.ListRequest) ([]segmenter.Info, error) {
	s.mu.Lock()
	closed := s.closed
	var names []string
	for n := range s.segments {
		if strings.HasPrefix(n, r.Prefix) && n > r.After {
			names = append(names, n)
		}
	}
	s.mu.Unlock()
	if closed {
		return nil, ErrClosed
	}
	slices.Sort(names)
	if r.Limit > 0 && len(names) > r.Limit {
		names = names[:r.Limit]
	}
	return s.Info(names)
}

// Delete removes a segment's records. It keeps the state, marked as deleted, until
// the segment expires.
func (s *Store) Delete(name string) error {
	g, err := s.find(name)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.info
	next.Deleted, next.Frozen, next.Records, next.Bytes = true, true, 0, 0
	if next.Expires == 0 {
		next.Expires = timer.Wall() + s.options.DeletedStateRetention
	}
	if err := s.folder.WriteState(persister.State{Info: next}); err != nil {
		return err
	}
	g.info, g.index = next, nil
	if g.file != nil {
		_ = g.file.Close()
		g.file = nil
	}
	return s.folder.Remove(s.folder.DataPath(name))
}
