// Package mirrorer keeps the log of a group of batch jobs on several disks.
//
// A manifest in the store names the disks that hold the log and the one of them
// whose host, the owner, appends. An entry is committed once all holders have it
// synced; only then is it applied and shown. So every holder has all that was
// ever shown, and any of them may become the owner: by a transaction on the
// manifest, which one host wins. There is no vote among hosts.
//
// Invariants:
//   - Entries have the Term of the session in which they were appended; sessions
//     differ by epoch or by the process that owns. A session begins with an empty
//     entry, so that a holder which restarts knows the last epoch by its log and
//     refuses an owner of an earlier one.
//   - A holder cuts off what follows the last entry that it shares with the
//     owner's log. That was never committed, since the owner holds all that was.
//   - A disk counts for commits from before it is written into the manifest, and
//     until a manifest without it is known. A transaction without an answer may
//     yet be carried out while the manifest stays the same, so its disks count
//     until the manifest has changed; and a process that finds itself the owner
//     when it starts first changes the manifest, since the process before it may
//     have left such a transaction.
//   - An owner answers reads only while all holders lately answered it. A new
//     owner is a holder of the old one's manifest, and refuses the old one.
//   - A disk that was replaced by an empty one has a new name and is no holder.
//   - Entries are dropped only up to a checkpoint that all holders have. A disk
//     that lacks entries which were dropped is no holder and begins anew.
package mirrorer

import (
	"context"
	"fmt"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/defaulter"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Machine is what a group's log is applied to, on the group's owner. Its methods
// are called by one goroutine and must return soon.
type Machine interface {
	// Reset forgets all that was applied.
	Reset()
	// Apply applies the next committed entry.
	Apply(data []byte)
	// Checkpoint returns entries that, applied to a Machine in any state, make it
	// what this one is. They are applied here too, and may be cut short by a
	// crash; then they must change nothing.
	Checkpoint() [][]byte
	// Opened says that all that was committed by earlier sessions has been
	// applied, and Ended that this host no longer owns the group.
	Opened()
	Ended()
}

// NotOwnerError says that a proposal was not appended, and never will be.
type NotOwnerError struct{ Group int }

func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("this host does not serve group %d now", e.Group)
}

// UncertainError says that a proposal was appended and may be committed yet.
type UncertainError struct{ Group int }

func (e *UncertainError) Error() string {
	return fmt.Sprintf("it is not known whether group %d took the entry", e.Group)
}

// Options are the settings of a Replica. Zero fields take the defaults.
type Options struct {
	Group int
	// Disk and Incarnation are this host's.
	Disk, Incarnation string
	Log               *Log
	Machine           Machine
	// Ledger and Key are where the manifest lies.
	Ledger storer.Ledger
	Key    string
	Caller messenger.Caller
	// View returns what Plan needs but for what the Replica knows itself, and
	// Address the address of a disk's host.
	View    func(g cataloger.Group) View
	Address func(disk string) (string, bool)
	Clock   timer.Clock
	Logger  *zap.Logger
	// CompactAfter is how many bytes the log grows, at least, before it is
	// compacted; default 4 MB. A log that is longer doubles first.
	CompactAfter int64
	// MaxAppend is how many bytes one message carries, and one entry at least;
	// default 1 MB.
	MaxAppend int64
}

// Constants of the protocol.
const (
	// heartbeat is how often an owner asks idle holders.
	heartbeat timer.Millis = 250
	// ServingLease is how lately all holders must have answered an owner.
	ServingLease     timer.Millis = 900
	callTimeout      timer.Millis = 700
	retryPause       timer.Millis = 100
	storeTimeout     timer.Millis = 1200
	tick             timer.Millis = 100
	defaultMaxAppend              = 1 << 20
	inboxSize                     = 256
)

// Replica is one host's part in one group. Its methods are safe for concurrent
// use; one goroutine owns its state.
type Replica struct {
	options Options
	inbox   chan func()
	cancel  context.CancelFunc
	ctx     context.Context
	done    chan struct{}

	// The fields below belong to the goroutine run.
	group cataloger.Group
	// highest is the highest epoch that is known.
	highest uint64
	session *session
	// writing says that a transaction on the manifest is under way, planned when
	// the group was last looked at.
	writing bool
	planned timer.Millis
	rewrites
	failed bool
	// compacted is how long the log was after it was last trimmed, in bytes.
	compacted int64
}

// session is this host's time as owner.
type session struct {
	term      Term
	followers map[string]*fellow
	// learning is a disk that is to become a holder.
	learning string
	// pledged are disks that a transaction which was sent makes holders.
	pledged map[string]bool
	// settled says that no transaction of an earlier process can change the
	// manifest any more.
	settled bool
	// began is the index of the entry with which the session begins.
	began, committed uint64
	waiting          map[uint64]chan error
	opened, closing  bool
	// checkpoint is one that is not committed yet. While pausing, proposals wait
	// in paused for a checkpoint to be appended.
	checkpoint *checkpoint
	pausing    bool
	paused     []proposal
}

// proposal is an entry that is to be appended.
type proposal struct {
	data []byte
	done chan error
}

// fellow is another disk as the owner knows it.
type fellow struct {
	next, matched uint64
	busy          bool
	// known says that next comes from the disk's own answer.
	known bool
	// sent is when the last message was sent, answered when the last one that
	// was answered had been sent.
	sent, answered timer.Millis
	// pausedUntil is when a disk that gave no answer is asked again.
	pausedUntil timer.Millis
	// failures are those in a row.
	failures int
}

