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

// fileEntry is a file as the API shows it.
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
		CreatedAt: seconds(f.Created), ExpiresAt: seconds(f.Expires),
	}
}

// seconds converts an instant to the API's Unix seconds.
func seconds(m timer.Millis) int64 { return int64(m / timer.Second) }

// listAnswer is a page as the API shows it.
type listAnswer[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
	HasMore bool   `json:"has_more"`
}

func newList[T any](data []T, more bool, id func(T) string) listAnswer[T] {
	a := listAnswer[T]{Object: "list", Data: data, HasMore: more}
	if len(data) > 0 {
		a.FirstID, a.LastID = id(data[0]), id(data[len(data)-1])
	}
	return a
}

// deletedAnswer says that a file is gone.
type deletedAnswer struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Files answers everything under /v1/files.
func (p *Presenter) Files(ctx *fasthttp.RequestCtx) {
	timeout := p.options.CallTimeout
	if ctx.IsPost() {
		timeout = p.options.UploadTimeout
	}
	a, ok := p.admitBatches(ctx, timeout)
	if !ok {
		return
	}
	id, verb := receiver.PathParts(ctx, PathFiles)
	switch {
	case id == "" && ctx.IsPost():
		defer p.options.Guardian.End(a.Call)
		p.putFile(ctx, a)
	case id != "" && verb == "content" && ctx.IsGet():
		p.fileContent(ctx, a.Call, id)
	default:
		defer p.options.Guardian.End(a.Call)
		p.routeFile(ctx, a.Call, id, verb)
	}
}

func (p *Presenter) routeFile(ctx *fasthttp.RequestCtx, o *guardian.Call, id, verb string) {
	switch {
	case verb != "":
		answerer.FailPath(ctx)
	case id == "" && ctx.IsGet():
		p.listFiles(ctx, o)
	case id != "" && ctx.IsGet():
		info, err := p.options.Batches.FileInfo(o.Context, o.Identity.Workspace, id)
		p.answerBatch(ctx, err, func() any { return newFileEntry(info) })
	case id != "" && ctx.IsDelete():
		err := p.options.Batches.DeleteFile(o.Context, o.Identity.Workspace, id)
		p.answerBatch(ctx, err, func() any { return deletedAnswer{ID: id, Object: "file", Deleted: true} })
	default:
		answerer.FailMethod(ctx, "GET, POST, DELETE")
	}
}

// admitBatches admits a call to the files and batches.
func (p *Presenter) admitBatches(ctx *fasthttp.RequestCtx, timeout timer.Millis) (receiver.Admission, bool) {
	if p.options.Batches == nil {
		answerer.FailNotServed(ctx)
		return receiver.Admission{}, false
	}
	return p.options.Receiver.Admit(ctx, false, timeout)
}

func (p *Presenter) listFiles(ctx *fasthttp.RequestCtx, o *guardian.Call) {
	page, ok := readPage(ctx)
	if !ok {
		return
	}
	l, err := p.options.Batches.ListFiles(o.Context, o.Identity.Workspace, page)
	p.answerBatch(ctx, err, func() any {
		entries := make([]fileEntry, len(l.Files))
		for i, x := range l.Files {
			entries[i] = newFileEntry(x)
		}
		return newList(entries, l.More, func(e fileEntry) string { return e.ID })
	})
}

// readPage reads the paging parameters; on false the answer is written.
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
	p.Limit = min(n, submitter.MaxPage)
	return p, true
}

// maxPurpose bounds the purpose field of an upload, in bytes.
const maxPurpose = 64

// upload reads the parts of a file's upload as they arrive.
type upload struct {
	presenter *Presenter
	call      *guardian.Call
	file      *submitter.File
	// purpose is what the caller said; it may come after the content.
	purpose string
}

// putFile stores an uploaded file without holding it in memory.
func (p *Presenter) putFile(ctx *fasthttp.RequestCtx, a receiver.Admission) {
	_, params, err := mime.ParseMediaType(string(ctx.Request.Header.ContentType()))
	if err != nil || params["boundary"] == "" {
		receiver.FailBody(ctx, answerer.Invalid(answerer.CodeMalformed, "", "the body must be multipart/form-data with the fields purpose and file"))
		return
	}
	body := p.options.Receiver.Upload(ctx, a, p.options.MaxUpload)
	u := &upload{presenter: p, call: a.Call}
	if err := u.read(multipart.NewReader(body, params["boundary"])); err != nil {
		p.failUpload(ctx, body, err)
		return
	}
	if e, bad := u.check(); bad {
		u.discard()
		answerer.Fail(ctx, e)
		return
	}
	answerer.JSON(ctx, fasthttp.StatusOK, newFileEntry(*u.file))
}

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
			b, err := io.ReadAll(io.LimitReader(p, maxPurpose))
			if err != nil {
				return err
			}
			u.purpose = string(b)
		case "file":
			if err := u.put(p); err != nil {
				return err
			}
		}
	}
}

// put stores the content. Of the purposes only batch can be uploaded; when
// another one follows the content, the file is removed again.
func (u *upload) put(p *multipart.Part) error {
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

func (u *upload) check() (answerer.Error, bool) {
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

func (u *upload) discard() {
	if u.file == nil {
		return
	}
	// It expires anyway; removing it only makes room earlier.
	_ = u.presenter.options.Batches.DeleteFile(u.call.Context, u.call.Identity.Workspace, u.file.ID)
}

// failUpload answers an upload that failed: by its body, or by the store.
func (p *Presenter) failUpload(ctx *fasthttp.RequestCtx, body *receiver.Upload, err error) {
	e, ok := p.options.Receiver.UploadError(body, err)
	if !ok {
		e = batchError(err)
	}
	receiver.FailBody(ctx, e)
}

// fileContent streams a file's content.
func (p *Presenter) fileContent(ctx *fasthttp.RequestCtx, o *guardian.Call, id string) {
	if _, err := p.options.Batches.FileInfo(o.Context, o.Identity.Workspace, id); err != nil {
		defer p.options.Guardian.End(o)
		answerer.Fail(ctx, batchError(err))
		return
	}
	ctx.SetContentType("application/octet-stream")
	p.options.Guardian.Stream(ctx, o, func(w io.Writer) error {
		return p.options.Batches.FileContent(o.Context, o.Identity.Workspace, id, w)
	})
}
