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

	"github.com/jackdawgate/jackdawgate/attributor"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	broadcastMethod messenger.Method = "suspector/tell"
	compareMethod   messenger.Method = "suspector/compare"

	// callTimeout bounds one call to another host, maxConcurrentCalls the number of
	// hosts that a broadcast calls at the same time.
	callTimeout        = 1 * timer.Second
	maxConcurrentCalls = 32
	// publishWait is how long the record of a crash may take to reach the other hosts
	// before the calls that it ended are given up on.
	publishWait timer.Millis = 300
	// compareInterval is the interval between comparisons of records with another host.
	compareInterval = 10 * timer.Second
)

// Fleet gives a Suspector the identity of its own host and the addresses of the others.
type Fleet interface {
	// Incarnation returns the incarnation of this host.
	Incarnation() string
	// Others returns the addresses of the other hosts.
	Others() []string
}

// Suspector tracks the calls that may have crashed backend servers, for servers whose
// calls one host accounts for; see Tracker for the others. It is safe for
// concurrent use; reading a verdict takes no lock and sends no message.
type Suspector struct {
	*sharedTable
	fleet   Fleet
	caller  messenger.Caller
	logger  *zap.Logger
	crashes metric.Int64Counter

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu  sync.Mutex
	seq int
	// closed is set once no further goroutine may start.
	closed bool
	// activeSuspects maps a server to the fingerprint of the suspect that runs on it.
	activeSuspects map[string]uint64

	promptMu sync.Mutex
	prompts  *attributor.Attributor
}

// New returns a Suspector after it has registered its handlers and started to
// compare records with other hosts periodically. The caller must Close it.
func New(
	fleet Fleet, caller messenger.Caller, registry messenger.Registry,
	clock timer.Clock, logger *zap.Logger, meter metric.Meter,
) *Suspector {
	s := &Suspector{sharedTable: newSharedTable(Table{}, clock), fleet: fleet, caller: caller, logger: logger, activeSuspects: make(map[string]uint64), prompts: attributor.New()}
	var err error
	if s.crashes, err = meter.Int64Counter("jackdawgate.suspector.crashes"); err != nil {
		logger.Error("create counter of crashes failed", zap.Error(err))
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	registry.Handle(broadcastMethod, s.handleBroadcast)
	registry.Handle(compareMethod, s.handleCompare)
	s.start(s.compareLoop)
	return s
}

// Close stops the goroutines of the Suspector and waits for them.
func (s *Suspector) Close() {
	s.cancel()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.goroutines.Wait()
}

// start runs f in a goroutine that Close waits for. After Close it does nothing and
// reports false.
func (s *Suspector) start(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.goroutines.Go(f)
	}
	return !s.closed
}

// RecordCrash records that server crashed with these calls in flight, broadcasts the
// record to all hosts and returns it. It returns once all hosts have received it, or after
// publishWait: whoever learns afterwards that a call failed, such as its caller, and sends
// it again at any host, meets a host that knows of the crash.
func (s *Suspector) RecordCrash(server string, calls []Call) Records {
	s.mu.Lock()
	s.seq++
	id := s.fleet.Incarnation() + "-" + strconv.Itoa(s.seq)
	s.mu.Unlock()
	if s.crashes != nil {
		s.crashes.Add(s.ctx, 1)
	}
	s.logger.Warn("server crashed; its calls in flight are suspected", zap.String("server", server), zap.String("crash", id), zap.Int("calls", len(calls)))
	c := Crash{ID: id, Server: server}
	for _, x := range calls {
		c.Fingerprints = append(c.Fingerprints, x.Fingerprint)
		if len(x.Parts) > 0 {
			c.Prompts = append(c.Prompts, s.crashedPrompt(x, len(calls)))
		}
	}
	r := Records{Crashes: []Crash{c}}
	received := s.publish(r)
	wait := time.NewTimer(publishWait.Duration())
	defer wait.Stop()
	select {
	case <-received:
	case <-wait.C:
	}
	return r
}

// Merge applies records that came with the reply of another host.
func (s *Suspector) Merge(r Records) { s.merge(r) }

// merge applies records and reports whether any was new.
func (s *Suspector) merge(r Records) bool {
	changed := s.add(r)
	return s.mergePrompts(r) || changed
}

