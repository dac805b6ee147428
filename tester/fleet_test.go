package tester_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/emulator"
	// The tests build the programs that they run. Importing the code of these
	// programs makes the cache of test results depend on it.
	_ "github.com/jackdawgate/jackdawgate/operator"
	"github.com/jackdawgate/jackdawgate/recorder"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/tester"
	"github.com/stretchr/testify/require"
)

const (
	// withdrawalTimeout bounds the time until a withdrawn key is refused
	// everywhere: the period for which a host may serve without a new
	// confirmation of its configuration, plus the time that the operator's
	// command takes.
	withdrawalTimeout = 7 * time.Second
	// takeoverTimeout bounds the time until the other hosts have taken over from
	// a host that was killed: the timeout after which it counts as silent, the
	// membership change, and the handover of what it owned.
	takeoverTimeout = 16 * time.Second
	// pollInterval is the interval between checks of an expected condition.
	pollInterval = 50 * time.Millisecond
)

func TestMain(m *testing.M) {
	code := m.Run()
	tester.RemoveBuild()
	os.Exit(code)
}

// configVersion returns the version of the configuration that the fleet reports.
func configVersion(t *testing.T, c *tester.Cluster) registrar.Version {
	t.Helper()
	var s struct {
		Version registrar.Version `json:"version"`
	}
	require.NoError(t, json.Unmarshal([]byte(c.RunCLI("status", "-json")), &s))
	return s.Version
}

// submit submits a batch job of n items and returns its identifier.
func submit(t *testing.T, c *tester.Cluster, workspace string, n, tokens int) string {
	t.Helper()
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":%q,"messages":[{"role":"user","content":"item %d"}],"max_tokens":%d}}`+"\n",
			i, emulator.DefaultModel, i, tokens)
	}
	file := filepath.Join(t.TempDir(), "items.jsonl")
	require.NoError(t, os.WriteFile(file, []byte(b.String()), 0o600))
	var job struct {
		ID string `json:"id"`
	}
	require.NoError(t, json.Unmarshal([]byte(c.RunCLI("job", "submit", file, "-workspace", workspace, "-json")), &job))
	return job.ID
}

// requireOneResultPerItem waits until the job has completed and checks that each of
// its n items has exactly one result.
func requireOneResultPerItem(t *testing.T, c *tester.Cluster, workspace, job string, n int) {
	t.Helper()
	require.Eventually(t, func() bool {
		out, code := c.TryRunCLI("job", "status", job, "-workspace", workspace)
		return code == 0 && strings.Contains(out, "completed")
	}, 60*time.Second, 200*time.Millisecond)
	seen := make(map[string]int)
	for _, line := range strings.Split(strings.TrimSpace(c.RunCLI("job", "results", job, "-workspace", workspace)), "\n") {
		var r struct {
			ID string `json:"custom_id"`
		}
		require.NoError(t, json.Unmarshal([]byte(line), &r))
		seen[r.ID]++
	}
	require.Len(t, seen, n)
	for id, times := range seen {
		require.Equal(t, 1, times, id)
	}
}

func TestSeparateProcessesServeCallersAndBatch(t *testing.T) {
	t.Parallel()
	c := tester.Start(t, 3, 2)
	key := c.CreateWorkspace("kitchen", 100, 100)
	for i := range 3 {
		resp := tester.Chat(tester.NewClient(), c.CallerAddress(i), key, "hello", 4)
		require.NoError(t, resp.Err)
		require.Equal(t, http.StatusOK, resp.Status, resp.Body)
	}
	requireOneResultPerItem(t, c, "kitchen", submit(t, c, "kitchen", 100, 8), 100)
	require.Eventually(t, func() bool {
		var bill recorder.Bill
		out := c.RunCLI("usage", "report", "-json")
		return json.Unmarshal([]byte(out), &bill) == nil && len(bill.Lines) == 2 &&
			bill.Lines[0].Requests == 3 && bill.Lines[1].Requests == 100
	}, takeoverTimeout, pollInterval)
	c.RunCLI("usage", "verify")
}

