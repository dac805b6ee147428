package registrar

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Change is one change to the configuration or the members. Only the types in this
// package implement it. Digest hashes the names of the concrete types, so these
// must not be renamed.
type Change interface{ change() }

// PutWorkspace creates or replaces a workspace.
type PutWorkspace struct {
	Workspace Workspace `cbor:"1,keyasint" json:"workspace"`
	// Create makes the change fail if the workspace exists.
	Create bool `cbor:"2,keyasint" json:"create"`
}

// SetLimit sets a workspace's rate and burst.
type SetLimit struct {
	Workspace     string  `cbor:"1,keyasint" json:"workspace"`
	RatePerSecond float64 `cbor:"2,keyasint" json:"rate-per-second"`
	Burst         int64   `cbor:"3,keyasint" json:"burst"`
}

// GiveKey adds a key to a workspace. The record has only the key's hash.
type GiveKey struct {
	Key Key `cbor:"1,keyasint" json:"key"`
}

// WithdrawKey revokes a key by removing it from the record.
type WithdrawKey struct {
	KeyID string `cbor:"1,keyasint" json:"key-id"`
}

// PutServer adds or replaces a backend server.
type PutServer struct {
	Server BackendServer `cbor:"1,keyasint" json:"server"`
}

// RemoveServer removes a backend server. A server that isn't in the record is
// not an error.
type RemoveServer struct {
	Name string `cbor:"1,keyasint" json:"name"`
}

// PutRoute adds or replaces a route.
type PutRoute struct {
	Route Route `cbor:"1,keyasint" json:"route"`
}

// PutPreset adds or replaces a preset. It does not select the preset.
type PutPreset struct {
	Preset Preset `cbor:"1,keyasint" json:"preset"`
}

// UsePreset makes a preset the active one.
type UsePreset struct {
	Name string `cbor:"1,keyasint" json:"name"`
}

// RemoveHosts removes members from the fleet. With Force the operator asserts that
// they have stopped permanently, which is needed when a majority of the members is
// lost at once: the change then waits neither for them nor for the acceptance of
// the epoch before.
type RemoveHosts struct {
	Names []string `cbor:"1,keyasint" json:"names"`
	Force bool     `cbor:"2,keyasint" json:"force"`
}

func (PutWorkspace) change() {}
func (SetLimit) change()     {}
func (GiveKey) change()      {}
func (WithdrawKey) change()  {}
func (PutServer) change()    {}
func (RemoveServer) change() {}
func (PutRoute) change()     {}
func (PutPreset) change()    {}
func (UsePreset) change()    {}
func (RemoveHosts) change()  {}

// RefusedError is returned for a change that is invalid for the current record.
type RefusedError struct {
	// Code is stable, in kebab case: unknown-workspace, workspace-exists, …
	Code string
	// Name is the name or ID of the item that the change refers to.
	Name string
}

func (e *RefusedError) Error() string { return fmt.Sprintf("%s: %q", e.Code, e.Name) }

// ConflictError is returned when a change identifier was already used for a
// different change.
type ConflictError struct{ ID string }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("change id %q was already used for a different change", e.ID)
}

// FindApplied returns the entry of Recent for the change with this identifier, if any.
func (r Record) FindApplied(id string) (Applied, bool) {
	i := slices.IndexFunc(r.Recent, func(a Applied) bool { return a.ID == id })
	if i < 0 {
		return Applied{}, false
	}
	return r.Recent[i], true
}

// WithChange returns the record that results from applying c under the identifier
// id. If the same change was already applied under id, it returns the record
// unchanged; if a different one was, it fails with a *ConflictError. A change that
// is invalid for the record fails with a *RefusedError.
func (r Record) WithChange(id string, c Change) (Record, error) {
	digest, err := Digest(c)
	if err != nil {
		return r, err
	}
	if a, ok := r.FindApplied(id); ok {
		if a.Digest != digest {
			return r, &ConflictError{ID: id}
		}
		return r, nil
	}
	next, err := r.apply(c)
	if err != nil {
		return r, err
	}
	next.Version = r.Version + 1
	return next.withRecent(Applied{ID: id, Version: next.Version, Digest: digest}), nil
}

// Digest returns a hash of the type and content of c, which identifies the change
// when it is repeated.
func Digest(c Change) (uint64, error) {
	b, err := encMode.Marshal(c)
	if err != nil {
		return 0, eris.Wrapf(err, "encode %T", c)
	}
	return xxhash.Sum64String(fmt.Sprintf("%T:%s", c, b)), nil
}

func (r Record) apply(c Change) (Record, error) {
	switch c := c.(type) {
	case PutWorkspace:
		return r.applyWorkspace(c)
	case SetLimit:
		return r.applyLimit(c)
	case GiveKey:
		return r.applyGiveKey(c)
	case WithdrawKey:
		if _, ok := r.Keys[c.KeyID]; !ok {
			return r, &RefusedError{Code: "unknown-key", Name: c.KeyID}
		}
		r.Keys = withoutEntry(r.Keys, c.KeyID)
	case PutServer:
		r.Servers = withEntry(r.Servers, c.Server.Name, c.Server)
	case RemoveServer:
		r.Servers = withoutEntry(r.Servers, c.Name)
	case PutRoute:
		r.Routes = withEntry(r.Routes, c.Route.Name, c.Route)
	case PutPreset:
		r.Presets = withEntry(r.Presets, c.Preset.Name, c.Preset)
	case UsePreset:
		if _, ok := r.Presets[c.Name]; !ok {
			return r, &RefusedError{Code: "unknown-preset", Name: c.Name}
		}
		r.Preset = c.Name
	case RemoveHosts:
		return r.applyRemoveHosts(c)
	default:
		return r, eris.Errorf("unknown change %T", c)
	}
	return r, nil
}

