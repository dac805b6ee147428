// Package mirrorer replicates the log of a group of batch jobs to several disks.
//
// A manifest in the store names the disks that hold the log (the holders) and
// the one whose host, the owner, appends to it. An entry is committed once every
// holder has synced it; only then is it applied and visible to readers. Every
// holder therefore has all entries that were ever visible, and any holder's host
// can become the owner, by a conditional transaction on the manifest that only
// one host can win. Hosts do not vote.
//
// Invariants:
//   - Each entry carries the Term of the session in which it was appended.
//     Sessions differ in their epoch or in the owning process. A session starts
//     with an empty entry, so that a holder that restarts finds the last epoch in
//     its log and refuses an owner of an earlier epoch.
//   - A holder truncates its log after the last entry that it shares with the
//     owner's log. The truncated entries were never committed, because the owner
//     has every committed entry.
//   - Before an owner sends the transaction that adds a disk to the manifest, it
//     starts to require that disk for every commit, and waits until the disk has
//     all entries from before. It stops only when it has read a newer manifest
//     that does not name the disk, or if it has sent no such transaction. A
//     transaction whose outcome is unknown can still take effect while the
//     manifest is unchanged, so the disks that it adds are required until the
//     manifest has changed. For the same reason, a process that is already the
//     owner when it starts changes the manifest first: its predecessor may have
//     sent such a transaction.
//   - An owner serves reads only while every holder has acknowledged it within
//     ServingLease. A new owner is a holder named by the old owner's manifest,
//     refuses the old owner, and serves once the old owner's lease has ended: every
//     owner that it has acknowledged within ServingLease must have acknowledged the
//     new session, which ends the old one. A process that has started cannot tell
//     whom its predecessor acknowledged, and waits for ServingLease, unless the log
//     shows that the predecessor served under the manifest that is in place: a
//     session appends a second entry, and one under each later manifest, once it
//     serves.
//   - A disk that replaces another one has a new name and is not a holder.
//   - Entries are removed only up to a checkpoint that all holders have. A disk
//     that lacks removed entries is not a holder, and its log is restarted.
package mirrorer

import (
	"context"
	"errors"
	"fmt"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Machine is the state machine to which the group's owner applies the log. Its
// methods are called by one goroutine and must not block.
type Machine interface {
	// Reset discards all state.
	Reset()
	// Apply applies the next committed entry. A crash can leave only the first of the
	// entries of a proposal in the log.
	Apply(data []byte)
	// Checkpoint returns entries that bring a Machine in any state into the state
	// of this one. They are applied to this Machine too. A crash can leave only
	// the first of them in the log; an incomplete checkpoint must change nothing.
	Checkpoint() [][]byte
	// StartServing is called when every entry committed by earlier sessions has been
	// applied, and StopServing when this host no longer owns the group.
	StartServing()
	StopServing()
}

// NotOwnerError reports that a proposal was not appended and never will be.
type NotOwnerError struct{ Group int }

func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("this host does not serve group %d now", e.Group)
}

// UncertainError reports that a proposal may have been appended and may still be
// committed.
type UncertainError struct{ Group int }

func (e *UncertainError) Error() string {
	return fmt.Sprintf("unknown whether group %d committed the entry", e.Group)
}

// Options are the settings of a Replica. Zero fields take the defaults.
type Options struct {
	Group int
	// Disk and Incarnation identify this host's disk and process.
	Disk, Incarnation string
	Log               *Log
	Machine           Machine
	// Ledger is the store and Key the key of the manifest in it.
	Ledger storer.Ledger
	Key    string
	Caller messenger.Caller
	// View returns the input of Plan except for the fields that the Replica fills
	// in itself.
	View func(g cataloger.Group) View
	// Address returns the address of a disk's host.
	Address func(disk string) (string, bool)
	// HolderCondition returns a condition that is false once the host of a disk has been
	// reported as emptied. It is a condition of each transaction that makes the disk a
	// holder, which may be carried out late. It may be nil.
	HolderCondition func(disk string) (storer.Condition, bool)
	Clock           timer.Clock
	Logger          *zap.Logger
	// The log is compacted when it has grown by CompactAfter bytes, or by its size
	// after the last compaction if that is larger. Default 4 MB.
	CompactAfter int64
	// MaxAppend limits the entries that one message carries, in bytes; a message
	// carries at least one entry. Default 1 MB.
	MaxAppend int64
}

