// Package quarantiner keeps in the store which calls crash backend servers, so
// that all hosts refuse them, those that start later too, and lets one host at a
// time try such a call again.
//
// A record lies under a lease that nobody renews, so it ends by itself. Each
// trial is a transaction on the record's revision: of hosts that want to try a
// call at the same time, one may. Each trial makes the pause before the next one
// several times as long; a trial that is answered removes the record. Without the
// store no call is tried that has a record or is about to get one.
//
// Times count from when this host learned of a record, so hosts need no common
// clock, and one that starts late waits longer, never shorter.
package quarantiner

import (
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
	// firstTerm is how long a call is refused before its first trial, growth how
	// many times as long it is after each further one, up to mostTerm.
	firstTerm = 15 * timer.Second
	growth    = 4
	mostTerm  = 600 * timer.Second
	// leaseTime is how long a record lasts at most; records written within
	// leaseReuse share a lease.
	leaseTime  = 600 * timer.Second
	leaseReuse = 300 * timer.Second
	// callTimeout bounds one call to the store, claimTimeout a claim, for which a
	// caller waits.
	callTimeout               = timer.Second
	claimTimeout timer.Millis = 400
	// busyWait is when a caller may return whose call another host tries now.
	busyWait = 2 * timer.Second
	// catchUp is how long a host may take to hear of what it wrote itself.
	catchUp = 3 * timer.Second
	// leastRetry and mostRetry bound the pause after a write that failed.
	leastRetry timer.Millis = 500
	mostRetry               = 4 * timer.Second
	// maxPending bounds the writes that wait for the store.
	maxPending = 64
)

// Term is how long a call is refused after so many trials.
func Term(trials int) timer.Millis {
	t := firstTerm
	for range trials {
		t = min(t*growth, mostTerm)
	}
	return t
}

// Options are the settings of a Quarantiner.
type Options struct {
	Ledger storer.Ledger
	// Key is where the record of a call lies.
	Key    func(fingerprint uint64) string
	Clock  timer.Clock
	Logger *zap.Logger
}

// record is what this host knows of a call's record.
type record struct {
	cataloger.Quarantine
	since timer.Millis
	// written is when this host wrote it, if it did.
	written timer.Millis
}

// Quarantiner is safe for concurrent use.
type Quarantiner struct {
	options Options
	cancel  context.CancelFunc
	done    chan struct{}
	wake    chan struct{}

	mu      sync.Mutex
	records map[uint64]record
	// pending are the records to write (true) or to remove (false).
	pending map[uint64]bool
	// asked is when the store was last asked to write a record or to grant a trial.
	asked map[uint64]timer.Millis

	// leasing guards the lease under which records are written.
	leasing sync.Mutex
	lease   storer.Lease
	granted timer.Millis
}

// New returns a Quarantiner that writes until Close.
func New(o Options) *Quarantiner {
	ctx, cancel := context.WithCancel(context.Background())
	q := &Quarantiner{
		options: o, cancel: cancel, done: make(chan struct{}), wake: make(chan struct{}, 1),
		records: make(map[uint64]record), pending: make(map[uint64]bool), asked: make(map[uint64]timer.Millis),
	}
	go q.run(ctx)
	return q
}

// Close ends the Quarantiner and waits for it.
func (q *Quarantiner) Close() {
	q.cancel()
	<-q.done
}

// Follow takes over what the store says, and returns the calls whose records are
// gone.
func (q *Quarantiner) Follow(s cataloger.Snapshot) (released []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.options.Clock.Now()
	maps.DeleteFunc(q.asked, func(_ uint64, at timer.Millis) bool { return now-at >= busyWait })
	for f, r := range q.records {
		if _, ok := s.Quarantined[f]; !ok && now-r.written >= catchUp {
			delete(q.records, f)
			released = append(released, f)
			q.options.Logger.Info("call no longer kept apart", zap.Uint64("fingerprint", f))
		}
	}
	for f, n := range s.Quarantined {
		if q.records[f].Revision < n.Revision {
			q.records[f] = record{Quarantine: n, since: now}
			q.options.Logger.Info("call kept apart by the store", zap.Uint64("fingerprint", f), zap.Int("trials", n.Trials))
		}
	}
	return released
}

// Wait says whether the store has a record of a call, and for how long the call is
// refused; once its term is over it may be tried.
func (q *Quarantiner) Wait(fingerprint uint64) (wait timer.Millis, known bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r, ok := q.records[fingerprint]
	if !ok {
		return 0, false
	}
	return max(0, r.since+Term(r.Trials)-q.options.Clock.Now()), true
}

// Put writes a record of a call that has none, soon.
func (q *Quarantiner) Put(fingerprint uint64) {
	if _, known := q.Wait(fingerprint); !known && q.mayAsk(fingerprint) {
		q.enqueue(fingerprint, true)
	}
}

