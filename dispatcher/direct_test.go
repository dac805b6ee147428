package dispatcher_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/stretchr/testify/require"
)

func TestOnlineCallDoesNotWaitForTheHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, "m1")
		f.engine("m1", func(_ int, c net.Conn) { serveAnswer(c, "{}") })
		h := f.hosts["h0"]
		h.viewer.set(func(s *coordinator.Snapshot) { s.OwnsFrom = f.clock.Now() + 1500 })
		began := time.Now()
		require.IsType(t, requester.Answered{}, h.Do(context.Background(), nonRepeatableRequest(), &recordedAnswer{}))
		require.Zero(t, time.Since(began))
	})
}

func TestOnlineCallBypassesUnreachableKeeperHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, "m1")
		f.engine("m1", func(_ int, c net.Conn) { serveAnswer(c, "{}") })
		owner, other := f.owner("m1")
		f.network.Cut(other.name, owner.name, true)
		require.IsType(t, requester.Answered{}, other.Do(context.Background(), nonRepeatableRequest(), &recordedAnswer{}))
	})
}

func TestFallbackCallsNeedPermission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, "m1")
		f.engine("m1", func(_ int, c net.Conn) { serveAnswer(c, "{}") })
		owner, other := f.owner("m1")
		f.network.Cut(other.name, owner.name, true)
		other.viewer.set(func(s *coordinator.Snapshot) { s.PermittedUntil = 0 })
		require.IsType(t, requester.NotRun{}, other.Do(context.Background(), nonRepeatableRequest(), &recordedAnswer{}))
	})
}

func TestDirectCallsAreLimitedToHostsShareOfSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, "m1")
		var mu sync.Mutex
		running, most := 0, 0
		f.engine("m1", func(_ int, c net.Conn) {
			mu.Lock()
			running++
			most = max(most, running)
			mu.Unlock()
			<-time.After(100 * time.Millisecond)
			mu.Lock()
			running--
			mu.Unlock()
			serveAnswer(c, "{}")
		})
		owner, other := f.owner("m1")
		other.viewer.set(func(s *coordinator.Snapshot) {
			b := s.Record.Servers["m1"]
			b.Slots = 4
			s.Record.Servers = map[string]registrar.BackendServer{"m1": b}
		})
		f.network.Cut(other.name, owner.name, true)
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() { other.Do(context.Background(), nonRepeatableRequest(), &recordedAnswer{}) })
		}
		wg.Wait()
		require.Equal(t, 2, most)
	})
}
