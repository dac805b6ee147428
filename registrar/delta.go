package registrar

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
)

// Delta is the difference between two versions of the record. Hosts send it to
// each other instead of the complete record.
type Delta struct {
	// From is the version that the Delta applies to; Version is the version that
	// results.
	From         Version      `cbor:"1,keyasint"`
	Version      Version      `cbor:"2,keyasint"`
	Epoch        Epoch        `cbor:"3,keyasint"`
	EpochVersion Version      `cbor:"4,keyasint"`
	Transitions  []Transition `cbor:"5,keyasint,omitempty"`
	Preset       string       `cbor:"6,keyasint,omitempty"`
	// Recent contains the changes that were applied after From, oldest first.
	Recent     []Applied               `cbor:"7,keyasint,omitempty"`
	Members    mapDelta[Member]        `cbor:"8,keyasint"`
	Workspaces mapDelta[Workspace]     `cbor:"9,keyasint"`
	Keys       mapDelta[Key]           `cbor:"10,keyasint"`
	Servers    mapDelta[BackendServer] `cbor:"11,keyasint"`
	Routes     mapDelta[Route]         `cbor:"12,keyasint"`
	Presets    mapDelta[Preset]        `cbor:"13,keyasint"`
	Former     mapDelta[FormerMember]  `cbor:"14,keyasint"`
}

// mapDelta is the difference between two versions of one map.
type mapDelta[V any] struct {
	Put     map[string]V `cbor:"1,keyasint,omitempty"`
	Removed []string     `cbor:"2,keyasint,omitempty"`
}

// equaler is a value that can be compared. Equal must take nil and empty lists as
// equal, because encoding and decoding a record turns nil lists into empty ones.
type equaler[V any] interface{ Equal(o V) bool }

// Equal reports whether w and o are equal.
func (w Workspace) Equal(o Workspace) bool { return w == o }

// Equal reports whether r and o are equal.
func (r Route) Equal(o Route) bool { return r == o }

// Equal reports whether p and o are equal.
func (p Preset) Equal(o Preset) bool { return p == o }

// Equal reports whether k and o are equal. A nil and an empty Hash are equal.
func (k Key) Equal(o Key) bool {
	same := bytes.Equal(k.Hash, o.Hash)
	k.Hash, o.Hash = nil, nil
	return same && reflect.DeepEqual(k, o)
}

// Equal reports whether f and o are equal. A nil and an empty UsageKey are equal.
func (f FormerMember) Equal(o FormerMember) bool {
	return f.Name == o.Name && f.Epoch == o.Epoch && bytes.Equal(f.UsageKey, o.UsageKey)
}

// Equal reports whether m and o are equal. A nil and an empty UsageKey are equal.
func (m Member) Equal(o Member) bool {
	same := bytes.Equal(m.UsageKey, o.UsageKey)
	m.UsageKey, o.UsageKey = nil, nil
	return same && reflect.DeepEqual(m, o)
}

// DeltaError is returned when a Delta applies to another version than that of the
// record.
type DeltaError struct{ Held, From Version }

func (e *DeltaError) Error() string {
	return fmt.Sprintf("delta begins at version %d, not at %d", e.From, e.Held)
}

// DeltaFrom returns the Delta from old, an earlier version, to r.
func (r Record) DeltaFrom(old Record) Delta {
	d := Delta{
		From: old.Version, Version: r.Version, Epoch: r.Epoch, EpochVersion: r.EpochVersion,
		Preset:     r.Preset,
		Workspaces: diffMaps(old.Workspaces, r.Workspaces),
		Keys:       diffMaps(old.Keys, r.Keys),
		Servers:    diffMaps(old.Servers, r.Servers),
		Routes:     diffMaps(old.Routes, r.Routes),
		Presets:    diffMaps(old.Presets, r.Presets),
		Former:     diffMaps(old.Former, r.Former),
	}
	if r.Epoch != old.Epoch {
		d.Transitions = r.Transitions
		d.Members = diffMaps(membersByName(old.Members), membersByName(r.Members))
	}
	first := slices.IndexFunc(r.Recent, func(a Applied) bool { return a.Version > old.Version })
	if first >= 0 {
		d.Recent = r.Recent[first:]
	}
	return d
}

// WithDelta returns the record that results from applying d. It fails with a
// *DeltaError if d applies to another version than r's.
func (r Record) WithDelta(d Delta) (Record, error) {
	if d.From != r.Version {
		return r, &DeltaError{Held: r.Version, From: d.From}
	}
	if d.Epoch != r.Epoch {
		r.Transitions = d.Transitions
	}
	r.Version, r.Epoch, r.EpochVersion, r.Preset = d.Version, d.Epoch, d.EpochVersion, d.Preset
	if d.Members.notEmpty() {
		r.Members = sortedMembers(d.Members.apply(membersByName(r.Members)))
	}
	r.Workspaces = d.Workspaces.apply(r.Workspaces)
	r.Keys = d.Keys.apply(r.Keys)
	r.Servers = d.Servers.apply(r.Servers)
	r.Routes = d.Routes.apply(r.Routes)
	r.Presets = d.Presets.apply(r.Presets)
	r.Former = d.Former.apply(r.Former)
	for _, a := range d.Recent {
		r = r.withRecent(a)
	}
	return r, nil
}

func membersByName(members []Member) map[string]Member {
	out := make(map[string]Member, len(members))
	for _, m := range members {
		out[m.Name] = m
	}
	return out
}

// diffMaps returns the changes from old to next. If both are the same map, as when
// the records share it, it returns at once without comparing entries.
func diffMaps[V equaler[V]](old, next map[string]V) mapDelta[V] {
	var e mapDelta[V]
	if reflect.ValueOf(old).UnsafePointer() == reflect.ValueOf(next).UnsafePointer() {
		return e
	}
	for k, v := range next {
		if o, ok := old[k]; ok && o.Equal(v) {
			continue
		}
		if e.Put == nil {
			e.Put = make(map[string]V)
		}
		e.Put[k] = v
	}
	for k := range old {
		if _, ok := next[k]; !ok {
			e.Removed = append(e.Removed, k)
		}
	}
	slices.Sort(e.Removed)
	return e
}

func (e mapDelta[V]) notEmpty() bool { return len(e.Put) > 0 || len(e.Removed) > 0 }

// apply returns m with the changes of e. It never modifies m, and returns m itself
// if there are no changes.
func (e mapDelta[V]) apply(m map[string]V) map[string]V {
	if !e.notEmpty() {
		return m
	}
	out := make(map[string]V, len(m)+len(e.Put))
	for k, v := range m {
		out[k] = v
	}
	for k, v := range e.Put {
		out[k] = v
	}
	for _, k := range e.Removed {
		delete(out, k)
	}
	return out
}
