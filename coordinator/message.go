package coordinator

import (
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/registrar"
)

// Wire methods of the protocol.
const (
	// MethodReport takes a ReportRequest and returns a Report.
	MethodReport messenger.Method = "coordinator/ask"
	// MethodRelay takes a RelayRequest and returns a RelayResponse.
	MethodRelay messenger.Method = "coordinator/relay"
	// MethodRecord takes a RecordRequest and returns a RecordResponse.
	MethodRecord messenger.Method = "coordinator/record"
)

// Report is the state of one incarnation. Every field is monotonic: an incarnation
// holds a version or a newer one until it ends, an accepted version remains
// accepted, and a settled epoch remains settled. Reports can therefore be repeated,
// merged and forwarded in any order.
type Report struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// Version is the version of the record that the incarnation holds.
	Version registrar.Version `cbor:"3,keyasint"`
	// Accepted is the newest version known to be accepted.
	Accepted registrar.Version `cbor:"4,keyasint"`
	// Settled is the newest epoch known to be settled, which means that every
	// permission under an earlier epoch has ended.
	Settled registrar.Epoch `cbor:"5,keyasint"`
	// Draining reports whether callers must no longer be directed to the host.
	Draining bool `cbor:"6,keyasint,omitempty"`
}

// ReportRequest requests the Report of a host and carries the Report of the sender.
type ReportRequest struct {
	Report Report `cbor:"1,keyasint"`
	// Address is the sender's peer address, from which its record can be fetched.
	Address string `cbor:"2,keyasint"`
	// Joining is the sender's member entry if it requests to join, or nil.
	Joining *registrar.Member `cbor:"3,keyasint,omitempty"`
	// Unreachable has the names of the members that have not responded to the sender
	// for Timing.UnreachableTimeout.
	Unreachable []string `cbor:"4,keyasint,omitempty"`
}

// RecordRequest requests the record that a host holds.
type RecordRequest struct {
	// Held is the version that the sender holds, which a Delta may be based on.
	Held registrar.Version `cbor:"1,keyasint"`
}

// RecordResponse has the record, either whole or as the difference from the version
// that the requester holds.
type RecordResponse struct {
	Encoded []byte           `cbor:"1,keyasint,omitempty"`
	Delta   *registrar.Delta `cbor:"2,keyasint,omitempty"`
}

// RelayRequest requests that a relay reads the store. The read must begin after the
// request arrived, so that its result is not older than the request.
type RelayRequest struct {
	Name string `cbor:"1,keyasint"`
}

// RelayResponse has the version of the record that the store held.
type RelayResponse struct {
	Version registrar.Version `cbor:"1,keyasint"`
	// Unavailable reports whether the read failed.
	Unavailable bool `cbor:"2,keyasint,omitempty"`
}
