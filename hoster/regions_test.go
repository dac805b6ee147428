package hoster_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/hoster"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// A misspelt region permits no data centre: its requests are refused, and without a log line
// nothing says why.
func TestUnknownRegionIsLoggedOnceForEachConfiguration(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	listener := hoster.LogUnknownRegions(localizer.Zones{"a": "eu"}, zap.New(core))
	config := func(version int64, regions ...string) cataloger.Snapshot {
		p := cataloger.ConfigParts{Version: version, Routes: []cataloger.Route{{Host: "h", AllowedRegions: regions}}}
		return cataloger.Snapshot{}.WithConfig(cataloger.NewConfig(p))
	}
	one := config(1, "eu", "ue")
	for _, s := range []cataloger.Snapshot{{}, one, one.WithRevision(2), config(1, "eu", "ue"), config(2, "eu"), config(3, "ue")} {
		listener(s)
	}
	var versions []any
	for _, e := range logs.All() {
		require.Equal(t, []any{"ue"}, e.ContextMap()["regions"])
		versions = append(versions, e.ContextMap()["version"])
	}
	require.Equal(t, []any{int64(1), int64(3)}, versions)
}

// A group has restricted jobs. A lost replica is not replaced by one in another region.
func TestDisksElsewhereAreBarredFromAGroupWithRestrictedJobs(t *testing.T) {
	p := cataloger.ConfigParts{Routes: []cataloger.Route{
		{Name: "free", Host: "h", Prefix: "/free/", Kind: cataloger.Batch}, {Name: "eu", Host: "h", Prefix: "/eu/", Kind: cataloger.Batch, AllowedRegions: []string{"eu"}},
	}}
	s := cataloger.Snapshot{}.WithConfig(cataloger.NewConfig(p)).
		WithMember(cataloger.Member{Name: "a", Disk: "near", DataCentre: "a"}).
		WithMember(cataloger.Member{Name: "b", Disk: "far", Region: "us"}).
		WithMember(cataloger.Member{Name: "c", Disk: "unknown", DataCentre: "z"}).
		WithMember(cataloger.Member{Name: "d"})
	job := func(route, path string) *queuer.Job {
		return &queuer.Job{Host: "h", Route: route, Items: []queuer.Item{{Path: path}}}
	}
	for _, c := range []struct {
		jobs []*queuer.Job
		want map[string]bool
	}{
		{nil, nil},
		{[]*queuer.Job{job("free", "/free/x")}, nil},
		{[]*queuer.Job{job("free", "/free/x"), job("eu", "/eu/x")}, map[string]bool{"far": true, "unknown": true}},
		{[]*queuer.Job{job("free", "/eu/x")}, map[string]bool{"far": true, "unknown": true}},
	} {
		barred, _ := hoster.BarredDisks(s, localizer.Zones{"a": "eu"}, c.jobs)
		require.Equal(t, c.want, barred)
	}
}
