package executor_test

import (
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/jackdawgate/jackdawgate/executor"
	"github.com/jackdawgate/jackdawgate/holder"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/stretchr/testify/require"
)

// longOutput is the output of longAnswer.
func longOutput(events, bytes int) string {
	return strings.TrimSuffix(strings.Repeat(strings.Repeat("x", bytes)+"\n", events), "\n")
}

// The output of running items together had no bound: some endless answers at once ended the
// host's process.
func TestOutputsOfItemsTogetherStayWithinTheHostsMemory(t *testing.T) {
	const memory, items, events = 256 << 10, 12, 60
	for name, faulty := range map[string]int{"long outputs": 0, "endless answers": 2} {
		t.Run(name, func(t *testing.T) {
			e := &engine{answers: slices.Repeat([]string{longAnswer(3000, 1<<10)}, faulty)}
			e.answers = append(e.answers, slices.Repeat([]string{longAnswer(events, 1<<10)}, 20*items)...)
			f := startWithServers(t, e, 3)
			f.executor.Close()
			f.options.Memory = holder.New(memory)
			f.executor = executor.New(f.options)
			t.Cleanup(f.executor.Close)
			var running sync.WaitGroup
			running.Go(func() {
				f.submit(items)
				for _, r := range f.results(items) {
					require.False(t, r.Dead)
					require.Equal(t, longOutput(events, 1<<10), string(r.Output))
				}
			})
			require.LessOrEqual(t, harness.MostInUse(&running, f.options.Memory.InUse), int64(memory))
			require.Eventually(t, func() bool { return f.options.Memory.InUse() == 0 }, waitTimeout, pollInterval, "memory of items that are done")
		})
	}
}

// The output of an item that waits to go on was not counted.
func TestOutputOfAWaitingItemIsCounted(t *testing.T) {
	const bytes = 60 << 10
	f := startWithServers(t, &engine{}, 0)
	f.options.Memory = holder.New(1 << 20)
	f.takeOver(queuer.Part{Output: []byte(strings.Repeat("x", bytes)), Events: 60, LastEvent: 60})
	require.Eventually(t, func() bool { return f.options.Memory.InUse() == bytes-holder.Allowance }, waitTimeout, pollInterval)
	f.executor.Close()
	require.Zero(t, f.options.Memory.InUse())
	require.Len(t, f.progress().Output, bytes, "the next owner has it")
}
