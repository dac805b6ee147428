package throttler_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// limited returns a Throttler of one of these hosts, with limits of these servers.
func limited(servers, hosts int) (*throttler.Throttler, *harness.Clock, []cataloger.Incarnation) {
	h, c := newThrottler()
	var list []cataloger.Incarnation
	for i := range servers {
		v := cataloger.Incarnation{ID: fmt.Sprintf("i-%010d", i), StartedAt: 1773082077952}
		h.Heard(v, 0, []string{"2.5"}, true)
		list = append(list, v)
	}
	var peers []rationer.Peer
	for i := range hosts - 1 {
		peers = append(peers, rationer.Peer{Name: fmt.Sprint("host-", i), LastReceived: c.Time + 1000*timer.Second})
	}
	h.SetHosts(peers, rationer.Order{Index: 7, Hosts: hosts})
	return h, c, list
}

func TestNoticeOfALimitIsSmall(t *testing.T) {
	h, _, _ := limited(100, 70)
	b, err := cbor.Marshal(h.Known())
	require.NoError(t, err)
	require.LessOrEqual(t, len(b)/100, 64)
}

func BenchmarkRoom(b *testing.B) {
	for _, n := range []int{0, 70, 10000} {
		b.Run(fmt.Sprint(n, " limits"), func(b *testing.B) {
			h, c, list := limited(max(n, 64), max(n/3, 12))
			if n == 0 {
				h.Retain(func(cataloger.Incarnation) bool { return false })
			}
			i := 0
			for b.Loop() {
				if i++; i%64 == 0 {
					c.Time++
				}
				h.Room(list[i%64], throttler.Online{})
			}
		})
	}
}

func BenchmarkNotices(b *testing.B) {
	for _, n := range []int{70, 10000} {
		b.Run(fmt.Sprint(n, " limits"), func(b *testing.B) {
			h, c, list := limited(n, max(n/3, 12))
			c.Time += 20000
			for i := range 20 {
				h.Take(list[i], throttler.Batch{})
			}
			for b.Loop() {
				h.Notices()
			}
		})
	}
}

// The state of a limit is bounded, whatever hosts report.
func TestStateOfALimitIsSmall(t *testing.T) {
	const limits = 10000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	h, _, list := limited(limits, 100)
	for _, v := range list {
		for i := range 4 {
			h.Merge(fmt.Sprint("host-", i), "1", []throttler.Notice{{ID: v.ID, Born: v.StartedAt, Rate: 2.5, Version: 1, Taken: 3, Recent: 1, Turn: 9}})
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	perLimit := int(after.HeapAlloc-before.HeapAlloc) / limits
	t.Logf("%d bytes for each limit", perLimit)
	require.LessOrEqual(t, perLimit, 2048)
	require.Equal(t, limits, h.InForce())
}

// Thousands of hosts send requests to one server over time. The counts of those that send
// nothing any more are dropped.
func TestCountsOfAServerAreBounded(t *testing.T) {
	h, c, list := limited(1, 3600)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 360000 {
		if i%10 == 0 {
			c.Time += 100
		}
		h.Merge(fmt.Sprint("host-", i), "1", []throttler.Notice{{ID: list[0].ID, Born: list[0].StartedAt, Rate: 2.5, Version: 1, Taken: 1, Recent: 1, Turn: uint64(i)}})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(1<<20))
	require.True(t, h.Room(list[0], throttler.Online{}).Limited)
}
