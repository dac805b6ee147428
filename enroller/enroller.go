// Package enroller keeps a host's entry in the store, under a lease that ends
// when the host does. The entry shows other hosts only that the host was up
// recently; nothing is decided by its absence alone.
//
// A write whose answer is lost may be carried out seconds later, also when the process
// that sent it is gone. Each write therefore states the revision of the entry that it
// replaces, so that a late one cannot replace a later one. What it can still replace is
// an entry that was removed meanwhile. An Enroller therefore compares its entry with each
// Snapshot (Observe), and writes it again when it is missing or is not the one that this
// process wrote last, whatever the reason.
//
// Of two processes of one host that run at the same time, only one writes on: a process
// leaves the entry alone while it names a later process at another address.
package enroller

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Options are the settings of an Enroller.
type Options struct {
	Ledger storer.Ledger
	// Key is the key of the entry.
	Key string
	// TTL is the minimum time for which the entry outlives its last renewal.
	TTL timer.Millis
	// Hosts returns how many hosts are known. The lease grows with their number, so
	// that the store gets about the same rate of renewals from a fleet of any size.
	Hosts func() int
	// StoreUnavailable reports whether the store is known to be unavailable, from the
	// confirmations of this host and of others. Meanwhile no request is sent to it.
	StoreUnavailable func() bool
	Logger           *zap.Logger
}

const (
	callTimeout timer.Millis = 900
	minRetry    timer.Millis = 100
	maxRetry    timer.Millis = 600
	// unavailablePollInterval is the time between two calls of StoreUnavailable while
	// the store is unavailable.
	unavailablePollInterval timer.Millis = 100
	// ttlPerHost is what each host of the fleet adds to the length of a lease, maxTTL
	// the longest lease.
	ttlPerHost timer.Millis = 250
	maxTTL                  = 60 * timer.Second
	// renewalsPerTTL is how often a lease is renewed within its length.
	renewalsPerTTL = 2
	// regrantFactor is the factor by which a lease must be too long or too short to
	// be replaced by another one, which costs two writes.
	regrantFactor = 4
)

// Enroller writes and renews one entry until Close.
type Enroller struct {
	options Options
	cancel  context.CancelFunc
	done    chan struct{}
	// changed is signalled by Set, sighted by Observe.
	changed, sighted chan struct{}

	mu     sync.Mutex
	member cataloger.Member

	// observed is what the newest Snapshot has of the entry.
	observed observation

	// lease, ttl and written are used only by the goroutine of run. written is the zero
	// Member if the entry must be written.
	lease   storer.Lease
	ttl     timer.Millis
	written cataloger.Member
	record  record
}

// New returns an Enroller that keeps m in the store.
func New(o Options, m cataloger.Member) *Enroller {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Enroller{options: o, member: m, cancel: cancel, done: make(chan struct{}), changed: make(chan struct{}, 1), sighted: make(chan struct{}, 1)}
	go e.run(ctx)
	return e
}

// Set replaces the entry.
func (e *Enroller) Set(m cataloger.Member) {
	e.mu.Lock()
	e.member = m
	e.mu.Unlock()
	signal(e.changed)
}

// signal wakes the goroutine that receives from c.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Observe compares the entry in a Snapshot with the one that this process wrote. It does
// not block.
func (e *Enroller) Observe(s cataloger.Snapshot) {
	e.mu.Lock()
	e.observed = observe(s, e.member.Name)
	e.mu.Unlock()
	signal(e.sighted)
}

// Close stops the Enroller and waits until it has revoked the lease, and with it
// removed the entry.
func (e *Enroller) Close() {
	e.cancel()
	<-e.done
}

func (e *Enroller) run(ctx context.Context) {
	defer close(e.done)
	retry := minRetry
	for ctx.Err() == nil {
		if e.options.StoreUnavailable() {
			timer.Sleep(ctx, unavailablePollInterval)
			continue
		}
		err := e.step(ctx)
		switch {
		case err == nil:
			retry = minRetry
			e.rest(ctx, e.ttl/renewalsPerTTL)
		case isSoonResolved(err):
			retry = minRetry
			e.pause(ctx, minRetry)
		default:
			e.options.Logger.Warn("renew this host's entry", zap.Error(err))
			retry = min(2*retry, maxRetry)
			e.pause(ctx, retry/2+rand.N(retry))
		}
	}
	if e.lease == 0 {
		return
	}
	end, cancel := context.WithTimeout(context.Background(), (callTimeout / 3).Duration())
	defer cancel()
	if err := e.options.Ledger.Revoke(end, e.lease); err != nil {
		e.options.Logger.Warn("revoke lease", zap.Error(err))
	}
}

