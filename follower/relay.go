package follower

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
)

// methodChanges asks a host for the changes that it knows after a revision.
const methodChanges messenger.Method = "follower/changes"

const (
	// directReaders is how many hosts of the fleet read the store for all.
	directReaders = 2
	// maxReaderAge is how old a host's confirmation may be for others to learn
	// from it.
	maxReaderAge timer.Millis = 1300
	// recentChanges bounds the changes that are kept for others.
	recentChanges = 1500
)

// Reader is a host that may read the store for others.
type Reader struct {
	Name, Address, DataCentre string
	// Bulk hosts read before others do: they are few and never crowded.
	Bulk bool
	// Age is how old the host's last confirmation is.
	Age timer.Millis
	// Steady is for how long the host has had confirmations without a gap.
	Steady timer.Millis
}

// ChooseReaders picks the hosts that read the store for all others, the same
// ones at all hosts that know the same list.
func ChooseReaders(list []Reader) []Reader {
	fresh := slices.DeleteFunc(slices.Clone(list), func(r Reader) bool { return r.Age > maxReaderAge })
	slices.SortFunc(fresh, func(a, b Reader) int {
		if a.Bulk != b.Bulk {
			if a.Bulk {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	return fresh[:min(len(fresh), directReaders)]
}

// Relay lets hosts learn from one another what the store said.
type Relay struct {
	// Self is the host's name, DataCentre where it is.
	Self, DataCentre string
	Caller           messenger.Caller
	// Candidates lists the hosts that are heard, and this one.
	Candidates func() []Reader
}

// source says whom a host asks.
type source struct {
	// reads says that the host reads the store, for others too.
	reads bool
	// address is where the host is that it asks, empty when none has a young
	// confirmation.
	address string
	// hosts is how many there are.
	hosts int
}

// source picks among the hosts that are heard, without the one at the address to
// avoid.
func (r *Relay) source(avoid string) source {
	if r == nil {
		return source{reads: true}
	}
	list := slices.DeleteFunc(r.Candidates(), func(c Reader) bool { return c.Address == avoid })
	s := source{hosts: len(list)}
	for _, c := range ChooseReaders(list) {
		if c.Name == r.Self {
			return source{reads: true}
		}
		if s.address == "" || c.DataCentre == r.DataCentre {
			s.address = c.Address
		}
	}
	return s
}

// steady says whether another host has had confirmations for so long without a gap.
func (r *Relay) steady(long timer.Millis) bool {
	if r == nil {
		return false
	}
	return slices.ContainsFunc(r.Candidates(), func(c Reader) bool { return c.Name != r.Self && c.Steady >= long })
}

type changesRequest struct {
	_     struct{} `cbor:",toarray"`
	After storer.Revision
}

type changesReply struct {
	_ struct{} `cbor:",toarray"`
	// Gone says that changes after the revision are not known here.
	Gone    bool
	Current storer.Revision
	// Age is how long before this answer the store confirmed Current.
	Age     timer.Millis
	Changes []changeMessage
}

type changeMessage struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision storer.Revision
	Deleted  bool
}

var errNotKept = errors.New("the host that was asked does not know so old a revision")

// ask asks another host. age is how long before its answer the store confirmed
// what it says.
func (r *Relay) ask(ctx context.Context, address string, after storer.Revision) (storer.Changes, timer.Millis, error) {
	body, err := cbor.Marshal(changesRequest{After: after})
	if err != nil {
		return storer.Changes{}, 0, eris.Wrap(err, "encode question")
	}
	var m changesReply
	err = r.Caller.Call(ctx, address, methodChanges, body, func(frame []byte) error { return cbor.Unmarshal(frame, &m) })
	if err != nil {
		return storer.Changes{}, 0, err
	}
	if m.Gone {
		return storer.Changes{}, 0, errNotKept
	}
	c := storer.Changes{Current: m.Current}
	for _, v := range m.Changes {
		c.List = append(c.List, storer.Change{Item: storer.Item{Key: v.Key, Value: v.Value, Revision: v.Revision}, Deleted: v.Deleted})
	}
	return c, m.Age, nil
}

// memory is what a host keeps of the store's changes for others.
type memory struct {
	mu sync.Mutex
	// changes are those after floor, in order; current is the last revision that
	// is known, confirmed when the question was sent that told so.
	changes        []storer.Change
	floor, current storer.Revision
	confirmed      timer.Millis
}

// restart forgets all before a revision.
func (m *memory) restart(at storer.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changes, m.floor, m.current, m.confirmed = nil, at, at, 0
}

func (m *memory) add(c storer.Changes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, v := range c.List {
		if v.Revision > m.current {
			m.changes = append(m.changes, v)
		}
	}
	m.current = max(m.current, c.Current)
	if extra := len(m.changes) - recentChanges; extra > 0 {
		m.floor = m.changes[extra-1].Revision
		m.changes = slices.Clone(m.changes[extra:])
	}
}

func (m *memory) confirm(at timer.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmed = max(m.confirmed, at)
}

// answer returns what is known after a revision.
func (m *memory) answer(after storer.Revision, now timer.Millis) changesReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.confirmed == 0 || after < m.floor {
		return changesReply{Gone: true}
	}
	r := changesReply{Current: m.current, Age: now - m.confirmed}
	for _, c := range m.changes {
		if c.Revision > after {
			r.Changes = append(r.Changes, changeMessage{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
		}
	}
	return r
}

// Serve registers the handler by which other hosts learn from this one.
func (f *Follower) Serve(to messenger.Registry) {
	to.Handle(methodChanges, func(_ context.Context, _ messenger.Peer, body []byte, send func([]byte) error) error {
		var m changesRequest
		if err := cbor.Unmarshal(body, &m); err != nil {
			return eris.Wrap(err, "decode question")
		}
		frame, err := cbor.Marshal(f.memory.answer(m.After, f.options.Clock.Now()))
		if err != nil {
			return eris.Wrap(err, "encode changes")
		}
		return send(frame)
	})
}
