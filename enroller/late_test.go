package enroller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/enroller"
	"github.com/jackdawgate/jackdawgate/follower"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

const (
	entryKey = "hosts/a"
	address  = "10.0.0.1:7"
	// noticeBound is the time within which a host writes its entry again after it was
	// removed or replaced.
	noticeBound = 2 * timer.Second
	// ttl is the time for which an entry outlives its last renewal.
	ttl timer.Millis = 3000
	// lateBound is the time by which a late write has been carried out.
	lateBound = 6 * timer.Second
)

// memberDecoder decodes the entries of hosts.
type memberDecoder struct{}

func (memberDecoder) Kind(key string) follower.Fact {
	return follower.MemberFact{Member: cataloger.Member{Name: strings.TrimPrefix(key, "hosts/")}}
}

func (memberDecoder) Decode(i storer.Item) (follower.Fact, error) {
	var m cataloger.Member
	err := cbor.Unmarshal(i.Value, &m)
	m.Revision = uint64(i.Revision)
	return follower.MemberFact{Member: m}, err
}

// processLedger is the store as one process of a host reaches it: not at all once the
// process is gone. Calls counts what the store received, and with delay, the next write of
// the entry is not answered and is kept in late.
type processLedger struct {
	storer.Ledger
	calls *atomic.Int64
	gone  atomic.Bool
	delay atomic.Bool

	mu   sync.Mutex
	late []storer.Transaction
}

func (p *processLedger) reach(call string) error {
	if p.gone.Load() {
		return &storer.UnknownOutcomeError{Call: call, Err: context.DeadlineExceeded}
	}
	p.calls.Add(1)
	return nil
}

func (p *processLedger) Commit(ctx context.Context, t storer.Transaction) (storer.Revision, error) {
	if err := p.reach("commit"); err != nil {
		return 0, err
	}
	if p.delay.CompareAndSwap(true, false) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.late = append(p.late, t)
		return 0, &storer.UnknownOutcomeError{Call: "commit", Err: context.DeadlineExceeded}
	}
	return p.Ledger.Commit(ctx, t)
}

func (p *processLedger) Grant(ctx context.Context, ttl timer.Millis) (storer.Lease, error) {
	if err := p.reach("grant"); err != nil {
		return 0, err
	}
	return p.Ledger.Grant(ctx, ttl)
}

func (p *processLedger) Renew(ctx context.Context, l storer.Lease) error {
	if err := p.reach("renew"); err != nil {
		return err
	}
	return p.Ledger.Renew(ctx, l)
}

func (p *processLedger) Revoke(ctx context.Context, l storer.Lease) error {
	if err := p.reach("revoke"); err != nil {
		return err
	}
	return p.Ledger.Revoke(ctx, l)
}

// carryOutLate makes the store carry the delayed writes out.
func (p *processLedger) carryOutLate(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	require.NotEmpty(t, p.late, "no write was delayed")
	for _, v := range p.late {
		_, _ = p.Ledger.Commit(context.Background(), v)
	}
	p.late = nil
}

// process is one process of host a.
type process struct {
	member   cataloger.Member
	ledger   *processLedger
	follower *follower.Follower
	enroller *enroller.Enroller
}

// hostFixture is a store and the processes of host a.
type hostFixture struct {
	t      *testing.T
	memory *storer.MemoryLedger
	// store is what the processes reach; it is memory by default.
	store storer.Ledger
	calls atomic.Int64
	// hosts is how many hosts the processes know.
	hosts atomic.Int64
}

func newHostFixture(t *testing.T) *hostFixture {
	m := storer.NewMemoryLedger(timer.System())
	x := &hostFixture{t: t, memory: m, store: m}
	x.hosts.Store(1)
	return x
}

