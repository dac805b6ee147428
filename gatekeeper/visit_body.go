package gatekeeper

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Bounds on bodies where the configuration states none.
const (
	defaultBodyBytes = 4 << 20
	defaultBodyPause = 120 * timer.Second
)

// body reads the whole body. No request is sent on before its body is here, so
// every refusal for the body's sake says truly that the request was not run.
func (v *visit) body() ([]byte, *refusal) {
	l := v.snapshot.Config.Limits
	defaulter.Set(&l.BodyBytes, defaultBodyBytes)
	defaulter.Set(&l.IdleTimeout, defaultBodyPause)
	if v.request.ContentLength > l.BodyBytes {
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: "body is too long"}
	}
	p := &pacedBody{body: v.request.Body, controller: http.NewResponseController(v.writer), most: l.IdleTimeout}
	body, err := io.ReadAll(http.MaxBytesReader(v.writer, p, l.BodyBytes))
	p.end()
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: "body is too long"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		v.writer.Header().Set("Connection", "close")
		return nil, &refusal{http.StatusRequestTimeout, "body did not go on", retryUnsure}
	case err != nil:
		return nil, &refusal{status: http.StatusBadRequest, reason: "body could not be read"}
	}
	return body, nil
}

// pacedBody is a body whose caller may pause for a bounded time.
type pacedBody struct {
	body       io.ReadCloser
	controller *http.ResponseController
	most       timer.Millis
}

// Read implements io.Reader.
func (p *pacedBody) Read(b []byte) (int, error) {
	p.deadline(time.Now().Add(p.most.Duration()))
	return p.body.Read(b)
}

// Close implements io.Closer.
func (p *pacedBody) Close() error { return p.body.Close() }

// end takes the bound away, since the connection is watched for as long as the
// request runs.
func (p *pacedBody) end() { p.deadline(time.Time{}) }

func (p *pacedBody) deadline(t time.Time) {
	// A writer that knows no deadlines, as in tests, has a body without pauses.
	_ = p.controller.SetReadDeadline(t)
}
