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

// FreezeResult describes the copies of a segment that has been frozen.
type FreezeResult struct {
	// Records is the number of records in the shortest usable copy that was reached.
	Records uint64
	// Holders are the members that were reached and have a usable copy, sorted by
	// name.
	Holders []string
	// Tail has the records that the longest copy has beyond Records. They were not
	// acknowledged, unless the shortest copy has lost records at its end.
	Tail [][]byte
}

// NoCopyError reports that none of the members that were reached has a usable copy of
// a segment.
type NoCopyError struct {
	Name string
	// Unreached are the members whose calls failed. They may still have a copy.
	Unreached []string
	// Err is the failure of the last of them.
	Err error
}

func (e *NoCopyError) Error() string {
	return fmt.Sprintf("segment %q is at none of its holders; not reached: %v", e.Name, e.Unreached)
}

func (e *NoCopyError) Unwrap() error { return e.Err }

// Freeze makes the holders reject further appends to the segment, so that its
// earlier writer stops, and returns the state of their copies. It returns a
// NoCopyError if no member that was reached has a usable copy, and a RefusedError with
// CodeOldEpoch if another writer has taken over with a later epoch.
func (c *Client) Freeze(ctx context.Context, name string, holders []string, epoch registrar.Epoch) (FreezeResult, error) {
	found, noCopy := c.freezeHolders(ctx, name, holders, epoch)
	if segmenter.HasCode(noCopy.Err, segmenter.CodeOldEpoch) {
		return FreezeResult{}, noCopy.Err
	}
	if len(found) == 0 {
		c.findCopies(ctx, name, holders, found, noCopy)
	}
	if len(found) == 0 {
		return FreezeResult{}, noCopy
	}
	out := FreezeResult{}
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
	out.Tail, err = c.readTail(ctx, name, longestHolder, out.Records, longest)
	return out, err
}

// freezeHolders freezes the segment at its holders and returns the usable copies.
// The NoCopyError lists the holders whose calls failed. If a holder has seen a later
// epoch, the map is nil and the Err of the NoCopyError is that holder's refusal.
func (c *Client) freezeHolders(ctx context.Context, name string, holders []string, epoch registrar.Epoch) (map[string]segmenter.Info, *NoCopyError) {
	found, noCopy := make(map[string]segmenter.Info), &NoCopyError{Name: name}
	members := make([]registrar.Member, len(holders))
	for i, h := range holders {
		members[i].Name = h
	}
	for _, r := range callAll(ctx, c, members, segmenter.MethodSeal, segmenter.SealRequest{Name: name, Epoch: epoch}) {
		switch {
		case segmenter.HasCode(r.err, segmenter.CodeOldEpoch):
			return nil, &NoCopyError{Name: name, Err: r.err}
		case r.err != nil:
			noCopy.Unreached, noCopy.Err = append(noCopy.Unreached, r.member), r.err
		case len(r.answer.Infos) == 1 && r.answer.Infos[0].Usable():
			found[r.member] = r.answer.Infos[0]
		}
	}
	return found, noCopy
}

// findCopies adds to found the complete copies (see segmenter.Info.Complete) at members
// that are not in holders. The segment may have been copied to other members without a
// new list of holders reaching the caller. Complete copies are final and need not be
// frozen. Members whose calls fail are added to noCopy.
func (c *Client) findCopies(ctx context.Context, name string, holders []string, found map[string]segmenter.Info, noCopy *NoCopyError) {
	others := slices.DeleteFunc(placer.Rank(c.Record(), name), func(m registrar.Member) bool {
		return slices.Contains(holders, m.Name)
	})
	for _, r := range callAll(ctx, c, others, segmenter.MethodInfo, segmenter.InfoRequest{Names: []string{name}}) {
		if r.err != nil {
			noCopy.Unreached, noCopy.Err = append(noCopy.Unreached, r.member), r.err
		}
		for _, i := range r.answer.Infos {
			if i.Complete() {
				found[r.member] = i
			}
		}
	}
}

// readTail reads the records from position from up to but excluding position end at one
// holder.
func (c *Client) readTail(ctx context.Context, name, holder string, from, end uint64) ([][]byte, error) {
	var out [][]byte
	for from < end {
		p, err := c.readPage(ctx, holder, segmenter.ReadRequest{Name: name, From: from, Limit: end, MaxBytes: segmenter.PageBytes})
		if err != nil {
			return nil, &UnreadableError{Name: name, From: from, Err: err}
		}
		out = append(out, p.Records...)
		from += uint64(len(p.Records))
	}
	return out, nil
}

// FinalizeRequest specifies how to finalize a frozen segment.
type FinalizeRequest struct {
	Name    string
	Holders []string
	Epoch   registrar.Epoch
	// Records is the final number of records. The caller must already have recorded
	// it where other hosts read it, so that no other length can be chosen.
	Records uint64
	// Expires replaces the segment's time of expiry, unless it is zero.
	Expires timer.Millis
}

// Finalize makes a frozen segment final. It succeeds if at least one holder does so;
// package copier then brings the others to the same state. Otherwise it returns a
// HolderError, or nil if r has no holders.
func (c *Client) Finalize(ctx context.Context, r FinalizeRequest) error {
	finalized := 0
	var last error
	for _, h := range r.Holders {
		err := c.SealAt(ctx, h, segmenter.SealRequest{
			Name: r.Name, Epoch: r.Epoch, Final: true, Records: r.Records, Holders: r.Holders, Expires: r.Expires,
		})
		if err != nil {
			last = &HolderError{Name: r.Name, Holder: h, Err: err}
			continue
		}
		finalized++
	}
	if finalized == 0 {
		return last
	}
	return nil
}
