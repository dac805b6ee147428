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
	// Folder is the data folder. One process uses it at a time.
	Folder string
	Sync   persister.SyncPolicy
	// TombstoneKeep is how long a deleted segment that never expires stays
	// known, so that no copy of it returns.
	TombstoneKeep timer.Millis
	Log           *zap.Logger
	// Meter takes the metrics; nil keeps none.
	Meter metric.Meter
}

const defaultTombstoneKeep = 30 * 24 * 3600 * timer.Second

// Store has the segments of one data folder. It is safe for concurrent use.
type Store struct {
	options StoreOptions
	metrics metrics
	folder  *persister.Folder

	mu       sync.Mutex
	segments map[string]*segment
	closed   bool
}

// ErrClosed is what a closed Store answers.
var ErrClosed = eris.New("store is closed")

var validName = regexp.MustCompile(`^[A-Za-z0-9_.-]+(/[A-Za-z0-9_.-]+)*$`)

// Open opens the folder and recovers its segments.
func Open(o StoreOptions) (*Store, error) {
	if o.TombstoneKeep == 0 {
		o.TombstoneKeep = defaultTombstoneKeep
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

// load reads the state files and recovers the segments that took appends.
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

func (s *Store) loadSegment(path string) error {
	st, err := s.folder.ReadState(path)
	if err != nil {
		s.options.Log.Error("segment state unreadable", zap.String("path", path), zap.Error(err))
		return nil
	}
	g := newSegment(s, st.Info)
	if !st.Info.Final && !st.Info.Deleted && !st.Info.Missing {
		if err := g.recover(); err != nil {
			return err
		}
	}
	s.segments[st.Info.Name] = g
	if g.info.Damaged {
		s.options.Log.Error("segment is damaged", zap.String("segment", g.info.Name), zap.Uint64("record", g.info.Records))
	}
	return nil
}

// Close gives all files back. Calls that are running end first.
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

// Append adds records, or makes the segment first when r.Create is set.
func (s *Store) Append(r segmenter.AppendRequest) (segmenter.Info, error) {
	if err := checkRequest(r); err != nil {
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

func checkRequest(r segmenter.AppendRequest) error {
	bad := len(r.Name) > segmenter.MaxName || !validName.MatchString(r.Name) || len(r.Header) > segmenter.MaxHeader
	size := 0
	for _, c := range r.Records {
		bad = bad || len(c) > framer.MaxRecordBytes
		size += len(c) + framer.HeaderBytes
	}
	if bad || (len(r.Records) > 1 && size > 2*segmenter.MaxAppend) {
		return &segmenter.RefusedError{Code: segmenter.CodeInvalid, Name: r.Name}
	}
	return nil
}

// create makes a segment unless it is there.
func (s *Store) create(r segmenter.AppendRequest) error {
	return s.put(segmenter.Info{
		Name: r.Name, Header: r.Header, Holders: r.Holders, Epoch: r.Epoch,
		Created: timer.Wall(), Expires: r.Expires,
	})
}

// put makes a segment with this state unless it is there.
func (s *Store) put(i segmenter.Info) error {
	g := newSegment(s, i)
	g.mu.Lock()
	defer g.mu.Unlock()
	if fresh, err := s.insert(g); err != nil || !fresh {
		return err
	}
	err := s.folder.WriteState(persister.State{Info: i})
	if err == nil && !i.Missing {
		err = s.folder.Remove(s.folder.DataPath(i.Name))
	}
	if err == nil && !i.Missing {
		err = g.recover()
	}
	if err != nil {
		s.drop(i.Name)
		g.info.Frozen, g.info.Missing = true, true
	}
	return err
}

// insert adds g unless its name is taken.
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

func (s *Store) drop(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.segments, name)
}

// Seal freezes a segment. One that was never here is noted as missing, so that
// a late writer can't make it any more.
func (s *Store) Seal(r segmenter.SealRequest) (segmenter.Info, error) {
	if len(r.Name) > segmenter.MaxName || !validName.MatchString(r.Name) {
		return segmenter.Info{}, &segmenter.RefusedError{Code: segmenter.CodeInvalid, Name: r.Name}
	}
	if !r.Final {
		missing := segmenter.Info{Name: r.Name, Epoch: r.Epoch, Frozen: true, Missing: true, Created: timer.Wall()}
		missing.Expires = missing.Created + s.options.TombstoneKeep
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

// Info describes those of the segments that are known here.
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

func (g *segment) snapshot() segmenter.Info {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.info
}

// List describes segments by name, deleted ones included.
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

// Delete removes a segment's records and remembers that it was deleted.
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
		next.Expires = timer.Wall() + s.options.TombstoneKeep
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
