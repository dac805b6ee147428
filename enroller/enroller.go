// Package enroller keeps a host's entry in the store, under a lease that ends
// when the host does. The entry shows other hosts only that the host was up
// recently; nothing is decided by its absence alone.
package enroller

import (
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
	changed chan struct{}

	mu     sync.Mutex
	member cataloger.Member

	// lease, ttl and written are used only by the goroutine of run.
	lease   storer.Lease
	ttl     timer.Millis
	written cataloger.Member
}

// New returns an Enroller that keeps m in the store.
func New(o Options, m cataloger.Member) *Enroller {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Enroller{options: o, member: m, cancel: cancel, done: make(chan struct{}), changed: make(chan struct{}, 1)}
	go e.run(ctx)
	return e
}

// Set replaces the entry.
func (e *Enroller) Set(m cataloger.Member) {
	e.mu.Lock()
	e.member = m
	e.mu.Unlock()
	select {
	case e.changed <- struct{}{}:
	default:
	}
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
		wait := e.ttl / renewalsPerTTL
		var ended *storer.LeaseEndedError
		if errors.As(err, &ended) {
			// The store answers, so the entry can be written under a new lease soon.
			retry = minRetry
			e.pause(ctx, minRetry)
			continue
		}
		if err != nil {
			e.options.Logger.Warn("renew this host's entry", zap.Error(err))
			retry = min(2*retry, maxRetry)
			wait = retry/2 + rand.N(retry)
		} else {
			retry = minRetry
		}
		e.pause(ctx, wait)
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

func (e *Enroller) pause(ctx context.Context, wait timer.Millis) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	select {
	case <-ctx.Done():
	case <-e.changed:
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
	e.mu.Lock()
	m := e.member
	e.mu.Unlock()
	var err error
	if e.written != m {
		err = e.write(ctx, m)
	} else {
		err = e.options.Ledger.Renew(ctx, e.lease)
	}
	var ended *storer.LeaseEndedError
	if errors.As(err, &ended) {
		e.options.Logger.Info("lease ended; writing the entry under a new one", zap.Uint64("lease", uint64(e.lease)))
		e.lease = 0
	}
	return err
}

// wantedTTL returns how long the lease should be, given the size of the fleet.
func (e *Enroller) wantedTTL() timer.Millis {
	return min(max(e.options.TTL, timer.Millis(e.options.Hosts())*ttlPerHost), maxTTL)
}

func (e *Enroller) write(ctx context.Context, m cataloger.Member) error {
	value, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	_, err = e.options.Ledger.Commit(ctx, storer.Transaction{Set: []storer.Item{{Key: e.options.Key, Value: value, Lease: e.lease}}})
	if err == nil {
		e.written = m
	}
	return err
}
