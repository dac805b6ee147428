// Package quarantiner records in the store which calls crash backend servers, so that
// all hosts refuse them, including hosts that start later, and permits one host at a
// time to try such a call again.
//
// What crashes servers may be a call that is repeated or a part of the prompts of many
// calls. Both have a fingerprint, and a record stands for all calls with the fingerprint.
//
// A record is stored under a lease that no host renews, so it expires by itself. Each
// trial is a transaction on the revision of the record: when several hosts want to try
// a call at the same time, only one succeeds. Each trial multiplies the wait before the
// next one; a trial that is answered removes the record. While the store is unavailable,
// no call is tried that has a record or for which a record is to be written.
//
// Waits are measured from the time at which this host received a record, so hosts need
// no common clock. A host that receives a record late waits longer, never shorter.
package quarantiner

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// firstBackoff is how long a call is refused before its first trial. Each trial
	// multiplies the wait by backoffFactor, up to maxBackoff.
	firstBackoff  = 15 * timer.Second
	backoffFactor = 4
	maxBackoff    = 600 * timer.Second
	// leaseTime is the longest lifetime of a record. Records written within
	// leaseReuseTime share a lease.
	leaseTime      = 600 * timer.Second
	leaseReuseTime = 300 * timer.Second
	// callTimeout bounds one call to the store. claimTimeout bounds the claim of a
	// trial, for which a caller waits.
	callTimeout               = timer.Second
	claimTimeout timer.Millis = 400
	// retryWait is the wait for a caller whose call is being tried by another host. It
	// is also the shortest time between two requests to the store about one call.
	retryWait = 2 * timer.Second
	// maxLag bounds the time until a host's own write is contained in its snapshot.
	maxLag = 3 * timer.Second
	// minRetry and maxRetry bound the pause after a failed write.
	minRetry timer.Millis = 500
	maxRetry              = 4 * timer.Second
	// maxPending bounds the number of writes that wait for the store.
	maxPending = 64
	// maxRecords bounds the records in the store, maxWorkspaceRecords those of one
	// workspace.
	maxRecords          = 1024
	maxWorkspaceRecords = 48
)

// Backoff returns how long a call is refused after the given number of trials.
func Backoff(trials int) timer.Millis {
	t := firstBackoff
	for range trials {
		t = min(t*backoffFactor, maxBackoff)
	}
	return t
}

// Options are the settings of a Quarantiner.
type Options struct {
	Ledger storer.Ledger
	// Key returns the key of the record of a call in the store.
	Key    func(fingerprint uint64) string
	Clock  timer.Clock
	Logger *zap.Logger
}

// record is this host's copy of the record of a call.
type record struct {
	cataloger.Quarantine
	// receivedAt is when this host received or wrote this revision.
	receivedAt timer.Millis
	// writtenAt is when this host wrote this revision; zero if another host did.
	writtenAt timer.Millis
}

// change is a record to write, or to remove if put is false. workspace identifies the
// workspace of the record to write.
type change struct {
	put       bool
	workspace uint32
}

// Quarantiner keeps the records of quarantined calls in step with the store. It is safe
// for concurrent use.
type Quarantiner struct {
	options Options
	cancel  context.CancelFunc
	done    chan struct{}
	wake    chan struct{}

	mu      sync.Mutex
	records map[uint64]record
	// pending holds the records to write or to remove, by fingerprint.
	pending map[uint64]change
	// lastRequest is when a request to write a record or to grant a trial was last
	// sent to the store, by fingerprint.
	lastRequest map[uint64]timer.Millis

	// leaseMu guards the lease under which records are written.
	leaseMu  sync.Mutex
	lease    storer.Lease
	leasedAt timer.Millis
}

// New returns a Quarantiner that writes pending records in the background until Close.
func New(o Options) *Quarantiner {
	ctx, cancel := context.WithCancel(context.Background())
	q := &Quarantiner{
		options: o, cancel: cancel, done: make(chan struct{}), wake: make(chan struct{}, 1),
		records: make(map[uint64]record), pending: make(map[uint64]change), lastRequest: make(map[uint64]timer.Millis),
	}
	go q.run(ctx)
	return q
}

// Close stops the background writes and waits until they have stopped.
func (q *Quarantiner) Close() {
	q.cancel()
	<-q.done
}

