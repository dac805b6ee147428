package throttler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

var server = cataloger.Incarnation{ID: "s", StartedAt: 1}

func newThrottler() (*throttler.Throttler, *harness.Clock) {
	c := &harness.Clock{Time: 1000}
	return throttler.New(c, zap.NewNop()), c
}

// limitOf returns the limit in force, or -1.
func limitOf(t *throttler.Throttler, v cataloger.Incarnation) float64 {
	if r := t.Room(v, throttler.Online{}); r.Limited {
		return r.Rate
	}
	return -1
}

// hear applies an answer to a request that is sent now.
func hear(t *throttler.Throttler, values ...string) {
	t.Heard(server, t.Mark(server), values, true)
}

func TestEachFormOfALimitHasARule(t *testing.T) {
	for text, want := range map[string]float64{
		"2": 2, "0.2": 0.2, " 3.5 ": 3.5, "0": 0, "0.0": 0, "5.": 5, ".5": 0.5, "007": 7, "2, 5": 2, "5,2": 2, "x, 4": 4,
		"1000000000000": 1e6, "999999999999999999999999999999": 1e6, "0.00000000001": 0.00000000001,
	} {
		got, ok := throttler.ParseRate([]string{text})
		require.True(t, ok, "%q", text)
		require.InDelta(t, want, got, 1e-12, "%q", text)
	}
	for _, text := range []string{"", "-1", "-0.5", "+2", "NaN", "nan", "Inf", "+Inf", "-inf", "infinity", "1e3", "0x10", "1_000", "two", ".", "1.2.3", "2/s", "2 3", "\x00", "²"} {
		_, ok := throttler.ParseRate([]string{text})
		require.False(t, ok, "%q", text)
	}
	got, ok := throttler.ParseRate([]string{"7", "-1", "3"})
	require.True(t, ok)
	require.InDelta(t, 3, got, 0, "the lowest of several that can be read")
}

// None of these answers frees a server that named 2, or stops the host.
func TestOddAnswersChangeNoLimit(t *testing.T) {
	for _, values := range [][]string{{"-1"}, {"NaN"}, {"Inf"}, {""}, {"x"}, {"2"}, {"2", "9"}, nil, {"1000000000"}} {
		h, _ := newThrottler()
		hear(h, "2")
		hear(h, values...)
		require.InDelta(t, 2, limitOf(h, server), 0, "%q", values)
	}
}

func TestServerThatTakesNothingStillGetsRequestsNowAndThen(t *testing.T) {
	h, c := newThrottler()
	hear(h, "0")
	_, ok := h.Take(server, throttler.Online{})
	require.False(t, ok)
	c.Time += 10 * timer.Second
	require.True(t, h.Room(server, throttler.Online{}).Probe)
	_, ok = h.Take(server, throttler.Online{})
	require.True(t, ok)
	_, ok = h.Take(server, throttler.Online{})
	require.False(t, ok)
}

// Guards against less urgent requests, and batch items that yield, which take what more urgent
// ones need when a limit is short.
func TestLessUrgentRequestsLeaveAPartOfALimit(t *testing.T) {
	taken := make(map[string]int)
	for name, class := range map[string]throttler.Class{
		"urgent": throttler.Online{}, "less urgent": throttler.Online{Rank: 2}, "item that yields": throttler.Batch{Yield: true}, "item": throttler.Batch{},
	} {
		h, c := newThrottler()
		hear(h, "40")
		c.Time += 10 * timer.Second
		for {
			if _, ok := h.Take(server, class); !ok {
				break
			}
			taken[name]++
		}
	}
	require.Greater(t, taken["urgent"], taken["less urgent"])
	require.Greater(t, taken["less urgent"], taken["item that yields"])
	require.Equal(t, taken["urgent"], taken["item"])
}

