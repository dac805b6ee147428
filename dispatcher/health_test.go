package dispatcher_test

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// TestHealthReceivesOutcomes calls through the keeper host and through another host,
// since each host chooses servers by its own observations.
func TestHealthReceivesOutcomes(t *testing.T) {
	respond := func(s string) func(int, net.Conn) {
		return func(_ int, c net.Conn) {
			defer func() { _ = c.Close() }()
			if readRequest(c) != nil {
				_, _ = io.WriteString(c, s)
			}
		}
	}
	for name, c := range map[string]struct {
		serve  func(int, net.Conn)
		stream bool
		calls  []string
	}{
		"refused connection":   {calls: []string{"failed m1"}},
		"cut before an answer": {serve: respond(""), calls: []string{"failed m1"}},
		"truncated stream":     {serve: respond(chunked + "\r\n" + event("x", "a")), stream: true, calls: []string{"failed m1"}},
		"whole answer":         {serve: func(_ int, c net.Conn) { serveAnswer(c, `{"id":"a"}`) }, calls: []string{"succeeded m1"}},
		"error answer":         {serve: respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")},
		"busy":                 {serve: respond("HTTP/1.1 503 Busy\r\nJackdawgate-Not-Run: true\r\nContent-Length: 0\r\n\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, "m1")
				if c.serve != nil {
					f.engine("m1", c.serve)
				}
				owner, other := f.owner("m1")
				for _, h := range []*host{owner, other} {
					r := chatRequest("r1", c.stream)
					r.Repeatable = false
					// The short timeout prevents retries of calls that were not run.
					r.Timeout = 1
					h.Do(context.Background(), r, &recordedAnswer{})
					require.Equal(t, c.calls, h.health.calls)
				}
			})
		})
	}
}

func TestCallerDisconnectIsNotRecordedInServerHealth(t *testing.T) {
	f := newFleet(t, 1, "m1")
	reached := make(chan struct{})
	f.engine("m1", func(_ int, c net.Conn) {
		defer func() { _ = c.Close() }()
		if readRequest(c) != nil {
			close(reached)
			_, _ = c.Read(make([]byte, 1))
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-reached
		cancel()
	}()
	f.hosts["h0"].Do(ctx, chatRequest("r1", false), &recordedAnswer{})
	require.Empty(t, f.hosts["h0"].health.calls)
}
