package localizer_test

import (
	"slices"
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

// A job obeys the configuration in force, as a request does. Where that has its route, its
// workspace or the route of an item no more, what they allowed as of its acceptance applies.
func TestConfigurationThatLacksTheRouteOfAJobDoesNotFreeIt(t *testing.T) {
	paths := slices.Values([]string{"/r/1", "/items/1"})
	at := func(prefix, name string, regions ...string) cataloger.Route {
		return cataloger.Route{Name: name, Host: "h", Prefix: prefix, Kind: cataloger.Batch, AllowedRegions: regions}
	}
	configured := func(w []string, routes ...cataloger.Route) *cataloger.Config {
		return cataloger.NewConfig(cataloger.ConfigParts{Routes: routes, Workspaces: []cataloger.Workspace{{Name: "w", AllowedRegions: w}}})
	}
	job := localizer.Job{Host: "h", Route: "r", Workspace: "w"}
	job.Accepted = job.AtAcceptance(configured([]string{"a", "b", "c"}, at("/r/", "r", "b", "c", "d"), at("/items/", "i", "c", "d", "e")), paths)
	require.Equal(t, localizer.JobRegions{Route: []string{"b", "c", "d"}, Workspace: []string{"a", "b", "c"}, Items: []string{"c", "d"}}, job.Accepted)
	for _, c := range []struct {
		why           string
		now           *cataloger.Config
		stored, whole []string
	}{
		{"no configuration", nil, []string{"b", "c"}, []string{"c"}},
		{"all removed", cataloger.NewConfig(cataloger.ConfigParts{}), []string{"b", "c"}, []string{"c"}},
		{"the route of the items removed", configured([]string{"a", "b", "c"}, at("/r/", "r", "b", "c", "d")), []string{"b", "c"}, []string{"c"}},
		{"all lifted", configured(nil, at("/r/", "r"), at("/items/", "i")), nil, nil},
		{"the workspace lifted, the route moved", configured(nil, at("/moved/", "r", "e"), at("/items/", "i", "d", "e")), []string{"e"}, nil},
	} {
		require.Equal(t, c.stored, job.Allowed(c.now).Regions(), c.why)
		whole, _ := job.AllowedWithItems(c.now, paths)
		require.Equal(t, c.whole, whole.Regions(), c.why)
	}
	require.True(t, localizer.Job{}.AtAcceptance(nil, paths).None())
	require.True(t, job.AtAcceptance(configured(nil, at("/r/", "r")), paths).None())
}

// The callers of a host name are sent to regions that suit all of its restricted routes, or
// else some of them, and to their own. A query without a region, or for a host name that no
// route has, is answered too.
func TestCallersEnterInTheirRegionAndThoseOfTheirRoutes(t *testing.T) {
	z := localizer.Zones{"z-asia": "asia"}
	eu, both, free := route("eu"), route("eu", "us"), route()
	for _, c := range []struct {
		caller localizer.Caller
		routes []*cataloger.Route
		want   []string
	}{
		{localizer.Caller{Host: "h"}, nil, []string{"eu", "us", "asia", ""}},
		{localizer.Caller{Host: "h", Region: "us"}, []*cataloger.Route{free}, []string{"eu", "us", "asia", ""}},
		{localizer.Caller{Region: "us"}, []*cataloger.Route{eu}, []string{"eu", "us", "asia", ""}},
		{localizer.Caller{Host: "h"}, []*cataloger.Route{both, free, eu}, []string{"eu"}},
		{localizer.Caller{Host: "h"}, []*cataloger.Route{eu, route("us")}, []string{"eu", "us"}},
		{localizer.Caller{Host: "h", Region: "us"}, []*cataloger.Route{eu}, []string{"eu", "us"}},
		{localizer.Caller{Host: "h", DataCentre: "z-asia"}, []*cataloger.Route{eu}, []string{"eu", "asia"}},
		{localizer.Caller{Host: "h", DataCentre: "z-none"}, []*cataloger.Route{eu}, []string{"eu"}},
		{localizer.Caller{Host: "h", Region: "mars"}, []*cataloger.Route{route("mars")}, nil},
	} {
		p := cataloger.ConfigParts{}
		for _, r := range c.routes {
			p.Routes = append(p.Routes, *r)
		}
		prefers := c.caller.Prefers(cataloger.NewConfig(p), z)
		var got []string
		for _, region := range []string{"eu", "us", "asia", ""} {
			if prefers(region) {
				got = append(got, region)
			}
		}
		require.Equal(t, c.want, got, "%+v", c)
	}
	require.True(t, localizer.Caller{Host: "h"}.Prefers(nil, z)("eu"))
}

func TestDataCentreWithoutARegionIsUnknown(t *testing.T) {
	z := localizer.Zones{"a": "eu"}.With("b", "us").With("a", "us")
	require.Equal(t, localizer.Zones{"a": "eu", "b": "us"}, z)
	require.Equal(t, "us", z.RegionOfMember(cataloger.Member{DataCentre: "b"}), "an entry of an earlier version states no region")
	require.Equal(t, "eu", z.RegionOfMember(cataloger.Member{DataCentre: "b", Region: "eu"}))
	require.Empty(t, z.RegionOf("c"))
	require.Equal(t, []string{"", "mars"}, z.Unknown([]string{"", "eu", "mars", "us"}))
}
