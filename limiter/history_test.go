package limiter_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawgate/jackdawgate/limiter"
	"github.com/jackdawgate/jackdawgate/timer"
)

// The seed is fixed unless the command line sets another one.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestCheckHistoryRejectsBrokenHistories(t *testing.T) {
	limit := limiter.Limit{Rate: 10, Burst: 2}
	at := func(instants ...timer.Millis) (out []limiter.Admission) {
		for i, m := range instants {
			out = append(out, limiter.Admission{At: m, Host: string(rune('a' + i%2))})
		}
		return out
	}
	require.NoError(t, limiter.CheckHistory(nil, limit, 0))
	require.NoError(t, limiter.CheckHistory(at(0, 0, 100, 200, 300), limit, 0))
	require.NoError(t, limiter.CheckHistory(at(300, 0, 200, 0, 100), limit, 0), "order of hosts must not matter")

	var exceeded *limiter.ExceededError
	require.ErrorAs(t, limiter.CheckHistory(at(5, 5, 5), limit, 0), &exceeded)
	require.ErrorAs(t, limiter.CheckHistory(at(0, 500, 500, 599), limit, 0), &exceeded)
	require.Equal(t, limiter.ExceededError{From: 500, To: 599, Admitted: 3, Allowed: 2.99}, *exceeded)
	require.ErrorAs(t, limiter.CheckHistory(at(0, 0, 99), limit, 0), &exceeded, "average is within the limit, one interval is not")
}

func TestCheckHistoryLooksAtEveryInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := limiter.Limit{
			Rate:  float64(rapid.IntRange(0, 20).Draw(t, "rate")),
			Burst: float64(rapid.IntRange(1, 4).Draw(t, "burst")),
		}
		var history []limiter.Admission
		for now, i := timer.Millis(0), 0; i < 12; i++ {
			now += timer.Millis(rapid.IntRange(0, 300).Draw(t, "gap"))
			history = append(history, limiter.Admission{At: now})
		}
		broken := false
		for i := range history {
			for j := i; j < len(history); j++ {
				length := history[j].At - history[i].At
				broken = broken || float64(j-i+1) > limit.Burst+limit.Rate*float64(length)/1000+1e-6
			}
		}
		require.Equal(t, broken, limiter.CheckHistory(history, limit, 0) != nil)
	})
}
