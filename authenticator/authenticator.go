// Package authenticator maps a caller's key to its workspace, and detects keys in
// data that must not contain any.
//
// Only the SHA-256 hashes of keys are stored. A presented key is hashed, looked up
// by its hash and compared in constant time, so that neither the duration of a
// check nor any stored data reveals a part of a key. Each check uses the current
// snapshot of the record: a key is refused as soon as the snapshot no longer
// contains it.
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"sync"
	"sync/atomic"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/registrar"
)

// Identity is the result of a successful check of a key. It contains the hash of
// the key, not the key.
type Identity struct {
	KeyID     string
	Workspace string
	hash      [sha256.Size]byte
}

// Authenticator checks keys. It is safe for concurrent use.
type Authenticator struct {
	viewer coordinator.Viewer
	latest atomic.Pointer[index]

	// buildMu serializes building the index of a new version.
	buildMu sync.Mutex
}

// index maps the hashes of the keys in one version of the record to the keys. It is
// built once for each version, so that the cost of a check is independent of the
// number of workspaces.
type index struct {
	version registrar.Version
	keys    map[[sha256.Size]byte]registrar.Key
}

// New returns an Authenticator for the keys in the viewer's record.
func New(v coordinator.Viewer) *Authenticator {
	return &Authenticator{viewer: v}
}

// Check returns the identity of key, and false if the record has no such key.
func (a *Authenticator) Check(key []byte) (Identity, bool) {
	if len(key) == 0 {
		return Identity{}, false
	}
	hash := sha256.Sum256(key)
	k, ok := a.index().lookup(hash)
	if !ok {
		return Identity{}, false
	}
	return Identity{KeyID: k.ID, Workspace: k.Workspace, hash: hash}, true
}

// Valid reports whether the record still has the key of i, for the same workspace.
// The zero Identity, which belongs to a call without a key, is always valid.
func (a *Authenticator) Valid(i Identity) bool {
	if i.KeyID == "" {
		return true
	}
	k, ok := a.index().lookup(i.hash)
	return ok && k.ID == i.KeyID && k.Workspace == i.Workspace
}

// Version returns the version of the record that checks use now.
func (a *Authenticator) Version() registrar.Version { return a.viewer.View().Record.Version }

// lookup returns the key with this hash.
func (x *index) lookup(hash [sha256.Size]byte) (registrar.Key, bool) {
	k, ok := x.keys[hash]
	if !ok || subtle.ConstantTimeCompare(k.Hash, hash[:]) != 1 {
		return registrar.Key{}, false
	}
	return k, true
}

// index returns the index of the current record, or of a later version that another
// goroutine has built in the meantime.
func (a *Authenticator) index() *index {
	r := a.viewer.View().Record
	if x := a.latest.Load(); x != nil && x.version == r.Version {
		return x
	}
	a.buildMu.Lock()
	defer a.buildMu.Unlock()
	if x := a.latest.Load(); x != nil && x.version >= r.Version {
		return x
	}
	x := buildIndex(r)
	a.latest.Store(x)
	return x
}

// buildIndex returns the index of r. It omits keys whose hash has the wrong length.
func buildIndex(r registrar.Record) *index {
	x := &index{version: r.Version, keys: make(map[[sha256.Size]byte]registrar.Key, len(r.Keys))}
	for _, k := range r.Keys {
		if len(k.Hash) == sha256.Size {
			x.keys[[sha256.Size]byte(k.Hash)] = k
		}
	}
	return x
}
