package enroller

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/storer"
)

// entry describes a host's entry in the store. The zero value stands for no entry.
type entry struct {
	revision storer.Revision
	// incarnation and address are those of the process that wrote the entry, or empty if
	// its value cannot be decoded.
	incarnation, address string
}

// entryOf returns the description of an item of the store.
func entryOf(i storer.Item) entry {
	var m cataloger.Member
	if i.Revision == 0 || cbor.Unmarshal(i.Value, &m) != nil {
		return entry{revision: i.Revision}
	}
	return entry{revision: i.Revision, incarnation: m.Incarnation, address: m.PeerAddress}
}

// findItem returns the item with a key, and false if list has none.
func findItem(list []storer.Item, key string) (storer.Item, bool) {
	for _, i := range list {
		if i.Key == key {
			return i, true
		}
	}
	return storer.Item{}, false
}

// observation is what a Snapshot has of an entry.
type observation struct {
	entry entry
	// at is a revision of the store up to which the Snapshot has all changes.
	at storer.Revision
}

func observe(s cataloger.Snapshot, name string) observation {
	m := s.Members[name]
	return observation{
		entry: entry{revision: storer.Revision(m.Revision), incarnation: m.Incarnation, address: m.PeerAddress},
		at:    storer.Revision(s.Revision),
	}
}

// record is what a process knows of its host's entry.
type record struct {
	// entry is the newest entry that is known, from this process's writes, from conflicts
	// and from what was observed.
	entry entry
	// observed is the entry of the last observation that was not older than entry.
	observed entry
	// enrolled is set once the entry has named this process.
	enrolled bool
}

// adopt takes over an observation that tells something new, and reports whether it did. An
// observation may be older than what is known: the Snapshot follows the store with a delay,
// after an outage of the store it keeps an entry that is gone for some seconds, and it has
// no entry whose value could never be decoded. resting reports whether nothing is to be
// written. Otherwise the next write finds out, by a conflict, what an observation that did
// not change leaves open.
func (r *record) adopt(o observation, resting bool) bool {
	known, before := r.entry.revision, r.observed
	if o.at < known {
		return false
	}
	r.observed = o.entry
	if o.entry.revision == known || (!resting && o.entry == before) {
		return false
	}
	r.entry = o.entry
	return true
}

// isSuperseded reports whether the entry names a later process of the host, which may be
// running: at an address at which this process receives calls, no other one runs. Every
// process writes its entry once whatever the entry says, since the clocks by which
// incarnations are named may differ.
func (r *record) isSuperseded(self cataloger.Member) bool {
	return r.enrolled && r.entry.incarnation > self.Incarnation && r.entry.address != self.PeerAddress
}
