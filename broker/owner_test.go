package broker_test

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/broker"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/gatekeeper"
	"github.com/jackdawgate/jackdawgate/namer"
	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// entry is an entry host as callers see it: the checks of package gatekeeper in front of a broker.
type entry struct {
	t *testing.T
	// clock stands still, so that a configuration stays as old as configure made it.
	clock    *harness.Clock
	snapshot cataloger.Snapshot
	gate     *gatekeeper.Gatekeeper
}

// entry returns an entry host that calls through b.
func (f *fixture) entry(b *broker.Broker) *entry {
	e := &entry{t: f.t, clock: &harness.Clock{Time: 100 * timer.Second}}
	e.gate = gatekeeper.New(gatekeeper.Options{
		Names:    namer.Names{RequestID: "Id", Key: "Key", Wait: "Wait", ParseJobCall: jobCall},
		Snapshot: func() cataloger.Snapshot { return e.snapshot }, Rationer: rationer.New(e.clock), Jobs: b,
		OthersReady: func() bool { return false }, Clock: e.clock, Logger: zap.NewNop(),
	})
	return e
}

// configure puts a configuration in force that was confirmed age ago.
func (e *entry) configure(p cataloger.ConfigParts, age timer.Millis) {
	e.snapshot = cataloger.Snapshot{Config: cataloger.NewConfig(p), ConfirmedAt: e.clock.Time - age}
}

// jobCall recognizes /results/JOB, /body/JOB/ITEM and /end/JOB.
func jobCall(_, path, _ string) (namer.JobCall, bool) {
	parts := strings.Split(path, "/")
	switch {
	case parts[1] == "results":
		return namer.ReadResults{Job: parts[2]}, true
	case parts[1] == "body":
		return namer.ReadBody{Job: parts[2], Item: parts[3]}, true
	case parts[1] == "end":
		return namer.CancelJob{Job: parts[2]}, true
	}
	return nil, false
}

// call makes a call with a key, or none if it is empty, and returns the status of the answer.
func (e *entry) call(target, id, key, body string) int {
	e.t.Helper()
	u, err := url.Parse("http://" + target)
	require.NoError(e.t, err)
	q := httptest.NewRequest(http.MethodPost, u.String(), strings.NewReader(body))
	q.Header.Set("Id", id)
	if key != "" {
		q.Header.Set("Key", key)
	}
	w := httptest.NewRecorder()
	e.gate.ServeHTTP(w, q)
	return w.Code
}

// aboutJob are the calls about a job that do not end it, and have the item a.
var aboutJob = []string{"h/results/%", "h/body/%/a"}

// requireAnswers requires that calls about a job with each key are answered with a status.
func (e *entry) requireAnswers(job string, statuses map[string]int) {
	e.t.Helper()
	for key, want := range statuses {
		for _, target := range aboutJob {
			require.Equal(e.t, want, e.call(strings.ReplaceAll(target, "%", job), "", key, ""), "%s with key %q", target, key)
		}
	}
}

// batchRoute is a route for batch jobs.
func batchRoute(name, host, prefix string) cataloger.Route {
	return cataloger.Route{
		Name: name, Host: host, Prefix: prefix, Kind: cataloger.Batch, MaxAttempts: 1, MaxQueued: 50,
		Shares: []cataloger.Share{{Service: "s", Weight: 1}},
	}
}

// twoWorkspaces is a configuration with a workspace w that has the keys k1 and k2, and a workspace
// v that has the key kv.
func twoWorkspaces(version int64, routes ...cataloger.Route) cataloger.ConfigParts {
	return cataloger.ConfigParts{
		Version: version, Routes: routes, Workspaces: []cataloger.Workspace{{Name: "w"}, {Name: "v"}},
		Keys: map[string]string{"k1": "w", "k2": "w", "kv": "v"},
	}
}

