package executor_test

import (
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/stretchr/testify/require"
)

// takeOver submits an item whose output another host has saved, and starts an Executor as the
// next owner of the group does.
func (f *fixture) takeOver(saved queuer.Part) {
	f.executor.Close()
	f.submit(1)
	saved.Job = "j"
	entries, err := queuer.Encode(queuer.Saved{Parts: []queuer.Part{saved}})
	require.NoError(f.t, err)
	f.queue.Apply(entries[0])
	f.startExecutor()
}

// progress returns the saved progress of the only item.
func (f *fixture) progress() queuer.Progress {
	list := f.queue.Pending()
	require.Len(f.t, list, 1)
	return list[0].Progress
}

// spoiledParts is saved output that earlier versions could write.
var spoiledParts = map[string]queuer.Part{
	"text":                          {Output: []byte("error: worker lost"), Events: 1},
	"text in front of events":       {Output: []byte("error: worker lost\ne1\ne2"), Events: 3, LastEvent: 2},
	"run without its first event":   {Output: []byte("e2\ne3"), Events: 2, LastEvent: 3},
	"number of an event without it": {Output: []byte("e2"), Events: 1, LastEvent: 2},
	"text beyond the limit":         {Output: []byte(strings.Repeat("x", 4<<20)), Events: 16000},
	"events beyond the limit":       {Output: []byte(strings.Repeat("x", 5<<20)), Events: 6, LastEvent: 6},
}

// A host took a group over whose log had output of an item that is not that of a run, written
// before hosts checked it. The item was listed with it, or never ended.
func TestSpoiledOutputInTheLogIsDropped(t *testing.T) {
	for name, p := range spoiledParts {
		t.Run(name, func(t *testing.T) {
			e := &engine{}
			f := start(t, e)
			f.takeOver(p)
			r := f.results(1)
			require.Equal(t, wholeOutput(), string(r[0].Output))
			require.False(t, r[0].Dead)
			require.Equal(t, "i0 after  body0", e.received()[0])
		})
	}
}

// The same if the host is lost again before a server has run the item: what it dropped must
// not come back with the next owner.
func TestDroppedOutputIsRemovedFromTheLog(t *testing.T) {
	for name, p := range spoiledParts {
		t.Run(name, func(t *testing.T) {
			f := startWithServers(t, &engine{}, 0)
			f.takeOver(p)
			require.Eventually(t, func() bool { return len(f.progress().Output) == 0 }, waitTimeout, pollInterval)
			require.Zero(t, f.progress().LastEvent)
		})
	}
}

// Sound output that another host has saved is kept.
func TestSavedOutputIsResumed(t *testing.T) {
	e := &engine{}
	f := start(t, e)
	f.takeOver(queuer.Part{Output: []byte("e1\ne2\ne3"), Events: 3, LastEvent: 3})
	require.Equal(t, wholeOutput(), string(f.results(1)[0].Output))
	require.Equal(t, "i0 after 3 body0", e.received()[0])
}
