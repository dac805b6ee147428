package dispatcher_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/dispatcher"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/suspector"
)

// Two calls that were in flight when a server crashed must not run on one server at the same
// time, and both are cleared when they are answered. Fallback calls, for a server without a
// keeper host, ran together.
func TestSuspectsDoNotRunTogether(t *testing.T) {
	t.Run("at the keeper host", func(t *testing.T) { testSuspects(t, func(*fleet, *coordinator.Snapshot) {}) })
	t.Run("without one", func(t *testing.T) {
		testSuspects(t, func(f *fleet, s *coordinator.Snapshot) { s.OwnsFrom = f.clock.Now() + 60000 })
	})
}

// testSuspects runs two suspects at a host whose snapshot is changed.
func testSuspects(t *testing.T, change func(f *fleet, s *coordinator.Snapshot)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, "m1")
		var running, most atomic.Int32
		f.engine("m1", func(_ int, c net.Conn) {
			most.Store(max(most.Load(), running.Add(1)))
			time.Sleep(50 * time.Millisecond)
			running.Add(-1)
			serveAnswer(c, "{}")
		})
		h := f.hosts["h0"]
		h.viewer.set(func(s *coordinator.Snapshot) { change(f, s) })
		peer := f.network.Host("separate", messenger.Peer{Name: "h0", Incarnation: "1"})
		s := suspector.New(coordinator.Hosts{Viewer: h.viewer}, peer, peer, f.clock, zap.NewNop(), noop.Meter{})
		defer s.Close()
		d, err := dispatcher.New(dispatcher.Options{
			Viewer: h.viewer, Caller: peer, Registry: peer, Exchanger: h.exchanger, Slots: h.slots,
			Suspects: s, Clock: f.clock, Logger: zap.NewNop(), BackoffBase: 20, BackoffMax: 50,
		})
		require.NoError(t, err)
		defer d.Close()

		s.RecordCrash("m0", []suspector.Call{{Fingerprint: 1}, {Fingerprint: 2}})
		ended := make(chan requester.Outcome, 2)
		for n := uint64(1); n <= 2; n++ {
			r := chatRequest("r", false)
			r.Fingerprint = n
			go func() { ended <- d.Do(context.Background(), r, &recordedAnswer{}) }()
		}
		for range 2 {
			o := <-ended
			require.IsType(t, requester.Answered{}, o, "%+v", o)
		}
		require.Equal(t, int32(1), most.Load())
		require.Equal(t, suspector.Clear{}, s.Verdict(1))
		require.Equal(t, suspector.Clear{}, s.Verdict(2))
	})
}
