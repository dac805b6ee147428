package executor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A server named a limit in its answers, and as many items were sent to it as it has
// slots.
func TestItemsAreHeldToTheLimitOfTheirServer(t *testing.T) {
	e := &engine{limit: "2"}
	f := start(t, e)
	f.submitAs("first", 1)
	require.Eventually(t, func() bool { r, _, _ := f.queue.Results("first", 0, 1<<20); return len(r.Results) == 1 }, waitTimeout, pollInterval)
	began := time.Now()
	f.submit(4)
	f.results(4)
	require.GreaterOrEqual(t, time.Since(began), 1200*time.Millisecond, "four requests at two a second, of which one may be saved up")
}
