package executor_test

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

const (
	// partCrashes is the number of crashes after which a part of prompts must be refused,
	// settleTime how long that may take, maxRetries how many more servers may crash after.
	partCrashes = 5
	settleTime  = time.Second
	maxRetries  = 3
)

// submitPrompts submits a job with one item for each prompt.
func (f *fixture) submitPrompts(job string, prompts ...string) {
	j := queuer.Job{ID: job, Host: "h", Submitted: time.Now().UnixMilli(), RunObjective: 18000, Retention: 60000, MaxAttempts: 3}
	for i, prompt := range prompts {
		j.Items = append(j.Items, queuer.Item{ID: job + strconv.Itoa(i), Path: "/b/x", Headers: map[string]string{"prompt": prompt}})
	}
	entries, err := queuer.Encode(queuer.Accepted{Job: j})
	require.NoError(f.t, err)
	f.queue.Apply(entries[0])
}

// Items with one crashing part of their prompts were sent to servers without end, and
// each crashed one. Items that share their other part must complete; the crashing ones
// must be kept.
func TestItemsWithACrashingPromptPartAreHeldBack(t *testing.T) {
	e := &engine{crashingPart: "crashing"}
	f := startWithServers(t, e, 6)
	f.submitPrompts("bad", "common,crashing,0", "common,crashing,1", "common,crashing,2")
	var sound []string
	for i := range 40 {
		sound = append(sound, "common,"+strconv.Itoa(i%7)+",own")
	}
	for i := range 4 {
		f.submitPrompts("j"+strconv.Itoa(i), sound...)
		timer.Sleep(context.Background(), timer.Second)
	}
	require.Eventually(t, func() bool { return len(f.queue.Pending()) == 3 }, waitTimeout, pollInterval)
	e.mu.Lock()
	defer e.mu.Unlock()
	require.GreaterOrEqual(t, len(e.crashes), partCrashes)
	known := e.crashes[partCrashes-1].Add(settleTime)
	late := slices.IndexFunc(e.crashes, func(at time.Time) bool { return at.After(known) })
	if late >= 0 {
		require.LessOrEqual(t, len(e.crashes)-late, maxRetries)
	}
}
