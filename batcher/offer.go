package batcher

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/bookkeeper"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// Methods that every host handles for its peers.
const (
	// MethodOffer offers jobs to their owner: it notifies the owner of them. The owner
	// adopts a job by passing it to scheduler.Scheduler.Adopt, which adds it to the
	// jobs that the host runs.
	MethodOffer  messenger.Method = "batcher/offer"
	MethodStatus messenger.Method = "batcher/status"
	MethodCancel messenger.Method = "batcher/cancel"
)

// Requests and responses of the methods. offerRequest notifies a host of jobs
// that it owns, and offerResponse lists those that it has adopted. statusRequest
// and cancelRequest are sent to a job's owner, which answers with an
// ownerResponse.
type (
	offerRequest struct {
		JobIDs []string `cbor:"1,keyasint"`
	}
	offerResponse struct {
		Adopted []string `cbor:"1,keyasint"`
	}
	statusRequest struct {
		JobID string `cbor:"1,keyasint"`
	}
	cancelRequest struct {
		Manifest bookkeeper.Manifest `cbor:"1,keyasint"`
	}
	ownerResponse struct {
		Known    bool                `cbor:"1,keyasint"`
		Manifest bookkeeper.Manifest `cbor:"2,keyasint"`
	}
)

// Register adds b's handlers for calls from other hosts to r.
func (b *Batcher) Register(r messenger.Registry) {
	r.Handle(MethodOffer, handlerFor(func(_ context.Context, q offerRequest) (offerResponse, error) {
		return b.adoptOffered(q), nil
	}))
	r.Handle(MethodStatus, handlerFor(func(ctx context.Context, q statusRequest) (ownerResponse, error) {
		return b.localStatus(ctx, q.JobID), nil
	}))
	r.Handle(MethodCancel, handlerFor(func(ctx context.Context, q cancelRequest) (ownerResponse, error) {
		return b.localCancel(ctx, q.Manifest), nil
	}))
}

// handlerFor returns a handler that decodes the request, calls f and sends the
// encoded response. A request that can't be decoded fails with the code
// bad-request.
func handlerFor[Q, A any](f func(context.Context, Q) (A, error)) messenger.Handler {
	return func(ctx context.Context, _ messenger.Peer, body []byte, send func([]byte) error) error {
		var q Q
		if err := cbor.Unmarshal(body, &q); err != nil {
			return &messenger.RemoteError{Code: "bad-request", Message: err.Error()}
		}
		a, err := f(ctx, q)
		if err != nil {
			return err
		}
		frame, err := bookkeeper.Encode(a)
		if err != nil {
			return eris.Wrap(err, "encode answer")
		}
		return send(frame)
	}
}

// ownerTimeout is the time limit of a call to a job's owner.
const ownerTimeout = 2 * timer.Second

// callPeer calls a method of the host at address and returns its response. The
// call takes at most ownerTimeout.
func callPeer[A, Q any](ctx context.Context, c messenger.Caller, address string, m messenger.Method, q Q) (A, error) {
	var a A
	body, err := bookkeeper.Encode(q)
	if err != nil {
		return a, eris.Wrapf(err, "encode %s", m)
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout.Duration())
	defer cancel()
	err = c.Call(ctx, address, m, body, func(frame []byte) error { return cbor.Unmarshal(frame, &a) })
	return a, eris.Wrapf(err, "%s at %s", m, address)
}

// adoptOffered adopts those offered jobs that this host owns.
func (b *Batcher) adoptOffered(q offerRequest) offerResponse {
	var a offerResponse
	s, now := b.options.Viewer.View(), b.options.Clock.Now()
	for _, id := range q.JobIDs {
		if !s.Owns(coordinator.JobObject(id), now) {
			continue
		}
		b.scheduler.Adopt(id)
		a.Adopted = append(a.Adopted, id)
	}
	return a
}

// offerTo offers jobs to their owner and returns those that it has adopted. If the
// owner is this host, no call is made.
func (b *Batcher) offerTo(ctx context.Context, owner registrar.Member, ids []string) ([]string, error) {
	if owner.Name == b.options.Viewer.View().Self.Name {
		return b.adoptOffered(offerRequest{JobIDs: ids}).Adopted, nil
	}
	a, err := callPeer[offerResponse](ctx, b.options.Caller, owner.PeerAddress, MethodOffer, offerRequest{JobIDs: ids})
	return a.Adopted, err
}

// offerer offers the jobs whose items this host holds to their owners. A new owner
// thereby receives its jobs without a list of jobs in the store. Only the
// goroutine of run may use it.
type offerer struct {
	b *Batcher
	// adopted has, by job, the owner that last adopted it and when.
	adopted map[string]adoption
}

type adoption struct {
	owner registrar.Member
	at    timer.Millis
}

func newOfferer(b *Batcher) *offerer { return &offerer{b: b, adopted: make(map[string]adoption)} }

// run offers jobs every OfferInterval until ctx ends.
func (f *offerer) run(ctx context.Context) {
	t := time.NewTicker(f.b.options.OfferInterval.Duration())
	defer t.Stop()
	for {
		f.offerAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// offerAll offers each owner those of its jobs that shouldOffer selects. If the
// local segments can't be listed, it does nothing.
func (f *offerer) offerAll(ctx context.Context) {
	infos, err := f.b.options.Local.List(segmenter.ListRequest{Prefix: bookkeeper.ItemsPrefix})
	if err != nil {
		return
	}
	s := f.b.options.Viewer.View()
	byOwner := make(map[string][]string)
	held := make(map[string]bool)
	for _, i := range infos {
		id, _, ok := strings.Cut(strings.TrimPrefix(i.Name, bookkeeper.ItemsPrefix), "/")
		o, owned := s.Owner(coordinator.JobObject(id))
		if !ok || !owned || !i.Final || i.Deleted || held[id] {
			continue
		}
		held[id] = true
		if f.shouldOffer(id, o) {
			byOwner[o.Name] = append(byOwner[o.Name], id)
		}
	}
	maps.DeleteFunc(f.adopted, func(id string, _ adoption) bool { return !held[id] })
	for _, name := range slices.Sorted(maps.Keys(byOwner)) {
		f.offer(ctx, s, name, byOwner[name])
	}
}

// shouldOffer reports whether the job should be offered to the owner now: if this
// incarnation of it has not adopted the job, or did so ReofferInterval ago.
func (f *offerer) shouldOffer(id string, o registrar.Member) bool {
	t, ok := f.adopted[id]
	return !ok || t.owner.Name != o.Name || t.owner.Incarnation != o.Incarnation ||
		f.b.options.Clock.Now()-t.at >= f.b.options.ReofferInterval
}

// offer offers jobs to the member called name, and records those that it adopted.
func (f *offerer) offer(ctx context.Context, s coordinator.Snapshot, name string, ids []string) {
	o, ok := s.Record.Member(name)
	if !ok {
		return
	}
	adopted, err := f.b.offerTo(ctx, o, ids)
	if err != nil {
		f.b.log().Debug("could not offer jobs to their owner", zap.String("owner", name), zap.Error(err))
	}
	for _, id := range adopted {
		f.adopted[id] = adoption{owner: o, at: f.b.options.Clock.Now()}
	}
}