// start starts a process; with delay, its first write of the entry is late.
func (x *hostFixture) start(incarnation, address string, delay bool) *process {
	p := &process{
		member: cataloger.Member{Name: "a", Incarnation: incarnation, Role: cataloger.Bulk, PeerAddress: address},
		ledger: &processLedger{Ledger: x.store, calls: &x.calls},
	}
	p.ledger.delay.Store(delay)
	p.follower = follower.New(follower.Options{Ledger: x.memory, Decoder: memberDecoder{}, Clock: timer.System(), Logger: zap.NewNop()})
	p.enroller = enroller.New(enroller.Options{
		Ledger: p.ledger, Key: entryKey, TTL: ttl, Hosts: func() int { return int(x.hosts.Load()) }, StoreUnavailable: func() bool { return false }, Logger: zap.NewNop(),
	}, p.member)
	p.follower.Notify(p.enroller.Observe)
	return p
}

// kill ends a process whose lease stays.
func (p *process) kill() {
	p.ledger.gone.Store(true)
	p.close()
}

func (p *process) close() {
	p.enroller.Close()
	p.follower.Close()
}

// incarnation returns which process the entry names, or "" if there is none.
func (x *hostFixture) incarnation() string {
	m, ok := entry(x.t, x.memory)
	if !ok {
		return ""
	}
	return m.Incarnation
}

// requireNamed requires that the entry names a process at all times from within on.
func (x *hostFixture) requireNamed(p *process, within, length timer.Millis) {
	x.t.Helper()
	pass(within)
	for range length / 100 {
		require.Equal(x.t, p.member.Incarnation, x.incarnation())
		pass(100)
	}
}

// The store carried a write of a process that had been replaced out late. The entry named
// the process that was gone, ended with its lease, and was never written again.
func TestLateWriteOfReplacedProcessDoesNotHideTheHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newHostFixture(t)
		x.start("1", address, false).kill()
		replaced := x.start("2", address, true)
		pass(50)
		replaced.kill()
		p := x.start("3", address, false)
		defer p.close()
		pass(1000)
		require.Equal(t, "3", x.incarnation())
		replaced.ledger.carryOutLate(t)
		x.requireNamed(p, 0, 20*timer.Second)
	})
}

// As above, but the entry had been removed when the late write was carried out, so that its
// condition held.
func TestEntryIsWrittenAgainAfterLateWriteOfReplacedProcess(t *testing.T) {
	for _, incarnation := range []string{"1", "9"} {
		t.Run("replaced-"+incarnation, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newHostFixture(t)
				replaced := x.start(incarnation, address, true)
				pass(50)
				replaced.kill()
				p := x.start("3", address, false)
				defer p.close()
				pass(1000)
				x.remove()
				replaced.ledger.carryOutLate(t)
				require.Equal(t, incarnation, x.incarnation())
				x.requireNamed(p, noticeBound, 20*timer.Second)
			})
		})
	}
}

func (x *hostFixture) remove() {
	_, err := x.memory.Commit(x.t.Context(), storer.Transaction{Delete: []string{entryKey}})
	require.NoError(x.t, err)
}

func (x *hostFixture) replaceBy(value string) {
	_, err := x.memory.Commit(x.t.Context(), storer.Transaction{Set: []storer.Item{{Key: entryKey, Value: []byte(value)}}})
	require.NoError(x.t, err)
}

// A host renewed its lease and did not notice that its entry was missing or unreadable.
func TestEntryIsWrittenAgainWhateverReplacedIt(t *testing.T) {
	cases := map[string]func(*hostFixture){
		"removed":    (*hostFixture).remove,
		"unreadable": func(x *hostFixture) { x.replaceBy("?") },
		"removed-after-rewrite": func(x *hostFixture) {
			x.remove()
			pass(700)
			x.remove()
		},
		"history-gone": func(x *hostFixture) {
			x.remove()
			x.memory.Compact()
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newHostFixture(t)
				p := x.start("1", address, false)
				defer p.close()
				pass(5000)
				disturb(x)
				x.requireNamed(p, noticeBound, 10*timer.Second)
			})
		})
	}
}

