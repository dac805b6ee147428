// Package suspector finds calls that crash backend servers and refuses them.
//
// # Model
//
// When a backend server crashes, the host that accounts for the calls running on the
// server records a Crash: the fingerprints of the calls that were in flight. Each of these calls is
// suspected from then on. When a suspected call is answered, a Success cancels the
// crashes that it was suspected for. Both kinds of records are immutable and have
// identifiers, so hosts may receive them in any order and any number of times and
// still compute the same verdicts. No host owns a fingerprint, so nothing has to be
// handed over when a host stops. The host that makes a record broadcasts it to all
// hosts at once, and every host periodically compares its records with one other host.
//
// A fingerprint that was in flight at two crashes that no success cancels is refused
// on every host. It is refused for soleSuspectRefusal if it was the only suspect in
// flight at the later crash, since it then caused that crash, and for ambiguousRefusal
// otherwise, since another call may have caused it. After that it is suspected again
// but no longer refused.
//
// # Neighbours
//
// A neighbour is a call that merely shared a server with the call that crashed it. It
// has one crash and is suspected. If it ran beside the same call again, a second crash
// would count against both. So a server runs at most one suspect at a time (TryStart): the
// second crash then counts only against the call that caused it, and the neighbours are
// cleared when they are answered. The alternative, to run a suspect alone on an emptied
// server, would also protect neighbours without a crash, but it would idle all slots of
// a server for as long as its longest stream, for each suspect of each crash.
//
// The records are bounded: the oldest crashes are dropped first.
//
// # Servers to which every host sends calls
//
// Where no single host accounts for the calls running on a server, because every host
// sends calls to it independently, a Tracker replaces the Suspector. It observes only
// the calls of its own host. A crash in its records is one call that an incarnation of
// a server broke off, before or after its first events, or that ended there without an
// answer before the store reported that the server was removed. A call that was sent to
// a server after the server had failed is not counted. A crash of many servers or a
// failing network still counts against calls that did not cause it, so a Tracker refuses
// a call only after crashes of three servers without an answer in between, and a refused
// call is tried again after a wait, by one host at a time. Package quarantiner keeps the
// records that must survive restarts of hosts.
//
// What crashes servers may also be a part of a prompt that different calls share. A
// Tracker therefore records, for each crash, the shared parts of the prompts of the calls
// that had not been answered yet, and refuses all calls with a part that explains enough
// of the crashes and was not answered since; see package attributor. A Suspector does the
// same with the beginnings of prompts.
package suspector

import (
	"github.com/jackdawgate/jackdawgate/attributor"
	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// refusalCrashes is the number of crashes for which a Table refuses a fingerprint.
	refusalCrashes = 2
	// suspectTime is how long a crash counts against a call.
	suspectTime = 600 * timer.Second
	// soleSuspectRefusal is how long a call is refused that was the only suspect in
	// flight at its second crash; ambiguousRefusal applies if there were others.
	soleSuspectRefusal = 600 * timer.Second
	ambiguousRefusal   = 60 * timer.Second
	// maxCrashes bounds the crashes of a Table, maxInFlight the fingerprints of each.
	maxCrashes  = 256
	maxInFlight = 1024
	// maxSuccesses bounds the successes of a Table.
	maxSuccesses = 8192
)

// Crash is a crash of a backend server with the calls that were in flight.
type Crash struct {
	// ID is unique in the fleet.
	ID     string `cbor:"1,keyasint"`
	Server string `cbor:"2,keyasint"`
	// Fingerprints are those of the calls in flight. A Table keeps them sorted.
	Fingerprints []uint64 `cbor:"3,keyasint"`
	// Age is the time from the crash until this record was sent.
	Age timer.Millis `cbor:"4,keyasint"`
	// Prompts are the prompts of calls that were in flight and not yet answered.
	Prompts []Prompt `cbor:"5,keyasint,omitempty"`
}

// Prompt holds the shared parts of a call's prompt.
type Prompt struct {
	Call uint64 `cbor:"1,keyasint"`
	// Workspace is a hash of the call's workspace.
	Workspace uint32   `cbor:"2,keyasint,omitempty"`
	Parts     []uint64 `cbor:"3,keyasint"`
}

// crash returns the record of a crash with the prompt's call in flight.
func (p Prompt) crash(id string, at timer.Millis) attributor.Crash {
	return attributor.Crash{ID: id, Call: p.Call, Workspace: p.Workspace, Parts: p.Parts, At: at}
}

// AnsweredPart records that a call with a part in its prompt was answered.
type AnsweredPart struct {
	Part uint64 `cbor:"1,keyasint"`
	// Age is the time from the answer until this record was sent.
	Age timer.Millis `cbor:"2,keyasint"`
}

// Success records that a call was answered after it had been in flight at crashes.
type Success struct {
	// Crashes are the identifiers of the crashes that no longer count against the call.
	Fingerprint uint64   `cbor:"1,keyasint"`
	Crashes     []string `cbor:"2,keyasint"`
	// Age is the time from the answer until this record was sent.
	Age timer.Millis `cbor:"3,keyasint"`
}

// Records is the message in which hosts exchange crashes and successes.
type Records struct {
	Crashes   []Crash   `cbor:"1,keyasint"`
	Successes []Success `cbor:"2,keyasint"`
	// AnsweredParts are parts that occurred at recent crashes.
	AnsweredParts []AnsweredPart `cbor:"3,keyasint,omitempty"`
}

// Verdict is the verdict on a fingerprint: Clear, Suspected or Refused.
type Verdict interface{ verdict() }

// Clear calls run without restriction.
type Clear struct{}

// Suspected calls run only on a server that runs no other suspect.
type Suspected struct{}

// Refused calls do not run. The caller may retry after RetryAfter.
type Refused struct{ RetryAfter timer.Millis }

func (Clear) verdict()     {}
func (Suspected) verdict() {}
func (Refused) verdict()   {}
