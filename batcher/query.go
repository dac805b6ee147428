package batcher

import (
	"context"
	"errors"
	"io"

	"github.com/jackdawgate/jackdawgate/bookkeeper"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/submitter"
	"github.com/jackdawgate/jackdawgate/tallier"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// localStatus returns the state of a job that this host runs.
func (b *Batcher) localStatus(ctx context.Context, id string) ownerResponse {
	m, known := b.scheduler.Status(ctx, id)
	return ownerResponse{Known: known, Manifest: m}
}

// localCancel stops a job that this host runs. m records the cancellation.
func (b *Batcher) localCancel(ctx context.Context, m bookkeeper.Manifest) ownerResponse {
	return ownerResponse{Known: b.scheduler.Cancel(ctx, m), Manifest: m}
}

// queryOwner queries the job's owner for its state. Known is false if the owner
// does not run the job or does not answer.
func (b *Batcher) queryOwner(ctx context.Context, id string) ownerResponse {
	s := b.options.Viewer.View()
	o, ok := s.Owner(coordinator.JobObject(id))
	if !ok {
		return ownerResponse{}
	}
	if o.Name == s.Self.Name {
		return b.localStatus(ctx, id)
	}
	a, err := callPeer[ownerResponse](ctx, b.options.Caller, o.PeerAddress, MethodStatus, statusRequest{JobID: id})
	if err != nil {
		return ownerResponse{}
	}
	return a
}

// currentManifest returns the newest available manifest of a job: the owner's, or
// the stored one if the owner does not return it.
func (b *Batcher) currentManifest(ctx context.Context, workspace, id string) (bookkeeper.Manifest, error) {
	if !bookkeeper.InWorkspace(id, workspace) {
		return bookkeeper.Manifest{}, &submitter.NotFoundError{Kind: "job", ID: id}
	}
	a := b.queryOwner(ctx, id)
	if a.Known && a.Manifest.Job.Workspace == workspace {
		return a.Manifest, nil
	}
	return b.storedManifest(ctx, workspace, id)
}

// storedManifest reads a job's manifest from the store. It fails with a
// *submitter.NotFoundError or a *submitter.UnavailableError.
func (b *Batcher) storedManifest(ctx context.Context, workspace, id string) (bookkeeper.Manifest, error) {
	m, _, err := b.manifests.Get(ctx, id)
	if errors.Is(err, bookkeeper.ErrNoManifest) || (err == nil && m.Job.Workspace != workspace) {
		return bookkeeper.Manifest{}, &submitter.NotFoundError{Kind: "job", ID: id}
	}
	if err != nil {
		return bookkeeper.Manifest{}, &submitter.UnavailableError{Code: submitter.CodeStoreUnavailable, ID: id, Err: err}
	}
	// The counts in a stored manifest are those of its last write. They are current
	// only before the job starts and after it has ended.
	m.Job.CountsKnown = m.Job.State == submitter.StateWaiting || m.Job.State.Ended()
	return m, nil
}

// Status implements submitter.API.
func (b *Batcher) Status(ctx context.Context, workspace, id string) (submitter.Job, error) {
	m, err := b.currentManifest(ctx, workspace, id)
	return m.Job, err
}

// maxCancelNotices is the maximum number of attempts to notify the owner of a
// cancellation.
const maxCancelNotices = 3

// Cancel implements submitter.API.
func (b *Batcher) Cancel(ctx context.Context, workspace, id string) (submitter.Job, error) {
	m, err := b.storedManifest(ctx, workspace, id)
	if err != nil || m.Job.State.Ended() {
		return m.Job, err
	}
	now := timer.Wall()
	m, err = b.manifests.Update(ctx, id, func(m bookkeeper.Manifest) (bookkeeper.Manifest, error) { return m.WithCancel(now), nil })
	if err != nil {
		return submitter.Job{}, &submitter.UnavailableError{Code: submitter.CodeStoreUnavailable, ID: id, Err: err}
	}
	b.log().Info("job cancellation recorded", zap.String("job", id), zap.String("workspace", workspace))
	b.notifyOwner(ctx, m)
	return m.Job, nil
}

// notifyOwner passes a recorded cancellation to the job's owner. An owner that
// can't be reached reads it when it next polls the manifest; a new owner reads it
// before it starts any item.
func (b *Batcher) notifyOwner(ctx context.Context, m bookkeeper.Manifest) {
	for range maxCancelNotices {
		s := b.options.Viewer.View()
		o, ok := s.Owner(coordinator.JobObject(m.Job.ID))
		if !ok {
			return
		}
		if o.Name == s.Self.Name {
			b.localCancel(ctx, m)
			return
		}
		_, err := callPeer[ownerResponse](ctx, b.options.Caller, o.PeerAddress, MethodCancel, cancelRequest{Manifest: m})
		if err == nil || ctx.Err() != nil {
			return
		}
		b.log().Warn("could not notify job's owner of cancellation", zap.String("job", m.Job.ID),
			zap.String("owner", o.Name), zap.Error(err))
	}
}

// List implements submitter.API. It sorts by the jobs' times of creation, which
// this host reads from the store once per job and caches.
func (b *Batcher) List(ctx context.Context, workspace string, p submitter.PageRequest) (submitter.JobPage, error) {
	ids, err := b.manifests.JobIDs(ctx, workspace)
	if err != nil {
		return submitter.JobPage{}, &submitter.UnavailableError{Code: submitter.CodeStoreUnavailable, ID: workspace, Err: err}
	}
	entries := make([]submitter.Entry, 0, len(ids))
	for _, id := range ids {
		at, err := b.createdAt(ctx, workspace, id)
		if nf := new(submitter.NotFoundError); errors.As(err, &nf) {
			continue
		}
		if err != nil {
			return submitter.JobPage{}, err
		}
		entries = append(entries, submitter.Entry{ID: id, Created: at})
	}
	chosen, more, ok := p.Paginate(entries)
	if !ok {
		return submitter.JobPage{}, &submitter.NotFoundError{Kind: "job", ID: p.After}
	}
	jobs, err := b.statuses(ctx, workspace, chosen)
	return submitter.JobPage{Jobs: jobs, More: more}, err
}

// maxStatusCalls bounds the owners that are asked at the same time for one list.
const maxStatusCalls = 32

// statuses returns the jobs of a list, in its order. It leaves out those that have been
// removed meanwhile.
func (b *Batcher) statuses(ctx context.Context, workspace string, list []submitter.Entry) ([]submitter.Job, error) {
	found := make([]*submitter.Job, len(list))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxStatusCalls)
	for i, e := range list {
		g.Go(func() error {
			j, err := b.Status(ctx, workspace, e.ID)
			if missing := new(submitter.NotFoundError); errors.As(err, &missing) {
				return nil
			}
			found[i] = &j
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	var out []submitter.Job
	for _, j := range found {
		if j != nil {
			out = append(out, *j)
		}
	}
	return out, nil
}

// maxCreatedCache is the number of cached creation times at which the cache is
// cleared.
const maxCreatedCache = 100_000

// createdAt returns the job's time of creation, from the cache or the store.
func (b *Batcher) createdAt(ctx context.Context, workspace, id string) (timer.Millis, error) {
	b.createdMu.Lock()
	at, ok := b.created[id]
	b.createdMu.Unlock()
	if ok {
		return at, nil
	}
	m, err := b.storedManifest(ctx, workspace, id)
	if err != nil {
		return 0, err
	}
	b.createdMu.Lock()
	defer b.createdMu.Unlock()
	if len(b.created) >= maxCreatedCache {
		clear(b.created)
	}
	b.created[id] = m.Job.Created
	return m.Job.Created, nil
}

var errOwnerUnavailable = errors.New("the host that runs the job does not answer; it or another one will soon")

// Output implements submitter.API. Only the job's owner has the number of records
// in an open result segment that are on every holder. If the owner does not
// answer, Output therefore fails with CodeOwnerUnavailable at an open segment.
func (b *Batcher) Output(ctx context.Context, workspace, id string, kind submitter.OutputKind, w io.Writer) error {
	m, err := b.currentManifest(ctx, workspace, id)
	if err != nil {
		return err
	}
	wanted := tallier.KindDone
	if kind == submitter.OutputFailed {
		wanted = tallier.KindFailed
	}
	seen := tallier.NewBitmap(m.Items.Records)
	for _, r := range m.Results {
		if r.Lost {
			continue
		}
		// The counts of a running job are known only if its owner returned m.
		if !r.Closed && !m.Job.CountsKnown {
			return &submitter.UnavailableError{Code: submitter.CodeOwnerUnavailable, ID: id, Err: errOwnerUnavailable}
		}
		if err := b.writeSegment(ctx, r, wanted, seen, w); err != nil {
			return err
		}
	}
	return nil
}

// writeSegment writes the lines of one result segment that are of the wanted
// kind. Items in seen are skipped, since only an item's first result counts; the
// items of this segment are added to it.
func (b *Batcher) writeSegment(ctx context.Context, r bookkeeper.SegmentRef, wanted tallier.Kind, seen tallier.Bitmap, w io.Writer) error {
	if r.Records == 0 {
		return nil
	}
	var writeErr error
	err := b.options.Archive.Read(ctx, r.Name, r.Holders, 0, r.Records, func(_ uint64, record []byte) error {
		h, err := tallier.DecodeHead(record)
		if err != nil {
			return err
		}
		if h.Kind == tallier.KindSuspect || !seen.Set(h.Item) || h.Kind != wanted {
			return nil
		}
		_, writeErr = w.Write(record[tallier.HeadBytes:])
		return writeErr
	})
	if err == nil || writeErr != nil || ctx.Err() != nil {
		return err
	}
	return &submitter.UnavailableError{Code: submitter.CodeHoldersUnavailable, ID: r.Name, Err: err}
}
