package broker_test

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/broker"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/gatekeeper"
	"github.com/jackdawgate/jackdawgate/namer"
	"github.com/stretchr/testify/require"
)

// regions are those of the parts of a fleet.
type regions struct {
	// route and workspace are what these allow.
	route, workspace []string
	// holder and relay are the data centres of the bulk host, which holds all groups, and of
	// the other entry host; server that of the only server.
	holder, relay, server string
}

// snapshot returns the snapshot of a fleet.
func (r regions) snapshot() cataloger.Snapshot {
	p := cataloger.ConfigParts{Version: 1, Routes: []cataloger.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: cataloger.Batch, Shares: []cataloger.Share{{Service: "svc", Weight: 1}}, AllowedRegions: r.route,
	}}, Workspaces: []cataloger.Workspace{{Name: "w", AllowedRegions: r.workspace}}}
	s := cataloger.Snapshot{}.WithConfig(cataloger.NewConfig(p)).
		WithServer(cataloger.Server{ID: "s", Service: "svc", DataCentre: r.server}).
		WithMember(cataloger.Member{Name: "bulk", Role: cataloger.Bulk, PeerAddress: "bulk", Disk: "d", DataCentre: r.holder}).
		WithMember(cataloger.Member{Name: "other", Role: cataloger.Entry, PeerAddress: "other", DataCentre: r.relay})
	for n := range broker.Groups {
		s = s.WithGroup(n, cataloger.Group{Owner: "d", Holders: []string{"d"}, Revision: 1})
	}
	return s
}

// startInRegions has a snapshot with these regions on all hosts.
func startInRegions(t *testing.T, r regions) *fixture {
	f := start(t)
	f.snapshot = r.snapshot()
	f.bulkSnapshot = f.snapshot
	return f
}

func requireRefused(t *testing.T, f *fixture, a gatekeeper.JobAnswer, reason string) {
	t.Helper()
	require.Equal(t, http.StatusServiceUnavailable, a.Status)
	require.Contains(t, a.Reason, reason)
	require.Positive(t, a.RetryAfterMillis)
	require.Zero(t, f.longestEntry, "nothing is written")
}

func TestJobIsAcceptedWithinItsRegions(t *testing.T) {
	for name, r := range map[string]regions{
		"restricted":   {route: []string{"eu"}, workspace: []string{"us", "eu"}, holder: "z-eu", relay: "z-us", server: "z-eu"},
		"unrestricted": {holder: "z-us", relay: "z-us"},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := startInRegions(t, r)
			require.Equal(t, http.StatusAccepted, f.submit("j", "a b").Status, name)
			require.Equal(t, "20", string(f.read("w", namer.ReadResults{Job: "j"}).Body), name)
		})
	}
}

// Each of these jobs cannot be stored or run within its regions. The caller is told why at
// once, and the job's body reaches no other host.
func TestJobWithoutAPermittedPlaceIsRefusedWithTheReason(t *testing.T) {
	eu := []string{"eu"}
	for _, c := range []struct {
		reason string
		regions
	}{
		{"have none in common", regions{route: eu, workspace: []string{"us"}, holder: "z-eu", server: "z-eu"}},
		{"group has a holder outside", regions{route: eu, holder: "z-us", server: "z-eu"}},
		{"group has a holder outside", regions{route: []string{"mars"}, holder: "z-eu", server: "z-eu"}},
		{"group has a holder outside", regions{route: eu, holder: "z-none", server: "z-eu"}},
		{"no server in the job's allowed regions", regions{workspace: eu, holder: "z-eu", server: "z-us"}},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := startInRegions(t, c.regions)
			f.bulkSnapshot = cataloger.Snapshot{} // The entry host refuses by itself.
			requireRefused(t, f, f.submit("j", "a"), c.reason)
		})
	}
}

// The entry host has not read yet that the group has a replica in another region.
func TestOwnerRefusesAJobWhoseGroupHasAReplicaElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := regions{route: []string{"eu"}, holder: "z-eu", server: "z-eu"}
		f := startInRegions(t, r)
		for n := range broker.Groups {
			f.bulkSnapshot = f.bulkSnapshot.WithGroup(n, cataloger.Group{Owner: "d", Holders: []string{"d", "replica"}, Revision: 2})
		}
		f.bulkSnapshot = f.bulkSnapshot.WithMember(cataloger.Member{Name: "elsewhere", Role: cataloger.Bulk, Disk: "replica", Region: "us"})
		requireRefused(t, f, f.submit("j", "a"), "group has a holder outside")
	})
}

