// Package authorizer decides whose a batch job is, and which callers may call about it.
//
// A job belongs to the workspace whose key submitted it, or to nobody if it was submitted under
// a configuration without workspaces. Its owner is stored with it and never changes. Whether a
// later call is about a job of its caller follows from that owner and from the key of the call
// alone. Routes have no part in it: the configuration may have removed, moved or changed that of
// the job since, also to a public one or back.
//
// Every call takes two steps. The host that receives it identifies the Caller by the key, and
// with it the Owner whose jobs the call may be about. The host that has the job checks the Access
// of that Owner to it. A submission takes the same steps, since it may repeat an earlier one.
//
// A workspace is identified by its name. One that is renamed is another workspace; the jobs of
// one that was removed are its own again when its name returns.
//
// Package authorizer is pure: it keeps no state and performs no I/O.
package authorizer

import (
	"errors"

	"github.com/jackdawgate/jackdawgate/cataloger"
)

// Owner is whom a job belongs to: a workspace. The zero Owner is nobody, the owner of jobs that
// were submitted without one.
type Owner struct{ Workspace string }

// Reasons why the owner whose jobs a call may be about is not known.
var (
	// ErrNoKey reports that a call needs a key and has none.
	ErrNoKey = errors.New("the call needs a key of a workspace")
	// ErrUnknownKey reports that no workspace has the key of a call. A newer configuration may
	// have one that has it.
	ErrUnknownKey = errors.New("no workspace has this key")
)

// Caller is who makes a call, as far as a configuration tells: Keyholder, Anonymous, Keyless or
// Stranger.
type Caller interface{ caller() }

type (
	// Keyholder is a caller whose key a workspace has.
	Keyholder struct{ Workspace *cataloger.Workspace }
	// Anonymous is any caller under a configuration without workspaces. Its jobs are nobody's.
	// HasKey is set if it sent a key, which means nothing under this configuration.
	Anonymous struct{ HasKey bool }
	// Keyless is a caller without a key under a configuration with workspaces.
	Keyless struct{}
	// Stranger is a caller whose key no workspace has.
	Stranger struct{}
)

func (Keyholder) caller() {}
func (Anonymous) caller() {}
func (Keyless) caller()   {}
func (Stranger) caller()  {}

// Identify returns the caller that sent a key, or the empty text for none, under configuration c.
func Identify(c *cataloger.Config, key string) Caller {
	if c.AllowsAnonymous() {
		return Anonymous{HasKey: key != ""}
	}
	if key == "" {
		return Keyless{}
	}
	if w, ok := c.WorkspaceByKey(key); ok {
		return Keyholder{Workspace: w}
	}
	return Stranger{}
}

// OwnerOfSubmission returns the owner of a job that a caller submits, or ErrNoKey or
// ErrUnknownKey.
//
// The job of a Keyless caller could not be told from those of all others, so it is refused, also
// on a public route: a later call about it has no route that could be public, and needs a key.
// The key of a Stranger may be one of a workspace under a newer configuration.
func OwnerOfSubmission(c Caller) (Owner, error) {
	switch t := c.(type) {
	case Keyholder:
		return Owner{Workspace: t.Workspace.Name}, nil
	case Anonymous:
		return Owner{}, nil
	case Keyless:
		return Owner{}, ErrNoKey
	}
	return Owner{}, ErrUnknownKey
}

// OwnerForCall returns the owner whose existing jobs a caller may call about, or ErrUnknownKey.
func OwnerForCall(c Caller) (Owner, error) {
	switch t := c.(type) {
	case Keyholder:
		return Owner{Workspace: t.Workspace.Name}, nil
	case Anonymous, Keyless:
		return Owner{}, nil
	}
	return Owner{}, ErrUnknownKey
}

// IfAbsent returns what a caller is told if its owner (OwnerForCall) has no job of the name that
// it gave: nil if that is all, ErrNoKey or ErrUnknownKey if the job may be one of a workspace that
// the caller did not name. The answer is the same whether there is such a job or not.
func IfAbsent(c Caller) error {
	switch t := c.(type) {
	case Keyless:
		return ErrNoKey
	case Anonymous:
		if t.HasKey {
			return ErrUnknownKey
		}
	case Stranger:
		return ErrUnknownKey
	}
	return nil
}

// Access is whether a call's owner may see a job of a name: Granted, Absent or Foreign.
type Access interface{ access() }

type (
	// Granted means that the job is the owner's.
	Granted struct{}
	// Absent means that there is no job of this name.
	Absent struct{}
	// Foreign means that the job is another owner's. Nothing but the refusal of a new job of the
	// same name may depend on it.
	Foreign struct{}
)

func (Granted) access() {}
func (Absent) access()  {}
func (Foreign) access() {}

// Check returns the access of a call's owner to the job of another or the same owner; exists is
// false if there is no such job.
func Check(caller, job Owner, exists bool) Access {
	switch {
	case !exists:
		return Absent{}
	case caller != job:
		return Foreign{}
	}
	return Granted{}
}
