package executor_test

import (
	"context"
	"slices"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/stretchr/testify/require"
)

// savedParts returns how many parts the records have that save output of items.
func (f *fixture) savedParts() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []int
	for _, r := range f.records {
		if s, ok := r.(queuer.Saved); ok {
			out = append(out, len(s.Parts))
		}
	}
	return out
}

// The output of all items of a group was saved in one record, which could exceed the length
// of a log entry that can be read again.
func TestLongOutputsAreSavedInSeveralRecords(t *testing.T) {
	e := &engine{hold: make(chan struct{}), stallTimeout: 20_000}
	defer close(e.hold)
	// A run that stalled on a busy machine would be resumed and saved once more.
	data := "data: " + strings.Repeat("x", 511<<10) + "\n\n"
	for range 4 {
		whole := response("200 OK", "Content-Type: text/event-stream\r\n", "id: 1\n"+data+"id: 2\n"+data+"id: 3\ndata: x\n\nid: 4\n")
		e.answers = append(e.answers, strings.TrimSuffix(whole, "id: 4\n"))
	}
	f := start(t, e)
	f.submit(4)
	total := func() (n int) {
		for _, parts := range f.savedParts() {
			n += parts
		}
		return n
	}
	require.Eventually(t, func() bool { return total() == 4 }, waitTimeout, pollInterval)
	require.LessOrEqual(t, slices.Max(f.savedParts()), 2, "2 MB")
}

// A part of an item's output was committed to the log but not applied, since it did not follow
// what the log had. The item's result did not follow either, and was never listed.
func TestResultIsListedIfTheLogHasLessOutputThanWasSaved(t *testing.T) {
	e := &engine{hold: make(chan struct{}), stallTimeout: 20_000}
	f := start(t, e)
	f.executor.Close()
	f.options.Groups[0].Propose = func(_ context.Context, entries ...[]byte) error {
		r, err := queuer.Decode(entries[0])
		if _, saved := r.(queuer.Saved); err != nil || !saved {
			f.record(entries)
			return nil
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.records = append(f.records, r)
		return nil
	}
	f.startExecutor()
	f.submit(1)
	require.Eventually(t, func() bool { return len(f.savedParts()) > 0 }, waitTimeout, pollInterval)
	close(e.hold)
	require.Equal(t, wholeOutput(), string(f.results(1)[0].Output))
	require.Len(t, e.received(), 1)
}
