// Package broker forwards callers' calls about batch jobs from entry hosts to the host
// that owns the job's group, and handles them there.
//
// Jobs are divided into groups by their names; each group has one owner at a time (see
// package mirrorer). An entry host calls the host that reports that it serves the group,
// and alternates with the owner that the manifest names. All calls are idempotent: a job
// is accepted once, and a repeated submission receives the same answer. An entry host
// that receives digests from no bulk host calls through other entry hosts. A call that
// may have changed something and whose answer is lost is never refused as if it had not
// been executed.
package broker

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/authorizer"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/gatekeeper"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/jackdawgate/jackdawgate/measurer"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/namer"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Formats are the formats of the messages about batch jobs that callers exchange.
type Formats struct {
	// Items decodes the items of a submitted job.
	Items func(body []byte) ([]queuer.Item, error)
	// Results encodes results.
	Results func(r queuer.Results) ([]byte, error)
	// ContentType is the content type of encoded results.
	ContentType string
}

// Options are the settings of a Broker.
type Options struct {
	Formats  Formats
	Caller   messenger.Caller
	Snapshot func() cataloger.Snapshot
	Digests  func() []gossiper.Digest
	// LastReceived returns when the last digest of a host was received, in the time of
	// Clock, and false if there is none.
	LastReceived func(host string) (timer.Millis, bool)
	Clock        timer.Clock
	// MaxJobBytes bounds an encoded job: the longest call that other hosts receive; default
	// 24 MB.
	MaxJobBytes int64
	// Wall returns the wall-clock time, in Unix milliseconds.
	Wall   func() timer.Millis
	Logger *zap.Logger
	// Zones holds the regions of hosts' data centres.
	Zones    localizer.Zones
	Measurer *measurer.Measurer
}

const (
	// ownerSearchTimeout is how long the host that serves a job's group is searched for.
	ownerSearchTimeout timer.Millis = 1400
	// hostSilenceTimeout is the time without a digest after which a host is no longer
	// called.
	hostSilenceTimeout timer.Millis = 600
	// retryPause is the pause between two attempts.
	retryPause timer.Millis = 70
	// callTimeout limits one attempt, in addition to the time that a read may wait and that
	// the disks of a group need for a job.
	callTimeout timer.Millis = 1000
	// storedPerMilli is how many bytes of a job all disks of a group store per millisecond
	// at least.
	storedPerMilli = 4 << 10
	// retryAfter is the retry-after time for callers if no host serves the job's group
	// at the moment: what taking a group over takes after a lost owner was noticed.
	// retryAfterUnreachable is the one if this host can reach no bulk host, while others may.
	retryAfter            timer.Millis = 400
	retryAfterUnreachable timer.Millis = 50
	maxResultWait                      = timer.Second
	defaultMaxJobBytes                 = 24 << 20
)

// Broker implements gatekeeper.Jobs. It is safe for concurrent use.
type Broker struct{ options Options }

// New returns a Broker.
func New(o Options) *Broker {
	defaulter.Set(&o.MaxJobBytes, defaultMaxJobBytes)
	return &Broker{options: o}
}

func refusal(status int, reason string) gatekeeper.JobAnswer {
	return gatekeeper.JobAnswer{Status: status, Reason: reason}
}

func retryableRefusal(status int, reason string) gatekeeper.JobAnswer {
	return gatekeeper.JobAnswer{Status: status, Reason: reason, RetryAfterMillis: int64(retryAfter)}
}

// unavailable returns the refusal of a call that no host handled.
func (b *Broker) unavailable() gatekeeper.JobAnswer {
	if !b.reachesBulkHost() {
		return gatekeeper.JobAnswer{
			Status: http.StatusServiceUnavailable, Reason: "this host reaches none that answers for jobs",
			RetryAfterMillis: int64(retryAfterUnreachable),
		}
	}
	return retryableRefusal(http.StatusServiceUnavailable, "no host answers for the job")
}

// reachesBulkHost reports whether any bulk host is reachable.
func (b *Broker) reachesBulkHost() bool {
	for _, m := range b.options.Snapshot().Members {
		if m.Role == cataloger.Bulk && b.isReachable(m.Name) {
			return true
		}
	}
	return false
}

// isReachable reports whether a digest of a host was received within hostSilenceTimeout.
func (b *Broker) isReachable(host string) bool {
	at, ok := b.options.LastReceived(host)
	return ok && b.options.Clock.Now()-at < hostSilenceTimeout
}

