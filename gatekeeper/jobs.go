package gatekeeper

import (
	"context"

	"github.com/jackdawgate/jackdawgate/authorizer"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/namer"
)

// ReasonNoRoute is the reason of the refusal of a request that no route matches.
const ReasonNoRoute = "no route matches"

// Jobs handles calls about batch jobs, whichever host keeps them.
type Jobs interface {
	// Submit accepts a new job, or one that the owner has already. It answers with the status
	// 404 and ReasonNoRoute if there is neither a route nor such a job.
	Submit(ctx context.Context, s Submission) JobAnswer
	// Serve answers a call about an existing job of the owner. wait is the
	// caller's wait header, unparsed.
	Serve(ctx context.Context, owner authorizer.Owner, call namer.JobCall, wait string) JobAnswer
}

// Submission is a job as the caller sent it.
type Submission struct {
	ID    string
	Owner authorizer.Owner
	// Route is nil if none matches. The submission may still repeat that of a job that was
	// accepted while one did.
	Route *cataloger.Route
	Host  string
	Body  []byte
}

// JobAnswer is the answer to a call about a batch job.
type JobAnswer struct {
	Status int
	// ContentType and Body are the content of a 2xx answer.
	ContentType string
	Body        []byte
	// NoSuchJob is set if the owner of the call has no job of this name, with the status 404.
	NoSuchJob bool
	// Reason explains a refusal, in the log and to the caller.
	Reason string
	// RetryAfterMillis is when the caller of a refused call may retry; zero
	// states no time.
	RetryAfterMillis int64
}
