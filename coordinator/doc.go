// Package coordinator is the membership and replication protocol of the hosts. It
// determines which hosts are members, which version of the record is in force,
// whether this host may act now, and which host owns an object.
//
// The package is a pure state machine. Step takes a State and an Event and returns
// the next State and the Effects that the caller must carry out. It reads no clock,
// starts no goroutine and does no I/O; package controller does these things for it.
// The request path reads only the immutable Snapshot of a State.
//
// Invariants:
//
//   - A host never replaces its record with one of a lower version.
//   - A version is accepted when a majority of its members hold it, and a majority
//     of the members before each of its Transitions hold its epoch. A process that
//     was replaced, or that stopped before it was removed, counts as holding every
//     version, since it can no longer act. Transitions has the newest change of
//     members. If that change was forced, it also has those before it, whose epochs
//     may not be accepted yet: unless forced, a change of members is written only
//     after the current epoch was accepted.
//   - A host acts only until PermittedUntil, which is Timing.PermissionDuration after it
//     sent a request whose responses show that no version newer than its own had
//     been accepted. Either a read of the store shows this, or the versions held by
//     a majority of the members.
//   - A host acts as owner of an object only when no host can still be permitted to
//     act as its owner under an earlier epoch.
//
// An incarnation is one run of a host process. A version that an incarnation has
// reported to hold, or a newer one, is held until the process ends. A new
// incarnation under the same name is a different member.
package coordinator
