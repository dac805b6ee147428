package server_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/server"
	"github.com/stretchr/testify/require"
)

const streamBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`

// idleStream returns a Doer that sends one event and then waits until its
// context ends. It closes cancelled when it returns.
func idleStream(cancelled chan<- struct{}) doerFunc {
	return func(ctx context.Context, _ requester.Request, s requester.Sink) requester.Outcome {
		defer close(cancelled)
		_ = s.Head(200, []requester.Header{{Name: "Content-Type", Value: "text/event-stream"}})
		_ = s.Body([]byte("data: {\"id\":\"a\"}\n\n"))
		<-ctx.Done()
		return requester.MaybeRun{Code: "cancelled"}
	}
}

// openStream opens a stream and reads its first event.
func openStream(h *harness) (*http.Response, *bufio.Reader) {
	a, err := h.client.Do(h.request("POST", "/v1/chat/completions", streamBody))
	require.NoError(h.t, err)
	require.Equal(h.t, 200, a.StatusCode)
	r := bufio.NewReader(a.Body)
	line, err := r.ReadString('\n')
	require.NoError(h.t, err)
	require.Contains(h.t, line, `"id":"a"`)
	return a, r
}

// TestIdleStreamEndsAtOnce checks that a stream is ended while no data arrives
// from its backend server, and that the caller receives the reason.
func TestIdleStreamEndsAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		change func(t *testing.T, h *harness)
		code   string
	}{
		"key withdrawn":   {func(t *testing.T, h *harness) { h.viewer.withdraw(t) }, "key-withdrawn"},
		"permission lost": {func(_ *testing.T, h *harness) { h.viewer.set(func(s *coordinator.Snapshot) { s.PermittedUntil = 0 }) }, "host-not-permitted"},
		"host leaving":    {func(_ *testing.T, h *harness) { go func() { _ = h.server.Close() }() }, "host-leaving"},
	} {
		t.Run(name, func(t *testing.T) {
			cancelled := make(chan struct{})
			h := newHarness(t, idleStream(cancelled), nil)
			a, r := openStream(h)
			defer func() { _ = a.Body.Close() }()
			c.change(t, h)
			began := time.Now()
			rest, err := io.ReadAll(r)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF, "the answer must not look whole")
			require.Contains(t, string(rest), `"code":"`+c.code+`"`)
			require.NotContains(t, string(rest), "[DONE]")
			require.Less(t, time.Since(began), 2*time.Second)
			<-cancelled
		})
	}
}

// TestStreamSendsNothingAfterItsKeyIsWithdrawn checks that no piece of a stream is sent
// after its key has been withdrawn.
func TestStreamSendsNothingAfterItsKeyIsWithdrawn(t *testing.T) {
	var h *harness
	refused := make(chan error, 1)
	read := make(chan struct{})
	h = newHarness(t, doerFunc(func(_ context.Context, _ requester.Request, s requester.Sink) requester.Outcome {
		_ = s.Head(200, nil)
		_ = s.Body([]byte("data: {\"id\":\"a\"}\n\n"))
		<-read
		h.viewer.withdraw(t)
		refused <- s.Body([]byte("data: {\"id\":\"secret\"}\n\n"))
		return requester.MaybeRun{Code: "cancelled"}
	}), nil)
	a, r := openStream(h)
	defer func() { _ = a.Body.Close() }()
	close(read)
	rest, _ := io.ReadAll(r)
	require.Error(t, <-refused)
	require.NotContains(t, string(rest), "secret")
	require.Contains(t, string(rest), "key-withdrawn")
}

func TestWithdrawnKeyGetsNoAnswerAndNoFurtherRequest(t *testing.T) {
	var h *harness
	h = newHarness(t, doerFunc(func(ctx context.Context, r requester.Request, s requester.Sink) requester.Outcome {
		h.viewer.withdraw(t)
		return answerWith(`{"id":"secret"}`)(ctx, r, s)
	}), nil)
	a := h.do(h.request("POST", "/v1/chat/completions", chatBody))
	require.Equal(t, 401, a.status)
	require.Equal(t, "key-withdrawn", a.code)
	require.NotContains(t, a.body, "secret")
	require.Empty(t, a.header.Get("jackdawgate-not-run"), "the call ran")
	a = h.do(h.request("POST", "/v1/chat/completions", chatBody))
	require.Equal(t, "key-invalid", a.code, "the key is checked for each request on a connection")
}

// TestBrokenStreamIsNotReportedAsComplete checks that a stream that ends early can't
// be mistaken for a complete one.
func TestBrokenStreamIsNotReportedAsComplete(t *testing.T) {
	h := newHarness(t, doerFunc(func(_ context.Context, _ requester.Request, s requester.Sink) requester.Outcome {
		_ = s.Head(200, nil)
		_ = s.Body([]byte("data: {\"id\":\"a\"}\n\n"))
		return requester.MaybeRun{Code: "answer-truncated", Reason: "cut"}
	}), nil)
	a, r := openStream(h)
	defer func() { _ = a.Body.Close() }()
	rest, err := io.ReadAll(r)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Contains(t, string(rest), `"code":"answer-truncated"`)
}

func TestCallIsCancelledWhenItsCallerDisconnects(t *testing.T) {
	cancelled := make(chan struct{})
	h := newLoopbackHarness(t, idleStream(cancelled), nil)
	a, _ := openStream(h)
	_ = a.Body.Close()
	h.client.CloseIdleConnections()
	select {
	case <-cancelled:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the call went on without its caller")
	}
}

func TestSlowCallerBlocksOnlyItsOwnStream(t *testing.T) {
	const pieces = 10000
	piece := []byte("data: {\"id\":\"a\",\"pad\":\"" + strings.Repeat("x", 1000) + "\"}\n\n")
	sent := make(chan int, 1)
	h := newHarness(t, doerFunc(func(ctx context.Context, r requester.Request, s requester.Sink) requester.Outcome {
		if !r.Stream {
			return answerWith("{}")(ctx, r, s)
		}
		_ = s.Head(200, nil)
		for i := range pieces {
			if s.Body(piece) != nil {
				sent <- i
				return requester.MaybeRun{Code: "cancelled"}
			}
		}
		sent <- pieces
		return requester.Answered{Status: 200}
	}), func(o *server.Options) { o.WriteTimeout = 300 })
	a, _ := openStream(h)
	require.Equal(t, 200, h.do(h.request("POST", "/v1/chat/completions", chatBody)).status)
	select {
	case n := <-sent:
		require.Less(t, n, pieces)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the stream to a caller that reads nothing was not cut")
	}
	_ = a.Body.Close()
}

// TestStreamThatEndsAtOnceIsSentCompletely guards against a race: a call may end before
// its response has started, and its stream must still be sent completely.
func TestStreamThatEndsAtOnceIsSentCompletely(t *testing.T) {
	const whole = "data: {\"id\":\"a\"}\n\ndata: [DONE]\n\n"
	h := newHarness(t, doerFunc(func(_ context.Context, _ requester.Request, s requester.Sink) requester.Outcome {
		_ = s.Head(200, nil)
		_ = s.Body([]byte(whole))
		return requester.Answered{Status: 200}
	}), nil)
	for range 500 {
		a := h.do(h.request("POST", "/v1/chat/completions", streamBody))
		require.Equal(t, 200, a.status)
		require.Equal(t, whole, a.body)
	}
}