// Guards against an entry that ends with a lease that nobody renews: a write took effect without
// an answer, and the process has requested a longer lease since, for a larger fleet. The same
// entry has to be written once more, under that lease.
func TestEntryUnderAnEarlierLeaseIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newHostFixture(t)
		p := x.start("1", address, true)
		defer p.close()
		pass(50)
		p.ledger.carryOutLate(t)
		x.hosts.Store(100)
		x.requireNamed(p, 0, 20*timer.Second)
	})
}

// A process that has just started finds an entry that cannot be read.
func TestUnreadableEntryIsReplacedAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newHostFixture(t)
		x.replaceBy("?")
		p := x.start("1", address, false)
		defer p.close()
		x.requireNamed(p, noticeBound, 5*timer.Second)
	})
}

// Comparing the entry with what is observed costs no calls of the store.
func TestEntryCostsNoMoreCallsThanRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newHostFixture(t)
		p := x.start("1", address, false)
		defer p.close()
		pass(100)
		require.Equal(t, int64(2), x.calls.Swap(0), "a lease and a write")
		pass(30 * timer.Second)
		require.Equal(t, int64(30*timer.Second/(ttl/2)), x.calls.Swap(0), "two renewals per lease")
	})
}

// maxRenewals is how often a lease is renewed in a time.
func maxRenewals(length timer.Millis) int64 { return int64(length/(ttl/2)) + 1 }

// Two processes of one host, at two addresses, would replace each other's entries in turn.
func TestTwoProcessesOfOneHostDoNotReplaceEachOther(t *testing.T) {
	for _, second := range []string{"2", "0"} {
		t.Run("second-"+second, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newHostFixture(t)
				a := x.start("1", address, false)
				defer a.close()
				pass(2000)
				b := x.start(second, "10.0.0.2:7", false)
				defer b.close()
				pass(5000)
				named := x.incarnation()
				require.Equal(t, max("1", second), named)
				x.calls.Store(0)
				for range 300 {
					require.Equal(t, named, x.incarnation())
					pass(100)
				}
				require.LessOrEqual(t, x.calls.Load(), 2*maxRenewals(30*timer.Second), "more than renewals")
			})
		})
	}
}

// A process leaves the entry to a later process at another address, until that one is gone.
func TestEntryIsTakenBackOnceTheLaterProcessIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newHostFixture(t)
		p := x.start("1", address, false)
		defer p.close()
		pass(2000)
		later := x.start("2", "10.0.0.2:7", false)
		pass(2000)
		require.Equal(t, "2", x.incarnation())
		later.kill()
		x.requireNamed(p, ttl+noticeBound, 10*timer.Second)
	})
}

// Processes are killed and started while one write in three is late by up to lateBound, and
// entries are removed. Whatever the order, the entry names the running process soon after
// the last of it, and costs only renewals from then on.
func TestEntryNamesTheRunningProcessAfterLateWrites(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 3))
				x := newHostFixture(t)
				var calm atomic.Bool
				var mu sync.Mutex
				late := storer.NewLateLedger(x.memory, func(storer.Write) (timer.Millis, bool) {
					mu.Lock()
					defer mu.Unlock()
					return timer.Millis(r.Int64N(int64(lateBound))), !calm.Load() && r.IntN(3) == 0
				})
				x.store = late
				draw := func(n int) int { mu.Lock(); defer mu.Unlock(); return r.IntN(n) }
				p := x.start(fmt.Sprint(draw(100)), address, false)
				defer func() { p.close() }()
				for range 12 {
					pass(timer.Millis(draw(3000)))
					switch draw(4) {
					case 0:
						x.remove()
					case 1:
						m := p.member
						m.Leaving = true
						p.enroller.Set(m)
						fallthrough
					default:
						p.kill()
						p = x.start(fmt.Sprint(draw(100)), address, false)
					}
				}
				calm.Store(true)
				late.Wait()
				x.requireNamed(p, 2*noticeBound, 10*timer.Second)
				m, _ := entry(t, x.memory)
				require.False(t, m.Leaving)
				x.calls.Store(0)
				pass(30 * timer.Second)
				require.LessOrEqual(t, x.calls.Load(), maxRenewals(30*timer.Second), "more than renewals")
			})
		})
	}
}
