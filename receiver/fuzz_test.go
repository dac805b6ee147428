package receiver_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/authenticator"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/guardian"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/receiver"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"go.uber.org/zap"
)

type viewer struct{}

func (viewer) View() coordinator.Snapshot { return coordinator.Snapshot{} }

// FuzzRequest sends the bytes of a connection that ends early. A body that has not arrived
// whole, as net/http reads it, or is over the limit may not be passed on.
func FuzzRequest(f *testing.F) {
	const limit = 1000
	keys := authenticator.New(viewer{})
	g := guardian.New(guardian.Options{Viewer: viewer{}, Keys: keys, Clock: timer.System(), Logger: zap.NewNop(), WriteTimeout: 1000})
	r := receiver.New(receiver.Options{Viewer: viewer{}, Keys: keys, Guardian: g, Clock: timer.System(), MaxBody: limit, MaxHeader: 4096, Memory: holder.New(64 << 10)})
	passed := make(chan []byte, 64)
	s := &fasthttp.Server{
		StreamRequestBody: true, MaxRequestBodySize: limit, ReadTimeout: time.Second, SecureErrorLogMessage: true, Logger: silent{},
		Handler: func(ctx *fasthttp.RequestCtx) {
			if body, ok := r.Body(ctx, nil, limit); ok {
				passed <- bytes.Clone(body)
			}
		},
	}
	l := fasthttputil.NewInmemoryListener()
	go func() { _ = s.Serve(l) }()
	f.Cleanup(func() {
		_ = l.Close()
		g.Close()
	})
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		c, err := l.Dial()
		require.NoError(t, err)
		send(c, sent)
		first := true
		for done := false; !done; {
			select {
			case body := <-passed:
				require.LessOrEqual(t, len(body), limit)
				if first {
					requireWhole(t, sent, body)
				}
				first = false
			default:
				done = true
			}
		}
	})
}

// send writes the bytes, ends the connection for writing and reads until the server closes it.
func send(c net.Conn, sent []byte) {
	go func() {
		_, _ = c.Write(sent)
		if h, ok := c.(interface{ CloseWrite() error }); ok {
			_ = h.CloseWrite()
		} else {
			_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		}
	}()
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

// requireWhole requires that the first request of sent, if net/http can read it, has this body.
func requireWhole(t *testing.T, sent, body []byte) {
	q, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(sent)))
	if err != nil {
		return
	}
	want, err := io.ReadAll(q.Body)
	require.NoError(t, err, "a body was passed on that did not arrive whole")
	require.Equal(t, string(want), string(body))
}

type silent struct{}

func (silent) Printf(string, ...any) {}