// A disk in another region receives the log in order to become a holder.
func TestOwnerRefusesAJobWhoseGroupGetsAReplicaElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startInRegions(t, regions{route: []string{"eu"}, holder: "z-eu", server: "z-eu"})
		f.recipients = []string{"learner"}
		f.bulkSnapshot = f.bulkSnapshot.WithMember(cataloger.Member{Name: "elsewhere", Role: cataloger.Bulk, Disk: "learner", DataCentre: "z-us"})
		requireRefused(t, f, f.submit("j", "a"), "group has a holder outside")
	})
}

// A host of another region reports that it serves the group. The job is not sent there.
func TestJobIsNotSentToAServingHostElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startInRegions(t, regions{route: []string{"eu"}, holder: "z-us", server: "z-eu"})
		f.snapshot = f.snapshot.WithMember(cataloger.Member{Name: "holder", Role: cataloger.Bulk, PeerAddress: "none", Disk: "e", DataCentre: "z-eu"})
		for n := range broker.Groups {
			f.snapshot = f.snapshot.WithGroup(n, cataloger.Group{Owner: "e", Holders: []string{"e"}, Revision: 2})
		}
		f.bulkSnapshot = cataloger.Snapshot{} // It would accept the job.
		requireRefused(t, f, f.submit("j", "a"), "no host answers")
	})
}

// The entry host hears no bulk host, and the only other entry host is in another region. Jobs,
// and what is read of them, do not pass through it.
func TestCallsAboutJobsAreNotRelayedThroughOtherRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := regions{route: []string{"eu"}, holder: "z-eu", relay: "z-us", server: "z-eu"}
		f := startInRegions(t, r)
		require.Equal(t, http.StatusAccepted, f.submit("k", "a").Status)
		f.receivesFromBulk, f.longestEntry = false, 0
		requireRefused(t, f, f.submit("j", "a"), "through which the call may pass")
		requireRefused(t, f, f.read("w", namer.ReadBody{Job: "k", Item: "a"}), "through which the call may pass")
		requireRefused(t, f, f.read("w", namer.ReadResults{Job: "k"}), "through which the call may pass")
		elsewhere := f.snapshot
		r.relay = "z-eu"
		f.snapshot = r.snapshot()
		require.Equal(t, "a", string(f.read("w", namer.ReadBody{Job: "k", Item: "a"}).Body))
		require.Equal(t, http.StatusAccepted, f.submit("j", "a").Status)
		f.snapshot = elsewhere
		require.Equal(t, http.StatusOK, f.read("w", namer.CancelJob{Job: "k"}).Status, "a cancellation carries nothing of the job")
	})
}

// A relay knows a newer configuration than the host that asks it.
func TestRelayRefusesAJobThatItsConfigurationDoesNotPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startInRegions(t, regions{holder: "z-us", relay: "z-us", server: "z-eu"})
		f.receivesFromBulk = false
		f.otherSnapshot = regions{route: []string{"eu"}, holder: "z-us", relay: "z-us", server: "z-eu"}.snapshot()
		requireRefused(t, f, f.submit("j", "a"), "group has a holder outside")
	})
}

// A group with a job of a removed route or workspace could get a replica in any region, and its
// items could run there.
func TestJobKeepsItsRegionsAfterItsRouteAndWorkspaceWereRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startInRegions(t, regions{route: []string{"eu", "us"}, workspace: []string{"us", "asia"}, holder: "z-us", server: "z-us"})
		require.Equal(t, http.StatusAccepted, f.submit("j", "a b").Status)
		list := f.queues[broker.GroupOf("j")].Jobs()
		require.Len(t, list, 1)
		other := batchRoute("other", "h", "/other/")
		other.AllowedRegions = []string{"eu"}
		moved := batchRoute("r", "elsewhere", "/")
		lifted := batchRoute("r", "h", "/")
		for _, c := range []struct {
			why    string
			routes []cataloger.Route
			want   []string
		}{
			{"no route and no workspace", nil, []string{"us"}},
			{"another route", []cataloger.Route{other}, []string{"us"}},
			{"a route of the same name of another host", []cataloger.Route{moved}, []string{"us"}},
			{"the route itself without regions", []cataloger.Route{lifted}, []string{"us", "asia"}},
		} {
			now := cataloger.NewConfig(cataloger.ConfigParts{Version: 2, Routes: c.routes})
			require.Equal(t, c.want, broker.StoredIn(now, list[0]).Regions(), c.why)
		}
	})
}
