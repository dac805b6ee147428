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
	o := postponer.Opening{First: 100, Rate: 4, Hosts: 2, Left: 4800}
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
		hosts, interval := rapid.IntRange(1, 100).Draw(t, "hosts"), timer.Millis(rapid.IntRange(0, 1000).Draw(t, "interval"))
		last := timer.Millis(-1)
		for range rapid.IntRange(1, 30).Draw(t, "refusals") {
			c.Time += timer.Millis(rapid.IntRange(0, 400).Draw(t, "pause"))
			o := postponer.Opening{
				First: timer.Millis(rapid.IntRange(0, 300).Draw(t, "first")), Left: 3 * timer.Millis(rapid.IntRange(0, 3000).Draw(t, "patience")),
				Rate: float64(timer.Second) * float64(hosts) / (float64(interval) + 0.5), Hosts: hosts,
			}
			in := p.Postpone("svc", o)
			require.GreaterOrEqual(t, in, o.First)
			if last >= 0 {
				require.GreaterOrEqual(t, c.Time+in, last+interval)
			}
			if in <= postponer.CallerPatience(o.Left) {
				last = c.Time + in
			}
		}
	})
}