// Constants of the protocol.
const (
	// heartbeatInterval is how often an owner contacts holders that lack no
	// entries.
	heartbeatInterval timer.Millis = 250
	// ServingLease is the maximum age of every holder's last acknowledgement for
	// the owner to serve the group.
	ServingLease     timer.Millis = 900
	callTimeout      timer.Millis = 700
	retryPause       timer.Millis = 100
	storeTimeout     timer.Millis = 1200
	tickInterval     timer.Millis = 100
	defaultMaxAppend              = 1 << 20
	inboxSize                     = 256
)

// Replica is one host's replica of one group's log. Its exported methods are safe
// for concurrent use; a single goroutine owns its state.
type Replica struct {
	options Options
	inbox   chan func()
	cancel  context.CancelFunc
	ctx     context.Context
	done    chan struct{}

	// The fields below are used only by the goroutine that executes run.
	group cataloger.Group
	// acknowledged maps the disk of an owner to when this host last acknowledged it.
	// The key "" stands for those that earlier processes of this host acknowledged.
	acknowledged map[string]timer.Millis
	// servedEpoch is the epoch of the last manifest under which an earlier process of
	// this host served, or zero if the log does not show it.
	servedEpoch uint64
	// highestEpoch is the highest epoch that this Replica has received.
	highestEpoch uint64
	session      *session
	// writingManifest reports whether a transaction on the manifest is in flight.
	// lastPlanned is when plan last evaluated the group.
	writingManifest bool
	lastPlanned     timer.Millis
	writePacer
	diskFailed bool
	// compactedSize is the size of the log after the last compaction, in bytes.
	compactedSize int64
}

// session is a period during which this host owns the group.
type session struct {
	term      Term
	followers map[string]*follower
	// learner is a disk that receives the log in order to become a holder, or "".
	learner string
	// pendingHolders are the disks that are to become holders and are required already.
	pendingHolders map[string]*pendingHolder
	// priorWritesSettled is set once every transaction that an earlier process of
	// this host sent has either taken effect or can no longer take effect.
	priorWritesSettled bool
	// firstIndex is the index of the session's first entry, committed that of the
	// last committed and applied entry.
	firstIndex, committed uint64
	// waiters maps an index to the channel on which the proposer waits for its commit.
	waiters map[uint64]chan error
	// serving is set once every entry of earlier sessions has been applied and the
	// leases of earlier owners have ended, handingOver while another host is to become the owner.
	serving, handingOver bool
	// checkpoint has been appended but is not yet committed. While deferring is
	// set, proposals wait in deferred until a checkpoint has been appended.
	checkpoint *checkpoint
	deferring  bool
	deferred   []deferredProposal
}

// deferredProposal is an entry that has not been appended yet.
type deferredProposal struct {
	list [][]byte
	done chan error
}

// follower is the owner's view of another disk.
type follower struct {
	nextIndex, matchIndex uint64
	// inFlight is set while a message is under way, sendsWhole if the disk has the entire
	// log after it.
	inFlight, sendsWhole bool
	// probed reports whether nextIndex is based on a reply of the disk.
	probed bool
	// lastSent is when the last message was sent. lastAcked is when the last
	// message that was answered had been sent, lastWhole when the last one after which the
	// disk had the entire log of that moment had been sent.
	lastSent, lastAcked, lastWhole timer.Millis
	// pausedUntil is when the next message may be sent after a failed one.
	pausedUntil timer.Millis
	// failures counts consecutive failures.
	failures int
}