func TestLimitIsLoweredAtOnceAndRaisedByTwoAnswers(t *testing.T) {
	h, _ := newThrottler()
	hear(h, "4")
	hear(h, "2")
	require.InDelta(t, 2, limitOf(h, server), 0)
	hear(h, "6")
	require.InDelta(t, 2, limitOf(h, server), 0, "one answer among many")
	hear(h, "5")
	require.InDelta(t, 5, limitOf(h, server), 0, "the lower of the two")
	hear(h)
	hear(h, "5")
	hear(h)
	require.InDelta(t, 5, limitOf(h, server), 0, "it was named again between")
	hear(h)
	require.InDelta(t, -1, limitOf(h, server), 0)
}

// The answers to requests that were sent before the limit was known arrive after the
// answer that named it.
func TestAnswersThatOvertakeOneAnotherFreeNoServer(t *testing.T) {
	h, _ := newThrottler()
	early := h.Mark(server)
	hear(h, "2")
	for range 5 {
		h.Heard(server, early, nil, true)
		h.Heard(server, early, []string{"9"}, true)
	}
	require.InDelta(t, 2, limitOf(h, server), 0)
	h.Heard(server, early, []string{"1"}, true)
	require.InDelta(t, 1, limitOf(h, server), 0, "of words whose order is unknown the lower one holds")
}

// An answer that is no success need not name the limit.
func TestFailureWithoutALimitSaysNothing(t *testing.T) {
	h, _ := newThrottler()
	hear(h, "2")
	for range 3 {
		h.Heard(server, h.Mark(server), nil, false)
	}
	require.InDelta(t, 2, limitOf(h, server), 0)
}

func TestNextStartOfAServerHasNoLimit(t *testing.T) {
	h, _ := newThrottler()
	hear(h, "1")
	next := cataloger.Incarnation{ID: "s", StartedAt: 2}
	require.InDelta(t, -1, limitOf(h, next), 0)
	h.Retain(func(v cataloger.Incarnation) bool { return v == next })
	require.Zero(t, h.InForce())
	require.Empty(t, h.Known())
}

// After the first answer without a limit, one request is sent at once, so that the second
// one does not have to wait for the limit.
func TestEndOfALowLimitIsConfirmedAtOnce(t *testing.T) {
	h, c := newThrottler()
	hear(h, "0.2")
	c.Time += 5 * timer.Second
	_, ok := h.Take(server, throttler.Online{})
	require.True(t, ok)
	mark := h.Mark(server)
	_, ok = h.Take(server, throttler.Online{})
	require.False(t, ok)
	h.Heard(server, mark, nil, true)
	require.True(t, h.Room(server, throttler.Online{}).Probe)
	_, ok = h.Take(server, throttler.Online{})
	require.True(t, ok)
	hear(h)
	require.InDelta(t, -1, limitOf(h, server), 0)
}

func TestHostWithoutLimitsReportsNothing(t *testing.T) {
	h, c := newThrottler()
	hear(h)
	require.Empty(t, h.Notices())
	hear(h, "2")
	require.NotEmpty(t, h.Notices())
	hear(h)
	hear(h)
	c.Time += 6 * timer.Second
	h.Retain(func(cataloger.Incarnation) bool { return true })
	require.Empty(t, h.Notices())
	require.Empty(t, h.Known())
}

func TestReportsAreBounded(t *testing.T) {
	h, c := newThrottler()
	for i := range 20000 {
		v := cataloger.Incarnation{ID: fmt.Sprint("s", i), StartedAt: 1}
		h.Heard(v, h.Mark(v), []string{"1"}, true)
	}
	require.LessOrEqual(t, len(h.Notices()), 260)
	require.LessOrEqual(t, h.InForce(), 16384)
	c.Time += 2 * timer.Second
	seen := make(map[string]bool)
	for range 5000 {
		list := h.Notices()
		require.LessOrEqual(t, len(list), 4, "unchanged limits are reported in turn")
		for _, n := range list {
			seen[n.ID] = true
		}
		c.Time += 200
	}
	require.Len(t, seen, 16384)
}

func TestNoticesThatNoHostSendsAreIgnored(t *testing.T) {
	h, _ := newThrottler()
	for _, n := range []throttler.Notice{{ID: "s", Born: 1, Rate: -7, Version: 1}, {ID: "s", Born: 1, Rate: 1e300, Version: 1}, {ID: "s", Born: 1, Rate: 2}, {ID: "s", Born: 1, Rate: 2, Raised: -3, Version: 4}} {
		h.Merge("h", "1", []throttler.Notice{n})
	}
	require.Zero(t, h.InForce())
}

