package mirrorer

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// pump sends to each other disk what it lacks, and commits what all have.
func (r *Replica) pump() {
	s := r.session
	if s == nil {
		return
	}
	for _, d := range r.recipients() {
		r.send(d)
	}
	r.commit()
}

// recipients are the other disks that the log is sent to.
func (r *Replica) recipients() []string {
	out := r.counting()
	if l := r.session.learning; l != "" && !r.group.Holds(l) && !r.session.pledged[l] {
		out = append(out, l)
	}
	return out
}

func (r *Replica) send(disk string) {
	s, log := r.session, r.options.Log
	f, ok := s.followers[disk]
	if !ok {
		f = &fellow{next: log.Last() + 1}
		s.followers[disk] = f
	}
	now := r.options.Clock.Now()
	due := now-f.sent >= heartbeat
	if f.busy || now < f.pausedUntil || (!due && (!f.known || f.next > log.Last())) {
		return
	}
	f.next = max(f.next, log.Base()+1)
	m := appendRequest{
		Group: r.options.Group, Epoch: s.term.Epoch, Owner: r.options.Disk, To: disk,
		Base: log.Base(), Previous: f.next - 1, PreviousTerm: log.TermAt(f.next - 1),
	}
	if f.known {
		var err error
		if m.Entries, err = log.Read(f.next, r.options.MaxAppend); err != nil {
			r.options.Logger.Error("log cannot be read", zap.Int("group", r.options.Group), zap.Error(err))
			r.endSession()
			return
		}
	}
	f.busy, f.sent = true, now
	go r.call(s, disk, f, m)
}

func (r *Replica) call(s *session, disk string, f *fellow, m appendRequest) {
	reply, err := r.exchange(disk, m)
	r.post(func() {
		f.busy = false
		if r.session != s {
			return
		}
		if err != nil || reply.Refused {
			f.pausedUntil = r.options.Clock.Now() + retryPause
			r.unanswered(f, disk, reply, err)
		} else {
			f.failures = 0
		}
		if err == nil {
			r.answered(f, m, reply)
		}
	})
}

// failuresLogged is after how many failures in a row each further line is written.
const failuresLogged = 50

// unanswered logs that a disk does not take the log: the first time, and now and
// then while that goes on.
func (r *Replica) unanswered(f *fellow, disk string, reply appendReply, err error) {
	if f.failures%failuresLogged == 0 {
		r.options.Logger.Warn("disk does not take the log", zap.Int("group", r.options.Group), zap.String("disk", disk),
			zap.Int("failures", f.failures), zap.Bool("refused", reply.Refused), zap.Uint64("epoch", reply.Epoch), zap.Error(err))
	}
	f.failures++
}

var errNoAddress = errors.New("the disk's host is not known")

func (r *Replica) exchange(disk string, m appendRequest) (appendReply, error) {
	var reply appendReply
	address, ok := r.options.Address(disk)
	if !ok {
		return reply, errNoAddress
	}
	body, err := cbor.Marshal(m)
	if err != nil {
		return reply, err
	}
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout.Duration())
	defer cancel()
	err = r.options.Caller.Call(ctx, address, methodAppend, body, func(frame []byte) error {
		return cbor.Unmarshal(frame, &reply)
	})
	return reply, err
}

// answered takes a disk's answer into account.
func (r *Replica) answered(f *fellow, m appendRequest, reply appendReply) {
	if reply.Refused {
		// A later manifest is known there; the store will tell of it.
		r.highest = max(r.highest, reply.Epoch)
		return
	}
	f.known, f.answered = true, f.sent
	if !reply.Matched {
		f.next = max(r.options.Log.Base()+1, min(reply.Next, f.next))
		r.pump()
		return
	}
	f.matched = max(f.matched, m.Previous+uint64(len(m.Entries)))
	f.next = f.matched + 1
	r.pump()
}

// commit applies what is on all disks that count.
func (r *Replica) commit() {
	s, log := r.session, r.options.Log
	all := log.Last()
	for _, d := range r.counting() {
		f, ok := s.followers[d]
		if !ok {
			return
		}
		all = min(all, f.matched)
	}
	if all <= s.committed || (!s.opened && (all < s.began || !s.settled)) {
		return
	}
	for s.committed < all {
		entries, err := log.Read(s.committed+1, r.options.MaxAppend)
		if err != nil || len(entries) == 0 {
			r.options.Logger.Error("log cannot be read", zap.Int("group", r.options.Group), zap.Error(err))
			r.endSession()
			return
		}
		for _, e := range entries {
			if s.committed == all {
				break
			}
			r.apply(s, e)
		}
	}
	if !s.opened {
		s.opened = true
		r.options.Machine.Opened()
		r.options.Logger.Info("group served", zap.Int("group", r.options.Group), zap.Uint64("epoch", s.term.Epoch), zap.Uint64("committed", s.committed))
	}
}

