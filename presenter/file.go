package presenter

import (
	"errors"
	"io"
	"mime"
	"mime/multipart"
	"strconv"

	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/jackdawgate/jackdawgate/guardian"
	"github.com/jackdawgate/jackdawgate/receiver"
	"github.com/jackdawgate/jackdawgate/submitter"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/valyala/fasthttp"
)

// fileEntry is a file in the JSON form of the OpenAI API.
type fileEntry struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	ExpiresAt int64  `json:"expires_at,omitempty"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

func newFileEntry(f submitter.File) fileEntry {
	return fileEntry{
		ID: f.ID, Object: "file", Bytes: f.Bytes, Filename: f.Name, Purpose: string(f.Purpose), Status: "processed",
		CreatedAt: unixSeconds(f.Created), ExpiresAt: unixSeconds(f.Expires),
	}
}

// unixSeconds converts an instant to Unix seconds, which the API uses.
func unixSeconds(m timer.Millis) int64 { return int64(m / timer.Second) }

// listResponse is a page of a list in the JSON form of the OpenAI API.
type listResponse[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
	HasMore bool   `json:"has_more"`
}

func newList[T any](data []T, more bool, id func(T) string) listResponse[T] {
	a := listResponse[T]{Object: "list", Data: data, HasMore: more}
	if len(data) > 0 {
		a.FirstID, a.LastID = id(data[0]), id(data[len(data)-1])
	}
	return a
}

// deletedResponse reports the deletion of a file.
type deletedResponse struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Files handles all requests under /v1/files.
func (p *Presenter) Files(ctx *fasthttp.RequestCtx) {
	timeout := p.options.CallTimeout
	if ctx.IsPost() {
		timeout = p.options.UploadTimeout
	}
	a, ok := p.admit(ctx, timeout)
	if !ok {
		return
	}
	id, verb := receiver.PathParts(ctx, PathFiles)
	switch {
	case id == "" && ctx.IsPost():
		defer p.options.Guardian.End(a.Call)
		p.uploadFile(ctx, a)
	case id != "" && verb == "content" && ctx.IsGet():
		p.fileContent(ctx, a.Call, id)
	default:
		defer p.options.Guardian.End(a.Call)
		p.routeFile(ctx, a.Call, id, verb)
	}
}

// routeFile handles the requests that have neither an upload nor a streamed
// answer.
func (p *Presenter) routeFile(ctx *fasthttp.RequestCtx, call *guardian.Call, id, verb string) {
	switch {
	case verb != "":
		answerer.FailPath(ctx)
	case id == "" && ctx.IsGet():
		p.listFiles(ctx, call)
	case id != "" && ctx.IsGet():
		info, err := p.options.Batches.FileInfo(call.Context, call.Identity.Workspace, id)
		p.respond(ctx, err, func() any { return newFileEntry(info) })
	case id != "" && ctx.IsDelete():
		err := p.options.Batches.DeleteFile(call.Context, call.Identity.Workspace, id)
		p.respond(ctx, err, func() any { return deletedResponse{ID: id, Object: "file", Deleted: true} })
	default:
		answerer.FailMethod(ctx, "GET, POST, DELETE")
	}
}

// admit admits a caller's call for files or batches. If it returns false, the
// error response has been written.
func (p *Presenter) admit(ctx *fasthttp.RequestCtx, timeout timer.Millis) (receiver.Admission, bool) {
	if p.options.Batches == nil {
		answerer.FailNotServed(ctx)
		return receiver.Admission{}, false
	}
	return p.options.Receiver.Admit(ctx, false, timeout)
}

func (p *Presenter) listFiles(ctx *fasthttp.RequestCtx, call *guardian.Call) {
	page, ok := readPage(ctx)
	if !ok {
		return
	}
	l, err := p.options.Batches.ListFiles(call.Context, call.Identity.Workspace, page)
	p.respond(ctx, err, func() any {
		entries := make([]fileEntry, len(l.Files))
		for i, x := range l.Files {
			entries[i] = newFileEntry(x)
		}
		return newList(entries, l.More, func(e fileEntry) string { return e.ID })
	})
}

// readPage reads the pagination parameters after and limit. If it returns
// false, the error response has been written.
func readPage(ctx *fasthttp.RequestCtx) (submitter.PageRequest, bool) {
	p := submitter.PageRequest{After: string(ctx.QueryArgs().Peek("after"))}
	limit := string(ctx.QueryArgs().Peek("limit"))
	if limit == "" {
		return p, true
	}
	n, err := strconv.Atoi(limit)
	if err != nil || n < 1 {
		answerer.Fail(ctx, answerer.Invalid(answerer.CodeInvalidField, "limit", "limit must be a number from 1"))
		return p, false
	}
	p.Limit = min(n, submitter.MaxPageSize)
	return p, true
}

// maxPurposeBytes is how much of an upload's purpose field is read.
const maxPurposeBytes = 64

// upload is the state of a file upload, whose parts are processed as they
// arrive.
type upload struct {
	presenter *Presenter
	call      *guardian.Call
	file      *submitter.File
	// purpose is the caller's purpose field. It may follow the content.
	purpose string
}

// uploadFile stores an uploaded file as it arrives, without holding it in
// memory.
func (p *Presenter) uploadFile(ctx *fasthttp.RequestCtx, a receiver.Admission) {
	_, params, err := mime.ParseMediaType(string(ctx.Request.Header.ContentType()))
	if err != nil || params["boundary"] == "" {
		receiver.FailAndClose(ctx, answerer.Invalid(answerer.CodeMalformed, "", "the body must be multipart/form-data with the fields purpose and file"))
		return
	}
	body := p.options.Receiver.Upload(ctx, a, p.options.MaxUpload)
	u := &upload{presenter: p, call: a.Call}
	if err := u.read(multipart.NewReader(body, params["boundary"])); err != nil {
		p.failUpload(ctx, body, err)
		return
	}
	if e, invalid := u.validate(); invalid {
		u.discard()
		answerer.Fail(ctx, e)
		return
	}
	answerer.JSON(ctx, fasthttp.StatusOK, newFileEntry(*u.file))
}

// read processes all parts of the upload.
func (u *upload) read(r *multipart.Reader) error {
	for {
		p, err := r.NextPart()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch p.FormName() {
		case "purpose":
			b, err := io.ReadAll(io.LimitReader(p, maxPurposeBytes))
			if err != nil {
				return err
			}
			u.purpose = string(b)
		case "file":
			if err := u.store(p); err != nil {
				return err
			}
		}
	}
}

// store stores the content with the purpose batch, the only one that is
// supported. If a different purpose follows the content, uploadFile deletes the
// file.
func (u *upload) store(p *multipart.Part) error {
	f, err := u.presenter.options.Batches.PutFile(u.call.Context, submitter.PutFileRequest{
		Workspace: u.call.Identity.Workspace,
		Name:      p.FileName(),
		Purpose:   submitter.PurposeBatch,
		Content:   p,
	})
	if err == nil {
		u.file = &f
	}
	return err
}

// validate returns an error and true if a field is missing or the purpose is
// not supported.
func (u *upload) validate() (answerer.Error, bool) {
	switch {
	case u.file == nil:
		return answerer.Invalid(answerer.CodeMissingField, "file", "field \"file\" is missing"), true
	case u.purpose == "":
		return answerer.Invalid(answerer.CodeMissingField, "purpose", "field \"purpose\" is missing"), true
	case u.purpose != string(submitter.PurposeBatch):
		return answerer.Invalid(answerer.CodeInvalidField, "purpose", "the only purpose served is %q", submitter.PurposeBatch), true
	}
	return answerer.Error{}, false
}

// discard deletes the file, if it has been stored.
func (u *upload) discard() {
	if u.file == nil {
		return
	}
	// The error can be ignored: the file expires anyway, and deleting it only
	// frees the space earlier.
	_ = u.presenter.options.Batches.DeleteFile(u.call.Context, u.call.Identity.Workspace, u.file.ID)
}

// failUpload responds to an upload that failed with err, because of the body or
// because of submitter.API.
func (p *Presenter) failUpload(ctx *fasthttp.RequestCtx, body *receiver.Upload, err error) {
	e, ok := p.options.Receiver.UploadError(body, err)
	if !ok {
		e = batchError(err)
	}
	receiver.FailAndClose(ctx, e)
}

// fileContent streams a file's content. It ends call.
func (p *Presenter) fileContent(ctx *fasthttp.RequestCtx, call *guardian.Call, id string) {
	if _, err := p.options.Batches.FileInfo(call.Context, call.Identity.Workspace, id); err != nil {
		defer p.options.Guardian.End(call)
		answerer.Fail(ctx, batchError(err))
		return
	}
	ctx.SetContentType("application/octet-stream")
	p.options.Guardian.Stream(ctx, call, func(w io.Writer) error {
		return p.options.Batches.FileContent(call.Context, call.Identity.Workspace, id, w)
	})
}
