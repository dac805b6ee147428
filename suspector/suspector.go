// Package suspector finds calls that crash backend servers and refuses them.
//
// # Model
//
// When a backend server dies, the host that keeps its ledger records a Death:
// the fingerprints of the calls that were in flight. Each of them is suspected
// from then on. When a suspected call is answered, a Survival cancels the deaths
// that it was suspected for. Deaths and survivals are immutable and identified,
// so hosts may learn them in any order and any number of times and still come
// to the same verdicts; nobody has to own a fingerprint, and a host that takes
// over nothing inherits nothing. The host that records one tells all members at
// once, and every host now and then compares its records with one other host.
//
// A fingerprint in flight at two deaths that no survival cancels is refused on
// every host: for blameTime if it was the only suspect in flight at the latest
// of them, which is then its doing, and for ambiguousTime otherwise, since a
// neighbour may have done it. After that it is suspected again, not refused.
//
// # Neighbours
//
// A call that merely shared a server with the culprit has one death and is
// suspected. Were it to run beside the culprit again, the second death would
// blame both. So a server runs at most one suspect at a time (Enter): the
// culprit's second death is its alone, and the neighbours' answers clear them.
// Weighed: a suspect alone on an emptied server, which makes even the neighbours
// without a death safe, but idles all slots of a server for as long as its
// longest stream, for each suspect of each death.
//
// The records are bounded: the oldest deaths are forgotten first.
//
// # Without owners of servers
//
// Where no host keeps a server's ledger, a Witness takes the place of the
// Suspector. It sees only its own host's calls, and a death in its records is one
// call that an incarnation of a server broke off, before or after its first events,
// or that ended there unanswered before the store said that the server is gone. What
// was sent to a server that had failed just before says nothing of the call. A crash
// of many servers or a failing network still blames calls that are innocent, so
// three servers must have ended without an answer between, and a refused call is
// tried again after a while, by one host at a time. Package quarantiner keeps what
// hosts must know though they start anew.
package suspector

import "github.com/jackdawgate/jackdawgate/timer"

const (
	// refusedDeaths is how many deaths get a fingerprint refused.
	refusedDeaths = 2
	// suspectTime is how long a death counts.
	suspectTime = 600 * timer.Second
	// blameTime is how long a call is refused that was the only suspect in
	// flight at its second death, ambiguousTime if it was not.
	blameTime     = 600 * timer.Second
	ambiguousTime = 60 * timer.Second
	// maxDeaths bounds the deaths remembered, maxInFlight the fingerprints of each.
	maxDeaths   = 256
	maxInFlight = 1024
	// maxSurvivals bounds the survivals remembered.
	maxSurvivals = 8192
)

// Death is a backend server's death and the calls in flight at it.
type Death struct {
	// ID is unique over the fleet.
	ID     string `cbor:"1,keyasint"`
	Server string `cbor:"2,keyasint"`
	// Fingerprints were in flight, sorted.
	Fingerprints []uint64 `cbor:"3,keyasint"`
	// Age is how long ago it was when this was sent.
	Age timer.Millis `cbor:"4,keyasint"`
}

// Survival says that a call was answered that had been in flight at deaths.
type Survival struct {
	Fingerprint uint64   `cbor:"1,keyasint"`
	Deaths      []string `cbor:"2,keyasint"`
	// Age is how long ago it was when this was sent.
	Age timer.Millis `cbor:"3,keyasint"`
}

// Records is what hosts tell each other.
type Records struct {
	Deaths    []Death    `cbor:"1,keyasint"`
	Survivals []Survival `cbor:"2,keyasint"`
}

// Verdict is what is known of a fingerprint: Clear, Suspected or Refused.
type Verdict interface{ verdict() }

// Clear calls run as any other.
type Clear struct{}

// Suspected calls run on a server with no other suspect.
type Suspected struct{}

// Refused calls do not run. Coming back makes sense after RetryAfter.
type Refused struct{ RetryAfter timer.Millis }

func (Clear) verdict()     {}
func (Suspected) verdict() {}
func (Refused) verdict()   {}
