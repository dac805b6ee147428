package storer

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
)

// errUnavailable is the cause of errors of calls that a MemoryLedger does not answer.
var errUnavailable = eris.New("store unavailable")

// MemoryLedger is a Ledger in memory that can simulate faults. It replaces the
// platform's store in tests and when a whole fleet runs in one process.
type MemoryLedger struct {
	clock timer.Clock

	mu      sync.Mutex
	items   map[string]Item
	history []Change
	// compacted is the newest revision whose changes history no longer has.
	compacted Revision
	revision  Revision
	leases    map[Lease]*memoryLease
	// changed is closed and replaced at each change that concerns watches.
	changed     chan struct{}
	unavailable bool
	// lostAnswers is how many of the next transactions return an
	// *UnknownOutcomeError though they take effect.
	lostAnswers int
	// delayed holds the transactions that were neither answered nor applied yet. The
	// next delayCount ones are added to it.
	delayed    []Transaction
	delayCount int
}

type memoryLease struct {
	ttl     timer.Millis
	renewed timer.Millis
}

// NewMemoryLedger returns an empty Ledger whose leases expire by clock.
func NewMemoryLedger(clock timer.Clock) *MemoryLedger {
	return &MemoryLedger{
		clock: clock, items: make(map[string]Item), revision: 1,
		leases: make(map[Lease]*memoryLease), changed: make(chan struct{}),
	}
}

// SetUnavailable makes all calls fail with an *UnavailableError, or stops doing so.
func (m *MemoryLedger) SetUnavailable(unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable = unavailable
	m.wakeWatches()
}

// LoseAnswers makes the next n transactions take effect but return an
// *UnknownOutcomeError.
func (m *MemoryLedger) LoseAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lostAnswers = n
}

// DelayCommits makes the next n transactions return an *UnknownOutcomeError and have no
// effect until ApplyDelayed, which applies them if their conditions are true then.
func (m *MemoryLedger) DelayCommits(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delayCount = n
}

// ApplyDelayed applies the transactions that DelayCommits delayed.
func (m *MemoryLedger) ApplyDelayed() {
	m.mu.Lock()
	late := m.delayed
	m.delayed = nil
	m.mu.Unlock()
	for _, t := range late {
		// A transaction whose conditions are no longer true fails, as intended.
		_, _ = m.Commit(context.Background(), t)
	}
}

// Compact discards the history of changes. Watches after an earlier revision then fail
// with a *HistoryGoneError.
func (m *MemoryLedger) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history, m.compacted = nil, m.revision
	m.wakeWatches()
}

func (m *MemoryLedger) wakeWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// lock locks m.mu and ends expired leases. The caller must unlock m.mu, also after an
// error.
func (m *MemoryLedger) lock() error {
	m.mu.Lock()
	m.expireLeases()
	if m.unavailable {
		return &UnavailableError{Call: "ledger", Err: errUnavailable}
	}
	return nil
}

func (m *MemoryLedger) expireLeases() {
	now := m.clock.Now()
	for l, v := range m.leases {
		if now-v.renewed > v.ttl {
			m.endLease(l)
		}
	}
}

func (m *MemoryLedger) endLease(l Lease) {
	delete(m.leases, l)
	for key, i := range m.items {
		if i.Lease == l {
			m.revision++
			m.remove(key)
		}
	}
}

func (m *MemoryLedger) remove(key string) {
	delete(m.items, key)
	m.history = append(m.history, Change{Item: Item{Key: key, Revision: m.revision}, Deleted: true})
	m.wakeWatches()
}

func (m *MemoryLedger) put(i Item) {
	i.Revision = m.revision
	m.items[i.Key] = i
	m.history = append(m.history, Change{Item: i})
	m.wakeWatches()
}

// Range implements Ledger.
func (m *MemoryLedger) Range(_ context.Context, prefix string) ([]Item, Revision, error) {
	defer m.mu.Unlock()
	if err := m.lock(); err != nil {
		return nil, 0, err
	}
	var out []Item
	for key, i := range m.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return out, m.revision, nil
}

// Watch implements Ledger.
func (m *MemoryLedger) Watch(ctx context.Context, prefix string, after Revision, wait timer.Millis) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	for {
		c, changed, err := m.changesAfter(prefix, after)
		if err != nil || len(c.List) > 0 {
			return c, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return c, nil
		}
	}
}

func (m *MemoryLedger) changesAfter(prefix string, after Revision) (Changes, <-chan struct{}, error) {
	defer m.mu.Unlock()
	if err := m.lock(); err != nil {
		return Changes{}, nil, err
	}
	if after < m.compacted {
		return Changes{}, nil, &HistoryGoneError{After: after}
	}
	c := Changes{Current: m.revision}
	for _, h := range m.history {
		if h.Revision > after && strings.HasPrefix(h.Key, prefix) {
			c.List = append(c.List, h)
		}
	}
	return c, m.changed, nil
}

// Commit implements Ledger.
func (m *MemoryLedger) Commit(_ context.Context, t Transaction) (Revision, error) {
	defer m.mu.Unlock()
	if err := m.lock(); err != nil {
		return 0, err
	}
	if m.delayCount > 0 {
		m.delayCount--
		m.delayed = append(m.delayed, t)
		return 0, &UnknownOutcomeError{Call: "commit", Err: errUnavailable}
	}
	for _, c := range t.Conditions {
		if m.items[c.Key].Revision != c.Revision {
			return 0, &ConflictError{Key: c.Key, Current: m.currentItems(t.Conditions)}
		}
	}
	for _, i := range t.Set {
		if _, ok := m.leases[i.Lease]; i.Lease != 0 && !ok {
			return 0, &LeaseEndedError{Lease: i.Lease}
		}
	}
	m.revision++
	for _, key := range t.Delete {
		m.remove(key)
	}
	for _, i := range t.Set {
		m.put(i)
	}
	if m.lostAnswers > 0 {
		m.lostAnswers--
		return 0, &UnknownOutcomeError{Call: "commit", Err: errUnavailable}
	}
	return m.revision, nil
}

// currentItems returns the items of the conditions that exist. The caller holds m.mu.
func (m *MemoryLedger) currentItems(conditions []Condition) []Item {
	out := []Item{}
	for _, c := range conditions {
		if i, ok := m.items[c.Key]; ok {
			out = append(out, i)
		}
	}
	return out
}

// Grant implements Ledger.
func (m *MemoryLedger) Grant(_ context.Context, ttl timer.Millis) (Lease, error) {
	defer m.mu.Unlock()
	if err := m.lock(); err != nil {
		return 0, err
	}
	m.revision++
	l := Lease(m.revision)
	m.leases[l] = &memoryLease{ttl: ttl, renewed: m.clock.Now()}
	return l, nil
}

// Renew implements Ledger.
func (m *MemoryLedger) Renew(_ context.Context, l Lease) error {
	defer m.mu.Unlock()
	if err := m.lock(); err != nil {
		return err
	}
	v, ok := m.leases[l]
	if !ok {
		return &LeaseEndedError{Lease: l}
	}
	v.renewed = m.clock.Now()
	return nil
}

// Revoke implements Ledger.
func (m *MemoryLedger) Revoke(_ context.Context, l Lease) error {
	defer m.mu.Unlock()
	if err := m.lock(); err != nil {
		return err
	}
	if _, ok := m.leases[l]; !ok {
		return &LeaseEndedError{Lease: l}
	}
	m.endLease(l)
	return nil
}
