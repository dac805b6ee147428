package dispatcher_test

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/dispatcher"
	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/keeper"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/router"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// BenchmarkRoute measures a call that ends as not run because every connection is
// refused, with increasing numbers of backend servers for three models.
func BenchmarkRoute(b *testing.B) {
	for _, servers := range []int{9, 900, 10_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) { benchmarkRoute(b, servers) })
	}
}

func benchmarkRoute(b *testing.B, servers int) {
	r := registrar.Record{Version: 1, Epoch: 1, Servers: map[string]registrar.BackendServer{}}
	r.Members = []registrar.Member{{Name: "h0", Incarnation: "1", PeerAddress: "h0"}}
	for i := range servers {
		n := fmt.Sprintf("m%d", i)
		r.Servers[n] = registrar.BackendServer{Name: n, Address: n, Kind: registrar.KindModel, Models: []string{fmt.Sprintf("m%d", i%3)}, Slots: 4}
	}
	v := &viewer{}
	v.set(func(s *coordinator.Snapshot) {
		*s = coordinator.Snapshot{Self: r.Members[0], PermittedUntil: 1 << 40}.WithRecord(r)
	})
	x := exchanger.New(exchanger.Options{Dial: func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }})
	peer := messenger.NewMemory().Host("h0", messenger.Peer{Name: "h0"})
	ledgers := dispatcher.NewLedgers(v, keeper.DefaultPolicy(), timer.System(), 16)
	c := router.NewChooser(router.DefaultPolicy(), timer.System())
	d, err := dispatcher.New(dispatcher.Options{Chooser: c, Finder: c, Viewer: v, Caller: peer, Registry: peer, Exchanger: x, Slots: ledgers, RetryShare: 1e-9, RetryBurst: 1e-9})
	require.NoError(b, err)
	q := chatRequest("r1", false)
	q.Model = "m1"
	for i := 0; b.Loop(); i++ {
		q.ID = fmt.Sprint(i)
		if _, ok := d.Do(context.Background(), q, &recordedAnswer{}).(requester.NotRun); !ok {
			b.Fatal("the call ran")
		}
	}
}