// isSoonResolved reports whether the store has answered with what the next step needs: that
// a new lease is necessary, or which entry is to be replaced.
func isSoonResolved(err error) bool {
	var ended *storer.LeaseEndedError
	var conflict *storer.ConflictError
	return errors.As(err, &ended) || (errors.As(err, &conflict) && conflict.Current != nil)
}

// pause waits, but not after Set.
func (e *Enroller) pause(ctx context.Context, wait timer.Millis) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	select {
	case <-ctx.Done():
	case <-e.changed:
	}
}

// rest waits until the lease is to be renewed or the entry must be written.
func (e *Enroller) rest(ctx context.Context, wait timer.Millis) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.changed:
			return
		case <-e.sighted:
			if e.mustWrite(e.compare()) {
				return
			}
		}
	}
}

// step requests a lease if one is needed, and then writes the entry or renews the
// lease.
func (e *Enroller) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	if ttl := e.wantedTTL(); e.lease == 0 || ttl > regrantFactor*e.ttl || regrantFactor*ttl < e.ttl {
		l, err := e.options.Ledger.Grant(ctx, ttl)
		if err != nil {
			return err
		}
		// The previous lease, if there is one, expires by itself; the entry no
		// longer depends on it once it has been written under the new one.
		e.lease, e.ttl, e.written = l, ttl, cataloger.Member{}
	}
	m := e.compare()
	var err error
	if e.mustWrite(m) {
		err = e.write(ctx, m)
	} else {
		err = e.options.Ledger.Renew(ctx, e.lease)
	}
	var ended *storer.LeaseEndedError
	if errors.As(err, &ended) {
		e.options.Logger.Info("lease ended; writing the entry under a new one", zap.Uint64("lease", uint64(e.lease)))
		if e.written != (cataloger.Member{}) {
			// The entry was removed with its lease.
			e.record.entry = entry{}
		}
		e.lease = 0
	}
	return err
}

// mustWrite reports whether the entry m has to be written.
func (e *Enroller) mustWrite(m cataloger.Member) bool {
	return e.written != m && !e.record.isSuperseded(m)
}

// compare returns the entry that should be in the store. If the one that is there, by what
// was observed, is not the one that this process wrote last, it has to be written again.
func (e *Enroller) compare() cataloger.Member {
	e.mu.Lock()
	m, o := e.member, e.observed
	e.mu.Unlock()
	if !e.record.adopt(o, !e.mustWrite(m)) {
		return m
	}
	found := e.record.entry
	fields := []zap.Field{
		zap.Uint64("revision", uint64(found.revision)), zap.Uint64("store-revision", uint64(o.at)),
		zap.String("incarnation", found.incarnation), zap.String("address", found.address),
	}
	if e.record.isSuperseded(m) {
		e.options.Logger.Error("the entry names a later process of this host at another address; it is left alone", fields...)
	} else if e.written != (cataloger.Member{}) {
		e.options.Logger.Warn("the entry in the store is not the one that this process wrote; writing it again", fields...)
	}
	e.written = cataloger.Member{}
	return m
}

// wantedTTL returns how long the lease should be, given the size of the fleet.
func (e *Enroller) wantedTTL() timer.Millis {
	return min(max(e.options.TTL, timer.Millis(e.options.Hosts())*ttlPerHost), maxTTL)
}

// write replaces the entry by m, if the entry in the store is still the known one. After a
// conflict, the one that is there instead is known.
func (e *Enroller) write(ctx context.Context, m cataloger.Member) error {
	value, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	wanted := storer.Item{Key: e.options.Key, Value: value, Lease: e.lease}
	revision, err := e.options.Ledger.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: wanted.Key, Revision: e.record.entry.revision}},
		Set:        []storer.Item{wanted},
	})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) && conflict.Current != nil {
		found, ok := findItem(conflict.Current, wanted.Key)
		e.record.entry = entryOf(found)
		e.options.Logger.Info("another entry of this host is in the store", zap.Uint64("revision", uint64(found.Revision)),
			zap.String("incarnation", e.record.entry.incarnation))
		if ok && found.Lease == wanted.Lease && bytes.Equal(found.Value, wanted.Value) {
			// An earlier write of the same entry took effect though it was not answered.
			revision, err = found.Revision, nil
		}
	}
	if err != nil {
		return err
	}
	e.options.Logger.Info("entry written", zap.String("incarnation", m.Incarnation), zap.Uint64("revision", uint64(revision)),
		zap.Uint64("lease", uint64(e.lease)), zap.Bool("leaving", m.Leaving))
	e.written = m
	e.record.entry = entry{revision: revision, incarnation: m.Incarnation, address: m.PeerAddress}
	e.record.enrolled = true
	return nil
}
