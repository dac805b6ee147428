package exchanger

import (
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Result is the outcome of an exchange: NotSent, Refused, Broken, Stopped or
// Complete.
type Result interface{ result() }

// NotSent indicates that no byte of the request left this host.
type NotSent struct {
	Err error
	// NotPermitted indicates that Permit returned false. Otherwise there was no usable
	// connection, or the request could not be prepared.
	NotPermitted bool
	// Reused indicates that the connection was taken from the pool.
	Reused bool
}

// Refused indicates that the server reported that it ran no part of the request.
type Refused struct {
	Status int
	// RetryAfter is the delay that the server requested, in milliseconds, or 0.
	RetryAfter timer.Millis
}

// Broken indicates that at least a part of the request was sent and that no
// complete answer to it was received.
type Broken struct {
	// Code identifies the kind of failure.
	Code string
	Err  error
	// ConnectionLost indicates that the connection was reset or closed, or that the
	// answer ended early, as opposed to a timeout or an invalid answer. It is also set
	// if the body ended as HTTP framed it but its content was incomplete.
	ConnectionLost bool
	// Reused indicates that the connection was taken from the pool and that no byte
	// of an answer was received: the server may have closed it while it was idle.
	Reused bool
}

// Codes of Broken.
const (
	// CodeConnectionLost: the connection was lost before any byte of an answer.
	CodeConnectionLost = "connection-lost"
	// CodeConnectionSilent: a read or write timed out.
	CodeConnectionSilent = "connection-silent"
	// CodeTruncated: the answer ended early.
	CodeTruncated = "answer-truncated"
	// CodeMismatched: the answer, or an event in it, belongs to another request.
	CodeMismatched = "answer-crossed"
	// CodeMalformed: the answer violates the protocol.
	CodeMalformed = "answer-malformed"
)

// Stopped indicates that the context or the Sink ended the exchange. Sent reports
// whether any byte of the request was sent.
type Stopped struct {
	Err  error
	Sent bool
}

// Complete indicates that the complete answer was passed to the Sink.
type Complete struct {
	Status int
	Usage  requester.Usage
}

func (NotSent) result()  {}
func (Refused) result()  {}
func (Broken) result()   {}
func (Stopped) result()  {}
func (Complete) result() {}
