package receiver

import (
	"errors"
	"io"

	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/jackdawgate/jackdawgate/authenticator"
	"github.com/valyala/fasthttp"
)

var errUploadTooLarge = errors.New("the upload is too long")

// limitedReader returns errUploadTooLarge if its source has more than the
// remaining number of bytes. An io.LimitedReader would return io.EOF instead.
type limitedReader struct {
	source    io.Reader
	remaining int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining < 0 {
		return 0, errUploadTooLarge
	}
	// Reading up to one byte beyond the limit distinguishes a body that is too
	// long from one that fits exactly.
	if int64(len(p)) > l.remaining+1 {
		p = p[:l.remaining+1]
	}
	n, err := l.source.Read(p)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return 0, errUploadTooLarge
	}
	return n, err
}

// Upload is a reader of a long body, which is read as it arrives. It keeps the
// error of its source, since readers that wrap the Upload may hide it.
type Upload struct {
	source io.Reader
	limit  int64
	err    error
}

// Read implements io.Reader.
func (u *Upload) Read(p []byte) (int, error) {
	n, err := u.source.Read(p)
	if err != nil {
		u.err = err
	}
	return n, err
}

// Upload returns a reader of a caller's body of at most limit bytes. Reading
// fails if the body contains a key.
func (r *Receiver) Upload(ctx *fasthttp.RequestCtx, a Admission, limit int64) *Upload {
	limited := &limitedReader{source: bodyReader(ctx), remaining: limit}
	return &Upload{source: r.options.Keys.Finder(a.Key).Reader(limited), limit: limit}
}

// OperatorUpload returns a reader of an operator's body of at most limit bytes.
// It is not searched for keys.
func (r *Receiver) OperatorUpload(ctx *fasthttp.RequestCtx, limit int64) *Upload {
	return &Upload{source: &limitedReader{source: bodyReader(ctx), remaining: limit}, limit: limit}
}

// UploadError returns the error to respond with if processing u failed with err
// because of the body. ok is false if the body is not the cause.
func (r *Receiver) UploadError(u *Upload, err error) (e answerer.Error, ok bool) {
	broken := u.err != nil && !errors.Is(u.err, io.EOF)
	if broken {
		err = u.err
	}
	switch {
	case errors.Is(err, authenticator.ErrKeyFound):
		return errKeyInRequest("body"), true
	case errors.Is(err, errUploadTooLarge):
		return errBodyTooLarge(u.limit), true
	case broken:
		return r.ReadError(err), true
	}
	return answerer.Error{}, false
}
