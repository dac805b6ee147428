package recorder

import (
	"bytes"
	"cmp"
	"crypto/ed25519"
	"fmt"
	"iter"
	"maps"
	"slices"

	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Query selects entries with From <= At < To, in Unix milliseconds. A zero To means
// no upper bound.
type Query struct {
	From timer.Millis `json:"from"`
	To   timer.Millis `json:"to"`
}

func (q Query) includes(at timer.Millis) bool {
	return at >= q.From && (q.To == 0 || at < q.To)
}

// Line is the usage of a workspace in one class of calls.
type Line struct {
	// Owner is the owner of the workspace, as recorded in the entries.
	Owner     string          `json:"owner"`
	Workspace string          `json:"workspace"`
	Class     requester.Class `json:"class"`
	Requests  int64           `json:"requests"`
	Usage     requester.Usage `json:"usage"`
}

// ChainTip is the last record of a chain that a bill includes.
type ChainTip struct {
	Header ChainHeader `json:"chain"`
	Number uint64      `json:"number"`
	Hash   []byte      `json:"hash"`
}

// Bill contains the totals of the records that match Query, and the chains from
// which they were computed.
type Bill struct {
	Query Query `json:"query"`
	// Lines are sorted by owner, workspace and class.
	Lines []Line `json:"lines"`
	// Tips has the last record of each chain, sorted by incarnation. Its key in JSON is
	// "heads".
	Tips []ChainTip `json:"heads"`
	// Unreached names the holders that did not answer, sorted. Usage of any part of the
	// query's period may be missing if their records are on no other holder.
	Unreached []string `json:"unreached,omitempty"`
	// Unsealed names the hosts whose earlier incarnations have a segment that the Sealer
	// has not finalized yet, sorted. The last records of those may be missing until then,
	// for about SealerOptions.Grace after the host was removed.
	Unsealed []string `json:"unsealed,omitempty"`
}

// Chain contains all records of one incarnation, in order. Batches can be iterated
// more than once and need not be in memory.
type Chain struct {
	Header  ChainHeader
	Batches iter.Seq2[SignedBatch, error]
	// Open means that a segment of the chain is not final; readers then may not see its
	// last batches.
	Open bool
}

// ChainFromBatches returns a chain of batches that are in memory.
func ChainFromBatches(h ChainHeader, batches []SignedBatch) Chain {
	return Chain{Header: h, Batches: func(yield func(SignedBatch, error) bool) {
		for _, b := range batches {
			if !yield(b, nil) {
				return
			}
		}
	}}
}

// FaultError identifies the first record that fails verification.
type FaultError struct {
	Kind        FaultKind
	Host        string
	Incarnation string
	// Number is the number of the record, or 0 if the fault is not in a single
	// record.
	Number uint64
}

func (e *FaultError) Error() string {
	return fmt.Sprintf("usage record %d of host %s, incarnation %s: %s", e.Number, e.Host, e.Incarnation, e.Kind)
}

// Keys contains trusted public keys by incarnation. Callers pass those of KeysOf.
type Keys map[string]ed25519.PublicKey

// aggregator adds up the usage of entries.
type aggregator struct {
	query Query
	lines map[lineKey]Line
	// segments contains the entries of batch jobs by RequestID, because they may be
	// recorded more than once.
	segments map[string]Entry
}

type lineKey struct {
	owner, workspace string
	class            requester.Class
}

func newAggregator(q Query) *aggregator {
	return &aggregator{query: q, lines: make(map[lineKey]Line), segments: make(map[string]Entry)}
}

// add counts an entry. It returns false if the entry differs in Workspace, Requests or
// Usage from an earlier entry of the same result segment. If it does not differ, it is
// not counted again, and the At of the earlier entry decides whether the query includes
// it.
func (s *aggregator) add(e Entry) bool {
	if e.Class == requester.Batch {
		if existing, ok := s.segments[e.RequestID]; ok {
			return existing.Workspace == e.Workspace && existing.Requests == e.Requests && existing.Usage == e.Usage
		}
		s.segments[e.RequestID] = e
	}
	if !s.query.includes(e.At) {
		return true
	}
	k := lineKey{e.Owner, e.Workspace, e.Class}
	l := s.lines[k]
	l.Owner, l.Workspace, l.Class = e.Owner, e.Workspace, e.Class
	l.Requests += max(e.Requests, 1)
	l.Usage.PromptTokens += e.Usage.PromptTokens
	l.Usage.CompletionTokens += e.Usage.CompletionTokens
	s.lines[k] = l
	return true
}

func (s *aggregator) sorted() []Line {
	return slices.SortedFunc(maps.Values(s.lines), func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
	})
}