func (r *Replica) apply(s *session, e Entry) {
	s.committed++
	if len(e.Data) > 0 {
		r.options.Machine.Apply(e.Data)
	}
	if done, ok := s.waiting[s.committed]; ok {
		delete(s.waiting, s.committed)
		done <- nil
	}
}

// counting are the other disks that must have an entry before it is committed:
// all holders, and a disk that is about to be one.
func (r *Replica) counting() []string {
	out := make([]string, 0, len(r.group.Holders))
	for _, d := range r.group.Holders {
		if d != r.options.Disk {
			out = append(out, d)
		}
	}
	for d := range r.session.pledged {
		if !r.group.Holds(d) {
			out = append(out, d)
		}
	}
	return out
}

// planInterval is the least time between two looks at a group.
const planInterval timer.Millis = 40

// plan looks at the group and does what Plan says.
func (r *Replica) plan() {
	now := r.options.Clock.Now()
	if r.writing || r.failed || now-r.planned < planInterval || !r.mayWrite(r.group, now) {
		return
	}
	r.planned = now
	if r.session != nil {
		r.session.closing = false
	}
	v := r.options.View(r.group)
	v.Group, v.Number, v.Self = r.group, r.options.Group, r.options.Disk
	v.Caught = r.caught()
	step := Plan(v)
	if _, stays := step.(Stay); stays && r.session != nil && (!r.session.settled || len(r.session.pledged) > 0) {
		step = Write{Group: v.next(r.options.Disk, r.group.Holders), Reason: "earlier transactions made void"}
	}
	switch step := step.(type) {
	case Stay:
	case Learn:
		if r.session != nil && r.session.learning != step.Disk {
			delete(r.session.followers, step.Disk)
			r.session.learning = step.Disk
			r.options.Logger.Info("holder sought", zap.Int("group", r.options.Group), zap.String("disk", step.Disk))
		}
	case Write:
		r.rewrite(step)
	}
}

// caught are the disks that have all of the owner's log.
func (r *Replica) caught() map[string]bool {
	out := make(map[string]bool)
	if r.session == nil {
		return out
	}
	for d, f := range r.session.followers {
		out[d] = f.known && f.matched == r.options.Log.Last() && r.options.Clock.Now()-f.answered < ServingLease
	}
	return out
}

// rewrite replaces the manifest. An owner that gives the group away first takes
// nothing more in and waits until all is committed.
func (r *Replica) rewrite(w Write) {
	if s := r.session; s != nil && w.Group.Owner != r.options.Disk {
		s.closing = true
		if len(s.waiting) > 0 {
			return
		}
	}
	value, err := cbor.Marshal(w.Group)
	if err != nil {
		r.options.Logger.Error("manifest not encoded", zap.Error(err))
		return
	}
	before := r.group
	r.writing = true
	if s := r.session; s != nil {
		for _, d := range w.Group.Holders {
			if d != r.options.Disk && !before.Holds(d) {
				s.pledged[d] = true
			}
		}
	}
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, storeTimeout.Duration())
		defer cancel()
		revision, err := r.options.Ledger.Commit(ctx, storer.Transaction{
			Conditions: []storer.Condition{{Key: r.options.Key, Revision: storer.Revision(before.Revision)}},
			Set:        []storer.Item{{Key: r.options.Key, Value: value}},
		})
		r.post(func() { r.rewritten(before, w, revision, err) })
	}()
}

// rewritten takes the store's answer to a Write that was planned for the manifest
// before.
func (r *Replica) rewritten(before cataloger.Group, w Write, revision storer.Revision, err error) {
	r.writing = false
	fields := []zap.Field{
		zap.Int("group", r.options.Group), zap.String("reason", w.Reason), zap.Uint64("epoch", w.Group.Epoch),
		zap.String("owner", w.Group.Owner), zap.Strings("holders", w.Group.Holders),
	}
	if err != nil {
		r.rewrites = r.after(before, err, r.options.Clock.Now())
		r.options.Logger.Warn("manifest not written", append(fields, zap.Error(err))...)
		if r.session != nil {
			r.session.closing = false
		}
		return
	}
	r.options.Logger.Info("manifest written", fields...)
	r.rewrites = rewrites{}
	g := w.Group
	g.Revision = uint64(revision)
	r.setGroup(g, true)
}
