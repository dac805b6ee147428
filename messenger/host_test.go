package messenger_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

const (
	fastPing timer.Millis = 20
	fastIdle timer.Millis = 200
)

// startHost serves a host with short timeouts and the given handlers.
func startHost(t *testing.T, name string, handlers map[messenger.Method]messenger.Handler) (*messenger.Host, string) {
	t.Helper()
	h := messenger.New(messenger.Options{
		Self:         messenger.Peer{Name: name, Incarnation: "1"},
		PingInterval: fastPing,
		IdleTimeout:  fastIdle,
		Window:       4,
	})
	for m, f := range handlers {
		h.Handle(m, f)
	}
	return h, serve(t, h)
}

// serve serves h on a free loopback port until the test ends, and returns its address.
func serve(t *testing.T, h *messenger.Host) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- h.Serve(l) }()
	t.Cleanup(func() {
		require.NoError(t, h.Close())
		require.NoError(t, <-served)
	})
	return l.Addr().String()
}

func stream(n int) messenger.Handler {
	return func(_ context.Context, from messenger.Peer, body []byte, send func([]byte) error) error {
		for i := range n {
			if err := send(append([]byte(from.Name), append(body, byte(i))...)); err != nil {
				return err
			}
		}
		return nil
	}
}

func TestCallStreamsEveryFrameInOrder(t *testing.T) {
	_, address := startHost(t, "b", map[messenger.Method]messenger.Handler{"test/stream": stream(100)})
	a, _ := startHost(t, "a", nil)
	var got []byte
	err := a.Call(t.Context(), address, "test/stream", []byte("x"), func(f []byte) error {
		require.Equal(t, "ax", string(f[:2]))
		got = append(got, f[2])
		return nil
	})
	require.NoError(t, err)
	require.Len(t, got, 100)
	for i, b := range got {
		require.Equal(t, byte(i), b)
	}
}

func TestCallReturnsTheHandlersError(t *testing.T) {
	_, address := startHost(t, "b", map[messenger.Method]messenger.Handler{
		"test/coded": func(context.Context, messenger.Peer, []byte, func([]byte) error) error {
			return &messenger.RemoteError{Code: "not-owner", Message: "m"}
		},
		"test/plain": func(context.Context, messenger.Peer, []byte, func([]byte) error) error {
			return io.ErrUnexpectedEOF
		},
	})
	a, _ := startHost(t, "a", nil)
	for method, code := range map[messenger.Method]string{
		"test/coded": "not-owner", "test/plain": "internal", "test/absent": "unknown-method",
	} {
		var r *messenger.RemoteError
		require.ErrorAs(t, a.Call(t.Context(), address, method, nil, nil), &r)
		require.Equal(t, code, r.Code)
	}
}

func TestSlowStreamDoesNotBlockOtherCalls(t *testing.T) {
	_, address := startHost(t, "b", map[messenger.Method]messenger.Handler{"test/stream": stream(100)})
	a, _ := startHost(t, "a", nil)
	held, release := make(chan struct{}), make(chan struct{})
	slow := make(chan error, 1)
	go func() {
		var once sync.Once
		slow <- a.Call(t.Context(), address, "test/stream", nil, func([]byte) error {
			once.Do(func() { close(held) })
			<-release
			return nil
		})
	}()
	<-held
	require.NoError(t, a.Call(t.Context(), address, "test/stream", nil, nil))
	close(release)
	require.NoError(t, <-slow)
}

func TestCancelReachesTheHandler(t *testing.T) {
	started, ended := make(chan struct{}), make(chan error, 1)
	_, address := startHost(t, "b", map[messenger.Method]messenger.Handler{
		"test/wait": func(ctx context.Context, _ messenger.Peer, _ []byte, _ func([]byte) error) error {
			close(started)
			<-ctx.Done()
			ended <- ctx.Err()
			return ctx.Err()
		},
	})
	a, _ := startHost(t, "a", nil)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	require.ErrorIs(t, a.Call(ctx, address, "test/wait", nil, nil), context.Canceled)
	require.ErrorIs(t, <-ended, context.Canceled)
}

func TestCallToAddressWithoutListenerIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	a, _ := startHost(t, "a", nil)
	var n *messenger.NotSentError
	require.ErrorAs(t, a.Call(t.Context(), address, "test/any", nil, nil), &n)
}

// relay forwards TCP. It can permanently silence its existing connections while
// new ones work.
type relay struct {
	listener net.Listener
	target   string
	silenced atomic.Pointer[chan struct{}]
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{listener: l, target: target}
	r.reset()
	go r.serve()
	t.Cleanup(func() { _ = l.Close() })
	return r
}

func (r *relay) reset() {
	c := make(chan struct{})
	r.silenced.Store(&c)
}

// silence stops forwarding on all existing connections without closing them.
func (r *relay) silence() {
	old := r.silenced.Load()
	r.reset()
	close(*old)
}

func (r *relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		silent := *r.silenced.Load()
		go forward(in, out, silent)
		go forward(out, in, silent)
	}
}

