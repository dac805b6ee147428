package recorder

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
)

// Entry is the usage of one call, or of one result segment of a batch job.
type Entry struct {
	RequestID string `cbor:"1,keyasint" json:"request-id"`
	Workspace string `cbor:"2,keyasint" json:"workspace"`
	// Owner is the owner that the workspace had when the entry was recorded.
	Owner string          `cbor:"3,keyasint" json:"owner"`
	Class requester.Class `cbor:"4,keyasint" json:"class"`
	Usage requester.Usage `cbor:"5,keyasint" json:"usage"`
	// At is the time at which the outcome was recorded, in Unix milliseconds.
	At timer.Millis `cbor:"6,keyasint" json:"at"`
	// Requests is the number of calls that the entry represents; 0 means 1.
	Requests int64 `cbor:"7,keyasint" json:"requests"`
}

// Attestation records the public key of another host's incarnation.
type Attestation struct {
	Host        string `cbor:"1,keyasint" json:"host"`
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	Key         []byte `cbor:"3,keyasint" json:"key"`
}

// Record is one link of a chain. It contains either an Entry or an Attestation.
type Record struct {
	// Number is the record's position in the chain, starting at 1.
	Number uint64 `cbor:"1,keyasint" json:"number"`
	// Previous is the hash of the previous record, or of the ChainHeader for the
	// first record.
	Previous    []byte       `cbor:"2,keyasint" json:"previous"`
	Entry       *Entry       `cbor:"3,keyasint,omitempty" json:"entry,omitempty"`
	Attestation *Attestation `cbor:"4,keyasint,omitempty" json:"attestation,omitempty"`
}

// ChainHeader identifies a chain and contains the public key that verifies it. The
// first record of the chain contains its hash.
type ChainHeader struct {
	Host        string `cbor:"1,keyasint" json:"host"`
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	Key         []byte `cbor:"3,keyasint" json:"key"`
}

// SignedBatch is a sequence of consecutive records with a signature. The signature covers
// them and, through the hashes, all earlier records of the chain.
type SignedBatch struct {
	Records   []Record `cbor:"1,keyasint" json:"records"`
	Signature []byte   `cbor:"2,keyasint" json:"signature"`
	// Last is the number of the last record that the signature covers. It shows whether
	// records are missing at the end of Records.
	Last uint64 `cbor:"3,keyasint" json:"last"`
}

// segmentHeader is the header of a usage segment.
type segmentHeader struct {
	Chain ChainHeader `cbor:"1,keyasint"`
	// First is the number of the segment's first usage record.
	First uint64 `cbor:"2,keyasint"`
}

var encoding = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// canonicalHash returns the SHA-256 hash of v's canonical CBOR encoding.
func canonicalHash(v any) ([]byte, error) {
	b, err := encoding.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "encode usage record")
	}
	h := sha256.Sum256(b)
	return h[:], nil
}

// signatureContext separates these signatures from other uses of the same key.
const signatureContext = "jackdawgate usage batch"

// signedMessage returns the message that a batch's signature signs: the context
// and the last record's number and hash.
func signedMessage(last uint64, hash []byte) []byte {
	b := append([]byte(signatureContext), 0)
	b = binary.BigEndian.AppendUint64(b, last)
	return append(b, hash...)
}

// ChainWriter creates the records of one chain. It is not safe for concurrent use.
type ChainWriter struct {
	key    ed25519.PrivateKey
	number uint64
	hash   []byte
}

// NewChainWriter returns a writer that starts a chain, whose batches key signs.
func NewChainWriter(h ChainHeader, key ed25519.PrivateKey) (*ChainWriter, error) {
	hash, err := canonicalHash(h)
	return &ChainWriter{key: key, hash: hash}, err
}

// Batch creates and signs the next records of the chain: the attestations, then the
// entries. If it fails, the chain is unchanged.
func (c *ChainWriter) Batch(entries []Entry, attestations []Attestation) (SignedBatch, error) {
	var b SignedBatch
	number, hash := c.number, c.hash
	add := func(r Record) error {
		number++
		r.Number, r.Previous = number, hash
		next, err := canonicalHash(r)
		if err != nil {
			return err
		}
		b.Records, hash = append(b.Records, r), next
		return nil
	}
	for i := range attestations {
		if err := add(Record{Attestation: &attestations[i]}); err != nil {
			return SignedBatch{}, err
		}
	}
	for i := range entries {
		if err := add(Record{Entry: &entries[i]}); err != nil {
			return SignedBatch{}, err
		}
	}
	b.Last = number
	b.Signature = ed25519.Sign(c.key, signedMessage(number, hash))
	c.number, c.hash = number, hash
	return b, nil
}

// FaultKind says why verification failed.
type FaultKind string

// Kinds of faults.
const (
	FaultTampered   FaultKind = "tampered"
	FaultMissing    FaultKind = "missing"
	FaultRepeated   FaultKind = "repeated"
	FaultReordered  FaultKind = "reordered"
	FaultUnsigned   FaultKind = "unsigned"
	FaultUnknownKey FaultKind = "unknown-key"
	// FaultConflict means that two batch-job entries with the same RequestID differ in
	// Workspace, Requests or Usage.
	FaultConflict FaultKind = "conflict"
	// FaultTotal means that the records are valid but the bill's totals do not match
	// them.
	FaultTotal FaultKind = "total"
)

// checkLink checks that r directly follows the record with this number and hash,
// and returns r's hash. The FaultKind is empty if r is valid. FaultTampered means that
// r.Previous does not match hash, which is attributed to a change of the record before
// r.
func checkLink(r Record, number uint64, hash []byte) ([]byte, FaultKind, error) {
	switch {
	case r.Number > number+1:
		return nil, FaultMissing, nil
	case r.Number <= number:
		return nil, FaultRepeated, nil
	case !bytes.Equal(r.Previous, hash):
		return nil, FaultTampered, nil
	}
	next, err := canonicalHash(r)
	return next, "", err
}