// New starts a Replica.
func New(o Options) *Replica {
	defaulter.Set(&o.CompactAfter, defaultCompactAfter)
	defaulter.Set(&o.MaxAppend, defaultMaxAppend)
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replica{
		options: o, inbox: make(chan func(), inboxSize), ctx: ctx, cancel: cancel, done: make(chan struct{}),
		acknowledged: map[string]timer.Millis{"": o.Clock.Now()}, servedEpoch: servedEpoch(o.Log),
	}
	r.highestEpoch = o.Log.TermAt(o.Log.Last()).Epoch
	go r.run()
	return r
}

// Close stops the Replica and waits until it has stopped.
func (r *Replica) Close() {
	r.cancel()
	<-r.done
}

// CloseAll stops Replicas and waits until they have stopped. They stop at the same time: a
// disk that is slow to sync delays all of them, and those that wait for their turn would
// begin further syncs.
func CloseAll(list []*Replica) {
	for _, r := range list {
		r.cancel()
	}
	for _, r := range list {
		<-r.done
	}
}

func (r *Replica) run() {
	defer close(r.done)
	for r.ctx.Err() == nil {
		wait, cancel := context.WithTimeout(r.ctx, tickInterval.Duration())
		select {
		case f := <-r.inbox:
			f()
			r.drainInbox()
		case <-wait.Done():
		}
		cancel()
		r.replicate()
		r.compact()
		r.plan()
	}
	r.endSession()
	if err := r.options.Log.Close(); err != nil {
		r.options.Logger.Warn("cannot close group log", zap.Error(err))
	}
}

// drainInbox runs the functions that are already queued, so that entries that
// arrive together share a sync.
func (r *Replica) drainInbox() {
	for range inboxSize {
		select {
		case f := <-r.inbox:
			f()
		default:
			return
		}
	}
}

