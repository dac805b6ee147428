package broker_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// A caller whose 202 was lost repeated its submission after the route of the job was removed, and
// got 404: it took the job for refused, which ran.
func TestRepeatedSubmissionIsAcceptedAfterItsRouteWasRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		e := f.entry(f.broker)
		batch, other := batchRoute("r", "h", "/batch/"), batchRoute("other", "h", "/other/")
		ordinary := cataloger.Route{Name: "ordinary", Host: "elsewhere", Prefix: "/", Kind: cataloger.Idempotent}
		e.configure(twoWorkspaces(1, batch, other), 0)
		require.Equal(t, http.StatusAccepted, e.call("h/batch/1", "j", "k1", "a b"))
		for version, routes := range [][]cataloger.Route{{other}, {ordinary}, {}} {
			e.configure(twoWorkspaces(int64(2+version), routes...), 0)
			require.Equal(t, http.StatusAccepted, e.call("h/batch/1", "j", "k2", "a b"), "by another key of the workspace")
			for _, c := range []struct{ why, job, key, body string }{
				{"another workspace", "j", "kv", "a b"},
				{"no key", "j", "", "a b"},
				{"an unknown key", "j", "wrong", "a b"},
				{"no such job", "new", "k1", "a b"},
				{"no name", "", "k1", "a b"},
				{"no submission", "j", "k1", ""},
				{"a body that no host takes", "j", "k1", strings.Repeat("a ", 3<<20)},
			} {
				require.Equal(t, http.StatusNotFound, e.call("h/batch/1", c.job, c.key, c.body), c.why)
			}
		}
		e.configure(twoWorkspaces(5), 2*timer.Second)
		require.Equal(t, http.StatusServiceUnavailable, e.call("h/batch/1", "new", "k1", "a b"), "a newer configuration may have the route")
		e.configure(twoWorkspaces(5), 0)
		f.serving = false
		require.Equal(t, http.StatusServiceUnavailable, e.call("h/batch/1", "j", "k1", "a b"), "no host knows whether there is the job")
	})
}

// A repeated submission was refused by the host that received it because a new job would have
// been: its regions had no place left, or other hosts took smaller messages than before.
func TestRepeatedSubmissionIsAcceptedThoughANewJobIsNot(t *testing.T) {
	within := regions{route: []string{"eu"}, holder: "z-eu", server: "z-eu", relay: "z-eu"}
	moved := within
	moved.route = []string{"us"}
	for _, relayed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := startInRegions(t, within)
			require.Equal(t, http.StatusAccepted, f.submit("j", "a b").Status)
			f.receivesFromBulk = !relayed
			if relayed {
				f.otherSnapshot = moved.snapshot()
			} else {
				f.snapshot = moved.snapshot()
			}
			require.Equal(t, http.StatusAccepted, f.submit("j", "a b").Status, "relayed: %t", relayed)
			require.Equal(t, http.StatusServiceUnavailable, f.submit("new", "a b").Status, "relayed: %t", relayed)
		})
	}
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		require.Equal(t, http.StatusAccepted, f.submit("j", "a b").Status)
		f.items = []queuer.Item{{ID: "a", Path: "/", Body: make([]byte, maxJobBytes+1)}}
		require.Equal(t, http.StatusAccepted, f.submit("j", "").Status)
		require.Equal(t, http.StatusRequestEntityTooLarge, f.submit("new", "").Status)
		f.serving = false
		require.Equal(t, http.StatusServiceUnavailable, f.submit("j", "").Status, "no host knows whether there is the job")
	})
}

// Which route's limits count for a repeat on another route: those of the first acceptance. The
// repeat was refused if it were counted again.
func TestRepeatedSubmissionOnAnotherRouteIsNotCountedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		e := f.entry(f.broker)
		small := batchRoute("small", "h", "/small/")
		small.MaxQueued = 10
		e.configure(twoWorkspaces(1, batchRoute("r", "h", "/batch/"), small), 0)
		require.Equal(t, http.StatusAccepted, e.call("h/batch/1", "j", "k1", "a b"))
		require.Equal(t, http.StatusAccepted, e.call("h/small/1", "j", "k1", "a b"))
		require.Equal(t, http.StatusTooManyRequests, e.call("h/small/1", "new", "k1", "a b"))
	})
}
