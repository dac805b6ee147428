package soaker_test

import (
	"flag"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	// The tests run a binary built from these packages. The imports make go test
	// discard cached results when the packages change.
	_ "github.com/jackdawgate/jackdawgate/hoster"
	_ "github.com/jackdawgate/jackdawgate/platform"
	"github.com/jackdawgate/jackdawgate/soaker"
	"github.com/stretchr/testify/require"
)

var (
	seeds       = flag.Int("soak.seeds", 1, "number of seeds to run")
	first       = flag.Uint64("soak.first", 1, "the first seed")
	faultPeriod = flag.Duration("soak.trouble", 8*time.Second, "how long new faults are started")
	previous    = flag.String("soak.previous", "", "path of an earlier jackdawgated, from which hosts are upgraded and to which they return")
	folder      = flag.String("soak.folder", "", "folder for logs, settings and disks; a temporary folder of the test by default")
)

// buildProgram builds jackdawgated and returns its path.
func buildProgram(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "jackdawgated")
	out, err := exec.Command("go", "build", "-o", path, "../cmd/jackdawgated").CombinedOutput()
	require.NoError(t, err, string(out))
	return path
}

// TestSoak runs soaks with random faults. To run it for longer:
// go test ./soaker -soak.seeds 50 -timeout 60m.
func TestSoak(t *testing.T) {
	path := buildProgram(t)
	for n := range uint64(*seeds) {
		t.Run(fmt.Sprint("seed-", *first+n), func(t *testing.T) {
			dir := t.TempDir()
			if *folder != "" {
				dir = filepath.Join(*folder, fmt.Sprint("seed-", *first+n))
				require.NoError(t, exec.Command("mkdir", "-p", dir).Run())
			}
			r, err := soaker.Run(soaker.Options{
				Program: path, Folder: dir, Seed: *first + n, FaultPeriod: *faultPeriod, EntryHosts: 3, BulkHosts: 3, Servers: 4,
			})
			require.NoError(t, err)
			t.Logf("answered %d, refused %d, failed %d, jobs %d, %d faults", r.Answered, r.Refused, r.Failed, r.Jobs, len(r.Faults))
			if len(r.Violations) > 0 {
				for _, f := range r.Faults {
					t.Log(f)
				}
			}
			require.Empty(t, r.Violations)
		})
	}
}

// A request that had crashed three servers was sent to further servers.
// To run the test for longer:
// go test ./soaker -run Crashes -soak.seeds 10 -soak.trouble 30s.
func TestCallThatCrashesServersIsRefusedByAllHosts(t *testing.T) {
	path := buildProgram(t)
	for n := range uint64(*seeds) {
		t.Run(fmt.Sprint("seed-", *first+n), func(t *testing.T) {
			r, err := soaker.RunCrashing(soaker.Options{
				Program: path, Folder: t.TempDir(), Seed: *first + n, FaultPeriod: max(*faultPeriod, 12*time.Second), EntryHosts: 3, BulkHosts: 3, Servers: 6,
			})
			require.NoError(t, err)
			t.Logf("answered %d, refused %d, failed %d, jobs %d", r.Answered, r.Refused, r.Failed, r.Jobs)
			for _, f := range r.Faults {
				t.Log(f)
			}
			require.Empty(t, r.Violations)
		})
	}
}

// Requests and batch items that share a crashing part of their prompts crashed one server
// after the other. To run the test for longer:
// go test ./soaker -run Prompt -soak.seeds 10 -soak.trouble 30s.
func TestCrashingPartOfPromptsIsRefusedByAllHosts(t *testing.T) {
	path := buildProgram(t)
	for n := range uint64(*seeds) {
		t.Run(fmt.Sprint("seed-", *first+n), func(t *testing.T) {
			r, err := soaker.RunCrashingPrompts(soaker.Options{
				Program: path, Folder: t.TempDir(), Seed: *first + n, FaultPeriod: max(*faultPeriod, 18*time.Second), EntryHosts: 3, BulkHosts: 3, Servers: 8,
			})
			require.NoError(t, err)
			t.Logf("answered %d, refused %d, failed %d, jobs %d", r.Answered, r.Refused, r.Failed, r.Jobs)
			for _, f := range r.Faults {
				t.Log(f)
			}
			require.Empty(t, r.Violations)
		})
	}
}

// A server announces in its responses that it is leaving, while its entry says
// that it is ready and the store does not answer.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	r, err := soaker.RunLeaving(soaker.Options{
		Program: buildProgram(t), Folder: t.TempDir(), Seed: *first, FaultPeriod: 6 * time.Second, EntryHosts: 3, BulkHosts: 3, Servers: 4,
	})
	require.NoError(t, err)
	for _, f := range r.Faults {
		t.Log(f)
	}
	require.Empty(t, r.Violations)
}

// A server got several times the requests that it had named as its limit. To run the test
// for longer: go test ./soaker -run Limit -soak.seeds 10 -soak.trouble 40s.
func TestServersGetNoMoreThanTheLimitsThatTheyName(t *testing.T) {
	path := buildProgram(t)
	for n := range uint64(*seeds) {
		t.Run(fmt.Sprint("seed-", *first+n), func(t *testing.T) {
			r, err := soaker.RunLimited(soaker.Options{
				Program: path, Folder: t.TempDir(), Seed: *first + n, FaultPeriod: max(*faultPeriod, 20*time.Second), EntryHosts: 3, BulkHosts: 3, Servers: 6,
			})
			require.NoError(t, err)
			t.Logf("answered %d, refused %d, failed %d, jobs %d", r.Answered, r.Refused, r.Failed, r.Jobs)
			for _, f := range r.Faults {
				t.Log(f)
			}
			require.Empty(t, r.Violations)
		})
	}
}

// Hosts get another program one after the other, under load. To upgrade from an earlier one
// and to return to it:
// go test ./soaker -run Upgrade -soak.previous PATH -soak.seeds 5 -timeout 30m.
func TestNothingIsLostInAnUpgrade(t *testing.T) {
	path := buildProgram(t)
	for n := range uint64(*seeds) {
		t.Run(fmt.Sprint("seed-", *first+n), func(t *testing.T) {
			r, err := soaker.RunUpgrade(soaker.Options{
				Program: path, Previous: *previous, Folder: t.TempDir(), Seed: *first + n, EntryHosts: 3, BulkHosts: 3, Servers: 4,
			})
			require.NoError(t, err)
			t.Logf("answered %d, refused %d, failed %d, jobs %d", r.Answered, r.Refused, r.Failed, r.Jobs)
			for _, f := range r.Faults {
				t.Log(f)
			}
			require.Empty(t, r.Violations)
		})
	}
}
