package recorder_test

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"slices"
	"testing"

	"github.com/jackdawgate/jackdawgate/recorder"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// newChain returns a valid chain of n entries in batches of the given length.
func newChain(t require.TestingT, incarnation string, n, batch int) (recorder.ChainHeader, []recorder.SignedBatch, ed25519.PublicKey) {
	key := ed25519.NewKeyFromSeed(bytes.Repeat([]byte(incarnation), 32)[:32])
	public := key.Public().(ed25519.PublicKey)
	head := recorder.ChainHeader{Host: "h", Incarnation: incarnation, Key: public}
	c, err := recorder.NewChainWriter(head, key)
	require.NoError(t, err)
	var out []recorder.SignedBatch
	for i := 0; i < n; i += batch {
		var es []recorder.Entry
		for j := i; j < min(i+batch, n); j++ {
			es = append(es, recorder.Entry{
				RequestID: fmt.Sprint(incarnation, j), Workspace: fmt.Sprint("w", j%3), Owner: "o",
				Class: requester.Online, Usage: requester.Usage{PromptTokens: int64(j)}, At: timer.Millis(j),
			})
		}
		b, err := c.Batch(es, nil)
		require.NoError(t, err)
		out = append(out, b)
	}
	return head, out, public
}

// position returns the index of the batch that contains the record with this
// number, and the record's index in it.
func position(bs []recorder.SignedBatch, number uint64) (int, int) {
	for i, b := range bs {
		for j, r := range b.Records {
			if r.Number == number {
				return i, j
			}
		}
	}
	return -1, -1
}

// For each way to falsify the records, Verify must report the kind of fault and the
// first invalid record.
func TestVerifyReportsFirstInvalidRecord(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(r, "n")
		batch := rapid.IntRange(1, 9).Draw(r, "batch")
		headA, a, keyA := newChain(r, "a", 5, 2)
		head, bs, key := newChain(r, "b", n, batch)
		keys := recorder.Keys{"a": keyA, "b": key}
		chains := func(bs []recorder.SignedBatch) []recorder.Chain {
			return []recorder.Chain{recorder.ChainFromBatches(head, bs), recorder.ChainFromBatches(headA, a)}
		}
		bill, err := recorder.Compute(recorder.Query{}, chains(bs), keys)
		require.NoError(r, err)
		require.NoError(r, recorder.Verify(bill, chains(bs), keys))

		number := uint64(rapid.IntRange(1, n).Draw(r, "number"))
		i, j := position(bs, number)
		at := &bs[i].Records
		kind := rapid.SampledFrom([]recorder.FaultKind{
			recorder.FaultTampered, recorder.FaultMissing, recorder.FaultRepeated, recorder.FaultReordered,
		}).Draw(r, "kind")
		want := number
		switch kind {
		case recorder.FaultTampered:
			e := *(*at)[j].Entry
			e.Usage.PromptTokens++
			(*at)[j].Entry = &e
		case recorder.FaultMissing:
			*at = slices.Delete(*at, j, j+1)
			if len(*at) == 0 {
				bs = slices.Delete(bs, i, i+1)
			}
		case recorder.FaultRepeated:
			*at = slices.Insert(*at, j, (*at)[j])
		case recorder.FaultReordered:
			k := uint64(rapid.IntRange(1, n-1).Draw(r, "other"))
			if k >= number {
				k++
			}
			want = min(k, number)
			x, y := position(bs, k)
			(*at)[j], bs[x].Records[y] = bs[x].Records[y], (*at)[j]
		}
		var fault *recorder.FaultError
		require.ErrorAs(r, recorder.Verify(bill, chains(bs), keys), &fault)
		require.Equal(r, "b", fault.Incarnation)
		require.Equal(r, want, fault.Number, "%s", kind)
		require.Equal(r, kind, fault.Kind)
	})
}

// The owner of the key signs a different history of the same length. Verify must
// detect it by the bill's chain tips.
func TestVerifyDetectsResignedChain(t *testing.T) {
	head, bs, key := newChain(t, "b", 10, 3)
	keys := recorder.Keys{"b": key}
	bill, err := recorder.Compute(recorder.Query{}, []recorder.Chain{recorder.ChainFromBatches(head, bs)}, keys)
	require.NoError(t, err)
	c, err := recorder.NewChainWriter(head, ed25519.NewKeyFromSeed(bytes.Repeat([]byte("b"), 32)))
	require.NoError(t, err)
	var forged []recorder.SignedBatch
	for _, b := range bs {
		var es []recorder.Entry
		for _, r := range b.Records {
			e := *r.Entry
			e.RequestID += "x"
			es = append(es, e)
		}
		f, err := c.Batch(es, nil)
		require.NoError(t, err)
		forged = append(forged, f)
	}
	var fault *recorder.FaultError
	require.ErrorAs(t, recorder.Verify(bill, []recorder.Chain{recorder.ChainFromBatches(head, forged)}, keys), &fault)
	require.Equal(t, recorder.FaultTampered, fault.Kind)
}

func TestBatchEntriesOfOneSegmentCountOnce(t *testing.T) {
	key := ed25519.NewKeyFromSeed(make([]byte, 32))
	head := recorder.ChainHeader{Host: "h", Incarnation: "i", Key: key.Public().(ed25519.PublicKey)}
	keys := recorder.Keys{"i": head.Key}
	e := recorder.Entry{RequestID: "results/j/1", Workspace: "w", Class: requester.Batch, Requests: 100, At: 1}
	repeated, conflicting := e, e
	repeated.At = 5
	conflicting.Requests = 101
	chainOf := func(es ...recorder.Entry) []recorder.Chain {
		c, err := recorder.NewChainWriter(head, key)
		require.NoError(t, err)
		b, err := c.Batch(es, nil)
		require.NoError(t, err)
		return []recorder.Chain{recorder.ChainFromBatches(head, []recorder.SignedBatch{b})}
	}
	bill, err := recorder.Compute(recorder.Query{}, chainOf(e, repeated), keys)
	require.NoError(t, err)
	require.Equal(t, int64(100), bill.Lines[0].Requests)
	_, err = recorder.Compute(recorder.Query{}, chainOf(e, conflicting), keys)
	var fault *recorder.FaultError
	require.ErrorAs(t, err, &fault)
	require.Equal(t, recorder.FaultConflict, fault.Kind)
	require.Equal(t, uint64(2), fault.Number)
}

func BenchmarkBatch(b *testing.B) {
	for _, size := range []int{1, 16, 512} {
		b.Run(fmt.Sprintf("records=%d", size), func(b *testing.B) {
			key := ed25519.NewKeyFromSeed(make([]byte, 32))
			c, err := recorder.NewChainWriter(recorder.ChainHeader{Key: key.Public().(ed25519.PublicKey)}, key)
			require.NoError(b, err)
			es := make([]recorder.Entry, size)
			for i := range es {
				es[i] = recorder.Entry{RequestID: "0198c0de-0000-7000-8000-00000000000f", Workspace: "kitchen", Owner: "sundarban", Class: requester.Online}
			}
			b.ResetTimer()
			for range b.N {
				if _, err := c.Batch(es, nil); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size)*float64(b.N)/b.Elapsed().Seconds(), "records/s")
		})
	}
}
