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
	// CallTimeout bounds one call to a holder.
	CallTimeout timer.Millis
	Log         *zap.Logger
}

const defaultCallTimeout = 2 * timer.Second

// Client writes and reads segments on the fleet's holders. It is safe for
// concurrent use.
type Client struct{ options ClientOptions }

// NewClient returns a Client.
func NewClient(o ClientOptions) *Client {
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
	return &Client{options: o}
}

// NotEnoughHoldersError says that a segment could not be placed safely.
type NotEnoughHoldersError struct {
	Name string
	// Holders is how many took it.
	Holders int
	Err     error
}

func (e *NotEnoughHoldersError) Error() string {
	return fmt.Sprintf("segment %q: only %d holders took it: %v", e.Name, e.Holders, e.Err)
}

func (e *NotEnoughHoldersError) Unwrap() error { return e.Err }

// HolderError says that a holder could not be made to take an append or a seal.
type HolderError struct {
	Name   string
	Holder string
	Err    error
}

func (e *HolderError) Error() string {
	return fmt.Sprintf("segment %q: holder %s: %v", e.Name, e.Holder, e.Err)
}

func (e *HolderError) Unwrap() error { return e.Err }

// UnreadableError says that no holder could give the records.
type UnreadableError struct {
	Name string
	// From is the first record that could not be read.
	From uint64
	Err  error
}

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("segment %q: record %d can't be read: %v", e.Name, e.From, e.Err)
}

func (e *UnreadableError) Unwrap() error { return e.Err }

// Record is the present record of members.
func (c *Client) Record() registrar.Record { return c.options.Viewer.View().Record }

func (c *Client) timeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.options.CallTimeout.Duration())
}

// AddressOf returns where the member of this name is reached.
func (c *Client) AddressOf(holder string) (string, error) {
	m, ok := c.Record().Member(holder)
	if !ok {
		return "", eris.Errorf("%s is not a member", holder)
	}
	return m.PeerAddress, nil
}

// call asks one holder by name, within the call timeout.
func call[Q any](ctx context.Context, c *Client, holder string, m messenger.Method, q Q) (segmenter.Answer, error) {
	address, err := c.AddressOf(holder)
	if err != nil {
		return segmenter.Answer{}, err
	}
	ctx, cancel := c.timeout(ctx)
	defer cancel()
	return segmenter.Ask(ctx, c.options.Caller, address, m, q)
}

// DescribeAt returns what one holder says of those segments that it knows.
func (c *Client) DescribeAt(ctx context.Context, holder string, names []string) ([]segmenter.Info, error) {
	a, err := call(ctx, c, holder, segmenter.MethodInfo, segmenter.InfoRequest{Names: names})
	return a.Infos, err
}

// SealAt seals a segment at one holder.
func (c *Client) SealAt(ctx context.Context, holder string, q segmenter.SealRequest) error {
	_, err := callOne(ctx, c, holder, segmenter.MethodSeal, q)
	return err
}

// DeleteAt deletes a segment at one holder.
func (c *Client) DeleteAt(ctx context.Context, holder, name string) error {
	_, err := call(ctx, c, holder, segmenter.MethodDelete, segmenter.DeleteRequest{Name: name})
	return err
}

// FetchAt tells a holder to copy a segment from another one. Only ctx bounds the
// time that it takes.
func (c *Client) FetchAt(ctx context.Context, holder registrar.Member, q segmenter.FetchRequest) error {
	_, err := segmenter.Ask(ctx, c.options.Caller, holder.PeerAddress, segmenter.MethodFetch, q)
	return err
}

// Caller is what calls are made with.
func (c *Client) Caller() messenger.Caller { return c.options.Caller }

func callOne[Q any](ctx context.Context, c *Client, holder string, m messenger.Method, q Q) (segmenter.Info, error) {
	a, err := call(ctx, c, holder, m, q)
	if err != nil {
		return segmenter.Info{}, err
	}
	if len(a.Infos) != 1 {
		return segmenter.Info{}, eris.Errorf("%s at %s: %d segments in the answer", m, holder, len(a.Infos))
	}
	return a.Infos[0], nil
}

