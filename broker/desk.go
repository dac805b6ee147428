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

// maxResultBytes bounds the outputs in one answer.
const maxResultBytes = 900 << 10

// Seat is a group at the host that may answer for it.
type Seat struct {
	executor.Group
	// Serving says that the host answers for the group now.
	Serving func(ctx context.Context) bool
}

// Desk answers calls about batch jobs at the host that answers for them.
type Desk struct {
	seats   []Seat
	digests func() []gossiper.Digest
	logger  *zap.Logger
}

// NewDesk returns a Desk whose handlers are registered at to. seats are in the
// order of their numbers.
func NewDesk(seats []Seat, digests func() []gossiper.Digest, to messenger.Registry, l *zap.Logger) *Desk {
	d := &Desk{seats: seats, digests: digests, logger: l}
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

// seat returns the group of a job, if this host answers for it now.
func (d *Desk) seat(ctx context.Context, job string) (Seat, bool) {
	s := d.seats[GroupOf(job)]
	return s, s.Serving(ctx)
}

func (d *Desk) submit(ctx context.Context, m submitRequest) reply {
	s, ok := d.seat(ctx, m.Job.ID)
	if !ok {
		return reply{Verdict: verdictElsewhere}
	}
	if owner, ok := s.Queue.Has(m.Job.ID); ok {
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
		return reply{Verdict: verdictOverQueue}
	}
	defer s.Queue.Reserve(key, tokens)()
	r := d.commit(ctx, s, queuer.Accepted{Job: m.Job})
	d.logger.Info("job taken in", zap.String("job", m.Job.ID), zap.String("workspace", m.Job.Workspace), zap.Int("items", len(m.Job.Items)),
		zap.Int64("tokens", tokens), zap.Int64("waiting", waiting), zap.Uint8("verdict", uint8(r.Verdict)))
	return r
}

// waiting is how many tokens wait at all hosts.
func (d *Desk) waiting(key queuer.QueueKey) int64 {
	var n int64
	for _, s := range d.seats {
		n += s.Queue.Waiting()[key]
	}
	for _, o := range d.digests() {
		n += o.Waiting[key.String()]
	}
	return n
}

func (d *Desk) commit(ctx context.Context, s Seat, r queuer.Record) reply {
	data, err := queuer.Encode(r)
	if err != nil {
		d.logger.Error("record not encoded", zap.Error(err))
		return reply{Verdict: verdictElsewhere}
	}
	err = s.Propose(ctx, data)
	var notOwner *mirrorer.NotOwnerError
	switch {
	case err == nil:
		return reply{Verdict: verdictDone}
	case errors.As(err, &notOwner):
		return reply{Verdict: verdictElsewhere}
	}
	return reply{Verdict: verdictUnknown}
}

// known returns the group of a job that the workspace has.
func (d *Desk) known(ctx context.Context, m jobRequest) (Seat, verdict) {
	s, ok := d.seat(ctx, m.Job)
	if !ok {
		return s, verdictElsewhere
	}
	if owner, ok := s.Queue.Has(m.Job); !ok || owner != m.Workspace {
		return s, verdictNoJob
	}
	return s, verdictDone
}

func (d *Desk) results(ctx context.Context, m jobRequest) reply {
	s, v := d.known(ctx, m)
	if v != verdictDone {
		return reply{Verdict: v}
	}
	wait, cancel := context.WithTimeout(ctx, m.Wait.Duration())
	defer cancel()
	for {
		r, news, ok := s.Queue.Results(m.Job, m.From, maxResultBytes)
		switch {
		case !ok:
			return reply{Verdict: verdictElsewhere}
		case len(r.Results) > 0 || news == nil || m.Wait <= 0:
			return reply{Verdict: verdictDone, Results: r}
		}
		select {
		case <-news:
			if !s.Queue.Serving() {
				return reply{Verdict: verdictElsewhere}
			}
		case <-wait.Done():
			return reply{Verdict: verdictDone, Results: r}
		}
	}
}

func (d *Desk) body(ctx context.Context, m jobRequest) reply {
	s, v := d.known(ctx, m)
	if v != verdictDone {
		return reply{Verdict: v}
	}
	body, ok := s.Queue.Body(m.Job, m.Item)
	if !ok {
		return reply{Verdict: verdictNoJob}
	}
	return reply{Verdict: verdictDone, Body: body}
}

func (d *Desk) end(ctx context.Context, m jobRequest) reply {
	s, v := d.known(ctx, m)
	if v != verdictDone {
		return reply{Verdict: v}
	}
	if !s.Queue.Open(m.Job) {
		return reply{Verdict: verdictDone}
	}
	r := d.commit(ctx, s, queuer.Ended{Job: m.Job})
	d.logger.Info("job ended", zap.String("job", m.Job), zap.Uint8("verdict", uint8(r.Verdict)))
	return r
}

// expireInterval is how often jobs are looked for that need not be kept.
const expireInterval = 5 * timer.Second

// Expire forgets jobs that were submitted longer ago than keep, until ctx ends.
func (d *Desk) Expire(ctx context.Context, keep timer.Millis, wall func() timer.Millis) {
	for timer.Sleep(ctx, expireInterval) {
		for _, s := range d.seats {
			for _, job := range s.Queue.Expired(int64(wall() - keep)) {
				d.commit(ctx, s, queuer.Dropped{Job: job})
			}
		}
	}
}
