package server_test

import (
	"io"
	"net"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/server"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

// BenchmarkPath measures the latency of calls over loopback from concurrent
// callers: through one host with all its components, and directly to the same
// backend server.
func BenchmarkPath(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	var engineTime atomic.Int64
	backendServer := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if d := engineTime.Load(); d > 0 {
			<-time.After(time.Duration(d))
		}
		answerAsEngine(ctx)
	}}
	go func() { _ = backendServer.Serve(l) }()
	b.Cleanup(func() { _ = l.Close() })
	h := newDispatchingHarnessTo(b, func() (net.Conn, error) { return net.Dial("tcp", l.Addr().String()) }, func(o *server.Options) { o.Logger = zap.NewNop() })
	for _, callers := range []int{1, 64, 512} {
		b.Run("direct/callers="+strconv.Itoa(callers), func(b *testing.B) { measureCalls(b, l.Addr().String(), callers) })
		b.Run("path/callers="+strconv.Itoa(callers), func(b *testing.B) { measureCalls(b, h.address, callers) })
	}
	engineTime.Store(int64(20 * time.Millisecond))
	defer engineTime.Store(0)
	for _, callers := range []int{64, 512} {
		b.Run("direct-20ms/callers="+strconv.Itoa(callers), func(b *testing.B) { measureCalls(b, l.Addr().String(), callers) })
		b.Run("path-20ms/callers="+strconv.Itoa(callers), func(b *testing.B) { measureCalls(b, h.address, callers) })
	}
}

// measureCalls makes b.N calls from concurrent callers, each on its own
// connection, and reports percentiles of their latency.
func measureCalls(b *testing.B, address string, callers int) {
	times := make([][]time.Duration, callers)
	var all sync.WaitGroup
	b.ResetTimer()
	for i := range callers {
		n := b.N / callers
		if i < b.N%callers {
			n++
		}
		all.Go(func() { times[i] = makeCalls(b, address, n) })
	}
	all.Wait()
	b.StopTimer()
	sorted := slices.Sorted(slices.Values(slices.Concat(times...)))
	b.ReportMetric(float64(sorted[len(sorted)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(sorted[len(sorted)*99/100].Microseconds()), "p99-µs")
}

// makeCalls makes n calls one after another and returns their latencies.
func makeCalls(b *testing.B, address string, n int) []time.Duration {
	c := &fasthttp.HostClient{Addr: address, MaxConns: 1}
	defer c.CloseIdleConnections()
	var q fasthttp.Request
	var a fasthttp.Response
	q.SetRequestURI("http://" + address + "/v1/chat/completions")
	q.Header.SetMethod("POST")
	q.Header.Set("Authorization", "Bearer "+testKey)
	q.SetBodyString(chatBody)
	out := make([]time.Duration, 0, n)
	for range n {
		began := time.Now()
		if err := c.Do(&q, &a); err != nil || a.StatusCode() != 200 {
			b.Errorf("call failed: %v, status %d: %s", err, a.StatusCode(), a.Body())
			return out
		}
		out = append(out, time.Since(began))
	}
	return out
}

// BenchmarkIdleStreams measures the memory of an idle open stream, through a
// host and directly to the backend server. Both figures include the caller's
// and the backend server's ends of the connections.
func BenchmarkIdleStreams(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	go serveIdleStreams(l)
	dial := func() (net.Conn, error) { return net.Dial("tcp", l.Addr().String()) }
	h := newDispatchingHarnessTo(b, dial, func(o *server.Options) { o.Logger = zap.NewNop() })
	b.Run("direct", func(b *testing.B) { openIdleStreams(b, l.Addr().String()) })
	b.Run("path", func(b *testing.B) { openIdleStreams(b, h.address) })
}

// serveIdleStreams sends one event on each connection and then keeps it open.
func serveIdleStreams(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			b := make([]byte, 1024)
			_, _ = c.Read(b)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n13\r\ndata: {\"id\":\"x1\"}\n\n\r\n")
			_, _ = c.Read(b)
		}()
	}
}

// idleStreams is the number of concurrently open streams.
const idleStreams = 1000

// openIdleStreams opens idleStreams streams at address and reports the memory
// of each.
func openIdleStreams(b *testing.B, address string) {
	request := "POST /v1/chat/completions HTTP/1.1\r\nHost: host\r\nAuthorization: Bearer " + testKey +
		"\r\nContent-Length: " + strconv.Itoa(len(streamBody)) + "\r\n\r\n" + streamBody
	for b.Loop() {
		before := memoryInUse()
		conns := make([]net.Conn, idleStreams)
		for i := range conns {
			c, err := net.Dial("tcp", address)
			require.NoError(b, err)
			conns[i] = c
			_, err = io.WriteString(c, request)
			require.NoError(b, err)
			readUntil(b, c, "x1")
		}
		b.ReportMetric(float64(memoryInUse()-before)/idleStreams, "B/stream")
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// readUntil reads from c until the text read contains mark.
func readUntil(b *testing.B, c net.Conn, mark string) {
	buffer, got := make([]byte, 512), ""
	for !strings.Contains(got, mark) {
		n, err := c.Read(buffer)
		require.NoError(b, err, got)
		got += string(buffer[:n])
	}
}

// memoryInUse returns the bytes of heap and stacks in use after garbage
// collection.
func memoryInUse() int64 {
	// Each collection halves the size of stacks that are mostly unused.
	for range 6 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
