package executor_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/stretchr/testify/require"
)

// restrict puts a configuration in force in which the route of all items whose path begins with
// /b/ allows these regions.
func (f *fixture) restrict(version int64, regions ...string) {
	r := cataloger.Route{
		Name: "r", Host: "h", Prefix: "/b/", Kind: cataloger.Batch, Shares: []cataloger.Share{{Service: "svc", Weight: 1}}, AllowedRegions: regions,
	}
	free := r
	free.Prefix, free.AllowedRegions = "/free/", nil
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = f.snapshot.WithConfig(cataloger.NewConfig(cataloger.ConfigParts{Version: version, Routes: []cataloger.Route{r, free}}))
}

// startInRegions has the servers s0 in region eu and s1 in us, and returns their addresses.
func startInRegions(t *testing.T, e *engine) (f *fixture, eu, us string) {
	f = startWithServers(t, e, 2)
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, dataCentre := range map[string]string{"s0": "z-eu", "s1": "z-us"} {
		v := f.snapshot.Servers[id]
		v.DataCentre = dataCentre
		f.snapshot = f.snapshot.WithServer(v)
	}
	return f, f.snapshot.Servers["s0"].Address, f.snapshot.Servers["s1"].Address
}

// There are more items than slots in their region, and idle servers elsewhere. Runs that break
// off are resumed in the region too.
func TestItemsRunInTheirRegionsOnly(t *testing.T) {
	e := &engine{breakAt: []int{2, 4, 3}}
	f, eu, _ := startInRegions(t, e)
	f.restrict(2, "eu")
	f.submit(12)
	f.results(12)
	require.Equal(t, map[string]bool{eu: true}, e.addresses())
}

// Items whose region has no server wait, and do not hold others up. They run once the
// configuration allows it.
func TestItemsWithoutAPermittedServerWaitUntilTheRegionsChange(t *testing.T) {
	e := &engine{}
	f, _, us := startInRegions(t, e)
	f.restrict(2, "mars")
	list := []queuer.Item{{ID: "r1", Path: "/b/x"}, {ID: "r2", Path: "/b/x"}, {ID: "free", Path: "/free/x"}}
	f.submitItems("j", list)
	require.Equal(t, "free", f.results(1)[0].Item)
	require.Equal(t, map[string]int{"": 2, "mars": 2}, f.executor.RestrictedBacklog())
	require.Len(t, e.received(), 1)
	free := e.addresses()
	f.restrict(3, "us")
	f.results(3)
	free[us] = true
	require.Equal(t, free, e.addresses())
}

// The route of a job was replaced by one without regions that matches its items. They ran in any
// region.
func TestItemsKeepTheRegionsOfARemovedRoute(t *testing.T) {
	e := &engine{}
	f, eu, _ := startInRegions(t, e)
	f.restrict(2)
	j := queuer.Job{ID: "j", Host: "h", Route: "removed", Submitted: time.Now().UnixMilli(), RunObjective: 18000, Retention: 60000, MaxAttempts: 3}
	for i := range 12 {
		j.Items = append(j.Items, queuer.Item{ID: strconv.Itoa(i), Path: "/b/x"})
	}
	j.Regions.Route = []string{"eu"}
	entries, err := queuer.Encode(queuer.NewAccepted(j))
	require.NoError(t, err)
	f.queue.Apply(entries[0])
	f.executor.Wake()
	f.results(12)
	require.Equal(t, map[string]bool{eu: true}, e.addresses())
}

// Another host has many more items, none of which may run in the region of this host's items.
// It was to fill the region's server, and left it idle.
func TestItemsOfOtherRegionsOnOtherHostsDoNotKeepAServerIdle(t *testing.T) {
	e := &engine{}
	f, eu, _ := startInRegions(t, e)
	other := gossiper.Digest{Host: "other", Backlog: 1_000_000, RestrictedBacklog: map[string]int{"": 1_000_000, "us": 1_000_000}}
	f.executor.Close()
	f.digests = func() []gossiper.Digest { return []gossiper.Digest{other} }
	f.restrict(2, "eu")
	f.startExecutor()
	f.submit(3)
	f.results(3)
	require.Equal(t, map[string]bool{eu: true}, e.addresses())
}
