package dispatcher_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/stretchr/testify/require"
)

// arrivals records when calls arrived at an engine.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

// serve returns the behaviour of an engine that records calls and answers each with these
// headers, after the status line.
func (a *arrivals) serve(answer func(n int) string) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		defer func() { _ = c.Close() }()
		for q := readRequest(c); q != nil; q = readRequest(c) {
			if !q.Header.IsPost() {
				_, _ = io.WriteString(c, answerWith("200 OK", ""))
				continue
			}
			_, _ = io.WriteString(c, answer(a.add()))
		}
	}
}

// add records an arrival and returns how many there have been.
func (a *arrivals) add() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
	return len(a.at)
}

func answerWith(status, headers string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: 2\r\n\r\n{}", status, headers)
}

// most returns the highest number of arrivals within a span.
func (a *arrivals) most(span time.Duration) int {
	best, from := 0, 0
	for i, at := range a.at {
		for !a.at[from].After(at.Add(-span)) {
			from++
		}
		best = max(best, i-from+1)
	}
	return best
}

// callEvery makes a call from alternating hosts in each interval, and returns how many were
// answered and the reply to the last refused one.
func callEvery(f *fleet, interval time.Duration, calls int) (answered int, refused requester.NotRun) {
	var mu sync.Mutex
	var done sync.WaitGroup
	for i := range calls {
		done.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			var a recordedAnswer
			o := f.hosts[fmt.Sprint("h", i%len(f.hosts))].Do(ctx, chatRequest(fmt.Sprint("r", i), false), &a)
			mu.Lock()
			defer mu.Unlock()
			switch o := o.(type) {
			case requester.Answered:
				answered++
			case requester.NotRun:
				refused = o
			}
		})
		time.Sleep(interval)
	}
	done.Wait()
	return answered, refused
}

// An engine named a limit, and got every call.
func TestServerGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, "m1")
		var a arrivals
		f.engine("m1", a.serve(func(int) string { return answerWith("200 OK", "Jackdawgate-Limit: 2\r\n") }))
		_, refused := callEvery(f, 50*time.Millisecond, 200)
		require.LessOrEqual(t, a.most(4*time.Second), 2*4+3)
		require.GreaterOrEqual(t, len(a.at), 15, "the limit is used")
		require.Positive(t, refused.RetryAfter)
	})
}

// The calls beyond one engine's limit go to the other engine.
func TestCallsBeyondALimitGoToOtherServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, "m1", "m2")
		var limited, other arrivals
		f.engine("m1", limited.serve(func(int) string { return answerWith("200 OK", "Jackdawgate-Limit: 1\r\n") }))
		f.engine("m2", other.serve(func(int) string { return answerWith("200 OK", "") }))
		for _, h := range f.hosts {
			h.Start()
			defer h.Close()
		}
		time.Sleep(time.Second)
		answered, _ := callEvery(f, 50*time.Millisecond, 200)
		require.Equal(t, 200, answered)
		require.LessOrEqual(t, limited.most(4*time.Second), 4+3)
	})
}

// An engine refused a call for two seconds, and got the next one at once.
func TestServerThatSaysWhenToComeBackIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, "m1")
		var a arrivals
		f.engine("m1", a.serve(func(n int) string {
			if n == 1 {
				return answerWith("429 X", "Retry-After: 2\r\n")
			}
			return answerWith("200 OK", "")
		}))
		callEvery(f, 50*time.Millisecond, 80)
		require.Greater(t, len(a.at), 10)
		require.GreaterOrEqual(t, a.at[1].Sub(a.at[0]), 2*time.Second)
	})
}