// Submit implements gatekeeper.Jobs.
func (b *Broker) Submit(ctx context.Context, s gatekeeper.Submission) gatekeeper.JobAnswer {
	if s.Route == nil {
		return b.submitWithoutRoute(ctx, s)
	}
	items, err := b.options.Formats.Items(s.Body)
	switch {
	case err != nil:
		return refusal(http.StatusBadRequest, "items cannot be read: "+err.Error())
	case s.ID == "" || len(items) == 0 || len(items) > maxItems:
		return refusal(http.StatusBadRequest, "a job needs a name and 1 to "+strconv.Itoa(maxItems)+" items")
	}
	if err := validate(items); err != nil {
		return refusal(http.StatusBadRequest, err.Error())
	}
	m := submitRequest{MaxQueued: s.Route.MaxQueued, Job: queuer.Job{
		ID: s.ID, Workspace: s.Owner.Workspace, Route: s.Route.Name, Host: s.Host, Submitted: int64(b.options.Wall()),
		RunObjective: s.Route.RunObjective, Retention: s.Route.Retention, MaxAttempts: s.Route.MaxAttempts, Items: items,
	}}
	body, err := cbor.Marshal(m)
	if err != nil {
		return refusal(http.StatusBadRequest, "job cannot be encoded: "+err.Error())
	}
	if size := int64(len(body)); size > b.options.MaxJobBytes {
		return b.submitTooLong(ctx, s, fmt.Sprintf("job of %d bytes exceeds the %d bytes that one message to another host may take of its memory", size, b.options.MaxJobBytes))
	}
	allowed, reason := jobRegions(b.options.Snapshot(), b.options.Zones, &m.Job, noRecipients)
	if reason != "" {
		return b.submitNotPermitted(ctx, s, allowed, reason)
	}
	r, sent := b.callServingHost(ctx, request{
		job: s.ID, method: methodSubmit, body: body,
		timeout: callTimeout + timer.Millis(len(body)/storedPerMilli), allowed: allowed,
	})
	switch r.Verdict {
	case verdictDone:
		return accepted()
	case verdictQueueFull:
		return retryableRefusal(http.StatusTooManyRequests, "too many tokens wait")
	case verdictConflict:
		return refusal(http.StatusConflict, "another workspace has a job of this name")
	case verdictNotPermitted:
		if !sent {
			return b.refuseNotPermitted(s.ID, allowed, string(r.Body))
		}
	}
	if sent {
		return refusal(http.StatusBadGateway, "it is not known whether the job was accepted")
	}
	return b.unavailable()
}

// Serve implements gatekeeper.Jobs.
func (b *Broker) Serve(ctx context.Context, owner authorizer.Owner, call namer.JobCall, wait string) gatekeeper.JobAnswer {
	switch t := call.(type) {
	case namer.ReadResults:
		return b.results(ctx, owner, t, wait)
	case namer.ReadBody:
		q := jobRequest{Job: t.Job, Workspace: owner.Workspace, Item: t.Item}
		r := b.callAboutJob(ctx, methodBody, q, b.readingRegions(owner.Workspace))
		return b.answerFor(r, gatekeeper.JobAnswer{Status: http.StatusOK, ContentType: "application/octet-stream", Body: r.Body})
	case namer.CancelJob:
		q := jobRequest{Job: t.Job, Workspace: owner.Workspace}
		r := b.callAboutJob(ctx, methodEnd, q, localizer.Set{})
		return b.answerFor(r, gatekeeper.JobAnswer{Status: http.StatusOK})
	}
	return refusal(http.StatusNotFound, "no such call")
}

func (b *Broker) results(ctx context.Context, owner authorizer.Owner, call namer.ReadResults, wait string) gatekeeper.JobAnswer {
	m := jobRequest{Job: call.Job, Workspace: owner.Workspace, From: call.From}
	if ms, err := strconv.ParseInt(wait, 10, 64); err == nil {
		m.Wait = min(timer.Millis(ms), maxResultWait)
	}
	r := b.callAboutJob(ctx, methodResults, m, b.readingRegions(owner.Workspace))
	if r.Verdict != verdictDone {
		return b.answerFor(r, gatekeeper.JobAnswer{})
	}
	body, err := b.options.Formats.Results(r.Results)
	if err != nil {
		b.options.Logger.Error("cannot encode results", zap.String("job", call.Job), zap.Error(err))
		return retryableRefusal(http.StatusServiceUnavailable, "results cannot be shown")
	}
	return gatekeeper.JobAnswer{Status: http.StatusOK, ContentType: b.options.Formats.ContentType, Body: body}
}

