package replicator

import (
	"context"
	"slices"
	"sync"

	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/placer"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/rotisserie/eris"
)

// reply is the outcome of a call to one member.
type reply struct {
	member string
	answer segmenter.Answer
	err    error
}

// maxParallelCalls is the number of members that callAll calls at the same time.
const maxParallelCalls = 16

// callAll calls members in parallel and returns their replies in the order of
// members.
func callAll[Q any](ctx context.Context, c *Client, members []registrar.Member, m messenger.Method, q Q) []reply {
	out := make([]reply, len(members))
	slots := make(chan struct{}, maxParallelCalls)
	var group sync.WaitGroup
	for i, o := range members {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			a, err := call(ctx, c, o.Name, m, q)
			out[i] = reply{member: o.Name, answer: a, err: err}
		})
	}
	group.Wait()
	return out
}

// DescribeAll returns the descriptions of a segment by all members with a data
// folder that answer, by member. Members that have no state of the segment are
// omitted. It fails only if no member describes the segment and a call failed.
func (c *Client) DescribeAll(ctx context.Context, name string) (map[string]segmenter.Info, error) {
	out := make(map[string]segmenter.Info)
	var last error
	for _, r := range callAll(ctx, c, placer.Rank(c.Record(), name), segmenter.MethodInfo, segmenter.InfoRequest{Names: []string{name}}) {
		if r.err != nil {
			last = r.err
		}
		for _, i := range r.answer.Infos {
			out[r.member] = i
		}
	}
	if len(out) == 0 && last != nil {
		return nil, last
	}
	return out, nil
}

// Locate returns the description of the first complete copy (see
// segmenter.Info.Complete) that it finds. It calls the members with a data folder: one
// in each data centre first, and otherwise in the order of preference for the segment.
// The error is a RefusedError with CodeUnknown or CodeDeleted if all members answered
// and none has a complete copy, and an UnreadableError if a call failed.
func (c *Client) Locate(ctx context.Context, name string) (segmenter.Info, error) {
	var last error
	code := segmenter.CodeUnknown
	for _, m := range placer.Spread(placer.Rank(c.Record(), name)) {
		a, err := call(ctx, c, m.Name, segmenter.MethodInfo, segmenter.InfoRequest{Names: []string{name}})
		if err != nil {
			last = err
			continue
		}
		for _, i := range a.Infos {
			switch {
			case i.Complete():
				return i, nil
			case i.Deleted:
				code = segmenter.CodeDeleted
			}
		}
	}
	if last != nil {
		return segmenter.Info{}, &UnreadableError{Name: name, Err: last}
	}
	return segmenter.Info{}, &segmenter.RefusedError{Code: code, Name: name}
}

// ListResult has the segments of the members that answered.
type ListResult struct {
	// Infos are sorted by name and have one entry for each name. Deleted and missing
	// segments are omitted.
	Infos []segmenter.Info
	// Unreached are the members whose calls failed.
	Unreached []string
}

// List returns the segments whose names start with prefix. It fails only if no
// member answers.
func (c *Client) List(ctx context.Context, prefix string) (ListResult, error) {
	best := make(map[string]segmenter.Info)
	var out ListResult
	var last error
	replies := callAll(ctx, c, placer.Rank(c.Record(), prefix), segmenter.MethodList, segmenter.ListRequest{Prefix: prefix})
	for _, r := range replies {
		if r.err != nil {
			last = r.err
			out.Unreached = append(out.Unreached, r.member)
		}
		for _, i := range r.answer.Infos {
			best[i.Name] = segmenter.Prefer(best[i.Name], i)
		}
	}
	if len(out.Unreached) == len(replies) {
		return ListResult{}, eris.Wrapf(last, "no holder lists %q", prefix)
	}
	for _, i := range best {
		if !i.Deleted && !i.Missing {
			out.Infos = append(out.Infos, i)
		}
	}
	slices.SortFunc(out.Infos, func(a, b segmenter.Info) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out, nil
}

// Delete deletes a segment at every member that has it. It returns a HolderError
// unless all members with a data folder answered. It is idempotent.
func (c *Client) Delete(ctx context.Context, name string) error {
	for _, r := range callAll(ctx, c, placer.Rank(c.Record(), name), segmenter.MethodDelete, segmenter.DeleteRequest{Name: name}) {
		if r.err != nil && !segmenter.HasCode(r.err, segmenter.CodeUnknown) {
			return &HolderError{Name: name, Holder: r.member, Err: r.err}
		}
	}
	return nil
}
