// Package registrar defines the fleet's record: the members of the fleet and its
// configuration. The platform's store keeps exactly one record for the fleet.
//
// Versions of the record are totally ordered by the store's compare-and-swap. A
// host that has received a version never puts a lower one in force. Epoch counts
// only the versions that changed the members; it is the fencing token of every
// effect. Records are immutable: a change creates a new Record, and the maps of
// a Record are never modified after it was created, so that versions can share
// them.
package registrar

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
)

// RecordKey is the key of the record in the store.
const RecordKey = "jackdawgate/record"

// Version orders records. Epoch orders sets of members.
type (
	Version uint64
	Epoch   uint64
)

// Member is one host of the fleet. Each start of the process is a new incarnation,
// which is a new member: it does not retain the state of the old one.
type Member struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	DataCentre  string `cbor:"3,keyasint" json:"data-centre"`
	// Region groups data centres.
	Region string `cbor:"4,keyasint" json:"region"`
	// PeerAddress accepts connections of other hosts, CallerAddress those of
	// callers.
	PeerAddress   string `cbor:"5,keyasint" json:"peer-address"`
	CallerAddress string `cbor:"6,keyasint" json:"caller-address"`
	// Bulk means that the host has a data folder.
	Bulk bool `cbor:"7,keyasint" json:"bulk"`
	// UsageKey is the public key (Ed25519) that signs this incarnation's usage.
	UsageKey []byte `cbor:"8,keyasint" json:"usage-key"`
}

// Workspace is one tenant, a customer of Owner.
type Workspace struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Owner string `cbor:"2,keyasint" json:"owner"`
	// RatePerSecond and Burst limit requests over all hosts of the fleet.
	RatePerSecond float64 `cbor:"3,keyasint" json:"rate-per-second"`
	Burst         int64   `cbor:"4,keyasint" json:"burst"`
	// Weight is the relative share of tokens that the workspace receives under
	// contention.
	Weight float64 `cbor:"5,keyasint" json:"weight"`
}

// Key is an API key of a workspace. The record has only the SHA-256 of its secret.
type Key struct {
	ID        string `cbor:"1,keyasint" json:"id"`
	Workspace string `cbor:"2,keyasint" json:"workspace"`
	// Hash is the SHA-256 of the complete key as callers send it.
	Hash []byte `cbor:"3,keyasint" json:"hash,omitempty"`
	// CreatedAt is when the key was created, in Unix milliseconds.
	CreatedAt timer.Millis `cbor:"4,keyasint" json:"given"`
}

// Kind distinguishes model engines from plain services.
type Kind string

// Kinds of backend servers.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// BackendServer is one backend server.
type BackendServer struct {
	Name       string `cbor:"1,keyasint" json:"name"`
	Address    string `cbor:"2,keyasint" json:"address"`
	DataCentre string `cbor:"3,keyasint" json:"data-centre"`
	Kind       Kind   `cbor:"4,keyasint" json:"kind"`
	// Models are the models that are loaded from the start; Service is the name of
	// a plain service.
	Models  []string `cbor:"5,keyasint" json:"models"`
	Service string   `cbor:"6,keyasint" json:"service"`
	// Slots is the number of calls that the server runs concurrently.
	Slots int `cbor:"7,keyasint" json:"slots"`
	// EnforcesFencing means that the server refuses an order with an old epoch.
	EnforcesFencing bool `cbor:"8,keyasint" json:"enforces-fencing"`
	// Leaving means that the server is draining: no new work is sent to it.
	Leaving bool `cbor:"9,keyasint" json:"leaving"`
}

// Equal reports whether b and o are equal. It compares the fields one by one
// instead of by reflection, because it runs for each of 10,000 servers.
func (b BackendServer) Equal(o BackendServer) bool {
	return b.Name == o.Name && b.Address == o.Address && b.DataCentre == o.DataCentre &&
		b.Kind == o.Kind && slices.Equal(b.Models, o.Models) && b.Service == o.Service &&
		b.Slots == o.Slots && b.EnforcesFencing == o.EnforcesFencing && b.Leaving == o.Leaving
}

// Route sends calls under a path to a plain service.
type Route struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	Method string `cbor:"2,keyasint" json:"method"`
	// Path must match the complete path of a call, or is a prefix if it ends in "/".
	Path    string `cbor:"3,keyasint" json:"path"`
	Service string `cbor:"4,keyasint" json:"service"`
	// Repeatable means that a call may be retried.
	Repeatable bool `cbor:"5,keyasint" json:"repeatable"`
	// Public means that calls need no key.
	Public bool `cbor:"6,keyasint" json:"open"`
}

