package mirrorer

import "github.com/jackdawgate/jackdawgate/messenger"

// methodAppend carries entries from a group's owner to another disk.
const methodAppend messenger.Method = "mirrorer/append"

// appendRequest says that the owner's log has Entries after the entry Previous,
// which is of PreviousTerm. Without entries it asks whether that is so.
type appendRequest struct {
	_     struct{} `cbor:",toarray"`
	Group int
	Epoch uint64
	// Owner and To are disks.
	Owner, To string
	// Base is the last entry that the owner has dropped. What follows it begins
	// with a checkpoint that all holders have.
	Base         uint64
	Previous     uint64
	PreviousTerm Term
	Entries      []Entry
}

// appendReply says what the other disk has.
type appendReply struct {
	_ struct{} `cbor:",toarray"`
	// Refused says that a later epoch is known, or that To is not this disk.
	Refused bool
	Epoch   uint64
	// Matched says that Entries are on the disk, after Previous. If not, Next is
	// where the owner should go on.
	Matched bool
	Next    uint64
}
