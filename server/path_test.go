package server_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/dispatcher"
	"github.com/jackdawgate/jackdawgate/exchanger"
	"github.com/jackdawgate/jackdawgate/keeper"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/server"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// backend is a fake backend server that records all the bytes that it receives.
type backend struct {
	listener *fasthttputil.InmemoryListener
	received lockedBuffer
}

// recordingConn records the bytes that are read from it.
type recordingConn struct {
	net.Conn
	to *lockedBuffer
}

func (c recordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	_, _ = c.to.Write(p[:n])
	return n, err
}

// recordingListener records the bytes of all connections that it accepts.
type recordingListener struct{ *backend }

func (l recordingListener) Accept() (net.Conn, error) {
	c, err := l.listener.Accept()
	return recordingConn{c, &l.received}, err
}

func (l recordingListener) Close() error   { return l.listener.Close() }
func (l recordingListener) Addr() net.Addr { return l.listener.Addr() }

func newBackend(t *testing.T) *backend {
	b := &backend{listener: fasthttputil.NewInmemoryListener()}
	s := &fasthttp.Server{Handler: answerAsEngine}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(recordingListener{b})
	}()
	t.Cleanup(func() {
		_ = b.listener.Close()
		<-done
	})
	return b
}

var words = []string{"Ask", " at", " the", " fountain"}

// answerAsEngine responds to model calls as an engine does and echoes plain
// calls.
func answerAsEngine(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json")
	switch string(ctx.Path()) {
	case "/v1/chat/completions":
		if strings.Contains(string(ctx.PostBody()), `"stream":true`) {
			ctx.SetContentType("text/event-stream")
			ctx.SetBodyStreamWriter(streamWords)
			return
		}
		_, _ = fmt.Fprintf(ctx, `{"id":"c1","object":"chat.completion","model":"m","choices":[{"index":0,"finish_reason":"stop","message":{"role":"assistant","content":%q}}],"usage":{"prompt_tokens":2,"completion_tokens":4,"total_tokens":6}}`, strings.Join(words, ""))
	case "/v1/embeddings":
		_, _ = fmt.Fprint(ctx, `{"object":"list","model":"m","data":[{"object":"embedding","index":0,"embedding":[0.5,0.25]}],"usage":{"prompt_tokens":2,"total_tokens":2}}`)
	default:
		ctx.SetBody(ctx.PostBody())
	}
}

