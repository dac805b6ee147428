package hoster_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/hoster"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { harness.Main(m) }

// Guards against a key that works for longer than it may, on a host whose clock is slow by
// the margin, and against callers that are refused for longer than that needs.
func TestConfigurationIsUsedUntilAWithdrawnKeyMustStopWorking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		revoke := timer.Millis(rapid.IntRange(100, 60000).Draw(t, "revoke"))
		slow := rapid.Float64Range(0.95, 1).Draw(t, "rate of the clock")
		age := float64(hoster.MaxConfigAge(revoke))
		require.LessOrEqual(t, age/slow, float64(revoke))
		require.GreaterOrEqual(t, age, 0.94*float64(revoke)-1)
	})
}

// Callers keep a directory answer for three times its second at most.
func TestHostTakesRequestsAsLongAsCallersKeepItsAddress(t *testing.T) {
	require.EqualValues(t, 3000, hoster.DrainTime(8*timer.Second))
	require.EqualValues(t, 3000, hoster.DrainTime(60*timer.Second), "a longer grace period makes callers keep addresses no longer")
	require.EqualValues(t, 1100, hoster.DrainTime(2*timer.Second))
	require.Zero(t, hoster.DrainTime(500))
}
