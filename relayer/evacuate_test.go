package relayer_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/jackdawgate/jackdawgate/warmer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// place puts a server into the data centre "dc-" and its identifier, which is evacuated or not.
func (f *fixture) place(id string, evacuated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.snapshot.Servers[id]
	v.DataCentre = "dc-" + id
	f.snapshot = f.snapshot.WithServer(v).WithEvacuated(v.DataCentre, evacuated)
}

// A server breaks a call off. The call must not be tried again in an evacuated data centre.
func TestRetriesAvoidAnEvacuatedDataCentre(t *testing.T) {
	for r, next := range map[*cataloger.Route]script{
		route(cataloger.Stream, true, 3): text("200 OK", streamHeaders, wholeStream(1)), route(cataloger.Idempotent, false, 3): answer(closing),
	} {
		f := newFixture(t, 3, nil, next)
		f.place("s0", true)
		f.place("s1", true)
		f.place("s2", false)
		o, _ := f.run(r)
		require.IsType(t, relayer.Unknown{}, o, "no other server is left")
		require.Equal(t, []string{"s2"}, f.targets())
		f.place("s1", false)
		o, _ = f.run(r)
		require.IsType(t, relayer.Delivered{}, o)
		require.NotContains(t, f.targets(), "s0")
	}
}

// All data centres are evacuated: calls are refused as not run, with a retry time.
func TestCallIsRefusedWhenAllDataCentresAreEvacuated(t *testing.T) {
	f := newFixture(t, 2)
	f.place("s0", true)
	f.place("s1", true)
	o, _ := f.run(route(cataloger.Idempotent, false, 2))
	require.Equal(t, relayer.NotRun{Reason: "all servers to send to are in evacuated data centres", RetryAfter: 300}, o)
	require.Empty(t, f.targets())
}

// Only cold servers are left, and this host's share of them is spent.
func TestCallIsRefusedWhenOnlyColdServersAreLeft(t *testing.T) {
	f := newFixture(t, 2)
	f.snapshot = f.snapshot.WithConfig(cataloger.NewConfig(cataloger.ConfigParts{Services: []cataloger.Service{{Name: "svc", WarmupRate: 14}}})).WithMember(cataloger.Member{Name: "self"})
	for _, v := range f.snapshot.Servers {
		v.Cold = &cataloger.ColdPeriod{From: f.clock.Now(), Until: f.clock.Now() + 60*timer.Second}
		f.snapshot = f.snapshot.WithServer(v)
	}
	w := warmer.New("self", f.clock, zap.NewNop())
	w.ApplySnapshot(f.snapshot)
	f.pickerOptions.Warmer = w
	f.options.Picker = picker.New(f.pickerOptions)
	f.relayer = relayer.New(f.options)
	o, _ := f.run(route(cataloger.Idempotent, false, 2))
	require.IsType(t, relayer.NotRun{}, o)
	require.Contains(t, o.(relayer.NotRun).Reason, "cold")
	require.InDelta(t, 1100, int(o.(relayer.NotRun).RetryAfter), 200, "the share counts as spent at the start")
	require.Empty(t, f.targets())
}
