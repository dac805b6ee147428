package dispatcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// serveAnswer answers every request on c with body.
func serveAnswer(c net.Conn, body string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	var q fasthttp.Request
	for q.Read(r) == nil {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if err != nil {
			return
		}
	}
}

// readRequest reads one request from c, nil if there is none.
func readRequest(c net.Conn) *fasthttp.Request {
	q := new(fasthttp.Request)
	if err := q.Read(bufio.NewReader(c)); err != nil {
		return nil
	}
	return q
}

const chunked = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"

// event returns one token of a stream as an HTTP chunk.
func event(id, token string) string {
	return chunk(fmt.Sprintf("data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, token))
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

var done = chunk("data: [DONE]\n\n") + "0\r\n\r\n"

func TestCallIsServedThroughTheKeeperHost(t *testing.T) {
	f := newFleet(t, 2, "m1")
	f.engine("m1", func(_ int, c net.Conn) {
		serveAnswer(c, `{"id":"a","usage":{"prompt_tokens":3,"completion_tokens":4}}`)
	})
	owner, other := f.owner("m1")
	for _, h := range []*host{owner, other} {
		var a recordedAnswer
		o := h.Do(context.Background(), chatRequest("r1", false), &a)
		require.Equal(t, requester.Answered{Status: 200, Server: "m1", Usage: requester.Usage{PromptTokens: 3, CompletionTokens: 4}}, o)
		require.Contains(t, string(a.body), `"id":"a"`)
	}
}

func TestStreamResumesOnAnotherServer(t *testing.T) {
	f := newFleet(t, 2, "m1", "m2")
	serve := func(_ int, c net.Conn) {
		defer func() { _ = c.Close() }()
		q := readRequest(c)
		if q == nil {
			return
		}
		if !strings.Contains(string(q.Body()), `"resume_from":2`) {
			_, _ = io.WriteString(c, chunked+"\r\n"+event("x", "a")+event("x", "b"))
			return
		}
		_, _ = io.WriteString(c, chunked+"Resumed-From: 2\r\n\r\n"+event("y", "c")+done)
	}
	f.engine("m1", serve)
	f.engine("m2", serve)
	var a recordedAnswer
	o := f.hosts["h0"].Do(context.Background(), chatRequest("r1", true), &a)
	got, ok := o.(requester.Answered)
	require.True(t, ok, "%#v", o)
	require.EqualValues(t, 3, got.Usage.CompletionTokens)
	require.Equal(t, 1, a.heads)
	for _, token := range []string{`"a"`, `"b"`, `"c"`, "[DONE]"} {
		require.Equal(t, 1, strings.Count(string(a.body), token), token)
	}
}

// Other hosts' calls run on a server, and its own keeper host chose it as if it were idle.
func TestKeeperHostCountsOtherHostsCallsOnItsServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, "m1", "m2")
		hold := make(chan struct{})
		f.engine("m1", func(_ int, c net.Conn) {
			defer func() { _ = c.Close() }()
			if readRequest(c) != nil {
				<-hold
			}
		})
		f.engine("m2", func(_ int, c net.Conn) { serveAnswer(c, "{}") })
		owner, other := f.owner("m1")
		ctx, cancel := context.WithCancel(context.Background())
		for i := range 12 {
			go other.Do(ctx, chatRequest(fmt.Sprint("other", i), false), &recordedAnswer{})
			synctest.Wait()
		}
		require.Positive(t, owner.slots.Load("m1").RunningOnline)
		for i := range 10 {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			o := owner.Do(ctx, chatRequest(fmt.Sprint("own", i), false), &recordedAnswer{})
			require.IsType(t, requester.Answered{}, o, "%+v", o)
			cancel()
		}
		cancel()
		close(hold)
		synctest.Wait()
	})
}