// checker verifies one chain.
type checker struct {
	chain  Chain
	totals *aggregator
	number uint64
	hash   []byte
	// end is the number of the last record to check; 0 means the whole chain. Batches
	// are checked and counted whole, up to the end of the batch that has this record.
	end uint64
	// gap is the number of a record that was not at its position, or 0. The rest of
	// the chain shows whether the record is missing or out of order.
	gap uint64
	// keys, if not nil, receives the keys that the chain attests.
	keys Keys
}

func (c *checker) fault(k FaultKind, number uint64) *FaultError {
	return &FaultError{Kind: k, Host: c.chain.Header.Host, Incarnation: c.chain.Header.Incarnation, Number: number}
}

// checkChain verifies the chain up to the batch that has record c.end and returns the
// last record verified. The chain's key must be trusted.
func (c *checker) checkChain() (ChainTip, error) {
	var err error
	if c.hash, err = canonicalHash(c.chain.Header); err != nil {
		return ChainTip{}, err
	}
	for b, err := range c.chain.Batches {
		if err != nil {
			return ChainTip{}, err
		}
		if c.gap == 0 && c.end > 0 && c.number >= c.end {
			break
		}
		if err := c.checkBatch(b); err != nil {
			return ChainTip{}, err
		}
	}
	if c.gap > 0 {
		return ChainTip{}, c.fault(FaultMissing, c.gap)
	}
	return ChainTip{Header: c.chain.Header, Number: c.number, Hash: c.hash}, nil
}

// checkBatch verifies the hashes and the signature of a batch.
func (c *checker) checkBatch(b SignedBatch) error {
	for _, r := range b.Records {
		if err := c.checkRecord(r); err != nil {
			return err
		}
	}
	if c.gap == 0 && b.Last > c.number {
		c.gap = c.number + 1
	}
	if c.gap > 0 {
		return nil
	}
	if len(b.Records) == 0 || len(b.Signature) != ed25519.SignatureSize {
		return c.fault(FaultUnsigned, c.number)
	}
	if !ed25519.Verify(c.chain.Header.Key, signedMessage(c.number, c.hash), b.Signature) {
		// All links within the batch are valid, so the last record was changed.
		return c.fault(FaultTampered, c.number)
	}
	return nil
}

// checkRecord verifies and counts one record.
func (c *checker) checkRecord(r Record) error {
	if c.gap > 0 {
		if r.Number == c.gap {
			return c.fault(FaultReordered, c.gap)
		}
		return nil
	}
	hash, kind, err := checkLink(r, c.number, c.hash)
	switch {
	case err != nil:
		return err
	case kind == FaultMissing:
		c.gap = c.number + 1
		return nil
	case kind == FaultTampered:
		// The record before was changed. At the first record, its Previous or the
		// header was changed, which is reported as record 1.
		return c.fault(FaultTampered, max(c.number, 1))
	case kind != "":
		return c.fault(kind, r.Number)
	}
	c.number, c.hash = r.Number, hash
	if a := r.Attestation; a != nil && c.keys != nil && c.keys[a.Incarnation] == nil {
		c.keys[a.Incarnation] = a.Key
	}
	if r.Entry != nil && c.totals != nil && !c.totals.add(*r.Entry) {
		return c.fault(FaultConflict, r.Number)
	}
	return nil
}

