// Package segmenter defines the protocol between the holders of segments and
// their clients: the description of a segment, the requests, the common answer,
// and the functions that make and handle calls.
//
// A segment is an append-only list of records that is sealed once it is
// complete. Its holders are the hosts that have a copy of it. Sealing takes two
// steps, both of them a SealRequest: freezing stops appends at a holder, and
// making the segment final also fixes its length. The epoch of a request orders
// successive writers; a holder refuses requests of an epoch older than the
// highest that it has seen.
//
// A holder either carries out a request or refuses it with a RefusedError and
// changes nothing. Any other error leaves open whether the request was carried
// out. All requests are idempotent.
package segmenter

import (
	"errors"
	"fmt"

	"github.com/jackdawgate/jackdawgate/framer"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Methods that are served by a host with a data folder.
const (
	MethodAppend messenger.Method = "archiver/append"
	MethodSeal   messenger.Method = "archiver/seal"
	MethodRead   messenger.Method = "archiver/read"
	MethodList   messenger.Method = "archiver/list"
	MethodInfo   messenger.Method = "archiver/info"
	MethodDelete messenger.Method = "archiver/delete"
	MethodFetch  messenger.Method = "archiver/fetch"
)

// Limits on messages and segments, in bytes.
const (
	// MaxAppendBytes limits the records in one append. A single record may be
	// longer.
	MaxAppendBytes = 1 << 20
	// PageBytes is how much a reader requests at once. A page has at least one
	// record, which may be longer.
	PageBytes = 256 << 10
	// MaxHeaderBytes is the maximum length of a segment's header.
	MaxHeaderBytes = 64 << 10
	// MaxNameBytes is the maximum length of a segment's name.
	MaxNameBytes = 180
)

// Info is a holder's description of its copy of a segment.
type Info struct {
	Name string `cbor:"1,keyasint"`
	// Header is the data that the writer attached to the segment on creation.
	Header []byte `cbor:"2,keyasint"`
	// Holders are the names of the hosts that have a copy.
	Holders []string        `cbor:"3,keyasint"`
	Epoch   registrar.Epoch `cbor:"4,keyasint"`
	// Frozen means that appends are refused. Final means that the length is
	// fixed as well.
	Frozen  bool   `cbor:"5,keyasint"`
	Final   bool   `cbor:"6,keyasint"`
	Records uint64 `cbor:"7,keyasint"`
	Bytes   int64  `cbor:"8,keyasint"`
	// Checksum is the xxHash64 of the records and their lengths in a final
	// segment.
	Checksum uint64 `cbor:"9,keyasint"`
	// Created and Expires are in Unix milliseconds. If Expires is zero, the
	// segment does not expire.
	Created timer.Millis `cbor:"10,keyasint"`
	Expires timer.Millis `cbor:"11,keyasint"`
	// Deleted means that the segment has been deleted. The holder keeps this
	// entry until the segment expires, so that no other copy restores the
	// segment.
	Deleted bool `cbor:"12,keyasint"`
	// Damaged means that a record does not match its checksum.
	Damaged bool `cbor:"13,keyasint"`
	// Missing means that the holder had no copy when it received the request to
	// freeze the segment. It will not accept appends for it any more.
	Missing bool `cbor:"14,keyasint"`
}

// SameContent reports whether i and o are complete copies of the same records.
func (i Info) SameContent(o Info) bool {
	return i.Complete() && o.Complete() && i.Records == o.Records && i.Checksum == o.Checksum
}

// Usable reports whether the records of a frozen copy can be used: the copy is
// neither missing, damaged nor deleted.
func (i Info) Usable() bool { return !i.Missing && !i.Damaged && !i.Deleted }

// Complete reports whether this is a final copy that is neither deleted, damaged
// nor missing.
func (i Info) Complete() bool { return i.Final && !i.Deleted && !i.Damaged && !i.Missing }

// ContentBytes returns the size of the records, without the frames in which
// they are stored.
func (i Info) ContentBytes() int64 { return i.Bytes - framer.HeaderBytes*int64(i.Records) }

// Prefer returns the more authoritative of two holders' descriptions of a
// segment. A deleted segment takes precedence over a final one, that over any
// other copy, and that over a missing one. Between equals, the higher epoch
// decides, and a if the epochs are equal.
func Prefer(a, b Info) Info {
	rank := func(i Info) int {
		switch {
		case i.Deleted:
			return 3
		case i.Final:
			return 2
		case i.Missing || i.Name == "":
			return 0
		}
		return 1
	}
	if x, y := rank(a), rank(b); x != y {
		if x > y {
			return a
		}
		return b
	}
	if a.Epoch >= b.Epoch {
		return a
	}
	return b
}

// Code is the reason why a holder refused a request.
type Code string

// Reasons of refusals.
const (
	CodeOldEpoch Code = "old-epoch"
	CodeFrozen   Code = "frozen"
	CodeUnknown  Code = "unknown-segment"
	CodeGap      Code = "gap"
	CodeMismatch Code = "mismatch"
	CodeCorrupt  Code = "corrupt"
	CodeDeleted  Code = "deleted"
	CodeInvalid  Code = "invalid"
	CodeShort    Code = "short"
)

// RefusedError reports that a holder refused a request and changed nothing.
type RefusedError struct {
	Code Code   `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"`
	// Epoch is the highest epoch that the holder has seen for the segment.
	Epoch registrar.Epoch `cbor:"3,keyasint"`
	// Sequence is the sequence number of the record concerned: the next record
	// that the holder expects if there is a gap, the corrupt one, or the first
	// that a short segment lacks.
	Sequence uint64 `cbor:"4,keyasint"`
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("segment %q: %s (epoch %d, record %d)", e.Name, e.Code, e.Epoch, e.Sequence)
}

// HasCode reports whether err is a RefusedError with code c.
func HasCode(err error, c Code) bool {
	var r *RefusedError
	return errors.As(err, &r) && r.Code == c
}

// AppendRequest appends records to a segment. If Create is set, it creates the
// segment with Header, Holders and Expires.
type AppendRequest struct {
	Name  string          `cbor:"1,keyasint"`
	Epoch registrar.Epoch `cbor:"2,keyasint"`
	// First is the sequence number of the first record in Records. Sequence
	// numbers start at 0.
	First   uint64   `cbor:"3,keyasint"`
	Records [][]byte `cbor:"4,keyasint"`
	// Committed is the number of records that all holders are known to have.
	// Readers of a segment that is not frozen receive only these.
	Committed uint64       `cbor:"5,keyasint"`
	Create    bool         `cbor:"6,keyasint"`
	Header    []byte       `cbor:"7,keyasint"`
	Holders   []string     `cbor:"8,keyasint"`
	Expires   timer.Millis `cbor:"9,keyasint"`
}

// SealRequest freezes a segment. If Final is set, it also fixes the length.
type SealRequest struct {
	Name  string          `cbor:"1,keyasint"`
	Epoch registrar.Epoch `cbor:"2,keyasint"`
	Final bool            `cbor:"3,keyasint"`
	// Records is the final number of records. Further records are truncated.
	Records uint64 `cbor:"4,keyasint"`
	// Holders and Expires replace those of a final segment if they are not
	// empty.
	Holders []string     `cbor:"5,keyasint"`
	Expires timer.Millis `cbor:"6,keyasint"`
}

// ReadRequest requests the records of a segment from sequence number From on.
type ReadRequest struct {
	Name string `cbor:"1,keyasint"`
	From uint64 `cbor:"2,keyasint"`
	// Limit, if not 0, is the sequence number before which the answer ends. It
	// also asserts that all holders have the records before it. With 0, all
	// records of a frozen segment can be read, and the committed ones of any
	// other.
	Limit uint64 `cbor:"3,keyasint"`
	// MaxBytes limits the size of the answer, which has at least one record.
	MaxBytes int64 `cbor:"4,keyasint"`
	// HeadBytes truncates each record to its first HeadBytes bytes. With 0,
	// records are sent in full.
	HeadBytes int `cbor:"5,keyasint"`
}

// Page holds consecutive records. First is the sequence number of the first
// one.
type Page struct {
	First   uint64   `cbor:"1,keyasint"`
	Records [][]byte `cbor:"2,keyasint"`
	// End means that the segment has no further readable records at present.
	End bool `cbor:"3,keyasint"`
}

// ListRequest requests up to Limit segments whose names start with Prefix and
// sort after After, sorted by name.
type ListRequest struct {
	Prefix string `cbor:"1,keyasint"`
	After  string `cbor:"2,keyasint"`
	Limit  int    `cbor:"3,keyasint"`
}

// InfoRequest requests the descriptions of the named segments.
type InfoRequest struct {
	Names []string `cbor:"1,keyasint"`
}

// DeleteRequest deletes a segment.
type DeleteRequest struct {
	Name string `cbor:"1,keyasint"`
}

// FetchRequest instructs a host to copy a final segment from one of its
// holders.
type FetchRequest struct {
	Info Info `cbor:"1,keyasint"`
	// Source is the peer address of the holder.
	Source string `cbor:"2,keyasint"`
	// BytesPerSecond limits the rate of copying.
	BytesPerSecond int64 `cbor:"3,keyasint"`
}

// Answer is the answer to all requests. It is sent as a single frame.
type Answer struct {
	Refused *RefusedError `cbor:"1,keyasint,omitempty"`
	Infos   []Info        `cbor:"2,keyasint,omitempty"`
	Page    *Page         `cbor:"3,keyasint,omitempty"`
}
