package gatekeeper

import (
	"context"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/speller"
)

// Jobs answers for batch jobs, wherever they are kept.
type Jobs interface {
	// Submit takes a job in.
	Submit(ctx context.Context, s Submission) JobAnswer
	// Serve answers a call about a job of the workspace.
	Serve(ctx context.Context, workspace string, call speller.JobCall, wait string) JobAnswer
}

// Submission is a caller's job as it came.
type Submission struct {
	ID        string
	Workspace string
	Route     *cataloger.Route
	Host      string
	Body      []byte
}

// JobAnswer is an answer to a call about a batch job.
type JobAnswer struct {
	Status int
	// ContentType and Body are the answer's content.
	ContentType string
	Body        []byte
	// Reason says why, for the log and for callers of refused calls.
	Reason string
	// RetryAfterMillis tells callers of refused calls when to return.
	RetryAfterMillis int64
}