// answerFor returns done if the call succeeded, and otherwise the refusal for the
// verdict.
func (b *Broker) answerFor(r reply, done gatekeeper.JobAnswer) gatekeeper.JobAnswer {
	switch r.Verdict {
	case verdictDone:
		return done
	case verdictNotFound:
		return gatekeeper.JobAnswer{Status: http.StatusNotFound, NoSuchJob: r.Results.Total == 0, Reason: "no such job or item"}
	case verdictNotPermitted:
		return retryableRefusal(http.StatusServiceUnavailable, string(r.Body))
	}
	return b.unavailable()
}

// callAboutJob calls the host that serves the group of an existing job. Its answer passes
// only through hosts in the allowed regions, besides this one and the one that has the job.
func (b *Broker) callAboutJob(ctx context.Context, m messenger.Method, q jobRequest, allowed localizer.Set) reply {
	body, err := cbor.Marshal(q)
	if err != nil {
		b.options.Logger.Error("cannot encode call about a job", zap.String("job", q.Job), zap.Error(err))
		return reply{}
	}
	r, _ := b.callServingHost(ctx, request{job: q.Job, method: m, body: body, timeout: callTimeout + q.Wait, allowed: allowed})
	if r.Verdict == verdictNotPermitted {
		b.recordNotPermitted("read", q.Job, allowed, string(r.Body))
	}
	return r
}

// request is a call about a job. Hosts that pass it on, and for a submission also those that
// receive it, are in the allowed regions.
type request struct {
	job     string
	method  messenger.Method
	body    []byte
	timeout timer.Millis
	allowed localizer.Set
}

// callServingHost calls the host that serves the job's group, directly or, if no bulk
// host is reachable, through other entry hosts. It also reports whether a call was sent
// whose outcome is unknown.
func (b *Broker) callServingHost(ctx context.Context, q request) (reply, bool) {
	r, uncertain := b.callOwner(ctx, q)
	if !r.final() && !b.reachesBulkHost() {
		if q.allowed.Restricted() && len(b.relayAddresses(q)) == 0 {
			return notPermitted(reasonRelay), uncertain
		}
		return b.callThroughRelays(ctx, q, uncertain)
	}
	return r, uncertain
}

// callOwner calls the host that serves the job's group directly, and retries for
// ownerSearchTimeout. The verdict is zero if no host gave a final one. It also reports
// whether a call was sent whose outcome is unknown.
func (b *Broker) callOwner(ctx context.Context, q request) (reply, bool) {
	until := b.options.Clock.Now() + ownerSearchTimeout
	uncertain := false
	for attempt := 0; ; attempt++ {
		r, sent := b.call(ctx, b.targetAddress(q, attempt), q.method, q.body, q.timeout)
		uncertain = uncertain || sent
		if r.final() {
			return r, uncertain && r.Verdict == verdictNotPermitted
		}
		if b.options.Clock.Now() > until || !b.reachesBulkHost() || !timer.Sleep(ctx, retryPause) {
			return reply{}, uncertain
		}
	}
}

// final reports whether the verdict ends the search for the serving host.
func (r reply) final() bool {
	return r.Verdict != 0 && r.Verdict != verdictNotOwner && r.Verdict != verdictUncertain
}

// targetAddress returns the address of the host to call: on even attempts that of a host
// that reports that it serves the group, otherwise that of the owner in the manifest. It
// returns "" if the owner is not reachable, or may not receive the job.
func (b *Broker) targetAddress(q request, attempt int) string {
	s, group := b.options.Snapshot(), GroupOf(q.job)
	permitted := func(m cataloger.Member) bool {
		return q.method != methodSubmit || q.allowed.Permits(b.options.Zones.RegionOfMember(m))
	}
	if attempt%2 == 0 {
		for _, d := range b.options.Digests() {
			if m, ok := s.Members[d.Host]; ok && slices.Contains(d.Groups, group) && b.isReachable(d.Host) && permitted(m) {
				return m.PeerAddress
			}
		}
	}
	m, _ := s.MemberWithDisk(s.Groups[group].Owner)
	if !b.isReachable(m.Name) || !permitted(m) {
		return ""
	}
	return m.PeerAddress
}

// call calls one host. It also reports whether the call may have been executed although
// its outcome is unknown.
func (b *Broker) call(ctx context.Context, address string, m messenger.Method, body []byte, timeout timer.Millis) (reply, bool) {
	var r reply
	if address == "" {
		return r, false
	}
	limited, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	err := b.options.Caller.Call(limited, address, m, body, func(frame []byte) error { return cbor.Unmarshal(frame, &r) })
	var notSent *messenger.NotSentError
	if err != nil {
		b.options.Logger.Warn("call about a job failed", zap.String("address", address), zap.Error(err))
		return reply{}, !errors.As(err, &notSent)
	}
	return r, r.Verdict == verdictUncertain
}
