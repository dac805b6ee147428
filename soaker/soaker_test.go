package soaker_test

import (
	"flag"
	"fmt"
	"os"
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

// soakSeeds runs a soak with each of the seeds, and requires that no guarantee is violated.
// The options lack those that all soaks share.
func soakSeeds(t *testing.T, run func(soaker.Options) (soaker.Report, error), o soaker.Options) {
	o.Program, o.EntryHosts, o.BulkHosts = buildProgram(t), 3, 3
	for n := range uint64(*seeds) {
		t.Run(fmt.Sprint("seed-", *first+n), func(t *testing.T) {
			o := o
			o.Seed, o.Folder = *first+n, t.TempDir()
			if *folder != "" {
				o.Folder = filepath.Join(*folder, t.Name())
				require.NoError(t, os.MkdirAll(o.Folder, 0o700))
			}
			r, err := run(o)
			require.NoError(t, err)
			t.Logf("answered %d, refused %d, failed %d, jobs %d, %d faults", r.Answered, r.Refused, r.Failed, r.Jobs, len(r.Faults))
			for _, f := range r.Faults {
				t.Log(f)
			}
			require.Empty(t, r.Violations)
		})
	}
}

// TestSoak runs soaks with random faults. To run it for longer:
// go test ./soaker -run TestSoak -soak.seeds 50 -timeout 60m.
func TestSoak(t *testing.T) {
	soakSeeds(t, soaker.Run, soaker.Options{FaultPeriod: *faultPeriod, Servers: 4})
}

// The store carried a write of the entry of a process out when another one had replaced it.
// The living host was missing from the store from then on, and jobs could not be read.
func TestLateWriteOfAnEntryHidesNoHost(t *testing.T) {
	soakSeeds(t, soaker.RunLateEntries, soaker.Options{FaultPeriod: 4 * time.Second, Servers: 4})
}

// A request that had crashed three servers was sent to further servers.
// To run the test for longer:
// go test ./soaker -run Crashes -soak.seeds 10 -soak.trouble 30s.
func TestCallThatCrashesServersIsRefusedByAllHosts(t *testing.T) {
	soakSeeds(t, soaker.RunCrashing, soaker.Options{FaultPeriod: max(*faultPeriod, 12*time.Second), Servers: 6})
}

// Requests and batch items that share a crashing part of their prompts crashed one server
// after the other. To run the test for longer:
// go test ./soaker -run Prompt -soak.seeds 10 -soak.trouble 30s.
func TestCrashingPartOfPromptsIsRefusedByAllHosts(t *testing.T) {
	soakSeeds(t, soaker.RunCrashingPrompts, soaker.Options{FaultPeriod: max(*faultPeriod, 18*time.Second), Servers: 8})
}

// Servers sent bytes without end, and the host that had called them ran out of memory. The
// hosts have the memory of the smallest ones that the users run. To send in all ways:
// go test ./soaker -run Endless -soak.seeds 4.
func TestEndlessResponsesDoNotExhaustMemory(t *testing.T) {
	soakSeeds(t, soaker.RunEndless, soaker.Options{Servers: 6, MemoryMB: 112})
}

// Requests that came late in a planned stop were passed on to servers, and cut without an
// answer when the process ended, among them requests that may not be repeated.
func TestPlannedStopAnswersEveryRequest(t *testing.T) {
	soakSeeds(t, soaker.RunStops, soaker.Options{Servers: 4})
}

// A server announces in its responses that it is leaving, while its entry says
// that it is ready and the store does not answer.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	soakSeeds(t, soaker.RunLeaving, soaker.Options{FaultPeriod: 6 * time.Second, Servers: 4})
}

// A server got several times the requests that it had named as its limit. To run the test
// for longer: go test ./soaker -run Limit -soak.seeds 10 -soak.trouble 40s.
func TestServersGetNoMoreThanTheLimitsThatTheyName(t *testing.T) {
	soakSeeds(t, soaker.RunLimited, soaker.Options{FaultPeriod: max(*faultPeriod, 20*time.Second), Servers: 6})
}

// Servers of an evacuated data centre got requests, and cold ones more than they take. To run
// the test for longer: go test ./soaker -run Evacuated -soak.seeds 10.
func TestEvacuatedServersGetNothingAndColdOnesLittle(t *testing.T) {
	soakSeeds(t, soaker.RunEvacuating, soaker.Options{FaultPeriod: *faultPeriod, Servers: 6})
}

// Hosts get another program one after the other, under load. To upgrade from an earlier one
// and to return to it:
// go test ./soaker -run Upgrade -soak.previous PATH -soak.seeds 5 -timeout 30m.
func TestNothingIsLostInAnUpgrade(t *testing.T) {
	soakSeeds(t, soaker.RunUpgrade, soaker.Options{Previous: *previous, Servers: 4})
}
