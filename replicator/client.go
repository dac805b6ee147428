package replicator

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/placer"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Caller messenger.Caller
	Viewer coordinator.Viewer
	// CallTimeout limits each call to a holder except Client.FetchAt. Zero means
	// 2 s.
	CallTimeout timer.Millis
	Log         *zap.Logger
}

const defaultCallTimeout = 2 * timer.Second

// Client writes and reads segments at their holders. It is safe for concurrent
// use.
type Client struct{ options ClientOptions }

// NewClient returns a Client that uses the default for each option that is zero.
func NewClient(o ClientOptions) *Client {
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
	return &Client{options: o}
}

// NotEnoughHoldersError reports that too few members accepted a new segment for it
// to be safe.
type NotEnoughHoldersError struct {
	Name string
	// Holders is the number of members that accepted the segment.
	Holders int
	// Err is the last failure; nil if no call failed, because there are too few members.
	Err error
}

func (e *NotEnoughHoldersError) Error() string {
	return fmt.Sprintf("segment %q: only %d holders took it: %v", e.Name, e.Holders, e.Err)
}

func (e *NotEnoughHoldersError) Unwrap() error { return e.Err }

// HolderError reports that an append, a finalization or a deletion failed at a holder.
type HolderError struct {
	Name   string
	Holder string
	Err    error
}

func (e *HolderError) Error() string {
	return fmt.Sprintf("segment %q: holder %s: %v", e.Name, e.Holder, e.Err)
}

func (e *HolderError) Unwrap() error { return e.Err }

// UnreadableError reports that no holder could return the records or, from
// Client.Locate, that not all members responded and none of those that did has a
// complete copy.
type UnreadableError struct {
	Name string
	// From is the first record that could not be read, zero from Client.Locate.
	From uint64
	Err  error
}

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("segment %q: record %d can't be read: %v", e.Name, e.From, e.Err)
}

func (e *UnreadableError) Unwrap() error { return e.Err }

// Record returns the registrar.Record in force, which lists the members. It is not a
// record of a segment.
func (c *Client) Record() registrar.Record { return c.options.Viewer.View().Record }

func (c *Client) timeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.options.CallTimeout.Duration())
}

// PeerAddress returns the peer address of the member called holder.
func (c *Client) PeerAddress(holder string) (string, error) {
	m, ok := c.Record().Member(holder)
	if !ok {
		return "", eris.Errorf("%s is not a member", holder)
	}
	return m.PeerAddress, nil
}

// call calls one holder, given by its name, within the call timeout.
func call[Q any](ctx context.Context, c *Client, holder string, m messenger.Method, q Q) (segmenter.Answer, error) {
	address, err := c.PeerAddress(holder)
	if err != nil {
		return segmenter.Answer{}, err
	}
	ctx, cancel := c.timeout(ctx)
	defer cancel()
	return segmenter.Call(ctx, c.options.Caller, address, m, q)
}

// DescribeAt returns one holder's descriptions of the segments called names. It
// omits those that the holder has no state of.
func (c *Client) DescribeAt(ctx context.Context, holder string, names []string) ([]segmenter.Info, error) {
	a, err := call(ctx, c, holder, segmenter.MethodInfo, segmenter.InfoRequest{Names: names})
	return a.Infos, err
}

// SealAt freezes a segment at one holder and, if q.Final is set, makes it final.
func (c *Client) SealAt(ctx context.Context, holder string, q segmenter.SealRequest) error {
	_, err := callForInfo(ctx, c, holder, segmenter.MethodSeal, q)
	return err
}

// DeleteAt deletes a segment at one holder.
func (c *Client) DeleteAt(ctx context.Context, holder, name string) error {
	_, err := call(ctx, c, holder, segmenter.MethodDelete, segmenter.DeleteRequest{Name: name})
	return err
}

// FetchAt requests that a holder copy a segment from another one, and waits until
// it has. The call timeout does not apply; only ctx limits the duration.
func (c *Client) FetchAt(ctx context.Context, holder registrar.Member, q segmenter.FetchRequest) error {
	_, err := segmenter.Call(ctx, c.options.Caller, holder.PeerAddress, segmenter.MethodFetch, q)
	return err
}

// Caller returns the Caller that sends the Client's calls.
func (c *Client) Caller() messenger.Caller { return c.options.Caller }

// callForInfo calls one holder and returns the single segment that its answer
// describes.
func callForInfo[Q any](ctx context.Context, c *Client, holder string, m messenger.Method, q Q) (segmenter.Info, error) {
	a, err := call(ctx, c, holder, m, q)
	if err != nil {
		return segmenter.Info{}, err
	}
	if len(a.Infos) != 1 {
		return segmenter.Info{}, eris.Errorf("%s at %s: %d segments in the answer", m, holder, len(a.Infos))
	}
	return a.Infos[0], nil
}

