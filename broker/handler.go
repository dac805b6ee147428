package broker

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/executor"
	"github.com/jackdawgate/jackdawgate/gossiper"
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
	// Serving reports whether the host serves the group now.
	Serving func(ctx context.Context) bool
}

// Handler handles calls about batch jobs on the host that serves their groups.
type Handler struct {
	groups  []LocalGroup
	digests func() []gossiper.Digest
	logger  *zap.Logger
}

// NewHandler returns a Handler and registers its methods with to. groups are ordered by
// group number and include every group.
func NewHandler(groups []LocalGroup, digests func() []gossiper.Digest, to messenger.Registry, l *zap.Logger) *Handler {
	d := &Handler{groups: groups, digests: digests, logger: l}
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

// localGroup returns the group of a job, and whether this host serves it now.
func (d *Handler) localGroup(ctx context.Context, job string) (LocalGroup, bool) {
	s := d.groups[GroupOf(job)]
	return s, s.Serving(ctx)
}

func (d *Handler) submit(ctx context.Context, m submitRequest) reply {
	s, ok := d.localGroup(ctx, m.Job.ID)
	if !ok {
		return reply{Verdict: verdictNotOwner}
	}
	if owner, ok := s.Queue.Workspace(m.Job.ID); ok {
		if owner != m.Job.Workspace {
			return reply{Verdict: verdictConflict}
		}
		return reply{Verdict: verdictDone}
	}
	key := queuer.QueueKey{Workspace: m.Job.Workspace, Route: m.Job.Route}
	tokens := m.Job.Tokens()
	waiting := d.waiting(key)
	if m.MaxQueued > 0 && waiting+tokens > m.MaxQueued {
		d.logger.Info("job refused", zap.String("job", m.Job.ID), zap.Int64("tokens", tokens), zap.Int64("waiting", waiting), zap.Int64("most", m.MaxQueued))
		return reply{Verdict: verdictQueueFull}
	}
	defer s.Queue.Reserve(key, tokens)()
	r := d.commit(ctx, s, queuer.Accepted{Job: m.Job})
	d.logger.Info("job taken in", zap.String("job", m.Job.ID), zap.String("workspace", m.Job.Workspace), zap.Int("items", len(m.Job.Items)),
		zap.Int64("tokens", tokens), zap.Int64("waiting", waiting), zap.Uint8("verdict", uint8(r.Verdict)))
	return r
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
	data, err := queuer.Encode(r)
	if err != nil {
		d.logger.Error("cannot encode record", zap.Error(err))
		return reply{Verdict: verdictNotOwner}
	}
	err = s.Propose(ctx, data)
	var notOwner *mirrorer.NotOwnerError
	switch {
	case err == nil:
		return reply{Verdict: verdictDone}
	case errors.As(err, &notOwner):
		return reply{Verdict: verdictNotOwner}
	}
	return reply{Verdict: verdictUncertain}
}

// lookUp returns the group of a job. The verdict is verdictDone if this host serves the
// group and the job belongs to the workspace.
func (d *Handler) lookUp(ctx context.Context, m jobRequest) (LocalGroup, verdict) {
	s, ok := d.localGroup(ctx, m.Job)
	if !ok {
		return s, verdictNotOwner
	}
	if owner, ok := s.Queue.Workspace(m.Job); !ok || owner != m.Workspace {
		return s, verdictNotFound
	}
	return s, verdictDone
}

func (d *Handler) results(ctx context.Context, m jobRequest) reply {
	s, v := d.lookUp(ctx, m)
	if v != verdictDone {
		return reply{Verdict: v}
	}
	wait, cancel := context.WithTimeout(ctx, m.Wait.Duration())
	defer cancel()
	for {
		r, updated, ok := s.Queue.Results(m.Job, m.From, maxResultBytes)
		switch {
		case !ok:
			return reply{Verdict: verdictNotOwner}
		case len(r.Results) > 0 || updated == nil || m.Wait <= 0:
			return reply{Verdict: verdictDone, Results: r}
		}
		select {
		case <-updated:
			if !s.Queue.Serving() {
				return reply{Verdict: verdictNotOwner}
			}
		case <-wait.Done():
			return reply{Verdict: verdictDone, Results: r}
		}
	}
}

func (d *Handler) body(ctx context.Context, m jobRequest) reply {
	s, v := d.lookUp(ctx, m)
	if v != verdictDone {
		return reply{Verdict: v}
	}
	body, ok := s.Queue.Body(m.Job, m.Item)
	if !ok {
		return reply{Verdict: verdictNotFound}
	}
	return reply{Verdict: verdictDone, Body: body}
}

func (d *Handler) end(ctx context.Context, m jobRequest) reply {
	s, v := d.lookUp(ctx, m)
	if v != verdictDone {
		return reply{Verdict: v}
	}
	if !s.Queue.Active(m.Job) {
		return reply{Verdict: verdictDone}
	}
	r := d.commit(ctx, s, queuer.Ended{Job: m.Job})
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
