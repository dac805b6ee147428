package postponer_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/postponer"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { harness.Main(m) }

// Callers that are refused get different times to come back, as places become free.
func TestRefusedCallersAreToldOfDifferentPlaces(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	p := postponer.New(c)
	o := postponer.Opening{First: 100, Interval: 500, Patience: 1600}
	require.EqualValues(t, 100, p.Postpone("svc", o))
	require.EqualValues(t, 600, p.Postpone("svc", o))
	require.EqualValues(t, 100, p.Postpone("other", o))
	for range 5 {
		p.Postpone("svc", o)
	}
	require.EqualValues(t, 2100, p.Postpone("svc", o), "nobody waits for that place, so it stays free")
	c.Time += 5 * timer.Second
	require.EqualValues(t, 100, p.Postpone("svc", o))
}

// For any times between refusals: places come in the order of the refusals, never faster
// than the rate, never before the first one, and a caller with more patience is told of
// the same place as one with less.
func TestPlacesAreInOrderAndAtTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &harness.Clock{Time: 1000}
		p := postponer.New(c)
		interval := timer.Millis(rapid.IntRange(0, 1000).Draw(t, "interval"))
		last := timer.Millis(-1)
		for range rapid.IntRange(1, 30).Draw(t, "refusals") {
			c.Time += timer.Millis(rapid.IntRange(0, 400).Draw(t, "pause"))
			o := postponer.Opening{First: timer.Millis(rapid.IntRange(0, 300).Draw(t, "first")), Interval: interval, Patience: timer.Millis(rapid.IntRange(0, 3000).Draw(t, "patience"))}
			in := p.Postpone("svc", o)
			require.GreaterOrEqual(t, in, o.First)
			if last >= 0 {
				require.GreaterOrEqual(t, c.Time+in, last+interval)
			}
			if in <= o.Patience {
				last = c.Time + in
			}
		}
	})
}
