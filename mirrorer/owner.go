package mirrorer

import (
	"context"
	"errors"
	"maps"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// replicate sends each of the other disks the entries that it lacks, and commits
// the entries that all required disks have. It ends the session if it can't read the log.
func (r *Replica) replicate() {
	s := r.session
	if s == nil {
		return
	}
	err := r.sendToAll(s)
	if err == nil {
		err = r.commit(s)
	}
	if err != nil {
		r.options.Logger.Error("cannot read group log", zap.Int("group", r.options.Group), zap.Error(err))
		r.endSession()
	}
}

func (r *Replica) sendToAll(s *session) error {
	for _, d := range r.recipients() {
		if err := r.send(s, d); err != nil {
			return err
		}
	}
	return nil
}

// recipients returns the other disks to which the log is sent: the required ones
// and the learner.
func (r *Replica) recipients() []string {
	out := r.requiredFollowers()
	if l := r.session.learner; l != "" && !r.group.Holds(l) && r.session.pendingHolders[l] == nil {
		out = append(out, l)
	}
	return out
}

// send sends a disk the entries that it lacks, unless a message to it is in flight. It fails
// if the log can't be read.
func (r *Replica) send(s *session, disk string) error {
	log := r.options.Log
	f, ok := s.followers[disk]
	if !ok {
		f = &follower{nextIndex: log.Last() + 1}
		s.followers[disk] = f
	}
	now := r.options.Clock.Now()
	due := now-f.lastSent >= heartbeatInterval
	if f.inFlight || now < f.pausedUntil || (!due && (!f.probed || f.nextIndex > log.Last())) {
		return nil
	}
	f.nextIndex = max(f.nextIndex, log.Base()+1)
	m := appendRequest{
		Group: r.options.Group, Epoch: s.term.Epoch, Owner: r.options.Disk, To: disk,
		Base: log.Base(), Previous: f.nextIndex - 1, PreviousTerm: log.TermAt(f.nextIndex - 1),
	}
	if f.probed {
		var err error
		if m.Entries, err = log.Read(f.nextIndex, r.options.MaxAppend); err != nil {
			return err
		}
	}
	f.inFlight, f.lastSent = true, now
	f.sendsWhole = m.last() == log.Last()
	go r.sendAndHandle(s, disk, f, m)
	return nil
}

func (r *Replica) sendAndHandle(s *session, disk string, f *follower, m appendRequest) {
	reply, err := r.callAppend(disk, m)
	r.post(func() {
		f.inFlight = false
		if r.session != s {
			return
		}
		if err != nil || reply.Refused {
			f.pausedUntil = r.options.Clock.Now() + retryPause
			r.recordFailure(f, disk, reply, err)
		} else {
			f.failures = 0
		}
		if err == nil {
			r.handleReply(f, m, reply)
		}
	})
}

// failureLogInterval is the number of consecutive failures of a follower per log
// line.
const failureLogInterval = 50

// recordFailure counts a failed or refused message to a follower. It logs the first
// of consecutive failures, and every failureLogInterval-th one after it.
func (r *Replica) recordFailure(f *follower, disk string, reply appendReply, err error) {
	if f.failures%failureLogInterval == 0 {
		r.options.Logger.Warn("follower did not accept log entries", zap.Int("group", r.options.Group), zap.String("disk", disk),
			zap.Int("failures", f.failures), zap.Bool("refused", reply.Refused), zap.Uint64("epoch", reply.Epoch), zap.Error(err))
	}
	f.failures++
}

var errNoAddress = errors.New("no address known for the disk's host")

func (r *Replica) callAppend(disk string, m appendRequest) (appendReply, error) {
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

// handleReply updates the follower's state with its reply to m.
func (r *Replica) handleReply(f *follower, m appendRequest, reply appendReply) {
	if reply.Refused {
		// The follower has a later manifest; this host will read it from the store.
		r.highestEpoch = max(r.highestEpoch, reply.Epoch)
		return
	}
	f.probed, f.lastAcked = true, f.lastSent
	if !reply.Matched {
		f.nextIndex = max(r.options.Log.Base()+1, min(reply.Next, f.nextIndex))
		r.replicate()
		return
	}
	if f.sendsWhole {
		f.lastWhole = f.lastSent
	}
	f.matchIndex = max(f.matchIndex, m.last())
	f.nextIndex = f.matchIndex + 1
	r.replicate()
}

// commit applies the entries that are on all required disks. It fails if the log can't be
// read.
func (r *Replica) commit(s *session) error {
	log := r.options.Log
	commitIndex := log.Last()
	for _, d := range r.requiredFollowers() {
		f, ok := s.followers[d]
		if !ok {
			return nil
		}
		commitIndex = min(commitIndex, f.matchIndex)
	}
	if commitIndex <= s.committed || (!s.serving && (commitIndex < s.firstIndex || !s.priorWritesSettled || r.otherMayServe())) {
		return nil
	}
	for s.committed < commitIndex {
		entries, err := log.Read(s.committed+1, r.options.MaxAppend)
		if err == nil && len(entries) == 0 {
			err = eris.Errorf("log entry %d is missing", s.committed+1)
		}
		if err != nil {
			return err
		}
		for _, e := range entries {
			if s.committed == commitIndex {
				break
			}
			r.apply(s, e)
		}
	}
	if !s.serving {
		s.serving = true
		r.options.Machine.StartServing()
		r.options.Logger.Info("group served", zap.Int("group", r.options.Group), zap.Uint64("epoch", s.term.Epoch), zap.Uint64("committed", s.committed))
		r.recordServing()
	}
	return nil
}

// recordServing appends an empty entry to the log of a session that serves, for servedEpoch.
func (r *Replica) recordServing() {
	if s := r.session; s.serving && r.appendLocal([]Entry{{Term: s.term}}) != nil {
		r.endSession()
	}
}

// servedEpoch returns the epoch under which the log's last entry was appended. It is zero
// unless the session that appended it served.
func servedEpoch(log *Log) uint64 {
	last := log.Last()
	if last < log.Base()+2 || log.TermAt(last-1).Incarnation != log.TermAt(last).Incarnation {
		return 0
	}
	return log.TermAt(last).Epoch
}

// otherMayServe reports whether an earlier owner may still serve the group under its lease.
// The session of one that is a required follower has ended with its first acknowledgement.
func (r *Replica) otherMayServe() bool {
	now := r.options.Clock.Now()
	maps.DeleteFunc(r.acknowledged, func(_ string, at timer.Millis) bool { return now-at > ServingLease })
	for _, d := range r.requiredFollowers() {
		delete(r.acknowledged, d)
	}
	return len(r.acknowledged) > 0
}

func (r *Replica) apply(s *session, e Entry) {
	s.committed++
	if len(e.Data) > 0 {
		r.options.Machine.Apply(e.Data)
	}
	if done, ok := s.waiters[s.committed]; ok {
		delete(s.waiters, s.committed)
		done <- nil
	}
}

// requiredFollowers returns the other disks that must have an entry before it is
// committed: all holders, and the disks that are to become holders.
func (r *Replica) requiredFollowers() []string {
	out := make([]string, 0, len(r.group.Holders))
	for _, d := range r.group.Holders {
		if d != r.options.Disk {
			out = append(out, d)
		}
	}
	for d := range r.session.pendingHolders {
		if !r.group.Holds(d) {
			out = append(out, d)
		}
	}
	return out
}

// minPlanInterval is the least time between two calls of Plan for a group.
const minPlanInterval timer.Millis = 40

// plan calls Plan and carries out the step that it returns.
func (r *Replica) plan() {
	now := r.options.Clock.Now()
	if r.writingManifest || r.diskFailed || now-r.lastPlanned < minPlanInterval || !r.mayWrite(r.group, now) {
		return
	}
	r.lastPlanned = now
	if r.session != nil {
		r.session.handingOver = false
	}
	v := r.options.View(r.group)
	v.Group, v.GroupNumber, v.Self = r.group, r.options.Group, r.options.Disk
	v.CaughtUp = r.caughtUp()
	if r.session != nil && v.Barred[r.session.learner] {
		r.session.learner = ""
	}
	step := Plan(v)
	r.dropPendingHolders(step)
	if _, idle := step.(NoStep); idle && r.session != nil && (!r.session.priorWritesSettled || len(r.session.pendingHolders) > 0) {
		step = WriteManifest{Group: v.nextManifest(r.options.Disk, r.group.Holders), Reason: "invalidate earlier transactions"}
	}
	switch step := step.(type) {
	case NoStep:
	case AddLearner:
		if r.session != nil && r.session.learner != step.Disk {
			delete(r.session.followers, step.Disk)
			r.session.learner = step.Disk
			r.options.Logger.Info("learner added", zap.Int("group", r.options.Group), zap.String("disk", step.Disk))
		}
	case WriteManifest:
		r.writeManifest(step)
	}
}

// Recipients returns the other disks to which this host, as the owner, sends the log: those of
// holders, and that of a host that is to become one. It returns none if this host is not the
// owner, or if ctx ends first.
func (r *Replica) Recipients(ctx context.Context) []string {
	out := make(chan []string, 1)
	r.post(func() {
		if r.session == nil {
			out <- nil
			return
		}
		out <- r.recipients()
	})
	select {
	case list := <-out:
		return list
	case <-ctx.Done():
	case <-r.done:
	}
	return nil
}

// caughtUp returns the disks that had the owner's entire log within ServingLease. In a busy
// group, more entries are always under way.
func (r *Replica) caughtUp() map[string]bool {
	out := make(map[string]bool)
	if r.session == nil {
		return out
	}
	for d, f := range r.session.followers {
		out[d] = f.lastWhole != 0 && r.options.Clock.Now()-f.lastWhole < ServingLease
	}
	return out
}

// writeManifest replaces the manifest in the store. An owner that hands the group
// over first refuses new proposals and waits until all earlier ones are committed.
func (r *Replica) writeManifest(w WriteManifest) {
	if s := r.session; s != nil && w.Group.Owner != r.options.Disk {
		s.handingOver = true
		if len(s.waiters) > 0 {
			return
		}
	}
	value, err := cbor.Marshal(w.Group)
	if err != nil {
		r.options.Logger.Error("cannot encode manifest", zap.Error(err))
		return
	}
	before := r.group
	if s := r.session; s != nil && !r.requireNewHolders(s, w.Group) {
		return
	}
	r.writingManifest = true
	t := storer.Transaction{
		Conditions: append([]storer.Condition{{Key: r.options.Key, Revision: storer.Revision(before.Revision)}}, r.holderConditions(before, w.Group)...),
		Set:        []storer.Item{{Key: r.options.Key, Value: value}},
	}
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, storeTimeout.Duration())
		defer cancel()
		revision, err := r.options.Ledger.Commit(ctx, t)
		r.post(func() { r.manifestWritten(before, w, revision, err) })
	}()
}

// manifestWritten handles the store's answer to the step w, which was planned for
// the manifest before.
func (r *Replica) manifestWritten(before cataloger.Group, w WriteManifest, revision storer.Revision, err error) {
	r.writingManifest = false
	fields := []zap.Field{
		zap.Int("group", r.options.Group), zap.String("reason", w.Reason), zap.Uint64("epoch", w.Group.Epoch),
		zap.String("owner", w.Group.Owner), zap.Strings("holders", w.Group.Holders),
	}
	if err != nil {
		r.writePacer = r.afterFailure(before, err, r.options.Clock.Now())
		r.options.Logger.Warn("manifest not written", append(fields, zap.Error(err))...)
		if r.session != nil {
			r.session.handingOver = false
		}
		return
	}
	r.options.Logger.Info("manifest written", fields...)
	r.writePacer = writePacer{}
	g := w.Group
	g.Revision = uint64(revision)
	r.setGroup(g, true)
}
