package follower

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
)

// methodChanges requests the changes after a revision that a host has received.
const methodChanges messenger.Method = "follower/changes"

const (
	// directReaders is how many hosts of the fleet read the store for the others.
	directReaders = 2
	// maxReaderAge is the maximum age of a host's confirmation for others to read
	// from that host.
	maxReaderAge timer.Millis = 1300
	// maxKeptChanges bounds the changes that are kept for other hosts.
	maxKeptChanges = 1500
)

// Reader is a host that may read the store for others.
type Reader struct {
	Name, Address, DataCentre string
	// Bulk hosts are preferred as readers: they are few and never overloaded.
	Bulk bool
	// Age is the age of the host's last confirmation.
	Age timer.Millis
	// ConfirmedFor is for how long the host has been continuously confirmed.
	ConfirmedFor timer.Millis
}

// ChooseReaders picks the hosts that read the store for all others. Hosts that
// pass the same list receive the same result.
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

// Relay reads the changes of the store from other hosts.
type Relay struct {
	// Self is this host's name, DataCentre its data centre.
	Self, DataCentre string
	Caller           messenger.Caller
	// Candidates lists this host and the hosts whose digests it receives.
	Candidates func() []Reader
}

// source is where a host reads changes from.
type source struct {
	// direct reports whether the host reads the store itself, for others too.
	direct bool
	// address is that of the host to read from, empty when none has a fresh
	// confirmation.
	address string
	// hosts is how many candidates there are.
	hosts int
}

// source picks among the candidates, except for those that are avoided since they did not
// answer. If a reader is, this host may be cut off from all of them although it receives their
// digests, which other hosts pass on. It then reads from a host that does not read the store.
func (r *Relay) source(avoided func(address string) bool) source {
	if r == nil {
		return source{direct: true}
	}
	all := r.Candidates()
	list := slices.DeleteFunc(slices.Clone(all), func(c Reader) bool { return c.Name != r.Self && avoided(c.Address) })
	s := source{hosts: len(list)}
	for _, c := range ChooseReaders(list) {
		if c.Name == r.Self {
			return source{direct: true}
		}
		if s.address == "" || c.DataCentre == r.DataCentre {
			s.address = c.Address
		}
	}
	if len(list) < len(all) {
		if c, ok := r.relayingHost(list); ok {
			s.address = c.Address
		}
	}
	return s
}

// relayingHost picks a host with a fresh confirmation that is not among the first to read the
// store, in this data centre if there is one. Hosts pick different ones.
func (r *Relay) relayingHost(list []Reader) (best Reader, ok bool) {
	near := func(c Reader) bool { return c.DataCentre == r.DataCentre }
	for _, c := range list {
		if c.Bulk || c.Name == r.Self || c.Age > maxReaderAge {
			continue
		}
		better := assigner.Score(r.Self, c.Name) > assigner.Score(r.Self, best.Name)
		if !ok || (near(c) && !near(best)) || (near(c) == near(best) && better) {
			best, ok = c, true
		}
	}
	return best, ok
}

// anyConfirmedFor reports whether another host has been continuously confirmed for
// at least the given time.
func (r *Relay) anyConfirmedFor(long timer.Millis) bool {
	if r == nil {
		return false
	}
	return slices.ContainsFunc(r.Candidates(), func(c Reader) bool { return c.Name != r.Self && c.ConfirmedFor >= long })
}

type changesRequest struct {
	_     struct{} `cbor:",toarray"`
	After storer.Revision
}

type changesReply struct {
	_ struct{} `cbor:",toarray"`
	// Gone reports that the changes after the revision are no longer kept.
	Gone    bool
	Current storer.Revision
	// Age is how long before this reply the store confirmed Current.
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

var errRevisionTooOld = errors.New("peer no longer keeps the changes after this revision")

// requestChanges requests the changes after a revision from another host. It also
// returns how long before the reply the store confirmed them.
func (r *Relay) requestChanges(ctx context.Context, address string, after storer.Revision) (storer.Changes, timer.Millis, error) {
	body, err := cbor.Marshal(changesRequest{After: after})
	if err != nil {
		return storer.Changes{}, 0, eris.Wrap(err, "encode request for changes")
	}
	var m changesReply
	err = r.Caller.Call(ctx, address, methodChanges, body, func(frame []byte) error { return cbor.Unmarshal(frame, &m) })
	if err != nil {
		return storer.Changes{}, 0, err
	}
	if m.Gone {
		return storer.Changes{}, 0, errRevisionTooOld
	}
	c := storer.Changes{Current: m.Current}
	for _, v := range m.Changes {
		c.List = append(c.List, storer.Change{Item: storer.Item{Key: v.Key, Value: v.Value, Revision: v.Revision}, Deleted: v.Deleted})
	}
	return c, m.Age, nil
}

// changeLog keeps the most recent changes of the store for other hosts. It is safe
// for concurrent use.
type changeLog struct {
	mu sync.Mutex
	// changes are those after the revision floor, in order. current is the newest
	// known revision; confirmed is when the request was sent whose answer confirmed
	// it.
	changes        []storer.Change
	floor, current storer.Revision
	confirmed      timer.Millis
}

// restart discards all changes up to a revision, which was confirmed at an instant.
func (m *changeLog) restart(at storer.Revision, confirmed timer.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changes, m.floor, m.current, m.confirmed = nil, at, at, confirmed
}

// add adds changes and the instant at which they were confirmed. Both are taken in at once:
// a host that asked in between would get a confirmation without its changes.
func (m *changeLog) add(c storer.Changes, confirmed timer.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmed = max(m.confirmed, confirmed)
	for _, v := range c.List {
		if v.Revision > m.current {
			m.changes = append(m.changes, v)
		}
	}
	m.current = max(m.current, c.Current)
	if extra := len(m.changes) - maxKeptChanges; extra > 0 {
		m.floor = m.changes[extra-1].Revision
		m.changes = slices.Clone(m.changes[extra:])
	}
}

// answer returns the changes after a revision.
func (m *changeLog) answer(after storer.Revision, now timer.Millis) changesReply {
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

// Serve registers the handler that answers other hosts' requests for changes.
func (f *Follower) Serve(to messenger.Registry) {
	to.Handle(methodChanges, func(_ context.Context, _ messenger.Peer, body []byte, send func([]byte) error) error {
		var m changesRequest
		if err := cbor.Unmarshal(body, &m); err != nil {
			return eris.Wrap(err, "decode request for changes")
		}
		frame, err := cbor.Marshal(f.changeLog.answer(m.After, f.options.Clock.Now()))
		if err != nil {
			return eris.Wrap(err, "encode changes")
		}
		return send(frame)
	})
}
