package suspector

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	tellMethod    messenger.Method = "suspector/tell"
	compareMethod messenger.Method = "suspector/compare"

	// tellTimeout bounds telling one member, tellers how many at once.
	tellTimeout = 1 * timer.Second
	tellers     = 32
	// compareInterval is how often records are compared with another member.
	compareInterval = 10 * timer.Second
)

// Fleet is what a Suspector asks about the hosts.
type Fleet interface {
	// Incarnation is this host's own.
	Incarnation() string
	// Others returns the addresses of the other hosts.
	Others() []string
}

// Suspector knows the calls that may have crashed backend servers. It is safe
// for concurrent use; reading verdicts takes no lock and no message.
type Suspector struct {
	*book
	fleet  Fleet
	caller messenger.Caller
	logger *zap.Logger
	deaths metric.Int64Counter

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu  sync.Mutex
	seq int
	// closed says that no goroutine starts any more.
	closed bool
	// held has the suspect that each server runs.
	held map[string]uint64
}

// New registers the handlers and starts comparing records with other hosts.
func New(
	fleet Fleet, caller messenger.Caller, registry messenger.Registry,
	clock timer.Clock, logger *zap.Logger, meter metric.Meter,
) *Suspector {
	s := &Suspector{book: newBook(Table{}, clock), fleet: fleet, caller: caller, logger: logger, held: make(map[string]uint64)}
	var err error
	if s.deaths, err = meter.Int64Counter("jackdawgate.suspector.deaths"); err != nil {
		logger.Error("suspector has no metrics", zap.Error(err))
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	registry.Handle(tellMethod, s.handleTell)
	registry.Handle(compareMethod, s.handleCompare)
	s.start(s.compareForever)
	return s
}

// Close ends the suspector's goroutines and waits for them.
func (s *Suspector) Close() {
	s.cancel()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.running.Wait()
}

// start runs f on a goroutine that Close waits for, unless Close was called.
func (s *Suspector) start(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.running.Go(f)
	}
}

// InFlightAtDeath records that server died with these calls in flight and tells
// all members.
func (s *Suspector) InFlightAtDeath(server string, fingerprints []uint64) {
	s.mu.Lock()
	s.seq++
	id := s.fleet.Incarnation() + "-" + strconv.Itoa(s.seq)
	s.mu.Unlock()
	if s.deaths != nil {
		s.deaths.Add(s.ctx, 1)
	}
	s.logger.Warn("calls suspected", zap.String("server", server), zap.String("death", id), zap.Int("calls", len(fingerprints)))
	s.publish(Records{Deaths: []Death{{ID: id, Server: server, Fingerprints: fingerprints}}})
}

// Survived says that a call with this fingerprint was answered. It costs a
// message only if the call was suspected.
func (s *Suspector) Survived(fingerprint uint64) {
	r, ok := s.table.Load().Survival(fingerprint, s.clock.Now())
	if ok {
		s.publish(Records{Survivals: []Survival{r}})
	}
}

// Enter says whether a call may run on server now: a suspect only if no other
// one runs there. The host that keeps the server's ledger calls it, and Leave
// at the call's end.
func (s *Suspector) Enter(server string, fingerprint uint64) bool {
	switch s.Verdict(fingerprint).(type) {
	case Clear:
		return true
	case Refused:
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.held[server]; taken {
		return false
	}
	s.held[server] = fingerprint
	return true
}

// Leave says that a call that entered has ended on server.
func (s *Suspector) Leave(server string, fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held[server] == fingerprint {
		delete(s.held, server)
	}
}

// publish takes records in and tells every other member.
func (s *Suspector) publish(r Records) {
	if !s.add(r) {
		return
	}
	s.start(func() { s.tell(r) })
}

// tell sends records to every other member.
func (s *Suspector) tell(r Records) {
	var telling sync.WaitGroup
	slots := make(chan struct{}, tellers)
	for _, address := range s.fleet.Others() {
		slots <- struct{}{}
		telling.Go(func() {
			_ = s.call(address, tellMethod, r, nil)
			<-slots
		})
	}
	telling.Wait()
}

// compareForever asks a member drawn by chance for what this host does not know.
func (s *Suspector) compareForever() {
	ticker := time.NewTicker(compareInterval.Duration())
	defer ticker.Stop()
	for {
		s.compare()
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Suspector) compare() {
	others := s.fleet.Others()
	if len(others) == 0 {
		return
	}
	var r Records
	if s.call(others[rand.IntN(len(others))], compareMethod, s.table.Load().Digest(), &r) == nil {
		s.add(r)
	}
}

func (s *Suspector) call(address string, m messenger.Method, in, out any) error {
	body, err := cbor.Marshal(in)
	if err != nil {
		return eris.Wrapf(err, "encode %s", m)
	}
	ctx, cancel := context.WithTimeout(s.ctx, tellTimeout.Duration())
	defer cancel()
	return s.caller.Call(ctx, address, m, body, func(frame []byte) error {
		return eris.Wrapf(cbor.Unmarshal(frame, out), "decode answer of %s", m)
	})
}

func (s *Suspector) handleTell(_ context.Context, _ messenger.Peer, body []byte, _ func([]byte) error) error {
	var r Records
	if err := cbor.Unmarshal(body, &r); err != nil {
		return &messenger.RemoteError{Code: "bad-message", Message: err.Error()}
	}
	s.add(r)
	return nil
}

// handleCompare answers with all records unless the asker knows the same.
func (s *Suspector) handleCompare(_ context.Context, _ messenger.Peer, body []byte, send func([]byte) error) error {
	var digest uint64
	if err := cbor.Unmarshal(body, &digest); err != nil {
		return &messenger.RemoteError{Code: "bad-message", Message: err.Error()}
	}
	t := s.table.Load()
	var r Records
	if t.Digest() != digest {
		r = t.Records(s.clock.Now())
	}
	frame, err := cbor.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "encode records")
	}
	return send(frame)
}

// hash mixes a text and a number.
func hash(text string, n uint64) uint64 {
	h := xxhash.Sum64String(text) ^ n*0x9e3779b97f4a7c15
	h ^= h >> 32
	return h * 0xd6e8feb86659fd93
}
