package submitter

import (
	"errors"
	"fmt"
)

// Codes of NotAcceptedError and UnavailableError.
const (
	CodeNotEnoughHolders   = "not-enough-holders"
	CodeStoreUnavailable   = "store-unavailable"
	CodeNotPermitted       = "not-permitted"
	CodeHoldersUnavailable = "holders-unavailable"
	CodeOwnerUnavailable   = "owner-unavailable"
	CodeTooSlow            = "submission-too-slow"
)

// ErrNotPermitted is the error that a NotAcceptedError with CodeNotPermitted
// wraps.
var ErrNotPermitted = errors.New("this host has not confirmed its configuration")

// BadLineError reports a line of the input that is not a valid request. Nothing
// of the input was accepted.
type BadLineError struct {
	// Line is the number of the line, starting at 1.
	Line int64
	// Field is the invalid JSON field; empty if the line as a whole is invalid.
	Field  string
	Reason string
}

func (e *BadLineError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Reason)
	}
	return fmt.Sprintf("line %d, field %q: %s", e.Line, e.Field, e.Reason)
}

// ConflictError reports that the idempotency key was already used for a job with
// different content. That job is unchanged.
type ConflictError struct {
	IdempotencyKey string
	JobID          string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("idempotency key %q was already used for job %s with other content", e.IdempotencyKey, e.JobID)
}

// NotAcceptedError reports that a job or file was not accepted, or that it is
// unknown whether it was. Submitting a job again with the same idempotency key is
// safe.
type NotAcceptedError struct {
	// Code is stable, in kebab case: not-enough-holders, store-unavailable,
	// not-permitted.
	Code string
	Err  error
}

func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("not accepted (%s): %v", e.Code, e.Err)
}

func (e *NotAcceptedError) Unwrap() error { return e.Err }

// NotFoundError reports that the workspace has no such job or file.
type NotFoundError struct {
	// Kind is "job" or "file".
	Kind string
	ID   string
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("no %s %q", e.Kind, e.ID) }

// UnavailableError reports that a job, a file or a list of them can't be read or
// changed at present. The request may be repeated later.
type UnavailableError struct {
	// Code is stable, in kebab case: store-unavailable, holders-unavailable,
	// owner-unavailable.
	Code string
	ID   string
	Err  error
}

func (e *UnavailableError) Error() string { return fmt.Sprintf("%s (%s): %v", e.ID, e.Code, e.Err) }

func (e *UnavailableError) Unwrap() error { return e.Err }