func TestWithdrawnKeyEndsStreamsAndIsRefusedOnKeepAliveConnections(t *testing.T) {
	t.Parallel()
	c := tester.Start(t, 3, 1)
	key := c.CreateWorkspace("kitchen", 100, 100)
	client := tester.NewClient()
	require.Equal(t, http.StatusOK, tester.Chat(client, c.CallerAddress(2), key, "hello", 1).Status)
	lines := tester.Stream(t, c.CallerAddress(1), key, 20000)
	<-lines
	c.RunCLI("key", "withdraw", "kitchen-key")
	deadline := time.After(withdrawalTimeout)
	last := ""
	for open := true; open; {
		var line string
		select {
		case line, open = <-lines:
			if open {
				last = line
			}
		case <-deadline:
			require.Fail(t, "stream was not closed after its key was withdrawn")
		}
	}
	require.Contains(t, last, "key-withdrawn")
	require.Eventually(t, func() bool {
		return tester.Chat(client, c.CallerAddress(2), key, "hello", 1).Status == http.StatusUnauthorized
	}, withdrawalTimeout, pollInterval)
}

func TestFrozenHostRefusesWithdrawnKeyAfterResuming(t *testing.T) {
	t.Parallel()
	c := tester.Start(t, 3, 1)
	key := c.CreateWorkspace("kitchen", 100, 100)
	client := tester.NewClient()
	require.Equal(t, http.StatusOK, tester.Chat(client, c.CallerAddress(2), key, "hello", 1).Status)
	c.Freeze(2)
	responses := make(chan tester.Response, 1)
	go func() { responses <- tester.Chat(client, c.CallerAddress(2), key, "while frozen", 1) }()
	c.RunCLI("key", "withdraw", "kitchen-key")
	<-time.After(withdrawalTimeout)
	c.Thaw(2)
	resp := <-responses
	require.NotEqual(t, http.StatusOK, resp.Status, resp.Body)
	require.NoError(t, resp.Err)
	require.True(t, resp.NotRun)
}

func TestKilledHostIsRemovedAndLosesNoBatchItem(t *testing.T) {
	t.Parallel()
	c := tester.Start(t, 3, 2)
	key := c.CreateWorkspace("kitchen", 1000, 1000)
	job := submit(t, c, "kitchen", 600, 24)
	c.Kill(1)
	client := tester.NewClient()
	require.Eventually(t, func() bool {
		return tester.Chat(client, c.CallerAddress(0), key, "hello", 1).Status == http.StatusOK &&
			tester.Chat(client, c.CallerAddress(2), key, "hello", 1).Status == http.StatusOK &&
			!strings.Contains(c.RunCLI("status"), "host-2")
	}, takeoverTimeout, pollInterval)
	requireOneResultPerItem(t, c, "kitchen", job, 600)
}

// TestUsageIsReportedAfterAllHostsRestart guards against a bill that can't be computed any
// more once all hosts were stopped, or killed, and started again.
func TestUsageIsReportedAfterAllHostsRestart(t *testing.T) {
	t.Parallel()
	c := tester.Start(t, 3, 1)
	key := c.CreateWorkspace("kitchen", 1000, 1000)
	client := tester.NewClient()
	for i := range 3 {
		requireServedWithRetries(t, c, client, i, key)
	}
	reported := func() bool {
		out, code := c.TryRunCLI("usage", "report")
		return code == 0 && regexp.MustCompile(`kitchen +online +3 `).MatchString(out)
	}
	require.Eventually(t, reported, takeoverTimeout, pollInterval)
	for _, end := range []func(int){func(i int) { c.Stop(i) }, c.Kill} {
		var ended sync.WaitGroup
		for i := range 3 {
			ended.Go(func() { end(i) })
		}
		ended.Wait()
		for i := range 3 {
			c.Launch(i)
		}
		require.Eventually(t, reported, takeoverTimeout+sealTimeout, pollInterval)
	}
}