// streamWords sends a chat completion as a stream with one word in each event.
func streamWords(w *bufio.Writer) {
	for _, word := range words {
		_, _ = fmt.Fprintf(w, "data: {\"id\":\"c1\",\"object\":\"chat.completion.chunk\",\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", word)
		_ = w.Flush()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// newDispatchingHarness returns a harness whose Doer is a Dispatcher, with
// one fake backend server at all addresses.
func newDispatchingHarness(t *testing.T, change func(*server.Options)) (*harness, *backend) {
	b := newBackend(t)
	return newDispatchingHarnessTo(t, b.listener.Dial, change), b
}

// newDispatchingHarnessTo returns a harness on loopback whose Doer is a
// Dispatcher that connects to backend servers by dial.
func newDispatchingHarnessTo(t testing.TB, dial func() (net.Conn, error), change func(*server.Options)) *harness {
	doer := &deferredDoer{}
	h := newLoopbackHarness(t, doer, change)
	x := exchanger.New(exchanger.Options{Dial: func(context.Context, string) (net.Conn, error) { return dial() }})
	peer := messenger.NewMemory().Host("h0", messenger.Peer{Name: "h0"})
	// With this host as the only member, it is the keeper host of all backend
	// servers.
	h.viewer.set(func(s *coordinator.Snapshot) {
		r := s.Record
		r.Members = r.Members[:1]
		for name, b := range r.Servers {
			b.Slots = 1024
			r.Servers[name] = b
		}
		*s = s.WithRecord(r)
	})
	ledgers := dispatcher.NewLedgers(h.viewer, keeper.DefaultPolicy(), timer.System(), 16)
	d, err := dispatcher.New(dispatcher.Options{
		Viewer: h.viewer, Caller: peer, Registry: peer, Exchanger: x, Slots: ledgers, Logger: h.logger,
	})
	require.NoError(t, err)
	doer.set(d)
	t.Cleanup(func() {
		d.Close()
		x.Close()
		ledgers.Close()
	})
	return h
}

// deferredDoer is a Doer that is set after its Server has been created, since
// the Dispatcher needs the server's viewer and logger.
type deferredDoer struct {
	once sync.Once
	doerFunc
}

func (l *deferredDoer) set(d *dispatcher.Dispatcher) { l.once.Do(func() { l.doerFunc = d.Do }) }

// TestNothingOfAKeyPassesOn checks that keys reach no backend server, log or
// response body, wherever in a request they are sent.
func TestNothingOfAKeyPassesOn(t *testing.T) {
	h, b := newDispatchingHarness(t, nil)
	escaped := strings.ReplaceAll(testKey, "-", `\u002d`)
	twice, err := json.Marshal(`{"key":"` + escaped + `"}`)
	require.NoError(t, err)
	for name, c := range map[string]struct {
		path, body string
		header     [2]string
		status     int
	}{
		"in its place":          {"/v1/chat/completions", chatBody, [2]string{}, 200},
		"other header":          {"/dockets/1", "x", [2]string{"X-Other-Key", testKey}, 200},
		"cookie":                {"/dockets/1", "x", [2]string{"Cookie", "k=" + testKey}, 200},
		"header of other case":  {"/dockets/1", "x", [2]string{"aUTHORIZATION-cOPY", "Bearer " + testKey}, 200},
		"forwarded header":      {"/dockets/1", "x", [2]string{"Traceparent", "00-" + testKey}, 400},
		"path":                  {"/dockets/" + testKey, "x", [2]string{}, 400},
		"escaped path":          {"/dockets/" + strings.Replace(testKey, "k", "%6B", 1), "x", [2]string{}, 400},
		"query":                 {"/dockets/1?key=" + testKey, "x", [2]string{}, 400},
		"twice escaped query":   {"/dockets/1?key=" + strings.Replace(testKey, "k", "%256B", 1), "x", [2]string{}, 400},
		"query of a model call": {"/v1/chat/completions?api_key=" + testKey, chatBody, [2]string{}, 400},
		"body":                  {"/v1/chat/completions", strings.Replace(chatBody, "hi", testKey, 1), [2]string{}, 400},
		"escaped body":          {"/v1/chat/completions", strings.Replace(chatBody, "hi", escaped, 1), [2]string{}, 400},
		"JSON in JSON":          {"/dockets/1", string(twice), [2]string{}, 400},
		"another's key":         {"/dockets/1", "x " + otherKey + " y", [2]string{}, 400},
		"another's, escaped":    {"/dockets/1", strings.ReplaceAll(otherKey, "-", `\u002d`), [2]string{}, 400},
		"another's, in a query": {"/dockets/1?key=" + otherKey, "x", [2]string{}, 400},
		"form":                  {"/dockets/1", "a=" + strings.ReplaceAll(testKey, "-", "%2D"), [2]string{}, 400},
	} {
		t.Run(name, func(t *testing.T) {
			r := h.request("POST", c.path, c.body)
			if c.header[0] != "" {
				r.Header[c.header[0]] = []string{c.header[1]}
			}
			a := h.do(r)
			require.Equal(t, c.status, a.status, a.body)
			if c.status == 400 {
				require.Equal(t, "key-in-request", a.code)
				require.Equal(t, "true", a.header.Get("jackdawgate-not-run"))
			}
			require.NotContains(t, a.body, testKey)
		})
	}
	require.NotContains(t, b.received.String(), otherKey)
	require.Contains(t, b.received.String(), "/v1/chat/completions", "the backend server got the good ones")
	for _, seen := range []string{b.received.String(), h.logs.String()} {
		seen = strings.ToLower(seen)
		require.NotContains(t, seen, strings.ToLower(testKey))
		require.NotContains(t, seen, "0123456789abcdef")
		require.NotContains(t, seen, "bearer")
	}
}

func TestTraceContextIsForwarded(t *testing.T) {
	h, b := newDispatchingHarness(t, nil)
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	r := h.request("POST", "/v1/chat/completions", chatBody)
	r.Header.Set("traceparent", parent)
	r.Header.Set("tracestate", "a=1")
	require.Equal(t, 200, h.do(r).status)
	require.Contains(t, strings.ToLower(b.received.String()), "traceparent: "+parent)
	require.Contains(t, strings.ToLower(b.received.String()), "tracestate: a=1")
}