// Read calls f for each record from position from up to but excluding position end, in
// order. If end is zero, it reads all readable records. It reads from holders first,
// then from every other member with a data folder, and moves on to the next when a
// call fails or a record is corrupt. It returns an UnreadableError if none is left,
// and an error of f or of ctx unchanged.
func (c *Client) Read(ctx context.Context, name string, holders []string, from, end uint64, f func(sequence uint64, record []byte) error) error {
	return c.read(ctx, holders, segmenter.ReadRequest{Name: name, From: from, Limit: end, MaxBytes: segmenter.PageBytes}, f)
}

// ReadPage returns consecutive records from position from up to but excluding position
// end (see Read), of about segmenter.PageBytes bytes but at least one. It returns none
// if from is at the end of the segment. It tries members in the order of Read.
func (c *Client) ReadPage(ctx context.Context, name string, holders []string, from, end uint64) ([][]byte, error) {
	var last error
	for _, h := range c.readOrder(name, holders) {
		p, err := c.readPage(ctx, h, segmenter.ReadRequest{Name: name, From: from, Limit: end, MaxBytes: segmenter.PageBytes})
		if err == nil {
			return p.Records, nil
		}
		c.logUnreadable(name, h, err)
		last = moreSpecific(last, err)
	}
	return nil, &UnreadableError{Name: name, From: from, Err: last}
}

// ReadHeads is like Read but returns only the first bytes of each record, at most as
// many as the parameter bytes gives. The holder still verifies the checksums of
// whole records.
func (c *Client) ReadHeads(ctx context.Context, name string, holders []string, from, end uint64, bytes int, f func(sequence uint64, head []byte) error) error {
	return c.read(ctx, holders, segmenter.ReadRequest{Name: name, From: from, Limit: end, MaxBytes: segmenter.PageBytes, HeadBytes: bytes}, f)
}

func (c *Client) read(ctx context.Context, holders []string, q segmenter.ReadRequest, f func(sequence uint64, record []byte) error) error {
	name, from, end := q.Name, q.From, q.Limit
	order := c.readOrder(name, holders)
	var last error
	for i := 0; i < len(order); {
		q.From = from
		p, err := c.readPage(ctx, order[i], q)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			c.logUnreadable(name, order[i], err)
			last = moreSpecific(last, err)
			i++
			continue
		}
		for _, r := range p.Records {
			if err := f(from, r); err != nil {
				return err
			}
			from++
		}
		if p.End || (end > 0 && from >= end) {
			return nil
		}
	}
	return &UnreadableError{Name: name, From: from, Err: last}
}

// moreSpecific returns b if a is nil or only reports an unknown segment, and a
// otherwise.
func moreSpecific(a, b error) error {
	if a == nil || segmenter.HasCode(a, segmenter.CodeUnknown) {
		return b
	}
	return a
}

// logUnreadable logs a failed read, unless the holder merely has no such segment.
func (c *Client) logUnreadable(name, holder string, err error) {
	if segmenter.HasCode(err, segmenter.CodeUnknown) {
		return
	}
	c.options.Log.Warn("failed to read segment from holder",
		zap.String("segment", name), zap.String("holder", holder), zap.Error(err))
}

// readPage reads one page at one holder and checks that it continues at r.From.
func (c *Client) readPage(ctx context.Context, holder string, r segmenter.ReadRequest) (segmenter.Page, error) {
	a, err := call(ctx, c, holder, segmenter.MethodRead, r)
	if err != nil {
		return segmenter.Page{}, err
	}
	if a.Page == nil || a.Page.First != r.From || (len(a.Page.Records) == 0 && !a.Page.End) {
		return segmenter.Page{}, eris.Errorf("read of %q at %s: wrong page", r.Name, holder)
	}
	return *a.Page, nil
}

// readOrder returns holders, followed by the other members with a data folder in
// order of preference.
func (c *Client) readOrder(name string, holders []string) []string {
	order := slices.Clone(holders)
	for _, m := range placer.Rank(c.Record(), name) {
		if !slices.Contains(order, m.Name) {
			order = append(order, m.Name)
		}
	}
	return order
}

// Copy writes the contents of all records before position end to w, without
// separators. If end is zero, it writes all readable records.
func (c *Client) Copy(ctx context.Context, name string, holders []string, end uint64, w io.Writer) error {
	return c.Read(ctx, name, holders, 0, end, func(_ uint64, r []byte) error {
		_, err := w.Write(r)
		return err
	})
}
