package recorder

import (
	"cmp"
	"context"
	"errors"
	"iter"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/replicator"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/rotisserie/eris"
)

// Collect returns the chains that the holders have, merged by incarnation and
// number. The batches are read from the holders when a chain is iterated. The
// second result names the holders that did not answer; if there are any, chains may
// be incomplete.
func Collect(ctx context.Context, a *replicator.Client) ([]Chain, []string, error) {
	l, err := a.List(ctx, usagePrefix)
	if err != nil {
		return nil, nil, err
	}
	byIncarnation := make(map[string][]usageSegment)
	for _, i := range l.Infos {
		var h segmentHeader
		if err := cbor.Unmarshal(i.Header, &h); err != nil {
			return nil, nil, eris.Wrapf(err, "decode header of %s", i.Name)
		}
		byIncarnation[h.Chain.Incarnation] = append(byIncarnation[h.Chain.Incarnation], usageSegment{info: i, header: h})
	}
	var out []Chain
	for _, k := range slices.Sorted(maps.Keys(byIncarnation)) {
		segments := byIncarnation[k]
		open := slices.ContainsFunc(segments, func(s usageSegment) bool { return !s.info.Final })
		out = append(out, Chain{Header: segments[0].header.Chain, Batches: mergedBatches(ctx, a, segments), Open: open})
	}
	return out, l.Unreached, nil
}

type usageSegment struct {
	info   segmenter.Info
	header segmentHeader
}

// mergedBatches returns the batches of an incarnation's segments in order. It skips
// batches whose records it has already returned.
func mergedBatches(ctx context.Context, a *replicator.Client, segments []usageSegment) iter.Seq2[SignedBatch, error] {
	slices.SortFunc(segments, func(x, y usageSegment) int { return cmp.Compare(x.header.First, y.header.First) })
	return func(yield func(SignedBatch, error) bool) {
		var last uint64
		for _, s := range segments {
			err := a.Read(ctx, s.info.Name, s.info.Holders, 0, 0, func(_ uint64, data []byte) error {
				var b SignedBatch
				if err := cbor.Unmarshal(data, &b); err != nil {
					return eris.Wrapf(err, "decode batch of %s", s.info.Name)
				}
				n := len(b.Records)
				if n == 0 || b.Records[n-1].Number <= last {
					return nil
				}
				last = b.Records[n-1].Number
				if !yield(b, nil) {
					return errStopped
				}
				return nil
			})
			if errors.Is(err, errStopped) {
				return
			}
			if err != nil {
				yield(SignedBatch{}, err)
				return
			}
		}
	}
}

// errStopped ends the reading of a segment when the consumer needs no more batches.
var errStopped = errors.New("iteration stopped")

// Report computes the bill from the records that the holders have. The bill names the
// holders that do not answer, and the hosts whose last records may not be readable yet; in
// both cases it may be incomplete.
func Report(ctx context.Context, a *replicator.Client, q Query, keys Keys) (Bill, error) {
	chains, unreached, err := Collect(ctx, a)
	if err != nil {
		return Bill{}, err
	}
	b, err := Compute(q, chains, keys)
	b.Unreached = slices.Sorted(slices.Values(unreached))
	members := a.Record()
	for _, c := range chains {
		if c.Open && !members.HasMember(c.Header.Host, c.Header.Incarnation) {
			b.Unsealed = append(b.Unsealed, c.Header.Host)
		}
	}
	slices.Sort(b.Unsealed)
	b.Unsealed = slices.Compact(b.Unsealed)
	return b, err
}
