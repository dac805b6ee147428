// Package enroller keeps a host's entry in the store, under a lease that ends
// when the host does. What others may conclude from the entry is only that the
// host lived lately; nothing is decided by its absence alone.
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
	// Key is where the entry lies.
	Key string
	// TTL is how long the entry outlives its last renewal, at least.
	TTL timer.Millis
	// Hosts returns how many hosts are known. The lease grows with them, so that
	// the store takes about as many renewals from any fleet.
	Hosts func() int
	// Away says that the store is known to be away, by what this host and others
	// have heard of it. Nothing is asked of it meanwhile.
	StoreAway func() bool
	Logger    *zap.Logger
}

const (
	callTimeout timer.Millis = 900
	minRetry    timer.Millis = 100
	maxRetry    timer.Millis = 600
	// awayPause is kept between two looks whether the store is back.
	awayPollInterval timer.Millis = 100
	// ttlPerHost is how much of the lease each host stands for, mostTTL the
	// longest lease.
	ttlPerHost timer.Millis = 250
	maxTTL                  = 60 * timer.Second
	// renewals is how often a lease is renewed in its length.
	renewalsPerTTL = 2
	// regrant is by which factor a lease must be too long or too short to be
	// replaced by another one, which costs two writes.
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

	// lease and written belong to the goroutine run.
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

// Close ends the lease, and so the entry, and waits.
func (e *Enroller) Close() {
	e.cancel()
	<-e.done
}

func (e *Enroller) run(ctx context.Context) {
	defer close(e.done)
	retry := minRetry
	for ctx.Err() == nil {
		if e.options.StoreAway() {
			timer.Sleep(ctx, awayPollInterval)
			continue
		}
		err := e.step(ctx)
		wait := e.ttl / renewalsPerTTL
		var ended *storer.LeaseEndedError
		if errors.As(err, &ended) {
			// The store answers, so the host soon enters anew.
			retry = minRetry
			e.pause(ctx, minRetry)
			continue
		}
		if err != nil {
			e.options.Logger.Warn("entry not renewed", zap.Error(err))
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
		e.options.Logger.Warn("lease not ended", zap.Error(err))
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

// step makes a lease, writes the entry, or renews the lease.
func (e *Enroller) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	if ttl := e.wantedTTL(); e.lease == 0 || ttl > regrantFactor*e.ttl || regrantFactor*ttl < e.ttl {
		l, err := e.options.Ledger.Grant(ctx, ttl)
		if err != nil {
			return err
		}
		// The lease before it, if there is one, ends by itself; the entry will
		// not depend on it any more.
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
		e.options.Logger.Info("lease ended; entering anew", zap.Uint64("lease", uint64(e.lease)))
		e.lease = 0
	}
	return err
}

// wantedTTL is how long the lease of one of so many hosts should be.
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
