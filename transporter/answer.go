package transporter

import (
	"errors"
	"io"
	"net/http"

	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Answer is an answer whose body has not been read yet. It must be used by one
// goroutine at a time.
type Answer struct {
	Status int
	Header http.Header

	response      *http.Response
	connection    *connection
	transporter   *Transporter
	stopAfterFunc func() bool
	complete      bool
	// attributable is set if a copy of the answer, written again later, could be told from
	// the answer to a later request.
	attributable bool
}

// Length returns the length of the body in bytes, or -1 if it is not stated.
func (a *Answer) Length() int64 { return a.response.ContentLength }

// Memory returns the memory of the exchange, which is released by Close.
func (a *Answer) Memory() *holder.Account { return a.connection.account }

// SetSilenceTimeout replaces the bound on how long the server may send nothing.
func (a *Answer) SetSilenceTimeout(bound timer.Millis) { a.connection.silenceTimeout = bound }

// Read reads the body. It returns io.EOF only after the complete body; any other
// error is a *BrokenError or a *SilentError.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		if !a.framed() && !a.connection.waitWritten() {
			return n, a.connection.classify(errReset)
		}
		a.complete = true
		return n, io.EOF
	}
	return n, a.connection.classify(err)
}

// framed reports whether a length or chunked encoding determines where the body ends.
func (a *Answer) framed() bool {
	return a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0
}

// Interrupt makes a blocked Read fail, and all later ones. Unlike the other methods it may be
// called by any goroutine.
func (a *Answer) Interrupt() { a.connection.close() }

// Close ends the exchange. The connection is kept for reuse if the answer was read
// to its end and the connection can carry another exchange.
func (a *Answer) Close() {
	undisturbed := a.stopAfterFunc()
	n := a.connection
	n.account.Release()
	reusable := undisturbed && a.complete && a.attributable && !a.response.Close && n.requestWritten() && n.reader.Buffered() == 0
	if !reusable {
		n.close()
		return
	}
	if t, ok := keepAlive(a.Header); ok {
		n.keepIdle = min(n.keepIdle, t-keepAliveMargin)
	}
	a.transporter.putIdle(n)
}
