package dispatcher

import (
	"context"
	"sync"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/keeper"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Ledgers holds a keeper.Keeper for each backend server that this host owns, created
// when it is first needed. It implements Slots and is safe for concurrent use.
type Ledgers struct {
	viewer coordinator.Viewer
	policy keeper.Policy
	clock  timer.Clock
	queue  int

	mu      sync.Mutex
	keepers map[string]*ledger
	closed  bool
}

var _ Slots = (*Ledgers)(nil)

type ledger struct {
	keeper *keeper.Keeper
	limits keeper.Limits
}

// NewLedgers returns Ledgers in which at most queue calls of each class wait for a
// server.
func NewLedgers(v coordinator.Viewer, p keeper.Policy, c timer.Clock, queue int) *Ledgers {
	return &Ledgers{viewer: v, policy: p, clock: c, queue: queue, keepers: make(map[string]*ledger)}
}

// Acquire implements Slots.
func (l *Ledgers) Acquire(ctx context.Context, b registrar.BackendServer, t keeper.Request) (keeper.Slot, error) {
	k, ok := l.keeper(b)
	if !ok {
		return nil, &keeper.DrainingError{}
	}
	return k.Acquire(ctx, t)
}

// keeper returns the keeper of b after it has applied the limits in force.
func (l *Ledgers) keeper(b registrar.BackendServer) (*keeper.Keeper, bool) {
	limits := keeper.LimitsOf(b, l.viewer.View().Record.ActivePreset(), l.queue)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, false
	}
	e, ok := l.keepers[b.Name]
	if !ok {
		e = &ledger{keeper: keeper.New(limits, l.policy, l.clock), limits: limits}
		l.keepers[b.Name] = e
	}
	if e.limits != limits {
		e.limits = limits
		e.keeper.SetLimits(limits)
	}
	return e.keeper, true
}

// Load implements Slots.
func (l *Ledgers) Load(server string) keeper.Load {
	l.mu.Lock()
	e, ok := l.keepers[server]
	l.mu.Unlock()
	if !ok {
		return keeper.Load{}
	}
	return e.keeper.Load()
}

// Apply applies the newest configuration to the servers that have a keeper: new
// limits take effect at once, and the waiting calls of a server are refused with a
// *keeper.DrainingError if the server is removed or leaving, or if this host may not
// act as its owner now. It is called often.
func (l *Ledgers) Apply() {
	s := l.viewer.View()
	now := l.clock.Now()
	for _, name := range l.serverNames() {
		b, known := s.Record.Servers[name]
		if known && !b.Leaving && s.Owns(coordinator.ServerObject(name), now) {
			l.keeper(b)
			continue
		}
		l.drain(name)
	}
}

func (l *Ledgers) serverNames() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]string, 0, len(l.keepers))
	for n := range l.keepers {
		names = append(names, n)
	}
	return names
}

// drain removes the keeper of a server and refuses the calls that wait for it. Running
// calls retain their slots.
func (l *Ledgers) drain(name string) {
	l.mu.Lock()
	e, ok := l.keepers[name]
	delete(l.keepers, name)
	l.mu.Unlock()
	if ok {
		e.keeper.Drain()
	}
}

// Close refuses new and waiting calls and evicts batch calls.
func (l *Ledgers) Close() {
	l.mu.Lock()
	l.closed = true
	keepers := l.keepers
	l.keepers = make(map[string]*ledger)
	l.mu.Unlock()
	for _, e := range keepers {
		e.keeper.Close()
	}
}
