package batcher

import (
	"context"
	"errors"
	"io"

	"github.com/jackdawgate/jackdawgate/bookkeeper"
	"github.com/jackdawgate/jackdawgate/submitter"
)

// FileInfo implements submitter.API. While a job runs, the size of its output or error
// file is that of the results so far if the job's owner answers, and 0 otherwise.
func (b *Batcher) FileInfo(ctx context.Context, workspace, id string) (submitter.File, error) {
	job, kind, ok := bookkeeper.ParseOutputFileID(id)
	if !ok {
		return b.files.Info(ctx, workspace, id)
	}
	m, err := b.currentManifest(ctx, workspace, job)
	if err != nil {
		return submitter.File{}, b.asFileError(err, id)
	}
	f := submitter.File{
		ID: id, Workspace: workspace, Name: job + "_" + string(kind) + ".jsonl", Purpose: submitter.PurposeOutput,
		Bytes: m.OutputBytes, Created: m.Job.Created, Expires: m.Job.Expires,
	}
	if kind == submitter.OutputFailed {
		f.Bytes = m.ErrorBytes
	}
	return f, nil
}

// asFileError replaces a *submitter.NotFoundError for a job by one for its output
// or error file. Other errors are returned unchanged.
func (b *Batcher) asFileError(err error, id string) error {
	if nf := new(submitter.NotFoundError); errors.As(err, &nf) {
		return &submitter.NotFoundError{Kind: "file", ID: id}
	}
	return err
}

// FileContent implements submitter.API.
func (b *Batcher) FileContent(ctx context.Context, workspace, id string, w io.Writer) error {
	if job, kind, ok := bookkeeper.ParseOutputFileID(id); ok {
		return b.asFileError(b.Output(ctx, workspace, job, kind, w), id)
	}
	return b.files.Content(ctx, workspace, id, w)
}

// PutFile implements submitter.API.
func (b *Batcher) PutFile(ctx context.Context, r submitter.PutFileRequest) (submitter.File, error) {
	return b.files.Put(ctx, r)
}

// ListFiles implements submitter.API.
func (b *Batcher) ListFiles(ctx context.Context, workspace string, p submitter.PageRequest) (submitter.FilePage, error) {
	return b.files.List(ctx, workspace, p)
}

// DeleteFile implements submitter.API.
func (b *Batcher) DeleteFile(ctx context.Context, workspace, id string) error {
	return b.files.Delete(ctx, workspace, id)
}