func forward(to io.Writer, from io.Reader, silent <-chan struct{}) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		select {
		case <-silent:
			continue
		default:
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func TestSilentConnectionFailsItsCallsAndIsReplaced(t *testing.T) {
	entered := make(chan struct{}, 1)
	_, address := startHost(t, "b", map[messenger.Method]messenger.Handler{
		"test/wait": func(ctx context.Context, _ messenger.Peer, _ []byte, _ func([]byte) error) error {
			entered <- struct{}{}
			<-ctx.Done()
			return ctx.Err()
		},
		"test/stream": stream(1),
	})
	r := startRelay(t, address)
	a, _ := startHost(t, "a", nil)
	lost := make(chan error, 1)
	go func() { lost <- a.Call(t.Context(), r.listener.Addr().String(), "test/wait", nil, nil) }()
	<-entered
	r.silence()
	var l *messenger.LostError
	require.ErrorAs(t, <-lost, &l)
	require.NoError(t, a.Call(t.Context(), r.listener.Addr().String(), "test/stream", nil, nil))
}

// Guards against calls that failed as not sent although the peer was reachable: both
// attempts found the connection that had just ended, which was still listed.
func TestCallsMadeAsTheConnectionEndsUseANewOne(t *testing.T) {
	const callers, rounds = 200, 5
	var waiting sync.WaitGroup
	_, address := startHost(t, "b", map[messenger.Method]messenger.Handler{
		"test/wait": func(ctx context.Context, _ messenger.Peer, _ []byte, _ func([]byte) error) error {
			waiting.Done()
			<-ctx.Done()
			return ctx.Err()
		},
		"test/stream": stream(1),
	})
	r := startRelay(t, address)
	a, _ := startHost(t, "a", nil)
	// Other users of the host delay the removal of a connection that has ended.
	ctx, cancel := context.WithCancel(t.Context())
	var users sync.WaitGroup
	for range 16 {
		users.Go(func() {
			for ctx.Err() == nil {
				a.Handle("test/other", stream(1))
			}
		})
	}
	defer users.Wait()
	defer cancel()
	for range rounds {
		results := make(chan error, callers)
		waiting.Add(callers)
		for range callers {
			go func() {
				var l *messenger.LostError
				err := a.Call(t.Context(), r.listener.Addr().String(), "test/wait", nil, nil)
				if errors.As(err, &l) {
					err = a.Call(t.Context(), r.listener.Addr().String(), "test/stream", nil, nil)
				}
				results <- err
			}()
		}
		waiting.Wait()
		r.silence()
		for range callers {
			require.NoError(t, <-results)
		}
	}
}

func TestMemoryNetworkStreamsAndReportsErrors(t *testing.T) {
	m := messenger.NewMemory()
	b := m.Host("b:1", messenger.Peer{Name: "b"})
	b.Handle("test/stream", stream(3))
	a := m.Host("a:1", messenger.Peer{Name: "a"})
	frames := 0
	require.NoError(t, a.Call(t.Context(), "b:1", "test/stream", nil, func([]byte) error { frames++; return nil }))
	require.Equal(t, 3, frames)
	stop := errors.New("stop")
	require.ErrorIs(t, a.Call(t.Context(), "b:1", "test/stream", nil, func([]byte) error { return stop }), stop)
	m.Cut("a:1", "b:1", true)
	var n *messenger.NotSentError
	require.ErrorAs(t, a.Call(t.Context(), "b:1", "test/stream", nil, nil), &n)
}

// Guards against a deadlock: the sweep of unused connections held the lock that the
// end of a connection acquires too, and no call could be made after that.
func TestHostCanCallAfterItsConnectionWasUnused(t *testing.T) {
	const keep timer.Millis = 30
	_, address := startHost(t, "b", map[messenger.Method]messenger.Handler{"test/stream": stream(1)})
	a := messenger.New(messenger.Options{Self: messenger.Peer{Name: "a", Incarnation: "1"}, KeepUnused: keep})
	for range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), (5 * timer.Second).Duration())
		require.NoError(t, a.Call(ctx, address, "test/stream", nil, nil))
		cancel()
		timer.Sleep(t.Context(), 5*keep)
	}
	require.NoError(t, a.Close())
}

// A panic in one handler once ended the process, and with it all calls of all
// peers.
func TestHandlerThatPanicsFailsItsOwnCallOnly(t *testing.T) {
	_, address := startHost(t, "b", map[messenger.Method]messenger.Handler{
		"test/stream": stream(3),
		"test/panic":  func(context.Context, messenger.Peer, []byte, func([]byte) error) error { panic("odd") },
	})
	a, _ := startHost(t, "a", nil)
	var remote *messenger.RemoteError
	require.ErrorAs(t, a.Call(t.Context(), address, "test/panic", nil, nil), &remote)
	require.NoError(t, a.Call(t.Context(), address, "test/stream", nil, nil))
}

// Under load, a host was once closed before its goroutine had called Serve, which then
// served for ever.
func TestServeAfterCloseReturns(t *testing.T) {
	for range 200 {
		h := messenger.New(messenger.Options{Self: messenger.Peer{Name: "a", Incarnation: "1"}})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		served := make(chan error, 1)
		go func() { served <- h.Serve(l) }()
		require.NoError(t, h.Close())
		select {
		case err := <-served:
			require.NoError(t, err)
		case <-time.After(10 * time.Second):
			require.Fail(t, "Serve did not return after Close")
		}
		_, err = net.DialTimeout("tcp", l.Addr().String(), time.Second)
		require.Error(t, err)
	}
}
