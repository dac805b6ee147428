package hoster_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/hoster"
	"github.com/jackdawgate/jackdawgate/localizer"
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