// Follow applies the quarantined calls of a snapshot of the store, and returns the calls
// whose records no longer exist.
func (q *Quarantiner) Follow(s cataloger.Snapshot) (released []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.options.Clock.Now()
	maps.DeleteFunc(q.lastRequest, func(_ uint64, at timer.Millis) bool { return now-at >= retryWait })
	for f, r := range q.records {
		if _, ok := s.Quarantined[f]; !ok && now-r.writtenAt >= maxLag {
			delete(q.records, f)
			released = append(released, f)
			q.options.Logger.Info("call released from quarantine", zap.Uint64("fingerprint", f))
		}
	}
	for f, n := range s.Quarantined {
		if q.records[f].Revision < n.Revision {
			q.records[f] = record{Quarantine: n, receivedAt: now}
			q.options.Logger.Info("call quarantined by the store", zap.Uint64("fingerprint", f), zap.Int("trials", n.Trials))
		}
	}
	return released
}

// Wait reports whether the store has a record of a call, and how long the call is
// refused. A call with a record and a zero wait may be tried.
func (q *Quarantiner) Wait(fingerprint uint64) (wait timer.Millis, known bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r, ok := q.records[fingerprint]
	if !ok {
		return 0, false
	}
	return r.wait(q.options.Clock.Now()), true
}

// Waits returns those of the given fingerprints of which the store has a record, and how
// long calls with each are refused.
func (q *Quarantiner) Waits(fingerprints []uint64) map[uint64]timer.Millis {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.records) == 0 {
		return nil
	}
	now := q.options.Clock.Now()
	out := make(map[uint64]timer.Millis)
	for _, f := range fingerprints {
		if r, ok := q.records[f]; ok {
			out[f] = r.wait(now)
		}
	}
	return out
}

// Empty reports whether the store has no record.
func (q *Quarantiner) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.records) == 0
}

// wait returns how long calls are refused because of the record.
func (r record) wait(now timer.Millis) timer.Millis {
	return max(0, r.receivedAt+Backoff(r.Trials)-now)
}

// Put schedules the write of a record for a call that has none. workspace identifies the
// workspace of the call.
func (q *Quarantiner) Put(fingerprint uint64, workspace uint32) {
	if _, known := q.Wait(fingerprint); !known && q.mayRequest(fingerprint) {
		q.enqueue(fingerprint, change{put: true, workspace: workspace})
	}
}

// mayRequest reports whether no request about a call was made to the store within
// retryWait. If so, it records that one is made now.
func (q *Quarantiner) mayRequest(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.options.Clock.Now()
	if at, ok := q.lastRequest[fingerprint]; ok && now-at < retryWait {
		return false
	}
	q.lastRequest[fingerprint] = now
	return true
}

// Remove schedules the removal of the records of what was answered, and cancels their
// pending writes.
func (q *Quarantiner) Remove(fingerprints ...uint64) {
	q.cancelPending(fingerprints)
	for f := range q.Waits(fingerprints) {
		q.enqueue(f, change{})
	}
}

// cancelPending discards the pending writes of records.
func (q *Quarantiner) cancelPending(fingerprints []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) == 0 {
		return
	}
	for _, f := range fingerprints {
		if q.pending[f].put {
			delete(q.pending, f)
		}
	}
}

// enqueue schedules a write or a removal. It discards a write when too many are pending,
// or when the store has too many records, in all or of the workspace.
func (q *Quarantiner) enqueue(fingerprint uint64, c change) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.pending[fingerprint]; !ok && (len(q.pending) >= maxPending || c.put && !q.hasRoom(c.workspace)) {
		q.options.Logger.Warn("too many quarantined calls; call is kept in memory only", zap.Uint64("fingerprint", fingerprint),
			zap.Int("pending", len(q.pending)), zap.Int("records", len(q.records)))
		return
	}
	q.pending[fingerprint] = c
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// hasRoom reports whether one more record of a workspace may be written. The caller holds
// q.mu.
func (q *Quarantiner) hasRoom(workspace uint32) bool {
	n := 0
	for _, r := range q.records {
		if r.Workspace == workspace {
			n++
		}
	}
	for _, c := range q.pending {
		if c.put && c.workspace == workspace {
			n++
		}
	}
	return n < maxWorkspaceRecords && len(q.records) < maxRecords
}

// ClaimTrial requests from the store the exclusive right to try a call now. If it is
// not granted, wait is the time after which the caller may retry.
func (q *Quarantiner) ClaimTrial(ctx context.Context, fingerprint uint64, workspace uint32) (wait timer.Millis, granted bool) {
	if !q.mayRequest(fingerprint) {
		return retryWait, false
	}
	q.mu.Lock()
	r := q.records[fingerprint]
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout.Duration())
	defer cancel()
	next := cataloger.Quarantine{Trials: r.Trials + 1, Workspace: cmp.Or(r.Workspace, workspace)}
	revision, err := q.write(ctx, fingerprint, next, storer.Revision(r.Revision))
	q.options.Logger.Info("trial of a quarantined call", zap.Uint64("fingerprint", fingerprint), zap.Int("trial", next.Trials),
		zap.Bool("granted", err == nil), zap.Error(err))
	if err != nil {
		return retryWait, false
	}
	next.Revision = uint64(revision)
	q.recordWritten(fingerprint, next)
	return 0, true
}

