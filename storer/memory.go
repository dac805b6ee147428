package storer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/timer"
)

// MaxValueBytes is the size of the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// TooLargeError reports that a value exceeds MaxValueBytes. Nothing was written.
type TooLargeError struct {
	Key  string
	Size int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("store value %q has %d bytes, more than %d", e.Key, e.Size, MaxValueBytes)
}

// Faults is the failures that a Memory simulates.
type Faults struct {
	// Outage makes every call fail, waiting watches included.
	Outage bool
	// Delay is added before each call takes effect.
	Delay timer.Millis
	// LoseAnswers is how many of the next writes take effect but return an error.
	LoseAnswers int
	// HostLag is the delay until Hosts shows a change of the list.
	HostLag timer.Millis
}

// AnswerLostError is the cause of the error of a write that took effect but whose
// response a Memory dropped.
type AnswerLostError struct{}

func (*AnswerLostError) Error() string { return "answer lost" }

var errOutage = errors.New("outage")

// Memory is a Store in memory that can simulate the failures of a real one. It is for
// tests and for emulations of the platform.
type Memory struct {
	clock timer.Clock

	mu     sync.Mutex
	index  Version
	values map[string]Value
	// changed has a channel for each watched key; a change of the key closes it.
	changed map[string]chan struct{}
	faults  Faults
	// faultsChanged is closed and replaced when the faults change.
	faultsChanged chan struct{}
	// hostLists holds all host lists that were set, oldest first.
	hostLists []hostList
}

// hostList is a list of hosts and when it was set.
type hostList struct {
	setAt timer.Millis
	hosts []Host
}

// NewMemory returns an empty store without faults.
func NewMemory() *Memory {
	return &Memory{
		clock:         timer.System(),
		values:        make(map[string]Value),
		changed:       make(map[string]chan struct{}),
		faultsChanged: make(chan struct{}),
	}
}

// SetFaults replaces the faults. Calls that are waiting for a delay or a change use
// the new ones at once.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	close(m.faultsChanged)
	m.faultsChanged = make(chan struct{})
}

// Faults returns the current faults. LoseAnswers is the number that remains.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// SetHosts replaces the list of hosts. Hosts returns it after Faults.HostLag.
func (m *Memory) SetHosts(hosts []Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hostLists = append(m.hostLists, hostList{setAt: m.clock.Now(), hosts: slices.Clone(hosts)})
}

// Index returns the version of the newest change to any key.
func (m *Memory) Index() Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.index
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) (Value, error) {
	if err := m.injectFaults(ctx); err != nil {
		return Value{}, &UnavailableError{Call: "get", Key: key, Err: err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.values[key].clone(), nil
}

// CompareAndSwap implements Store.
func (m *Memory) CompareAndSwap(ctx context.Context, key string, data []byte, old Version) (bool, error) {
	if len(data) > MaxValueBytes {
		return false, &TooLargeError{Key: key, Size: len(data)}
	}
	if err := m.injectFaults(ctx); err != nil {
		return false, &UnavailableError{Call: "compare-and-swap", Key: key, Err: err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	swapped := m.values[key].Version == old
	if swapped {
		m.index++
		m.values[key] = Value{Data: slices.Clone(data), Version: m.index}
		m.wakeWatches(key)
	}
	if m.takeLostAnswer() {
		return false, &UnavailableError{Call: "compare-and-swap", Key: key, Err: &AnswerLostError{}}
	}
	return swapped, nil
}

// Delete implements Store.
func (m *Memory) Delete(ctx context.Context, key string, old Version) (bool, error) {
	if err := m.injectFaults(ctx); err != nil {
		return false, &UnavailableError{Call: "delete", Key: key, Err: err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	v, exists := m.values[key]
	if exists && v.Version == old {
		m.index++
		delete(m.values, key)
		m.wakeWatches(key)
	}
	if m.takeLostAnswer() {
		return false, &UnavailableError{Call: "delete", Key: key, Err: &AnswerLostError{}}
	}
	return !exists || v.Version == old, nil
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, key string, old Version, wait timer.Millis) (Value, error) {
	expired := time.NewTimer(wait.Duration())
	defer expired.Stop()
	if err := m.injectFaults(ctx); err != nil {
		return Value{}, &UnavailableError{Call: "watch", Key: key, Err: err}
	}
	for {
		v, wakeup, err := m.read(key)
		if err != nil {
			return Value{}, &UnavailableError{Call: "watch", Key: key, Err: err}
		}
		if v.Version != old {
			return v, nil
		}
		select {
		case <-wakeup.changed:
		case <-wakeup.faultsChanged:
		case <-expired.C:
			return v, nil
		case <-ctx.Done():
			return Value{}, &UnavailableError{Call: "watch", Key: key, Err: ctx.Err()}
		}
	}
}

// List implements Store.
func (m *Memory) List(ctx context.Context, prefix string) ([]string, error) {
	if err := m.injectFaults(ctx); err != nil {
		return nil, &UnavailableError{Call: "list", Key: prefix, Err: err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	keys := make([]string, 0)
	for k := range m.values {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys, nil
}

// Hosts implements Store.
func (m *Memory) Hosts(ctx context.Context) ([]Host, error) {
	if err := m.injectFaults(ctx); err != nil {
		return nil, &UnavailableError{Call: "hosts", Err: err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	visibleAt := m.clock.Now() - m.faults.HostLag
	var hosts []Host
	for _, l := range m.hostLists {
		if l.setAt > visibleAt {
			break
		}
		hosts = l.hosts
	}
	return slices.Clone(hosts), nil
}

// injectFaults applies the delay and the outage to one call. It is called before the
// call takes effect.
func (m *Memory) injectFaults(ctx context.Context) error {
	start := m.clock.Now()
	for {
		m.mu.Lock()
		f, switched := m.faults, m.faultsChanged
		m.mu.Unlock()
		if f.Outage {
			return errOutage
		}
		left := start + f.Delay - m.clock.Now()
		if left <= 0 {
			return ctx.Err()
		}
		if err := pause(ctx, left, switched); err != nil {
			return err
		}
	}
}

// pause waits for d or until early is closed. It returns an error only if ctx ends
// first.
func pause(ctx context.Context, d timer.Millis, early <-chan struct{}) error {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-early:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// wakeups are the channels whose closing makes a watch read its key again.
type wakeups struct {
	changed       <-chan struct{}
	faultsChanged <-chan struct{}
}

// read returns the value of key and the channels that a watch of it waits for.
func (m *Memory) read(key string) (Value, wakeups, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Outage {
		return Value{}, wakeups{}, errOutage
	}
	c, ok := m.changed[key]
	if !ok {
		c = make(chan struct{})
		m.changed[key] = c
	}
	return m.values[key].clone(), wakeups{changed: c, faultsChanged: m.faultsChanged}, nil
}

// wakeWatches wakes the watches of key. The caller holds m.mu.
func (m *Memory) wakeWatches(key string) {
	if c, ok := m.changed[key]; ok {
		close(c)
		delete(m.changed, key)
	}
}

// takeLostAnswer reports whether to drop the response to this write, and counts it.
// The caller holds m.mu.
func (m *Memory) takeLostAnswer() bool {
	if m.faults.LoseAnswers == 0 {
		return false
	}
	m.faults.LoseAnswers--
	return true
}

func (v Value) clone() Value {
	v.Data = slices.Clone(v.Data)
	return v
}
