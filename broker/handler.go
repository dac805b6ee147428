package broker

import (
	"context"
	"errors"
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/authorizer"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/executor"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// maxResultBytes limits the outputs in one answer.
const maxResultBytes = 900 << 10

// LocalGroup is a group on a host that may serve it.
type LocalGroup struct {
	executor.Group
	// WhileServing calls read, which must not block, if the host serves the group now, and
	// reports whether it did. The group's state and owner do not change during read.
	WhileServing func(ctx context.Context, read func()) bool
	// Recipients returns the other disks to which the group's log is sent.
	Recipients func(ctx context.Context) []string
}

// Handler handles calls about batch jobs on the host that serves their groups.
type Handler struct {
	groups  []LocalGroup
	digests func() []gossiper.Digest
	fleet   Fleet
	logger  *zap.Logger
}

// Fleet is what a Handler knows of the fleet: the current Snapshot, and the regions of data
// centres.
type Fleet struct {
	Snapshot func() cataloger.Snapshot
	Zones    localizer.Zones
}

// NewHandler returns a Handler and registers its methods with to. groups are ordered by
// group number and include every group.
func NewHandler(groups []LocalGroup, digests func() []gossiper.Digest, f Fleet, to messenger.Registry, l *zap.Logger) *Handler {
	d := &Handler{groups: groups, digests: digests, fleet: f, logger: l}
	handle(to, methodSubmit, d.submit)
	handle(to, methodResults, d.results)
	handle(to, methodBody, d.body)
	handle(to, methodEnd, d.end)
	return d
}

func handle[T any](to messenger.Registry, m messenger.Method, f func(context.Context, T) reply) {
	to.Handle(m, func(ctx context.Context, _ messenger.Peer, body []byte, send func([]byte) error) error {
		var in T
		if err := cbor.Unmarshal(body, &in); err != nil {
			return eris.Wrap(err, "decode call about a job")
		}
		frame, err := cbor.Marshal(f(ctx, in))
		if err != nil {
			return eris.Wrap(err, "encode answer about a job")
		}
		return send(frame)
	})
}

// whileServing returns what read returns for a job's group, and false if this host does
// not serve the group. What the group does not have while it is served does not exist.
func whileServing[T any](ctx context.Context, s LocalGroup, read func(*queuer.Queue) T) (T, bool) {
	var found, none T
	if !s.WhileServing(ctx, func() { found = read(s.Queue) }) {
		// read may still be called, after ctx has ended.
		return none, false
	}
	return found, true
}

func (d *Handler) submit(ctx context.Context, m submitRequest) reply {
	s := d.groups[GroupOf(m.Job.ID)]
	v, ok := whileServing(ctx, s, func(q *queuer.Queue) verdict { return submissionVerdict(q, &m.Job) })
	switch {
	case !ok:
		return reply{Verdict: verdictNotOwner}
	case v != verdictNotFound:
		return reply{Verdict: v}
	}
	recipients := func() []string { return s.Recipients(ctx) }
	snapshot := d.fleet.Snapshot()
	if allowed, reason := jobRegions(snapshot, d.fleet.Zones, &m.Job, recipients); reason != "" {
		d.logger.Info("no permitted place", zap.String("job", m.Job.ID),
			zap.Strings("allowed", allowed.Regions()), zap.String("reason", reason))
		return notPermitted(reason)
	}
	key := queuer.QueueKey{Workspace: m.Job.Workspace, Route: m.Job.Route}
	tokens := m.Job.Tokens()
	waiting := d.waiting(key)
	if m.MaxQueued > 0 && waiting+tokens > m.MaxQueued {
		d.logger.Info("job refused", zap.String("job", m.Job.ID), zap.Int64("tokens", tokens), zap.Int64("waiting", waiting), zap.Int64("most", m.MaxQueued))
		return reply{Verdict: verdictQueueFull}
	}
	defer s.Queue.Reserve(key, tokens)()
	m.Job.Regions = m.Job.Subject().AtAcceptance(snapshot.Config, m.Job.Paths())
	r := d.commit(ctx, s, queuer.NewAccepted(m.Job))
	if r.Verdict == verdictDone {
		r = d.acceptance(ctx, s, m)
	}
	d.logger.Info("job taken in", zap.String("job", m.Job.ID), zap.String("workspace", m.Job.Workspace), zap.Int("items", len(m.Job.Items)),
		zap.Int64("tokens", tokens), zap.Int64("waiting", waiting), zap.Uint8("verdict", uint8(r.Verdict)))
	return r
}

// acceptance returns the reply for a submission that was committed. Of two jobs of one name
// that were submitted at the same time, the first one committed is accepted.
func (d *Handler) acceptance(ctx context.Context, s LocalGroup, m submitRequest) reply {
	v, ok := whileServing(ctx, s, func(q *queuer.Queue) verdict { return submissionVerdict(q, &m.Job) })
	if !ok {
		return reply{Verdict: verdictUncertain}
	}
	if v == verdictNotFound {
		// The job was accepted and has been removed since.
		return reply{Verdict: verdictDone}
	}
	return reply{Verdict: v}
}

// waiting returns the number of tokens that wait on all hosts.
func (d *Handler) waiting(key queuer.QueueKey) int64 {
	var n int64
	for _, s := range d.groups {
		n += s.Queue.WaitingTokens()[key]
	}
	for _, o := range d.digests() {
		n += o.Waiting[key.String()]
	}
	return n
}

func (d *Handler) commit(ctx context.Context, s LocalGroup, r queuer.Record) reply {
	entries, err := queuer.Encode(r)
	if err != nil {
		d.logger.Error("cannot encode record", zap.Error(err))
		return reply{Verdict: verdictNotOwner}
	}
	err = s.Propose(ctx, entries...)
	var notOwner *mirrorer.NotOwnerError
	switch {
	case err == nil:
		return reply{Verdict: verdictDone}
	case errors.As(err, &notOwner):
		return reply{Verdict: verdictNotOwner}
	}
	return reply{Verdict: verdictUncertain}
}

// access returns the access of an owner to a job of q.
func access(q *queuer.Queue, job, workspace string) authorizer.Access {
	of, ok := q.Workspace(job)
	return authorizer.Check(authorizer.Owner{Workspace: workspace}, authorizer.Owner{Workspace: of}, ok)
}

// submissionVerdict returns the verdict on the submission of a job; it is verdictNotFound if there
// is no job of its name yet.
func submissionVerdict(q *queuer.Queue, j *queuer.Job) verdict {
	switch access(q, j.ID, j.Workspace).(type) {
	case authorizer.Granted:
		return verdictDone
	case authorizer.Foreign:
		return verdictConflict
	}
	return verdictNotFound
}

// lookUp calls read for the group of a job. The verdict is verdictDone if this host serves
// the group and the job is the owner's; only then the result is read's.
func lookUp[T any](ctx context.Context, d *Handler, m jobRequest, read func(*queuer.Queue) T) (T, verdict) {
	type result struct {
		verdict verdict
		value   T
	}
	r, ok := whileServing(ctx, d.groups[GroupOf(m.Job)], func(q *queuer.Queue) result {
		if access(q, m.Job, m.Workspace) != (authorizer.Granted{}) {
			return result{verdict: verdictNotFound}
		}
		return result{verdictDone, read(q)}
	})
	if !ok {
		return r.value, verdictNotOwner
	}
	return r.value, r.verdict
}

func (d *Handler) results(ctx context.Context, m jobRequest) reply {
	s, v := lookUp(ctx, d, m, func(q *queuer.Queue) *queuer.Queue { return q })
	if v != verdictDone {
		return reply{Verdict: v}
	}
	wait, cancel := context.WithTimeout(ctx, m.Wait.Duration())
	defer cancel()
	for {
		r, updated, ok := s.Results(m.Job, m.From, maxResultBytes)
		switch {
		case !ok:
			return reply{Verdict: verdictNotOwner}
		case len(r.Results) > 0 || updated == nil || m.Wait <= 0:
			return reply{Verdict: verdictDone, Results: r}
		}
		select {
		case <-updated:
			if !s.Serving() {
				return reply{Verdict: verdictNotOwner}
			}
		case <-wait.Done():
			return reply{Verdict: verdictDone, Results: r}
		}
	}
}

func (d *Handler) body(ctx context.Context, m jobRequest) reply {
	r, v := lookUp(ctx, d, m, func(q *queuer.Queue) reply {
		if data, ok := q.Body(m.Job, m.Item); ok {
			return reply{Verdict: verdictDone, Body: data}
		}
		known, _, _ := q.Results(m.Job, math.MaxInt, 0)
		return reply{Verdict: verdictNotFound, Results: queuer.Results{Total: known.Total}}
	})
	if v != verdictDone {
		return reply{Verdict: v}
	}
	return r
}

func (d *Handler) end(ctx context.Context, m jobRequest) reply {
	active, v := lookUp(ctx, d, m, func(q *queuer.Queue) bool { return q.Active(m.Job) })
	if v != verdictDone || !active {
		return reply{Verdict: v}
	}
	r := d.commit(ctx, d.groups[GroupOf(m.Job)], queuer.Ended{Job: m.Job})
	d.logger.Info("job ended", zap.String("job", m.Job), zap.Uint8("verdict", uint8(r.Verdict)))
	return r
}

// expireInterval is how often expired jobs are searched for.
const expireInterval = 5 * timer.Second

// Expire periodically removes jobs that receive no more results and were submitted
// longer ago than keep. It returns when ctx is done.
func (d *Handler) Expire(ctx context.Context, keep timer.Millis, wall func() timer.Millis) {
	for timer.Sleep(ctx, expireInterval) {
		for _, s := range d.groups {
			for _, job := range s.Queue.Expired(int64(wall() - keep)) {
				d.commit(ctx, s, queuer.Dropped{Job: job})
			}
		}
	}
}