func (r Record) applyWorkspace(c PutWorkspace) (Record, error) {
	if _, ok := r.Workspaces[c.Workspace.Name]; ok && c.Create {
		return r, &RefusedError{Code: "workspace-exists", Name: c.Workspace.Name}
	}
	r.Workspaces = withEntry(r.Workspaces, c.Workspace.Name, c.Workspace)
	return r, nil
}

func (r Record) applyLimit(c SetLimit) (Record, error) {
	w, ok := r.Workspaces[c.Workspace]
	if !ok {
		return r, &RefusedError{Code: "unknown-workspace", Name: c.Workspace}
	}
	w.RatePerSecond, w.Burst = c.RatePerSecond, c.Burst
	r.Workspaces = withEntry(r.Workspaces, w.Name, w)
	return r, nil
}

func (r Record) applyGiveKey(c GiveKey) (Record, error) {
	if _, ok := r.Workspaces[c.Key.Workspace]; !ok {
		return r, &RefusedError{Code: "unknown-workspace", Name: c.Key.Workspace}
	}
	if _, ok := r.Keys[c.Key.ID]; ok {
		return r, &RefusedError{Code: "key-exists", Name: c.Key.ID}
	}
	r.Keys = withEntry(r.Keys, c.Key.ID, c.Key)
	return r, nil
}

func (r Record) applyRemoveHosts(c RemoveHosts) (Record, error) {
	change := MemberChange{Forced: c.Force}
	for _, name := range c.Names {
		m, ok := r.Member(name)
		if !ok {
			return r, &RefusedError{Code: "unknown-host", Name: name}
		}
		d := RemovedMember{Name: name, Incarnation: m.Incarnation, Stopped: c.Force}
		change.Remove = append(change.Remove, d)
	}
	return r.WithMembers(change), nil
}

// Envelope is the encoding of a Change on the network. Exactly one of its fields
// is set.
type Envelope struct {
	PutWorkspace *PutWorkspace `cbor:"1,keyasint,omitempty" json:"put-workspace,omitempty"`
	SetLimit     *SetLimit     `cbor:"2,keyasint,omitempty" json:"set-limit,omitempty"`
	GiveKey      *GiveKey      `cbor:"3,keyasint,omitempty" json:"give-key,omitempty"`
	WithdrawKey  *WithdrawKey  `cbor:"4,keyasint,omitempty" json:"withdraw-key,omitempty"`
	PutServer    *PutServer    `cbor:"5,keyasint,omitempty" json:"put-server,omitempty"`
	RemoveServer *RemoveServer `cbor:"6,keyasint,omitempty" json:"remove-server,omitempty"`
	PutRoute     *PutRoute     `cbor:"7,keyasint,omitempty" json:"put-route,omitempty"`
	PutPreset    *PutPreset    `cbor:"8,keyasint,omitempty" json:"put-preset,omitempty"`
	UsePreset    *UsePreset    `cbor:"9,keyasint,omitempty" json:"use-preset,omitempty"`
	RemoveHosts  *RemoveHosts  `cbor:"10,keyasint,omitempty" json:"remove-hosts,omitempty"`
}

// NewEnvelope returns an Envelope that contains c.
func NewEnvelope(c Change) Envelope {
	switch c := c.(type) {
	case PutWorkspace:
		return Envelope{PutWorkspace: &c}
	case SetLimit:
		return Envelope{SetLimit: &c}
	case GiveKey:
		return Envelope{GiveKey: &c}
	case WithdrawKey:
		return Envelope{WithdrawKey: &c}
	case PutServer:
		return Envelope{PutServer: &c}
	case RemoveServer:
		return Envelope{RemoveServer: &c}
	case PutRoute:
		return Envelope{PutRoute: &c}
	case PutPreset:
		return Envelope{PutPreset: &c}
	case UsePreset:
		return Envelope{UsePreset: &c}
	case RemoveHosts:
		return Envelope{RemoveHosts: &c}
	}
	return Envelope{}
}

// Change returns the change in e, or nil if no field is set.
func (e Envelope) Change() Change {
	switch {
	case e.PutWorkspace != nil:
		return *e.PutWorkspace
	case e.SetLimit != nil:
		return *e.SetLimit
	case e.GiveKey != nil:
		return *e.GiveKey
	case e.WithdrawKey != nil:
		return *e.WithdrawKey
	case e.PutServer != nil:
		return *e.PutServer
	case e.RemoveServer != nil:
		return *e.RemoveServer
	case e.PutRoute != nil:
		return *e.PutRoute
	case e.PutPreset != nil:
		return *e.PutPreset
	case e.UsePreset != nil:
		return *e.UsePreset
	case e.RemoveHosts != nil:
		return *e.RemoveHosts
	}
	return nil
}
