package relayer_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// endless sends a head and then part repeatedly until the connection is closed.
func endless(headers, part string) script {
	return func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+signed+headers+"\r\n")
		for {
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
		}
	}
}

// Servers send endless bodies. The calls end long before their deadline, and none
// of the answers is passed on as complete.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	const calls = 40
	part := strings.Repeat("x", 16<<10)
	for name, s := range map[string]script{
		"body":   endless("", part),
		"chunks": endless("Transfer-Encoding: chunked\r\n", "4000\r\n"+part+"\r\n"),
		"event":  endless("Content-Type: text/event-stream\r\n", part),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 8)
			for range calls {
				f.scripts = append(f.scripts, s)
			}
			var running sync.WaitGroup
			for i := range uint64(calls) {
				running.Go(func() {
					o := f.relayer.Run(t.Context(), relayer.Call{
						ID: "id", Method: "POST", Target: "/p", Host: "h", Header: http.Header{}, Route: route(cataloger.Stream, false, 1),
						Service: "svc", Deadline: f.clock.Now() + 60*timer.Second, Suspect: suspector.Call{Fingerprint: i + 1},
					}, &sink{})
					switch o := o.(type) {
					case relayer.Unknown:
						if o.Late {
							t.Error("call lasted until its deadline")
						}
					case relayer.Interrupted:
						if strings.Contains(o.Reason, "time is over") {
							t.Error("call lasted until its deadline")
						}
					default:
						t.Errorf("%T", o)
					}
				})
			}
			most := harness.MostInUse(&running, f.memory.InUse)
			require.LessOrEqual(t, most, int64(memoryForAnswers), "all calls together")
			require.Zero(t, f.memory.InUse(), "memory of calls that have ended")
		})
	}
}

// A server refuses a call and goes on to send bytes, one now and then or without end. The
// call goes to another server at once.
func TestRefusalThatDoesNotEndIsNotReadToItsEnd(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 9000000000\r\n\r\n"
	for name, pause := range map[string]time.Duration{"now-and-then": 50 * time.Millisecond, "without-end": 0} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, func(c net.Conn, _ *http.Request) {
				_, err := io.WriteString(c, refusal)
				for err == nil {
					time.Sleep(pause)
					_, err = io.WriteString(c, "x")
				}
			}, text("200 OK", signed, "ok"))
			began := f.clock.Now()
			o, _ := f.run(route(cataloger.Idempotent, false, 2))
			require.IsType(t, relayer.Delivered{}, o)
			require.Less(t, f.clock.Now()-began, timer.Second)
		})
	}
}