// recordWritten keeps a record that this host wrote, before a snapshot contains it.
func (q *Quarantiner) recordWritten(fingerprint uint64, n cataloger.Quarantine) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.options.Clock.Now()
	q.records[fingerprint] = record{Quarantine: n, receivedAt: now, writtenAt: now}
}

// write stores a record if its current revision is at; zero creates the record.
func (q *Quarantiner) write(ctx context.Context, fingerprint uint64, n cataloger.Quarantine, at storer.Revision) (storer.Revision, error) {
	value, err := cbor.Marshal(n)
	if err != nil {
		return 0, eris.Wrap(err, "encode quarantine")
	}
	l, err := q.currentLease(ctx)
	if err != nil {
		return 0, err
	}
	key := q.options.Key(fingerprint)
	revision, err := q.options.Ledger.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: key, Revision: at}},
		Set:        []storer.Item{{Key: key, Value: value, Lease: l}},
	})
	var ended *storer.LeaseEndedError
	if errors.As(err, &ended) {
		q.dropLease(l)
	}
	return revision, err
}

// currentLease returns the lease for new records, and grants one if there is none that
// may be shared.
func (q *Quarantiner) currentLease(ctx context.Context) (storer.Lease, error) {
	q.leaseMu.Lock()
	defer q.leaseMu.Unlock()
	now := q.options.Clock.Now()
	if q.lease != 0 && now-q.leasedAt < leaseReuseTime {
		return q.lease, nil
	}
	l, err := q.options.Ledger.Grant(ctx, leaseTime)
	if err != nil {
		return 0, err
	}
	q.lease, q.leasedAt = l, now
	return l, nil
}

// dropLease discards the lease l after the store reported that it has ended.
func (q *Quarantiner) dropLease(l storer.Lease) {
	q.leaseMu.Lock()
	defer q.leaseMu.Unlock()
	if q.lease == l {
		q.lease = 0
	}
}

// run writes pending records until ctx is done. It retries a failed write after a pause
// that doubles with each failure.
func (q *Quarantiner) run(ctx context.Context) {
	defer close(q.done)
	pause := minRetry
	for ctx.Err() == nil {
		fingerprint, c, ok := q.next()
		switch {
		case !ok:
			q.awaitWork(ctx)
		case q.flush(ctx, fingerprint, c):
			pause = minRetry
		default:
			timer.Sleep(ctx, pause)
			pause = min(2*pause, maxRetry)
		}
	}
}

// awaitWork waits until something may be pending or ctx is done.
func (q *Quarantiner) awaitWork(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-q.wake:
	}
}

// flush performs a pending write and reports whether it is done. A write that conflicts
// with a newer revision is done too: a later snapshot will contain that revision.
func (q *Quarantiner) flush(ctx context.Context, fingerprint uint64, c change) bool {
	err := q.apply(ctx, fingerprint, c)
	var conflict *storer.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		q.options.Logger.Warn("write record of quarantined call", zap.Uint64("fingerprint", fingerprint), zap.Bool("put", c.put), zap.Error(err))
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending[fingerprint] == c {
		delete(q.pending, fingerprint)
	}
	return true
}

// next returns any pending write; ok is false if there is none.
func (q *Quarantiner) next() (fingerprint uint64, c change, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for f, c := range q.pending {
		return f, c, true
	}
	return 0, change{}, false
}

// apply performs one write or removal in the store and updates the local records.
func (q *Quarantiner) apply(ctx context.Context, fingerprint uint64, c change) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	if c.put {
		n := cataloger.Quarantine{Workspace: c.workspace}
		revision, err := q.write(ctx, fingerprint, n, 0)
		if err == nil {
			n.Revision = uint64(revision)
			q.recordWritten(fingerprint, n)
		}
		return err
	}
	q.mu.Lock()
	r := q.records[fingerprint]
	q.mu.Unlock()
	key := q.options.Key(fingerprint)
	_, err := q.options.Ledger.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: key, Revision: storer.Revision(r.Revision)}}, Delete: []string{key},
	})
	if err == nil {
		q.dropRecord(fingerprint)
	}
	return err
}

// dropRecord discards the local state of a record that this host removed from the store.
func (q *Quarantiner) dropRecord(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.records, fingerprint)
	delete(q.lastRequest, fingerprint)
}
