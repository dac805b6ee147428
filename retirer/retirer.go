// Package retirer reports to the operators whether a host that they want to remove has been
// emptied, and is not needed to hold what others would lose.
//
// The operators remove a host, with its disk, as soon as its status in the store says that
// it is empty. A write of the status whose answer is lost may be carried out seconds later.
// Each write is therefore conditional: on the status that it replaces, so that a late one
// does not replace a later one, and, if it says that the host is empty, on the manifests of
// all groups, none of which named the host's disk. A status that says so although its host
// is not to be removed any more is deleted, so that a later request does not find it.
package retirer

import (
	"context"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Options are the settings of a Retirer.
type Options struct {
	Self Self
	// Groups is the number of groups.
	Groups int
	Ledger storer.Ledger
	// StatusKey is the key of the host's status, GroupKey that of a group's manifest.
	StatusKey string
	GroupKey  func(n int) string
	// EncodeStatus returns the value of StatusKey.
	EncodeStatus func(empty bool) []byte
	// Snapshot returns the newest Snapshot.
	Snapshot func() cataloger.Snapshot
	Logger   *zap.Logger
}

const (
	// checkInterval is how often the status is compared with the Snapshot.
	checkInterval timer.Millis = 200
	callTimeout                = timer.Second
	// retryPause is the pause after a write that failed, in which the Snapshot can take in
	// what the write conflicted with.
	retryPause timer.Millis = 600
)

// Retirer keeps the status of one host up to date until Close.
type Retirer struct {
	options Options
	cancel  context.CancelFunc
	done    chan struct{}
}

// New starts a Retirer.
func New(o Options) *Retirer {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Retirer{options: o, cancel: cancel, done: make(chan struct{})}
	go r.run(ctx)
	return r
}

// Close stops the Retirer and waits until it has stopped.
func (r *Retirer) Close() {
	r.cancel()
	<-r.done
}

func (r *Retirer) run(ctx context.Context) {
	defer close(r.done)
	// written is the revision of the last write, which the Snapshot may not have yet.
	var written uint64
	pause := checkInterval
	for timer.Sleep(ctx, pause) {
		pause = checkInterval
		s := r.options.Snapshot()
		if s.ConfirmedAt == 0 || s.Revision < written {
			continue
		}
		step := Plan(s, r.options.Self)
		if step == Keep {
			continue
		}
		revision, err := r.commit(ctx, s, step)
		if err != nil {
			r.options.Logger.Warn("cannot write retirement status", zap.Stringer("step", step), zap.Error(err))
			pause = retryPause
			continue
		}
		r.options.Logger.Info("retirement status written", zap.Stringer("step", step), zap.Uint64("revision", uint64(revision)))
		written = uint64(revision)
	}
}

// commit carries out a step that was planned from s.
func (r *Retirer) commit(ctx context.Context, s cataloger.Snapshot, step Step) (storer.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	return r.options.Ledger.Commit(ctx, r.transaction(s, step))
}

func (r *Retirer) transaction(s cataloger.Snapshot, step Step) storer.Transaction {
	key := r.options.StatusKey
	t := storer.Transaction{Conditions: []storer.Condition{{Key: key, Revision: storer.Revision(s.RetireStatus[r.options.Self.Host].Revision)}}}
	if step == Remove {
		t.Delete = []string{key}
		return t
	}
	t.Set = []storer.Item{{Key: key, Value: r.options.EncodeStatus(step == ReportEmpty)}}
	if step == ReportEmpty {
		for n := range r.options.Groups {
			t.Conditions = append(t.Conditions, storer.Condition{Key: r.options.GroupKey(n), Revision: storer.Revision(s.Groups[n].Revision)})
		}
	}
	return t
}