// mayAsk says whether the store was not asked about a call for a while, and notes
// that it is asked now.
func (q *Quarantiner) mayAsk(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.options.Clock.Now()
	if at, ok := q.asked[fingerprint]; ok && now-at < busyWait {
		return false
	}
	q.asked[fingerprint] = now
	return true
}

// Remove removes the record of a call that was answered, soon.
func (q *Quarantiner) Remove(fingerprint uint64) {
	if _, known := q.Wait(fingerprint); known {
		q.enqueue(fingerprint, false)
	}
}

func (q *Quarantiner) enqueue(fingerprint uint64, put bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.pending[fingerprint]; !ok && len(q.pending) >= maxPending {
		q.options.Logger.Warn("too many calls to keep apart; one is left to memory", zap.Uint64("fingerprint", fingerprint))
		return
	}
	q.pending[fingerprint] = put
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Claim asks for the only trial of a call now. If it is not granted, wait is when
// a caller may return.
func (q *Quarantiner) Claim(ctx context.Context, fingerprint uint64) (wait timer.Millis, granted bool) {
	if !q.mayAsk(fingerprint) {
		return busyWait, false
	}
	q.mu.Lock()
	r := q.records[fingerprint]
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout.Duration())
	defer cancel()
	next := cataloger.Quarantine{Trials: r.Trials + 1}
	revision, err := q.write(ctx, fingerprint, next, storer.Revision(r.Revision))
	q.options.Logger.Info("trial of a call that is kept apart", zap.Uint64("fingerprint", fingerprint), zap.Int("trial", next.Trials),
		zap.Bool("granted", err == nil), zap.Error(err))
	if err != nil {
		return busyWait, false
	}
	next.Revision = uint64(revision)
	q.learn(fingerprint, next)
	return 0, true
}

// learn notes a record that this host wrote, before it hears of it.
func (q *Quarantiner) learn(fingerprint uint64, n cataloger.Quarantine) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.options.Clock.Now()
	q.records[fingerprint] = record{Quarantine: n, since: now, written: now}
}

// write sets a record that was last changed at a revision; zero makes it.
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

// currentLease returns the lease for records that are written now.
func (q *Quarantiner) currentLease(ctx context.Context) (storer.Lease, error) {
	q.leasing.Lock()
	defer q.leasing.Unlock()
	now := q.options.Clock.Now()
	if q.lease != 0 && now-q.granted < leaseReuse {
		return q.lease, nil
	}
	l, err := q.options.Ledger.Grant(ctx, leaseTime)
	if err != nil {
		return 0, err
	}
	q.lease, q.granted = l, now
	return l, nil
}

func (q *Quarantiner) dropLease(l storer.Lease) {
	q.leasing.Lock()
	defer q.leasing.Unlock()
	if q.lease == l {
		q.lease = 0
	}
}

// run writes what is pending. What failed is done again after a pause.
func (q *Quarantiner) run(ctx context.Context) {
	defer close(q.done)
	pause := leastRetry
	for ctx.Err() == nil {
		fingerprint, put, ok := q.next()
		switch {
		case !ok:
			q.await(ctx)
		case q.carriedOut(ctx, fingerprint, put):
			pause = leastRetry
		default:
			timer.Sleep(ctx, pause)
			pause = min(2*pause, mostRetry)
		}
	}
}

// await waits until something may be pending.
func (q *Quarantiner) await(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-q.wake:
	}
}

// carriedOut carries out a pending write. One that lost a race is done with: what
// won it will be heard of.
func (q *Quarantiner) carriedOut(ctx context.Context, fingerprint uint64, put bool) bool {
	err := q.carryOut(ctx, fingerprint, put)
	var conflict *storer.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		q.options.Logger.Warn("call that is kept apart not written", zap.Uint64("fingerprint", fingerprint), zap.Bool("put", put), zap.Error(err))
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending[fingerprint] == put {
		delete(q.pending, fingerprint)
	}
	return true
}

func (q *Quarantiner) next() (fingerprint uint64, put, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for f, put := range q.pending {
		return f, put, true
	}
	return 0, false, false
}

func (q *Quarantiner) carryOut(ctx context.Context, fingerprint uint64, put bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	if put {
		revision, err := q.write(ctx, fingerprint, cataloger.Quarantine{}, 0)
		if err == nil {
			q.learn(fingerprint, cataloger.Quarantine{Revision: uint64(revision)})
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
		q.forget(fingerprint)
	}
	return err
}

// forget drops a record that this host removed.
func (q *Quarantiner) forget(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.records, fingerprint)
	delete(q.asked, fingerprint)
}
