package broker

import (
	"context"
	"math"
	"net/http"

	"github.com/jackdawgate/jackdawgate/authorizer"
	"github.com/jackdawgate/jackdawgate/gatekeeper"
	"github.com/jackdawgate/jackdawgate/localizer"
)

// A job that was accepted is accepted again each time its submission is repeated, although a new
// job could not be any more. The checks of new jobs that this host makes itself therefore do not
// refuse a job before the host that serves its group was asked for it.

// repeated returns the reply to the question whether an owner has a job: verdictDone,
// verdictNotFound, or another one if it is not known.
func (b *Broker) repeated(ctx context.Context, owner authorizer.Owner, job string) reply {
	return b.callAboutJob(ctx, methodResults, ownedBy(owner, job), b.readingRegions(owner.Workspace))
}

// ownedBy returns the request that asks whether an owner has a job. Its results, of which it
// wants none, are of no interest; hosts of all versions answer it.
func ownedBy(owner authorizer.Owner, job string) jobRequest {
	return jobRequest{Job: job, Workspace: owner.Workspace, From: math.MaxInt}
}

// submitWithoutRoute answers a submission that matches no route, which can only be that of a job
// that was accepted before.
func (b *Broker) submitWithoutRoute(ctx context.Context, s gatekeeper.Submission) gatekeeper.JobAnswer {
	noRoute := refusal(http.StatusNotFound, gatekeeper.ReasonNoRoute)
	if items, err := b.options.Formats.Items(s.Body); err != nil || len(items) == 0 {
		return noRoute
	}
	r := b.repeated(ctx, s.Owner, s.ID)
	if r.Verdict == verdictNotFound {
		return noRoute
	}
	return b.answerFor(r, accepted())
}

// submitTooLong answers a submission of a job that no other host can receive, for a reason.
func (b *Broker) submitTooLong(ctx context.Context, s gatekeeper.Submission, reason string) gatekeeper.JobAnswer {
	r := b.repeated(ctx, s.Owner, s.ID)
	if r.Verdict == verdictNotFound {
		return refusal(http.StatusRequestEntityTooLarge, reason)
	}
	return b.answerFor(r, accepted())
}

// submitNotPermitted answers a submission of a job that cannot be placed within its allowed
// regions, for a reason.
func (b *Broker) submitNotPermitted(ctx context.Context, s gatekeeper.Submission, allowed localizer.Set, reason string) gatekeeper.JobAnswer {
	if r := b.repeated(ctx, s.Owner, s.ID); r.Verdict == verdictDone {
		return accepted()
	}
	return b.refuseNotPermitted(s.ID, allowed, reason)
}

// accepted returns the answer to the submission of a job that is accepted now or was before.
func accepted() gatekeeper.JobAnswer { return gatekeeper.JobAnswer{Status: http.StatusAccepted} }
