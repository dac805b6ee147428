package messenger_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/stretchr/testify/require"
)

// Peers send messages that are too long for the memory of a host, many at once. Their calls
// fail, the memory that messages take stays bounded, and short calls are answered.
func TestMessagesStayWithinTheMemoryOfTheHost(t *testing.T) {
	const most = 4 << 20
	memory := holder.New(most)
	h := messenger.New(messenger.Options{Self: messenger.Peer{Name: "b", Incarnation: "1"}, Memory: memory})
	h.Handle("test/length", func(_ context.Context, _ messenger.Peer, body []byte, send func([]byte) error) error {
		return send([]byte{byte(len(body) >> 20)})
	})
	address := serve(t, h)
	length := func(from *messenger.Host, n int) (got int, err error) {
		err = from.Call(t.Context(), address, "test/length", make([]byte, n), func(f []byte) error {
			got = int(f[0])
			return nil
		})
		return got, err
	}
	var peers []*messenger.Host
	for i := range 12 {
		p := messenger.New(messenger.Options{Self: messenger.Peer{Name: string(rune('c' + i)), Incarnation: "1"}})
		t.Cleanup(func() { require.NoError(t, p.Close()) })
		peers = append(peers, p)
	}
	got, err := length(peers[0], 1<<20)
	require.NoError(t, err)
	require.Equal(t, 1, got)

	var calls sync.WaitGroup
	for _, p := range peers[1:] {
		calls.Go(func() {
			if _, err := length(p, 8<<20); err == nil {
				t.Error("a message of twice the memory was received")
			}
		})
	}
	require.LessOrEqual(t, harness.MostInUse(&calls, memory.InUse), int64(most))
	got, err = length(peers[0], 10)
	require.NoError(t, err)
	require.Zero(t, got)
	require.Eventually(t, func() bool { return memory.InUse() == 0 }, time.Second, time.Millisecond)
}