// Read passes the records from sequence from up to before limit to each; limit
// 0 means all there are. It asks holders first, then every member with a data
// folder, and moves to the next when one is lost or its records are bad.
func (c *Client) Read(ctx context.Context, name string, holders []string, from, limit uint64, each func(sequence uint64, record []byte) error) error {
	return c.read(ctx, holders, segmenter.ReadRequest{Name: name, From: from, Limit: limit, MaxBytes: segmenter.PageBytes}, each)
}

// Page returns about a page's bytes of records from sequence from on, one at
// least; none when from is at the end.
func (c *Client) Page(ctx context.Context, name string, holders []string, from, limit uint64) ([][]byte, error) {
	var last error
	for _, h := range c.readOrder(name, holders) {
		p, err := c.page(ctx, h, segmenter.ReadRequest{Name: name, From: from, Limit: limit, MaxBytes: segmenter.PageBytes})
		if err == nil {
			return p.Records, nil
		}
		c.logUnreadable(name, h, err)
		last = worse(last, err)
	}
	return nil, &UnreadableError{Name: name, From: from, Err: last}
}

// ReadHeads is Read with each record cut to its first bytes. The holder still
// checks whole records.
func (c *Client) ReadHeads(ctx context.Context, name string, holders []string, from, limit uint64, bytes int, each func(sequence uint64, head []byte) error) error {
	return c.read(ctx, holders, segmenter.ReadRequest{Name: name, From: from, Limit: limit, MaxBytes: segmenter.PageBytes, HeadBytes: bytes}, each)
}

func (c *Client) read(ctx context.Context, holders []string, q segmenter.ReadRequest, each func(sequence uint64, record []byte) error) error {
	name, from, limit := q.Name, q.From, q.Limit
	order := c.readOrder(name, holders)
	var last error
	for i := 0; i < len(order); {
		q.From = from
		p, err := c.page(ctx, order[i], q)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			c.logUnreadable(name, order[i], err)
			last = worse(last, err)
			i++
			continue
		}
		for _, r := range p.Records {
			if err := each(from, r); err != nil {
				return err
			}
			from++
		}
		if p.End || (limit > 0 && from >= limit) {
			return nil
		}
	}
	return &UnreadableError{Name: name, From: from, Err: last}
}

// worse keeps the error that says more: anything before "unknown segment".
func worse(a, b error) error {
	if a == nil || segmenter.HasCode(a, segmenter.CodeUnknown) {
		return b
	}
	return a
}

func (c *Client) logUnreadable(name, holder string, err error) {
	if segmenter.HasCode(err, segmenter.CodeUnknown) {
		return
	}
	c.options.Log.Warn("segment not read from holder",
		zap.String("segment", name), zap.String("holder", holder), zap.Error(err))
}

func (c *Client) page(ctx context.Context, holder string, r segmenter.ReadRequest) (segmenter.Page, error) {
	a, err := call(ctx, c, holder, segmenter.MethodRead, r)
	if err != nil {
		return segmenter.Page{}, err
	}
	if a.Page == nil || a.Page.First != r.From || (len(a.Page.Records) == 0 && !a.Page.End) {
		return segmenter.Page{}, eris.Errorf("read of %q at %s: wrong page", r.Name, holder)
	}
	return *a.Page, nil
}

// readOrder is the holders, then the other members with a data folder.
func (c *Client) readOrder(name string, holders []string) []string {
	order := slices.Clone(holders)
	for _, m := range placer.Rank(c.Record(), name) {
		if !slices.Contains(order, m.Name) {
			order = append(order, m.Name)
		}
	}
	return order
}

// Copy writes the contents of records, one after the other, to w.
func (c *Client) Copy(ctx context.Context, name string, holders []string, limit uint64, w io.Writer) error {
	return c.Read(ctx, name, holders, 0, limit, func(_ uint64, r []byte) error {
		_, err := w.Write(r)
		return err
	})
}
