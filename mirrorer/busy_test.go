package mirrorer_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// proposers propose entries at a host, five at a time, so that some are always under way.
type proposers struct {
	running sync.WaitGroup

	mu sync.Mutex
	// acknowledged are the entries that were committed.
	acknowledged []string
}

// propose runs until ctx ends. Each entry must be committed, or refused because the host is
// not the owner.
func (p *proposers) propose(ctx context.Context, t *testing.T, h *host) {
	for i := range timer.Millis(5) {
		p.running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				text := fmt.Sprint(i, "-", n)
				err := propose(h, text)
				var refused *mirrorer.NotOwnerError
				switch {
				case err == nil:
					p.mu.Lock()
					p.acknowledged = append(p.acknowledged, text)
					p.mu.Unlock()
				case !errors.As(err, &refused):
					t.Errorf("%s: %v", text, err)
				}
				sleep(1 + i)
			}
		})
	}
}

func (p *proposers) committed() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.acknowledged)
}

// startBusy proposes at the owner of f until the returned function is called.
func startBusy(t *testing.T, owner *host) (*proposers, func()) {
	ctx, cancel := context.WithCancel(t.Context())
	p := &proposers{}
	p.propose(ctx, t, owner)
	sleep(300)
	return p, func() {
		cancel()
		p.running.Wait()
	}
}

// The owner of a group whose jobs are busy never handed it over: at no moment did the other
// disks have the entire log. Proposals that are under way are committed first.
func TestBusyGroupIsHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		owner := f.awaitOwner(5000)
		sleep(6000)
		_, stop := startBusy(t, owner)
		defer stop()
		f.setLeaving(owner)
		sleep(5000)
		require.NotSame(t, owner, f.awaitOwner(1000))
	})
}

// startWithLostDisk returns a busy group, one of whose holders comes back with an empty disk.
func startWithLostDisk(t *testing.T) (f *fleet, lost *host, p *proposers, stop func()) {
	f = newFleet(t, 3)
	owner := f.awaitOwner(5000)
	sleep(6000)
	lost = f.hosts[2]
	require.NotSame(t, owner, lost)
	f.kill(lost)
	f.wipe(lost)
	sleep(6000)
	require.Same(t, owner, f.owner())
	p, stop = startBusy(t, owner)
	f.start(lost)
	return f, lost, p, stop
}

// A disk that was lost was never replaced while a group was busy, for the same reason.
func TestLostDiskOfABusyGroupIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, lost, _, stop := startWithLostDisk(t)
		defer stop()
		sleep(5000)
		f.requireHolder(lost)
	})
}

// A disk that was almost up to date was named while entries that it lacked had been committed
// without it. It could have taken over without them.
func TestDiskIsNamedOnlyOnceItHasAllThatIsCommitted(t *testing.T) {
	for i := range 10 {
		t.Run(fmt.Sprint(i), func(t *testing.T) { synctest.Test(t, requireNamedWithAllEntries) })
	}
}

func requireNamedWithAllEntries(t *testing.T) {
	f, lost, p, stop := startWithLostDisk(t)
	defer stop()
	for until := f.clock.Now() + 5000; f.clock.Now() < until; sleep(1) {
		if g, ok := f.manifest(f.ledger); ok && g.Holds(lost.disk) {
			f.requireOnAllHolders(p.committed()...)
			return
		}
	}
	require.Fail(t, "the disk was not named")
}