// A workspace submitted a job on a public route with its key. The job was stored for nobody, and
// was unknown to the workspace from then on.
func TestJobOnAPublicRouteBelongsToTheWorkspaceOfItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		e := f.entry(f.broker)
		public := batchRoute("r", "h", "/batch/")
		public.Public = true
		owned := map[string]int{"k1": http.StatusOK, "k2": http.StatusOK, "kv": http.StatusNotFound, "wrong": http.StatusUnauthorized, "": http.StatusUnauthorized}
		for _, c := range []struct {
			job             string
			accepted, later cataloger.Route
		}{
			{"stays", public, public},
			{"no-longer-public", public, batchRoute("r", "h", "/batch/")},
			{"becomes-public", batchRoute("r", "h", "/batch/"), public},
		} {
			e.configure(twoWorkspaces(1, c.accepted), 0)
			require.Equal(t, http.StatusAccepted, e.call("h/batch/1", c.job, "k1", "a b"), c.job)
			e.requireAnswers(c.job, owned)
			e.configure(twoWorkspaces(2, c.later), 0)
			require.Equal(t, http.StatusAccepted, e.call("h/batch/1", c.job, "k2", "a b"), "repeated: %s", c.job)
			e.requireAnswers(c.job, owned)
			require.Equal(t, http.StatusUnauthorized, e.call("h/end/"+c.job, "", "", ""))
			require.Equal(t, http.StatusNotFound, e.call("h/end/"+c.job, "", "kv", ""))
			require.Equal(t, http.StatusOK, e.call("h/end/"+c.job, "", "k2", ""))
		}
	})
}

// A public route accepted jobs without a key, and with a key that a stale configuration did not
// know. No later call could be made about them.
func TestJobWithoutAKnownKeyIsRefusedOnAPublicRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		e := f.entry(f.broker)
		public := batchRoute("r", "h", "/batch/")
		public.Public = true
		for _, c := range []struct {
			age    timer.Millis
			status int
		}{{0, http.StatusUnauthorized}, {2 * timer.Second, http.StatusServiceUnavailable}} {
			e.configure(twoWorkspaces(1, public), c.age)
			for _, key := range []string{"", "wrong"} {
				require.Equal(t, c.status, e.call("h/batch/1", "j", key, "a b"), "key %q", key)
			}
		}
		require.Zero(t, f.longestEntry, "nothing is stored")
		e.configure(twoWorkspaces(1, public), 5*timer.Second)
		require.Equal(t, http.StatusServiceUnavailable, e.call("h/batch/1", "j", "k1", "a b"), "the key may have been withdrawn")
	})
}

// Jobs that were submitted without a workspace were unknown to their callers once the configuration
// had its first workspace, and jobs of a workspace once it had none any more. Earlier versions
// stored jobs of public routes for nobody too, so these are in the logs of running fleets.
func TestJobsKeepTheirOwnerWhenTheConfigurationGainsOrLosesItsWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		e := f.entry(f.broker)
		r := batchRoute("r", "h", "/batch/")
		none := cataloger.ConfigParts{Version: 1, Routes: []cataloger.Route{r}}
		e.configure(none, 0)
		require.Equal(t, http.StatusAccepted, e.call("h/batch/1", "nobodys", "", "a b"))
		e.requireAnswers("nobodys", map[string]int{"": http.StatusOK, "k1": http.StatusOK})
		e.configure(twoWorkspaces(2, r), 0)
		require.Equal(t, http.StatusAccepted, e.call("h/batch/1", "of-w", "k1", "a b"))
		e.requireAnswers("nobodys", map[string]int{"": http.StatusOK, "k1": http.StatusNotFound, "kv": http.StatusNotFound, "wrong": http.StatusUnauthorized})
		e.requireAnswers("of-w", map[string]int{"": http.StatusUnauthorized, "k1": http.StatusOK, "kv": http.StatusNotFound, "wrong": http.StatusUnauthorized})
		e.requireAnswers("no-job", map[string]int{"": http.StatusUnauthorized, "k1": http.StatusNotFound, "wrong": http.StatusUnauthorized})
		require.Equal(t, http.StatusNotFound, e.call("h/body/nobodys/no-item", "", "", ""), "its caller has the job, but not the item")
		none.Version = 3
		e.configure(none, 0)
		e.requireAnswers("nobodys", map[string]int{"": http.StatusOK, "k1": http.StatusOK})
		// The key may be that of the job's workspace, so its job is not said to be unknown.
		e.requireAnswers("of-w", map[string]int{"": http.StatusNotFound, "k1": http.StatusUnauthorized})
		e.requireAnswers("no-job", map[string]int{"": http.StatusNotFound, "k1": http.StatusUnauthorized})
		e.configure(twoWorkspaces(4, r), 0)
		e.requireAnswers("of-w", map[string]int{"": http.StatusUnauthorized, "k1": http.StatusOK, "kv": http.StatusNotFound})
	})
}
