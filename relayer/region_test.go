package relayer_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// home puts a configuration in force in which the workspace has these allowed regions.
func (f *fixture) home(version int64, regions ...string) *cataloger.Workspace {
	w := cataloger.Workspace{Name: "w", AllowedRegions: regions}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = f.snapshot.WithConfig(cataloger.NewConfig(cataloger.ConfigParts{Version: version, Workspaces: []cataloger.Workspace{w}}))
	return &w
}

// regionFixture has the servers s0 in region eu, s1 in us and s2 in a data centre without a
// region.
func regionFixture(t *testing.T, scripts ...script) *fixture {
	f := newFixture(t, 3, scripts...)
	for id, dataCentre := range map[string]string{"s0": "z-eu", "s1": "z-us", "s2": "z-none"} {
		v := f.snapshot.Servers[id]
		v.DataCentre = dataCentre
		f.snapshot = f.snapshot.WithServer(v)
	}
	return f
}

func (f *fixture) runAs(w *cataloger.Workspace, r *cataloger.Route) (relayer.Outcome, *sink) {
	s := &sink{}
	return f.relayer.Run(f.t.Context(), relayer.Call{
		ID: "id", Method: "POST", Target: "/p", Host: "h", Header: http.Header{}, Route: r, Service: "svc", Workspace: "w", Deadline: f.clock.Now() + 3*timer.Second,
		Subject: localizer.Subject{Route: r, Workspace: w, Path: "/p"},
	}, s), s
}

func (f *fixture) servers() []string {
	var out []string
	for _, q := range f.seen() {
		out = append(out, q.Header.Get(names.ExpectServer))
	}
	return out
}

// The home of a workspace moves while its stream is open. The stream then breaks off: it is
// resumed in the new home, not in the one in which it was admitted.
func TestResumedStreamObeysRegionsThatChangedWhileItWasOpen(t *testing.T) {
	f := regionFixture(t)
	f.scripts = []script{func(c net.Conn, q *http.Request) {
		f.home(2, "us")
		events(1, 2, false)(c, q)
	}, events(3, 4, true)}
	o, s := f.runAs(f.home(1, "eu"), route(cataloger.Stream, true, 3))
	require.IsType(t, relayer.Delivered{}, o)
	require.Equal(t, wholeStream(4), s.body.String())
	require.Equal(t, []string{"s0", "s1"}, f.servers())
}

// The new home has no server: the stream ends, rather than that it is resumed elsewhere.
func TestStreamIsNotResumedWhereNoRegionIsAllowed(t *testing.T) {
	f := regionFixture(t)
	f.scripts = []script{func(c net.Conn, q *http.Request) {
		f.home(2, "asia")
		events(1, 2, false)(c, q)
	}}
	o, _ := f.runAs(f.home(1, "eu"), route(cataloger.Stream, true, 3))
	require.IsType(t, relayer.Interrupted{}, o)
	require.Equal(t, []string{"s0"}, f.servers())
}

// The only server of a region refuses, breaks off or cannot be reached. The call is not
// retried in another region.
func TestFailedCallIsNotRetriedInAnotherRegion(t *testing.T) {
	for name, c := range map[string]struct {
		script script
		want   relayer.Outcome
	}{
		"refused":    {refused, relayer.NotRun{}},
		"broken off": {breakOff, relayer.Unknown{}},
	} {
		f := regionFixture(t, c.script, c.script)
		o, _ := f.runAs(f.home(1, "us"), route(cataloger.Idempotent, false, 3))
		require.IsType(t, c.want, o, name)
		require.Equal(t, []string{"s1"}, f.servers(), name)
	}
}

// The reason that a caller reads is the true one, and nothing was sent anywhere.
func TestCallWithoutAPermittedPlaceIsRefusedAtOnce(t *testing.T) {
	for reason, c := range map[string]struct{ route, workspace []string }{
		"the allowed regions of the route and of the workspace have none in common": {[]string{"eu"}, []string{"us"}},
		"no usable server of service svc in the allowed regions":                    {[]string{"mars"}, nil},
	} {
		f := regionFixture(t)
		r := route(cataloger.Idempotent, false, 3)
		r.AllowedRegions = c.route
		o, _ := f.runAs(f.home(1, c.workspace...), r)
		require.Equal(t, reason, o.(relayer.NotRun).Reason)
		require.Positive(t, o.(relayer.NotRun).RetryAfter)
		require.Empty(t, f.servers())
	}
}
