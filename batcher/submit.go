package batcher

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"hash"
	"io"

	"github.com/google/uuid"
	"github.com/jackdawgate/jackdawgate/bookkeeper"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/filer"
	"github.com/jackdawgate/jackdawgate/opener"
	"github.com/jackdawgate/jackdawgate/parser"
	"github.com/jackdawgate/jackdawgate/replicator"
	"github.com/jackdawgate/jackdawgate/submitter"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// acceptTimeout is the time limit of writing the manifest. It includes the reads that
// determine whether the manifest was written, if a response of the store is lost.
const acceptTimeout = 15 * timer.Second

// maxSubmission is how long the items of a job may take to arrive. It leaves half of
// opener.OrphanAge for differences between hosts' clocks, since the items are deleted
// if they have that age and no manifest.
const maxSubmission = opener.OrphanAge / 2

// Submit implements submitter.API.
func (b *Batcher) Submit(ctx context.Context, r submitter.SubmitRequest) (submitter.Job, error) {
	if !b.options.Viewer.View().Permitted(b.options.Clock.Now()) {
		return submitter.Job{}, &submitter.NotAcceptedError{Code: submitter.CodeNotPermitted, Err: submitter.ErrNotPermitted}
	}
	if r.IdempotencyKey == "" {
		r.IdempotencyKey = uuid.NewString()
	}
	return b.submit(ctx, r, "")
}

// submit accepts a job. fileID is the file that its items come from, or empty.
func (b *Batcher) submit(ctx context.Context, r submitter.SubmitRequest, fileID string) (submitter.Job, error) {
	id := bookkeeper.JobID(r.Workspace, r.IdempotencyKey)
	existing, _, err := b.manifests.Get(ctx, id)
	switch {
	case err == nil:
		return b.repeatedSubmission(existing, r)
	case !errors.Is(err, bookkeeper.ErrNoManifest):
		return submitter.Job{}, &submitter.NotAcceptedError{Code: submitter.CodeStoreUnavailable, Err: err}
	}
	began := timer.Wall()
	items, digest, err := b.storeItems(ctx, id, r)
	if err != nil {
		return submitter.Job{}, err
	}
	if took := timer.Wall() - began; took > maxSubmission {
		b.files.Discard(items.Name)
		return submitter.Job{}, &submitter.NotAcceptedError{Code: submitter.CodeTooSlow, Err: eris.Errorf("its items took %d s to arrive", took/timer.Second)}
	}
	m := b.newManifest(id, r, fileID, items, digest)
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout.Duration())
	defer cancel()
	written, err := b.manifests.Create(ctx, m)
	if err != nil {
		return submitter.Job{}, &submitter.NotAcceptedError{Code: submitter.CodeStoreUnavailable, Err: err}
	}
	if written.Items.Name != items.Name {
		b.files.Discard(items.Name)
		return b.existingJob(written, r, digest)
	}
	b.log().Info("job accepted", zap.String("job", id), zap.String("workspace", r.Workspace),
		zap.Uint64("items", items.Records), zap.Strings("holders", items.Holders))
	b.offerNew(ctx, id)
	return written.Job, nil
}

// newManifest returns the manifest of a job that is to be accepted.
func (b *Batcher) newManifest(id string, r submitter.SubmitRequest, fileID string, items bookkeeper.SegmentRef, digest []byte) bookkeeper.Manifest {
	return bookkeeper.Manifest{
		Digest: digest, Items: items,
		Job: submitter.Job{
			ID: id, Workspace: r.Workspace, IdempotencyKey: r.IdempotencyKey, Endpoint: r.Endpoint,
			InputFileID: fileID, OutputFileID: bookkeeper.OutputFileID(id), ErrorFileID: bookkeeper.ErrorFileID(id),
			Metadata: r.Metadata, State: submitter.StateWaiting, Created: timer.Wall(), Deadline: r.Deadline,
			Counts: submitter.Counts{Total: int64(items.Records)}, CountsKnown: true,
		},
	}
}

// offerNew notifies the owner of a new job. If that fails, the holders of the
// items notify it later.
func (b *Batcher) offerNew(ctx context.Context, id string) {
	o, ok := b.options.Viewer.View().Owner(coordinator.JobObject(id))
	if !ok {
		return
	}
	if _, err := b.offerTo(ctx, o, []string{id}); err != nil {
		b.log().Debug("could not offer job to its owner", zap.String("job", id), zap.Error(err))
	}
}

