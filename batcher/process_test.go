package batcher_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
)

// process is one incarnation of a host. Once it is killed, its calls to the store,
// to peers and to backend servers fail without effect.
type process struct {
	h      *host
	self   registrar.Member
	killed context.Context
	kill   context.CancelFunc
	// staleRecord, if set, is the record that the process sees in place of newer
	// ones.
	staleRecord *registrar.Record
	ownsFrom    timer.Millis
	lastEpoch   registrar.Epoch
	clock       timer.Clock
	mu          sync.Mutex
}

func (p *process) View() coordinator.Snapshot {
	p.h.c.mu.Lock()
	r := p.h.c.record
	p.h.c.mu.Unlock()
	r = p.observe(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	s := coordinator.Snapshot{Self: p.self, PermittedUntil: p.clock.Now() + 1, OwnsFrom: p.ownsFrom}.WithRecord(r)
	if p.killed.Err() != nil {
		s.PermittedUntil = 0
	}
	return s
}

// observe passes a record to the process and returns the one that it sees. At the
// first record of an epoch it sets the time from which the process may act as an
// owner.
func (p *process) observe(r registrar.Record) registrar.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.staleRecord != nil {
		r = *p.staleRecord
	}
	if r.Epoch != p.lastEpoch {
		p.lastEpoch, p.ownsFrom = r.Epoch, p.clock.Now()+5*timer.Second
	}
	return r
}

var errKilled = errors.New("process is dead")

// processStore is a process's connection to the store. It fails once the process
// is killed.
type processStore struct {
	storer.Store
	p *process
}

func (s processStore) Get(ctx context.Context, k string) (storer.Value, error) {
	if s.p.killed.Err() != nil {
		return storer.Value{}, &storer.UnavailableError{Call: "get", Key: k, Err: errKilled}
	}
	return s.Store.Get(ctx, k)
}

func (s processStore) CompareAndSwap(ctx context.Context, k string, d []byte, v storer.Version) (bool, error) {
	if s.p.killed.Err() != nil {
		return false, &storer.UnavailableError{Call: "compare-and-swap", Key: k, Err: errKilled}
	}
	return s.Store.CompareAndSwap(ctx, k, d, v)
}

// processCaller makes a process's calls to peers. It fails once the process is
// killed.
type processCaller struct {
	messenger.Caller
	p *process
}

func (c processCaller) Call(ctx context.Context, a string, m messenger.Method, b []byte, onFrame func([]byte) error) error {
	if c.p.killed.Err() != nil {
		return &messenger.NotSentError{Address: a, Err: errKilled}
	}
	return c.Caller.Call(ctx, a, m, b, onFrame)
}

// Do implements requester.Doer.
func (p *process) Do(ctx context.Context, r requester.Request, s requester.Sink) requester.Outcome {
	if p.killed.Err() != nil {
		return requester.NotRun{Code: "cancelled"}
	}
	p.h.c.mu.Lock()
	if ctx.Err() != nil { // a call that was cancelled before is not sent
		p.h.c.mu.Unlock()
		return requester.NotRun{Code: "cancelled"}
	}
	if p.h.c.calls != nil {
		p.h.c.calls[customID(r)]++
	}
	do := p.h.c.do
	p.h.c.mu.Unlock()
	return do(ctx, r, s)
}

// customID returns the item's custom_id, which the tests also put into the body.
func customID(r requester.Request) string {
	var b struct{ Name string }
	_ = json.Unmarshal(r.Body, &b)
	return b.Name
}