// Hosts exchange what they heard, in any order and with losses. All of them end with the
// newest limit, and none is freed before the server has said so.
func TestHostsAgreeOnTheNewestLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		c := &harness.Clock{Time: 1000}
		hosts := make([]*throttler.Throttler, rapid.IntRange(2, 8).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = throttler.New(c, zap.NewNop())
		}
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"", "1", "2", "3"}), 1, 6).Draw(t, "limits")
		var late [][]throttler.Notice
		for _, limit := range steps {
			var values []string
			if limit != "" {
				values = []string{limit}
			}
			for range 60 {
				c.Time += 50
				h := hosts[random.IntN(len(hosts))]
				h.Heard(server, h.Mark(server), values, true)
				from := hosts[random.IntN(len(hosts))]
				late = append(late, from.Notices())
				to := hosts[random.IntN(len(hosts))]
				to.Merge(fmt.Sprint(random.IntN(len(hosts))), "1", late[random.IntN(len(late))])
				if limit != "" && limitOf(h, server) == -1 {
					t.Fatalf("free while it names %s", limit)
				}
			}
			late = nil
			for range 3 {
				for _, from := range hosts {
					for _, to := range hosts {
						to.Merge("x", "1", from.Known())
					}
				}
			}
			for i, h := range hosts {
				want := -1.0
				if limit != "" {
					want = float64(limit[0] - '0')
				}
				if got := limitOf(h, server); got != want {
					t.Fatalf("host %d has the limit %g, the server names %q", i, got, limit)
				}
			}
		}
	})
}

// A server refuses a request and says when to come back. No host sends it another one before.
func TestRefusedHostsKeepAwayUntilTheServerTakesRequests(t *testing.T) {
	a, c := newThrottler()
	b := throttler.New(c, zap.NewNop())
	far := throttler.New(c, zap.NewNop())
	a.Pause(server, 2*timer.Second)
	b.Merge("a", "1", a.Notices())
	far.Merge("b", "1", b.Notices())
	for _, h := range []*throttler.Throttler{a, b} {
		room := h.Room(server, throttler.Online{})
		require.False(t, room.Open)
		require.EqualValues(t, 2000, room.RetryAfter)
		_, ok := h.Take(server, throttler.Batch{})
		require.False(t, ok)
	}
	require.False(t, far.Room(server, throttler.Online{}).Limited, "only the host that was told reports it, so the time does not grow on the way")
	c.Time += 1500
	b.Merge("a", "1", a.Notices())
	a.Pause(server, 100)
	require.EqualValues(t, 500, a.Room(server, throttler.Online{}).RetryAfter, "a shorter time does not end a longer one")
	c.Time += 500
	for _, h := range []*throttler.Throttler{a, b} {
		require.False(t, h.Room(server, throttler.Online{}).Limited)
		counted, ok := h.Take(server, throttler.Online{})
		require.True(t, ok)
		require.False(t, counted)
	}
	c.Time += 6 * timer.Second
	a.Retain(func(cataloger.Incarnation) bool { return true })
	require.Empty(t, a.Notices())
}

func TestPauseIsBoundedAndDoesNotFreeALimitedServer(t *testing.T) {
	h, c := newThrottler()
	hear(h, "1")
	h.Pause(server, 24*3600*timer.Second)
	require.EqualValues(t, 30*timer.Second, h.Room(server, throttler.Online{}).RetryAfter)
	hear(h)
	require.False(t, h.Room(server, throttler.Online{}).Open)
	c.Time += 30 * timer.Second
	room := h.Room(server, throttler.Online{})
	require.True(t, room.Limited)
	require.InDelta(t, 1, room.Rate, 0)
	for text, want := range map[string]timer.Millis{"2": 2000, "0.25": 250, "": 0, "-1": 0, "Wed, 21 Oct 2026 07:28:00 GMT": 0, "x": 0} {
		require.Equal(t, want, throttler.ParseRetryAfter(text), "%q", text)
	}
}
