// Package filer stores uploaded files, each as one segment, and writes lines of input
// to segments.
//
// A file exists once its segment is final; its metadata is in the segment's header. A
// file can't be changed. It exists until it is deleted or expires. A caller can access
// only the files of its own workspace.
package filer

import (
	"context"
	"errors"
	"io"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/jackdawgate/jackdawgate/bookkeeper"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/parser"
	"github.com/jackdawgate/jackdawgate/replicator"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/jackdawgate/jackdawgate/submitter"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Options configures a Filer.
type Options struct {
	Archive *replicator.Client
	Viewer  coordinator.Viewer
	Clock   timer.Clock
	// Retention is the time from the upload of a file to its expiry.
	Retention timer.Millis
	// Limits apply to files whose purpose is PurposeBatch.
	Limits parser.Limits
	Log    *zap.Logger
}

// Filer stores and reads files. It is safe for concurrent use.
type Filer struct {
	options Options
	// ctx is cancelled by Close.
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a Filer. The caller must call Close.
func New(o Options) *Filer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Filer{options: o, ctx: ctx, cancel: cancel}
}

// Close cancels calls of Discard that are in progress.
func (f *Filer) Close() { f.cancel() }

// filesPrefix is the prefix of the names of file segments.
const filesPrefix = "files/"

// filePrefix returns the prefix of the names of a workspace's file segments.
func filePrefix(workspace string) string {
	return filesPrefix + bookkeeper.WorkspaceHash(workspace) + "/"
}

// fileChunkBytes is the maximum length of a record of a file that is not stored by
// lines.
const fileChunkBytes = 256 << 10

// Put stores a file, as specified by submitter.API.PutFile. If it fails, it deletes
// what was written.
func (f *Filer) Put(ctx context.Context, r submitter.PutFileRequest) (submitter.File, error) {
	s := f.options.Viewer.View()
	if !s.Permitted(f.options.Clock.Now()) {
		return submitter.File{}, &submitter.NotAcceptedError{Code: submitter.CodeNotPermitted, Err: submitter.ErrNotPermitted}
	}
	now := timer.Wall()
	out := submitter.File{
		ID: bookkeeper.FileIDPrefix + strings.ReplaceAll(uuid.NewString(), "-", ""), Workspace: r.Workspace, Name: r.Name,
		Purpose: r.Purpose, Created: now, Expires: now + f.options.Retention,
	}
	header, err := bookkeeper.Encode(out)
	if err != nil {
		return submitter.File{}, err
	}
	w, err := f.options.Archive.Create(ctx, replicator.CreateRequest{
		Name: filePrefix(r.Workspace) + out.ID, Header: header, Epoch: s.Record.Epoch,
		Expires: out.Expires, DropLostHolders: true,
	})
	if err != nil {
		return submitter.File{}, &submitter.NotAcceptedError{Code: submitter.CodeNotEnoughHolders, Err: err}
	}
	if err := f.write(ctx, w, r); err != nil {
		f.Discard(w.Name())
		return submitter.File{}, err
	}
	f.options.Log.Info("file stored", zap.String("file", out.ID), zap.String("workspace", r.Workspace),
		zap.Strings("holders", w.Holders()))
	return f.Info(ctx, r.Workspace, out.ID)
}

// write writes the content of r to w and finalizes the segment. Files for batch jobs
// are checked and written line by line, others in chunks of fileChunkBytes.
func (f *Filer) write(ctx context.Context, w *replicator.Writer, r submitter.PutFileRequest) error {
	if r.Purpose == submitter.PurposeBatch {
		in := parser.New(r.Content, "", f.options.Limits)
		return WriteLines(ctx, w, in, func(raw []byte, _ bool) []byte { return raw })
	}
	l := &recordWriter{ctx: ctx, writer: w}
	buf := make([]byte, fileChunkBytes)
	for {
		n, err := io.ReadFull(r.Content, buf)
		if n > 0 {
			if err := l.add(buf[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF):
			return l.seal()
		case err != nil:
			return err
		}
	}
}

// find returns an uploaded file and its segment. It returns a submitter.NotFoundError
// if the workspace has no such file, and a submitter.UnavailableError if the holders
// could not be reached.
func (f *Filer) find(ctx context.Context, workspace, id string) (submitter.File, segmenter.Info, error) {
	name := filePrefix(workspace) + id
	if strings.ContainsAny(id, "/+") {
		return submitter.File{}, segmenter.Info{}, &submitter.NotFoundError{Kind: "file", ID: id}
	}
	i, err := f.options.Archive.Locate(ctx, name)
	switch {
	case segmenter.HasCode(err, segmenter.CodeUnknown) || segmenter.HasCode(err, segmenter.CodeDeleted):
		return submitter.File{}, segmenter.Info{}, &submitter.NotFoundError{Kind: "file", ID: id}
	case err != nil:
		return submitter.File{}, segmenter.Info{}, &submitter.UnavailableError{Code: submitter.CodeHoldersUnavailable, ID: id, Err: err}
	}
	out, err := decodeFile(i)
	if err == nil && out.Workspace != workspace {
		err = &submitter.NotFoundError{Kind: "file", ID: id}
	}
	return out, i, err
}

// Info returns the metadata of a file. It returns a submitter.NotFoundError if the
// workspace has no such file, and a submitter.UnavailableError if the holders could
// not be reached.
func (f *Filer) Info(ctx context.Context, workspace, id string) (submitter.File, error) {
	out, _, err := f.find(ctx, workspace, id)
	return out, err
}

// Content writes the content of a file to w.
func (f *Filer) Content(ctx context.Context, workspace, id string, w io.Writer) error {
	_, i, err := f.find(ctx, workspace, id)
	if err != nil {
		return err
	}
	return f.options.Archive.Copy(ctx, i.Name, i.Holders, i.Records, w)
}

// decodeFile returns the metadata of the file in a segment.
func decodeFile(i segmenter.Info) (submitter.File, error) {
	var f submitter.File
	err := cbor.Unmarshal(i.Header, &f)
	f.Bytes = i.ContentBytes()
	return f, err
}

// List returns a page of the workspace's files, newest first.
func (f *Filer) List(ctx context.Context, workspace string, p submitter.PageRequest) (submitter.FilePage, error) {
	l, err := f.options.Archive.List(ctx, filePrefix(workspace))
	if err != nil {
		return submitter.FilePage{}, &submitter.UnavailableError{Code: submitter.CodeHoldersUnavailable, ID: workspace, Err: err}
	}
	files := make(map[string]submitter.File, len(l.Infos))
	entries := make([]submitter.Entry, 0, len(l.Infos))
	for _, i := range l.Infos {
		if !i.Final {
			continue
		}
		file, err := decodeFile(i)
		if err != nil {
			return submitter.FilePage{}, err
		}
		if file.Workspace != workspace {
			continue
		}
		files[file.ID] = file
		entries = append(entries, submitter.Entry{ID: file.ID, Created: file.Created})
	}
	chosen, more, ok := p.Paginate(entries)
	if !ok {
		return submitter.FilePage{}, &submitter.NotFoundError{Kind: "file", ID: p.After}
	}
	out := submitter.FilePage{More: more}
	for _, e := range chosen {
		out.Files = append(out.Files, files[e.ID])
	}
	return out, nil
}

// Delete deletes a file. Holders of the segment that can't be reached are notified of
// the deletion later by those that were reached.
func (f *Filer) Delete(ctx context.Context, workspace, id string) error {
	_, i, err := f.find(ctx, workspace, id)
	if err != nil {
		return err
	}
	if err := f.options.Archive.Delete(ctx, i.Name); err != nil {
		return &submitter.UnavailableError{Code: submitter.CodeHoldersUnavailable, ID: id, Err: err}
	}
	f.options.Log.Info("file deleted", zap.String("file", id), zap.String("workspace", workspace))
	return nil
}

// discardTimeout is the maximum duration of Discard.
const discardTimeout = 15 * timer.Second

// Discard deletes a segment to which nothing refers. If the deletion fails, the
// segment remains until it expires.
func (f *Filer) Discard(name string) {
	ctx, cancel := context.WithTimeout(f.ctx, discardTimeout.Duration())
	defer cancel()
	if err := f.options.Archive.Delete(ctx, name); err != nil {
		f.options.Log.Warn("unused segment not deleted", zap.String("segment", name), zap.Error(err))
	}
}
