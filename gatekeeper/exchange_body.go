package gatekeeper

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
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

const (
	// drainBytes and drainTimeout bound how much of a refused body is still read, and for how
	// long, so that its caller can read the refusal.
	drainBytes   = 1 << 20
	drainTimeout = timer.Second
	// keepBytes is the longest body that the HTTP server may read after a refusal to keep the
	// connection open.
	keepBytes = 64 << 10
)

// readBody reads the whole body. No request is relayed before its body has been
// read, so a refusal because of the body implies that the request was not run.
func (x *exchange) readBody() ([]byte, *refusal) {
	l := x.snapshot.Config.Limits
	defaulter.Set(&l.BodyBytes, defaultBodyBytes)
	defaulter.Set(&l.IdleTimeout, defaultMaxPause)
	tooLong := &refusal{status: http.StatusRequestEntityTooLarge, reason: fmt.Sprintf("body exceeds the configuration's limit of %d bytes", l.BodyBytes)}
	limit := l.BodyBytes
	memory := x.gatekeeper.options.Memory
	if most := memory.MaxBytes(); limit > most {
		limit = most
		tooLong.reason = fmt.Sprintf("body exceeds the %d bytes that one body may take of this host's memory; the configuration's limit is %d", most, l.BodyBytes)
	}
	if x.request.ContentLength > limit {
		return nil, tooLong
	}
	p := &timedBody{
		body: x.request.Body, controller: http.NewResponseController(x.writer), maxPause: l.IdleTimeout, admission: x.gatekeeper.admission,
		rate: x.gatekeeper.options.BodyRate, started: time.Now(),
	}
	stop := context.AfterFunc(p.admission, p.interrupt)
	defer stop()
	x.memory = memory.OpenFor(func() string { return x.request.RemoteAddr }, p.interrupt)
	connection := holder.ConnectionOf(x.request.Context())
	connection.ReadBody(p.interrupt)
	body, err := holder.ReadAll(x.memory, &limitedBody{body: p, left: limit}, x.request.ContentLength)
	interrupted := p.finish()
	if err == nil && x.memory.Settle() && !interrupted {
		connection.Serve()
		x.bodyRead = true
		return body, nil
	}
	shed := x.memory.Shed()
	x.memory.Release()
	return nil, x.refuseBody(p, err, interrupted, shed, tooLong)
}

// refuseBody returns the refusal of a request whose body was not read because of err, or
// because it was interrupted or shed.
func (x *exchange) refuseBody(p *timedBody, err error, interrupted, shed bool, tooLong *refusal) *refusal {
	var noMemory *holder.TooLongError
	switch {
	case p.admission.Err() != nil && (err != nil || interrupted):
		return x.refuseStopping()
	case shed, errors.As(err, &noMemory):
		return &refusal{http.StatusServiceUnavailable, "no memory for the body now", retrySoon}
	case interrupted:
		return &refusal{http.StatusServiceUnavailable, "too many connections now", retrySoon}
	case errors.Is(err, errBodyTooLong):
		return tooLong
	case errors.Is(err, os.ErrDeadlineExceeded):
		if p.belowRate() {
			x.gatekeeper.options.Reporter.Report(holder.Refusal{Cause: holder.SlowBody, Address: x.request.RemoteAddr, Bytes: p.received})
		}
		return &refusal{http.StatusRequestTimeout, "body did not go on", retrySoon}
	}
	return &refusal{status: http.StatusBadRequest, reason: "body could not be read"}
}

// endBody prepares a refusal of a request whose body was not read. If the HTTP server can't
// read the rest at once, the connection is closed after the refusal.
func (x *exchange) endBody() {
	if x.request.ContentLength < 0 || x.request.ContentLength > keepBytes || x.memory != nil {
		x.writer.Header().Set("Connection", "close")
	}
	// The server reads what is left of a short body before it writes the answer.
	_ = http.NewResponseController(x.writer).SetReadDeadline(time.Now().Add(drainTimeout.Duration()))
}

// drainBody reads a bounded part of the body of a refused request, after the refusal has been
// written, so that a caller that is still sending can read it.
func (x *exchange) drainBody() {
	if x.writer.Header().Get("Connection") != "close" {
		return
	}
	if http.NewResponseController(x.writer).Flush() == nil {
		holder.Drain(x.request.Body, drainBytes)
	}
}

// errBodyTooLong reports that a body exceeds the limit.
var errBodyTooLong = errors.New("body exceeds the limit")

// limitedBody reads at most left bytes of a body.
type limitedBody struct {
	body io.Reader
	left int64
}

// Read implements io.Reader.
func (l *limitedBody) Read(b []byte) (int, error) {
	// One byte more shows that the body is too long.
	if int64(len(b)) > l.left+1 {
		b = b[:l.left+1]
	}
	n, err := l.body.Read(b)
	if int64(n) > l.left {
		return int(l.left), errBodyTooLong
	}
	l.left -= int64(n)
	return n, err
}

// timedBody is a request body that fails if the caller sends nothing for maxPause, if its rate
// falls below the minimum, or when it is interrupted.
type timedBody struct {
	body       io.Reader
	controller *http.ResponseController
	maxPause   timer.Millis
	admission  context.Context
	// rate is the minimum rate in bytes per second, which counts from maxPause after started;
	// zero for none.
	rate     int
	started  time.Time
	received int64

	mu sync.Mutex
	// interrupted is set when the body may not be read on, finished when it has been read.
	interrupted, finished bool
}

// Read implements io.Reader.
func (p *timedBody) Read(b []byte) (int, error) {
	p.mu.Lock()
	if !p.interrupted {
		until := time.Now().Add(p.maxPause.Duration())
		if p.rate > 0 && p.rateEnd().Before(until) {
			until = p.rateEnd()
		}
		p.setDeadline(until)
	}
	p.mu.Unlock()
	n, err := p.body.Read(b)
	p.received += int64(n)
	return n, err
}

// rateEnd returns until when the next bytes must arrive to keep to the minimum rate.
func (p *timedBody) rateEnd() time.Time {
	return p.started.Add(p.maxPause.Duration() + time.Duration(p.received)*time.Second/time.Duration(p.rate))
}

// belowRate reports whether the body is below its minimum rate.
func (p *timedBody) belowRate() bool { return p.rate > 0 && !time.Now().Before(p.rateEnd()) }

// interrupt ends the read that waits, and those to come, unless the body has been read.
func (p *timedBody) interrupt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.finished {
		p.interrupted = true
		p.setDeadline(time.Unix(1, 0))
	}
}

// finish ends reading and reports whether the body was interrupted. It removes the read
// deadline, because the server keeps reading from the connection while the request runs, to
// detect that the caller disconnects.
func (p *timedBody) finish() (interrupted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finished = true
	p.setDeadline(time.Time{})
	return p.interrupted
}

func (p *timedBody) setDeadline(t time.Time) {
	// Writers without deadlines occur only in tests, with bodies that do not pause.
	_ = p.controller.SetReadDeadline(t)
}