// Refused reports whether a call is refused, for itself or for a part of its prompt, and
// for how long.
func (s *Suspector) Refused(c Call) (timer.Millis, bool) {
	wait, refused := s.sharedTable.Refused(c.Fingerprint)
	if w := s.partWait(c); w > 0 {
		wait, refused = max(wait, w), true
	}
	return wait, refused
}

// RecordAnswer records that a call was answered. It sends messages only if the call or a
// part of its prompt was in flight at a crash.
func (s *Suspector) RecordAnswer(c Call) {
	var r Records
	if n, ok := s.table.Load().Success(c.Fingerprint, s.clock.Now()); ok {
		r.Successes = []Success{n}
	}
	s.promptMu.Lock()
	for _, part := range s.prompts.Unconfirmed(c.Parts) {
		r.AnsweredParts = append(r.AnsweredParts, AnsweredPart{Part: part})
	}
	s.promptMu.Unlock()
	if len(r.Successes)+len(r.AnsweredParts) > 0 {
		s.publish(r)
	}
}

// TryStart reports whether a call may run on server now. A refused call may not, and
// a suspect may only if no other suspect runs there. Only the host that accounts for
// the calls running on the server calls it; after true, that host calls End when the
// call ends.
func (s *Suspector) TryStart(server string, c Call) bool {
	if s.partWait(c) > 0 {
		return false
	}
	switch s.Verdict(c.Fingerprint).(type) {
	case Clear:
		return true
	case Refused:
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.activeSuspects[server]; taken {
		return false
	}
	s.activeSuspects[server] = c.Fingerprint
	return true
}

// End records that a call for which TryStart returned true has ended on server.
func (s *Suspector) End(server string, c Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeSuspects[server] == c.Fingerprint {
		delete(s.activeSuspects, server)
	}
}

// publish merges r into the table and, if anything was new, broadcasts r in the
// background. The returned channel is closed when the broadcast has ended.
func (s *Suspector) publish(r Records) <-chan struct{} {
	ended := make(chan struct{})
	if !s.merge(r) || !s.start(func() { defer close(ended); s.broadcast(r) }) {
		close(ended)
	}
	return ended
}

// broadcast sends r to every other host. Errors are ignored: a host that missed
// the records gets them by comparison.
func (s *Suspector) broadcast(r Records) {
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for _, address := range s.fleet.Others() {
		slots <- struct{}{}
		calls.Go(func() {
			_ = s.call(address, broadcastMethod, r, nil)
			<-slots
		})
	}
	calls.Wait()
}

// compareLoop compares records with a random host every compareInterval until
// Close.
func (s *Suspector) compareLoop() {
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

// compare fetches the records of a random host if they differ from those of this host.
func (s *Suspector) compare() {
	others := s.fleet.Others()
	if len(others) == 0 {
		return
	}
	var r Records
	if s.call(others[rand.IntN(len(others))], compareMethod, s.table.Load().Digest(), &r) == nil {
		s.merge(r)
	}
}

// call encodes in, calls the method m of the host at address and decodes its reply into
// out.
func (s *Suspector) call(address string, m messenger.Method, in, out any) error {
	body, err := cbor.Marshal(in)
	if err != nil {
		return eris.Wrapf(err, "encode %s", m)
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout.Duration())
	defer cancel()
	return s.caller.Call(ctx, address, m, body, func(frame []byte) error {
		return eris.Wrapf(cbor.Unmarshal(frame, out), "decode reply to %s", m)
	})
}

// handleBroadcast merges the records that another host sent.
func (s *Suspector) handleBroadcast(_ context.Context, _ messenger.Peer, body []byte, _ func([]byte) error) error {
	var r Records
	if err := cbor.Unmarshal(body, &r); err != nil {
		return &messenger.RemoteError{Code: "bad-message", Message: err.Error()}
	}
	s.merge(r)
	return nil
}

// handleCompare replies with all records, or with none if the digest of the caller
// shows that it has the same ones.
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

// hash combines the hash of text with n.
func hash(text string, n uint64) uint64 {
	h := xxhash.Sum64String(text) ^ n*0x9e3779b97f4a7c15
	h ^= h >> 32
	return h * 0xd6e8feb86659fd93
}
