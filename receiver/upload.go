package receiver

import (
	"errors"
	"io"

	"github.com/jackdawgate/jackdawgate/answerer"
	"github.com/jackdawgate/jackdawgate/authenticator"
	"github.com/valyala/fasthttp"
)

var errUploadTooLarge = errors.New("the upload is too long")

// limitedReader fails after left bytes, unlike io.LimitReader, which ends as
// if the source had.
type limitedReader struct {
	source io.Reader
	left   int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left < 0 {
		return 0, errUploadTooLarge
	}
	// One byte over the limit tells a body that is too long from one that fits.
	if int64(len(p)) > l.left+1 {
		p = p[:l.left+1]
	}
	n, err := l.source.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, errUploadTooLarge
	}
	return n, err
}

// Upload is a long body that is read as it arrives. It remembers the error of
// its source, which readers in between wrap or hide.
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

// Upload reads a caller's body of at most limit bytes, searched for its key.
func (r *Receiver) Upload(ctx *fasthttp.RequestCtx, a Admission, limit int64) *Upload {
	limited := &limitedReader{source: bodyReader(ctx), left: limit}
	return &Upload{source: r.options.Keys.Finder(a.Key).Reader(limited), limit: limit}
}

// OperatorUpload reads an operators' body of at most limit bytes.
func (r *Receiver) OperatorUpload(ctx *fasthttp.RequestCtx, limit int64) *Upload {
	return &Upload{source: &limitedReader{source: bodyReader(ctx), left: limit}, limit: limit}
}

// UploadError is the answer to an upload that failed with err by its body. ok is
// false when the body is not at fault.
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
