package mirrorer

import "github.com/jackdawgate/jackdawgate/messenger"

// methodAppend sends entries from a group's owner to another disk.
const methodAppend messenger.Method = "mirrorer/append"

// appendRequest requests a disk to append Entries after the entry at index Previous,
// whose term is PreviousTerm. Without Entries it only queries whether the disk has that
// entry.
type appendRequest struct {
	_     struct{} `cbor:",toarray"`
	Group int
	Epoch uint64
	// Owner is the sender's disk, To the recipient's.
	Owner, To string
	// Base is the index of the last entry that the owner has removed. The entries
	// after it start with a checkpoint that all holders have.
	Base         uint64
	Previous     uint64
	PreviousTerm Term
	Entries      []Entry
}

// last returns the index of the last entry that the disk has after m.
func (m appendRequest) last() uint64 { return m.Previous + uint64(len(m.Entries)) }

// appendReply reports which of the owner's entries the disk has.
type appendReply struct {
	_ struct{} `cbor:",toarray"`
	// Refused reports that the disk has received an epoch later than the owner's, that
	// To is another disk, or that the disk failed. Epoch is the highest epoch that the
	// disk has received.
	Refused bool
	Epoch   uint64
	// Matched reports that the disk has Entries, after Previous. If it does not, Next
	// is the index from which the owner should continue.
	Matched bool
	Next    uint64
}
