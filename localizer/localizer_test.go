package localizer_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/stretchr/testify/require"
)

func route(regions ...string) *cataloger.Route {
	return &cataloger.Route{Name: "r", Host: "h", Prefix: "/", Kind: cataloger.Batch, AllowedRegions: regions}
}

func workspace(regions ...string) *cataloger.Workspace {
	return &cataloger.Workspace{Name: "w", AllowedRegions: regions}
}

func config(r *cataloger.Route, w *cataloger.Workspace) *cataloger.Config {
	p := cataloger.ConfigParts{Version: 1}
	if r != nil {
		p.Routes = append(p.Routes, *r)
	}
	if w != nil {
		p.Workspaces = append(p.Workspaces, *w)
	}
	return cataloger.NewConfig(p)
}

func TestRegionsOfRouteAndWorkspaceBothApply(t *testing.T) {
	for _, c := range []struct {
		route      *cataloger.Route
		workspace  *cataloger.Workspace
		eu, us, no bool
	}{
		{nil, nil, true, true, true},
		{route(), workspace(), true, true, true},
		{route("eu"), nil, true, false, false},
		{nil, workspace("us"), false, true, false},
		{route("eu", "us"), workspace("us", "asia"), false, true, false},
		{route("eu"), workspace("us"), false, false, false},
		{route("eu", ""), workspace(), true, false, false},
	} {
		s := localizer.Allowed(c.route, c.workspace)
		require.Equal(t, []bool{c.eu, c.us, c.no}, []bool{s.Permits("eu"), s.Permits("us"), s.Permits("")}, "%v %v", c.route, c.workspace)
		require.Equal(t, !c.no, s.Restricted())
		require.Equal(t, !c.eu && !c.us && !c.no, s.Empty())
	}
}

// A request that was admitted earlier obeys the configuration in force now. Where that has its
// route or workspace no more, it is not set free.
func TestConfigurationInForceReplacesThatOfTheAdmission(t *testing.T) {
	admitted := localizer.Subject{Route: route("eu"), Workspace: workspace("eu", "us"), Path: "/x"}
	for _, c := range []struct {
		now    *cataloger.Config
		eu, us bool
	}{
		{nil, true, false},
		{config(nil, nil), true, false},
		{config(route("us"), workspace("us")), false, true},
		{config(route("us"), nil), false, true},
		{config(nil, workspace("us")), false, false},
		{config(route(), workspace()), true, true},
	} {
		s := admitted.Allowed(c.now)
		require.Equal(t, []bool{c.eu, c.us}, []bool{s.Permits("eu"), s.Permits("us")}, "%v", c.now)
	}
	free := localizer.Subject{Route: route(), Workspace: workspace(), Path: "/x"}
	require.False(t, free.Allowed(config(route("us"), nil)).Permits("eu"))
}

// The callers of a host name are sent to regions that suit all of its restricted routes, or
// else some of them.
func TestCallersEnterInRegionsThatSuitTheRoutesOfTheirHostName(t *testing.T) {
	entering := func(routes ...*cataloger.Route) []string {
		p := cataloger.ConfigParts{}
		for _, r := range routes {
			p.Routes = append(p.Routes, *r)
		}
		return localizer.Entering(cataloger.NewConfig(p), "h").Regions()
	}
	require.Empty(t, entering(route()))
	require.Equal(t, []string{"eu"}, entering(route("eu", "us"), route(), route("eu")))
	require.Equal(t, []string{"eu", "us"}, entering(route("eu"), route("us")))
	require.False(t, localizer.Entering(config(route("eu"), nil), "other").Restricted())
}

func TestDataCentreWithoutARegionIsUnknown(t *testing.T) {
	z := localizer.Zones{"a": "eu"}.With("b", "us").With("a", "us")
	require.Equal(t, localizer.Zones{"a": "eu", "b": "us"}, z)
	require.Equal(t, "us", z.RegionOfMember(cataloger.Member{DataCentre: "b"}), "an entry of an earlier version states no region")
	require.Equal(t, "eu", z.RegionOfMember(cataloger.Member{DataCentre: "b", Region: "eu"}))
	require.Empty(t, z.RegionOf("c"))
	require.Equal(t, []string{"", "mars"}, z.Unknown([]string{"", "eu", "mars", "us"}))
}
