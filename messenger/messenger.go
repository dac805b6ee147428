// Package messenger carries calls between the fleet's own hosts: CBOR over
// WebSocket, many calls on one connection, each with an identifier of its own.
//
// A call is one request and any number of answer frames, ended by a status.
// Cancelling the caller's context cancels the handler's. A slow consumer blocks
// only the sender of its own stream, never other calls on the connection. A
// connection on which nothing, not even a ping, arrives within the idle timeout is
// closed, and all its calls end with a LostError.
package messenger

import (
	"context"
	"fmt"
)

// Method names a handler, in kebab case with the package first: "limiter/report".
type Method string

// Peer is the host at the other end of a connection.
type Peer struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// Handler answers one call. It runs on a goroutine of its own and may send
// frames until it returns; send blocks while the caller's window is full and
// fails when the caller no longer waits. A non-nil error reaches the caller as a
// RemoteError, with the code of the error if it is itself a *RemoteError.
type Handler func(ctx context.Context, from Peer, body []byte, send func(frame []byte) error) error

// Caller makes calls to other hosts. It is safe for concurrent use.
type Caller interface {
	// Call sends body to the handler of method at address and passes each
	// answer frame to each, which may be nil. It returns nil when the handler
	// returned nil, the error of each if it failed, ctx's error, or one of
	// NotSentError, LostError and RemoteError.
	Call(ctx context.Context, address string, method Method, body []byte, each func(frame []byte) error) error
}

// Registry registers handlers. All must be registered before serving begins.
type Registry interface {
	Handle(method Method, h Handler)
}

// NotSentError reports that the request never left this host.
type NotSentError struct {
	Address string
	Err     error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("call to %s not sent: %v", e.Address, e.Err)
}

func (e *NotSentError) Unwrap() error { return e.Err }

// LostError reports that the connection ended after the request may have been
// sent: the handler may have run, partly or completely.
type LostError struct {
	Address string
	Err     error
}

func (e *LostError) Error() string { return fmt.Sprintf("call to %s lost: %v", e.Address, e.Err) }

func (e *LostError) Unwrap() error { return e.Err }

// RemoteError is an error that the handler returned.
type RemoteError struct {
	// Code is stable, in kebab case; "internal" if the handler's error had none.
	Code    string `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
}

func (e *RemoteError) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }
