package controller

import (
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/storer"
)

// maxHistory is how many of the newest records are retained as bases for deltas.
const maxHistory = 8

// recordCache caches the decoded record of the store and the encoded replies to
// peers, so that an unchanged record is neither decoded nor encoded again. It
// also retains recent records, so that peers are sent a delta instead of the
// whole record. It is safe for concurrent use.
type recordCache struct {
	mu sync.Mutex
	// stored is the record that was read from the store at storedVersion.
	storedVersion storer.Version
	stored        registrar.Record
	// history has the newest records that were in force on this host, oldest first.
	history []registrar.Record
	// replies has the encoded replies for the newest record, by the version that
	// the requesting peer holds.
	replies map[registrar.Version][]byte
}

// decode returns the record in v. It decodes v only if its version differs from
// that of the cached one.
func (r *recordCache) decode(v storer.Value) (registrar.Record, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.Version == r.storedVersion {
		return r.stored, nil
	}
	record, err := registrar.Decode(v.Data)
	if err != nil {
		return registrar.Record{}, err
	}
	r.storedVersion, r.stored = v.Version, record
	return record, nil
}

// add appends record, which is now in force, to the history, and drops the
// replies for the record before it.
func (r *recordCache) add(record registrar.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.history) > 0 && r.history[len(r.history)-1].Version == record.Version {
		return
	}
	r.history = append(slices.Clone(r.history), record)
	r.history = r.history[max(0, len(r.history)-maxHistory):]
	r.replies = make(map[registrar.Version][]byte)
}

// reply returns the encoded reply to a host that holds version.
func (r *recordCache) reply(version registrar.Version) ([]byte, error) {
	r.mu.Lock()
	history, b := r.history, r.replies[version]
	r.mu.Unlock()
	if b != nil {
		return b, nil
	}
	b, err := encodeReport(history, version)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if history[len(history)-1].Version == r.history[len(r.history)-1].Version {
		r.replies[version] = b
	}
	return b, nil
}

// encodeReport encodes the reply to a host that holds version: a delta if that
// version is in history, which must not be empty, otherwise the whole record.
func encodeReport(history []registrar.Record, version registrar.Version) ([]byte, error) {
	newest := history[len(history)-1]
	i := slices.IndexFunc(history, func(r registrar.Record) bool { return r.Version == version })
	if i >= 0 {
		d := newest.DeltaFrom(history[i])
		return cbor.Marshal(coordinator.RecordResponse{Delta: &d})
	}
	encoded, err := newest.Encode()
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(coordinator.RecordResponse{Encoded: encoded})
}