// sealTimeout is how long after a host was removed its last usage records may be unreadable.
const sealTimeout = 90 * time.Second

func TestHostsServeDuringStoreOutage(t *testing.T) {
	t.Parallel()
	c := tester.Start(t, 3, 1)
	key := c.CreateWorkspace("kitchen", 1000, 1000)
	c.SetFaults(c.PlatformAddress(), `{"outage":true}`)
	client := tester.NewClient()
	end := time.Now().Add(12 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		requireServedWithRetries(t, c, client, n%3, key)
	}
	// A host that restarts gets the configuration record from the other hosts and
	// serves.
	c.Kill(2)
	c.Launch(2)
	require.Eventually(t, func() bool {
		return tester.Chat(client, c.CallerAddress(2), key, "hello", 1).Status == http.StatusOK &&
			tester.Chat(client, c.CallerAddress(0), key, "hello", 1).Status == http.StatusOK
	}, takeoverTimeout, pollInterval)
	out, code := c.TryRunCLI("limit", "set", "kitchen", "-rate", "900", "-burst", "900", "-id", "one")
	require.Equal(t, 1, code, out)
	c.SetFaults(c.PlatformAddress(), `{"outage":false}`)
	require.Eventually(t, func() bool {
		_, code := c.TryRunCLI("limit", "set", "kitchen", "-rate", "900", "-burst", "900", "-id", "one")
		return code == 0
	}, takeoverTimeout, pollInterval)
}

func TestChangeWithLostStoreResponseIsAppliedOnce(t *testing.T) {
	t.Parallel()
	c := tester.Start(t, 3, 1)
	c.CreateWorkspace("kitchen", 10, 10)
	before := configVersion(t, c)
	c.SetFaults(c.PlatformAddress(), `{"lose-answers":1}`)
	c.RunCLI("limit", "set", "kitchen", "-rate", "20", "-burst", "20", "-id", "once")
	c.RunCLI("limit", "set", "kitchen", "-rate", "20", "-burst", "20", "-id", "once")
	require.Equal(t, before+1, configVersion(t, c))
}

func TestConcurrentChangesAreEachAppliedOnce(t *testing.T) {
	t.Parallel()
	c := tester.Start(t, 3, 1)
	c.CreateWorkspace("kitchen", 10, 10)
	before := configVersion(t, c)
	const operators = 8
	var wg sync.WaitGroup
	var failed atomic.Int64
	for i := range operators {
		wg.Go(func() {
			_, code := c.TryRunCLI("limit", "set", "kitchen", "-rate", fmt.Sprint(10+i), "-burst", "10")
			failed.Add(int64(code))
		})
	}
	wg.Wait()
	require.Zero(t, failed.Load())
	require.Equal(t, before+operators, configVersion(t, c))
}

func TestGracefulStopFailsNoCall(t *testing.T) {
	t.Parallel()
	c := tester.Start(t, 3, 2)
	key := c.CreateWorkspace("kitchen", 2000, 2000)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	failures := make(chan string, 1000)
	for i := range 4 {
		wg.Go(func() { callUntil(stop, c, key, i, failures) })
	}
	<-time.After(time.Second)
	require.Zero(t, c.Stop(1))
	<-time.After(time.Second)
	close(stop)
	wg.Wait()
	close(failures)
	for f := range failures {
		require.Fail(t, f)
	}
}

// callUntil calls the hosts that the fleet offers in turn, on its own connections,
// until stop is closed, and reports each call that failed. It caches the list of
// hosts for HostListTTL.
func callUntil(stop <-chan struct{}, c *tester.Cluster, key string, n int, failures chan<- string) {
	client := tester.NewClient()
	var hosts []string
	var fetchedAt time.Time
	for {
		select {
		case <-stop:
			return
		default:
		}
		if time.Since(fetchedAt) >= tester.HostListTTL {
			fetchedAt = time.Now()
			hosts = tester.OfferedHosts(client, key, c.CallerAddress(0))
		}
		if len(hosts) == 0 {
			failures <- "the list of hosts is empty"
			return
		}
		n++
		resp := tester.Chat(client, hosts[n%len(hosts)], key, fmt.Sprintf("call %d", n), 8)
		if resp.Err != nil || resp.Status != http.StatusOK {
			failures <- fmt.Sprintf("%s: %d %s %v", hosts[n%len(hosts)], resp.Status, resp.Body, resp.Err)
		}
	}
}

