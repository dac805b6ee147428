package hoster

import (
	"context"
	"net/http"

	"github.com/jackdawgate/jackdawgate/gatekeeper"
	"github.com/jackdawgate/jackdawgate/speller"
)

// JobFormats are the formats of messages about batch jobs.
type JobFormats struct{}

// jobClient implements gatekeeper.Jobs by calls to bulk hosts.
type jobClient struct {
	base    *base
	formats JobFormats
}

func (c *jobClient) Submit(context.Context, gatekeeper.Submission) gatekeeper.JobAnswer {
	return gatekeeper.JobAnswer{Status: http.StatusServiceUnavailable, Reason: "no bulk hosts", RetryAfterMillis: 1000}
}

func (c *jobClient) Serve(context.Context, string, speller.JobCall, string) gatekeeper.JobAnswer {
	return gatekeeper.JobAnswer{Status: http.StatusServiceUnavailable, Reason: "no bulk hosts", RetryAfterMillis: 1000}
}
