package queuer_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/stretchr/testify/require"
)

// populatedQueue returns a queue with jobs in every state.
func populatedQueue(t *testing.T) *queuer.Queue {
	q := newQueue()
	apply(t, q, queuer.Accepted{Job: job("done", 2)}, queuer.Accepted{Job: job("open", 3)},
		queuer.Accepted{Job: job("ended", 2)}, queuer.Accepted{Job: job("gone", 1)},
		queuer.Finished{Job: "done", Item: 1, Output: []byte("one")}, queuer.Finished{Job: "done", Item: 0, Dead: true},
		queuer.Saved{Parts: []queuer.Part{{Job: "open", Item: 2, Output: []byte("abc"), Events: 1, LastEvent: 1}}},
		queuer.Saved{Failures: []queuer.Failure{{Job: "open", Item: 1, Count: 2}, {Job: "open", Item: 2, Count: 1}}},
		queuer.Finished{Job: "open", Item: 0, Output: []byte("zero")},
		queuer.Finished{Job: "ended", Item: 0, Output: []byte("x")}, queuer.Ended{Job: "ended"}, queuer.Dropped{Job: "gone"})
	return q
}

// queryAll returns the results of all queries of a queue that is serving.
func queryAll(q *queuer.Queue) []any {
	q.StartServing()
	_, found := q.Workspace("gone")
	var bodies [][]byte
	for _, item := range []string{"open-0", "open-1", "ended-1"} {
		b, _ := q.Body("open", item)
		bodies = append(bodies, b)
	}
	pending := map[queuer.ItemRef]queuer.Progress{}
	for _, p := range q.Pending() {
		pending[p.ItemRef] = p.Progress
	}
	return []any{
		outputs(q, "done"), outputs(q, "open"), outputs(q, "ended"), found, bodies, pending, q.WaitingTokens(),
		q.Active("done"), q.Active("open"), q.Active("ended"), q.Expired(5000),
	}
}

func applyData(q *queuer.Queue, list [][]byte) {
	for _, data := range list {
		q.Apply(data)
	}
}

func TestCheckpointReproducesTheQueue(t *testing.T) {
	list := populatedQueue(t).Checkpoint()
	q := newQueue()
	apply(t, q, queuer.Accepted{Job: job("stale", 1)})
	applyData(q, list)
	require.Equal(t, queryAll(populatedQueue(t)), queryAll(q))
	_, stale := q.Workspace("stale")
	require.False(t, stale, "a checkpoint replaces all jobs")

	apply(t, q, queuer.Finished{Job: "open", Item: 2, From: 3, Output: []byte("def")})
	require.Equal(t, []string{"open-0=zerofalse", "open-2=abcdeffalse"}, outputs(q, "open"))
}

func TestEmptyCheckpointEmptiesTheQueue(t *testing.T) {
	list := newQueue().Checkpoint()
	q := populatedQueue(t)
	applyData(q, list)
	_, ok := q.Workspace("open")
	require.False(t, ok)
}

// The owner crashes when only a part of a checkpoint is on the disks, and another
// session continues the log.
func TestIncompleteCheckpointChangesNothing(t *testing.T) {
	list := populatedQueue(t).Checkpoint()
	for cut := 1; cut < len(list); cut++ {
		q := populatedQueue(t)
		applyData(q, list[:cut])
		apply(t, q, queuer.Finished{Job: "open", Item: 1, Output: []byte("later")})
		applyData(q, list[cut:])
		want := populatedQueue(t)
		apply(t, want, queuer.Finished{Job: "open", Item: 1, Output: []byte("later")})
		require.Equal(t, queryAll(want), queryAll(q), "cut after %d", cut)
	}
}

// Readers that wait for results must still be notified after a checkpoint.
func TestCheckpointChangesNothingWhileServing(t *testing.T) {
	q := populatedQueue(t)
	q.StartServing()
	_, updated, ok := q.Results("open", 1, 1<<20)
	require.True(t, ok)
	applyData(q, q.Checkpoint())
	apply(t, q, queuer.Finished{Job: "open", Item: 1, Output: []byte("one")})
	select {
	case <-updated:
	default:
		require.Fail(t, "the reader was not notified")
	}
}

// The regions of a job are kept across checkpoints, and a version that does not know them reads
// the record as before.
func TestRegionsOfAJobOutliveCheckpoints(t *testing.T) {
	regions := localizer.JobRegions{Route: []string{"eu"}, Workspace: []string{"eu", "us"}, Items: []string{"eu"}}
	restricted := job("j", 1)
	restricted.Regions = regions
	q := newQueue()
	apply(t, q, queuer.NewAccepted(restricted))
	for range 2 {
		require.True(t, q.MayBeRestricted())
		require.Equal(t, regions, q.Jobs()[0].Regions)
		list := q.Checkpoint()
		q = newQueue()
		require.False(t, q.MayBeRestricted())
		applyData(q, list)
	}
	entries, err := queuer.Encode(queuer.NewAccepted(restricted))
	require.NoError(t, err)
	var earlier struct {
		Accepted struct{ Job queuer.Job } `cbor:"1,keyasint"`
	}
	require.NoError(t, cbor.Unmarshal(entries[0], &earlier))
	require.Equal(t, job("j", 1), earlier.Accepted.Job)

	free, err := queuer.Encode(queuer.NewAccepted(job("j", 1)))
	require.NoError(t, err)
	before, err := cbor.Marshal(map[int]any{1: map[string]any{"Job": job("j", 1)}})
	require.NoError(t, err)
	require.Equal(t, before, free[0], "the record of an unrestricted job is as it was")
}