// post runs f on the goroutine of the Replica. It returns false if the Replica is
// closed.
func (r *Replica) post(f func()) bool {
	select {
	case r.inbox <- f:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// SetGroup passes the Replica a manifest that was read from the store.
func (r *Replica) SetGroup(g cataloger.Group) { r.post(func() { r.setGroup(g, false) }) }

// setGroup adopts a manifest that was read from the store, or that was written by
// this process. Manifests that are not newer than the current one are ignored.
func (r *Replica) setGroup(g cataloger.Group, written bool) {
	if g.Revision <= r.group.Revision {
		return
	}
	before := r.group
	r.group = g
	r.highestEpoch = max(r.highestEpoch, g.Epoch)
	switch {
	case g.Owner != r.options.Disk:
		r.endSession()
	case r.session == nil || before.Owner != r.options.Disk:
		r.beginSession(before.Revision != 0 || written)
	default:
		r.session.adoptManifest(g)
		r.recordServing()
	}
}

// adoptManifest continues the session under a new manifest with the same owner.
func (s *session) adoptManifest(g cataloger.Group) {
	s.term.Epoch = g.Epoch
	s.handingOver, s.priorWritesSettled = false, true
	clear(s.pendingHolders)
	if g.Holds(s.learner) {
		s.learner = ""
	}
}

func (r *Replica) beginSession(priorWritesSettled bool) {
	r.endSession()
	if r.servedEpoch == r.group.Epoch {
		delete(r.acknowledged, "")
	}
	term := Term{Epoch: r.group.Epoch, Incarnation: r.options.Incarnation}
	s := &session{
		term: term, priorWritesSettled: priorWritesSettled, followers: make(map[string]*follower),
		pendingHolders: make(map[string]*pendingHolder), waiters: make(map[uint64]chan error), committed: r.options.Log.Base(),
	}
	if r.appendLocal([]Entry{{Term: term}}) != nil {
		return
	}
	s.firstIndex = r.options.Log.Last()
	r.session = s
	r.options.Machine.Reset()
	r.options.Logger.Info("group session started", zap.Int("group", r.options.Group), zap.Uint64("epoch", term.Epoch), zap.Uint64("entries", s.firstIndex))
}

func (r *Replica) endSession() {
	s := r.session
	if s == nil {
		return
	}
	r.session = nil
	for _, done := range s.waiters {
		done <- &UncertainError{Group: r.options.Group}
	}
	for _, p := range s.deferred {
		p.done <- &NotOwnerError{Group: r.options.Group}
	}
	r.options.Machine.StopServing()
	r.options.Logger.Info("group given up", zap.Int("group", r.options.Group), zap.Uint64("epoch", s.term.Epoch))
}

var errDiskFailed = errors.New("an earlier append to the log has failed")

// appendLocal appends entries to the local log. After a failed append the disk is
// not used again, but for one that was refused with a *TooLongError.
func (r *Replica) appendLocal(entries []Entry) error {
	if r.diskFailed {
		return errDiskFailed
	}
	err := r.options.Log.Append(entries)
	var long *TooLongError
	if err != nil {
		r.diskFailed = !errors.As(err, &long)
		r.options.Logger.Error("cannot append to group log", zap.Int("group", r.options.Group), zap.Error(err))
	}
	return err
}

// Propose appends list as entries that follow each other, and returns nil once they are
// committed and applied. Each is of MaxDataBytes at most. After a *NotOwnerError or a
// *TooLongError none was appended; after any other error they, or the first of them, may
// be committed.
func (r *Replica) Propose(ctx context.Context, list ...[]byte) error {
	for _, data := range list {
		if len(data) > MaxDataBytes {
			return &TooLongError{Bytes: len(data), MaxBytes: MaxDataBytes}
		}
	}
	done := make(chan error, 1)
	if !r.post(func() { r.propose(list, done) }) {
		return &NotOwnerError{Group: r.options.Group}
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return &UncertainError{Group: r.options.Group}
	case <-r.done:
		return &UncertainError{Group: r.options.Group}
	}
}

func (r *Replica) propose(list [][]byte, done chan error) {
	s := r.session
	if s == nil || s.handingOver || !r.serving() {
		done <- &NotOwnerError{Group: r.options.Group}
		return
	}
	if s.deferring {
		s.deferred = append(s.deferred, deferredProposal{list, done})
		return
	}
	entries := make([]Entry, 0, len(list))
	for _, data := range list {
		entries = append(entries, Entry{Term: s.term, Data: data})
	}
	if r.appendLocal(entries) != nil {
		// A failed append may have reached the disk in part.
		done <- &UncertainError{Group: r.options.Group}
		r.endSession()
		return
	}
	s.waiters[r.options.Log.Last()] = done
	r.replicate()
}

// Serving reports whether this host owns the group and has applied every entry
// that was ever visible to readers.
func (r *Replica) Serving(ctx context.Context) bool { return r.WhileServing(ctx, func() {}) }

// WhileServing calls read if Serving, and reports whether it did. The group's state and
// session do not change during read, which must not block. If ctx ends first, read may
// still be called after WhileServing has returned false.
func (r *Replica) WhileServing(ctx context.Context, read func()) bool {
	answer := make(chan bool, 1)
	if !r.post(func() {
		ok := r.serving()
		if ok {
			read()
		}
		answer <- ok
	}) {
		return false
	}
	select {
	case ok := <-answer:
		return ok
	case <-ctx.Done():
	case <-r.done:
	}
	return false
}

func (r *Replica) serving() bool {
	s := r.session
	if s == nil || !s.serving {
		return false
	}
	now := r.options.Clock.Now()
	for _, d := range r.group.Holders {
		if d == r.options.Disk {
			continue
		}
		if f, ok := s.followers[d]; !ok || f.lastAcked == 0 || now-f.lastAcked > ServingLease {
			return false
		}
	}
	return true
}
