// Package requester defines the types of one call to a backend server. The
// callers' HTTP API, the batch jobs and the dispatcher share them, so that none
// of these depends on another.
//
// A call is in one of three states: not sent, possibly run, or answered. It
// ends as NotRun only if it was not sent, or if the backend server explicitly
// refused to start it. A call that is not repeatable is sent at most once.
package requester

import (
	"context"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Class distinguishes calls that a caller waits for from batch items.
type Class uint8

const (
	// Online calls have a caller waiting.
	Online Class = iota + 1
	// Batch calls may be evicted at any time and resumed later.
	Batch
)

// Header is one HTTP header field. The headers of a Request never contain a
// caller's key.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Request is one call to a backend server. It must not be modified once it has
// been passed to a Doer.
type Request struct {
	// ID is unique for each call across all hosts.
	ID string `cbor:"1,keyasint"`
	// Workspace is the workspace of the caller's key. It is empty on routes that
	// need no key.
	Workspace string `cbor:"2,keyasint"`
	Class     Class  `cbor:"3,keyasint"`
	// Method, Path and Query are sent to the backend server unchanged.
	Method  string   `cbor:"4,keyasint"`
	Path    string   `cbor:"5,keyasint"`
	Query   string   `cbor:"6,keyasint"`
	Headers []Header `cbor:"7,keyasint"`
	Body    []byte   `cbor:"8,keyasint"`
	// Model is the requested model, or empty if the call is for a plain service.
	Model string `cbor:"9,keyasint"`
	// Service is the requested plain service, or empty if the call is for a model.
	Service string `cbor:"10,keyasint"`
	// Repeatable reports whether the call may safely be run more than once.
	Repeatable bool `cbor:"11,keyasint"`
	// Stream reports whether the answer is a stream of server-sent events.
	Stream bool `cbor:"12,keyasint"`
	// Timeout is how much longer the caller waits, in milliseconds.
	Timeout timer.Millis `cbor:"13,keyasint"`
	// Fingerprint identifies calls with the same effect on a backend server.
	Fingerprint uint64 `cbor:"14,keyasint"`
	// Prefix holds the hashes of prefixes of the prompt, shortest prefix first.
	Prefix []uint64 `cbor:"15,keyasint"`
	// EstimatedTokens is the expected cost in tokens, used for fair scheduling.
	EstimatedTokens int64 `cbor:"16,keyasint"`
	// Resume is Evicted.Resume of the previous attempt, if that was evicted.
	Resume []byte `cbor:"17,keyasint,omitempty"`
}

// Usage is the cost of a call in tokens, as counted by the backend server.
type Usage struct {
	PromptTokens     int64 `cbor:"1,keyasint" json:"prompt-tokens"`
	CompletionTokens int64 `cbor:"2,keyasint" json:"completion-tokens"`
}

// Outcome is how a call ended: NotRun, MaybeRun, Evicted or Answered.
type Outcome interface{ outcome() }

// NotRun means that no backend server ran any part of the call.
type NotRun struct {
	// Code is the stable error code shown to callers, in kebab case.
	Code   string
	Reason string
	// RetryAfter is how long to wait before a retry, in milliseconds. Zero means
	// that a retry cannot succeed.
	RetryAfter timer.Millis
}

// MaybeRun means that the call was sent, but its answer is unknown or
// incomplete. A backend server may have run the call.
type MaybeRun struct {
	Code   string
	Reason string
	// ServerCrashed reports whether the backend server crashed with the call in
	// flight.
	ServerCrashed bool
	RetryAfter    timer.Millis
}

// Evicted means that a batch call was stopped to make room for an online call.
// It does not count as an attempt.
type Evicted struct {
	// Resume lets the next attempt continue where this one stopped. It is
	// opaque, and empty if the call must start over.
	Resume []byte `cbor:"1,keyasint,omitempty"`
}

// Answered means that the complete answer was passed to the Sink.
type Answered struct {
	Status int
	Usage  Usage
	// Server is the backend server that answered.
	Server string
}

func (NotRun) outcome()   {}
func (MaybeRun) outcome() {}
func (Evicted) outcome()  {}
func (Answered) outcome() {}

// OutcomeName returns the name of o for logs and metrics, in kebab case.
func OutcomeName(o Outcome) string {
	switch o.(type) {
	case NotRun:
		return "not-run"
	case MaybeRun:
		return "maybe-run"
	case Evicted:
		return "evicted"
	case Answered:
		return "answered"
	}
	return "none"
}

// Sink receives an answer as it arrives. A single goroutine calls its methods.
// If one returns an error, the call is stopped at the backend server.
type Sink interface {
	// Head receives the status and headers, once, before any call of Body.
	Head(status int, headers []Header) error
	// Body receives the next part of the body. The chunk is valid only until Body
	// returns.
	Body(chunk []byte) error
}

// Doer runs one call and returns its outcome. Cancelling ctx stops the call at
// the backend server.
type Doer interface {
	Do(ctx context.Context, r Request, s Sink) Outcome
}
