package apportioner_test

import (
	"strconv"
	"testing"

	"github.com/jackdawgate/jackdawgate/apportioner"
	"github.com/jackdawgate/jackdawgate/forecaster"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against shares that are no max-min shares: a workspace that asks for no more than
// its share gets it all, the shares used fill the capacity and no more, and a workspace that
// gets less than it asks for gets as much for its weight as any other.
func TestSharesAreWeightedMaxMinShares(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		capacity := rapid.Float64Range(1, 100).Draw(r, "capacity")
		var list []apportioner.Claim
		for i := range rapid.IntRange(1, 12).Draw(r, "workspaces") {
			list = append(list, apportioner.Claim{Workspace: strconv.Itoa(i), Weight: rapid.Float64Range(0.1, 10).Draw(r, "weight"), Demand: rapid.Float64Range(0, 40).Draw(r, "demand")})
		}
		claims := apportioner.NewClaims(list)
		asked, given, level := 0.0, 0.0, 0.0
		for _, c := range list {
			share := claims.Share(capacity, c.Workspace, 0, c.Weight)
			asked, given = asked+c.Demand, given+min(share, c.Demand)
			level = max(level, min(share, c.Demand)/c.Weight)
			if share < c.Demand {
				require.GreaterOrEqual(r, share, claims.Own(capacity, c.Workspace, 0, c.Weight)-1e-6)
			}
		}
		require.InDelta(r, min(asked, capacity), given, 1e-6)
		for _, c := range list {
			if share := claims.Share(capacity, c.Workspace, 0, c.Weight); share < c.Demand {
				require.InDelta(r, level, share/c.Weight, 1e-6)
			}
		}
	})
}

// world is one host whose own requests are a tenth of all.
type world struct {
	clock       *harness.Clock
	apportioner *apportioner.Apportioner
	uses        map[string]apportioner.Use
}

func newWorld() *world {
	c := &harness.Clock{Time: 1000}
	return &world{clock: c, apportioner: apportioner.New(c), uses: make(map[string]apportioner.Use)}
}

// pass lets a second pass in which the fleet admits requests of workspaces.
func (w *world) pass(admitted map[string]float64) {
	for range 10 {
		for name, n := range admitted {
			u := w.uses[name]
			u.Weight, u.Own, u.Fleet = 1, u.Own+n/100, u.Fleet+n/10
			w.uses[name] = u
		}
		w.apportioner.Update(w.uses, apportioner.Hearing{Heard: 10, Hosts: 10})
		w.clock.Time += 100
	}
}

func waiting(workspace string) apportioner.Call {
	return apportioner.Call{Service: "svc", Workspace: workspace, Slots: 100, Run: 1000, Wait: 200}
}

// Guards against refusals that follow from nothing: without an observed run, or without known
// demands, there is no capacity to divide.
func TestNobodyIsRefusedWhileTheCapacityIsUnknown(t *testing.T) {
	w := newWorld()
	for range 100 {
		require.True(t, w.apportioner.Ask(waiting("large")).Admitted, "no demands")
	}
	w.pass(map[string]float64{"large": 1000, "small": 1})
	unknown := waiting("large")
	unknown.Run = 0
	for range 100 {
		require.True(t, w.apportioner.Ask(unknown).Admitted)
	}
}

// Guards against a small workspace whose one request is refused, or waits, since a large one
// asks for ten times the capacity. Calls without a workspace are one of them.
func TestOneRequestOfASmallWorkspaceIsAdmittedWhileALargeOneIsRefused(t *testing.T) {
	w := newWorld()
	w.pass(map[string]float64{"large": 1000, "": 1})
	admitted := 0
	for range 100 {
		if w.apportioner.Ask(waiting("large")).Admitted {
			admitted++
		}
	}
	require.LessOrEqual(t, admitted, 3, "a tenth of a quarter of one run's share at this host, or two")
	d := w.apportioner.Ask(waiting("large"))
	require.Positive(t, d.RetryAfter)
	require.InDelta(t, 99, d.Share, 1, "all that the other leaves")
	require.True(t, w.apportioner.Ask(waiting("")).Admitted)
	require.EqualValues(t, 101-admitted, w.apportioner.Refused())
}

// Guards against refusals that help nobody: where there are no other workspaces, calls wait
// for a slot as they did before there were shares.
func TestOnlyWorkspaceIsNotRefused(t *testing.T) {
	w := newWorld()
	w.pass(map[string]float64{"large": 1000, "idle": 0})
	for range 100 {
		require.True(t, w.apportioner.Ask(waiting("large")).Admitted)
	}
}

// Guards against a host that divides the whole capacity by what it sees, though it hears no
// other: the parts of all hosts would add up to many times the capacity.
func TestHostThatHearsNoOtherDividesItsPartOfTheCapacity(t *testing.T) {
	w := newWorld()
	w.pass(map[string]float64{"large": 1000})
	w.apportioner.Update(w.uses, apportioner.Hearing{Heard: 1, Hosts: 10})
	d := w.apportioner.Ask(waiting("large"))
	require.InDelta(t, 10, d.Capacity, 0.01)
}

// Guards against a decision that gets worse with more time left: whatever was asked before,
// a call that is admitted with some time left is admitted with more.
func TestMoreTimeLeftNeverTurnsAnAdmissionIntoARefusal(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		left := timer.Millis(rapid.IntRange(0, 5000).Draw(r, "left"))
		more := left + timer.Millis(rapid.IntRange(1, 5000).Draw(r, "more"))
		names := rapid.SliceOfN(rapid.SampledFrom([]string{"", "a", "b"}), 1, 40).Draw(r, "calls")
		load := map[string]float64{"a": rapid.Float64Range(0, 300).Draw(r, "load"), "b": 30}
		ahead := rapid.IntRange(0, 40).Draw(r, "ahead")
		decide := func(left timer.Millis) bool {
			w, f := newWorld(), forecaster.New()
			f.Observe(forecaster.Sample{Call: forecaster.Call{Service: "svc"}, First: 50, Run: 1000})
			w.pass(load)
			admitted := false
			for i, name := range names {
				p := f.Predict(forecaster.Call{Service: "svc", Ahead: ahead, Slots: 8})
				last := i == len(names)-1
				if last && !p.EndsWithin(left) {
					return false
				}
				c := waiting(name)
				c.Wait = p.Wait
				admitted = p.Wait == 0 || w.apportioner.Ask(c).Admitted
			}
			return admitted
		}
		if decide(left) {
			require.True(r, decide(more))
		}
	})
}