func TestFleetWideRateLimitHoldsWhenHostIsKilled(t *testing.T) {
	t.Parallel()
	const rate, burst = 40, 20
	c := tester.Start(t, 3, 2)
	key := c.CreateWorkspace("kitchen", rate, burst)
	var admitted atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range 9 {
		wg.Go(func() {
			client := tester.NewClient()
			for {
				select {
				case <-stop:
					return
				default:
				}
				// A failed call is not counted, although the host that was
				// killed may have admitted it.
				if resp := tester.Chat(client, c.CallerAddress(i%3), key, "hello", 1); resp.Status == http.StatusOK {
					admitted.Add(1)
				}
			}
		})
	}
	<-time.After(3 * time.Second)
	c.Kill(0)
	<-time.After(takeoverTimeout)
	close(stop)
	wg.Wait()
	limit := burst + rate*time.Since(begin).Seconds()
	require.LessOrEqual(t, float64(admitted.Load()), limit)
	require.Greater(t, float64(admitted.Load()), limit/4)
}

func TestCrashingCallIsRefusedAfterTwoServerCrashes(t *testing.T) {
	t.Parallel()
	const servers = 4
	c := tester.Start(t, 3, servers)
	key := c.CreateWorkspace("kitchen", 1000, 1000)
	for i := range servers {
		c.SetFaults(c.ServerAddress(i), `{"crash-marker":"poison","restart-after-ms":1000}`)
	}
	client := tester.NewClient()
	var last tester.Response
	for i := range 12 {
		last = tester.Chat(client, c.CallerAddress(i%3), key, "poison", 4)
		require.NoError(t, last.Err)
		require.NotEqual(t, http.StatusOK, last.Status)
	}
	require.Contains(t, last.Body, "request-suspected")
	crashes := 0
	for i := range servers {
		crashes += c.CountReceived(c.ServerAddress(i), "poison")
	}
	require.LessOrEqual(t, crashes, 2)
	require.Equal(t, http.StatusOK, tester.Chat(client, c.CallerAddress(0), key, "another", 4).Status)
}

// Chats that share a beginning crashed each server that ran them, and since no two were
// alike, none was refused. Chats with another beginning must be answered meanwhile.
func TestChatsThatShareACrashingBeginningAreRefused(t *testing.T) {
	t.Parallel()
	const (
		servers = 6
		// mostCrashes is how many servers may crash: five until every host must know the
		// beginning, and three more.
		mostCrashes = 8
		calls       = 24
	)
	c := tester.Start(t, 3, servers)
	key := c.CreateWorkspace("kitchen", 1000, 1000)
	for i := range servers {
		c.SetFaults(c.ServerAddress(i), `{"crash-marker":"poison","restart-after-ms":500}`)
	}
	client := tester.NewClient()
	beginning := "poison " + strings.Repeat("what every chat of this kind begins with ", 5)
	var last tester.Response
	sound := 0
	for i := range calls {
		last = tester.Chat(client, c.CallerAddress(i%3), key, fmt.Sprint(beginning, i), 4)
		require.NoError(t, last.Err)
		require.NotEqual(t, http.StatusOK, last.Status)
		if tester.Chat(client, c.CallerAddress(i%3), key, fmt.Sprint("what other chats begin with ", i), 4).Status == http.StatusOK {
			sound++
		}
	}
	require.GreaterOrEqual(t, sound, calls*85/100, "sound chats were not answered")
	require.Contains(t, last.Body, "request-suspected")
	crashes := 0
	for i := range servers {
		crashes += c.CountReceived(c.ServerAddress(i), "poison")
	}
	require.LessOrEqual(t, crashes, mostCrashes)
}
