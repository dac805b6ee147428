package mirrorer_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// A host that had just started took groups from owners that were alive, 0.3 s after its
// start: they did not know it yet and had sent it nothing.
func TestStartedHostTakesNothingFromOwnersThatDoNotKnowItYet(t *testing.T) {
	const started, timeout = timer.Millis(50_000), timer.Millis(700)
	s := mirrorer.NewSilence(started, timeout)
	plan := func(now timer.Millis) mirrorer.Step {
		v := view("b", "a", []string{"a", "b", "c"}, []string{"b", "c"})
		v.SilentFor["a"] = s.For("a", now)
		return mirrorer.Plan(v)
	}
	require.IsType(t, mirrorer.NoStep{}, plan(started+310))
	require.IsType(t, mirrorer.NoStep{}, plan(started+timeout+290))
	require.IsType(t, mirrorer.WriteManifest{}, plan(started+timeout+310))
	s.SetUp("a", started+2000)
	require.Zero(t, s.For("a", started+2000))
	require.EqualValues(t, 300, s.For("a", started+2300))
}
