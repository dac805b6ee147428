package dispatcher_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/stretchr/testify/require"
)

// batchChatRequest returns a batch call whose answer is not a stream.
func batchChatRequest() requester.Request {
	r := chatRequest("b1", false)
	r.Class = requester.Batch
	return r
}

// evictAfterTwoTokens evicts a batch call after the server sent two tokens of its
// answer. The server answers later requests with next.
func evictAfterTwoTokens(t *testing.T, next func(body string, c net.Conn)) (requester.Evicted, *host) {
	t.Helper()
	f := newFleet(t, 1, "m1")
	f.setServer("m1", func(b *registrar.BackendServer) { b.Slots = 1 })
	sent := make(chan struct{})
	var once sync.Once
	f.engine("m1", func(_ int, c net.Conn) {
		defer func() { _ = c.Close() }()
		q := readRequest(c)
		if q == nil {
			return
		}
		body := string(q.Body())
		first := false
		once.Do(func() { first = true })
		if !first {
			next(body, c)
			return
		}
		_, _ = io.WriteString(c, chunked+"\r\n"+event("x", "a")+event("x", "b"))
		close(sent)
		_, _ = c.Read(make([]byte, 1))
	})
	h := f.hosts["h0"]
	ended := make(chan requester.Outcome)
	go func() { ended <- h.Do(context.Background(), batchChatRequest(), &recordedAnswer{}) }()
	<-sent
	synctest.Wait()
	require.IsType(t, requester.Answered{}, h.Do(context.Background(), chatRequest("o1", true), &recordedAnswer{}))
	e, ok := (<-ended).(requester.Evicted)
	require.True(t, ok)
	return e, h
}

func TestEvictedBatchCallResumesWhereItStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var bodies []string
		e, h := evictAfterTwoTokens(t, func(body string, c net.Conn) {
			bodies = append(bodies, body)
			if len(bodies) == 1 {
				_, _ = io.WriteString(c, chunked+"\r\n"+event("x", "o")+done)
				return
			}
			_, _ = io.WriteString(c, chunked+"Resumed-From: 2\r\n\r\n"+event("y", "c")+done)
		})
		require.NotEmpty(t, e.Resume)
		r := batchChatRequest()
		r.Resume = e.Resume
		a := &recordedAnswer{}
		require.IsType(t, requester.Answered{}, h.Do(context.Background(), r, a))
		require.Contains(t, bodies[1], `"resume_from":2`)
		require.Contains(t, string(a.body), `"content":"abc"`)
		require.Equal(t, 200, a.status)
	})
}

func TestEvictedBatchCallStartsOverWhereTheServerCannotResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, h := evictAfterTwoTokens(t, func(_ string, c net.Conn) {
			_, _ = io.WriteString(c, chunked+"\r\n"+event("x", "a")+event("x", "b")+event("x", "c")+done)
		})
		r := batchChatRequest()
		r.Resume = e.Resume
		require.Equal(t, requester.Evicted{}, h.Do(context.Background(), r, &recordedAnswer{}))
		r.Resume = nil
		a := &recordedAnswer{}
		require.IsType(t, requester.Answered{}, h.Do(context.Background(), r, a))
		require.Contains(t, string(a.body), `"content":"abc"`)
	})
}
