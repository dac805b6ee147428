package tester_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/tester"
	"github.com/stretchr/testify/require"
)

// rejoinTimeout bounds the time until a host serves again after a partition heals.
// It includes the wait of a removed host before it rejoins.
const rejoinTimeout = 40 * time.Second

// serves reports whether host i answers a call with status 200.
func serves(c *tester.Cluster, i int, key string) bool {
	return tester.Chat(tester.NewClient(), c.CallerAddress(i), key, "hello", 1).Status == http.StatusOK
}

// retryTimeout is how long a caller retries a call that was not run.
const retryTimeout = 3 * time.Second

// requireServedWithRetries calls host i as a client does that retries a call while
// the response guarantees that nothing ran. It fails on any other refusal and when
// no attempt succeeds within retryTimeout.
func requireServedWithRetries(t *testing.T, c *tester.Cluster, client *http.Client, i int, key string) {
	t.Helper()
	var resp tester.Response
	for end := time.Now().Add(retryTimeout); time.Now().Before(end); {
		resp = tester.Chat(client, c.CallerAddress(i), key, "hello", 1)
		if resp.Err == nil && resp.Status == http.StatusOK {
			return
		}
		if !resp.NotRun {
			break
		}
		<-time.After(pollInterval)
	}
	require.Fail(t, "call was not served", "host %d: status %d, body %s, error %v", i, resp.Status, resp.Body, resp.Err)
}

func TestIsolatedHostRefusesCallsWhileOthersServe(t *testing.T) {
	t.Parallel()
	c := tester.Start(t, 3, 1)
	key := c.CreateWorkspace("kitchen", 1000, 1000)
	require.True(t, serves(c, 2, key))
	c.SetStorePartition(2, true)
	c.SetPartition(2, 0, true)
	c.SetPartition(2, 1, true)
	// The isolated host may serve until the configuration that it last confirmed
	// becomes too old; only then must it refuse.
	<-time.After(withdrawalTimeout)
	client := tester.NewClient()
	resp := tester.Chat(client, c.CallerAddress(2), key, "cut off", 1)
	require.NoError(t, resp.Err)
	require.Equal(t, http.StatusServiceUnavailable, resp.Status)
	require.True(t, resp.NotRun)
	require.Eventually(t, func() bool { return serves(c, 0, key) && serves(c, 1, key) }, takeoverTimeout, pollInterval)
	// A key that was withdrawn during the partition must never work at the host
	// that was isolated, not even before it has caught up.
	c.RunCLI("key", "withdraw", "kitchen-key")
	c.SetStorePartition(2, false)
	c.SetPartition(2, 0, false)
	c.SetPartition(2, 1, false)
	statuses := make(map[int]int)
	require.Eventually(t, func() bool {
		resp := tester.Chat(client, c.CallerAddress(2), key, "withdrawn", 1)
		statuses[resp.Status]++
		return resp.Status == http.StatusUnauthorized
	}, rejoinTimeout, pollInterval)
	require.Zero(t, statuses[http.StatusOK])
}

func TestHostCutOffFromStoreServesThroughPeers(t *testing.T) {
	t.Parallel()
	c := tester.Start(t, 3, 1)
	key := c.CreateWorkspace("kitchen", 1000, 1000)
	c.SetStorePartition(2, true)
	end := time.Now().Add(takeoverTimeout)
	client := tester.NewClient()
	for time.Now().Before(end) {
		requireServedWithRetries(t, c, client, 2, key)
	}
	c.RunCLI("key", "withdraw", "kitchen-key")
	require.Eventually(t, func() bool { return !serves(c, 2, key) }, withdrawalTimeout, pollInterval)
}

func TestOneWayPartitionFailsNoCall(t *testing.T) {
	t.Parallel()
	c := tester.Start(t, 3, 1)
	key := c.CreateWorkspace("kitchen", 1000, 1000)
	c.SetPartitionOneWay(0, 2, true)
	client := tester.NewClient()
	end := time.Now().Add(takeoverTimeout)
	for n := 0; time.Now().Before(end); n++ {
		requireServedWithRetries(t, c, client, n%3, key)
	}
}

func TestStalledConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	c := tester.Start(t, 3, 1)
	key := c.CreateWorkspace("kitchen", 1000, 1000)
	require.True(t, serves(c, 0, key))
	c.StallConnections()
	for i := range 3 {
		require.Eventually(t, func() bool { return serves(c, i, key) }, takeoverTimeout, pollInterval)
	}
}