// Preset is a named operating mode.
type Preset struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// ReserveSlots is the number of slots of each server that batch work never uses.
	ReserveSlots int `cbor:"2,keyasint" json:"reserve-slots"`
	// BatchShare is the largest fraction of a server's slots that batch work may
	// use, 0 to 1.
	BatchShare float64 `cbor:"3,keyasint" json:"batch-share"`
}

// Record is the fleet's record. The zero Record is the state before the first one
// is written.
type Record struct {
	Version Version `cbor:"1,keyasint" json:"version"`
	Epoch   Epoch   `cbor:"2,keyasint" json:"epoch"`
	// Members are sorted by name; names are unique.
	Members    []Member                 `cbor:"3,keyasint" json:"members"`
	Workspaces map[string]Workspace     `cbor:"4,keyasint" json:"workspaces"`
	Keys       map[string]Key           `cbor:"5,keyasint" json:"keys"`
	Servers    map[string]BackendServer `cbor:"6,keyasint" json:"servers"`
	Routes     map[string]Route         `cbor:"7,keyasint" json:"routes"`
	Presets    map[string]Preset        `cbor:"8,keyasint" json:"presets"`
	// Preset is the name of the active preset, empty if none is set.
	Preset string `cbor:"9,keyasint" json:"preset"`
	// Recent contains the most recently applied changes, oldest first, so that a
	// change that is repeated, or whose answer was lost, is recognised.
	Recent []Applied `cbor:"10,keyasint" json:"recent"`
	// EpochVersion is the version that began Epoch.
	EpochVersion Version `cbor:"11,keyasint" json:"epoch-version"`
	// Transitions contains the changes of members whose acceptance is yet to be proved
	// under this record, oldest first: the newest one, and those before it that a
	// forced change did not wait for.
	Transitions []Transition `cbor:"12,keyasint" json:"transitions"`
	// Former has, by incarnation, the members that were removed or replaced in the last
	// formerEpochs epochs.
	Former map[string]FormerMember `cbor:"13,keyasint" json:"former"`
}

// Applied records the version at which a change took effect.
type Applied struct {
	ID      string  `cbor:"1,keyasint" json:"id"`
	Version Version `cbor:"2,keyasint" json:"version"`
	// Digest identifies the content of the change.
	Digest uint64 `cbor:"3,keyasint" json:"digest"`
}

// maxRecent is the maximum length of Recent. At 30,000 changes a day it covers 49
// minutes.
const maxRecent = 1024

// WithoutHashes returns the record without the hashes of keys, for display.
func (r Record) WithoutHashes() Record {
	keys := make(map[string]Key, len(r.Keys))
	for id, k := range r.Keys {
		k.Hash = nil
		keys[id] = k
	}
	r.Keys = keys
	return r
}

// Member returns the member with this name.
func (r Record) Member(name string) (Member, bool) {
	i := r.Index(name)
	if i < 0 {
		return Member{}, false
	}
	return r.Members[i], true
}

// HasMember reports whether the host with this name and incarnation is a member.
func (r Record) HasMember(name, incarnation string) bool {
	m, ok := r.Member(name)
	return ok && m.Incarnation == incarnation
}

// ActivePreset returns the active preset, or the zero Preset if none is set.
func (r Record) ActivePreset() Preset { return r.Presets[r.Preset] }

// withRecent returns the record with a appended to Recent, which it limits to
// maxRecent entries.
func (r Record) withRecent(a Applied) Record {
	recent := append(slices.Clone(r.Recent), a)
	if len(recent) > maxRecent {
		recent = recent[len(recent)-maxRecent:]
	}
	r.Recent = recent
	return r
}

// withEntry returns a copy of m in which k has the value v.
func withEntry[V any](m map[string]V, k string, v V) map[string]V {
	out := maps.Clone(m)
	if out == nil {
		out = make(map[string]V, 1)
	}
	out[k] = v
	return out
}

// withoutEntry returns a copy of m without k.
func withoutEntry[V any](m map[string]V, k string) map[string]V {
	out := maps.Clone(m)
	delete(out, k)
	return out
}

// encMode is canonical CBOR in which nil and empty containers are encoded alike.
var encMode = func() cbor.EncMode {
	o := cbor.CoreDetEncOptions()
	o.NilContainers = cbor.NilContainerAsEmpty
	m, err := o.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Encode returns the record in canonical CBOR. Equal records have equal encodings.
func (r Record) Encode() ([]byte, error) {
	b, err := encMode.Marshal(r)
	return b, eris.Wrap(err, "encode record")
}

// Decode decodes a record that Encode encoded. Empty data gives the zero Record.
func Decode(data []byte) (Record, error) {
	var r Record
	if len(data) == 0 {
		return r, nil
	}
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, eris.Wrap(err, "decode record")
	}
	return r, nil
}
