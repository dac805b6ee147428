package relayer_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// limitedAt returns a script by which only the given server names a limit.
func limitedAt(server, limit string) script {
	return func(c net.Conn, q *http.Request) {
		headers := closing
		if q.Header.Get("Expect") == server {
			headers += "Limit: " + limit + "\r\n"
		}
		answer(headers)(c, q)
	}
}

// repeated returns n times the same script.
func repeated(n int, s script) []script {
	var out []script
	for range n {
		out = append(out, s)
	}
	return out
}

// countTo returns how many calls were sent to a server.
func (f *fixture) countTo(server string) int {
	n := 0
	for _, id := range f.targets() {
		if id == server {
			n++
		}
	}
	return n
}

// A server named a limit in its answers, and calls were sent to it as before.
func TestServerGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	f := newFixture(t, 1, repeated(30, limitedAt("s0", "1"))...)
	for i := range 30 {
		o, _ := f.run(route(cataloger.Idempotent, false, 2))
		if i == 0 {
			require.IsType(t, relayer.Delivered{}, o)
			continue
		}
		if refused, ok := o.(relayer.NotRun); ok {
			require.Positive(t, refused.RetryAfter)
		}
	}
	require.LessOrEqual(t, f.countTo("s0"), 4)
}

// One of two servers names a limit. Calls beyond it must go to the other one.
func TestCallsBeyondALimitGoToOtherServers(t *testing.T) {
	f := newFixture(t, 2, repeated(30, limitedAt("s0", "1"))...)
	for range 30 {
		o, _ := f.run(route(cataloger.Idempotent, false, 2))
		require.IsType(t, relayer.Delivered{}, o)
	}
	require.LessOrEqual(t, f.countTo("s0"), 4)
}

// Guards against a limit that another server at the address names, and that is taken for that
// of the server that was meant.
func TestAnswerOfAnotherServerNamesNoLimit(t *testing.T) {
	f := newFixture(t, 1, text("421 Misdirected Request", "Limit: 1\r\n", ""))
	_, _ = f.run(route(cataloger.Idempotent, false, 1))
	require.Equal(t, 1, f.countTo("s0"))
	require.False(t, f.throttler.Room(f.current().Servers["s0"].Incarnation(), throttler.Online{}).Limited)
}

// A server refused a call and said when to come back. It got the next call at once.
func TestServerThatSaysWhenToComeBackIsLeftAlone(t *testing.T) {
	refusal := text("429 X", signed+"Not-Run: 1\r\nRetry-After: 20\r\n"+closing, "")
	f := newFixture(t, 2, append([]script{refusal}, repeated(8, answer(closing))...)...)
	for range 8 {
		o, _ := f.run(route(cataloger.Idempotent, false, 2))
		require.IsType(t, relayer.Delivered{}, o)
	}
	require.Equal(t, 1, f.countTo(f.targets()[0]))
}

// A call that broke at one server was given up after a second of waiting for another one's
// limit, although its caller had more than two left: its caller can't be told that it was not
// run. If the caller has less time than the limit needs, it is given up at once.
func TestCallThatMayHaveRunWaitsForALimitWhileItCanEnd(t *testing.T) {
	for name, c := range map[string]struct {
		limit   string
		wait    timer.Millis
		kind    cataloger.Kind
		outcome relayer.Outcome
		within  timer.Millis
	}{
		"enough":            {"0.6", 4 * timer.Second, cataloger.Idempotent, relayer.Delivered{}, 4 * timer.Second},
		"less":              {"0.6", timer.Second, cataloger.Idempotent, relayer.Unknown{}, 500},
		"its-caller-leaves": {"0.3", 8 * timer.Second, cataloger.Stream, relayer.Unknown{}, 500},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, breakOff, limitedAt("s1", c.limit))
			v := f.current().Servers["s1"].Incarnation()
			f.throttler.Heard(v, f.throttler.Mark(v), []string{c.limit}, true)
			began := f.clock.Now()
			o, _ := f.runFor(c.wait, route(c.kind, true, 3))
			require.IsType(t, c.outcome, o)
			require.Less(t, f.clock.Now()-began, c.within)
		})
	}
}