// New starts a Replica.
func New(o Options) *Replica {
	defaulter.Set(&o.CompactAfter, defaultCompactAfter)
	defaulter.Set(&o.MaxAppend, defaultMaxAppend)
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replica{options: o, inbox: make(chan func(), inboxSize), ctx: ctx, cancel: cancel, done: make(chan struct{})}
	r.highest = o.Log.TermAt(o.Log.Last()).Epoch
	go r.run()
	return r
}

// Close ends the Replica and waits for it.
func (r *Replica) Close() {
	r.cancel()
	<-r.done
}

func (r *Replica) run() {
	defer close(r.done)
	for r.ctx.Err() == nil {
		wait, cancel := context.WithTimeout(r.ctx, tick.Duration())
		select {
		case f := <-r.inbox:
			f()
			r.drain()
		case <-wait.Done():
		}
		cancel()
		r.pump()
		r.compact()
		r.plan()
	}
	r.endSession()
	if err := r.options.Log.Close(); err != nil {
		r.options.Logger.Warn("log not closed", zap.Error(err))
	}
}

// drain runs what is queued, so that entries which come together share a sync.
func (r *Replica) drain() {
	for range inboxSize {
		select {
		case f := <-r.inbox:
			f()
		default:
			return
		}
	}
}

// post runs f on the goroutine of the Replica.
func (r *Replica) post(f func()) bool {
	select {
	case r.inbox <- f:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// SetGroup tells the Replica of the manifest as it was read.
func (r *Replica) SetGroup(g cataloger.Group) { r.post(func() { r.setGroup(g, false) }) }

// setGroup takes a manifest that was read, or written by this process.
func (r *Replica) setGroup(g cataloger.Group, written bool) {
	if g.Revision <= r.group.Revision {
		return
	}
	before := r.group
	r.group = g
	r.highest = max(r.highest, g.Epoch)
	switch {
	case g.Owner != r.options.Disk:
		r.endSession()
	case r.session == nil || before.Owner != r.options.Disk:
		r.beginSession(before.Revision != 0 || written)
	default:
		r.session.goOn(g)
	}
}

// goOn continues the session under another manifest of the same owner.
func (s *session) goOn(g cataloger.Group) {
	s.term.Epoch = g.Epoch
	s.closing, s.settled = false, true
	clear(s.pledged)
	if g.Holds(s.learning) {
		s.learning = ""
	}
}

func (r *Replica) beginSession(settled bool) {
	r.endSession()
	term := Term{Epoch: r.group.Epoch, Incarnation: r.options.Incarnation}
	s := &session{
		term: term, settled: settled, followers: make(map[string]*fellow),
		pledged: make(map[string]bool), waiting: make(map[uint64]chan error), committed: r.options.Log.Base(),
	}
	if !r.write([]Entry{{Term: term}}) {
		return
	}
	s.began = r.options.Log.Last()
	r.session = s
	r.options.Machine.Reset()
	r.options.Logger.Info("group owned", zap.Int("group", r.options.Group), zap.Uint64("epoch", term.Epoch), zap.Uint64("entries", s.began))
}

func (r *Replica) endSession() {
	s := r.session
	if s == nil {
		return
	}
	r.session = nil
	for _, done := range s.waiting {
		done <- &UncertainError{Group: r.options.Group}
	}
	for _, p := range s.paused {
		p.done <- &NotOwnerError{Group: r.options.Group}
	}
	r.options.Machine.Ended()
	r.options.Logger.Info("group given up", zap.Int("group", r.options.Group), zap.Uint64("epoch", s.term.Epoch))
}

// write puts entries on the disk. A disk that fails is used no more.
func (r *Replica) write(entries []Entry) bool {
	if r.failed {
		return false
	}
	if err := r.options.Log.Append(entries); err != nil {
		r.failed = true
		r.options.Logger.Error("log cannot be written", zap.Int("group", r.options.Group), zap.Error(err))
		return false
	}
	return true
}

// Propose appends data and returns nil once it is committed and applied. After a
// *NotOwnerError it was not appended; after any other error it may be committed.
func (r *Replica) Propose(ctx context.Context, data []byte) error {
	done := make(chan error, 1)
	if !r.post(func() { r.propose(data, done) }) {
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

func (r *Replica) propose(data []byte, done chan error) {
	s := r.session
	if s == nil || s.closing || !r.serving() {
		done <- &NotOwnerError{Group: r.options.Group}
		return
	}
	if s.pausing {
		s.paused = append(s.paused, proposal{data, done})
		return
	}
	if !r.write([]Entry{{Term: s.term, Data: data}}) {
		// A write that failed may have reached the disk in part.
		done <- &UncertainError{Group: r.options.Group}
		r.endSession()
		return
	}
	s.waiting[r.options.Log.Last()] = done
	r.pump()
}

// Serving says whether this host owns the group and all that was ever shown of
// it has been applied here.
func (r *Replica) Serving(ctx context.Context) bool {
	answer := make(chan bool, 1)
	if !r.post(func() { answer <- r.serving() }) {
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
	if s == nil || !s.opened {
		return false
	}
	now := r.options.Clock.Now()
	for _, d := range r.group.Holders {
		if d == r.options.Disk {
			continue
		}
		if f, ok := s.followers[d]; !ok || f.answered == 0 || now-f.answered > ServingLease {
			return false
		}
	}
	return true
}
