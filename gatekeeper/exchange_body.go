package gatekeeper

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Defaults for limits on bodies that the configuration does not state.
const (
	defaultBodyBytes = 4 << 20
	defaultMaxPause  = 120 * timer.Second
)

// readBody reads the whole body. No request is relayed before its body has been
// read, so a refusal because of the body implies that the request was not run.
func (x *exchange) readBody() ([]byte, *refusal) {
	l := x.snapshot.Config.Limits
	defaulter.Set(&l.BodyBytes, defaultBodyBytes)
	defaulter.Set(&l.IdleTimeout, defaultMaxPause)
	tooLong := &refusal{status: http.StatusRequestEntityTooLarge, reason: fmt.Sprintf("body exceeds the configuration's limit of %d bytes", l.BodyBytes)}
	limit := l.BodyBytes
	if most := x.gatekeeper.options.Memory.MaxBytes(); limit > most {
		limit = most
		tooLong.reason = fmt.Sprintf("body exceeds the %d bytes that one body may take of this host's memory; the configuration's limit is %d", most, l.BodyBytes)
	}
	if x.request.ContentLength > limit {
		return nil, tooLong
	}
	p := &timedBody{
		body: x.request.Body, controller: http.NewResponseController(x.writer), maxPause: l.IdleTimeout, admission: x.gatekeeper.admission,
	}
	stop := context.AfterFunc(p.admission, p.expire)
	defer stop()
	body, err := holder.ReadAll(x.memory, http.MaxBytesReader(x.writer, p, limit), x.request.ContentLength)
	p.clearDeadline()
	var long *http.MaxBytesError
	var noMemory *holder.TooLongError
	switch {
	case err != nil && p.admission.Err() != nil:
		return nil, x.refuseStopping()
	case errors.As(err, &noMemory):
		x.writer.Header().Set("Connection", "close")
		return nil, &refusal{http.StatusServiceUnavailable, "no memory for the body now", retrySoon}
	case errors.As(err, &long):
		return nil, tooLong
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.writer.Header().Set("Connection", "close")
		return nil, &refusal{http.StatusRequestTimeout, "body did not go on", retrySoon}
	case err != nil:
		return nil, &refusal{status: http.StatusBadRequest, reason: "body could not be read"}
	}
	return body, nil
}

// timedBody is a request body that fails if the caller sends nothing for maxPause, or when
// admission ends.
type timedBody struct {
	body       io.ReadCloser
	controller *http.ResponseController
	maxPause   timer.Millis
	admission  context.Context
}

// Read implements io.Reader.
func (p *timedBody) Read(b []byte) (int, error) {
	p.setDeadline(time.Now().Add(p.maxPause.Duration()))
	if p.admission.Err() != nil {
		// The call of expire may have been before the deadline was set.
		p.expire()
	}
	return p.body.Read(b)
}

// expire ends the read that waits, and those to come.
func (p *timedBody) expire() { p.setDeadline(time.Unix(1, 0)) }

// Close implements io.Closer.
func (p *timedBody) Close() error { return p.body.Close() }

// clearDeadline removes the read deadline, because the server keeps reading from
// the connection while the request runs, to detect that the caller disconnects.
func (p *timedBody) clearDeadline() { p.setDeadline(time.Time{}) }

func (p *timedBody) setDeadline(t time.Time) {
	// Writers without deadlines occur only in tests, with bodies that do not pause.
	_ = p.controller.SetReadDeadline(t)
}