// repeatedSubmission answers a submission whose idempotency key already has a
// job. It returns that job if the content is the same.
func (b *Batcher) repeatedSubmission(existing bookkeeper.Manifest, r submitter.SubmitRequest) (submitter.Job, error) {
	in := parser.New(r.Items, r.Endpoint, b.limits)
	digest := newDigest(r)
	for {
		raw, item, err := in.Next()
		if err == io.EOF {
			return b.existingJob(existing, r, digest.Sum(nil))
		}
		if err != nil {
			return submitter.Job{}, err
		}
		if item {
			_, _ = digest.Write(normalLine(raw))
		}
	}
}

// existingJob returns the existing job, or a *submitter.ConflictError if its digest
// is a different one.
func (b *Batcher) existingJob(existing bookkeeper.Manifest, r submitter.SubmitRequest, digest []byte) (submitter.Job, error) {
	if !bytes.Equal(existing.Digest, digest) {
		return submitter.Job{}, &submitter.ConflictError{IdempotencyKey: r.IdempotencyKey, JobID: existing.Job.ID}
	}
	return existing.Job, nil
}

// normalLine returns an item in its stored form: without surrounding white space
// and with a final line feed.
func normalLine(raw []byte) []byte { return append(bytes.TrimSpace(raw), '\n') }

// newDigest returns a hash of the endpoint and metadata, to which the caller adds
// the items. The deadline is not included, because a repeated submission may
// compute a different one. If the endpoint and metadata could not be encoded, the hash
// would omit them; the encoding of strings does not fail.
func newDigest(r submitter.SubmitRequest) hash.Hash {
	h := sha256.New()
	head, err := bookkeeper.Encode(struct {
		Endpoint string
		Metadata map[string]string
	}{r.Endpoint, r.Metadata})
	if err == nil {
		_, _ = h.Write(head)
	}
	return h
}

// storeItems validates the items and writes them to a new segment. It returns the
// segment and the digest of the job's content.
func (b *Batcher) storeItems(ctx context.Context, id string, r submitter.SubmitRequest) (bookkeeper.SegmentRef, []byte, error) {
	epoch := b.options.Viewer.View().Record.Epoch
	header, err := bookkeeper.Encode(bookkeeper.SegmentHeader{JobID: id, Workspace: r.Workspace})
	if err != nil {
		return bookkeeper.SegmentRef{}, nil, err
	}
	w, err := b.options.Archive.Create(ctx, replicator.CreateRequest{
		Name: bookkeeper.ItemsName(id, uuid.NewString()), Header: header, Epoch: epoch,
		Expires: b.opener.SegmentExpiry(), DropLostHolders: true,
	})
	if err != nil {
		return bookkeeper.SegmentRef{}, nil, &submitter.NotAcceptedError{Code: submitter.CodeNotEnoughHolders, Err: err}
	}
	digest := newDigest(r)
	in := parser.New(r.Items, r.Endpoint, b.limits)
	if err := filer.WriteLines(ctx, w, in, func(raw []byte, item bool) []byte {
		if !item {
			return nil
		}
		line := normalLine(raw)
		_, _ = digest.Write(line)
		return line
	}); err != nil {
		b.files.Discard(w.Name())
		return bookkeeper.SegmentRef{}, nil, err
	}
	return bookkeeper.SegmentRef{Name: w.Name(), Holders: w.Holders(), Records: w.Records(), Closed: true}, digest.Sum(nil), nil
}

// SubmitFromFile implements submitter.API.
func (b *Batcher) SubmitFromFile(ctx context.Context, r submitter.FileSubmitRequest) (submitter.Job, error) {
	if !b.options.Viewer.View().Permitted(b.options.Clock.Now()) {
		return submitter.Job{}, &submitter.NotAcceptedError{Code: submitter.CodeNotPermitted, Err: submitter.ErrNotPermitted}
	}
	if _, err := b.FileInfo(ctx, r.Workspace, r.FileID); err != nil {
		return submitter.Job{}, err
	}
	if r.IdempotencyKey == "" {
		r.IdempotencyKey = uuid.NewString()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	in, out := io.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = out.CloseWithError(b.FileContent(ctx, r.Workspace, r.FileID, out))
	}()
	job, err := b.submit(ctx, submitter.SubmitRequest{
		Workspace: r.Workspace, IdempotencyKey: r.IdempotencyKey, Endpoint: r.Endpoint,
		Items: in, Deadline: r.Deadline, Metadata: r.Metadata,
	}, r.FileID)
	_ = in.Close()
	<-done
	return job, err
}
