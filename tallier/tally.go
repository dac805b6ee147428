// Package tallier defines the format of a batch job's result records and sums
// them up: which items have a result, and the totals of each result segment.
//
// The first recorded result of an item counts; later ones are ignored. A Tally
// depends only on the records and their order, so that the new owner of a job
// can continue where the previous owner stopped.
package tallier

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/submitter"
)

// Bitmap holds one bit per item.
type Bitmap []uint64

// NewBitmap returns a Bitmap of at least n bits, all clear.
func NewBitmap(n uint64) Bitmap { return make(Bitmap, (n+63)/64) }

// Has reports whether bit i is set. Bits out of range are clear.
func (b Bitmap) Has(i uint64) bool { return i/64 < uint64(len(b)) && b[i/64]&(1<<(i%64)) != 0 }

// Set sets bit i and reports whether that changed the Bitmap. It has no effect if
// i is out of range.
func (b Bitmap) Set(i uint64) bool {
	if i/64 >= uint64(len(b)) || b.Has(i) {
		return false
	}
	b[i/64] |= 1 << (i % 64)
	return true
}

// Sums are the totals of one result segment.
type Sums struct {
	Requests int64
	Usage    requester.Usage
}

// Tally is the state of a job's results. It is not safe for concurrent use.
type Tally struct {
	// Total is the number of items of the job.
	Total uint64
	// Ended holds the items that have a result.
	Ended Bitmap
	// Counts holds the numbers of items by result, Done or Failed, and in all.
	Counts submitter.Counts
	// Suspects counts, for each item without a result, how often a backend server
	// crashed while running it.
	Suspects map[uint64]int
	// Sums maps the names of result segments to their totals.
	Sums map[string]Sums
	// OutputBytes and ErrorBytes are the sizes of the job's output and error files.
	OutputBytes, ErrorBytes int64
}

// New returns the tally of a job with total items, none of which has a result.
func New(total uint64) *Tally {
	return &Tally{
		Total: total, Ended: NewBitmap(total), Counts: submitter.Counts{Total: int64(total)},
		Suspects: make(map[uint64]int), Sums: make(map[string]Sums),
	}
}

// Clone returns a deep copy of t.
func (t *Tally) Clone() *Tally {
	c := *t
	c.Ended = slices.Clone(t.Ended)
	c.Suspects = make(map[uint64]int, len(t.Suspects))
	for k, v := range t.Suspects {
		c.Suspects[k] = v
	}
	c.Sums = make(map[string]Sums, len(t.Sums))
	for k, v := range t.Sums {
		c.Sums[k] = v
	}
	return &c
}

// Add counts a record of the given segment. It returns false if the record is a
// result of an item that already has one, or that is out of range.
func (t *Tally) Add(segment string, h Head) bool {
	if h.Kind == KindSuspect {
		if !t.Ended.Has(h.Item) {
			t.Suspects[h.Item]++
		}
		return true
	}
	if !t.Ended.Set(h.Item) {
		return false
	}
	delete(t.Suspects, h.Item)
	if h.Kind == KindDone {
		t.Counts.Done++
		t.OutputBytes += int64(h.LineBytes)
	} else {
		t.Counts.Failed++
		t.ErrorBytes += int64(h.LineBytes)
	}
	s := t.Sums[segment]
	s.Requests++
	s.Usage.PromptTokens += h.Usage.PromptTokens
	s.Usage.CompletionTokens += h.Usage.CompletionTokens
	t.Sums[segment] = s
	return true
}

// Complete reports whether every item has a result.
func (t *Tally) Complete() bool { return uint64(t.Counts.Done+t.Counts.Failed) >= t.Total }
