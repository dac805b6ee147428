package storer

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
)

// errAway is the cause of calls that a MemoryLedger does not answer.
var errAway = eris.New("the store is away")

// MemoryLedger is a Ledger in memory, with switches for its faults. It stands
// in for the platform's store in tests and in fleets of one process.
type MemoryLedger struct {
	clock timer.Clock

	mu       sync.Mutex
	items    map[string]Item
	history  []Change
	kept     Revision
	revision Revision
	leases   map[Lease]*memoryLease
	changed  chan struct{}
	away     bool
	lost     int
	// late are transactions that were not answered and not carried out yet; the
	// next holding ones join them.
	late    []Transaction
	holding int
}

type memoryLease struct {
	ttl     timer.Millis
	renewed timer.Millis
}

// NewMemoryLedger returns an empty Ledger whose leases end by clock.
func NewMemoryLedger(clock timer.Clock) *MemoryLedger {
	return &MemoryLedger{
		clock: clock, items: make(map[string]Item), revision: 1,
		leases: make(map[Lease]*memoryLease), changed: make(chan struct{}),
	}
}

// SetAway turns all calls away, or no longer.
func (m *MemoryLedger) SetAway(away bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away = away
	m.wake()
}

// LoseAnswers makes the next n transactions take effect without an answer.
func (m *MemoryLedger) LoseAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost = n
}

// HoldBack leaves the next n transactions without an answer, and carries them out
// at CarryOut, if their conditions hold then.
func (m *MemoryLedger) HoldBack(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holding = n
}

// CarryOut carries out what was held back.
func (m *MemoryLedger) CarryOut() {
	m.mu.Lock()
	late := m.late
	m.late = nil
	m.mu.Unlock()
	for _, t := range late {
		// One whose conditions no longer hold is not carried out.
		_, _ = m.Commit(context.Background(), t)
	}
}

// Forget drops the history, so that watches must begin anew.
func (m *MemoryLedger) Forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history, m.kept = nil, m.revision
	m.wake()
}

func (m *MemoryLedger) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// enter locks m and ends leases that ran out; the caller unlocks.
func (m *MemoryLedger) enter() error {
	m.mu.Lock()
	m.expire()
	if m.away {
		return &UnavailableError{Call: "ledger", Err: errAway}
	}
	return nil
}

func (m *MemoryLedger) expire() {
	now := m.clock.Now()
	for l, v := range m.leases {
		if now-v.renewed > v.ttl {
			m.end(l)
		}
	}
}

func (m *MemoryLedger) end(l Lease) {
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
	m.wake()
}

func (m *MemoryLedger) put(i Item) {
	i.Revision = m.revision
	m.items[i.Key] = i
	m.history = append(m.history, Change{Item: i})
	m.wake()
}

// Range implements Ledger.
func (m *MemoryLedger) Range(_ context.Context, prefix string) ([]Item, Revision, error) {
	defer m.mu.Unlock()
	if err := m.enter(); err != nil {
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
	if err := m.enter(); err != nil {
		return Changes{}, nil, err
	}
	if after < m.kept {
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
	if err := m.enter(); err != nil {
		return 0, err
	}
	if m.holding > 0 {
		m.holding--
		m.late = append(m.late, t)
		return 0, &UnknownError{Call: "commit", Err: errAway}
	}
	for _, c := range t.Conditions {
		if m.items[c.Key].Revision != c.Revision {
			return 0, &ConflictError{Key: c.Key}
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
	if m.lost > 0 {
		m.lost--
		return 0, &UnknownError{Call: "commit", Err: errAway}
	}
	return m.revision, nil
}

// Grant implements Ledger.
func (m *MemoryLedger) Grant(_ context.Context, ttl timer.Millis) (Lease, error) {
	defer m.mu.Unlock()
	if err := m.enter(); err != nil {
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
	if err := m.enter(); err != nil {
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
	if err := m.enter(); err != nil {
		return err
	}
	if _, ok := m.leases[l]; !ok {
		return &LeaseEndedError{Lease: l}
	}
	m.end(l)
	return nil
}