// Compute verifies the chains and adds up the entries that match q. If a record is
// invalid it returns a FaultError for the first one, with the chains in order of
// incarnation.
func Compute(q Query, chains []Chain, keys Keys) (Bill, error) {
	return compute(q, chains, keys, nil)
}

// compute is Compute for chains that end at the record numbers in ends, by incarnation.
// A chain without a number there is read completely; see checker.end.
func compute(q Query, chains []Chain, keys Keys, ends map[string]uint64) (Bill, error) {
	chains = slices.SortedFunc(slices.Values(chains), func(a, b Chain) int {
		return cmp.Compare(a.Header.Incarnation, b.Header.Incarnation)
	})
	sums := newAggregator(q)
	bill := Bill{Query: q}
	trusted := trustedKeys(chains, keys)
	for _, c := range chains {
		k := &checker{chain: c, totals: sums, end: ends[c.Header.Incarnation]}
		if !bytes.Equal(trusted[c.Header.Incarnation], c.Header.Key) {
			return Bill{}, k.fault(FaultUnknownKey, 0)
		}
		tip, err := k.checkChain()
		if err != nil {
			return Bill{}, err
		}
		bill.Tips = append(bill.Tips, tip)
	}
	bill.Lines = sums.sorted()
	return bill, nil
}

// trustedKeys returns keys and the keys that trusted chains attest, directly or
// through other attested chains. Attestations of an invalid chain are ignored, and
// attestations do not replace a key that is already trusted.
func trustedKeys(chains []Chain, keys Keys) Keys {
	out := maps.Clone(keys)
	if out == nil {
		out = make(Keys)
	}
	visited := make(map[string]bool)
	for progressed := true; progressed; {
		progressed = false
		for _, c := range chains {
			if visited[c.Header.Incarnation] || !bytes.Equal(out[c.Header.Incarnation], c.Header.Key) {
				continue
			}
			visited[c.Header.Incarnation], progressed = true, true
			attested := make(Keys)
			if _, err := (&checker{chain: c, keys: attested}).checkChain(); err == nil {
				for k, v := range attested {
					if out[k] == nil {
						out[k] = v
					}
				}
			}
		}
	}
	return out
}

// Verify recomputes a bill from the records alone and returns a FaultError if it
// does not match. Records that were added after the bill was computed are not a
// fault. Records that it counted and that no longer exist are reported as
// FaultMissing.
func Verify(bill Bill, chains []Chain, keys Keys) error {
	ends := make(map[string]uint64, len(bill.Tips))
	for _, t := range bill.Tips {
		ends[t.Header.Incarnation] = t.Number
	}
	billed := slices.DeleteFunc(slices.Clone(chains), func(c Chain) bool { return ends[c.Header.Incarnation] == 0 })
	got, err := compute(bill.Query, billed, keys, ends)
	if err != nil {
		return err
	}
	for _, t := range bill.Tips {
		if err := checkTip(t, got.Tips); err != nil {
			return err
		}
	}
	if !slices.Equal(got.Lines, bill.Lines) {
		return &FaultError{Kind: FaultTotal}
	}
	return nil
}

func checkTip(want ChainTip, got []ChainTip) error {
	fault := &FaultError{Host: want.Header.Host, Incarnation: want.Header.Incarnation}
	i := slices.IndexFunc(got, func(t ChainTip) bool { return t.Header.Incarnation == want.Header.Incarnation })
	switch {
	case want.Number == 0:
		return nil
	case i < 0:
		fault.Kind, fault.Number = FaultMissing, 1
	case got[i].Number < want.Number:
		fault.Kind, fault.Number = FaultMissing, got[i].Number+1
	case !bytes.Equal(got[i].Hash, want.Hash):
		fault.Kind, fault.Number = FaultTampered, want.Number
	default:
		return nil
	}
	return fault
}
