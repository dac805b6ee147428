package replicator

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/jackdawgate/jackdawgate/placer"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Frozen is what freezing a segment found.
type Frozen struct {
	// Records is the length of the shortest sound copy reached.
	Records uint64
	// Holders have the segment and were reached.
	Holders []string
	// Tail has the records that a longer copy has beyond Records. They were not
	// acknowledged, unless the shortest copy lost its end.
	Tail [][]byte
}

// LostError says that none of a segment's holders that were reached has it.
type LostError struct {
	Name string
	// Unreached holders may still have it.
	Unreached []string
	Err       error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("segment %q is at none of its holders; not reached: %v", e.Name, e.Unreached)
}

func (e *LostError) Unwrap() error { return e.Err }

// Freeze stops the segment's old writer and tells what there is. It fails with
// a LostError when no holder has the segment, and with a RefusedError of
// CodeOldEpoch when another writer has taken over since.
func (c *Client) Freeze(ctx context.Context, name string, holders []string, epoch registrar.Epoch) (Frozen, error) {
	found, lost := c.freezeAt(ctx, name, holders, epoch)
	if segmenter.HasCode(lost.Err, segmenter.CodeOldEpoch) {
		return Frozen{}, lost.Err
	}
	if len(found) == 0 {
		c.findCopies(ctx, name, holders, found, lost)
	}
	if len(found) == 0 {
		return Frozen{}, lost
	}
	out := Frozen{}
	var longest uint64
	var longestHolder string
	for _, h := range slices.Sorted(maps.Keys(found)) {
		n := found[h].Records
		if len(out.Holders) == 0 || n < out.Records {
			out.Records = n
		}
		if len(out.Holders) == 0 || n > longest {
			longest, longestHolder = n, h
		}
		out.Holders = append(out.Holders, h)
	}
	var err error
	out.Tail, err = c.tail(ctx, name, longestHolder, out.Records, longest)
	return out, err
}

// freezeAt freezes the segment at its holders. Of those that were not reached
// lost tells, and in Err of a holder that has seen a later epoch.
func (c *Client) freezeAt(ctx context.Context, name string, holders []string, epoch registrar.Epoch) (map[string]segmenter.Info, *LostError) {
	found, lost := make(map[string]segmenter.Info), &LostError{Name: name}
	members := make([]registrar.Member, len(holders))
	for i, h := range holders {
		members[i].Name = h
	}
	for _, r := range askAll(ctx, c, members, segmenter.MethodSeal, segmenter.SealRequest{Name: name, Epoch: epoch}) {
		switch {
		case segmenter.HasCode(r.err, segmenter.CodeOldEpoch):
			return nil, &LostError{Name: name, Err: r.err}
		case r.err != nil:
			lost.Unreached, lost.Err = append(lost.Unreached, r.member), r.err
		case len(r.answer.Infos) == 1 && r.answer.Infos[0].Usable():
			found[r.member] = r.answer.Infos[0]
		}
	}
	return found, lost
}

// findCopies looks for final copies at members that were not holders at first.
func (c *Client) findCopies(ctx context.Context, name string, holders []string, found map[string]segmenter.Info, lost *LostError) {
	others := slices.DeleteFunc(placer.Rank(c.Record(), name), func(m registrar.Member) bool {
		return slices.Contains(holders, m.Name)
	})
	for _, r := range askAll(ctx, c, others, segmenter.MethodInfo, segmenter.InfoRequest{Names: []string{name}}) {
		if r.err != nil {
			lost.Unreached, lost.Err = append(lost.Unreached, r.member), r.err
		}
		for _, i := range r.answer.Infos {
			if i.Whole() {
				found[r.member] = i
			}
		}
	}
}

// tail reads the records from sequence from up to before limit at one holder.
func (c *Client) tail(ctx context.Context, name, holder string, from, limit uint64) ([][]byte, error) {
	var out [][]byte
	for from < limit {
		p, err := c.page(ctx, holder, segmenter.ReadRequest{Name: name, From: from, Limit: limit, MaxBytes: segmenter.PageBytes})
		if err != nil {
			return nil, &UnreadableError{Name: name, From: from, Err: err}
		}
		out = append(out, p.Records...)
		from += uint64(len(p.Records))
	}
	return out, nil
}

// FinishRequest asks to make a frozen segment final.
type FinishRequest struct {
	Name    string
	Holders []string
	Epoch   registrar.Epoch
	// Records is the length. It must have been noted before where others look.
	Records uint64
	// Expires replaces the segment's expiry, unless it is zero.
	Expires timer.Millis
}

// Finish makes a frozen segment final. It is enough that one holder is reached:
// the others are brought to the same by package copier.
func (c *Client) Finish(ctx context.Context, r FinishRequest) error {
	done := 0
	var last error
	for _, h := range r.Holders {
		err := c.SealAt(ctx, h, segmenter.SealRequest{
			Name: r.Name, Epoch: r.Epoch, Final: true, Records: r.Records, Holders: r.Holders, Expires: r.Expires,
		})
		if err != nil {
			last = &HolderError{Name: r.Name, Holder: h, Err: err}
			continue
		}
		done++
	}
	if done == 0 {
		return last
	}
	return nil
}
